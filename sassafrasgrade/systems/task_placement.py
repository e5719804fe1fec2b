"""Decides on which worker a waiting task starts."""

import math
from collections import Counter
from dataclasses import dataclass

from sassafrasgrade.platform.messages import Capacity
from sassafrasgrade.systems.crash_records import (
    has_outlived_suspicion,
    is_start_held,
    isolated_candidates,
    needs_isolation,
)
from sassafrasgrade.work_commands import StartRun
from sassafrasgrade.work_tables import (
    Run,
    RunState,
    Task,
    Worker,
    add_run,
    step_row_of,
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

    def suits(self, step):
        """Whether it has room for a task of a step, but for the step's limit."""
        return (
            self.fits(step)
            and (not step.label or step.label in self.worker.labels)
            and not (self.is_suspect and self.runs >= MAX_PROBE_RUNS)
        )

    def limit_to(self, earlier):
        """Removes what has become free since an earlier state of the same worker."""
        self.cpu_millis = min(self.cpu_millis, earlier.cpu_millis)
        self.memory_mb = min(self.memory_mb, earlier.memory_mb)
        self.gpus = min(self.gpus, earlier.gpus)
        self.runs = max(self.runs, earlier.runs)
        self.all_runs = max(self.all_runs, earlier.all_runs)
        self.is_exclusive = self.is_exclusive or earlier.is_exclusive

    def slots(self, step, most):
        """Returns how many tasks of a step it has resources for, ``most`` at most."""
        limits = [most]
        if self.is_suspect and not step.is_perpetual:
            limits.append(MAX_PROBE_RUNS - self.runs)
        if step.cpu_millis and not step.is_filler:
            limits.append(self.cpu_millis // step.cpu_millis)
        if step.memory_mb:
            limits.append(self.memory_mb // step.memory_mb)
        if step.gpus:
            limits.append(self.gpus // step.gpus)
        return min(limits)

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


def usable_candidates(tables, pool_name, now):
    """Returns the workers of a pool that may get new runs, as candidates."""
    return [
        candidate_of(worker)
        for worker in tables.workers_by_id.values()
        if worker.pool == pool_name and is_usable(worker, now)
    ]


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


def step_key_of(task):
    """Returns the name of a task's step: ``job.occurrence.step``."""
    return task.name.rpartition(".")[0]


def candidates_with_ticket(tables, group, candidates, now):
    """Returns the candidates with a ticket for the step of a group of tasks.

    Those that its first task avoids are left out while others may get a ticket.
    """
    task, tickets = group[0], tables.tickets
    key = step_key_of(task)
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
        for candidate in eligible_candidates(tables, group, candidates, now)
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
    chosen = choose_group(tables, group, candidates, now)
    release_all(chosen)
    if not chosen:
        return False
    eligible = eligible_candidates(tables, group, candidates, now)
    due = [c for c in eligible if tickets.may_ask(key, c.worker.worker_id, now)]
    due = [c for c in due if not _is_avoided(task, c)] or due
    if due:
        ranked = sorted(_rank(task, due, prefers_few_runs=True))
        tickets.want(key, [rank[-1].worker.worker_id for rank in ranked])
    return True


def may_start(tables, task: Task, row, now):
    """Whether a task waits and may start now; notes since when it waits."""
    if task.is_done or task.runs_by_number or is_start_held(tables, task):
        return False
    # A suspect waits for a worker of its own from the moment at which it may start.
    since = now if task.crashes else row.startable_since
    task.waiting_since = task.waiting_since or since
    return task.blocked_until <= now and not tables.is_held(task.job, row)


def choose_group(tables, group, candidates, now):
    """Reserves a candidate for each task; returns (candidate, task) pairs, or none.

    A gang starts and ends as one, and so is suspected: its members may share workers
    with each other, but with no other task.

    Args:
        tables: The tables.
        group: Tasks of a step that start together: one, or all members of a gang.
        candidates: ``Candidate`` values.
        now: Current clock in seconds.
    """
    row = step_row_of(group[0])
    if not row.step.is_gang:
        candidate = choose_and_reserve(tables, group[0], candidates, now)
        return [] if candidate is None else [(candidate, group[0])]
    is_isolated = _needs_isolation(tables, group)
    candidates = _not_shared(tables, group, candidates, now)
    if not has_slots(row, candidates, len(group)):
        return []
    chosen, members = [], Counter()
    ranked = RankedCandidates(row, candidates)
    for task in group:
        candidate = ranked.reserve_best(task, members)
        if candidate is None:
            release_all(chosen)
            return []
        chosen.append((candidate, task))
        members[candidate.worker.worker_id] += 1
    for candidate, _ in chosen:
        candidate.is_exclusive = is_isolated
    return chosen


def _needs_isolation(tables, group):
    return any(needs_isolation(tables, task) for task in group)


def _not_shared(tables, group, candidates, now):
    """Returns the candidates on which a group of tasks would be by itself.

    That is all of them if it need not be, or has waited for long enough.
    """
    suspects = [task for task in group if needs_isolation(tables, task)]
    if not suspects:
        return candidates
    waited_s = min(
        now - task.waiting_since if not task.runs_by_number else 0.0
        for task in suspects
    )
    return isolated_candidates(suspects, candidates, waited_s)


def has_slots(row, candidates, count):
    """Whether candidates may have room for a number of a step's tasks."""
    slots = 0
    for candidate in candidates:
        if _has_room_for(row, candidate):
            slots += candidate.slots(row.step, _left_of_limit(row, candidate))
            if slots >= count:
                return True
    return False


def _left_of_limit(row, candidate, members=NO_MEMBERS):
    """Returns how many more runs of a step its limit allows on a worker."""
    most = row.step.most_per_worker
    if not most:
        return math.inf
    worker_id = candidate.worker.worker_id
    # Not by indexing, which would add each worker to the counter.
    used = row.runs_by_worker.get(worker_id, 0) + members.get(worker_id, 0)
    return most - used


def release_all(chosen):
    """Releases what was reserved for (candidate, task) pairs."""
    for candidate, task in chosen:
        _release(candidate, task.step)


class RankedCandidates:
    """Candidates with room for the tasks of a step, in the order of choice.

    The best one stays the best while tasks are placed on it, so that many tasks of a
    step need one ranking. Tasks that have failed on different workers need others.

    Attributes:
        ranked_count: Number of candidates ranked so far, again each time.

    Args:
        row: ``StepRow`` of the step.
        candidates: ``Candidate`` values.
    """

    def __init__(self, row, candidates):
        self.ranked_count = 0
        self._row = row
        self._candidates = candidates
        self._key = None
        self._best_last = []

    def forget_order(self):
        """Ranks anew before the next choice, as others have reserved resources."""
        self._key = None

    def reserve_best(self, task, members=NO_MEMBERS):
        """Returns the best candidate with a task's resources reserved, or None.

        Args:
            task: A task that needs no worker of its own.
            members: Count of the members of its gang that start with it, by worker id.
        """
        key = frozenset(task.avoided_workers), bool(task.failed_numbers)
        if key != self._key:
            self._rank(task)
            self._key = key
        while self._best_last:
            candidate = self._best_last[-1]
            if _has_room_for(self._row, candidate, members):
                candidate.reserve(task.step)
                return candidate
            self._best_last.pop()
        return None

    def _rank(self, task):
        ranked = _rank(task, _with_room(self._row, self._candidates), False)
        ranked.sort(reverse=True)
        self.ranked_count += len(self._candidates)
        self._best_last = [rank[-1] for rank in ranked]


def choose_and_reserve(tables, task, candidates, now):
    """Returns the best candidate for a task with its resources reserved, or None.

    A suspect task gets a worker of its own, or the one with the fewest runs.

    Args:
        tables: The tables.
        task: The task.
        candidates: ``Candidate`` values.
        now: Current clock in seconds.
    """
    is_isolated = needs_isolation(tables, task)
    eligible = eligible_candidates(tables, [task], candidates, now)
    candidate = _choose_best(task, eligible, is_isolated)
    if candidate is not None:
        candidate.reserve(task.step)
        candidate.is_exclusive = is_isolated
    return candidate


def eligible_candidates(tables, group, candidates, now):
    """Returns the candidates that may take a task of a group now, tickets aside."""
    candidates = _not_shared(tables, group, candidates, now)
    return _with_room(step_row_of(group[0]), candidates)


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
    add_run(worker, run)
    return run


def candidates_with_room(task, candidates):
    """Returns the candidates on which a task would start by itself."""
    return _with_room(step_row_of(task), candidates)


def _with_room(row, candidates, members=NO_MEMBERS):
    """Returns the candidates that have room for a step's task and what it requires."""
    return [c for c in candidates if _has_room_for(row, c, members)]


def _has_room_for(row, candidate, members=NO_MEMBERS):
    return candidate.suits(row.step) and _left_of_limit(row, candidate, members) > 0


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


def fits_any(step, capacities: list[Capacity]):
    """Whether a task fits on a worker of one of the capacities."""
    return any(
        (step.is_filler or step.cpu_millis <= capacity.cpu_millis)
        and step.memory_mb <= capacity.memory_mb
        and step.gpus <= capacity.gpus
        for capacity in capacities
    )
