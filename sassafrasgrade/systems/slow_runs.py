"""Finds stalled and slow runs, and restarts or copies their tasks elsewhere.

Load pattern: some workers look healthy while their runs make no progress or take
many times as long as on other workers.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

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
from sassafrasgrade.work_tables import Job, RunState, Worker

# Minimum time without progress after which a run counts as stalled, in seconds:
# the longest long poll and a margin.
MIN_STALL_S = 2.2
# Maximum time for one percent of progress, as a fraction of a run's expected time.
STALL_FRACTION = 0.05
# Minimum time between two estimates of all workers' speeds, in seconds: progress is
# listed no more often, and an estimate takes milliseconds for hundreds of workers.
ESTIMATE_PERIOD_S = 0.5
# Total run time needed to estimate a worker's speed, in seconds.
MIN_OBSERVED_S = 1.5
# Total run time needed to compare a job's runs on a worker with others, in seconds.
MIN_COMPARED_S = 0.3
# Slowness from which a job counts as long if its workers are sound, and the largest
# that a long job explains.
LONG_FACTOR = 5.0
MAX_TASK_FACTOR = 30.0
# A run on a slow worker is restarted elsewhere if the rest of it would take this
# much longer than the whole task on another worker, in seconds.
MIN_RESTART_GAIN_S = 0.5
# Number of other workers on which a job is as slow if it is long: two slow workers may
# share a job.
MIN_AGREEING_WORKERS = 2
# Slowness up to which a run is as fast as others.
USUAL_FACTOR = 1.25
# Largest slowness that is told apart.
MAX_SLOWNESS = 100.0
# Least work by which speeds are divided, in seconds.
MIN_DONE_S = 1e-9
# Time within which a perpetual task must be at work, or it is moved, in seconds.
MAX_START_UP_S = 4.0
# Maximum age of a worker's last answer for its progress to be judged, in seconds.
MAX_ANSWER_AGE_S = 1.6
# Multiple of the expected time after which a run is copied to a worker with room.
COPY_AFTER_FACTOR = 1.5
# Copies in addition to the first run of a task.
MAX_COPIES = 1


@dataclass(slots=True)
class WatchedWork:
    """Progress that this leader has watched.

    Attributes:
        done_s: Expected time of what was done, in seconds.
        spent_s: Time that it took, in seconds.
        since: Clock when the first of it began.
    """

    done_s: float = 0.0
    spent_s: float = 0.0
    since: float = math.inf

    def add(self, other):
        """Adds other work."""
        self.done_s += other.done_s
        self.spent_s += other.spent_s
        self.since = min(self.since, other.since)

    def add_run(self, worker, run, learned_durations):
        """Adds the progress of a run as of its worker's last answer."""
        if not run.watched_at:
            return
        task = run.task
        expected_s = learned_durations.task_s(task.job.queue_name, task.step)
        self.done_s += expected_s * (run.percent - run.watched_percent) / 100
        self.spent_s += max(0.0, worker.last_answer_at - run.watched_at)
        self.since = min(self.since, run.watched_at)

    def slowness(self, usual_speed):
        """Returns how many times as long it took as at the usual speed."""
        usual_s = self.spent_s * usual_speed
        return usual_s / max(self.done_s, usual_s / MAX_SLOWNESS, MIN_DONE_S)


def watched_work(worker, run, learned_durations):
    """Returns the ``WatchedWork`` of a run as of its worker's last answer."""
    work = WatchedWork()
    work.add_run(worker, run, learned_durations)
    return work


@dataclass(slots=True)
class PoolWork:
    """Watched work of a pool.

    Attributes:
        by_job: ``WatchedWork`` by job and worker.
        by_worker: The same by worker and job.
        usual_speed: Expected time done per time spent, without long jobs; 0 if it is
            not known.
    """

    by_job: dict[Job, dict[Worker, WatchedWork]]
    by_worker: dict[Worker, dict[Job, WatchedWork]]
    usual_speed: float = 0.0

    def work_of(self, job, worker):
        """Returns the ``WatchedWork`` of a job on a worker, new if there is none."""
        work = self.by_worker[worker].get(job)
        if work is None:
            work = self.by_worker[worker][job] = self.by_job[job][worker] = (
                WatchedWork()
            )
        return work

    def set_usual_speed(self):
        """Computes the usual speed."""
        total = WatchedWork()
        for job, work_by_worker in self.by_job.items():
            if not job.is_long:
                for work in work_by_worker.values():
                    total.add(work)
        self.usual_speed = total.done_s / total.spent_s if total.spent_s else 0.0

    def slownesses_elsewhere(self, job, worker):
        """Yields the slowness of a job on other workers, as far as it is known."""
        for other, work in self.by_job[job].items():
            if other is not worker and work.spent_s >= MIN_COMPARED_S:
                yield work.slowness(self.usual_speed)


