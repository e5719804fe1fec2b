"""Steps on tasks that crash the workers that start them."""

import json
from collections import Counter
from dataclasses import replace
from functools import partial

import msgspec
from behave import given, then, when

from features.support.crash_simulations import CrashPlan, CrashSimulation
from features.support.node_fleets import FAULTS, job_body
from features.support.waiting import wait_until
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    add_simple_job,
    apply_worker_view,
    create_tables,
    first_task,
    place_tasks,
    start_run,
)
from sassafrasgrade.job_records import (
    apply_progress,
    decode_progress,
    encode,
    progress_of,
)
from sassafrasgrade.node_messages import HandedOverRun
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import (
    EndedRow,
    RunEnd,
    RunningRow,
    WorkerView,
)
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    count_unrecorded_starts,
    needs_isolation,
    note_lapse,
    record_crash,
    record_restart,
    settle_crashes,
    watch_suspects,
)
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import (
    adopt_handed_over_runs,
    apply_view,
    expire_leases,
    forget_run,
    record_start,
    remove_worker,
    restart_worker,
    runs_to_hand_over,
)
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.work_commands import StopRun
from sassafrasgrade.work_tables import Crash, RunState, WorkState
from sassafrasgrade.worker_registrations import apply_item, remove_replaced_workers

# Time after which every run is overdue, in seconds.
SIMULATED_LONG_S = 60.0


def crashing_body(kind):
    """Returns the body of a job of one task that crashes its worker."""
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 400}
    if kind == "with copies allowed":
        step["speculative"] = True
    return {
        "spec": json.dumps({"ms": 400, "cpu": 1000, "crashes": True}),
        "steps": [step],
    }


@when(
    "{count:d} jobs and {bad:d} jobs of one task that crashes its worker, {kind}, "
    "are submitted while {event}"
)
def submit_with_crashing(context, count, bad, kind, event):
    context.job_ids = [f"{number:016x}" for number in range(count)]
    context.bad_ids = [f"{number:016x}" for number in range(900, 900 + bad)]
    half = count // 2
    for job_id in context.job_ids[:half]:
        assert context.fleet.submit(job_id), job_id
    for job_id in context.bad_ids:
        assert context.fleet.submit(job_id, crashing_body(kind)), job_id
    FAULTS[event](context.fleet)
    for job_id in context.job_ids[half:]:
        assert context.fleet.submit(job_id, job_body()), job_id


@then("the crashing jobs are shown as failed within {seconds:d} seconds")
def await_failed(context, seconds):
    def are_failed():
        return all(context.fleet.state(job) == "failed" for job in context.bad_ids)

    wait_until(are_failed, seconds, "the crashing jobs are shown as failed")


@then("no crashing task was started more than {most:d} times")
def check_start_counts(context, most):
    harness = context.fleet.harness
    history = harness.call(list, harness.fleet.history)
    counts = Counter(run.task for run in history)
    for job_id in context.bad_ids:
        assert counts[f"{job_id}.0.0.0"] <= most, counts


@then("all other jobs are completed within {seconds:d} seconds")
def await_others(context, seconds):
    def are_completed():
        return all(context.fleet.state(job) == "completed" for job in context.job_ids)

    wait_until(are_completed, seconds, "all other jobs are completed")


# Tables as input, commands as output.


def finish_crash(context, worker):
    """Replaces a crashed worker and settles its crash."""
    record_crash(context.tables, worker)
    remove_worker(context.tables, worker, EndProof(ProofKind.WORKER_GONE, NOW), NOW)
    settle_crashes(context.tables)


def crash_under(context, count, others=0, age_s=0.1, same_host=False, first=0):
    """Crashes workers under the task, ``count`` times."""
    for number in range(first, first + count):
        worker = context.tables.workers_by_id[f"worker-{number}"]
        if same_host:
            worker.host = "host-same"
        run_on(context, worker, number + 1, others, age_s)
        finish_crash(context, worker)


def crash_dark(context, count, others=0):
    """Crashes workers that had not answered the task's start, ``count`` times."""
    workers = list(context.tables.workers_by_id.values())
    for number, worker in enumerate(workers[:count], start=20):
        run_unanswered(context, worker, number, others)
        finish_crash(context, worker)


