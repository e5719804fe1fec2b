"""Streams of msgpack messages between the system's processes."""

import asyncio
import logging
import socket
from dataclasses import dataclass
from functools import cache

import msgpack
import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

logger = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_BUFFER_BYTES = 32 * 1024 * 1024
READ_CHUNK_BYTES = 65_536
RECONNECT_DELAY_S = 0.25
CONNECT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Traffic:
    """Bytes sent and received on all streams of the process."""

    sent: int = 0
    received: int = 0


TRAFFIC = Traffic()


class MessageStream:
    """One connection that carries typed messages both ways.

    Args:
        stream: The connected ``IOStream``.
        message_types: Union of the message types expected.
    """

    def __init__(self, stream, message_types):
        self._stream = stream
        self._decoder = _decoder_of(message_types)
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        stream.set_nodelay(True)

    @property
    def is_closed(self):
        """Whether the connection is closed."""
        return self._stream.closed()

    def send(self, message):
        """Queues a message, or drops it if the connection is closed.

        Raises:
            StreamBufferFullError: If the peer reads so slowly that the write buffer
                is full.
        """
        if self._stream.closed():
            return
        # A message is sent as one binary value, so that it is decoded directly
        # into its type, without intermediate lists and dicts.
        data = msgpack.packb(msgspec.msgpack.encode(message))
        TRAFFIC.sent += len(data)
        try:
            self._stream.write(data).add_done_callback(_ignore_closed)
        except StreamClosedError:
            pass

    async def receive(self, on_message):
        """Calls ``on_message`` for each message until the connection closes."""
        try:
            while True:
                data = await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
                TRAFFIC.received += len(data)
                self._unpacker.feed(data)
                for value in self._unpacker:
                    _deliver(on_message, self._decoder.decode(value))
        except StreamClosedError:
            return
        except (
            msgspec.DecodeError,
            msgpack.UnpackException,
            TypeError,
            ValueError,
            RecursionError,
        ) as error:
            logger.warning(
                "closing a stream that received an invalid message: %s", error
            )
            self.close()

    def close(self):
        """Closes the connection."""
        self._stream.close()


def _deliver(on_message, message):
    """Passes a message on; an error in its handling concerns only this message."""
    try:
        on_message(message)
    except Exception:
        logger.exception("message not handled: %s", type(message).__name__)


@cache
def _decoder_of(message_types):
    return msgspec.msgpack.Decoder(message_types)


def _ignore_closed(future):
    if not future.cancelled():
        future.exception()


class MessageServer(TCPServer):
    """TCP server of message streams.

    Args:
        message_types: Union of the message types expected.
        on_stream: Called with each new ``MessageStream``; returns the callbacks
            (on_message, on_close).
    """

    def __init__(self, message_types, on_stream):
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self._types = message_types
        self._on_stream = on_stream
        self._streams = set()

    async def handle_stream(self, stream, address):
        """Serves one connection (called by tornado)."""
        stream.max_write_buffer_size = MAX_BUFFER_BYTES
        message_stream = MessageStream(stream, self._types)
        self._streams.add(message_stream)
        on_message, on_close = self._on_stream(message_stream)
        try:
            await message_stream.receive(on_message)
        finally:
            message_stream.close()
            self._streams.discard(message_stream)
            on_close()

    def close(self):
        """Stops listening and closes all connections."""
        self.stop()
        for stream in list(self._streams):
            stream.close()


class Link:
    """An outgoing connection that reconnects until it is closed.

    Args:
        address: IP address of the peer.
        port: TCP port of the peer.
        message_types: Union of the message types expected.
        on_open: Called with the link after each connect.
        on_message: Called with each message.
        on_close: Called each time an open connection is closed or lost.
    """

    def __init__(self, address, port, message_types, on_open, on_message, on_close):
        self._address = address
        self._port = port
        self._types = message_types
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._stream = None
        self._closing = False

    @property
    def address(self):
        """IP address of the peer."""
        return self._address

    @property
    def is_open(self):
        """Whether the connection is up."""
        return self._stream is not None and not self._stream.is_closed

    def start(self):
        """Starts connecting."""
        IOLoop.current().add_callback(self._run)

    def send(self, message):
        """Sends a message if the connection is up; returns whether it is."""
        if not self.is_open:
            return False
        self._stream.send(message)
        return True

    def reset(self):
        """Closes an unresponsive connection; the link then reconnects."""
        if self._stream is not None:
            self._stream.close()

    def close(self):
        """Closes the connection without reconnecting."""
        self._closing = True
        if self._stream is not None:
            self._stream.close()

    async def _run(self):
        if self._closing:
            return
        stream = await self._connect()
        if stream is not None:
            self._stream = MessageStream(stream, self._types)
            self._on_open(self)
            await self._stream.receive(self._on_message)
            self._stream.close()
            self._stream = None
            self._on_close()
        if not self._closing:
            IOLoop.current().call_later(RECONNECT_DELAY_S, self._run)

    async def _connect(self):
        family = socket.AF_INET6 if ":" in self._address else socket.AF_INET
        stream = IOStream(
            socket.socket(family, socket.SOCK_STREAM),
            max_write_buffer_size=MAX_BUFFER_BYTES,
        )
        try:
            await asyncio.wait_for(
                stream.connect((self._address, self._port)), CONNECT_TIMEOUT_S
            )
        except (StreamClosedError, OSError, TimeoutError):
            stream.close()
            return None
        if self._closing:
            stream.close()
            return None
        return stream
