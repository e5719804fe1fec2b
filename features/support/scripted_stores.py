"""A store for tests of leadership: records the calls and answers at once."""

import asyncio

from returns.result import Failure, Success

from sassafrasgrade.errors import LeaseGone
from sassafrasgrade.member_records import LEADER_KEY, LeaderRecord, encode_record
from sassafrasgrade.platform.stores import Changes, Item

LEADER_REVISION = 5


class ScriptedStore:
    """Contains the leader's key of another node; watches report what a test adds.

    Attributes:
        events: Items that the next watch reports, one each.
        calls: Kinds of calls in order: ``grant``, ``keep`` for the renewal of a
            lease, ``lead`` for a commit that writes the leader's key.
        has_lapsed: Whether the lease has ended, so that renewals fail.
        leader_key_written: Set once a leader's key has been written.
        registered: Set once the node's own key has been written.
    """

    def __init__(self):
        self.calls = []
        self.has_lapsed = False
        self.events = asyncio.Queue()
        self.leader_key_written = asyncio.Event()
        self.registered = asyncio.Event()
        self._leases = 0

    async def read_range(self, prefix, on_progress=None):
        """Returns the leader's key of the other node."""
        record = LeaderRecord("other", "incarnation", "127.0.0.1:1", 1)
        item = Item(LEADER_KEY, encode_record(record), LEADER_REVISION)
        return Success(((item,), LEADER_REVISION))

    async def watch(self, prefix, after_revision, wait_s, on_progress=None):
        """Answers once a test has added an item."""
        item = await self.events.get()
        return Success(Changes((item,), item.revision, 0.0))

    async def grant_lease(self, ttl_s):
        """Grants a lease with the next number."""
        self._leases += 1
        self.has_lapsed = False
        self.calls.append("grant")
        return Success(self._leases)

    async def renew_lease(self, lease, timeout_s):
        """Renews the lease, unless it has lapsed."""
        self.calls.append("keep")
        if self.has_lapsed:
            return Failure(LeaseGone("the lease has ended", ""))
        return Success(None)

    async def end_lease(self, lease):
        """Ends a lease."""
        return Success(None)

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Accepts every commit."""
        if any(put.key == LEADER_KEY for put in puts):
            self.calls.append("lead")
            self.leader_key_written.set()
        else:
            self.registered.set()
        return Success(LEADER_REVISION + len(self.calls))
