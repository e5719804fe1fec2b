"""Soak test: random faults on real nodes with stand-ins, checked for violations.

All faults come from outside the node processes: signals, a proxy in front of the
store, and stand-ins that misbehave. The same seed repeats a run except for its
timing, so a failed seed may not fail again: its folder with all outputs is kept.
"""

import json
import random
import signal
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from functools import partial

import fire

from sassafrasgrade.tools.standins.fleet_handlers import SilentRestart
from sassafrasgrade.tools.standins.fleets import (
    ADDRESS,
    QUEUE_HOST,
    QUEUE_PREFIX,
    FleetHarness,
)
from sassafrasgrade.tools.standins.proxies import LaneFaults
from sassafrasgrade.tools.standins.worker_states import find_violations

# Probability of a fault on many parts at once after each other fault.
MANY_AT_ONCE_PROBABILITY = 0.2
# Versions of the configuration in a burst, and time between them in seconds.
BURST_VERSIONS = 12
BURST_INTERVAL_S = 0.08
# Time without faults at the end, within which all accepted jobs must end.
FAULT_FREE_S = 14.0
# Guaranteed: no start later than this after an acknowledged cancellation.
MAX_START_AFTER_CANCEL_S = 3.0
CLIENT_THREADS = 3
# Longest pause between two jobs whose task crashes its worker, in seconds.
CRASHING_JOB_PAUSE_S = 5.0
# Time after the last fault from which all nodes are in touch, in seconds, and the
# starts after a third crash that break the published limit from then on.
CONTACT_S = 4.0
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 2
# Failed runs after which a job may be shown as failed (the queue's attempts).
MAX_ATTEMPTS = 4
# Probability that a fault comes with thin links, or with a large configuration.
THIN_LINK_PROBABILITY = 0.15
THIN_BYTES_PER_S = 200_000.0
LARGE_CONFIGURATION_QUEUES = 3000
# Probability that a fault comes with a silent restart of a worker, and limits of its
# times in seconds: dark, until the registration, until the cut, of the cut.
SILENT_RESTART_PROBABILITY = 0.4
SILENT_RESTART_LIMITS_S = ((0.3, 0.8), (0.0, 1.5), (0.3, 1.5), (6.0, 9.0))
# Longest pause between two jobs of long tasks in seconds, and how long these run: for
# longer than it takes until they are taken for lapsed after a restart.
LONG_JOB_PAUSE_S = 1.0
LONG_TASK_MS = 6000
MAX_CANCEL_ATTEMPTS = 10
CANCEL_RETRY_S = 0.3
SUBMIT_PAUSE_S = 0.25
REQUEST_TIMEOUT_S = 3.0
MAX_SUBMIT_ATTEMPTS = 4
ENDED_STATES = ("completed", "failed", "cancelled")

_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


