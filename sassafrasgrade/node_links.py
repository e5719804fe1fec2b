"""Streams between nodes: each node has one to the leader."""

import asyncio
import logging

from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from sassafrasgrade.node_messages import (
    HeardQuestion,
    HeardReply,
    NodeHello,
    NodeMessage,
    RouteReply,
    StateReply,
)
from sassafrasgrade.streams import Link, MessageServer

logger = logging.getLogger(__name__)

# Timeout of a question to the leader about a job or a route, in seconds.
QUESTION_TIMEOUT_S = 0.3
# Timeout of a question to another node about the leader or itself, in seconds.
NODE_QUESTION_TIMEOUT_S = 0.4
# Time without a message from the leader after which the stream is reopened, in
# seconds.
RECONNECT_AFTER_S = 1.5


class LeaderLink:
    """This node's stream to the leader.

    Args:
        node: The ``Node``.
        leader: ``LeaderRecord``.
    """

    def __init__(self, node, leader):
        self._node = node
        self.leader = leader
        self._questions_by_number = {}
        self._next_number = 0
        self._stream_active_at = self._last_message_at = node.timers.now()
        self._is_leader_confirmed = False
        address, _, port = leader.address.rpartition(":")
        self._link = Link(
            address,
            int(port),
            NodeMessage,
            self._send_hello,
            self._handle,
            self._on_close,
        )
        self._link.start()

    def silent_s(self, now):
        """Returns the seconds since the last message from the leader."""
        return now - self._last_message_at

    def close(self):
        """Closes the stream; pending questions get no answer."""
        self._link.close()
        self._fail_questions()

    def send(self, message):
        """Sends a message if the stream is open; returns whether it was."""
        return self._link.send(message)

    async def ask(self, create_question):
        """Asks the leader; returns its reply, or None without one.

        Args:
            create_question: Function that returns the message for a number.
        """
        self._next_number += 1
        number = self._next_number
        if not self._is_leader_confirmed or not self.send(create_question(number)):
            return None
        future = Future()
        self._questions_by_number[number] = future
        timeout = IOLoop.current().call_later(
            QUESTION_TIMEOUT_S, self._resolve, number, None
        )
        try:
            return await future
        finally:
            IOLoop.current().remove_timeout(timeout)

    def send_heartbeat(self, now):
        """Sends a heartbeat to the leader; resets the stream if it is unresponsive."""
        if self._link.is_open and now - self._stream_active_at > RECONNECT_AFTER_S:
            logger.info("dependency lost", extra={"dependency": "leader stream"})
            self._stream_active_at = now
            self._link.reset()
        self.send(self._node.create_heartbeat())

    def _send_hello(self, link):
        self._stream_active_at = self._node.timers.now()
        link.send(NodeHello(self._node.settings.node_name, self._node.incarnation, 0))

    def _handle(self, message):
        self._stream_active_at = self._last_message_at = self._node.timers.now()
        if isinstance(message, NodeHello):
            self._is_leader_confirmed = message.incarnation == self.leader.incarnation
            if not self._is_leader_confirmed:
                self._node.record_leader_death(self.leader.incarnation)
        elif isinstance(message, StateReply | RouteReply):
            self._resolve(message.number, message)
        else:
            self._node.handle_leader_message(message)

    def _on_close(self):
        self._is_leader_confirmed = False
        self._fail_questions()

    def _fail_questions(self):
        for number in list(self._questions_by_number):
            self._resolve(number, None)

    def _resolve(self, number, reply):
        future = self._questions_by_number.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)


async def ask_leader_silence(address, incarnation):
    """Asks a node for the time since its last message from the leader.

    Args:
        address: IP address and port of the node's streams.
        incarnation: Incarnation of that leader.

    Returns:
        Seconds, negative if the node has no stream to that leader, or None if it
        did not answer.
    """
    reply = await _receive_first(address, HeardReply, HeardQuestion(incarnation))
    return reply.silent_s if reply is not None else None


async def ask_hello(address):
    """Asks who serves an address now, on a connection of its own.

    Args:
        address: IP address and port of a node's streams.

    Returns:
        ``NodeHello`` of the process that accepted the connection, or None if none
        answered.
    """
    return await _receive_first(address, NodeHello)


async def _receive_first(address, reply_type, question=None):
    """Returns the first message of a type on a new stream; None if none came."""
    future = Future()

    def handle(message):
        if isinstance(message, reply_type) and not future.done():
            future.set_result(message)

    def ask(link):
        if question is not None:
            link.send(question)

    host, _, port = address.rpartition(":")
    link = Link(host, int(port), NodeMessage, ask, handle, lambda: None)
    link.start()
    try:
        return await asyncio.wait_for(future, NODE_QUESTION_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        link.close()


class NodeServer:
    """Accepts other nodes' streams.

    Args:
        node: The ``Node``.
    """

    def __init__(self, node):
        self._node = node
        self._streams = set()
        self._server = MessageServer(NodeMessage, self._add)

    def listen(self, port, address):
        """Starts listening."""
        self._server.listen(port, address)

    def close(self):
        """Closes all streams."""
        self._server.close()

    def send_all(self, message):
        """Sends a message to every connected node."""
        for stream in self._streams:
            stream.send(message)

    def _add(self, stream):
        self._streams.add(stream)
        stream.send(
            NodeHello(
                self._node.settings.node_name,
                self._node.incarnation,
                self._node.leadership.token,
            )
        )

        def handle(message):
            if not isinstance(message, NodeHello):
                self._node.handle_node_message(message, stream)

        return handle, lambda: self._streams.discard(stream)
