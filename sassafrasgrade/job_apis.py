"""Handles callers' requests: submits jobs, shows their states, cancels them."""

import logging

import msgspec
from returns.result import Failure

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.job_records import (
    CANCEL,
    PROGRESS,
    REQUEST,
    SubmittedJob,
    decode_progress,
    encode,
    job_key,
    split_key,
)
from sassafrasgrade.job_requests import JOB_ID_PATTERN, read_job
from sassafrasgrade.node_messages import JobAccepted, JobCancelled
from sassafrasgrade.store_batches import CreateOutcome
from sassafrasgrade.work_tables import MS_PER_S, WorkState

logger = logging.getLogger(__name__)

# Time reserved for the answer's way back to the caller, in seconds.
ANSWER_MARGIN_S = 0.15
# Deadline of requests without a deadline header, in seconds.
DEFAULT_DEADLINE_S = 3.0
# Longest time that a request is worked on, whatever its deadline, in seconds.
MAX_DEADLINE_S = 60.0
# Greatest age of the leader's counts that callers are shown, in seconds. The
# published limit is 2 s, and longer while a leader is replaced.
MAX_COUNT_AGE_S = 2.5
# ``Retry-After`` of answers while the store does not answer, or the configuration or
# the leader's counts are missing, in seconds.
STORE_RETRY_AFTER_S = 1


class Reply(msgspec.Struct, frozen=True):
    """Answer to a caller.

    Attributes:
        status: HTTP status.
        body: JSON value, or None.
        retry_after_s: Value of ``Retry-After`` in seconds; 0 for no header.
    """

    status: int
    body: dict | None = None
    retry_after_s: int = 0


