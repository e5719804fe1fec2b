"""Simulates placement while tasks or workers crash, without sockets."""

import random
from collections import Counter
from dataclasses import dataclass

from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
    place_tasks,
)
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    record_crash,
    settle_crashes,
)
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import remove_worker
from sassafrasgrade.work_tables import MS_PER_S, RunState, WorkState, known_tasks

TICK_S = 0.1
TASK_S = 1.0
RETURN_S = 3.0
# Time after which a member of a gang ends when another member does not run.
GANG_WAIT_S = 2.0
SIMULATED_S = 120.0
NEVER = float("inf")


@dataclass(frozen=True)
class CrashPlan:
    """What happens in a simulation.

    Attributes:
        workers: Number of workers.
        bad: Number of jobs of which one task crashes each worker that starts it.
        gang_width: Number of tasks of such a job, which must run at the same time.
        flaky_after_s: Time after a start at which the first worker crashes.
        flapping: Number of workers that crash at random times.
        flap_period_s: Mean time between two crashes of such a worker.
        seed: Seed of these times.
        dark_s: Time for which a flapping worker answers no start before its crash is
            noticed.
        rolling: Number of workers that go dark and crash, one after another.
        rolling_period_s: Time between two of them.
        cpu_millis: Size of the tasks that crash no workers.
        lost_answers: Share of the starts of crashing tasks that get no answer.
        rack_lost_at_s: When every other worker crashes.
        outage_until_s: Time until which no progress is stored.
    """

    workers: int
    bad: int = 0
    gang_width: int = 1
    flaky_after_s: float = NEVER
    flapping: int = 0
    flap_period_s: float = 1.0
    seed: int = 0
    dark_s: float = 0.0
    rolling: int = 0
    rolling_period_s: float = 1.9
    cpu_millis: int = 4000
    lost_answers: float = 0.0
    rack_lost_at_s: float = NEVER
    outage_until_s: float = 0.0


