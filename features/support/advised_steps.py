"""Steps of a queue with advice on workers of which some may not take their tasks."""

import asyncio
import random
from types import SimpleNamespace

from returns.result import Failure, Success

from features.support.work_tables import (
    CAPACITY,
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
    place_tasks,
    start_run,
)
from sassafrasgrade.advice_requesters import AdviceRequester
from sassafrasgrade.platform.messages import (
    Advice,
    AdviceReply,
    Capacity,
    Configuration,
    Pool,
    Queue,
)
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.tickets import MAX_WORKERS_PER_CALL
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_commands import StartRun
from sassafrasgrade.work_tables import Crash, RunState, UnclaimedRow

EXCLUDED = tuple(f"worker-{number}" for number in range(8))
OTHERS = tuple(f"worker-{number}" for number in range(8, 12))
LABEL = "special"
VALID_MS = 3000
# Placements in which a step has to start; more than it takes to ask about all workers.
MAX_PLACEMENTS = 8
LARGE_CPU_MILLIS = 9000
CHANGING_JOBS = 8
CHANGES = 40
SPECIAL_SHARE = 0.25


class AdviceService:
    """Stands in for the client of the advice service.

    Attributes:
        calls: Ids of the workers named in each call.

    Args:
        timers: ``FakeTimerService``.
        allowed: Workers that the policy allows.
        answer_s: Time that an answer takes, in seconds.
        failing_calls: Number of first calls that fail.
    """

    def __init__(self, timers, allowed, answer_s=0.01, failing_calls=0):
        self.calls = []
        self._timers = timers
        self._allowed = allowed
        self._answer_s = answer_s
        self._failing_calls = failing_calls

    async def advise(self, step_key, worker_ids, timeout_s):
        """Answers which of the workers may run the step."""
        self.calls.append(list(worker_ids))
        self._timers.advance(self._answer_s)
        if len(self.calls) <= self._failing_calls:
            return Failure(TimeoutError())
        good = tuple((w, f"t-{w}") for w in worker_ids if w in self._allowed)
        return Success(AdviceReply(good=good))


class AdvisedPool:
    """A pool whose queue needs tickets: eight workers and then four with more runs.

    Attributes:
        tables: The tables.
        excluded: Workers that may not take the task of the case.
        others: The other workers.
        service: ``AdviceService``; it allows all workers.
        step: Fields of the step.
    """

    def __init__(self):
        self.timers = FakeTimerService(NOW)
        self.tables = create_tables(workers=0)
        queue = Queue(
            name=QUEUE,
            pool=POOL,
            objective_ms=600.0,
            most_attempts=9,
            advice=Advice(10, 1, VALID_MS),
        )
        configuration = Configuration(
            version=2, queues=(queue,), pools=(Pool(name=POOL),)
        )
        self.tables.adopt_configuration(configuration)
        for name in EXCLUDED + OTHERS:
            add_worker(self.tables, name)
        workers_by_id = self.tables.workers_by_id
        self.excluded = [workers_by_id[name] for name in EXCLUDED]
        self.others = [workers_by_id[name] for name in OTHERS]
        self.service = AdviceService(self.timers, EXCLUDED + OTHERS)
        self.step = {}
        self._jobs = 0

    def add_job(self, **step):
        """Adds a job; returns its tasks."""
        self._jobs += 1
        fields = {"estimate_ms": 50_000, "accepted_at": NOW_UNIX} | step
        job = add_simple_job(self.tables, f"{self._jobs:016x}", **fields)
        return job.occurrences[0].steps[0].tasks

    def occupy(self, workers, **step):
        """Starts a run of another job on each worker."""
        tasks = self.add_job(count=len(workers), **step)
        for task, worker in zip(tasks, workers, strict=True):
            start_run(task, worker)

    def place(self):
        """Places waiting tasks and copies; returns the runs that start."""
        tables, now = self.tables, self.timers.now()
        tables.tickets.begin_placement()
        commands = place_tasks(tables, POOL, LearnedDurations(), now, NOW_UNIX)
        commands += copy_overdue_runs(tables, POOL, LearnedDurations(), now)
        tables.tickets.end_placement()
        return [command.run for command in commands if isinstance(command, StartRun)]

    def ask(self):
        """Requests the tickets that the last placement wants."""
        services = SimpleNamespace(
            timers=self.timers, settings=SimpleNamespace(advice_address="")
        )
        dispatcher = SimpleNamespace(
            tables=self.tables,
            has_authority=lambda: True,
            schedule_placement=lambda: None,
        )
        requester = AdviceRequester(services, dispatcher)
        requester._client = self.service
        asyncio.run(requester._run())

    def start(self):
        """Places and asks until something starts; returns the runs."""
        for _ in range(MAX_PLACEMENTS):
            runs = self.place()
            if runs:
                return runs
            self.ask()
        return []


