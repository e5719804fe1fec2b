"""Floods of one class over steady other work, for scenarios and benches."""

from pathlib import Path

TABLES = Path(__file__).parent.parent / "tables" / "flood"
SERVICE_MS = 200
# 6 servers of 8 slots at 200 ms a request.
CAPACITY = 6 * 8 * 1000 / SERVICE_MS
FLOOD_FACTOR = 10
SECONDS = 14
WARM_UP_S = 4
WEIGHTS = {"enter": 4, "read": 2, "guest": 2, "export": 1}
METHODS = {
    "ours": {"entry_slot_method": "owner", "entry_admission_method": "shares"},
    "fifo": {"entry_slot_method": "split", "entry_admission_method": "fifo"},
}
# Each class asks for less than its guaranteed share of the capacity.
STEADY = {"enter": 0.15, "read": 0.15, "guest": 0.15, "export": 0.08, "charge": 0.15}


def flood_classes(flooding=None):
    """Returns the load classes; one of them floods."""
    rows = [
        ("enter", "/forms", "POST", 2000),
        ("read", "/forms", "GET", 2000),
        ("guest", "/forms/guests", "GET", 2000),
        ("export", "/forms/export", "GET", 4000),
        ("charge", "/fees/charges", "POST", 2000),
    ]
    classes = []
    for name, path, method, deadline_ms in rows:
        rate = CAPACITY * STEADY[name]
        if name == flooding:
            rate = CAPACITY * FLOOD_FACTOR
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


def run_flood(cluster, name, flooding, seconds=SECONDS, seed=1):
    """Runs the classes; the flooding one in a load process of its own.

    Returns:
        Figures by class.
    """
    classes = flood_classes(flooding)
    quiet = [item for item in classes if item["name"] != flooding]
    loud = [item for item in classes if item["name"] == flooding]
    common = {"duration_s": seconds, "warm_up_s": WARM_UP_S, "seed": seed}
    loads = [cluster.start_load(f"{name}-quiet", classes=quiet, **common)]
    if loud:
        halves = [item | {"rate": item["rate"] / 2} for item in loud]
        for number in (1, 2):
            plan = common | {"seed": seed + number}
            load = cluster.start_load(f"{name}-loud-{number}", classes=halves, **plan)
            loads.append(load)
    return merge_results([load.result()["classes"] for load in loads])


def merge_results(parts):
    """Adds up the counts of the load processes by class."""
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


def kept_shares(quiet, flooded, flooding):
    """Returns the kept share of each other class, and the flood's share."""
    kept = {}
    for name, found in flooded.items():
        share = found.get("in_time", 0) / max(1, quiet[name].get("in_time", 0))
        if name != flooding:
            kept[name] = round(share, 3)
    measured_s = SECONDS - WARM_UP_S
    rate = flooded[flooding].get("in_time", 0) / measured_s
    weight = WEIGHTS[flooding] / sum(WEIGHTS.values())
    kept["flood_rate_of_guarantee"] = round(rate / (CAPACITY * weight), 2)
    return kept
