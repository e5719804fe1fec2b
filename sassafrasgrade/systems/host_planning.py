"""Plans maintenance waves and moves of hosts between pools.

Load pattern: the pools' demand peaks by turns, while waves ask for hosts of all
pools. Hosts that run nothing go to the standby pool, which is free of charge,
and from there to the pool whose backlog grows.
"""

import math
from dataclasses import dataclass, field

from sassafrasgrade.fleet_hosts import (
    STATE_UP,
    STATE_UPKEEP,
    FleetHosts,
    HostRow,
    WaveRow,
)
from sassafrasgrade.systems.run_views import AT_WORK_PERCENT
from sassafrasgrade.systems.task_placement import choose_room, is_usable, room_of
from sassafrasgrade.work_commands import (
    MaintainHost,
    MoveHost,
    Note,
    ReportWave,
    StopRun,
)
from sassafrasgrade.works import RunState, WorkTables, step_row_of

# Hosts that a pool keeps even when it is idle.
LEAST_HOSTS = 1
# Part of a pool's cores that its demand may fill before it gets another host.
FULL_PART = 0.85
# Time that a host runs nothing before it goes to the standby pool, in seconds.
IDLE_S = 1.5
# Time after a move in which a host is not moved again, in seconds.
SETTLE_S = 1.0
# Slack on the time that an upkeep takes, in seconds: the platform's start and
# the answer of the order are apart.
UPKEEP_SLACK_S = 0.4
# Orders on hosts in one plan, ten plans a second: the platform takes 64 orders
# a second from all nodes.
MOST_ORDERS = 6
# Part of a wave's time in which only idle hosts are taken.
PATIENT_PART = 0.45
# Age of a worker's answer up to which its runs count as at work, in seconds:
# above the longest hold and below the time after which absence counts.
FRESH_S = 2.5
# Time within which a host that is away counts for its pool, in seconds: less
# than a move takes.
SOON_S = 1.0
# Pause between storings of a wave's progress, in seconds.
STORE_PAUSE_S = 1.0
# Pause before an order that was refused is repeated, in seconds.
REFUSED_PAUSE_S = 0.5


@dataclass(slots=True)
class PoolNeed:
    """What a pool has and needs.

    Attributes:
        hosts: Hosts that are in it or on their way.
        wanted: Hosts that its demand needs.
    """

    hosts: list[HostRow] = field(default_factory=list)
    wanted: int = LEAST_HOSTS


def plan_hosts(tables: WorkTables, fleet: FleetHosts, settings, now):
    """Returns the orders of one tick.

    Args:
        tables: Jobs and workers; workers of chosen hosts become reserved.
        fleet: Hosts and waves.
        settings: ``NodeSettings`` with the bounds of the platform.
        now: Present clock in seconds.
    """
    if not fleet.listed_at:
        return []
    _note_idle(tables, fleet, now)
    _lift_reservations(tables, fleet, now)
    commands = evacuate_draining(tables)
    commands += _plan_waves(tables, fleet, settings, now)
    commands += _plan_moves(tables, fleet, settings, now)
    return commands


def worker_of(tables, host):
    """Returns the worker that a host runs, or None."""
    return tables.workers_by_id.get(host.worker_id) if host.worker_id else None


def attach_workers(tables, fleet):
    """Notes which worker each host runs, from the workers' own words."""
    for worker in tables.workers_by_id.values():
        host = fleet.hosts_by_name.get(worker.host)
        if host is not None and host.pool == worker.pool and not worker.missing_since:
            host.worker_id = worker.worker_id
            host.arrives_at = 0.0


def _note_idle(tables, fleet, now):
    attach_workers(tables, fleet)
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is None or worker.runs_by_key or not worker.is_fenced:
            host.idle_since = 0.0
        elif not host.idle_since:
            host.idle_since = now


def _lift_reservations(tables, fleet, now):
    """Reservations last one tick, unless an order on the host is under way."""
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is not None and host.busy_until <= now:
            worker.is_reserved = False


