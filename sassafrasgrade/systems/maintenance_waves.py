"""Plans maintenance waves within their limits and the budgets of perpetual tasks.

Idle hosts are maintained first; others are emptied only when a wave gets late.
"""

from sassafrasgrade.fleet_hosts import STATE_UPKEEP, WaveRow
from sassafrasgrade.systems.host_states import (
    is_at_work,
    is_free,
    is_standby,
    max_orders_per_plan,
    worker_of,
)
from sassafrasgrade.systems.task_placement import (
    candidates_with_room,
    usable_candidates,
)
from sassafrasgrade.work_commands import MaintainHost, ReportWave, StopRun
from sassafrasgrade.work_tables import RunState, step_row_of

# Margin on the duration of maintenance, in seconds: it does not start on the platform
# at the same time as the order is answered.
MAINTENANCE_MARGIN_S = 0.4
# Fraction of a wave's duration during which only idle hosts are maintained.
IDLE_ONLY_FRACTION = 0.45
# Fraction of a wave's duration after which runs that outlast it are stopped on the
# hosts that are left; their tasks start again elsewhere.
STOP_RUNS_FRACTION = 0.8
# Minimum time between writes of a wave's progress to the store, in seconds.
MIN_STORE_INTERVAL_S = 1.0


def plan_waves(tables, fleet, settings, now, planned=()):
    """Returns the commands of all waves in progress.

    Args:
        tables: The tables.
        fleet: Hosts and waves.
        settings: ``NodeSettings``.
        now: Current clock in seconds.
        planned: Stops that were decided in the same tick, whose tasks are away.
    """
    commands = []
    for number in sorted(fleet.waves_by_number):
        row = fleet.waves_by_number[number]
        if not row.is_reported:
            decided = [*planned, *(c for c in commands if isinstance(c, StopRun))]
            commands += _plan_wave(tables, fleet, row, settings, now, decided)
    return commands


def _plan_wave(tables, fleet, row: WaveRow, settings, now, planned):
    if not row.is_running_reported:
        return [ReportWave(row.wave.number, False)]
    for name in row.left:
        if name not in fleet.hosts_by_name and fleet.listed_at > row.seen_at:
            row.done.add(name)
    down = _hosts_down(fleet, row, now)
    if not row.left:
        return [] if down else [ReportWave(row.wave.number, True)]
    slots = row.wave.most_at_once - len(down)
    commands = []
    if len(row.done) > row.stored_done and now - row.stored_at > MIN_STORE_INTERVAL_S:
        row.stored_at = now
        commands.append(ReportWave(row.wave.number, False))
    hosts = [fleet.hosts_by_name[n] for n in row.left if n in fleet.hosts_by_name]
    hosts.sort(key=lambda host: _wave_rank(tables, host))
    max_orders = max_orders_per_plan(settings)
    for host in hosts:
        if slots <= 0 or len(commands) >= max_orders:
            break
        if is_free(tables, fleet, host, now):
            commands.append(_maintain(tables, host, row, settings, now))
            slots -= 1
    if slots > 0 and _is_past(row, IDLE_ONLY_FRACTION, now):
        stops_runs = _is_past(row, STOP_RUNS_FRACTION, now)
        commands += _evacuate(tables, hosts, slots, now, stops_runs, planned)
    return commands


def _hosts_down(fleet, row, now):
    """Returns hosts of a wave that are down, from own orders and the host list.

    The list also shows the effect of orders from the previous leader, but not of
    those that are carried out late.
    """
    down = {name for name, until in row.down_until_by_host.items() if until > now}
    for name in row.wave.hosts:
        host = fleet.hosts_by_name.get(name)
        if host is not None and host.state == STATE_UPKEEP:
            down.add(name)
        if fleet.orders_after_by_host.get(name, 0.0) > now:
            down.add(name)
    return down


def _wave_rank(tables, host):
    worker = worker_of(tables, host)
    runs = len(worker.runs_by_key) if worker is not None else 0
    return (not is_standby(tables, host), runs, host.rack, host.name)


def extend_maintenance(host, row, settings, now):
    """Keeps a host down for as long as maintenance takes that begins now at the latest.

    The platform may begin it at any time between an order and its answer.

    Args:
        host: ``HostRow``.
        row: ``WaveRow``.
        settings: ``NodeSettings``.
        now: Current clock in seconds.
    """
    until = now + settings.bounds_upkeep_s + MAINTENANCE_MARGIN_S
    host.busy_until = row.down_until_by_host[host.name] = until


def _maintain(tables, host, row, settings, now):
    extend_maintenance(host, row, settings, now)
    worker = worker_of(tables, host)
    if worker is not None:
        worker.is_reserved = True
    return MaintainHost(host.name, row.wave.number)


def _is_past(row, fraction, now):
    """Whether more than a fraction of a wave's duration has passed."""
    return now - row.seen_at > row.wave.duration_s * fraction


def _evacuate(tables, hosts, slots, now, stops_runs, planned):
    """Empties hosts of a wave: they get no new runs, and perpetual tasks move.

    Load pattern: a few tasks run many times as long as declared, on the last hosts
    of a wave that is due.
    """
    commands = []
    reserved = 0
    for host in hosts:
        worker = worker_of(tables, host)
        if worker is None or host.busy_until > now or not worker.runs_by_key:
            continue
        if reserved >= slots:
            break
        reserved += 1
        worker.is_reserved = True
        commands += _evacuate_worker(tables, worker, [*planned, *commands], now)
        if stops_runs:
            commands += _stop_finite_runs(worker)
    return commands


def _stop_finite_runs(worker):
    return [
        StopRun(run, "host is to be maintained")
        for run in worker.runs_by_key.values()
        if run.state is RunState.RUNNING and not run.task.step.is_perpetual
    ]


def _evacuate_worker(tables, worker, planned, now):
    """Returns commands to stop a worker's perpetual tasks as their budgets allow."""
    commands = []
    planned_ids = {id(command.run) for command in planned}
    candidates = usable_candidates(tables, worker.pool, now)
    for run in list(worker.runs_by_key.values()):
        if not run.task.step.is_perpetual or not is_at_work(tables, run, now):
            continue
        if id(run) in planned_ids:
            continue
        may_be_away = may_stop(tables, run.task, [*planned, *commands], now)
        if may_be_away and candidates_with_room(run.task, candidates):
            commands.append(StopRun(run, "host is to be maintained"))
    return commands


def may_stop(tables, task, planned, now):
    """Whether a perpetual task may be stopped within its step's budget.

    Args:
        tables: The tables.
        task: The task.
        planned: Stops decided so far in the same tick.
        now: Current clock in seconds.
    """
    row, most_away = step_row_of(task), max(1, task.step.may_miss)
    stopped = {id(command.run.task) for command in planned}
    others = [row.tasks[index] for index in row.running if index != task.index]
    kept = [other for other in others if id(other) not in stopped]
    away = len(row.tasks) - 1 - len(kept)
    if away >= most_away:
        return False
    away += sum(
        not any(is_at_work(tables, run, now) for run in other.runs_by_number.values())
        for other in kept
    )
    return away < most_away


def evacuate_draining(tables):
    """Returns commands that stop perpetual tasks on workers that leave soon."""
    return [
        StopRun(run, "worker drains")
        for worker in tables.workers_by_id.values()
        if worker.is_draining
        for run in worker.runs_by_key.values()
        if run.state is RunState.RUNNING and run.task.step.is_perpetual
    ]
