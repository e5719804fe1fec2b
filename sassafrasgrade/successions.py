"""Decides when the leader is to be replaced, from what nodes hear of it."""

import logging

from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.node_links import ask_heard
from sassafrasgrade.node_messages import HandOverRequest

logger = logging.getLogger(__name__)

# Silence after which a leader is suspected, in seconds: four beats.
SUSPECT_S = 1.0
# Silence of the store up to which a node may judge and stand, in seconds.
STORE_FRESH_S = 0.9
# Time that a leader which is heard gets to take its vanished key again, seconds.
VACANCY_S = 0.6
# Silence of the store after which a leader looks for a node that reaches it.
HAND_OVER_S = 1.2
# Age of a node's word up to which it counts, in seconds.
WORD_S = 0.7


def is_lost(silences, own_silence_s, others):
    """Whether a leader is to be replaced.

    Args:
        silences: What asked nodes answered, in seconds; None for no answer.
        own_silence_s: How long this node has not heard it, in seconds.
        others: Number of live nodes beside this one and the leader.

    Returns:
        True if this node and most others have not heard the leader, and none
        that answered has.
    """
    if own_silence_s < SUSPECT_S:
        return False
    answered = [silence for silence in silences if silence is not None]
    if any(silence < SUSPECT_S for silence in answered):
        return False
    return (len(answered) + 1) * 2 > others + 1


class Succession:
    """Watches the stream to the leader.

    Args:
        node: The ``Node``.
    """

    def __init__(self, node):
        self._node = node
        self._is_asking = False

    def check(self, now):
        """Looks at the leader's silence; called with each beat."""
        link, leadership = self._node.link, self._node.leadership
        if link is None or leadership.leads or self._is_asking:
            return
        if leadership.leader != link.leader or self._node.is_stopping:
            return
        if link.silent_s(now) < SUSPECT_S:
            return
        if leadership.store_silent_s() > STORE_FRESH_S:
            return
        self._is_asking = True
        IOLoop.current().add_callback(self._ask)

    async def _ask(self):
        leadership, link = self._node.leadership, self._node.link
        revision = leadership.leader_revision
        records = leadership.other_records
        try:
            silences = await gen.multi(
                [
                    ask_heard(record.address, link.leader.incarnation)
                    for record in records
                ]
            )
        finally:
            self._is_asking = False
        own_s = link.silent_s(self._node.timers.now())
        lost = is_lost(silences, own_s, len(records))
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

    def vacancy_delay_s(self):
        """Returns how long a vanished key is left to its holder, in seconds."""
        link = self._node.link
        if link is None or link.silent_s(self._node.timers.now()) > WORD_S:
            return 0.0
        link.send(HandOverRequest(self._node.leadership.held_revision))
        return VACANCY_S


def should_hand_over(store_silent_s, words, now):
    """Whether a leader without the store should leave the lead to a node with it.

    Args:
        store_silent_s: How long the store has not answered the leader.
        words: Pairs of (clock when heard, silence of that node's store).
        now: Present clock in seconds.
    """
    if store_silent_s < HAND_OVER_S:
        return False
    return any(
        now - heard_at < WORD_S and silent_s < STORE_FRESH_S
        for heard_at, silent_s in words
    )
