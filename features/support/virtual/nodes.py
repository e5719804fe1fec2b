"""Real nodes on simulated time: the program's own wiring, without its sockets."""

from unittest import mock

from features.support.virtual.clouds import CLOUD_ADDRESS
from features.support.virtual.loops import VirtualIOLoop, VirtualLoop, VirtualTimers
from features.support.virtual.networks import VirtualHttp
from features.support.virtual.peers import VirtualLink, VirtualServer
from features.support.virtual.stores import STORE_ADDRESS
from sassafrasgrade import dispatchers, leaderships, node_links, nodes
from sassafrasgrade.node_messages import NodeMessage
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.nodes import HEARTBEAT_PERIOD_S, Node

MESSAGE_TYPES = NodeMessage


class VirtualTime:
    """Takes the place of the module ``time`` in the node's modules."""

    CLOCK_BOOTTIME = 7

    def __init__(self, clock):
        self.monotonic = clock

    def clock_gettime(self, clock_id):
        """Returns the simulated time: no host is ever suspended."""
        return self.monotonic()


def patch_node_modules(world):
    """Returns a context in which nodes use simulated streams, clients and clocks."""
    clock = VirtualTime(lambda: world.now)
    VirtualLink.world = world
    patches = mock.patch.multiple(
        nodes, create_http_client=lambda clients: world.current.http
    )
    stack = [
        patches,
        mock.patch.object(nodes, "HTTPServer", mock.MagicMock()),
        mock.patch.object(nodes, "ClientsDelegate", mock.Mock()),
        mock.patch.object(node_links, "Link", VirtualLink),
        mock.patch.object(node_links, "MessageServer", VirtualServer),
        mock.patch.object(leaderships, "time", clock),
        mock.patch.object(dispatchers, "time", clock),
    ]
    return stack


class SimulatedNode:
    """A machine for node processes; runs one process at a time.

    Args:
        world: The ``World``.
        number: Its number.
    """

    def __init__(self, world, number):
        self._world = world
        self.number = number
        self.name = f"node-{number}"
        self.address = f"10.0.2.{number + 1}:7430"
        self.node = None
        self.loop = None
        self.http = None
        self.is_alive = False
        self.frozen_until = 0.0
        self._starts = 0

    @property
    def is_running(self):
        """Whether its process runs and is not frozen."""
        return self.is_alive and self._world.now >= self.frozen_until

    @property
    def dispatcher(self):
        """Its dispatcher while it leads, else None."""
        return self.node._dispatcher if self.is_alive else None

    def start(self):
        """Starts a process."""
        world = self._world
        self._starts += 1
        self.is_alive = True
        self.loop = VirtualLoop(lambda: world.now)
        self.http = VirtualHttp(self, world.network)
        settings = check_node_settings(
            {
                "NODE_NAME": self.name,
                "NODE_DATA_CENTRE": "z1",
                "NODE_ADDRESS": self.address.partition(":")[0],
                "NODE_CORES": 2.0,
                "NODE_LINK_MBPS": 100.0,
                "STORE_ADDRESS": STORE_ADDRESS,
                "CLOUD_ADDRESS": CLOUD_ADDRESS,
            }
        ).unwrap()
        offset_s = 1000.0 * (self.number + 1) + 100.0 * self._starts
        timers = VirtualTimers(lambda: world.now, offset_s, world.unix_s)
        self.run_inside(self._create, settings, timers)
        world.log("node", f"{self.name} starts")

    def _create(self, settings, timers):
        VirtualIOLoop()
        node = self.node = Node(settings, timers)
        node.leadership.incarnation = node.incarnation = f"{self.name}.{self._starts}"
        node._operator_keys.start()
        node.leadership.start()
        timers.subscribe(HEARTBEAT_PERIOD_S, node._send_heartbeats)

    def accept(self, stream):
        """Takes a connection of another node."""
        self.node._server._server.accept(stream)

    def kill(self):
        """Ends the process at once."""
        if not self.is_alive:
            return
        self._world.log("node", f"{self.name} is killed")
        self.is_alive = False
        for stream in list(self.node._server._server.streams):
            self._close_other_end(stream)
        self.loop.discard()
        self._world.forget_calls(self)

    def _close_other_end(self, stream):
        at = self._world.network.arrival_at(self.name, stream.other._owner.name)
        self._world.at(at, stream.other.notice_close)

    def stop_gracefully(self):
        """Hands over and ends the process."""

        async def stop():
            await self.node.stop()
            self._world.at(self._world.now, self.kill)

        if self.is_running:
            self._world.log("node", f"{self.name} is told to stop")
            self.run_soon(stop)

    def run_soon(self, function):
        """Calls a coroutine function in the process."""
        self.run_inside(lambda: self.loop.create_task(function()))

    def run_inside(self, function, *arguments):
        """Calls a function in the process."""
        previous, self._world.current = self._world.current, self
        try:
            return self.loop.run_inside(function, *arguments)
        finally:
            self._world.current = previous

    def next_time(self):
        """Returns when the process has something to do."""
        if not self.is_alive:
            return float("inf")
        return max(self.loop.next_time(), self.frozen_until)

    def step(self):
        """Runs what is due in the process."""
        previous, self._world.current = self._world.current, self
        try:
            self.loop.step()
        finally:
            self._world.current = previous
