"""Bounds the accepted work by the memory that it takes on the leader.

Load pattern: one caller hands in jobs faster than they end, for so long that they
would not fit into the memory of any leader.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass

# Greatest memory of a job, of a step in one occurrence and of a task, in bytes, beside
# the job's text.
JOB_BYTES = 2_500
STEP_BYTES = 1_500
TASK_BYTES = 100
# Share of a node's memory that accepted work may take: a node that leads again holds
# the work of its former leadership for a moment, beside what the process needs.
WORK_SHARE = 0.25
# Share of that which is kept for queues that hold less than an equal part of it.
KEPT_SHARE = 0.25
# Room that a job needs, as a multiple of its size: less than half of all.
ROOM_FACTOR = 16
# Time after which the leader's figures contain what a node has accepted, in seconds.
FIGURES_AGE_S = 2.0
# Bounds of the time after which refused callers may try again, in seconds.
MIN_RETRY_S, MAX_RETRY_S = 1, 30
# Time constant of the rate at which memory becomes free, in seconds.
RATE_TIME_S = 10.0


def bytes_of_occurrence(request):
    """Returns the memory of one occurrence of a job, in bytes."""
    return sum(STEP_BYTES + TASK_BYTES * step.count for step in request.steps)


def bytes_of_text(request):
    """Returns the memory of a job without its occurrences, in bytes."""
    return JOB_BYTES + len(request.spec)


def held_by_queue(tables):
    """Returns the memory of all jobs in the tables, in bytes by queue."""
    held = Counter()
    for job in tables.jobs_by_id.values():
        size = job.text_bytes + len(job.occurrences) * job.occurrence_bytes
        held[job.queue_name] += size
    return dict(held)


@dataclass(slots=True)
class FreedRate:
    """Rate at which the memory of work becomes free, in bytes a second.

    Attributes:
        per_s: The rate, averaged over about ``RATE_TIME_S``.
    """

    per_s: float = 0.0
    _held: float = 0.0
    _measured_at: float = -math.inf

    def measure(self, held, now):
        """Takes in the memory that is held now, in bytes; growth counts for nothing."""
        elapsed_s = now - self._measured_at
        freed = max(0.0, self._held - held)
        if elapsed_s > 0:
            weight = 1 - math.exp(-elapsed_s / RATE_TIME_S)
            self.per_s += weight * (freed / elapsed_s - self.per_s)
        self._held, self._measured_at = held, now


@dataclass(frozen=True, slots=True)
class AcceptedWork:
    """Work that this node has accepted.

    Attributes:
        at: Clock when it was accepted.
        queue_name: Its queue.
        size: Its memory, in bytes.
    """

    at: float
    queue_name: str
    size: int


class WorkBound:
    """Decides whether a node accepts more work.

    It goes by the leader's figures and by what the node itself has accepted since. As
    several nodes accept at the same time, the bound may be passed by a little: what
    has been accepted is kept.

    Attributes:
        limit: Greatest memory of all work, in bytes.
        queues: Number of queues that share it.

    Args:
        memory_mb: Memory of a node's process.
    """

    def __init__(self, memory_mb):
        self.limit = int(memory_mb * 1e6 * WORK_SHARE)
        self.queues = 1
        self._held_by_queue = {}
        self._freed_per_s = 0.0
        self._accepted = deque()
        self._accepted_by_queue = Counter()

    def update(self, held_by_queue, freed_per_s, now):
        """Takes in the leader's figures.

        Args:
            held_by_queue: Memory of the accepted work in bytes, by queue.
            freed_per_s: Rate at which it becomes free, in bytes a second.
            now: Current clock in seconds.
        """
        self._held_by_queue = held_by_queue
        self._freed_per_s = freed_per_s
        while self._accepted and self._accepted[0].at <= now - FIGURES_AGE_S:
            work = self._accepted.popleft()
            self._accepted_by_queue[work.queue_name] -= work.size

    @property
    def held(self):
        """Memory of all accepted work, as far as it is known, in bytes."""
        own = self._accepted_by_queue.values()
        return sum(self._held_by_queue.values()) + sum(own)

    def _held_of(self, queue_name):
        own = self._accepted_by_queue.get(queue_name, 0)
        return self._held_by_queue.get(queue_name, 0) + own

    def note_accepted(self, queue_name, request, now):
        """Counts a job that this node has accepted."""
        size = bytes_of_text(request) + bytes_of_occurrence(request)
        self._accepted.append(AcceptedWork(now, queue_name, size))
        self._accepted_by_queue[queue_name] += size

    def retry_after_s(self, queue_name, request):
        """Returns 0 if there is room for a job, else when there may be, in seconds.

        A queue may use what the others leave, but for a kept part; of that each queue
        that holds little may have an equal share. Large jobs leave room for smaller
        ones, which other callers of the queue may have.
        """
        size = bytes_of_text(request) + bytes_of_occurrence(request)
        lent = self.limit * (1 - KEPT_SHARE)
        needed = max(size, min(ROOM_FACTOR * size, lent / 2))
        excess = self.held + needed - lent
        own_share = self.limit * KEPT_SHARE / max(1, self.queues)
        if excess <= 0 or self._held_of(queue_name) + size <= own_share:
            return 0
        if not self._freed_per_s:
            return MAX_RETRY_S
        wait_s = math.ceil(excess / self._freed_per_s)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
