"""Loads the leader's tables from the store and takes over its predecessor's runs."""

import logging

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.job_records import (
    CANCEL,
    JOBS_PREFIX,
    PROGRESS,
    REQUEST,
    add_job,
    apply_progress,
    apply_unstored_progress,
    check_progress,
    decode_progress,
    decode_submitted,
    encode,
    progress_of,
    split_key,
)
from sassafrasgrade.leaderships import MAX_RENEWAL_AGE_S
from sassafrasgrade.members import LEASE_TTL_S
from sassafrasgrade.node_messages import HandOver
from sassafrasgrade.platform import names
from sassafrasgrade.prefix_followers import PrefixFollower
from sassafrasgrade.systems.crash_records import count_unrecorded_starts
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.occurrences import create_due
from sassafrasgrade.systems.run_updates import (
    STALE_REGISTRATION_S,
    adopt_handed_over_runs,
    claim_rows,
    remove_worker,
    runs_to_hand_over,
    unreported_workers,
)
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.work_tables import ALL_POOLS, MS_PER_S
from sassafrasgrade.worker_registrations import apply_item, apply_range, has_moved

logger = logging.getLogger(__name__)

# Pause between watch calls for jobs, in seconds; these find jobs whose message from
# their node was lost.
JOBS_WATCH_PAUSE_S = 1.0
# Longest time for which the store's watches may hear nothing of changes, in seconds.
WATCH_SILENCE_S = 1.2
# Time in seconds after which a worker that is neither listed nor answering is
# removed.
MISSING_WORKER_S = 2.5
# Time for which a worker answers without its registration before the registrations are
# read again, and between two such reads, in seconds. Mostly a watch tells of it sooner.
REREAD_PERIOD_S = 0.5
# Least time by which a report shortens the barrier, in seconds: later ones differ by
# their delays.
MIN_SHORTENING_S = 0.1
# Time after a takeover in which earlier leaders may still receive new jobs, in
# seconds: until all nodes have noticed it, whose watches may hear nothing for a second.
PREDECESSOR_ACCEPT_WINDOW_S = 3.0


