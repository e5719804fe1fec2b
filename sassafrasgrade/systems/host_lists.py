"""Guards decisions against a host list that shrank suddenly."""

from collections import Counter

from sassafrasgrade.tables import HostList


def accept_hosts(held, offered, pools_by_name):
    """Merges an offered host list with the held one.

    A host missing from the offered list is dropped only while the pool's budget
    bears it; when more vanish at once, the list is taken to be cut or lagging
    and the missing hosts stay as they were.

    Args:
        held: ``HostList`` in use.
        offered: Newer ``HostList`` from the platform.
        pools_by_name: Pools in force.

    Returns:
        The list to use and the names of the hosts kept in spite of the offer.
    """
    missing = held.hosts_by_name.keys() - offered.hosts_by_name.keys()
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
    hosts.update({name: held.hosts_by_name[name] for name in kept})
    return HostList(offered.version, hosts), kept
