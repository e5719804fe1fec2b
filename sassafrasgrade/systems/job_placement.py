"""Places queued jobs: quotas, best fit, and preemption for urgent jobs."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from sassafrasgrade.jobs import (
    PLACED_STATES,
    JobState,
    JobVerdict,
    Size,
    TaskState,
)

URGENT_RANK = 0
# Share of its reserved cores that a throttled task keeps.
THROTTLED_SHARE = 0.1
# Factor by which the reservation exceeds the reported usage.
HEADROOM_FACTOR = 1.1
# Started tasks of one host that may be without a report at a time.
MAX_UNREPORTED_TASKS = 4
# A job whose trusted estimate exceeds the largest host by this factor can never run.
TOO_LARGE_FACTOR = 1.25


@dataclass(frozen=True)
class StartTasks:
    """Starts the jobs named, on the hosts in their records."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True)
class StopTasks:
    """Stops the tasks of the jobs named."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True)
class CheckpointTasks:
    """Checkpoints and stops the tasks of the jobs named."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True)
class ThrottleTasks:
    """Throttles or resumes the tasks of the jobs named."""

    job_ids: tuple[str, ...]
    throttled: bool


@dataclass
class Placement:
    """Decisions of one placement.

    Attributes:
        changed: New records by job id.
        started: Jobs to start.
        throttled: Jobs to throttle.
        checkpointed: Jobs to checkpoint.
        resumed: Throttled jobs to resume.
    """

    changed: dict = field(default_factory=dict)
    started: list = field(default_factory=list)
    throttled: list = field(default_factory=list)
    checkpointed: list = field(default_factory=list)
    resumed: list = field(default_factory=list)


