"""Steps on what is counted of jobs: attempts, starts, members of gangs, room."""

from collections import Counter

from behave import given, then, when

from features.support.takeovers import Takeover, run_in_loop
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
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
    find_task,
    progress_of,
)
from sassafrasgrade.platform.messages import JobRequest, Step, WorkerView
from sassafrasgrade.platform.workers import (
    NO_EFFECT_OUTCOMES,
    OrderOutcome,
    WorkerReply,
)
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import (
    START_VALID_MS,
    cancel_job,
    claim_rows,
    restart_worker,
)
from sassafrasgrade.work_commands import LogEvent, StopUnknownRun
from sassafrasgrade.work_tables import MS_PER_S, Crash

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
LISTED_JOB = "b" * 16
HALF_ROOM = 8_000
FAILED = {1, 2, 3}
CRASHES = (Crash("host-gone", True, True),)


def submitted(kind):
    """Returns a job of one task, which is due many times if it is scheduled."""
    repeats = 5 if kind == "scheduled" else 0
    step = Step(count=1, cpu_millis=1000, memory_mb=100, estimate_ms=500)
    request = JobRequest(
        spec="s", steps=(step,), repeats=repeats, first_ms=1000, interval_ms=1000
    )
    return SubmittedJob(QUEUE, NOW_UNIX, request)


@given('a "{kind}" job whose task has {what} stored')
def store_counts(context, kind, what):
    tables = create_tables()
    context.submitted = submitted(kind)
    job = add_job(tables, JOB, context.submitted)
    task = find_task(tables, TASK)
    if what == "failures":
        task.failed_numbers = set(FAILED)
    else:
        task.crashes = CRASHES
    context.progress = encode(progress_of(job))


@when("the next leader loads the job")
def load_job(context):
    context.tables = create_tables()
    job = add_job(context.tables, JOB, context.submitted)
    apply_progress(context.tables, job, decode_progress(context.progress))


@then("it knows the {what} of the task")
def check_counts(context, what):
    task = find_task(context.tables, TASK)
    found = task.failed_numbers if what == "failures" else task.crashes
    assert found == (FAILED if what == "failures" else CRASHES), found


def place(tables):
    """Places tasks; returns the runs that start."""
    commands = place_tasks(tables, POOL, LearnedDurations(), NOW, NOW_UNIX)
    return [command.run for command in commands]


@given("a job whose start is sent")
def send_start(context):
    context.tables = create_tables(workers=1)
    context.job = add_simple_job(context.tables)
    (context.run,) = place(context.tables)


@given('a start of a "{kind}" task is sent')
def send_start_of(context, kind):
    context.tables = create_tables(workers=1)
    context.job = add_simple_job(context.tables, is_perpetual=kind == "lasting")
    (context.run,) = place(context.tables)
    context.run.deadline_ms = NOW * MS_PER_S + START_VALID_MS


@when("its worker lists no run {seconds:g} s after the start")
def list_nothing(context, seconds):
    worker = context.tables.workers_by_id["worker-0"]
    apply_worker_view(context.tables, worker, NOW + seconds)


@then('its run is stopped: "{stopped}"')
def check_stopped(context, stopped):
    assert bool(context.run.stopped_at) == (stopped == "yes")


@then('the task may start again: "{starts}"')
def check_may_start(context, starts):
    assert bool(place(context.tables)) == (starts == "yes")


@when('the reply to its start is "{reply}"')
def answer_start(context, reply):
    word, _, listed = reply.partition(", and a list ")
    if word == "no reply yet":
        return
    outcome = OrderOutcome(word)

    def handle():
        leader = Takeover(epoch=1)
        dispatcher = leader.dispatcher
        dispatcher.tables = context.tables
        has_no_effect = outcome in NO_EFFECT_OUTCOMES
        dispatcher.handle_start_reply(context.run, WorkerReply(outcome), has_no_effect)

    run_in_loop(handle)
    worker = context.tables.workers_by_id["worker-0"]
    task, number = context.run.task.name, context.run.number
    if listed == "shows it":
        row = (task, number, "", 10, 0)
        apply_worker_view(context.tables, worker, NOW + 1, running=[row])
    elif listed:
        end = (1, task, number, "failed")
        apply_worker_view(context.tables, worker, NOW + 1, ended=[end])


@then('the job counts as started: "{started}"')
def check_started(context, started):
    assert context.job.has_started == (started == "yes")


