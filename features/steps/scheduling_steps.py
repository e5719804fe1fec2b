"""Steps on scheduling: tables as input, commands as output, no sockets."""

from behave import given, then, when

from features.support.work_loads import simulate_overload
from features.support.work_tables import (
    CAPACITY,
    NOW,
    POOL,
    add_simple_job,
    apply_worker_view,
    create_tables,
    first_task,
    start_run,
)
from sassafrasgrade.fleet_hosts import FleetHosts, HostRow, WaveRow
from sassafrasgrade.job_records import (
    JobProgress,
    apply_progress,
    apply_unstored_progress,
    encode,
)
from sassafrasgrade.leader_monitors import is_leader_lost, should_hand_over
from sassafrasgrade.node_messages import HandedOverRun
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.outage_reports import OutageReport
from sassafrasgrade.platform.messages import Wave, WorkerView
from sassafrasgrade.systems.host_planning import plan_hosts
from sassafrasgrade.systems.run_updates import (
    adopt_handed_over_runs,
    cancel_job,
    expire_leases,
    restart_worker,
    runs_to_hand_over,
    unreported_workers,
)
from sassafrasgrade.work_commands import StopRun
from sassafrasgrade.work_tables import RunState, WorkState, remove_run


@given("a job of one task that may fail {attempts:d} times")
def make_job(context, attempts):
    context.tables = create_tables(workers=2, most_attempts=attempts)
    context.job = add_simple_job(context.tables)
    context.task = first_task(context.job)
    context.worker = context.tables.workers_by_id["worker-0"]


def fail_runs(context, rows):
    start_run(context.task, context.worker)
    for clock, number, run in rows:
        ended = [(number, context.task.name, run, "failed")]
        apply_worker_view(context.tables, context.worker, clock, ended=ended)


def report_end(context, how):
    start_run(context.task, context.worker)
    ended = [(1, context.task.name, 1, how)]
    apply_worker_view(context.tables, context.worker, NOW + 1, ended=ended)


def report_failure_to_successor(context):
    fail_runs(context, [(NOW + 1, 1, 1)])
    context.worker.seen_end = 0
    ended = [(1, context.task.name, 1, "failed")]
    apply_worker_view(context.tables, context.worker, NOW + 2, ended=ended)


def fail_two_runs(context):
    fail_runs(context, [(NOW + 1, 1, 1)])
    start_run(context.task, context.worker, number=2)
    ended = [(2, context.task.name, 2, "failed")]
    apply_worker_view(context.tables, context.worker, NOW + 2, ended=ended)


def report_absence(context, state, sent_at, now, stop_answered_at=0.0):
    run = start_run(context.task, context.worker, state)
    run.stop_answered_at = stop_answered_at
    apply_worker_view(context.tables, context.worker, now, sent_at=sent_at)


def report_older_list(context):
    apply_worker_view(context.tables, context.worker, NOW + 2)
    start_run(context.task, context.worker)
    old_ms = (NOW + 1) * 1000
    apply_worker_view(context.tables, context.worker, NOW + 3, clock_ms=old_ms)


def lose_contact(context, lease_until, leader_until=NOW + 5):
    start_run(context.task, context.worker)
    context.worker.unresponsive_since = NOW + 1
    context.worker.lease_until = lease_until
    expire_leases(context.tables, leader_until)


def restart_running_worker(context):
    start_run(context.task, context.worker)
    restart_worker(
        context.tables, context.worker, WorkerView(clock_ms=1.0, born_ms=7), NOW + 1
    )
    apply_worker_view(context.tables, context.worker, NOW + 1, sent_at=NOW + 0.9)


