"""A leader whose host service answers orders late."""

import asyncio
from types import SimpleNamespace

from features.support.large_jobs import create_fleet
from features.support.work_tables import create_tables
from sassafrasgrade.fleet_hosts import WaveRow
from sassafrasgrade.host_controllers import HostController
from sassafrasgrade.node_counters import NodeCounters
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.clouds import HostOrderOutcome
from sassafrasgrade.platform.messages import Wave
from sassafrasgrade.systems.host_planning import plan_hosts
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_commands import MaintainHost

OUTCOMES = {
    "done": HostOrderOutcome.DONE,
    "no answer": HostOrderOutcome.UNKNOWN,
    "busy": HostOrderOutcome.BUSY,
}


class SlowCloud:
    """A host service that answers after a time.

    Args:
        timers: ``FakeTimerService``.
    """

    def __init__(self, timers):
        self.outcome = HostOrderOutcome.DONE
        self.answered = asyncio.Event()
        self._timers = timers

    async def maintain_host(self, host, wave, token):
        """Answers once a test lets it."""
        await self.answered.wait()
        return self.outcome


class WaveLeader:
    """A leader that maintains idle hosts.

    Args:
        hosts: Number of hosts of the wave.
        cap: How many of them may be down.
    """

    def __init__(self, hosts, cap):
        self._timers = FakeTimerService()
        self._settings = check_node_settings(
            {"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}
        ).unwrap()
        self._tables = create_tables(workers=hosts)
        dispatcher = SimpleNamespace(
            tables=self._tables,
            token=1,
            counters=NodeCounters(),
            has_host_authority=lambda: True,
            is_present=lambda worker: False,
        )
        services = SimpleNamespace(settings=self._settings, timers=self._timers)
        self._controller = HostController(services, dispatcher)
        self._cloud = self._controller._cloud = SlowCloud(self._timers)
        fleet = self._controller.fleet = create_fleet(self._tables)
        wave = Wave(number=1, hosts=tuple(fleet.hosts_by_name), most_at_once=cap)
        row = WaveRow(wave, self._timers.now(), is_running_reported=True)
        fleet.waves_by_number[1] = row
        self._began_at = self._timers.now()
        self._ordered = set()

    async def order_first(self, answer, delay_s):
        """Sends the first orders, which are answered after a time."""
        calls = [
            asyncio.ensure_future(self._controller._carry_out(command))
            for command in self._plan()
        ]
        await asyncio.sleep(0)
        self._timers.advance(delay_s)
        self._cloud.outcome = OUTCOMES[answer]
        self._cloud.answered.set()
        await asyncio.gather(*calls)

    def _plan(self):
        fleet, now = self._controller.fleet, self._timers.now()
        commands = plan_hosts(self._tables, fleet, self._settings, now)
        return [c for c in commands if isinstance(c, MaintainHost)]

    def plan_at(self, seconds):
        """Plans a time after the first orders; returns how many hosts are ordered."""
        self._timers.advance(self._began_at + seconds - self._timers.now())
        return len(self._plan())
