"""Watchers of the configuration and host list on the platform."""

import logging
import random

from returns.result import Failure, Success
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.commits import decode_head, load_from_head, read_commits
from sassafrasgrade.configurations import HEAD_KEY

logger = logging.getLogger(__name__)

INITIAL_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0


class Backoff:
    """Exponential delays with jitter, in seconds."""

    def __init__(self, initial_s=INITIAL_RETRY_DELAY_S, max_s=MAX_RETRY_DELAY_S):
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def reset(self):
        """Resets the delay to the first one."""
        self._next_s = self._initial_s

    def next_delay(self):
        """Returns the next delay and doubles the one after it."""
        delay_s = self._next_s * random.uniform(0.5, 1.0)
        self._next_s = min(self._next_s * 2, self._max_s)
        return delay_s


class PlatformWatcher:
    """Base class of loops that read the platform while ``is_reading`` is set.

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
        """Starts or stops reading; a call in flight is not cancelled."""
        self.is_reading = reading
        if reading and not self._running and not self._closing:
            self._running = True
            IOLoop.current().add_callback(self._run)

    def close(self):
        """Stops reading permanently."""
        self._closing = True
        self.is_reading = False

    async def read_once(self):
        """Reads once; returns a ``Result`` (implemented by each watcher)."""
        raise NotImplementedError

    def read_delay_s(self):
        """Returns the delay after a successful read, in seconds."""
        return 0.0

    async def _run(self):
        backoff = Backoff()
        while self.is_reading:
            result = await self.read_once()
            if self._closing:
                break
            if isinstance(result, Failure):
                logger.debug("platform read failed: %s", result.failure())
                await gen.sleep(backoff.next_delay())
                continue
            backoff.reset()
            self._on_answer()
            await gen.sleep(self.read_delay_s())
        self._running = False


class ConfigurationWatcher(PlatformWatcher):
    """Watches the head and passes each newer generation to callbacks.

    Args:
        holder: ``ConfigurationHolder`` to compare with.
        on_commits: Called with the last generation and the commits that follow
            the one in force; returns whether they could be applied to it.
        on_configuration: Called with a whole configuration.
        watch_timeout_s: Maximum wait of one watch call, in seconds.
    """

    def __init__(
        self,
        platform,
        timers,
        on_answer,
        holder,
        on_commits,
        on_configuration,
        watch_timeout_s,
    ):
        super().__init__(platform, timers, on_answer)
        self._holder = holder
        self._on_commits = on_commits
        self._on_configuration = on_configuration
        self._watch_timeout_s = watch_timeout_s
        self._revision = None
        self.older_heads = 0

    async def read_once(self):
        """Waits for a newer head; reads the head at first and after a failure."""
        if self._revision is None:
            found = await self.platform.read(HEAD_KEY)
        else:
            found = await self.platform.watch(
                HEAD_KEY, self._revision, self._watch_timeout_s
            )
        if isinstance(found, Failure):
            # The platform may recover with another history, so the next read
            # must not depend on the last revision.
            self._revision = None
            return found
        versioned = found.unwrap()
        if versioned is None:
            return found
        self._on_answer()
        outcome = await self._apply_head(
            decode_head(versioned.value), versioned.revision
        )
        if not isinstance(outcome, Failure):
            self._revision = versioned.revision
        return outcome

    async def _apply_head(self, head, revision):
        current_generation = self._holder.generation
        if head.generation < current_generation:
            self._record_older_head(head.generation, current_generation)
        if head.generation <= current_generation:
            return Success(None)
        missing = head.generation - current_generation
        if missing <= len(head.commit_ids):
            commits = await read_commits(self.platform, head.commit_ids[-missing:])
            if isinstance(commits, Failure):
                return commits
            if self._on_commits(head.generation, commits.unwrap()):
                return commits
        loaded = await load_from_head(self.platform, head, revision)
        return loaded.map(lambda found: self._on_configuration(found.configuration))

    def _record_older_head(self, head_generation, current_generation):
        self.older_heads += 1
        logger.error(
            "ignoring generation %d of the platform, which is older than generation "
            "%d in force; run apply with --recover to commit a newer one",
            head_generation,
            current_generation,
        )


class HostsWatcher(PlatformWatcher):
    """Polls the host list of one data centre, which may lag behind.

    Args:
        data_centre: Data centre of the list.
        current_version: Function that returns the version of the current list.
        on_hosts: Called with each newer ``HostList``.
        period_s: Time between polls, in seconds.
    """

    def __init__(
        self,
        platform,
        timers,
        on_answer,
        data_centre,
        current_version,
        on_hosts,
        period_s,
    ):
        super().__init__(platform, timers, on_answer)
        self._data_centre = data_centre
        self._current_version = current_version
        self._on_hosts = on_hosts
        self._period_s = period_s

    async def read_once(self):
        """Reads the list if it is newer than the current one."""
        found = await self.platform.read_hosts(
            self._data_centre, self._current_version()
        )
        if not isinstance(found, Failure) and found.unwrap() is not None:
            self._on_hosts(found.unwrap())
        return found

    def read_delay_s(self):
        """Returns the polling period in seconds."""
        return self._period_s
