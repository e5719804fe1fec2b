"""A store in memory that checks conditions, for tests of leadership."""

import asyncio

from returns.result import Failure, Success

from sassafrasgrade.errors import LeaseGone, PlatformUnavailable, RevisionConflict
from sassafrasgrade.member_records import LEADER_KEY
from sassafrasgrade.platform.stores import Changes, Item


class MemoryStore:
    """Keeps items with their revisions; its watches report only what a test lets.

    Attributes:
        items_by_key: Present items.
        registered: Set once a node's own key has been written.
        ended_leases: Leases that were to be ended, also without an answer.
        unanswered_ends: How many calls that end a lease get no answer.
        lost_lease: Lease that has ended; 0 if none has.
        loses_leader_writes: Whether writes of the leader's key are lost.
    """

    def __init__(self):
        self.items_by_key = {}
        self.registered = asyncio.Event()
        self.revision = 0
        self.ended_leases = []
        self.unanswered_ends = 0
        self.lost_lease = 0
        self.loses_leader_writes = False
        self._is_reported = asyncio.Event()
        self._leases = 0

    def put_all(self, values_by_key):
        """Writes items in one commit, beside all conditions."""
        self.revision += 1
        for key, value in values_by_key.items():
            self.items_by_key[key] = Item(key, value, self.revision)

    def remove(self, key):
        """Removes an item, as the end of its lease does."""
        self.revision += 1
        self.items_by_key.pop(key, None)

    async def read_range(self, prefix, on_progress=None):
        """Returns all items."""
        return Success((tuple(self.items_by_key.values()), self.revision))

    async def read_key(self, key):
        """Returns one item, or None."""
        return Success(self.items_by_key.get(key))

    async def watch(self, prefix, after_revision, wait_s, on_progress=None):
        """Never answers: the store's watches hear nothing."""
        await self._is_reported.wait()
        return Success(Changes((), after_revision, 0.0))

    async def grant_lease(self, ttl_s):
        """Grants a lease with the next number."""
        self._leases += 1
        return Success(self._leases)

    async def renew_lease(self, lease, timeout_s):
        """Renews a lease."""
        if lease == self.lost_lease:
            return Failure(LeaseGone("the lease has ended", ""))
        return Success(None)

    async def end_lease(self, lease):
        """Ends a lease."""
        self.ended_leases.append(lease)
        if len(self.ended_leases) <= self.unanswered_ends:
            return Failure(PlatformUnavailable("no answer", ""))
        return Success(None)

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Applies a commit if its conditions hold."""
        if self.loses_leader_writes and any(put.key == LEADER_KEY for put in puts):
            return Failure(PlatformUnavailable("no answer", ""))
        revisions_by_key = {k: i.revision for k, i in self.items_by_key.items()}
        if any(
            revisions_by_key.get(key, 0) != revision for key, revision in conditions
        ):
            found = tuple(
                self.items_by_key[key]
                for key, _ in conditions
                if key in revisions_by_key
            )
            return Failure(RevisionConflict("other revisions", "", found))
        self.revision += 1
        for put in puts:
            item = Item(put.key, put.value, self.revision, put.lease)
            self.items_by_key[put.key] = item
        for key in deletes:
            self.items_by_key.pop(key, None)
        self.registered.set()
        return Success(self.revision)
