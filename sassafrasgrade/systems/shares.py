"""Fair queue of one pool: guaranteed shares by class, lent to others while unused.

Start-time fair queueing over classes of (urgency, team): each class has a
virtual time that advances by the cost of its served requests, divided by its
weight. The class with the lowest virtual time is served first; a more urgent
class may run ahead by a bounded amount, so that urgency shortens waits without
changing shares.
"""

from collections import deque
from dataclasses import dataclass

from sassafrasgrade.rendezvous import score

# Virtual time by which a more urgent class may run ahead, in mean request costs
# at weight 1.
URGENCY_LEAD = 4.0
COST_SMOOTHING = 0.1
INITIAL_COST_S = 0.02
# Mean deviations added to the mean for a service time that few requests exceed.
SERVICE_DEVIATIONS = 3.0


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot at the owner.

    Attributes:
        request_id: Id of the request.
        pool: Pool that serves it.
        urgency: Rank of its urgency, 0 most urgent.
        team: Quota account.
        weight: Guaranteed share of its class.
        repeatable: Whether it may run more than once.
        enqueued_at: When the owner received it.
        deadline_at: When its answer must be complete.
        origin: Entry host that has the caller's connection.
        excluded: Hosts that must not serve it.
    """

    request_id: str
    pool: str
    urgency: int
    team: str
    weight: int
    repeatable: bool
    enqueued_at: float
    deadline_at: float
    origin: str
    excluded: tuple[str, ...] = ()

    @property
    def class_key(self):
        """Class of the request: (urgency, team)."""
        return self.urgency, self.team


class WorkClass:
    """Queue, virtual time and cost estimate of one class."""

    __slots__ = ("key", "weight", "virtual_s", "cost_s", "deviation_s", "queue")

    def __init__(self, key, cost_s):
        self.key = key
        self.weight = 1
        self.virtual_s = 0.0
        self.cost_s = cost_s
        self.deviation_s = 0.0
        self.queue = deque()

    @property
    def service_bound_s(self):
        """Service time that few requests exceed."""
        return self.cost_s + SERVICE_DEVIATIONS * self.deviation_s

    def update_cost(self, service_s):
        """Updates the cost estimate from one service time and corrects its charge."""
        error_s = service_s - self.cost_s
        self.virtual_s += error_s / self.weight
        self.cost_s += COST_SMOOTHING * error_s
        self.deviation_s += COST_SMOOTHING * (abs(error_s) - self.deviation_s)


class ShareQueue:
    """Queue of one pool at one owner."""

    def __init__(self):
        self._classes_by_key = {}
        self._waiting_by_id = {}
        self._virtual_s = 0.0
        self._mean_cost_s = INITIAL_COST_S

    def __len__(self):
        return len(self._waiting_by_id)

    def cost_of(self, key):
        """Returns the mean service time of a class, in seconds."""
        found = self._classes_by_key.get(key)
        return found.cost_s if found else self._mean_cost_s

    def predict_wait(self, waiting, slots):
        """Returns how long a new request would wait for a slot, in seconds.

        Args:
            waiting: The request.
            slots: Slots that serve the queue.
        """
        return self.waits_by_class(slots).get(waiting.class_key, 0.0)

    def service_bound_of(self, key):
        """Returns the service time that few requests of a class exceed."""
        work = self._classes_by_key.get(key)
        return work.service_bound_s if work else self._mean_cost_s

    def waits_by_class(self, slots):
        """Returns the predicted wait in seconds of each class that queues."""
        queued = [work for work in self._classes_by_key.values() if work.queue]
        weights = sum(work.weight for work in queued)
        return {
            work.key: len(work.queue)
            * work.cost_s
            * weights
            / (max(slots, 1) * work.weight)
            for work in queued
        }

    def push(self, waiting):
        """Adds a request."""
        key = waiting.class_key
        work = self._classes_by_key.get(key)
        if work is None:
            work = self._classes_by_key[key] = WorkClass(key, self._mean_cost_s)
        if not work.queue:
            work.virtual_s = max(work.virtual_s, self._virtual_s)
        work.weight = max(work.weight, waiting.weight)
        work.queue.append(waiting)
        self._waiting_by_id[waiting.request_id] = waiting

    def remove(self, request_id):
        """Removes a request from the queue; returns it or None."""
        return self._waiting_by_id.pop(request_id, None)

    def pop(self, accepts=None):
        """Removes and returns the next request.

        Args:
            accepts: Function that returns whether a request can be served now;
                classes whose first request cannot are skipped.

        Returns:
            The request, after charging its class, or None.
        """
        candidates = []
        for work in self._classes_by_key.values():
            self._drop_removed(work)
            if work.queue and (accepts is None or accepts(work.queue[0])):
                candidates.append(work)
        if not candidates:
            return None
        work = self._choose(candidates)
        waiting = work.queue.popleft()
        del self._waiting_by_id[waiting.request_id]
        self._virtual_s = max(
            self._virtual_s, min(candidate.virtual_s for candidate in candidates)
        )
        work.virtual_s += work.cost_s / work.weight
        return waiting

    def expire(self, now):
        """Removes and returns the requests that cannot be answered in time."""
        late = [
            waiting
            for waiting in self._waiting_by_id.values()
            if self.latest_start(waiting) < now
        ]
        for waiting in late:
            del self._waiting_by_id[waiting.request_id]
        return late

    def latest_start(self, waiting):
        """Returns the latest time to start a request and still answer it in time."""
        expected_s = self.service_bound_of(waiting.class_key)
        total_s = waiting.deadline_at - waiting.enqueued_at
        # Requests of a class that became slow can still start until half of their
        # time is over.
        return waiting.deadline_at - min(expected_s, total_s / 2)

    def record_service_time(self, key, service_s):
        """Updates a class's cost estimate and corrects its charge."""
        work = self._classes_by_key.get(key)
        self._mean_cost_s += COST_SMOOTHING * (service_s - self._mean_cost_s)
        if work is not None:
            work.update_cost(service_s)

    def drain(self):
        """Removes and returns everything that waits."""
        waiting = list(self._waiting_by_id.values())
        self._waiting_by_id.clear()
        for work in self._classes_by_key.values():
            work.queue.clear()
        return waiting

    def _choose(self, candidates):
        least_s = min(work.virtual_s for work in candidates)
        lead_s = URGENCY_LEAD * self._mean_cost_s
        ahead = [
            work
            for work in candidates
            if work.virtual_s <= least_s + lead_s / work.weight
        ]
        return min(ahead, key=lambda work: (work.key[0], work.virtual_s))

    def _drop_removed(self, work):
        while work.queue and work.queue[0].request_id not in self._waiting_by_id:
            work.queue.popleft()


class FifoQueue(ShareQueue):
    """Baseline: first in, first out, without classes or early refusal."""

    def __init__(self):
        super().__init__()
        self._queue = deque()

    def waits_by_class(self, slots):
        """Predicts no waits, so that no request is refused early."""
        return {}

    def push(self, waiting):
        """Adds a request at the end."""
        self._queue.append(waiting)
        self._waiting_by_id[waiting.request_id] = waiting

    def pop(self, accepts=None):
        """Removes and returns the first request, or None if it cannot be served now."""
        while self._queue and self._queue[0].request_id not in self._waiting_by_id:
            self._queue.popleft()
        if not self._queue or (accepts and not accepts(self._queue[0])):
            return None
        waiting = self._queue.popleft()
        del self._waiting_by_id[waiting.request_id]
        return waiting

    def latest_start(self, waiting):
        """Returns the deadline, without an allowance for the service time."""
        return waiting.deadline_at

    def drain(self):
        """Removes and returns everything that waits."""
        self._queue.clear()
        return super().drain()


def tie_break(request_id, host):
    """Returns a deterministic score that spreads equal choices evenly."""
    return score(host, request_id)
