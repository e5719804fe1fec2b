"""Records of jobs in the store, and their keys."""

import logging

import msgspec

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.job_requests import find_fault
from sassafrasgrade.platform.messages import (
    Advice,
    JobRequest,
    Quantity,
    Queue,
    Whole,
)
from sassafrasgrade.work_tables import (
    ENDED_STATES,
    Crash,
    Job,
    WorkState,
    WorkTables,
    create_occurrence,
    record_queue_pool,
)

logger = logging.getLogger(__name__)

JOBS_PREFIX = "jobs/"
REQUEST = "request"
PROGRESS = "progress"
CANCEL = "cancel"
# Positions of parts in the name of a task.
OCCURRENCE_PART, STEP_PART = 1, 2


class StoredQueue(msgspec.Struct, frozen=True, array_like=True):
    """The settings of a queue that its jobs need, also once its route is removed.

    Attributes:
        pool: As in ``Queue``, and so are the others.
        most_attempts: Number of failed runs after which a task fails for good.
        stretch: Factor on the critical path.
        objective_ms: Time that a job may take beyond that.
        advice: Set if starts need a ticket.
    """

    pool: str
    most_attempts: int
    stretch: float
    objective_ms: float
    advice: Advice | None = None


class SubmittedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job as accepted: queue, arrival time in Unix seconds, request.

    ``queue`` is missing in records of earlier versions, and if the node that stored
    the job did not know its queue. Earlier versions ignore it.
    """

    queue_name: str
    accepted_at: Quantity
    request: JobRequest
    queue: StoredQueue | None = None


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job, as the next leader needs it.

    Attributes:
        state: State of the job.
        has_started: Whether any task was ever started.
        done: Indices of done tasks by ``occurrence.step``.
        failures: Numbers of failed runs, by task name without the job's id.
        done_occurrences: Numbers of occurrences that are done.
        crashes: Crashes of workers under tasks, by task name without the job's id.
        unrecorded_starts: Number of starts of whose outcome nothing is known, by task
            name without the job's id.
    """

    state: WorkState
    has_started: bool
    done: dict[str, list[int]]
    failures: dict[str, list[int]]
    done_occurrences: list[int]
    crashes: dict[str, list[Crash]] = {}
    unrecorded_starts: dict[str, Whole] = {}


_submitted_decoder = msgspec.msgpack.Decoder(SubmittedJob)
_progress_decoder = msgspec.msgpack.Decoder(JobProgress)
encode = msgspec.msgpack.Encoder().encode


def job_key(job_id, part):
    """Returns the key of one part of a job."""
    return f"{JOBS_PREFIX}{job_id}/{part}"


def split_key(key):
    """Returns (job id, part) of a key under ``JOBS_PREFIX``."""
    job_id, _, part = key.removeprefix(JOBS_PREFIX).partition("/")
    return job_id, part


def stored_queue_of(queue: Queue):
    """Returns what is stored of a queue with its jobs."""
    return StoredQueue(
        queue.pool, queue.most_attempts, queue.stretch, queue.objective_ms, queue.advice
    )


def decode_submitted(value):
    """Decodes a ``SubmittedJob``; raises one of ``DECODE_ERRORS``."""
    submitted = _submitted_decoder.decode(value)
    fault = find_fault(submitted.request)
    if fault:
        raise ValueError(fault)
    return submitted


def decode_progress(value):
    """Decodes a ``JobProgress``; raises ``msgspec.DecodeError``."""
    return _progress_decoder.decode(value)


def check_progress(request, progress):
    """Raises ``ValueError`` if progress names a step or a task that a job lacks.

    Args:
        request: ``JobRequest``.
        progress: ``JobProgress``.
    """
    occurrences, steps = range(max(1, request.repeats)), range(len(request.steps))
    for name, indices in progress.done.items():
        number, step_number = (int(part) for part in name.split("."))
        if number not in occurrences or step_number not in steps:
            raise ValueError(f"the job has no step {name}")
        tasks = range(request.steps[step_number].count)
        if not all(index in tasks for index in indices):
            raise ValueError(f"step {name} has fewer tasks than are named")


def progress_of(job: Job):
    """Returns the ``JobProgress`` to store for a job."""
    done, failures, crashes, unrecorded_starts = {}, {}, {}, {}
    for occurrence in job.occurrences.values():
        if occurrence.number in job.done_occurrences:
            continue
        for row in occurrence.steps:
            indices = [task.index for task in row.tasks if task.is_done]
            if indices:
                done[f"{occurrence.number}.{row.number}"] = indices
            for task in row.tasks:
                if task.is_done or not _has_history(task):
                    continue
                name = task.name.partition(".")[2]
                if task.failed_numbers:
                    failures[name] = sorted(task.failed_numbers)
                if task.crashes:
                    crashes[name] = list(task.crashes)
                if task.unrecorded_starts:
                    unrecorded_starts[name] = task.unrecorded_starts
    return JobProgress(
        job.pending_state or job.state,
        job.has_started,
        done,
        failures,
        sorted(job.done_occurrences),
        crashes,
        unrecorded_starts,
    )


def _has_history(task):
    """Whether more is to be stored of a task than that it is not done."""
    return task.failed_numbers or task.crashes or task.unrecorded_starts


