"""Decides when to replace the leader, and learns whether a replaced one has ended."""

import asyncio
import logging

from tornado.ioloop import IOLoop

from sassafrasgrade.node_links import ask_hello, ask_leader_silence
from sassafrasgrade.node_messages import HandOverRequest
from sassafrasgrade.outage_reports import MAX_REPORT_AGE_S
from sassafrasgrade.rendezvous import rank_names

logger = logging.getLogger(__name__)

# Time without a message after which a leader is suspected, in seconds: four
# heartbeats.
SUSPECT_AFTER_S = 1.0
# Greatest age of the store's last answer at which a node counts as reaching the
# store, so that it may suspect the leader and campaign, in seconds.
MAX_STORE_ANSWER_AGE_S = 0.9
# Time that a responsive leader gets to write its vanished key again, in seconds.
REACQUIRE_WAIT_S = 0.6
# Time without an answer of the store after which a leader hands over to a node
# that reaches it, in seconds.
HANDOVER_AFTER_S = 1.2
# Time by which the store's last answer to another node has to be later than the last
# one to the leader, in seconds: more than a renewal period, by which the last answers
# differ when the store is lost for all nodes.
MIN_ANSWER_LEAD_S = 0.9
# Greatest age of the leader's last message at which it counts as responsive, in
# seconds.
RESPONSIVE_S = 0.7
# Greatest number of nodes that one node asks about a silent leader.
MAX_ASKED_NODES = 9


def is_leader_lost(silences, own_silence_s, others):
    """Whether a leader is lost and has to be replaced.

    Args:
        silences: Seconds since each asked node last received a message from the
            leader, negative if it has no stream to that leader; None for a node
            that did not answer.
        own_silence_s: The same for this node.
        others: Number of nodes that were asked.

    Returns:
        True if this node has received nothing for ``SUSPECT_AFTER_S``, nor has
        any node that answered, and these are a majority of all but the leader.
        A negative answer keeps the leader from being replaced.
    """
    if own_silence_s < SUSPECT_AFTER_S:
        return False
    answered = [silence for silence in silences if silence is not None]
    if any(silence < SUSPECT_AFTER_S for silence in answered):
        return False
    return (len(answered) + 1) * 2 > others + 1


class LeaderMonitor:
    """Watches the stream to the leader and starts its replacement.

    Args:
        node: The ``Node``.
    """

    def __init__(self, node):
        self._node = node
        self._is_asking = False

    def check(self, now):
        """Asks other nodes about an unresponsive leader; called with each heartbeat."""
        link, leadership = self._node.link, self._node.leadership
        if link is None or leadership.is_leader or self._is_asking:
            return
        if leadership.leader != link.leader or self._node.is_stopping:
            return
        if link.silent_s(now) < SUSPECT_AFTER_S:
            return
        if leadership.store_answer_age_s() > MAX_STORE_ANSWER_AGE_S:
            return
        self._is_asking = True
        IOLoop.current().add_callback(self._ask_other_nodes)

    async def _ask_other_nodes(self):
        leadership, link = self._node.leadership, self._node.link
        revision = leadership.leader_revision
        records = self._nodes_to_ask()
        try:
            silences = await self._collect_silences(records, link)
        finally:
            self._is_asking = False
        own_s = link.silent_s(self._node.timers.now())
        lost = is_leader_lost(silences, own_s, len(records))
        logger.info(
            "leader suspected",
            extra={
                "leader": link.leader.name,
                "silent_s": round(own_s, 2),
                "others": [s if s is None else round(s, 2) for s in silences],
                "lost": lost,
            },
        )
        if lost:
            leadership.suspect_leader(revision)

    async def _collect_silences(self, records, link):
        """Asks nodes until their answers decide; returns None for each without one.

        The nodes that do not answer are often cut off with the leader: waiting for
        them would delay its replacement.
        """
        silences = [None] * len(records)

        async def ask(index, record):
            silences[index] = await ask_leader_silence(
                record.address, link.leader.incarnation
            )

        calls = [asyncio.create_task(ask(i, r)) for i, r in enumerate(records)]
        pending = set(calls)
        while pending:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            own_s = link.silent_s(self._node.timers.now())
            if is_leader_lost(silences, own_s, len(records)):
                break
        for call in pending:
            call.cancel()
        return silences

    def _nodes_to_ask(self):
        """Returns records of some live nodes; each node asks others.

        With all nodes asking all others, a fleet of hundreds would be busy with
        these questions while it has no leader.
        """
        records_by_name = {r.name: r for r in self._node.leadership.other_records}
        ranked = rank_names(records_by_name, self._node.settings.node_name)
        return [records_by_name[name] for name in ranked[:MAX_ASKED_NODES]]

    def vacancy_delay_s(self):
        """Returns how long a leader gets to restore its vanished key, in seconds.

        Also asks a responsive leader to hand over if it has lost the store.
        """
        link = self._node.link
        if link is None or link.silent_s(self._node.timers.now()) > RESPONSIVE_S:
            return 0.0
        link.send(HandOverRequest(self._node.leadership.last_leader_revision))
        return REACQUIRE_WAIT_S


class PredecessorMonitor:
    """Learns that the process of the replaced leader has ended, while that matters.

    The process that accepts a new connection at that leader's address is the leader's
    own, or one that was started after it had ended.

    Args:
        node: The ``Node``.
    """

    def __init__(self, node):
        self._node = node
        self._is_asking = False

    def check(self):
        """Asks at the replaced leader's address; called with each heartbeat."""
        leader = self._node.awaited_leader()
        if leader is None or self._is_asking:
            return
        self._is_asking = True
        IOLoop.current().add_callback(self.ask, leader)

    async def ask(self, leader):
        """Asks once.

        Args:
            leader: ``LeaderRecord`` of the replaced leader.
        """
        try:
            hello = await ask_hello(leader.address)
        finally:
            self._is_asking = False
        if hello is None or hello.node != leader.name:
            # Another machine may have the address now, and the leader still run.
            return
        if hello.incarnation != leader.incarnation:
            self._node.record_leader_death(leader.incarnation)


def should_hand_over(store_answer_age_s, reports, now):
    """Whether a leader cut off from the store should hand over to another node.

    Args:
        store_answer_age_s: Seconds since the store last answered the leader.
        reports: ``OutageReport`` of the other nodes.
        now: Current time in seconds.
    """
    if store_answer_age_s < HANDOVER_AFTER_S:
        return False
    own_answer_at = now - store_answer_age_s
    return any(
        now - report.received_at < MAX_REPORT_AGE_S
        and report.store_answer_age_s < MAX_STORE_ANSWER_AGE_S
        and report.received_at - report.store_answer_age_s - own_answer_at
        > MIN_ANSWER_LEAD_S
        for report in reports
    )
