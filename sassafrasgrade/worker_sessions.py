"""The leader's session with one worker: long polls, starts, stops."""

import asyncio
import logging

from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.platform.workers import (
    NO_EFFECT_OUTCOMES,
    OrderOutcome,
    WorkerClient,
)
from sassafrasgrade.systems.run_updates import START_VALID_MS
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.work_tables import MS_PER_S, RunState
from sassafrasgrade.worker_orders import StartOrder

logger = logging.getLogger(__name__)

# Longest time for which a worker holds a long poll open until a run ends, in
# seconds (published limit: 2 s).
LONG_POLL_WAIT_S = 1.2
# Timeout of an order, and of a long poll beyond its wait, in seconds.
ANSWER_TIMEOUT_S = 0.7
# Pause between calls to a worker that does not answer or waits for its token, in
# seconds.
UNRESPONSIVE_PAUSE_S = 0.25
# Maximum number of concurrent orders to one worker; each needs a connection.
MAX_CONCURRENT_ORDERS = 2
# How often an order is sent at most if later calls overtake it.
MAX_SENDS = 3
# Maximum time that the next long poll waits for ends to be stored, in seconds.
MAX_STORE_WAIT_S = 0.5


class WorkerSession:
    """Renews the leases of one worker's runs and sends it orders.

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
        self._orders = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._is_closed = False
        self._stored = asyncio.Event()
        self._token_raised = asyncio.Event()
        # Clock of the last sign that the next poll may reach a later incarnation, if no
        # poll that was sent later has been answered; None otherwise.
        self._suspected_at = None

    def start(self):
        """Starts polling the worker."""
        IOLoop.current().add_callback(self._poll_loop)

    def close(self):
        """Stops polling; the reply to a call under way is ignored."""
        self._is_closed = True
        self._stored.set()
        self._token_raised.set()

    def notify_stored(self):
        """Signals that ends are stored, so that the worker may forget them."""
        self._stored.set()

    def notify_token_raised(self):
        """Signals that calls carry a token that no earlier incarnation has seen."""
        self._token_raised.set()

    # Long polls.

    async def _poll_loop(self):
        while not self._is_closed:
            answered = await self._poll_safely()
            if self._is_closed:
                return
            if not answered:
                await gen.sleep(UNRESPONSIVE_PAUSE_S)
            elif self.worker.awaits_token:
                await self._wait_for_token()
            elif self.worker.stored_end < self.worker.seen_end:
                await self._wait_until_stored()

    async def ask(self):
        """Asks at once for both lists, beside a poll that may wait."""
        if not self._is_closed:
            await self._poll_safely(renews=False)

    async def _poll_safely(self, renews=True):
        """Polls; an error in applying an answer must not end all later polls."""
        try:
            return await self._poll_once(renews)
        except Exception:
            logger.exception(
                "answer of a worker not applied",
                extra={"worker": self.worker.worker_id},
            )
            return False

    async def _wait_until_stored(self):
        self._stored.clear()
        if self.worker.stored_end >= self.worker.seen_end:
            return
        try:
            await asyncio.wait_for(self._stored.wait(), MAX_STORE_WAIT_S)
        except TimeoutError:
            logger.debug("ended runs not stored yet; polling the worker again")

    async def _wait_for_token(self):
        self._token_raised.clear()
        try:
            await asyncio.wait_for(self._token_raised.wait(), UNRESPONSIVE_PAUSE_S)
        except TimeoutError:
            logger.debug("worker's token not raised yet; polling it again")

    async def _poll_once(self, renews=True):
        """Makes one call; without ``renews`` it only asks for both lists, at once.

        Numbers of an earlier incarnation would discard ends of the next one that nobody
        has seen. So ends are acknowledged until one answer confirms it, and not while
        the worker may have restarted.
        """
        worker, now = self.worker, self._timers.now()
        deadline_ms = None
        lease_s = self._dispatcher.lease_s()
        # An unresponsive worker is polled without renewing its leases, so that its
        # runs lapse and their tasks can start elsewhere. One that may have restarted is
        # only asked: by the clock of its earlier incarnation it would give the longest
        # lease.
        is_responsive = (
            worker.clock_offset_ms is not None
            and not worker.unresponsive_since
            and self._suspected_at is None
        )
        may_long_poll = (
            renews
            and self._suspected_at is None
            and worker.has_seen_token
            and worker.unresponsive_since == 0
            and worker.doubted_at == 0
        )
        wait_s = LONG_POLL_WAIT_S if may_long_poll else 0
        timeout_s = wait_s + ANSWER_TIMEOUT_S
        if renews and is_responsive and lease_s:
            deadline_ms = self._worker_clock(now) + lease_s * MS_PER_S
            self._extend_lease(now, lease_s, timeout_s)
        discards = self._end_to_discard() if renews else 0
        born_ms = worker.born_ms
        token = self._dispatcher.worker_token
        reply = await self._client.poll_runs(
            token,
            discards,
            deadline_ms,
            wait_s,
            timeout_s,
        )
        if self._is_closed:
            return False
        if reply.outcome is OrderOutcome.DONE:
            answered_at = self._timers.now()
            if self._dispatcher.apply_worker_view(self, reply.view, now):
                self._record_clock_offset(reply.view, answered_at)
            if worker.born_ms == born_ms:
                worker.discarded_end = max(worker.discarded_end, discards)
            if self._suspected_at is not None and now >= self._suspected_at:
                self._suspected_at = None
            return True
        if reply.outcome is OrderOutcome.FENCED:
            # A refusal does not name its incarnation.
            self._suspect_restart()
            return not self._dispatcher.handle_fenced(worker.worker_id, token)
        if reply.outcome is OrderOutcome.WRONG_INSTANCE:
            self._dispatcher.handle_replaced_worker(worker)
            return False
        self._suspect_restart()
        if reply.outcome is OrderOutcome.HELD_BACK:
            logger.info(
                "acknowledgement of ends held back",
                extra={"worker": worker.worker_id, "detail": reply.detail},
            )
            return True
        self._dispatcher.record_unresponsive(worker, reply.detail)
        return False

    def _suspect_restart(self):
        """Notes that the next poll may reach a later incarnation of the worker."""
        self._suspected_at = self._timers.now()

    def _end_to_discard(self):
        """Returns the number up to which the next poll acknowledges ends."""
        worker = self.worker
        if self._suspected_at is not None or worker.unresponsive_since:
            return 0
        return worker.stored_end if worker.stored_end > worker.discarded_end else 0

    def _extend_lease(self, now, lease_s, timeout_s):
        """Records a lease before it is sent: the call may arrive and still fail.

        ``ANSWER_TIMEOUT_S`` covers the age of the clock offset of a slow worker clock.
        A call arrives before its timeout, at which its connection is reset; one that
        the platform carries out later is kept off by a raised token.
        """
        worker = self.worker
        lapses_at = now + ANSWER_TIMEOUT_S + lease_s * CLOCK_DRIFT
        worker.lease_until = max(worker.lease_until, lapses_at)
        longest_s = self._dispatcher.tables.longest_lease_s * CLOCK_DRIFT
        lapses_at = now + timeout_s + longest_s
        worker.longest_lease_until = max(worker.longest_lease_until, lapses_at)

    def _worker_clock(self, now):
        return now * MS_PER_S + self.worker.clock_offset_ms

    def _record_clock_offset(self, view, now):
        """Records the worker's clock from its lists.

        Answers to orders do not name their incarnation, and each has a clock of its
        own. Delays only make the clock look late, which makes deadlines earlier.
        """
        self.worker.clock_offset_ms = view.clock_ms - now * MS_PER_S

    # Orders.

    async def send_start(self, run):
        """Sends a start and reports its outcome to the dispatcher."""
        async with self._orders:
            if self._is_closed or not self._is_start_due(run):
                return
            if run.stopped_at:
                self._dispatcher.drop_unsent_start(run, "stopped before it was sent")
                return
            if self.worker.clock_offset_ms is None:
                self._dispatcher.drop_unsent_start(run, "the worker's clock is unknown")
                return
            if not self._dispatcher.may_start(run):
                self._dispatcher.drop_unsent_start(run, "no longer allowed")
                return
            now = self._timers.now()
            run.deadline_ms = self._worker_clock(now) + START_VALID_MS
            run.sent_at, run.sent_to_born_ms = now, self.worker.born_ms
            reply, _ = await self._send(
                lambda token: self._start(run, token), lambda: not run.stopped_at
            )
        if self._is_closed:
            return
        self._dispatcher.handle_start_reply(
            run, reply, reply.outcome in NO_EFFECT_OUTCOMES
        )
        if reply.outcome is OrderOutcome.DONE and not run.is_lease_known:
            self._suspect_restart()

    async def _start(self, run, token):
        run.token = token
        now = self._timers.now()
        self._extend_lease(now, START_VALID_MS / MS_PER_S, ANSWER_TIMEOUT_S)
        task = run.task
        order = StartOrder(
            task.name,
            run.number,
            task.job.request.spec,
            run.deadline_ms,
            token,
            run.saved,
            run.ticket,
        )
        return await self._client.start(order, ANSWER_TIMEOUT_S)

    async def _send(self, send, is_due=lambda: True):
        """Sends an order, and again if a later call of this leader overtook it.

        Args:
            send: Function of a token that sends it once and returns the reply.
            is_due: Whether it may be sent again.

        Returns:
            (Reply, token that the order carried.)
        """
        for _ in range(MAX_SENDS):
            token = self._dispatcher.worker_token
            reply = await send(token)
            is_overtaken = (
                reply.outcome is OrderOutcome.FENCED
                and token < self._dispatcher.worker_token
            )
            if not is_overtaken or self._is_closed or not is_due():
                break
        if reply.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT):
            self._suspect_restart()
        return reply, token

    def _is_start_due(self, run):
        """Whether a start is still to be sent.

        Its run may have been forgotten while it waited, and its task started elsewhere.
        """
        known = self.worker.runs_by_key.get((run.task.name, run.number))
        return known is run and run.state is RunState.STARTING

    async def send_stop(self, task_name, number, run=None):
        """Sends a stop; ``run`` is the run's row, if it is in the tables."""
        async with self._orders:
            if self._is_closed:
                return
            born_ms = self.worker.born_ms
            reply, token = await self._send(
                lambda token: self._client.stop(
                    task_name, number, token, ANSWER_TIMEOUT_S
                )
            )
        if self._is_closed or run is None or self.worker.born_ms != born_ms:
            # A stop that an earlier incarnation confirmed says nothing of this one.
            return
        if reply.outcome in (OrderOutcome.DONE, OrderOutcome.OUTDATED):
            run.stop_answered_at = self._timers.now()
        elif reply.outcome is OrderOutcome.FENCED:
            self._dispatcher.handle_fenced(self.worker.worker_id, token)

    async def send_pace(self, run, percent, previous_percent):
        """Limits a run's speed to ``percent``.

        Without the worker's consent its earlier pace stays in the tables, so that the
        next tick decides again.
        """
        async with self._orders:
            if self._is_closed:
                return
            reply, _ = await self._send(
                lambda token: self._client.pace(
                    run.task.name, run.number, percent, token, ANSWER_TIMEOUT_S
                )
            )
        if reply.outcome is not OrderOutcome.DONE:
            run.pace = previous_percent
