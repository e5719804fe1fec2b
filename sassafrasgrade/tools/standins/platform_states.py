"""In-memory state of the platform stand-in."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
from tornado.ioloop import IOLoop

from sassafrasgrade.tables import HostState

REBOOT_DURATION_S = 2.0


@dataclass(frozen=True)
class StoredValue:
    """A value with its revision and the lease that it is bound to."""

    value: bytes
    revision: int
    lease: str = ""


class FaultPlan(msgspec.Struct):
    """Faults that tests inject.

    Attributes:
        is_down: Whether calls fail with 503.
        delay_s: Delay before every answer.
        lose_write_answers: Number of writes still to apply without an answer.
        lose_answers_for_key: Prefix of the keys whose writes lose answers.
        hosts_lag_s: Seconds until the host list shows a change.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_write_answers: int = 0
    lose_answers_for_key: str = ""
    hosts_lag_s: float = 0.0


class PlatformState:
    """Values, leases, hosts, call counts and faults."""

    def __init__(self):
        self.values_by_key = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.lease_ends = {}
        self.next_lease = 1
        self.calls = Counter()
        self.faults = FaultPlan()
        self.hosts_by_name = {}
        self.hosts_version = 0
        self.published_hosts = {}
        self.published_version_by_data_centre = {}
        self.pending_host_lists = []
        self.rebooting = set()
        self.tasks = None
        self.reboot_s = REBOOT_DURATION_S

    def write(self, key, value, expected, lease):
        """Stores a value; returns the new revision or None on a conflict."""
        existing = self.values_by_key.get(key)
        if expected is not None and expected != (existing.revision if existing else 0):
            return None
        self.revision += 1
        self.values_by_key[key] = StoredValue(value, self.revision, lease)
        return self.revision

    def delete(self, key, expected):
        """Deletes a value; returns False on a conflict."""
        existing = self.values_by_key.get(key)
        if expected is not None and expected != (existing.revision if existing else 0):
            return False
        self.revision += 1
        self.values_by_key.pop(key, None)
        return True

    def grant_lease(self, ttl_s):
        """Grants a lease and returns its id."""
        lease = f"lease-{self.next_lease}"
        self.next_lease += 1
        self.lease_ends[lease] = (time.monotonic() + ttl_s, ttl_s)
        return lease

    def renew_lease(self, lease):
        """Renews a lease; returns False if it has expired."""
        found = self.lease_ends.get(lease)
        if found is None or found[0] < time.monotonic():
            return False
        self.lease_ends[lease] = (time.monotonic() + found[1], found[1])
        return True

    def expire_leases(self):
        """Deletes the values of expired leases; returns whether it deleted any."""
        now = time.monotonic()
        expired = {lease for lease, (end, _) in self.lease_ends.items() if end < now}
        for lease in expired:
            del self.lease_ends[lease]
        keys = [k for k, v in self.values_by_key.items() if v.lease in expired]
        for key in keys:
            self.delete(key, None)
        return bool(keys)

    def put_hosts(self, hosts):
        """Adds or changes hosts; the list shows them after the lag."""
        for host in hosts:
            self.hosts_by_name[host.name] = host
        self._schedule_publication()

    def reboot(self, host, release):
        """Simulates a reboot: the host leaves, and returns with a release."""
        if host.name in self.rebooting:
            return
        self.rebooting.add(host.name)
        self.put_hosts([replace(host, state=HostState.LEAVING)])
        rebooted = replace(host, state=HostState.LIVE, release=release)
        IOLoop.current().call_later(self.reboot_s, self._finish_reboot, rebooted)

    def _finish_reboot(self, host):
        self.rebooting.discard(host.name)
        self.put_hosts([host])

    def remove_hosts(self, names):
        """Removes hosts; the list shows it after the lag."""
        for name in names:
            self.hosts_by_name.pop(name, None)
        self._schedule_publication()

    def _schedule_publication(self):
        due = time.monotonic() + self.faults.hosts_lag_s
        self.pending_host_lists.append((due, dict(self.hosts_by_name)))

    def publish_hosts(self):
        """Publishes the pending host lists whose lag has passed."""
        now = time.monotonic()
        while self.pending_host_lists and self.pending_host_lists[0][0] <= now:
            _, hosts = self.pending_host_lists.pop(0)
            self.hosts_version += 1
            centres = {
                h.data_centre for h in [*hosts.values(), *self.published_hosts.values()]
            }
            for centre in centres:
                if _hosts_in(hosts, centre) != _hosts_in(self.published_hosts, centre):
                    self.published_version_by_data_centre[centre] = self.hosts_version
            self.published_hosts = hosts

    def hosts_of(self, data_centre):
        """Returns (version, hosts) of a data centre as published now."""
        self.publish_hosts()
        version = self.published_version_by_data_centre.get(data_centre, 0)
        return version, list(_hosts_in(self.published_hosts, data_centre).values())


def _hosts_in(hosts, data_centre):
    return {n: h for n, h in hosts.items() if h.data_centre == data_centre}
