"""Typed messages between the system's own processes."""

import msgspec

from sassafrasgrade.configurations import Commit
from sassafrasgrade.fleets import HostRecord
from sassafrasgrade.systems.claims import ClaimRecord, ClaimVerdict
from sassafrasgrade.tables import Configuration, Host, Pool, Route


class Message(msgspec.Struct, frozen=True, tag_field="t", array_like=True):
    """Base of all messages; the tag names the type on the wire."""


class Hello(Message, tag="hello"):
    """First message on a stream: identifies the sender.

    ``role`` is manager, entry or operator.
    """

    name: str
    data_centre: str
    role: str
    incarnation: int = 0


class MembershipAck(Message, tag="mack"):
    """The membership version that an entry applies, and the hosts it still uses.

    ``busy_hosts`` lists only hosts that are not serving.
    """

    entry: str
    version: int
    busy_hosts: list[str]


class Heartbeat(Message, tag="hb"):
    """Sent by a manager to its peers.

    Attributes:
        generation: Configuration generation of this manager.
        hosts_version: Version of its host list.
        entry_generation: Generation in force at the local entry; -1 if it is down.
        platform_age_s: Seconds since the platform answered this manager.
        reading: Whether this manager reads the platform now.
        entry_state: State of the local entry: ready, stopping, no-configuration or
            down.
        membership_version: Version of its membership.
        planning: Whether this manager plans the data centre.
        entry_acks: Membership acknowledgements of the entries connected to it.
        burning_pools: Pools whose error budget burns too fast.
    """

    generation: int
    hosts_version: int
    entry_generation: int
    platform_age_s: float
    reading: bool
    entry_state: str = "ready"
    membership_version: int = 0
    planning: bool = False
    entry_acks: list[MembershipAck] = []
    burning_pools: list[str] = []


class ConfigurationRequest(Message, tag="creq"):
    """Requests what is newer than ``generation``: commits or a snapshot."""

    generation: int


class ConfigurationDelta(Message, tag="cdelta"):
    """Consecutive commits; the last one produces ``generation``."""

    generation: int
    commits: list[Commit]


class ConfigurationSnapshot(Message, tag="csnap"):
    """Routes and pools at one generation."""

    generation: int
    routes: list[Route]
    pools: list[Pool]
    commit_id: str

    @classmethod
    def of(cls, configuration):
        """Builds the message from a ``Configuration``."""
        return cls(
            configuration.generation,
            list(configuration.routes_by_name.values()),
            list(configuration.pools_by_name.values()),
            configuration.commit_id,
        )

    def configuration(self):
        """Returns the ``Configuration`` that the message carries."""
        return Configuration(
            self.generation,
            {row.name: row for row in self.routes},
            {row.name: row for row in self.pools},
            self.commit_id,
        )


class HostsRequest(Message, tag="hreq"):
    """Requests the host list if it is newer than ``version``."""

    version: int


class HostsUpdate(Message, tag="hosts"):
    """Host list of one data centre, whole or as changes to ``base_version``.

    ``base_version`` 0 means whole.
    """

    version: int
    base_version: int
    changed: list[Host]
    removed: list[str] = []


class MembershipRequest(Message, tag="memreq"):
    """Requests the membership if it is newer than ``version``."""

    version: int


class MembershipUpdate(Message, tag="mem"):
    """Membership of one data centre as changes to ``base_version`` (0: whole)."""

    version: int
    base_version: int
    changed: list[HostRecord]
    removed: list[str]
    moves: int


class PeersUpdate(Message, tag="peers"):
    """Manager to entry: the known entry hosts, as name/data_centre/address."""

    peers: list[str]


class EntryReport(Message, tag="erep"):
    """Entry to manager: the generation in force and the state."""

    generation: int
    hosts_version: int
    state: str
    membership_version: int = 0
    busy_hosts: list[str] = []
    burning_pools: list[str] = []


class ManagerCounters(Message, tag="mcnt"):
    """Manager to entry: counters that the entry exposes, by name."""

    values: dict[str, float]


class StatusRequest(Message, tag="sreq"):
    """Operator to manager: requests its status."""


