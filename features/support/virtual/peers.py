"""Simulated streams between nodes, in place of ``streams.Link`` and its server."""

import msgspec
from tornado.ioloop import IOLoop

RECONNECT_DELAY_S = 0.25
CONNECT_TIMEOUT_S = 2.0


class PeerStream:
    """One end of a connection between two nodes; messages arrive in order."""

    def __init__(self, world, owner, other_name):
        self._number = next(world.stream_numbers)
        self._world = world
        self._owner = owner
        self._other_name = other_name
        self.other = None
        self.is_closed = False
        self.on_message = self.on_close = lambda *arguments: None
        self._last_arrival = 0.0

    def __hash__(self):
        """Returns its number: nodes keep sets of streams, and send in their order."""
        return self._number

    def send(self, message):
        """Sends a message, unless the connection is closed."""
        if self.is_closed or not self._owner.is_alive:
            return
        network = self._world.network
        at = network.arrival_at(self._owner.name, self._other_name)
        at = self._last_arrival = max(at, self._last_arrival + 1e-6)
        data = msgspec.msgpack.encode(message)
        if not self._world.loses_message(self._owner, self._other_name, message):
            self._world.at(at, self.other.receive, data)

    def receive(self, data):
        """Delivers a message to the node at this end."""
        if not self.is_closed and self._owner.is_alive:
            self._owner.loop.call_soon(self._deliver, data)

    def _deliver(self, data):
        if not self.is_closed:
            self.on_message(
                msgspec.msgpack.decode(data, type=self._world.message_types)
            )

    def close(self):
        """Closes this end, and soon the other."""
        if self.is_closed:
            return
        self._end()
        network = self._world.network
        at = network.arrival_at(self._owner.name, self._other_name)
        self._world.at(at, self.other.notice_close)

    def notice_close(self):
        """The other end has closed."""
        if not self.is_closed and self._owner.is_alive:
            self._owner.loop.call_soon(self._end)

    def _end(self):
        if not self.is_closed:
            self.is_closed = True
            self.on_close()


class VirtualServer:
    """Takes the place of ``MessageServer``."""

    world = None

    def __init__(self, message_types, on_stream):
        self._on_stream = on_stream
        self.streams = []

    def listen(self, port, address):
        """Begins to listen; the world finds it by its address."""

    def accept(self, stream):
        """Takes a new connection."""
        on_message, on_close = self._on_stream(stream)
        stream.on_message, stream.on_close = on_message, on_close
        self.streams.append(stream)

    def close(self):
        """Closes all connections."""
        for stream in self.streams:
            stream.close()


class VirtualLink:
    """Takes the place of ``Link``: connects again until it is closed."""

    world = None

    def __init__(self, address, port, message_types, on_open, on_message, on_close):
        self._address = f"{address}:{port}"
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._owner = self.world.current
        self._stream = None
        self._is_closing = False

    @property
    def is_open(self):
        """Whether the connection is up."""
        return self._stream is not None and not self._stream.is_closed

    def start(self):
        """Starts connecting."""
        IOLoop.current().add_callback(self._connect)

    def send(self, message):
        """Sends a message if the connection is up; returns whether it is."""
        if not self.is_open:
            return False
        self._stream.send(message)
        return True

    def reset(self):
        """Closes the connection; the link then connects again."""
        if self._stream is not None:
            self._stream.close()

    def close(self):
        """Closes the connection for good."""
        self._is_closing = True
        if self._stream is not None:
            self._stream.close()

    def _connect(self):
        if self._is_closing:
            return
        world, owner = self.world, self._owner
        peer = world.node_at(self._address)
        network = world.network
        if peer is None:
            IOLoop.current().call_later(RECONNECT_DELAY_S, self._connect)
            return
        there = network.arrival_at(owner.name, peer.name)
        back = network.open_at(peer.name, owner.name)
        at = max(there, back) + network.delay_s(peer.name, owner.name)
        if at > world.now + CONNECT_TIMEOUT_S:
            delay_s = CONNECT_TIMEOUT_S + RECONNECT_DELAY_S
            IOLoop.current().call_later(delay_s, self._connect)
            return
        world.at(at, self._open, peer)

    def _open(self, peer):
        if not self._owner.is_alive or self._is_closing:
            return
        if not peer.is_alive:
            self._owner.loop.call_later(RECONNECT_DELAY_S, self._connect)
            return
        here = PeerStream(self.world, self._owner, peer.name)
        there = PeerStream(self.world, peer, self._owner.name)
        here.other, there.other = there, here
        here.on_message = self._on_message
        here.on_close = self._handle_close
        self._stream = here
        peer.loop.call_soon(peer.accept, there)
        self._owner.loop.call_soon(self._on_open, self)

    def _handle_close(self):
        self._on_close()
        if not self._is_closing:
            self._owner.loop.call_later(RECONNECT_DELAY_S, self._connect)
