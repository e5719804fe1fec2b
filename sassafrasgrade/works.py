"""Tables of jobs, their tasks and runs, and of the workers that run them."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from sassafrasgrade.platform.messages import (
    Capacity,
    Configuration,
    JobRequest,
    Pool,
    Queue,
    Step,
)
from sassafrasgrade.tickets import TicketTable

MS_PER_S = 1000.0
# Hold on tasks that only the lifting of the barrier after a take-over ends.
UNTIL_LIFTED = float("inf")


class WorkState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Urgency(IntEnum):
    """What it is worth to start a job's tasks now, most first."""

    LASTING = 0
    IN_TIME = 1
    USEFUL = 2
    LATE = 3


ENDED_STATES = frozenset(
    {WorkState.COMPLETED, WorkState.FAILED, WorkState.CANCELLED},
)


class RunState(StrEnum):
    """What is known of one start of a task.

    ``UNCERTAIN`` is a start without an answer; ``STOPPING`` was told to stop.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker.

    Attributes:
        task: The task.
        number: Number of the start; rises for each task.
        worker_id: Worker it was sent to.
        state: What is known of it.
        started_at: Clock of the node when the start was sent, in seconds.
        answered_at: When the answer came; 0 before.
        deadline_ms: Time on the worker's clock after which the order is void.
        percent: Progress of the run; 100 means at work for lasting tasks.
        figure: Recent tail in ms (serving tasks) or thousandths of a core.
        at_work_at: When a lasting task was first seen at work; 0 before.
        pace: Share of its speed that it may use, in percent.
        changed_at: When ``percent`` last rose.
        stopped_at: When a stop was first sent; 0 before.
        stop_answered_at: When the worker confirmed a stop; 0 before.
        ticket: Ticket of the advice service, if the queue needs one.
    """

    task: "Task"
    number: int
    worker_id: str
    state: RunState
    started_at: float
    answered_at: float = 0.0
    deadline_ms: float = 0.0
    percent: float = 0.0
    figure: float = 0.0
    at_work_at: float = 0.0
    pace: int = 100
    changed_at: float = 0.0
    stopped_at: float = 0.0
    stop_answered_at: float = 0.0
    ticket: str = ""


@dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence of a step.

    Attributes:
        name: ``job.occurrence.step.index``.
        job: Job it belongs to.
        occurrence: Number of the occurrence.
        step_number: Number of its step.
        index: Index in its step.
        step: What the step asks for.
        is_done: Whether a run has ended ``done``.
        failed_numbers: Numbers of runs that ended ``failed``; an end may be
            told again to a successor and counts once.
        runs_by_number: Runs not known to have ended.
        saved: Last saved progress.
        last_number: Highest run number used in this leadership.
        excluded_workers: Workers on which it failed or stood still.
        not_before: Clock before which it is not started again.
        held_until: Clock before which an unseen run may still exist.
        waiting_since: Clock when it last became startable.
    """

    name: str
    job: "Job"
    occurrence: int
    step_number: int
    index: int
    step: Step
    is_done: bool = False
    failed_numbers: set[int] = field(default_factory=set)
    runs_by_number: dict[int, Run] = field(default_factory=dict)
    saved: str = ""
    last_number: int = 0
    excluded_workers: set[str] = field(default_factory=set)
    not_before: float = 0.0
    held_until: float = 0.0
    waiting_since: float = 0.0


@dataclass(slots=True, eq=False)
class StepRow:
    """Tasks of a step in one occurrence.

    Attributes:
        step: What the step asks for.
        number: Number of the step.
        tasks: Its tasks by index.
        left: Tasks not done.
    """

    step: Step
    number: int
    tasks: list[Task]
    left: int


@dataclass(slots=True, eq=False)
class Occurrence:
    """One run through a job's steps, due at a time (Unix seconds)."""

    number: int
    due_at: float
    steps: list[StepRow]

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return all(row.left == 0 for row in self.steps)


