"""Fakes of workers and tasks, for tick-driven scenarios of the job system."""

import random
from collections import Counter
from dataclasses import dataclass, replace

from sassafrasgrade.jobs import (
    FINAL_STATES,
    JobRecord,
    JobSpec,
    JobState,
    JobsView,
    Size,
    TaskReport,
    TaskState,
)
from sassafrasgrade.systems.job_lifecycles import ChangeJobs, HostReliability, plan_jobs
from sassafrasgrade.systems.job_placement import (
    THROTTLED_SHARE,
    CheckpointTasks,
    StartTasks,
    StopTasks,
    ThrottleTasks,
)
from sassafrasgrade.systems.sizes import LearnedSizes

TICK_S = 0.25
REPORT_LAG_S = 1.0
CHECKPOINT_S = 0.5
LEASE_TTL_S = 60.0
HOST_SIZE = Size(64.0, 131_072.0)
URGENT, NORMAL, BACKGROUND = 0, 1, 2


@dataclass
class FakeTask:
    """A task on a worker.

    Attributes:
        true_size: Cores and memory that it uses.
        left_s: Remaining run time at full speed.
        fails: Whether it fails at its next tick.
    """

    task_id: str
    job_id: str
    host: str
    true_size: Size
    left_s: float
    fails: bool = False
    state: TaskState = TaskState.RUNNING
    throttled: bool = False
    stops_at: float = float("inf")


