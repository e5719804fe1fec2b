"""State of a host for the planner: its worker, and whether it is in use."""

from sassafrasgrade.fleet_hosts import STATE_UP
from sassafrasgrade.systems.run_updates import AT_WORK_PERCENT
from sassafrasgrade.work_tables import RunState

# Maximum age of a worker's last answer for its runs to count as at work, in
# seconds: above the longest long poll, and below the length of an absence after
# which a task counts as away (``bounds_notice_ms``).
MAX_ANSWER_AGE_S = 2.5
# Interval between two plans, in seconds.
PLAN_INTERVAL_S = 0.1
# Share of the rate of orders accepted by the platform that plans use; the rest covers
# plans that follow each other faster.
ORDER_RATE_SHARE = 0.95


def max_orders_per_plan(settings):
    """Returns how many host orders one plan may contain."""
    orders = settings.cloud_orders_per_s * PLAN_INTERVAL_S * ORDER_RATE_SHARE
    return max(1, int(orders))


def worker_of(tables, host):
    """Returns the worker that runs on a host, or None."""
    return tables.workers_by_id.get(host.worker_id) if host.worker_id else None


def attach_workers(tables, fleet):
    """Sets the worker of each host from the host names that workers report.

    Workers that have not answered are left out: anyone may have registered them.
    """
    for worker in tables.workers_by_id.values():
        host = fleet.hosts_by_name.get(worker.host)
        if host is None or host.pool != worker.pool or not worker.has_seen_token:
            continue
        if not worker.missing_since:
            host.worker_id = worker.worker_id
            host.arrives_at = 0.0


def record_idle_since(tables, fleet, now):
    """Records for each host since when its worker has had no runs."""
    attach_workers(tables, fleet)
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is None or worker.has_runs or not worker.has_seen_token:
            host.idle_since = 0.0
        elif not host.idle_since:
            host.idle_since = now


def clear_reservations(tables, fleet, now):
    """Clears reservations from the last tick, unless an order is in progress."""
    for host in fleet.hosts_by_name.values():
        worker = worker_of(tables, host)
        if worker is not None and host.busy_until <= now:
            worker.is_reserved = False


def is_free(tables, fleet, host, now):
    """Whether an order on a host is allowed now and would interrupt no run."""
    if host.busy_until > now or host.state != STATE_UP:
        return False
    if fleet.orders_after_by_host.get(host.name, 0.0) > now:
        return False
    worker = worker_of(tables, host)
    if worker is None:
        return is_standby(tables, host)
    return (
        worker.has_seen_token
        and not worker.has_runs
        and not worker.unresponsive_since
        and not worker.is_draining
    )


def is_standby(tables, host):
    """Whether a host is in a standby pool."""
    pool = tables.pools_by_name.get(host.pool)
    return pool is not None and pool.is_standby


def is_at_work(tables, run, now):
    """Whether a run was recently reported at work by a responsive worker."""
    worker = tables.workers_by_id.get(run.worker_id)
    return (
        worker is not None
        and not worker.unresponsive_since
        and now - worker.last_answer_at < MAX_ANSWER_AGE_S
        and run.state is RunState.RUNNING
        and run.percent >= AT_WORK_PERCENT
    )
