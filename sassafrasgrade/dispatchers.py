"""The leader's dispatcher: runs the scheduling systems and executes their commands."""

import logging
import math
import time
from functools import singledispatchmethod

from tornado.ioloop import IOLoop

from sassafrasgrade.advice_requesters import AdviceRequester
from sassafrasgrade.fleet_hosts import ENDING_STATES
from sassafrasgrade.host_controllers import HostController
from sassafrasgrade.job_sweeps import JobSweeper
from sassafrasgrade.outage_reports import OUTAGE_ANSWER_AGE_S
from sassafrasgrade.platform.workers import OrderOutcome
from sassafrasgrade.progress_writers import ProgressWriter
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    note_lapse,
    record_crash,
    record_restart,
    settle_crashes,
    watch_suspects,
)
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.host_states import PLAN_INTERVAL_S
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.occurrences import create_due, forget_done
from sassafrasgrade.systems.pacing import pace_fillers
from sassafrasgrade.systems.placement_passes import PlacementRound
from sassafrasgrade.systems.pool_moves import describe_pools
from sassafrasgrade.systems.run_updates import (
    apply_view,
    assume_longest_lease,
    cancel_job,
    decay_outcome_counts,
    end_if_exhausted,
    expire_leases,
    forget_removed,
    forget_run,
    has_incarnation_ended,
    is_later,
    record_answered_start,
    record_start,
    remove_worker,
    restart_worker,
)
from sassafrasgrade.systems.slow_runs import stop_stalled
from sassafrasgrade.systems.task_placement import is_usable, step_key_of
from sassafrasgrade.systems.work_bounds import FreedRate, held_by_queue
from sassafrasgrade.table_loaders import TableLoader
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.work_commands import (
    AskWorker,
    LogEvent,
    MaintainHost,
    MoveHost,
    PaceRun,
    ReportSecondRun,
    ReportWave,
    StartRun,
    StopRun,
    StopUnknownRun,
)
from sassafrasgrade.work_tables import MS_PER_S, RunState, WorkState, WorkTables
from sassafrasgrade.worker_fences import WorkerFences
from sassafrasgrade.worker_registrations import remove_replaced_workers
from sassafrasgrade.worker_sessions import WorkerSession

logger = logging.getLogger(__name__)

# Normal lease of runs, in seconds: long enough for runs to survive a change of
# leader, short enough to restart the work of an unresponsive worker soon.
WORKER_LEASE_S = 4.5
# Delay before a placement, in seconds, which batches changes.
PLACEMENT_DELAY_S = 0.003
# Minimum delay before the next placement, as a multiple of the time that the last
# one took: a long backlog must not starve long polls and orders of CPU time.
PLACEMENT_PAUSE_FACTOR = 3.0
# Duration from which a placement is logged, in seconds: so long may a new job wait
# for its turn.
LONG_PLACEMENT_S = 0.5
TICK_S = PLAN_INTERVAL_S
# Delay before an unanswered stop is sent again, in seconds.
STOP_RETRY_S = 0.6
# Interval of log lines on pools where jobs wait, in seconds.
POOL_LOG_INTERVAL_S = 1.0
# Pause in seconds after a worker refused a start, for example as unhealthy or full,
# before it gets the next one.
REFUSED_PAUSE_S = 0.3
# A leader releases leadership if it reaches less than this share of the workers:
# another node may reach more. A worker counts as unreachable after
# `UNREACHABLE_S` seconds without an answer.
MIN_REACHABLE_SHARE = 0.5
UNREACHABLE_S = 0.8
# Time after gaining leadership before this check applies, in seconds.
REACHABILITY_CHECK_AFTER_S = 3.0