RUNNING, UNCERTAIN = RunState.RUNNING, RunState.UNCERTAIN
SIMULATE_BY_EVENT = {
    "a report that it is done": lambda c: report_end(c, "done"),
    "a report that it failed": lambda c: report_end(c, "failed"),
    "a report that it was stopped": lambda c: report_end(c, "stopped"),
    "a report that it failed, sent twice": lambda c: fail_runs(
        c, [(NOW + 1, 1, 1), (NOW + 2, 1, 1)]
    ),
    "a report that it failed, sent to a successor again": report_failure_to_successor,
    "reports that two of its runs failed": fail_two_runs,
    "a list without it, requested after the start answer": lambda c: report_absence(
        c, RUNNING, NOW + 0.5, NOW + 1
    ),
    "a list without it, requested before the start answer": lambda c: report_absence(
        c, RUNNING, NOW - 0.5, NOW + 1
    ),
    "no start answer, and a list after the start's deadline": lambda c: report_absence(
        c, UNCERTAIN, NOW + 2, NOW + 2
    ),
    "no start answer, and a list before the start's deadline": lambda c: report_absence(
        c, UNCERTAIN, NOW + 1, NOW + 1
    ),
    "no start answer, and a list after its stop was answered": lambda c: report_absence(
        c, UNCERTAIN, NOW + 1, NOW + 1, stop_answered_at=NOW + 0.5
    ),
    "an older list without it": report_older_list,
    "worker silence until the lease has lapsed": lambda c: lose_contact(c, NOW + 4),
    "worker silence while the lease is valid": lambda c: lose_contact(c, NOW + 6),
    "worker silence past the lease, while another may lead": lambda c: lose_contact(
        c, NOW + 4, leader_until=NOW + 3
    ),
    "a restart of its worker": restart_running_worker,
}


@when('this happens to its run: "{event}"')
def simulate_event(context, event):
    SIMULATE_BY_EVENT[event](context)


@then('the task is "{state}"')
def check_task(context, state):
    task, job = context.task, context.job
    is_in_state = {
        "done": task.is_done,
        "job failed": job.pending_state is WorkState.FAILED,
        "active": bool(task.runs_by_number) and not task.is_done,
        "waiting": not task.runs_by_number
        and not task.is_done
        and job.is_open
        and task.blocked_until <= NOW,
        "held": task.blocked_until > NOW,
        "stopping": any(
            isinstance(command, StopRun) and command.run.task is task
            for command in getattr(context, "commands", None) or ()
        ),
        "unshown": job.pending_state is WorkState.COMPLETED
        and job.state is WorkState.RUNNING,
        "completed": job.state is WorkState.COMPLETED,
    }
    assert is_in_state[state], (state, task, job.state, job.pending_state)


def completed_progress():
    return JobProgress(WorkState.COMPLETED, True, {"0.0": [0]}, {}, [0])


def hand_over_run(context, worker_id):
    run = HandedOverRun(context.task.name, 4, worker_id, 3.0)
    context.commands = adopt_handed_over_runs(context.tables, (run,), NOW)


def hand_over_cancelled(context, worker_id):
    cancel_job(context.tables, context.job)
    hand_over_run(context, worker_id)


def hand_over_twice(context, worker_id):
    hand_over_run(context, worker_id)
    handed = runs_to_hand_over(context.tables, NOW)
    context.tables = create_tables()
    context.job = add_simple_job(context.tables)
    context.task = first_task(context.job)
    adopt_handed_over_runs(context.tables, handed, NOW)


LOAD_BY_KNOWLEDGE = {
    "nothing": lambda c: None,
    "a handed-over run on a listed worker": lambda c: hand_over_run(c, "worker-1"),
    "a handed-over run on an unlisted worker": lambda c: hand_over_run(c, "gone"),
    "a handed-over run, after its job was cancelled": lambda c: hand_over_cancelled(
        c, "worker-1"
    ),
    "a run handed over twice, on a listed worker": lambda c: hand_over_twice(
        c, "worker-1"
    ),
    "a run handed over twice, on an unlisted worker": lambda c: hand_over_twice(
        c, "gone"
    ),
    "handed-over progress that ends the job": lambda c: apply_unstored_progress(
        c.tables, {c.job.job_id: encode(completed_progress())}
    ),
    "stored progress that ends the job": lambda c: apply_progress(
        c.tables, c.job, completed_progress()
    ),
}


@when('a successor loads it with "{known}"')
def load_successor(context, known):
    LOAD_BY_KNOWLEDGE[known](context)


def create_fleet(tables):
    fleet = FleetHosts(listed_at=NOW)
    for worker in tables.workers_by_id.values():
        host = HostRow(worker.host, POOL, "up", worker_id=worker.worker_id)
        host.capacity = CAPACITY
        fleet.hosts_by_name[host.name] = host
    return fleet


