"""Conversation of the leader with one worker: holds, starts, stops."""

import asyncio
import logging

from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.platform.workers import (
    NOTHING_DONE,
    OrderOutcome,
    WorkerClient,
)
from sassafrasgrade.systems.task_placement import START_VALID_MS
from sassafrasgrade.worker_orders import StartOrder
from sassafrasgrade.works import MS_PER_S, RunState

logger = logging.getLogger(__name__)

# Longest wait of a worker for an end, in seconds (published limit: 2 s).
HOLD_WAIT_S = 1.2
# Longest wait for an answer beyond that, in seconds.
ANSWER_TIMEOUT_S = 0.7
# Pause between calls to a worker that does not answer, in seconds.
SILENT_PAUSE_S = 0.25
# Orders under way to one worker at a time; each needs a connection.
MOST_ORDERS = 2
# Longest time that ends wait for the store before the next hold, in seconds.
STORE_WAIT_S = 0.5
# A worker's clock may run slow by this factor (published protocol).
CLOCK_DRIFT = 1.02


class WorkerSession:
    """Holds one worker's runs and gives it orders.

    Args:
        worker: ``Worker`` row.
        http: ``CurlClient``.
        dispatcher: The ``Dispatcher``.
    """

    def __init__(self, worker, http, dispatcher):
        self.worker = worker
        self._dispatcher = dispatcher
        self._timers = dispatcher.timers
        self._client = WorkerClient(http, worker.worker_id, worker.address)
        self._orders = asyncio.Semaphore(MOST_ORDERS)
        self._is_closed = False
        self._stored = asyncio.Event()

    def start(self):
        """Starts holding."""
        IOLoop.current().add_callback(self._hold_loop)

    def close(self):
        """Stops holding; a call under way is ignored."""
        self._is_closed = True
        self._stored.set()

    def note_stored(self):
        """Tells that ends may be forgotten by the worker now."""
        self._stored.set()

    # Holding.

    async def _hold_loop(self):
        while not self._is_closed:
            answered = await self._hold_once()
            if self._is_closed:
                return
            if not answered:
                await gen.sleep(SILENT_PAUSE_S)
            elif self.worker.stored_end < self.worker.seen_end:
                await self._wait_until_stored()

    async def _wait_until_stored(self):
        self._stored.clear()
        if self.worker.stored_end >= self.worker.seen_end:
            return
        try:
            await asyncio.wait_for(self._stored.wait(), STORE_WAIT_S)
        except TimeoutError:
            logger.debug("ends wait for the store")

    async def _hold_once(self):
        worker, now = self.worker, self._timers.now()
        deadline_ms = None
        lease_s = self._dispatcher.lease_s()
        # A silent worker is only looked at: renewing its lease would keep its
        # runs from lapsing, and with them their tasks from starting elsewhere.
        is_heard = worker.clock_offset_ms is not None and not worker.silent_since
        if is_heard and lease_s:
            deadline_ms = self._worker_clock(now) + lease_s * MS_PER_S
            # Kept even if the call fails: it may arrive all the same.
            lapses_at = now + ANSWER_TIMEOUT_S + lease_s * CLOCK_DRIFT
            worker.lease_until = max(worker.lease_until, lapses_at)
        is_known = worker.is_fenced and worker.silent_since == 0
        wait_s = HOLD_WAIT_S if is_known else 0
        reply = await self._client.hold(
            self._dispatcher.token,
            worker.stored_end,
            deadline_ms,
            wait_s,
            wait_s + ANSWER_TIMEOUT_S,
        )
        if self._is_closed:
            return False
        self._note_clock(reply, self._timers.now())
        if reply.outcome is OrderOutcome.DONE:
            self._dispatcher.take_view(self, reply.view, now)
            return True
        if reply.outcome is OrderOutcome.FENCED:
            self._dispatcher.note_fenced(worker)
            return False
        if reply.outcome is OrderOutcome.WRONG_INSTANCE:
            self._dispatcher.note_gone(worker)
            return False
        self._dispatcher.note_silent(worker, reply.detail)
        return False

    def _worker_clock(self, now):
        return now * MS_PER_S + self.worker.clock_offset_ms

    def _note_clock(self, reply, now):
        if not reply.clock_ms:
            return
        # The smallest offset seen is the truest: delays only make clocks look late.
        offset = reply.clock_ms - now * MS_PER_S
        self.worker.clock_offset_ms = offset

    # Orders.

    async def send_start(self, run):
        """Sends a start and settles what is known of its outcome."""
        async with self._orders:
            if self._is_closed or run.state is not RunState.STARTING:
                return
            if not self._dispatcher.may_start(run):
                self._dispatcher.note_not_started(run, "no longer wanted")
                return
            now = self._timers.now()
            run.deadline_ms = self._worker_clock(now) + START_VALID_MS
            self.worker.lease_until = max(
                self.worker.lease_until, now + START_VALID_MS / MS_PER_S * CLOCK_DRIFT
            )
            task = run.task
            order = StartOrder(
                task.name,
                run.number,
                task.job.request.spec,
                run.deadline_ms,
                self._dispatcher.token,
                task.saved,
                run.ticket,
            )
            reply = await self._client.start(order, ANSWER_TIMEOUT_S)
        if self._is_closed:
            return
        self._note_clock(reply, self._timers.now())
        self._dispatcher.note_start_reply(run, reply, reply.outcome in NOTHING_DONE)

    async def send_stop(self, task_name, number, run=None):
        """Sends a stop; ``run`` is its row, if the tables know it."""
        async with self._orders:
            if self._is_closed:
                return
            reply = await self._client.stop(
                task_name, number, self._dispatcher.token, ANSWER_TIMEOUT_S
            )
        if self._is_closed or run is None:
            return
        if reply.outcome in (OrderOutcome.DONE, OrderOutcome.OUTDATED):
            run.stop_answered_at = self._timers.now()
        elif reply.outcome is OrderOutcome.FENCED:
            self._dispatcher.note_fenced(self.worker)

    async def send_pace(self, run, percent):
        """Sends a share of speed; returns whether it was taken."""
        async with self._orders:
            if self._is_closed:
                return False
            reply = await self._client.pace(
                run.task.name,
                run.number,
                percent,
                self._dispatcher.token,
                ANSWER_TIMEOUT_S,
            )
        return reply.outcome is OrderOutcome.DONE
