"""A store behind a thin link, under a clock of its own."""

from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.platform.stores import (
    RANGE_TIMEOUT_S,
    WATCH_MARGIN_S,
    Changes,
    Item,
)

KEY = "op/config"
ANSWER_S = 0.008
BITS_A_BYTE = 8


class ThinLinkStore:
    """Answers range reads and watches of one key that changes on a schedule.

    Args:
        link_mbps: Rate of the link, in Mbit/s.
        value_kb: Size of each version as the store sends it, in KB.
        written_at: When each version was written, in seconds, ascending.
    """

    def __init__(self, link_mbps, value_kb, written_at):
        self.now = 0.0
        self._bytes_per_s = link_mbps * 1e6 / BITS_A_BYTE
        self._value_bytes = value_kb * 1000
        self._written_at = written_at
        self.bytes_sent = 0

    async def read_range(self, prefix):
        """Returns the newest version."""
        versions = self._versions_until(self.now + ANSWER_S)[-1:]
        if not self._transfer(len(versions), RANGE_TIMEOUT_S):
            return Failure(PlatformUnavailable("the read timed out", ""))
        items = tuple(Item(KEY, b"", version) for version in versions)
        return Success((items, max(versions, default=0)))

    async def watch(self, prefix, after_revision, wait_s):
        """Returns all versions after a revision, once there is one."""
        give_up_at = self.now + wait_s
        later = self._written_at[after_revision:]
        until = min([*later[:1], give_up_at])
        self.now = max(self.now + ANSWER_S, until)
        versions = self._versions_until(self.now)[after_revision:]
        began = self.now
        if not self._transfer(len(versions), give_up_at + WATCH_MARGIN_S - began):
            return Failure(PlatformUnavailable("the watch timed out", ""))
        items = tuple(Item(KEY, b"", version) for version in versions)
        revision = max(versions, default=after_revision)
        return Success(Changes(items, revision, self.now - began))

    def _versions_until(self, moment):
        return [n for n, at in enumerate(self._written_at, 1) if at <= moment]

    def _transfer(self, versions, timeout_s):
        """Lets an answer pass; returns whether it arrived in time."""
        size = versions * self._value_bytes
        needed_s = size / self._bytes_per_s
        self.now += min(needed_s, timeout_s)
        self.bytes_sent += size
        return needed_s <= timeout_s
