"""Follows prefixes of the store: reads the range once, then watches."""

import asyncio
import logging

from returns.result import Failure
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import HistoryCompacted
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.watchers import Backoff

logger = logging.getLogger(__name__)

# Maximum wait of one watch call, in seconds; a watch without an answer for longer is
# not trusted. With its margin it stays below the time in which a configuration
# has to be in force everywhere.
WATCH_WAIT_S = 1.3
# Longest way of an answer from the store, in seconds, while it answers at all.
MAX_ANSWER_DELAY_S = 0.25
# Time after the last byte of an answer during which it counts as arriving, in
# seconds: a second transfer over the same link would delay both.
ARRIVING_S = 0.6
# Minimum time between two checks for changes beside a watch, in seconds.
CHECK_PERIOD_S = 0.25
# Transfer time of an answer, in seconds, above which the link may be too slow to read
# changes as fast as they are written.
SLOW_TRANSFER_S = 0.2


def error_fields(error):
    """Returns the fields of a typed error for a log line."""
    return {"error": error.kind, "detail": error.detail}


class PrefixFollower:
    """Reports the items under a prefix and their changes.

    Attributes:
        confirmed_at: Time as of which the items reported last were the newest, in the
            timer service's seconds.

    Args:
        store: ``StoreClient``.
        timers: Timer service.
        prefix: The prefix.
        on_range: Called with all items after each full read.
        on_items: Called with the items of a watch.
        pause_s: Minimum pause between two watch calls, in seconds.
        name: Name of the dependency for the log.
        is_outdated: Function that returns whether newer values are known to exist; None
            if every value matters. A watch returns all values since its revision,
            which is too much for a slow link while large values change often; a range
            read returns the newest only.
    """

    def __init__(
        self,
        store,
        timers,
        prefix,
        on_range,
        on_items,
        pause_s=0.0,
        name="",
        is_outdated=None,
    ):
        self._store = store
        self._timers = timers
        self._prefix = prefix
        self._on_range = on_range
        self._on_items = on_items
        self._pause_s = pause_s
        self._name = name or prefix
        self._revision = None
        self._is_closed = False
        self._is_lost = False
        self._is_rereading = False
        self._is_outdated = is_outdated
        self._reads_range = False
        self._newest_revision = 0
        self.confirmed_at = float("-inf")
        self._progress_at = float("-inf")
        self._range_read = None
        self._check = None
        self._check_began_at = float("-inf")

    def start(self):
        """Starts following."""
        IOLoop.current().add_callback(self._run)

    def close(self):
        """Stops following."""
        self._is_closed = True

    def reread_range(self):
        """Reads the whole range now, in parallel with a watch that may have stalled."""
        if self._is_rereading or self._is_closed or self._is_arriving():
            return
        self._is_rereading = True
        IOLoop.current().add_callback(self._reread)

    def _is_arriving(self):
        return self._timers.now() - self._progress_at < ARRIVING_S

    def _record_progress(self):
        self._progress_at = self._timers.now()

    async def _read_range(self):
        """Reads the range, or waits for the read of it that is under way.

        Returns:
            The store's ``Result`` and when the read began.
        """
        if self._range_read is None:
            self._range_read = asyncio.ensure_future(self._begin_range_read())
        reading = self._range_read
        try:
            return await reading
        finally:
            if self._range_read is reading:
                self._range_read = None

    async def _begin_range_read(self):
        began_at = self._timers.now()
        found = await self._store.read_range(self._prefix, self._record_progress)
        return found, began_at

    def _apply_range(self, items, revision, began_at):
        self._revision = revision
        self._on_range(items)
        self._confirm(began_at)

    def _confirm(self, known_at):
        self.confirmed_at = max(self.confirmed_at, known_at)

    def request_check(self):
        """Asks soon whether there are changes, beside a watch or its pause."""
        IOLoop.current().add_callback(self.check, 0.0)

    async def check(self, timeout_s):
        """Asks once whether there are changes, beside a watch that may have stalled.

        Args:
            timeout_s: Maximum time to wait for the outcome, in seconds.
        """
        now = self._timers.now()
        if now - self._check_began_at >= CHECK_PERIOD_S and not self._is_arriving():
            self._check_began_at = now
            self._check = asyncio.ensure_future(self._check_once())
        if self._check is not None:
            await asyncio.wait([self._check], timeout=timeout_s)

    async def _check_once(self):
        if self._is_closed or self._revision is None:
            return
        found = await self._watch(self._revision, 0.0)
        if isinstance(found, Failure):
            extra = {"dependency": self._name, "revision": self._revision}
            logger.info("check failed", extra=extra | error_fields(found.failure()))

    async def _reread(self):
        extra = {"dependency": self._name, "revision": self._revision}
        logger.info("reread started", extra=extra)
        try:
            found, began_at = await self._read_range()
        finally:
            self._is_rereading = False
        if isinstance(found, Failure):
            logger.warning("reread failed", extra=extra | error_fields(found.failure()))
            return
        items, revision = found.unwrap()
        logger.info("reread ended", extra=extra | {"read_revision": revision})
        if self._is_closed:
            return
        if self._revision is None or revision >= self._revision:
            self._apply_range(items, revision, began_at)

    async def _run(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_closed:
            try:
                result = await self.follow_once()
            except Exception:
                # The revision has moved on, so that the same changes do not return.
                logger.exception(
                    "changes not applied", extra={"dependency": self._name}
                )
                await gen.sleep(backoff.next_delay())
                continue
            if self._is_closed:
                return
            if isinstance(result, Failure):
                self._log_lost(result.failure())
                await gen.sleep(backoff.next_delay())
                continue
            self._log_regained()
            backoff.reset()
            if self._pause_s:
                await gen.sleep(self._pause_s)

    async def follow_once(self):
        """Makes one call and applies its answer; returns its ``Result``."""
        revision = self._revision
        if revision is None or self._reads_range:
            found = await self._read_newest(revision)
        else:
            found = await self._watch(revision, WATCH_WAIT_S)
        if isinstance(found, Failure):
            if isinstance(found.failure(), HistoryCompacted):
                self._revision = None
            elif self._is_outdated is not None:
                self._reads_range = True
        return found

    async def _read_newest(self, revision):
        found, began_at = await self._read_range()
        if isinstance(found, Failure) or self._is_overtaken(revision):
            return found
        items, read_revision = found.unwrap()
        newest = max((item.revision for item in items), default=0)
        is_new = newest > self._newest_revision
        self._newest_revision = newest
        self._apply_range(items, read_revision, began_at)
        # Unless more is known to exist, go back to watching: a waiting watch costs
        # nothing, and starts to transfer as soon as there is more.
        self._reads_range = self._reads_range and is_new and self._is_outdated()
        return found

    async def _watch(self, revision, wait_s):
        began_at = self._timers.now()
        found = await self._store.watch(
            self._prefix, revision, wait_s, self._record_progress
        )
        if isinstance(found, Failure) or self._is_overtaken(revision):
            return found
        changes = found.unwrap()
        if changes.items or wait_s:
            # An empty check leaves the revision alone: the answer of the watch beside
            # it would count as overtaken and be transferred twice.
            self._revision = changes.revision
        if changes.items:
            self._newest_revision = changes.items[-1].revision
            self._on_items(changes.items)
            is_slow = changes.transfer_s > SLOW_TRANSFER_S
            self._reads_range = bool(
                is_slow and self._is_outdated is not None and self._is_outdated()
            )
        self._confirm(self._watched_until(began_at, wait_s, changes))
        return found

    def _watched_until(self, began_at, wait_s, changes):
        """Returns the time until which a watch would have reported a change."""
        now = self._timers.now()
        waited_until = began_at + wait_s / CLOCK_DRIFT
        if not changes.items:
            return waited_until if now >= waited_until else began_at
        return max(began_at, now - changes.transfer_s - MAX_ANSWER_DELAY_S)

    def _is_overtaken(self, revision):
        """Whether the range was read meanwhile, or the follower was closed."""
        return self._is_closed or self._revision != revision

    def _log_lost(self, error):
        if not self._is_lost:
            self._is_lost = True
            logger.warning(
                "dependency lost",
                extra={"dependency": self._name, "revision": self._revision}
                | error_fields(error),
            )

    def _log_regained(self):
        if self._is_lost:
            self._is_lost = False
            logger.warning(
                "dependency regained",
                extra={"dependency": self._name, "revision": self._revision},
            )
