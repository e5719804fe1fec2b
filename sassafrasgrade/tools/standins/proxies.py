"""Fault-injecting TCP proxy between any two processes."""

import asyncio
import json
import socket

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from tornado.web import Application, RequestHandler

READ_BYTES = 65_536


class LaneFaults(msgspec.Struct):
    """Faults of one lane, from a listening address to a target.

    Attributes:
        delay_s: Delay of each piece, each way.
        cut: Whether connections are refused and open ones closed.
        hold_forward: Whether bytes towards the target are held back (half-open).
        hold_backward: Whether bytes towards the client are held back.
        reset_after_bytes: Closes after that many answer bytes; 0 for never.
        drop_answers: Connections whose answer is dropped, counted down.
    """

    delay_s: float = 0.0
    cut: bool = False
    hold_forward: bool = False
    hold_backward: bool = False
    reset_after_bytes: int = 0
    drop_answers: int = 0


class Lane(TCPServer):
    """One listening address that forwards to one target."""

    def __init__(self, target_address, target_port):
        super().__init__()
        self.faults = LaneFaults()
        self._target = (target_address, target_port)
        self._open = set()
        self._changed = asyncio.Event()

    def set_faults(self, faults):
        """Takes new faults; a cut closes what is open."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()
        if faults.cut:
            for stream in list(self._open):
                stream.close()

    async def handle_stream(self, client, address):
        """Forwards one connection (called by tornado)."""
        if self.faults.cut:
            client.close()
            return
        target = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await target.connect(self._target)
        except (StreamClosedError, OSError):
            client.close()
            return
        for stream in (client, target):
            stream.set_nodelay(True)
            self._open.add(stream)
        await asyncio.gather(
            self._copy(client, target, forward=True),
            self._copy(target, client, forward=False),
        )
        self._open.discard(client)
        self._open.discard(target)

    async def _copy(self, source, sink, forward):
        passed = 0
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._holds(forward):
                    await self._changed.wait()
                if not forward and self.faults.drop_answers > 0:
                    self.faults.drop_answers -= 1
                    break
                limit = self.faults.reset_after_bytes
                if not forward and limit and passed + len(data) >= limit:
                    await sink.write(data[: limit - passed])
                    break
                passed += len(data)
                await sink.write(data)
        except StreamClosedError:
            pass
        source.close()
        sink.close()

    def _holds(self, forward):
        return self.faults.hold_forward if forward else self.faults.hold_backward


class LaneHandler(RequestHandler):
    """``/lanes/<name>``: sets the faults of a lane; ``*`` for all."""

    def initialize(self, lanes_by_name):
        """Called by tornado."""
        self._lanes_by_name = lanes_by_name

    def get(self, name):
        """Lists the lanes."""
        self.write(json.dumps(sorted(self._lanes_by_name)))

    def post(self, name):
        """Sets faults of the lanes whose name matches."""
        for lane_name, lane in self._lanes_by_name.items():
            if name in ("*", lane_name):
                lane.set_faults(msgspec.json.decode(self.request.body, type=LaneFaults))


class ProxyStandIn:
    """Several lanes and their control interface.

    Args:
        lanes: (name, address, port, target address, target port) of each.
        control_address: IP address of the control interface.
        control_port: Its port.
    """

    def __init__(self, lanes, control_address, control_port):
        self.lanes_by_name = {}
        self._listens = []
        for name, address, port, target_address, target_port in lanes:
            lane = Lane(target_address, target_port)
            self.lanes_by_name[name] = lane
            self._listens.append((lane, port, address))
        self._control = HTTPServer(
            Application(
                [(r"/lanes/(.+)", LaneHandler, {"lanes_by_name": self.lanes_by_name})]
            )
        )
        self._control_port = control_port
        self._control_address = control_address

    def start(self):
        """Starts to listen on all lanes."""
        for lane, port, address in self._listens:
            lane.listen(port, address)
        self._control.listen(self._control_port, self._control_address)

    def stop(self):
        """Stops listening."""
        for lane, _, _ in self._listens:
            lane.stop()
        self._control.stop()
