"""Moves hosts to pools with a backlog, and idle hosts to the standby pool.

Load pattern: demand peaks in one pool after another. Idle hosts go to the standby
pool, which costs nothing, and from there to the pool whose backlog grows.
"""

import math
from dataclasses import dataclass, field

from sassafrasgrade.fleet_hosts import STATE_UP, HostRow
from sassafrasgrade.systems.host_states import is_free, max_orders_per_plan, worker_of
from sassafrasgrade.work_commands import LogEvent, MoveHost
from sassafrasgrade.work_tables import Urgency, is_startable

# Hosts that stay in a pool even when it is idle.
MIN_HOSTS = 1
# Demand above this fraction of a pool's cores or memory calls for another host.
MAX_FILL_RATIO = 0.85
# Time for which a host must be idle before it goes to the standby pool, in seconds.
STANDBY_AFTER_IDLE_S = 0.8
# Time after a move, except to standby, before a host may move again, in seconds.
MIN_MOVE_INTERVAL_S = 1.0
# A host that is away counts for its pool if it returns within this time, in
# seconds; shorter than a move.
RETURN_WINDOW_S = 1.0


@dataclass(slots=True)
class PoolNeed:
    """Current and required hosts of a pool.

    Attributes:
        hosts: Hosts that are in the pool or arriving.
        urgent: Hosts needed for running tasks and jobs that can still be in time.
        wanted: Hosts needed for all its work, including late jobs.
    """

    hosts: list[HostRow] = field(default_factory=list)
    urgent: int = MIN_HOSTS
    wanted: int = MIN_HOSTS


def plan_moves(tables, fleet, settings, now):
    """Returns the moves of one tick; workers of moved hosts become reserved."""
    standby = [pool for pool in tables.pools_by_name.values() if pool.is_standby]
    if not standby or not tables.has_seen_work:
        # Before the first demand, hosts stay where the operators placed them.
        return []
    tables.work_seen_at = tables.work_seen_at or now
    needs = measure_needs(tables, fleet, now)
    free = _free_by_pool(tables, fleet, now)
    source = _HostSupply(tables, free, needs, standby[0].name)
    max_orders = max_orders_per_plan(settings)
    commands = _fill_short_pools(
        source, lambda need: need.urgent, settings, now, max_orders
    )
    _mark_yielding(tables, needs)
    commands += _fill_short_pools(
        source,
        lambda need: need.wanted,
        settings,
        now,
        max_orders - len(commands),
    )
    for name, need in needs.items():
        for host in free.get(name, []):
            if len(need.hosts) <= need.wanted:
                break
            if len(commands) >= max_orders:
                break
            if _is_long_idle(tables, host, now) and host in need.hosts:
                need.hosts.remove(host)
                commands.append(
                    _move(tables, host, standby[0].name, settings, now, "idle")
                )
    return commands


def _is_long_idle(tables, host, now):
    """Whether a host has had no run for long enough since the first demand.

    Load pattern: the first peak begins when all hosts have been idle since the
    start; those of its pool must not leave just then.
    """
    idle_since = max(host.idle_since, tables.work_seen_at)
    return host.idle_since > 0 and now - idle_since >= STANDBY_AFTER_IDLE_S


@dataclass(frozen=True, slots=True)
class _HostSupply:
    """Hosts that can be moved to pools with too few."""

    tables: object
    free: dict[str, list[HostRow]]
    needs: dict[str, PoolNeed]
    standby_name: str


def _fill_short_pools(source, wanted_of, settings, now, max_orders):
    """Moves hosts one by one to the pool with the smallest share of those it needs."""
    needs, commands = source.needs, []
    short = {name for name, need in needs.items() if len(need.hosts) < wanted_of(need)}
    while short and len(commands) < max_orders:
        name = min(short, key=lambda n: (len(needs[n].hosts) / wanted_of(needs[n]), n))
        host = _take_host(source, name, wanted_of)
        if host is None:
            short.discard(name)
            continue
        commands.append(_move(source.tables, host, name, settings, now, "backlog"))
        needs[name].hosts.append(host)
        if len(needs[name].hosts) >= wanted_of(needs[name]):
            short.discard(name)
    return commands


def _mark_yielding(tables, needs):
    """Marks surplus workers as yielding while a pool lacks hosts for urgent work.

    Yielding workers get no work of jobs that miss their objective, so that they
    become idle and can be moved.
    Load pattern: the peak of one pool leaves a backlog of late jobs while the
    peak of the next pool begins.
    """
    missing = sum(max(0, need.urgent - len(need.hosts)) for need in needs.values())
    for worker in tables.workers_by_id.values():
        worker.is_yielding = False
    for need in needs.values():
        spare = min(missing, len(need.hosts) - need.urgent)
        if spare <= 0:
            continue
        missing -= spare
        workers = [worker_of(tables, host) for host in need.hosts]
        workers = [worker for worker in workers if worker is not None]
        workers.sort(
            key=lambda worker: (_perpetual_run_count(worker), len(worker.runs_by_key))
        )
        for worker in workers[:spare]:
            worker.is_yielding = True


