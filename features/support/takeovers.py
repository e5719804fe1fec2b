"""A leader that has just taken over: real dispatcher and loader, without sockets."""

import asyncio
from types import SimpleNamespace

import msgspec

from features.support.work_tables import CAPACITY, NOW_UNIX, POOL, QUEUE, place_tasks
from sassafrasgrade.dispatchers import Dispatcher
from sassafrasgrade.job_records import REQUEST, SubmittedJob, encode, job_key
from sassafrasgrade.leaderships import LEASE_MARGIN_S
from sassafrasgrade.members import LEASE_TTL_S
from sassafrasgrade.node_counters import NodeCounters
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import (
    Configuration,
    EndedRow,
    JobRequest,
    Pool,
    Queue,
    RunEnd,
    RunningRow,
    Step,
    WorkerView,
)
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_commands import StartRun

OTHER_POOL = "pool-2"
EPOCH = 3
TOKEN = 30


class FakeLeadership:
    """A leadership that is always valid.

    Args:
        timers: ``FakeTimerService``.
        earlier_left_s: Time for which an earlier leader may still have authority.
    """

    def __init__(self, timers, earlier_left_s):
        self._timers = timers
        self.earlier_leaders_until = timers.now() + earlier_left_s
        self.answering_since = timers.now()

    @property
    def last_renewal_at(self):
        """Clock of the last renewal: now."""
        return self._timers.now()

    def has_authority(self):
        """Always true."""
        return True

    def has_start_authority(self):
        """Always true."""
        return True

    def has_host_authority(self):
        """Always true."""
        return True

    def is_outage_confirmed(self):
        """No node reports an outage."""
        return False

    def authority_left_s(self):
        """As after a renewal that was just answered."""
        return LEASE_TTL_S - LEASE_MARGIN_S

    def earlier_leases_until(self):
        """Nothing is known of the leases that earlier leaders gave."""
        return None

    def store_answer_age_s(self):
        """The store has just answered."""
        return 0.0

    def step_down(self, reason):
        """Never happens in these tests."""
        raise AssertionError(reason)


def run_in_loop(function):
    """Calls a function with an event loop, whose callbacks do not run."""

    async def call():
        return function()

    return asyncio.run(call())


def create_configuration(version=2, pool=POOL):
    """Returns a configuration whose only queue uses a pool."""
    queue = Queue(name=QUEUE, pool=pool, most_attempts=2, objective_ms=600, stretch=1.6)
    pools = (Pool(name=POOL), Pool(name=OTHER_POOL))
    return Configuration(version=version, queues=(queue,), pools=pools)


