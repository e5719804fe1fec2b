"""Tables of jobs, their tasks and runs, and of the workers that run them."""

import math
from array import array
from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import msgspec

from sassafrasgrade.platform.messages import (
    Capacity,
    Configuration,
    EndedRow,
    JobRequest,
    Pool,
    Queue,
    RunningRow,
    Step,
)
from sassafrasgrade.refused_values import RefusedValues
from sassafrasgrade.tickets import TicketTable

MS_PER_S = 1000.0
# ``WorkTables.held_pools`` before it is known which workers have not reported.
ALL_POOLS = None


class WorkState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Urgency(IntEnum):
    """Value of starting a job's tasks now, highest first.

    ``PERPETUAL``: it runs until it is cancelled. ``IN_TIME``: it can still meet its
    objective. ``USEFUL``: it can still earn partial value. ``LATE``: it cannot.
    """

    PERPETUAL = 0
    IN_TIME = 1
    USEFUL = 2
    LATE = 3


ENDED_STATES = frozenset(
    {WorkState.COMPLETED, WorkState.FAILED, WorkState.CANCELLED},
)


class RunState(StrEnum):
    """Known state of one start of a task.

    ``UNCERTAIN``: the start order got no answer. ``STOPPING``: a stop was sent.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a worker under a task.

    Attributes:
        host: Name of the worker's host, or its address.
        was_alone: Whether the worker ran nothing else.
        was_likely: Whether the task had just started there.
        is_proven: Whether the task had certainly begun there: its start was answered,
            or a list of the worker showed it.
        was_prompt: Whether the worker, which got no other runs and was asked in short
            intervals after it had answered the start, answered only the first calls.
    """

    host: str
    was_alone: bool
    was_likely: bool
    is_proven: bool = False
    was_prompt: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker.

    Attributes:
        task: The task.
        number: Number of the start; increases with each start of a task.
        worker_id: Worker it was sent to.
        state: Its known state.
        started_at: Clock of the node when the run was placed, in seconds.
        sent_at: Clock when its start was sent; 0 if this leader sent none.
        sent_to_born_ms: Incarnation of the worker that its start was sent to.
        token: Fencing token that its start carried.
        answered_at: When the start was confirmed; 0 before.
        deadline_ms: Time on the worker's clock after which the order is void.
        percent: Progress of the run; 100 means at work for perpetual tasks.
        load_metric: Recent tail latency in ms for serving tasks, else CPU use in
            thousandths of a core.
        at_work_at: When a perpetual task was first reported at work; 0 before.
        pace: Speed that it is limited to, in percent.
        changed_at: When ``percent`` last increased, or was first shown.
        watched_at: Clock since when this leader has followed ``percent``; 0 before.
            Progress from before it was made in a time that is not known.
        watched_percent: ``percent`` at that clock.
        stopped_at: When a stop was last sent; 0 before the first.
        stop_answered_at: When the worker confirmed a stop; 0 before.
        ticket: Ticket of the advice service, if the queue needs one.
        is_isolated: Whether its worker gets no other runs, and is asked in short
            intervals whether it is up, since its task may crash workers.
        lasted_before_s: How long it had lasted when this leader took it over, in
            seconds; infinite if an earlier leader started it at an unknown time.
        is_lease_known: Whether it surely lapses by its worker's ``lease_until``: it is
            on the incarnation whose clock sets the deadlines, or on one whose clock is
            ahead.
        saved: Saved progress that it was placed with, or has reported since; empty for
            none.
    """

    task: "Task"
    number: int
    worker_id: str
    state: RunState
    started_at: float
    sent_at: float = 0.0
    sent_to_born_ms: int | None = None
    token: int = 0
    answered_at: float = 0.0
    deadline_ms: float = 0.0
    percent: float = 0.0
    load_metric: float = 0.0
    at_work_at: float = 0.0
    pace: int = 100
    changed_at: float = 0.0
    watched_at: float = 0.0
    watched_percent: float = 0.0
    stopped_at: float = 0.0
    stop_answered_at: float = 0.0
    ticket: str = ""
    is_isolated: bool = False
    lasted_before_s: float = 0.0
    is_lease_known: bool = False
    saved: str = ""


class SaveReport(IntEnum):
    """What reported a saved value; of one run, the later kinds go further.

    ``LISTED``: the run was listed with it. ``ENDED``: the run ended with it.
    ``STOPPED``: the run was stopped, for which it saved once more.
    """

    LISTED = 0
    ENDED = 1
    STOPPED = 2


@dataclass(slots=True, eq=False)
class SavedProgress:
    """The furthest progress known to be saved of a task, or of a whole gang.

    The value is opaque: run, report and percent say how far it goes.

    Attributes:
        value: What a start carries; empty for none.
        run: Number of the run that reported it.
        report: What reported it.
        percent: Progress of the run when it was listed with it; 0 for ends.
    """

    value: str = ""
    run: int = 0
    report: SaveReport = SaveReport.LISTED
    percent: float = 0.0

    def is_beyond(self, run, report, percent):
        """Whether it goes further than a value that was reported so."""
        return (self.run, self.report, self.percent) > (run, report, percent)

    def replace(self, value, run, report, percent):
        """Takes over a value."""
        self.value, self.run = value, run
        self.report, self.percent = report, percent


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
        failed_numbers: Numbers of runs that ended ``failed``. A set, since an end
            may be reported again to the next leader but counts once.
        runs_by_number: Runs not known to have ended.
        saved: Its saved progress; the members of a gang share one.
        last_number: Highest known run number.
        avoided_workers: Workers on which it failed, stalled or was slow; chosen
            last.
        blocked_until: Clock before which a run of it may still exist on a worker that
            is not in the tables.
        is_new: Whether no earlier leader can have started it, although its job is
            inherited.
        waiting_since: Clock when it last became startable.
        crashes: Crashes of workers under it.
        unrecorded_starts: Number of starts that earlier leaders may have sent, and of
            whose outcome nothing is known.
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
    saved: SavedProgress = field(default_factory=SavedProgress)
    last_number: int = 0
    avoided_workers: set[str] = field(default_factory=set)
    blocked_until: float = 0.0
    is_new: bool = False
    waiting_since: float = 0.0
    crashes: tuple[Crash, ...] = ()
    unrecorded_starts: int = 0


@dataclass(frozen=True, slots=True, eq=False)
class CrashedTask:
    """A task under which a worker has, or may have, crashed.

    Attributes:
        task: The task.
        run: Number of its run there.
        worker_id: The worker.
        crash: The crash, as it counts.
    """

    task: Task
    run: int
    worker_id: str
    crash: Crash

    @property
    def key(self):
        """Name of the task and number of the run, as in ``Worker.runs_by_key``."""
        return self.task.name, self.run


class StepTasks:
    """Tasks of a step in one occurrence, by index.

    A task becomes an object when it is first asked for, and is none any more once it is
    done: a job may have thousands of tasks, of which few run at a time.

    Args:
        job: The job.
        occurrence: Number of the occurrence.
        number: Number of the step.
    """

    __slots__ = ("_job", "_occurrence", "_number", "_step", "_saved", "_row", "_known")

    def __init__(self, job, occurrence, number):
        self._job = job
        self._occurrence = occurrence
        self._number = number
        self._step = job.request.steps[number]
        # The members of a gang work only if all resume from the same value.
        self._saved = SavedProgress() if self._step.is_gang else None
        self._row = None
        self._known = {}

    def __len__(self):
        return self._step.count

    def __getitem__(self, index):
        task = self._known.get(index)
        if task is None:
            if not 0 <= index < len(self):
                raise IndexError(index)
            task = self._known[index] = self._create(index)
        return task

    def __iter__(self):
        return (self[index] for index in range(len(self)))

    def known(self):
        """Returns the tasks that are objects already."""
        return list(self._known.values())

    def find_known(self, index):
        """Returns a task if it is an object already, or None."""
        return self._known.get(index)

    def forget(self, index):
        """Drops the object of a task of which nothing but its end is to be known."""
        self._known.pop(index, None)

    def belong_to(self, row):
        """Sets the ``StepRow`` that tells what is common to all tasks."""
        self._row = row

    def _create(self, index):
        row = self._row
        return Task(
            f"{self._job.job_id}.{self._occurrence}.{self._number}.{index}",
            self._job,
            self._occurrence,
            self._number,
            index,
            self._step,
            is_done=index in row.done,
            saved=self._saved or SavedProgress(),
            is_new=row.is_new,
            unrecorded_starts=row.unrecorded_starts,
        )


@dataclass(slots=True, eq=False)
class StepRow:
    """A step in one occurrence.

    What is counted here changes with each run, so that no decision on one task has to
    look at all others.

    Attributes:
        step: What the step asks for.
        number: Number of the step.
        tasks: Its ``StepTasks``.
        done: Indices of the tasks that are done.
        waiting: Indices of the tasks that are not done and have no run, ascending.
        running: Indices of the tasks that have runs.
        runs_by_worker: Number of runs by worker id, of workers that have any.
        startable_since: Clock when its tasks were first found startable; 0 before.
        is_new: Whether no earlier leader can have started any of its tasks, although
            its job is inherited.
        unrecorded_starts: As of a ``Task``, for each task that is no object yet.
    """

    step: Step
    number: int
    tasks: StepTasks
    done: set[int] = field(default_factory=set)
    waiting: array = field(init=False)
    running: set[int] = field(default_factory=set)
    runs_by_worker: Counter[str] = field(default_factory=Counter)
    startable_since: float = 0.0
    is_new: bool = False
    unrecorded_starts: int = 0

    def __post_init__(self):
        self.waiting = array("I", range(len(self.tasks)))
        self.tasks.belong_to(self)

    @property
    def left(self):
        """Number of tasks not done."""
        return len(self.tasks) - len(self.done)

    def add_run(self, run):
        """Adds a run of one of its tasks; it replaces one of the same number."""
        task = run.task
        replaced = task.runs_by_number.get(run.number)
        if replaced is not None:
            self._uncount(replaced)
        task.runs_by_number[run.number] = run
        self.runs_by_worker[run.worker_id] += 1
        self.running.add(task.index)
        self._remove_waiting(task.index)

    def remove_run(self, task, number):
        """Removes a run of one of its tasks, if it is known."""
        run = task.runs_by_number.pop(number, None)
        if run is None:
            return
        self._uncount(run)
        if task.runs_by_number:
            return
        self.running.discard(task.index)
        if task.is_done:
            self.tasks.forget(task.index)
        else:
            insort(self.waiting, task.index)

    def mark_done(self, index):
        """Marks one of its tasks as done."""
        self.done.add(index)
        self._remove_waiting(index)
        task = self.tasks.find_known(index)
        if task is None:
            return
        task.is_done = True
        if not task.runs_by_number:
            self.tasks.forget(index)

    def load_done(self, indices):
        """Marks all those tasks as done that were stored so."""
        self.done.update(indices)
        self.waiting = array("I", (i for i in self.waiting if i not in self.done))
        for task in self.tasks.known():
            if task.index in self.done:
                self.mark_done(task.index)

    def set_unrecorded_starts(self, count):
        """Sets the number of starts of whose outcome nothing is known, of each task."""
        self.unrecorded_starts = count
        for task in self.tasks.known():
            task.unrecorded_starts = count

    def release(self):
        """Notes that no earlier leader can have started any of its tasks."""
        self.is_new = True
        for task in self.tasks.known():
            task.is_new = True

    def _uncount(self, run):
        self.runs_by_worker[run.worker_id] -= 1
        if not self.runs_by_worker[run.worker_id]:
            del self.runs_by_worker[run.worker_id]

    def _remove_waiting(self, index):
        position = bisect_left(self.waiting, index)
        if position < len(self.waiting) and self.waiting[position] == index:
            del self.waiting[position]


@dataclass(slots=True, eq=False)
class Occurrence:
    """One execution of all steps of a job, due at a time (Unix seconds)."""

    number: int
    due_at: float
    steps: list[StepRow]

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return all(row.left == 0 for row in self.steps)


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue_name: Queue it was submitted to.
        request: What was submitted.
        accepted_at: Unix time at which it arrived, in seconds.
        stored_queue: ``Queue`` as it was stored with the job; None if it was not.
        state: State as stored; callers see an end only once it is stored.
        pending_state: State to be stored, or None.
        has_started: Whether any task was ever started.
        occurrences: Occurrences in the tables, by number.
        done_occurrences: Numbers of occurrences that are done.
        next_occurrence: Number of the next occurrence to create.
        is_dirty: Whether progress is to be stored.
        version: Count of changes, which shows what a write has covered.
        progress_revision: Store revision of its progress; 0 if none is stored.
        urgency: ``Urgency`` as of the last placement.
        is_inherited: Whether an earlier leader may have started its tasks.
        is_long: Whether its tasks take far longer than declared on sound workers.
        serial: Number of the job in the tables; rises in the order of
            ``WorkTables.open_jobs_by_id``.
        text_bytes: Estimated memory without its occurrences.
        occurrence_bytes: Estimated memory of each occurrence.
    """

    job_id: str
    queue_name: str
    request: JobRequest
    accepted_at: float
    stored_queue: Queue | None = None
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
    is_inherited: bool = False
    is_long: bool = False
    serial: int = 0
    text_bytes: int = 0
    occurrence_bytes: int = 0

    @property
    def is_open(self):
        """Whether tasks may still start."""
        return self.pending_state is None and self.state not in ENDED_STATES

    @property
    def has_perpetual_steps(self):
        """Whether its tasks run until it is cancelled."""
        return any(step.is_perpetual for step in self.request.steps)

    @property
    def occurrence_count(self):
        """Total number of occurrences."""
        return max(1, self.request.repeats)


