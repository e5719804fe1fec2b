"""Stand-ins of clients, workers and the platform for the scripts of this review.

Nodes are started as separate processes with the command of the deploy file and with
settings made from its template. The store is the project's stand-in. Workers and the
host service are written here after the pages: leases, fencing tokens, ends, gangs,
saved values and tickets. Everything runs on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import logging
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for folder in (ROOT / "target" / "deps", ROOT):
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))

from tornado.httpclient import AsyncHTTPClient, HTTPRequest  # noqa: E402
from tornado.httpserver import HTTPServer  # noqa: E402
from tornado.web import Application, RequestHandler  # noqa: E402

from sassafrasgrade.timers import TimerService  # noqa: E402
from sassafrasgrade.tools.standins.store_handlers import StoreServer  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
QUEUE_HOST = "jobs.example"
HOLD_MOST_S = 6.0
STOP_S = 0.3
GANG_S = 3.0
SAVE_S = 1.0
RESTORE_S = 0.1
UPKEEP_S = 2.0
MOVE_S = 1.5
START_UP_S = 0.7
TICK_S = 0.02
FIELDS = {
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
    "limits.memoryMb": "300",
    "limits.linkMbps": "1000",
    "cloud.dutyPerS": "64",
    "bounds.applyMs": "2000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "6",
    "bounds.holdMaxMs": "6000",
    "bounds.stopMs": "400",
    "bounds.gangMs": "3000",
    "bounds.restoreMs": "100",
    "bounds.noticeMs": "4500",
    "bounds.moveS": "1.5",
    "bounds.upkeepS": "2",
    "bounds.leaseMs": "3000",
    "bounds.status_s": "120",
    "bounds.early_ms": "250",
    "bounds.remoteSlowdown": "2",
}


def now():
    """Returns the stand-ins' clock in seconds."""
    return time.monotonic()


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, worker, saved, step, fields):
        self.task, self.number, self.worker = task, number, worker
        self.saved_at_start = self.saved = saved
        self.step = step
        self.fields = fields
        self.cpu = fields.get("cpu", 0)
        self.mem = fields.get("mem", 0)
        self.started_at = now()
        self.works_since = None if fields.get("gang") else self.started_at
        self.done_before_s = float(saved.split("@")[1]) if saved else 0.0
        self.stops_at = None
        self.how = ""
        self.ended_at = None
        self.noted_at = None
        self.is_void = False

    @property
    def job(self):
        return self.task.split(".")[0]

    @property
    def group(self):
        """Name of its gang: the step and the number of the run."""
        return self.task.rpartition(".")[0], self.number

    def worked_s(self):
        """Returns the seconds of its work that are done."""
        if self.works_since is None:
            return self.done_before_s
        extra = RESTORE_S if self.saved_at_start else 0.0
        return self.done_before_s + max(0.0, now() - self.works_since - extra)

    def percent(self):
        """Returns its progress as it is listed."""
        if self.fields.get("lasts"):
            return 100 if now() - self.started_at >= START_UP_S else 0
        return min(99, int(100 * self.worked_s() * 1000 / self.fields["ms"]))


