"""Decides which entry host owns which backend servers, and how many slots."""

import math

from sassafrasgrade.rendezvous import rank_names, score

# An entry host owns at most this factor of the even share of a pool.
LOAD_BOUND = 1.0


def assign_owners(host_names, entry_names):
    """Maps each host of one pool to its owner, with bounded loads.

    Every process with the same lists finds the same owners; a change of one
    entry host moves few servers.

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
    """Baseline: every entry host gets an even part of each server's slots.

    Returns:
        This entry host's slots by host name; remainders turn from host to host.
    """
    names = sorted(entry_names)
    position = names.index(own_name)
    shares = {}
    for number, host in enumerate(sorted(host_names)):
        turned = (position + number) % len(names)
        share = slots // len(names) + (1 if turned < slots % len(names) else 0)
        if share:
            shares[host] = share
    return shares
