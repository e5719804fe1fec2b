"""Availability budgets: how many more hosts may be taken out, and of which domain."""

from collections import Counter


def domain_of(view, name):
    """Returns the failure domain of a host, also while it is not listed."""
    return view.racks_by_name.get(name, "")


def out_names(view, pool):
    """Returns the hosts of a pool that are out in this data centre."""
    use = view.use(pool)
    return use.planned_in(view.data_centre) | use.failed_in(view.data_centre)


def allowance(view, pool):
    """Returns how many more hosts of a pool may be taken out now."""
    return max(0, pool.out_at_most - view.use(pool.name).total())


def take_within_budget(view, pool, names, most=None):
    """Chooses the hosts that may be taken out now, in the order given.

    Args:
        view: ``FleetView``.
        pool: The ``Pool`` whose budget is used.
        names: Candidates, the preferred first.
        most: Fewer than the budget allows, if given.

    Returns:
        The names that fit the total budget and that of each failure domain.
    """
    left = allowance(view, pool)
    if most is not None:
        left = min(left, most)
    out_by_domain = Counter(
        domain_of(view, name) for name in out_names(view, pool.name)
    )
    taken = []
    for name in names:
        domain = domain_of(view, name)
        if len(taken) >= left:
            break
        if out_by_domain[domain] >= pool.out_at_most_per_domain:
            continue
        out_by_domain[domain] += 1
        taken.append(name)
    return taken


def buffer_needs(pools, racks_by_host):
    """Computes the buffer hosts that pools need to lose their largest domain.

    Args:
        pools: Pools in force.
        racks_by_host: Failure domain by host name.

    Returns:
        (hosts needed by pool name, hosts needed when shared through a spare
        pool: as many as the worst single domain takes from all pools).
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