@dataclass(frozen=True, slots=True)
class UnclaimedRow:
    """A row of a worker's list whose job is not known, at least not yet.

    Attributes:
        row: ``RunningRow`` or ``EndedRow``.
        seen_at: Clock when a worker first listed it.
    """

    row: RunningRow | EndedRow
    seen_at: float


@dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a host as a worker of a pool.

    Attributes:
        worker_id: Its identifier.
        address: IP address and port.
        pool: Pool it belongs to.
        data_centre: Its data centre.
        capacity: Its resources.
        labels: Its kind and its rack.
        is_draining: Whether it accepts no new runs.
        leaves_at: Clock at which it may be gone; None if it stays.
        born_ms: Start of the incarnation; None before the worker reported it.
        earlier_births: Starts of its earlier incarnations that this leader knew.
        registered_born_ms: Start of the incarnation that its registration is of, which
            its pool, capacity and labels are from; None if that is not known.
        registered_at: Clock when its registration became one of that incarnation; 0 if
            its first one was.
        trusted_births: Starts of the incarnation registered and of the one that
            answers, if they differ and the registration is still the worker's.
        host: Name of its host; empty while unknown.
        other_address: Another address under which its id was registered; empty if none.
        clock_offset_ms: Its clock minus the node's, in milliseconds.
        has_seen_token: Whether it has answered a call with its present fencing token,
            so that it refuses earlier ones.
        fenced_at: Clock since when calls carry a token that earlier incarnations have
            not seen; infinity before there is one.
        has_shown_runs: Whether a list of its runs has been applied by this leader.
        runs_by_key: Runs by (task name, number).
        seen_end: Number of the last run end applied to the tables.
        stored_end: Number of the last run end that the worker may discard.
        discarded_end: Number of the last run end that the worker surely discarded.
        unclaimed_runs: ``UnclaimedRow`` of listed runs, by (task name, number).
        unclaimed_ends: ``UnclaimedRow`` of listed ends, by number of the end.
        unknown_runs: Steps of the listed runs of no task in the tables, by (task name,
            number); None if the step is not known either. They take room.
        lease_until: Clock at which the runs of the known incarnation have lapsed if
            they are not renewed.
        longest_lease_until: Clock at which those of a later incarnation have lapsed:
            its clock is another, so that it may grant the longest lease for any
            deadline.
        last_answer_at: Clock of its last answer.
        last_answered_call_at: Clock when the latest call that it answered was sent; it
            was up then.
        view_clock_ms: The worker's clock in the last view applied.
        first_view_clock_ms: The worker's clock in the first view applied.
        unresponsive_since: Clock of the first unanswered call since its last answer; 0
            if there is none.
        doubted_at: Clock of the last start without an answer; 0 once a list has come
            that was requested later. Meanwhile it gets no new runs.
        failures: Decaying count of runs that failed, stalled or were slow, and of
            starts that were not answered or refused as unhealthy.
        successes: Decaying count of runs that ended ``done``.
        usable_after: Clock before which it gets no new runs.
        slowness: Estimated ratio of its run times to those of its pool.
        missing_since: Clock since when its registration is missing; 0 if listed.
        paced_at: Clock of the last change of its fillers' pace.
        is_reserved: Whether it gets no new runs because of a planned host order.
        is_yielding: Whether it gets no runs of jobs that miss their objective, since
            another pool needs its host more.
        lapsed_suspects: ``CrashedTask`` values of runs that lapsed while it did not
            answer; they count if it turns out to have crashed.
        is_crash_recorded: Whether the crash of this incarnation is recorded.
        is_superseded: Whether another incarnation answers at its address; it is not
            polled any more, and its runs wait for a proof of their end.
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
    earlier_births: set[int] = field(default_factory=set)
    registered_born_ms: int | None = None
    registered_at: float = 0.0
    trusted_births: tuple[int, int] | None = None
    host: str = ""
    other_address: str = ""
    clock_offset_ms: float | None = None
    has_seen_token: bool = False
    fenced_at: float = -math.inf
    has_shown_runs: bool = False
    runs_by_key: dict[tuple[str, int], Run] = field(default_factory=dict)
    seen_end: int = 0
    stored_end: int = 0
    discarded_end: int = 0
    unclaimed_runs: dict[tuple[str, int], UnclaimedRow] = field(default_factory=dict)
    unclaimed_ends: dict[int, UnclaimedRow] = field(default_factory=dict)
    unknown_runs: dict[tuple[str, int], Step | None] = field(default_factory=dict)
    lease_until: float = 0.0
    longest_lease_until: float = 0.0
    last_answer_at: float = 0.0
    last_answered_call_at: float = 0.0
    view_clock_ms: float = 0.0
    first_view_clock_ms: float = 0.0
    unresponsive_since: float = 0.0
    doubted_at: float = 0.0
    failures: float = 0.0
    successes: float = 0.0
    usable_after: float = 0.0
    slowness: float = 1.0
    missing_since: float = 0.0
    paced_at: float = 0.0
    is_reserved: bool = False
    is_yielding: bool = False
    lapsed_suspects: tuple[CrashedTask, ...] = ()
    is_crash_recorded: bool = False
    is_superseded: bool = False

    @property
    def awaits_token(self):
        """Whether calls to it carry a token that earlier incarnations have seen."""
        return self.fenced_at == math.inf

    @property
    def accepts_earlier_calls(self):
        """Whether it has restarted and not seen a token that its earlier calls lack.

        Those without an answer may still be carried out.
        """
        return self.fenced_at > -math.inf and not self.has_seen_token

    @property
    def births(self):
        """Starts of the incarnation registered and of the one that answers."""
        return self.registered_born_ms, self.born_ms

    @property
    def has_earlier_registration(self):
        """Whether its registration is of an incarnation before the one that answers.

        That one may be of another kind, capacity or pool.
        """
        registered_ms, born_ms = self.births
        if not self._is_registration_of_other or self.births == self.trusted_births:
            return False
        return registered_ms < born_ms or registered_ms in self.earlier_births

    @property
    def has_later_registration(self):
        """Whether its registration may be of an incarnation that has not answered yet.

        An answer to a call that was sent since then shows that there is none.
        """
        if not self._is_registration_of_other or self.has_earlier_registration:
            return False
        return self.last_answered_call_at < self.registered_at

    @property
    def _is_registration_of_other(self):
        return None not in self.births and self.registered_born_ms != self.born_ms

    @property
    def has_runs(self):
        """Whether it may run anything, also of jobs that are not known yet."""
        return bool(self.runs_by_key or self.unclaimed_runs)

    @property
    def settled_end(self):
        """Number of the last run end up to which the job of each is known or gone."""
        return min(self.unclaimed_ends, default=self.seen_end + 1) - 1

    @property
    def rack(self):
        """Label of its rack (the last label)."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """A worker incarnation that is assumed to have ended.

    Its registration stays listed until its heartbeats are missed. A host order that
    had already been carried out ends no worker, though: a worker that is still
    listed after ``until`` is alive.

    Attributes:
        born_ms: Start of the incarnation.
        until: Clock until which its registration is ignored.
    """

    born_ms: int | None
    until: float


@dataclass(slots=True)
class WorkTables:
    """State that the scheduling systems read and change.

    Attributes:
        epoch: Number of the leadership; keeps run numbers of leaderships apart.
        remote_slowdown: Factor on the duration of tasks away from their data's rack.
        longest_lease_s: Longest lease that any leader can give a run, in seconds.
        dirty_job_ids: Jobs whose progress is to be stored.
        tickets: Tickets of the advice service.
        ended_by_worker: ``EndedIncarnation`` by id of workers ended by host orders or
            replaced by a newer incarnation.
        has_seen_work: Whether any job that ends by itself was accepted.
        work_seen_at: Clock when the planner first saw such work; 0 before.
        crashed_tasks: ``CrashedTask`` values recorded and not settled yet.
        loaded_suspects: Tasks that were loaded with crashes, until these are judged.
        held_pools: Pools whose inherited tasks must not start, since one of their
            workers, which may run them for an earlier leader, has not reported yet;
            ``ALL_POOLS`` before that is known.
        held_lasting_pools: The same for perpetual tasks of jobs that have started.
        speeds_estimated_at: Clock of the last estimate of how fast runs progress.
        usual_speeds_by_pool: Expected time done per time spent, by that estimate; 0
            if it is not known.
        queues_by_name: Queues of all known configurations, each by the newest one
            that has it.
        pools_by_queue: Pools that each queue has had in any known configuration.
        jobs_complete_at: Clock as of which every stored job is in the tables.
        refused_entries: Entries of workers that name no worker to use.
        removed_at_by_worker: Clock at which a worker's row was last removed, by id,
            while late calls to it may still be carried out.
        last_serial: ``Job.serial`` of the job that was added last.
    """

    epoch: int = 0
    remote_slowdown: float = 2.0
    longest_lease_s: float = 6.0
    configuration: Configuration | None = None
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    open_jobs_by_id: dict[str, Job] = field(default_factory=dict)
    workers_by_id: dict[str, Worker] = field(default_factory=dict)
    dirty_job_ids: set[str] = field(default_factory=set)
    tickets: TicketTable = field(default_factory=TicketTable)
    ended_by_worker: dict[str, "EndedIncarnation"] = field(default_factory=dict)
    has_seen_work: bool = False
    work_seen_at: float = 0.0
    crashed_tasks: list[CrashedTask] = field(default_factory=list)
    loaded_suspects: list[Task] = field(default_factory=list)
    held_pools: frozenset[str] | None = frozenset()
    held_lasting_pools: frozenset[str] | None = frozenset()
    speeds_estimated_at: float = float("-inf")
    usual_speeds_by_pool: dict[str, float] = field(default_factory=dict)
    pools_by_queue: dict[str, set[str]] = field(default_factory=dict)
    jobs_complete_at: float = float("-inf")
    refused_entries: RefusedValues = field(default_factory=RefusedValues)
    removed_at_by_worker: dict[str, float] = field(default_factory=dict)
    last_serial: int = 0

    def adopt_configuration(self, configuration):
        """Applies a newer configuration; removed queues stay in the tables.

        Jobs accepted on a removed route still run in its last pool.
        """
        self.configuration = configuration
        self.pools_by_name = {pool.name: pool for pool in configuration.pools}
        record_queues(self.queues_by_name, self.pools_by_queue, configuration)

    def is_held(self, job, row):
        """Whether a step must not start, as an unreported worker may still run it."""
        is_lasting = row.step.is_perpetual and job.has_started
        held = self.held_lasting_pools if is_lasting else self.held_pools
        return self._is_in(held, job, row.is_new)

    def may_be_reported(self, task):
        """Whether an unreported worker may yet list a run of a task or its end."""
        return self._is_in(self.held_pools, task.job, task.is_new)

    def _is_in(self, held, job, is_new):
        # A run stays on a worker of the pool that its queue had when it started.
        if not job.is_inherited or is_new:
            return False
        if held is ALL_POOLS:
            return True
        pools = self.pools_by_queue.get(job.queue_name, ())
        return not held.isdisjoint(pools)

    def queue_of(self, job):
        """Returns a job's ``Queue``, or None if nothing is known of it.

        What was stored with the job decides once no known configuration has the
        route: the leader may have started after its removal.
        """
        return self.queues_by_name.get(job.queue_name, job.stored_queue)

    def pool_of(self, job):
        """Returns the name of the pool that runs a job, or None."""
        queue = self.queue_of(job)
        return queue.pool if queue is not None else None

    def mark_dirty(self, job):
        """Marks a job's progress as to be stored."""
        job.is_dirty = True
        job.version += 1
        self.dirty_job_ids.add(job.job_id)