def evacuate_draining(tables):
    """Moves lasting tasks off workers that leave soon."""
    return [
        StopRun(run, "worker drains")
        for worker in tables.workers_by_id.values()
        if worker.is_draining
        for run in worker.runs_by_key.values()
        if run.state is RunState.RUNNING and run.task.step.is_perpetual
    ]


def _is_free(tables, host, now):
    """Whether an order on a host would end nothing."""
    if host.busy_until > now or host.state != STATE_UP:
        return False
    worker = worker_of(tables, host)
    if worker is None:
        return _is_standby(tables, host)
    return (
        worker.is_fenced
        and not worker.runs_by_key
        and not worker.silent_since
        and not worker.is_draining
    )


def _is_standby(tables, host):
    pool = tables.pools_by_name.get(host.pool)
    return pool is not None and pool.is_standby


# Waves.


def _plan_waves(tables, fleet, settings, now):
    commands = []
    for number in sorted(fleet.waves_by_number):
        row = fleet.waves_by_number[number]
        if not row.is_reported:
            commands += _plan_wave(tables, fleet, row, settings, now)
    return commands


def _plan_wave(tables, fleet, row: WaveRow, settings, now):
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
    if len(row.done) > row.stored_done and now - row.stored_at > STORE_PAUSE_S:
        row.stored_at = now
        commands.append(ReportWave(row.wave.number, False))
    hosts = [fleet.hosts_by_name[n] for n in row.left if n in fleet.hosts_by_name]
    hosts.sort(key=lambda host: _wave_rank(tables, host))
    for host in hosts:
        if slots <= 0 or len(commands) >= MOST_ORDERS:
            break
        if _is_free(tables, host, now):
            commands.append(_maintain(tables, host, row, settings, now))
            slots -= 1
    if slots > 0 and _is_urgent(row, settings, now):
        commands += _evacuate(tables, hosts, slots, now)
    return commands


def _hosts_down(fleet, row, now):
    """Returns hosts of a wave that are down, by own orders or by the list.

    The list also shows what the leader before ordered.
    """
    down = {name for name, until in row.down_until_by_host.items() if until > now}
    for name in row.wave.hosts:
        host = fleet.hosts_by_name.get(name)
        if host is not None and host.state == STATE_UPKEEP:
            down.add(name)
    return down


def _wave_rank(tables, host):
    worker = worker_of(tables, host)
    runs = len(worker.runs_by_key) if worker is not None else 0
    return (not _is_standby(tables, host), runs, host.rack, host.name)


def _maintain(tables, host, row, settings, now):
    away_s = settings.bounds_upkeep_s + UPKEEP_SLACK_S
    host.busy_until = now + away_s
    row.down_until_by_host[host.name] = now + away_s
    worker = worker_of(tables, host)
    if worker is not None:
        worker.is_reserved = True
    return MaintainHost(host.name, row.wave.number)


def _is_urgent(row, settings, now):
    """Whether the wave can no longer wait for hosts to become idle."""
    spent = now - row.seen_at
    return spent > row.wave.duration_s * PATIENT_PART


def _evacuate(tables, hosts, slots, now):
    """Empties hosts of the wave: nothing new, and lasting tasks move away."""
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
        evacuate_worker(tables, worker, commands, now)
    return commands


def evacuate_worker(tables, worker, commands, now):
    """Adds stops of lasting tasks on a worker that their budgets allow."""
    for run in list(worker.runs_by_key.values()):
        if not run.task.step.is_perpetual or not _is_at_work(tables, run, now):
            continue
        if may_stop(tables, run.task, commands, now) and _has_room_elsewhere(
            tables, worker, run.task, now
        ):
            commands.append(StopRun(run, "host is to be maintained"))


def _has_room_elsewhere(tables, worker, task, now):
    """Whether a task that is stopped on a worker could start on another."""
    rooms = [
        room_of(other)
        for other in tables.workers_by_id.values()
        if other.pool == worker.pool and is_usable(other, now)
    ]
    return choose_room(task, rooms) is not None


