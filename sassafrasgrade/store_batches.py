"""Batches the creation of keys into fewer commits to the store."""

import logging
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure
from tornado import gen
from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import PlatformUnavailable, RevisionConflict
from sassafrasgrade.platform.stores import Put

logger = logging.getLogger(__name__)

# Creations in one commit. Each takes two of the 32 entries that the store accepts:
# a condition and a write.
MAX_KEYS_PER_COMMIT = 16
# Time that a creation waits for others to join its commit, in seconds.
BATCH_DELAY_S = 0.004
# Limit of concurrent commits.
MAX_CONCURRENT_COMMITS = 8
# Delay before a refused or unanswered commit is retried, in seconds.
RETRY_DELAY_S = 0.1


class CreateOutcome(Enum):
    """Outcome of a creation."""

    CREATED = "created"
    EXISTS = "exists"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Creation:
    """A key to create, pending until its outcome is known or ``deadline_at``.

    Attributes:
        key: The key.
        value: Its value.
        deadline_at: Time at which the caller needs an outcome.
        future: Resolved with a ``CreateOutcome``.
        may_exist: Whether an earlier commit of the key was not answered.
    """

    key: str
    value: bytes
    deadline_at: float
    future: Future
    may_exist: bool = False


class StoreBatcher:
    """Creates keys, several per commit.

    Args:
        store: ``StoreClient``.
        timers: Timer service.
    """

    def __init__(self, store, timers):
        self._store = store
        self._timers = timers
        self._waiting = []
        self._commits = 0
        self._is_scheduled = False
        self.failing_since = 0.0

    def create(self, key, value, deadline_at):
        """Creates a key; returns a future of a ``CreateOutcome``."""
        creation = Creation(key, value, deadline_at, Future())
        self._waiting.append(creation)
        self._schedule(BATCH_DELAY_S)
        return creation.future

    def _schedule(self, delay_s):
        if not self._is_scheduled:
            self._is_scheduled = True
            IOLoop.current().call_later(delay_s, self._flush)

    def _flush(self):
        self._is_scheduled = False
        while self._waiting and self._commits < MAX_CONCURRENT_COMMITS:
            batch = self._waiting[:MAX_KEYS_PER_COMMIT]
            del self._waiting[:MAX_KEYS_PER_COMMIT]
            self._commits += 1
            IOLoop.current().add_callback(self._commit, batch)

    async def _commit(self, batch):
        try:
            unresolved = await self._commit_once(batch)
        finally:
            self._commits -= 1
            if self._waiting:
                self._schedule(0)
        if unresolved:
            await gen.sleep(RETRY_DELAY_S)
            now = self._timers.now()
            for creation in unresolved:
                if now < creation.deadline_at:
                    self._waiting.append(creation)
                else:
                    self._expire(creation)
            if self._waiting:
                self._schedule(0)

    async def _commit_once(self, batch):
        """Commits a batch; returns the creations to retry after a delay."""
        conditions = [(creation.key, 0) for creation in batch]
        puts = [Put(creation.key, creation.value) for creation in batch]
        result = await self._store.commit(conditions, puts)
        if not isinstance(result, Failure):
            self.failing_since = 0.0
            for creation in batch:
                creation.future.set_result(CreateOutcome.CREATED)
            return []
        error = result.failure()
        if isinstance(error, RevisionConflict):
            self.failing_since = 0.0
            return self._resolve_existing(batch, error.items)
        self.failing_since = self.failing_since or self._timers.now()
        logger.warning(
            "commit failed",
            extra={"keys": len(batch), "error": error.kind, "detail": error.detail},
        )
        if isinstance(error, PlatformUnavailable):
            for creation in batch:
                creation.may_exist = True
        return batch

    def _resolve_existing(self, batch, items):
        existing = {
            item.key for item in items if item.revision and item.value is not None
        }
        unresolved = []
        for creation in batch:
            if creation.key in existing:
                creation.future.set_result(CreateOutcome.EXISTS)
            else:
                unresolved.append(creation)
        if len(unresolved) == len(batch):
            return unresolved
        self._waiting.extend(unresolved)
        return []

    def _expire(self, creation):
        outcome = CreateOutcome.NOT_DONE
        if creation.may_exist:
            outcome = CreateOutcome.UNKNOWN
        creation.future.set_result(outcome)
