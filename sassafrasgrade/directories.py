"""Follows prefixes of the store: reads the range once, then watches."""

import logging

from returns.result import Failure, Success
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import HistoryCompacted
from sassafrasgrade.watchers import Backoff

logger = logging.getLogger(__name__)

# Longest wait of one watch call, in seconds; a watch that hears nothing for
# longer is not trusted. With its margin it stays below the time in which a
# configuration has to be in force everywhere.
WATCH_S = 1.3


class PrefixFollower:
    """Keeps a view of a prefix up to date.

    Args:
        store: ``StoreClient``.
        prefix: The prefix.
        on_range: Called with all items after each full read.
        on_items: Called with the items of a watch.
        pause_s: Least time between two watch calls, in seconds.
        name: Name of the dependency for the log.
    """

    def __init__(self, store, prefix, on_range, on_items, pause_s=0.0, name=""):
        self._store = store
        self._prefix = prefix
        self._on_range = on_range
        self._on_items = on_items
        self._pause_s = pause_s
        self._name = name or prefix
        self._revision = None
        self._is_closed = False
        self._is_lost = False
        self._is_rereading = False

    def start(self):
        """Starts following."""
        IOLoop.current().add_callback(self._run)

    def close(self):
        """Stops following."""
        self._is_closed = True

    def read_again(self):
        """Reads the whole range now, beside a watch that may have gone silent."""
        if not self._is_rereading and not self._is_closed:
            self._is_rereading = True
            IOLoop.current().add_callback(self._reread)

    async def _reread(self):
        try:
            found = await self._store.read_range(self._prefix)
        finally:
            self._is_rereading = False
        if self._is_closed or isinstance(found, Failure):
            return
        items, revision = found.unwrap()
        if self._revision is None or revision >= self._revision:
            self._revision = revision
            self._on_range(items)

    async def _run(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_closed:
            result = await self._follow_once()
            if self._is_closed:
                return
            if isinstance(result, Failure):
                self._note_lost(result.failure())
                await gen.sleep(backoff.next_delay())
                continue
            self._note_found()
            backoff.reset()
            if self._pause_s:
                await gen.sleep(self._pause_s)

    async def _follow_once(self):
        revision = self._revision
        if revision is None:
            found = await self._store.read_range(self._prefix)
            take = self._on_range
        else:
            found = await self._store.watch(self._prefix, revision, WATCH_S)
            take = self._on_items
        if self._is_closed:
            return found
        if revision is not None and revision != self._revision:
            # The range was read meanwhile and holds more than this answer.
            return Success(None)
        if isinstance(found, Failure):
            if isinstance(found.failure(), HistoryCompacted):
                self._revision = None
            return found
        items, self._revision = found.unwrap()
        if items or revision is None:
            take(items)
        return found

    def _note_lost(self, error):
        if not self._is_lost:
            self._is_lost = True
            logger.warning(
                "dependency lost",
                extra={
                    "dependency": self._name,
                    "error": error.kind,
                    "detail": error.detail,
                    "revision": self._revision,
                },
            )

    def _note_found(self):
        if self._is_lost:
            self._is_lost = False
            logger.warning(
                "dependency regained",
                extra={"dependency": self._name, "revision": self._revision},
            )