def may_stop(tables, task, planned, now):
    """Whether a lasting task may be stopped within its step's budget.

    Args:
        tables: The tables.
        task: The task.
        planned: Stops decided in the same tick.
        now: Present clock in seconds.
    """
    stopped = {id(command.run.task) for command in planned}
    away = 0
    for other in step_row_of(task).tasks:
        if other is task:
            continue
        at_work = any(
            _is_at_work(tables, run, now) for run in other.runs_by_number.values()
        )
        if not at_work or id(other) in stopped:
            away += 1
    return away < max(1, task.step.may_miss)


def _is_at_work(tables, run, now):
    """Whether a run was seen at work lately, on a worker that answers."""
    worker = tables.workers_by_id.get(run.worker_id)
    return (
        worker is not None
        and not worker.silent_since
        and now - worker.last_answer_at < FRESH_S
        and run.state is RunState.RUNNING
        and run.percent >= AT_WORK_PERCENT
    )


# Moves.


def _plan_moves(tables, fleet, settings, now):
    standby = [pool for pool in tables.pools_by_name.values() if pool.is_standby]
    if not standby or not tables.has_seen_work:
        # Without any demand yet, hosts stay where the operators put them.
        return []
    needs = measure_needs(tables, fleet, now)
    commands = []
    free = _free_by_pool(tables, fleet, now)
    short = {name for name, need in needs.items() if len(need.hosts) < need.wanted}
    while short and len(commands) < MOST_ORDERS:
        # One host at a time to the pool that has the least part of its need.
        name = min(short, key=lambda n: (len(needs[n].hosts) / needs[n].wanted, n))
        need = needs[name]
        host = _take_host(free, needs, name, standby[0].name, tables, now)
        if host is None:
            short.discard(name)
            continue
        commands.append(_move(tables, host, name, settings, now, "backlog"))
        need.hosts.append(host)
        if len(need.hosts) >= need.wanted:
            short.discard(name)
    for name, need in needs.items():
        for host in free.get(name, []):
            if len(need.hosts) <= need.wanted:
                break
            if len(commands) >= MOST_ORDERS:
                break
            is_idle = host.idle_since and now - host.idle_since >= IDLE_S
            if is_idle and host in need.hosts:
                need.hosts.remove(host)
                commands.append(
                    _move(tables, host, standby[0].name, settings, now, "idle")
                )
    return commands


def _free_by_pool(tables, fleet, now):
    """Returns free hosts by pool, those with the longest idle time first."""
    free = {}
    for host in fleet.hosts_by_name.values():
        if _is_free(tables, host, now):
            free.setdefault(host.pool, []).append(host)
    for hosts in free.values():
        hosts.sort(key=lambda host: (host.idle_since, host.name))
    return free


def _take_host(free, needs, taker, standby_name, tables, now):
    """Chooses a host for a pool: a standby one, or one that is over elsewhere."""
    kinds = _kinds_of(needs[taker].hosts)
    for host in free.get(standby_name, []):
        if not kinds or _kind(host) in kinds:
            free[standby_name].remove(host)
            return host
    givers = [
        name
        for name, need in needs.items()
        if name != taker and len(need.hosts) > need.wanted and free.get(name)
    ]
    givers.sort(key=lambda name: needs[name].wanted - len(needs[name].hosts))
    for name in givers:
        for host in free[name]:
            if host in needs[name].hosts and (not kinds or _kind(host) in kinds):
                free[name].remove(host)
                needs[name].hosts.remove(host)
                return host
    return None


def _kind(host):
    return host.labels[0] if host.labels else ""


def _kinds_of(hosts):
    return {_kind(host) for host in hosts}


