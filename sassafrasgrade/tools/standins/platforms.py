"""Stand-in for the platform: key-value service, leases, host list and tasks."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.web import Application, HTTPError, RequestHandler

from sassafrasgrade.platforms import (
    CLIENT_HEADER,
    HTTP_CONFLICT,
    HTTP_GONE,
    HTTP_NO_CONTENT,
    HTTP_NOT_FOUND,
    REVISION_HEADER,
    HostsAnswer,
)
from sassafrasgrade.tables import Host, HostState

LONGEST_VALUE_BYTES = 1_000_000
LEASE_TICK_MS = 100
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


class PlatformHandler(RequestHandler):
    """Base of the platform's handlers: counts calls and plays faults."""

    def initialize(self, state):
        """Called by tornado."""
        self.state = state

    async def prepare(self):
        """Counts the call, then delays or fails it as planned."""
        kind = "read" if self.request.method == "GET" else "write"
        client = self.request.headers.get(CLIENT_HEADER, "")
        self.state.calls[f"{client}:{kind}"] += 1
        if self.state.faults.delay_s:
            await asyncio.sleep(self.state.faults.delay_s)
        if self.state.faults.is_down:
            raise HTTPError(503)

    def number(self, name):
        """Returns an integer argument or None."""
        text = self.get_argument(name, None)
        return None if text is None else int(text)

    def lose_answer(self, key):
        """Drops the connection if the answer of this write is to be lost."""
        faults = self.state.faults
        if faults.lose_write_answers <= 0:
            return False
        if not key.startswith(faults.lose_answers_for_key):
            return False
        faults.lose_write_answers -= 1
        self.request.connection.detach().close()
        self._finished = True
        return True


class ValueHandler(PlatformHandler):
    """``/kv/<key>``: read, compare-and-swap and delete one value."""

    def get(self, key):
        """Reads a value."""
        held = self.state.values_by_key.get(key)
        if held is None:
            self.set_status(HTTP_NOT_FOUND)
            return
        self.set_header(REVISION_HEADER, str(held.revision))
        self.write(held.value)

    async def put(self, key):
        """Writes a value."""
        if len(self.request.body) > LONGEST_VALUE_BYTES:
            raise HTTPError(413)
        expected = self.number("if_revision")
        lease = self.get_argument("lease", "")
        if lease and lease not in self.state.lease_ends:
            self.set_status(HTTP_GONE)
            return
        revision = self.state.write(key, self.request.body, expected, lease)
        if revision is None:
            self.set_status(HTTP_CONFLICT)
            return
        async with self.state.changed:
            self.state.changed.notify_all()
        if not self.lose_answer(key):
            self.set_header(REVISION_HEADER, str(revision))

    async def delete(self, key):
        """Deletes a value."""
        if not self.state.delete(key, self.number("if_revision")):
            self.set_status(HTTP_CONFLICT)
            return
        async with self.state.changed:
            self.state.changed.notify_all()


class ValuesHandler(PlatformHandler):
    """``/kv?prefix=``: reads all values under a prefix."""

    def get(self):
        """Reads the values."""
        prefix = self.get_argument("prefix")
        rows = [
            (key, held.value, held.revision)
            for key, held in sorted(self.state.values_by_key.items())
            if key.startswith(prefix)
        ]
        self.write(msgspec.msgpack.encode(rows))


class WatchHandler(PlatformHandler):
    """``/watch/<key>?after=&wait_s=``: waits for a newer revision."""

    async def get(self, key):
        """Waits."""
        after = self.number("after") or 0
        try:
            async with asyncio.timeout(float(self.get_argument("wait_s"))):
                async with self.state.changed:
                    await self.state.changed.wait_for(lambda: self._found(key, after))
        except TimeoutError:
            self.set_status(HTTP_NO_CONTENT)
            return
        if self.state.faults.is_down:
            raise HTTPError(503)
        held = self.state.values_by_key[key]
        self.set_header(REVISION_HEADER, str(held.revision))
        self.write(held.value)

    def _found(self, key, after):
        held = self.state.values_by_key.get(key)
        return held is not None and held.revision > after or self.state.faults.is_down


class LeasesHandler(PlatformHandler):
    """``/leases``: creates a lease."""

    def post(self):
        """Creates a lease."""
        ttl_s = json.loads(self.request.body)["ttl_s"]
        self.write({"lease": self.state.grant_lease(ttl_s)})


class LeaseHandler(PlatformHandler):
    """``/leases/<id>``: renews a lease."""

    def post(self, lease):
        """Renews the lease."""
        if not self.state.keep_lease(lease):
            self.set_status(HTTP_GONE)


class HostsHandler(PlatformHandler):
    """``/hosts?data_centre=&after=``: the lagging host list."""

    def get(self):
        """Reads the list of one data centre."""
        version, hosts = self.state.hosts_of(self.get_argument("data_centre"))
        if version <= (self.number("after") or 0):
            self.set_status(HTTP_NO_CONTENT)
            return
        self.write(msgspec.json.encode(HostsAnswer(version, hosts)))


class HostCommandHandler(PlatformHandler):
    """``/hosts/<name>/<command>``: drain, undrain or reboot a host."""

    def post(self, name, command):
        """Carries out the command."""
        host = self.state.hosts_by_name.get(name)
        if host is None:
            raise HTTPError(HTTP_NOT_FOUND)
        if command == "drain":
            self.state.put_hosts([replace(host, state=HostState.LEAVING)])
        elif command == "undrain":
            self.state.put_hosts([replace(host, state=HostState.LIVE)])
        elif command == "reboot":
            release = json.loads(self.request.body).get("release", "")
            self.state.reboot(host, release)


class ControlHandler(RequestHandler):
    """``/control/<what>``: used by tests only, never counted."""

    def initialize(self, state):
        """Called by tornado."""
        self.state = state

    def get(self, what):
        """Reads the call counts."""
        self.write({"calls": dict(self.state.calls)})

    async def post(self, what):
        """Sets faults or hosts."""
        if what == "faults":
            self.state.faults = msgspec.json.decode(self.request.body, type=FaultPlan)
        elif what == "hosts":
            self.state.put_hosts(
                msgspec.json.decode(self.request.body, type=list[Host])
            )
        elif what == "remove":
            self.state.remove_hosts(json.loads(self.request.body))
        async with self.state.changed:
            self.state.changed.notify_all()


class PlatformStandIn:
    """Serves the platform's HTTP interface from memory.

    Args:
        address: IP address to listen on.
        port: TCP port.
    """

    def __init__(self, address, port):
        self.state = PlatformState()
        self._address = address
        self._port = port
        shared = {"state": self.state}
        self._server = HTTPServer(
            Application(
                [
                    (r"/kv", ValuesHandler, shared),
                    (r"/kv/(.+)", ValueHandler, shared),
                    (r"/watch/(.+)", WatchHandler, shared),
                    (r"/leases", LeasesHandler, shared),
                    (r"/leases/([^/]+)", LeaseHandler, shared),
                    (r"/hosts", HostsHandler, shared),
                    (r"/hosts/([^/]+)/([a-z]+)", HostCommandHandler, shared),
                    (r"/control/([a-z]+)", ControlHandler, shared),
                ]
            )
        )
        self._leases = PeriodicCallback(self._expire_leases, LEASE_TICK_MS)

    def start(self):
        """Starts to listen."""
        self._server.listen(self._port, self._address)
        self._leases.start()

    def stop(self):
        """Stops listening."""
        self._leases.stop()
        self._server.stop()

    async def _expire_leases(self):
        if self.state.expire_leases():
            async with self.state.changed:
                self.state.changed.notify_all()