@dataclass(slots=True, eq=False)
class Job:
    """A job that was accepted.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue_name: Queue it was submitted to.
        request: What was submitted.
        accepted_at: Unix seconds at which it arrived.
        state: State as stored; ends are shown only once stored.
        pending_state: State to be stored, or None.
        has_started: Whether any task was ever started.
        occurrences: Occurrences made so far, by number.
        done_occurrences: Numbers of occurrences that are done.
        next_occurrence: Number of the next occurrence to create.
        is_dirty: Whether progress is to be stored.
        version: Count of changes, to tell what a write has covered.
        progress_revision: Store revision of its progress; 0 for none.
        urgency: Whether it can still be in time, as of the last placement.
    """

    job_id: str
    queue_name: str
    request: JobRequest
    accepted_at: float
    state: WorkState = WorkState.QUEUED
    pending_state: WorkState | None = None
    has_started: bool = False
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    done_occurrences: set[int] = field(default_factory=set)
    next_occurrence: int = 0
    is_dirty: bool = False
    version: int = 0
    progress_revision: int = 0
    urgency: Urgency = Urgency.IN_TIME

    @property
    def is_open(self):
        """Whether tasks may still start."""
        return self.pending_state is None and self.state not in ENDED_STATES

    @property
    def is_lasting(self):
        """Whether its tasks run until it is cancelled."""
        return any(step.is_perpetual for step in self.request.steps)

    @property
    def occurrence_count(self):
        """Occurrences in all."""
        return max(1, self.request.repeats)


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a host, as a worker of a pool.

    Attributes:
        worker_id: Its identifier.
        address: IP address and port.
        pool: Pool it serves.
        data_centre: Where it stands.
        capacity: What fits on it.
        labels: Its kind and its rack.
        is_draining: Whether it takes no new work.
        leaves_at: Clock at which it may be gone; None if it stays.
        born_ms: Start of its present life; None before it said so.
        host: Name of its host; empty while unknown.
        clock_offset_ms: Its clock minus the node's, in milliseconds.
        is_fenced: Whether it has answered under the present token.
        runs_by_key: Runs by (task name, number).
        seen_end: Number of the last end taken in.
        stored_end: Number of the last end that may be forgotten there.
        lease_until: Clock at which all its runs have lapsed without renewal.
        last_answer_at: Clock of its last answer.
        view_clock_ms: Its own clock at the last view taken in.
        silent_since: Clock of the first call without answer since; 0 if none.
        failures: Recent failed runs, decaying.
        successes: Recent done runs, decaying.
        trusted_after: Clock before which it gets no work but a probe.
        slowness: Learned factor on run times.
        missing_since: Clock since when its entry is missing; 0 if listed.
        paced_at: Clock of the last change of its fillers' pace.
        is_reserved: Whether the planner keeps new work off it.
        is_yielding: Whether it gets no work that is late already, since another
            pool has more use for its host.
    """

    worker_id: str
    address: str
    pool: str
    data_centre: str
    capacity: Capacity
    labels: tuple[str, ...]
    is_draining: bool = False
    leaves_at: float | None = None
    born_ms: int | None = None
    host: str = ""
    clock_offset_ms: float | None = None
    is_fenced: bool = False
    runs_by_key: dict[tuple[str, int], Run] = field(default_factory=dict)
    seen_end: int = 0
    stored_end: int = 0
    lease_until: float = 0.0
    last_answer_at: float = 0.0
    view_clock_ms: float = 0.0
    silent_since: float = 0.0
    failures: float = 0.0
    successes: float = 0.0
    trusted_after: float = 0.0
    slowness: float = 1.0
    missing_since: float = 0.0
    paced_at: float = 0.0
    is_reserved: bool = False
    is_yielding: bool = False

    @property
    def rack(self):
        """Label of its rack (the last label)."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class EndedLife:
    """A worker's life that is taken for ended.

    Its registration stays listed until its heartbeats are missed. An order that
    had been carried out before ends nothing, though: a worker that is listed
    still after ``until`` is alive.

    Attributes:
        born_ms: Start of the life.
        until: Clock until which its registration is ignored.
    """

    born_ms: int | None
    until: float


@dataclass(slots=True)
class WorkTables:
    """Everything that the scheduling systems read and change.

    Attributes:
        epoch: Number of the leadership; starts numbers of runs apart.
        remote_slowdown: Factor on tasks away from the rack of their data.
        dirty_job_ids: Jobs whose progress is to be stored.
        tickets: Tickets of the advice service.
        ended_by_worker: ``EndedLife`` of workers that orders have ended.
        has_seen_work: Whether any job that ends by itself was accepted.
    """

    epoch: int = 0
    remote_slowdown: float = 2.0
    configuration: Configuration | None = None
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    open_jobs_by_id: dict[str, Job] = field(default_factory=dict)
    tasks_by_name: dict[str, Task] = field(default_factory=dict)
    workers_by_id: dict[str, Worker] = field(default_factory=dict)
    dirty_job_ids: set[str] = field(default_factory=set)
    tickets: TicketTable = field(default_factory=TicketTable)
    ended_by_worker: dict[str, "EndedLife"] = field(default_factory=dict)
    has_seen_work: bool = False

    def adopt_configuration(self, configuration):
        """Takes a newer configuration; queues that were removed are kept.

        Jobs accepted on a removed route are still run by its last pool.
        """
        self.configuration = configuration
        self.pools_by_name = {pool.name: pool for pool in configuration.pools}
        for queue in configuration.queues:
            self.queues_by_name[queue.name] = queue

    def pool_of(self, job):
        """Returns the name of the pool that runs a job, or None."""
        queue = self.queues_by_name.get(job.queue_name)
        return queue.pool if queue is not None else None

    def mark_dirty(self, job):
        """Notes that a job's progress is to be stored."""
        job.is_dirty = True
        job.version += 1
        self.dirty_job_ids.add(job.job_id)


def create_occurrence(job, number):
    """Creates the rows of one occurrence and returns its tasks."""
    request = job.request
    due_at = job.accepted_at
    if request.repeats > 0:
        due_at = (request.first_ms + number * request.interval_ms) / MS_PER_S
    rows = []
    for step_number, step in enumerate(request.steps):
        tasks = [
            Task(
                f"{job.job_id}.{number}.{step_number}.{index}",
                job,
                number,
                step_number,
                index,
                step,
            )
            for index in range(step.count)
        ]
        rows.append(StepRow(step, step_number, tasks, len(tasks)))
    occurrence = Occurrence(number, due_at, rows)
    job.occurrences[number] = occurrence
    return [task for row in rows for task in row.tasks]


def step_row_of(task):
    """Returns the row of a task's step."""
    return task.job.occurrences[task.occurrence].steps[task.step_number]
