"""HTTP handlers of the stand-ins for workers and for the host service."""

import base64
import json
import time
from dataclasses import dataclass

from tornado import gen
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sassafrasgrade.platform import names
from sassafrasgrade.tools.standins.worker_states import WorkerState

TICK_PERIOD_S = 0.02
HEARTBEAT_PERIOD_S = 0.5
# Pause between two looks at whether a call may be answered again.
SILENCE_CHECK_S = 0.05
# Reading of a worker's own clock at the start of an incarnation under an old id.
FIRST_CLOCK_READING_S = 1.0
MOVE_DURATION_S = 0.4
# Time from the start of a crashing task to the crash, and until the worker is back.
CRASH_DELAY_S = 0.01
CRASH_DURATION_S = 1.0
CAPACITY_CPU_MILLIS = 16_000
CAPACITY_MEMORY_MB = 65_536


@dataclass(frozen=True)
class SilentRestart:
    """A restart under the same id, without a reset of connections, and a cut after it.

    Attributes:
        after_poll_s: Time from the arrival of a long poll until the first incarnation
            ends, in seconds; None to end it at once.
        dark_s: Time between the two incarnations in seconds.
        registration_delay_s: Time from the second one's start to its registration in
            seconds; until then, that of the first one stays.
        cut_after_s: Time from the second one's start to the cut in seconds.
        cut_s: Duration of the cut in seconds: the runs go on and their leases lapse,
            but nothing is answered, closed or reset.
        closes_idle: Whether the first incarnation's connections without a call under
            way are closed at its end, so that callers open new ones.
    """

    after_poll_s: float | None
    dark_s: float
    registration_delay_s: float
    cut_after_s: float
    cut_s: float
    closes_idle: bool = False


@dataclass(frozen=True)
class WorkerEvent:
    """What befell a worker at a time of the stand-ins' clock, in seconds."""

    at: float
    event: str
    worker_id: str


class StandInWorker:
    """A worker: its state, its HTTP server and its registration.

    Args:
        fleet: The ``StandInFleet``.
        host_name: Host that it runs on.
        pool: Pool that it joins.
        port: TCP port that it listens on.
        former: ``StandInWorker`` that ended by ``vanish`` and whose id and address it
            takes over, or None. It then has a clock of its own.

    Attributes:
        is_dark: Whether its calls are held unanswered.
        is_closed: Whether it has ended: nothing revives it.
        long_polls: Number of long polls that have arrived.
    """

    def __init__(self, fleet, host_name, pool, port, former=None):
        self.fleet = fleet
        self.host_name = host_name
        self.port = port
        self.address = f"{fleet.address}:{port}"
        self.state = WorkerState(
            former.worker_id if former else f"i-{host_name}-{fleet.next_incarnation()}",
            pool,
            CAPACITY_CPU_MILLIS,
            int(time.time() * 1000),
            fleet.history,
        )
        if former is not None:
            self.state.clock_offset_s = FIRST_CLOCK_READING_S - fleet.timers.now()
        self.is_dark = False
        self.is_closed = False
        self.is_draining = False
        self.long_polls = 0
        # Connections with a call under way.
        self.busy_streams = set()
        fields = {"worker": self}
        application = Application(
            [
                (names.RUN_START_PATH, StartHandler, fields),
                (names.RUN_STOP_PATH, StopHandler, fields),
                (names.HOLD_PATH, RenewHandler, fields),
            ]
        )
        self._server = HTTPServer(application)
        # The server gets a duplicate, so that connections queue here after its end.
        self._listener = (
            former._listener if former else bind_sockets(port, fleet.address)[0]
        )
        self._server.add_sockets([self._listener.dup()])

    @property
    def worker_id(self):
        """Identifier of this incarnation."""
        return self.state.worker_id

    async def await_long_poll(self):
        """Waits until the next long poll has arrived, or this incarnation has ended."""
        before = self.long_polls
        while self.long_polls == before and not self.is_closed:
            await gen.sleep(TICK_PERIOD_S)

    def close(self, now):
        """Ends this incarnation: its runs are lost and its server stops."""
        self.vanish(now)
        self._listener.close()

    def vanish(self, now):
        """Ends this incarnation as a loss of power does: its runs are lost.

        Its connections stay open and silent. New ones are not accepted, but wait for
        the next incarnation at this address.
        """
        self.state.mark_runs_lost(now)
        self._server.stop()
        self.is_closed = True

    def close_idle(self):
        """Closes the connections without a call under way."""
        for connection in list(self._server._connections):
            if connection.stream not in self.busy_streams:
                connection.stream.close()

    def crash(self, now):
        """Ends this incarnation as a crash does: its connections are closed."""
        self.close(now)
        IOLoop.current().add_callback(self._server.close_all_connections)

    def registration_value(self):
        """Returns its registration as the store holds it: JSON in base64."""
        value = {
            "service": self.state.pool,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": names.WORKER_DRAINING if self.is_draining else names.WORKER_READY,
            "warmupLeftMs": 0,
            "capacity": {
                "cpu": CAPACITY_CPU_MILLIS,
                "memMb": CAPACITY_MEMORY_MB,
                "gpu": 0,
            },
            "labels": ["a", "r1"],
            "machine": self.host_name,
            "born": self.state.born_ms,
            "sequence": 1,
        }
        return base64.b64encode(json.dumps(value).encode()).decode()


