"""Maintenance waves: which hosts to take out next and when a phase is complete."""

from collections import defaultdict

from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.systems.budgets import domain_of, select_within_budget
from sassafrasgrade.tables import HostState

DRAIN_MARGIN_S = 1.0
DRAIN_TIMEOUT_S = 120.0
# A host that is out or returning for longer than this counts as failed.
OUT_TIMEOUT_S = 900.0
# Minimum time between two restart orders for a host.
REBOOT_REPEAT_S = 60.0
# Maintenance skips a host for this long after its drain was abandoned.
SKIP_S = 600.0
MINUTES_PER_DAY = 24 * 60
S_PER_MINUTE = 60


def is_live(view, name):
    """Whether the platform lists a host as live."""
    host = view.hosts_by_name.get(name)
    return host is not None and host.state is HostState.LIVE


def in_window(window, now):
    """Whether ``now`` is in a maintenance window ``HH:MM-HH:MM`` in UTC."""
    if not window:
        return True
    start, end = (_minutes(part) for part in window.split("-"))
    minute = int(now // S_PER_MINUTE) % MINUTES_PER_DAY
    if start <= end:
        return start <= minute < end
    return minute >= start or minute < end


def _minutes(text):
    hours, minutes = text.split(":")
    return int(hours) * 60 + int(minutes)


def needs_release(view, record, pool):
    """Whether a serving host should be restarted with the pool's release."""
    if not pool.release or record.phase is not HostPhase.SERVING:
        return False
    if view.membership.skipped_until.get(record.name, 0) > view.now:
        return False
    host = view.hosts_by_name.get(record.name)
    return is_live(view, record.name) and host.release != pool.release


def choose_batch(view, pool, max_hosts=None):
    """Chooses the hosts of a pool to take out of service next.

    Whole failure domains are taken out first: the pool survives the loss of one
    anyway, and a completed domain does not have to be taken out again.

    Args:
        view: ``FleetView``.
        pool: The ``Pool``.
        max_hosts: Limit below that of the budget, for baselines.

    Returns:
        Names within the pool's budget; empty outside the maintenance window or
        while the pool's burn rate is too high.
    """
    if pool.name in view.burning_pools or not in_window(pool.window, view.now):
        return []
    names_by_domain = defaultdict(list)
    for record in view.membership.of_pool(pool.name):
        if needs_release(view, record, pool):
            names_by_domain[domain_of(view, record.name)].append(record.name)
    ordered = []
    # The domains with the fewest hosts left come first: they may fit in one batch.
    for _, names in sorted(names_by_domain.items(), key=lambda i: (len(i[1]), i[0])):
        ordered.extend(sorted(names))
    return select_within_budget(view, pool, ordered, max_hosts)


def is_drained(view, record):
    """Whether no entry host uses a draining or moving host any more.

    Every entry host that the platform lists in the data centre must have applied
    the version at which the phase began and must not report the host as busy.
    Leases that a lost owner granted elsewhere end within the longest deadline,
    so the phase lasts at least that long.
    """
    min_drain_s = view.deadlines_by_pool.get(record.pool, 0.0) + DRAIN_MARGIN_S
    if view.now - record.since < min_drain_s:
        return False
    for name in view.listed_entries:
        ack = view.acks_by_entry.get(name)
        if ack is None or ack.version < record.version:
            return False
        if record.name in ack.busy_hosts:
            return False
    return bool(view.listed_entries)


def is_stuck(view, record):
    """Whether a drain timed out and should be abandoned."""
    timeout_s = view.deadlines_by_pool.get(record.pool, 0.0) + DRAIN_TIMEOUT_S
    return view.now - record.since > timeout_s


def predict_rounds(remaining, out_at_most):
    """Returns the minimum number of rounds to complete a wave."""
    return -(-remaining // max(1, out_at_most))
