"""Host failures, the freeze when many hosts go missing, and moves between pools."""

from collections import Counter

from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.systems.budgets import select_within_budget
from sassafrasgrade.systems.maintenance import is_live

# A host that is missing for this long counts as failed.
FAIL_AFTER_S = 5.0
# Drains and moves are frozen for this long if more hosts are missing at once than
# the budget allows; hosts that are still missing after that count as failed.
FREEZE_S = 30.0
# A host that has been failed for this long is replaced from the spare pool.
REPLACE_AFTER_S = 600.0


def missing_names(view):
    """Returns the serving hosts that the platform does not list as live."""
    return [
        record.name
        for record in view.membership.records_by_name.values()
        if record.phase is HostPhase.SERVING and not is_live(view, record.name)
    ]


def largest_domain(view):
    """Returns the number of hosts in the largest known failure domain."""
    racks = Counter(view.racks_by_name.values())
    return max(racks.values(), default=0)


def frozen_pools(view):
    """Returns the pools with so many missing hosts that the host list is in doubt.

    A pool is frozen if more of its hosts went missing at once than its budget
    allows. All pools are frozen if more hosts went missing in the data centre
    than its largest failure domain has.
    """
    fresh = [
        name
        for name in missing_names(view)
        if view.now - view.missing_since.get(name, view.now) < FREEZE_S
    ]
    if len(fresh) > max(1, largest_domain(view)):
        return set(view.pools_by_name)
    missing = Counter(view.membership.records_by_name[name].pool for name in fresh)
    return {
        pool
        for pool, count in missing.items()
        if pool in view.pools_by_name
        and count > max(1, view.pools_by_name[pool].out_at_most)
    }


def newly_failed(view, frozen):
    """Returns the serving hosts that count as failed now."""
    return [
        name
        for name in missing_names(view)
        if view.membership.records_by_name[name].pool not in frozen
        and view.now - view.missing_since.get(name, view.now) >= FAIL_AFTER_S
    ]


def configured_pools(view):
    """Returns the configured pool by host name for this data centre."""
    return {
        name: pool.name
        for pool in view.pools_by_name.values()
        for name in pool.hosts_by_data_centre.get(view.data_centre, ())
    }


def choose_replacements(view):
    """Chooses spare hosts to move into pools with long-failed hosts.

    Returns:
        (spare host, failed host) pairs; the two swap pools, so that every pool
        keeps its size and the failed host returns into the spare pool.
    """
    pairs = []
    chosen = set()
    busy = {
        record.target
        for record in view.membership.records_by_name.values()
        if record.phase is HostPhase.MOVING
    }
    for pool in view.pools_by_name.values():
        spare = view.pools_by_name.get(pool.spare_pool)
        if spare is None or pool.name in busy:
            continue
        failed = [
            record.name
            for record in view.membership.of_pool(pool.name)
            if record.phase is HostPhase.FAILED
            and view.now - record.since >= REPLACE_AFTER_S
        ]
        spares = sorted(
            record.name
            for record in view.membership.of_pool(spare.name)
            if record.phase is HostPhase.SERVING
            and is_live(view, record.name)
            and record.name not in chosen
        )
        reserved = view.budget_use(spare.name).planned_in(view.data_centre)
        selected = [name for name in spares if name in reserved][: len(failed[:1])]
        if not selected:
            selected = select_within_budget(view, spare, spares, len(failed[:1]))
        chosen.update(selected)
        pairs.extend(zip(selected, sorted(failed)))
    return pairs


def choose_reconfigured(view):
    """Returns (host, new pool or "") for hosts reassigned in the pools table."""
    configured = configured_pools(view)
    changed = []
    for record in view.membership.records_by_name.values():
        wanted = configured.get(record.name, "")
        if wanted != record.configured:
            changed.append((record.name, wanted))
    return sorted(changed)