def lapse_dark(context, count):
    """Lets workers that had not answered lapse, and replaces them."""
    workers = list(context.tables.workers_by_id.values())
    for number, worker in enumerate(workers[:count], start=20):
        run_unanswered(context, worker, number)
        worker.unresponsive_since = NOW + 0.1
        worker.lease_until = NOW + 5
        expire_leases(context.tables, NOW + 6, note_lapse)
        finish_crash(context, worker)


def run_unanswered(context, worker, number, others=0):
    """Sends a start, which is not answered, after the worker's last answer."""
    run_on(context, worker, number, others, -0.1, RunState.UNCERTAIN)


def run_on(context, worker, number=1, others=0, age_s=0.1, state=RunState.RUNNING):
    """Starts the task, and others, ``age_s`` before the worker's last answer.

    If workers have crashed under the task, this one is asked until that answer.
    """
    for other in range(others):
        job = add_simple_job(context.tables, f"{number:08x}{other:08x}")
        start_run(first_task(job), worker, now=NOW - 20)
    run = start_run(context.task, worker, state, now=NOW - age_s, number=number)
    run.is_isolated = needs_isolation(context.tables, context.task)
    worker.last_answer_at = worker.last_answered_call_at = NOW
    return run


def crash_handed_over(context, age_s, state=RunState.RUNNING, answers=True, times=1):
    """Crashes a worker 0.2 s after its run was handed over to the last leader."""
    worker = context.tables.workers_by_id["worker-0"]
    run_on(context, worker, age_s=age_s, state=state)
    for _ in range(times):
        runs = runs_to_hand_over(context.tables, NOW)
        make_task(context, 8)
        adopt_handed_over_runs(context.tables, runs, NOW)
    worker = context.tables.workers_by_id["worker-0"]
    worker.last_answer_at = NOW + 0.1 if answers else 0.0
    finish_crash(context, worker)


def crash_listed(context, worker):
    """Crashes a worker after its list had shown an earlier leader's run."""
    row = (context.task.name, 1)
    apply_worker_view(context.tables, worker, NOW, running=[row])
    worker.last_answer_at = NOW + 0.1
    finish_crash(context, worker)


def lapse(context, worker):
    run_on(context, worker)
    worker.unresponsive_since = NOW + 0.1
    worker.lease_until = NOW + 5
    expire_leases(context.tables, NOW + 6, note_lapse)


def crash_after_lapse(context, worker):
    lapse(context, worker)
    finish_crash(context, worker)


def answer_after_lapse(context, worker):
    lapse(context, worker)
    # As the dispatcher does on an answer of the same incarnation.
    worker.unresponsive_since, worker.lapsed_suspects = 0.0, ()
    finish_crash(context, worker)


def crash_and_restart(context, worker):
    run_on(context, worker)
    worker.born_ms = 1
    view = WorkerView(clock_ms=1.0, born_ms=2)
    # As the dispatcher does on an answer of a later incarnation.
    record_restart(context.tables, worker, view, NOW)
    restart_worker(context.tables, worker, view, NOW)
    apply_worker_view(context.tables, worker, NOW + 0.1)
    settle_crashes(context.tables)


def restart_times(context, count, lists="", called_before_s=0.0):
    """Restarts workers after the task's start was answered.

    Args:
        context: Context of the scenario.
        count: Number of workers that restart.
        lists: List of the next incarnation that holds the run; empty if none does.
        called_before_s: How long before ``NOW`` the next incarnation was called.
    """
    for number in range(1, count + 1):
        worker = context.tables.workers_by_id[f"worker-{number}"]
        worker.born_ms = 1
        run_on(context, worker, number)
        row = RunningRow(context.task.name, number)
        if lists == "ended":
            row = EndedRow(1, context.task.name, number, RunEnd.STOPPED)
        view = WorkerView(clock_ms=1.0, born_ms=2, **({lists: (row,)} if lists else {}))
        called_at = NOW - called_before_s
        record_restart(context.tables, worker, view, called_at)
        commands = restart_worker(context.tables, worker, view, NOW)
        assert [c.event for c in commands] == ["worker-restarted"], commands
        apply_view(context.tables, worker, view, called_at, NOW)
        settle_crashes(context.tables)


