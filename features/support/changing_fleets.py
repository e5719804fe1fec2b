"""Lasting and scheduled jobs on workers that change, under leaders that change."""

import random
from dataclasses import dataclass, field

from features.support.work_tables import (
    CAPACITY,
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_worker,
    apply_worker_view,
    create_tables,
    place_tasks,
)
from sassafrasgrade.job_records import (
    SubmittedJob,
    add_job,
    apply_progress,
    decode_progress,
    encode,
    progress_of,
)
from sassafrasgrade.platform.messages import Capacity, JobRequest, Step
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    count_unrecorded_starts,
    record_crash,
    settle_crashes,
)
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.occurrences import create_due, forget_done
from sassafrasgrade.systems.run_updates import remove_worker
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.work_commands import StartRun, StopRun
from sassafrasgrade.work_tables import ALL_POOLS, MS_PER_S, RunState

TICK_S = 0.1
WORKERS = 6
CHANGING_TICKS = 200
CALM_TICKS = 300
SMALL = Capacity(3000, CAPACITY.memory_mb, 0)
LASTING = "a" * 16
REQUESTS_BY_ID = {
    LASTING: JobRequest(
        spec="s",
        steps=(Step(count=3, cpu_millis=4000, memory_mb=100, is_perpetual=True),),
    ),
    "b"
    * 16: JobRequest(
        spec="s",
        steps=(
            Step(count=2, cpu_millis=2000, memory_mb=100, is_perpetual=True),
            Step(count=2, cpu_millis=500, memory_mb=100, estimate_ms=500),
        ),
    ),
    # Occurrences overlap: each takes longer than it is until the next one is due.
    "c"
    * 16: JobRequest(
        spec="s",
        steps=(
            Step(count=2, cpu_millis=2000, memory_mb=100, estimate_ms=1500),
            Step(
                count=2,
                cpu_millis=2000,
                memory_mb=100,
                estimate_ms=1500,
                is_speculative=True,
                after=(0,),
            ),
        ),
        repeats=6,
        first_ms=NOW_UNIX * MS_PER_S,
        interval_ms=700,
    ),
}
DURATION_S = 1.5
# Crashes are rare enough not to be held against the tasks.
CHANGE_WEIGHTS = (1, 5, 5)
ENDS = ("done", "stopped", "lapsed", "broken", "alone", "failed")
# Attempts after which a task of a finite step is given up; it must not happen here.
MOST_ATTEMPTS = 1000


@dataclass
class WorkerTruth:
    """What a worker really runs.

    Attributes:
        runs: End and clock of the end of each run, by (task name, number).
        ended: Rows of the ends that it lists.
    """

    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)