class TableLoader:
    """Part of the leader that keeps jobs and workers in step with the store.

    A leader that takes over without a full handover blocks tasks that may still run
    on workers which have not reported to it yet.

    Args:
        services: ``NodeServices``.
        dispatcher: The ``Dispatcher``.
        leadership: ``Leadership``.
        handover: ``HandOver`` of the previous leader, or None.
        is_predecessor_gone: Whether the previous leader is known to have stopped.
    """

    def __init__(self, services, dispatcher, leadership, handover, is_predecessor_gone):
        self._dispatcher = dispatcher
        self._leadership = leadership
        self._tables = dispatcher.tables
        self._timers = services.timers
        self._settings = services.settings
        self._handover = handover
        self._is_predecessor_gone = is_predecessor_gone
        self.is_loaded = False
        self.barrier_until = 0.0
        # Clock at which it ends for perpetual tasks of jobs that have started, if no
        # worker that has not reported is registered.
        self._lasting_until = 0.0
        self._began_at = self._timers.now()
        self._has_jobs = self._has_workers = False
        # Since when workers have answered under registrations of earlier incarnations,
        # by worker id and births.
        self._earlier_since_by_key = {}
        self._reread_at = float("-inf")
        # All workers since the takeover, while the barrier stands.
        self._rows_by_worker_id = {}
        self._workers = PrefixFollower(
            services.store,
            services.timers,
            names.WORKERS_PREFIX,
            self._apply_all_workers,
            self._apply_worker_changes,
            name="workers",
        )
        self._jobs = PrefixFollower(
            services.store,
            services.timers,
            JOBS_PREFIX,
            self._apply_all_jobs,
            self._apply_job_changes,
            pause_s=JOBS_WATCH_PAUSE_S,
            name="jobs",
        )

    def start(self):
        """Starts loading."""
        if self._tables.epoch > 1 and self.full_handover is None:
            # Earlier leaders may renew leases until their own have lapsed.
            lapses_at = max(self._began_at, self._leadership.earlier_leaders_until)
            if not self._is_predecessor_gone:
                lapses_at = max(lapses_at, self._began_at + LEASE_TTL_S * CLOCK_DRIFT)
            self.barrier_until = lapses_at + self._longest_lease_s()
            self._lasting_until = self.barrier_until
            self._tables.held_pools = self._tables.held_lasting_pools = ALL_POOLS
        self._jobs.start()
        self._workers.start()

    def _longest_lease_s(self):
        return self._settings.bounds_hold_most_ms / MS_PER_S * CLOCK_DRIFT

    @property
    def awaited_leader(self):
        """The replaced leader, if the barrier waits for it and it may still run."""
        if not self.barrier_until or self._is_predecessor_gone:
            return None
        return self._leadership.previous_leader

    def record_leader_death(self, incarnation):
        """Shortens the barrier, as the replaced leader's process has surely ended.

        That leader's last calls may yet arrive, and other earlier leaders act. Of the
        calls, starts may be carried out late by a later incarnation of a worker: only
        perpetual tasks of jobs that have started wait for less, and none beside a
        registered worker, which is alive.

        Args:
            incarnation: Incarnation that has ended.
        """
        leader = self.awaited_leader
        if leader is None or leader.incarnation != incarnation:
            return
        self._is_predecessor_gone = True
        lapses_at = max(self._began_at, self._leadership.earlier_leaders_until)
        self._shorten(lapses_at + self._longest_lease_s())
        left_s = self._lasting_until - self._timers.now()
        logger.info(
            "previous leader has ended",
            extra={"leader": leader.name, "left_s": round(left_s, 2)},
        )

    def _shorten(self, until):
        self._lasting_until = min(self._lasting_until, until)

    def _shorten_to_bounded_leases(self):
        """Shortens the barrier if earlier leaders' leases end with their authority.

        As with the proof that a leader has ended, only perpetual tasks of jobs that
        have started wait for less.
        """
        until = self._leadership.earlier_leases_until()
        if until is None or self._lasting_until - until < MIN_SHORTENING_S:
            return
        self._shorten(until)
        logger.info(
            "leases of earlier leaders are bounded",
            extra={"left_s": round(self._lasting_until - self._timers.now(), 2)},
        )

    def close(self):
        """Stops following the store."""
        self._workers.close()
        self._jobs.close()

    def _apply_all_workers(self, items):
        commands = apply_range(self._tables, items, self._timers.now())
        self._has_workers = True
        self._note_rows()
        self._finish_load()
        self._dispatcher.sync_sessions()
        self._carry_out_all(commands)
        self._dispatcher.schedule_placement()

    def _apply_worker_changes(self, items):
        commands = []
        for item in items:
            commands += apply_item(self._tables, item, self._timers.now())
            self._note_rows()
        self._dispatcher.sync_sessions()
        self._carry_out_all(commands)
        self._dispatcher.schedule_placement()

    def _apply_all_jobs(self, items):
        parts, revisions_by_id = {}, {}
        for item in items:
            job_id, part = split_key(item.key)
            parts.setdefault(job_id, {})[part] = item.value
            if part == PROGRESS:
                revisions_by_id[job_id] = item.revision
        for job_id, values in parts.items():
            is_new = job_id not in self._tables.jobs_by_id
            self._load_job(job_id, values)
            if is_new and job_id in self._tables.jobs_by_id:
                job = self._tables.jobs_by_id[job_id]
                job.progress_revision = revisions_by_id.get(job_id, 0)
        self._has_jobs = True
        self._finish_load()
        self._dispatcher.schedule_placement()

    def _apply_job_changes(self, items):
        parts = {}
        for item in items:
            job_id, part = split_key(item.key)
            if part != PROGRESS and item.value is not None:
                parts.setdefault(job_id, {})[part] = item.value
        for job_id, values in parts.items():
            if values.keys() == {CANCEL}:
                self._dispatcher.cancel(job_id)
            else:
                self._load_job(job_id, values)
        if parts:
            self._dispatcher.schedule_placement()

    def _load_job(self, job_id, values):
        if job_id in self._tables.jobs_by_id or REQUEST not in values:
            if CANCEL in values:
                self._dispatcher.cancel(job_id)
            return
        try:
            submitted = decode_submitted(values[REQUEST])
            progress = values.get(PROGRESS)
            progress = decode_progress(progress) if progress else None
            if progress is not None:
                check_progress(submitted.request, progress)
        except DECODE_ERRORS as error:
            _log_skipped(job_id, error)
            return
        job = add_job(self._tables, job_id, submitted)
        self._dispatcher.learned_durations.record_job(job)
        if progress is not None:
            apply_progress(self._tables, job, progress)
        job.is_inherited = self._may_have_been_started()
        self._claim_rows(job)
        if CANCEL in values:
            self._dispatcher.cancel(job_id)

    def accept(self, job_id, record):
        """Adds a newly stored job."""
        if self.is_loaded and job_id not in self._tables.jobs_by_id:
            try:
                submitted = decode_submitted(record)
            except DECODE_ERRORS as error:
                _log_skipped(job_id, error)
                return
            job = add_job(self._tables, job_id, submitted)
            self._dispatcher.learned_durations.record_job(job)
            job.is_inherited = self._may_have_been_started()
            self._claim_rows(job)
            self._dispatcher.schedule_placement()

    def _claim_rows(self, job):
        if not self.is_loaded:
            # No list has been applied yet.
            return
        self._carry_out_all(claim_rows(self._tables, job, self._timers.now()))

    def _carry_out_all(self, commands):
        for command in commands:
            self._dispatcher.carry_out(command)

    @property
    def jobs_complete_at(self):
        """Clock as of which every stored job is in the tables."""
        return self._jobs.confirmed_at - WATCH_SILENCE_S

    def check_jobs(self):
        """Asks the store soon whether jobs were added that are not in the tables."""
        self._jobs.request_check()

    def _may_have_been_started(self):
        """Whether an earlier leader may have started a job that becomes known now."""
        if not self.barrier_until:
            return False
        age_s = self._timers.now() - self._began_at
        return not self.is_loaded or age_s < PREDECESSOR_ACCEPT_WINDOW_S

    def _finish_load(self):
        if self.is_loaded or not (self._has_jobs and self._has_workers):
            return
        self.is_loaded = True
        handed_over_runs = self._handover.runs if self._handover is not None else ()
        if self._handover is not None:
            apply_unstored_progress(self._tables, self._handover.progress_by_job)
        commands = create_due(self._tables, self._timers.wall_time())
        commands += adopt_handed_over_runs(
            self._tables, handed_over_runs, self._timers.now()
        )
        count_unrecorded_starts(
            self._tables, self.full_handover is not None, self._timers.now()
        )
        logger.info(
            "jobs loaded",
            extra={
                "jobs": len(self._tables.jobs_by_id),
                "open": len(self._tables.open_jobs_by_id),
                "handed_runs": len(handed_over_runs),
                "token": self._dispatcher.token,
                "epoch": self._tables.epoch,
            },
        )
        self._dispatcher.sync_sessions()
        self._carry_out_all(commands)

    @property
    def full_handover(self):
        """``HandOver`` of a previous leader that handed over all that it knew."""
        if self._handover is not None and self._handover.is_complete:
            return self._handover
        return None

    def export_handover(self, revision, order_age_s_by_host):
        """Returns a ``HandOver`` with all runs that may be under way.

        Args:
            revision: Revision of the leader's key.
            order_age_s_by_host: Ages of the last orders to hosts.
        """
        runs = runs_to_hand_over(self._tables, self._timers.now())
        progress_by_job = {
            job_id: encode(progress_of(self._tables.jobs_by_id[job_id]))
            for job_id in self._tables.dirty_job_ids
        }
        has_unclaimed = any(
            worker.unclaimed_runs or worker.unclaimed_ends
            for worker in self._tables.workers_by_id.values()
        )
        is_complete = self.is_loaded and not self.barrier_until and not has_unclaimed
        return HandOver(
            revision, is_complete, runs, progress_by_job, order_age_s_by_host
        )

    def _note_rows(self):
        """Notes the workers whose reports the barrier waits for, also once removed."""
        if self.barrier_until:
            self._rows_by_worker_id |= self._tables.workers_by_id

    def lift_barrier(self):
        """Lets the tasks that were inherited at the takeover start, pool by pool.

        A pool's tasks may start once all its workers have reported their runs, or
        the leases that earlier leaders gave have surely lapsed.
        """
        if not self.barrier_until or not self.is_loaded:
            return
        self._shorten_to_bounded_leases()
        self._note_rows()
        tables, rows = self._tables, tuple(self._rows_by_worker_id.values())
        unreported = unreported_workers(tables, self._dispatcher.fleet, rows)
        if self._leadership.last_renewal_at > self.barrier_until:
            unreported = {}
        if unreported is None:
            return
        held = _pools_still_held(tables.held_pools, unreported)
        holding = self._drop_unregistered(unreported)
        held_lasting = _pools_still_held(tables.held_lasting_pools, holding)
        if (held, held_lasting) == (tables.held_pools, tables.held_lasting_pools):
            return
        tables.held_pools, tables.held_lasting_pools = held, held_lasting
        if not held:
            self.barrier_until = 0.0
            self._rows_by_worker_id.clear()
        logger.info(
            "take-over",
            extra={
                "unheard": unreported,
                "held_pools": sorted(held),
                "held_lasting_pools": sorted(held_lasting),
            },
        )
        self._dispatcher.schedule_placement()

    def _drop_unregistered(self, unreported):
        """Returns the unreported workers that still hold started, perpetual work."""
        if self._leadership.last_renewal_at <= self._lasting_until:
            return unreported
        return {
            worker_id: pool
            for worker_id, pool in unreported.items()
            if self._is_registered(worker_id)
        }

    def _is_registered(self, worker_id):
        worker = self._tables.workers_by_id.get(worker_id)
        return worker is not None and not worker.missing_since

    def reread_after_expiry(self, now):
        """Reads registrations again once those of ended workers would have expired."""
        ended_incarnations = self._tables.ended_by_worker
        expired = [
            name
            for name, incarnation in ended_incarnations.items()
            if incarnation.until < now
        ]
        for name in expired:
            del ended_incarnations[name]
        if expired:
            self._workers.reread_range()

    def reread_earlier(self, now):
        """Reads registrations again while some are of earlier incarnations.

        A watch may hear nothing for a while. What stays listed for longer than that of
        an ended incarnation is the worker's own: its birth is wrong there.
        """
        self._note_earlier(now)
        longest_s = now - min(self._earlier_since_by_key.values(), default=now)
        if min(longest_s, now - self._reread_at) >= REREAD_PERIOD_S:
            self._reread_at = now
            self._workers.reread_range()

    def _note_earlier(self, now):
        """Notes since when workers have answered that have not registered yet."""
        known, self._earlier_since_by_key = self._earlier_since_by_key, {}
        for worker in self._tables.workers_by_id.values():
            if not worker.has_earlier_registration or worker.unresponsive_since:
                continue
            key = worker.worker_id, worker.births
            if key not in known:
                _log_earlier("worker answers, but has not registered yet", worker)
            since = known.get(key, now)
            if self._has_stayed_listed(since):
                worker.trusted_births = worker.births
                _log_earlier("registration with another birth is used", worker)
            else:
                self._earlier_since_by_key[key] = since

    def _has_stayed_listed(self, since):
        """Whether a registration has stayed for longer than that of an ended worker.

        While the store does not answer, none expires.
        """
        if self._leadership.store_answer_age_s() > MAX_RENEWAL_AGE_S:
            return False
        since = max(since, self._leadership.answering_since)
        known_until = self._workers.confirmed_at - WATCH_SILENCE_S
        return known_until - since > STALE_REGISTRATION_S

    def remove_moved(self, now):
        """Removes workers whose id is registered with another address, to read it."""
        moved = [w for w in self._tables.workers_by_id.values() if has_moved(w, now)]
        for worker in moved:
            proof = EndProof(ProofKind.ADDRESS_CHANGED, now)
            remove_worker(self._tables, worker, proof, now, has_ended=False)
        if moved:
            self._dispatcher.sync_sessions()
            self._workers.reread_range()

    def drop_missing(self, now):
        """Removes workers that are neither listed nor answering any more."""
        if self.barrier_until:
            return
        for worker in list(self._tables.workers_by_id.values()):
            if (
                worker.missing_since
                and now - worker.missing_since > MISSING_WORKER_S
                and worker.unresponsive_since
                and not worker.has_runs
                and now > worker.lease_until
            ):
                logger.info(
                    "worker removed; neither registered nor answering",
                    extra={"worker": worker.worker_id},
                )
                proof = EndProof(ProofKind.WORKER_GONE, worker.lease_until)
                remove_worker(self._tables, worker, proof, now, has_ended=False)
                self._dispatcher.sync_sessions()


def _log_earlier(message, worker):
    registered_ms, born_ms = worker.births
    extra = {"worker": worker.worker_id, "born": born_ms}
    logger.info(message, extra=extra | {"registered_born": registered_ms})


def _pools_still_held(held, unreported):
    """Returns which of the held pools have unreported workers."""
    pools = frozenset(unreported.values())
    # Workers that registered later have no runs of the previous leader.
    return pools if held is ALL_POOLS else pools & held


def _log_skipped(job_id, error):
    logger.error(
        "job skipped; its stored record cannot be decoded",
        extra={"job": job_id, "error": str(error)},
    )