class Worker:
    """One life of a machine as a worker; ``crash`` and ``restart`` begin another."""

    def __init__(self, world, machine, pool, port, labels, worker_id=None):
        self.world, self.machine, self.pool, self.port = world, machine, pool, port
        self.labels = labels
        self.worker_id = worker_id or f"w-{machine}-{world.next_number()}"
        self.address = f"{world.address}:{port}"
        self.born_ms = int(time.time() * 1000)
        self.born_at = now()
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.barred = {}
        self.is_up = True
        self.is_draining = False
        self.is_silent = False
        self.server = HTTPServer(
            Application(
                [
                    ("/-/run-start", Orders, {"worker": self, "kind": "start"}),
                    ("/-/run-stop", Orders, {"worker": self, "kind": "stop"}),
                    ("/-/pace", Orders, {"worker": self, "kind": "pace"}),
                    ("/-/hold", Orders, {"worker": self, "kind": "hold"}),
                ]
            )
        )
        self.server.listen(port, world.address, reuse_port=True)
        self.register()

    def clock_ms(self):
        """Returns its own clock, which begins anew with each life."""
        return int((now() - self.born_at) * 1000) + 1000

    def register(self):
        """Writes its entry to the store."""
        self.world.put(
            "servers/" + self.worker_id,
            {
                "service": self.pool,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "warmupLeftMs": 0,
                "capacity": self.world.capacity,
                "labels": self.labels,
                "machine": self.machine,
                "born": self.born_ms,
                "sequence": 1,
            },
        )

    def crash(self, keeps_entry=True):
        """Ends this life: all runs are lost, connections are closed."""
        self.is_up = False
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            run.how, run.ended_at = "lost", now()
        for run in lost:
            self.world.break_gang(run)
        self.server.stop()
        asyncio.ensure_future(self.server.close_all_connections())
        self.world.workers.pop(self.machine, None)
        self.world.note("worker down", worker=self.worker_id, machine=self.machine)
        if not keeps_entry:
            self.world.delete("servers/" + self.worker_id)

    # Orders.

    def _fenced(self, body):
        if body.get("fencingToken", 0) < self.token:
            return 409, self._reply(reason="fence")
        self.token = body.get("fencingToken", 0)
        return None

    def _reply(self, **fields):
        return {"timestampMs": self.clock_ms()} | fields

    def _extend(self, deadline_ms):
        left_s = min(HOLD_MOST_S, (deadline_ms - self.clock_ms()) / 1000)
        self.lease_until = max(self.lease_until, now() + left_s)

    def start(self, body):
        """Handles a start order."""
        refusal = self._fenced(body)
        if refusal:
            return refusal
        key = body["task"], body["run"]
        if key in self.runs:
            return 200, self._reply()
        if body["deadlineMs"] <= self.clock_ms():
            return 409, self._reply(reason="late")
        if body["run"] <= self.barred.get(body["task"], 0):
            self._extend(body["deadlineMs"])
            return 409, self._reply(reason="old")
        spec = json.loads(body["spec"])
        step = int(body["task"].split(".")[2])
        fields = spec["steps"][step]
        if fields.get("advice") and not self.world.is_ticket_valid(body, self):
            return 409, self._reply(reason="ticket")
        cpu = sum(run.cpu for run in self.runs.values()) + fields["cpu"]
        mem = sum(run.mem for run in self.runs.values()) + fields["mem"]
        is_over = cpu > self.world.capacity["cpu"] or mem > self.world.capacity["memMb"]
        if is_over and self.world.guards:
            self._extend(body["deadlineMs"])
            return 409, self._reply(reason="room")
        if is_over:
            self.world.break_rule("LIMIT", f"{body['task']} on {self.worker_id}")
        self._extend(body["deadlineMs"])
        run = Run(body["task"], body["run"], self, body.get("saved", ""), step, fields)
        self.runs[key] = run
        self.world.begin(run, body, spec)
        return 200, self._reply()

    def stop(self, body):
        """Handles a stop order."""
        refusal = self._fenced(body)
        if refusal:
            return refusal
        run = self.runs.get((body["task"], body["run"]))
        if run is not None and run.stops_at is None:
            run.stops_at = now() + STOP_S
        self.barred[body["task"]] = max(self.barred.get(body["task"], 0), body["run"])
        return 200, self._reply()

    def hold(self, body):
        """Handles the part of a hold that comes before its wait."""
        refusal = self._fenced(body)
        if refusal:
            return refusal
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        observed = body.get("observed", 0)
        for number, run in self.ends:
            if number <= observed and run.noted_at is None:
                run.noted_at = now()
        self.ends = [row for row in self.ends if row[0] > observed]
        return None

    def lists(self):
        """Returns both lists."""
        running = [
            [run.task, run.number, run.saved, run.percent(), run.cpu]
            for run in self.runs.values()
        ]
        finished = [
            [number, run.task, run.number, run.how, run.saved]
            for number, run in self.ends[:500]
        ]
        return self._reply(running=running, finished=finished, born=self.born_ms)

    # Time.

    def end(self, run, how):
        """Ends a run and lists its end."""
        if (run.task, run.number) not in self.runs:
            return
        del self.runs[(run.task, run.number)]
        if run.fields.get("saves") and how in ("stopped", "broken"):
            run.saved = f"{run.task.rpartition('.')[0]}@{run.worked_s():.3f}"
        run.how, run.ended_at = how, now()
        self.last_end += 1
        self.ends.append((self.last_end, run))
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.world.note(
            "end", task=run.task, run=run.number, worker=self.worker_id, how=how
        )

    def tick(self):
        """Ends the runs that are due."""
        lapsed = now() >= self.lease_until
        if lapsed:
            for _, run in self.ends:
                run.is_void = run.is_void or run.noted_at is None
        for run in list(self.runs.values()):
            if (run.task, run.number) not in self.runs:
                continue
            if lapsed:
                self.end(run, "lapsed")
                self.world.break_gang(run)
            elif run.stops_at is not None and now() >= run.stops_at:
                self.end(run, "stopped")
                self.world.break_gang(run)
            elif run.works_since is None:
                if now() - run.started_at > GANG_S:
                    self.world.alone.append((now(), run))
                    self.end(run, "alone")
                    self.world.break_gang(run)
            elif run.fields.get("lasts"):
                continue
            elif run.worked_s() * 1000 >= run.fields["ms"]:
                self.world.finish(run)
            elif run.fields.get("saves"):
                whole = int(run.worked_s() / SAVE_S) * SAVE_S
                if whole > run.done_before_s:
                    run.saved = f"{run.task.rpartition('.')[0]}@{whole:.3f}"