@dataclass
class ObservedJob:
    """What the clients observed of one job.

    Attributes:
        statuses: HTTP statuses of its submissions; 0 for no answer.
        cancelled_at: Monotonic time of the acknowledged cancellation; 0 if none.
        may_be_cancelled: Whether a cancellation was acknowledged or got no answer
            that says what became of it.
    """

    statuses: list = field(default_factory=list)
    crashes_workers: bool = False
    cancelled_at: float = 0.0
    may_be_cancelled: bool = False

    @property
    def is_accepted(self):
        """Whether any submission was acknowledged."""
        return 200 in self.statuses

    @property
    def is_refused(self):
        """Whether every submission was rejected."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


class Clients:
    """Threads that submit and cancel jobs at random nodes.

    Args:
        harness: ``FleetHarness``.
        seed: Seed of the load.
        has_long_jobs: Whether some jobs have tasks that run for seconds.
    """

    def __init__(self, harness, seed, has_long_jobs=False):
        self._harness = harness
        self.observed_by_id = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 100 + n),))
            for n in range(CLIENT_THREADS)
        ]
        # Its own generator: the load of a seed stays what it was.
        rng = random.Random(f"{seed} crashing")
        self._threads.append(threading.Thread(target=self._run_crashing, args=(rng,)))
        if has_long_jobs:
            rng = random.Random(f"{seed} long")
            self._threads.append(threading.Thread(target=self._run_long, args=(rng,)))

    def start(self):
        """Starts the clients."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops the clients after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng):
        while not self._stopping.is_set():
            job_id = f"{rng.getrandbits(64):016x}"
            observed = ObservedJob()
            with self._lock:
                self.observed_by_id[job_id] = observed
            self._submit(rng, job_id, observed)
            if observed.is_accepted and rng.random() < 0.15:
                self._cancel(rng, job_id, observed)
            self._stopping.wait(SUBMIT_PAUSE_S)

    def _run_crashing(self, rng):
        while not self._stopping.wait(CRASHING_JOB_PAUSE_S * rng.random()):
            job_id = f"{rng.getrandbits(64):016x}"
            observed = ObservedJob(crashes_workers=True)
            with self._lock:
                self.observed_by_id[job_id] = observed
            spec = {"ms": 200, "cpu": 1000, "crashes": True}
            step = {"cpu": 1000, "memMb": 64, "estimateMs": 200, "count": 1}
            step |= {"speculative": True} if rng.random() < 0.5 else {}
            self._send(rng, job_id, observed, {"spec": spec, "steps": [step]})

    def _run_long(self, rng):
        """Submits jobs of long tasks; cancels them at the end of the faults.

        Tasks that were lost with their workers run alone, which takes too long.
        """
        submitted = []
        while not self._stopping.wait(LONG_JOB_PAUSE_S * rng.random()):
            job_id = f"{rng.getrandbits(64):016x}"
            observed = ObservedJob()
            with self._lock:
                self.observed_by_id[job_id] = observed
            submitted.append((job_id, observed))
            spec = {"ms": LONG_TASK_MS, "cpu": 50}
            step = {"cpu": 50, "memMb": 16, "estimateMs": LONG_TASK_MS, "count": 1}
            self._send(rng, job_id, observed, {"spec": spec, "steps": [step]})
        for job_id, observed in submitted:
            self._cancel_surely(rng, job_id, observed)

    def _cancel_surely(self, rng, job_id, observed):
        for _ in range(MAX_CANCEL_ATTEMPTS):
            self._cancel(rng, job_id, observed)
            if observed.cancelled_at:
                return
            threading.Event().wait(CANCEL_RETRY_S)

    def _cancel(self, rng, job_id, observed):
        status, _ = self.request(rng, "DELETE", job_id)
        if status in (200, 410):
            observed.cancelled_at = time.monotonic()
        # Without an answer, or with a time-out of the store, it may take effect.
        observed.may_be_cancelled = status in (200, 410, 0, 504)

    def _submit(self, rng, job_id, observed):
        spec = {"ms": rng.choice([50, 200, 600]), "cpu": 1000}
        step = {"cpu": 1000, "memMb": 64, "estimateMs": spec["ms"]}
        steps = [step | {"count": rng.randint(1, 6)}]
        if rng.random() < 0.5:
            steps.append(step | {"count": rng.randint(1, 3), "after": [0]})
        self._send(rng, job_id, observed, {"spec": spec, "steps": steps})

    def _send(self, rng, job_id, observed, job):
        body = json.dumps(job | {"spec": json.dumps(job["spec"])}).encode()
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status, _ = self.request(rng, "POST", job_id, body)
            observed.statuses.append(status)
            if status == 200 or self._stopping.wait(0.3):
                return

    def request(self, rng, method, job_id, body=None):
        """Sends one request to a random node; returns (status, JSON)."""
        node = rng.choice(self._harness.nodes)
        url = f"http://{ADDRESS}:{node.clients_port}{QUEUE_PREFIX}{job_id}"
        headers = {
            "Host": QUEUE_HOST,
            "X-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        request = urllib.request.Request(url, body, headers, method=method)
        try:
            with _opener.open(request, timeout=REQUEST_TIMEOUT_S) as answer:
                return answer.status, json.loads(answer.read() or b"{}")
        except urllib.error.HTTPError as error:
            return error.code, {}
        except (OSError, ValueError):
            return 0, {}


class FaultInjector:
    """Injects random faults, which may overlap.

    Args:
        harness: ``FleetHarness``.
        rng: Seeded ``random.Random``.
        many_rng: Seeded ``random.Random`` of the faults on many parts at once, of its
            own so that the other faults of a seed stay what they were.
        size_rng: The same for thin links and large configurations.
        restart_rng: The same for workers that return under their ids; None for none.
    """

    def __init__(self, harness, rng, many_rng, size_rng, restart_rng):
        self._harness = harness
        self._rng = rng
        self._many_rng = many_rng
        self._size_rng = size_rng
        self._restart_rng = restart_rng
        self._timers = []
        self._wave_number = 0
        self.injected = []
        self._kinds = [
            self._kill,
            self._pause,
            self._terminate,
            self._disrupt_store_link,
            self._make_store_unresponsive,
            self._make_store_refuse,
            self._delay_store_answers,
            self._lose_commits,
            self._compact_store,
            self._revoke_leader,
            self._crash_worker,
            self._make_worker_unresponsive,
            self._make_worker_hang_or_fail,
            self._change_configuration,
            self._order_wave,
        ]

    def inject(self):
        """Injects one random fault."""
        kind = self._rng.choice(self._kinds)
        self._run(kind)
        if self._many_rng.random() < MANY_AT_ONCE_PROBABILITY:
            kinds = [self._kill_many, self._change_configuration_often]
            self._run(self._many_rng.choice(kinds))
        if self._size_rng.random() < THIN_LINK_PROBABILITY:
            kinds = [self._thin_store_link, self._grow_configuration]
            self._run(self._size_rng.choice(kinds))
        restart_rng = self._restart_rng
        if restart_rng and restart_rng.random() < SILENT_RESTART_PROBABILITY:
            self._run(self._restart_worker_silently)

    def _run(self, kind):
        self.injected.append((round(time.monotonic(), 2), kind.__name__))
        kind()

    def _schedule(self, delay_s, function):
        timer = threading.Timer(delay_s, function)
        timer.start()
        self._timers.append(timer)

    def heal(self):
        """Waits until all injected faults have ended; restarts nodes that are down."""
        for timer in self._timers:
            timer.join()
        for node in self._harness.nodes:
            if node.process.poll() is not None:
                node.start()

    def _choose_node(self):
        leader = self._harness.leader_name()
        if leader is not None and self._rng.random() < 0.5:
            return self._harness.node(leader)
        return self._rng.choice(self._harness.nodes)

    def _restart(self, node, process):
        """Starts a node once its process has ended, unless another call did so."""
        if node.process is not process:
            return
        if process.poll() is not None:
            node.start()
        else:
            self._schedule(0.3, partial(self._restart, node, process))

    def _kill(self):
        node = self._choose_node()
        if node.send_signal(signal.SIGKILL):
            self._schedule(
                self._rng.uniform(0.2, 2.0), partial(self._restart, node, node.process)
            )

    def _kill_many(self):
        nodes = self._harness.nodes
        count = self._many_rng.randint(2, len(nodes))
        for node in self._many_rng.sample(nodes, count):
            if node.send_signal(signal.SIGKILL):
                self._schedule(0.3, partial(self._restart, node, node.process))

    def _change_configuration_often(self):
        for number in range(BURST_VERSIONS):
            delay_s = number * BURST_INTERVAL_S
            self._schedule(delay_s, self._harness.change_configuration)

    def _pause(self):
        node = self._choose_node()
        if node.send_signal(signal.SIGSTOP):
            delay_s = self._rng.uniform(0.5, 4.0)
            self._schedule(delay_s, partial(node.send_signal, signal.SIGCONT))

    def _terminate(self):
        node = self._choose_node()
        if node.send_signal(signal.SIGTERM):
            self._schedule(1.0, partial(self._restart, node, node.process))

    def _disrupt_store_link(self):
        node = self._choose_node()
        faults = self._rng.choice(
            [
                LaneFaults(cut=True),
                LaneFaults(hold_forward=True),
                LaneFaults(hold_backward=True),
                LaneFaults(delay_s=0.3),
            ]
        )
        self._harness.call(node.lane.set_faults, faults)
        clear = partial(self._harness.call, node.lane.set_faults, LaneFaults())
        self._schedule(self._rng.uniform(1.0, 5.0), clear)

    def _thin_store_link(self):
        node = self._size_rng.choice(self._harness.nodes)
        faults = LaneFaults(bytes_per_s=THIN_BYTES_PER_S)
        self._harness.call(node.lane.set_faults, faults)
        clear = partial(self._harness.call, node.lane.set_faults, LaneFaults())
        self._schedule(self._size_rng.uniform(2.0, 6.0), clear)

    def _grow_configuration(self):
        prefixes = [f"/filler/{n:08d}/" for n in range(LARGE_CONFIGURATION_QUEUES)]
        self._harness.change_configuration(prefixes)

    def _set_store_for(self, name, value, after, duration_s):
        setattr(self._harness.store, name, value)
        reset = partial(setattr, self._harness.store, name, after)
        self._schedule(duration_s, reset)

    def _make_store_unresponsive(self):
        self._set_store_for("is_silent", True, False, self._rng.uniform(1.0, 4.5))

    def _make_store_refuse(self):
        self._set_store_for("refuse_status", 503, 0, self._rng.uniform(0.5, 3.0))

    def _delay_store_answers(self):
        self._set_store_for("delay_s", 0.2, 0.0, self._rng.uniform(1.0, 4.0))

    def _lose_commits(self):
        self._harness.store.lose_next = self._rng.randint(1, 5)
        self._harness.store.late_next = self._rng.randint(0, 3)

    def _compact_store(self):
        self._harness.call(self._harness.store.state.compact)

    def _revoke_leader(self):
        item = self._harness.store.state.items_by_key.get("own/leader")
        if item is not None:
            self._harness.call(self._harness.store.state.end_lease, item.lease)
            self._harness.call(self._harness.store.notify)

    def _choose_host(self):
        hosts = sorted(self._harness.fleet.workers_by_host)
        return self._rng.choice(hosts) if len(hosts) > 2 else None

    def _crash_worker(self):
        host = self._choose_host()
        if host is not None:
            fleet = self._harness.fleet
            pool = fleet.pools_by_host[host]
            self._harness.call(fleet.crash, host, self._rng.random() < 0.5)
            add = partial(self._harness.call, fleet.add_host, host, pool)
            self._schedule(self._rng.uniform(1.0, 3.0), add)

    def _make_worker_unresponsive(self):
        host = self._choose_host()
        if host is not None:
            worker = self._harness.fleet.workers_by_host[host]
            worker.is_dark = True
            restore = partial(setattr, worker, "is_dark", False)
            self._schedule(self._rng.uniform(1.0, 6.0), restore)

    def _make_worker_hang_or_fail(self):
        host = self._choose_host()
        if host is not None:
            state = self._harness.fleet.workers_by_host[host].state
            name = self._rng.choice(["hangs", "fails"])
            setattr(state, name, True)
            self._schedule(2.0, partial(setattr, state, name, False))

    def _restart_worker_silently(self):
        fleet = self._harness.fleet
        hosts = self._harness.call(fleet.hosts_by_latest_start)
        if len(hosts) <= 2:
            return
        limits = SILENT_RESTART_LIMITS_S
        times = [self._restart_rng.uniform(*limit) for limit in limits]
        restart = SilentRestart(None, *times)
        self._harness.call(fleet.restart_silently, hosts[-1], restart)
        # Healing waits for the end of the cut.
        self._schedule(restart.dark_s + restart.cut_after_s + restart.cut_s, int)

    def _change_configuration(self):
        self._harness.change_configuration()

    def _order_wave(self):
        self._wave_number += 1
        hosts = sorted(self._harness.fleet.pools_by_host)[:2]
        self._harness.order_wave(self._wave_number, hosts)


def check_guarantees(clients, harness, rng, healed_at):
    """Returns a text for each guarantee that was broken.

    Args:
        clients: ``Clients``.
        harness: ``FleetHarness``.
        rng: Random generator that chooses the nodes to ask.
        healed_at: Clock when all faults had ended.
    """
    now = time.monotonic()
    history = harness.call(list, harness.fleet.history)
    violations = find_violations(history, now)
    starts_by_job = {}
    for run in history:
        starts_by_job.setdefault(run.task.partition(".")[0], []).append(run)
    for job_id, observed in clients.observed_by_id.items():
        runs = starts_by_job.get(job_id, [])
        if observed.is_refused and runs:
            violations.append(
                f"{job_id}: started though it was refused {observed.statuses}"
            )
        if observed.cancelled_at:
            late = [
                r
                for r in runs
                if r.started_at > observed.cancelled_at + MAX_START_AFTER_CANCEL_S
            ]
            if late:
                violations.append(f"{job_id}: started after its cancellation")
        if not observed.is_accepted:
            continue
        status, body = clients.request(rng, "GET", job_id)
        state = body.get("state", status)
        if state not in ENDED_STATES:
            violations.append(f"{job_id}: accepted and shown as {state} at the end")
        if state == "cancelled" and not observed.may_be_cancelled:
            violations.append(f"{job_id}: cancelled without a request that may have")
        violations += check_crashes(job_id, observed, runs, state, healed_at)
        if state == "completed" and not any(run.how == "done" for run in runs):
            violations.append(f"{job_id}: completed without a run")
    return violations


def check_crashes(job_id, observed, runs, state, healed_at):
    """Returns a text for each guarantee on crashes and failures that was broken."""
    violations = []
    failures = sum(run.how == "failed" for run in runs)
    if state == "failed" and not observed.crashes_workers and failures < MAX_ATTEMPTS:
        violations.append(f"{job_id}: failed after {failures} failed runs")
    lost = sorted(run.ended_at for run in runs if run.how == "lost")
    if observed.crashes_workers and len(lost) >= CRASHES_BEFORE_LIMIT:
        limit_from = max(lost[CRASHES_BEFORE_LIMIT - 1], healed_at + CONTACT_S)
        late = sum(run.started_at > limit_from for run in runs)
        if late > MAX_STARTS_AFTER_CRASHES:
            violations.append(f"{job_id}: started {late} times after three crashes")
    return violations


def run_seed(seed, seconds, nodes, folder, restarts=False):
    """Runs one seed; returns a text for each guarantee that was broken.

    Args:
        seed: Seed of faults and load.
        seconds: Duration of fault injection.
        nodes: Number of nodes.
        folder: Folder for outputs.
        restarts: Whether workers also return under their ids, under long tasks.
    """
    rng = random.Random(seed)
    harness = FleetHarness(folder, node_count=nodes)
    clients = Clients(harness, seed, restarts)
    injector = FaultInjector(
        harness,
        rng,
        random.Random(f"{seed} many"),
        random.Random(f"{seed} size"),
        random.Random(f"{seed} restarts") if restarts else None,
    )
    pause = threading.Event()
    try:
        harness.start()
        pause.wait(1.5)
        clients.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            pause.wait(rng.uniform(0.3, 2.0))
            injector.inject()
        injector.heal()
        healed_at = time.monotonic()
        clients.stop()
        pause.wait(FAULT_FREE_S)
        broken = check_guarantees(clients, harness, rng, healed_at)
        errors = [n.name for n in harness.nodes if "Traceback" in n.output_text()]
        broken += [f"{name}: an exception was logged" for name in errors]
    finally:
        clients.stop()
        harness.stop()
    accepted = sum(observed.is_accepted for observed in clients.observed_by_id.values())
    restarted = sum(row.event == "is cut off" for row in harness.fleet.events)
    print(
        f"seed {seed}: {len(injector.injected)} faults, "
        f"{len(clients.observed_by_id)} jobs, "
        f"{accepted} accepted, {len(broken)} broken"
        + (f", {restarted} workers returned" if restarts else ""),
        flush=True,
    )
    for text in broken:
        print(f"  {text}", flush=True)
    return broken


def soak(first=1, seeds=1, seconds=12.0, nodes=3, restarts=False):
    """Runs seeds in sequence; exits with status 1 if any broke a guarantee.

    Args:
        first: First seed.
        seeds: Number of seeds.
        seconds: Duration of fault injection per seed.
        nodes: Number of nodes.
        restarts: Whether workers also return under their ids, under long tasks.
    """
    failed = []
    for seed in range(first, first + seeds):
        folder = tempfile.mkdtemp(prefix=f"sassafrasgrade-soak-{seed}-")
        if run_seed(seed, seconds, nodes, folder, restarts):
            failed.append(seed)
            print(f"  outputs: {folder}", flush=True)
    print(f"{seeds - len(failed)} seeds passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


def main():
    """Entry point of ``sassafrasgrade-soak``."""
    fire.Fire(soak, name="sassafrasgrade-soak")


if __name__ == "__main__":
    main()
