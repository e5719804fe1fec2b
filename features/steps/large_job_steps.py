"""Steps on large jobs, many jobs, and placements in slices."""

import msgspec
from behave import given, then, when

from features.support.large_jobs import (
    LARGE_JOB,
    SLOTS,
    add_occurrences,
    add_step,
    create_occurrences,
    fill_pool,
    place,
    work_of,
)
from features.support.sliced_placements import SlicedPlacement, play_leader, slice_work
from features.support.table_memory import (
    SWEPT_STATES,
    bytes_of_done_task,
    bytes_of_waiting_task,
    lead_and_lose,
    sweep_jobs,
)
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
    first_task,
    start_run,
)
from sassafrasgrade.platform.messages import Configuration, Pool, Queue
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.placement_passes import PlacementRound
from sassafrasgrade.systems.run_updates import (
    cancel_job,
    end_job,
    forget_run,
    remove_worker,
)
from sassafrasgrade.work_tables import WorkState

OTHER_POOL = "pool-2"
TASKS = 12


@then(
    'the work of "{operation}" with {many:d} waiting tasks of "{job}" is at most '
    "{factor:d} times that with {few:d}"
)
def check_growth(context, operation, many, job, factor, few):
    less, more = work_of(operation, job, few), work_of(operation, job, many)
    assert more <= factor * less, (less, more)


@then('no slice of a placement beside "{work}" does more than {most:d} lines of work')
def check_slices(context, work, most):
    lines = slice_work(work)
    assert max(lines) <= most, lines


@given("a placement that has started the first of {tasks:d} tasks")
def start_placement(context, tasks):
    context.tables = create_tables(workers=1)
    context.worker = context.tables.workers_by_id["worker-0"]
    context.job = add_step(context.tables, tasks)
    context.placement = SlicedPlacement(context.tables)
    first = context.placement.run_until_start()
    assert first.task is first_task(context.job)


def move_queue(context):
    queue = Queue(name=QUEUE, pool=OTHER_POOL, most_attempts=2, objective_ms=600.0)
    pools = (Pool(name=POOL), Pool(name=OTHER_POOL))
    context.tables.adopt_configuration(
        Configuration(version=2, queues=(queue,), pools=pools)
    )


def lose_worker(context):
    proof = EndProof(ProofKind.WORKER_GONE, NOW)
    remove_worker(context.tables, context.worker, proof, NOW)


def take_room(context):
    other = add_simple_job(context.tables, "b" * 16, cpu_millis=10_000)
    start_run(first_task(other), context.worker)


def find_run(context):
    other = add_worker(context.tables, "worker-1")
    other.is_draining = True
    name = first_task(context.job, TASKS - 1).name
    apply_worker_view(context.tables, other, NOW, running=[(name, 7)])


def add_important_job(context):
    context.added = add_simple_job(context.tables, "b" * 16, is_perpetual=True)


CHANGES = {
    "nothing changes": lambda c: None,
    "its job is cancelled": lambda c: cancel_job(c.tables, c.job),
    "its job fails": lambda c: end_job(c.tables, c.job, WorkState.FAILED),
    "its queue moves to another pool": move_queue,
    "its worker drains": lambda c: setattr(c.worker, "is_draining", True),
    "its worker stops answering": (
        lambda c: setattr(c.worker, "unresponsive_since", NOW)
    ),
    "its worker is gone": lose_worker,
    "another run takes half of the room": take_room,
    "a worker is found to run its last task": find_run,
    "a worker joins": lambda c: add_worker(c.tables, "worker-1"),
    "a more important job is added": add_important_job,
}


@when('between two slices "{change}"')
def change_between_slices(context, change):
    CHANGES[change](context)
    context.runs = context.placement.rest()


@then("in the rest of the placement {count:d} tasks start")
def check_rest(context, count):
    names = [run.task.name for run in context.runs]
    assert len(names) == count == len(set(names)), names


@then("in the rest of the placement {count:d} tasks start on the first")
def check_workers(context, count):
    check_rest(context, count)
    assert {run.worker_id for run in context.runs} == {"worker-0"}, context.runs


@then("in the rest of the placement {count:d} tasks start, its own next")
def check_next(context, count):
    check_rest(context, count)
    assert context.runs[0].task.job is context.added, context.runs[0].task.name


@given("a full pool, where a large job waits before a small one")
def fill_before_two_jobs(context):
    context.tables = create_tables(workers=1)
    fill_pool(context.tables)
    context.large = add_simple_job(context.tables, LARGE_JOB, cpu_millis=1000)
    context.small = add_simple_job(
        context.tables, "b" * 16, cpu_millis=900, estimate_ms=50_000
    )
    context.placement = SlicedPlacement(context.tables)


@when("a run ends after the placement has passed the large job")
def end_run_behind(context):
    # Two slices rank the jobs; the others give the first one its turn.
    context.placement.go_on(4)
    worker = context.tables.workers_by_id["worker-0"]
    assert len(worker.runs_by_key) == SLOTS
    run = next(iter(worker.runs_by_key.values()))
    run.task.blocked_until = NOW + 60
    forget_run(context.tables, run, EndProof(ProofKind.END_LISTED, NOW), NOW)


@then("nothing starts in this placement, and the large job starts in the next")
def check_order(context):
    assert not context.placement.rest()
    started = [run.task.job.job_id for run in place(context.tables)]
    assert started == [context.large.job_id], started


@given("a leader with {jobs:d} jobs that fit no worker and one that does")
def note_jobs(context, jobs):
    context.jobs = jobs


@when('it places and "{end}"')
def play_placement(context, end):
    context.leader = play_leader(context.jobs, end)