class Orders(RequestHandler):
    """Calls to a worker."""

    def initialize(self, worker, kind):
        self.worker, self.kind = worker, kind

    async def post(self):
        worker = self.worker
        while worker.is_silent:
            await asyncio.sleep(TICK_S)
            if self.request.connection.stream.closed():
                self._finished = True
                return
        if not worker.is_up:
            self.request.connection.stream.close()
            self._finished = True
            return
        expected = self.request.headers.get("X-Expect-Instance")
        if expected not in (None, worker.worker_id):
            self.set_status(421)
            self.finish({})
            return
        body = json.loads(self.request.body)
        if self.kind == "hold":
            refusal = worker.hold(body)
            if refusal is None:
                until = now() + body.get("waitMs", 0) / 1000
                while not worker.ends and now() < until and worker.is_up:
                    await asyncio.sleep(TICK_S / 2)
                if not worker.is_up:
                    self._finished = True
                    self.request.connection.stream.close()
                    return
                while worker.is_silent:
                    await asyncio.sleep(TICK_S)
            status, reply = refusal or (200, worker.lists())
        elif self.kind == "start":
            status, reply = worker.start(body)
        elif self.kind == "stop":
            status, reply = worker.stop(body)
        else:
            status, reply = worker._fenced(body) or (200, worker._reply())
        self.set_status(status)
        self.finish(reply)


class Cloud(RequestHandler):
    """The host service."""

    def initialize(self, world, kind):
        self.world, self.kind = world, kind

    async def get(self):
        await asyncio.sleep(self.world.cloud_delay_s)
        rows = []
        for name, machine in sorted(self.world.machines.items()):
            worker = self.world.workers.get(name)
            rows.append(
                {
                    "machine": name,
                    "pool": machine["pool"],
                    "state": machine["state"],
                    "zone": "z1",
                    "labels": machine["labels"],
                    "capacity": self.world.capacity,
                    "id": worker.worker_id if worker else "",
                }
            )
        self.finish({"machines": rows, "nextToken": ""})

    async def post(self):
        body = json.loads(self.request.body)
        self.world.note("order received", order=self.kind, **body)
        # A slow platform carries the order out when it answers.
        await asyncio.sleep(self.world.cloud_delay_s)
        status, reply = self.world.order(self.kind, body)
        if self.world.cloud_lose > 0:
            self.world.cloud_lose -= 1
            self._finished = True
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish(reply)