def exclude_by_label(pool):
    """The workers lack the label that the step requires."""
    for worker in pool.others:
        worker.labels = (LABEL, "r1")
    pool.add_job(label=LABEL)


def exclude_by_size(pool):
    """The workers have one large run each; the others have more, but room."""
    pool.occupy(pool.excluded, cpu_millis=LARGE_CPU_MILLIS)
    pool.occupy(pool.others, cpu_millis=1)
    pool.occupy(pool.others, cpu_millis=1)
    pool.add_job(cpu_millis=LARGE_CPU_MILLIS)


def exclude_by_count(pool):
    """The workers run the one task of the step that they may run."""
    pool.occupy(pool.others, cpu_millis=1)
    pool.occupy(pool.others, cpu_millis=1)
    tasks = pool.add_job(count=9, most_per_worker=1)
    for task, worker in zip(tasks, pool.excluded, strict=False):
        start_run(task, worker)


def exclude_by_drain(pool):
    """The workers drain."""
    for worker in pool.excluded:
        worker.is_draining = True
    pool.add_job()


def exclude_by_pool(pool):
    """The workers are of another pool."""
    for worker in pool.excluded:
        worker.pool = "pool-2"
    pool.add_job()


def exclude_by_failures(pool):
    """Runs failed on the workers, which get no more than one at a time.

    They are not the majority, as most other workers are busy.
    """
    pool.occupy(pool.excluded, cpu_millis=1)
    pool.occupy(pool.others, cpu_millis=1)
    pool.occupy(pool.others, cpu_millis=1)
    for number in range(3):
        busy = add_worker(pool.tables, f"busy-{number}")
        pool.occupy([busy] * 3, cpu_millis=5000)
    for worker in pool.excluded[:7]:
        worker.failures = 9.0
    pool.excluded[7].is_draining = True
    pool.add_job(cpu_millis=2000)


def exclude_by_isolation(pool):
    """The workers' hosts crashed under the task, or run something."""
    (task,) = pool.add_job()
    crash = Crash(pool.excluded[0].host, False, True)
    task.crashes = (crash,)
    pool.occupy(pool.excluded[1:], cpu_millis=1)


def exclude_by_isolated_run(pool):
    """The workers run a suspect task each, alone."""
    pool.occupy(pool.excluded, cpu_millis=1)
    for worker in pool.excluded:
        for run in worker.runs_by_key.values():
            run.is_isolated = True
    pool.occupy(pool.others, cpu_millis=1)
    pool.occupy(pool.others, cpu_millis=1)
    pool.add_job()


def exclude_by_unknown_run(pool):
    """The workers list a run of a job that is not known."""
    for worker in pool.excluded:
        worker.unclaimed_runs["b" * 16 + ".0.0.0", 1] = UnclaimedRow(None, NOW)
    pool.add_job()


def exclude_by_yielding(pool):
    """The workers yield to another pool; the job is late."""
    for worker in pool.excluded:
        worker.is_yielding = True
    pool.add_job(accepted_at=NOW_UNIX - 1e6)


