"""Finds stalled and slow runs, and restarts or copies their tasks elsewhere.

Load pattern: some workers look healthy while their runs make no progress or take
many times as long as on other workers.
"""

from sassafrasgrade.systems.crash_records import is_start_held
from sassafrasgrade.systems.task_placement import (
    SLOW_FACTOR,
    candidates_with_room,
    candidates_with_ticket,
    choose_and_reserve,
    has_slots,
    next_run_number,
    start_on,
    usable_candidates,
    want_advice,
)
from sassafrasgrade.systems.worker_speeds import estimate_slowness, watched_work
from sassafrasgrade.work_commands import StopRun
from sassafrasgrade.work_tables import RunState, step_row_of

# Minimum time without progress after which a run counts as stalled, in seconds:
# the longest long poll and a margin.
MIN_STALL_S = 2.2
# Maximum time for one percent of progress, as a fraction of a run's expected time.
STALL_FRACTION = 0.05
# A run on a slow worker is restarted elsewhere if the rest of it would take this
# much longer than the whole task on another worker, in seconds.
MIN_RESTART_GAIN_S = 0.5
# Slowness up to which a run is as fast as others.
USUAL_FACTOR = 1.25
# Time within which a perpetual task must be at work, or it is moved, in seconds.
MAX_START_UP_S = 4.0
# Maximum age of a worker's last answer for its progress to be judged, in seconds.
MAX_ANSWER_AGE_S = 1.6
# Multiple of the expected time after which a run is copied to a worker with room.
COPY_AFTER_FACTOR = 1.5
# Copies in addition to the first run of a task.
MAX_COPIES = 1


def stop_stalled(tables, learned_durations, now):
    """Stops stalled and slow runs, so that their tasks start on other workers."""
    estimate_slowness(tables, learned_durations, now)
    commands = []
    alternatives = _Alternatives(tables, now)
    for worker in tables.workers_by_id.values():
        if worker.unresponsive_since or now - worker.last_answer_at > MAX_ANSWER_AGE_S:
            continue
        usual_speed = tables.usual_speeds_by_pool.get(worker.pool, 0.0)
        for run in worker.runs_by_key.values():
            is_running = run.state is RunState.RUNNING and not run.stopped_at
            if not is_running or run.task.is_done:
                continue
            reason = _restart_reason(worker, run, learned_durations, usual_speed, now)
            if reason and alternatives.exist(worker, run.task):
                worker.failures += 1
                run.task.avoided_workers.add(worker.worker_id)
                commands.append(StopRun(run, reason))
    return commands


def _restart_reason(worker, run, learned_durations, usual_speed, now):
    """Returns why a run should be restarted elsewhere, or an empty string."""
    step = run.task.step
    if step.is_perpetual:
        age_s = now - run.answered_at
        return "not at work" if not run.at_work_at and age_s > MAX_START_UP_S else ""
    if step.is_filler or run.pace < 100:
        return ""
    expected_s = learned_durations.task_s(run.task.job.queue_name, step)
    if now - run.changed_at > max(MIN_STALL_S, STALL_FRACTION * expected_s):
        return "stands still"
    return "crawls" if _crawls(worker, run, learned_durations, usual_speed) else ""


def _crawls(worker, run, learned_durations, usual_speed):
    """Whether a slow run on a slow worker would end sooner if it started elsewhere."""
    work = watched_work(worker, run, learned_durations)
    gained = run.percent - run.watched_percent
    if gained <= 0 or worker.slowness <= SLOW_FACTOR or run.task.job.is_long:
        return False
    if work.slowness(usual_speed) <= USUAL_FACTOR or _has_crawled_before(worker, run):
        return False
    left_s = work.spent_s * (100 - run.percent) / gained
    elsewhere_s = work.spent_s * 100 / gained / worker.slowness
    return left_s > elsewhere_s + MIN_RESTART_GAIN_S


def _has_crawled_before(worker, run):
    """Whether a task was moved before, and its worker runs nothing to compare it with.

    What is slow on a second worker, too, is long.
    """
    is_moved = bool(run.task.avoided_workers - {worker.worker_id})
    return is_moved and not any(
        other.task.job is not run.task.job
        and not other.task.job.is_long
        and not other.task.step.is_perpetual
        for other in worker.runs_by_key.values()
    )


class _Alternatives:
    """Finds out whether tasks could run on other workers of their pool.

    Load pattern: all runs of a large job on a worker stand still at once.
    """

    def __init__(self, tables, now):
        self._tables = tables
        self._now = now
        self._candidates_by_pool = {}
        self._with_room_by_row = {}

    def exist(self, worker, task):
        """Whether a worker other than a task's has room for it."""
        key = worker.pool, id(step_row_of(task))
        if key not in self._with_room_by_row:
            candidates = self._candidates(worker.pool)
            self._with_room_by_row[key] = candidates_with_room(task, candidates)
        return any(
            candidate.worker is not worker for candidate in self._with_room_by_row[key]
        )

    def _candidates(self, pool_name):
        if pool_name not in self._candidates_by_pool:
            self._candidates_by_pool[pool_name] = usable_candidates(
                self._tables, pool_name, self._now
            )
        return self._candidates_by_pool[pool_name]


def copy_overdue_runs(tables, pool_name, learned_durations, now, jobs=None):
    """Starts copies of overdue runs of speculative steps on workers with room.

    Args:
        tables: The tables; runs that are started are added to them.
        pool_name: The pool.
        learned_durations: ``LearnedDurations``.
        now: Current clock in seconds.
        jobs: Open jobs to look at; all by default.

    Returns:
        ``StartRun`` commands.
    """
    candidates = None
    commands = []
    for job in tables.open_jobs_by_id.values() if jobs is None else jobs:
        if not any(step.is_speculative for step in job.request.steps):
            continue
        if tables.pool_of(job) != pool_name:
            continue
        for task in _overdue_tasks(job, learned_durations, now):
            if is_start_held(tables, task):
                continue
            if candidates is None:
                candidates = usable_candidates(tables, pool_name, now)
            if not has_slots(step_row_of(task), candidates, 1):
                continue
            used_worker_ids = {run.worker_id for run in task.runs_by_number.values()}
            free = [
                candidate
                for candidate in candidates
                if candidate.worker.worker_id not in used_worker_ids
            ]
            allowed, has_advice = free, tables.queue_of(job).advice is not None
            if has_advice:
                allowed = candidates_with_ticket(tables, [task], free, now)
            candidate = choose_and_reserve(tables, task, allowed, now)
            if candidate is None:
                if has_advice:
                    want_advice(tables, [task], free, now)
                continue
            number = next_run_number(tables, [task])
            commands.append(start_on(tables, task, candidate, number, now))
    return commands


def _overdue_tasks(job, learned_durations, now):
    for occurrence in job.occurrences.values():
        for row in occurrence.steps:
            if not row.step.is_speculative or not row.left or row.step.is_gang:
                continue
            if row.step.is_perpetual:
                # No copy would ever finish first.
                continue
            expected_s = learned_durations.task_s(job.queue_name, row.step)
            for index in sorted(row.running):
                task = row.tasks[index]
                runs = task.runs_by_number.values()
                if task.is_done or len(runs) > MAX_COPIES:
                    continue
                oldest = min(run.started_at for run in runs)
                if now - oldest > COPY_AFTER_FACTOR * expected_s:
                    yield task
