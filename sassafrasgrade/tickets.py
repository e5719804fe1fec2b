"""Tickets of the advice service, by step and worker."""

from collections import deque
from dataclasses import dataclass, field

# Workers named in one call: each adds to the time of the answer.
MAX_WORKERS_PER_CALL = 6
# Time before its end in which a ticket is not used any more, in seconds.
EXPIRY_MARGIN_S = 0.2
# Pause before workers that were turned down are asked about again, in seconds:
# the service's word on a step does not change, but workers come and go.
REFUSAL_RETRY_S = 60.0


@dataclass(slots=True)
class StepAdvice:
    """What the service said of one step.

    Attributes:
        tickets_by_worker: (ticket, clock until which it is valid) by worker id.
        asked: Clock of the last question by worker id.
    """

    tickets_by_worker: dict[str, tuple[str, float]] = field(default_factory=dict)
    asked: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TicketTable:
    """Tickets held, and steps that wait for them.

    Attributes:
        advice_by_step: What is known, by ``job.occurrence.step``.
        wanted: Steps to ask about, in order.
    """

    advice_by_step: dict[str, StepAdvice] = field(default_factory=dict)
    wanted: deque = field(default_factory=deque)

    def ticket(self, step_key, worker_id, now):
        """Returns a valid ticket, or None."""
        advice = self.advice_by_step.get(step_key)
        if advice is None:
            return None
        ticket, until = advice.tickets_by_worker.get(worker_id, ("", 0.0))
        return ticket if until > now + EXPIRY_MARGIN_S else None

    def enqueue(self, step_key):
        """Notes that a step waits for tickets."""
        if step_key not in self.wanted:
            self.wanted.append(step_key)

    def drop(self, step_key, worker_id):
        """Forgets a ticket that was rejected, so that it is asked for again."""
        advice = self.advice_by_step.get(step_key)
        if advice is not None:
            advice.tickets_by_worker.pop(worker_id, None)
            advice.asked.pop(worker_id, None)

    def workers_to_ask(self, step_key, worker_ids, now):
        """Returns the workers to name in the next call, best first."""
        advice = self.advice_by_step.setdefault(step_key, StepAdvice())
        due_worker_ids = [
            worker_id
            for worker_id in worker_ids
            if now - advice.asked.get(worker_id, -REFUSAL_RETRY_S) >= REFUSAL_RETRY_S
            or self._has_lapsed(advice, worker_id, now)
        ]
        return due_worker_ids[:MAX_WORKERS_PER_CALL]

    @staticmethod
    def _has_lapsed(advice, worker_id, now):
        row = advice.tickets_by_worker.get(worker_id)
        return row is not None and row[1] <= now + EXPIRY_MARGIN_S

    def note(self, step_key, asked, good, valid_s, now):
        """Takes in an answer: rows of worker id and ticket."""
        advice = self.advice_by_step.setdefault(step_key, StepAdvice())
        for worker_id in asked:
            advice.asked[worker_id] = now
        for worker_id, ticket in good:
            advice.tickets_by_worker[worker_id] = (ticket, now + valid_s)

    def forget_job(self, job_id):
        """Drops what is known of a job's steps."""
        for step_key in [k for k in self.advice_by_step if k.startswith(job_id)]:
            del self.advice_by_step[step_key]
