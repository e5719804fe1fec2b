"""Waiting for conditions, with a bound and without fixed sleeps."""

import threading
import time

POLL_S = 0.02
_pace = threading.Event()


def wait_until(condition, timeout_s, what):
    """Polls until ``condition()`` is true; returns its value.

    Args:
        condition: Function without arguments.
        timeout_s: Bound in seconds.
        what: What is awaited, for the message.

    Raises:
        AssertionError: The bound passed.
    """
    until = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        _pace.wait(POLL_S)
