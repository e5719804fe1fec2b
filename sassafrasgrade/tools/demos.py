"""Demo: the whole system and its stand-ins in one process."""

import logging
from dataclasses import replace

from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.commits import TablesCommitter
from sassafrasgrade.entries import Entry
from sassafrasgrade.managers import Manager
from sassafrasgrade.platforms import PlatformClient
from sassafrasgrade.rollouts import wait_until_in_force
from sassafrasgrade.tables import HostState
from sassafrasgrade.timers import TimerService
from sassafrasgrade.tools.formats import print_table
from sassafrasgrade.tools.standins.backends import BackendsStandIn
from sassafrasgrade.tools.standins.clusters import MANAGER_STREAM_PORT, ClusterPlan
from sassafrasgrade.tools.standins.loads import LoadClass, LoadGenerator, LoadPlan, Peak
from sassafrasgrade.tools.standins.platforms import PlatformStandIn

DEMO_OCTET = 77
ROLLOUT_TIMEOUT_S = 10.0
LOAD_START_DELAY_S = 1.5
SERVICE_MS = 20.0
FAILED_HOST = "clips-szeged-1"


class EmbeddedCluster:
    """A cluster whose parts share one event loop.

    Args:
        plan: ``ClusterPlan``.
    """

    def __init__(self, plan):
        self.plan = plan
        self.platform = PlatformStandIn(plan.platform_address, 7400)
        self.platform.state.put_hosts(plan.hosts())
        self.backends = BackendsStandIn(
            [(h.name, h.address, h.port) for h in plan.backend_hosts],
            service_ms=SERVICE_MS,
        )
        settings = [plan.settings(host) for host in plan.entry_hosts]
        self.managers = [Manager(each, TimerService()) for each in settings]
        self.entries = [Entry(each, TimerService()) for each in settings]

    def start(self):
        """Starts all parts."""
        for part in [self.platform, self.backends, *self.managers, *self.entries]:
            part.start()

    async def stop(self):
        """Stops all parts, the entries gracefully."""
        await gen.multi([entry.stop() for entry in self.entries])
        for part in [*self.managers, self.backends, self.platform]:
            part.stop()


def demo_classes(seconds):
    """Returns the load classes: a short peak of clip uploads over a steady load."""
    peak = Peak(seconds * 0.25, seconds * 0.6, 60.0)
    return [
        LoadClass(
            "clips-upload", "/clips", 12.0, 3000, 40, True, "POST", 400, peaks=[peak]
        ),
        LoadClass("clips-check", "/clips", 10.0, 1000, 5, True),
        LoadClass("jury-shortlist", "/jury", 15.0, 2000, 20, True),
        LoadClass("forms-enter", "/forms", 10.0, 2000, 20, True, "POST", 300),
        LoadClass(
            "fees-charge", "/fees/charges", 8.0, 2000, 20, True, "POST", 200, True
        ),
    ]


async def play_demo_load(seconds):
    """Starts a cluster, commits its tables and runs the load; returns its result."""
    plan = ClusterPlan("kapu", DEMO_OCTET)
    cluster = EmbeddedCluster(plan)
    cluster.start()
    platform = PlatformClient(plan.platform_url, "demo", 2.0)
    committer = TablesCommitter(platform, "demo")
    outcome = (await committer.commit(plan.configuration)).unwrap()
    rollout = await wait_until_in_force(
        plan.entry_hosts, MANAGER_STREAM_PORT, outcome.generation, ROLLOUT_TIMEOUT_S
    )
    print(
        f"generation {outcome.generation} in force on {len(rollout.in_force)} entry "
        f"hosts after {rollout.seconds:.2f} s"
    )
    await gen.sleep(LOAD_START_DELAY_S)
    load = LoadPlan(
        [host.url for host in plan.entry_hosts], demo_classes(seconds), seconds
    )
    IOLoop.current().call_later(seconds * 0.4, _fail_host, cluster)
    result = await LoadGenerator(load).run()
    platform.close()
    await cluster.stop()
    return result


async def _fail_host(cluster):
    print(f"host {FAILED_HOST} fails now; the platform's host list shows it later")
    await cluster.backends.close_host(FAILED_HOST)
    host = cluster.platform.state.hosts_by_name[FAILED_HOST]
    leaving = replace(host, state=HostState.LEAVING)
    IOLoop.current().call_later(1.0, cluster.platform.state.put_hosts, [leaving])


def run_demo(seconds):
    """Runs the demo and prints its result.

    Returns:
        Exit status: 0, or 1 if a caller got a wrong or truncated answer.
    """
    logging.basicConfig(level=logging.ERROR)
    result = IOLoop.current().run_sync(lambda: play_demo_load(float(seconds)))
    columns = ["in_time", "late", "not-run", "unknown", "failed", "cut", "wrong"]
    rows = []
    for name, summary in result["classes"].items():
        counts = [summary.get(column, 0) for column in columns]
        p50, p99 = summary["p50_ms"], summary["p99_ms"]
        rows.append([name, summary.get("sent", 0), *counts, f"{p50:.0f}", f"{p99:.0f}"])
    print_table(["class", "sent", *columns, "p50 ms", "p99 ms"], rows)
    bad_answers = sum(row[7] + row[8] for row in rows)
    print(
        "every answer was complete and the caller's own"
        if not bad_answers
        else f"{bad_answers} wrong or truncated answers"
    )
    return 1 if bad_answers else 0