def exclude_by_avoidance(pool):
    """The task failed on the workers, of which one has a ticket."""
    pool.occupy(pool.others, cpu_millis=1)
    (task,) = pool.add_job()
    task.avoided_workers.update(EXCLUDED)
    key = task.name.rpartition(".")[0]
    rows = [(EXCLUDED[0], "t-1")]
    pool.tables.tickets.record_answer(key, EXCLUDED[:1], rows, 3.0, NOW)


def exclude_by_copy(pool):
    """The worker runs the task that is to be copied; others have other runs."""
    pool.occupy(pool.excluded[1:], cpu_millis=LARGE_CPU_MILLIS)
    pool.occupy(pool.others, cpu_millis=1)
    (task,) = pool.add_job(is_speculative=True, cpu_millis=LARGE_CPU_MILLIS)
    start_run(task, pool.excluded[0], now=NOW - 1000)


EXCLUDE_BY_CASE = {
    "lack its label": exclude_by_label,
    "have no room": exclude_by_size,
    "run as many of its tasks as they may": exclude_by_count,
    "drain": exclude_by_drain,
    "are of another pool": exclude_by_pool,
    "failed runs": exclude_by_failures,
    "are not free for a suspect task": exclude_by_isolation,
    "run a suspect task": exclude_by_isolated_run,
    "run an unknown task": exclude_by_unknown_run,
    "yield to another pool": exclude_by_yielding,
    "failed the task": exclude_by_avoidance,
    "run the task that is copied": exclude_by_copy,
}


def start_beside_excluded(case):
    """Returns (workers of the started runs, excluded workers that were named)."""
    pool = AdvisedPool()
    EXCLUDE_BY_CASE[case](pool)
    runs = pool.start()
    named = {worker_id for call in pool.service.calls for worker_id in call}
    assert all(len(call) <= MAX_WORKERS_PER_CALL for call in pool.service.calls)
    return {run.worker_id for run in runs}, named & set(EXCLUDED)


def start_gang(members):
    """Returns the number of runs of a gang, of which each fills a worker."""
    pool = AdvisedPool()
    pool.add_job(is_gang=True, count=members, cpu_millis=LARGE_CPU_MILLIS)
    return len(pool.start()), len(pool.service.calls)


def ask_without_use(case):
    """Returns the number of calls while nothing of a job can start."""
    pool = AdvisedPool()
    if case == "no worker has its label":
        pool.add_job(label=LABEL)
    elif case == "no worker has room":
        pool.occupy(pool.excluded + pool.others, cpu_millis=LARGE_CPU_MILLIS)
        pool.add_job(cpu_millis=LARGE_CPU_MILLIS)
    elif case == "its gang finds no room":
        pool.add_job(is_gang=True, count=13, cpu_millis=LARGE_CPU_MILLIS)
    elif case == "the policy allows no worker":
        pool.service = AdviceService(pool.timers, ())
        pool.add_job()
    for _ in range(MAX_PLACEMENTS):
        assert not pool.place()
        pool.ask()
        pool.timers.advance(VALID_MS / 1000)
    return len(pool.service.calls)


def start_by_slow_service(answer_s):
    """Returns the workers of the runs that start while answers take their time.

    The policy allows all workers without the label, and one of those with it.
    """
    pool = AdvisedPool()
    pool.service = AdviceService(pool.timers, EXCLUDED + OTHERS[-1:], answer_s)
    for worker in pool.others:
        worker.labels = (LABEL, "r1")
    pool.add_job(label=LABEL)
    return {run.worker_id for run in pool.start()}


def order_of_calls():
    """Returns the jobs for which calls are made while all calls fail."""
    pool = AdvisedPool()
    pool.service = AdviceService(pool.timers, EXCLUDED, failing_calls=99)
    for _ in range(3):
        pool.add_job()
    pool.place()
    tickets, turns = pool.tables.tickets, []
    for _ in range(6):
        step_key, _ = tickets.take_wanted()
        turns.append(int(step_key.partition(".")[0], 16))
        pool.place()
    return turns


