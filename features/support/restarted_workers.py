"""Plays of workers that return under their ids without memory and are soon cut off.

``python -m features.support.restarted_workers --first 1 --plays 10`` plays seeds.
"""

import json
import random
import sys
import threading
import time

import fire

from features.support.node_fleets import NodeFleet, kill_and_restart
from features.support.waiting import wait_until
from sassafrasgrade.tools.standins.fleet_handlers import SilentRestart
from sassafrasgrade.tools.standins.worker_states import find_violations

NODES = 3
HOSTS = 4
# Load: jobs of long tasks, small enough that there is always room for them.
SUBMIT_PAUSE_S = 0.1
TASKS_PER_JOB = 3
TASK_CPU_MILLIS = 40
TASK_MS = (10_000, 20_000)
# Runs that have begun before the first worker vanishes.
RUNS_BEFORE = 90
WAIT_TIMEOUT_S = 20.0
CUT_S = 9.0
# Time between a leader's end and a cut.
KILL_LEAD_S = 0.6
# Log lines on a worker that tell what its leader took it for.
WORKER_EVENTS = frozenset(
    {
        "dependency lost",
        "dependency regained",
        "worker-restarted",
        "worker-lapsed",
        "worker token raised",
        "worker-reported",
    }
)


class LongTasks:
    """A steady flow of jobs of long tasks.

    Args:
        fleet: ``NodeFleet``.
        seed: Seed of the jobs.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(f"{seed} long tasks")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        """Starts to submit jobs; returns once many of their tasks run."""
        self._thread.start()
        stand_in = self._fleet.harness.fleet
        wait_until(
            lambda: len(stand_in.history) >= RUNS_BEFORE,
            WAIT_TIMEOUT_S,
            "the first tasks run",
        )

    def stop(self):
        """Stops submitting."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(SUBMIT_PAUSE_S):
            self._fleet.submit(f"{self._rng.getrandbits(64):016x}", self._body())

    def _body(self):
        ms = self._rng.randint(*TASK_MS)
        spec = json.dumps({"ms": ms, "cpu": TASK_CPU_MILLIS})
        step = {"cpu": TASK_CPU_MILLIS, "memMb": 16, "estimateMs": ms}
        return {"spec": spec, "steps": [step | {"count": TASKS_PER_JOB}]}


def restart_and_cut(fleet, workers, restart, kills_leader=False):
    """Restarts workers and cuts them off, until all that ran at the cut has ended.

    Args:
        fleet: ``NodeFleet``, under load.
        workers: Number of workers.
        restart: ``SilentRestart``.
        kills_leader: Whether the leader is killed, and started again, ``KILL_LEAD_S``
            before the cut.
    """
    harness, stand_in = fleet.harness, fleet.harness.fleet
    harness.call(_schedule, stand_in, workers, restart)
    wait_until(
        lambda: has_happened(stand_in, ("returns",), 1),
        WAIT_TIMEOUT_S,
        "a worker is back",
    )
    if kills_leader:
        leader = fleet.leader()
        fleet.call_later(
            max(0.0, restart.cut_after_s - KILL_LEAD_S),
            kill_and_restart,
            fleet,
            [leader],
        )
    wait_until(
        lambda: has_happened(stand_in, ("is cut off", "ended otherwise"), workers),
        WAIT_TIMEOUT_S,
        "all workers are cut off",
    )
    cut_off = [
        worker
        for worker in harness.call(list, stand_in.workers_by_host.values())
        if worker.is_dark
    ]
    wait_until(
        lambda: not any(worker.state.runs_by_key for worker in cut_off),
        WAIT_TIMEOUT_S,
        "all that ran at the cut has ended",
    )


def _schedule(stand_in, workers, restart):
    """Restarts the workers that tasks were started on last: more are on their way."""
    for host in stand_in.hosts_by_latest_start()[-workers:]:
        stand_in.restart_silently(host, restart)


def has_happened(stand_in, events, count):
    """Whether one of some events has befallen a number of workers."""
    return sum(row.event in events for row in list(stand_in.events)) >= count


def runs_at_cut(fleet):
    """Returns the runs that were alive when their workers were cut off."""
    stand_in = fleet.harness.fleet
    cut_at_by_worker = {
        row.worker_id: row.at
        for row in list(stand_in.events)
        if row.event == "is cut off"
    }
    return [
        run
        for run in list(stand_in.history)
        if run.started_at < cut_at_by_worker.get(run.worker_id, 0.0) < run.ended_at
    ]


def violations_of(fleet):
    """Returns what ``find_violations`` says of all runs so far."""
    history = fleet.harness.call(list, fleet.harness.fleet.history)
    return find_violations(history, fleet.harness.timers.now())


def describe(fleet, violations, most=3):
    """Returns lines on violations in order of time: stand-ins' history, nodes' logs."""
    tasks = sorted({text.partition(":")[0] for text in violations})[:most]
    stand_in = fleet.harness.fleet
    rows = [(row.at, f"{row.worker_id} {row.event}") for row in stand_in.events]
    restarted = {row.worker_id for row in stand_in.events}
    for run in stand_in.history:
        if run.task in tasks:
            name = f"{run.task} run {run.number} on {run.worker_id}"
            rows.append((run.started_at, f"{name} begins"))
            if run.how:
                rows.append((run.ended_at, f"{name} ends: {run.how}"))
    # Nodes log the time of day.
    offset_s = time.time() - fleet.harness.timers.now()
    for node in fleet.harness.nodes:
        for record in node.log_records():
            is_on_worker = record.get("message") in WORKER_EVENTS
            if record.get("task") in tasks or (
                is_on_worker and record.get("worker") in restarted
            ):
                rows.append((record["at"] - offset_s, json.dumps(record)))
    return [f"  {at:.3f} {text}" for at, text in sorted(rows)]


def choose_restart(seed):
    """Returns (number of workers, ``SilentRestart``) of a seed."""
    rng = random.Random(f"{seed} restarted")
    workers = rng.randint(1, 2)
    limits = ((0.0, 1.15), (0.3, 0.8), (0.0, 1.5), (0.3, 2.5))
    times = [round(rng.uniform(*limit), 2) for limit in limits]
    return workers, SilentRestart(*times, CUT_S)


def run(first=1, plays=1, kills_leader=False):
    """Plays seeds; exits with status 1 if any task ran twice at once.

    Args:
        first: First seed.
        plays: Number of seeds.
        kills_leader: Whether the leader is killed shortly before the cut.
    """
    failed = []
    for seed in range(first, first + plays):
        fleet = NodeFleet(NODES, HOSTS, has_standby=False)
        workers, restart = choose_restart(seed)
        load = LongTasks(fleet, seed)
        try:
            fleet.start()
            load.start()
            restart_and_cut(fleet, workers, restart, kills_leader)
            violations = violations_of(fleet)
            lines = describe(fleet, violations)
        finally:
            load.stop()
            fleet.stop()
        runs = len(fleet.harness.fleet.history)
        text = f"{runs} runs, {len(violations)} violations, {workers} workers"
        print(f"seed {seed}: {text}, {restart}")
        if violations:
            failed.append(seed)
            print(*lines, f"  outputs: {fleet.folder}", sep="\n")
        sys.stdout.flush()
    print(f"{plays - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run, name="restarted_workers")
