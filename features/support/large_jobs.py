"""Pools and leaders with large jobs, and with many jobs."""

import asyncio
import gc
import tracemalloc
from types import SimpleNamespace

from features.support.memory_stores import MemoryStore
from features.support.takeovers import FakeLeadership, Takeover
from features.support.work_counts import count_lines
from features.support.work_tables import (
    CAPACITY,
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    apply_worker_view,
    create_tables,
    place_tasks,
)
from sassafrasgrade.fleet_hosts import FleetHosts, HostRow, WaveRow
from sassafrasgrade.job_records import (
    REQUEST,
    SubmittedJob,
    add_job,
    encode,
    job_key,
)
from sassafrasgrade.job_sweeps import JobSweeper
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.messages import (
    Advice,
    Configuration,
    JobRequest,
    Pool,
    Queue,
    Step,
    Wave,
)
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.host_planning import plan_hosts
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.occurrences import create_due
from sassafrasgrade.systems.placement_passes import PlacementPass
from sassafrasgrade.systems.run_updates import cancel_job, end_job, forget_run
from sassafrasgrade.systems.slow_runs import stop_stalled
from sassafrasgrade.timers import FakeTimerService, TimerService
from sassafrasgrade.work_commands import StartRun
from sassafrasgrade.work_tables import Crash, RunState, WorkState, WorkTables

WORKERS = 5
SLOTS = CAPACITY.cpu_millis // 1000
LARGE_JOB = "a" * 16
LASTING_JOB = "f" * 16
LIMIT = {"most_per_worker": 3}
# Which worker has the label, and which nobody has.
HELD_LABEL, NO_LABEL = "r1", "r9"


def fill_pool(tables):
    """Fills the workers but for the limited or first tasks of other jobs."""
    count = len(tables.workers_by_id) * SLOTS
    add_simple_job(tables, LASTING_JOB, count=count, is_perpetual=True)
    place(tables)


def place(tables, now=NOW):
    """Starts what fits; returns the runs."""
    commands = place_tasks(tables, POOL, LearnedDurations(), now, NOW_UNIX)
    return [c.run for c in commands if isinstance(c, StartRun)]


def add_step(tables, count, **step):
    """Adds a job of one step."""
    return add_simple_job(tables, LARGE_JOB, count=count, **step)


def add_two_steps(tables, count):
    """Adds a job whose second step, of as many tasks, follows the first."""
    fields = {"count": count, "cpu_millis": 1000, "memory_mb": 100, "estimate_ms": 500}
    steps = (Step(**fields), Step(**fields, after=(0,)))
    submitted = SubmittedJob(QUEUE, NOW_UNIX, JobRequest(spec="s", steps=steps))
    return add_job(tables, LARGE_JOB, submitted)


