"""What the other work keeps during a flood, ours against the baseline."""

import sys

from benches.measures import save
from features.support.clusters import ProcessCluster
from features.support.floods import METHODS, SERVICE_MS, TABLES, kept_shares, run_flood

FLOODS = ("export", "enter", "read")


def measure(method, floods=FLOODS):
    """Measures every flood with one method."""
    cluster = ProcessCluster(
        "kapu", overrides=METHODS[method], tables=TABLES, service_ms=SERVICE_MS
    ).start()
    try:
        quiet = run_flood(cluster, "quiet", None)
        result = {"quiet": quiet}
        for flooding in floods:
            flooded = run_flood(cluster, flooding, flooding)
            kept = kept_shares(quiet, flooded, flooding)
            result[flooding] = {"kept": kept, "classes": flooded}
        return result
    finally:
        cluster.stop()


def main():
    """Measures all methods in one run and saves them."""
    methods = sys.argv[1:] or list(METHODS)
    result = {method: measure(method) for method in methods}
    for method, found in result.items():
        for flooding in FLOODS:
            print(method, flooding, found[flooding]["kept"])
    save("floods", result)


if __name__ == "__main__":
    main()
