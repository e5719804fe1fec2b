"""Plays of workers that return under their ids without memory and are soon cut off.

``python -m features.support.restarted_workers --first 1 --plays 10`` plays seeds.
"""

import json
import random
import signal
import sys
import threading
import time
from dataclasses import dataclass

import fire
from tornado.ioloop import IOLoop

from features.support.node_fleets import NodeFleet, restart_when_ended
from sassafrasgrade.tools.standins.worker_states import find_violations

NODES = 3
HOSTS = 4
# Load: jobs of long tasks, small enough that there is always room for them.
SUBMIT_PAUSE_S = 0.1
TASKS_PER_JOB = 3
TASK_CPU_MILLIS = 40
WARM_UP_S = 4.0
CUT_S = 9.0
# Time from a cut until the tasks that were taken for lapsed have started elsewhere.
LAPSE_S = 8.5
# Time between a leader's end and a cut.
KILL_LEAD_S = 0.6


@dataclass(frozen=True)
class RestartPlan:
    """When the workers vanish, return and are cut off, in seconds.

    Attributes:
        workers: Number of workers that return.
        begins_after_s: Time from the end of the warm-up until they vanish.
        dark_s: Time until they are back.
        registration_delay_s: Time from then until their registration is written.
        cut_after_s: Time from their return to the cut.
        kills_leader: Whether the leader is killed shortly before the cut.
    """

    workers: int
    begins_after_s: float
    dark_s: float
    registration_delay_s: float
    cut_after_s: float
    kills_leader: bool = False


def choose_plan(seed, kills_leader=False):
    """Returns the plan of a seed."""
    rng = random.Random(f"{seed} restarted")
    return RestartPlan(
        rng.randint(1, 2),
        round(rng.uniform(0.0, 1.5), 2),
        round(rng.uniform(0.3, 0.8), 2),
        round(rng.uniform(0.0, 1.5), 2),
        round(rng.uniform(0.3, 2.5), 2),
        kills_leader,
    )


class LongTasks:
    """A steady flow of jobs of long tasks.

    Args:
        fleet: ``NodeFleet``.
        rng: Seeded ``random.Random``.
    """

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        """Starts to submit jobs."""
        self._thread.start()

    def stop(self):
        """Stops submitting."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(SUBMIT_PAUSE_S):
            self._fleet.submit(f"{self._rng.getrandbits(64):016x}", self._body())

    def _body(self):
        ms = self._rng.randint(10_000, 20_000)
        spec = json.dumps({"ms": ms, "cpu": TASK_CPU_MILLIS})
        step = {"cpu": TASK_CPU_MILLIS, "memMb": 16, "estimateMs": ms}
        return {"spec": spec, "steps": [step | {"count": TASKS_PER_JOB}]}


def play(fleet, plan, seed):
    """Plays a plan on a started fleet under load; returns the violations found."""
    load = LongTasks(fleet, random.Random(f"{seed} long tasks"))
    stand_in = fleet.harness.fleet
    load.start()
    try:
        threading.Event().wait(WARM_UP_S + plan.begins_after_s)
        fleet.harness.call(_schedule, stand_in, plan)
        cut_after_s = plan.dark_s + plan.cut_after_s
        if plan.kills_leader:
            threading.Event().wait(max(0.0, cut_after_s - KILL_LEAD_S))
            leader = fleet.leader()
            leader.send_signal(signal.SIGKILL)
            restart_when_ended(fleet, leader)
        threading.Event().wait(cut_after_s + LAPSE_S)
    finally:
        load.stop()
    history = fleet.harness.call(list, stand_in.history)
    return find_violations(history, fleet.harness.timers.now())


def _schedule(stand_in, plan):
    for host in sorted(stand_in.workers_by_host)[: plan.workers]:
        IOLoop.current().add_callback(
            stand_in.vanish_return_and_cut,
            host,
            plan.dark_s,
            plan.registration_delay_s,
            plan.cut_after_s,
            CUT_S,
        )


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


def describe(fleet, violations, most=3):
    """Returns lines on violations in order of time: stand-ins' history, nodes' logs."""
    tasks = sorted({text.partition(":")[0] for text in violations})[:most]
    stand_in = fleet.harness.fleet
    rows = [(at, f"{event} {worker}") for at, event, worker in stand_in.events]
    restarted = {worker for _, _, worker in stand_in.events}
    for run in stand_in.history:
        if run.task in tasks:
            name = f"{run.task} run {run.number} on {run.worker_id}"
            rows.append((run.started_at, f"{name} begins"))
            rows.append((run.ended_at, f"{name} ends: {run.how or 'alive'}"))
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


def run(first=1, plays=1, kills_leader=False):
    """Plays seeds; exits with status 1 if any task ran twice at once.

    Args:
        first: First seed.
        plays: Number of seeds.
        kills_leader: Whether the leader is killed shortly before the cut.
    """
    failed = []
    for seed in range(first, first + plays):
        plan = choose_plan(seed, kills_leader)
        fleet = NodeFleet(NODES, HOSTS)
        try:
            fleet.start()
            violations = play(fleet, plan, seed)
            lines = describe(fleet, violations)
            runs = len(fleet.harness.fleet.history)
        finally:
            fleet.stop()
        print(f"seed {seed}: {runs} runs, {len(violations)} violations, {plan}")
        if violations:
            failed.append(seed)
            print(*lines, f"  outputs: {fleet.folder}", sep="\n")
        sys.stdout.flush()
    print(f"{plays - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run, name="restarted_workers")