class StandInFleet:
    """Workers and hosts that use a ``StoreServer``.

    Args:
        store: ``StoreServer``.
        timers: Timer service.
        address: IP address that workers listen on.
        ports: Iterator of free TCP ports.
    """

    def __init__(self, store, timers, address, ports):
        self.store = store
        self.timers = timers
        self.address = address
        self.history = []
        self.workers_by_host = {}
        self.pools_by_host = {}
        self.host_orders = []
        self.events = []
        self._vanished_by_host = {}
        self._ports = ports
        self._incarnation_count = 0
        timers.subscribe(TICK_PERIOD_S, self._tick)

    def next_incarnation(self):
        """Returns a number that no earlier worker has."""
        self._incarnation_count += 1
        return self._incarnation_count

    def add_host(self, host_name, pool, is_standby=False):
        """Adds a host; a standby host runs no worker."""
        self.pools_by_host[host_name] = pool
        if not is_standby:
            self._start_worker(host_name, pool)

    def _start_worker(self, host_name, pool, port=None):
        worker = StandInWorker(self, host_name, pool, port or next(self._ports))
        self.workers_by_host[host_name] = worker
        self.register(worker)

    def register(self, worker):
        """Writes a worker's registration to the store."""
        key = names.WORKERS_PREFIX + worker.worker_id
        self.store.state.commit(
            [], [{"key": key, "value": worker.registration_value()}], []
        )
        self.store.notify()

    def crash(self, host_name, keeps_registration=False):
        """Crashes a host's worker; deletes its registration unless it is to be kept."""
        vanished = self._vanished_by_host.pop(host_name, None)
        worker = vanished or self.workers_by_host.pop(host_name)
        worker.close(self.timers.now())
        if not keeps_registration:
            key = names.WORKERS_PREFIX + worker.worker_id
            self.store.state.commit([], [], [key])
            self.store.notify()

    async def crash_and_return(self, worker):
        """Crashes a worker; a new incarnation answers at its address later."""
        await gen.sleep(CRASH_DELAY_S)
        if self.workers_by_host.get(worker.host_name) is not worker:
            return
        self.workers_by_host.pop(worker.host_name)
        worker.crash(self.timers.now())
        await gen.sleep(CRASH_DURATION_S)
        key = names.WORKERS_PREFIX + worker.worker_id
        self.store.state.commit([], [], [key])
        if worker.host_name not in self.workers_by_host:
            pool = self.pools_by_host[worker.host_name]
            self._start_worker(worker.host_name, pool, worker.port)

    def hosts_by_latest_start(self):
        """Returns the hosts with workers; the one that got the latest start is last."""
        latest_by_worker = {run.worker_id: run.started_at for run in self.history}
        return sorted(
            self.workers_by_host,
            key=lambda host: latest_by_worker.get(
                self.workers_by_host[host].worker_id, 0.0
            ),
        )

    def restart_silently(self, host_name, restart):
        """Lets a host's worker vanish; one with its id, but no memory, takes its place.

        Args:
            host_name: The host.
            restart: ``SilentRestart``.
        """
        former = self.workers_by_host[host_name]
        IOLoop.current().add_callback(self._vanish_and_return, former, restart)

    async def _vanish_and_return(self, former, restart):
        host_name = former.host_name
        if restart.after_poll_s is not None:
            await former.await_long_poll()
            await gen.sleep(restart.after_poll_s)
        if former.is_closed:
            self._record("ended otherwise", former)
            return
        self._vanished_by_host[host_name] = self.workers_by_host.pop(host_name)
        former.vanish(self.timers.now())
        if restart.closes_idle:
            former.close_idle()
        self._record("vanishes", former)
        await gen.sleep(restart.dark_s)
        if self._vanished_by_host.pop(host_name, None) is not former:
            self._record("ended otherwise", former)
            return
        worker = StandInWorker(self, host_name, former.state.pool, former.port, former)
        self.workers_by_host[host_name] = worker
        self._record("returns", worker)
        IOLoop.current().call_later(
            restart.registration_delay_s, self._register_late, worker
        )
        await gen.sleep(restart.cut_after_s)
        worker.is_dark = True
        self._record("is cut off", worker)
        await gen.sleep(restart.cut_s)
        worker.is_dark = False
        self._record("answers again", worker)

    def _register_late(self, worker):
        if not worker.is_closed:
            self.register(worker)
            self._record("registers", worker)

    def _record(self, event, worker):
        self.events.append(WorkerEvent(self.timers.now(), event, worker.worker_id))

    async def execute_order(self, host_name, pool, kind, is_standby):
        """Moves or maintains a host, and starts a new worker unless it is on standby.

        The worker starts ``MOVE_DURATION_S`` later.
        """
        self.host_orders.append((self.timers.now(), kind, host_name, pool))
        if host_name in self.workers_by_host or host_name in self._vanished_by_host:
            self.crash(host_name)
        self.pools_by_host[host_name] = pool
        if not is_standby:
            await gen.sleep(MOVE_DURATION_S)
            if self.pools_by_host[host_name] == pool:
                self._start_worker(host_name, pool)

    def _tick(self, now):
        for worker in self.workers_by_host.values():
            worker.state.tick(now)


