"""A simulated site: nodes, workers, store, jobs and faults in virtual time."""

import contextlib
import heapq
import itertools
import logging
import random
from dataclasses import dataclass

import msgspec

from features.support.virtual.checks import Checker
from features.support.virtual.clouds import SimulatedCloud
from features.support.virtual.jobs import HOST, PREFIX, JobStream
from features.support.virtual.networks import Network
from features.support.virtual.nodes import SimulatedNode, patch_node_modules
from features.support.virtual.stores import SimulatedStore
from sassafrasgrade.node_messages import HandOver, NodeMessage
from sassafrasgrade.platform import names

UNIX_S = 1_900_000_000.0
POOLS = ("pool-1", "pool-2")
# Fields of a log record that are not the program's own.
_PLAIN = set(vars(logging.LogRecord("", 0, "", 0, "", (), None))) | {"message"}


@dataclass(frozen=True)
class Size:
    """Size of a simulated site and length of its run.

    Attributes:
        nodes: Number of nodes.
        workers: Number of workers.
        seconds: Length of the run.
        job_period_s: Mean time between two jobs, in seconds.
        long_share: Share of the tasks that take many seconds.
    """

    nodes: int = 3
    workers: int = 4
    seconds: float = 45.0
    job_period_s: float = 0.4
    long_share: float = 0.0


@dataclass(frozen=True)
class Line:
    """One line of the report: when, what, and the worker, task or job it names."""

    at: float
    kind: str
    text: str
    worker: str = ""
    task: str = ""
    job: str = ""


class LineHandler(logging.Handler):
    """Adds the nodes' log records to the lines of the world."""

    def __init__(self, world):
        super().__init__(logging.INFO)
        self._world = world

    def emit(self, record):
        """Adds one record."""
        world = self._world
        fields = {k: v for k, v in vars(record).items() if k not in _PLAIN}
        node = world.current.name if world.current else "?"
        if record.levelno >= logging.ERROR:
            world.errors.append(f"{record.getMessage()} {record.exc_info}")
        text = f"{node}: {record.getMessage()} {fields}"
        if record.exc_info:
            text += f" {record.exc_info[1]!r}"
        lines = world.lines
        task, job = fields.get("task") or "", fields.get("job") or ""
        worker = str(fields.get("worker") or "")
        lines.append(Line(world.now, "log", text, worker, task, job))
        if record.msg == "leadership gained":
            world.note_takeover()


@contextlib.contextmanager
def _logged(logger, world):
    handler, level, propagates = LineHandler(world), logger.level, logger.propagate
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagates


class World:
    """Runs nodes and simulated peers in one virtual time.

    Args:
        seed: Seed of everything random.
        size: ``Size``.
    """

    def __init__(self, seed, size):
        self.now = 0.0
        self.unix_s = UNIX_S
        self.size = size
        self.lines, self.errors = [], []
        self.current = None
        self.message_types = NodeMessage
        self.takeovers = 0
        self.on_takeover = []
        self.lost_handover_until = 0.0
        self.stream_numbers = itertools.count()
        self._heap = []
        self._numbers = itertools.count()
        self._seed = seed
        self.worker_random = self._random("workers")
        self.network = Network(self, self._random("network"))
        self.store = SimulatedStore(self, self._random("store"))
        self.checker = Checker(self)
        self.cloud = SimulatedCloud(self, self._random("cloud"))
        self.jobs = JobStream(
            self,
            self._random("jobs"),
            size.job_period_s,
            size.seconds - 5.0,
            size.long_share,
        )
        self.nodes = [SimulatedNode(self, number) for number in range(size.nodes)]
        self._version = 0
        self._pools_by_queue = {"q1": POOLS[0], "q2": POOLS[0]}

    def _random(self, purpose):
        return random.Random(f"{self._seed}/{purpose}")

    def at(self, when, function, *arguments):
        """Calls a function at a simulated time."""
        entry = (max(when, self.now), next(self._numbers), function, arguments)
        heapq.heappush(self._heap, entry)

    def every(self, period_s, function):
        """Calls a function again and again."""

        def again():
            function()
            self.at(self.now + period_s, again)

        self.at(self.now + period_s, again)

    def log(self, kind, text, worker="", task=""):
        """Adds a line to the report."""
        self.lines.append(Line(self.now, kind, text, worker, task))

    def run(self, faults):
        """Plays the whole time with a schedule of faults.

        Args:
            faults: Objects with ``arm(world)``.
        """
        random.seed(self._seed)
        with contextlib.ExitStack() as stack:
            for patch in patch_node_modules(self):
                stack.enter_context(patch)
            for name in ("sassafrasgrade", "tornado.application"):
                stack.enter_context(_logged(logging.getLogger(name), self))
            try:
                self._play(faults)
            finally:
                for node in self.nodes:
                    if node.is_alive:
                        node.loop.discard()

    def _play(self, faults):
        self.configure({})
        for number in range(self.size.workers):
            self.cloud.add_machine(f"machine-{number}", POOLS[number >= 3])
        for node in self.nodes:
            self.at(0.05 * node.number, node.start)
        self.at(1.5, self.jobs.start)
        for fault in faults:
            fault.arm(self)
        while True:
            at = min(node.next_time() for node in self.nodes)
            if self._heap:
                at = min(at, self._heap[0][0])
            if at > self.size.seconds:
                return
            self.now = max(self.now, at)
            self._run_due()

    def _run_due(self):
        while self._heap and self._heap[0][0] <= self.now:
            _, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        for node in self.nodes:
            if node.next_time() <= self.now:
                node.step()

    # What faults and peers ask for.

    def configure(self, pools_by_queue):
        """Writes a newer configuration, in which queues may have other pools."""
        self._version += 1
        self._pools_by_queue |= pools_by_queue
        queues = [
            {"name": n, "host": HOST, "prefix": f"{PREFIX}{n[1:]}/", "service": pool}
            | {"maxAttempts": 4, "targetDurationMs": 3000, "stretch": 1.6}
            for n, pool in self._pools_by_queue.items()
        ]
        value = {
            "version": self._version,
            "routes": queues,
            "services": [{"name": pool} for pool in POOLS],
        }
        self.store.put(names.CONFIGURATION_KEY, msgspec.json.encode(value))

    def leader(self):
        """Returns the node that leads, as far as it knows; the newest of several."""
        leaders = [n for n in self.nodes if n.is_alive and n.dispatcher is not None]
        return max(leaders, key=lambda n: n.node.leadership.token, default=None)

    def node_at(self, address):
        """Returns the node whose process listens at an address, or None."""
        for node in self.nodes:
            if node.address == address and node.is_alive:
                return node
        return None

    def loses_message(self, sender, receiver, message):
        """Whether a message between nodes is lost."""
        return isinstance(message, HandOver) and self.now < self.lost_handover_until

    def forget_calls(self, node):
        """Forgets the connections of a node that has ended."""
        for key in list(self.network.idle):
            if key[0] == node.name:
                self.network.idle[key] = self.network.silent[key] = 0
        calls = self.network.calls
        self.network.calls = [call for call in calls if call.node is not node]

    def note_takeover(self):
        """Starts the faults that wait for a takeover."""
        self.takeovers += 1
        if self.takeovers > 1:
            waiting, self.on_takeover = self.on_takeover, []
            for function in waiting:
                self.at(self.now, function)
