"""Removes jobs that ended long ago from the store and the tables."""

import logging

from returns.result import Failure
from tornado.ioloop import IOLoop

from sassafrasgrade.job_records import CANCEL, PROGRESS, REQUEST, job_key
from sassafrasgrade.member_records import LEADER_KEY

logger = logging.getLogger(__name__)

# Factor on the published time for which an ended job's state is kept: a late
# repeat of its submission must still find it.
KEEP_FACTOR = 3.0
# Jobs removed in one commit: three keys each, and a condition, of 32 entries.
MOST_IN_COMMIT = 10
# Pause between two sweeps, in seconds.
PAUSE_S = 5.0


class JobSweeper:
    """Part of the leader that forgets ended jobs.

    Args:
        services: ``NodeServices``.
        dispatcher: The ``Dispatcher``.
    """

    def __init__(self, services, dispatcher):
        self._store = services.store
        self._keep_s = services.settings.bounds_status_s * KEEP_FACTOR
        self._dispatcher = dispatcher
        self._seen_ended_at = {}
        self._next_at = 0.0

    def sweep(self, now):
        """Removes what ended long ago; called with each tick."""
        if now < self._next_at:
            return
        self._next_at = now + PAUSE_S
        old = self.due(now)
        if old:
            IOLoop.current().add_callback(self._remove, old)

    def due(self, now):
        """Returns the ids of jobs to remove, and notes those that have ended."""
        tables = self._dispatcher.tables
        for job_id, job in tables.jobs_by_id.items():
            is_over = job_id not in tables.open_jobs_by_id and not job.is_dirty
            if is_over and job_id not in self._seen_ended_at:
                self._seen_ended_at[job_id] = now
        ended = self._seen_ended_at.items()
        return [job for job, at in ended if now - at > self._keep_s][:MOST_IN_COMMIT]

    async def _remove(self, job_ids):
        keys = [
            job_key(job_id, part)
            for job_id in job_ids
            for part in (REQUEST, PROGRESS, CANCEL)
        ]
        conditions = [(LEADER_KEY, self._dispatcher.token)]
        result = await self._store.commit(conditions, deletes=keys)
        if isinstance(result, Failure):
            logger.warning("jobs not removed", extra={"error": result.failure().kind})
            return
        tables = self._dispatcher.tables
        for job_id in job_ids:
            self._seen_ended_at.pop(job_id, None)
            job = tables.jobs_by_id.pop(job_id, None)
            tables.tickets.forget_job(job_id)
            for occurrence in job.occurrences.values() if job else ():
                for row in occurrence.steps:
                    for task in row.tasks:
                        tables.tasks_by_name.pop(task.name, None)
        logger.info("jobs removed", extra={"jobs": len(job_ids)})
