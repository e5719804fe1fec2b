"""Simulates overloads of the placement system, without sockets."""

import random
from dataclasses import dataclass

from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    add_simple_job,
    apply_worker_view,
    create_tables,
    place_tasks,
)
from sassafrasgrade.systems import job_ranks
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.work_tables import RunState

TICK_S = 0.05
SIMULATED_S = 20.0
WORKERS = 4
# A job that takes up to `LATE_FACTOR` times its allowed duration earns this share
# of its value; a later one earns nothing.
LATE_VALUE_SHARE = 0.07
LATE_FACTOR = 3.0


@dataclass
class OverloadResult:
    """Result of an overload.

    Attributes:
        earned_value: Sum of the value earned by the jobs.
    """

    earned_value: float = 0.0


def _rank_by_arrival(tables, job, learned_durations, now_unix):
    return (job.accepted_at, job.job_id)


def _rank_by_slack(tables, job, learned_durations, now_unix):
    queue = tables.queues_by_name[job.queue_name]
    due_at = job_ranks.due_time(job, queue, learned_durations)
    slack_s = due_at - now_unix - learned_durations.critical_path_left_s(job)
    return (slack_s < 0, slack_s, job.job_id)


RANK_FUNCTIONS = {
    "worth": job_ranks.rank_job,
    "arrival": _rank_by_arrival,
    "least slack": _rank_by_slack,
}


def simulate_overload(policy, jobs, seconds, seed):
    """Simulates a burst of jobs on the workers.

    Args:
        policy: Order in which jobs are placed, a key of ``RANK_FUNCTIONS``.
        jobs: Number of jobs.
        seconds: Span in which they arrive.
        seed: Seed of arrivals and sizes.

    Returns:
        ``OverloadResult``.
    """
    original = job_ranks.rank_job
    job_ranks.rank_job = RANK_FUNCTIONS[policy]
    try:
        return _simulate(jobs, seconds, seed)
    finally:
        job_ranks.rank_job = original


def _simulate(jobs, seconds, seed):
    rng = random.Random(seed)
    tables = create_tables(workers=WORKERS)
    learned_durations = LearnedDurations()
    arrivals = sorted(rng.uniform(0, seconds) for _ in range(jobs))
    ends_by_run = {}
    done_at = {}
    clock = 0.0
    while clock < SIMULATED_S:
        now, now_unix = NOW + clock, NOW_UNIX + clock
        while arrivals and arrivals[0] <= clock:
            arrivals.pop(0)
            job = add_simple_job(
                tables,
                f"{rng.getrandbits(64):016x}",
                now_unix,
                count=rng.choice([2, 4, 6, 8, 12, 16]),
                cpu_millis=rng.choice([1000, 2000, 3000]),
                estimate_ms=rng.choice([300, 600, 1000]),
            )
            learned_durations.record_job(job)
        _end_runs(tables, ends_by_run, now)
        for job in tables.jobs_by_id.values():
            if not job.is_open and job.job_id not in done_at:
                done_at[job.job_id] = now_unix
        commands = place_tasks(tables, "pool-1", learned_durations, now, now_unix)
        for command in commands:
            run = command.run
            run.state = RunState.RUNNING
            run.answered_at = now
            ends_by_run[run] = now + run.task.step.estimate_ms / 1000
        clock += TICK_S
    return _sum_earned_value(tables, learned_durations, done_at)


def _end_runs(tables, ends_by_run, now):
    for worker in tables.workers_by_id.values():
        ended, running = [], []
        number = worker.seen_end
        for run in worker.runs_by_key.values():
            if ends_by_run[run] <= now:
                number += 1
                ended.append((number, run.task.name, run.number, "done"))
            else:
                running.append((run.task.name, run.number))
        apply_worker_view(tables, worker, now, running=running, ended=ended)


def _sum_earned_value(tables, learned_durations, done_at):
    result = OverloadResult()
    work_by_job = {
        j.job_id: learned_durations.work(j, False) for j in tables.jobs_by_id.values()
    }
    mean_work = sum(work_by_job.values()) / len(work_by_job)
    for job in tables.jobs_by_id.values():
        queue = tables.queues_by_name[job.queue_name]
        allowed_s = job_ranks.due_time(job, queue, learned_durations) - job.accepted_at
        took_s = done_at.get(job.job_id, float("inf")) - job.accepted_at
        value_share = 0.0
        if took_s <= allowed_s:
            value_share = 1.0
        elif took_s <= LATE_FACTOR * allowed_s:
            value_share = LATE_VALUE_SHARE
        work = work_by_job[job.job_id]
        # The rule for a job's value that `job_ranks.value_density` follows.
        result.earned_value += value_share * (0.3 + 0.7 * work / mean_work)
    return result
