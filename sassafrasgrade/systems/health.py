"""Health of backend servers: ejection, probing and concurrency limits."""

from dataclasses import dataclass

from sassafrasgrade.attempts import AttemptResult

FAILURES_TO_EJECT = 5
FAILURE_RATIO_TO_EJECT = 0.5
RATIO_SMOOTHING = 0.1
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
PROBES_TO_RETURN = 3
# Slowness, relative to the mean, above which the concurrency limit is lowered.
SLOW_FACTOR = 2.0
SLOW_SMOOTHING = 0.05
LIMIT_DECREASE = 0.7
LIMIT_INCREASE = 0.2
FIRST_SERVER_ERROR = 500

# A late answer counts against the server only if the attempt had at least this
# many mean service times; otherwise the time was spent before the attempt.
LATE_FACTOR = 4.0

FAILED_RESULTS = frozenset(
    {AttemptResult.NOT_SENT, AttemptResult.CUT, AttemptResult.CROSSED}
)


@dataclass(slots=True)
class ServerHealth:
    """Health of one server, as its owner sees it.

    Attributes:
        limit: Concurrency limit derived from its latency.
        consecutive_failures: Failures since the last success.
        failure_ratio: Smoothed share of failures.
        slowness: Smoothed service time relative to the class's mean.
        ejected_until: End of the last ejection, 0 if there was none.
        ejection_s: Duration of the last ejection.
        probes_left: Successful probes still needed to count as healthy.
    """

    limit: float
    consecutive_failures: int = 0
    failure_ratio: float = 0.0
    slowness: float = 1.0
    ejected_until: float = 0.0
    ejection_s: float = 0.0
    probes_left: int = 0

    def is_ejected(self, now):
        """Whether the server must not get requests now."""
        return now < self.ejected_until

    @property
    def is_probing(self):
        """Whether it gets only one request at a time until enough probes succeed."""
        return self.probes_left > 0

    def allowed(self, slots, now):
        """Returns how many concurrent requests the server may have now."""
        if self.is_ejected(now):
            return 0
        if self.is_probing:
            return 1
        return max(1, min(slots, int(self.limit)))


def has_failed(result, status, allowed_s, mean_s):
    """Whether an attempt counts against the server's health.

    Args:
        result: ``AttemptResult``.
        status: HTTP status, 0 without an answer.
        allowed_s: Time that the attempt had, in seconds.
        mean_s: Mean service time of its class.
    """
    if result is AttemptResult.LATE:
        return allowed_s >= LATE_FACTOR * mean_s
    return result in FAILED_RESULTS or status >= FIRST_SERVER_ERROR


def record_attempt(health, failed, relative_s, slots, now, may_eject):
    """Updates a server's health after one attempt.

    Args:
        health: ``ServerHealth`` to update.
        failed: Whether the attempt failed.
        relative_s: Service time divided by the class's mean.
        slots: Slots of the server.
        now: Current time.
        may_eject: Whether the pool's budget allows one more ejection.

    Returns:
        Whether this attempt ejected the server.
    """
    health.failure_ratio += RATIO_SMOOTHING * (failed - health.failure_ratio)
    if not failed:
        _record_success(health, relative_s, slots)
        return False
    health.consecutive_failures += 1
    health.limit = max(1.0, health.limit * LIMIT_DECREASE)
    in_row = health.consecutive_failures >= FAILURES_TO_EJECT
    often = health.failure_ratio >= FAILURE_RATIO_TO_EJECT
    if health.is_ejected(now) or not (in_row or often or health.is_probing):
        return False
    if not may_eject and not health.is_probing:
        return False
    doubled_s = max(MIN_EJECTION_S, health.ejection_s * 2)
    health.ejection_s = min(MAX_EJECTION_S, doubled_s)
    health.ejected_until = now + health.ejection_s
    health.probes_left = PROBES_TO_RETURN
    return True


def _record_success(health, relative_s, slots):
    health.consecutive_failures = 0
    health.slowness += SLOW_SMOOTHING * (relative_s - health.slowness)
    if health.slowness > SLOW_FACTOR:
        health.limit = max(1.0, health.limit * LIMIT_DECREASE)
        health.slowness = 1.0
    else:
        health.limit = min(float(slots), health.limit + LIMIT_INCREASE)
    if health.probes_left:
        health.probes_left -= 1
        if health.probes_left == 0:
            health.failure_ratio = 0.0
            health.ejection_s = 0.0
            health.limit = float(slots)
