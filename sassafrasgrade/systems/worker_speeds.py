"""Estimates how fast workers are, by the progress that this leader has watched.

Progress from before a takeover, a restart of the worker or a saved value was made in
time that this leader has not seen, and counts for nothing.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

from sassafrasgrade.systems.task_placement import SLOW_FACTOR
from sassafrasgrade.work_tables import Job, RunState, Worker

# Minimum time between two estimates of all workers' speeds, in seconds: one takes
# milliseconds for hundreds of workers.
ESTIMATE_PERIOD_S = 0.5
# Total run time needed to estimate a worker's speed, in seconds.
MIN_OBSERVED_S = 1.5
# Total run time needed to compare a job's runs on a worker with others, in seconds.
MIN_COMPARED_S = 0.3
# Slowness from which a job counts as long if its workers are sound, and the largest
# that a long job explains.
LONG_FACTOR = 5.0
MAX_TASK_FACTOR = 30.0
# Number of other workers on which a job is as slow if it is long: two slow workers may
# share a job.
MIN_AGREEING_WORKERS = 2
# Largest slowness that is told apart.
MAX_SLOWNESS = 100.0
# Least work by which speeds are divided, in seconds.
MIN_DONE_S = 1e-9


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
