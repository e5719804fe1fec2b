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
from sassafrasgrade.systems.job_lifecycles import ChangeJobs, HostTrust, plan_jobs
from sassafrasgrade.systems.job_placement import (
    THROTTLED_PART,
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
        true_size: What it uses.
        left_s: Run time left at full speed.
        fails: Whether it fails after a moment.
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
        seed: Seed of every draw.
        hosts: Number of workers.
        declared_factor: Function (random) to declared over true size.
        quotas: Most cores at once by (team, kind).
    """

    def __init__(self, seed, hosts=6, declared_factor=None, quotas=None):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.hosts = [f"worker-{number}" for number in range(hosts)]
        self.live = set(self.hosts)
        self.black_holes = set()
        self.lapsed_at_by_host = {}
        self.records_by_id = {}
        self.truths_by_id = {}
        self.tasks_by_id = {}
        self.started_at_by_id = {}
        self.runs_by_job = Counter()
        self.commands = Counter()
        self.violations = []
        self.done_core_s = 0.0
        self._declared_factor = declared_factor or (lambda source: 1.0)
        self._quotas = quotas or {}
        self._history = []
        self._sizes = LearnedSizes()
        self.trust = HostTrust()
        self._number = 0

    def submit(self, urgency, cores, memory_mb, seconds, **options):
        """Submits a job with its true size; returns its id.

        Options: ``kind``, ``team``, ``repeatable``, ``never`` (fails on any
        host).
        """
        self._number += 1
        job_id = f"north.{self._number:08x}"
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
        self.truths_by_id[job_id] = (true_size, seconds, options.get("never", False))
        self.records_by_id[job_id] = JobRecord(spec, changed_at=self.now)
        return job_id

    def cancel(self, job_id):
        """Asks for a job's cancellation."""
        record = self.records_by_id[job_id]
        self.records_by_id[job_id] = replace(record, cancels=True)

    def lose_host(self, host):
        """Cuts a worker off: it runs on until its leases lapse."""
        self.live.discard(host)
        self.lapsed_at_by_host[host] = self.now + LEASE_TTL_S

    def run(self, seconds):
        """Runs ticks for a span of fake time."""
        for _ in range(int(seconds / TICK_S)):
            self.tick()

    def tick(self):
        """One tick: workers, reports, decisions."""
        self.now += TICK_S
        self._work()
        self._history.append((self.now, self._reports()))
        while len(self._history) > 1 and self._history[1][0] <= self.now - REPORT_LAG_S:
            self._history.pop(0)
        view = JobsView(
            self.now,
            dict(self.records_by_id),
            {host: HOST_SIZE for host in self.hosts if host in self.live},
            {host: "pool" for host in self.hosts if host in self.live},
            self._history[0][1],
            self._quotas,
            dict(self.lapsed_at_by_host),
        )
        for command in plan_jobs(view, self._sizes, self.trust):
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

    def _work(self):
        """Lets tasks run for a tick; crowded workers run slower or fail tasks."""
        for host in self.hosts:
            running = [
                task
                for task in self.tasks_by_id.values()
                if task.host == host and task.state is TaskState.RUNNING
            ]
            self._lapse(host, running)
            cores = sum(_cores(task) for task in running)
            speed = min(1.0, HOST_SIZE.cores / cores) if cores else 1.0
            for task in running:
                self._advance(task, speed)
            memory = sum(task.true_size.memory_mb for task in running)
            if running and memory > HOST_SIZE.memory_mb:
                running[-1].state = TaskState.FAILED

    def _lapse(self, host, running):
        if host not in self.live and self.now > self.lapsed_at_by_host[host]:
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
            part = THROTTLED_PART if task.throttled else 1.0
            done_s = min(task.left_s, TICK_S * speed * part)
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
            if task.host in self.live
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
        true_size, seconds, never = self.truths_by_id[job_id]
        before = [t for t in self.tasks_by_id.values() if t.job_id == job_id]
        if any(task.state is TaskState.RUNNING for task in before):
            self.violations.append(f"{job_id} runs twice at once")
        stopped = [t for t in before if t.state is TaskState.STOPPED]
        checkpointed = bool(stopped) and stopped[-1].stops_at < float("inf")
        left_s = stopped[-1].left_s if checkpointed else seconds
        if not checkpointed:
            self.runs_by_job[job_id] += 1
            if not record.spec.repeatable and self.runs_by_job[job_id] > 1:
                self.violations.append(f"{job_id} may run once but ran again")
        fails = never or record.host in self.black_holes
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
                self.violations.append(f"{key} has {cores} of {quota} cores")

    def are_final(self, job_ids):
        """Whether all of the jobs ended."""
        return all(self.records_by_id[j].state in FINAL_STATES for j in job_ids)


def _cores(task):
    return task.true_size.cores * (THROTTLED_PART if task.throttled else 1.0)


def wrong_by_five(source):
    """Declared sizes wrong by up to five times either way."""
    return 5.0 ** source.uniform(-1.0, 1.0)


def always_five_times(source):
    """Declared sizes five times too large."""
    return 5.0


def a_fifth(source):
    """Declared sizes five times too small."""
    return 0.2


def completed_work(seed, declared_factor, seconds=600.0):
    """Returns the core-seconds done of a backlog in a span of fake time."""
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
