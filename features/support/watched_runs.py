"""Workers whose runs progress at set speeds, and what a new leader sees of them."""

from dataclasses import dataclass

from features.support.work_tables import (
    NOW,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
)
from sassafrasgrade.node_messages import HandedOverRun
from sassafrasgrade.platform.messages import RunningRow, WorkerView
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import (
    adopt_handed_over_runs,
    record_answered_start,
    restart_worker,
)
from sassafrasgrade.systems.slow_runs import stop_stalled
from sassafrasgrade.systems.task_placement import create_run
from sassafrasgrade.work_tables import RunState

ESTIMATE_MS = 20_000
PERCENT_PER_S = 5.0
LIST_INTERVAL_S = 0.5
FAR_ON_PERCENT = 60.0
SLOW = 6.5
LONG = 12.0
LEASE_S = 4.5
# Histories whose runs begin at the start of their job.
BEGUN_HERE = frozenset({"own", "restarted"})


@dataclass(slots=True)
class PlayedRun:
    """A run as its worker has it.

    Attributes:
        task: Its task.
        number: Its number.
        percent: Its progress.
        slowness: How many times as long as declared it takes on a sound worker.
    """

    task: object
    number: int
    percent: float
    slowness: float

    @property
    def row(self):
        """Its row of the worker's list."""
        return (self.task.name, self.number, "", self.percent)


class WatchedFleet:
    """Four workers of a pool under one leader.

    Attributes:
        tables: The leader's tables.
        now: Its clock in seconds.
        stops: ``StopRun`` values so far.
        slowness_by_worker: How many times as long all takes on slow workers, by name.
    """

    def __init__(self, history):
        self.tables = create_tables(workers=4)
        self.now = NOW
        self.stops = []
        self.slowness_by_worker = {}
        self._history = history
        self._runs_by_worker = {name: [] for name in self.tables.workers_by_id}
        self._jobs = 0

    def add_worker(self, name):
        """Adds an idle worker."""
        add_worker(self.tables, name)
        self._runs_by_worker[name] = []

    def add_job(self, *tasks_by_worker, slowness=1.0, is_far_on=False):
        """Adds a job whose tasks run already.

        Args:
            *tasks_by_worker: Names of workers, each with a number of tasks.
            slowness: How many times as long as declared its tasks take.
            is_far_on: Whether most of it is done, if it began before.
        """
        self._jobs += 1
        count = sum(tasks for _, tasks in tasks_by_worker)
        job = add_simple_job(
            self.tables, f"{self._jobs:016x}", count=count, estimate_ms=ESTIMATE_MS
        )
        tasks = iter(job.occurrences[0].steps[0].tasks)
        for name, number in tasks_by_worker:
            for _ in range(number):
                self.start(next(tasks), name, slowness, is_far_on)

    def start(self, task, name, slowness, is_far_on=False):
        """Lets a worker run a task, with the history of this fleet."""
        history = self._history
        percent = FAR_ON_PERCENT if is_far_on and history not in BEGUN_HERE else 0.0
        number = task.last_number + 1
        self._runs_by_worker[name].append(PlayedRun(task, number, percent, slowness))
        if history == "handed over":
            handed = HandedOverRun(task.name, number, name, LEASE_S, 1.0)
            adopt_handed_over_runs(self.tables, [handed], self.now)
        elif history != "adopted":
            task.saved.value = "saved" if history == "resumed" else ""
            run = create_run(task, self.tables.workers_by_id[name], number, self.now)
            run.state = RunState.RUNNING
            record_answered_start(run, 0, self.now)

    def restart(self, name):
        """Restarts a worker under its id; it begins all its runs anew."""
        worker = self.tables.workers_by_id[name]
        rows = tuple(RunningRow(*run.row) for run in self._runs_by_worker[name])
        view = WorkerView(clock_ms=self.now * 1000, running=rows, born_ms=7)
        restart_worker(self.tables, worker, view, self.now)
        for run in self._runs_by_worker[name]:
            run.percent = 0.0

    def answer(self):
        """Lets all workers answer without lists."""
        for worker in self.tables.workers_by_id.values():
            worker.last_answer_at = self.now

    def play(self, seconds):
        """Lets time pass; the workers list their runs, and the leader judges them."""
        for _ in range(round(seconds / LIST_INTERVAL_S)):
            self.now += LIST_INTERVAL_S
            self.answer()
            for name, runs in self._runs_by_worker.items():
                slowness = self.slowness_by_worker.get(name, 1.0)
                for run in runs:
                    usual = PERCENT_PER_S * LIST_INTERVAL_S
                    run.percent += usual / (run.slowness * slowness)
                worker = self.tables.workers_by_id[name]
                rows = [run.row for run in runs]
                apply_worker_view(self.tables, worker, self.now, running=rows)
            self.judge()

    def judge(self):
        """Lets the leader stop what it takes for slow."""
        for command in stop_stalled(self.tables, LearnedDurations(), self.now):
            self.stops.append(command)
            run = command.run
            run.state = RunState.STOPPING
            runs = self._runs_by_worker[run.worker_id]
            runs[:] = [other for other in runs if other.task is not run.task]