def waiting_after_changes(seed):
    """Returns the tasks that never start although workers that may run them are free.

    Workers shrink, grow, drain and return while steps of several shapes wait. The
    policy allows each step most of the workers.
    """
    chooser = random.Random(seed)
    pool = AdvisedPool()
    workers = pool.excluded + pool.others
    for worker in workers:
        # Labels that few workers have were left out of the questions.
        is_special = chooser.random() < SPECIAL_SHARE
        worker.labels = (LABEL if is_special else "common", "r1")
    pool.service = ChangingPolicy(pool.timers, chooser, workers)
    tasks = [
        task for _ in range(CHANGING_JOBS) for task in _add_random_job(pool, chooser)
    ]
    for _ in range(CHANGES):
        _change_worker(chooser.choice(workers))
        _advance(pool, chooser.choice([0.05, 0.5, VALID_MS / 1000]))
    for worker in workers:
        worker.capacity, worker.is_draining = CAPACITY, False
    for _ in range(CHANGES):
        _advance(pool, 1.0)
    return [task.name for task in tasks if not task.is_done]


def _add_random_job(pool, chooser):
    workers = pool.excluded + pool.others
    has_label = any(LABEL in worker.labels for worker in workers)
    fields = {
        "count": chooser.choice([1, 2, 4]),
        "cpu_millis": chooser.choice([500, 4000, LARGE_CPU_MILLIS]),
        "most_per_worker": chooser.choice([0, 0, 1]),
        "label": LABEL if has_label else "",
        "is_speculative": chooser.random() < 0.3,
        "estimate_ms": 500,
    }
    if fields["cpu_millis"] <= 4000 and not fields["most_per_worker"]:
        # Such a gang fits on a single worker.
        fields["is_gang"] = chooser.random() < 0.5
    return pool.add_job(**fields)


def _change_worker(worker):
    if worker.capacity is CAPACITY:
        worker.capacity = Capacity(2000, CAPACITY.memory_mb, 0)
    else:
        worker.capacity, worker.is_draining = CAPACITY, not worker.is_draining


def _advance(pool, seconds):
    """Places and asks, and lets runs end as ``done`` after some seconds."""
    pool.place()
    pool.ask()
    pool.timers.advance(seconds)
    now = pool.timers.now()
    for worker in list(pool.tables.workers_by_id.values()):
        running, ended = [], []
        for run in worker.runs_by_key.values():
            key = (run.task.name, run.number)
            if now - run.started_at < 1.0:
                running.append(key)
            else:
                ended.append((worker.seen_end + len(ended) + 1, *key, "done"))
        worker.last_answer_at = now
        for run in worker.runs_by_key.values():
            run.state, run.answered_at = RunState.RUNNING, run.started_at
        apply_worker_view(pool.tables, worker, now, running=running, ended=ended)


class ChangingPolicy(AdviceService):
    """Allows each step most of the workers, and one with the label if there is any.

    Args:
        timers: ``FakeTimerService``.
        chooser: Random generator.
        workers: All workers.
    """

    def __init__(self, timers, chooser, workers):
        super().__init__(timers, ())
        self._chooser = chooser
        self._ids = [worker.worker_id for worker in workers]
        self._labelled = [w.worker_id for w in workers if LABEL in w.labels]
        self._allowed_by_step = {}

    async def advise(self, step_key, worker_ids, timeout_s):
        """Answers which of the workers may run the step."""
        if step_key not in self._allowed_by_step:
            chosen = self._chooser.sample(self._ids, 9)
            chosen += self._chooser.sample(self._labelled, min(1, len(self._labelled)))
            self._allowed_by_step[step_key] = chosen
        self._allowed = self._allowed_by_step[step_key]
        return await super().advise(step_key, worker_ids, timeout_s)
