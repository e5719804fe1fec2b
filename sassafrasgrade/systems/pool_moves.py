"""Moves hosts between pools: to a backlog, and to the standby pool when idle.

Load pattern: the pools' demand peaks by turns. Hosts that run nothing go to the
standby pool, which is free of charge, and from there to the pool whose backlog
grows.
"""

import math
from dataclasses import dataclass, field

from sassafrasgrade.fleet_hosts import STATE_UP, HostRow
from sassafrasgrade.systems.host_states import MOST_ORDERS, is_free, worker_of
from sassafrasgrade.work_commands import MoveHost, Note
from sassafrasgrade.works import Urgency

# Hosts that a pool keeps even when it is idle.
LEAST_HOSTS = 1
# Part of a pool's cores that its demand may fill before it gets another host.
FULL_PART = 0.85
# Time that a host runs nothing before it goes to the standby pool, in seconds.
IDLE_S = 0.8
# Time after a move in which a host is not moved again, in seconds.
SETTLE_S = 1.0
# Time within which a host that is away counts for its pool, in seconds: less
# than a move takes.
SOON_S = 1.0


@dataclass(slots=True)
class PoolNeed:
    """What a pool has and needs.

    Attributes:
        hosts: Hosts that are in it or on their way.
        urgent: Hosts that work which can be in time needs, with all that runs.
        wanted: Hosts that all its work needs, late or not.
    """

    hosts: list[HostRow] = field(default_factory=list)
    urgent: int = LEAST_HOSTS
    wanted: int = LEAST_HOSTS


def plan_moves(tables, fleet, settings, now):
    """Returns the moves of one tick; hosts that it takes become reserved."""
    standby = [pool for pool in tables.pools_by_name.values() if pool.is_standby]
    if not standby or not tables.has_seen_work:
        # Without any demand yet, hosts stay where the operators put them.
        return []
    needs = measure_needs(tables, fleet, now)
    free = _free_by_pool(tables, fleet, now)
    source = _Source(tables, free, needs, standby[0].name)
    commands = _fill(source, lambda need: need.urgent, settings, now)
    _choose_yielding(tables, needs)
    commands += _fill(
        source, lambda need: need.wanted, settings, now, MOST_ORDERS - len(commands)
    )
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


@dataclass(frozen=True, slots=True)
class _Source:
    """Where hosts for short pools come from."""

    tables: object
    free: dict[str, list[HostRow]]
    needs: dict[str, PoolNeed]
    standby_name: str


def _fill(source, wanted_of, settings, now, most=MOST_ORDERS):
    """Gives hosts to short pools, one at a time to the one with the least part."""
    needs, commands = source.needs, []
    short = {name for name, need in needs.items() if len(need.hosts) < wanted_of(need)}
    while short and len(commands) < most:
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


def _choose_yielding(tables, needs):
    """Keeps late work off hosts that a pool with urgent work lacks.

    Load pattern: the peak of one pool ends in a backlog of late jobs while the
    next pool's peak begins.
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
            key=lambda worker: (_lasting_runs(worker), len(worker.runs_by_key))
        )
        for worker in workers[:spare]:
            worker.is_yielding = True


def _lasting_runs(worker):
    return sum(run.task.step.is_perpetual for run in worker.runs_by_key.values())


def _free_by_pool(tables, fleet, now):
    """Returns free hosts by pool, those with the longest idle time first."""
    free = {}
    for host in fleet.hosts_by_name.values():
        if is_free(tables, host, now):
            free.setdefault(host.pool, []).append(host)
    for hosts in free.values():
        hosts.sort(key=lambda host: (host.idle_since, host.name))
    return free


def _take_host(source, taker, wanted_of):
    """Chooses a host for a pool: a standby one, or one that is over elsewhere."""
    free, needs = source.free, source.needs
    kinds = _kinds_of(needs[taker].hosts)
    for host in free.get(source.standby_name, []):
        if not kinds or _kind(host) in kinds:
            free[source.standby_name].remove(host)
            return host
    givers = [
        name
        for name, need in needs.items()
        if name != taker and len(need.hosts) > wanted_of(need) and free.get(name)
    ]
    givers.sort(key=lambda name: wanted_of(needs[name]) - len(needs[name].hosts))
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
                "urgent": need.urgent,
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


def demand_by_pool(tables, least_urgency):
    """Sums what running and startable tasks ask for, by pool.

    Args:
        tables: Jobs and workers.
        least_urgency: ``Urgency`` down to which tasks that wait count.
    """
    demands = {}
    for worker in tables.workers_by_id.values():
        for run in worker.runs_by_key.values():
            _add_demand(demands, worker.pool, run.task.step, 1)
    for job in tables.open_jobs_by_id.values():
        if job.urgency > least_urgency:
            continue
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
