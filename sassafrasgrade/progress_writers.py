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
# Concurrent commits: when the store is slow, a peak ends more jobs than one commit
# after another can take.
MAX_CONCURRENT_COMMITS = 4
# Delay of a commit, which batches changes, in seconds: for ends of jobs, and for
# all other changes.
JOB_END_DELAY_S = 0.008
CHANGE_DELAY_S = 0.06
# Time allowed for storing progress before leadership is handed over, in seconds.
MAX_FLUSH_S = 0.5
# Pause before a failed commit is retried, in seconds.
RETRY_S = 0.15


class EndsCheckpoint:
    """Run ends that workers may forget once all changes known with them are stored.

    Each incarnation of a worker numbers its ends anew.

    Attributes:
        ends_by_worker: (start of the incarnation, number of the last end) by worker id.

    Args:
        tables: ``WorkTables``.
    """

    def __init__(self, tables):
        self.ends_by_worker = {
            worker.worker_id: (worker.born_ms, worker.settled_end)
            for worker in tables.workers_by_id.values()
        }
        self._versions_by_job = {
            job_id: tables.jobs_by_id[job_id].version for job_id in tables.dirty_job_ids
        }

    @property
    def is_stored(self):
        """Whether no change is left to be stored."""
        return not self._versions_by_job

    def record_stored(self, job_id, version):
        """Records that a job's progress is stored up to a version."""
        if version >= self._versions_by_job.get(job_id, version + 1):
            del self._versions_by_job[job_id]


class ProgressWriter:
    """Writes the progress of changed jobs in batches.

    Args:
        store: ``StoreClient``.
        tables: ``WorkTables``.
        token: Fencing token; commits fail once another node is leader.
        on_stored: Called with ``EndsCheckpoint.ends_by_worker`` of ends whose
            effects are all stored.
        on_fenced: Called when another node is leader.
        on_written: Called with the revision of each commit.
    """

    def __init__(
        self,
        store,
        tables,
        token,
        on_stored,
        on_fenced,
        on_written=lambda revision: None,
    ):
        self._store = store
        self._tables = tables
        self._token = token
        self._on_stored = on_stored
        self._on_fenced = on_fenced
        self._on_written = on_written
        self._scheduled = None
        self._writing_ids = set()
        self._commits = 0
        self._checkpoint = None
        self._is_closed = False

    def renew(self, token):
        """Continues under a new token."""
        self._token = token

    def close(self):
        """Stops writing; a commit under way may still take effect."""
        self._is_closed = True

    def schedule(self, ends_job):
        """Schedules a commit; sooner for the end of a job, which callers may await."""
        if self._is_closed or self._commits >= MAX_CONCURRENT_COMMITS:
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
        while not self._is_closed and self._commits < MAX_CONCURRENT_COMMITS:
            jobs = self._next_batch()
            if not jobs:
                return
            self._commits += 1
            IOLoop.current().add_callback(self._write, jobs)

    async def flush(self):
        """Writes changed jobs until the time is up; those left stay marked as dirty."""
        flush_until = IOLoop.current().time() + MAX_FLUSH_S
        while self._tables.dirty_job_ids and IOLoop.current().time() < flush_until:
            self._start()
            await gen.sleep(JOB_END_DELAY_S)

    def _next_batch(self):
        """Returns jobs to write that no other commit is writing; ended ones first.

        Beside another commit only a full batch is written: fewer jobs can wait for
        its answer, and each commit is priced.
        """
        tables = self._tables
        waiting = tables.dirty_job_ids - self._writing_ids
        if self._commits and len(waiting) < MAX_JOBS_PER_COMMIT:
            return []
        if self._checkpoint is None:
            self._checkpoint = EndsCheckpoint(tables)
        job_ids = sorted(waiting, key=self._commit_order)[:MAX_JOBS_PER_COMMIT]
        self._writing_ids.update(job_ids)
        return [tables.jobs_by_id[job_id] for job_id in job_ids]

    async def _write(self, jobs):
        try:
            is_stored = await self._commit(jobs)
            if not is_stored and not self._is_closed:
                await gen.sleep(RETRY_S)
        finally:
            self._commits -= 1
            self._writing_ids.difference_update(job.job_id for job in jobs)
        self._report_stored()
        if self._tables.dirty_job_ids - self._writing_ids:
            self._start()

    def _report_stored(self):
        """Reports ends whose effects are stored, and begins the next checkpoint."""
        if self._is_closed or self._checkpoint is None:
            return
        stored = self._checkpoint
        self._checkpoint = EndsCheckpoint(self._tables)
        if self._checkpoint.is_stored:
            stored, self._checkpoint = self._checkpoint, None
        elif not stored.is_stored:
            self._checkpoint = stored
            return
        self._on_stored(stored.ends_by_worker)

    async def _commit(self, jobs):
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
            self._handle_failure(result.failure(), jobs)
            return False
        self._on_written(result.unwrap())
        for job, version, state in zip(jobs, versions, pending_states, strict=True):
            job.progress_revision = result.unwrap()
            self._mark_stored(job, version, state)
        return True

    def _commit_order(self, job_id):
        return self._tables.jobs_by_id[job_id].pending_state is None

    def _handle_failure(self, error, jobs):
        logger.warning(
            "progress not stored",
            extra={"jobs": len(jobs), "error": error.kind, "detail": error.detail},
        )
        if isinstance(error, RevisionConflict):
            self._handle_conflict(error.items, jobs)

    def _handle_conflict(self, items, jobs):
        """Adopts the revisions left by an earlier write without an answer."""
        revisions_by_key = {item.key: item.revision for item in items}
        revision = revisions_by_key.get(LEADER_KEY, 0)
        if revision > self._token:
            self._on_fenced()
            return
        for job in jobs:
            key = job_key(job.job_id, PROGRESS)
            if key in revisions_by_key:
                job.progress_revision = revisions_by_key[key]

    def _mark_stored(self, job, version, state):
        if self._checkpoint is not None:
            self._checkpoint.record_stored(job.job_id, version)
        if job.version == version:
            job.is_dirty = False
            self._tables.dirty_job_ids.discard(job.job_id)
        if state is not None and job.pending_state is state:
            job.state, job.pending_state = state, None
            logger.info(
                "job ended",
                extra={"job": job.job_id, "state": str(state), "version": version},
            )
