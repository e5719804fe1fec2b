"""Decides which waiting task starts next, and on which worker."""

from collections import Counter
from dataclasses import dataclass

from sassafrasgrade.platform.messages import Capacity
from sassafrasgrade.systems.crash_records import (
    has_outlived_suspicion,
    is_start_held,
    isolated_candidates,
    needs_isolation,
)
from sassafrasgrade.systems.job_ranks import order_jobs
from sassafrasgrade.work_commands import LogEvent, StartRun
from sassafrasgrade.work_tables import (
    Run,
    RunState,
    Task,
    Urgency,
    Worker,
    WorkTables,
)

# Run numbers reserved for each leadership; no task is ever started this often.
NUMBERS_PER_EPOCH = 100_000
# Decayed count of failures (failed or stalled runs, unanswered starts, refusals as
# unhealthy) from which a worker is suspect, if it also exceeds the count of
# successful runs.
MIN_SUSPECT_FAILURES = 2.0
# A worker that is slower than its pool by more than this factor is chosen last.
SLOW_FACTOR = 2.5
# Maximum concurrent runs on a suspect worker, which show whether it has recovered.
MAX_PROBE_RUNS = 1

NO_MEMBERS = Counter()


@dataclass(slots=True)
class Candidate:
    """Worker that a task may be placed on, with its free capacity.

    Attributes:
        worker: The worker.
        cpu_millis: Free thousandths of a core.
        memory_mb: Free memory.
        gpus: Free accelerators.
        runs: Runs of tasks that end by themselves.
        all_runs: All runs.
        is_exclusive: Whether it runs a task that nothing else may share it with.
        is_suspect: Whether it gets at most ``MAX_PROBE_RUNS`` runs.
    """

    worker: Worker
    cpu_millis: int
    memory_mb: int
    gpus: int
    runs: int
    is_suspect: bool = False
    all_runs: int = 0
    is_exclusive: bool = False

    def fits(self, step):
        """Whether a task of the step fits."""
        if self.is_exclusive:
            return False
        cpu_millis = 0 if step.is_filler else step.cpu_millis
        return (
            cpu_millis <= self.cpu_millis
            and step.memory_mb <= self.memory_mb
            and step.gpus <= self.gpus
        )

    def reserve(self, step):
        """Subtracts the resources of a task of the step."""
        if not step.is_filler:
            self.cpu_millis -= step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.gpus -= step.gpus
        self.runs += not step.is_perpetual
        self.all_runs += 1


def candidate_of(worker: Worker):
    """Returns a worker as a candidate; its stopping runs still occupy capacity.

    So do listed runs of no task in the tables. Nobody knows how much a run of an
    unknown job occupies.
    """
    capacity = worker.capacity
    candidate = Candidate(
        worker, capacity.cpu_millis, capacity.memory_mb, capacity.gpus, 0
    )
    for run in worker.runs_by_key.values():
        candidate.reserve(run.task.step)
        if run.is_isolated and not has_outlived_suspicion(worker, run):
            candidate.is_exclusive = True
    for step in worker.unknown_runs.values():
        if step is None:
            candidate.is_exclusive = True
        else:
            candidate.reserve(step)
    candidate.is_exclusive = candidate.is_exclusive or bool(worker.unclaimed_runs)
    return candidate


def is_usable(worker: Worker, now):
    """Whether a worker may get new runs.

    An incarnation may be of another kind, capacity or pool than the one before, so that
    its own registration has to be known.
    """
    return (
        worker.has_seen_token
        and not worker.is_draining
        and not worker.is_reserved
        and worker.unresponsive_since == 0
        and worker.doubted_at == 0
        and worker.missing_since == 0
        and not worker.has_earlier_registration
        and not worker.has_later_registration
        and now >= worker.usable_after
    )


def is_suspect(worker: Worker):
    """Whether a worker's recent runs failed often, and more often than not."""
    return (
        worker.failures >= MIN_SUSPECT_FAILURES and worker.failures > worker.successes
    )