class EntryHostStatus(msgspec.Struct, frozen=True):
    """Status of one entry host as a manager knows it; ages in seconds.

    ``heard_age_s`` is the age of the last heartbeat of its manager.
    """

    name: str
    data_centre: str
    alive: bool
    generation: int
    entry_generation: int
    entry_state: str
    reading: bool
    platform_age_s: float
    heard_age_s: float


class EntryStatus(msgspec.Struct, frozen=True):
    """What an entry reported to the manager it is connected to."""

    name: str
    generation: int
    state: str


class StatusReply(Message, tag="srep"):
    """Manager to operator: its own data centre, its peers and its entries."""

    name: str
    data_centre: str
    generation: int
    hosts_version: int
    entry_hosts: list[EntryHostStatus]
    entries: list[EntryStatus]
    hosts: list[Host]
    records: list[HostRecord]
    planning: bool
    moves: int


class SlotRequest(Message, tag="sq"):
    """Entry to owner: requests a slot of a pool.

    ``deadline_ms`` is the time left until the whole answer is due.
    """

    request_id: str
    pool: str
    urgency: int
    team: str
    weight: int
    repeatable: bool
    deadline_ms: int
    excluded: tuple[str, ...] = ()


class SlotCancel(Message, tag="sc"):
    """Entry to owner: the request no longer waits."""

    request_id: str


class SlotGrant(Message, tag="sg"):
    """Owner to entry: a slot lease for one start.

    It is valid for ``valid_ms`` from the grant. The entry counts from the time of
    its request plus ``waited_ms``, which is never later than the grant itself, so
    that a grant read late, after a pause, has lapsed.
    """

    request_id: str
    host: str
    address: str
    port: int
    waited_ms: int
    valid_ms: int


class SlotRefusal(Message, tag="sr"):
    """Owner to entry: no slot is available; ``reason`` is an ``answers.Reason``."""

    request_id: str
    reason: str
    retry_after_ms: int


class SlotDone(Message, tag="sd"):
    """Entry to owner: releases the slot and reports the result of the attempt.

    ``busy`` is the number of busy slots that the server reported, or -1.
    """

    request_id: str
    host: str
    result: str
    status: int
    service_ms: float
    busy: int = -1
    leaving: bool = False


class ClassWait(Message, tag="cw"):
    """Predicted wait of one class that is queued at an owner."""

    urgency: int
    team: str
    wait_ms: int


class PoolLoad(Message, tag="pl"):
    """Owner to entries: its free slots and predicted waits in one pool.

    ``step_ms`` is how much one more request lengthens the wait of its class.
    """

    pool: str
    slots: int
    free_slots: int
    step_ms: int
    ejected: int
    waits: list[ClassWait] = []


class ClaimRequest(Message, tag="kq"):
    """Entry to writer: asks to commit a claim or settlement of an idempotency key.

    ``hops`` counts how often it was forwarded.
    """

    number: int
    shard: int
    record: ClaimRecord
    hops: int


class ClaimReply(Message, tag="kr"):
    """Writer to entry: the verdict, with the stored answer of a key that ran."""

    number: int
    verdict: ClaimVerdict
    stored: ClaimRecord | None = None


class EntryHello(Message, tag="el"):
    """Entry to entry: first message on a stream."""

    name: str
    data_centre: str


class EntryHeartbeat(Message, tag="eh"):
    """Entry to entry: shows that the sender is alive.

    Carries its generation in force and its loads that changed.
    """

    name: str
    data_centre: str
    generation: int
    stopping: bool
    loads: list[PoolLoad] = []


AnyMessage = (
    Hello
    | Heartbeat
    | ConfigurationRequest
    | ConfigurationDelta
    | ConfigurationSnapshot
    | HostsRequest
    | HostsUpdate
    | MembershipRequest
    | MembershipUpdate
    | PeersUpdate
    | EntryReport
    | ManagerCounters
    | StatusRequest
    | StatusReply
)

AnySlotMessage = (
    SlotRequest
    | SlotCancel
    | SlotGrant
    | SlotRefusal
    | SlotDone
    | ClaimRequest
    | ClaimReply
    | EntryHello
    | EntryHeartbeat
)