def replace_silent(context, worker, born_ms=2):
    run_on(context, worker)
    worker.born_ms = 1
    worker.unresponsive_since = NOW + 0.1
    item = registration(worker, "worker-new", "127.0.0.1:9", born_ms)
    apply_item(context.tables, item, NOW)
    # As the dispatcher does when the registered worker has answered.
    context.tables.workers_by_id["worker-new"].has_seen_token = True
    remove_replaced_workers(context.tables, NOW)
    settle_crashes(context.tables)


def registration(worker, worker_id=None, address=None, born_ms=2, cpu=16_000):
    """Returns a worker's registration as an item of the store."""
    value = {
        "service": worker.pool,
        "state": "ready",
        "zone": worker.data_centre,
        "address": address or worker.address,
        "capacity": {"cpu": cpu, "memMb": 65_536},
        "machine": worker.host,
        "born": born_ms,
    }
    key = names.WORKERS_PREFIX + (worker_id or worker.worker_id)
    return Item(key, json.dumps(value).encode(), 1)


def crash_unanswered(context, worker):
    run = run_on(context, worker, state=RunState.STOPPING)
    run.answered_at = 0.0
    finish_crash(context, worker)


def crash_unsent(context, worker):
    run = run_on(context, worker, state=RunState.STARTING)
    run.answered_at = run.deadline_ms = 0.0
    finish_crash(context, worker)


def crash_stopped(context, worker):
    run = run_on(context, worker, state=RunState.STOPPING)
    run.stop_answered_at = NOW
    finish_crash(context, worker)


def crash_planned(context, worker, **fields):
    run_on(context, worker)
    for name, value in fields.items():
        setattr(worker, name, value)
    finish_crash(context, worker)


def crash_done(context, worker):
    run_on(context, worker)
    context.task.is_done = True
    finish_crash(context, worker)


