"""When a node that was told to stop ends which of its duties."""

from dataclasses import dataclass
from enum import IntEnum

# Time after which the balancer sends no new connections, in seconds: it asks
# for readiness each second and gives a node up after two misses.
UNNOTICED_S = 2.2
# Quiet after which no request is taken to be on its way, in seconds: clients on
# open connections send again at once, and a full thin link delays them.
QUIET_S = 0.6


class DrainPhase(IntEnum):
    """What a stopping node still does, in order."""

    ACCEPTING = 1
    ANSWERING = 2
    ENDED = 3


@dataclass(frozen=True)
class Drain:
    """A stop under way.

    Attributes:
        began_at: When the node was told to stop, in seconds.
        ends_at: When it ends at the latest.
    """

    began_at: float
    ends_at: float

    def phase(self, now, under_way, last_request_at):
        """Returns the ``DrainPhase``.

        Args:
            now: Present time.
            under_way: Number of requests read and not answered.
            last_request_at: When a request was last read or answered.
        """
        if now >= self.ends_at:
            return DrainPhase.ENDED
        if now - self.began_at < UNNOTICED_S:
            return DrainPhase.ACCEPTING
        if under_way or now - last_request_at < QUIET_S:
            return DrainPhase.ANSWERING
        return DrainPhase.ENDED
