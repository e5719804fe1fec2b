"""Removes jobs that ended long ago from the store and the tables."""

import logging

from returns.result import Failure
from tornado.ioloop import IOLoop

from sassafrasgrade.job_records import CANCEL, PROGRESS, REQUEST, job_key
from sassafrasgrade.member_records import LEADER_KEY
from sassafrasgrade.work_tables import has_runs

logger = logging.getLogger(__name__)

# Ended jobs are retained for the published time multiplied by this factor, so that a
# late repeat of a submission still finds its job.
RETENTION_FACTOR = 3.0
# Jobs removed in one commit of at most 32 entries: three keys each, one condition.
MAX_JOBS_PER_COMMIT = 10
# Interval between two sweeps, in seconds.
SWEEP_INTERVAL_S = 5.0


class JobSweeper:
    """Part of the leader that removes ended jobs.

    Args:
        services: ``NodeServices``.
        dispatcher: The ``Dispatcher``.
    """

    def __init__(self, services, dispatcher):
        self._store = services.store
        self._retention_s = services.settings.bounds_status_s * RETENTION_FACTOR
        self._dispatcher = dispatcher
        self._seen_ended_at = {}
        self._next_at = 0.0

    def sweep(self, now):
        """Removes jobs that ended long ago; called on every tick."""
        if now < self._next_at:
            return
        self._next_at = now + SWEEP_INTERVAL_S
        old = self.find_expired(now)
        if old:
            IOLoop.current().add_callback(self._remove, old)

    def find_expired(self, now):
        """Returns ids of jobs to remove; records when jobs were first seen ended."""
        tables = self._dispatcher.tables
        for job_id, job in tables.jobs_by_id.items():
            if job_id in tables.open_jobs_by_id or job.is_dirty:
                continue
            self._seen_ended_at.setdefault(job_id, now)
            if not has_runs(job):
                # Only its request and its state are still asked for.
                job.occurrences.clear()
        ended = self._seen_ended_at.items()
        return [job for job, at in ended if now - at > self._retention_s][
            :MAX_JOBS_PER_COMMIT
        ]

    async def _remove(self, job_ids):
        keys = [
            job_key(job_id, part)
            for job_id in job_ids
            for part in (REQUEST, PROGRESS, CANCEL)
        ]
        conditions = [(LEADER_KEY, self._dispatcher.token)]
        result = await self._store.commit(conditions, deletes=keys)
        if isinstance(result, Failure):
            logger.warning(
                "ended jobs not removed", extra={"error": result.failure().kind}
            )
            return
        tables = self._dispatcher.tables
        for job_id in job_ids:
            self._seen_ended_at.pop(job_id, None)
            tables.jobs_by_id.pop(job_id, None)
            tables.tickets.forget_job(job_id)
        logger.info("ended jobs removed", extra={"jobs": len(job_ids)})
