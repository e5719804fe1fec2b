"""Placements in slices: their work, and what happens between two of them."""

import asyncio

from features.support.large_jobs import (
    NO_LABEL,
    add_crashed,
    add_failed,
    add_held,
    add_step,
    fill_pool,
)
from features.support.memory_stores import MemoryStore
from features.support.takeovers import FakeLeadership, Takeover
from features.support.work_counts import count_lines
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    create_tables,
)
from sassafrasgrade.job_records import REQUEST, SubmittedJob, encode, job_key
from sassafrasgrade.platform.messages import JobRequest, Step
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.placement_passes import PlacementPass
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_commands import StartRun


def add_jobs(tables, count, sizes=1, **step):
    """Adds jobs of one task each."""
    for number in range(count):
        fields = {"cpu_millis": 1000 + number % sizes, "memory_mb": 9999 - number}
        fields = {} if sizes == 1 else fields
        add_simple_job(tables, f"{number:016x}", **(fields | step))


def add_gangs(tables, count, members):
    """Adds gangs."""
    for number in range(count):
        add_simple_job(tables, f"{number:016x}", count=members, is_gang=True)


def behind_full_pool(add):
    """Returns a function that adds what is to wait for room."""

    def fill_and_add(tables):
        fill_pool(tables)
        add(tables)

    return fill_and_add


WAITING_WORK = {
    "3000 jobs": behind_full_pool(lambda t: add_jobs(t, 3000)),
    "3000 jobs with a label that no worker has": (
        lambda t: add_jobs(t, 3000, label=NO_LABEL)
    ),
    "3000 jobs with a limit per worker": (
        behind_full_pool(lambda t: add_jobs(t, 3000, most_per_worker=1))
    ),
    "3000 jobs of different sizes": (
        behind_full_pool(lambda t: add_jobs(t, 3000, sizes=3000))
    ),
    "a job of 10000 tasks of which some fit": lambda t: add_step(t, 10_000),
    "a job of 10000 tasks that have failed": lambda t: add_failed(t, 10_000),
    "a job of 10000 tasks that crashed workers": lambda t: add_crashed(t, 10_000),
    "a job of 10000 tasks that are held back": lambda t: add_held(t, 10_000),
    "50 gangs of 200 that do not fit": behind_full_pool(
        lambda t: add_gangs(t, 50, 200)
    ),
    "20 gangs of 200 that fit": lambda t: add_gangs(t, 20, 200),
}
# Workers that a leader of one pool may have to look at in each slice.
MANY_WORKERS = 60


def create_pass(tables):
    """Returns a pass over all open jobs."""
    jobs = list(tables.open_jobs_by_id.values())
    return PlacementPass(tables, POOL, LearnedDurations(), NOW_UNIX, jobs)


def slice_work(work):
    """Returns the lines of each slice of a placement beside waiting work."""
    tables = create_tables(workers=MANY_WORKERS)
    WAITING_WORK[work](tables)
    placement = create_pass(tables)
    lines = []
    while not placement.is_finished:
        lines.append(count_lines(lambda: placement.next_slice(NOW)))
    return lines


class SlicedPlacement:
    """A placement that goes on by the smallest slices.

    Args:
        tables: ``WorkTables``.
    """

    def __init__(self, tables):
        self.tables = tables
        self._pass = create_pass(tables)

    def run_until_start(self):
        """Goes on until a task starts; returns its run, or None at the end."""
        while not self._pass.is_finished:
            commands, _ = self._pass.next_slice(NOW, 1)
            for command in commands:
                assert isinstance(command, StartRun), command
                return command.run
        return None

    def go_on(self, slices):
        """Goes on by a number of slices, in which nothing starts."""
        for _ in range(slices):
            assert not self._pass.next_slice(NOW, 1)[0]

    def rest(self):
        """Goes on to the end; returns the runs that start."""
        return list(iter(self.run_until_start, None))


class LosingLeadership(FakeLeadership):
    """A leadership whose authority a test takes away.

    Args:
        timers: ``FakeTimerService``.
    """

    def __init__(self, timers):
        super().__init__(timers, 0.0)
        self.may_start = True

    def has_start_authority(self):
        """Whether the test has taken it away."""
        return self.may_start


