"""Pools beside large jobs, and the work of the leader's operations there."""

from features.support.work_counts import count_lines
from features.support.work_tables import (
    CAPACITY,
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    apply_worker_view,
    create_tables,
    place_tasks,
)
from sassafrasgrade.fleet_hosts import FleetHosts, HostRow, WaveRow
from sassafrasgrade.job_records import SubmittedJob, add_job
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.messages import (
    Advice,
    Configuration,
    JobRequest,
    Pool,
    Queue,
    Step,
    Wave,
)
from sassafrasgrade.systems.host_planning import plan_hosts
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.occurrences import create_due
from sassafrasgrade.systems.slow_runs import stop_stalled
from sassafrasgrade.work_commands import StartRun
from sassafrasgrade.work_tables import Crash, RunState

WORKERS = 5
SLOTS = CAPACITY.cpu_millis // 1000
LARGE_JOB = "a" * 16
LASTING_JOB = "f" * 16
LIMIT = {"most_per_worker": 3}
# Which worker has the label, and which nobody has.
HELD_LABEL, NO_LABEL = "r1", "r9"


def fill_pool(tables):
    """Fills the workers but for the limited or first tasks of other jobs."""
    count = len(tables.workers_by_id) * SLOTS
    add_simple_job(tables, LASTING_JOB, count=count, is_perpetual=True)
    place(tables)


def place(tables, now=NOW):
    """Starts what fits; returns the runs."""
    commands = place_tasks(tables, POOL, LearnedDurations(), now, NOW_UNIX)
    return [c.run for c in commands if isinstance(c, StartRun)]


def add_step(tables, count, **step):
    """Adds a job of one step."""
    return add_simple_job(tables, LARGE_JOB, count=count, **step)


def add_two_steps(tables, count):
    """Adds a job whose second step, of as many tasks, follows the first."""
    fields = {"count": count, "cpu_millis": 1000, "memory_mb": 100, "estimate_ms": 500}
    steps = (Step(**fields), Step(**fields, after=(0,)))
    submitted = SubmittedJob(QUEUE, NOW_UNIX, JobRequest(spec="s", steps=steps))
    return add_job(tables, LARGE_JOB, submitted)


