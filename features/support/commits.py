"""Commits and observes configurations from inside the scenario's process."""

import asyncio
import shutil
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

from sassafrasgrade.commits import TablesCommitter, load_configuration
from sassafrasgrade.platforms import PlatformClient
from sassafrasgrade.rollouts import entry_generations, fetch_statuses
from sassafrasgrade.tables import Configuration
from sassafrasgrade.tools.standins.clusters import MANAGER_STREAM_PORT

PLATFORM_TIMEOUT_S = 2.0
OBSERVE_PERIOD_S = 0.1


def with_weight(configuration, route_name, weight):
    """Returns the tables with another weight of one route."""
    routes = dict(configuration.routes_by_name)
    routes[route_name] = replace(routes[route_name], weight=weight)
    return Configuration(configuration.generation, routes, configuration.pools_by_name)


def edited_tables(cluster, name, route, weight):
    """Writes a copy of the cluster's tables with another weight of a route."""
    folder = cluster.folder / f"tables-{name}"
    if not folder.exists():
        shutil.copytree(cluster.plan.tables, folder)
    path = Path(folder) / "routes.ini"
    lines = path.read_text().splitlines()
    start = lines.index(f"[{route}]")
    for number in range(start, len(lines)):
        if lines[number].startswith("weight"):
            lines[number] = f"weight = {weight}"
            break
    path.write_text("\n".join(lines))
    return folder


def run_with_platform(cluster, work):
    """Runs ``work(platform)`` in an event loop of its own."""

    async def run():
        platform = PlatformClient(
            cluster.plan.platform_url, "scenario", PLATFORM_TIMEOUT_S
        )
        try:
            return await work(platform)
        finally:
            platform.close()

    return asyncio.run(run())


def committed(cluster):
    """Returns the ``LoadedConfiguration`` on the platform."""
    return run_with_platform(cluster, load_configuration).unwrap()


@dataclass
class RolloutObservations:
    """Generations observed on the entry hosts while changes were committed.

    Attributes:
        committed_at: When each generation was committed, by generation.
        seen_at: When an entry host was first seen at a generation or a higher
            one, by (entry host, generation).
        regressions: (entry host, generation, higher generation seen before it).
        highest_by_host: Highest generation seen by entry host.
    """

    committed_at: dict = field(default_factory=dict)
    seen_at: dict = field(default_factory=dict)
    regressions: list = field(default_factory=list)
    highest_by_host: dict = field(default_factory=dict)

    def record_generations(self, generations, now):
        """Records the generations in force by entry host."""
        for name, generation in generations.items():
            before = self.highest_by_host.get(name, 0)
            if generation < before:
                self.regressions.append((name, generation, before))
            for number in range(before + 1, generation + 1):
                self.seen_at[(name, number)] = now
            self.highest_by_host[name] = max(before, generation)

    def longest_rollout_s(self, names):
        """Returns the longest time from a commit until it was in force on the hosts."""
        return max(
            self.seen_at.get((name, generation), float("inf")) - at
            for generation, at in self.committed_at.items()
            for name in names
        )


def commit_stream(cluster, count, per_second, midway):
    """Commits ``count`` changes at a rate and observes all entry hosts.

    Args:
        cluster: ``ProcessCluster``.
        count: Number of changes.
        per_second: Commits per second.
        midway: Function called once, after half of the changes.

    Returns:
        ``RolloutObservations``.
    """
    rollouts = RolloutObservations()

    async def observe(done):
        while not done.is_set():
            replies = await fetch_statuses(
                cluster.plan.entry_hosts, MANAGER_STREAM_PORT
            )
            rollouts.record_generations(entry_generations(replies), time.monotonic())
            try:
                await asyncio.wait_for(done.wait(), OBSERVE_PERIOD_S)
            except TimeoutError:
                continue

    async def commit_changes(platform):
        done = asyncio.Event()
        observer = asyncio.ensure_future(observe(done))
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for number in range(count):
            timer = loop.create_future()
            loop.call_at(begin + number / per_second, timer.set_result, None)
            await timer
            if number == count // 2:
                midway()
            configuration = (await load_configuration(platform)).unwrap().configuration
            changed = with_weight(configuration, "fees-charge", 10 + number)
            outcome = (
                await TablesCommitter(platform, "stream").commit(changed)
            ).unwrap()
            rollouts.committed_at[outcome.generation] = time.monotonic()
        last = max(rollouts.committed_at)
        deadline = loop.time() + 10
        while loop.time() < deadline and any(
            rollouts.highest_by_host.get(host.name, 0) < last
            for host in cluster.plan.entry_hosts
        ):
            timer = loop.create_future()
            loop.call_later(OBSERVE_PERIOD_S, timer.set_result, None)
            await timer
        done.set()
        await observer

    run_with_platform(cluster, commit_changes)
    return rollouts
