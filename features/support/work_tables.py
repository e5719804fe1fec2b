"""Builds tables of jobs and workers for tests of the scheduling systems."""

from sassafrasgrade.job_records import SubmittedJob, add_job
from sassafrasgrade.platform.messages import (
    Capacity,
    Configuration,
    EndedRow,
    JobRequest,
    Pool,
    Queue,
    RunEnd,
    RunningRow,
    Step,
    WorkerView,
)
from sassafrasgrade.systems.job_ranks import ranked_jobs
from sassafrasgrade.systems.placement_passes import PlacementPass
from sassafrasgrade.systems.run_updates import apply_view, record_answered_start
from sassafrasgrade.systems.task_placement import create_run
from sassafrasgrade.work_tables import RunState, Worker, WorkTables

NOW = 1000.0
NOW_UNIX = 2_000_000.0
POOL = "pool-1"
STANDBY = "pool-standby"
QUEUE = "queue-1"
CAPACITY = Capacity(16_000, 65_536, 0)


def create_tables(workers=2, most_attempts=2, objective_ms=600.0):
    """Returns tables with a pool, a standby pool, a queue and idle workers."""
    tables = WorkTables(epoch=1)
    queue = Queue(
        name=QUEUE,
        pool=POOL,
        most_attempts=most_attempts,
        objective_ms=objective_ms,
        stretch=1.6,
    )
    pools = (Pool(name=POOL), Pool(name=STANDBY, is_standby=True))
    tables.adopt_configuration(Configuration(version=1, queues=(queue,), pools=pools))
    for number in range(workers):
        add_worker(tables, f"worker-{number}")
    return tables


def add_worker(tables, name):
    """Adds a worker that has just answered."""
    worker = Worker(name, "127.0.0.1:1", POOL, "z1", CAPACITY, ("a", "r1"))
    worker.has_seen_token = True
    worker.clock_offset_ms = 0.0
    worker.last_answer_at = NOW
    worker.host = f"host-{name}"
    tables.workers_by_id[name] = worker
    return worker


def add_simple_job(tables, job_id="a" * 16, accepted_at=NOW_UNIX, **step):
    """Adds a job of one step; returns it."""
    fields = {"count": 1, "cpu_millis": 1000, "memory_mb": 100, "estimate_ms": 500}
    request = JobRequest(spec="s", steps=(Step(**(fields | step)),))
    submitted = SubmittedJob(QUEUE, accepted_at, request)
    return add_job(tables, job_id, submitted)


def first_task(job, index=0):
    """Returns a task of the first step of the first occurrence."""
    return job.occurrences[0].steps[0].tasks[index]


def start_run(task, worker, state=RunState.RUNNING, now=NOW, number=1):
    """Adds a run of a task to a worker."""
    run = create_run(task, worker, number, now)
    run.state = state
    run.deadline_ms = (now + 1.5) * 1000
    if state is RunState.RUNNING:
        record_answered_start(run, 0, now)
    return run


def place_tasks(tables, pool_name, learned_durations, now, now_unix):
    """Starts the waiting tasks that fit into a pool; returns the commands."""
    jobs = list(tables.open_jobs_by_id.values())
    placement = PlacementPass(tables, pool_name, learned_durations, now_unix, jobs)
    commands = []
    while not placement.is_finished:
        commands += placement.next_slice(now)[0]
    return commands


def rank_jobs(tables, pool_name, learned_durations, now_unix):
    """Returns the open jobs of a pool, most important first; sets their urgency."""
    jobs = tables.open_jobs_by_id.values()
    ranked = ranked_jobs(tables, jobs, pool_name, learned_durations, now_unix)
    return [job for _, job in sorted(ranked, key=lambda pair: pair[0])]


def apply_worker_view(
    tables, worker, now, running=(), ended=(), sent_at=None, clock_ms=None
):
    """Applies a worker's lists of running and ended runs; returns the commands."""
    view = WorkerView(
        clock_ms=now * 1000 if clock_ms is None else clock_ms,
        running=tuple(RunningRow(*row) for row in running),
        ended=tuple(
            EndedRow(number, task, run, RunEnd(end), *saved)
            for number, task, run, end, *saved in ended
        ),
    )
    return apply_view(tables, worker, view, now if sent_at is None else sent_at, now)
