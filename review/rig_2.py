"""Stand-ins and process control for the scripts of the second review.

The store is the project's own stand-in. Workers, the list of machines and clients are
written here after the users' pages. Everything but the nodes runs in one event loop.
"""

import asyncio
import base64
import itertools
import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sassafrasgrade.timers import TimerService
from sassafrasgrade.tools.standins.store_handlers import StoreServer

ROOT = Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
HEARTBEAT_S = 1.5
MAX_LEASE_S = 6.0
STOP_S = 0.3
START_UP_S = 0.3
GANG_S = 3.0
SAVE_S = 1.0
TICK_S = 0.02
MAX_LISTED_ENDS = 500
FIRST_PORT, LAST_PORT = 12_000, 30_000
BOUNDS = {
    "applyMs": 2000, "drainMs": 2000, "graceS": 6, "holdMaxMs": 6000, "stopMs": 400,
    "gangMs": 3000, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
    "leaseMs": 3000, "status_s": 120, "early_ms": 250, "remoteSlowdown": 2,
}  # fmt: skip


_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 317 % (LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_ports(count):
    """Returns TCP ports of the loopback address that are not bound, each only once."""
    found = []
    while len(found) < count:
        port = next(_ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        found.append(port)
    return found


def render(template, values):
    """Fills in the placeholders of the deploy file's settings template."""

    def value_of(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return str(found)

    return re.sub(r"\{\{([A-Za-z_.0-9]+)\}\}", value_of, template)


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        """Returns the seconds since the script began."""
        return time.monotonic() - self._began

    def write(self, text):
        """Writes one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Gangs:
    """Gangs of all workers: they work only while all members are present."""

    def __init__(self):
        self.runs_by_gang = {}

    def join(self, run):
        """Adds a member's run."""
        self.runs_by_gang.setdefault(run.gang, []).append(run)

    def is_together(self, run):
        """Whether all members are present and resume from the same saved value."""
        members = self.runs_by_gang[run.gang]
        if len(members) < run.spec["gang"] or any(m.how for m in members):
            return False
        return len({m.start_saved for m in members}) == 1

    def is_broken(self, run):
        """Whether another member has ended without all being done."""
        return any(m.how and m.how != "done" for m in self.runs_by_gang[run.gang])


class Run:
    """One run on a worker."""

    def __init__(self, worker, body, now):
        self.worker = worker
        self.task, self.number = body["task"], body["run"]
        self.spec = json.loads(body["spec"])
        step = int(self.task.split(".")[2])
        self.spec |= self.spec.get("steps", [{}] * (step + 1))[step]
        self.gang = (self.task.rpartition(".")[0], self.number)
        self.start_saved = self.saved = body.get("saved", "")
        self.began = now
        self.worked_s = int(self.saved[:8], 16) / 1000 if self.saved else 0.0
        self.stops_at = None
        self.how = ""
        self.ended = None
        # Whether ``observed`` has reached its end.
        self.noted = False

    @property
    def cpu(self):
        """Requested thousandths of a core."""
        return self.spec["cpu"]

    def percent(self, now):
        """Progress as workers list it."""
        if self.spec.get("lasting"):
            return 100 if now - self.began >= START_UP_S else 0
        return min(99, int(100 * self.worked_s / (self.spec["ms"] / 1000)))


class Worker:
    """One life of a machine as a worker."""

    def __init__(self, platform, machine, worker_id, port, labels):
        self.platform = platform
        self.machine, self.worker_id, self.port = machine, worker_id, port
        self.labels = labels
        self.born_at = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.ends, self.ended_runs = [], []
        self.end_count = 0
        self.barred = {}
        self.sequence = 0
        self.is_up, self.is_dark = True, False
        fields = {"worker": self}
        self._server = HTTPServer(
            Application(
                [
                    ("/-/run-start", StartHandler, fields),
                    ("/-/run-stop", StopHandler, fields),
                    ("/-/hold", HoldHandler, fields),
                    ("/-/pace", PaceHandler, fields),
                ]
            )
        )
        self._server.listen(port, ADDRESS)

    def clock_ms(self):
        """Returns the worker's own clock."""
        return round((time.monotonic() - self.born_at) * 1000)

    def register(self):
        """Writes the worker's entry in the store."""
        self.sequence += 1
        value = {
            "service": self.platform.pool, "address": f"{ADDRESS}:{self.port}",
            "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
            "warmupLeftMs": 0, "sequence": self.sequence, "machine": self.machine,
            "capacity": self.platform.capacity, "labels": self.labels,
            "born": self.born_ms,
        }  # fmt: skip
        self.platform.put(f"servers/{self.worker_id}", value)

    async def crash(self, is_dark=False):
        """Ends this life at once; what runs is lost, a dark one's connections are silent."""
        self.is_up, self.is_dark = False, is_dark
        now = time.monotonic()
        for run in self.runs.values():
            run.how, run.ended = "lost", now
            self.platform.log(f"lost {run.task} run {run.number} on {self.worker_id}")
        self.runs.clear()
        self._server.stop()
        if not is_dark:
            await self._server.close_all_connections()

    def used(self):
        """Returns the thousandths of a core of all that runs, also of what stops."""
        return sum(run.cpu for run in self.runs.values())

    def start(self, body):
        """Carries out a start; returns (status, body)."""
        now = time.monotonic()
        key = (body["task"], body["run"])
        if body["fencingToken"] < self.token:
            return self.refuse("fence")
        self.token = body["fencingToken"]
        if key in self.runs:
            return 200, self.clock()
        self.extend_lease(body["deadlineMs"])
        if body["run"] <= self.barred.get(body["task"], 0):
            return self.refuse("old")
        if body["deadlineMs"] < self.clock_ms():
            return self.refuse("late")
        run = Run(self, body, now)
        if (
            self.platform.guards
            and self.used() + run.cpu > self.platform.capacity["cpu"]
        ):
            return self.refuse("room")
        self.runs[key] = run
        self.platform.runs.append(run)
        if run.spec.get("gang"):
            self.platform.gangs.join(run)
        self.platform.log(
            f"began {run.task} run {run.number} on {self.worker_id} "
            f"{self.labels} saved '{run.saved}' used {self.used()}"
        )
        self.platform.on_begin(run)
        return 200, self.clock()

    def stop(self, body):
        """Carries out a stop; returns (status, body)."""
        if body["fencingToken"] < self.token:
            return self.refuse("fence")
        self.token = body["fencingToken"]
        run = self.runs.get((body["task"], body["run"]))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            self.platform.log(f"stopping {run.task} run {run.number}")
        self.bar(body["task"], body["run"])
        return 200, self.clock()

    def renew(self, body):
        """Takes a hold's token, lease and acknowledged ends; returns a refusal or None."""
        if body["fencingToken"] < self.token:
            return self.refuse("fence")
        self.token = body["fencingToken"]
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        for number, run in self.ended_runs:
            run.noted = run.noted or number <= body["observed"]
        self.ends = [row for row in self.ends if row[0] > body["observed"]]
        return None

    def extend_lease(self, deadline_ms):
        """Extends the lease of all that runs, to ``holdMaxMs`` at most."""
        until = self.born_at + deadline_ms / 1000
        until = min(until, time.monotonic() + MAX_LEASE_S)
        self.lease_until = max(self.lease_until, until)

    def bar(self, task, number):
        """Bars starts of a task up to a run's number."""
        self.barred[task] = max(self.barred.get(task, 0), number)

    def clock(self):
        """Returns the fields of each answer."""
        return {"timestampMs": self.clock_ms()}

    def refuse(self, reason):
        """Returns a refusal."""
        return 409, self.clock() | {"reason": reason}

    def lists(self):
        """Returns both lists."""
        now = time.monotonic()
        running = [
            [run.task, run.number, run.saved, run.percent(now), run.cpu]
            for run in self.runs.values()
        ]
        ends = self.ends[:MAX_LISTED_ENDS]
        return self.clock() | {
            "running": running, "finished": ends, "born": self.born_ms
        }  # fmt: skip

    def tick(self, now, elapsed_s):
        """Lets the runs work, and ends those that are due."""
        for run in list(self.runs.values()):
            is_working = True
            if run.spec.get("gang"):
                is_working = self.platform.gangs.is_together(run)
            if is_working and not run.spec.get("lasting"):
                self._work(run, elapsed_s)
            how = self._end_of(run, now)
            if how:
                self._end(run, how, now)

    def _work(self, run, elapsed_s):
        run.worked_s += elapsed_s
        if run.spec.get("saves"):
            saved_ms = int(run.worked_s / SAVE_S) * int(SAVE_S * 1000)
            if saved_ms and saved_ms > int((run.saved or "0")[:8], 16):
                run.saved = f"{saved_ms:08x}{run.task[:8]}"

    def _end_of(self, run, now):
        if now >= self.lease_until:
            return "lapsed"
        if run.stops_at is not None and now >= run.stops_at:
            return "stopped"
        if run.spec.get("gang"):
            if self.platform.gangs.is_broken(run):
                return "broken"
            waits = not self.platform.gangs.is_together(run)
            if waits and now - run.began > GANG_S and not self._has_done_member(run):
                return "alone"
        if not run.spec.get("lasting") and run.worked_s >= run.spec["ms"] / 1000:
            return "done"
        if self._has_done_member(run):
            return "done"
        return ""

    def _has_done_member(self, run):
        members = self.platform.gangs.runs_by_gang.get(run.gang, ())
        return any(member.how == "done" for member in members)

    def _end(self, run, how, now):
        self.end_count += 1
        run.how, run.ended = how, now
        del self.runs[(run.task, run.number)]
        self.bar(run.task, run.number)
        self.ended_runs.append((self.end_count, run))
        self.ends.append([self.end_count, run.task, run.number, how, run.saved])
        self.platform.log(
            f"ended {run.task} run {run.number} {how} saved '{run.saved}'"
        )


class WorkerHandler(RequestHandler):
    """Base of a worker's handlers."""

    def initialize(self, worker):
        """Sets the worker (called by tornado)."""
        self.worker = worker

    def prepare(self):
        """Refuses calls that are meant for another worker; a dead one answers none."""
        if not self.worker.is_up:
            self._finished = True
            if not self.worker.is_dark:
                self.request.connection.stream.close()
            return
        expected = self.request.headers.get("X-Expect-Instance")
        if expected not in (None, self.worker.worker_id):
            self.answer(421, {})

    def answer(self, status, body):
        """Sends an answer, unless the worker has ended."""
        self.set_status(status)
        self.finish(body)

    def body(self):
        """Returns the decoded body."""
        return json.loads(self.request.body)


class StartHandler(WorkerHandler):
    """Starts a run."""

    _auto_finish = False

    def post(self):
        """Answers the outcome."""
        body = self.body()
        if self.worker.platform.holds_up(self.worker, body):
            # The call stays on its way; its sender gets no answer.
            return
        status, answer = self.worker.start(body)
        if status != 200:
            self.worker.platform.log(
                f"refused {body['task']} run {body['run']} on "
                f"{self.worker.worker_id}: {answer['reason']}"
            )
        self.answer(status, answer)


class StopHandler(WorkerHandler):
    """Stops a run."""

    def post(self):
        """Answers the outcome."""
        self.answer(*self.worker.stop(self.body()))


class PaceHandler(WorkerHandler):
    """Accepts a pace, which nothing here depends on."""

    def post(self):
        """Answers 200."""
        self.answer(200, self.worker.clock())


class HoldHandler(WorkerHandler):
    """Renews leases, and lists what runs and what has ended."""

    _auto_finish = False

    async def post(self):
        """Answers both lists, after an end or the time to wait."""
        body = self.body()
        refusal = self.worker.renew(body)
        if refusal is not None:
            self.answer(*refusal)
            return
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        ends = self.worker.end_count
        while (
            not self.worker.ends
            and self.worker.end_count == ends
            and time.monotonic() < until
        ):
            await asyncio.sleep(TICK_S)
        if self.worker.is_up:
            self.answer(200, self.worker.lists())


class MachinesHandler(RequestHandler):
    """Lists the machines."""

    def initialize(self, platform):
        """Sets the platform (called by tornado)."""
        self.platform = platform

    def get(self):
        """Answers all machines on one page."""
        rows = [
            {
                "machine": machine, "pool": self.platform.pool, "zone": "z1",
                "state": "up" if worker.is_up else "down", "labels": worker.labels,
                "capacity": self.platform.capacity,
                "id": worker.worker_id if worker.is_up else None,
            }
            for machine, worker in self.platform.workers.items()
        ]  # fmt: skip
        self.finish({"machines": rows, "nextToken": None})


class Platform:
    """The store, the machines and the workers.

    Args:
        record: ``Record``.
        capacity: What fits on each worker.
        guards: Whether workers reject what does not fit.
    """

    pool = "pool-work"

    def __init__(self, record, capacity, guards=True):
        self.record = record
        self.capacity, self.guards = capacity, guards
        self.store = StoreServer(TimerService())
        self.store_port, self.cloud_port = free_ports(2)
        self.gangs = Gangs()
        self.workers, self.runs = {}, []
        self.on_begin = lambda run: None
        # Whether a start is held up on its way to a worker.
        self.holds_up = lambda worker, body: False
        self._lives = 0
        self._servers = []
        application = Application(
            [("/-/machines", MachinesHandler, {"platform": self})]
        )
        for served, port in (
            (self.store.application(), self.store_port),
            (application, self.cloud_port),
        ):
            server = HTTPServer(served)
            server.listen(port, ADDRESS)
            self._servers.append(server)
        asyncio.ensure_future(self._tick_loop())
        asyncio.ensure_future(self._heartbeat_loop())

    def log(self, text):
        """Writes to the record."""
        self.record.write(text)

    def put(self, key, value):
        """Writes a value to the store."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.state.commit([], [{"key": key, "value": text}], [])
        self.store.notify()

    def delete(self, key):
        """Removes a key from the store."""
        self.store.state.commit([], [], [key])
        self.store.notify()

    def configure(self):
        """Writes the operator's configuration: one queue and its service."""
        queue = {
            "name": "queue-1", "host": "jobs.example", "prefix": "/tasks/",
            "service": self.pool, "timeoutMs": 3000, "targetDurationMs": 600,
            "maxAttempts": 4, "stretch": 1.6, "priority": 0,
        }  # fmt: skip
        service = {"name": self.pool, "enforcesCapacity": self.guards}
        value = {"version": 3, "routes": [queue], "services": [service]}
        self.put("op/config", value)

    def add_worker(self, machine, port, labels, worker_id=None, registers=True):
        """Starts a worker's life on a machine."""
        self._lives += 1
        worker_id = worker_id or f"i-{machine}-{self._lives}"
        worker = Worker(self, machine, worker_id, port, labels)
        self.workers[machine] = worker
        if registers:
            worker.register()
        return worker

    async def crash(self, machine, down_s, labels=None, keeps_id=False, is_dark=False):
        """Crashes a machine's worker; the next one comes ``down_s`` later."""
        old = self.workers[machine]
        self.log(f"crash of {old.worker_id}")
        await old.crash(is_dark)
        await asyncio.sleep(down_s)
        kept = old.worker_id if keeps_id else None
        new = self.add_worker(machine, old.port, labels or old.labels, kept)
        self.log(f"{new.worker_id} is up on {machine}, {new.labels}")
        if not keeps_id:
            asyncio.ensure_future(self._expire(old))

    async def _expire(self, worker):
        """Removes an entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.delete(f"servers/{worker.worker_id}")

    async def _tick_loop(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for worker in self.workers.values():
                if worker.is_up:
                    worker.tick(now, now - before)
            before = now

    async def _heartbeat_loop(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers.values():
                if worker.is_up:
                    worker.register()


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(self, name, platform, folder):
        ports = free_ports(4)
        self.name, self.front_port = name, ports[0]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        values = {
            "node": name, "zone": "z1", "ip": ADDRESS,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000},
            "listen": {
                "front": f"{ADDRESS}:{ports[0]}", "readiness": f"{ADDRESS}:{ports[1]}"
            },
            "portRange": [ports[2], ports[3]],
            "platform": {"address": f"{ADDRESS}:{platform.store_port}"},
            "cloud": {"address": f"{ADDRESS}:{platform.cloud_port}", "dutyPerS": 64.0},
            "advice": "", "bounds": BOUNDS,
        }  # fmt: skip
        self._settings = Path(folder) / f"{name}.ini"
        self._settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self._command = role["run"].split()
        self._output = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Starts the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SASSAFRASGRADE_NODE_FILE": str(self._settings),
        }
        with open(self._output, "ab") as output:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=output,
                stderr=subprocess.STDOUT,
            )  # fmt: skip

    def kill(self):
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        """Returns the lines of its log."""
        return self._output.read_text(errors="replace").splitlines()


class Client:
    """Calls the nodes in turn, as the users' clients do.

    Args:
        nodes: ``Node`` values.
        record: ``Record``.
    """

    def __init__(self, nodes, record):
        self.nodes, self._record = nodes, record
        self._http = AsyncHTTPClient(max_clients=100)
        self._turn = 0

    async def call(self, method, job_id, body=None, tries=8):
        """Sends a request, again after no answer, 5xx or 429; returns the response."""
        response = None
        for _ in range(tries):
            self._turn += 1
            node = self.nodes[self._turn % len(self.nodes)]
            request = HTTPRequest(
                f"http://{ADDRESS}:{node.front_port}/tasks/{job_id}",
                method=method,
                headers={"Host": "jobs.example", "X-Deadline-Ms": "3000",
                         "Content-Type": "application/json"},
                body=json.dumps(body) if body is not None else None,
                request_timeout=3.0, connect_timeout=1.0, allow_nonstandard_methods=True,
            )  # fmt: skip
            try:
                response = await self._http.fetch(request, raise_error=False)
            except (OSError, HTTPError) as error:
                response = HTTPResponse(request, 599, error=error)
            text = response.body.decode()[:80] if response.body else ""
            self._record.write(f"{method} {job_id} -> {response.code} {text}")
            if response.code < 500 and response.code != 429:
                return response
            await asyncio.sleep(0.2)
        return response

    async def submit(self, job_id, steps, spec, **fields):
        """Hands a job in; raises ``CannotRun`` if it is not accepted."""
        body = {"spec": json.dumps(spec), "steps": steps} | fields
        response = await self.call("POST", job_id, body)
        if response.code != 200:
            raise CannotRun(f"job {job_id} was answered {response.code}")

    async def state(self, job_id):
        """Returns a job's state as shown, or the status of the answer."""
        response = await self.call("GET", job_id)
        if response.code != 200:
            return str(response.code)
        return json.loads(response.body)["state"]


class CannotRun(Exception):
    """The case could not be run."""


def leader_of(platform, nodes):
    """Returns the ``Node`` that the store names as leader, or None."""
    item = platform.store.state.items_by_key.get("own/leader")
    if item is None:
        return None
    value = base64.b64decode(item.value)
    return next((node for node in nodes if node.name.encode() in value), None)


async def wait_until(condition, timeout_s, what):
    """Waits for a condition; raises ``CannotRun`` after a time."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise CannotRun(f"{what} did not happen within {timeout_s} s")
        await asyncio.sleep(0.02)


def run_case(file, play, nodes=3, **platform_fields):
    """Runs a case and exits: 1 if the rule was broken, 0 if not, 2 if it could not run.

    Args:
        file: The script's ``__file__``.
        play: Coroutine function of (platform, nodes, client, record, has_trouble) that
            returns a list of texts, one for each breach of the rule.
        nodes: Number of nodes.
        platform_fields: Arguments of ``Platform``.
    """
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    record = Record(Path(file).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")
    started = []
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    async def main(folder):
        platform = Platform(record, **platform_fields)
        platform.configure()
        started.extend(Node(f"node-{n}", platform, folder) for n in range(nodes))
        for node in started:
            node.start()
        client = Client(started, record)
        return await asyncio.wait_for(
            play(platform, started, client, record, has_trouble), 110
        )

    with tempfile.TemporaryDirectory() as folder:
        try:
            breaches = asyncio.run(main(folder))
        except (CannotRun, TimeoutError, OSError) as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            breaches = None
        finally:
            for node in started:
                node.kill()
                if os.environ.get("KEEP_LOGS"):
                    Path(os.environ["KEEP_LOGS"], node.name + ".log").write_text(
                        "\n".join(node.log_lines())
                    )
    if breaches is None:
        sys.exit(2)
    for breach in breaches:
        record.write(f"BREACH {breach}")
        print(breach)
    record.write(f"result: {'broken' if breaches else 'held'}")
    print("broken" if breaches else "held")
    sys.exit(1 if breaches else 0)
