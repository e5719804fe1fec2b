"""Carries out a planner's decisions; every write is conditional.

Only the holder of the data centre's planner lease plans. A former holder that was
paused or cut off cannot write: its successor has raised the membership's term, and
the platform refuses a write that expects an older revision.
"""

import logging
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.fleets import (
    BUDGET_KEY,
    MEMBERSHIP_KEY,
    PLANNER_KEY,
    FleetView,
    HostPhase,
    Membership,
    decode_budget,
    decode_membership,
    encode_record,
)
from sassafrasgrade.systems.budgets import select_within_budget
from sassafrasgrade.systems.maintenance import REBOOT_REPEAT_S
from sassafrasgrade.systems.planning import (
    ChangeHosts,
    CorrectBudgetUse,
    ProbeHost,
    RebootHost,
    ReserveBudget,
    plan_tick,
)

logger = logging.getLogger(__name__)

LEASE_TTL_S = 4.0
# Maximum age of a pool's cached budget use: the first while one of its hosts is
# out of service or on another release, the second otherwise.
BUDGET_REFRESH_S = 3.0
BUDGET_IDLE_REFRESH_S = 120.0
MIN_PROBE_INTERVAL_S = 2.0


@dataclass(frozen=True)
class CachedRecord:
    """A decoded value as last read or written, its revision and the time."""

    value: object
    revision: int
    read_at: float


class PlannerLease:
    """The lease that makes one manager of a data centre its planner.

    Args:
        platform: Adapter to the platform.
        timers: Timer service.
        data_centre: Data centre.
        name: Host name of this manager.
    """

    def __init__(self, platform, timers, data_centre, name):
        self._platform = platform
        self._timers = timers
        self._key = PLANNER_KEY.format(data_centre=data_centre)
        self._name = name
        self._lease = ""
        self._valid_until = 0.0

    @property
    def is_held(self):
        """Whether the lease is certainly held now, by this process's clock."""
        return bool(self._lease) and self._timers.now() < self._valid_until

    async def renew(self):
        """Renews or acquires the lease; returns whether it is held."""
        requested_at = self._timers.now()
        if self._lease:
            renewed = await self._platform.renew_lease(self._lease)
            if isinstance(renewed, Success) and renewed.unwrap():
                self._valid_until = requested_at + LEASE_TTL_S
            elif isinstance(renewed, Success):
                self._lease = ""
            return self.is_held
        granted = await self._platform.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Failure):
            return False
        lease = granted.unwrap()
        written = await self._platform.write(self._key, self._name.encode(), 0, lease)
        if isinstance(written, Success) and written.unwrap():
            self._lease = lease
            self._valid_until = requested_at + LEASE_TTL_S
        return self.is_held