HISTORIES = {
    "crashes once, running it alone": lambda c, w: crash_under(c, 1),
    "crashes twice, running it alone": lambda c, w: crash_under(c, 2),
    "crashes three times, running it alone": lambda c, w: crash_under(c, 3),
    "crashes three times, running others as well": lambda c, w: crash_under(c, 3, 2),
    "crashes four times, running others as well": lambda c, w: crash_under(c, 4, 2),
    "crashes four times beside others, 0.5 s into it": lambda c, w: crash_under(
        c, 4, 2, 0.5
    ),
    "crashes five times beside others, 0.5 s into it": lambda c, w: crash_under(
        c, 5, 2, 0.5
    ),
    "crashes five times, 0.5 s into it, twice before it answered": lambda c, w: [
        crash_dark(c, 2, 2),
        crash_under(c, 3, 2, 0.5, first=4),
    ],
    "crashes five times, 0.5 s into it, thrice before it answered": lambda c, w: [
        crash_dark(c, 3, 2),
        crash_under(c, 2, 2, 0.5, first=4),
    ],
    "crashes beside others, unanswered, and 0.5 s into it alone": lambda c, w: [
        crash_under(c, 1, others=20, age_s=0.6),
        crash_dark(c, 1),
        crash_under(c, 1, age_s=0.5, first=4),
    ],
    "crashes four times, 0.5 s into it alone": lambda c, w: crash_under(
        c, 4, age_s=0.5
    ),
    "crashes five times, 0.5 s into it alone": lambda c, w: crash_under(
        c, 5, age_s=0.5
    ),
    "crashes three times, once 0.5 s into it alone": lambda c, w: [
        crash_under(c, 2),
        crash_under(c, 1, age_s=0.5, first=4),
    ],
    "crashes four times, once 0.5 s into it alone": lambda c, w: [
        crash_under(c, 2),
        crash_under(c, 1, age_s=0.5, first=4),
        crash_under(c, 1, first=5),
    ],
    "crashes three times on two hosts, running it alone": lambda c, w: [
        crash_under(c, 2, same_host=True),
        crash_under(c, 1, first=4),
    ],
    "crashes three times on one host, running it alone": lambda c, w: crash_under(
        c, 3, same_host=True
    ),
    "crashes once, 2 s into a run beside others": lambda c, w: crash_under(c, 1, 2, 2),
    "crashes twice, 2 s into a run beside others": lambda c, w: crash_under(c, 2, 2, 2),
    "crashes three times before it answered the start": lambda c, w: crash_dark(c, 3),
    "crashes four times before it answered the start": lambda c, w: crash_dark(c, 4),
    "crashes six times before it answered the start": lambda c, w: crash_dark(c, 6),
    "lapses four times before it answered the start": lambda c, w: lapse_dark(c, 4),
    "crashes four times, once after it answered the start": lambda c, w: [
        crash_under(c, 1),
        crash_dark(c, 3),
    ],
    "crashes three times, twice after it answered the start": lambda c, w: [
        crash_dark(c, 1),
        crash_under(c, 2, first=4),
    ],
    "crashes four times beside others, twice after it answered": lambda c, w: [
        crash_dark(c, 2, 2),
        crash_under(c, 2, 2, first=4),
    ],
    "crashes 60 s into a run that was handed over": lambda c, w: crash_handed_over(
        c, 60
    ),
    "crashes 60 s into a run handed over, before an answer": lambda c, w: (
        crash_handed_over(c, 60, answers=False)
    ),
    "crashes 60 s into a run that was handed over twice": lambda c, w: (
        crash_handed_over(c, 60, times=2)
    ),
    "crashes 60 s into a run that a list showed": crash_listed,
    "crashes as a start handed over has no answer": lambda c, w: crash_handed_over(
        c, -0.1, RunState.UNCERTAIN
    ),
    "crashes 0.1 s into a run that was handed over": lambda c, w: crash_handed_over(
        c, 0.1
    ),
    "crashes 0.1 s into a run handed over, before an answer": lambda c, w: (
        crash_handed_over(c, 0.1, answers=False)
    ),
    "lapses, then another answers there": crash_after_lapse,
    "restarts under its own id": crash_and_restart,
    "restarts four times, and lists the start sent between": lambda c, w: (
        restart_times(c, 4, lists="running")
    ),
    "restarts four times, and lists the end of the start": lambda c, w: restart_times(
        c, 4, lists="ended"
    ),
    "restarts four times, as the start and a poll are answered": lambda c, w: (
        restart_times(c, 4, called_before_s=0.2)
    ),
    "restarts three times after it answered the start": lambda c, w: restart_times(
        c, 3
    ),
    "is replaced on its host while it is silent": replace_silent,
    "crashes before it answered the start": crash_unanswered,
    "is silent as an earlier one's registration is read": lambda c, w: replace_silent(
        c, w, born_ms=0
    ),
    "crashes 6 s into a run": lambda c, w: crash_under(c, 1, 0, 6),
    "crashes after it confirmed a stop": crash_stopped,
    "crashes before the start was sent": crash_unsent,
    "drains and is replaced": lambda c, w: crash_planned(c, w, is_draining=True),
    "is replaced by an order on its host": lambda c, w: crash_planned(
        c, w, is_reserved=True
    ),
    "lapses, then answers again": answer_after_lapse,
    "crashes after the task was done": crash_done,
}


@given("a task and {workers:d} workers")
def make_task(context, workers, is_lasting=False):
    context.tables = create_tables(workers=workers)
    context.job = add_simple_job(context.tables, is_perpetual=is_lasting)
    context.task = first_task(context.job)


@when('each worker of the task "{history}"')
def apply_history(context, history):
    HISTORIES[history](context, context.tables.workers_by_id["worker-0"])


@then('the verdict on it is "{outcome}"')
def check_outcome(context, outcome):
    task = context.task
    if task.job.pending_state is WorkState.FAILED:
        found = "given up"
    elif task.is_done:
        found = "done"
    elif task.runs_by_number and not task.crashes:
        found = "running"
    else:
        is_isolated = needs_isolation(context.tables, task)
        found = "isolated" if is_isolated else "free"
    assert found == outcome, (found, task.crashes)


def store_progress(context):
    """Marks all progress as stored."""
    for job in context.tables.jobs_by_id.values():
        job.is_dirty = False


@given('a suspect task and workers that are "{where}"')
def make_suspect(context, where):
    make_task(context, 2)
    context.task.waiting_since = NOW
    crash = Crash("host-gone", True, True)
    workers = list(context.tables.workers_by_id.values())
    busy = {"all busy": 2, "one busy and one empty": 1}.get(where, 1)
    for number, worker in enumerate(workers[:busy]):
        for other in range(2 - number):
            job = add_simple_job(context.tables, f"{number:08x}{other:08x}")
            start_run(first_task(job), worker)
    if where == "one empty where it has crashed":
        crash = Crash("host-worker-1", True, True)
    context.task.crashes = (crash,)
    context.job.is_dirty = "unsaved" in where


