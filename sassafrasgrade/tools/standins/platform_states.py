"""What the platform stand-in holds, in memory."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
from tornado.ioloop import IOLoop

from sassafrasgrade.tables import HostState

REBOOT_S = 2.0


@dataclass(frozen=True)
class Stored:
    """A stored value."""

    value: bytes
    revision: int
    lease: str = ""


class FaultPlan(msgspec.Struct):
    """Faults that tests switch on; counts fall as they are used.

    Attributes:
        is_down: Whether calls fail with 503.
        delay_s: Added to every answer.
        lose_write_answers: Writes that take effect but whose answer is dropped.
        lose_answers_for_key: Only writes of keys with this prefix lose answers.
        hosts_lag_s: How late the host list shows changes.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_write_answers: int = 0
    lose_answers_for_key: str = ""
    hosts_lag_s: float = 0.0


class PlatformState:
    """Everything the stand-in holds, in memory."""

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
        self.published = {}
        self.published_versions = {}
        self.pending_lists = []
        self.rebooting = set()
        self.tasks = None
        self.reboot_s = REBOOT_S

    def write(self, key, value, expected, lease):
        """Stores a value; returns the new revision or None on a conflict."""
        held = self.values_by_key.get(key)
        if expected is not None and expected != (held.revision if held else 0):
            return None
        self.revision += 1
        self.values_by_key[key] = Stored(value, self.revision, lease)
        return self.revision

    def delete(self, key, expected):
        """Deletes a value; returns False on a conflict."""
        held = self.values_by_key.get(key)
        if expected is not None and expected != (held.revision if held else 0):
            return False
        self.revision += 1
        self.values_by_key.pop(key, None)
        return True

    def grant_lease(self, ttl_s):
        """Creates a lease and returns its id."""
        lease = f"lease-{self.next_lease}"
        self.next_lease += 1
        self.lease_ends[lease] = (time.monotonic() + ttl_s, ttl_s)
        return lease

    def keep_lease(self, lease):
        """Renews a lease; returns False if it lapsed."""
        found = self.lease_ends.get(lease)
        if found is None or found[0] < time.monotonic():
            return False
        self.lease_ends[lease] = (time.monotonic() + found[1], found[1])
        return True

    def expire_leases(self):
        """Deletes the values of lapsed leases; returns whether any was."""
        now = time.monotonic()
        lapsed = {lease for lease, (end, _) in self.lease_ends.items() if end < now}
        for lease in lapsed:
            del self.lease_ends[lease]
        keys = [k for k, v in self.values_by_key.items() if v.lease in lapsed]
        for key in keys:
            self.delete(key, None)
        return bool(keys)

    def put_hosts(self, hosts):
        """Changes hosts; the list shows it after the lag."""
        for host in hosts:
            self.hosts_by_name[host.name] = host
        self._note_hosts()

    def reboot(self, host, release):
        """Plays a reboot: the host leaves and comes back with a release."""
        if host.name in self.rebooting:
            return
        self.rebooting.add(host.name)
        self.put_hosts([replace(host, state=HostState.LEAVING)])
        back = replace(host, state=HostState.LIVE, release=release)
        IOLoop.current().call_later(self.reboot_s, self._come_back, back)

    def _come_back(self, host):
        self.rebooting.discard(host.name)
        self.put_hosts([host])

    def remove_hosts(self, names):
        """Removes hosts from the list, after the lag."""
        for name in names:
            self.hosts_by_name.pop(name, None)
        self._note_hosts()

    def _note_hosts(self):
        due = time.monotonic() + self.faults.hosts_lag_s
        self.pending_lists.append((due, dict(self.hosts_by_name)))

    def publish_hosts(self):
        """Publishes the host lists whose lag is over."""
        now = time.monotonic()
        while self.pending_lists and self.pending_lists[0][0] <= now:
            _, hosts = self.pending_lists.pop(0)
            self.hosts_version += 1
            centres = {
                h.data_centre for h in [*hosts.values(), *self.published.values()]
            }
            for centre in centres:
                if _of(hosts, centre) != _of(self.published, centre):
                    self.published_versions[centre] = self.hosts_version
            self.published = hosts

    def hosts_of(self, data_centre):
        """Returns (version, hosts) as the list shows them now."""
        self.publish_hosts()
        version = self.published_versions.get(data_centre, 0)
        return version, list(_of(self.published, data_centre).values())


def _of(hosts, data_centre):
    return {n: h for n, h in hosts.items() if h.data_centre == data_centre}
