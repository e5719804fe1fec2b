"""The node program: takes callers' jobs, and leads the fleet if it holds the key."""

import logging
import os
import signal
from dataclasses import dataclass
from functools import singledispatchmethod

import fire
import msgspec
from returns.result import Failure
from tornado import gen
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.web import Application

from sassafrasgrade.bounded_logs import configure_bounded_logs
from sassafrasgrade.client_requests import ClientsDelegate
from sassafrasgrade.directories import PrefixFollower
from sassafrasgrade.dispatchers import Dispatcher
from sassafrasgrade.drains import Drain, DrainPhase
from sassafrasgrade.http_clients import create_http_client
from sassafrasgrade.intakes import Intake
from sassafrasgrade.leaderships import Leadership
from sassafrasgrade.node_counters import NodeCounters
from sassafrasgrade.node_links import LeaderLink, NodeServer
from sassafrasgrade.node_messages import (
    HandOver,
    HandOverRequest,
    HeardQuestion,
    HeardReply,
    JobAccepted,
    JobCancelled,
    LeaderBeat,
    NodeBeat,
    StateQuestion,
    StateReply,
)
from sassafrasgrade.node_pages import MetricsHandler, ReadyHandler
from sassafrasgrade.node_settings import NodeSettings, read_node_settings
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import JsonCaller
from sassafrasgrade.platform.messages import Configuration
from sassafrasgrade.platform.stores import StoreClient
from sassafrasgrade.queue_routers import QueueRouter
from sassafrasgrade.settings import exit_if_invalid
from sassafrasgrade.store_batches import StoreBatcher
from sassafrasgrade.successions import (
    STORE_FRESH_S,
    Succession,
    should_hand_over,
)
from sassafrasgrade.timers import SuspendAwareTimerService

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "SASSAFRASGRADE_NODE_FILE"
# Calls under way at a time: a hold and two orders for each of many workers.
CLIENTS_AT_ONCE = 400
# Longest wait for the store, in seconds; it answers in a few milliseconds.
STORE_TIMEOUT_S = 0.8
BEAT_S = 0.25
# Time left before the kill when the last answers are due, in seconds.
STOP_MARGIN_S = 1.0
BRIEF_PAUSE_S = 0.1
# Time for which a newer version is left to the watch before the range is read
# beside it, in seconds: on a thin link a second copy delays both.
REREAD_AFTER_S = 0.7
# Silence of the store after which a node takes no new connections, in seconds:
# two renewals have failed, and nodes of other data centres may reach it.
STORE_LOST_S = 1.5
DEFAULT_BODY_BYTES = 262_144

_configurations = msgspec.json.Decoder(Configuration)


@dataclass(frozen=True)
class NodeServices:
    """What parts of a node share."""

    settings: NodeSettings
    timers: SuspendAwareTimerService
    http: object
    store: StoreClient


