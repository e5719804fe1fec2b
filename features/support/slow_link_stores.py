"""A simulated store behind a link of low bandwidth, with its own clock."""

from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.platform.stores import TRANSFER_TOTAL_S, Changes, Item

KEY = "op/config"
RESPONSE_DELAY_S = 0.008
BITS_PER_BYTE = 8


class SlowLinkStore:
    """Answers range reads and watches of one key that changes on a schedule.

    Args:
        link_mbps: Rate of the link, in Mbit/s.
        value_kb: Size of each version as sent by the store, in KB.
        written_at: When each version was written, in seconds, ascending.
    """

    def __init__(self, link_mbps, value_kb, written_at):
        self._now = 0.0
        self._bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
        self._value_bytes = value_kb * 1000
        self._written_at = written_at
        self.bytes_sent = 0

    def now(self):
        """Returns the simulated time in seconds, as a timer service does."""
        return self._now

    async def read_range(self, prefix, on_progress):
        """Returns the newest version."""
        versions = self._versions_until(self._now + RESPONSE_DELAY_S)[-1:]
        if not self._transfer(len(versions)):
            return Failure(PlatformUnavailable("the read timed out", ""))
        items = tuple(Item(KEY, b"", version) for version in versions)
        return Success((items, max(versions, default=0)))

    async def watch(self, prefix, after_revision, wait_s, on_progress):
        """Returns all versions after a revision; waits up to ``wait_s`` for one."""
        wait_ends_at = self._now + wait_s
        later_times = self._written_at[after_revision:]
        answer_at = min([*later_times[:1], wait_ends_at])
        self._now = max(self._now + RESPONSE_DELAY_S, answer_at)
        versions = self._versions_until(self._now)[after_revision:]
        began_at = self._now
        if not self._transfer(len(versions)):
            return Failure(PlatformUnavailable("the watch timed out", ""))
        items = tuple(Item(KEY, b"", version) for version in versions)
        revision = max(versions, default=after_revision)
        return Success(Changes(items, revision, self._now - began_at))

    def _versions_until(self, time_s):
        return [n for n, at in enumerate(self._written_at, 1) if at <= time_s]

    def _transfer(self, versions):
        """Advances the clock by a transfer; returns whether it ended in time."""
        size = versions * self._value_bytes
        needed_s = size / self._bytes_per_s
        self._now += min(needed_s, TRANSFER_TOTAL_S)
        self.bytes_sent += size
        return needed_s <= TRANSFER_TOTAL_S
