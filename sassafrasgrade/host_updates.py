"""Differences between host lists, as sent on streams."""

from sassafrasgrade.messages import HostsUpdate
from sassafrasgrade.tables import HostList


def compare_hosts(old, new):
    """Returns the ``HostsUpdate`` that turns one ``HostList`` into another."""
    changed = [
        host
        for name, host in new.hosts_by_name.items()
        if old.hosts_by_name.get(name) != host
    ]
    removed = sorted(old.hosts_by_name.keys() - new.hosts_by_name.keys())
    return HostsUpdate(new.version, old.version, changed, removed)


def apply_hosts_update(current, update):
    """Returns the new ``HostList``; None if it is not newer or has another base."""
    if update.version <= current.version:
        return None
    if update.base_version not in (0, current.version):
        return None
    hosts = {} if update.base_version == 0 else dict(current.hosts_by_name)
    hosts.update({host.name: host for host in update.changed})
    for name in update.removed:
        hosts.pop(name, None)
    return HostList(update.version, hosts)