class Advice(RequestHandler):
    """The advice service."""

    def initialize(self, world):
        self.world = world

    async def post(self):
        body = json.loads(self.request.body)
        advice = self.world.advice
        delay_ms = advice["decideMs"] + advice["eachMs"] * len(body["workers"])
        await asyncio.sleep(delay_ms / 1000)
        good = []
        for worker_id in body["workers"]:
            if self.world.may_run(body["step"], worker_id):
                ticket = f"t{self.world.next_number()}"
                until = now() + advice["validMs"] / 1000
                self.world.tickets[ticket] = (body["step"], worker_id, until)
                good.append([worker_id, ticket])
        self.finish({"good": good, "validMs": advice["validMs"]})


class Node:
    """A node process."""

    def __init__(self, world, number, address, zone):
        self.world, self.name, self.address = world, f"edge-{zone}-{number}", address
        self.process = None
        fields = FIELDS | {
            "node": self.name,
            "zone": zone,
            "ip": address,
            "listen.front": f"{address}:{world.port}",
            "listen.readiness": f"{address}:{world.port + 1}",
            "portRange.0": str(world.port + 2),
            "portRange.1": str(world.port + 3),
            "platform.address": f"{world.address}:{world.store_port}",
            "cloud.address": f"{world.address}:{world.cloud_port}",
            "advice": f"{world.address}:{world.cloud_port}" if world.advice else "",
        }
        template = (ROOT / "deploy" / "settings.ini.template").read_text()
        text = re.sub(r"\{\{(.+?)\}\}", lambda m: fields[m.group(1)], template)
        self.settings = world.folder / f"{self.name}.ini"
        self.settings.write_text(text)
        self.output = world.folder / f"{self.name}.out"

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.+)"', deploy, re.M).group(1).split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.world.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SASSAFRASGRADE_NODE_FILE": str(self.settings),
        }
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log(self):
        """Returns the decoded lines of its output."""
        rows = []
        for line in self.output.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                rows.append({"message": line})
        return rows