def place(context, now):
    """Places tasks; returns the runs that start."""
    commands = place_tasks(
        context.tables, POOL, LearnedDurations(), now, NOW_UNIX + now - NOW
    )
    return [command.run for command in commands]


@then('after {waited:g} s it starts on "{started}"')
def check_start(context, waited, started):
    runs = [run for run in place(context, NOW + waited) if run.task is context.task]
    found = runs[0].worker_id if runs else "nothing"
    assert found == started, found


@given("a suspect task that runs on the only worker")
def run_suspect(context):
    make_task(context, 1)
    context.task.crashes = (Crash("host-gone", True, True),)
    (context.run,) = place(context, NOW)
    context.run.state, context.run.answered_at = RunState.RUNNING, NOW
    context.worker = context.tables.workers_by_id["worker-0"]


@then("another task starts there only after it has run for {seconds:g} s")
def check_joining(context, seconds):
    add_simple_job(context.tables, "b" * 16)
    assert not place(context, NOW + 1)
    context.worker.last_answer_at = NOW + seconds
    assert len(place(context, NOW + seconds)) == 1


@when("its worker answers after {seconds:g} s")
def answer_later(context, seconds):
    context.worker.last_answer_at = NOW + seconds
    clear_outlived(context.tables)


def run_for_6_s(context, worker, how):
    """Lets a worker run the task ``how``; its last answer is 6 s later."""
    row = (context.task.name, 1)
    if how == "that a list showed":
        apply_worker_view(context.tables, worker, NOW, running=[row])
    elif how == "that was handed over":
        handed = HandedOverRun(*row, worker.worker_id, 4.0, 0.2)
        adopt_handed_over_runs(context.tables, (handed,), NOW)
    elif how == "whose start was not answered":
        start_run(context.task, worker, RunState.UNCERTAIN)
    else:
        run = start_run(context.task, worker)
        run.is_isolated = how != "beside others"
        if how == "whose start was carried out late":
            run.answered_at = NOW + 5.9
    worker.last_answer_at = NOW + 6


@given("a suspect task that a worker has run for 6 s, {how}")
def make_outliving(context, how):
    make_task(context, 1)
    context.task.crashes = (Crash("host-gone", True, True),)
    run_for_6_s(context, context.tables.workers_by_id["worker-0"], how)


@when("the leader clears tasks that have outlived the suspicion")
def clear_tasks(context):
    clear_outlived(context.tables)


@then('the crashes under it are "{kept}"')
def check_kept(context, kept):
    found = "kept" if context.task.crashes else "cleared"
    assert found == kept, context.task.crashes


@given("a task under which {count:d} workers crashed while they ran nothing else")
def make_crashed(context, count):
    make_task(context, 8)
    crash_under(context, count)


def load_job(context):
    """Loads the stored progress of the job into the tables of the next leader."""
    progress = decode_progress(encode(progress_of(context.job)))
    make_task(context, 8, context.task.step.is_perpetual)
    apply_progress(context.tables, context.job, progress)


@when("the next leader loads the job and a third worker crashes under the task")
def load_and_crash(context):
    load_job(context)
    worker = context.tables.workers_by_id["worker-7"]
    run_on(context, worker, 10)
    finish_crash(context, worker)


ANSWERED = "of workers that had answered its start"
# Fields of ``Crash`` after the host; earlier builds stored two of them.
CRASH_FIELDS = {
    ANSWERED: (True, True, True),
    "of workers that never answered a start": (True, True, False),
    "by a build that noted no answers": (True, True),
}


def stored_crashes(count, evidence):
    """Returns crashes as the store holds them."""
    fields = CRASH_FIELDS[evidence]
    rows = [(f"host-gone-{number}", *fields) for number in range(count)]
    return msgspec.convert(rows, tuple[Crash, ...])


@given("a task with 3 crashes stored that convict it")
def make_convicted(context):
    make_task(context, 8)
    context.task.crashes = tuple(
        Crash(f"host-gone-{number}", True, True, True, True) for number in range(3)
    )