def _is_compared(run):
    return run.state is RunState.RUNNING and not run.task.step.is_perpetual


def _watch_pools(tables, learned_durations):
    works = {}
    for worker in tables.workers_by_id.values():
        if worker.pool not in works:
            works[worker.pool] = PoolWork(defaultdict(dict), defaultdict(dict))
        pool = works[worker.pool]
        for run in worker.runs_by_key.values():
            if _is_compared(run):
                work = pool.work_of(run.task.job, worker)
                work.add_run(worker, run, learned_durations)
    for pool in works.values():
        pool.set_usual_speed()
    return works


def estimate_slowness(tables, learned_durations, now):
    """Estimates how much slower than its pool each worker is, at intervals.

    Declared durations are far off for single tasks, so the progress of all runs
    of a worker is compared with that of all runs of its pool. Jobs that are long
    wherever they run say nothing of a worker.
    """
    if now - tables.speeds_estimated_at < ESTIMATE_PERIOD_S:
        return
    tables.speeds_estimated_at = now
    works = _watch_pools(tables, learned_durations)
    for pool in works.values():
        if pool.usual_speed:
            _mark_long_jobs(pool, learned_durations)
            pool.set_usual_speed()
            has_long_jobs = any(job.is_long for job in pool.by_job)
            for worker in pool.by_worker:
                _estimate_worker(pool, worker, has_long_jobs)
    tables.usual_speeds_by_pool = {
        name: pool.usual_speed for name, pool in works.items()
    }


def _mark_long_jobs(pool, learned_durations):
    """Marks the jobs whose tasks take far longer than declared on sound workers."""
    for job, work_by_worker in pool.by_job.items():
        job.is_long = job.is_long or any(
            _is_long_itself(pool, job, worker, learned_durations)
            for worker in work_by_worker
        )


def _is_long_itself(pool, job, worker, learned_durations):
    """Whether a job is slow on a worker for no fault of the worker.

    It is as slow on several others, or the worker runs something else at usual speed
    that began no earlier: no later slowdown of the worker explains that.
    """
    work = pool.by_job[job][worker]
    slowness = work.slowness(pool.usual_speed)
    if work.spent_s < MIN_COMPARED_S or not _is_of_long_task(slowness):
        return False
    agreeing = 0
    for elsewhere in pool.slownesses_elsewhere(job, worker):
        if not _is_of_long_task(elsewhere):
            return False
        agreeing += 1
    if agreeing >= MIN_AGREEING_WORKERS:
        return True
    others = [
        watched_work(worker, run, learned_durations)
        for run in worker.runs_by_key.values()
        if run.task.job is not job and _is_compared(run)
    ]
    return any(
        other.spent_s >= MIN_COMPARED_S
        and other.since >= work.since
        and other.slowness(pool.usual_speed) * LONG_FACTOR <= slowness
        for other in others
    )


def _is_of_long_task(slowness):
    return LONG_FACTOR < slowness <= MAX_TASK_FACTOR


def _estimate_worker(pool, worker, has_long_jobs):
    """Updates a worker's slowness if enough of its work was watched."""
    total = WatchedWork()
    for job, work in pool.by_worker[worker].items():
        if not job.is_long:
            total.add(work)
    if total.spent_s < MIN_OBSERVED_S or not pool.usual_speed:
        return
    slowness = total.slowness(pool.usual_speed)
    # Beside long jobs, those of a slow worker may be long, too.
    is_doubtful = has_long_jobs and SLOW_FACTOR < slowness <= MAX_TASK_FACTOR
    if not is_doubtful or _is_slower_than_others(pool, worker):
        worker.slowness = slowness


def _is_slower_than_others(pool, worker):
    """Whether some job is slower on a worker than on another one."""
    return any(
        work.slowness(pool.usual_speed) > SLOW_FACTOR * elsewhere
        for job, work in pool.by_worker[worker].items()
        if not job.is_long
        for elsewhere in pool.slownesses_elsewhere(job, worker)
    )


def stop_stalled(tables, learned_durations, now):
    """Stops stalled and slow runs, so that their tasks start on other workers."""
    estimate_slowness(tables, learned_durations, now)
    commands = []
    for worker in tables.workers_by_id.values():
        if worker.unresponsive_since or now - worker.last_answer_at > MAX_ANSWER_AGE_S:
            continue
        usual_speed = tables.usual_speeds_by_pool.get(worker.pool, 0.0)
        for run in worker.runs_by_key.values():
            if run.state is not RunState.RUNNING or run.stopped_at:
                continue
            reason = _restart_reason(worker, run, learned_durations, usual_speed, now)
            if reason and _has_alternative(tables, worker, run.task, now):
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