class JobsPlacer:
    """Places the queued jobs in one tick.

    Args:
        view: ``JobsView``.
        records: Records by id, as changed so far in this tick.
        sizes: ``LearnedSizes``.
    """

    def __init__(self, view, records, sizes):
        self._view = view
        self._records = records
        self._sizes = sizes
        self._result = Placement()
        self._free = dict(view.capacities_by_host)
        self._cores_by_kind = defaultdict(float)
        self._placed_by_host = defaultdict(list)
        self._unreported_by_host = Counter()
        # Kinds of unknown size by host: only one job of such a kind is placed on a
        # host, to learn its size before others follow (urgent jobs excepted).
        self._unknown_by_host = defaultdict(set)
        for record in records.values():
            if record.state in PLACED_STATES:
                self._add_placed(record)
        self._hosts_by_pool = defaultdict(list)
        for host, pool in view.pools_by_host.items():
            if view.ejected_until_by_host.get(host, 0) <= view.now:
                self._hosts_by_pool[pool].append(host)

    def place(self):
        """Places the jobs that fit, most urgent first; returns a ``Placement``."""
        blocked = set()
        for record in self._queue():
            spec = record.spec
            # Jobs of the same pool and kind as one that did not fit do not fit either.
            if (spec.pool, spec.size_key) in blocked:
                continue
            if not self._place(record):
                blocked.add((spec.pool, spec.size_key))
        self._resume()
        return self._result

    def _queue(self):
        queued = [r for r in self._records.values() if r.state is JobState.QUEUED]
        return sorted(
            queued,
            key=lambda r: (
                r.spec.urgency,
                self._cores_by_kind[r.spec.size_key],
                r.spec.submitted_at,
                r.spec.job_id,
            ),
        )

    def _add_placed(self, record):
        self._cores_by_kind[record.spec.size_key] += record.reserved.cores
        self._placed_by_host[record.host].append(record.spec.job_id)
        if record.task_id not in self._view.reports_by_task:
            self._unreported_by_host[record.host] += 1
        if record.host in self._free:
            self._free[record.host] = self._free[record.host].minus(
                self._occupied_size(record)
            )
        if not self._sizes.is_trusted(record.spec):
            self._unknown_by_host[record.host].add(record.spec.size_key)

    def _occupied_size(self, record):
        """Returns the size that a placed job occupies on its host.

        That is the reported usage plus headroom, or the reserved size until a
        report arrives; throttled jobs occupy a share of their reserved cores.
        """
        size = record.reserved
        report = self._view.reports_by_task.get(record.task_id)
        if record.throttled:
            return Size(size.cores * THROTTLED_SHARE, size.memory_mb)
        if report is not None and report.state is TaskState.RUNNING:
            return Size(
                report.cores * HEADROOM_FACTOR, report.memory_mb * HEADROOM_FACTOR
            )
        return size

    def _place(self, record):
        spec = record.spec
        hosts = [
            host
            for host in self._hosts_by_pool[spec.pool]
            if host not in record.failed_hosts
            and (
                spec.urgency == URGENT_RANK
                or spec.size_key not in self._unknown_by_host[host]
            )
        ]
        if not hosts:
            return False
        size = self._size_to_reserve(record, hosts)
        if size is None:
            self._fail(record, JobVerdict.TOO_LARGE)
            return True
        quota = self._view.quotas_by_kind.get(spec.size_key)
        if quota and self._cores_by_kind[spec.size_key] + size.cores > quota:
            return False
        host = self._best_fit(self._below_unreported_limit(hosts, spec), size)
        if host is None and spec.urgency == URGENT_RANK:
            host = self._preempt(hosts, size)
        if host is None:
            return False
        self._start(record, host, size)
        return True

    def _size_to_reserve(self, record, hosts):
        """Returns the size to reserve, or None if no host can ever hold it."""
        size = self._sizes.estimate(record.spec)
        largest = Size(
            max(self._view.capacities_by_host[host].cores for host in hosts),
            max(self._view.capacities_by_host[host].memory_mb for host in hosts),
        )
        limit = Size(
            largest.cores * TOO_LARGE_FACTOR, largest.memory_mb * TOO_LARGE_FACTOR
        )
        if self._sizes.is_trusted(record.spec) and not size.fits(limit):
            return None
        # A declared size alone does not fail a job: it gets up to a whole host.
        return Size(
            min(size.cores, largest.cores), min(size.memory_mb, largest.memory_mb)
        )

    def _below_unreported_limit(self, hosts, spec):
        """Returns the hosts that have few started tasks without a report.

        Without this limit, a host on which every task fails would empty the
        queue before its first report arrives.
        """
        if spec.urgency == URGENT_RANK:
            return hosts
        return [h for h in hosts if self._unreported_by_host[h] < MAX_UNREPORTED_TASKS]

    def _best_fit(self, hosts, size):
        fitting = [host for host in hosts if size.fits(self._free[host])]
        if not fitting:
            return None
        return min(fitting, key=lambda host: (self._free[host].cores, host))

    def _preempt(self, hosts, size):
        """Throttles the least urgent tasks of one host, or checkpoints them.

        Throttling frees cores at once; memory is freed only by a checkpoint.

        Returns:
            The host on which the job fits now, or None.
        """
        best = None
        for host in hosts:
            victims = self._victims(host, size)
            if victims is not None and (best is None or len(victims) < len(best[1])):
                best = host, victims
        if best is not None:
            host, victims = best
            for record in victims:
                self._change(record, throttled=True)
                self._result.throttled.append(record.spec.job_id)
                freed = Size(record.reserved.cores * (1 - THROTTLED_SHARE), 0.0)
                self._free[host] = self._free[host].plus(freed)
            return host
        self._checkpoint_for(hosts, size)
        return None

    def _preemptible(self, host):
        """Returns the running tasks that may be preempted, least urgent first."""
        records = [self._records[job_id] for job_id in self._placed_by_host[host]]
        return sorted(
            (
                record
                for record in records
                if record.state is JobState.RUNNING
                and record.spec.urgency > URGENT_RANK
            ),
            key=lambda r: (-r.spec.urgency, -r.reserved.cores, r.spec.job_id),
        )

    def _victims(self, host, size):
        """Returns the fewest tasks to throttle on a host, or None."""
        free = self._free[host]
        if size.memory_mb > free.memory_mb:
            return None
        victims = []
        for record in self._preemptible(host):
            if size.cores <= free.cores:
                break
            if record.throttled:
                continue
            victims.append(record)
            freed = record.reserved.cores * (1 - THROTTLED_SHARE)
            free = free.plus(Size(freed, 0.0))
        return victims if size.cores <= free.cores else None

    def _checkpoint_for(self, hosts, size):
        """Checkpoints tasks on the host where the fewest must be preempted."""
        best = None
        for host in hosts:
            waiting = [
                job_id
                for job_id in self._placed_by_host[host]
                if self._records[job_id].state is JobState.CHECKPOINTING
            ]
            if waiting:
                continue
            free, chosen = self._free[host], []
            for record in self._preemptible(host):
                if size.fits(free):
                    break
                chosen.append(record)
                free = free.plus(self._occupied_size(record))
            enough = size.fits(free)
            if enough and chosen and (best is None or len(chosen) < len(best)):
                best = chosen
        for record in best or ():
            self._change(record, state=JobState.CHECKPOINTING)
            self._result.checkpointed.append(record.spec.job_id)

    def _start(self, record, host, size):
        started = replace(
            record,
            state=JobState.RUNNING,
            attempt=record.attempt + 1,
            host=host,
            reserved=size,
            throttled=False,
            changed_at=self._view.now,
        )
        self._records[record.spec.job_id] = started
        self._result.changed[record.spec.job_id] = started
        self._result.started.append(record.spec.job_id)
        self._add_placed(started)

    def _fail(self, record, verdict):
        self._change(record, state=JobState.FAILED, verdict=verdict)

    def _change(self, record, **fields):
        changed = replace(record, changed_at=self._view.now, **fields)
        self._records[record.spec.job_id] = changed
        self._result.changed[record.spec.job_id] = changed

    def _resume(self):
        """Resumes throttled tasks whose cores are free again."""
        for host, job_ids in self._placed_by_host.items():
            for job_id in job_ids:
                record = self._records[job_id]
                if not record.throttled or record.state is not JobState.RUNNING:
                    continue
                if job_id in self._result.throttled or host not in self._free:
                    continue
                missing = Size(record.reserved.cores * (1 - THROTTLED_SHARE), 0.0)
                if missing.cores <= self._free[host].cores:
                    self._free[host] = self._free[host].minus(missing)
                    self._change(record, throttled=False)
                    self._result.resumed.append(job_id)