class JobFleet:
    """Workers, tasks and the job system of one pool.

    Args:
        seed: Seed of all random values.
        hosts: Number of workers.
        declared_factor: Function (random) that returns declared over true size.
        quotas: Maximum cores at once by size key (team, kind).
    """

    def __init__(self, seed, hosts=6, declared_factor=None, quotas=None):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.hosts = [f"worker-{number}" for number in range(hosts)]
        self.live_hosts = set(self.hosts)
        self.failing_hosts = set()
        self.lapsed_at_by_host = {}
        self.records_by_id = {}
        self.true_loads_by_id = {}
        self.tasks_by_id = {}
        self.started_at_by_id = {}
        self.runs_by_job = Counter()
        self.commands = Counter()
        self.violations = []
        self.done_core_s = 0.0
        self._declared_factor = declared_factor or (lambda source: 1.0)
        self._quotas = quotas or {}
        self._report_history = []
        self._sizes = LearnedSizes()
        self.reliability = HostReliability()
        self._last_job_number = 0

    def submit(self, urgency, cores, memory_mb, seconds, **options):
        """Submits a job with its true size; returns its id.

        Options: ``kind``, ``team``, ``repeatable``, ``never`` (never succeeds:
        fails on any host).
        """
        self._last_job_number += 1
        job_id = f"north.{self._last_job_number:08x}"
        factor = self._declared_factor(self.random)
        declared = Size(cores * factor, memory_mb * factor)
        spec = JobSpec(
            job_id,
            options.get("kind", "kind"),
            options.get("team", "team"),
            "pool",
            urgency,
            declared,
            seconds * factor,
            options.get("repeatable", True),
            self.now,
        )
        true_size = Size(cores, memory_mb)
        self.true_loads_by_id[job_id] = (
            true_size,
            seconds,
            options.get("never", False),
        )
        self.records_by_id[job_id] = JobRecord(spec, changed_at=self.now)
        return job_id

    def cancel(self, job_id):
        """Requests the cancellation of a job."""
        record = self.records_by_id[job_id]
        self.records_by_id[job_id] = replace(record, cancels=True)

    def disconnect_host(self, host):
        """Disconnects a worker: its tasks run on until their leases expire."""
        self.live_hosts.discard(host)
        self.lapsed_at_by_host[host] = self.now + LEASE_TTL_S

    def run(self, seconds):
        """Runs ticks for a span of fake time."""
        for _ in range(int(seconds / TICK_S)):
            self.tick()

    def tick(self):
        """Simulates one tick: workers, reports, decisions, checks."""
        self.now += TICK_S
        self._run_tasks()
        self._report_history.append((self.now, self._reports()))
        while (
            len(self._report_history) > 1
            and self._report_history[1][0] <= self.now - REPORT_LAG_S
        ):
            self._report_history.pop(0)
        view = JobsView(
            self.now,
            dict(self.records_by_id),
            {host: HOST_SIZE for host in self.hosts if host in self.live_hosts},
            {host: "pool" for host in self.hosts if host in self.live_hosts},
            self._report_history[0][1],
            self._quotas,
            dict(self.lapsed_at_by_host),
        )
        for command in plan_jobs(view, self._sizes, self.reliability):
            self._carry_out(command)
        self._check_quotas()

    def counts(self):
        """Returns the number of jobs by state."""
        return Counter(str(record.state) for record in self.records_by_id.values())

    def start_delays(self, urgency):
        """Returns the seconds from submission to start, sorted."""
        return sorted(
            self.started_at_by_id.get(job_id, self.now) - record.spec.submitted_at
            for job_id, record in self.records_by_id.items()
            if record.spec.urgency == urgency and not record.cancels
        )

    def _run_tasks(self):
        """Runs the tasks for a tick.

        Tasks on a worker with too few cores run slower; without enough memory the
        last one fails.
        """
        for host in self.hosts:
            running = [
                task
                for task in self.tasks_by_id.values()
                if task.host == host and task.state is TaskState.RUNNING
            ]
            self._stop_if_lapsed(host, running)
            cores = sum(_cores(task) for task in running)
            speed = min(1.0, HOST_SIZE.cores / cores) if cores else 1.0
            for task in running:
                self._advance(task, speed)
            memory = sum(task.true_size.memory_mb for task in running)
            if running and memory > HOST_SIZE.memory_mb:
                running[-1].state = TaskState.FAILED

    def _stop_if_lapsed(self, host, running):
        if host not in self.live_hosts and self.now > self.lapsed_at_by_host[host]:
            for task in running:
                task.state = TaskState.STOPPED

    def _advance(self, task, speed):
        if task.state is not TaskState.RUNNING:
            return
        if task.fails:
            task.state = TaskState.FAILED
        elif self.now >= task.stops_at:
            task.state = TaskState.STOPPED
        else:
            throttle_factor = THROTTLED_SHARE if task.throttled else 1.0
            done_s = min(task.left_s, TICK_S * speed * throttle_factor)
            task.left_s -= done_s
            self.done_core_s += done_s * task.true_size.cores
            if task.left_s <= 0:
                task.state = TaskState.DONE

    def _reports(self):
        return {
            task.task_id: TaskReport(
                task.task_id,
                task.host,
                task.state,
                _cores(task),
                task.true_size.memory_mb,
            )
            for task in self.tasks_by_id.values()
            if task.host in self.live_hosts
        }

    def _carry_out(self, command):
        self.commands[type(command).__name__] += 1
        if isinstance(command, ChangeJobs):
            self.records_by_id.update(command.records_by_id)
            return
        for job_id in command.job_ids:
            record = self.records_by_id[job_id]
            if isinstance(command, StartTasks):
                self._start(record)
            elif isinstance(command, StopTasks):
                self.tasks_by_id[record.task_id].stops_at = self.now
            elif isinstance(command, CheckpointTasks):
                self.tasks_by_id[record.task_id].stops_at = self.now + CHECKPOINT_S
            elif isinstance(command, ThrottleTasks):
                self.tasks_by_id[record.task_id].throttled = command.throttled

    def _start(self, record):
        job_id = record.spec.job_id
        true_size, seconds, always_fails = self.true_loads_by_id[job_id]
        earlier_tasks = [t for t in self.tasks_by_id.values() if t.job_id == job_id]
        if any(task.state is TaskState.RUNNING for task in earlier_tasks):
            self.violations.append(f"{job_id} was started while it was still running")
        stopped = [t for t in earlier_tasks if t.state is TaskState.STOPPED]
        checkpointed = bool(stopped) and stopped[-1].stops_at < float("inf")
        left_s = stopped[-1].left_s if checkpointed else seconds
        if not checkpointed:
            self.runs_by_job[job_id] += 1
            if not record.spec.repeatable and self.runs_by_job[job_id] > 1:
                self.violations.append(f"{job_id} is not repeatable but ran again")
        fails = always_fails or record.host in self.failing_hosts
        self.tasks_by_id[record.task_id] = FakeTask(
            record.task_id, job_id, record.host, true_size, left_s, fails
        )
        self.started_at_by_id.setdefault(job_id, self.now)

    def _check_quotas(self):
        for key, quota in self._quotas.items():
            cores = sum(
                record.reserved.cores
                for record in self.records_by_id.values()
                if record.spec.size_key == key and record.state is JobState.RUNNING
            )
            if cores > quota + 1e-6:
                self.violations.append(
                    f"{key} reserved {cores} cores, over its quota of {quota}"
                )

    def are_final(self, job_ids):
        """Whether all of the jobs have ended."""
        return all(self.records_by_id[j].state in FINAL_STATES for j in job_ids)


def _cores(task):
    return task.true_size.cores * (THROTTLED_SHARE if task.throttled else 1.0)


def declare_wrong_by_five(source):
    """Declared sizes up to five times too large or too small."""
    return 5.0 ** source.uniform(-1.0, 1.0)


def declare_five_times(source):
    """Declared sizes five times too large."""
    return 5.0


def declare_a_fifth(source):
    """Declared sizes five times too small."""
    return 0.2


def completed_work(seed, declared_factor, seconds=600.0):
    """Returns the core-seconds of a backlog done in a span of fake time."""
    fleet = JobFleet(seed, declared_factor=declared_factor)
    source = random.Random(seed)
    for _ in range(1200):
        kind = source.choice(("encode", "render", "index"))
        cores = {"encode": 4.0, "render": 8.0, "index": 2.0}[kind]
        fleet.submit(
            BACKGROUND,
            cores * source.uniform(0.8, 1.2),
            cores * 1024,
            source.uniform(10, 60),
            kind=kind,
        )
    fleet.run(seconds)
    assert not fleet.violations, fleet.violations
    return fleet.done_core_s