@when("the next leader loads the job and its crashes")
def load_next(context):
    load_job(context)
    settle_crashes(context.tables)


@given("a job of 3 lasting tasks {kind} that are at work")
def make_lasting(context, kind):
    context.tables = create_tables(workers=12)
    context.step = {"count": 3, "is_perpetual": True, "is_gang": kind == "in a gang"}
    context.job = add_simple_job(context.tables, **context.step)
    for index in range(3):
        worker = context.tables.workers_by_id[f"worker-{index}"]
        run = start_run(first_task(context.job, index), worker, now=NOW - 60)
        run.at_work_at = NOW - 59
        worker.last_answer_at = worker.last_answered_call_at = NOW


@when("{bad:d} of them crash 3 workers each")
def crash_lasting(context, bad):
    context.commands = []
    workers = list(context.tables.workers_by_id.values())[3:]
    for index in range(bad):
        context.task = first_task(context.job, index)
        for run in list(context.task.runs_by_number.values()):
            forget_run(context.tables, run, EndProof(ProofKind.END_LISTED, NOW), NOW)
        for number in range(3):
            worker = workers.pop()
            run_on(context, worker, 2 + number)
            record_crash(context.tables, worker)
            proof = EndProof(ProofKind.WORKER_GONE, NOW)
            remove_worker(context.tables, worker, proof, NOW)
            context.commands += settle_crashes(context.tables)


@then('{stopped:d} of its runs are stopped and the job is "{state}"')
def check_lasting(context, stopped, state):
    stops = [c for c in context.commands if isinstance(c, StopRun)]
    assert len(stops) == stopped, context.commands
    job = context.job
    if job.pending_state is None:
        record_start(context.tables, job)
    assert (job.pending_state or job.state).value == state, job


@then("the next leader starts {started:d} of its tasks beside {running:d} runs")
def check_next_leader(context, started, running):
    tasks = context.job.occurrences[0].steps[0].tasks
    kept = [task.index for task in tasks if task.runs_by_number and context.job.is_open]
    progress = decode_progress(encode(progress_of(context.job)))
    context.tables = create_tables(workers=12)
    context.job = add_simple_job(context.tables, **context.step)
    apply_progress(context.tables, context.job, progress)
    for index in kept:
        worker = context.tables.workers_by_id[f"worker-{index}"]
        start_run(first_task(context.job, index), worker)
    settle_crashes(context.tables)
    store_progress(context)
    assert len(kept) == running, kept
    assert len(place(context, NOW + 5)) == started


@given("a lasting task with {count:d} conclusive crashes stored beside other runs")
def make_lasting_stored_beside(context, count):
    make_stored_beside(context, count, is_lasting=True)


@given("a task with {count:d} crashes stored beside other runs")
def make_stored_beside(context, count, is_lasting=False):
    make_task(context, 8, is_lasting)
    record_start(context.tables, context.job)
    context.task.crashes = tuple(
        Crash(f"host-gone-{number}", is_lasting, True, True, was_prompt=is_lasting)
        for number in range(count)
    )


def lose_leader(context, lists="", pools=frozenset()):
    """Lets a leader follow one that was lost; a worker may list its last run."""
    load_job(context)
    context.job.is_inherited, context.tables.held_pools = True, pools
    count_unrecorded_starts(context.tables, False, NOW)
    worker = context.tables.workers_by_id["worker-0"]
    if lists == "running":
        apply_worker_view(context.tables, worker, NOW, running=[(context.task.name, 5)])
    elif lists == "ended":
        ended = [(1, context.task.name, 5, "lapsed")]
        apply_worker_view(context.tables, worker, NOW, ended=ended)
    settle_crashes(context.tables)


def follow_handover(context, worker_id=""):
    """Lets a leader follow one that handed over, with a run if a worker is named."""
    load_job(context)
    if worker_id:
        run = HandedOverRun(context.task.name, 5, worker_id, 4.0)
        adopt_handed_over_runs(context.tables, (run,), NOW)
    count_unrecorded_starts(context.tables, True, NOW)
    settle_crashes(context.tables)


