"""One tick of the job system: reports, lost tasks, cancellations, then placement."""

from dataclasses import dataclass, replace

from sassafrasgrade.jobs import (
    FINAL_STATES,
    PLACED_STATES,
    JobState,
    JobVerdict,
    Size,
    TaskState,
)
from sassafrasgrade.systems.job_placement import (
    CheckpointTasks,
    JobsPlacer,
    StartTasks,
    StopTasks,
    ThrottleTasks,
)

# Distinct proven hosts on which a job fails before it fails for good.
MAX_FAILED_HOSTS = 3
# Attempts after which a job fails for good even if no host is proven.
MAX_ATTEMPTS = 10
# Different jobs that fail in a row on a host before it is ejected.
FAILURES_TO_EJECT = 3
EJECTION_S = 300.0
# A task that the platform does not list this long after its start is lost, once
# the task leases of its host have lapsed.
UNLISTED_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class ChangeJobs:
    """Writes job records in one batch."""

    records_by_id: dict


class HostReliability:
    """Finds hosts on which every job fails."""

    def __init__(self):
        self._failed_jobs_by_host = {}
        self.ejected_until_by_host = {}
        self._proven_hosts = set()

    def record_result(self, host, job_id, failed, now):
        """Records the result of one finished task."""
        if not failed:
            self._failed_jobs_by_host.pop(host, None)
            self._proven_hosts.add(host)
            return
        jobs = self._failed_jobs_by_host.setdefault(host, set())
        jobs.add(job_id)
        if len(jobs) >= FAILURES_TO_EJECT:
            self.ejected_until_by_host[host] = now + EJECTION_S
            self._failed_jobs_by_host.pop(host)
            self._proven_hosts.discard(host)

    def is_proven(self, host, now):
        """Whether jobs succeed on the host, so that a failure is due to the job."""
        ejected = self.ejected_until_by_host.get(host, 0) > now
        return host in self._proven_hosts and not ejected


class JobsTick:
    """Computes the commands of one tick.

    Args:
        view: ``JobsView``.
        sizes: ``LearnedSizes``, updated from the reports.
        reliability: ``HostReliability``, updated from the reports.
    """

    def __init__(self, view, sizes, reliability):
        self._view = view
        self._sizes = sizes
        self._reliability = reliability
        self._records = dict(view.records_by_id)
        self._changed = {}
        self._stopped = []
        self._checkpointed = []

    def commands(self):
        """Returns the commands of this tick in order of execution."""
        for record in list(self._records.values()):
            if record.state not in FINAL_STATES:
                self._advance(record)
        view = replace(
            self._view, ejected_until_by_host=self._reliability.ejected_until_by_host
        )
        placement = JobsPlacer(view, self._records, self._sizes).place()
        self._changed.update(placement.changed)
        commands = []
        if self._changed:
            # Records are written first, so that no task runs without its record.
            commands.append(ChangeJobs(self._changed))
        lists = (
            (StopTasks, self._stopped),
            (CheckpointTasks, self._checkpointed + placement.checkpointed),
            (StartTasks, placement.started),
        )
        for command, job_ids in lists:
            if job_ids:
                commands.append(command(tuple(job_ids)))
        if placement.throttled:
            commands.insert(1, ThrottleTasks(tuple(placement.throttled), True))
        if placement.resumed:
            commands.append(ThrottleTasks(tuple(placement.resumed), False))
        return commands

    def _change(self, record, state, **fields):
        changed = replace(record, state=state, changed_at=self._view.now, **fields)
        self._records[record.spec.job_id] = changed
        self._changed[record.spec.job_id] = changed

    def _advance(self, record):
        if record.state is JobState.QUEUED:
            if record.cancels:
                self._change(record, JobState.CANCELLED)
            return
        report = self._view.reports_by_task.get(record.task_id)
        if report is not None and report.state is not TaskState.RUNNING:
            self._finish(record, report)
        elif record.host not in self._view.capacities_by_host:
            self._handle_lost_host(record)
        elif record.state is JobState.LOST:
            self._change(record, JobState.RUNNING)
        elif record.cancels and record.state is not JobState.STOPPING:
            self._change(record, JobState.STOPPING)
            self._stopped.append(record.spec.job_id)
        elif record.host in self._view.leaving_hosts:
            if record.state is JobState.RUNNING:
                self._change(record, JobState.CHECKPOINTING)
                self._checkpointed.append(record.spec.job_id)
        elif report is None:
            self._check_unlisted(record)
        else:
            used = Size(report.cores, report.memory_mb)
            if record.state is JobState.RUNNING and not record.throttled:
                self._sizes.record_usage(record.spec, used)

    def _finish(self, record, report):
        """Handles the end of a task that the platform reported."""
        failed = report.state is TaskState.FAILED
        if report.state is not TaskState.STOPPED:
            self._reliability.record_result(
                record.host, record.spec.job_id, failed, self._view.now
            )
        if report.state is TaskState.DONE:
            self._change(record, JobState.DONE)
        elif record.cancels:
            self._change(record, JobState.CANCELLED)
        elif report.state is TaskState.STOPPED:
            # The task was checkpointed: resuming it does not count as a second run.
            self._change(record, JobState.QUEUED, host="")
        else:
            self._retry_failed(record)

    def _retry_failed(self, record):
        if not record.spec.repeatable:
            verdict = JobVerdict.MAY_HAVE_RUN
            self._change(record, JobState.FAILED, verdict=verdict)
            return
        failed_hosts = record.failed_hosts
        if self._reliability.is_proven(record.host, self._view.now):
            failed_hosts = tuple(dict.fromkeys((*failed_hosts, record.host)))
        fails_everywhere = len(failed_hosts) >= MAX_FAILED_HOSTS
        if fails_everywhere or record.attempt >= MAX_ATTEMPTS:
            self._change(
                record,
                JobState.FAILED,
                failed_hosts=failed_hosts,
                verdict=JobVerdict.FAILS_EVERYWHERE,
            )
            return
        self._change(record, JobState.QUEUED, host="", failed_hosts=failed_hosts)

    def _handle_lost_host(self, record):
        """Marks a task as lost; resolves it once its host's task leases have lapsed."""
        lapsed_at = self._view.lapsed_at_by_host.get(record.host)
        if record.state is not JobState.LOST:
            self._change(record, JobState.LOST)
        elif lapsed_at is not None and self._view.now > lapsed_at:
            self._resolve_lost(record)

    def _check_unlisted(self, record):
        if self._view.now - record.changed_at <= UNLISTED_TIMEOUT_S:
            return
        lapsed_at = self._view.lapsed_at_by_host.get(record.host)
        if lapsed_at is not None and self._view.now > lapsed_at:
            self._resolve_lost(record)

    def _resolve_lost(self, record):
        if record.cancels:
            self._change(record, JobState.CANCELLED)
        elif record.spec.repeatable:
            self._change(record, JobState.QUEUED, host="")
        else:
            verdict = JobVerdict.MAY_HAVE_RUN
            self._change(record, JobState.FAILED, verdict=verdict)


def plan_jobs(view, sizes, reliability):
    """Returns the commands of one tick of the job system."""
    return JobsTick(view, sizes, reliability).commands()


def placed_hosts(records):
    """Returns the hosts whose task leases must be renewed."""
    return {r.host for r in records if r.state in PLACED_STATES and r.host}
