"""Simulates placement while tasks or a worker crash, without sockets."""

from collections import Counter

from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
)
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    record_crash,
    settle_crashes,
)
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import remove_worker
from sassafrasgrade.systems.task_placement import place_tasks
from sassafrasgrade.work_tables import RunState, WorkState

TICK_S = 0.1
TASK_S = 1.0
RETURN_S = 3.0
SIMULATED_S = 120.0


class CrashSimulation:
    """Workers of which some crash under chosen tasks, or one for its own reasons.

    Args:
        workers: Number of workers.
        bad: Number of tasks that crash each worker that starts them.
        flaky_after_s: Time after a start at which the first worker crashes; None if
            it does not.
    """

    def __init__(self, workers, bad, flaky_after_s=None):
        self.tables = create_tables(workers=workers)
        self.starts_by_job = Counter()
        self.bad_ids = {f"bad{number:013x}" for number in range(bad)}
        self._flaky_after_s = flaky_after_s
        self._due_by_worker = {}
        self._incarnation = 0

    def run(self, others):
        """Places all tasks until they have ended, or the time is over."""
        for job_id in sorted(self.bad_ids):
            add_simple_job(self.tables, job_id, cpu_millis=4000)
        for number in range(others):
            add_simple_job(self.tables, f"{number:016x}", cpu_millis=4000)
        now = NOW
        while self.tables.open_jobs_by_id and now < NOW + SIMULATED_S:
            self._tick(now)
            now += TICK_S

    def failed_jobs(self):
        """Returns the jobs that were given up."""
        jobs = self.tables.jobs_by_id.values()
        return [job for job in jobs if job.pending_state is WorkState.FAILED]

    def all_others_done(self):
        """Whether every other job is completed."""
        jobs = self.tables.jobs_by_id.values()
        return all(
            job.pending_state is WorkState.COMPLETED
            for job in jobs
            if job.job_id not in self.bad_ids
        )

    def _tick(self, now):
        for worker in list(self.tables.workers_by_id.values()):
            if self._has_crashed(worker, now):
                record_crash(self.tables, worker)
                remove_worker(self.tables, worker, now)
                self._due_by_worker[worker.host] = now + RETURN_S
            else:
                self._answer(worker, now)
        self._return_workers(now)
        settle_crashes(self.tables)
        clear_outlived(self.tables)
        for job in self.tables.jobs_by_id.values():
            job.is_dirty = False
        commands = place_tasks(
            self.tables, POOL, LearnedDurations(), now, NOW_UNIX + now - NOW
        )
        for command in commands:
            run = command.run
            run.state, run.answered_at = RunState.RUNNING, now
            self.starts_by_job[run.task.job.job_id] += 1

    def _has_crashed(self, worker, now):
        runs = worker.runs_by_key.values()
        if any(run.task.job.job_id in self.bad_ids for run in runs):
            return True
        if self._flaky_after_s is None or worker.host != "host-worker-0":
            return False
        return any(now - run.started_at >= self._flaky_after_s for run in runs)

    def _answer(self, worker, now):
        worker.last_answer_at = now
        running, ended = [], []
        for run in worker.runs_by_key.values():
            if now - run.started_at >= TASK_S:
                number = worker.seen_end + len(ended) + 1
                ended.append((number, run.task.name, run.number, "done"))
            else:
                running.append((run.task.name, run.number))
        apply_worker_view(self.tables, worker, now, running=running, ended=ended)

    def _return_workers(self, now):
        for host, due_at in list(self._due_by_worker.items()):
            if due_at <= now:
                del self._due_by_worker[host]
                self._incarnation += 1
                worker = add_worker(self.tables, f"new-{self._incarnation}")
                worker.host, worker.last_answer_at = host, now