@given("a gang of {members:d} members, at most {most:d} on each of {workers:d} workers")
def make_gang(context, members, most, workers):
    context.tables = create_tables(workers=workers)
    add_simple_job(context.tables, count=members, is_gang=True, most_per_worker=most)


@when("it is placed")
def place_gang(context):
    context.runs = place(context.tables)


@then("{started:d} members start, at most {most:d} on each worker")
def check_members(context, started, most):
    assert len(context.runs) == started, context.runs
    counts = Counter(run.worker_id for run in context.runs)
    assert not most or all(count <= most for count in counts.values()), counts


def add_scheduled_job(tables, cpu_millis=16_000):
    """Adds a job of two occurrences, of which none is in the tables yet."""
    step = Step(count=1, cpu_millis=cpu_millis, memory_mb=100, estimate_ms=500)
    request = JobRequest(
        spec="s", steps=(step,), repeats=2, first_ms=1000, interval_ms=1000
    )
    return add_job(tables, LISTED_JOB, SubmittedJob(QUEUE, NOW_UNIX, request))


def add_listed_job(tables, state):
    """Adds the job of a listed run."""
    if state.startswith("not "):
        return
    if "scheduled" not in state:
        job = add_simple_job(tables, LISTED_JOB, cpu_millis=16_000)
    else:
        cpu_millis = HALF_ROOM if "of half the room" in state else 16_000
        job = add_scheduled_job(tables, cpu_millis)
    if state.endswith("is done"):
        job.done_occurrences.add(0)
    if state.startswith("cancelled"):
        cancel_job(tables, job)


LISTED_TASK_BY_STATE = {
    "running, in a step that it does not have": f"{LISTED_JOB}.0.7.0",
    "not known, under a name of no task": "odd",
}


@given('a worker with room for one task, which lists a run of a job that is "{state}"')
def list_run(context, state):
    context.tables = create_tables(workers=1)
    context.worker = context.tables.workers_by_id["worker-0"]
    context.listed = LISTED_TASK_BY_STATE.get(state, f"{LISTED_JOB}.0.0.0")
    is_known_later = state.endswith("known after it was listed")
    if not is_known_later:
        # All stored jobs are in the tables.
        context.tables.jobs_complete_at = NOW + 1
        add_listed_job(context.tables, state)
    rows = [(context.listed, 1, "", 10, 0)]
    if state == "not there":
        rows = []
    context.commands = apply_worker_view(context.tables, context.worker, NOW, rows)
    if is_known_later:
        add_listed_job(context.tables, state)
        job = context.tables.jobs_by_id[LISTED_JOB]
        claim_rows(context.tables, job, NOW)
    if state.endswith("it has ended"):
        apply_worker_view(context.tables, context.worker, NOW + 1)
    if state.endswith("is back without it"):
        view = WorkerView(clock_ms=1.0, born_ms=7)
        restart_worker(context.tables, context.worker, view, NOW)
        context.worker.has_seen_token = True
    is_small = state.endswith("beside a task of half the room")
    add_simple_job(context.tables, cpu_millis=HALF_ROOM if is_small else 16_000)


@then("the list causes one stop of the run by its name, and nothing else")
def check_only_stopped(context):
    found = [c for c in context.commands if not isinstance(c, LogEvent)]
    assert found == [StopUnknownRun("worker-0", context.listed, 1)], found
    assert find_task(context.tables, context.listed) is None
    assert not context.worker.has_runs


@then("another list without it causes nothing")
def check_absence(context):
    dirty_before = set(context.tables.dirty_job_ids)
    assert apply_worker_view(context.tables, context.worker, NOW + 1) == []
    assert context.tables.dirty_job_ids == dirty_before


@then("another list with its end causes nothing")
def check_end(context):
    dirty_before = set(context.tables.dirty_job_ids)
    ended = [(1, context.listed, 1, "stopped")]
    commands = apply_worker_view(context.tables, context.worker, NOW + 2, ended=ended)
    events = [c.event for c in commands if isinstance(c, LogEvent)]
    assert len(events) == len(commands) and set(events) <= {"end-of-unknown-task"}
    assert context.tables.dirty_job_ids == dirty_before


@when("another task is placed")
def place_other(context):
    context.runs = place(context.tables)


@then('it starts there: "{starts}"')
def check_starts(context, starts):
    found = [run.task.name for run in context.runs]
    assert (TASK in found) == (starts == "yes"), found