def mark_suspects(candidates):
    """Marks suspect workers, unless they are the majority.

    If most workers look bad, the fault is assumed to be in the observation.
    """
    suspects = [candidate for candidate in candidates if is_suspect(candidate.worker)]
    if len(suspects) * 2 <= len(candidates):
        for candidate in suspects:
            candidate.is_suspect = True


def place_tasks(tables: WorkTables, pool_name, learned_durations, now, now_unix):
    """Starts the waiting tasks that fit into a pool, most important jobs first.

    Args:
        tables: The tables; runs that are started are added to them.
        pool_name: The pool.
        learned_durations: ``LearnedDurations``.
        now: Current clock in seconds.
        now_unix: Current Unix time in seconds.

    Returns:
        ``StartRun`` commands.
    """
    candidates = [
        candidate_of(worker)
        for worker in tables.workers_by_id.values()
        if worker.pool == pool_name and is_usable(worker, now)
    ]
    if not candidates:
        return []
    mark_suspects(candidates)
    commands = []
    unplaceable = UnplaceableSizes()
    for job in order_jobs(tables, pool_name, learned_durations, now_unix):
        try:
            _place_job(tables, job, candidates, unplaceable, now, commands)
        except Exception as error:
            # The runs of other jobs are in the tables by now and have to be sent.
            fields = {"job": job.job_id, "error": repr(error)}
            commands.append(LogEvent("job-not-placed", fields))
    return commands


def _place_job(tables, job, candidates, unplaceable, now, commands):
    """Adds the commands that start a job's tasks on workers with room."""
    queue = tables.queue_of(job)
    usable_by_job = candidates
    if job.urgency >= Urgency.USEFUL:
        usable_by_job = [c for c in candidates if not c.worker.is_yielding]
    for group in _startable_groups(tables, job, now):
        if unplaceable.rules_out(group[0].step):
            continue
        allowed = usable_by_job
        if queue.advice is not None:
            allowed = candidates_with_ticket(tables, group[0], allowed, now)
        placed = _place_group(tables, group, allowed, now)
        commands += placed
        if placed:
            continue
        if queue.advice is not None:
            if want_advice(tables, group, usable_by_job, now):
                continue
        if usable_by_job is candidates:
            if not any(needs_isolation(tables, task) for task in group):
                unplaceable.add(group[0].step)


class UnplaceableSizes:
    """Task sizes that fitted no worker in this placement, to skip larger ones."""

    def __init__(self):
        self._sizes = []

    def add(self, step):
        """Adds the size of a step, unless other constraints may be the cause."""
        if not (step.label or step.most_per_worker or step.is_gang or step.is_filler):
            self._sizes.append((step.cpu_millis, step.memory_mb, step.gpus))

    def rules_out(self, step):
        """Whether a step cannot fit, since one that is no larger did not."""
        if step.is_filler:
            return False
        return any(
            step.cpu_millis >= cpu_millis
            and step.memory_mb >= memory_mb
            and step.gpus >= gpus
            for cpu_millis, memory_mb, gpus in self._sizes
        )


def step_key_of(task):
    """Returns the name of a task's step: ``job.occurrence.step``."""
    return task.name.rpartition(".")[0]


def candidates_with_ticket(tables, task, candidates, now):
    """Returns the candidates with a ticket for a task's step.

    Those that the task avoids are left out while others may get a ticket.
    """
    key, tickets = step_key_of(task), tables.tickets
    allowed = [
        candidate
        for candidate in candidates
        if tickets.ticket(key, candidate.worker.worker_id, now) is not None
    ]
    if not task.avoided_workers:
        return allowed
    preferred = [c for c in allowed if not _is_avoided(task, c)]
    may_ask = any(
        tickets.may_ask(key, candidate.worker.worker_id, now)
        for candidate in eligible_candidates(tables, task, candidates, now)
        if not _is_avoided(task, candidate)
    )
    return preferred if may_ask else allowed


