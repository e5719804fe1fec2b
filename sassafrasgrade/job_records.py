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
from sassafrasgrade.systems.work_bounds import bytes_of_occurrence, bytes_of_text
from sassafrasgrade.work_tables import (
    ENDED_STATES,
    Crash,
    Job,
    WorkState,
    WorkTables,
    create_occurrence,
    record_queue_pool,
    step_row_of,
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
        unrecorded_by_step: The same by ``occurrence.step``, for its other tasks.
    """

    state: WorkState
    has_started: bool
    done: dict[str, list[int]]
    failures: dict[str, list[int]]
    done_occurrences: list[int]
    crashes: dict[str, list[Crash]] = {}
    unrecorded_starts: dict[str, Whole] = {}
    unrecorded_by_step: dict[str, Whole] = {}


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
    unrecorded_by_step = {}
    for occurrence in job.occurrences.values():
        if occurrence.number in job.done_occurrences:
            continue
        for row in occurrence.steps:
            step_name = f"{occurrence.number}.{row.number}"
            if row.done:
                done[step_name] = sorted(row.done)
            if row.unrecorded_starts:
                unrecorded_by_step[step_name] = row.unrecorded_starts
            for task in row.tasks.known():
                if task.is_done:
                    continue
                name = f"{step_name}.{task.index}"
                if task.failed_numbers:
                    failures[name] = sorted(task.failed_numbers)
                if task.crashes:
                    crashes[name] = list(task.crashes)
                if task.unrecorded_starts != row.unrecorded_starts:
                    unrecorded_starts[name] = task.unrecorded_starts
    return JobProgress(
        job.pending_state or job.state,
        job.has_started,
        done,
        failures,
        sorted(job.done_occurrences),
        crashes,
        unrecorded_starts,
        unrecorded_by_step,
    )


def add_job(tables: WorkTables, job_id, submitted: SubmittedJob):
    """Adds a job to the tables; returns it, or the ``Job`` that is already there."""
    known = tables.jobs_by_id.get(job_id)
    if known is not None:
        return known
    request = submitted.request
    tables.last_serial += 1
    job = Job(
        job_id,
        submitted.queue_name,
        request,
        submitted.accepted_at,
        serial=tables.last_serial,
        text_bytes=bytes_of_text(request),
        occurrence_bytes=bytes_of_occurrence(request),
    )
    if submitted.queue is not None:
        settings = msgspec.structs.asdict(submitted.queue)
        job.stored_queue = Queue(name=job.queue_name, **settings)
        record_queue_pool(tables.pools_by_queue, job.stored_queue)
    tables.jobs_by_id[job_id] = job
    tables.open_jobs_by_id[job_id] = job
    tables.has_seen_work = tables.has_seen_work or not job.has_perpetual_steps
    if request.repeats <= 0:
        create_occurrence(job, 0)
    return job


def find_task(tables, name):
    """Returns a task by its name, or None.

    Adds its occurrence if it is not in the tables: another leader, whose clock was
    ahead, may have created it already.
    """
    job = tables.jobs_by_id.get(job_id_of(name))
    numbers = _numbers_in(name)
    if job is None or numbers is None:
        return None
    number, step_number, index = numbers
    if number not in job.occurrences:
        is_done = number in job.done_occurrences
        if not job.is_open or is_done or number >= job.request.repeats:
            return None
        create_occurrence(job, number)
    rows = job.occurrences[number].steps
    if step_number >= len(rows) or index >= len(rows[step_number].tasks):
        return None
    return rows[step_number].tasks[index]


def _numbers_in(task_name):
    """Returns the numbers of occurrence, step and task in a name, or None."""
    parts = task_name.split(".")[OCCURRENCE_PART:]
    try:
        numbers = [int(part) for part in parts]
    except ValueError:
        return None
    # Only the usual form names a task: not "01" or "+1".
    is_usual = [str(number) for number in numbers] == parts
    return numbers if is_usual and len(parts) == 3 and min(numbers) >= 0 else None


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
            create_occurrence(job, number)
        row = job.occurrences[number].steps[step_number]
        row.load_done(indices)
    for name, count in progress.unrecorded_by_step.items():
        first_task = find_task(tables, f"{job.job_id}.{name}.0")
        if first_task is not None:
            step_row_of(first_task).set_unrecorded_starts(count)
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