class CrashSimulation:
    """Places tasks on workers that crash as planned.

    Args:
        plan: ``CrashPlan``.
    """

    def __init__(self, plan):
        self.tables = create_tables(workers=plan.workers)
        self.starts_by_task = Counter()
        self.bad_ids = {f"bad{number:013x}" for number in range(plan.bad)}
        # Crashes of workers on which a run of the task had begun.
        self.crashes_by_task = Counter()
        # Starts of tasks whose crashes were not stored yet.
        self.unsaved_starts = []
        self._plan = plan
        self._is_rack_lost = False
        self._random = random.Random(plan.seed)
        self._flapping_hosts = {
            f"host-worker-{number}" for number in range(plan.flapping)
        }
        # Workers are filled in this order, so that tasks follow the crashes.
        self._rolling_due_by_host = {
            f"host-worker-{number}": NOW + number * plan.rolling_period_s
            for number in range(plan.rolling)
        }
        self._due_at_by_host = {}
        self._noticed_at_by_host = {}
        self._begun_by_worker = {}
        self._incarnation = 0

    def run(self, others):
        """Places all tasks until they have ended, or the time is over."""
        for job_id in sorted(self.bad_ids):
            add_simple_job(
                self.tables,
                job_id,
                cpu_millis=4000,
                count=self._plan.gang_width,
                is_gang=self._plan.gang_width > 1,
            )
        for number in range(others):
            add_simple_job(
                self.tables, f"{number:016x}", cpu_millis=self._plan.cpu_millis
            )
        now = NOW
        while self.tables.open_jobs_by_id and now < NOW + SIMULATED_S:
            self._tick(now)
            now += TICK_S

    def failed_jobs(self):
        """Returns the jobs that were given up."""
        jobs = self.tables.jobs_by_id.values()
        return [job for job in jobs if job.pending_state is WorkState.FAILED]

    def crashes_of_failed_jobs(self):
        """Returns by job that was given up how often workers crashed under its task."""
        return {
            job.job_id: self.crashes_by_task[f"{job.job_id}.0.0.0"]
            for job in self.failed_jobs()
        }

    def all_ended(self):
        """Whether every job has ended."""
        return not self.tables.open_jobs_by_id

    def all_others_done(self):
        """Whether every other job is completed."""
        jobs = self.tables.jobs_by_id.values()
        return all(
            job.pending_state is WorkState.COMPLETED
            for job in jobs
            if job.job_id not in self.bad_ids
        )

    def bad_starts(self):
        """Returns the numbers of starts of the tasks that crash workers."""
        return [self.starts_by_task[self._bad_task(job_id)] for job_id in self.bad_ids]

    def _bad_task(self, job_id):
        return f"{job_id}.0.0.0"

    def _tick(self, now):
        self._lose_rack(now)
        for worker in list(self.tables.workers_by_id.values()):
            if worker.host in self._noticed_at_by_host:
                self._notice(worker, now)
            elif self._has_crashed(worker, now):
                self._noticed_at_by_host[worker.host] = now + self._dark_s_of(worker)
                self._notice(worker, now)
            else:
                self._answer(worker, now)
        self._return_workers(now)
        settle_crashes(self.tables)
        clear_outlived(self.tables)
        if now >= NOW + self._plan.outage_until_s:
            for job in self.tables.jobs_by_id.values():
                job.is_dirty = False
        self._place(now)

    def _place(self, now):
        unsaved = {
            task.name
            for job in self.tables.jobs_by_id.values()
            for task in known_tasks(job)
            if task.crashes and job.is_dirty
        }
        commands = place_tasks(
            self.tables, POOL, LearnedDurations(), now, NOW_UNIX + now - NOW
        )
        for command in commands:
            run = command.run
            if run.task.name in unsaved:
                self.unsaved_starts.append(run.task.name)
            run.deadline_ms = now * MS_PER_S
            run.state = RunState.UNCERTAIN
            worker = self.tables.workers_by_id[run.worker_id]
            if worker.host not in self._noticed_at_by_host:
                self._begin(run, worker, now)

    def _begin(self, run, worker, now):
        self.starts_by_task[run.task.name] += 1
        self._begun_by_worker.setdefault(worker.worker_id, []).append(run)
        is_bad = run.task.job.job_id in self.bad_ids
        if not is_bad or self._random.random() >= self._plan.lost_answers:
            run.state, run.answered_at = RunState.RUNNING, now

    def _dark_s_of(self, worker):
        is_at_fault = worker.host in self._flapping_hosts
        is_at_fault = is_at_fault or worker.host in self._rolling_due_by_host
        return self._plan.dark_s if is_at_fault else 0.0

    def _notice(self, worker, now):
        if now >= self._noticed_at_by_host[worker.host]:
            del self._noticed_at_by_host[worker.host]
            self._crash(worker, now)

    def _crash(self, worker, now):
        for run in self._begun_by_worker.pop(worker.worker_id, ()):
            if run in worker.runs_by_key.values():
                self.crashes_by_task[run.task.name] += 1
        record_crash(self.tables, worker)
        remove_worker(self.tables, worker, EndProof(ProofKind.WORKER_GONE, now), now)
        self._due_at_by_host[worker.host] = now + RETURN_S

    def _lose_rack(self, now):
        if not self._is_rack_lost and now >= NOW + self._plan.rack_lost_at_s:
            self._is_rack_lost = True
            for worker in list(self.tables.workers_by_id.values())[::2]:
                self._crash(worker, now)

    def _has_crashed(self, worker, now):
        runs = worker.runs_by_key.values()
        bad_tasks = {self._bad_task(job_id) for job_id in self.bad_ids}
        if any(run.task.name in bad_tasks for run in runs):
            return True
        if now >= self._rolling_due_by_host.get(worker.host, NEVER):
            self._rolling_due_by_host[worker.host] = NEVER
            return True
        if worker.host in self._flapping_hosts:
            return self._random.random() < TICK_S / self._plan.flap_period_s
        if worker.host != "host-worker-0":
            return False
        return any(now - run.started_at >= self._plan.flaky_after_s for run in runs)

    def _has_complete_gang(self, run):
        members = run.task.job.occurrences[0].steps[0].tasks
        return all(member.runs_by_number for member in members)

    def _answer(self, worker, now):
        worker.last_answer_at = worker.last_answered_call_at = now
        running, ended = [], []
        for run in worker.runs_by_key.values():
            age_s = now - run.started_at
            number = worker.seen_end + len(ended) + 1
            if age_s >= TASK_S and self._has_complete_gang(run):
                ended.append((number, run.task.name, run.number, "done"))
            elif age_s >= GANG_WAIT_S:
                ended.append((number, run.task.name, run.number, "alone"))
            else:
                running.append((run.task.name, run.number))
        apply_worker_view(self.tables, worker, now, running=running, ended=ended)

    def _return_workers(self, now):
        for host, due_at in list(self._due_at_by_host.items()):
            if due_at <= now:
                del self._due_at_by_host[host]
                self._incarnation += 1
                worker = add_worker(self.tables, f"new-{self._incarnation}")
                worker.host, worker.last_answer_at = host, now
