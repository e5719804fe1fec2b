"""Tasks that save progress: what workers report, and what the next starts carry."""

import asyncio
from types import SimpleNamespace

from features.support.order_cases import RecordingDispatcher
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    add_simple_job,
    add_worker,
    apply_worker_view,
    create_tables,
    first_task,
    place_tasks,
)
from sassafrasgrade.platform.workers import OrderOutcome, WorkerReply
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import (
    adopt_handed_over_runs,
    forget_run,
    remove_worker,
    runs_to_hand_over,
)
from sassafrasgrade.systems.task_placement import create_run
from sassafrasgrade.work_tables import RunState
from sassafrasgrade.worker_sessions import WorkerSession

TASKS = 3
# Enough for each run to have a worker of its own, also once some have crashed.
WORKERS = 12
# Each fills a worker.
CPU_MILLIS = 16_000
FIELDS_BY_KIND = {
    "members of a gang": {"is_gang": True},
    "tasks of a step": {},
    "tasks of a speculative step": {"is_speculative": True},
}
# How a table writes that there is no saved value.
NOTHING = "-"


class SavingJob:
    """A job of three tasks that has been started once, and its workers.

    Runs are named by the index of their task and the number of its start, from 1.

    Attributes:
        tables: The leader's tables.

    Args:
        kind: Key of ``FIELDS_BY_KIND``.
    """

    def __init__(self, kind):
        self._kind = kind
        self._workers = 0
        self._now = NOW
        # (worker id, run number) by name of the run.
        self._places = {}
        # Number of the last end by worker id.
        self._ends = {}
        self._lead()
        for _ in range(WORKERS):
            self._add_worker()
        self._all_starts()

    def _lead(self):
        """Begins with tables that show no run."""
        self.tables = create_tables(workers=0)
        fields = FIELDS_BY_KIND[self._kind]
        self._job = add_simple_job(
            self.tables, count=TASKS, cpu_millis=CPU_MILLIS, **fields
        )

    def _add_worker(self):
        add_worker(self.tables, f"worker-{self._workers:02}")
        self._workers += 1

    def apply(self, reports):
        """Applies reports, separated by semicolons; see ``_apply_one``."""
        for report in filter(None, (text.strip() for text in reports.split(";"))):
            self._now += 0.1
            self._apply_one(*report.split())

    def _apply_one(self, name, event, *words):
        """Applies one report.

        Args:
            name: "INDEX.START" of a run; "all" for all of which nothing has ended.
            event: "lists" with a value and a percentage, "ends" with how and a value,
                "lapses", "crashes" (its worker), "starts", "is-copied", or a change
                of leader: "is-inherited", "is-handed-over".
            words: What belongs to the event.
        """
        if name == "all":
            getattr(self, f"_all_{event.replace('-', '_')}")()
            return
        index, start = (int(part) for part in name.split("."))
        if event == "is-copied":
            self._copy(index, start)
            return
        worker_id, number = self._places[index, start]
        task, worker = self._task(index), self.tables.workers_by_id[worker_id]
        if event == "lists":
            value, percent = words
            row = (task.name, number, _value(value), float(percent), 0)
            apply_worker_view(self.tables, worker, self._now, running=[row])
        elif event == "ends":
            self._end(worker, (task.name, number), *words)
        elif event == "lapses":
            proof = EndProof(ProofKind.LEASE_LAPSED, self._now)
            forget_run(self.tables, task.runs_by_number[number], proof, self._now)
        elif event == "crashes":
            self._crash(worker_id)
        else:
            raise ValueError(event)

    def _end(self, worker, key, how, value):
        """Lists the end of a run, beside the other runs of its worker."""
        number = self._ends[worker.worker_id] = self._ends.get(worker.worker_id, 0) + 1
        running = [
            (run.task.name, run.number, "", run.percent, 0)
            for other, run in worker.runs_by_key.items()
            if other != key
        ]
        ended = [(number, *key, how, _value(value))]
        apply_worker_view(self.tables, worker, self._now, running=running, ended=ended)

    def _task(self, index):
        return first_task(self._job, index)

    def _runs(self):
        return [
            run for i in range(TASKS) for run in self._task(i).runs_by_number.values()
        ]

    def _crash(self, worker_id):
        proof = EndProof(ProofKind.WORKER_GONE, self._now)
        worker = self.tables.workers_by_id[worker_id]
        remove_worker(self.tables, worker, proof, self._now)

    def _all_crashes(self):
        for run in self._runs():
            self._crash(run.worker_id)

    def _all_is_inherited(self):
        """Another leader knows the workers, and nothing of their runs."""
        workers = self.tables.workers_by_id
        self._lead()
        for worker_id in workers:
            add_worker(self.tables, worker_id)

    def _all_is_handed_over(self):
        """Another leader is told of the runs."""
        runs = runs_to_hand_over(self.tables, self._now)
        self._all_is_inherited()
        adopt_handed_over_runs(self.tables, runs, self._now)

    def _place(self):
        """Places the tasks; returns the new runs by index of their task."""
        commands = place_tasks(
            self.tables, POOL, LearnedDurations(), self._now, NOW_UNIX
        )
        runs = {command.run.task.index: command.run for command in commands}
        for index, run in runs.items():
            self._note(index, run)
        return runs

    def _note(self, index, run):
        start = 1 + sum(i == index for i, _ in self._places)
        self._places[index, start] = (run.worker_id, run.number)

    def _all_starts(self):
        """Places the tasks; their starts are answered."""
        runs = self._place()
        assert len(runs) == TASKS, runs
        for run in runs.values():
            run.state, run.answered_at = RunState.RUNNING, self._now

    def _copy(self, index, start):
        task = self._task(index)
        idle = [w for w in self.tables.workers_by_id.values() if not w.has_runs]
        run = create_run(task, idle[-1], task.last_number + 1, self._now)
        run.state, run.answered_at = RunState.RUNNING, self._now
        self._note(index, run)

    def restart(self, reports_between):
        """Starts the tasks again; returns the saved values that the orders carry.

        Args:
            reports_between: Reports that come after the order to the first task.
        """
        self._now += 0.1
        runs = self._place()
        assert len(runs) == TASKS, runs
        values = []
        for index, run in sorted(runs.items()):
            values.append(asyncio.run(self._send(run)) or NOTHING)
            if index == 0:
                self.apply(reports_between)
        return values

    async def _send(self, run):
        """Returns the saved value that the order to start a run carries."""
        orders = []

        async def start(order, timeout_s):
            orders.append(order)
            return WorkerReply(OrderOutcome.DONE)

        worker = self.tables.workers_by_id[run.worker_id]
        session = WorkerSession(worker, None, RecordingDispatcher(self.tables))
        session._client = SimpleNamespace(start=start)
        await session.send_start(run)
        (order,) = orders
        return order.saved


def _value(word):
    return "" if word == NOTHING else word
