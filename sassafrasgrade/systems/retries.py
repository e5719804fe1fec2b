"""Budget of retries and hedges, as a fixed share of the requests."""

RETRY_SHARE = 0.1
MAX_CREDIT = 20.0


class RetryBudget:
    """Token bucket: each request adds a share of a token, each repeat spends one.

    Args:
        share: Repeats allowed per request.
    """

    def __init__(self, share=RETRY_SHARE):
        self._share = share
        self._credit = MAX_CREDIT / 2

    def record_request(self):
        """Adds the credit of one first attempt."""
        self._credit = min(MAX_CREDIT, self._credit + self._share)

    def spend(self):
        """Spends the credit of one repeat; returns whether there was enough."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
