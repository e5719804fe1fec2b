"""Budget of retries and hedges: a fixed share of the requests."""

RETRY_SHARE = 0.1
LONGEST_CREDIT = 20.0


class RetryBudget:
    """Token bucket that requests fill and repeats empty.

    Args:
        share: Repeats allowed per request.
    """

    def __init__(self, share=RETRY_SHARE):
        self._share = share
        self._credit = LONGEST_CREDIT / 2

    def note_request(self):
        """Counts one first attempt."""
        self._credit = min(LONGEST_CREDIT, self._credit + self._share)

    def take(self):
        """Spends one repeat; returns whether there was one to spend."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
