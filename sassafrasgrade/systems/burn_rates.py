"""Burn rate: how fast missed deadlines use up the error budget."""

from collections import defaultdict, deque

# Error budget: share of answers that may miss their deadline.
ALLOWED_SHARE = 0.01
# Burn rate (misses divided by allowed misses) at which maintenance pauses.
PAUSE_RATE = 5.0
WINDOW_S = 30.0
# Answers in the window below which a pool's burn rate does not pause maintenance.
MIN_ANSWERS = 20


def burn_rate(missed, total, allowed_share=ALLOWED_SHARE):
    """Returns misses as a multiple of the allowed misses; 0 without answers."""
    if not total:
        return 0.0
    return missed / total / allowed_share


class BurnWindow:
    """Counts answers and misses by pool over a sliding window."""

    def __init__(self):
        self._seconds_by_pool = defaultdict(deque)

    def record_answer(self, pool, missed, now):
        """Counts one answer."""
        seconds = self._seconds_by_pool[pool]
        second = int(now)
        if not seconds or seconds[-1][0] != second:
            seconds.append([second, 0, 0])
        seconds[-1][1] += 1
        seconds[-1][2] += missed

    def counts(self, pool, now):
        """Returns (answers, misses) of a pool in the window."""
        seconds = self._seconds_by_pool[pool]
        while seconds and seconds[0][0] < now - WINDOW_S:
            seconds.popleft()
        return sum(s[1] for s in seconds), sum(s[2] for s in seconds)

    def burning_pools(self, now):
        """Returns the pools whose burn rate pauses maintenance, sorted."""
        burning = []
        for pool in sorted(self._seconds_by_pool):
            total, missed = self.counts(pool, now)
            if total >= MIN_ANSWERS and burn_rate(missed, total) >= PAUSE_RATE:
                burning.append(pool)
        return burning
