"""HTTP handlers of the platform stand-in."""

import asyncio
import json
from dataclasses import replace

import msgspec
from tornado.web import HTTPError, RequestHandler

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
from sassafrasgrade.tools.standins.platform_states import FaultPlan

MAX_VALUE_BYTES = 1_000_000


class PlatformHandler(RequestHandler):
    """Base of the platform's handlers: counts calls and injects faults."""

    def initialize(self, state):
        """Sets the state (called by tornado)."""
        self.state = state

    async def prepare(self):
        """Counts the call, then delays or fails it according to the fault plan."""
        kind = "read" if self.request.method == "GET" else "write"
        client = self.request.headers.get(CLIENT_HEADER, "")
        self.state.calls[f"{client}:{kind}"] += 1
        if self.state.faults.delay_s:
            await asyncio.sleep(self.state.faults.delay_s)
        if self.state.faults.is_down:
            raise HTTPError(503)

    def number(self, name):
        """Returns a query argument as an integer, or None if it is missing."""
        text = self.get_argument(name, None)
        return None if text is None else int(text)

    def drop_answer_if_planned(self, key):
        """Closes the connection if the fault plan drops the answer to this write."""
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
    """``/kv/<key>``: reads, compares and swaps, and deletes one value."""

    def get(self, key):
        """Answers the value and its revision, or 404."""
        stored = self.state.values_by_key.get(key)
        if stored is None:
            self.set_status(HTTP_NOT_FOUND)
            return
        self.set_header(REVISION_HEADER, str(stored.revision))
        self.write(stored.value)

    async def put(self, key):
        """Writes the value; answers 409 on a conflict, 410 for an unknown lease."""
        if len(self.request.body) > MAX_VALUE_BYTES:
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
        if not self.drop_answer_if_planned(key):
            self.set_header(REVISION_HEADER, str(revision))

    async def delete(self, key):
        """Deletes the value; answers 409 on a conflict."""
        if not self.state.delete(key, self.number("if_revision")):
            self.set_status(HTTP_CONFLICT)
            return
        async with self.state.changed:
            self.state.changed.notify_all()


class ValuesHandler(PlatformHandler):
    """``/kv?prefix=``: reads all values under a prefix."""

    def get(self):
        """Answers rows of (key, value, revision)."""
        prefix = self.get_argument("prefix")
        rows = [
            (key, stored.value, stored.revision)
            for key, stored in sorted(self.state.values_by_key.items())
            if key.startswith(prefix)
        ]
        self.write(msgspec.msgpack.encode(rows))


class WatchHandler(PlatformHandler):
    """``/watch/<key>?after=&wait_s=``: waits for a newer revision."""

    async def get(self, key):
        """Answers the newer value, or 204 after ``wait_s``."""
        after = self.number("after") or 0
        try:
            async with asyncio.timeout(float(self.get_argument("wait_s"))):
                async with self.state.changed:
                    await self.state.changed.wait_for(
                        lambda: self._is_wait_over(key, after)
                    )
        except TimeoutError:
            self.set_status(HTTP_NO_CONTENT)
            return
        if self.state.faults.is_down:
            raise HTTPError(503)
        stored = self.state.values_by_key[key]
        self.set_header(REVISION_HEADER, str(stored.revision))
        self.write(stored.value)

    def _is_wait_over(self, key, after):
        stored = self.state.values_by_key.get(key)
        return (
            stored is not None and stored.revision > after or self.state.faults.is_down
        )


class LeasesHandler(PlatformHandler):
    """``/leases``: creates a lease."""

    def post(self):
        """Answers the id of a new lease."""
        ttl_s = json.loads(self.request.body)["ttl_s"]
        self.write({"lease": self.state.grant_lease(ttl_s)})


class LeaseHandler(PlatformHandler):
    """``/leases/<id>``: renews a lease."""

    def post(self, lease):
        """Renews the lease; answers 410 if it has expired."""
        if not self.state.renew_lease(lease):
            self.set_status(HTTP_GONE)


class HostsHandler(PlatformHandler):
    """``/hosts?data_centre=&after=``: the host list, which lags behind changes."""

    def get(self):
        """Answers the list of a data centre, or 204 if there is no newer version."""
        version, hosts = self.state.hosts_of(self.get_argument("data_centre"))
        if version <= (self.number("after") or 0):
            self.set_status(HTTP_NO_CONTENT)
            return
        self.write(msgspec.json.encode(HostsAnswer(version, hosts)))


class HostCommandHandler(PlatformHandler):
    """``/hosts/<name>/<command>``: drain, undrain or reboot a host."""

    def post(self, name, command):
        """Executes the command."""
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
    """``/control/<what>``: for tests only; its calls aren't counted."""

    def initialize(self, state):
        """Sets the state (called by tornado)."""
        self.state = state

    def get(self, what):
        """Answers the call counts."""
        self.write({"calls": dict(self.state.calls)})

    async def post(self, what):
        """Sets the fault plan, or puts or removes hosts."""
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