class StartingSession:
    """A session that records the starts."""

    def __init__(self, session, started):
        self.worker = session.worker
        self._session = session
        self._started = started

    def __getattr__(self, name):
        return getattr(self._session, name)

    async def send_start(self, run):
        """Records a start."""
        self._started.append(run.task.name)


def end_by_loss(leader, leadership):
    """The authority ends for good."""
    leadership.may_start = False


def end_by_pause(leader, leadership):
    """The authority ends, and is back for the next tick."""
    leadership.may_start = False
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, setattr, leadership, "may_start", True)
    loop.call_later(0.06, leader.dispatcher.schedule_placement)


def end_by_close(leader, leadership):
    """The leader is closed."""
    leader.dispatcher.close()


ENDS = {
    "all jobs have had their turn": lambda leader, leadership: None,
    "it loses its authority": end_by_loss,
    "it loses and regains it": end_by_pause,
    "it is closed": end_by_close,
}
FINAL_ENDS = ("it loses its authority", "it is closed")
FITTING_JOB = "e" * 16
# Time after which a leader that may start tasks has started them, in seconds.
LONGEST_PLACEMENT_S = 10.0
# Time in which one that may not would have gone on, in seconds.
OBSERVED_S = 0.5


def stored_job(job_id, accepted_at, **step):
    """Returns the ``Item`` of a stored job of one task."""
    request = JobRequest(spec="s", steps=(Step(count=1, estimate_ms=500, **step),))
    record = encode(SubmittedJob(QUEUE, accepted_at, request))
    return Item(job_key(job_id, REQUEST), record, 1)


class PlacingLeader:
    """A leader on a real loop, with jobs that fit no worker and a late one that does.

    Attributes:
        slices: Number of slices of placements.
        started: Names of the tasks that started.

    Args:
        jobs: Number of jobs that fit no worker.
        end: Key of ``ENDS``: what comes after the first slice.
    """

    def __init__(self, jobs, end):
        self.slices = 0
        self.started = []
        timers = FakeTimerService()
        self._leadership = LosingLeadership(timers)
        self._leader = Takeover(
            leadership=self._leadership, epoch=1, timers=timers, store=MemoryStore()
        )
        self._end = ENDS[end]
        self._is_final = end in FINAL_ENDS
        self._place_slice = self._leader.dispatcher._place_slice
        self._load(jobs, timers.wall_time())

    def _load(self, jobs, wall_time):
        large = [
            stored_job(f"{number:016x}", wall_time, cpu_millis=10**6 - number)
            for number in range(jobs)
        ]
        # The last one in order, as its time is over.
        fitting = stored_job(FITTING_JOB, wall_time - 1000, cpu_millis=1000)
        dispatcher = self._leader.dispatcher
        dispatcher._place_slice = self._record_slice
        self._leader.load([*large, fitting], ["worker-0"])
        session = StartingSession(dispatcher._sessions_by_id["worker-0"], self.started)
        dispatcher._sessions_by_id["worker-0"] = session
        self._leader.report("worker-0")

    def _record_slice(self):
        self._place_slice()
        self.slices += 1
        if self.slices == 1:
            self._end(self._leader, self._leadership)

    async def play(self):
        """Waits for the start of the task, or for as long as it may not start."""
        loop = asyncio.get_running_loop()
        until = loop.time() + LONGEST_PLACEMENT_S
        while not self.started and loop.time() < until:
            await asyncio.sleep(0)
            if self.slices and self._is_final:
                until = min(until, loop.time() + OBSERVED_S)
        self._leader.dispatcher.close()

    @property
    def counted_slices(self):
        """Slices of ended placements, as the metrics show them."""
        lines = self._leader.counters.expose().decode().splitlines()
        name = "sassafrasgrade_node_placement_slices_total "
        return sum(float(x.removeprefix(name)) for x in lines if x.startswith(name))


def play_leader(jobs, end):
    """Returns a ``PlacingLeader`` after its placements."""

    async def play():
        leader = PlacingLeader(jobs, end)
        await leader.play()
        return leader

    return asyncio.run(play())
