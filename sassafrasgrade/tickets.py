"""Tickets of the advice service, by step and worker."""

from dataclasses import dataclass, field

# Limit on workers named in one call, since each adds to the response time.
MAX_WORKERS_PER_CALL = 6
# Time before its expiry from which a ticket is no longer used, in seconds.
EXPIRY_MARGIN_S = 0.2
# Delay before the service is asked again about workers that it refused, in seconds:
# its advice on a step does not change, but workers come and go.
REFUSAL_RETRY_S = 60.0


@dataclass(slots=True)
class StepAdvice:
    """The service's answers for one step.

    Attributes:
        tickets_by_worker: (ticket, clock until which it is valid) by worker id.
        asked_at_by_worker: Clock of the last request by worker id.
    """

    tickets_by_worker: dict[str, tuple[str, float]] = field(default_factory=dict)
    asked_at_by_worker: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TicketTable:
    """Available tickets, and the steps that wait for tickets.

    Attributes:
        advice_by_step: ``StepAdvice`` by ``job.occurrence.step``.
        wanted: Ids of the workers to ask about, best first, by step. Steps come in
            the order in which they are served.
        unconfirmed: Wanted steps that the placement under way has not confirmed.
    """

    advice_by_step: dict[str, StepAdvice] = field(default_factory=dict)
    wanted: dict[str, list[str]] = field(default_factory=dict)
    unconfirmed: set[str] = field(default_factory=set)

    def ticket(self, step_key, worker_id, now):
        """Returns a valid ticket, or None."""
        advice = self.advice_by_step.get(step_key)
        if advice is None:
            return None
        ticket, until = advice.tickets_by_worker.get(worker_id, ("", 0.0))
        return ticket if until > now + EXPIRY_MARGIN_S else None

    def begin_placement(self):
        """Lets the placement that begins decide again which steps wait for tickets."""
        self.unconfirmed = set(self.wanted)

    def end_placement(self):
        """Removes the steps that no longer wait; the others keep their turn."""
        for step_key in self.unconfirmed:
            self.wanted.pop(step_key, None)
        self.unconfirmed = set()

    def is_confirmed(self, step_key):
        """Whether the placement under way has found that a step waits for tickets."""
        return step_key in self.wanted and step_key not in self.unconfirmed

    def want(self, step_key, worker_ids):
        """Records that a step waits for tickets.

        Args:
            step_key: ``job.occurrence.step``.
            worker_ids: Workers that may take one of its tasks, best first.
        """
        self.wanted[step_key] = worker_ids
        self.unconfirmed.discard(step_key)

    def take_wanted(self):
        """Removes the step whose turn it is; returns it and its workers."""
        step_key = next(iter(self.wanted))
        return step_key, self.wanted.pop(step_key)

    def drop(self, step_key, worker_id):
        """Removes a rejected ticket, so that a new one is requested."""
        advice = self.advice_by_step.get(step_key)
        if advice is not None:
            advice.tickets_by_worker.pop(worker_id, None)
            advice.asked_at_by_worker.pop(worker_id, None)

    def workers_to_ask(self, step_key, worker_ids, now):
        """Returns workers to name in the next call; ``worker_ids`` is best-first."""
        due = [w for w in worker_ids if self.may_ask(step_key, w, now)]
        return due[:MAX_WORKERS_PER_CALL]

    def may_ask(self, step_key, worker_id, now):
        """Whether the service has not decided on a worker, or its ticket has lapsed."""
        advice = self.advice_by_step.get(step_key)
        if advice is None or worker_id not in advice.asked_at_by_worker:
            return True
        age_s = now - advice.asked_at_by_worker[worker_id]
        return age_s >= REFUSAL_RETRY_S or self._has_lapsed(advice, worker_id, now)

    @staticmethod
    def _has_lapsed(advice, worker_id, now):
        row = advice.tickets_by_worker.get(worker_id)
        return row is not None and row[1] <= now + EXPIRY_MARGIN_S

    def record_answer(self, step_key, asked, good, valid_s, now):
        """Records an answer.

        Args:
            step_key: ``job.occurrence.step``.
            asked: Ids of the workers named in the call.
            good: Pairs of worker id and ticket.
            valid_s: Validity of the tickets, in seconds.
            now: Current clock in seconds.
        """
        advice = self.advice_by_step.setdefault(step_key, StepAdvice())
        for worker_id in asked:
            advice.asked_at_by_worker[worker_id] = now
        for worker_id, ticket in good:
            advice.tickets_by_worker[worker_id] = (ticket, now + valid_s)
        # The next placement decides whether these tickets suffice.
        self.wanted.pop(step_key, None)

    def forget_worker(self, worker_id):
        """Removes the advice on a worker, which holds for one life of it."""
        for step_key in self.advice_by_step:
            self.drop(step_key, worker_id)

    def forget_job(self, job_id):
        """Removes the advice on a job's steps."""
        for step_key in [k for k in self.advice_by_step if k.startswith(job_id)]:
            del self.advice_by_step[step_key]
