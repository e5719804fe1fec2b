"""Waiting for conditions, with a timeout and without fixed sleeps."""

import threading
import time

POLL_INTERVAL_S = 0.02
_never_set = threading.Event()


def wait_until(condition, timeout_s, what):
    """Polls until ``condition()`` is true; returns its value.

    Args:
        condition: Function without arguments.
        timeout_s: Timeout in seconds.
        what: The awaited condition in words, for the error message.

    Raises:
        AssertionError: The condition was not met within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met within {timeout_s} s: {what}")
        _never_set.wait(POLL_INTERVAL_S)
