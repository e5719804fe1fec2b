"""Timer services: clocks and periodic callbacks."""

import logging
import time
from datetime import timedelta

from tornado.ioloop import PeriodicCallback

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Factor on durations that a worker or the store measures: its clock may run 2% slow
# (published protocol).
CLOCK_DRIFT = 1 / 0.98
# Difference from the expected time of day up to which a clock counts as slewed, in
# seconds; a larger one is a step.
MAX_SLEW_S = 0.25
# Time for which a step must last before it is taken for a correction, in seconds:
# clocks that jump often jump back.
STEP_ACCEPTED_AFTER_S = 30.0


class WallClock:
    """Time of day that ignores steps until they have lasted.

    Args:
        steady: Function that returns a steady clock in seconds.
        time_of_day: Function that returns seconds since the epoch.
    """

    def __init__(self, steady, time_of_day):
        self._steady = steady
        self._time_of_day = time_of_day
        self._offset_s = time_of_day() - steady()
        self._stepped_offset_s = None
        self._stepped_at = 0.0

    def now(self):
        """Returns seconds since the epoch."""
        now = self._steady()
        offset_s = self._time_of_day() - now
        if abs(offset_s - self._offset_s) <= MAX_SLEW_S:
            self._offset_s = offset_s
            self._stepped_offset_s = None
        else:
            self._record_step(offset_s, now)
        return now + self._offset_s

    def _record_step(self, offset_s, now):
        previous_s = self._stepped_offset_s
        if previous_s is None or abs(offset_s - previous_s) > MAX_SLEW_S:
            self._stepped_at = now
            logger.warning(
                "time of day stepped",
                extra={"by_s": round(offset_s - self._offset_s, 3)},
            )
        self._stepped_offset_s = offset_s
        if now - self._stepped_at >= STEP_ACCEPTED_AFTER_S:
            logger.warning("stepped time of day accepted")
            self._offset_s = offset_s
            self._stepped_offset_s = None


class Subscription:
    """A periodic call of a ``TimerService``.

    Args:
        timers: The ``TimerService``.
        period_s: Its period in seconds.
        callback: Called with the time.
    """

    def __init__(self, timers, period_s, callback):
        self._timers = timers
        self._periodic = PeriodicCallback(
            lambda: callback(timers.now()), period_s * MS_PER_S, jitter=0.1
        )
        self._periodic.start()

    def stop(self):
        """Stops the periodic call, and lets go of what it calls."""
        self._periodic.stop()
        self._timers.forget(self)


class TimerService:
    """Calls subscribers periodically on the current event loop."""

    def __init__(self):
        self._subscriptions = set()
        self._wall_clock = WallClock(self.now, time.time)

    def now(self):
        """Returns monotonic time in seconds."""
        return time.monotonic()

    def wall_time(self):
        """Returns seconds since the epoch."""
        return self._wall_clock.now()

    def to_timedelta(self, seconds):
        """Returns a ``timedelta``, as tornado's timeouts take it."""
        return timedelta(seconds=seconds)

    def subscribe(self, period_s, callback):
        """Calls ``callback(now)`` every ``period_s`` seconds until ``stop``."""
        subscription = Subscription(self, period_s, callback)
        self._subscriptions.add(subscription)
        return subscription

    def forget(self, subscription):
        """Drops a subscription that has ended."""
        self._subscriptions.discard(subscription)

    def stop(self):
        """Stops all periodic calls."""
        for subscription in list(self._subscriptions):
            subscription.stop()


class SuspendAwareTimerService(TimerService):
    """Timer service whose clock includes the time that the host was suspended.

    A lease that expired during a suspend thus counts as expired at the next check.
    """

    def now(self):
        """Returns time since boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeSubscription:
    """A periodic call of a ``FakeTimerService``.

    Args:
        timers: The ``FakeTimerService``.
        period_s: Its period in seconds.
        callback: Called with the time.
    """

    def __init__(self, timers, period_s, callback):
        self.due_at = timers.now() + period_s
        self._timers = timers
        self._period_s = period_s
        self._callback = callback

    def call(self, now):
        """Calls it, as it is due."""
        self.due_at += self._period_s
        self._callback(now)

    def stop(self):
        """Stops the periodic call."""
        self._timers.forget(self)


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
        subscription = FakeSubscription(self, period_s, callback)
        self._subscriptions.append(subscription)
        return subscription

    def forget(self, subscription):
        """Drops a subscription that has ended."""
        if subscription in self._subscriptions:
            self._subscriptions.remove(subscription)

    def advance(self, seconds):
        """Advances time, running due callbacks in order of their due times."""
        end = self._now + seconds
        while self._subscriptions:
            due = min(self._subscriptions, key=lambda item: item.due_at)
            if due.due_at > end:
                break
            self._now = due.due_at
            due.call(self._now)
        self._now = end
