"""Randomized fault soak: real nodes, stand-ins, and promises checked throughout.

Every fault comes from outside the processes: signals, a proxy before the store,
and stand-ins that misbehave. A run is repeated by its seed; timing still differs
between runs, so a failure keeps its folder with all outputs.
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

from sassafrasgrade.tools.standins.fleets import (
    ADDRESS,
    QUEUE_HOST,
    QUEUE_PREFIX,
    FleetHarness,
)
from sassafrasgrade.tools.standins.proxies import LaneFaults
from sassafrasgrade.tools.standins.worker_states import find_violations

# Time without faults before the end, in which all accepted jobs must end.
CALM_S = 14.0
# Longest time from an acknowledged cancellation to the last start (promise).
CANCEL_S = 3.0
# Clients: threads, pause between jobs, time-out and tries of a request.
CLIENTS = 3
PAUSE_S = 0.25
TIMEOUT_S = 3.0
TRIES = 4
ENDED = ("completed", "failed", "cancelled")

_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


@dataclass
class JobStory:
    """What clients know of one job.

    Attributes:
        statuses: Answers to its submissions; 0 for none.
        cancelled_at: Clock of the acknowledged cancellation; 0 if none.
        shown: States shown, in order.
    """

    statuses: list = field(default_factory=list)
    cancelled_at: float = 0.0
    shown: list = field(default_factory=list)

    @property
    def is_accepted(self):
        """Whether any submission was acknowledged."""
        return 200 in self.statuses

    @property
    def is_refused(self):
        """Whether every submission was rejected."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


