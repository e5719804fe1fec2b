"""Phases of a node's graceful stop."""

from dataclasses import dataclass
from enum import IntEnum

# Time after which the load balancer sends no new connections, in seconds: it
# checks readiness every second and drops a node after two failed checks.
BALANCER_DELAY_S = 2.2
# Time without a request after which none is expected to be in transit, in seconds:
# clients send the next one on an open connection at once, but a slow and busy
# link delays it.
IDLE_PERIOD_S = 0.6


class DrainPhase(IntEnum):
    """What a stopping node still serves, in order.

    Attributes:
        ACCEPTING: New connections and all requests.
        ANSWERING: Requests on connections that are open already.
        ENDED: Nothing.
    """

    ACCEPTING = 1
    ANSWERING = 2
    ENDED = 3


@dataclass(frozen=True)
class Drain:
    """A graceful stop in progress.

    Attributes:
        began_at: When the stop began, in seconds.
        ends_at: When it ends at the latest, in seconds.
    """

    began_at: float
    ends_at: float

    def phase(self, now, under_way, last_request_at):
        """Returns the current ``DrainPhase``.

        Args:
            now: Current time in seconds.
            under_way: Number of requests that are read but not answered.
            last_request_at: When a request was last read or answered.
        """
        if now >= self.ends_at:
            return DrainPhase.ENDED
        if now - self.began_at < BALANCER_DELAY_S:
            return DrainPhase.ACCEPTING
        if under_way or now - last_request_at < IDLE_PERIOD_S:
            return DrainPhase.ANSWERING
        return DrainPhase.ENDED
