"""Messages of the platform, decoded once into types with this project's names.

Numbers and texts that other writers may have sent are checked for their range here.
"""

from enum import StrEnum
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

# Limit of whole numbers: each fits into a float without loss.
MAX_WHOLE = 2**53
# Limit of a length of time or of a clock, in milliseconds: the year 5138 in Unix time.
MAX_MS = 1e14
# Length of a name or a label, and number of labels.
MAX_NAME_LENGTH = 200
MAX_LABELS = 100

Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
UnixMilliseconds = Annotated[int, Meta(ge=0, le=int(MAX_MS))]
# Time that is left may be negative: a worker may stay longer than it announced.
Milliseconds = Annotated[float, Meta(ge=-MAX_MS, le=MAX_MS)]
Quantity = Annotated[float, Meta(ge=0, le=MAX_WHOLE)]
# A worker's rough figure, of which only the range is checked.
Measure = Annotated[float, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Labels = Annotated[tuple[Name, ...], Meta(max_length=MAX_LABELS)]

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
PORT_PATTERN = (
    "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    "|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
# IPv4 address and port.
Address = Annotated[str, Meta(pattern=rf"\A({_OCTET}\.){{3}}{_OCTET}:{PORT_PATTERN}\Z")]


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Group of identical tasks of a job.

    Attributes:
        count: Number of tasks.
        cpu_millis: Requested processor share of a task, in thousandths of a core.
        memory_mb: Requested memory of a task.
        gpus: Requested accelerators of a task.
        estimate_ms: Declared duration of a task; often far off.
        after: Numbers of the earlier steps that must be done first.
        checkpoints: Whether a task saves its progress.
        is_gang: Whether all tasks must run at the same time (gang scheduling).
        same_rack: Whether tasks slow down when they are spread over racks.
        label: Label that a worker must have; empty for none.
        rack: Rack that holds the tasks' data; empty for none.
        most_per_worker: Most tasks on one worker; 0 for no limit.
        is_speculative: Whether copies of a task may run in parallel.
        is_perpetual: Whether tasks run until the job is cancelled.
        image: Program that a task runs; tasks of one image behave alike.
        target_ms: Limit of a serving task's tail latency; 0 for none.
        is_filler: Whether the tasks use only capacity that others leave unused.
        may_miss: Limit of tasks that orders may keep from running at a time.
    """

    count: int = 0
    cpu_millis: int = field(name="cpu", default=0)
    memory_mb: int = field(name="memMb", default=0)
    gpus: int = field(name="gpu", default=0)
    estimate_ms: float = field(name="estimateMs", default=0)
    after: tuple[int, ...] = ()
    checkpoints: bool = field(name="checkpoint", default=False)
    is_gang: bool = field(name="gang", default=False)
    same_rack: bool = field(name="sameRack", default=False)
    label: str = field(name="requirements", default="")
    rack: str = field(name="affinity", default="")
    most_per_worker: int = field(name="maxPerServer", default=0)
    is_speculative: bool = field(name="speculative", default=False)
    is_perpetual: bool = field(name="perpetual", default=False)
    image: str = ""
    target_ms: float = field(name="targetMs", default=0)
    is_filler: bool = field(name="fills", default=False)
    may_miss: int = field(name="mayMiss", default=0)


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as a caller submits it.

    Attributes:
        spec: Text sent with every start of a task.
        steps: Steps in order.
        repeats: Number of occurrences; 0 for a job without a schedule.
        first_ms: When the first occurrence is due, in Unix milliseconds.
        interval_ms: Time between occurrences in milliseconds.
    """

    spec: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: float = field(name="firstMs", default=0)
    interval_ms: float = field(name="intervalMs", default=0)


class Advice(msgspec.Struct, frozen=True):
    """Costs of asking the advice service about a step, and validity of its tickets.

    Attributes:
        decide_ms: Fixed part of the response time.
        each_ms: Additional response time for each worker named in the call.
        valid_ms: Validity of the tickets if the answer does not say.
    """

    decide_ms: float = field(name="decideMs", default=0)
    each_ms: float = field(name="eachMs", default=0)
    valid_ms: float = field(name="validMs", default=0)


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A route: a queue of jobs and the pool that runs them.

    Attributes:
        name: Name of the queue.
        host: ``Host`` header that selects it.
        prefix: Path prefix that selects it.
        pool: Pool whose workers run its tasks (``service`` on the wire).
        timeout_ms: Longest time that a request on the route may take.
        objective_ms: Time that a job may take beyond ``stretch`` times its critical
            path (``targetDurationMs`` on the wire).
        priority: Priority of its jobs; 0 is the highest and may preempt others.
        most_attempts: Number of failed runs after which a task fails for good.
        stretch: Factor on the critical path, see ``objective_ms``.
        advice: Set if starts need a ticket from the advice service.
    """

    name: str
    host: str = ""
    prefix: str = "/"
    pool: str = field(name="service", default="")
    timeout_ms: float = field(name="timeoutMs", default=3000)
    objective_ms: float = field(name="targetDurationMs", default=1000)
    priority: int = 0
    most_attempts: int = field(name="maxAttempts", default=1)
    stretch: float = 1.0
    advice: Advice | None = None


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of hosts (``services`` on the wire).

    Attributes:
        name: Name of the pool.
        health_path: Path of the workers' health check.
        most_connections: Limit of connections that a worker accepts.
        guards_capacity: Whether workers reject tasks that exceed their capacity.
        is_standby: Whether the pool's hosts are switched off and free of charge.
    """

    name: str
    health_path: str = field(name="healthPath", default="/health")
    most_connections: int = field(name="maxConns", default=64)
    guards_capacity: bool = field(name="enforcesCapacity", default=False)
    is_standby: bool = field(name="standby", default=False)


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' connections."""

    header_bytes: int = field(name="headerBytes", default=16384)
    body_bytes: int = field(name="bodyBytes", default=262144)
    header_timeout_ms: float = field(name="headerTimeoutMs", default=3000)
    idle_timeout_ms: float = field(name="idleTimeoutMs", default=15000)


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' whole configuration."""

    version: int
    queues: tuple[Queue, ...] = field(name="routes", default=())
    pools: tuple[Pool, ...] = field(name="services", default=())
    limits: Limits = Limits()


class Capacity(msgspec.Struct, frozen=True):
    """Capacity of a worker, in thousandths of a core, MB and accelerators."""

    cpu_millis: Whole = field(name="cpu", default=0)
    memory_mb: Whole = field(name="memMb", default=0)
    gpus: Whole = field(name="gpu", default=0)


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's registration in the store.

    Attributes:
        pool: Pool it serves (``service`` on the wire).
        address: IP address and port.
        data_centre: Its data centre (``zone`` on the wire).
        state: ``ready`` or ``draining``.
        capacity: What fits on it.
        labels: Its kind and its rack.
        remaining_ms: Minimum time left until it leaves, while it drains.
        warmup_ms: Remaining time for which it is slow after its start.
        born_ms: Time of its start in Unix milliseconds; identifies the incarnation.
        host: Host that runs it (``machine`` on the wire).
    """

    pool: Name = field(name="service")
    address: Address
    data_centre: Name = field(name="zone")
    state: Literal["ready", "draining"]
    capacity: Capacity
    labels: Labels = ()
    remaining_ms: Milliseconds | None = field(name="remainingMs", default=None)
    warmup_ms: Milliseconds = field(name="warmupLeftMs", default=0)
    born_ms: UnixMilliseconds | None = field(name="born", default=None)
    host: Name = field(name="machine", default="")


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run in progress: task, run, saved progress, percent, recent measurement.

    ``load_metric`` is the tail latency in milliseconds for a serving task, and the
    processor use in thousandths of a core for any other.
    """

    task: str
    run: Whole
    saved: str = ""
    percent: Measure = 0
    load_metric: Measure = 0


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """An ended run: number of the end, task, run, how it ended, saved progress."""

    number: Whole
    task: str
    run: Whole
    how: RunEnd
    saved: str = ""


class WorkerView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report of its running and its ended runs."""

    clock_ms: Milliseconds = field(name="timestampMs")
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = field(name="finished", default=())
    born_ms: UnixMilliseconds | None = field(name="born", default=None)


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a start or stop."""

    clock_ms: Milliseconds = field(name="timestampMs", default=0)
    reason: str = ""


class MachineRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host of the platform (``machine`` on the wire).

    Attributes:
        name: Name of the host, the same for all incarnations of its workers.
        pool: Pool that it belongs to.
        state: ``up``, ``moving``, ``upkeep`` or ``down``.
        data_centre: Its data centre.
        labels: Its kind and its rack.
        capacity: What fits on it.
        worker_id: Id of its current worker; None or empty if none.
    """

    name: Name = field(name="machine")
    pool: Name
    state: Name
    data_centre: Name = field(name="zone", default="")
    labels: Labels = ()
    capacity: Capacity = Capacity()
    worker_id: Name | None = field(name="id", default=None)


class MachinePage(msgspec.Struct, frozen=True):
    """One page of hosts; ``next_page`` is None on the last.

    ``machines`` holds the bytes of each ``MachineRow``, decoded one by one.
    """

    machines: tuple[msgspec.Raw, ...] = ()
    next_page: str | None = field(name="nextToken", default=None)


class Wave(msgspec.Struct, frozen=True, kw_only=True):
    """Hosts that are due for maintenance.

    Attributes:
        number: Number of the wave.
        hosts: Names of the hosts (``machines`` on the wire).
        duration_s: Time for the whole wave.
        most_at_once: Limit of hosts down at a time (``cap`` on the wire).
    """

    number: Whole = field(name="wave")
    hosts: tuple[Name, ...] = field(name="machines", default=())
    duration_s: Quantity = field(name="durationS", default=0)
    most_at_once: Whole = field(name="cap", default=1)


class AdviceReply(msgspec.Struct, frozen=True, kw_only=True):
    """Workers that may run a step: pairs of worker id and ticket."""

    good: tuple[tuple[str, str], ...] = ()
    valid_ms: float = field(name="validMs", default=0)


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """A key of the store as the platform writes it; ``value`` is base64."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    lease: int = 0
    is_deleted: bool = field(name="deleted", default=False)


class StorePage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of items, or the events of a watch."""

    items: tuple[StoredItem, ...] = ()
    events: tuple[StoredItem, ...] = ()
    has_more: bool = field(name="hasMore", default=False)
    revision: int = field(name="currentRev", default=0)


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a commit or a lease call."""

    revision: int = 0
    lease: int = 0
    ttl_ms: float = field(name="ttlMs", default=0)
