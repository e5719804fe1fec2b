"""Tables of jobs: specifications, states, task reports and results."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

JOB_METHOD = "JOB"
SUBMITTED_PREFIX = "jobs/{data_centre}/submitted/"
RECORDS_KEY = "jobs/{data_centre}/records/{shard:02d}"
RECORD_SHARDS = 8


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    LOST = "lost"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})
PLACED_STATES = frozenset(
    {JobState.RUNNING, JobState.CHECKPOINTING, JobState.STOPPING, JobState.LOST}
)


class JobVerdict(StrEnum):
    """Why a job failed permanently."""

    NONE = ""
    TOO_LARGE = "too-large"
    FAILS_EVERYWHERE = "fails-everywhere"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Size:
    """Processor cores and memory in MB."""

    cores: float
    memory_mb: float

    def fits(self, other):
        """Whether this size fits within another."""
        return self.cores <= other.cores and self.memory_mb <= other.memory_mb

    def plus(self, other):
        """Returns the sum."""
        return Size(self.cores + other.cores, self.memory_mb + other.memory_mb)

    def minus(self, other):
        """Returns the difference."""
        return Size(self.cores - other.cores, self.memory_mb - other.memory_mb)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    Attributes:
        job_id: ``data_centre.digest``.
        kind: Name of its route.
        team: Quota account.
        pool: Pool whose hosts run it.
        urgency: Rank, 0 most urgent.
        declared: Declared size.
        seconds: Declared run time in seconds.
        repeatable: Whether it may run more than once.
        submitted_at: Seconds since the epoch.
        payload: Text passed to the task.
    """

    job_id: str
    kind: str
    team: str
    pool: str
    urgency: int
    declared: Size
    seconds: float
    repeatable: bool
    submitted_at: float
    payload: str = ""

    @property
    def size_key(self):
        """Key by which usage is aggregated: (team, kind)."""
        return self.team, self.kind


@dataclass(frozen=True, slots=True)
class JobRecord:
    """State of a job; each job has one record.

    Attributes:
        spec: What was submitted.
        state: State.
        attempt: Number of starts so far.
        host: Host of the current attempt.
        reserved: Size reserved on that host.
        throttled: Whether it runs throttled in favour of more urgent work.
        changed_at: When the state began.
        failed_hosts: Hosts on which it failed.
        verdict: Why it failed permanently.
        cancels: Whether its cancellation was requested.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    host: str = ""
    reserved: Size = Size(0.0, 0.0)
    throttled: bool = False
    changed_at: float = 0.0
    failed_hosts: tuple[str, ...] = ()
    verdict: JobVerdict = JobVerdict.NONE
    cancels: bool = False

    @property
    def task_id(self):
        """Id of the current attempt's task on the platform."""
        return f"{self.spec.job_id}.{self.attempt}"


class TaskState(StrEnum):
    """State of a task as reported, with a delay, by the platform."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(msgspec.Struct, frozen=True):
    """One row of the platform's lagging task list.

    Attributes:
        task_id: Id of the task.
        host: Where it runs or ran.
        state: State.
        cores: Cores used.
        memory_mb: Memory used.
    """

    task_id: str
    host: str
    state: TaskState
    cores: float
    memory_mb: float


class TaskStart(msgspec.Struct, frozen=True):
    """A task to start; starts are idempotent by task id."""

    task_id: str
    host: str
    cores: float
    memory_mb: float
    payload: str


class Submission(msgspec.Struct, frozen=True):
    """Jobs and cancellations that one entry committed together."""

    specs: list[JobSpec] = []
    cancelled_ids: list[str] = []


@dataclass(frozen=True)
class JobsView:
    """All input of the job system for one tick.

    Attributes:
        now: Seconds since the epoch.
        records_by_id: All jobs of the data centre.
        capacities_by_host: Size of every serving or draining host.
        pools_by_host: Pool of every serving host.
        reports_by_task: Last task reports.
        quotas_by_kind: Maximum cores in use by (team, kind); absent for no limit.
        lapsed_at_by_host: When the task leases of a lost host have certainly lapsed.
        ejected_until_by_host: End of ejection of hosts that fail jobs which run
            elsewhere.
        leaving_hosts: Draining hosts, whose tasks are checkpointed.
    """

    now: float
    records_by_id: dict
    capacities_by_host: dict
    pools_by_host: dict
    reports_by_task: dict
    quotas_by_kind: dict = field(default_factory=dict)
    lapsed_at_by_host: dict = field(default_factory=dict)
    ejected_until_by_host: dict = field(default_factory=dict)
    leaving_hosts: frozenset = frozenset()


class RecordsShard(msgspec.Struct, frozen=True):
    """Job records that share one key on the platform."""

    records: list[JobRecord] = []


def shard_of(job_id):
    """Returns the number of the shard that contains a job's record."""
    return int(job_id.rsplit(".", 1)[1][:4], 16) % RECORD_SHARDS