class JobApi:
    """Handles requests to queues.

    Args:
        node: The ``Node``: configuration, store, batcher, link to the leader.
    """

    def __init__(self, node):
        self._node = node

    async def handle(self, method, host, path, body, deadline_s):
        """Answers one request.

        Args:
            method: HTTP method.
            host: ``Host`` header.
            path: Path without query.
            body: Bytes of the body.
            deadline_s: Time that the caller waits, in seconds, or None.

        Returns:
            ``Reply``.
        """
        if self._node.router is None:
            return Reply(503, {"error": "no configuration yet"}, STORE_RETRY_AFTER_S)
        found = await self._node.routes.find(host, path)
        if isinstance(found, Failure):
            return Reply(503, {"error": str(found.failure())}, STORE_RETRY_AFTER_S)
        route = found.unwrap()
        if not route.queue_name:
            return Reply(404, {"error": "no such queue"})
        job_id = path[len(route.prefix) :]
        remaining_s = min(deadline_s or DEFAULT_DEADLINE_S, MAX_DEADLINE_S)
        remaining_s -= ANSWER_MARGIN_S
        deadline_at = self._node.timers.now() + max(0.05, remaining_s)
        if not job_id:
            return self._count_waiting(route, method)
        if not JOB_ID_PATTERN.match(job_id):
            return Reply(404, {"error": "job ids have 16 hexadecimal digits"})
        if method == "POST":
            return await self._submit(route, job_id, body, deadline_at)
        if method == "GET":
            return await self._show_state(job_id, deadline_at)
        if method == "DELETE":
            return await self._cancel(job_id, deadline_at)
        return Reply(405, {"error": "use POST, GET or DELETE"})

    async def _submit(self, route, job_id, body, deadline_at):
        request = read_job(body)
        if isinstance(request, Failure):
            return Reply(400, {"error": str(request.failure())})
        if self._node.is_store_lost():
            return self._refuse_without_store(route, job_id)
        wait_s = self._node.work_bound.retry_after_s(route.queue_name, request.unwrap())
        if wait_s:
            return await self._refuse_beyond_bound(route, job_id, wait_s, deadline_at)
        accepted_at = self._node.timers.wall_time()
        record = encode(
            SubmittedJob(route.queue_name, accepted_at, request.unwrap(), route.queue)
        )
        key = job_key(job_id, REQUEST)
        began = self._node.timers.now()
        outcome = await self._node.batcher.create(key, record, deadline_at)
        if outcome in (CreateOutcome.CREATED, CreateOutcome.EXISTS):
            self._node.notify_leader(JobAccepted(job_id, record))
            if outcome is CreateOutcome.CREATED:
                now = self._node.timers.now()
                self._node.work_bound.note_accepted(
                    route.queue_name, request.unwrap(), now
                )
            reply = Reply(200, {})
        elif outcome is CreateOutcome.NOT_DONE:
            reply = Reply(
                503, {"error": "the store is unavailable"}, STORE_RETRY_AFTER_S
            )
        else:
            reply = Reply(504, {"error": "the store did not answer"})
        logger.info(
            "job submission answered",
            extra={
                "job": job_id,
                "queue": route.queue_name,
                "version": route.version,
                "route_source": route.source,
                "outcome": outcome.value,
                "status": reply.status,
                "ms": round((self._node.timers.now() - began) * MS_PER_S),
            },
        )
        return reply

    def _refuse_without_store(self, route, job_id):
        """Refuses a job at once because the store does not answer this node."""
        logger.info(
            "job refused",
            extra={
                "job": job_id,
                "queue": route.queue_name,
                "reason": "store silent",
                "silent_s": round(self._node.store_answer_age_s(), 2),
                "status": 503,
            },
        )
        return Reply(503, {"error": "the store is unavailable"}, STORE_RETRY_AFTER_S)

    async def _refuse_beyond_bound(self, route, job_id, wait_s, deadline_at):
        """Refuses a job because the accepted work has reached its bound.

        A caller that repeats a submission may have been accepted before.
        """
        if await self._node.ask_state(job_id):
            return Reply(200, {})
        found = await self._read_parts(job_id, deadline_at)
        if found is None:
            return Reply(504, {"error": "the store did not answer"})
        if REQUEST in found:
            return Reply(200, {})
        bound = self._node.work_bound
        logger.info(
            "job refused",
            extra={
                "job": job_id,
                "queue": route.queue_name,
                "reason": "accepted work at its bound",
                "held_bytes": bound.held,
                "limit_bytes": bound.limit,
                "retry_after_s": wait_s,
                "status": 429,
            },
        )
        text = f"accepted work takes {bound.held} of {bound.limit} bytes"
        return Reply(429, {"error": text}, wait_s)

    async def _show_state(self, job_id, deadline_at):
        state = await self._node.ask_state(job_id)
        source = "leader"
        if not state:
            source = "store"
            found = await self._read_parts(job_id, deadline_at)
            if found is None:
                return Reply(
                    503, {"error": "the store is unavailable"}, STORE_RETRY_AFTER_S
                )
            state = _state_of(job_id, found)
            if state and REQUEST in found:
                self._node.notify_leader(JobAccepted(job_id, found[REQUEST]))
        logger.info(
            "job state shown", extra={"job": job_id, "state": state, "source": source}
        )
        if not state:
            return Reply(410, {"error": "no such job"})
        return Reply(200, {"state": state})

    async def _cancel(self, job_id, deadline_at):
        state = await self._node.ask_state(job_id)
        if not state:
            found = await self._read_parts(job_id, deadline_at)
            if found is None:
                return Reply(
                    503, {"error": "the store is unavailable"}, STORE_RETRY_AFTER_S
                )
            if not _state_of(job_id, found):
                return Reply(410, {"error": "no such job"})
        key = job_key(job_id, CANCEL)
        outcome = await self._node.batcher.create(key, b"1", deadline_at)
        status = 504
        if outcome in (CreateOutcome.CREATED, CreateOutcome.EXISTS):
            self._node.notify_leader(JobCancelled(job_id))
            status = 200
        elif outcome is CreateOutcome.NOT_DONE:
            status = 503
        logger.info(
            "job cancellation requested",
            extra={"job": job_id, "outcome": outcome.value, "status": status},
        )
        return Reply(status, {}, STORE_RETRY_AFTER_S if status == 503 else 0)

    async def _read_parts(self, job_id, deadline_at):
        """Reads a job's parts from the store; None if it does not answer in time."""
        while True:
            found = await self._node.store.read_range(job_key(job_id, ""))
            if not isinstance(found, Failure):
                items, _ = found.unwrap()
                return {split_key(item.key)[1]: item.value for item in items}
            if self._node.timers.now() + 0.2 > deadline_at:
                return None
            await self._node.pause_before_retry()

    def _count_waiting(self, route, method):
        if method != "GET":
            return Reply(405, {"error": "use GET"})
        count, age_s = self._node.count_waiting(route.queue_name)
        if age_s > MAX_COUNT_AGE_S:
            return Reply(
                503, {"error": "counts are not known yet"}, STORE_RETRY_AFTER_S
            )
        return Reply(200, {"pending": count})


def read_progress(job_id, parts):
    """Returns a job's ``JobProgress``; None if it has none that can be read."""
    if PROGRESS not in parts:
        return None
    try:
        return decode_progress(parts[PROGRESS])
    except DECODE_ERRORS as error:
        logger.error(
            "stored progress of a job cannot be decoded",
            extra={"job": job_id, "error": str(error)},
        )
        return None


def _state_of(job_id, parts):
    """Derives a job's state from its stored parts; empty if there is no job."""
    if REQUEST not in parts:
        return ""
    progress = read_progress(job_id, parts)
    if progress is not None:
        if progress.state in (WorkState.COMPLETED, WorkState.FAILED):
            return progress.state.value
        if CANCEL not in parts:
            started = progress.has_started
            return (WorkState.RUNNING if started else WorkState.QUEUED).value
    return (WorkState.CANCELLED if CANCEL in parts else WorkState.QUEUED).value
