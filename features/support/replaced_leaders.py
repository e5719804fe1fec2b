"""A node that has replaced a leader, and what answers at that leader's address."""

import asyncio
from unittest import mock

from tornado.netutil import bind_sockets

from features.support.memory_stores import MemoryStore
from features.support.missed_leaderships import (
    Candidate,
    lead,
    register,
    take_turns,
)
from features.support.takeovers import Takeover, job_item
from sassafrasgrade import leader_monitors
from sassafrasgrade.leader_monitors import PredecessorMonitor
from sassafrasgrade.leaderships import RENEWAL_PERIOD_S
from sassafrasgrade.member_records import LEADER_KEY
from sassafrasgrade.node_links import ask_hello
from sassafrasgrade.node_messages import NodeHello, NodeMessage
from sassafrasgrade.outage_reports import LONGEST_OUTAGE_AGE_S
from sassafrasgrade.platform import names
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.streams import MessageServer
from sassafrasgrade.timers import FakeTimerService

WORKERS = ("worker-0", "worker-1")
STEP_S = 0.05
LONGEST_WAIT_S = 20.0
# Rest of an earlier leader's authority in the record of the replaced one, in seconds.
EARLIER_LEFT_S = 5.0
# Nodes beside the one that takes over and the one that it replaces.
OTHER_NODES = ("third", "fourth", "fifth", "sixth", "seventh")
# Time for which the nodes have known each other at the takeover, in seconds.
KNOWN_S = 20.0
# Age of the store's last answer in a report of an outage, in seconds.
OUTAGE_AGE_S = 1.5
# Seconds at the takeover since the other nodes last reported an outage.
OUTAGE_AGES_BY_REPORTS = {
    "all reported an outage just before": 0.0,
    "all reported an outage 1 s before": 1.0,
    "all reported an outage to it afterwards": -1.0,
    "all are of an earlier version": None,
}
# How many of the other nodes report.
REPORTING_BY_REPORTS = {
    "three of seven answer, with it": 2,
    "four of seven answer, with it": 3,
}
PREVIOUS_LEASE = 77
# How many steps pass until the store answers that the replaced leader's lease is over.
UNANSWERED_ENDS_BY_HISTORY = {
    "the end of its lease is answered after 1 s": 20,
    "the end of its lease is never answered": 1000,
}
HELLOS_BY_KIND = {
    "its next process": NodeHello("second", "incarnation-next"),
    "the leader itself, awake again": NodeHello("second", "incarnation-second"),
    "a machine of another name": NodeHello("third", "incarnation-next"),
    "nobody": None,
}