class World:
    """All stand-ins, the nodes and what was seen."""

    def __init__(self, record, nodes=3, advice=None, guards=True):
        logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
        logging.getLogger("tornado.general").setLevel(logging.CRITICAL)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = now()
        self.lines = []
        self.record_path = Path(record)
        self.rules = []
        self.number = 0
        third = os.getpid() % 250 + 1
        self.address = f"127.77.{third}.250"
        self.port = self._free_port(third, nodes)
        self.store_port, self.cloud_port = self.port + 4, self.port + 5
        self.worker_port = self.port + 10
        self.capacity = {"cpu": 64000, "memMb": 131072}
        self.guards = guards
        self.advice = advice
        self.tickets = {}
        self.may_run = lambda step, worker_id: True
        self.cloud_delay_s = 0.016
        # Orders on machines that are still carried out without an answer.
        self.cloud_lose = 0
        self.standby = ""
        self.machines, self.workers, self.runs, self.alone = {}, {}, [], []
        self.jobs, self.services = {}, {}
        self.down_until, self.waves, self.upkept = {}, {}, set()
        self.store = StoreServer(TimerService())
        HTTPServer(self.store.application()).listen(self.store_port, self.address)
        cloud = Application(
            [
                ("/-/machines", Cloud, {"world": self, "kind": "list"}),
                ("/-/machine-move", Cloud, {"world": self, "kind": "move"}),
                ("/-/machine-upkeep", Cloud, {"world": self, "kind": "upkeep"}),
                ("/-/advise", Advice, {"world": self}),
            ]
        )
        HTTPServer(cloud).listen(self.cloud_port, self.address)
        self.nodes = [
            Node(self, n, f"127.77.{third}.{n + 1}", f"z{n % 3 + 1}")
            for n in range(nodes)
        ]
        AsyncHTTPClient.configure(None, max_clients=1000)
        self.http = AsyncHTTPClient()
        self._ticker = asyncio.ensure_future(self._tick())

    def _free_port(self, third, nodes):
        import socket

        for port in range(12000 + os.getpid() % 1000, 30000, 400):
            try:
                for last in [*range(1, nodes + 1), 250]:
                    for offset in range(0, 60):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"127.77.{third}.{last}", port + offset))
                return port
            except OSError:
                continue
        raise OSError("no free ports")

    def next_number(self):
        """Returns a number that was not used before."""
        self.number += 1
        return self.number

    def note(self, event, **fields):
        """Adds a line to the record."""
        self.lines.append(f"{now() - self.began:8.3f} {event} {json.dumps(fields)}")

    def break_rule(self, rule, text):
        """Notes that a rule was broken."""
        self.rules.append((rule, text))
        self.note("RULE BROKEN", rule=rule, text=text)

    # Store.

    def put(self, key, value):
        """Writes a value as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.state.commit([], [{"key": key, "value": text}], [])
        self.store.notify()

    def delete(self, key):
        """Removes a key."""
        self.store.state.commit([], [], [key])
        self.store.notify()

    def leader(self):
        """Returns the node that the store names as leader, or None."""
        item = self.store.state.items_by_key.get("own/leader")
        if item is None:
            return None
        value = base64.b64decode(item.value)
        for node in self.nodes:
            if node.name.encode() in value:
                return node
        return None

    # Machines.

    def add_machine(self, name, pool, labels, is_standby=False):
        """Adds a machine, with a worker unless it is in a standby pool."""
        port = self.worker_port + len(self.machines)
        self.machines[name] = {
            "pool": pool,
            "state": "up",
            "labels": labels,
            "port": port,
        }
        if not is_standby:
            self.workers[name] = Worker(self, name, pool, port, labels)

    def restart(self, name, worker_id=None):
        """Starts a new worker on a machine."""
        machine = self.machines[name]
        worker = Worker(
            self, name, machine["pool"], machine["port"], machine["labels"], worker_id
        )
        self.workers[name] = worker
        self.note("worker up", worker=worker.worker_id, machine=name)
        return worker

    def order_wave(self, number, machines, cap, duration_s):
        """Writes a wave as the operator does."""
        self.waves[number] = (set(machines), cap)
        self.put(
            f"op/wave/{number}",
            {
                "wave": number,
                "machines": machines,
                "durationS": duration_s,
                "cap": cap,
            },
        )
        self.note("wave sent", wave=number, machines=machines, cap=cap)

    def order(self, kind, body):
        """Carries out an order on a machine; returns (status, body)."""
        name = body["machine"]
        machine = self.machines.get(name)
        if machine is None:
            return 400, {"error": "no such machine"}
        if kind == "upkeep":
            wave = body["wave"]
            members, cap = self.waves[wave]
            if name not in members:
                return 409, {"reason": "wave"}
            if (wave, name) in self.upkept:
                return 200, {}
        elif machine["pool"] == body["pool"]:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        if kind == "upkeep":
            down = [m for m in members if self.down_until.get(m, 0) > now()]
            self.note("upkeep begins", machine=name, down=sorted(down), cap=cap)
            if len(down) >= cap:
                left = {m: round(self.down_until[m] - now(), 2) for m in down}
                self.break_rule("LIMIT", f"{name} begins while {left} (s left) are down")
            self.upkept.add((wave, name))
            self.down_until[name] = now() + UPKEEP_S
        else:
            machine["pool"] = body["pool"]
            self.note("move begins", machine=name, pool=body["pool"])
        machine["state"] = "upkeep" if kind == "upkeep" else "moving"
        worker = self.workers.get(name)
        if worker is not None:
            worker.crash(keeps_entry=False)
        asyncio.ensure_future(
            self._return(name, UPKEEP_S if kind == "upkeep" else MOVE_S)
        )
        return 200, {}

    async def _return(self, name, after_s):
        await asyncio.sleep(after_s)
        self.machines[name]["state"] = "up"
        if self.machines[name]["pool"] != self.standby:
            self.restart(name)

    # Runs.

    def is_ticket_valid(self, body, worker):
        """Whether a start carries a valid ticket."""
        step, worker_id, until = self.tickets.get(body.get("ticket"), ("", "", 0))
        return (
            step == body["task"].rpartition(".")[0]
            and worker_id == worker.worker_id
            and now() < until
        )

    def begin(self, run, body, spec):
        """Notes a start, judges it and begins the work of a complete gang."""
        self.note(
            "start",
            task=run.task,
            run=run.number,
            worker=run.worker.worker_id,
            saved=run.saved,
        )
        job = self.jobs.get(run.job)
        if job is None or job["spec"] != body["spec"]:
            self.break_rule("UNASKED", f"{run.task} was not sent so")
        if run.saved and run.saved.split("@")[0] != run.task.rpartition(".")[0]:
            self.break_rule("UNASKED", f"{run.task} with the saved value {run.saved}")
        for other in self.runs:
            if other.task != run.task:
                continue
            if not other.how and other.worker.is_up and not run.fields.get("twice"):
                self.break_rule("TWICE", f"{run.task} {run.number} beside {other.number}")
            if other.how == "done":
                asyncio.ensure_future(self._judge_after_done(run, other))
        self._judge_order(run, job)
        self._judge_place(run, job)
        self.runs.append(run)
        if run.fields.get("gang"):
            members = [r for r in self.runs if r.group == run.group and not r.how]
            if len(members) == run.fields["gang"]:
                for member in members:
                    member.works_since = now()
                saved = {member.saved_at_start for member in members}
                if len(saved) > 1:
                    self.break_rule("UNASKED", f"gang {run.group} with {saved}")

    async def _judge_after_done(self, run, other):
        """A start after an end that counts, now or later, breaks ``TWICE``."""
        if run.fields.get("twice"):
            return
        await asyncio.sleep(20)
        if other.noted_at is not None and not other.is_void:
            self.break_rule("TWICE", f"{run.task} {run.number} after done {other.number}")

    def _judge_order(self, run, job):
        if job is None:
            return
        request = job["body"]
        step = request["steps"][run.step]
        occurrence = int(run.task.split(".")[1])
        prefix = f"{run.job}.{occurrence}."
        for before in step.get("after", []):
            done = {
                r.task.split(".")[3]
                for r in self.runs
                if r.task.startswith(f"{prefix}{before}.") and r.how == "done"
            }
            if len(done) < request["steps"][before]["count"]:
                self.break_rule("ORDER", f"{run.task} before step {before} is done")
        if request.get("repeats"):
            due = request["firstMs"] + occurrence * request["intervalMs"]
            early_ms = due - time.time() * 1000
            if early_ms > 250:
                self.break_rule("ORDER", f"{run.task} {early_ms:.0f} ms early")

    def _judge_place(self, run, job):
        if job is None:
            return
        step = job["body"]["steps"][run.step]
        if job["service"] and run.worker.pool != job["service"]:
            self.break_rule("ROUTE", f"{run.task} on a worker of {run.worker.pool}")
        label, most = step.get("requirements"), step.get("maxPerServer")
        if label and label not in run.worker.labels:
            self.break_rule("ROUTE", f"{run.task} on {run.worker.worker_id}: label")
        if most:
            row = run.task.rpartition(".")[0]
            beside = [r for r in run.worker.runs.values() if r is not run]
            count = sum(r.task.rpartition(".")[0] == row for r in beside)
            if count >= most:
                self.break_rule("ROUTE", f"{run.task} beside {count} on its worker")

    def finish(self, run):
        """Ends a run as done, together with its gang."""
        members = [run]
        if run.fields.get("gang"):
            members = [r for r in self.runs if r.group == run.group and not r.how]
        how = "failed" if run.fields.get("fails") else "done"
        for member in members:
            member.worker.end(member, how)

    def break_gang(self, run):
        """Ends the other members of a gang as broken."""
        if not run.fields.get("gang"):
            return
        for other in self.runs:
            if other.group == run.group and not other.how and other is not run:
                if other.works_since is not None:
                    other.worker.end(other, "broken")

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            for worker in list(self.workers.values()):
                worker.tick()

    def used_cpu(self, pool):
        """Returns (thousandths of a core in use, all of them) in a pool."""
        workers = [w for w in self.workers.values() if w.pool == pool]
        used = sum(run.cpu for w in workers for run in w.runs.values())
        return used, len(workers) * self.capacity["cpu"]

    # Clients.

    async def call(self, method, path, body=None, node=0, timeout_s=3.0):
        """Sends one request of a client; returns (status, body); 0 for no answer."""
        address = self.nodes[node].address
        request = HTTPRequest(
            f"http://{address}:{self.port}{path}",
            method=method,
            headers={
                "Host": QUEUE_HOST,
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(timeout_s * 1000)),
            },
            body=None if body is None else json.dumps(body),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self.http.fetch(request, raise_error=False)
        except Exception:
            return 0, {}
        status = 0 if response.code == 599 else response.code
        try:
            answer = json.loads(response.body or b"{}")
        except ValueError:
            answer = {}
        return status, answer

    async def submit(self, prefix, job_id, steps, kinds, tries=8, **fields):
        """Hands a job in, again at other nodes, as the pages let clients do.

        Args:
            prefix: Prefix of the queue.
            job_id: Its id.
            steps: Steps as clients write them.
            kinds: What the stand-in workers know of each step, sent as ``spec``.
        """
        spec = json.dumps({"steps": kinds})
        body = {"spec": spec, "steps": steps} | fields
        service = self.services.get(prefix, "")
        self.jobs[job_id] = {
            "spec": spec,
            "body": body,
            "prefix": prefix,
            "service": service,
        }
        for attempt in range(tries):
            node = (attempt + int(job_id[-2:], 16)) % len(self.nodes)
            status, _ = await self.call("POST", prefix + job_id, body, node)
            self.note("submit", job=job_id, node=self.nodes[node].name, status=status)
            if status == 200:
                self.jobs[job_id]["accepted_at"] = now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id):
        """Returns a job's state from the first node that answers."""
        for node in range(len(self.nodes)):
            status, answer = await self.call(
                "GET", self.jobs[job_id]["prefix"] + job_id, None, node
            )
            if status in (200, 410):
                return answer.get("state", "410")
        return ""

    async def wait_ready(self, timeout_s=25.0):
        """Waits until all nodes are ready and one leads."""
        until = now() + timeout_s
        while now() < until:
            ready = 0
            for node in self.nodes:
                try:
                    response = await self.http.fetch(
                        f"http://{node.address}:{self.port + 1}/-/ready",
                        raise_error=False,
                        request_timeout=1.0,
                    )
                    ready += response.code == 200
                except Exception:
                    pass
            if ready == len(self.nodes) and self.leader() is not None:
                return True
            await asyncio.sleep(0.2)
        return False

    def close(self, verdict):
        """Ends the processes, writes the record and removes the folder."""
        self._ticker.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)
        self.note("verdict", verdict=verdict)
        self.record_path.write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case):
    """Runs a case; exits with 1 if a rule was broken, 0 if not, 2 if it could not run.

    Args:
        case: Coroutine function; returns whether the rule held, or None.
    """
    held = asyncio.run(asyncio.wait_for(case(), 115))
    print({True: "held", False: "broken", None: "could not run"}[held])
    sys.exit({True: 0, False: 1, None: 2}[held])
