"""Protects decisions from a host list that shrinks suddenly."""

from collections import Counter

from sassafrasgrade.tables import HostList


def accept_hosts(current, offered, pools_by_name):
    """Merges a newer host list with the current one.

    Hosts missing from the newer list are dropped only if the pool's budget
    allows that many hosts to be out. If more are missing at once, the list is
    assumed to be truncated or lagging, and the missing hosts are kept.

    Args:
        current: ``HostList`` in use.
        offered: Newer ``HostList`` from the platform.
        pools_by_name: Pools in force.

    Returns:
        The list to use and the names of the missing hosts that were kept.
    """
    missing = current.hosts_by_name.keys() - offered.hosts_by_name.keys()
    if not missing:
        return offered, ()
    pool_by_host = {
        name: pool
        for pool in pools_by_name.values()
        for hosts in pool.hosts_by_data_centre.values()
        for name in hosts
    }
    missing_by_pool = Counter(
        pool_by_host[name].name for name in missing if name in pool_by_host
    )
    kept = tuple(
        sorted(
            name
            for name in missing
            if name in pool_by_host
            and missing_by_pool[pool_by_host[name].name]
            > max(1, pool_by_host[name].out_at_most)
        )
    )
    hosts = dict(offered.hosts_by_name)
    hosts.update({name: current.hosts_by_name[name] for name in kept})
    return HostList(offered.version, hosts), kept
