"""Messages between nodes: every node keeps one stream to the leader."""

import msgspec


class NodeHello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of either side: who speaks.

    Attributes:
        node: Name of the node.
        incarnation: Differs for every start of the process.
        leads: Fencing token of its leadership; 0 if it does not lead.
    """

    node: str
    incarnation: str
    leads: int = 0


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A job was stored; ``record`` is its stored record."""

    job_id: str
    record: bytes


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A job's cancellation was stored."""

    job_id: str


class StateQuestion(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks the leader for the state of a job."""

    number: int
    job_id: str


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a question; ``state`` is empty for a job unknown to the leader."""

    number: int
    state: str


class LeaderBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What the leader tells all nodes several times a second.

    Attributes:
        token: Fencing token of the leadership.
        configuration_version: Version that the leader has.
        waiting_by_queue: Accepted jobs without a started task, by queue.
        wait_s_by_queue: Expected wait of a new job, by queue.
    """

    token: int
    configuration_version: int
    waiting_by_queue: dict[str, int]
    wait_s_by_queue: dict[str, float]


class NodeBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What a node tells the leader: versions, and how long its store is silent."""

    configuration_version: int
    store_silent_s: float


class HandedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be under way: task, number, worker, lease left."""

    task: str
    number: int
    worker_id: str
    lease_left_s: float


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The leader has stopped giving orders; its key may be taken over.

    Attributes:
        revision: Revision of the leader's key.
        is_complete: Whether ``runs`` holds all that may run anywhere.
        runs: What the leader knows to be started and not ended.
        progress_by_job: Stored form of progress that is not stored yet.
    """

    revision: int
    is_complete: bool = False
    runs: tuple[HandedRun, ...] = ()
    progress_by_job: dict[str, bytes] = {}


class HandOverRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks a leader whose key vanished to hand over, if it lost the store."""

    revision: int


class HeardQuestion(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks a node how long ago it heard the leader."""

    leader_incarnation: str


class HeardReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers with the silence in seconds; negative for another leader."""

    silent_s: float


NodeMessage = (
    NodeHello
    | JobAccepted
    | JobCancelled
    | StateQuestion
    | StateReply
    | LeaderBeat
    | NodeBeat
    | HandOver
    | HandOverRequest
    | HeardQuestion
    | HeardReply
)