class Clients:
    """Threads that submit, watch and cancel jobs at random nodes."""

    def __init__(self, harness, seed):
        self._harness = harness
        self.stories_by_id = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 100 + n),))
            for n in range(CLIENTS)
        ]

    def start(self):
        """Starts the clients."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops them after their present request."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng):
        while not self._stopping.is_set():
            job_id = f"{rng.getrandbits(64):016x}"
            story = JobStory()
            with self._lock:
                self.stories_by_id[job_id] = story
            self._submit(rng, job_id, story)
            if story.is_accepted and rng.random() < 0.15:
                if self.request(rng, "DELETE", job_id)[0] in (200, 410):
                    story.cancelled_at = time.monotonic()
            self._stopping.wait(PAUSE_S)

    def _submit(self, rng, job_id, story):
        spec = {"ms": rng.choice([50, 200, 600]), "cpu": 1000}
        step = {"cpu": 1000, "memMb": 64, "estimateMs": spec["ms"]}
        steps = [step | {"count": rng.randint(1, 6)}]
        if rng.random() < 0.5:
            steps.append(step | {"count": rng.randint(1, 3), "after": [0]})
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        for _ in range(TRIES):
            status, _ = self.request(rng, "POST", job_id, body)
            story.statuses.append(status)
            if status == 200 or self._stopping.wait(0.3):
                return

    def request(self, rng, method, job_id, body=None):
        """Sends one request to a random node; returns (status, JSON)."""
        node = rng.choice(self._harness.nodes)
        url = f"http://{ADDRESS}:{node.clients_port}{QUEUE_PREFIX}{job_id}"
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(TIMEOUT_S * 1000))}
        request = urllib.request.Request(url, body, headers, method=method)
        try:
            with _opener.open(request, timeout=TIMEOUT_S) as answer:
                return answer.status, json.loads(answer.read() or b"{}")
        except urllib.error.HTTPError as error:
            return error.code, {}
        except (OSError, ValueError):
            return 0, {}


class Faults:
    """Carries out random faults; series overlap.

    Args:
        harness: ``FleetHarness``.
        rng: Seeded ``random.Random``.
    """

    def __init__(self, harness, rng):
        self._harness = harness
        self._rng = rng
        self._timers = []
        self._wave = 0
        self.done = []
        self._kinds = [
            self._kill,
            self._pause,
            self._terminate,
            self._cut_store,
            self._silence_store,
            self._refuse_store,
            self._slow_store,
            self._lose_commits,
            self._compact,
            self._revoke_leader,
            self._crash_worker,
            self._darken_worker,
            self._spoil_worker,
            self._change_configuration,
            self._order_wave,
        ]

    def inject(self):
        """Carries out one fault."""
        kind = self._rng.choice(self._kinds)
        self.done.append((round(time.monotonic(), 2), kind.__name__))
        kind()

    def _later(self, delay_s, function):
        timer = threading.Timer(delay_s, function)
        timer.start()
        self._timers.append(timer)

    def heal(self):
        """Waits for all planned ends of faults, and starts what is down."""
        for timer in self._timers:
            timer.join()
        for node in self._harness.nodes:
            if node.process.poll() is not None:
                node.start()

    def _victim(self):
        leader = self._harness.leader_name()
        if leader is not None and self._rng.random() < 0.5:
            return self._harness.node(leader)
        return self._rng.choice(self._harness.nodes)

    def _restart(self, node):
        if node.process.poll() is not None:
            node.start()
        else:
            self._later(0.3, partial(self._restart, node))

    def _kill(self):
        node = self._victim()
        if node.send_signal(signal.SIGKILL):
            self._later(self._rng.uniform(0.2, 2.0), partial(self._restart, node))

    def _pause(self):
        node = self._victim()
        if node.send_signal(signal.SIGSTOP):
            delay_s = self._rng.uniform(0.5, 4.0)
            self._later(delay_s, partial(node.send_signal, signal.SIGCONT))

    def _terminate(self):
        node = self._victim()
        if node.send_signal(signal.SIGTERM):
            self._later(1.0, partial(self._restart, node))

    def _cut_store(self):
        node = self._victim()
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
        self._later(self._rng.uniform(1.0, 5.0), clear)

    def _set_store(self, name, value, after, duration_s):
        setattr(self._harness.store, name, value)
        reset = partial(setattr, self._harness.store, name, after)
        self._later(duration_s, reset)

    def _silence_store(self):
        self._set_store("is_silent", True, False, self._rng.uniform(1.0, 4.5))

    def _refuse_store(self):
        self._set_store("refuse_status", 503, 0, self._rng.uniform(0.5, 3.0))

    def _slow_store(self):
        self._set_store("delay_s", 0.2, 0.0, self._rng.uniform(1.0, 4.0))

    def _lose_commits(self):
        self._harness.store.lose_next = self._rng.randint(1, 5)
        self._harness.store.late_next = self._rng.randint(0, 3)

    def _compact(self):
        self._harness.call(self._harness.store.state.compact)

    def _revoke_leader(self):
        item = self._harness.store.state.items_by_key.get("own/leader")
        if item is not None:
            self._harness.call(self._harness.store.state.end_lease, item.lease)
            self._harness.call(self._harness.store.notify)

    def _host(self):
        hosts = sorted(self._harness.fleet.workers_by_host)
        return self._rng.choice(hosts) if len(hosts) > 2 else None

    def _crash_worker(self):
        host = self._host()
        if host is not None:
            fleet = self._harness.fleet
            pool = fleet.pools_by_host[host]
            self._harness.call(fleet.crash, host, self._rng.random() < 0.5)
            add = partial(self._harness.call, fleet.add_host, host, pool)
            self._later(self._rng.uniform(1.0, 3.0), add)

    def _darken_worker(self):
        host = self._host()
        if host is not None:
            worker = self._harness.fleet.workers_by_host[host]
            worker.is_dark = True
            light = partial(setattr, worker, "is_dark", False)
            self._later(self._rng.uniform(1.0, 6.0), light)

    def _spoil_worker(self):
        host = self._host()
        if host is not None:
            state = self._harness.fleet.workers_by_host[host].state
            name = self._rng.choice(["hangs", "fails"])
            setattr(state, name, True)
            self._later(2.0, partial(setattr, state, name, False))

    def _change_configuration(self):
        self._harness.change_configuration()

    def _order_wave(self):
        self._wave += 1
        hosts = sorted(self._harness.fleet.pools_by_host)[:2]
        self._harness.order_wave(self._wave, hosts)


def check_promises(clients, harness, rng):
    """Returns texts on every promise that was broken."""
    now = time.monotonic()
    history = harness.call(list, harness.fleet.history)
    found = find_violations(history, now)
    starts_by_job = {}
    for run in history:
        starts_by_job.setdefault(run.task.partition(".")[0], []).append(run)
    for job_id, story in clients.stories_by_id.items():
        runs = starts_by_job.get(job_id, [])
        if story.is_refused and runs:
            found.append(f"{job_id}: started though it was refused {story.statuses}")
        if story.cancelled_at:
            late = [r for r in runs if r.started_at > story.cancelled_at + CANCEL_S]
            if late:
                found.append(f"{job_id}: started after its cancellation")
        if not story.is_accepted:
            continue
        status, body = clients.request(rng, "GET", job_id)
        state = body.get("state", status)
        if state not in ENDED:
            found.append(f"{job_id}: accepted and shown as {state} at the end")
        if state == "cancelled" and not story.cancelled_at:
            found.append(f"{job_id}: cancelled without a request")
        if state == "completed" and not any(run.how == "done" for run in runs):
            found.append(f"{job_id}: completed without a run")
    return found


def run_seed(seed, seconds, nodes, folder):
    """Runs one seed; returns the promises broken.

    Args:
        seed: Seed of faults and load.
        seconds: Time with faults.
        nodes: Number of nodes.
        folder: Folder for outputs.
    """
    rng = random.Random(seed)
    harness = FleetHarness(folder, node_count=nodes)
    clients = Clients(harness, seed)
    faults = Faults(harness, rng)
    pause = threading.Event()
    try:
        harness.start()
        pause.wait(1.5)
        clients.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            pause.wait(rng.uniform(0.3, 2.0))
            faults.inject()
        faults.heal()
        clients.stop()
        pause.wait(CALM_S)
        broken = check_promises(clients, harness, rng)
        errors = [n.name for n in harness.nodes if "Traceback" in n.output_text()]
        broken += [f"{name}: an exception was logged" for name in errors]
    finally:
        clients.stop()
        harness.stop()
    accepted = sum(story.is_accepted for story in clients.stories_by_id.values())
    print(
        f"seed {seed}: {len(faults.done)} faults, {len(clients.stories_by_id)} jobs, "
        f"{accepted} accepted, {len(broken)} broken",
        flush=True,
    )
    for text in broken:
        print(f"  {text}", flush=True)
    return broken


def soak(first=1, seeds=1, seconds=12.0, nodes=3):
    """Runs seeds one after the other; exits with status 1 if any broke a promise.

    Args:
        first: First seed.
        seeds: Number of seeds.
        seconds: Time with faults, a seed.
        nodes: Number of nodes.
    """
    failed = []
    for seed in range(first, first + seeds):
        folder = tempfile.mkdtemp(prefix=f"sassafrasgrade-soak-{seed}-")
        if run_seed(seed, seconds, nodes, folder):
            failed.append(seed)
            print(f"  outputs: {folder}", flush=True)
    print(f"{seeds - len(failed)} seeds passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


def main():
    """Entry point of ``sassafrasgrade-soak``."""
    fire.Fire(soak, name="sassafrasgrade-soak")


if __name__ == "__main__":
    main()
