"""Tables of the planner: host records and the use of availability budgets."""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import cached_property

import msgspec

MEMBERSHIP_KEY = "fleet/{data_centre}/membership"
PLANNER_KEY = "fleet/{data_centre}/planner"
BUDGET_KEY = "fleet/budgets/{pool}"


class HostPhase(StrEnum):
    """Phase of a host in its pool; only SERVING hosts get work."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"
    RETURNING = "returning"
    MOVING = "moving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Pool and phase of a host; each host has exactly one record.

    Attributes:
        name: Host name.
        pool: Pool that it belongs to.
        epoch: Incremented with every change of pool.
        phase: Its phase.
        since: When the phase began, seconds since the epoch.
        version: Membership version at which the phase began.
        configured: Pool that the pools table listed the host in when the table was
            last applied to it; ``pool`` differs after a replacement.
        target: Pool that it moves to, if it is MOVING.
    """

    name: str
    pool: str
    epoch: int
    phase: HostPhase
    since: float
    version: int = 0
    configured: str = ""
    target: str = ""


@dataclass(frozen=True)
class Membership:
    """All host records of one data centre: one value on the platform.

    Attributes:
        version: Incremented with every write.
        term: Incremented by every new planner, to fence writes of the former one.
        records_by_name: The records.
        skipped_until: Time until which maintenance skips a host, by host name.
        moves: Hosts moved from pool to pool so far.
    """

    version: int = 0
    term: int = 0
    records_by_name: dict[str, HostRecord] = field(default_factory=dict)
    skipped_until: dict[str, float] = field(default_factory=dict)
    moves: int = 0

    @cached_property
    def records_by_pool(self):
        """The records, listed by pool."""
        by_pool = defaultdict(list)
        for record in self.records_by_name.values():
            by_pool[record.pool].append(record)
        return by_pool

    def of_pool(self, pool):
        """Returns the records of a pool."""
        return self.records_by_pool.get(pool, [])


@dataclass(frozen=True)
class BudgetUse:
    """Use of a pool's availability budget: hosts by data centre.

    Attributes:
        planned: Hosts that planners have taken out or are about to take out.
        failed: Hosts that failed.
    """

    planned: dict[str, tuple[str, ...]] = field(default_factory=dict)
    failed: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def total(self):
        """Returns the number of hosts out for any reason."""
        parts = [*self.planned.values(), *self.failed.values()]
        return len({name for names in parts for name in names})

    def planned_in(self, data_centre):
        """Returns the hosts planned to be out in a data centre."""
        return frozenset(self.planned.get(data_centre, ()))

    def failed_in(self, data_centre):
        """Returns the hosts failed in a data centre."""
        return frozenset(self.failed.get(data_centre, ()))

    def with_planned(self, data_centre, names):
        """Returns a copy with the planned hosts of a data centre replaced."""
        return replace(self, planned=self.planned | {data_centre: tuple(sorted(names))})

    def with_failed(self, data_centre, names):
        """Returns a copy with the failed hosts of a data centre replaced."""
        return replace(self, failed=self.failed | {data_centre: tuple(sorted(names))})


@dataclass(frozen=True, slots=True)
class EntryAck:
    """Last acknowledgement of the membership by one entry host.

    Attributes:
        version: Membership version that it has applied.
        busy_hosts: Hosts that it still uses although they are not SERVING.
    """

    version: int
    busy_hosts: frozenset[str] = frozenset()


@dataclass(frozen=True)
class FleetView:
    """All input of a planner for one tick.

    Attributes:
        data_centre: Data centre of the planner.
        now: Seconds since the epoch.
        pools_by_name: Pools in force.
        deadlines_by_pool: Longest route deadline of each pool, in seconds.
        hosts_by_name: Backend servers in the platform's host list of the data centre.
        membership: Host records.
        uses_by_pool: Budget use by pool.
        acks_by_entry: Last acknowledgement by entry host.
        listed_entries: Entry hosts that the platform lists in the data centre.
        racks_by_name: Failure domain by name of every host that was ever listed.
        missing_since: When each host was first found unlisted or not live, by name.
        probed: Returning hosts whose probe succeeded.
        burning_pools: Pools whose burn rate is too high for maintenance.
    """

    data_centre: str
    now: float
    pools_by_name: dict
    deadlines_by_pool: dict
    hosts_by_name: dict
    membership: Membership
    uses_by_pool: dict
    acks_by_entry: dict
    listed_entries: frozenset
    racks_by_name: dict
    missing_since: dict
    probed: frozenset = frozenset()
    burning_pools: frozenset = frozenset()

    def budget_use(self, pool):
        """Returns the budget use of a pool."""
        return self.uses_by_pool.get(pool, BudgetUse())


def encode_record(value):
    """Encodes a ``Membership`` or ``BudgetUse`` for the platform."""
    return msgspec.msgpack.encode(value)


def decode_membership(value):
    """Decodes a membership value; an absent one is an empty membership."""
    return msgspec.msgpack.decode(value, type=Membership) if value else Membership()


def decode_budget(value):
    """Decodes a budget value; an absent one is an unused budget."""
    return msgspec.msgpack.decode(value, type=BudgetUse) if value else BudgetUse()
