"""Requests tickets for waiting steps from the advice service, one call at a time."""

import logging

from returns.result import Failure
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.platform.clouds import AdviceClient
from sassafrasgrade.systems.task_placement import is_usable
from sassafrasgrade.work_tables import MS_PER_S

logger = logging.getLogger(__name__)

# Time allowed beyond the answer time that the queue's settings give, in seconds.
ANSWER_MARGIN_S = 1.0
# Pause after a failed call, in seconds.
RETRY_S = 0.2


class AdviceRequester:
    """Part of the leader that obtains tickets.

    Args:
        services: ``NodeServices``.
        dispatcher: The ``Dispatcher``.
    """

    def __init__(self, services, dispatcher):
        self._dispatcher = dispatcher
        self._timers = services.timers
        self._is_running = False
        self._client = None
        if services.settings.advice_address:
            self._client = AdviceClient(
                services.leader_http(), services.settings.advice_address
            )

    def wake(self):
        """Starts requesting tickets if any step waits for them."""
        waits = self._dispatcher.tables.tickets.wanted
        if waits and not self._is_running and self._client is not None:
            self._is_running = True
            IOLoop.current().add_callback(self._run)

    async def _run(self):
        tickets = self._dispatcher.tables.tickets
        try:
            while tickets.wanted and self._dispatcher.has_authority():
                await self._request_advice(*tickets.take_wanted())
        finally:
            self._is_running = False

    async def _request_advice(self, step_key, worker_ids):
        tables = self._dispatcher.tables
        job = tables.open_jobs_by_id.get(step_key.partition(".")[0])
        if job is None:
            return
        advice = tables.queue_of(job).advice
        now = self._timers.now()
        workers = [tables.workers_by_id.get(worker_id) for worker_id in worker_ids]
        usable = [worker for worker in workers if worker and is_usable(worker, now)]
        asked = tables.tickets.workers_to_ask(
            step_key, [worker.worker_id for worker in usable], now
        )
        if not asked or advice is None:
            return
        expected_s = (advice.decide_ms + advice.each_ms * len(asked)) / MS_PER_S
        result = await self._client.advise(
            step_key, asked, expected_s + ANSWER_MARGIN_S
        )
        if isinstance(result, Failure):
            logger.warning(
                "call to the advice service failed",
                extra={"step": step_key, "error": str(result.failure())},
            )
            await gen.sleep(RETRY_S)
            return
        reply = result.unwrap()
        valid_s = (reply.valid_ms or advice.valid_ms) / MS_PER_S
        tables.tickets.record_answer(
            step_key, asked, reply.good, valid_s, self._timers.now()
        )
        logger.info(
            "advice received",
            extra={
                "job": job.job_id,
                "step": step_key,
                "asked": len(asked),
                "good": len(reply.good),
                "valid_s": valid_s,
            },
        )
        self._dispatcher.schedule_placement()
