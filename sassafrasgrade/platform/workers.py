"""Client of the platform's workers: starts, stops, polls and paces runs."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import (
    HTTP_OK,
    JsonCaller,
    was_never_sent,
    was_sent_again,
)
from sassafrasgrade.platform.messages import OrderReply, WorkerView

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_WRONG_INSTANCE = 421
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503

_views = msgspec.json.Decoder(WorkerView)
_replies = msgspec.json.Decoder(OrderReply)


class OrderOutcome(Enum):
    """Outcome of an order to a worker.

    ``NOT_SENT``: no copy was sent, mostly for want of a connection. ``HELD_BACK``: a
    poll was not sent, or not again, since it might have reached a later incarnation.
    """

    DONE = "done"
    FENCED = "fence"
    OUTDATED = "old"
    LATE = "late"
    NO_ROOM = "room"
    BAD_TICKET = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    WRONG_INSTANCE = "wrong-instance"
    NOT_SENT = "not-sent"
    HELD_BACK = "held-back"
    UNKNOWN = "unknown"


# Longest time that a new connection may take for a poll that acknowledges ends, in
# seconds: a first packet that is repeated may reach a later incarnation, whose ends
# have other numbers.
ACKNOWLEDGE_WITHIN_S = 0.25
# Outcomes that prove that the order had no effect.
NO_EFFECT_OUTCOMES = frozenset(OrderOutcome) - {
    OrderOutcome.DONE,
    OrderOutcome.HELD_BACK,
    OrderOutcome.UNKNOWN,
}
# Outcomes that are acted on whatever became of earlier copies of the order. A fence is
# none of them: a later call of the same leader may have come between two copies.
OUTCOMES_OF_ALL_COPIES = frozenset({OrderOutcome.DONE})


@dataclass(frozen=True)
class WorkerReply:
    """Answer of a worker.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: The worker's clock; 0 if it was not sent.
        view: The worker's lists of runs; only set in answers to ``poll_runs``.
        detail: Status or transport error, for logs.
    """

    outcome: OrderOutcome
    clock_ms: float = 0
    view: WorkerView | None = None
    detail: str = ""


class WorkerClient:
    """Sends orders to one worker.

    Args:
        http: ``CurlClient`` shared by the process.
        worker_id: Id of the worker incarnation that the orders are for.
        address: IP address and port.
    """

    def __init__(self, http, worker_id, address):
        self._caller = JsonCaller(http, address)
        self._headers = {names.EXPECT_INSTANCE_HEADER: worker_id}

    async def start(self, order, timeout_s):
        """Starts a run.

        Args:
            order: ``StartOrder``.
            timeout_s: Timeout in seconds.
        """
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadlineMs": int(order.deadline_ms),
            "fencingToken": order.token,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(names.RUN_START_PATH, body, timeout_s)

    async def stop(self, task, run, token, timeout_s):
        """Stops a run, or prevents its start if that has not arrived yet."""
        body = {"task": task, "run": run, "fencingToken": token}
        return await self._order(names.RUN_STOP_PATH, body, timeout_s)

    async def pace(self, task, run, percent, token, timeout_s):
        """Limits a run to a percentage of its full speed."""
        body = {"task": task, "run": run, "percent": percent, "fencingToken": token}
        return await self._order(names.PACE_PATH, body, timeout_s)

    async def poll_runs(self, token, observed, deadline_ms, wait_s, timeout_s):
        """Renews the lease of all runs and reads both lists, with a long poll.

        Args:
            token: Fencing token.
            observed: Number of the last ended run that the worker may forget.
            deadline_ms: New end of the lease on the worker's clock, or None.
            wait_s: How long the worker may wait for a run to end.
            timeout_s: Timeout of the call in seconds.
        """
        body = {"fencingToken": token, "observed": observed}
        if deadline_ms is not None:
            body["deadlineMs"] = int(deadline_ms)
        if wait_s:
            body["waitMs"] = int(wait_s * 1000)
        once_within_s = ACKNOWLEDGE_WITHIN_S if observed else None
        return await self._order(
            names.HOLD_PATH, body, timeout_s, _views, once_within_s
        )

    async def _order(self, path, body, timeout_s, decoder=None, once_within_s=None):
        response = await self._caller.fetch(
            "POST",
            path,
            body,
            timeout_s,
            self._headers,
            once_within_s=once_within_s,
        )
        if response.is_held_back:
            detail = f"{response.copies} copies sent"
            return WorkerReply(OrderOutcome.HELD_BACK, detail=detail)
        if was_never_sent(response):
            return WorkerReply(OrderOutcome.NOT_SENT, detail=str(response.error))
        try:
            reply = _reply(response, decoder)
        except DECODE_ERRORS as error:
            return WorkerReply(OrderOutcome.UNKNOWN, detail=f"unreadable: {error}")
        if was_sent_again(response) and reply.outcome not in OUTCOMES_OF_ALL_COPIES:
            detail = f"{reply.outcome.value}, after {response.copies} copies"
            return WorkerReply(OrderOutcome.UNKNOWN, reply.clock_ms, detail=detail)
        return reply


def _reply(response, decoder):
    code = response.code
    if code == HTTP_OK and decoder is not None:
        view = decoder.decode(response.body)
        return WorkerReply(OrderOutcome.DONE, view.clock_ms, view)
    if code == HTTP_OK:
        return WorkerReply(OrderOutcome.DONE, _replies.decode(response.body).clock_ms)
    if code == HTTP_CONFLICT:
        reply = _replies.decode(response.body)
        return WorkerReply(OrderOutcome(reply.reason), reply.clock_ms)
    if code == HTTP_WRONG_INSTANCE:
        return WorkerReply(OrderOutcome.WRONG_INSTANCE)
    if code in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
        return WorkerReply(OrderOutcome.UNHEALTHY, detail=str(code))
    if code == HTTP_BAD_REQUEST:
        return WorkerReply(OrderOutcome.INVALID, detail=str(code))
    return WorkerReply(OrderOutcome.UNKNOWN, detail=str(response.error or code))
