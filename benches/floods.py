"""In-time answers that other work retains in a flood: ours against a FIFO baseline."""

import sys

from benches.measures import save
from features.support.clusters import ProcessCluster
from features.support.floods import (
    METHODS,
    SERVICE_MS,
    TABLES,
    retained_shares,
    run_flood,
)

FLOODS = ("export", "enter", "read")


def measure(method, floods=FLOODS):
    """Measures the load without a flood and with each flood, with one method."""
    cluster = ProcessCluster(
        "kapu", overrides=METHODS[method], tables=TABLES, service_ms=SERVICE_MS
    ).start()
    try:
        quiet = run_flood(cluster, "quiet", None)
        result = {"quiet": quiet}
        for flooding in floods:
            flooded = run_flood(cluster, flooding, flooding)
            retained = retained_shares(quiet, flooded, flooding)
            result[flooding] = {"kept": retained, "classes": flooded}
        return result
    finally:
        cluster.stop()


def main():
    """Measures the methods named, or all, in one run and saves the results."""
    methods = sys.argv[1:] or list(METHODS)
    result = {method: measure(method) for method in methods}
    for method, flood_results in result.items():
        for flooding in FLOODS:
            print(method, flooding, flood_results[flooding]["kept"])
    save("floods", result)


if __name__ == "__main__":
    main()