def add_job(tables: WorkTables, job_id, submitted: SubmittedJob):
    """Adds a job to the tables; returns it, or the ``Job`` that is already there."""
    known = tables.jobs_by_id.get(job_id)
    if known is not None:
        return known
    job = Job(job_id, submitted.queue_name, submitted.request, submitted.accepted_at)
    if submitted.queue is not None:
        settings = msgspec.structs.asdict(submitted.queue)
        job.stored_queue = Queue(name=job.queue_name, **settings)
        record_queue_pool(tables.pools_by_queue, job.stored_queue)
    tables.jobs_by_id[job_id] = job
    tables.open_jobs_by_id[job_id] = job
    tables.has_seen_work = tables.has_seen_work or not job.has_perpetual_steps
    if submitted.request.repeats <= 0:
        add_occurrence(tables, job, 0)
    return job


def add_occurrence(tables, job, number):
    """Creates the tasks of an occurrence in the tables."""
    for task in create_occurrence(job, number):
        tables.tasks_by_name[task.name] = task


def find_task(tables, name):
    """Returns a task by its name, or None.

    Adds its occurrence if it is not in the tables: another leader, whose clock was
    ahead, may have created it already.
    """
    task = tables.tasks_by_name.get(name)
    job = tables.jobs_by_id.get(job_id_of(name))
    if task is not None or job is None or not job.is_open:
        return task
    number = _occurrence_number(name)
    is_known = number in job.occurrences or number in job.done_occurrences
    if number is None or is_known or number >= job.request.repeats:
        return None
    add_occurrence(tables, job, number)
    return tables.tasks_by_name.get(name)


def find_step(tables, task_name):
    """Returns the step of a task that need not be in the tables, or None."""
    job = tables.jobs_by_id.get(job_id_of(task_name))
    if job is None:
        return None
    steps_by_name = {str(n): step for n, step in enumerate(job.request.steps)}
    return steps_by_name.get(_part_of(task_name, STEP_PART))


def job_id_of(task_name):
    """Returns the id of a task's job."""
    return task_name.partition(".")[0]


def _part_of(task_name, position):
    """Returns a part of a task's name, ``job.occurrence.step.index``, or nothing."""
    parts = task_name.split(".")
    return parts[position] if position < len(parts) else ""


def _occurrence_number(task_name):
    part = _part_of(task_name, OCCURRENCE_PART)
    return int(part) if part.isascii() and part.isdigit() else None


def without_perpetual_ends(request, progress):
    """Returns progress without the claim that perpetual tasks are done.

    Earlier versions took a run of such a task that ended ``done`` for its end. The
    other steps of an occurrence that they took for done stay done.

    Args:
        request: ``JobRequest``.
        progress: ``JobProgress``.
    """
    finite = {n: step for n, step in enumerate(request.steps) if not step.is_perpetual}
    if len(finite) == len(request.steps):
        return progress
    done = {
        name: indices
        for name, indices in progress.done.items()
        if int(name.partition(".")[2]) in finite
    }
    for number in progress.done_occurrences:
        for step_number, step in finite.items():
            done[f"{number}.{step_number}"] = list(range(step.count))
    return msgspec.structs.replace(progress, done=done, done_occurrences=[])


def apply_unstored_progress(tables, progress_by_job):
    """Applies progress that the previous leader could no longer store."""
    for job_id, value in progress_by_job.items():
        job = tables.jobs_by_id.get(job_id)
        if job is None or not job.is_open:
            continue
        try:
            progress = decode_progress(value)
            check_progress(job.request, progress)
        except DECODE_ERRORS as error:
            logger.error(
                "handed-over progress skipped; it cannot be decoded",
                extra={"job": job_id, "error": str(error)},
            )
            continue
        if job.has_perpetual_steps and progress.state is WorkState.COMPLETED:
            # An earlier version's mistake that no caller has been shown.
            progress = msgspec.structs.replace(progress, state=WorkState.RUNNING)
        apply_progress(tables, job, progress)
        if progress.state in ENDED_STATES:
            # The end is visible to callers only once it is stored.
            job.state, job.pending_state = WorkState.RUNNING, progress.state
        tables.mark_dirty(job)


def apply_progress(tables, job, progress: JobProgress):
    """Applies stored progress to a job that was just loaded.

    An end of the job stays, as callers have been shown it.
    """
    progress = without_perpetual_ends(job.request, progress)
    job.state = progress.state
    job.has_started = progress.has_started
    job.done_occurrences = set(progress.done_occurrences)
    for name, indices in progress.done.items():
        number, step_number = (int(part) for part in name.split("."))
        if number not in job.occurrences:
            add_occurrence(tables, job, number)
        row = job.occurrences[number].steps[step_number]
        for index in indices:
            row.mark_done(row.tasks[index])
    # Occurrences are created when they are due; those with attempts were.
    for name, numbers in progress.failures.items():
        task = find_task(tables, f"{job.job_id}.{name}")
        if task is not None:
            task.failed_numbers.update(numbers)
    for name, crashes in progress.crashes.items():
        task = find_task(tables, f"{job.job_id}.{name}")
        if task is not None:
            task.crashes = tuple(crashes)
            tables.loaded_suspects.append(task)
    for name, count in progress.unrecorded_starts.items():
        task = find_task(tables, f"{job.job_id}.{name}")
        if task is not None:
            task.unrecorded_starts = count
    if not job.is_open:
        tables.open_jobs_by_id.pop(job.job_id, None)