def record_queues(queues_by_name, pools_by_queue, configuration):
    """Adds a configuration's queues to those of the earlier ones.

    Args:
        queues_by_name: Queues, each by the newest configuration that has it.
        pools_by_queue: Pools that each queue has had.
        configuration: A newer ``Configuration``.
    """
    for queue in configuration.queues:
        queues_by_name[queue.name] = queue
        record_queue_pool(pools_by_queue, queue)


def record_queue_pool(pools_by_queue, queue):
    """Adds a queue's pool to those that it has had."""
    pools_by_queue.setdefault(queue.name, set()).add(queue.pool)


def create_occurrence(job, number):
    """Adds the rows of one occurrence to a job."""
    request = job.request
    due_at = job.accepted_at
    if request.repeats > 0:
        due_at = (request.first_ms + number * request.interval_ms) / MS_PER_S
    rows = [
        StepRow(step, step_number, StepTasks(job, number, step_number))
        for step_number, step in enumerate(request.steps)
    ]
    job.occurrences[number] = Occurrence(number, due_at, rows)


def known_tasks(job):
    """Yields the tasks of a job that are objects already."""
    for occurrence in job.occurrences.values():
        for row in occurrence.steps:
            yield from row.tasks.known()


def has_runs(job):
    """Whether any task of a job has runs."""
    return any(
        row.running
        for occurrence in job.occurrences.values()
        for row in occurrence.steps
    )


def step_row_of(task):
    """Returns the row of a task's step."""
    return task.job.occurrences[task.occurrence].steps[task.step_number]


def is_startable(occurrence, row):
    """Whether the steps before one are done, and it is not."""
    return bool(row.left) and not any(occurrence.steps[n].left for n in row.step.after)


def add_run(worker, run):
    """Adds a run to its task and its worker."""
    step_row_of(run.task).add_run(run)
    worker.runs_by_key[(run.task.name, run.number)] = run


def remove_run(worker, run):
    """Removes a run from its task and its worker, which may be None."""
    task = run.task
    if worker is not None:
        worker.runs_by_key.pop((task.name, run.number), None)
    if task.occurrence in task.job.occurrences:
        step_row_of(task).remove_run(task, run.number)
    else:
        # The occurrence was done and has been forgotten.
        task.runs_by_number.pop(run.number, None)