def want_advice(tables, group, candidates, now):
    """Requests tickets for the workers on which a group of tasks could start now.

    Args:
        tables: The tables.
        group: Tasks of a step that start together.
        candidates: ``Candidate`` values, with and without a ticket.
        now: Current clock in seconds.

    Returns:
        Whether the group could start with tickets for all of them.
    """
    task, tickets = group[0], tables.tickets
    key = step_key_of(task)
    if tickets.is_confirmed(key):
        return True
    chosen = _choose_group(tables, group, candidates, now)
    _release_all(chosen)
    if not chosen:
        return False
    eligible = eligible_candidates(tables, task, candidates, now)
    due = [c for c in eligible if tickets.may_ask(key, c.worker.worker_id, now)]
    due = [c for c in due if not _is_avoided(task, c)] or due
    if due:
        ranked = sorted(_rank(task, due, prefers_few_runs=True))
        tickets.want(key, [rank[-1].worker.worker_id for rank in ranked])
    return True


def _startable_groups(tables, job, now):
    """Yields lists of tasks that must start together (one task, or a gang)."""
    for occurrence in list(job.occurrences.values()):
        if occurrence.number in job.done_occurrences:
            continue
        steps = occurrence.steps
        for row in steps:
            if row.left == 0 or any(steps[n].left for n in row.step.after):
                continue
            if row.step.is_gang:
                if all(_may_start(tables, task, now) for task in row.tasks):
                    yield row.tasks
                continue
            for task in row.tasks:
                if _may_start(tables, task, now):
                    yield [task]


def _may_start(tables, task: Task, now):
    if task.is_done or task.runs_by_number or is_start_held(tables, task):
        return False
    task.waiting_since = task.waiting_since or now
    return task.blocked_until <= now and not tables.is_held(task)


def _place_group(tables, group, candidates, now):
    chosen = _choose_group(tables, group, candidates, now)
    number = next_run_number(tables, group)
    return [
        start_on(tables, task, candidate, number, now) for candidate, task in chosen
    ]


def _choose_group(tables, group, candidates, now):
    """Reserves a candidate for each task; returns (candidate, task) pairs, or none."""
    chosen, members = [], Counter()
    for task in group:
        candidate = choose_and_reserve(tables, task, candidates, now, members)
        if candidate is None:
            _release_all(chosen)
            return []
        chosen.append((candidate, task))
        members[candidate.worker.worker_id] += 1
    return chosen


def _release_all(chosen):
    for candidate, task in chosen:
        _release(candidate, task.step)


def choose_and_reserve(tables, task, candidates, now, members=NO_MEMBERS):
    """Returns the best candidate for a task with its resources reserved, or None.

    A suspect task gets a worker of its own, or the one with the fewest runs.

    Args:
        tables: The tables.
        task: The task.
        candidates: ``Candidate`` values.
        now: Current clock in seconds.
        members: Count of the members of its gang that start with it, by worker id.
    """
    is_isolated = needs_isolation(tables, task)
    eligible = eligible_candidates(tables, task, candidates, now, members)
    candidate = _choose_best(task, eligible, is_isolated)
    if candidate is not None:
        candidate.reserve(task.step)
        candidate.is_exclusive = is_isolated
    return candidate


def eligible_candidates(tables, task, candidates, now, members=NO_MEMBERS):
    """Returns the candidates that may take a task now, tickets aside."""
    if needs_isolation(tables, task):
        waited_s = now - task.waiting_since if not task.runs_by_number else 0.0
        candidates = isolated_candidates(task, candidates, waited_s)
    return _with_room(task, candidates, members)


def next_run_number(tables, tasks):
    """Returns a run number that no leadership has used for any of the tasks."""
    number = max(task.last_number for task in tasks) + 1
    return max(number, tables.epoch * NUMBERS_PER_EPOCH + 1)


