"""Fakes of the platform and the entry hosts, for tick-driven planner scenarios."""

import random
from collections import defaultdict
from dataclasses import replace

from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable, RevisionConflict
from sassafrasgrade.fleets import (
    BUDGET_KEY,
    MEMBERSHIP_KEY,
    EntryAck,
    HostPhase,
    Membership,
    decode_budget,
    decode_membership,
)
from sassafrasgrade.planners import FleetPlanner, PlannerLease
from sassafrasgrade.platforms import ABSENT, Versioned
from sassafrasgrade.tables import Configuration, Host, HostState, Pool, Route, Urgency
from sassafrasgrade.timers import FakeTimerService

TICK_S = 1.0
REBOOT_S = 120.0
REPAIR_S = 400.0
DEADLINE_MS = 2000
IN_FLIGHT_S = 1.5
OLD_RELEASE, NEW_RELEASE = "2026.11", "2026.12"


def run_to_completion(coroutine):
    """Runs a coroutine that awaits fakes and never suspends; returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended: a fake waited")


class FakePlatform:
    """Key-value service, leases and reboots on fake time.

    Args:
        timers: ``FakeTimerService``.
        source: Seeded ``random.Random``.
        lost_answers: Fraction of writes that take effect but whose answer is lost.
    """

    def __init__(self, timers, source, lost_answers=0.0):
        self._timers = timers
        self._random = source
        self._lost_answers = lost_answers
        self.values_by_key = {}
        self._revision = 0
        self._lease_ends = {}
        self.reboots = []
        self.cut_data_centres = set()
        self.writes = 0
        self.reads = 0

    def expire(self):
        """Deletes the values of expired leases."""
        now = self._timers.now()
        for key, (_, _, lease) in list(self.values_by_key.items()):
            if lease and self._lease_ends.get(lease, 0) < now:
                del self.values_by_key[key]

    async def read(self, key):
        """Reads a value."""
        self.reads += 1
        value, revision, _ = self.values_by_key.get(key, (b"", 0, ""))
        return Success(Versioned(value, revision) if revision else ABSENT)

    async def write(self, key, value, expected_revision=None, lease=""):
        """Writes a value if its revision is as expected."""
        self.writes += 1
        stored_revision = self.values_by_key.get(key, (b"", 0, ""))[1]
        if expected_revision is not None and expected_revision != stored_revision:
            return Failure(RevisionConflict(key, "Read again."))
        self._revision += 1
        self.values_by_key[key] = (value, self._revision, lease)
        if self._random.random() < self._lost_answers:
            return Failure(PlatformUnavailable(key, "The answer was lost."))
        return Success(self._revision)

    async def grant_lease(self, ttl_s):
        """Creates a lease."""
        lease = f"lease-{len(self._lease_ends)}"
        self._lease_ends[lease] = self._timers.now() + ttl_s
        return Success(lease)

    async def renew_lease(self, lease):
        """Renews a lease unless it has expired."""
        if self._lease_ends[lease] < self._timers.now():
            return Success(False)
        # 4 s is the TTL with which `PlannerLease` creates its leases.
        self._lease_ends[lease] = self._timers.now() + 4.0
        return Success(True)

    async def command_host(self, name, command, **arguments):
        """Records a reboot; the next tick carries it out."""
        self.reboots.append((name, arguments["release"]))
        return Success(None)


class CutPlatform:
    """The platform as one data centre reaches it; the link can be cut."""

    def __init__(self, platform, data_centre):
        self._platform = platform
        self._data_centre = data_centre

    def __getattr__(self, name):
        async def call(*arguments, **named):
            if self._data_centre in self._platform.cut_data_centres:
                return Failure(PlatformUnavailable(name, "The link is cut."))
            return await getattr(self._platform, name)(*arguments, **named)

        return call


class FakeEntries:
    """Entry hosts of one data centre.

    They apply each membership version after a random delay, and keep using a
    host until their requests to it have ended.
    """

    def __init__(self, names, source, max_delay_s=3.0):
        self._random = source
        self._max_delay_s = max_delay_s
        self._applied_by_name = {name: Membership() for name in names}
        self._pending_by_name = {name: [] for name in names}
        self._used_until = defaultdict(dict)
        self._offered_version = 0
        self.paused = set()

    def tick(self, membership, now):
        """Schedules the newest membership; applies the versions whose delay is over."""
        if membership.version > self._offered_version:
            self._offered_version = membership.version
            for name in self._pending_by_name:
                delay_s = self._random.uniform(0.0, self._max_delay_s)
                self._pending_by_name[name].append((now + delay_s, membership))
        for name, pending in self._pending_by_name.items():
            if name in self.paused:
                continue
            for at, value in pending:
                if at <= now and value.version > self._applied_by_name[name].version:
                    self._applied_by_name[name] = value
            self._pending_by_name[name] = [item for item in pending if item[0] > now]
            self._use_hosts(name, now)

    def _use_hosts(self, name, now):
        for record in self._applied_by_name[name].records_by_name.values():
            if record.phase is HostPhase.SERVING:
                # A host stays in use under this pool and epoch until `end`.
                end = now + self._random.uniform(0.0, IN_FLIGHT_S)
                key = (record.name, record.pool, record.epoch)
                used_until = self._used_until[name].get(key, 0.0)
                self._used_until[name][key] = max(used_until, end)

    def acks(self, now):
        """Returns ``EntryAck`` by entry host, without the paused ones."""
        acks = {}
        for name, membership in self._applied_by_name.items():
            if name in self.paused:
                continue
            busy = {
                host
                for (host, _, _), until in self._used_until[name].items()
                if until > now
            }
            serving = {
                record.name
                for record in membership.records_by_name.values()
                if record.phase is HostPhase.SERVING
            }
            acks[name] = EntryAck(membership.version, frozenset(busy - serving))
        return acks

    def pools_by_host(self, now):
        """Returns the pools for which any entry host now uses a host, by host."""
        pools = defaultdict(set)
        for uses in self._used_until.values():
            for (host, pool, _), until in uses.items():
                if until > now:
                    pools[host].add(pool)
        return pools


class FakeFleet:
    """Hosts, planners, entry hosts and operators on fake time.

    Args:
        seed: Seed of all random values.
        data_centres: Names of the data centres.
        pools: Number of pools; the last one is the spare pool.
        hosts: Hosts of each pool in each data centre.
        out_at_most: Budget of each pool: hosts out of service at once.
        per_domain: The same for each failure domain, a rack.
        lag_s: Age of the host list that the planners read.
        lost_answers: See ``FakePlatform``.
        max_hosts_of_pool: See ``planning.TickPlan``.
        entry_delay_s: Maximum delay with which an entry host applies a version.
    """

    def __init__(
        self,
        seed,
        data_centres=("north", "south", "east"),
        pools=5,
        hosts=2,
        out_at_most=2,
        per_domain=1,
        lag_s=3.0,
        lost_answers=0.0,
        max_hosts_of_pool=None,
        entry_delay_s=3.0,
    ):
        self.timers = FakeTimerService()
        self.random = random.Random(seed)
        self.platform = FakePlatform(self.timers, self.random, lost_answers)
        self.data_centres = data_centres
        self._lag_s = lag_s
        self.configuration = make_configuration(
            data_centres, pools, hosts, out_at_most, per_domain
        )
        self.hosts_by_name = make_hosts(self.configuration)
        self._recent_lists = []
        self._down_until = {}
        self._release_after_reboot = {}
        self.entries_by_centre = {
            centre: FakeEntries(
                [f"{centre}-entry-{n}" for n in range(2)], self.random, entry_delay_s
            )
            for centre in data_centres
        }
        self.managers_by_centre = {
            centre: [self._make_manager(centre, n, max_hosts_of_pool) for n in range(2)]
            for centre in data_centres
        }
        self.paused_managers = set()
        self._late_commands = []
        self.violations = []
        self._phases_by_host = {}
        self._terms_by_centre = {}

    def _make_manager(self, centre, number, max_hosts_of_pool):
        platform = CutPlatform(self.platform, centre)
        name = f"{centre}-{number}"

        async def probe(host):
            return host.name not in self._down_until

        planner = FleetPlanner(centre, platform, self.timers, probe, max_hosts_of_pool)
        lease = PlannerLease(platform, self.timers, centre, name)
        return {"name": name, "planner": planner, "lease": lease, "leads": False}

    # Faults, releases and stored records.

    def fail(self, name, seconds=REPAIR_S):
        """Lets a host fail for a while."""
        self._down_until[name] = self.timers.now() + seconds

    def racks(self):
        """Returns host names by rack."""
        by_rack = defaultdict(list)
        for host in self.hosts_by_name.values():
            by_rack[host.rack].append(host.name)
        return by_rack

    def set_release(self, release, pools=None):
        """Sets the release of some or all pools, which starts a wave."""
        changed = {
            name: replace(pool, release=release)
            for name, pool in self.configuration.pools_by_name.items()
            if pools is None or name in pools
        }
        self.configuration = replace(
            self.configuration,
            pools_by_name=self.configuration.pools_by_name | changed,
        )

    def is_done(self, release):
        """Whether every host is serving with the given release."""
        records = [
            r for m in self.memberships().values() for r in m.records_by_name.values()
        ]
        return all(h.release == release for h in self.hosts_by_name.values()) and all(
            record.phase is HostPhase.SERVING for record in records
        )

    def memberships(self):
        """Returns the stored ``Membership`` by data centre."""
        found = {}
        for centre in self.data_centres:
            key = MEMBERSHIP_KEY.format(data_centre=centre)
            value = self.platform.values_by_key.get(key, (b"",))[0]
            found[centre] = decode_membership(value)
        return found

    def uses(self):
        """Returns the stored ``BudgetUse`` by pool."""
        found = {}
        for pool in self.configuration.pools_by_name:
            value = self.platform.values_by_key.get(
                BUDGET_KEY.format(pool=pool), (b"",)
            )
            found[pool] = decode_budget(value[0])
        return found

    def moves(self):
        """Returns the number of moves in all data centres."""
        return sum(membership.moves for membership in self.memberships().values())

    # Time.

    def run(self, seconds):
        """Runs ticks for a span of fake time."""
        for _ in range(int(seconds / TICK_S)):
            self.tick()

    def run_until(self, condition, timeout_s):
        """Runs ticks until a condition holds; returns the fake seconds it took."""
        started = self.timers.now()
        while not condition():
            assert (
                self.timers.now() - started < timeout_s
            ), f"condition not met within {timeout_s} s: {self.summary()}"
            self.tick()
        return self.timers.now() - started

    def summary(self):
        """Returns the hosts by phase and by release, for error messages."""
        phases = defaultdict(int)
        for membership in self.memberships().values():
            for record in membership.records_by_name.values():
                phases[str(record.phase)] += 1
        releases = defaultdict(int)
        for host in self.hosts_by_name.values():
            releases[host.release] += 1
        return dict(phases), dict(releases)

    def tick(self):
        """Simulates one second: hosts, platform, managers, entry hosts, checks."""
        self.timers.advance(TICK_S)
        now = self.timers.now()
        self._update_hosts(now)
        self.platform.expire()
        for centre in self.data_centres:
            for manager in self.managers_by_centre[centre]:
                if manager["name"] not in self.paused_managers:
                    self._tick_manager(centre, manager)
        memberships = self.memberships()
        for centre, entries in self.entries_by_centre.items():
            if centre not in self.platform.cut_data_centres:
                entries.tick(memberships[centre], now)
            self._check_single_pool(entries, now)
        self._check(memberships)

    def _update_hosts(self, now):
        for name, release in self.platform.reboots:
            host = self.hosts_by_name[name]
            if name not in self._down_until and host.release != release:
                self._down_until[name] = now + REBOOT_S
                self._release_after_reboot[name] = release
        self.platform.reboots.clear()
        for name, until in list(self._down_until.items()):
            if until <= now:
                del self._down_until[name]
                release = self._release_after_reboot.pop(name, None)
                if release:
                    host = self.hosts_by_name[name]
                    self.hosts_by_name[name] = replace(host, release=release)
        listed_hosts = {
            name: (
                replace(host, state=HostState.LEAVING)
                if name in self._down_until
                else host
            )
            for name, host in self.hosts_by_name.items()
        }
        self._recent_lists.append((now, listed_hosts))
        while (
            len(self._recent_lists) > 1
            and self._recent_lists[1][0] <= now - self._lag_s
        ):
            self._recent_lists.pop(0)

    def listed(self, centre):
        """Returns the host list of a data centre as it was `lag_s` ago."""
        listed_hosts = self._recent_lists[0][1]
        return {n: h for n, h in listed_hosts.items() if h.data_centre == centre}

    def _tick_manager(self, centre, manager):
        planner, lease = manager["planner"], manager["lease"]
        if not run_to_completion(lease.renew()):
            if manager["leads"]:
                planner.discard_state()
            manager["leads"] = False
            return
        if not manager["leads"]:
            manager["leads"] = run_to_completion(planner.take_over())
            return
        view = self._view(centre, planner)
        if view is not None:
            run_to_completion(planner.carry_out_all(view, planner.decide(view)))

    def _view(self, centre, planner):
        entries = self.entries_by_centre[centre]
        acks = entries.acks(self.timers.now())
        listed = [f"{centre}-entry-{n}" for n in range(2)]
        return run_to_completion(
            planner.view(self.configuration, self.listed(centre), acks, listed, ())
        )

    def pause_leader(self, centre):
        """Pauses the leading planner of a data centre between decision and writes.

        Returns:
            (function that resumes the planner and carries out the commands,
            the commands that it had decided on)
        """
        leader = next(m for m in self.managers_by_centre[centre] if m["leads"])
        planner = leader["planner"]
        view = self._view(centre, planner)
        commands = planner.decide(view)
        self.paused_managers.add(leader["name"])

        def resume():
            before = dict(self.platform.values_by_key)
            run_to_completion(planner.carry_out_all(view, commands))
            key = MEMBERSHIP_KEY.format(data_centre=centre)
            if self.platform.values_by_key.get(key) != before.get(key):
                self.violations.append(
                    f"{leader['name']} wrote its membership after the pause"
                )
            self.paused_managers.discard(leader["name"])

        return resume, commands

    # Checks.

    def _check_single_pool(self, entries, now):
        for host, pools in entries.pools_by_host(now).items():
            if len(pools) > 1:
                self.violations.append(
                    f"{host} is used for several pools: {sorted(pools)}"
                )

    def _check(self, memberships):
        pools = self.configuration.pools_by_name
        out_by_pool = defaultdict(list)
        started = defaultdict(list)
        for centre, membership in memberships.items():
            if membership.term < self._terms_by_centre.get(centre, 0):
                self.violations.append(f"the term of {centre} decreased")
            self._terms_by_centre[centre] = membership.term
            for record in membership.records_by_name.values():
                before = self._phases_by_host.get(record.name, HostPhase.SERVING)
                self._phases_by_host[record.name] = record.phase
                if record.phase is HostPhase.SERVING:
                    continue
                out_by_pool[record.pool].append(record.name)
                is_taken_out = record.phase in (HostPhase.DRAINING, HostPhase.MOVING)
                if is_taken_out and before is HostPhase.SERVING:
                    started[record.pool].append(record.name)
        for pool, names in started.items():
            out = out_by_pool[pool]
            if len(out) > pools[pool].out_at_most:
                self.violations.append(
                    f"{pool}: {names} taken out; over budget with {out} out"
                )
            self._check_domains(pools[pool], names, out)
        for pool, use in self.uses().items():
            planned = sum(len(names) for names in use.planned.values())
            if planned > pools[pool].out_at_most:
                self.violations.append(
                    f"{pool}: planned use {use.planned} is over budget"
                )

    def _check_domains(self, pool, names, out):
        for name in names:
            rack = self.hosts_by_name[name].rack
            out_in_rack = [n for n in out if self.hosts_by_name[n].rack == rack]
            if len(out_in_rack) > pool.out_at_most_per_domain:
                self.violations.append(
                    f"{pool.name}: too many hosts out in {rack}: {out_in_rack}"
                )


def make_configuration(data_centres, pools, hosts, out_at_most, per_domain):
    """Returns tables with equal pools; the last one is the spare pool."""
    names = [f"pool-{number}" for number in range(pools)]
    spare = names[-1]
    rows = {
        name: Pool(
            name,
            {
                centre: tuple(f"{name}-{centre}-{n}" for n in range(hosts))
                for centre in data_centres
            },
            8,
            64,
            out_at_most,
            per_domain,
            spare if name != spare else "",
            OLD_RELEASE,
        )
        for name in names
    }
    routes = {
        name: Route(
            name, "*", f"/{name}", name, Urgency.NORMAL, 1, "team", True, DEADLINE_MS, 1
        )
        for name in names
    }
    return Configuration(1, routes, rows)


def make_hosts(configuration, hosts_per_rack=4):
    """Returns hosts by name.

    Racks are filled with a host of each pool in turn, so that the hosts of one
    pool spread over them.
    """
    hosts = {}
    columns = defaultdict(list)
    for pool in configuration.pools_by_name.values():
        for centre, names in pool.hosts_by_data_centre.items():
            for position, name in enumerate(names):
                columns[centre].append((position, name))
    for centre, rows in columns.items():
        for number, (_, name) in enumerate(sorted(rows)):
            rack = f"{centre}-rack-{number // hosts_per_rack}"
            hosts[name] = Host(name, centre, rack, "127.0.0.1", 1, release=OLD_RELEASE)
    return hosts