@then('with "{case}" the pools "{pools}" are held back after a takeover')
@then('with "{case}" the pools "" are held back after a takeover')
def check_held_pools(context, case, pools=""):
    tables = create_tables()
    fleet = create_fleet(tables)
    host = fleet.hosts_by_name["host-worker-0"]
    if case == "one listed worker":
        tables.workers_by_id["worker-0"].has_seen_token = False
    elif case == "a worker of a host that moved":
        tables.workers_by_id["worker-0"].has_seen_token = False
        host.pool, host.worker_id = "pool-2", ""
    elif case.startswith("a host"):
        del tables.workers_by_id["worker-0"]
        states = {"a host that moves": "moving", "a host that is shown as down": "down"}
        host.state = states.get(case, "up")
    elif case == "hosts not read yet":
        fleet = FleetHosts()
    by_worker = unreported_workers(tables, fleet)
    held = "all" if by_worker is None else ",".join(sorted(set(by_worker.values())))
    assert held == pools, (case, held)


@given("a job of {count:d} perpetual tasks of which {may_miss:d} may be missing")
def make_perpetual_job(context, count, may_miss):
    context.tables = create_tables(workers=count + 1)
    context.job = add_simple_job(
        context.tables, count=count, is_perpetual=True, may_miss=may_miss
    )
    for index in range(count):
        worker = context.tables.workers_by_id[f"worker-{index}"]
        run = start_run(first_task(context.job, index), worker)
        run.percent = 100


@when('"{case}" and all hosts are due for maintenance')
def plan_maintenance(context, case):
    tables = context.tables
    workers = tables.workers_by_id
    other = next(iter(workers["worker-1"].runs_by_key.values()))
    if case == "one is starting":
        other.percent = 10
    elif case == "one is on an unresponsive worker":
        workers["worker-1"].unresponsive_since = NOW - 1
    elif case == "one is on a draining worker":
        workers["worker-1"].is_draining = True
    elif case == "one is waiting":
        remove_run(workers["worker-1"], other)
    elif case == "no other worker has room":
        for worker in workers.values():
            worker.usable_after = NOW + 10
    fleet = create_fleet(tables)
    wave = Wave(number=1, hosts=tuple(fleet.hosts_by_name), most_at_once=9)
    row = WaveRow(wave, NOW - 100, is_running_reported=True)
    fleet.waves_by_number[1] = row
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}).unwrap()
    context.commands = plan_hosts(tables, fleet, settings, NOW)


@then("{stops:d} of its tasks are stopped in one tick")
def check_stops(context, stops):
    found = [c for c in context.commands if isinstance(c, StopRun)]
    assert len(found) == stops, context.commands


SILENCES_BY_CASE = {
    "no node has received its messages for 2 s": ([2.0, 2.1, 2.0, 1.9, 2.0], 2.0, 5),
    "one of five other nodes receives its messages": (
        [2.0, 0.1, 2.0, 1.9, 2.0],
        2.0,
        5,
    ),
    "most other nodes do not answer": ([2.0, None, None, None, None], 2.0, 5),
    "this node receives its messages": ([2.0, 2.1, 2.0, 1.9, 2.0], 0.2, 5),
    "there is no other node": ([], 2.0, 0),
    "three of five other nodes answer, none receives its messages": (
        [2.0, 2.0, 2.0, None, None],
        2.0,
        5,
    ),
}


@then('the leader is replaced if "{case}": "{replaced}"')
def check_replaced(context, case, replaced):
    assert is_leader_lost(*SILENCES_BY_CASE[case]) == (replaced == "yes"), case


REPORTS_BY_CASE = {
    "a report of a recent store answer": [OutageReport(NOW - 0.2, 0.1)],
    "a report of an old store answer": [OutageReport(NOW - 0.2, 3.0)],
    "an old report of a recent store answer": [OutageReport(NOW - 3.0, 0.1)],
    "a report of an answer soon after its own": [OutageReport(NOW - 0.2, 0.7)],
    "no report": [],
}


@then(
    "a leader without a store answer for {silent_s:g} s hands over leadership "
    'if other nodes sent "{others}": "{handed}"'
)
def check_handover(context, silent_s, others, handed):
    assert should_hand_over(silent_s, REPORTS_BY_CASE[others], NOW) == (handed == "yes")


@when(
    "{jobs:d} jobs of mixed sizes arrive within {seconds:d} seconds at 4 workers, "
    "seed {seed:d}"
)
def simulate_load(context, jobs, seconds, seed):
    context.load = (jobs, seconds, seed)
    context.by_value = simulate_overload("worth", *context.load)


@then('ordering by value earns at least as much value as "{policy}"')
def check_earned_value(context, policy):
    other = simulate_overload(policy, *context.load)
    assert context.by_value.earned_value >= other.earned_value, (
        context.by_value,
        other,
    )