def start_on(tables, task, candidate, number, now):
    """Adds a run of a task, with its ticket; returns the command that starts it."""
    worker = candidate.worker
    run = create_run(task, worker, number, now)
    run.is_isolated = candidate.is_exclusive
    ticket = tables.tickets.ticket(step_key_of(task), worker.worker_id, now)
    run.ticket = ticket or ""
    return StartRun(run)


def _release(candidate, step):
    if not step.is_filler:
        candidate.cpu_millis += step.cpu_millis
    candidate.memory_mb += step.memory_mb
    candidate.gpus += step.gpus
    candidate.runs -= not step.is_perpetual
    candidate.all_runs -= 1
    candidate.is_exclusive = False


def create_run(task, worker, number, now):
    """Adds a run whose start order is about to be sent.

    What it resumes from is settled here: orders to the members of a gang leave at
    different moments, and a report may come in between.
    """
    run = Run(
        task,
        number,
        worker.worker_id,
        RunState.STARTING,
        now,
        changed_at=now,
        saved=task.saved.value,
    )
    task.last_number = number
    task.runs_by_number[number] = run
    worker.runs_by_key[(task.name, number)] = run
    return run


def choose_candidate(task: Task, candidates):
    """Returns the best candidate for a task, or None."""
    return _choose_best(task, _with_room(task, candidates))


def _with_room(task, candidates, members=NO_MEMBERS):
    """Returns the candidates that have room for a task and what its step requires."""
    step, label, most = task.step, task.step.label, task.step.most_per_worker
    counts = _runs_of_step(task) + members if most else NO_MEMBERS
    return [
        candidate
        for candidate in candidates
        if candidate.fits(step)
        and (not label or label in candidate.worker.labels)
        and (not most or counts[candidate.worker.worker_id] < most)
        and not (candidate.is_suspect and candidate.runs >= MAX_PROBE_RUNS)
    ]


def _choose_best(task, candidates, prefers_few_runs=False):
    """Returns the best candidate for a task, or None.

    Workers are filled one after another, so that the others become idle and their
    hosts can be moved to another pool.

    Args:
        task: The task.
        candidates: ``Candidate`` values that may take it.
        prefers_few_runs: Whether the number of runs matters most.
    """

    ranked = _rank(task, candidates, prefers_few_runs)
    return min(ranked)[-1] if ranked else None


def _rank(task, candidates, prefers_few_runs):
    """Returns a tuple for each candidate, which comes last in it; the best is least."""
    step, avoided, has_failed = task.step, task.avoided_workers, task.failed_numbers
    return [
        (
            candidate.all_runs if prefers_few_runs else 0,
            worker.worker_id in avoided,
            candidate.is_suspect,
            worker.slowness > SLOW_FACTOR,
            bool(has_failed) and worker.failures > worker.successes,
            bool(step.rack) and worker.rack != step.rack,
            step.is_filler and _serves_users(worker),
            worker.is_yielding,
            candidate.cpu_millis,
            worker.worker_id,
            candidate,
        )
        for candidate in candidates
        for worker in (candidate.worker,)
    ]


def _is_avoided(task, candidate):
    return candidate.worker.worker_id in task.avoided_workers


def _serves_users(worker):
    """Whether a worker runs tasks with a latency target."""
    return any(run.task.step.target_ms > 0 for run in worker.runs_by_key.values())


def _runs_of_step(task):
    """Counts the runs of a task's step in its occurrence, by worker."""
    rows = task.job.occurrences[task.occurrence].steps[task.step_number].tasks
    return Counter(
        run.worker_id for other in rows for run in other.runs_by_number.values()
    )


def fits_any(step, capacities: list[Capacity]):
    """Whether a task fits on a worker of one of the capacities."""
    return any(
        (step.is_filler or step.cpu_millis <= capacity.cpu_millis)
        and step.memory_mb <= capacity.memory_mb
        and step.gpus <= capacity.gpus
        for capacity in capacities
    )
