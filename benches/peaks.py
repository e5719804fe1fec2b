"""Share of answers in time while services peak in turn, at today's sizes, by method."""

import sys

from benches.measures import save
from features.support.clusters import ProcessCluster
from features.support.floods import merge_results

SERVICE_MS = 100
# Requests per second of one service: 6 servers of 8 slots.
CAPACITY = 6 * 8 * 1000 / SERVICE_MS
# Rates at and between the peaks, as multiples of the mean rate.
PEAK_FACTOR = 5
OFF_PEAK_FACTOR = 0.05
# Demand at a peak, as a multiple of the capacity.
PEAK_DEMAND = 2.0
MEAN_RATE = CAPACITY * PEAK_DEMAND / PEAK_FACTOR
PEAK_S = 3
CYCLES = 2
# One owner of all slots of a host, the slots split evenly, and the FIFO baseline.
METHODS = {
    "ours": {"entry_slot_method": "owner", "entry_admission_method": "shares"},
    "split": {"entry_slot_method": "split", "entry_admission_method": "shares"},
    "fifo": {"entry_slot_method": "split", "entry_admission_method": "fifo"},
}
# Routes of each service: (name, path, method, share of the service's demand).
SERVICES = {
    "kapu": {
        "clips": [
            ("clips-upload", "/clips", "POST", 0.5),
            ("clips-thumbnails", "/clips/thumbnails", "POST", 0.25),
            ("clips-check", "/clips", "GET", 0.25),
        ],
        "jury": [
            ("jury-shortlist", "/jury", "GET", 0.7),
            ("jury-vote", "/jury/votes", "POST", 0.3),
        ],
        "forms": [
            ("forms-enter", "/forms", "POST", 0.4),
            ("forms-read", "/forms", "GET", 0.4),
            ("forms-export", "/forms/export", "GET", 0.2),
        ],
        "fees": [
            ("fees-charge", "/fees/charges", "POST", 0.4),
            ("fees-read", "/fees", "GET", 0.6),
        ],
        "office": [("office-reports", "/office", "GET", 1.0)],
    },
    "authority": {
        "bookings": [
            ("bookings-confirm", "/bookings", "POST", 0.4),
            ("bookings-search", "/bookings", "GET", 0.6),
        ],
        "dispatch": [
            ("dispatch-order", "/dispatch", "POST", 0.4),
            ("dispatch-track", "/dispatch", "GET", 0.6),
        ],
        "payments": [
            ("payments-deposit", "/payments/deposits", "POST", 0.4),
            ("payments-read", "/payments", "GET", 0.6),
        ],
        "planning": [
            ("planning-cylinders", "/planning", "GET", 0.5),
            ("planning-routes", "/planning/routes", "POST", 0.5),
        ],
        "portal": [("portal-pages", "/portal", "GET", 1.0)],
    },
}


def peak_classes(user, configuration):
    """Returns the load classes, whose services peak in turn, and their duration."""
    services = SERVICES[user]
    cycle_s = PEAK_S * len(services)
    classes = []
    for position, routes in enumerate(services.values()):
        starts = [cycle * cycle_s + position * PEAK_S for cycle in range(CYCLES)]
        for name, path, method, share in routes:
            peak = MEAN_RATE * PEAK_FACTOR * share
            classes.append(
                {
                    "name": name,
                    "path": path,
                    "method": method,
                    "rate": MEAN_RATE * OFF_PEAK_FACTOR * share,
                    "deadline_ms": configuration.routes_by_name[name].deadline_ms,
                    "service_ms": SERVICE_MS,
                    "spread": True,
                    "body_bytes": 300 if method == "POST" else 0,
                    "peaks": [
                        {"from_s": at, "to_s": at + PEAK_S, "rate": peak}
                        for at in starts
                    ],
                }
            )
    return classes, cycle_s * CYCLES


def measure(user, method):
    """Runs the peaks with one method; returns counts and in-time share by urgency."""
    cluster = ProcessCluster(user, overrides=METHODS[method]).start()
    try:
        routes_by_name = cluster.plan.configuration.routes_by_name
        classes, seconds = peak_classes(user, cluster.plan.configuration)
        halves = [
            cluster.start_load(
                f"peaks-{part}",
                classes=classes[part::2],
                duration_s=seconds,
                seed=3 + part,
            )
            for part in range(2)
        ]
        counts_by_name = merge_results([half.result()["classes"] for half in halves])
    finally:
        cluster.stop()
    by_urgency = {}
    for name, counts in counts_by_name.items():
        urgency = str(routes_by_name[name].urgency)
        total = by_urgency.setdefault(urgency, {})
        for key in ("sent", "in_time", "late", "not-run", "unknown"):
            total[key] = total.get(key, 0) + counts.get(key, 0)
    for total in by_urgency.values():
        total["share_in_time"] = round(total["in_time"] / total["sent"], 3)
    return by_urgency


def main():
    """Measures all methods for the users named, or all, in one run and saves them."""
    users = sys.argv[1:] or list(SERVICES)
    result = {
        user: {method: measure(user, method) for method in METHODS} for user in users
    }
    save("peaks", result)


if __name__ == "__main__":
    main()