class FleetPlanner:
    """Plans changes to the hosts of one data centre and carries them out.

    Args:
        data_centre: Data centre.
        platform: Adapter to the platform.
        timers: Timer service.
        probe: Coroutine function (host) that returns whether its health check passes.
        max_hosts_of_pool: See ``TickPlan``.
    """

    def __init__(self, data_centre, platform, timers, probe, max_hosts_of_pool=None):
        self._data_centre = data_centre
        self._platform = platform
        self._timers = timers
        self._probe = probe
        self._max_hosts_by_pool = max_hosts_of_pool
        self._membership_key = MEMBERSHIP_KEY.format(data_centre=data_centre)
        self._membership = None
        self._uses_by_pool = {}
        self._missing_since = {}
        self._racks_by_name = {}
        self._probed = set()
        self._probed_at = {}
        self._rebooted_at = {}

    @property
    def membership(self):
        """Membership as last read or written; empty before."""
        return self._membership.value if self._membership else Membership()

    def discard_state(self):
        """Discards what was read or probed, as planning ends or cannot begin."""
        self._membership = None
        self._uses_by_pool = {}
        self._missing_since = {}
        self._probed = set()

    async def take_over(self):
        """Reads the membership and raises its term; returns whether both succeeded."""
        if not await self._read_membership():
            return False
        value = self.membership
        raised = replace(value, term=value.term + 1, version=value.version + 1)
        return await self._write_membership(raised)

    async def view(
        self, configuration, hosts_by_name, acks_by_entry, listed, burning_pools
    ):
        """Returns the ``FleetView`` of this tick, or None if a read fails.

        Args:
            configuration: ``Configuration`` in force.
            hosts_by_name: Backend servers in the host list of the data centre.
            acks_by_entry: ``EntryAck`` by entry host.
            listed: Names of the entry hosts listed in the data centre.
            burning_pools: Names of pools whose error budget burns too fast.
        """
        if self._membership is None and not await self._read_membership():
            return None
        pools = configuration.pools_by_name
        if not await self._refresh_budget_uses(pools, hosts_by_name):
            return None
        now = self._timers.wall_time()
        self._racks_by_name.update((h.name, h.rack) for h in hosts_by_name.values())
        self._record_missing(hosts_by_name, now)
        deadlines = {}
        for route in configuration.routes_by_name.values():
            longest_s = max(deadlines.get(route.pool, 0.0), route.deadline_ms / 1000)
            deadlines[route.pool] = longest_s
        return FleetView(
            self._data_centre,
            now,
            pools,
            deadlines,
            hosts_by_name,
            self.membership,
            {pool: cached.value for pool, cached in self._uses_by_pool.items()},
            acks_by_entry,
            frozenset(listed),
            dict(self._racks_by_name),
            dict(self._missing_since),
            frozenset(self._probed),
            frozenset(burning_pools),
        )

    def decide(self, view):
        """Returns the commands for a view."""
        return plan_tick(view, self._max_hosts_by_pool)

    async def carry_out_all(self, view, commands):
        """Carries out commands in order; the first failure ends the tick."""
        for command in commands:
            done = await self.carry_out(command, view)
            if isinstance(done, Failure):
                logger.debug(
                    "planner tick ended at a failed command: %s", done.failure()
                )
                return

    @singledispatchmethod
    async def carry_out(self, command, view):
        """Carries out one command; returns a ``Result``."""
        raise TypeError(f"unknown command {type(command).__name__}")

    @carry_out.register
    async def _(self, command: ReserveBudget, view):
        cached = self._uses_by_pool.get(command.pool)
        if cached is None:
            return Success(None)
        pool = view.pools_by_name[command.pool]
        fresh = replace(
            view, uses_by_pool=view.uses_by_pool | {command.pool: cached.value}
        )
        names = select_within_budget(fresh, pool, command.names)
        planned = cached.value.planned_in(self._data_centre) | set(names)
        use = cached.value.with_planned(self._data_centre, planned)
        return await self._write_budget_use(command.pool, use)

    @carry_out.register
    async def _(self, command: CorrectBudgetUse, view):
        cached = self._uses_by_pool.get(command.pool)
        if cached is None:
            return Success(None)
        use = cached.value.with_planned(self._data_centre, command.planned)
        use = use.with_failed(self._data_centre, command.failed)
        return await self._write_budget_use(command.pool, use)

    @carry_out.register
    async def _(self, command: ChangeHosts, view):
        current = self.membership
        version = current.version + 1
        records = dict(current.records_by_name)
        for name, record in command.records.items():
            records[name] = replace(record, version=version)
        for name in command.removed:
            records.pop(name, None)
        skipped = {
            name: until
            for name, until in current.skipped_until.items()
            if until > view.now
        }
        value = replace(
            current,
            version=version,
            records_by_name=records,
            skipped_until=skipped | command.skipped_until,
            moves=current.moves + command.moves,
        )
        self._probed -= set(command.records)
        written = await self._write_membership(value)
        return (
            Success(None) if written else Failure("the write of the membership failed")
        )

    @carry_out.register
    async def _(self, command: RebootHost, view):
        now = self._timers.now()
        if (
            now - self._rebooted_at.get(command.name, -REBOOT_REPEAT_S)
            < REBOOT_REPEAT_S
        ):
            return Success(None)
        self._rebooted_at[command.name] = now
        return await self._platform.command_host(
            command.name, "reboot", release=command.release
        )

    @carry_out.register
    async def _(self, command: ProbeHost, view):
        now = self._timers.now()
        if (
            now - self._probed_at.get(command.name, -MIN_PROBE_INTERVAL_S)
            < MIN_PROBE_INTERVAL_S
        ):
            return Success(None)
        self._probed_at[command.name] = now
        if await self._probe(view.hosts_by_name[command.name]):
            self._probed.add(command.name)
        return Success(None)

    def _record_missing(self, hosts_by_name, now):
        for name in self.membership.records_by_name:
            host = hosts_by_name.get(name)
            if host is not None and host.state == "live":
                self._missing_since.pop(name, None)
            else:
                self._missing_since.setdefault(name, now)

    async def _read_membership(self):
        found = await self._platform.read(self._membership_key)
        if isinstance(found, Failure):
            return False
        versioned = found.unwrap()
        value = decode_membership(versioned.value)
        self._membership = CachedRecord(value, versioned.revision, self._timers.now())
        return True

    async def _write_membership(self, value):
        revision = self._membership.revision
        written = await self._platform.write(
            self._membership_key, encode_record(value), revision
        )
        if isinstance(written, Failure):
            # The write was refused or its outcome is unknown: the next tick first reads
            # the membership again.
            self._membership = None
            return False
        self._membership = CachedRecord(value, written.unwrap(), self._timers.now())
        return True

    async def _refresh_budget_uses(self, pools, hosts_by_name):
        now = self._timers.now()
        for pool in pools.values():
            cached = self._uses_by_pool.get(pool.name)
            if cached is not None and now - cached.read_at < self._max_budget_age_s(
                pool, hosts_by_name
            ):
                continue
            found = await self._platform.read(BUDGET_KEY.format(pool=pool.name))
            if isinstance(found, Failure):
                return False
            versioned = found.unwrap()
            value = decode_budget(versioned.value)
            self._uses_by_pool[pool.name] = CachedRecord(value, versioned.revision, now)
        return True

    def _max_budget_age_s(self, pool, hosts_by_name):
        """Returns the maximum age of a pool's budget use; short only during a wave."""
        for record in self.membership.of_pool(pool.name):
            host = hosts_by_name.get(record.name)
            old = host is not None and host.release != pool.release
            if old or record.phase is not HostPhase.SERVING:
                return BUDGET_REFRESH_S
        return BUDGET_IDLE_REFRESH_S

    async def _write_budget_use(self, pool, use):
        cached = self._uses_by_pool[pool]
        if use == cached.value:
            return Success(None)
        written = await self._platform.write(
            BUDGET_KEY.format(pool=pool), encode_record(use), cached.revision
        )
        if isinstance(written, Failure):
            # Another data centre wrote, or the outcome is unknown: the next tick reads
            # the budget use again.
            del self._uses_by_pool[pool]
            unknown = isinstance(written.failure(), PlatformUnavailable)
            return written if unknown else Success(None)
        self._uses_by_pool[pool] = CachedRecord(
            use, written.unwrap(), self._timers.now()
        )
        return Success(None)
