"""Streams between nodes: each node keeps one to the leader."""

import asyncio
import logging

from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from sassafrasgrade.node_messages import (
    HeardQuestion,
    HeardReply,
    NodeBeat,
    NodeHello,
    NodeMessage,
    StateQuestion,
    StateReply,
)
from sassafrasgrade.streams import Link, MessageServer

logger = logging.getLogger(__name__)

# Longest wait for the leader's answer to a question, in seconds.
QUESTION_TIMEOUT_S = 0.3
# Longest wait for another node's word on the leader, in seconds.
HEARD_TIMEOUT_S = 0.4
# Silence of the leader's stream after which it is opened again, in seconds.
SILENCE_S = 1.5


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
        self._heard_at = self._spoke_at = node.timers.now()
        self._is_greeted = False
        address, _, port = leader.address.rpartition(":")
        self._link = Link(
            address,
            int(port),
            NodeMessage,
            self._greet,
            self._take,
            self._note_close,
        )
        self._link.start()

    def silent_s(self, now):
        """Returns for how long the leader was not heard, in seconds."""
        return now - self._spoke_at

    def close(self):
        """Closes the stream; questions under way get no answer."""
        self._link.close()
        self._fail_questions()

    def send(self, message):
        """Sends a message if the stream is up; returns whether it was."""
        return self._link.send(message)

    async def ask_state(self, job_id):
        """Asks for a job's state; empty if the leader does not know it."""
        self._next_number += 1
        number = self._next_number
        if not self._is_greeted or not self.send(StateQuestion(number, job_id)):
            return ""
        future = Future()
        self._questions_by_number[number] = future
        timeout = IOLoop.current().call_later(
            QUESTION_TIMEOUT_S, self._resolve, number, ""
        )
        try:
            return await future
        finally:
            IOLoop.current().remove_timeout(timeout)

    def beat(self, now):
        """Tells the leader how this node is; drops a stream that went silent."""
        if self._link.is_open and now - self._heard_at > SILENCE_S:
            logger.info("dependency lost", extra={"dependency": "leader stream"})
            self._heard_at = now
            self._link.reset()
        self.send(
            NodeBeat(self._node.configuration_version(), self._node.store_silent_s())
        )

    def _greet(self, link):
        self._heard_at = self._node.timers.now()
        link.send(NodeHello(self._node.settings.node_name, self._node.incarnation, 0))

    def _take(self, message):
        self._heard_at = self._spoke_at = self._node.timers.now()
        if isinstance(message, NodeHello):
            self._is_greeted = message.incarnation == self.leader.incarnation
            if not self._is_greeted:
                self._node.note_leader_dead(self.leader.incarnation)
        elif isinstance(message, StateReply):
            self._resolve(message.number, message.state)
        else:
            self._node.take_leader_message(message)

    def _note_close(self):
        self._is_greeted = False
        self._fail_questions()

    def _fail_questions(self):
        for number in list(self._questions_by_number):
            self._resolve(number, "")

    def _resolve(self, number, state):
        future = self._questions_by_number.pop(number, None)
        if future is not None and not future.done():
            future.set_result(state)


async def ask_heard(address, incarnation):
    """Asks a node how long it has not heard the leader.

    Args:
        address: IP address and port of the node's streams.
        incarnation: Incarnation of the leader meant.

    Returns:
        Seconds, or None without an answer.
    """
    future = Future()

    def take(message):
        if isinstance(message, HeardReply) and not future.done():
            future.set_result(message.silent_s)

    def ask(link):
        link.send(HeardQuestion(incarnation))

    host, _, port = address.rpartition(":")
    link = Link(host, int(port), NodeMessage, ask, take, lambda: None)
    link.start()
    try:
        return await asyncio.wait_for(future, HEARD_TIMEOUT_S)
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
        """Sends a message to every node linked here."""
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

        def take(message):
            if not isinstance(message, NodeHello):
                self._node.take_node_message(message, stream)

        return take, lambda: self._streams.discard(stream)