def add_repeated(tables, count):
    """Adds a job of two occurrences that are due."""
    step = Step(count=count // 2, cpu_millis=1000, memory_mb=100, **LIMIT)
    request = JobRequest(
        spec="s", steps=(step,), repeats=2, first_ms=NOW_UNIX * 1000, interval_ms=1
    )
    job = add_job(tables, LARGE_JOB, SubmittedJob(QUEUE, NOW_UNIX, request))
    create_due(tables, NOW_UNIX + 1)
    return job


def add_failed(tables, count, **step):
    """Adds a job whose tasks have failed once, on different workers."""
    job = add_step(tables, count, **step)
    for task in job.occurrences[0].steps[0].tasks:
        task.failed_numbers.add(1)
        task.avoided_workers.add(f"worker-{task.index % WORKERS}")
    return job


def add_crashed(tables, count):
    """Adds a job whose tasks have crashed a worker each."""
    job = add_step(tables, count)
    for task in job.occurrences[0].steps[0].tasks:
        task.crashes = (Crash("host-worker-1", True, True),)
    return job


def add_held(tables, count):
    """Adds a job that an earlier leader may have started."""
    tables.held_pools = frozenset({POOL})
    job = add_step(tables, count)
    job.is_inherited = True
    return job


def add_advised(tables, count):
    """Adds a job to a queue that needs tickets."""
    queue = Queue(name=QUEUE, pool=POOL, advice=Advice(10, 1, 3000))
    pools = (Pool(name=POOL),)
    tables.adopt_configuration(Configuration(version=2, queues=(queue,), pools=pools))
    return add_step(tables, count)


JOBS = {
    "a step": add_step,
    "a step with a limit per worker": lambda t, n: add_step(t, n, **LIMIT),
    "a step with a label that no worker has": (
        lambda t, n: add_step(t, n, label=NO_LABEL)
    ),
    "a step with a limit and a label": (
        lambda t, n: add_step(t, n, label=HELD_LABEL, **LIMIT)
    ),
    "a step that prefers a rack": lambda t, n: add_step(t, n, rack=NO_LABEL, **LIMIT),
    "a gang that does not fit": lambda t, n: add_step(t, n, is_gang=True),
    "a gang with a limit per worker": (
        lambda t, n: add_step(t, n, is_gang=True, cpu_millis=1, **LIMIT)
    ),
    "a step that may be copied": lambda t, n: add_step(t, n, is_speculative=True),
    "a lasting step with a limit per worker": (
        lambda t, n: add_step(t, n, is_perpetual=True, may_miss=2, **LIMIT)
    ),
    "a step of a repeated job": add_repeated,
    "two steps, the second after the first": add_two_steps,
    "a step whose tasks have failed": add_failed,
    "a step with a limit whose tasks have failed": (
        lambda t, n: add_failed(t, n, **LIMIT)
    ),
    "a step of a queue that needs tickets": add_advised,
}


def work_of_placement(tables, add, count):
    """Work of a placement in which nothing fits."""
    add(tables, count)
    # Its first tasks take what room their limit leaves them.
    place(tables)
    fill_pool(tables)
    return count_lines(lambda: place(tables, NOW + 1))


def work_of_free_pool(tables, add, count):
    """Work of a placement in which the first tasks find room."""
    add(tables, count)
    return count_lines(lambda: place(tables))


def work_of_end(tables, add, count):
    """Work of the end of a task, and of the placement that follows."""
    add(tables, count)
    runs = place(tables)
    worker = tables.workers_by_id["worker-0"]
    ended, *others = [run for run in runs if run.worker_id == worker.worker_id]
    for run in runs:
        run.answered_at = NOW
    rows = [(run.task.name, run.number) for run in others]
    end = (1, ended.task.name, ended.number, "done")

    def apply():
        apply_worker_view(tables, worker, NOW + 1, running=rows, ended=[end])
        assert ended.task.is_done
        place(tables, NOW + 1)

    return count_lines(apply)


def work_of_check(tables, add, count):
    """Work of the check of runs that stand still, with alternatives for none."""
    add(tables, count)
    for run in place(tables):
        run.state, run.changed_at = RunState.RUNNING, NOW
    for worker in tables.workers_by_id.values():
        worker.last_answer_at = NOW + 5
    return count_lines(lambda: stop_stalled(tables, LearnedDurations(), NOW + 5))


def work_of_plan(tables, add, count):
    """Work of one plan of hosts."""
    add(tables, count)
    place(tables)
    return _work_of_plan(tables, create_fleet(tables))


def work_of_wave(tables, add, count):
    """Work of one plan while all hosts are late for maintenance."""
    add(tables, count)
    for run in place(tables):
        run.state, run.percent = RunState.RUNNING, 100
    fleet = create_fleet(tables)
    wave = Wave(number=1, hosts=tuple(fleet.hosts_by_name), most_at_once=9)
    fleet.waves_by_number[1] = WaveRow(wave, NOW - 100, is_running_reported=True)
    return _work_of_plan(tables, fleet)


def create_fleet(tables):
    """Returns a host for each worker."""
    fleet = FleetHosts(listed_at=NOW)
    for worker in tables.workers_by_id.values():
        host = HostRow(worker.host, POOL, "up", capacity=CAPACITY)
        host.worker_id = worker.worker_id
        fleet.hosts_by_name[host.name] = host
    return fleet


def _work_of_plan(tables, fleet):
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}).unwrap()
    return count_lines(lambda: plan_hosts(tables, fleet, settings, NOW))


OPERATIONS = {
    "a placement": work_of_placement,
    "a placement in a free pool": work_of_free_pool,
    "the end of a task": work_of_end,
    "a check of stalled runs": work_of_check,
    "a plan of hosts": work_of_plan,
    "a plan of a wave": work_of_wave,
}


def work_of(operation, job, count):
    """Returns the lines that an operation executes while a large job waits."""
    tables = create_tables(workers=WORKERS)
    return OPERATIONS[operation](tables, JOBS[job], count)


