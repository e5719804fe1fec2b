"""Keeps account of refused values of other writers, so that each is logged once."""

# Number of keys remembered; the one refused first is forgotten first.
MAX_KEYS = 1000
# Length of a logged reason: it may quote the value.
MAX_REASON_LENGTH = 400


class RefusedValues:
    """Why values were refused, by key."""

    def __init__(self):
        self._reasons_by_key = {}

    def log_new(self, logger, message, key, error):
        """Logs a refusal, unless the key was last refused for the same reason.

        Args:
            logger: Logger of the module that refuses the value.
            message: Message of the log line.
            key: Key of the value.
            error: Why it is refused.
        """
        reason = str(error)[:MAX_REASON_LENGTH]
        if self._reasons_by_key.pop(key, None) != reason:
            logger.warning(message, extra={"key": key, "error": reason})
        self._reasons_by_key[key] = reason
        if len(self._reasons_by_key) > MAX_KEYS:
            del self._reasons_by_key[next(iter(self._reasons_by_key))]

    def forget(self, key):
        """Forgets a key whose value is used again."""
        self._reasons_by_key.pop(key, None)
