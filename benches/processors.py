"""Share of in-time answers that other work retains when a flood overloads an entry."""

from benches.measures import save
from features.support.clusters import ProcessCluster
from features.support.floods import TABLES, merge_results

SECONDS = 12
WARM_UP_S = 3
SERVICE_MS = 5
FLOOD_RATE = 2400
FLOOD_PROCESSES = 3
STEADY_RATE = 40
STEADY_CLASSES = [
    {"name": "enter", "path": "/forms", "method": "POST", "body_bytes": 200},
    {"name": "read", "path": "/forms"},
    {"name": "charge", "path": "/fees/charges", "method": "POST", "body_bytes": 200},
]
FLOOD_CLASS = {"name": "export", "path": "/forms/export"}
METHODS = {"shedding": {}, "not shedding": {"entry_admission_method": "fifo"}}


def run(cluster, flood_rate):
    """Sends steady classes, and a flood, to one entry; returns results by class."""
    target = [cluster.plan.entry_hosts[0].url]
    common_plan = {
        "targets": target,
        "duration_s": SECONDS,
        "warm_up_s": WARM_UP_S,
        "checks_ready": False,
    }
    common_fields = {"rate": STEADY_RATE, "service_ms": SERVICE_MS, "deadline_ms": 1000}
    steady_classes = [item | common_fields for item in STEADY_CLASSES]
    loads = [
        cluster.start_load(
            f"calm-{flood_rate}", classes=steady_classes, seed=1, **common_plan
        )
    ]
    for number in range(FLOOD_PROCESSES if flood_rate else 0):
        flood = FLOOD_CLASS | common_fields | {"rate": flood_rate / FLOOD_PROCESSES}
        loads.append(
            cluster.start_load(
                f"flood-{number}", classes=[flood], seed=2 + number, **common_plan
            )
        )
    return merge_results([load.result()["classes"] for load in loads])


def main():
    """Measures with and without shedding in one run and saves the results."""
    result = {}
    for method, overrides in METHODS.items():
        cluster = ProcessCluster("kapu", overrides=overrides, tables=TABLES).start()
        try:
            quiet, flooded = run(cluster, 0), run(cluster, FLOOD_RATE)
        finally:
            cluster.stop()
        retained = {
            item["name"]: round(
                flooded[item["name"]].get("in_time", 0)
                / quiet[item["name"]].get("in_time", 1),
                3,
            )
            for item in STEADY_CLASSES
        }
        result[method] = {"kept": retained, "quiet": quiet, "flooded": flooded}
    save("processors", result)


if __name__ == "__main__":
    main()