LEADER_ENDS = {
    "are lost": lose_leader,
    "are lost before three prompt crashes": lambda c: [
        lose_leader(c),
        crash_under(c, 3, 2),
    ],
    "are lost twice before two crashes": lambda c: [
        lose_leader(c),
        lose_leader(c),
        crash_under(c, 2, 2),
    ],
    "hand over before three prompt crashes": lambda c: [
        follow_handover(c),
        crash_under(c, 3, 2),
    ],
    "are lost as a worker lists the run": partial(lose_leader, lists="running"),
    "are lost as a worker lists its end": partial(lose_leader, lists="ended"),
    "are lost as a worker has not reported": partial(
        lose_leader, pools=frozenset({POOL})
    ),
    "hand over": follow_handover,
    "hand over a run": partial(follow_handover, worker_id="worker-0"),
    "hand over a run on a worker that is gone": partial(
        follow_handover, worker_id="worker-gone"
    ),
}


@when('leaders follow one another that "{ends}"')
def follow_leaders(context, ends):
    for end in ends.split(", "):
        LEADER_ENDS[end](context)


@given("a task with {count:d} crashes stored {evidence}")
def make_stored(context, count, evidence):
    make_task(context, 8)
    context.task.crashes = stored_crashes(count, evidence)


@when("the next leader loads the job and another worker crashes under the task")
def load_and_crash_again(context):
    load_and_crash(context)


@given("a task with copies allowed, {crashes:d} crashes and a silent worker")
def make_silent(context, crashes):
    make_silent_after(context, crashes, ANSWERED)


@given("a task with copies allowed, {crashes:d} crashes {evidence} and a silent worker")
def make_silent_after(context, crashes, evidence):
    context.tables = create_tables(workers=2)
    context.job = add_simple_job(context.tables, is_speculative=True)
    context.task = first_task(context.job)
    context.task.crashes = stored_crashes(crashes, evidence)
    worker = context.tables.workers_by_id["worker-0"]
    run_on(context, worker)
    worker.unresponsive_since = NOW + 0.1


@then('it is copied to "{room}": {copied}')
def check_copy(context, room, copied):
    if room == "a worker with runs":
        other = add_simple_job(context.tables, "c" * 16)
        start_run(first_task(other), context.tables.workers_by_id["worker-1"])
    commands = copy_overdue_runs(
        context.tables, POOL, LearnedDurations(), NOW + SIMULATED_LONG_S
    )
    assert bool(commands) == (copied == "yes"), commands


@given("{workers:d} workers and {bad:d} tasks that crash each worker that starts them")
def make_crashing(context, workers, bad):
    context.simulation = CrashSimulation(CrashPlan(workers, bad))


@given("{workers:d} workers, one of which crashes {delay:g} s after each start")
def make_crashing_worker(context, workers, delay):
    plan = CrashPlan(workers, flaky_after_s=delay)
    context.simulation = CrashSimulation(plan)


@when(
    "{count:d} of {workers:d} workers crash each {period:g} s on average, "
    "under {others:d} tasks, with the seeds {first:d} to {last:d}"
)
def simulate_flapping(context, count, workers, period, others, first, last):
    context.failed_by_seed = {}
    for seed in range(first, last + 1):
        plan = CrashPlan(workers, flapping=count, flap_period_s=period, seed=seed)
        simulation = CrashSimulation(plan)
        simulation.run(others)
        assert simulation.all_ended(), seed
        if failed := simulation.failed_jobs():
            context.failed_by_seed[seed] = len(failed)


@when(
    "{count:d} of {workers:d} workers go dark for {dark:g} s each {period:g} s "
    "before they crash"
)
def plan_dark(context, count, workers, dark, period):
    context.plan = CrashPlan(workers, flapping=count, flap_period_s=period, dark_s=dark)


@when("{others:d} tasks are placed on them, with the seeds {first:d} to {last:d}")
def simulate_dark(context, others, first, last):
    context.simulations = []
    for seed in range(first, last + 1):
        simulation = CrashSimulation(replace(context.plan, seed=seed))
        simulation.run(others)
        assert simulation.all_ended(), seed
        context.simulations.append(simulation)


@then("each job that is given up has had {least:d} workers crash under it")
def check_causes(context, least):
    found = [simulation.crashes_of_failed_jobs() for simulation in context.simulations]
    for crashes_by_job in found:
        assert all(count >= least for count in crashes_by_job.values()), found


