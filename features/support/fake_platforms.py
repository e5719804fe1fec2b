"""A platform in memory, for tests of the job controller and the job pages."""

from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.platforms import ABSENT, Versioned


class FakePlatform:
    """Stores values in memory; fails or runs a callback when a test asks for it.

    Attributes:
        versioned_by_key: Stored values.
        failing: Names of the methods that fail.
        after_read: Called once after the next read of a key, or None.
    """

    def __init__(self):
        self.versioned_by_key = {}
        self.failing = set()
        self.after_read = None
        self._revision = 0

    def put(self, key, value):
        """Stores a value."""
        self._revision += 1
        self.versioned_by_key[key] = Versioned(value, self._revision)
        return self._revision

    async def read(self, key):
        """Reads one value."""
        found = self.versioned_by_key.get(key, ABSENT)
        if self.after_read is not None:
            callback, self.after_read = self.after_read, None
            callback()
        return Success(found)

    async def write(self, key, value, expected_revision=None, lease=""):
        """Writes a value."""
        return self._unless_failing("write") or Success(self.put(key, value))

    async def delete(self, key, expected_revision=None):
        """Deletes a value."""
        self.versioned_by_key.pop(key, None)
        return Success(None)

    async def list_values(self, prefix):
        """Returns the values under a prefix."""
        found = self.versioned_by_key.items()
        return Success({key: v for key, v in found if key.startswith(prefix)})

    async def read_tasks(self, data_centre):
        """Returns no task reports."""
        return self._unless_failing("read_tasks") or Success({})

    async def start_tasks(self, data_centre, tasks):
        """Accepts all starts."""
        return Success(None)

    async def renew_tasks(self, hosts, ttl_s):
        """Accepts all renewals."""
        return Success(None)

    def _unless_failing(self, method):
        if method in self.failing:
            return Failure(PlatformUnavailable(f"{method} failed", ""))
        return None
