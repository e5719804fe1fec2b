"""Failure answers to callers; only this module may report "not-run"."""

import json
from dataclasses import dataclass
from enum import StrEnum
from functools import cache

OUTCOME_HEADER = "Sassafrasgrade-Outcome"
REASON_HEADER = "Sassafrasgrade-Reason"
REQUEST_ID_HEADER = "X-Request-Id"
REPLAYED_HEADER = "Sassafrasgrade-Replayed"


class Outcome(StrEnum):
    """What happened to the work of a request that got no whole answer."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request failed."""

    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    BODY_TOO_LONG = "body-too-long"
    BAD_REQUEST = "bad-request"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    DEADLINE_PASSED = "deadline-passed"
    NO_HOST = "no-host"
    STOPPING = "stopping"
    KEY_UNCLAIMED = "key-unclaimed"
    KEY_IN_USE = "key-in-use"
    ALREADY_RUN = "already-run"
    KEY_UNSETTLED = "key-unsettled"
    NOT_FOUND = "not-found"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    ANSWER_LATE = "answer-late"
    ANSWER_CUT = "answer-cut"
    ANSWER_CROSSED = "answer-crossed"
    ANSWER_TOO_LONG = "answer-too-long"
    SERVER_REFUSED = "server-refused"
    SERVER_UNREACHABLE = "server-unreachable"


STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.NOT_FOUND: 404,
    Reason.BODY_TOO_LONG: 413,
    Reason.BAD_REQUEST: 400,
    Reason.DEADLINE_PASSED: 504,
    Reason.KEY_IN_USE: 409,
    Reason.ALREADY_RUN: 409,
    Reason.KEY_UNSETTLED: 409,
    Reason.ANSWER_LATE: 504,
    Reason.ANSWER_CUT: 502,
    Reason.ANSWER_CROSSED: 502,
    Reason.ANSWER_TOO_LONG: 502,
}
DEFAULT_STATUS = 503

REMEDIES = {
    Reason.NO_ROUTE: "Ask the operators for a route, or correct the path.",
    Reason.NO_CONFIGURATION: "Try again later; the system has no tables yet.",
    Reason.BODY_TOO_LONG: "Send a shorter body.",
    Reason.BAD_REQUEST: "Correct the request's headers.",
    Reason.BUSY: "Send the request again after Retry-After seconds.",
    Reason.OVERLOADED: "Send the request again after Retry-After seconds.",
    Reason.DEADLINE_PASSED: "Send the request again after Retry-After seconds.",
    Reason.NO_HOST: "Send the request again after Retry-After seconds.",
    Reason.STOPPING: "Send the request again; another entry host takes it.",
    Reason.KEY_UNCLAIMED: "Send the request again with the same key.",
    Reason.KEY_IN_USE: "Wait for the first request with this key.",
    Reason.ALREADY_RUN: "Do not repeat; look up the result of the first request.",
    Reason.NOT_FOUND: "Check the job's id; ended jobs are kept for ten minutes.",
    Reason.PLATFORM_UNAVAILABLE: "Send the request again with the same key.",
    Reason.KEY_UNSETTLED: "Do not repeat; look up whether the first request ran.",
    Reason.ANSWER_LATE: "Look up whether the work was done before repeating it.",
    Reason.ANSWER_CUT: "Look up whether the work was done before repeating it.",
    Reason.ANSWER_CROSSED: "Look up whether the work was done before repeating it.",
    Reason.ANSWER_TOO_LONG: "Ask the operators to raise longest_answer_bytes.",
    Reason.SERVER_REFUSED: "Send the request again after Retry-After seconds.",
    Reason.SERVER_UNREACHABLE: "Send the request again after Retry-After seconds.",
}


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status code.
        headers: (name, value) pairs without Content-Length.
        body: Whole body.
        outcome: What happened to the work; None unless the request failed.
        reason: Why the request failed; None unless it did.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    outcome: Outcome | None = None
    reason: Reason | None = None


@dataclass(slots=True)
class RunRecord:
    """What is known of whether a request's work may have run.

    Attributes:
        possible_runs: Attempts whose first byte may have been sent, less
            those that the server refused. An earlier request with the same
            idempotency key and an unknown outcome counts as one.
        has_run: Whether an answer of the server, or the stored record of the
            idempotency key, proves that the work ran.
    """

    possible_runs: int = 0
    has_run: bool = False

    @property
    def outcome(self):
        """The outcome to report to the caller if the request fails now."""
        if self.has_run:
            return Outcome.RAN
        if self.possible_runs:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN


def failure_answer(record, reason, request_id="", retry_after_s=0):
    """Builds a failure answer with the outcome that the run record proves.

    Args:
        record: ``RunRecord`` of the request.
        reason: Why it failed.
        request_id: The request's id, echoed.
        retry_after_s: Seconds after which a repeat may succeed; 0 for none.

    Returns:
        An ``Answer``; "not-run" only if no byte may have reached a server.
    """
    outcome = record.outcome
    status, headers, body = _failure_parts(outcome, reason)
    headers = (*headers, (REQUEST_ID_HEADER, request_id))
    if retry_after_s:
        whole_s = str(max(1, round(retry_after_s)))
        headers = (*headers, ("Retry-After", whole_s))
    return Answer(status, headers, body, outcome, reason)


def replay_answer(answer, request_id):
    """Returns the stored answer of an idempotency key for a repeated request."""
    headers = tuple(
        (name, request_id if name == REQUEST_ID_HEADER else value)
        for name, value in answer.headers
    )
    return Answer(answer.status, (*headers, (REPLAYED_HEADER, "true")), answer.body)


@cache
def _failure_parts(outcome, reason):
    """Returns (status, headers, body), which depend only on the arguments."""
    body = {
        "outcome": str(outcome),
        "reason": str(reason),
        "remedy": REMEDIES[reason],
    }
    headers = (
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, str(outcome)),
        (REASON_HEADER, str(reason)),
    )
    status = STATUS_BY_REASON.get(reason, DEFAULT_STATUS)
    return status, headers, json.dumps(body).encode()
