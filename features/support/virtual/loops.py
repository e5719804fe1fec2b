"""Event loops whose time is simulated, and the timer service of a simulated node."""

import asyncio
import heapq
import selectors
from datetime import timedelta

from tornado.ioloop import IOLoop
from tornado.platform.asyncio import AsyncIOMainLoop

from sassafrasgrade.timers import TimerService

NEVER = float("inf")


class IdleSelector(selectors.BaseSelector):
    """A selector without files: simulated peers schedule callbacks instead."""

    def register(self, fileobj, events, data=None):
        """Ignores a file."""

    def unregister(self, fileobj):
        """Ignores a file."""

    def modify(self, fileobj, events, data=None):
        """Ignores a file."""

    def select(self, timeout=None):
        """Returns no events, at once."""
        return []

    def get_key(self, fileobj):
        """Knows no file."""
        raise KeyError(fileobj)

    def get_map(self):
        """Returns no files."""
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop of one simulated process; its world steps it.

    Args:
        clock: Function that returns the simulated time in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        super().__init__(IdleSelector())
        self.set_exception_handler(lambda loop, context: None)

    def time(self):
        """Returns the simulated time in seconds."""
        return self._clock()

    def next_time(self):
        """Returns when the loop has something to do; infinity if never."""
        if self._ready:
            return self._clock()
        while self._scheduled and self._scheduled[0].cancelled():
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._timer_cancelled_count -= 1
        return self._scheduled[0].when() if self._scheduled else NEVER

    def step(self):
        """Runs the callbacks that are due."""
        self.run_inside(self._run_once)

    def run_inside(self, function, *arguments):
        """Calls a function as if from a callback of this loop."""
        asyncio._set_running_loop(self)
        try:
            return function(*arguments)
        finally:
            asyncio._set_running_loop(None)

    def _write_to_self(self):
        """Wakes nobody: the world looks at every loop."""

    def _make_self_pipe(self):
        """Opens no files."""

    def _close_self_pipe(self):
        """Has no files to close."""

    def discard(self):
        """Ends the process of the loop without running anything further."""
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False
        self._ready.clear()
        self._scheduled.clear()
        IOLoop._ioloop_for_asyncio.pop(self, None)


class VirtualIOLoop(AsyncIOMainLoop):
    """Tornado's loop on top of a ``VirtualLoop``."""

    def time(self):
        """Returns the simulated time in seconds."""
        return self.asyncio_loop.time()


class VirtualTimers(TimerService):
    """Timer service on simulated time.

    Args:
        clock: Function that returns the simulated time in seconds.
        offset_s: Difference of this process's steady clock, in seconds.
        unix_s: Time of day at simulated time 0, in Unix seconds.
    """

    def __init__(self, clock, offset_s, unix_s):
        self._subscriptions = set()
        self._clock = clock
        self._offset_s = offset_s
        self._unix_s = unix_s

    def now(self):
        """Returns the process's steady clock in seconds."""
        return self._clock() + self._offset_s

    def wall_time(self):
        """Returns the time of day in Unix seconds."""
        return self._clock() + self._unix_s

    def to_timedelta(self, seconds):
        """Returns a ``timedelta``, as tornado's timeouts take it."""
        return timedelta(seconds=seconds)