def _move(tables, host, pool, settings, now, reason):
    is_standby = tables.pools_by_name[pool].is_standby
    settle_s = 0.0 if is_standby else SETTLE_S
    host.busy_until = now + settings.bounds_move_s + settle_s
    host.arrives_at = now + settings.bounds_move_s
    worker = worker_of(tables, host)
    if worker is not None:
        worker.is_reserved = True
    host.idle_since = 0.0
    return MoveHost(host.name, pool, reason)


def describe_pools(tables, fleet, now):
    """Returns notes on pools where jobs wait, for the log."""
    waiting = {}
    for job in tables.open_jobs_by_id.values():
        if not job.has_started:
            pool = tables.pool_of(job)
            waiting[pool] = waiting.get(pool, 0) + 1
    if not waiting:
        return []
    needs = measure_needs(tables, fleet, now)
    return [
        Note(
            "pool",
            {
                "pool": name,
                "waiting_jobs": waiting[name],
                "hosts": len(need.hosts),
                "wanted": need.wanted,
                "list_age_s": round(now - fleet.listed_at, 2),
            },
        )
        for name, need in needs.items()
        if name in waiting
    ]


def measure_needs(tables, fleet, now):
    """Returns what each pool that runs work has and needs, by pool name."""
    needs = {
        name: PoolNeed()
        for name, pool in tables.pools_by_name.items()
        if not pool.is_standby
    }
    capacities = {}
    for host in fleet.hosts_by_name.values():
        need = needs.get(host.pool)
        if need is None:
            continue
        worker = worker_of(tables, host)
        is_coming = host.arrives_at > now or now < host.busy_until < now + SOON_S
        is_up = worker is None and host.state == STATE_UP and not host.idle_since
        if is_coming or is_up or (worker is not None and _counts(worker)):
            need.hosts.append(host)
        capacities[host.pool] = host.capacity
    demands = demand_by_pool(tables, now)
    spreads = spread_by_pool(tables)
    for name, need in needs.items():
        capacity = capacities.get(name)
        if capacity is not None:
            need.wanted = hosts_for(demands.get(name, (0, 0)), capacity)
            need.wanted = max(need.wanted, spreads.get(name, 0))
    return needs


def spread_by_pool(tables):
    """Returns the hosts that limits per worker ask for, by pool."""
    spreads = {}
    for job in tables.open_jobs_by_id.values():
        pool = tables.pool_of(job)
        for step in job.request.steps:
            if step.most_per_worker and step.is_perpetual:
                hosts = math.ceil(step.count / step.most_per_worker)
                spreads[pool] = max(spreads.get(pool, 0), hosts)
    return spreads


def _counts(worker):
    return not (
        worker.is_draining
        or worker.is_reserved
        or worker.missing_since
        or worker.silent_since
    )


def hosts_for(demand, capacity):
    """Returns how many hosts a demand of (thousandths of a core, MB) needs."""
    cpu = demand[0] / max(1, capacity.cpu_millis)
    memory = demand[1] / max(1, capacity.memory_mb)
    return max(LEAST_HOSTS, math.ceil(max(cpu, memory) / FULL_PART))


def demand_by_pool(tables, now):
    """Sums what running and startable tasks ask for, by pool."""
    demands = {}
    for worker in tables.workers_by_id.values():
        for run in worker.runs_by_key.values():
            _add_demand(demands, worker.pool, run.task.step, 1)
    for job in tables.open_jobs_by_id.values():
        pool = tables.pool_of(job)
        for occurrence in job.occurrences.values():
            for row in occurrence.steps:
                if row.left and not any(
                    occurrence.steps[n].left for n in row.step.after
                ):
                    count = sum(
                        1
                        for task in row.tasks
                        if not task.is_done and not task.runs_by_number
                    )
                    _add_demand(demands, pool, row.step, count)
    return demands


def _add_demand(demands, pool, step, count):
    cpu, memory = demands.get(pool, (0, 0))
    if not step.is_filler:
        cpu += count * step.cpu_millis
    demands[pool] = (cpu, memory + count * step.memory_mb)