def _perpetual_run_count(worker):
    return sum(run.task.step.is_perpetual for run in worker.runs_by_key.values())


def _free_by_pool(tables, fleet, now):
    """Returns free hosts by pool, longest idle first."""
    free = {}
    for host in fleet.hosts_by_name.values():
        if is_free(tables, fleet, host, now):
            free.setdefault(host.pool, []).append(host)
    for hosts in free.values():
        hosts.sort(key=lambda host: (host.idle_since, host.name))
    return free


def _take_host(source, receiver, wanted_of):
    """Removes a host from the standby pool or from a pool's surplus; returns it."""
    free, needs = source.free, source.needs
    kinds = _kinds_of(needs[receiver].hosts)
    for host in free.get(source.standby_name, []):
        if not kinds or _kind(host) in kinds:
            free[source.standby_name].remove(host)
            return host
    donors = [
        name
        for name, need in needs.items()
        if name != receiver and len(need.hosts) > wanted_of(need) and free.get(name)
    ]
    donors.sort(key=lambda name: wanted_of(needs[name]) - len(needs[name].hosts))
    for name in donors:
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
    settle_s = 0.0 if is_standby else MIN_MOVE_INTERVAL_S
    host.busy_until = now + settings.bounds_move_s + settle_s
    host.arrives_at = now + settings.bounds_move_s
    worker = worker_of(tables, host)
    if worker is not None:
        worker.is_reserved = True
    host.idle_since = 0.0
    return MoveHost(host.name, pool, reason)


def describe_pools(tables, fleet, now):
    """Returns a ``LogEvent`` on each pool that has waiting jobs."""
    waiting = {}
    for job in tables.open_jobs_by_id.values():
        if not job.has_started:
            pool = tables.pool_of(job)
            waiting[pool] = waiting.get(pool, 0) + 1
    if not waiting:
        return []
    needs = measure_needs(tables, fleet, now)
    return [
        LogEvent(
            "pool",
            {
                "pool": name,
                "waiting_jobs": waiting[name],
                "hosts": len(need.hosts),
                "urgent": need.urgent,
                "wanted": need.wanted,
                "list_age_s": round(now - fleet.listed_at, 2),
            },
        )
        for name, need in needs.items()
        if name in waiting
    ]


def measure_needs(tables, fleet, now):
    """Returns a ``PoolNeed`` for each pool but the standby pools, by name."""
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
        is_coming = (
            host.arrives_at > now or now < host.busy_until < now + RETURN_WINDOW_S
        )
        is_up = worker is None and host.state == STATE_UP and not host.idle_since
        if is_coming or is_up or (worker is not None and _counts_for_pool(worker)):
            need.hosts.append(host)
        capacities[host.pool] = host.capacity
    urgent = demand_by_pool(tables, Urgency.IN_TIME)
    demands = demand_by_pool(tables, Urgency.LATE)
    spreads = spread_by_pool(tables)
    for name, need in needs.items():
        capacity = capacities.get(name)
        if capacity is not None:
            spread = spreads.get(name, 0)
            need.urgent = max(spread, hosts_for(urgent.get(name, (0, 0)), capacity))
            need.wanted = max(spread, hosts_for(demands.get(name, (0, 0)), capacity))
    return needs


def spread_by_pool(tables):
    """Returns the hosts that perpetual steps with a limit per worker need, by pool."""
    spreads = {}
    for job in tables.open_jobs_by_id.values():
        pool = tables.pool_of(job)
        for step in job.request.steps:
            if step.most_per_worker and step.is_perpetual:
                hosts = math.ceil(step.count / step.most_per_worker)
                spreads[pool] = max(spreads.get(pool, 0), hosts)
    return spreads


def _counts_for_pool(worker):
    return not (
        worker.is_draining
        or worker.is_reserved
        or worker.missing_since
        or worker.unresponsive_since
    )


def hosts_for(demand, capacity):
    """Returns how many hosts a demand of (thousandths of a core, MB) needs."""
    cpu = demand[0] / max(1, capacity.cpu_millis)
    memory = demand[1] / max(1, capacity.memory_mb)
    return max(MIN_HOSTS, math.ceil(max(cpu, memory) / MAX_FILL_RATIO))


def demand_by_pool(tables, lowest_urgency):
    """Returns (thousandths of a core, MB) of running and startable tasks, by pool.

    Args:
        tables: Jobs and workers.
        lowest_urgency: Least urgent ``Urgency`` whose waiting tasks count.
    """
    demands = {}
    for worker in tables.workers_by_id.values():
        for run in worker.runs_by_key.values():
            _add_demand(demands, worker.pool, run.task.step, 1)
    for job in tables.open_jobs_by_id.values():
        if job.urgency > lowest_urgency:
            continue
        pool = tables.pool_of(job)
        for occurrence in job.occurrences.values():
            for row in occurrence.steps:
                if is_startable(occurrence, row):
                    _add_demand(demands, pool, row.step, len(row.waiting))
    return demands


def _add_demand(demands, pool, step, count):
    cpu, memory = demands.get(pool, (0, 0))
    if not step.is_filler:
        cpu += count * step.cpu_millis
    demands[pool] = (cpu, memory + count * step.memory_mb)