class WorkerHandler(RequestHandler):
    """Base of a worker's handlers: unanswered calls and wrong incarnations."""

    def initialize(self, worker):
        """Sets the worker (called by tornado)."""
        self.worker = worker

    async def prepare(self):
        """Holds calls while silent; rejects calls meant for other incarnations."""
        self.worker.busy_streams.add(self.request.connection.stream)
        if not await self.hold_while_silent():
            return
        expected = self.request.headers.get(names.EXPECT_INSTANCE_HEADER)
        if expected not in (None, self.worker.worker_id):
            self.set_status(421)
            self.finish({})

    def on_finish(self):
        """Records that the call is over."""
        self.worker.busy_streams.discard(self.request.connection.stream)

    async def hold_while_silent(self):
        """Waits until the worker may answer; returns False if the caller has left."""
        while self.worker.is_dark or self.worker.is_closed:
            await gen.sleep(SILENCE_CHECK_S)
            if self.request.connection.stream.closed():
                self._finished = True
                return False
        return True

    def body(self):
        """Returns the decoded JSON body."""
        return json.loads(self.request.body)

    def answer(self, result):
        """Sends a result, (status, body)."""
        self.set_status(result[0])
        self.finish(result[1])

    def now(self):
        """Returns the worker's clock in seconds."""
        return self.worker.fleet.timers.now()


class StartHandler(WorkerHandler):
    """``names.RUN_START_PATH``: starts a run."""

    def post(self):
        """Answers 200 if the run is started, 409 with a reason if not."""
        body = self.body()
        result = self.worker.state.start(body, self.now())
        self.answer(result)
        if result[0] == 200 and json.loads(body["spec"]).get("crashes"):
            fleet = self.worker.fleet
            IOLoop.current().add_callback(fleet.crash_and_return, self.worker)


class StopHandler(WorkerHandler):
    """``names.RUN_STOP_PATH``: stops a run."""

    def post(self):
        """Answers at once; the run is listed as ended after ``STOP_DURATION_S``."""
        self.answer(self.worker.state.stop(self.body(), self.now()))


class RenewHandler(WorkerHandler):
    """``names.HOLD_PATH``: renews leases and lists runs (a long poll)."""

    async def post(self):
        """Answers once a run ended or ``waitMs`` passed."""
        body, state = self.body(), self.worker.state
        rejection = state.renew(body, self.now())
        if rejection is not None:
            self.answer(rejection)
            return
        self.worker.long_polls += bool(body.get("waitMs"))
        deadline = self.now() + body.get("waitMs", 0) / 1000
        while not state.ended and self.now() < deadline:
            await gen.sleep(TICK_PERIOD_S)
        if await self.hold_while_silent():
            self.answer((200, state.describe_runs(self.now())))


class MachinesHandler(RequestHandler):
    """``names.MACHINES_PATH``: lists the hosts."""

    def initialize(self, fleet, standby):
        """Sets the fleet and the name of its standby pool (called by tornado)."""
        self.fleet = fleet

    def get(self):
        """Answers all hosts in one page."""
        rows = []
        for name, pool in sorted(self.fleet.pools_by_host.items()):
            worker = self.fleet.workers_by_host.get(name)
            rows.append(
                {
                    "machine": name,
                    "pool": pool,
                    "state": "up",
                    "zone": "z1",
                    "labels": ["a", "r1"],
                    "capacity": {
                        "cpu": CAPACITY_CPU_MILLIS,
                        "memMb": CAPACITY_MEMORY_MB,
                        "gpu": 0,
                    },
                    "id": worker.worker_id if worker is not None else None,
                }
            )
        self.finish({"machines": rows, "nextToken": None})


class HostOrderHandler(RequestHandler):
    """Orders the move or the maintenance of a host."""

    def initialize(self, fleet, standby):
        """Sets the fleet and the name of its standby pool (called by tornado)."""
        self.fleet = fleet
        self.standby = standby

    async def post(self):
        """Answers at once, then executes the order."""
        body = json.loads(self.request.body)
        name = body["machine"]
        if name not in self.fleet.pools_by_host:
            self.set_status(400)
            self.finish({"error": "no such host"})
            return
        pool = body.get("pool") or self.fleet.pools_by_host[name]
        kind = "move" if "pool" in body else "upkeep"
        self.finish({})
        await self.fleet.execute_order(name, pool, kind, pool == self.standby)


def create_cloud_application(fleet, standby):
    """Returns the tornado application of the host service."""
    fields = {"fleet": fleet, "standby": standby}
    return Application(
        [
            (names.MACHINES_PATH, MachinesHandler, fields),
            (names.MACHINE_MOVE_PATH, HostOrderHandler, fields),
            (names.MACHINE_UPKEEP_PATH, HostOrderHandler, fields),
        ]
    )
