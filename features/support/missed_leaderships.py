"""Nodes that miss a leadership: another node led and vanished without their notice."""

import asyncio

from returns.result import Failure

from features.support.memory_stores import MemoryStore
from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.leaderships import Leadership
from sassafrasgrade.member_records import (
    EPOCH_KEY,
    LEADER_KEY,
    NODES_PREFIX,
    LeaderRecord,
    NodeRecord,
    encode_record,
)
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.timers import FakeTimerService

TURNS = 50


class Candidate:
    """A node's ``Leadership`` and what it reports.

    Attributes:
        gained: Epochs under which it led.
        renewed: Epochs under which it wrote its vanished key again.
        lost: Reasons of losses.

    Args:
        store: ``MemoryStore``.
        timers: ``FakeTimerService``; a new one by default.
    """

    def __init__(self, store, timers=None):
        self.gained, self.renewed, self.lost = [], [], []
        self.timers = timers or FakeTimerService()
        self.leadership = Leadership(
            store,
            self.timers,
            check_node_settings(
                {"NODE_NAME": "node", "NODE_DATA_CENTRE": "z"}
            ).unwrap(),
            lambda token, epoch, gone: self.gained.append(epoch),
            lambda token, epoch: self.renewed.append(epoch),
            self.lost.append,
            lambda leader: None,
            lambda: 0.0,
        )


async def take_turns():
    """Lets ready callbacks run."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


def lead(store, name, epoch, earlier_left_s=0.0, bounds_leases=False):
    """Makes another node leader."""
    record = LeaderRecord(
        name,
        f"incarnation-{name}",
        "127.0.0.1:1",
        epoch,
        earlier_left_s,
        bounds_leases,
    )
    store.put_all({LEADER_KEY: encode_record(record), EPOCH_KEY: str(epoch).encode()})


def register(leadership, *names):
    """Applies the records of nodes, as a watch reports them."""
    for name in names:
        record = NodeRecord(name, f"incarnation-{name}", "127.0.0.1:1", 2.0)
        item = Item(NODES_PREFIX + name, encode_record(record), 1)
        leadership._apply_item(item)


async def create_leader(store):
    """Returns a ``Candidate`` that leads."""
    candidate = Candidate(store)
    leadership = candidate.leadership
    leadership.start()
    await take_turns()
    leadership._campaign_timeout = None
    if not leadership.is_leader:
        await leadership._campaign()
    assert leadership.has_authority()
    return candidate


async def campaign(missed):
    """A node campaigns for a vanished key.

    Args:
        missed: Whether another node led and vanished without its notice.

    Returns:
        (epochs under which it led, whether it takes the leader that it knew for its
        direct predecessor).
    """
    store = MemoryStore()
    lead(store, "first", 1)
    known_revision = store.items_by_key[LEADER_KEY].revision
    candidate = Candidate(store)
    leadership = candidate.leadership
    leadership.start()
    await take_turns()
    leadership.accept_handover(known_revision)
    leadership._campaign_timeout = None
    if missed:
        lead(store, "second", 2)
    store.remove(LEADER_KEY)
    leadership.leader, leadership.leader_revision = None, 0
    for _ in range(3):
        if not leadership.is_leader:
            await leadership._campaign()
    return (
        candidate.gained,
        leadership.previous_leader_revision == known_revision,
    )


async def write_vanished_key_again(missed):
    """A leader writes its vanished key again; returns whether it still leads."""
    store = MemoryStore()
    candidate = await create_leader(store)
    leadership = candidate.leadership
    if missed:
        lead(store, "second", 2)
    store.remove(LEADER_KEY)
    await leadership.reacquire()
    return leadership.is_leader


class LossyStore(MemoryStore):
    """A store that carries out writes of the leader's key and loses their answers.

    Attributes:
        lost_answer: What becomes of such a write; empty while it is answered.
    """

    def __init__(self):
        super().__init__()
        self.lost_answer = ""

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Applies a commit; its caller may hear nothing, or of its second copy."""
        if not self.lost_answer or not any(put.key == LEADER_KEY for put in puts):
            return await super().commit(conditions, puts, deletes)
        if "another node" in self.lost_answer:
            lead(self, "second", 2)
        else:
            await super().commit(conditions, puts, deletes)
        if "second copy" in self.lost_answer:
            return await super().commit(conditions, puts, deletes)
        return Failure(PlatformUnavailable("no answer", ""))


async def rewrite_key(answer):
    """A leader that lost its lease writes its key again; returns if it has authority.

    Args:
        answer: What becomes of the write.
    """
    store = LossyStore()
    candidate = await create_leader(store)
    leadership = candidate.leadership
    first_token = leadership.token
    store.remove(LEADER_KEY)
    store.lost_answer = "" if answer == "answered" else answer
    leadership.lease = 0
    await leadership._register()
    items = store.items_by_key.values()
    # What the watch reports; of one write, in any order.
    leadership._apply_items(tuple(i for i in items if i.revision > first_token))
    await take_turns()
    if leadership.is_leader:
        assert candidate.renewed == [2], candidate.renewed
        assert leadership.token == store.items_by_key[LEADER_KEY].revision
    return leadership.has_authority()


async def succeed_twice(state):
    """A node succeeds a leader that is known to have stopped.

    Args:
        state: What is known of the leader before that one.

    Returns:
        Seconds for which some earlier leader may still have authority.
    """
    store = MemoryStore()
    candidate = Candidate(store)
    leadership = candidate.leadership
    if state != "its successor's record says that it may act":
        lead(store, "first", 1)
        leadership.start()
        await take_turns()
    if state == "it is known to have stopped":
        leadership.accept_handover(store.items_by_key[LEADER_KEY].revision)
    leadership._campaign_timeout = None
    lead(store, "second", 2, 5.0 if "record" in state else 0.0)
    if state == "its successor's record says that it may act":
        leadership.start()
        await take_turns()
    leadership._apply_items(tuple(store.items_by_key.values()))
    leadership.record_leader_death("incarnation-second")
    leadership._campaign_timeout = None
    await leadership._campaign()
    assert candidate.gained == [3], candidate.gained
    return leadership.earlier_leaders_until - candidate.timers.now()


async def lose_lease(is_rewritten):
    """A leader loses its lease, and its key with it, and gets a new lease.

    Args:
        is_rewritten: Whether its write of the key is carried out.

    Returns:
        Whether it has authority.
    """
    store = MemoryStore()
    candidate = await create_leader(store)
    leadership = candidate.leadership
    store.remove(LEADER_KEY)
    store.lost_lease = leadership.lease
    store.loses_leader_writes = not is_rewritten
    await leadership._renew_lease()
    assert not leadership.has_authority()
    await leadership._register()
    return leadership.has_authority()


async def end_previous_lease(unanswered):
    """Returns how often a new leader orders the end of its predecessor's lease."""
    store = MemoryStore()
    store.unanswered_ends = unanswered
    candidate = Candidate(store)

    async def pause():
        await asyncio.sleep(0)

    candidate.leadership.pause_before_retry = pause
    await candidate.leadership._end_previous_lease(7)
    return len(store.ended_leases)