def add_repeated(tables, count):
    """Adds a job of two occurrences that are due."""
    step = Step(count=count // 2, cpu_millis=1000, memory_mb=100, **LIMIT)
    request = JobRequest(
        spec="s", steps=(step,), repeats=2, first_ms=NOW_UNIX * 1000, interval_ms=1
    )
    job = add_job(tables, LARGE_JOB, SubmittedJob(QUEUE, NOW_UNIX, request))
    create_due(tables, NOW_UNIX + 1)
    return job


def add_failed(tables, count, **step):
    """Adds a job whose tasks have failed once, on different workers."""
    job = add_step(tables, count, **step)
    for task in job.occurrences[0].steps[0].tasks:
        task.failed_numbers.add(1)
        task.avoided_workers.add(f"worker-{task.index % WORKERS}")
    return job


def add_crashed(tables, count):
    """Adds a job whose tasks have crashed a worker each."""
    job = add_step(tables, count)
    for task in job.occurrences[0].steps[0].tasks:
        task.crashes = (Crash("host-worker-1", True, True),)
    return job


def add_held(tables, count):
    """Adds a job that an earlier leader may have started."""
    tables.held_pools = frozenset({POOL})
    job = add_step(tables, count)
    job.is_inherited = True
    return job


def add_advised(tables, count):
    """Adds a job to a queue that needs tickets."""
    queue = Queue(name=QUEUE, pool=POOL, advice=Advice(10, 1, 3000))
    pools = (Pool(name=POOL),)
    tables.adopt_configuration(Configuration(version=2, queues=(queue,), pools=pools))
    return add_step(tables, count)


JOBS = {
    "a step": add_step,
    "a step with a limit per worker": lambda t, n: add_step(t, n, **LIMIT),
    "a step with a label that no worker has": (
        lambda t, n: add_step(t, n, label=NO_LABEL)
    ),
    "a step with a limit and a label": (
        lambda t, n: add_step(t, n, label=HELD_LABEL, **LIMIT)
    ),
    "a step that prefers a rack": lambda t, n: add_step(t, n, rack=NO_LABEL, **LIMIT),
    "a gang that does not fit": lambda t, n: add_step(t, n, is_gang=True),
    "a gang with a limit per worker": (
        lambda t, n: add_step(t, n, is_gang=True, cpu_millis=1, **LIMIT)
    ),
    "a step that may be copied": lambda t, n: add_step(t, n, is_speculative=True),
    "a lasting step with a limit per worker": (
        lambda t, n: add_step(t, n, is_perpetual=True, may_miss=2, **LIMIT)
    ),
    "a step of a repeated job": add_repeated,
    "two steps, the second after the first": add_two_steps,
    "a step whose tasks have failed": add_failed,
    "a step with a limit whose tasks have failed": (
        lambda t, n: add_failed(t, n, **LIMIT)
    ),
    "a step of a queue that needs tickets": add_advised,
}


def work_of_placement(tables, add, count):
    """Work of a placement in which nothing fits."""
    add(tables, count)
    # Its first tasks take what room their limit leaves them.
    place(tables)
    fill_pool(tables)
    return count_lines(lambda: place(tables, NOW + 1))


def work_of_free_pool(tables, add, count):
    """Work of a placement in which the first tasks find room."""
    add(tables, count)
    return count_lines(lambda: place(tables))


def work_of_end(tables, add, count):
    """Work of the end of a task, and of the placement that follows."""
    add(tables, count)
    runs = place(tables)
    worker = tables.workers_by_id["worker-0"]
    ended, *others = [run for run in runs if run.worker_id == worker.worker_id]
    for run in runs:
        run.answered_at = NOW
    rows = [(run.task.name, run.number) for run in others]
    end = (1, ended.task.name, ended.number, "done")

    def apply():
        apply_worker_view(tables, worker, NOW + 1, running=rows, ended=[end])
        assert ended.task.is_done
        place(tables, NOW + 1)

    return count_lines(apply)


def work_of_check(tables, add, count):
    """Work of the check of runs that stand still, with alternatives for none."""
    add(tables, count)
    for run in place(tables):
        run.state, run.changed_at = RunState.RUNNING, NOW
    for worker in tables.workers_by_id.values():
        worker.last_answer_at = NOW + 5
    return count_lines(lambda: stop_stalled(tables, LearnedDurations(), NOW + 5))


def work_of_plan(tables, add, count):
    """Work of one plan of hosts."""
    add(tables, count)
    place(tables)
    return _work_of_plan(tables, create_fleet(tables))


def work_of_wave(tables, add, count):
    """Work of one plan while all hosts are late for maintenance."""
    add(tables, count)
    for run in place(tables):
        run.state, run.percent = RunState.RUNNING, 100
    fleet = create_fleet(tables)
    wave = Wave(number=1, hosts=tuple(fleet.hosts_by_name), most_at_once=9)
    fleet.waves_by_number[1] = WaveRow(wave, NOW - 100, is_running_reported=True)
    return _work_of_plan(tables, fleet)


def create_fleet(tables):
    """Returns a host for each worker."""
    fleet = FleetHosts(listed_at=NOW)
    for worker in tables.workers_by_id.values():
        host = HostRow(worker.host, POOL, "up", capacity=CAPACITY)
        host.worker_id = worker.worker_id
        fleet.hosts_by_name[host.name] = host
    return fleet


def _work_of_plan(tables, fleet):
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}).unwrap()
    return count_lines(lambda: plan_hosts(tables, fleet, settings, NOW))


OPERATIONS = {
    "a placement": work_of_placement,
    "a placement in a free pool": work_of_free_pool,
    "the end of a task": work_of_end,
    "a check of stalled runs": work_of_check,
    "a plan of hosts": work_of_plan,
    "a plan of a wave": work_of_wave,
}


def work_of(operation, job, count):
    """Returns the lines that an operation executes while a large job waits."""
    tables = create_tables(workers=WORKERS)
    return OPERATIONS[operation](tables, JOBS[job], count)


def add_occurrences(tables, count, done=0):
    """Adds a job of one task whose occurrences are all due, the first ones done."""
    request = JobRequest(
        spec="s",
        steps=(Step(count=1),),
        repeats=count,
        first_ms=(NOW_UNIX - count) * 1000,
        interval_ms=1000,
    )
    submitted = SubmittedJob(QUEUE, NOW_UNIX, request)
    job = add_job(tables, f"{len(tables.jobs_by_id):016x}", submitted)
    job.done_occurrences.update(range(done))


def create_occurrences(tables, ticks=60):
    """Creates due occurrences; returns (lines, open occurrences) of each tick."""
    found = []
    for _ in range(ticks):
        lines = count_lines(lambda: create_due(tables, NOW_UNIX))
        jobs = tables.jobs_by_id.values()
        found.append((lines, sum(len(job.occurrences) for job in jobs)))
    return found
