"""Floods of one class over a steady load, for scenarios and benches."""

from pathlib import Path

TABLES = Path(__file__).parent.parent / "tables" / "flood"
SERVICE_MS = 200
# Requests per second of 6 servers with 8 slots at 200 ms per request.
CAPACITY_PER_S = 6 * 8 * 1000 / SERVICE_MS
FLOOD_FACTOR = 10
DURATION_S = 14
WARM_UP_S = 4
# Weights of the routes to the pool `forms`.
WEIGHTS = {"enter": 4, "read": 2, "guest": 2, "export": 1}
METHODS = {
    "ours": {"entry_slot_method": "owner", "entry_admission_method": "shares"},
    "fifo": {"entry_slot_method": "split", "entry_admission_method": "fifo"},
}
# Steady load of each class as a share of the capacity, below its guaranteed share.
STEADY_SHARES = {
    "enter": 0.15,
    "read": 0.15,
    "guest": 0.15,
    "export": 0.08,
    "charge": 0.15,
}


def flood_classes(flooding=None):
    """Returns the load classes; the one named, if any, floods."""
    rows = [
        ("enter", "/forms", "POST", 2000),
        ("read", "/forms", "GET", 2000),
        ("guest", "/forms/guests", "GET", 2000),
        ("export", "/forms/export", "GET", 4000),
        ("charge", "/fees/charges", "POST", 2000),
    ]
    classes = []
    for name, path, method, deadline_ms in rows:
        rate = CAPACITY_PER_S * STEADY_SHARES[name]
        if name == flooding:
            rate = CAPACITY_PER_S * FLOOD_FACTOR
        classes.append(
            {
                "name": name,
                "path": path,
                "method": method,
                "rate": rate,
                "deadline_ms": deadline_ms,
                "service_ms": SERVICE_MS,
                "spread": True,
                "body_bytes": 300 if method == "POST" else 0,
            }
        )
    return classes


def run_flood(cluster, name, flooding, seconds=DURATION_S, seed=1):
    """Runs the classes; the flooding one in two load processes of its own.

    Returns:
        Results by class.
    """
    classes = flood_classes(flooding)
    steady_classes = [item for item in classes if item["name"] != flooding]
    flooding_classes = [item for item in classes if item["name"] == flooding]
    common = {"duration_s": seconds, "warm_up_s": WARM_UP_S, "seed": seed}
    loads = [cluster.start_load(f"{name}-quiet", classes=steady_classes, **common)]
    if flooding_classes:
        halves = [item | {"rate": item["rate"] / 2} for item in flooding_classes]
        for number in (1, 2):
            plan = common | {"seed": seed + number}
            load = cluster.start_load(f"{name}-loud-{number}", classes=halves, **plan)
            loads.append(load)
    return merge_results([load.result()["classes"] for load in loads])


def merge_results(parts):
    """Merges the results of the load processes: sums of counts, the highest p99."""
    merged = {}
    for part in parts:
        for name, found in part.items():
            total = merged.setdefault(name, {"p99_ms": 0.0})
            for key, value in found.items():
                if isinstance(value, int):
                    total[key] = total.get(key, 0) + value
            reasons = total.setdefault("reasons", {})
            for reason, count in found["reasons"].items():
                reasons[reason] = reasons.get(reason, 0) + count
            total["p99_ms"] = max(total["p99_ms"], found["p99_ms"])
    return merged


def retained_shares(quiet, flooded, flooding):
    """Returns how much of its throughput each class kept in a flood.

    Args:
        quiet: Results by class without the flood.
        flooded: Results by class in the flood.
        flooding: Name of the flooding class.

    Returns:
        For each other class, its requests in time as a share of those without
        the flood; under ``flood_rate_of_guarantee``, the rate of the flooding
        class as a multiple of its guaranteed rate.
    """
    kept = {}
    for name, found in flooded.items():
        share = found.get("in_time", 0) / max(1, quiet[name].get("in_time", 0))
        if name != flooding:
            kept[name] = round(share, 3)
    measured_s = DURATION_S - WARM_UP_S
    rate = flooded[flooding].get("in_time", 0) / measured_s
    weight = WEIGHTS[flooding] / sum(WEIGHTS.values())
    kept["flood_rate_of_guarantee"] = round(rate / (CAPACITY_PER_S * weight), 2)
    return kept