def add_occurrences(tables, count, done=0):
    """Adds a job of one task whose occurrences are all due, the first ones done."""
    request = JobRequest(
        spec="s",
        steps=(Step(count=1),),
        repeats=count,
        first_ms=(NOW_UNIX - count) * 1000,
        interval_ms=1000,
    )
    submitted = SubmittedJob(QUEUE, NOW_UNIX, request)
    job = add_job(tables, f"{len(tables.jobs_by_id):016x}", submitted)
    job.done_occurrences.update(range(done))


def create_occurrences(tables, ticks=60):
    """Creates due occurrences; returns (lines, open occurrences) of each tick."""
    found = []
    for _ in range(ticks):
        lines = count_lines(lambda: create_due(tables, NOW_UNIX))
        jobs = tables.jobs_by_id.values()
        found.append((lines, sum(len(job.occurrences) for job in jobs)))
    return found


# Slices.


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


# The leader.


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


# Memory.

# Time in which a leader starts tasks and its periodic calls run, in seconds.
LED_S = 0.25


def lead_and_lose(times):
    """Lets one node lead several times, with work each time.

    Returns:
        Number of tables that are left of its leaderships.
    """

    async def lead(timers):
        leadership = LosingLeadership(timers)
        leader = Takeover(leadership=leadership, timers=timers, store=MemoryStore())
        dispatcher = leader.dispatcher
        dispatcher._writer.schedule = lambda ends_job: None
        jobs = [stored_job(f"{n:016x}", 0, cpu_millis=1000) for n in range(SLOTS)]
        leader.load(jobs, ["worker-0"])
        started = []
        session = StartingSession(dispatcher._sessions_by_id["worker-0"], started)
        dispatcher._sessions_by_id["worker-0"] = session
        leader.report("worker-0")
        await asyncio.sleep(LED_S)
        assert started
        dispatcher.close()

    async def lead_again():
        timers = TimerService()
        for _ in range(times):
            await lead(timers)
        # Calls that were due before the last one was closed.
        await asyncio.sleep(LED_S)
        gc.collect()
        return _count_tables()

    gc.collect()
    before = _count_tables()
    return asyncio.run(lead_again()) - before


def _count_tables():
    return sum(isinstance(value, WorkTables) for value in gc.get_objects())


def bytes_of_waiting_task(count):
    """Returns the memory of a job whose tasks wait for room, in bytes a task."""
    tables = create_tables()
    fill_pool(tables)
    tracemalloc.start()
    try:
        add_step(tables, count)
        assert not place(tables)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return held / count


def bytes_of_done_task(count):
    """Returns the memory of a job whose tasks are done but for some, a task."""
    tables = create_tables(workers=WORKERS)
    tracemalloc.start()
    try:
        job = add_step(tables, count)
        done = 0
        while done <= count - WORKERS * SLOTS:
            done += _end_all(tables, place(tables), done)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert job.is_open and len(job.occurrences[0].steps[0].done) == done
    return held / done


def _end_all(tables, runs, last_end):
    """Lets workers list the ends of all runs; returns how many."""
    for worker in tables.workers_by_id.values():
        names = [r.task.name for r in runs if r.worker_id == worker.worker_id]
        numbers = [r.number for r in runs if r.worker_id == worker.worker_id]
        ends = range(last_end + 1, last_end + len(names) + 1)
        rows = zip(ends, names, numbers, ["done"] * len(names), strict=True)
        apply_worker_view(tables, worker, NOW, ended=list(rows))
    return len(runs)


def _end_runs(tables, runs):
    for run in runs:
        forget_run(tables, run, EndProof(ProofKind.END_LISTED, NOW), NOW)


def _cancel_and_end(tables, job, runs):
    cancel_job(tables, job)
    _end_runs(tables, runs)


def _fail(tables, job, runs):
    end_job(tables, job, WorkState.FAILED)
    _end_runs(tables, runs)


def _fail_and_store(tables, job, runs):
    _fail(tables, job, runs)
    job.state, job.pending_state, job.is_dirty = job.pending_state, None, False


SWEPT_STATES = {
    "is open": lambda tables, job, runs: None,
    "is cancelled while its runs stop": (
        lambda tables, job, runs: cancel_job(tables, job)
    ),
    "is cancelled and its runs have ended": _cancel_and_end,
    "has failed, which is not stored yet": _fail,
    "has failed": _fail_and_store,
}


def sweep_jobs(tables):
    """Looks for jobs that ended long ago, as the leader does now and then."""
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}).unwrap()
    services = SimpleNamespace(store=None, settings=settings)
    sweeper = JobSweeper(services, SimpleNamespace(tables=tables))
    assert not sweeper.find_expired(NOW)