class Node:
    """One process: callers' requests, the link to the leader, leadership.

    Args:
        settings: ``NodeSettings``.
        timers: Timer service.
    """

    def __init__(self, settings, timers):
        self.settings = settings
        self.timers = timers
        self.counters = NodeCounters()
        self.http = create_http_client(CLIENTS_AT_ONCE)
        caller = JsonCaller(self.http, settings.store_address)
        self.store = StoreClient(caller, STORE_TIMEOUT_S, self.counters.note_store_call)
        self.services = NodeServices(settings, timers, self.http, self.store)
        self.batcher = StoreBatcher(self.store, timers)
        self.intake = Intake(self)
        self.configuration = None
        self.router = None
        self.requests_under_way = 0
        self.last_request_at = 0.0
        self.is_stopping = False
        self.leadership = Leadership(
            self.store,
            timers,
            settings,
            self._gain,
            self._renew,
            self._lose,
            self._note_leader,
            lambda: self._succession.vacancy_delay_s(),
        )
        self._succession = Succession(self)
        self._words_by_node = {}
        self.incarnation = self.leadership.incarnation
        self._dispatcher = None
        self.link = None
        self._server = NodeServer(self)
        self._leader_beat = None
        self._leader_beat_at = 0.0
        self._operator = PrefixFollower(
            self.store,
            names.OPERATOR_PREFIX,
            self._take_operator_items,
            self._take_operator_items,
            name="operator",
            skips_versions=True,
        )
        self._clients = HTTPServer(ClientsDelegate(self))
        self._waves_by_key = {}
        self._handed = None
        self._newer_heard_at = 0.0

    def start(self):
        """Starts listening and all loops."""
        address, _, port = self.settings.listen_clients.rpartition(":")
        self._clients.listen(int(port), address, backlog=1024)
        pages = [(names.READY_PATH, ReadyHandler, {"node": self})]
        pages.append(("/metrics", MetricsHandler, {"node": self}))
        application = Application(pages)
        address, _, port = self.settings.listen_readiness.rpartition(":")
        application.listen(int(port), address)
        application.listen(self.settings.listen_metrics_port, address)
        self._server.listen(self.settings.listen_peers_port, self.settings.node_address)
        self._operator.start()
        self.leadership.start()
        self.timers.subscribe(BEAT_S, self._beat)
        logger.info("started", extra={"incarnation": self.incarnation})

    async def stop(self):
        """Stops gracefully: hands leadership over and answers what was read."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logger.info("stopping", extra={"requests": self.requests_under_way})
        began_at = self.timers.now()
        deadline = began_at + self.settings.bounds_grace_s - STOP_MARGIN_S
        if self._dispatcher is not None:
            await self._dispatcher.flush()
            self._hand_over("stopping")
        await gen.sleep(BRIEF_PAUSE_S)
        await self.leadership.withdraw()
        await self._drain(Drain(began_at, deadline))
        self.leadership.close()
        logger.info("stopped", extra={"requests": self.requests_under_way})

    async def _drain(self, drain):
        """Answers what callers still send until none does."""
        is_accepting = True
        while True:
            now = self.timers.now()
            phase = drain.phase(now, self.requests_under_way, self.last_request_at)
            if phase > DrainPhase.ACCEPTING and is_accepting:
                is_accepting = False
                self._clients.stop()
            if phase is DrainPhase.ENDED:
                return
            await gen.sleep(BRIEF_PAUSE_S)

    def _hand_over(self, reason):
        """Stops leading and tells all nodes what may run."""
        if self._dispatcher is None:
            return
        message = self._dispatcher.loader.export_hand_over(
            self.leadership.leader_revision
        )
        self.leadership.step_down(reason)
        self._server.send_all(message)

    # What requests need.

    def is_ready(self):
        """Whether new connections are welcome."""
        return (
            self.configuration is not None
            and not self.is_stopping
            and not self.is_store_lost()
        )

    def longest_body_bytes(self):
        """Returns the longest body that callers may send."""
        if self.configuration is None:
            return DEFAULT_BODY_BYTES
        return self.configuration.limits.body_bytes

    def tell_leader(self, message):
        """Tells the leader; it finds out from the store if the stream is down."""
        if self._dispatcher is not None:
            self.take_node_message(message, None)
        elif self.link is not None:
            self.link.send(message)

    async def ask_state(self, job_id):
        """Returns a job's state as the leader knows it; empty if it does not."""
        if self._dispatcher is not None:
            return self._dispatcher.state_of(job_id)
        if self.link is not None:
            return await self.link.ask_state(job_id)
        return ""

    def waiting_of(self, queue_name):
        """Returns (waiting jobs, age of the count in seconds) of a queue."""
        if self._dispatcher is not None and self._dispatcher.is_loaded:
            return self._dispatcher.waiting_by_queue().get(queue_name, 0), 0.0
        if self._leader_beat is None:
            return 0, float("inf")
        age_s = self.timers.now() - self._leader_beat_at
        return self._leader_beat.waiting_by_queue.get(queue_name, 0), age_s

    async def pause_briefly(self):
        """Waits before a call is repeated."""
        await gen.sleep(BRIEF_PAUSE_S)

    def configuration_version(self):
        """Returns the version in force; 0 for none."""
        return self.configuration.version if self.configuration is not None else 0

    def store_silent_s(self):
        """Seconds since the store answered."""
        return self.leadership.store_silent_s()

    def is_store_lost(self):
        """Whether the store has been silent for long."""
        return self.store_silent_s() >= STORE_LOST_S

    # Configuration.

    def _take_operator_items(self, items):
        for item in items:
            if item.key == names.CONFIGURATION_KEY and item.value is not None:
                self._take_configuration(item)
            elif item.key.startswith(names.WAVE_PREFIX):
                self._waves_by_key[item.key] = item.value
        if self._dispatcher is not None:
            self._dispatcher.take_waves(self._waves_by_key)

    def _take_configuration(self, item):
        try:
            configuration = _configurations.decode(item.value)
        except msgspec.DecodeError as error:
            logger.error("unreadable configuration", extra={"error": str(error)})
            return
        if configuration.version <= self.configuration_version():
            return
        self.configuration = configuration
        self.router = QueueRouter(configuration.queues)
        logger.info(
            "configuration adopted",
            extra={
                "version": configuration.version,
                "revision": item.revision,
                "queues": len(configuration.queues),
            },
        )
        if self._dispatcher is not None:
            self._dispatcher.adopt_configuration(configuration)

    # Leadership.

    def _gain(self, token, epoch, is_proven):
        logger.info(
            "leadership gained",
            extra={"token": token, "epoch": epoch, "proven": is_proven},
        )
        self.counters.note_leads(True)
        handed, self._handed = self._handed, None
        if handed is not None and handed.revision != self.leadership.past_revision:
            handed = None
        self._dispatcher = Dispatcher(
            self.services,
            self.leadership,
            token,
            epoch,
            self.counters,
            handed,
            is_proven,
        )
        self._words_by_node.clear()
        self._dispatcher.start(self.configuration)
        self._dispatcher.take_waves(self._waves_by_key)

    def _renew(self, token, epoch):
        logger.info("leadership renewed", extra={"token": token, "epoch": epoch})
        self._dispatcher.renew(token, epoch)

    def _lose(self, reason):
        logger.warning("leadership lost", extra={"reason": reason})
        self.counters.note_leads(False)
        if self._dispatcher is not None:
            self._dispatcher.close()
            self._dispatcher = None

    def _note_leader(self, leader):
        if leader is None:
            # The holder may still live and know more than any successor.
            return
        if self.link is not None:
            self.link.close()
            self.link = None
        if leader.incarnation != self.incarnation:
            self.link = LeaderLink(self, leader)

    def note_leader_dead(self, incarnation):
        """Takes in proof that a leader's process has ended."""
        self.leadership.note_leader_dead(incarnation)

    def _beat(self, now):
        self._succession.check(now)
        if self._dispatcher is not None:
            words = self._words_by_node.values()
            if should_hand_over(self.store_silent_s(), words, now):
                self._hand_over("the store is silent here only")
                return
            if not self._dispatcher.is_loaded:
                return
            self._server.send_all(
                LeaderBeat(
                    self.leadership.token,
                    self.configuration_version(),
                    self._dispatcher.waiting_by_queue(),
                    {},
                )
            )
        elif self.link is not None:
            self.link.beat(now)

    def take_leader_message(self, message):
        """Takes in a message of the leader."""
        if isinstance(message, LeaderBeat):
            self._leader_beat = message
            self._leader_beat_at = self.timers.now()
            self._compare_version(message.configuration_version)
        elif isinstance(message, HandOver):
            self._handed = message
            self.leadership.take_hand_over(message.revision)

    def _compare_version(self, version):
        if version <= self.configuration_version():
            self._newer_heard_at = 0.0
            return
        now = self.timers.now()
        self._newer_heard_at = self._newer_heard_at or now
        if now - self._newer_heard_at > REREAD_AFTER_S:
            self._newer_heard_at = now
            self._operator.read_again()

    @singledispatchmethod
    def take_node_message(self, message, stream):
        """Takes in a message of another node."""
        logger.warning("unexpected message", extra={"type": type(message).__name__})

    @take_node_message.register
    def _(self, message: JobAccepted, stream):
        if self._dispatcher is not None:
            self._dispatcher.loader.accept(message.job_id, message.record)

    @take_node_message.register
    def _(self, message: JobCancelled, stream):
        if self._dispatcher is not None:
            self._dispatcher.cancel(message.job_id)

    @take_node_message.register
    def _(self, message: StateQuestion, stream):
        state = ""
        if self._dispatcher is not None:
            state = self._dispatcher.state_of(message.job_id)
        stream.send(StateReply(message.number, state))

    @take_node_message.register
    def _(self, message: HandOverRequest, stream):
        if self._dispatcher is None or message.revision != self.leadership.token:
            return
        if self.store_silent_s() > STORE_FRESH_S:
            self._hand_over("the key vanished and the store is silent here")
        else:
            IOLoop.current().add_callback(self.leadership.reacquire)

    @take_node_message.register
    def _(self, message: HeardQuestion, stream):
        silent_s = -1.0
        if self.link is not None:
            if self.link.leader.incarnation == message.leader_incarnation:
                silent_s = self.link.silent_s(self.timers.now())
        stream.send(HeardReply(silent_s))

    @take_node_message.register
    def _(self, message: NodeBeat, stream):
        self._words_by_node[id(stream)] = (self.timers.now(), message.store_silent_s)
        self._compare_version(message.configuration_version)


def run_node(settings=""):
    """Runs one node until it is told to stop.

    Args:
        settings: Path of the INI settings file; by default taken from the
            environment variable ``SASSAFRASGRADE_NODE_FILE``.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    checked = exit_if_invalid(read_node_settings(path))
    node = Node(checked, SuspendAwareTimerService())
    configure_bounded_logs(checked, node.counters.note_dropped_lines)
    loop = IOLoop.current()

    async def stop_node():
        await node.stop()
        loop.stop()

    def stop(signum, frame):
        loop.add_callback_from_signal(stop_node)

    def reload(signum, frame):
        loop.add_callback_from_signal(_reload, node, path)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)
    node.start()
    loop.start()


def _reload(node, path):
    """Reads the settings again; a wrong file leaves the old ones in force."""
    result = read_node_settings(path)
    if isinstance(result, Failure):
        logger.error("settings not reloaded", extra={"error": str(result.failure())})
        return
    node.settings = result.unwrap()
    logger.info("settings reloaded")


def main():
    """Entry point of ``sassafrasgrade-node``."""
    fire.Fire(run_node, name="sassafrasgrade-node")


if __name__ == "__main__":
    main()
