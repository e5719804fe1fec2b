"""Groups creations of keys into few commits of the store."""

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

# Creations in one commit: each takes a condition and a write of the 32 entries
# that the store accepts.
MOST_IN_COMMIT = 16
# How long a creation waits for others to share its commit, in seconds.
GATHER_S = 0.004
# Commits under way at a time.
MOST_COMMITS = 8
# Pause before a refused or unanswered commit is repeated, in seconds.
RETRY_S = 0.1


class CreateOutcome(Enum):
    """What became of a creation."""

    CREATED = "created"
    EXISTS = "exists"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Creation:
    """A key to create, until its outcome is known or ``give_up_at``.

    Attributes:
        key: The key.
        value: Its value.
        give_up_at: Clock at which the caller needs an outcome.
        future: Resolved with a ``CreateOutcome``.
        may_exist: Whether an earlier commit of it had no answer.
    """

    key: str
    value: bytes
    give_up_at: float
    future: Future
    may_exist: bool = False


class StoreBatcher:
    """Creates keys, several in one commit.

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

    def create(self, key, value, give_up_at):
        """Creates a key; returns a future of a ``CreateOutcome``."""
        creation = Creation(key, value, give_up_at, Future())
        self._waiting.append(creation)
        self._schedule(GATHER_S)
        return creation.future

    def _schedule(self, delay_s):
        if not self._is_scheduled:
            self._is_scheduled = True
            IOLoop.current().call_later(delay_s, self._flush)

    def _flush(self):
        self._is_scheduled = False
        while self._waiting and self._commits < MOST_COMMITS:
            batch = self._waiting[:MOST_IN_COMMIT]
            del self._waiting[:MOST_IN_COMMIT]
            self._commits += 1
            IOLoop.current().add_callback(self._commit, batch)

    async def _commit(self, batch):
        try:
            rest = await self._commit_once(batch)
        finally:
            self._commits -= 1
            if self._waiting:
                self._schedule(0)
        if rest:
            await gen.sleep(RETRY_S)
            now = self._timers.now()
            for creation in rest:
                if now < creation.give_up_at:
                    self._waiting.append(creation)
                else:
                    self._give_up(creation)
            if self._waiting:
                self._schedule(0)

    async def _commit_once(self, batch):
        """Commits; returns the creations that are to be tried again."""
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
            return self._drop_existing(batch, error.items)
        self.failing_since = self.failing_since or self._timers.now()
        logger.warning(
            "commit failed",
            extra={"keys": len(batch), "error": error.kind, "detail": error.detail},
        )
        if isinstance(error, PlatformUnavailable):
            for creation in batch:
                creation.may_exist = True
        return batch

    def _drop_existing(self, batch, items):
        existing = {
            item.key for item in items if item.revision and item.value is not None
        }
        rest = []
        for creation in batch:
            if creation.key in existing:
                creation.future.set_result(CreateOutcome.EXISTS)
            else:
                rest.append(creation)
        if len(rest) == len(batch):
            return rest
        self._waiting.extend(rest)
        return []

    def _give_up(self, creation):
        outcome = CreateOutcome.NOT_DONE
        if creation.may_exist:
            outcome = CreateOutcome.UNKNOWN
        creation.future.set_result(outcome)
