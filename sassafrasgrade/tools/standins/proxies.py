"""TCP proxy that injects faults between two processes."""

import asyncio
import json
import socket

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from tornado.web import Application, RequestHandler

READ_CHUNK_BYTES = 65_536


class LaneFaults(msgspec.Struct):
    """Faults of one lane, from a listening address to a target.

    Attributes:
        delay_s: Delay of each chunk, in both directions.
        cut: Whether connections are refused and open ones closed.
        hold_forward: Whether bytes to the target are held back (half-open).
        hold_backward: Whether bytes to the client are held back.
        reset_after_bytes: Answer bytes after which a connection is closed; 0 for never.
        drop_answers: Number of connections still to close when answer bytes arrive.
        bytes_per_s: Bandwidth to the client, shared by all connections of the lane; 0
            for no limit.
    """

    delay_s: float = 0.0
    cut: bool = False
    hold_forward: bool = False
    hold_backward: bool = False
    reset_after_bytes: int = 0
    drop_answers: int = 0
    bytes_per_s: float = 0.0


class Lane(TCPServer):
    """A listening address whose connections are forwarded to one target."""

    def __init__(self, target_address, target_port):
        super().__init__()
        self.faults = LaneFaults()
        self._target = (target_address, target_port)
        self._open_streams = set()
        self._faults_changed = asyncio.Event()
        self._link = asyncio.Lock()

    def set_faults(self, faults):
        """Replaces the faults; a cut closes the open connections."""
        self.faults = faults
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        if faults.cut:
            for stream in list(self._open_streams):
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
            self._open_streams.add(stream)
        await asyncio.gather(
            self._copy(client, target, forward=True),
            self._copy(target, client, forward=False),
        )
        self._open_streams.discard(client)
        self._open_streams.discard(target)

    async def _copy(self, source, sink, forward):
        forwarded_bytes = 0
        try:
            while True:
                data = await source.read_bytes(READ_CHUNK_BYTES, partial=True)
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._is_held(forward):
                    await self._faults_changed.wait()
                if not forward and self.faults.bytes_per_s:
                    await self._pass_link(len(data))
                if not forward and self.faults.drop_answers > 0:
                    self.faults.drop_answers -= 1
                    break
                limit = self.faults.reset_after_bytes
                if not forward and limit and forwarded_bytes + len(data) >= limit:
                    await sink.write(data[: limit - forwarded_bytes])
                    break
                forwarded_bytes += len(data)
                await sink.write(data)
        except StreamClosedError:
            pass
        source.close()
        sink.close()

    async def _pass_link(self, size):
        """Waits until the lane's bandwidth has carried ``size`` bytes."""
        async with self._link:
            # The faults may have changed while other connections used the link.
            if self.faults.bytes_per_s:
                await asyncio.sleep(size / self.faults.bytes_per_s)

    def _is_held(self, forward):
        return self.faults.hold_forward if forward else self.faults.hold_backward


class LaneHandler(RequestHandler):
    """``/lanes/<name>``: sets the faults of one lane, or of all with ``*``."""

    def initialize(self, lanes_by_name):
        """Sets the lanes (called by tornado)."""
        self._lanes_by_name = lanes_by_name

    def get(self, name):
        """Answers the names of all lanes."""
        self.write(json.dumps(sorted(self._lanes_by_name)))

    def post(self, name):
        """Sets the faults of the matching lanes."""
        for lane_name, lane in self._lanes_by_name.items():
            if name in ("*", lane_name):
                lane.set_faults(msgspec.json.decode(self.request.body, type=LaneFaults))


class ProxyStandIn:
    """Several lanes with a control interface.

    Args:
        lanes: (name, address, port, target address, target port) of each.
        control_address: IP address of the control interface.
        control_port: TCP port of the control interface.
    """

    def __init__(self, lanes, control_address, control_port):
        self.lanes_by_name = {}
        self._listeners = []
        for name, address, port, target_address, target_port in lanes:
            lane = Lane(target_address, target_port)
            self.lanes_by_name[name] = lane
            self._listeners.append((lane, port, address))
        self._control = HTTPServer(
            Application(
                [(r"/lanes/(.+)", LaneHandler, {"lanes_by_name": self.lanes_by_name})]
            )
        )
        self._control_port = control_port
        self._control_address = control_address

    def start(self):
        """Starts to listen on all lanes and on the control interface."""
        for lane, port, address in self._listeners:
            lane.listen(port, address)
        self._control.listen(self._control_port, self._control_address)

    def stop(self):
        """Stops listening."""
        for lane, _, _ in self._listeners:
            lane.stop()
        self._control.stop()
