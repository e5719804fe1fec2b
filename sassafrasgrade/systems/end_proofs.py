"""Proofs that a run has ended, without which its task must not start again."""

import logging
from dataclasses import dataclass
from enum import StrEnum

from sassafrasgrade.work_tables import MS_PER_S

logger = logging.getLogger(__name__)


class ProofKind(StrEnum):
    """What shows that a run has ended or never began, or why its worker is removed.

    Workers are removed for ``ANOTHER_ANSWERS``, ``ADDRESS_CHANGED`` and ``WORKER_GONE``
    only once they have no runs.
    """

    END_LISTED = "end listed"
    ABSENT = "absent from a later list"
    START_REFUSED = "start refused"
    START_NOT_SENT = "start not sent"
    LEASE_LAPSED = "lease lapsed"
    ANOTHER_ANSWERS = "another incarnation answers at the address"
    ADDRESS_CHANGED = "worker registered with another address"
    HOST_RUNS_ANOTHER = "host runs a later worker"
    HOST_ORDERED = "host order carried out"
    WORKER_GONE = "worker neither registered nor answering"


@dataclass(frozen=True, slots=True)
class EndProof:
    """A fact that shows that a run has ended.

    Attributes:
        kind: What kind of fact.
        known_at: Clock as of which it held, in seconds.
    """

    kind: ProofKind
    known_at: float


def log_forgotten_run(run, worker, proof, now):
    """Logs why a run is forgotten; listed ends have a line of their own.

    Args:
        run: The run.
        worker: Its worker, or None.
        proof: ``EndProof``.
        now: Current clock in seconds.
    """
    if proof.kind is ProofKind.END_LISTED:
        return
    fields = {
        "job": run.task.job.job_id,
        "task": run.task.name,
        "run": run.number,
        "worker": run.worker_id,
        "state": str(run.state),
        "proof": str(proof.kind),
        "proof_age_ms": round((now - proof.known_at) * MS_PER_S),
    }
    if run.sent_at:
        fields["sent_to_born"] = run.sent_to_born_ms
        fields["order_age_ms"] = round((now - run.sent_at) * MS_PER_S)
        fields["is_answered"] = run.answered_at > 0
    if worker is not None:
        fields["born"] = worker.born_ms
        fields["lease_left_ms"] = round((worker.lease_until - now) * MS_PER_S)
        longest_left_s = worker.longest_lease_until - now
        fields["longest_lease_left_ms"] = round(longest_left_s * MS_PER_S)
        if worker.last_answer_at:
            fields["list_age_ms"] = round((now - worker.last_answer_at) * MS_PER_S)
    logger.info("run forgotten", extra=fields)
