"""Timer services: clocks and periodic callbacks."""

import time
from datetime import timedelta

from tornado.ioloop import PeriodicCallback

MS_PER_S = 1000.0


class TimerService:
    """Calls subscribers periodically on the current event loop."""

    def __init__(self):
        self._callbacks = []

    def now(self):
        """Returns monotonic time in seconds."""
        return time.monotonic()

    def wall_time(self):
        """Returns seconds since the epoch."""
        return time.time()

    def to_timedelta(self, seconds):
        """Returns a ``timedelta``, as tornado's timeouts take it."""
        return timedelta(seconds=seconds)

    def subscribe(self, period_s, callback):
        """Calls ``callback(now)`` every ``period_s`` seconds until ``stop``."""
        periodic = PeriodicCallback(
            lambda: callback(self.now()), period_s * MS_PER_S, jitter=0.1
        )
        periodic.start()
        self._callbacks.append(periodic)
        return periodic

    def stop(self):
        """Stops all periodic calls."""
        for periodic in self._callbacks:
            periodic.stop()
        self._callbacks.clear()


class SuspendAwareTimerService(TimerService):
    """Timer service whose clock includes the time that the host was suspended.

    A lease that expired during a suspend thus counts as expired at the next check.
    """

    def now(self):
        """Returns time since boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeTimerService:
    """Timer service for tests: time advances only in ``advance``."""

    def __init__(self, start_s=1000.0):
        self._now = start_s
        self._subscriptions = []

    def now(self):
        """Returns the fake time in seconds."""
        return self._now

    def wall_time(self):
        """Returns the fake time in seconds."""
        return self._now

    def subscribe(self, period_s, callback):
        """Registers ``callback(now)`` to run every ``period_s`` fake seconds."""
        subscription = [self._now + period_s, period_s, callback]
        self._subscriptions.append(subscription)
        return subscription

    def advance(self, seconds):
        """Advances time, running due callbacks in order of their due times."""
        end = self._now + seconds
        while self._subscriptions:
            due = min(self._subscriptions, key=lambda item: item[0])
            if due[0] > end:
                break
            self._now = due[0]
            due[0] += due[1]
            due[2](self._now)
        self._now = end
