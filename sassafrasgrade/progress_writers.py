"""Stores the progress of jobs, fenced by the leader's key."""

import logging

from returns.result import Failure
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import RevisionConflict
from sassafrasgrade.job_records import PROGRESS, encode, job_key, progress_of
from sassafrasgrade.leaderships import LEADER_KEY
from sassafrasgrade.platform.stores import Put

logger = logging.getLogger(__name__)

# Jobs in one commit of at most 32 entries: each takes a condition and a write, and
# one entry is the condition on the leader's key.
MAX_JOBS_PER_COMMIT = 15
# Delay of a commit, which batches changes, in seconds: for ends of jobs, and for
# all other changes.
JOB_END_DELAY_S = 0.008
CHANGE_DELAY_S = 0.06
# Time allowed for storing progress before leadership is handed over, in seconds.
MAX_FLUSH_S = 0.5
# Pause before a failed commit is retried, in seconds.
RETRY_S = 0.15


class ProgressWriter:
    """Writes the progress of changed jobs in batches.

    Args:
        store: ``StoreClient``.
        tables: ``WorkTables``.
        token: Fencing token; commits fail once another node is leader.
        on_stored: Called after each commit that covered all changed jobs, with the
            number of the last run end seen, by worker id.
        on_fenced: Called when another node is leader.
    """

    def __init__(self, store, tables, token, on_stored, on_fenced):
        self._store = store
        self._tables = tables
        self._token = token
        self._on_stored = on_stored
        self._on_fenced = on_fenced
        self._scheduled = None
        self._is_writing = False
        self._is_closed = False

    def renew(self, token):
        """Continues under a new token."""
        self._token = token

    def close(self):
        """Stops writing; a commit under way may still take effect."""
        self._is_closed = True

    def schedule(self, ends_job):
        """Schedules a commit; sooner for the end of a job, which callers may await."""
        if self._is_closed or self._is_writing:
            return
        loop = IOLoop.current()
        due_at = loop.time() + (JOB_END_DELAY_S if ends_job else CHANGE_DELAY_S)
        if self._scheduled is not None:
            handle, planned_at = self._scheduled
            if planned_at <= due_at:
                return
            loop.remove_timeout(handle)
        self._scheduled = (loop.call_at(due_at, self._start), due_at)

    def _start(self):
        self._scheduled = None
        if not self._is_writing and not self._is_closed:
            self._is_writing = True
            IOLoop.current().add_callback(self._write)

    async def flush(self):
        """Writes changed jobs until the time is up; those left stay marked as dirty."""
        flush_until = IOLoop.current().time() + MAX_FLUSH_S
        while self._tables.dirty_job_ids and IOLoop.current().time() < flush_until:
            if self._is_writing:
                await gen.sleep(JOB_END_DELAY_S)
            else:
                self._is_writing = True
                await self._write()

    async def _write(self):
        try:
            while self._tables.dirty_job_ids and not self._is_closed:
                if not await self._write_once():
                    await gen.sleep(RETRY_S)
        finally:
            self._is_writing = False

    async def _write_once(self):
        tables = self._tables
        ends_by_worker = {
            worker.worker_id: worker.seen_end
            for worker in tables.workers_by_id.values()
        }
        job_ids = sorted(tables.dirty_job_ids, key=self._commit_order)[
            :MAX_JOBS_PER_COMMIT
        ]
        covers_all = len(job_ids) == len(tables.dirty_job_ids)
        jobs = [tables.jobs_by_id[job_id] for job_id in job_ids]
        versions = [job.version for job in jobs]
        pending_states = [job.pending_state for job in jobs]
        puts = [
            Put(job_key(job.job_id, PROGRESS), encode(progress_of(job))) for job in jobs
        ]
        # A write without an answer may take effect seconds later: the condition on
        # the revision prevents it from overwriting newer progress.
        conditions = [(LEADER_KEY, self._token)]
        conditions += [
            (job_key(job.job_id, PROGRESS), job.progress_revision) for job in jobs
        ]
        result = await self._store.commit(conditions, puts)
        if self._is_closed:
            return False
        if isinstance(result, Failure):
            return self._handle_failure(result.failure(), jobs)
        for job in jobs:
            job.progress_revision = result.unwrap()
        for job, version, state in zip(jobs, versions, pending_states, strict=True):
            self._mark_stored(job, version, state)
        if covers_all:
            self._on_stored(ends_by_worker)
        return True

    def _commit_order(self, job_id):
        return self._tables.jobs_by_id[job_id].pending_state is None

    def _handle_failure(self, error, jobs):
        logger.warning(
            "progress not stored",
            extra={"jobs": len(jobs), "error": error.kind, "detail": error.detail},
        )
        if isinstance(error, RevisionConflict):
            self._handle_conflict(error.items)
        return False

    def _handle_conflict(self, items):
        """Adopts the revisions left by an earlier write without an answer."""
        revisions_by_key = {item.key: item.revision for item in items}
        revision = revisions_by_key.get(LEADER_KEY, 0)
        if revision > self._token:
            self._on_fenced()
            return
        for job_id in self._tables.dirty_job_ids:
            key = job_key(job_id, PROGRESS)
            if key in revisions_by_key:
                job = self._tables.jobs_by_id[job_id]
                job.progress_revision = revisions_by_key[key]

    def _mark_stored(self, job, version, state):
        if job.version == version:
            job.is_dirty = False
            self._tables.dirty_job_ids.discard(job.job_id)
        if state is not None and job.pending_state is state:
            job.state, job.pending_state = state, None
            logger.info(
                "job ended",
                extra={"job": job.job_id, "state": str(state), "version": version},
            )
