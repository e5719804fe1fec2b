"""HTTP handlers of the stand-in for the platform's store, with faults."""

import json

from tornado import gen
from tornado.locks import Condition
from tornado.web import Application, RequestHandler

from sassafrasgrade.platform import names
from sassafrasgrade.tools.standins.store_states import StoreState

EXPIRY_PERIOD_S = 0.1


class StoreServer:
    """The stand-in for the store: its state, its faults and its application.

    Args:
        timers: Timer service.

    Attributes:
        is_silent: Whether calls are held without effect or answer, and leases
            don't expire.
        refuse_status: HTTP status with which all calls are refused; 0 for none.
        delay_s: Delay before each call.
        lose_next: Number of commits still to apply without an answer.
        stalls_watches: Whether watches that wait are held without an answer.
        late_next: Number of commits still to apply ``late_s`` later, unanswered.
    """

    def __init__(self, timers):
        self.timers = timers
        self.state = StoreState()
        self.changed = Condition()
        self.is_silent = False
        self.refuse_status = 0
        self.delay_s = 0.0
        self.lose_next = 0
        self.late_next = 0
        self.stalls_watches = False
        self.late_s = 1.0
        self.calls = 0
        timers.subscribe(EXPIRY_PERIOD_S, self._expire)

    def application(self):
        """Returns the tornado application of the handlers."""
        fields = {"server": self}
        return Application(
            [
                (names.STORE_KEY_PATH, KeyHandler, fields),
                (names.STORE_RANGE_PATH, RangeHandler, fields),
                (names.STORE_WATCH_PATH, WatchHandler, fields),
                (names.STORE_COMMIT_PATH, CommitHandler, fields),
                (names.STORE_LEASE_PATH, LeaseHandler, fields),
                (names.STORE_KEEP_PATH + r"(\d+)", LeaseRenewalHandler, fields),
                (names.STORE_LEASE_END_PATH + r"(\d+)", LeaseEndHandler, fields),
            ]
        )

    def notify(self):
        """Wakes the waiting watch calls."""
        self.changed.notify_all()

    def _expire(self, now):
        if not self.is_silent and self.state.expire(now):
            self.notify()


class StoreHandler(RequestHandler):
    """Base of the handlers: injects faults before each call."""

    def initialize(self, server):
        """Sets the stand-in (called by tornado)."""
        self.server = server

    async def prepare(self):
        """Delays, refuses or holds the call, according to the faults."""
        self.server.calls += 1
        if self.server.delay_s:
            await gen.sleep(self.server.delay_s)
        while self.server.is_silent:
            await gen.sleep(EXPIRY_PERIOD_S)
            if self.request.connection.stream.closed():
                self._finished = True
                return
        if self.server.refuse_status:
            self.set_status(self.server.refuse_status)
            self.finish({"error": "refused by the stand-in"})

    def body(self):
        """Returns the decoded JSON body."""
        return json.loads(self.request.body or b"{}")


class KeyHandler(StoreHandler):
    """Reads one key."""

    def get(self):
        """Answers the item or 404."""
        item = self.server.state.items_by_key.get(self.get_argument("key"))
        if item is None:
            self.set_status(404)
            self.finish({"error": "no such key"})
        else:
            self.finish(item.as_row() | {"currentRev": self.server.state.revision})


class RangeHandler(StoreHandler):
    """Reads one page of the items under a prefix."""

    def get(self):
        """Answers the items, and whether more follow."""
        state = self.server.state
        rows, more = state.page(
            self.get_argument("prefix"), self.get_argument("after", "")
        )
        self.finish({"items": rows, "hasMore": more, "currentRev": state.revision})


class WatchHandler(StoreHandler):
    """Waits for changes under a prefix (a long poll)."""

    async def get(self):
        """Answers the events once there are any, none after ``waitMs``, or 410."""
        prefix = self.get_argument("prefix")
        after = int(self.get_argument("after"))
        wait_s = int(self.get_argument("waitMs")) / 1000
        deadline = self.server.timers.now() + wait_s
        while True:
            if wait_s and self.server.stalls_watches:
                await gen.sleep(EXPIRY_PERIOD_S)
                continue
            events = self.server.state.events_after(prefix, after)
            left_s = deadline - self.server.timers.now()
            if events is None:
                self.set_status(410)
                self.finish({"error": "compacted"})
                return
            if events or left_s <= 0:
                break
            try:
                await gen.with_timeout(
                    self.server.timers.to_timedelta(min(left_s, EXPIRY_PERIOD_S)),
                    self.server.changed.wait(),
                )
            except gen.TimeoutError:
                continue
        if not self.request.connection.stream.closed():
            state = self.server.state
            self.finish({"events": events, "currentRev": state.revision})


class CommitHandler(StoreHandler):
    """Applies a commit."""

    async def post(self):
        """Answers the new revision, or why the commit was rejected."""
        body = self.body()
        arguments = (
            body.get("expectedRev", []),
            body.get("writes", []),
            body.get("deletes", []),
        )
        server = self.server
        if server.late_next > 0:
            server.late_next -= 1
            await gen.sleep(server.late_s)
            server.state.commit(*arguments)
            server.notify()
            self.request.connection.stream.close()
            return
        status, answer = server.state.commit(*arguments)
        server.notify()
        if server.lose_next > 0:
            server.lose_next -= 1
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish(answer)


class LeaseHandler(StoreHandler):
    """Grants leases."""

    def post(self):
        """Answers the id of the lease."""
        ttl_s = self.body()["ttlMs"] / 1000
        lease = self.server.state.grant(ttl_s, self.server.timers.now())
        self.finish({"lease": lease, "ttlMs": int(ttl_s * 1000)})


class LeaseRenewalHandler(StoreHandler):
    """Renews leases."""

    def post(self, lease):
        """Answers 404 for a lease that has ended."""
        if not self.server.state.renew(int(lease), self.server.timers.now()):
            self.set_status(404)
        self.finish({"ttlMs": 0})


class LeaseEndHandler(StoreHandler):
    """Ends leases."""

    def delete(self, lease):
        """Answers 404 for a lease that has already ended."""
        if not self.server.state.end_lease(int(lease)):
            self.set_status(404)
        self.server.notify()
        self.finish({})