class ChangingFleet:
    """Leaders, one after another, and the workers that they give orders to.

    Args:
        seed: Seed of the changes.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._now = NOW
        self._truth_by_id = {f"worker-{n}": WorkerTruth() for n in range(WORKERS)}
        self._returns_at_by_id = {}
        self._is_calm = False
        self._epoch = 0
        self.tables = self._create_leader({})

    def run(self):
        """Changes workers and leaders for a while, and then lets all work on."""
        for _ in range(CHANGING_TICKS):
            self._change()
            self._tick()
        self._is_calm = True
        for worker in self.tables.workers_by_id.values():
            worker.capacity, worker.is_draining = CAPACITY, False
        for _ in range(CALM_TICKS):
            self._tick()

    def unserved(self):
        """Returns the lasting tasks that are not at work and the jobs not completed."""
        found = []
        for job in self.tables.jobs_by_id.values():
            rows = [r for o in job.occurrences.values() for r in o.steps]
            lasting = [t for r in rows if r.step.is_perpetual for t in r.tasks]
            found += [task.name for task in lasting if not task.runs_by_number]
            if job.is_open != bool(lasting):
                found.append(job.job_id)
        return found

    def _create_leader(self, progress_by_job):
        tables = create_tables(workers=0, most_attempts=MOST_ATTEMPTS)
        self._epoch += 1
        tables.epoch = self._epoch
        for job_id, request in REQUESTS_BY_ID.items():
            job = add_job(tables, job_id, SubmittedJob(QUEUE, NOW_UNIX, request))
            if job_id in progress_by_job:
                apply_progress(tables, job, progress_by_job[job_id])
            job.is_inherited = tables.epoch > 1
        for worker_id in self._truth_by_id:
            add_worker(tables, worker_id).last_answer_at = self._now
        if tables.epoch > 1:
            # Until all workers have reported, which they do in the next tick.
            tables.held_pools = ALL_POOLS
            count_unrecorded_starts(tables, False, self._now)
        return tables

    def _change(self):
        if self._random.random() < 0.02:
            progress = {
                job.job_id: decode_progress(encode(progress_of(job)))
                for job in self.tables.jobs_by_id.values()
            }
            self.tables = self._create_leader(progress)
        if self._random.random() < 0.15 and self.tables.workers_by_id:
            workers = list(self.tables.workers_by_id.values())
            worker = self._random.choice(workers)
            changes = [self._crash, self._shrink, self._drain]
            self._random.choices(changes, CHANGE_WEIGHTS)[0](worker)

    def _crash(self, worker):
        del self._truth_by_id[worker.worker_id]
        record_crash(self.tables, worker)
        proof = EndProof(ProofKind.WORKER_GONE, self._now)
        remove_worker(self.tables, worker, proof, self._now)
        self._returns_at_by_id[f"{worker.worker_id}x"] = self._now + 1.0

    def _shrink(self, worker):
        worker.capacity = SMALL if worker.capacity is CAPACITY else CAPACITY

    def _drain(self, worker):
        worker.is_draining = not worker.is_draining

    def _tick(self):
        self._now += TICK_S
        for worker_id, at in list(self._returns_at_by_id.items()):
            if at <= self._now:
                del self._returns_at_by_id[worker_id]
                self._truth_by_id[worker_id] = WorkerTruth()
                add_worker(self.tables, worker_id).last_answer_at = self._now
        commands = []
        for worker in list(self.tables.workers_by_id.values()):
            commands += self._report(worker)
        self.tables.held_pools = frozenset()
        now_unix = NOW_UNIX + self._now - NOW
        commands += create_due(self.tables, now_unix)
        commands += settle_crashes(self.tables)
        clear_outlived(self.tables)
        for job in self.tables.jobs_by_id.values():
            job.is_dirty = False
        durations = LearnedDurations()
        commands += place_tasks(self.tables, POOL, durations, self._now, now_unix)
        commands += copy_overdue_runs(self.tables, POOL, durations, self._now)
        for command in commands:
            self._carry_out(command)
        forget_done(self.tables)

    def _carry_out(self, command):
        if isinstance(command, StartRun):
            run = command.run
            how = "done" if self._is_calm else self._random.choice(ENDS)
            lasts_s = DURATION_S
            if run.task.step.is_perpetual:
                lasts_s = 1e9 if self._is_calm else self._random.uniform(0.2, 8.0)
            run.state, run.answered_at = RunState.RUNNING, self._now
            truth = self._truth_by_id[run.worker_id]
            truth.runs[run.task.name, run.number] = (how, self._now + lasts_s)
        elif isinstance(command, StopRun):
            run = command.run
            runs = self._truth_by_id[run.worker_id].runs
            if (run.task.name, run.number) in runs:
                runs[run.task.name, run.number] = ("stopped", self._now)

    def _report(self, worker):
        truth = self._truth_by_id[worker.worker_id]
        for key, (how, ends_at) in list(truth.runs.items()):
            if ends_at <= self._now:
                del truth.runs[key]
                truth.ended.append((len(truth.ended) + 1, *key, how))
        worker.last_answer_at = worker.last_answered_call_at = self._now
        running = list(truth.runs)
        return apply_worker_view(
            self.tables, worker, self._now, running=running, ended=truth.ended
        )