class Dispatcher:
    """Owns the tables while this node is the leader.

    Args:
        services: ``NodeServices`` with store, HTTP client, timers, settings.
        leadership: ``Leadership``.
        token: Fencing token.
        epoch: Number of this leadership.
        counters: ``NodeCounters``.
        handover: ``HandOver`` of the previous leader, if it stopped gracefully.
        is_predecessor_gone: Whether the previous leader is known to have stopped.
    """

    def __init__(
        self,
        services,
        leadership,
        token,
        epoch,
        counters,
        handover=None,
        is_predecessor_gone=False,
    ):
        self.timers = services.timers
        self.token = token
        self.settings = services.settings
        self.counters = counters
        self._services = services
        self._leadership = leadership
        self.tables = WorkTables(
            epoch=epoch,
            remote_slowdown=services.settings.bounds_remote_slowdown,
            longest_lease_s=services.settings.bounds_hold_most_ms / MS_PER_S,
        )
        self.learned_durations = LearnedDurations()
        self._is_closed = False
        self._sessions_by_id = {}
        # The placement under way, and whether another one is to follow.
        self._placement = None
        self._is_placement_due = False
        self._is_slice_scheduled = False
        self._placement_began_at, self._slices = 0.0, 0
        self._placement_delay_s = PLACEMENT_DELAY_S
        self._periodic = None
        self._began_at = self.timers.now()
        self._freed_rate = FreedRate()
        self._pools_logged_at = 0.0
        # Whether tasks may be started, and whether most nodes report an outage.
        self._logged_authority = True, False
        self._is_releasing = False
        self._fences = WorkerFences(
            services.store, token, self._note_raised_token, self._step_down
        )
        self._writer = ProgressWriter(
            services.store,
            self.tables,
            token,
            self._apply_stored_ends,
            self._step_down,
            self._fences.record_write,
        )
        self.loader = TableLoader(
            services, self, leadership, handover, is_predecessor_gone
        )
        self._hosts = HostController(services, self)
        self._advice = AdviceRequester(services, self)
        self._sweeper = JobSweeper(services, self)

    def is_present(self, worker):
        """Whether a worker's row is still in the tables."""
        if worker is None:
            return False
        return self.tables.workers_by_id.get(worker.worker_id) is worker

    def remove_worker(self, worker):
        """Removes a worker that a host order has ended."""
        now = self.timers.now()
        proof = EndProof(ProofKind.HOST_ORDERED, now)
        remove_worker(self.tables, worker, proof, now)
        self.sync_sessions()
        self.schedule_placement()

    def has_authority(self):
        """Whether workers may be given orders."""
        return not self._is_closed and self._leadership.has_authority()

    @property
    def is_loaded(self):
        """Whether jobs and workers have been loaded from the store."""
        return self.loader.is_loaded

    @property
    def fleet(self):
        """Hosts and maintenance waves."""
        return self._hosts.fleet

    def has_host_authority(self):
        """Whether orders on hosts may be sent."""
        return not self._is_closed and self._leadership.has_host_authority()

    def start(self, configuration, queues_by_name=None, pools_by_queue=None):
        """Starts ticking and loading jobs and workers.

        Args:
            configuration: The ``Configuration`` in force, or None.
            queues_by_name: Queues of the configurations that this node knows, each by
                the newest one that has it.
            pools_by_queue: Pools that each queue has had in these configurations.
        """
        self.tables.queues_by_name.update(queues_by_name or {})
        for queue_name, pools in (pools_by_queue or {}).items():
            self.tables.pools_by_queue[queue_name] = set(pools)
        if configuration is not None:
            self.tables.adopt_configuration(configuration)
        self._periodic = self.timers.subscribe(TICK_S, self._tick)
        self.loader.start()
        self._hosts.start()

    def renew(self, token, epoch):
        """Continues under a new token after the leader's key was lost."""
        self.token = token
        self.tables.epoch = epoch
        self._writer.renew(token)
        self._fences.renew(token)

    def close(self):
        """Stops giving orders at once."""
        self._is_closed = True
        self._writer.close()
        self._fences.close()
        self.loader.close()
        self._hosts.close()
        if self._periodic is not None:
            self._periodic.stop()
        for session in self._sessions_by_id.values():
            session.close()

    def export_handover(self, revision):
        """Returns the ``HandOver`` for a successor.

        Args:
            revision: Revision of the leader's key.
        """
        ages = self._hosts.recent_order_ages()
        return self.loader.export_handover(revision, ages)

    async def flush(self):
        """Stores unsaved progress, for a limited time."""
        await self._writer.flush()

    def adopt_configuration(self, configuration):
        """Applies a newer configuration."""
        open_jobs = self.tables.open_jobs_by_id.values()
        unknown = [job for job in open_jobs if self.tables.queue_of(job) is None]
        self.tables.adopt_configuration(configuration)
        for job in unknown:
            self._carry_out_all(end_if_exhausted(self.tables, job))
        self.schedule_placement()

    def apply_waves(self, values_by_key):
        """Applies the operators' maintenance waves."""
        self._hosts.apply_waves(values_by_key)

    # Called by worker sessions.

    @property
    def worker_token(self):
        """Fencing token of calls to workers."""
        return self._fences.token

    def lease_s(self):
        """Returns the current lease of runs in seconds; 0 if none may be given.

        It ends with this leader's authority, so that a successor need not wait for
        both. Only in an outage that most nodes report do runs outlive it.
        """
        left_s = self._leadership.authority_left_s() / CLOCK_DRIFT
        if not self._is_store_unresponsive():
            return min(WORKER_LEASE_S, left_s)
        longest_s = self.settings.bounds_hold_most_ms / MS_PER_S
        if left_s and self._leadership.is_outage_confirmed():
            return longest_s
        return min(longest_s, left_s)

    def _is_store_unresponsive(self):
        return self._leadership.store_answer_age_s() > OUTAGE_ANSWER_AGE_S

    def _log_authority(self):
        """Logs when starts stop or go on, and when leases outlive the authority."""
        may_start = self._leadership.has_start_authority()
        is_outage = self._is_store_unresponsive()
        is_outage = is_outage and self._leadership.is_outage_confirmed()
        if (may_start, is_outage) == self._logged_authority:
            return
        self._logged_authority = may_start, is_outage
        logger.info(
            "authority changed",
            extra={
                "may_start": may_start,
                "outage_confirmed": is_outage,
                "left_s": round(self._leadership.authority_left_s(), 2),
                "store_answer_age_s": round(self._leadership.store_answer_age_s(), 2),
            },
        )

    def may_start(self, run):
        """Whether a start may still be sent."""
        worker = self.tables.workers_by_id.get(run.worker_id)
        return (
            self._leadership.has_start_authority()
            and worker is not None
            and is_usable(worker, self.timers.now())
            and run.task.job.is_open
            and not run.task.is_done
        )

    def apply_worker_view(self, session, view, sent_at):
        """Applies a worker's lists of running and ended runs.

        Returns:
            Whether the answer is of the worker's present incarnation; the late answer
            of an earlier one is ignored.
        """
        worker, now = session.worker, self.timers.now()
        if _is_of_earlier_incarnation(worker, view, sent_at):
            self._log_earlier_incarnation(worker, view)
            return False
        if _has_restarted(worker, view):
            record_restart(self.tables, worker, view, sent_at)
            self._fence(worker)
            self._carry_out_all(restart_worker(self.tables, worker, view, now))
        elif not worker.last_answer_at and self._was_removed(worker):
            # This may be a later incarnation than that of the removed row.
            self._fence(worker)
        if view.born_ms is not None:
            worker.born_ms = view.born_ms
        worker.last_answer_at = now
        worker.last_answered_call_at = max(worker.last_answered_call_at, sent_at)
        worker.lapsed_suspects = ()
        if worker.unresponsive_since:
            worker.unresponsive_since = 0.0
            logger.info("dependency regained", extra={"worker": worker.worker_id})
        if self.is_loaded:
            self._apply_lists(worker, view, sent_at, now)
        return True

    def _was_removed(self, worker):
        return worker.worker_id in self.tables.removed_at_by_worker

    def _fence(self, worker):
        """Raises the token of a worker whose earlier incarnation was sent calls."""
        worker.fenced_at = math.inf
        worker.has_seen_token = False
        self._fences.raise_token(worker.worker_id)

    def _note_raised_token(self, worker_id):
        worker = self.tables.workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.fenced_at = self.timers.now()
        if worker_id in self._sessions_by_id:
            self._sessions_by_id[worker_id].notify_token_raised()
        logger.info(
            "worker token raised",
            extra={
                "worker": worker_id,
                "born": worker.born_ms,
                "token": self.worker_token,
            },
        )

    @staticmethod
    def _log_earlier_incarnation(worker, view):
        logger.info(
            "answer of an earlier incarnation ignored",
            extra={
                "worker": worker.worker_id,
                "born": view.born_ms,
                "present_born": worker.born_ms,
            },
        )

    def _apply_lists(self, worker, view, sent_at, now):
        had_seen_token = worker.has_seen_token
        worker.has_seen_token = had_seen_token or sent_at >= worker.fenced_at
        self._record_durations(worker, view, now)
        runs_before = len(worker.runs_by_key)
        self.tables.jobs_complete_at = self.loader.jobs_complete_at
        commands = apply_view(self.tables, worker, view, sent_at, now)
        self._carry_out_all(commands)
        if worker.unclaimed_runs or worker.unclaimed_ends:
            self.loader.check_jobs()
        has_now_seen_token = worker.has_seen_token and not had_seen_token
        if has_now_seen_token:
            if worker.fenced_at > -math.inf:
                # A late call may have renewed a lease by an earlier clock.
                assume_longest_lease(self.tables, worker, now)
            self.loader.lift_barrier()
        if commands or has_now_seen_token or len(worker.runs_by_key) < runs_before:
            self.schedule_placement()
        self._schedule_store(worker)

    def _record_durations(self, worker, view, now):
        for row in view.ended:
            run = worker.runs_by_key.get((row.task, row.run))
            if run is None or row.how != "done" or run.task.saved.value:
                continue
            if run.task.step.is_perpetual:
                continue
            elapsed_s = run.lasted_before_s + now - run.started_at
            if math.isinf(elapsed_s):
                # An earlier leader started it at an unknown time.
                continue
            task = run.task
            self.learned_durations.record_run(
                task.job.queue_name, task.step.estimate_ms, elapsed_s
            )
            self.counters.count_run(task.job.queue_name, elapsed_s)

    def _schedule_store(self, worker):
        if self.tables.dirty_job_ids:
            ends = any(
                self.tables.jobs_by_id[job_id].pending_state is not None
                for job_id in self.tables.dirty_job_ids
            )
            self._writer.schedule(ends)
        else:
            worker.stored_end = worker.settled_end

    def handle_start_reply(self, run, reply, had_no_effect):
        """Updates the run, its task and its worker from the reply to a start."""
        now = self.timers.now()
        task, worker = run.task, self.tables.workers_by_id.get(run.worker_id)
        fields = {
            "job": task.job.job_id,
            "task": task.name,
            "run": run.number,
            "worker": run.worker_id,
            "outcome": reply.outcome.value,
            "waited_ms": round((run.started_at - task.waiting_since) * MS_PER_S),
            "answer_ms": round((now - run.started_at) * MS_PER_S),
        }
        if reply.detail:
            fields["detail"] = reply.detail
        if reply.clock_ms:
            # By the clock of the incarnation that answered.
            fields["granted_ms"] = round(run.deadline_ms - reply.clock_ms)
            fields["sent_to_born"] = run.sent_to_born_ms
        logger.info(
            "run started" if not had_no_effect else "start refused", extra=fields
        )
        self.counters.count_start(reply.outcome.value)
        if reply.outcome is OrderOutcome.DONE:
            record_answered_start(run, reply.clock_ms, now)
            record_start(self.tables, task.job)
            if not run.is_lease_known:
                # Its worker has probably restarted; polls may hang on connections to
                # the earlier incarnation.
                self.counters.count_start_by_other_clock()
                if reply.clock_ms and worker is not None:
                    self._fence(worker)
                self.carry_out(AskWorker(run.worker_id))
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            if task.is_done or not task.job.is_open:
                self.carry_out(StopRun(run, "no longer wanted"))
            return
        if not had_no_effect:
            run.state = RunState.UNCERTAIN
            self.handle_unanswered_start(worker, run)
            return
        is_sent = reply.outcome is not OrderOutcome.NOT_SENT
        kind = ProofKind.START_REFUSED if is_sent else ProofKind.START_NOT_SENT
        forget_run(self.tables, run, EndProof(kind, now), now)
        if not is_sent and worker is not None:
            worker.usable_after = now + REFUSED_PAUSE_S
            self._doubt(worker)
        elif reply.outcome is OrderOutcome.FENCED:
            self.handle_fenced(run.worker_id, run.token)
        elif reply.outcome is OrderOutcome.WRONG_INSTANCE and worker is not None:
            self.handle_replaced_worker(worker)
        elif reply.outcome is OrderOutcome.BAD_TICKET:
            self.tables.tickets.drop(step_key_of(task), run.worker_id)
        elif worker is not None:
            worker.usable_after = now + REFUSED_PAUSE_S
            if reply.outcome is OrderOutcome.UNHEALTHY:
                worker.failures += 1
        self.schedule_placement()

    def handle_unanswered_start(self, worker, run):
        """Stops a run whose start was not answered.

        The order may still reach the worker. The stop also makes the worker refuse a
        start that arrives after it, so that the task is soon free to start elsewhere.
        A perpetual task would be stopped at work while others of its step are away: it
        waits until a list shows it, or the order's deadline has passed.
        """
        if worker is not None:
            self._doubt(worker)
        if not run.task.step.is_perpetual:
            self.carry_out(StopRun(run, "start without an answer"))

    def _doubt(self, worker):
        """Gives a worker no new runs until it has answered a question."""
        worker.failures += 1
        worker.doubted_at = self.timers.now()
        self.carry_out(AskWorker(worker.worker_id))

    def drop_unsent_start(self, run, reason):
        """Forgets a run whose start was never sent."""
        now = self.timers.now()
        forget_run(self.tables, run, EndProof(ProofKind.START_NOT_SENT, now), now)
        logger.info("start not sent", extra={"task": run.task.name, "reason": reason})
        self.schedule_placement()

    def handle_fenced(self, worker_id, token):
        """Steps down if a worker has seen a higher token than any of this leader's.

        Args:
            worker_id: The worker.
            token: Token that it refused; a call may have been overtaken by the first
                one with a raised token.

        Returns:
            Whether another node leads.
        """
        present_token = self.worker_token
        fields = {"worker": worker_id, "token": token, "present_token": present_token}
        if token < present_token:
            logger.info("call with an earlier token refused", extra=fields)
            return False
        logger.warning(
            "worker has seen a higher fencing token; stepping down", extra=fields
        )
        self._step_down()
        return True

    def _step_down(self):
        if not self._is_closed:
            self._leadership.step_down("another node leads")

    def handle_replaced_worker(self, worker):
        """Gives up a worker at whose address another incarnation answers.

        That proves who is at the address now. The worker itself may run on elsewhere
        until its lease ends, unless a later worker of its host answers before.
        """
        host = self.fleet.hosts_by_name.get(worker.host)
        if host is None or host.state not in ENDING_STATES:
            record_crash(self.tables, worker)
        now = self.timers.now()
        worker.is_superseded = True
        worker.unresponsive_since = worker.unresponsive_since or now
        logger.info(
            "worker given up; another incarnation answers at its address",
            extra={
                "worker": worker.worker_id,
                "runs": len(worker.runs_by_key),
                "lease_left_ms": round((worker.lease_until - now) * MS_PER_S),
            },
        )
        self._remove_superseded(now)
        self.sync_sessions()
        self.schedule_placement()

    def _remove_superseded(self, now):
        """Removes workers that were given up and have no runs left."""
        for worker in list(self.tables.workers_by_id.values()):
            if worker.is_superseded and not worker.has_runs:
                proof = EndProof(ProofKind.ANOTHER_ANSWERS, now)
                remove_worker(self.tables, worker, proof, now)

    def record_unresponsive(self, worker, detail):
        """Records that a worker did not answer."""
        if not worker.unresponsive_since:
            worker.unresponsive_since = self.timers.now()
            logger.info(
                "dependency lost",
                extra={"worker": worker.worker_id, "detail": detail},
            )

    # Workers and jobs from the store.

    def sync_sessions(self):
        """Opens and closes sessions so that each known worker has one."""
        if not self.is_loaded:
            return
        for worker_id, session in list(self._sessions_by_id.items()):
            worker = self.tables.workers_by_id.get(worker_id)
            if worker is not session.worker or worker.is_superseded:
                session.close()
                del self._sessions_by_id[worker_id]
        for worker_id, worker in self.tables.workers_by_id.items():
            if worker_id not in self._sessions_by_id and not worker.is_superseded:
                session = WorkerSession(worker, self._services.leader_http(), self)
                self._sessions_by_id[worker_id] = session
                session.start()

    # Requests and messages of nodes.

    def cancel(self, job_id):
        """Applies a stored cancellation."""
        job = self.tables.jobs_by_id.get(job_id)
        if job is not None:
            self._carry_out_all(cancel_job(self.tables, job))
            self.schedule_placement()

    def state_of(self, job_id):
        """Returns the state of a job as text; empty if it is not known."""
        job = self.tables.jobs_by_id.get(job_id)
        if job is None or not self.is_loaded:
            return ""
        if job.state is WorkState.QUEUED and job.has_started:
            return WorkState.RUNNING.value
        return job.state.value

    def waiting_by_queue(self):
        """Counts accepted jobs without a started task, by queue."""
        counts = {}
        for job in self.tables.open_jobs_by_id.values():
            if not job.has_started and job.request.repeats <= 0:
                counts[job.queue_name] = counts.get(job.queue_name, 0) + 1
        return counts

    def measure_work(self):
        """Returns the memory of all jobs by queue, and the rate at which it is freed.

        In bytes, and in bytes a second.
        """
        held = held_by_queue(self.tables)
        self._freed_rate.measure(sum(held.values()), self.timers.now())
        return held, self._freed_rate.per_s

    # Ticks.

    def schedule_placement(self):
        """Schedules a placement, shortly delayed to include other changes."""
        self._is_placement_due = True
        self._schedule_slice()

    def _schedule_slice(self):
        if not self._is_slice_scheduled and not self._is_closed:
            self._is_slice_scheduled = True
            IOLoop.current().call_later(self._placement_delay_s, self._place)

    def _place(self):
        """Does one slice of a placement; the loop is free between two slices."""
        began = time.monotonic()
        try:
            if self._is_closed or not self.is_loaded:
                return
            if not self._leadership.has_start_authority():
                self._placement = None
                return
            self._place_slice()
        finally:
            spent_s = time.monotonic() - began
            self._placement_delay_s = max(
                PLACEMENT_DELAY_S, PLACEMENT_PAUSE_FACTOR * spent_s
            )
            self._is_slice_scheduled = False
        if self._placement is not None or self._is_placement_due:
            self._schedule_slice()

    def _place_slice(self):
        if self._placement is None:
            self._is_placement_due = False
            self._carry_out_all(settle_crashes(self.tables))
            self.tables.tickets.begin_placement()
            self._placement = PlacementRound(
                self.tables, self.learned_durations, self.timers.wall_time()
            )
            self._placement_began_at, self._slices = self.timers.now(), 0
        placement, self._placement = self._placement, None
        self._carry_out_all(placement.next_slice(self.timers.now()))
        self._slices += 1
        if placement.is_finished:
            self.tables.tickets.end_placement()
            self._record_placement()
        else:
            self._placement = placement
        if self.tables.dirty_job_ids:
            self._writer.schedule(False)
        self._advice.wake()

    def _record_placement(self):
        spent_s = self.timers.now() - self._placement_began_at
        self.counters.count_placement(self._slices, spent_s)
        if spent_s > LONG_PLACEMENT_S:
            logger.info(
                "long placement",
                extra={
                    "slices": self._slices,
                    "spent_s": round(spent_s, 2),
                    "open_jobs": len(self.tables.open_jobs_by_id),
                },
            )

    def _tick(self, now):
        if self._is_closed or not self.is_loaded:
            return
        self._log_authority()
        decay_outcome_counts(self.tables, TICK_S)
        forget_done(self.tables)
        self._carry_out_all(create_due(self.tables, self.timers.wall_time()))
        if self._leadership.has_authority():
            self._carry_out_all(stop_stalled(self.tables, self.learned_durations, now))
            self._carry_out_all(pace_fillers(self.tables, now))
            self._carry_out_all(clear_outlived(self.tables))
            self._carry_out_all(watch_suspects(self.tables))
        self._carry_out_all(
            expire_leases(self.tables, self._leadership.last_renewal_at, note_lapse)
        )
        remove_replaced_workers(self.tables, now)
        self._remove_superseded(now)
        forget_removed(self.tables, now)
        self.sync_sessions()
        self._repeat_stops(now)
        self._sweeper.sweep(now)
        self.loader.remove_moved(now)
        self.loader.drop_missing(now)
        self.loader.reread_after_expiry(now)
        self.loader.reread_earlier(now)
        if self._reaches_too_few_workers(now):
            self._is_releasing = True
            IOLoop.current().add_callback(
                self._services.release_leadership, "most workers are out of reach"
            )
        self.loader.lift_barrier()
        self._carry_out_all(self._hosts.plan(now))
        if now - self._pools_logged_at > POOL_LOG_INTERVAL_S:
            self._pools_logged_at = now
            self._carry_out_all(describe_pools(self.tables, self._hosts.fleet, now))
        if self.tables.dirty_job_ids:
            self._writer.schedule(False)
        self.schedule_placement()

    def _reaches_too_few_workers(self, now):
        """Whether so few workers answer that another node may reach more of them."""
        if self._is_releasing or now - self._began_at < REACHABILITY_CHECK_AFTER_S:
            return False
        workers = [
            worker
            for worker in self.tables.workers_by_id.values()
            if not worker.missing_since and not worker.is_superseded
            # An entry of a service that is not named may be another writer's.
            and worker.pool in self.tables.pools_by_name
            and not has_incarnation_ended(worker, self._hosts.fleet)
        ]
        unreachable = sum(
            1
            for w in workers
            if w.unresponsive_since and now - w.unresponsive_since > UNREACHABLE_S
        )
        return unreachable > len(workers) * (1 - MIN_REACHABLE_SHARE)

    def _repeat_stops(self, now):
        for worker in self.tables.workers_by_id.values():
            for run in worker.runs_by_key.values():
                is_unanswered = run.stopped_at and not run.stop_answered_at
                if is_unanswered and now - run.stopped_at > STOP_RETRY_S:
                    self._send_stop(run)

    def _apply_stored_ends(self, ends_by_worker):
        for worker_id, (born_ms, end) in ends_by_worker.items():
            worker = self.tables.workers_by_id.get(worker_id)
            if worker is None or worker.born_ms != born_ms:
                continue
            if end <= worker.seen_end:
                worker.stored_end = max(worker.stored_end, end)
                session = self._sessions_by_id.get(worker_id)
                if session is not None:
                    session.notify_stored()
        self.schedule_placement()

    # Commands.

    def _carry_out_all(self, commands):
        for command in commands:
            self.carry_out(command)

    @singledispatchmethod
    def carry_out(self, command):
        """Executes a command."""
        raise TypeError(f"unknown command {type(command).__name__}")

    @carry_out.register
    def _(self, command: StartRun):
        session = self._sessions_by_id.get(command.run.worker_id)
        if session is None:
            self.drop_unsent_start(command.run, "no session with the worker")
            return
        IOLoop.current().add_callback(session.send_start, command.run)

    @carry_out.register
    def _(self, command: StopRun):
        run = command.run
        logger.info(
            "run stopping",
            extra={
                "job": run.task.job.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker_id,
                "reason": command.reason,
            },
        )
        if run.state is RunState.RUNNING:
            run.state = RunState.STOPPING
        self._send_stop(run)

    def _send_stop(self, run):
        run.stopped_at = self.timers.now()
        session = self._sessions_by_id.get(run.worker_id)
        if session is not None:
            IOLoop.current().add_callback(
                session.send_stop, run.task.name, run.number, run
            )

    @carry_out.register
    def _(self, command: StopUnknownRun):
        session = self._sessions_by_id.get(command.worker_id)
        if session is not None:
            IOLoop.current().add_callback(
                session.send_stop, command.task, command.number
            )

    @carry_out.register
    def _(self, command: ReportSecondRun):
        self.counters.count_second_run()
        run = command.run
        logger.warning(
            "second run of a task",
            extra={
                "job": run.task.job.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker_id,
                "others": [
                    {
                        "run": other.number,
                        "worker": other.worker_id,
                        "state": str(other.state),
                    }
                    for other in command.others
                ],
            },
        )

    @carry_out.register
    def _(self, command: AskWorker):
        session = self._sessions_by_id.get(command.worker_id)
        if session is not None:
            IOLoop.current().add_callback(session.ask)

    @carry_out.register
    def _(self, command: PaceRun):
        run, previous_percent = command.run, command.run.pace
        run.pace = command.percent
        session = self._sessions_by_id.get(run.worker_id)
        if session is not None:
            IOLoop.current().add_callback(
                session.send_pace, run, command.percent, previous_percent
            )

    @carry_out.register
    def _(self, command: MoveHost | MaintainHost | ReportWave):
        self._hosts.carry_out_soon(command)

    @carry_out.register
    def _(self, command: LogEvent):
        logger.info(command.event, extra=command.fields)


def _has_restarted(worker, view):
    """Whether an answer is of another incarnation than the worker's last one."""
    if None in (view.born_ms, worker.born_ms) or not worker.last_answer_at:
        return False
    return view.born_ms != worker.born_ms


def _is_of_earlier_incarnation(worker, view, sent_at):
    """Whether an answer is of an incarnation before the present one.

    An answer to a call that was sent after the last answer is of the present one or a
    later one. Only for earlier calls does the time of day of their starts decide, which
    may have been set back.
    """
    if sent_at > worker.last_answer_at:
        return False
    is_known = view.born_ms in worker.earlier_births
    return is_known or is_later(worker.born_ms, view.born_ms)
