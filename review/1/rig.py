"""Runs real nodes beside stand-ins of the store, the cloud, workers and clients.

The nodes are separate processes, started with the ``run`` line and the settings
template of the deploy file. The stand-in of the store is the project's own. Workers,
cloud and clients are written here after the users' PROTOCOL.md.
"""

import asyncio
import base64
import json
import logging
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from sassafrasgrade.timers import TimerService
from sassafrasgrade.tools.standins.store_handlers import CommitHandler, StoreServer

ROOT = Path(__file__).resolve().parents[2]
ADDRESS = "127.0.0.1"
HOST = "pule25.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_S = 115.0
HEARTBEAT_S = 1.5
START_UP_S = 0.3

# The bounds that SYSTEM.md gives for both small deployments.
BOUNDS = {
    "applyMs": 2000,
    "drainMs": 2000,
    "graceS": 6,
    "holdMaxMs": 6000,
    "stopMs": 400,
    "gangMs": 3000,
    "restoreMs": 100,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "leaseMs": 3000,
    "status_s": 120,
    "early_ms": 250,
    "remoteSlowdown": 2,
}
FINISH_S = 14.0


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Returns TCP ports below the ephemeral range that are not bound at present."""
    found, port = [], 11_000 + os.getpid() * 101 % 18_000
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        found.append(port)
    return found


def render(template, values):
    """Fills in the plain placeholders of a settings template."""

    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


class Run:
    """A task that a worker has begun."""

    def __init__(self, worker, task, number, step, began_at):
        self.worker, self.task, self.number, self.step = worker, task, number, step
        self.began_at = began_at
        self.ends_at = float("inf")
        self.planned_how = "done"
        self.stops_at = float("inf")
        self.how, self.ended_at, self.noted_at = "", None, None
        # Whether the lease lapsed between the end and its being taken note of.
        self.is_void = False

    @property
    def is_over(self):
        return self.ended_at is not None


class Worker:
    """One life of a machine as a worker."""

    def __init__(self, rig, machine, service, port, labels, guards):
        self.rig, self.machine, self.service, self.port = rig, machine, service, port
        self.labels, self.guards = labels, guards
        self.life = rig.next_number()
        self.worker_id = f"i-{self.life:08x}"
        self.capacity = {"cpu": 64000, "memMb": 131072}
        self.born_ms = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.token = self.end_number = self.sequence = 0
        self.lease_until = 0.0
        self.runs, self.ends, self.barred = {}, [], {}
        self.is_up, self.is_dark, self.is_unhealthy = True, False, False
        self.changed = asyncio.Event()
        handlers = [
            ("/-/run-start", OrderHandler, {"worker": self, "act": self.start}),
            ("/-/run-stop", OrderHandler, {"worker": self, "act": self.stop}),
            ("/-/hold", OrderHandler, {"worker": self, "act": self.hold}),
            ("/-/pace", OrderHandler, {"worker": self, "act": self.pace}),
        ]
        self.server = HTTPServer(Application(handlers))
        self.server.listen(port, ADDRESS)
        rig.record("worker up", worker=self.worker_id, machine=machine)

    def clock(self):
        """Its steady clock in seconds, from 100 at its start."""
        return time.monotonic() - self.born_at + 100.0

    def stamp(self, **fields):
        return {"timestampMs": int(self.clock() * 1000)} | fields

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{ADDRESS}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "sequence": self.sequence,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born_ms,
        }

    def used(self, kind):
        return sum(run.step.get(kind, 0) for run in self.runs.values())

    def _extend(self, body):
        if "deadlineMs" in body:
            limit = self.clock() + BOUNDS["holdMaxMs"] / 1000
            until = min(body["deadlineMs"] / 1000, limit)
            self.lease_until = max(self.lease_until, until)

    def _refuse(self, reason):
        return 409, self.stamp(reason=reason)

    def _is_fenced(self, body):
        token = body.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    async def start(self, body):
        if self.is_unhealthy:
            self.rig.record(
                "start refused",
                task=body["task"],
                run=body["run"],
                worker=self.worker_id,
                answer=503,
            )
            return 503, {}
        if self._is_fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            return 200, self.stamp()
        if number <= self.barred.get(task, 0):
            self._extend(body)
            return self._refuse("old")
        if body["deadlineMs"] / 1000 < self.clock():
            return self._refuse("late")
        step = self.rig.step_of(task)
        if step is None:
            raise CannotRun(f"start of {task}, which no client sent")
        is_over = any(
            self.used(kind) + step.get(kind, 0) > room
            for kind, room in self.capacity.items()
        )
        self._extend(body)
        if is_over and self.guards:
            return self._refuse("room")
        ticket = f"t-{task.rpartition('.')[0]}-{self.worker_id}"
        if self.rig.needs_ticket and body.get("ticket") != ticket:
            return self._refuse("ticket")
        run = Run(self, task, number, step, time.monotonic())
        duration_s, run.planned_how = self.rig.behave(run)
        run.ends_at = run.began_at + duration_s
        self.runs[(task, number)] = run
        self.rig.runs.append(run)
        self.rig.record(
            "run begins",
            task=task,
            run=number,
            worker=self.worker_id,
            machine=self.machine,
            token=body["fencingToken"],
            cpu_in_use=self.used("cpu"),
        )
        self.rig.on_start(run)
        return 200, self.stamp()

    async def stop(self, body):
        if self._is_fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stops_at == float("inf"):
            run.stops_at = time.monotonic() + self.rig.stop_s
            self.rig.record("stop told", task=task, run=number, worker=self.worker_id)
        return 200, self.stamp()

    async def pace(self, body):
        return self._refuse("fence") if self._is_fenced(body) else (200, self.stamp())

    async def hold(self, body):
        if self._is_fenced(body):
            return self._refuse("fence")
        self._extend(body)
        for number, run in self.ends:
            if number <= body.get("observed", 0) and not run.is_void:
                run.noted_at = time.monotonic()
                self.rig.record("end noted", task=run.task, run=run.number)
        self.ends = [row for row in self.ends if row[0] > body.get("observed", 0)]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until and self.is_up:
            await asyncio.sleep(0.02)
        return 200, self.stamp(
            born=self.born_ms,
            running=[
                [run.task, run.number, "", self._percent(run), run.step.get("cpu", 0)]
                for run in self.runs.values()
            ],
            finished=[
                [number, run.task, run.number, run.how, ""]
                for number, run in self.ends[:500]
            ],
        )

    @staticmethod
    def _percent(run):
        lasted_s = time.monotonic() - run.began_at
        if run.step.get("perpetual"):
            return 100 if lasted_s >= START_UP_S else 0
        return min(99, int(100 * lasted_s / max(run.ends_at - run.began_at, 0.001)))

    def end(self, run, how):
        """Ends a run and lists its end."""
        self.runs.pop((run.task, run.number))
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.end_number += 1
        run.how, run.ended_at = how, time.monotonic()
        self.ends.append((self.end_number, run))
        self.rig.record(
            "run ends", task=run.task, run=run.number, worker=self.worker_id, how=how
        )

    def tick(self):
        now = time.monotonic()
        if self.clock() >= self.lease_until:
            for _, run in self.ends:
                run.is_void = True
        for run in list(self.runs.values()):
            if self.clock() >= self.lease_until:
                self.end(run, "lapsed")
            elif now >= run.stops_at:
                self.end(run, "stopped")
            elif now >= run.ends_at:
                self.end(run, run.planned_how)

    def go_dark(self):
        """Ends this life: what runs is gone, and no call is answered any more."""
        self.is_dark = True
        self._lose_runs()

    def crash(self):
        """Ends this life: what runs is gone and its connections are closed."""
        self._lose_runs()
        self.server.stop()
        return self.server.close_all_connections()

    def _lose_runs(self):
        self.is_up = False
        for run in self.runs.values():
            run.how, run.ended_at = "gone with its worker", time.monotonic()
        self.rig.record(
            "worker crashes",
            worker=self.worker_id,
            machine=self.machine,
            runs=[f"{run.task}#{run.number}" for run in self.runs.values()],
        )
        self.runs.clear()


class OrderHandler(RequestHandler):
    """A call to a worker."""

    def initialize(self, worker, act):
        self.worker, self.act = worker, act

    async def post(self):
        if self.worker.is_dark:
            await asyncio.sleep(MOST_S)
            return
        expected = self.request.headers.get("X-Expect-Instance")
        if expected not in (None, self.worker.worker_id):
            self.set_status(421)
            self.finish({})
            return
        body = json.loads(self.request.body)
        self.worker.rig.calls_at.append(time.monotonic())
        if self.request.path == "/-/hold" and self.worker.rig.holds_up(
            self.worker, body
        ):
            await self.worker.rig.carry_out_late(self.worker, body)
            await asyncio.sleep(MOST_S)
            return
        status, body = await self.act(body)
        if not self.worker.is_up:
            # The call is never answered.
            await asyncio.sleep(MOST_S)
            return
        self.set_status(status)
        self.finish(body)


class MachinesHandler(RequestHandler):
    """The list of machines."""

    def initialize(self, rig):
        self.rig = rig

    def get(self):
        rows = []
        for machine, worker in self.rig.workers.items():
            row = {
                "machine": machine,
                "pool": worker.service,
                "state": "up" if worker.is_up else "down",
                "zone": "zone-a",
                "labels": worker.labels,
                "capacity": worker.capacity,
                "id": worker.worker_id,
            }
            rows.append(row)
        self.finish({"machines": rows})


class LosingCommitHandler(CommitHandler):
    """Carries out a commit of the store, and answers it unless that is to be lost."""

    async def post(self):
        body = self.body()
        if not self.server.rig.loses_answer(body):
            await super().post()
            return
        status, _ = self.server.state.commit(
            body.get("expectedRev", []), body.get("writes", []), body.get("deletes", [])
        )
        self.server.notify()
        keys = [row["key"] for row in body.get("writes", [])]
        self.server.rig.record("store loses an answer", status=status, keys=keys)
        # The connection stays open and returns nothing further.
        await asyncio.sleep(MOST_S)


class AdviceHandler(RequestHandler):
    """The advice service: answers one call at a time."""

    def initialize(self, rig):
        self.rig = rig

    async def post(self):
        body = json.loads(self.request.body)
        self.rig.advice_waiting += 1
        if self.rig.advice_waiting > 32:
            self.rig.advice_waiting -= 1
            self.set_status(429)
            self.finish({})
            return
        async with self.rig.advice_turn:
            took_ms = self.rig.advice["decideMs"]
            took_ms += self.rig.advice["eachMs"] * len(body["workers"])
            await asyncio.sleep(took_ms / 1000)
        self.rig.advice_waiting -= 1
        up = {w.worker_id: w for w in self.rig.workers.values() if w.is_up}
        allowed = [
            worker_id
            for worker_id in body["workers"]
            if worker_id in up and self.rig.is_allowed(body["step"], up[worker_id])
        ]
        good = [[worker_id, f"t-{body['step']}-{worker_id}"] for worker_id in allowed]
        self.rig.record(
            "advice", step=body["step"], asked=body["workers"], good=allowed
        )
        self.finish({"good": good, "validMs": self.rig.advice["validMs"]})


class Node:
    """A node process and its settings."""

    def __init__(self, rig, number, ports):
        self.rig, self.name = rig, f"edge-zone-a-{number}"
        self.front, self.readiness, low, high = ports
        values = {
            "node": self.name,
            "zone": "zone-a",
            "ip": ADDRESS,
            "portRange": [low, high],
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "linkMbps": 1000.0,
            },
            "listen": {
                "front": f"{ADDRESS}:{self.front}",
                "readiness": f"{ADDRESS}:{self.readiness}",
            },
            "platform": {"address": f"{ADDRESS}:{rig.store_port}"},
            "cloud": {"address": f"{ADDRESS}:{rig.cloud_port}", "dutyPerS": 64.0},
            "advice": f"{ADDRESS}:{rig.advice_port}",
            "bounds": BOUNDS,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["node"]
        template = (ROOT / self.role["template"]).read_text()
        self.settings = rig.folder / f"{self.name}.ini"
        self.settings.write_text(render(template, values))
        self.output = rig.folder / f"{self.name}.out"
        self.process = None

    def start(self):
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["SASSAFRASGRADE_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                self.role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.rig.record("node started", node=self.name)

    def signal(self, number):
        self.rig.record("node signalled", node=self.name, signal=number.name)
        self.process.send_signal(number)

    async def restart_when_ended(self):
        """Starts it again once its process has ended, as the platform does."""
        await self.rig.until(lambda: self.process.poll() is not None, 8, "process end")
        self.rig.record("node ended", node=self.name, status=self.process.returncode)
        self.start()


class Rig:
    """Nodes and stand-ins of one case.

    Args:
        folder: Folder of the case, for its record.
        services: Rows of (service, number of workers, whether they guard capacity).
        node_count: Number of nodes.
    """

    stop_s = 0.2

    def __init__(self, folder, services, node_count=3):
        self.began_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._scratch = tempfile.TemporaryDirectory()
        self.folder = Path(self._scratch.name)
        self._number = 0
        self.jobs, self.runs, self.states = {}, [], {}
        self.routes, self.version = [], 0
        self.services, self.node_count = services, node_count
        self.workers, self.nodes = {}, []
        self.behave = self._behave
        self.on_start = lambda run: None
        # Kind of the machine with a number, its first label.
        self.kind_of = lambda index: "a"
        # Costs of a call for advice, and which workers a queue's policy allows.
        self.advice = {"decideMs": 20, "eachMs": 2, "validMs": 30_000}
        self.advice_turn, self.advice_waiting = asyncio.Lock(), 0
        self.needs_ticket = False
        # Which polls are held up, for how long, and those that were.
        self.hold_late, self.late_s, self.held = (lambda worker, body: False), 0.0, []
        # When calls reached workers.
        self.calls_at = []
        self.loses_answer = lambda commit: False
        self.is_allowed = lambda step, worker: True
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)
        self.record("begins", trouble=self.trouble)

    def next_number(self):
        self._number += 1
        return self._number

    def record(self, event, **fields):
        """Writes one line of the record."""
        at = time.monotonic() - self.began_at
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self._record.write(f"{at:8.3f} {event} {text}".rstrip() + "\n")
        self._record.flush()

    @staticmethod
    def _behave(run):
        if run.step.get("perpetual"):
            return float("inf"), ""
        return run.step["estimateMs"] / 1000, "done"

    def step_of(self, task):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        return None if job is None else job["steps"][int(step)]

    async def until(self, condition, limit_s, what):
        """Waits until a condition holds; without it the case cannot run."""
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    # Platform.

    async def start(self):
        """Starts the stand-ins, then the nodes, and waits until all are ready."""
        count = sum(row[1] for row in self.services)
        ports = free_ports(3 + 4 * self.node_count + count)
        self.store_port, self.cloud_port = ports.pop(), ports.pop()
        self.advice_port = ports.pop()
        self.store = StoreServer(TimerService())
        self.store.rig = self
        store = self.store.application()
        rules = store.wildcard_router.rules
        for rule in rules:
            if rule.target is CommitHandler:
                rule.target = LosingCommitHandler
        HTTPServer(store).listen(self.store_port, ADDRESS)
        cloud = Application([("/-/machines", MachinesHandler, {"rig": self})])
        HTTPServer(cloud).listen(self.cloud_port, ADDRESS)
        advice = Application([("/-/advise", AdviceHandler, {"rig": self})])
        HTTPServer(advice).listen(self.advice_port, ADDRESS)
        for service, number, guards in self.services:
            for index in range(number):
                labels = [self.kind_of(index), f"r{index % 3}"]
                machine = f"m-{service}-{index}"
                self.add_worker(machine, service, ports.pop(), labels, guards)
        asyncio.ensure_future(self._tick())
        asyncio.ensure_future(self._beat())
        self.write_configuration()
        for number in range(1, self.node_count + 1):
            node = Node(self, number, sorted(ports.pop() for _ in range(4)))
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await self._wait_until_ready(node)
        await self.until(self.leader, 15, "a leader")
        await asyncio.sleep(2.0)

    async def _wait_until_ready(self, node):
        for _ in range(300):
            url = f"http://{ADDRESS}:{node.readiness}/-/ready"
            try:
                answer = await self.http.fetch(HTTPRequest(url), raise_error=False)
                if answer.code == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{node.name} does not get ready")

    def add_worker(self, machine, service, port, labels, guards):
        worker = Worker(self, machine, service, port, labels, guards)
        self.workers[machine] = worker
        self._register(worker)
        return worker

    def calls_within(self, seconds):
        """Counts the calls that reached workers in the last seconds."""
        return sum(at > time.monotonic() - seconds for at in self.calls_at)

    def holds_up(self, worker, body):
        """Whether a poll is to be held up."""
        if not self.hold_late(worker, body):
            return False
        self.held.append(body)
        return True

    async def carry_out_late(self, worker, body):
        """Delivers a poll seconds later to the worker that then has the id."""
        self.record("poll held up", worker=worker.worker_id, body=body)
        await asyncio.sleep(self.late_s)
        now = self.workers[worker.machine]
        unseen = [run.task for number, run in now.ends if number <= body["observed"]]
        self.record("poll carried out late", life=now.life, forgets=unseen)
        if now.is_up and now.worker_id == worker.worker_id:
            await now.hold(body | {"waitMs": 0})

    def restart_worker(self, worker):
        """Starts the next life of a crashed worker under the id that it had."""
        now = self.add_worker(
            worker.machine, worker.service, worker.port, worker.labels, worker.guards
        )
        del self.store.state.items_by_key[f"servers/{now.worker_id}"]
        now.worker_id = worker.worker_id
        self._register(now)
        self.record("worker has its id again", worker=now.worker_id, life=now.life)

    async def return_after(self, worker, seconds):
        """Starts the next life of a crashed worker's machine, at its address."""
        await asyncio.sleep(seconds)
        self.add_worker(
            worker.machine, worker.service, worker.port, worker.labels, worker.guards
        )

    async def _tick(self):
        while True:
            for worker in list(self.workers.values()):
                if worker.is_up:
                    worker.tick()
            await asyncio.sleep(0.01)

    def _register(self, worker):
        value = json.dumps(worker.entry()).encode()
        self._put(f"servers/{worker.worker_id}", value)

    async def _beat(self):
        """Workers write their entries; those of silent ones are removed."""
        seen_at = {}
        while True:
            now = time.monotonic()
            for worker in list(self.workers.values()):
                if worker.is_up:
                    seen_at[worker.worker_id] = now
                    self._register(worker)
            for worker_id in [w for w, at in seen_at.items() if now - at > 4.5]:
                del seen_at[worker_id]
                self.store.state.commit([], [], [f"servers/{worker_id}"])
                self.store.notify()
            await asyncio.sleep(HEARTBEAT_S)

    def _put(self, key, value):
        text = base64.b64encode(value).decode()
        self.store.state.commit([], [{"key": key, "value": text}], [])
        self.store.notify()

    def write_configuration(self):
        """Writes the next version, with the routes of the rig."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": name, "enforcesCapacity": guards, "maxConns": 64}
                for name, _, guards in self.services
            ],
        }
        self._put("op/config", json.dumps(value).encode())
        names = [route["name"] for route in self.routes]
        self.record("configuration", version=self.version, routes=names)

    def leader(self):
        """Returns the node that the store holds as leader, or None."""
        item = self.store.state.items_by_key.get("own/leader")
        if item is None:
            return None
        value = base64.b64decode(item.value)
        return next((n for n in self.nodes if n.name.encode() in value), None)

    def epoch(self):
        """Returns the revision of the leader's key; 0 without one."""
        item = self.store.state.items_by_key.get("own/leader")
        return item.revision if item is not None else 0

    async def next_leader(self, revision, limit_s=20):
        """Waits for a leader after the one of a revision."""
        await self.until(lambda: self.epoch() > revision, limit_s, "the next leader")
        self.record("leader", node=self.leader().name, revision=self.epoch())

    # Clients.

    async def call(self, method, path, body=None, node=None):
        """Sends one request; returns (status, body), with status 0 for no answer."""
        node = node or self.nodes[0]
        request = HTTPRequest(
            f"http://{ADDRESS}:{node.front}{path}",
            method=method,
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "X-Deadline-Ms": "3000",
            },
            body=None if body is None else json.dumps(body),
            request_timeout=3.0,
            allow_nonstandard_methods=True,
        )
        try:
            answer = await self.http.fetch(request, raise_error=False)
            status = 0 if answer.code == 599 else answer.code
            value = json.loads(answer.body) if answer.body else None
        except (OSError, ValueError, HTTPError):
            status, value = 0, None
        self.record(
            "request",
            node=node.name,
            method=method,
            path=path,
            status=status,
            got=value,
        )
        return status, value

    async def submit(self, prefix, job_id, steps, **fields):
        """Hands a job in, at other nodes after no answer, until it is accepted."""
        body = {"spec": f"spec of {job_id}", "steps": steps} | fields
        self.jobs[job_id] = body
        for attempt in range(12):
            node = self.nodes[attempt % len(self.nodes)]
            status, _ = await self.call("POST", prefix + job_id, body, node)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job_id} was not accepted")

    async def state(self, prefix, job_id, node=None):
        """Returns the state that a node shows, or its status as text."""
        status, value = await self.call("GET", prefix + job_id, node=node)
        return value["state"] if status == 200 else str(status)

    # Checks.

    def runs_of(self, task):
        return [run for run in self.runs if run.task == task]

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGKILL)
                node.process.wait(5)
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for node in self.nodes:
                shutil.copy(node.output, kept)
        self._scratch.cleanup()


def route(name, service, **fields):
    """Returns a route of the configuration, with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "timeoutMs": 3000,
        "targetDurationMs": 600,
        "maxAttempts": 4,
        "stretch": 1.6,
    } | fields


def run_case(create, scenario):
    """Runs a scenario and exits with its status.

    Args:
        create: Function that returns the ``Rig``.
        scenario: Coroutine function of the rig; returns (whether the rule was
            broken, what was seen).
    """
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)

    async def run():
        rig = create()
        try:
            is_broken, seen = await asyncio.wait_for(scenario(rig), MOST_S)
            status = BROKEN if is_broken else HELD
        except Exception as error:
            status, seen = NOT_RUN, f"could not run: {error!r}"
        finally:
            rig.close()
        rig.record("ends", status=status, seen=seen)
        return status, seen

    try:
        status, text = asyncio.run(run())
    except Exception as error:
        status, text = NOT_RUN, f"could not run: {error!r}"
    print(f"status {status}: {text}", flush=True)
    os._exit(status)