class Takeover:
    """A new leader whose predecessor may still act, unless a test says otherwise.

    Attributes:
        dispatcher: The ``Dispatcher``.
        timers: ``FakeTimerService``.
        stops: (worker id, task, run) of the stops that were sent.

    Args:
        handover: ``HandOver`` of the predecessor, or None.
        is_predecessor_gone: Whether it has certainly stopped.
        configuration: ``Configuration`` at the takeover.
        epoch: Number of the leadership.
        earlier_left_s: Time for which an earlier leader may still have authority.
        queues_by_name: Queues of configurations that the node has seen before.
        leadership: Its ``Leadership``; one that is always valid by default.
        timers: ``FakeTimerService``; a new one by default.
        store: Its store; none by default, as callbacks of the loop do not run.
    """

    def __init__(
        self,
        handover=None,
        is_predecessor_gone=False,
        configuration=None,
        epoch=EPOCH,
        earlier_left_s=0.0,
        queues_by_name=None,
        leadership=None,
        timers=None,
        store=None,
    ):
        self.timers = timers or FakeTimerService()
        settings = check_node_settings(
            {"NODE_NAME": "node", "NODE_DATA_CENTRE": "z"}
        ).unwrap()
        services = SimpleNamespace(
            settings=settings,
            timers=self.timers,
            store=store,
            leader_http=lambda: None,
        )
        self.counters = NodeCounters()
        self.dispatcher = Dispatcher(
            services,
            leadership or FakeLeadership(self.timers, earlier_left_s),
            TOKEN,
            epoch,
            self.counters,
            handover,
            is_predecessor_gone,
        )
        self.stops = []
        self.dispatcher.sync_sessions = self._sync_sessions
        self.dispatcher.fleet.listed_at = self.timers.now()
        self.loader._jobs = self.loader._workers = SimpleNamespace(
            start=lambda: None,
            close=lambda: None,
            reread_range=lambda: None,
            request_check=lambda: None,
            confirmed_at=float("-inf"),
        )
        configuration = configuration or create_configuration()
        if queues_by_name:
            pools_by_queue = {q.name: {q.pool} for q in queues_by_name.values()}
            self.dispatcher.start(configuration, queues_by_name, pools_by_queue)
        else:
            self.dispatcher.start(configuration)

    @property
    def tables(self):
        """The leader's tables."""
        return self.dispatcher.tables

    @property
    def loader(self):
        """The leader's ``TableLoader``."""
        return self.dispatcher.loader

    def _sync_sessions(self):
        sessions_by_id = self.dispatcher._sessions_by_id
        for worker_id, worker in self.tables.workers_by_id.items():
            if worker_id not in sessions_by_id:
                sessions_by_id[worker_id] = RecordingSession(worker, self.stops)

    def load(self, jobs=(), workers=(), pools=()):
        """Applies the first full reads.

        Args:
            jobs: ``Item`` values of jobs.
            workers: Ids of registered workers.
            pools: Their pools; ``POOL`` by default.
        """
        pools = pools or [POOL] * len(workers)
        self.loader._apply_all_jobs(list(jobs))
        entries = [registration(w, pool=p) for w, p in zip(workers, pools, strict=True)]
        self.loader._apply_all_workers(entries)

    def find_job(self, item):
        """Applies a job's record that a watch has reported."""
        self.loader._apply_job_changes([item])

    def report(self, worker_id, running=(), ended=(), clock_ms=None, born_ms=None):
        """Applies a worker's answer to a poll that was sent just before."""
        worker = self.tables.workers_by_id[worker_id]
        now = self.timers.now()
        view = WorkerView(
            clock_ms=now * 1000 if clock_ms is None else clock_ms,
            running=tuple(RunningRow(task, run, "", 10, 0) for task, run in running),
            ended=tuple(EndedRow(n, task, run, RunEnd(h)) for n, task, run, h in ended),
            born_ms=born_ms,
        )
        session = self.dispatcher._sessions_by_id[worker_id]
        applied = self.dispatcher.apply_worker_view(session, view, now - 0.001)
        if worker.clock_offset_ms is None:
            worker.clock_offset_ms = 0.0
        return applied

    def wait(self, seconds):
        """Lets time pass, with the leader's ticks and one at the end."""
        self.timers.advance(seconds)
        self.dispatcher._tick(self.timers.now())

    def store_changes(self):
        """Marks the progress of all jobs as stored."""
        for job in self.tables.jobs_by_id.values():
            job.is_dirty = False
        self.tables.dirty_job_ids.clear()

    def started(self, pool=POOL):
        """Returns the names of the tasks that a placement starts now."""
        commands = place_tasks(
            self.tables, pool, LearnedDurations(), self.timers.now(), NOW_UNIX
        )
        return [c.run.task.name for c in commands if isinstance(c, StartRun)]


class RecordingSession:
    """A session that records stops and sends nothing."""

    def __init__(self, worker, stops):
        self.worker = worker
        self._stops = stops

    async def send_stop(self, task_name, number, run=None):
        """Records a stop."""
        self._stops.append((self.worker.worker_id, task_name, number))

    async def ask(self):
        """Does nothing."""

    def close(self):
        """Does nothing."""

    def notify_stored(self):
        """Does nothing."""

    def notify_token_raised(self):
        """Does nothing."""


def registration(worker_id, address="127.0.0.1:1", pool=POOL, **fields):
    """Returns the ``Item`` of a worker's registration."""
    entry = {
        "service": pool,
        "address": address,
        "zone": "z1",
        "state": "ready",
        "capacity": {"cpu": CAPACITY.cpu_millis, "memMb": CAPACITY.memory_mb},
        "labels": ["a", "r1"],
        "machine": f"host-{worker_id}",
    } | fields
    return Item(names.WORKERS_PREFIX + worker_id, msgspec.json.encode(entry), 1)


def job_item(job_id, steps=1, repeats=0, interval_ms=500.0, **first_step):
    """Returns the ``Item`` of a stored job whose steps follow each other."""
    request = JobRequest(
        spec="s",
        steps=tuple(
            Step(
                count=1,
                cpu_millis=1000,
                memory_mb=100,
                estimate_ms=500,
                after=(number - 1,) if number else (),
                **({} if number else first_step),
            )
            for number in range(steps)
        ),
        repeats=repeats,
        first_ms=0.0,
        interval_ms=interval_ms if repeats else 0.0,
    )
    record = encode(SubmittedJob(QUEUE, NOW_UNIX, request))
    return Item(job_key(job_id, REQUEST), record, 1)
