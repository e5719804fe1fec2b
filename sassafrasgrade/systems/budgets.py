"""Availability budgets: how many hosts may be out of service, per pool and domain."""

from collections import Counter


def domain_of(view, name):
    """Returns the failure domain of a host, even if it is not listed now."""
    return view.racks_by_name.get(name, "")


def out_names(view, pool):
    """Returns the hosts of a pool that are out of service in this data centre."""
    budget_use = view.budget_use(pool)
    return budget_use.planned_in(view.data_centre) | budget_use.failed_in(
        view.data_centre
    )


def remaining_budget(view, pool):
    """Returns how many more hosts of a pool may be taken out of service now."""
    return max(0, pool.out_at_most - view.budget_use(pool.name).total())


def select_within_budget(view, pool, names, max_hosts=None):
    """Chooses the hosts that may be taken out of service now, in the order given.

    Args:
        view: ``FleetView``.
        pool: The ``Pool`` whose budget is used.
        names: Candidates in order of preference.
        max_hosts: Limit below that of the budget, if given.

    Returns:
        The names that fit the total budget and the budget per failure domain.
    """
    remaining = remaining_budget(view, pool)
    if max_hosts is not None:
        remaining = min(remaining, max_hosts)
    out_by_domain = Counter(
        domain_of(view, name) for name in out_names(view, pool.name)
    )
    chosen = []
    for name in names:
        domain = domain_of(view, name)
        if len(chosen) >= remaining:
            break
        if out_by_domain[domain] >= pool.out_at_most_per_domain:
            continue
        out_by_domain[domain] += 1
        chosen.append(name)
    return chosen


def buffer_needs(pools, racks_by_host):
    """Computes the spare hosts needed to survive the loss of the largest domain.

    Args:
        pools: Pools in force.
        racks_by_host: Failure domain by host name.

    Returns:
        (hosts needed by pool name, hosts needed if all pools share one spare
        pool: the most hosts, over all pools, that one domain holds).
    """
    needs = {}
    lost_by_domain = Counter()
    for pool in pools:
        counts = Counter(
            racks_by_host[name]
            for names in pool.hosts_by_data_centre.values()
            for name in names
            if name in racks_by_host
        )
        needs[pool.name] = max(counts.values(), default=0)
        lost_by_domain.update(counts)
    return needs, max(lost_by_domain.values(), default=0)