@then("its loop was free between the slices")
def check_loop(context):
    slices = context.leader.slices
    assert slices > 1 or not context.leader.started, slices


@then('the job that fits starts: "{starts}"')
def check_start(context, starts):
    assert bool(context.leader.started) == (starts == "yes"), context.leader.started


@then('its metrics count a placement of several slices: "{counted}"')
def check_counted(context, counted):
    slices = context.leader.counted_slices
    assert (slices > 1) == (counted == "yes"), slices


@when("a node leads {times:d} times and loses the leadership each time")
def lose_leaderships(context, times):
    context.left = lead_and_lose(times)


@then("{count:d} of the tables of its leaderships are left")
def check_left(context, count):
    assert context.left == count, context.left


@then("a waiting task of {count:d} takes at most {most:d} bytes")
def check_bytes(context, count, most):
    found = bytes_of_waiting_task(count)
    assert found <= most, found


@then("a done task of a job of {count:d} takes at most {most:d} bytes")
def check_done_bytes(context, count, most):
    found = bytes_of_done_task(count)
    assert found <= most, found


@given("a job of {tasks:d} tasks, two of which run")
def start_two_tasks(context, tasks):
    context.tables = create_tables(workers=1)
    context.job = add_step(context.tables, tasks, cpu_millis=SLOTS * 500)
    context.runs = place(context.tables)
    assert len(context.runs) == 2, context.runs


@when('"{state}" and ended jobs are swept')
def sweep(context, state):
    SWEPT_STATES[state](context.tables, context.job, context.runs)
    sweep_jobs(context.tables)


@then("the tables keep its request, and {tasks:d} of its tasks")
def check_kept(context, tasks):
    job = context.tables.jobs_by_id[LARGE_JOB]
    rows = [row for o in job.occurrences.values() for row in o.steps]
    assert sum(len(row.tasks) for row in rows) == tasks, rows
    assert job.request.steps


@given("{jobs:d} job of {count:d} occurrences that are due")
@given("{jobs:d} jobs of {count:d} occurrences that are due")
def add_due_jobs(context, jobs, count):
    if "tables" not in context:
        context.tables = create_tables()
    for _ in range(jobs):
        add_occurrences(context.tables, count)


@given("1 job of {count:d} occurrences of which {done:d} are done")
def add_partly_done(context, count, done):
    context.tables = create_tables()
    add_occurrences(context.tables, count, done)


@then("no tick that creates their occurrences does more than {most:d} lines of work")
def check_ticks(context, most):
    context.ticks = create_occurrences(context.tables)
    lines = [lines for lines, _ in context.ticks]
    assert max(lines) <= most, lines


@then("after {ticks:d} ticks {count:d} occurrences are open")
def check_open(context, ticks, count):
    _, found = context.ticks[ticks - 1]
    assert found == count, context.ticks


@then("after {ticks:d} ticks each job has an open occurrence")
def check_each(context, ticks):
    create_occurrences(context.tables, ticks)
    assert all(job.occurrences for job in context.tables.jobs_by_id.values())


@given("a placement that has ranked {ranked:d} of {jobs:d} jobs")
def rank_some(context, ranked, jobs):
    context.tables = create_tables(workers=1)
    for number in range(jobs):
        add_simple_job(context.tables, f"{number:016x}")
    context.placement = SlicedPlacement(context.tables)
    context.placement.go_on(ranked)


@when("between two slices another job is added")
def add_job_between(context):
    add_simple_job(context.tables, "b" * 16)


@then("the tasks of {jobs:d} jobs start in the same placement")
def check_jobs_started(context, jobs):
    started = {run.task.job.job_id for run in context.placement.rest()}
    assert len(started) == jobs, started


def break_rank(tables, job):
    add_worker(tables, "worker-9").pool = OTHER_POOL
    job.request = None


def break_worker(tables, job):
    worker = add_worker(tables, "worker-9")
    worker.pool, worker.capacity = OTHER_POOL, None


def break_copy(tables, job):
    worker = add_worker(tables, "worker-9")
    worker.pool = OTHER_POOL
    run = start_run(first_task(job), worker)
    job.request = msgspec.structs.replace(
        job.request,
        steps=(msgspec.structs.replace(job.request.steps[0], is_speculative=True),),
    )
    row = job.occurrences[0].steps[0]
    row.step, run.started_at = job.request.steps[0], None


ERRORS = {
    "a job cannot be ranked": break_rank,
    "a worker cannot be read": break_worker,
    "a run cannot be copied": break_copy,
}


@given('jobs in two pools, and "{error}" in the second')
def break_pool(context, error):
    tables = context.tables = create_tables(workers=1)
    queues = tuple(
        Queue(name=name, pool=pool, objective_ms=600.0)
        for name, pool in ((QUEUE, POOL), ("queue-2", OTHER_POOL))
    )
    pools = (Pool(name=POOL), Pool(name=OTHER_POOL))
    tables.adopt_configuration(Configuration(version=2, queues=queues, pools=pools))
    context.job = add_simple_job(tables, LARGE_JOB)
    other = add_simple_job(tables, "b" * 16)
    other.queue_name = "queue-2"
    ERRORS[error](tables, other)


@when("both pools are placed in one slice")
def place_round(context):
    placement = PlacementRound(context.tables, LearnedDurations(), NOW_UNIX)
    context.commands = placement.next_slice(NOW)
    assert placement.is_finished


@then('the task of the first pool starts, and the error is logged as "{event}"')
def check_error(context, event):
    start, *logged = context.commands
    assert start.run.task.job is context.job, context.commands
    assert event in [log.event for log in logged], logged