@when(
    "{bad:d} tasks crash {workers:d} workers, and {lost:g} of their starts get no "
    "answer, with the seeds {first:d} to {last:d}"
)
def simulate_lost_answers(context, bad, workers, lost, first, last):
    context.plan = CrashPlan(workers, bad, lost_answers=lost)
    simulate_dark(context, 6, first, last)


@then("both jobs fail, after at most {most:d} starts, and all others are done")
def check_all(context, most):
    for context.simulation in context.simulations:
        check_simulation(context, 2, most)


@then("no job is given up")
def check_none_failed(context):
    assert not context.failed_by_seed, context.failed_by_seed


EVENTS = {
    "nothing": {},
    "half of the workers crash": {"rack_lost_at_s": 0.5},
    "half of the workers crash, as suspects run": {"rack_lost_at_s": 4.0},
    "no progress is stored for 3 s": {"outage_until_s": 3.0},
}


@given(
    "{workers:d} workers, {bad:d} jobs of {width:d} tasks, one crashing, and {event}"
)
def make_events(context, workers, bad, width, event):
    plan = CrashPlan(workers, bad, gang_width=width, **EVENTS[event])
    context.simulation = CrashSimulation(plan)


@when("{others:d} other tasks are placed with them until all have ended")
def simulate(context, others):
    context.simulation.run(others)


@then("{count:d} jobs fail, after at most {most:d} starts, and all others are done")
def check_simulation(context, count, most):
    simulation = context.simulation
    failed = {job.job_id for job in simulation.failed_jobs()}
    assert failed == simulation.bad_ids, (failed, simulation.bad_ids)
    assert len(failed) == count, failed
    starts = simulation.bad_starts()
    assert max(starts, default=0) <= most, starts
    assert not simulation.unsaved_starts, simulation.unsaved_starts
    assert simulation.all_others_done()


@when(
    "{count:d} of {workers:d} workers go dark for {dark:g} s, one each {period:g} s, "
    "under {others:d} tasks of {cpu:d} millicores"
)
def simulate_rolling(context, count, workers, dark, period, others, cpu):
    plan = CrashPlan(
        workers,
        rolling=count,
        rolling_period_s=period,
        dark_s=dark,
        cpu_millis=cpu,
    )
    simulation = CrashSimulation(plan)
    simulation.run(others)
    assert simulation.all_ended()
    context.failed_by_seed = {job.job_id: 1 for job in simulation.failed_jobs()}


@given("a worker that runs a task {kind} since {age:g} s")
def make_watched(context, kind, age):
    make_task(context, 1)
    worker = context.worker = context.tables.workers_by_id["worker-0"]
    if kind == "under which a worker has crashed":
        context.task.crashes = (Crash("host-gone", True, True),)
    run = run_on(context, worker, age_s=age)
    worker.unresponsive_since = NOW if kind == "while it is silent" else 0.0
    run.is_isolated = kind != "that is no suspect"
    if kind == "whose start has no answer":
        run.answered_at = 0.0


@then("the worker is asked whether it is up: {asked}")
def check_asked(context, asked):
    commands = watch_suspects(context.tables)
    assert bool(commands) == (asked == "yes"), commands


@given("a worker of {cores:d} cores that runs {count:d} tasks of {size:d} cores")
def make_loaded_worker(context, cores, count, size):
    context.tables = create_tables(workers=1)
    context.worker = context.tables.workers_by_id["worker-0"]
    context.runs = []
    for number in range(count):
        job = add_simple_job(
            context.tables, f"{number:016x}", cpu_millis=size * 1000, memory_mb=1
        )
        context.runs.append(start_run(first_task(job), context.worker))


@when("its capacity {change}")
def change_capacity(context, change):
    if "stopped" in change:
        context.runs[0].state, context.runs[0].stopped_at = RunState.STOPPING, NOW
    for word in [word for word in change.split() if word.isdigit()]:
        item = registration(context.worker, born_ms=None, cpu=int(word) * 1000)
        apply_item(context.tables, item, NOW)


@then("{started:d} tasks of {size:d} cores start on it")
def check_started(context, started, size):
    for number in range(8):
        add_simple_job(
            context.tables, f"f{number:015x}", cpu_millis=size * 1000, memory_mb=1
        )
    assert len(place(context, NOW + 1)) == started
