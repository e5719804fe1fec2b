"""What the planner knows of a host: its worker, and whether it works."""

from sassafrasgrade.fleet_hosts import STATE_UP
from sassafrasgrade.systems.run_views import AT_WORK_PERCENT
from sassafrasgrade.works import RunState

# Age of a worker's answer up to which its runs count as at work, in seconds:
# above the longest hold and below the time after which absence counts.
FRESH_S = 2.5
# Orders on hosts in one plan, ten plans a second: the platform takes 64 orders
# a second from all nodes.
MOST_ORDERS = 6


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


def note_idle(tables, fleet, now):
    """Notes since when each host runs nothing."""
    attach_workers(tables, fleet)
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is None or worker.runs_by_key or not worker.is_fenced:
            host.idle_since = 0.0
        elif not host.idle_since:
            host.idle_since = now


def lift_reservations(tables, fleet, now):
    """Reservations last one tick, unless an order on the host is under way."""
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is not None and host.busy_until <= now:
            worker.is_reserved = False


def is_free(tables, host, now):
    """Whether an order on a host would end nothing."""
    if host.busy_until > now or host.state != STATE_UP:
        return False
    worker = worker_of(tables, host)
    if worker is None:
        return is_standby(tables, host)
    return (
        worker.is_fenced
        and not worker.runs_by_key
        and not worker.silent_since
        and not worker.is_draining
    )


def is_standby(tables, host):
    """Whether a host is in a pool that is switched off."""
    pool = tables.pools_by_name.get(host.pool)
    return pool is not None and pool.is_standby


def is_at_work(tables, run, now):
    """Whether a run was seen at work lately, on a worker that answers."""
    worker = tables.workers_by_id.get(run.worker_id)
    return (
        worker is not None
        and not worker.silent_since
        and now - worker.last_answer_at < FRESH_S
        and run.state is RunState.RUNNING
        and run.percent >= AT_WORK_PERCENT
    )
