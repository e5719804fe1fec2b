"""Steps on stalled runs, pacing, occurrences, tickets and shares of hosts."""

import msgspec
from behave import then

from features.support.work_tables import (
    CAPACITY,
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    STANDBY,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
    first_task,
    place_tasks,
    rank_jobs,
    start_run,
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
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.host_planning import plan_hosts
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.occurrences import create_due, forget_done
from sassafrasgrade.systems.pacing import pace_fillers
from sassafrasgrade.systems.run_updates import remove_worker
from sassafrasgrade.systems.slow_runs import copy_overdue_runs, stop_stalled
from sassafrasgrade.work_commands import MoveHost, StopRun
from sassafrasgrade.work_tables import step_row_of
from sassafrasgrade.worker_registrations import apply_item


def start_run_with_progress(context, percent, age_s, changed_s=0.0):
    run = start_run(context.task, context.worker, now=NOW - age_s)
    run.percent = percent
    run.changed_at = NOW - changed_s
    context.worker.last_answer_at = NOW
    return run


def start_perpetual_run(context, age_s, at_work):
    job = add_simple_job(context.tables, "c" * 16, is_perpetual=True)
    run = start_run(first_task(job), context.worker, now=NOW - age_s)
    run.at_work_at = NOW - 1 if at_work else 0.0


def fill_pool(context, percent):
    """Adds runs on another worker that are at ``percent`` after 0.4 s.

    80 percent is the progress that their declared 0.5 s imply.
    """
    other = context.tables.workers_by_id["worker-1"]
    job = add_simple_job(context.tables, "d" * 16, count=6)
    for task in job.occurrences[0].steps[0].tasks:
        run = start_run(task, other, now=NOW - 0.4)
        run.percent = percent
        run.changed_at = NOW


def stall_without_room(context):
    start_run_with_progress(context, 10, 4.0, changed_s=3.0)
    context.tables.workers_by_id["worker-1"].is_draining = True


def stall_unseen(context):
    start_run_with_progress(context, 10, 4.0, changed_s=3.0)
    context.worker.last_answer_at = NOW - 2.0


def run_on_slow_worker(context):
    fill_pool(context, 80)
    start_run_with_progress(context, 10, 2.0)


def run_long_task(context):
    fill_pool(context, 10)
    start_run_with_progress(context, 50, 2.0)


START_BY_CASE = {
    "makes no progress for 3 s": lambda c: start_run_with_progress(
        c, 10, 4.0, changed_s=3.0
    ),
    "makes no progress and no other worker has room": stall_without_room,
    "progresses": lambda c: start_run_with_progress(c, 60, 0.4),
    "takes longer than declared on a worker of usual speed": run_long_task,
    "runs on a worker far slower than its pool": run_on_slow_worker,
    "made no progress but was last reported 2 s ago": stall_unseen,
    "is perpetual and not at work after 5 s": lambda c: start_perpetual_run(
        c, 5.0, False
    ),
    "is perpetual and at work": lambda c: start_perpetual_run(c, 5.0, True),
}


@then('a run that "{case}" is moved: "{moved}"')
def check_moved(context, case, moved):
    START_BY_CASE[case](context)
    commands = stop_stalled(context.tables, LearnedDurations(), NOW)
    assert bool(commands) == (moved == "yes"), commands


@then(
    "fillers beside a task with a tail latency of {tail:g} of its target, "
    "paced at {pace:d} percent, are then paced at {percent:d}"
)
def check_paced(context, tail, pace, percent):
    tables = create_tables(workers=1)
    worker = tables.workers_by_id["worker-0"]
    serving = add_simple_job(tables, "a" * 16, is_perpetual=True, target_ms=100)
    start_run(first_task(serving), worker).load_metric = tail * 100
    filler = add_simple_job(tables, "b" * 16, is_filler=True)
    run = start_run(first_task(filler), worker)
    run.pace = pace
    commands = pace_fillers(tables, NOW)
    new_pace = commands[0].percent if commands else pace
    assert new_pace == percent, commands


@then(
    "of a job of {count:d} occurrences every {interval:d} s, {created:d} exist "
    "{early:g} s before the first"
)
def check_occurrences(context, count, interval, created, early):
    tables = create_tables()
    request = JobRequest(
        spec="s",
        steps=(Step(count=1),),
        repeats=count,
        first_ms=NOW_UNIX * 1000,
        interval_ms=interval * 1000,
    )
    job = add_job(tables, "e" * 16, SubmittedJob(QUEUE, NOW_UNIX, request))
    create_due(tables, NOW_UNIX - early)
    assert len(job.occurrences) == created, job.occurrences


@then('a task of a queue with advice and "{tickets}" starts: "{starts}"')
def check_tickets(context, tickets, starts):
    tables = create_tables(workers=1)
    queue = Queue(name=QUEUE, pool=POOL, advice=Advice(10, 1, 3000))
    pools = (Pool(name=POOL),)
    tables.adopt_configuration(Configuration(version=2, queues=(queue,), pools=pools))
    job = add_simple_job(tables)
    step_key = f"{job.job_id}.0.0"
    if tickets != "no ticket":
        valid_s = 0.1 if "lapsed" in tickets else 3.0
        rows = (("worker-0", "t-1"),)
        tables.tickets.record_answer(step_key, ["worker-0"], rows, valid_s, NOW)
    if "rejected" in tickets:
        tables.tickets.drop(step_key, "worker-0")
    commands = place_tasks(tables, POOL, LearnedDurations(), NOW, NOW_UNIX)
    assert bool(commands) == (starts == "yes"), commands
    if commands:
        assert commands[0].run.ticket == "t-1"
    else:
        assert step_key in tables.tickets.wanted


POOL_NAMES = (POOL, "pool-2")


def create_two_pools(hosts_by_pool):
    """Returns tables and hosts of two pools with a queue each, and a standby pool."""
    tables = create_tables(workers=0)
    queues = tuple(
        Queue(name=f"queue-{number}", pool=pool, objective_ms=600.0, stretch=1.6)
        for number, pool in enumerate(POOL_NAMES, 1)
    )
    pools = tuple(Pool(name=name) for name in POOL_NAMES)
    standby = (Pool(name=STANDBY, is_standby=True),)
    tables.adopt_configuration(
        Configuration(version=2, queues=queues, pools=pools + standby)
    )
    fleet = FleetHosts(listed_at=NOW)
    for pool, hosts in hosts_by_pool.items():
        for number in range(hosts):
            host = HostRow(f"host-{pool}-{number}", pool, "up", capacity=CAPACITY)
            fleet.hosts_by_name[host.name] = host
            if pool != STANDBY:
                worker = add_worker(tables, f"{pool}-{number}")
                worker.pool = pool
                host.worker_id = worker.worker_id
    return tables, fleet


def add_large_job(tables, pool_number, tasks, accepted_at=NOW_UNIX):
    """Adds a job whose tasks each need more than half of a host."""
    step = Step(count=tasks, cpu_millis=13_600, estimate_ms=500)
    request = JobRequest(spec="s", steps=(step,))
    submitted = SubmittedJob(f"queue-{pool_number}", accepted_at, request)
    return add_job(tables, f"{pool_number}" * 16, submitted)


def plan_one_tick(tables, fleet, **values):
    """Returns the commands of one tick of host planning."""
    values |= {"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}
    return plan_hosts(tables, fleet, check_node_settings(values).unwrap(), NOW)


@then('{hosts:d} free hosts are moved as "{given}" for the needs "{needs}"')
def check_shares(context, hosts, needs, given):
    tables, fleet = create_two_pools({POOL: 1, "pool-2": 1, STANDBY: hosts})
    for number, text in enumerate(needs.split(":"), 1):
        if int(text):
            add_large_job(tables, number, int(text))
    commands = plan_one_tick(tables, fleet)
    moves = [command.pool for command in commands if isinstance(command, MoveHost)]
    found = ":".join(str(moves.count(name)) for name in POOL_NAMES)
    assert found == given, (found, commands)


@then(
    "a pool that lacks {lacks:d} hosts gets {orders:d} in a tick at {rate:d} a second"
)
def check_order_rate(context, lacks, orders, rate):
    tables, fleet = create_two_pools({POOL: 1, "pool-2": 1, STANDBY: lacks})
    add_large_job(tables, 1, lacks + 1)
    commands = plan_one_tick(tables, fleet, CLOUD_ORDERS_PER_S=str(rate))
    assert len(commands) == orders, len(commands)


@then(
    "{seconds:d} s into a wave of 20 s, a long run on its last host is stopped: {stop}"
)
def check_wave_stops_run(context, seconds, stop):
    tables, fleet = create_two_pools({POOL: 2, "pool-2": 1})
    job = add_simple_job(tables)
    start_run(first_task(job), tables.workers_by_id[f"{POOL}-0"])
    wave = Wave(number=1, hosts=(f"host-{POOL}-0",), duration_s=20.0)
    row = WaveRow(wave, NOW - seconds, is_running_reported=True)
    fleet.waves_by_number[1] = row
    commands = plan_one_tick(tables, fleet)
    stops = [command for command in commands if isinstance(command, StopRun)]
    assert bool(stops) == (stop == "yes"), commands
    assert tables.workers_by_id[f"{POOL}-0"].is_reserved == (seconds > 9)


@then("a job that takes 0.5 s, {age:f} s after its arrival, is {urgency}")
def check_urgency(context, age, urgency):
    tables = create_tables()
    job = add_simple_job(tables, estimate_ms=500)
    learned_durations = LearnedDurations()
    rank_jobs(tables, POOL, learned_durations, NOW_UNIX + age)
    assert job.urgency.name.lower().replace("_", " ") == urgency, job.urgency


@then(
    "of {tasks:d} tasks {age:f} s old, beside a pool that lacks {lacks:d} hosts, "
    "{starts:d} start"
)
def check_late_work_yields(context, tasks, age, lacks, starts):
    tables, fleet = create_two_pools({POOL: 4, "pool-2": 1})
    running = add_simple_job(tables, "f" * 16, count=4)
    workers = [w for w in tables.workers_by_id.values() if w.pool == POOL]
    for index, worker in enumerate(workers):
        start_run(first_task(running, index), worker)
    add_large_job(tables, 1, tasks, NOW_UNIX - age)
    add_large_job(tables, 2, lacks + 1)
    learned_durations = LearnedDurations()
    for pool in POOL_NAMES:
        rank_jobs(tables, pool, learned_durations, NOW_UNIX)
    plan_one_tick(tables, fleet)
    commands = place_tasks(tables, POOL, learned_durations, NOW, NOW_UNIX)
    assert len(commands) == starts, commands


@then(
    "of 4 workers with a perpetual task each, {bad:d} that failed runs "
    "get {tasks:d} of 40 tasks"
)
def check_failing_workers(context, bad, tasks):
    tables = create_tables(workers=4)
    perpetual = add_simple_job(tables, "f" * 16, count=4, is_perpetual=True)
    workers = list(tables.workers_by_id.values())
    for index, worker in enumerate(workers):
        start_run(first_task(perpetual, index), worker)
    failing = workers[:bad] or workers
    for worker in workers[:bad]:
        worker.failures = 5.0
    add_simple_job(tables, count=40, cpu_millis=1500)
    commands = place_tasks(tables, POOL, LearnedDurations(), NOW, NOW_UNIX)
    worker_ids = {worker.worker_id for worker in failing}
    placed = [c for c in commands if c.run.worker_id in worker_ids]
    assert len(placed) == tasks, (len(placed), len(commands))


@then('a registration of an ended worker that arrives "{case}" is used: "{used}"')
def check_registration(context, case, used):
    tables = create_tables(workers=1)
    worker = tables.workers_by_id["worker-0"]
    worker.born_ms = 5
    remove_worker(tables, worker, EndProof(ProofKind.WORKER_GONE, NOW), NOW)
    entry = {
        "service": POOL,
        "address": "127.0.0.1:1",
        "zone": "z1",
        "state": "ready",
        "capacity": {"cpu": 1, "memMb": 1},
        "born": 6 if "later" in case else 5,
    }
    item = Item("servers/worker-0", msgspec.json.encode(entry), 9)
    apply_item(tables, item, NOW + 7 if "heartbeats" in case else NOW + 1)
    assert ("worker-0" in tables.workers_by_id) == (used == "yes"), case


@then("a host that the previous leader ordered {age:g} s ago is {order} now: {ordered}")
def check_recently_ordered(context, age, order, ordered):
    tables, fleet = create_two_pools({POOL: 1, "pool-2": 1, STANDBY: 1})
    name = f"host-{STANDBY}-0"
    fleet.delay_orders({name: age}, NOW, 4.2)
    if order == "moved":
        add_large_job(tables, 1, 2)
    else:
        wave = Wave(number=1, hosts=(name,), duration_s=20.0)
        fleet.waves_by_number[1] = WaveRow(wave, NOW, is_running_reported=True)
    commands = plan_one_tick(tables, fleet)
    assert bool(commands) == (ordered == "yes"), commands
    ages = fleet.recent_order_ages(NOW + 1.0, 4.2)
    assert ages.keys() == ({name} if age < 3.2 else set()), ages
    assert all(abs(found - age - 1.0) < 1e-6 for found in ages.values()), ages


@then('after a takeover, a second step whose first ends "{case}" is held: {held}')
def check_following_step(context, case, held):
    tables = create_tables()
    step = Step(count=1, cpu_millis=1000, is_speculative="a copy" in case)
    later = Step(count=1, cpu_millis=1000, after=(0,))
    request = JobRequest(spec="s", steps=(step, later))
    job = add_job(tables, "a" * 16, SubmittedJob(QUEUE, NOW_UNIX, request))
    first, second = [row.tasks[0] for row in job.occurrences[0].steps]
    job.is_inherited, tables.held_pools = True, frozenset([POOL])
    worker, other = tables.workers_by_id.values()
    done = [(1, first.name, 100_001, "done")]
    if case == "in the first list of its worker":
        apply_worker_view(tables, worker, NOW, ended=done)
    elif case == "in a later list of its worker":
        apply_worker_view(tables, worker, NOW)
        apply_worker_view(tables, worker, NOW + 1, ended=done)
    elif case == "in a list after two seconds":
        apply_worker_view(tables, worker, NOW)
        apply_worker_view(tables, worker, NOW + 2)
        apply_worker_view(tables, worker, NOW + 2.5, ended=done)
    elif case == "in the first list, and a copy of it in a later one":
        apply_worker_view(tables, other, NOW)
        apply_worker_view(tables, worker, NOW, ended=done)
        copy = [(1, first.name, 100_002, "done")]
        apply_worker_view(tables, other, NOW + 1, ended=copy)
    assert first.is_done
    is_held = tables.is_held(second.job, step_row_of(second))
    assert is_held == (held == "yes"), second


@then("a copy of run {number:d}, adopted in epoch {epoch:d}, has the number {copy:d}")
def check_copy_number(context, number, epoch, copy):
    tables = create_tables()
    tables.epoch = epoch
    job = add_simple_job(tables, is_speculative=True)
    worker = tables.workers_by_id["worker-0"]
    start_run(first_task(job), worker, now=NOW - 60, number=number)
    commands = copy_overdue_runs(tables, POOL, LearnedDurations(), NOW)
    assert [command.run.number for command in commands] == [copy], commands


@then('a copy of a queue with advice and "{tickets}" starts: "{starts}"')
def check_copy_ticket(context, tickets, starts):
    tables = create_tables()
    queue = Queue(name=QUEUE, pool=POOL, advice=Advice(10, 1, 3000))
    pools = (Pool(name=POOL),)
    tables.adopt_configuration(Configuration(version=2, queues=(queue,), pools=pools))
    job = add_simple_job(tables, is_speculative=True)
    start_run(first_task(job), tables.workers_by_id["worker-0"], now=NOW - 60)
    if tickets == "a ticket for the other worker":
        rows = (("worker-1", "t-1"),)
        key = f"{job.job_id}.0.0"
        tables.tickets.record_answer(key, ["worker-1"], rows, 3.0, NOW)
    commands = copy_overdue_runs(tables, POOL, LearnedDurations(), NOW)
    assert bool(commands) == (starts == "yes"), commands
    assert all(command.run.ticket == "t-1" for command in commands), commands


@then("of {due:d} due occurrences of {tasks:d} tasks, {created:d} are open at a time")
def check_open_occurrences(context, due, tasks, created):
    tables = create_tables()
    step = Step(count=tasks, cpu_millis=1, estimate_ms=500)
    request = JobRequest(
        spec="s", steps=(step,), repeats=due, first_ms=1.0, interval_ms=1.0
    )
    job = add_job(tables, "e" * 16, SubmittedJob(QUEUE, NOW_UNIX, request))
    # A tick creates some of them; there is one that creates none.
    while create_due(tables, NOW_UNIX):
        assert len(job.occurrences) <= created, len(job.occurrences)
    assert len(job.occurrences) == created, len(job.occurrences)
    job.done_occurrences.add(0)
    forget_done(tables)
    while create_due(tables, NOW_UNIX):
        assert len(job.occurrences) <= created, len(job.occurrences)
    assert len(job.occurrences) == min(created, due - 1), len(job.occurrences)


@then("a job whose data cannot be placed does not keep others from starting")
def check_bad_job(context):
    tables = create_tables()
    broken = add_simple_job(tables, "a" * 16)
    row = broken.occurrences[0].steps[0]
    row.step = row.tasks[0].step = None
    add_simple_job(tables, "b" * 16)
    broken.occurrences[0].steps[0].step = Step(count=1)
    commands = place_tasks(tables, POOL, LearnedDurations(), NOW, NOW_UNIX)
    kinds = sorted(type(command).__name__ for command in commands)
    assert kinds == ["LogEvent", "StartRun"], commands


@then(
    "hosts idle for {idle:g} s, {seen:g} s after the first demand, go to standby: {go}"
)
def check_first_demand(context, idle, seen, go):
    tables, fleet = create_two_pools({POOL: 3, "pool-2": 3, STANDBY: 1})
    for host in fleet.hosts_by_name.values():
        host.idle_since = NOW - idle
    add_large_job(tables, 1, 1)
    tables.work_seen_at = NOW - seen
    commands = plan_one_tick(tables, fleet)
    assert bool(commands) == (go == "yes"), commands
