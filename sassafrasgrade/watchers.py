"""Reads configuration and host list from the platform while told to."""

import logging
import random

from returns.result import Failure, Success
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.commits import decode_head, load_from_head, read_commits
from sassafrasgrade.configurations import HEAD_KEY

logger = logging.getLogger(__name__)

RETRY_FIRST_S = 0.25
RETRY_LONGEST_S = 2.0


class Backoff:
    """Exponential delays with jitter, in seconds."""

    def __init__(self, first_s=RETRY_FIRST_S, longest_s=RETRY_LONGEST_S):
        self._first_s = first_s
        self._longest_s = longest_s
        self._next_s = first_s

    def reset(self):
        """Starts again at the first delay."""
        self._next_s = self._first_s

    def next_delay(self):
        """Returns the next delay and doubles the one after it."""
        delay_s = self._next_s * random.uniform(0.5, 1.0)
        self._next_s = min(self._next_s * 2, self._longest_s)
        return delay_s


class PlatformWatcher:
    """Base of the loops that read the platform while ``is_reading``.

    Args:
        platform: Adapter to the platform.
        timers: Timer service.
        on_answer: Called after each answer of the platform.
    """

    def __init__(self, platform, timers, on_answer):
        self.platform = platform
        self.is_reading = False
        self._timers = timers
        self._on_answer = on_answer
        self._running = False
        self._closing = False

    def set_reading(self, reading):
        """Starts or stops reading; a call under way still ends by itself."""
        self.is_reading = reading
        if reading and not self._running and not self._closing:
            self._running = True
            IOLoop.current().add_callback(self._run)

    def close(self):
        """Stops reading for good."""
        self._closing = True
        self.is_reading = False

    async def read_once(self):
        """Reads once; returns a ``Result`` (implemented by each watcher)."""
        raise NotImplementedError

    def pause_s(self):
        """Seconds to wait between reads that succeeded."""
        return 0.0

    async def _run(self):
        backoff = Backoff()
        while self.is_reading:
            result = await self.read_once()
            if self._closing:
                break
            if isinstance(result, Failure):
                logger.debug("read failed: %s", result.failure())
                await gen.sleep(backoff.next_delay())
                continue
            backoff.reset()
            self._on_answer()
            await gen.sleep(self.pause_s())
        self._running = False


class ConfigurationWatcher(PlatformWatcher):
    """Watches the head and hands every newer generation to a manager.

    Args:
        holder: ``ConfigurationHolder`` to compare with.
        on_commits: Called with (generation, commits) after the held one;
            returns whether they continued it.
        on_configuration: Called with a whole configuration.
        watch_s: Longest wait of one watch call, in seconds.
    """

    def __init__(
        self, platform, timers, on_answer, holder, on_commits, on_configuration, watch_s
    ):
        super().__init__(platform, timers, on_answer)
        self._holder = holder
        self._on_commits = on_commits
        self._on_configuration = on_configuration
        self._watch_s = watch_s
        self._revision = None
        self.older_heads = 0

    async def read_once(self):
        """Waits for a newer head, or reads it when none was read yet."""
        if self._revision is None:
            found = await self.platform.read(HEAD_KEY)
        else:
            found = await self.platform.watch(HEAD_KEY, self._revision, self._watch_s)
        if isinstance(found, Failure):
            # The platform may come back with another history: read it afresh.
            self._revision = None
            return found
        versioned = found.unwrap()
        if versioned is None:
            return found
        self._on_answer()
        taken = await self._take_head(decode_head(versioned.value), versioned.revision)
        if not isinstance(taken, Failure):
            self._revision = versioned.revision
        return taken

    async def _take_head(self, head, revision):
        held = self._holder.generation
        if head.generation < held:
            self._report_older(head.generation, held)
        if head.generation <= held:
            return Success(None)
        missing = head.generation - held
        if missing <= len(head.commit_ids):
            commits = await read_commits(self.platform, head.commit_ids[-missing:])
            if isinstance(commits, Failure):
                return commits
            if self._on_commits(head.generation, commits.unwrap()):
                return commits
        loaded = await load_from_head(self.platform, head, revision)
        return loaded.map(lambda found: self._on_configuration(found.configuration))

    def _report_older(self, offered, held):
        self.older_heads += 1
        logger.error(
            "the platform offers generation %d, older than %d in force; ignoring it; "
            "run apply with --recover to move the platform on",
            offered,
            held,
        )


class HostsWatcher(PlatformWatcher):
    """Polls the lagging host list of one data centre.

    Args:
        data_centre: Which list to read.
        held_version: Function that returns the version held.
        on_hosts: Called with each newer ``HostList``.
        period_s: Time between polls, in seconds.
    """

    def __init__(
        self, platform, timers, on_answer, data_centre, held_version, on_hosts, period_s
    ):
        super().__init__(platform, timers, on_answer)
        self._data_centre = data_centre
        self._held_version = held_version
        self._on_hosts = on_hosts
        self._period_s = period_s

    async def read_once(self):
        """Reads the list if it is newer than the held one."""
        found = await self.platform.read_hosts(self._data_centre, self._held_version())
        if not isinstance(found, Failure) and found.unwrap() is not None:
            self._on_hosts(found.unwrap())
        return found

    def pause_s(self):
        """Polls once a period."""
        return self._period_s
