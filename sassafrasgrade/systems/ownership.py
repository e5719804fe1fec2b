"""Assigns backend servers and their slots to entry hosts."""

import math

from sassafrasgrade.rendezvous import rank_names, score

# Maximum load of an entry host, relative to an even share of the pool.
LOAD_BOUND = 1.0


def assign_owners(host_names, entry_names):
    """Maps each host of one pool to its owner, with bounded loads.

    The result depends only on the two lists, so all processes with the same
    lists agree; adding or removing one entry host moves few servers.

    Args:
        host_names: Hosts of one pool in one data centre.
        entry_names: Live entry hosts of that data centre.

    Returns:
        Owner by host name.
    """
    if not entry_names:
        return {}
    names = sorted(entry_names)
    bound = math.ceil(len(host_names) * LOAD_BOUND / len(names))
    loads = dict.fromkeys(names, 0)
    owners = {}
    for host in sorted(host_names, key=lambda name: score(name, "order")):
        for name in rank_names(names, host):
            if loads[name] < bound:
                loads[name] += 1
                owners[host] = name
                break
    return owners


def assign_split(host_names, entry_names, own_name, slots):
    """Baseline: divides each server's slots evenly among the entry hosts.

    Returns:
        This entry host's slots by host name; remainders rotate among the entries.
    """
    names = sorted(entry_names)
    position = names.index(own_name)
    shares = {}
    for number, host in enumerate(sorted(host_names)):
        rotated = (position + number) % len(names)
        share = slots // len(names) + (1 if rotated < slots % len(names) else 0)
        if share:
            shares[host] = share
    return shares
