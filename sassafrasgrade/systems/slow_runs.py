"""Finds stalled and slow runs, and restarts or copies their tasks elsewhere.

Load pattern: some workers look healthy while their runs make no progress or take
many times as long as on other workers.
"""

from sassafrasgrade.systems.crash_records import is_start_held
from sassafrasgrade.systems.task_placement import (
    SLOW_FACTOR,
    candidate_of,
    candidates_with_ticket,
    choose_and_reserve,
    choose_candidate,
    is_usable,
    next_run_number,
    start_on,
    want_advice,
)
from sassafrasgrade.work_commands import StopRun
from sassafrasgrade.work_tables import RunState

# Minimum time without progress after which a run counts as stalled, in seconds:
# the longest long poll and a margin.
MIN_STALL_S = 2.2
# Maximum time for one percent of progress, as a fraction of a run's expected time.
STALL_FRACTION = 0.05
# Total run time needed to estimate a worker's speed, in seconds.
MIN_OBSERVED_S = 1.5
# A run on a slow worker is restarted elsewhere if the rest of it would take this
# much longer than the whole task on another worker, in seconds.
MIN_RESTART_GAIN_S = 0.5
# Time within which a perpetual task must be at work, or it is moved, in seconds.
MAX_START_UP_S = 4.0
# Maximum age of a worker's last answer for its progress to be judged, in seconds.
MAX_ANSWER_AGE_S = 1.6
# Multiple of the expected time after which a run is copied to a worker with room.
COPY_AFTER_FACTOR = 1.5
# Copies in addition to the first run of a task.
MAX_COPIES = 1


def estimate_slowness(tables, learned_durations, now):
    """Estimates how much slower than its pool each worker is.

    Declared durations are far off for single tasks, so the progress of all runs
    of a worker is compared with that of all runs of its pool.
    """
    done_by_worker, spent_by_worker = {}, {}
    done_by_pool, spent_by_pool = {}, {}
    for worker in tables.workers_by_id.values():
        done = spent = 0.0
        for run in worker.runs_by_key.values():
            step = run.task.step
            if run.state is not RunState.RUNNING or step.is_perpetual:
                continue
            expected_s = learned_durations.task_s(run.task.job.queue_name, step)
            done += expected_s * run.percent / 100
            spent += max(0.0, worker.last_answer_at - run.answered_at)
        done_by_worker[worker.worker_id] = done
        spent_by_worker[worker.worker_id] = spent
        done_by_pool[worker.pool] = done_by_pool.get(worker.pool, 0.0) + done
        spent_by_pool[worker.pool] = spent_by_pool.get(worker.pool, 0.0) + spent
    for worker in tables.workers_by_id.values():
        spent = spent_by_worker[worker.worker_id]
        if spent < MIN_OBSERVED_S or not done_by_pool[worker.pool]:
            continue
        pool_speed = done_by_pool[worker.pool] / spent_by_pool[worker.pool]
        own_speed = done_by_worker[worker.worker_id] / spent
        worker.slowness = pool_speed / max(own_speed, pool_speed / 100)


def stop_stalled(tables, learned_durations, now):
    """Stops stalled and slow runs, so that their tasks start on other workers."""
    estimate_slowness(tables, learned_durations, now)
    commands = []
    for worker in tables.workers_by_id.values():
        if worker.unresponsive_since or now - worker.last_answer_at > MAX_ANSWER_AGE_S:
            continue
        for run in worker.runs_by_key.values():
            if run.state is not RunState.RUNNING or run.stopped_at:
                continue
            reason = _restart_reason(worker, run, learned_durations, now)
            if reason and _has_alternative(tables, worker, run.task, now):
                worker.failures += 1
                run.task.avoided_workers.add(worker.worker_id)
                commands.append(StopRun(run, reason))
    return commands


def _restart_reason(worker, run, learned_durations, now):
    """Returns why a run should be restarted elsewhere, or an empty string."""
    step = run.task.step
    age_s = now - run.answered_at
    if step.is_perpetual:
        return "not at work" if not run.at_work_at and age_s > MAX_START_UP_S else ""
    if step.is_filler or run.pace < 100:
        return ""
    expected_s = learned_durations.task_s(run.task.job.queue_name, step)
    if now - run.changed_at > max(MIN_STALL_S, STALL_FRACTION * expected_s):
        return "stands still"
    if worker.slowness > SLOW_FACTOR and run.percent > 0:
        left_s = age_s * (100 - run.percent) / run.percent
        elsewhere_s = left_s / (1 - run.percent / 100) / worker.slowness
        if left_s > elsewhere_s + MIN_RESTART_GAIN_S:
            return "crawls"
    return ""


def _has_alternative(tables, worker, task, now):
    candidates = [
        candidate_of(other)
        for other in tables.workers_by_id.values()
        if other.pool == worker.pool and other is not worker and is_usable(other, now)
    ]
    return choose_candidate(task, candidates) is not None


def copy_overdue_runs(tables, pool_name, learned_durations, now):
    """Starts copies of overdue runs of speculative steps on workers with room."""
    candidates = None
    commands = []
    for job in tables.open_jobs_by_id.values():
        if not any(step.is_speculative for step in job.request.steps):
            continue
        if tables.pool_of(job) != pool_name:
            continue
        for task in _overdue_tasks(job, learned_durations, now):
            if is_start_held(tables, task):
                continue
            if candidates is None:
                candidates = [
                    candidate_of(worker)
                    for worker in tables.workers_by_id.values()
                    if worker.pool == pool_name and is_usable(worker, now)
                ]
            used_worker_ids = {run.worker_id for run in task.runs_by_number.values()}
            free = [
                candidate
                for candidate in candidates
                if candidate.worker.worker_id not in used_worker_ids
            ]
            allowed, has_advice = free, tables.queue_of(job).advice is not None
            if has_advice:
                allowed = candidates_with_ticket(tables, task, free, now)
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
            for task in row.tasks:
                runs = task.runs_by_number.values()
                if task.is_done or not runs or len(runs) > MAX_COPIES:
                    continue
                oldest = min(run.started_at for run in runs)
                if now - oldest > COPY_AFTER_FACTOR * expected_s:
                    yield task
