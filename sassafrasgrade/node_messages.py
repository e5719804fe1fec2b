"""Messages between nodes; every node has one stream to the leader."""

import msgspec

from sassafrasgrade.job_records import StoredQueue
from sassafrasgrade.platform.messages import Quantity, Whole


class NodeHello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of either side: identifies the sender.

    Attributes:
        node: Name of the node.
        incarnation: Differs for every start of the process.
        leader_token: Fencing token of its leadership; 0 if it is not the leader.
    """

    node: str
    incarnation: str
    leader_token: int = 0


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Notifies the leader of a stored job; ``record`` is its stored record."""

    job_id: str
    record: bytes


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Notifies the leader that a job's cancellation was stored."""

    job_id: str


class StateQuestion(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks the leader for the state of a job."""

    number: int
    job_id: str


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a ``StateQuestion``; ``state`` is empty if the leader has no such job."""

    number: int
    state: str


class RouteQuestion(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks the leader for the queue of a request, by host and path."""

    number: int
    host: str
    path: str


class RouteReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a ``RouteQuestion``.

    Attributes:
        number: Number of the question.
        version: Version of the configuration that decided; 0 if the leader's own may
            be outdated.
        queue_name: Name of the queue; empty if no queue matches.
        prefix: Prefix of the queue.
        queue: Settings to store with a job; None from nodes of earlier versions.
    """

    number: int
    version: int
    queue_name: str
    prefix: str
    queue: StoredQueue | None = None


class LeaderBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of the leader, sent to all nodes several times a second.

    Attributes:
        token: Fencing token of the leadership.
        configuration_version: Version of the leader's configuration.
        waiting_by_queue: Accepted jobs without a started task, by queue.
        wait_s_by_queue: Expected wait of a new job, by queue.
        held_by_queue: Memory of the accepted work in bytes, by queue.
        freed_per_s: Rate at which it becomes free, in bytes a second.
    """

    token: int
    configuration_version: int
    waiting_by_queue: dict[str, int]
    wait_s_by_queue: dict[str, float]
    held_by_queue: dict[str, Whole] = {}
    freed_per_s: Quantity = 0.0


class NodeBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of a node, sent to the leader.

    Attributes:
        configuration_version: Version of the node's configuration.
        store_answer_age_s: Seconds since the store last answered it.
        node: Its name; empty from nodes of earlier versions.
        outage_age_s: Seconds since its last heartbeat to any leader that reported an
            outage of the store; None from nodes of earlier versions.
    """

    configuration_version: int
    store_answer_age_s: float
    node: str = ""
    outage_age_s: Quantity | None = None


class HandedOverRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be under way.

    Attributes:
        task: Name of its task.
        number: Number of the run.
        worker_id: Its worker; empty if that is not listed.
        lease_left_s: Remaining lease in seconds.
        lasted_s: How long it had lasted at its worker's last answer, in seconds; None
            if that, or whether it began, is not known.
    """

    task: str
    number: Whole
    worker_id: str
    lease_left_s: Quantity
    lasted_s: Quantity | None = None


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hands over leadership: the leader gives no more orders, its key may be taken.

    Attributes:
        revision: Revision of the leader's key.
        is_complete: Whether ``runs`` holds all runs that may be under way anywhere.
        runs: Runs that the leader knows to be started and not ended.
        progress_by_job: Encoded progress that is not stored yet, by job id.
        order_age_s_by_host: Seconds since the last order to a host, for hosts that
            its successor may not give orders yet.
    """

    revision: int
    is_complete: bool = False
    runs: tuple[HandedOverRun, ...] = ()
    progress_by_job: dict[str, bytes] = {}
    order_age_s_by_host: dict[str, float] = {}


class HandOverRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks a leader whose key vanished for a handover, if it lost the store."""

    revision: int


class HeardQuestion(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks a node how long ago it last received a message from the leader."""

    leader_incarnation: str


class HeardReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a ``HeardQuestion``.

    Attributes:
        silent_s: Seconds since the node's last message from the leader; negative if
            the node has no stream to that leader.
    """

    silent_s: float


NodeMessage = (
    NodeHello
    | JobAccepted
    | JobCancelled
    | StateQuestion
    | StateReply
    | RouteQuestion
    | RouteReply
    | LeaderBeat
    | NodeBeat
    | HandOver
    | HandOverRequest
    | HeardQuestion
    | HeardReply
)