class ReplacedLeader:
    """A leader that has replaced the node ``second``; one worker never answers.

    Args:
        history: What this node knows of the leaders before it.
        reports: What the other nodes report to it; empty if there are none.
    """

    def __init__(self, history, reports=""):
        self._history = history
        self._reports = reports
        self._timers = FakeTimerService()
        self._store = MemoryStore()
        self._candidate = Candidate(self._store, self._timers)
        self._leader = None
        self._stepped = asyncio.Event()
        self.leadership = self._candidate.leadership

    def awaited_leader(self):
        """Returns the replaced leader whose calls may still count, as a node does."""
        return self._leader.loader.awaited_leader

    def record_leader_death(self, incarnation):
        """Records proof that a leader's process has ended, as a node does."""
        self.leadership.record_leader_death(incarnation)
        self._leader.loader.record_leader_death(incarnation)

    async def take_over(self):
        """Replaces the leader on suspicion, or once its key has vanished."""
        leadership, store = self.leadership, self._store
        left_s = EARLIER_LEFT_S if "earlier one" in self._history else 0.0
        bounds_leases = bool(self._reports) and "earlier version" not in self._history
        lead(store, "second", 2, left_s, bounds_leases)
        store.unanswered_ends = UNANSWERED_ENDS_BY_HISTORY.get(self._history, 0)
        leadership.start()
        await take_turns()
        if self._reports:
            self._add_nodes()
        if "not seen" in self._history:
            lead(store, "unseen", 3)
        if "not seen" in self._history or "vanished" in self._history:
            store.remove(LEADER_KEY)
            leadership._set_leader(None, store.revision)
        else:
            leadership.suspect_leader(leadership.leader_revision)
        if self._history in UNANSWERED_ENDS_BY_HISTORY:
            leadership._leader_lease = PREVIOUS_LEASE
            leadership.pause_before_retry = self._pause_before_retry
        for _ in range(3):
            leadership._campaign_timeout = None
            if not leadership.is_leader:
                await self._campaign()
        assert self._candidate.gained, "it leads"
        leadership.outage_reports.clear()
        self._leader = Takeover(leadership=leadership, timers=self._timers)
        self._leader.dispatcher.schedule_placement = lambda: None
        is_perpetual = "ends by itself" not in self._history
        job = job_item("a", is_perpetual=is_perpetual)
        self._leader.load([job], WORKERS)
        has_started = "no start" not in self._history
        self._leader.tables.jobs_by_id["a"].has_started = has_started
        if "still registers" not in self._history:
            expired = Item(names.WORKERS_PREFIX + WORKERS[1], None, 2)
            self._leader.loader._apply_worker_changes([expired])

    async def _campaign(self):
        """Campaigns; the call that ends the previous lease may go on meanwhile."""
        campaign = asyncio.create_task(self.leadership._campaign())
        await take_turns()
        if self._history not in UNANSWERED_ENDS_BY_HISTORY:
            await campaign

    async def _pause_before_retry(self):
        """Waits until the next step of the clock."""
        await self._stepped.wait()
        self._stepped.clear()

    def _add_nodes(self):
        """Registers this node and others, some time before the takeover."""
        leadership = self.leadership
        known = OTHER_NODES[:1] if "joined" in self._history else OTHER_NODES
        register(leadership, "node", *known)
        self._advance(KNOWN_S)
        register(leadership, *OTHER_NODES)
        if "this node reported" in self._reports:
            leadership.outage_reports.note_sent(OUTAGE_AGE_S)

    def _advance(self, seconds):
        until = self._timers.now() + seconds
        while self._timers.now() < until:
            self._timers.advance(RENEWAL_PERIOD_S)
            self.leadership._record_renewal(self._timers.now())

    def _report(self, elapsed_s):
        """Lets the other nodes send their heartbeats, as far as they do."""
        reports = self.leadership.outage_reports
        outage_age_s = OUTAGE_AGES_BY_REPORTS.get(self._reports, LONGEST_OUTAGE_AGE_S)
        if outage_age_s is not None:
            outage_age_s += elapsed_s
        others = OTHER_NODES[: REPORTING_BY_REPORTS.get(self._reports)]
        for name in others if self._reports else ():
            reports.record(name, 0.0, outage_age_s)

    async def wait_for_start(self, hello, answers_after_s):
        """Lets time pass until the job starts.

        Args:
            hello: ``NodeHello`` that is received at the replaced leader's address, or
                None if nobody answers.
            answers_after_s: Seconds from the takeover to that answer.

        Returns:
            Seconds from the takeover to the start.
        """
        monitor, began_at = PredecessorMonitor(self), self._timers.now()
        while self._timers.now() < began_at + LONGEST_WAIT_S:
            self.leadership._record_renewal(self._timers.now())
            self._report(self._timers.now() - began_at)
            self._leader.wait(STEP_S)
            self._leader.report(WORKERS[0])
            if self._history in UNANSWERED_ENDS_BY_HISTORY:
                self._stepped.set()
                await take_turns()
            elapsed_s = self._timers.now() - began_at
            if self._leader.started():
                return elapsed_s
            leader = self.awaited_leader()
            if leader is not None and elapsed_s >= answers_after_s - STEP_S / 2:
                await _ask(monitor, leader, hello)
        raise AssertionError("the job never starts")


async def _ask(monitor, leader, hello):
    async def answer(address):
        assert address == leader.address
        return hello

    with mock.patch.object(leader_monitors, "ask_hello", answer):
        await monitor.ask(leader)


async def start_after(kind, answers_after_s, history="", reports=""):
    """Returns when the job of a silent worker's pool starts after a takeover.

    Args:
        kind: What answers at the replaced leader's address.
        answers_after_s: When it does, in seconds from the takeover.
        history: What is known of the leaders before.
        reports: What the other nodes report; empty if there are none.
    """
    replaced = ReplacedLeader(history, reports)
    await replaced.take_over()
    return await replaced.wait_for_start(HELLOS_BY_KIND[kind], answers_after_s)


async def first_hello(state):
    """Returns the incarnation that answers at an address; None without an answer.

    Args:
        state: What is at the address.
    """
    answers = [NodeHello("second", "incarnation-next")] if state == "a process" else []

    def add(stream):
        for message in answers:
            stream.send(message)
        return lambda message: None, lambda: None

    server = MessageServer(NodeMessage, add)
    listening = bind_sockets(0, "127.0.0.1")
    port = listening[0].getsockname()[1]
    server.add_sockets(listening)
    if state == "nothing":
        server.stop()
    try:
        hello = await ask_hello(f"127.0.0.1:{port}")
    finally:
        server.close()
        await asyncio.sleep(0)
    return hello.incarnation if hello is not None else None
