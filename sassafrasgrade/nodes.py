"""The node program: accepts callers' jobs, and runs the fleet while it is leader."""

import logging
import os
import signal
from collections.abc import Callable
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
from sassafrasgrade.dispatchers import Dispatcher
from sassafrasgrade.drains import Drain, DrainPhase
from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.http_clients import create_http_client
from sassafrasgrade.job_apis import JobApi
from sassafrasgrade.leader_monitors import (
    MAX_STORE_ANSWER_AGE_S,
    LeaderMonitor,
    PredecessorMonitor,
    should_hand_over,
)
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
    RouteQuestion,
    StateQuestion,
    StateReply,
)
from sassafrasgrade.node_pages import MetricsHandler, ReadyHandler
from sassafrasgrade.node_settings import NodeSettings, read_node_settings
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import JsonCaller
from sassafrasgrade.platform.messages import Configuration
from sassafrasgrade.platform.stores import StoreClient
from sassafrasgrade.prefix_followers import PrefixFollower
from sassafrasgrade.queue_routers import QueueRouter
from sassafrasgrade.route_lookups import RouteLookup
from sassafrasgrade.settings import exit_if_invalid
from sassafrasgrade.store_batches import StoreBatcher
from sassafrasgrade.systems.work_bounds import WorkBound
from sassafrasgrade.timers import SuspendAwareTimerService
from sassafrasgrade.work_tables import record_queues

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "SASSAFRASGRADE_NODE_FILE"
# Concurrent calls of a node to the store: watches, renewals and commits.
MAX_STORE_CALLS = 48
# Concurrent calls of a leader: one long poll and two orders for each of many workers.
# Calls beyond that would wait behind long polls.
MAX_LEADER_CALLS = 3000
# Timeout of a store call, in seconds; the store answers in a few milliseconds.
STORE_TIMEOUT_S = 0.8
HEARTBEAT_PERIOD_S = 0.25
# Time before SIGKILL at which a graceful stop has to be over and the last answers
# are due, in seconds.
STOP_MARGIN_S = 1.0
# Pause after a handover, between checks of a drain, and before a retry, in seconds.
BRIEF_PAUSE_S = 0.1
# Time that the watch gets to deliver a newer configuration before the range is
# read as well, in seconds: on a slow link a second copy delays both.
REREAD_AFTER_S = 0.7
# Time without an answer of the store after which a node accepts no new
# connections, in seconds: two renewals have failed by then, and nodes of other
# data centres may still reach the store.
STORE_LOST_S = 1.5
DEFAULT_MAX_BODY_BYTES = 262_144

_configurations = msgspec.json.Decoder(Configuration)


@dataclass(frozen=True)
class NodeServices:
    """Services that the parts of a node share.

    Attributes:
        leader_http: Function that returns the ``CurlClient`` of a leader.
        release_leadership: Coroutine function of a reason that hands leadership over
            to any other node.
    """

    settings: NodeSettings
    timers: SuspendAwareTimerService
    store: StoreClient
    leader_http: Callable
    release_leadership: Callable


class Node:
    """One node process: callers' requests, link to the leader, own leadership.

    Args:
        settings: ``NodeSettings``.
        timers: Timer service.
    """

    def __init__(self, settings, timers):
        self.settings = settings
        self.timers = timers
        self.counters = NodeCounters()
        self._leader_http = None
        http = create_http_client(MAX_STORE_CALLS)
        caller = JsonCaller(http, settings.store_address)
        self.store = StoreClient(
            caller, STORE_TIMEOUT_S, self.counters.count_store_call
        )
        self.services = NodeServices(
            settings, timers, self.store, self.leader_http, self._release_leadership
        )
        self.batcher = StoreBatcher(self.store, timers)
        self.work_bound = WorkBound(settings.node_memory_mb)
        self.job_api = JobApi(self)
        self.configuration = None
        self.router = None
        self.routes = RouteLookup(self)
        self.requests_under_way = 0
        self.last_request_at = 0.0
        self.is_stopping = False
        self.leadership = Leadership(
            self.store,
            timers,
            settings,
            self._on_leadership_gained,
            self._on_leadership_renewed,
            self._on_leadership_lost,
            self._on_leader_changed,
            lambda: self._leader_monitor.vacancy_delay_s(),
        )
        self._leader_monitor = LeaderMonitor(self)
        self._predecessor_monitor = PredecessorMonitor(self)
        self.incarnation = self.leadership.incarnation
        self._dispatcher = None
        self.link = None
        self._server = NodeServer(self)
        self._leader_heartbeat = None
        self._leader_heartbeat_at = 0.0
        self._operator_keys = PrefixFollower(
            self.store,
            timers,
            names.OPERATOR_PREFIX,
            self._apply_operator_items,
            self._apply_operator_items,
            name="operator",
            is_outdated=self._is_configuration_outdated,
        )
        self._client_server = HTTPServer(ClientsDelegate(self))
        self._waves_by_key = {}
        self._queues_by_name = {}
        self._pools_by_queue = {}
        self._handover = None
        self._newer_version_seen_at = 0.0
        self._announced_version = 0
        self._next_heartbeat_at = 0.0
        self._track_gauges()

    def _track_gauges(self):
        track = self.counters.track
        track(
            "configuration_version",
            "Version of the configuration in force.",
            self.configuration_version,
        )
        track(
            "announced_configuration_version",
            "Newest version that another node said it has.",
            lambda: self._announced_version,
        )
        track(
            "configuration_age_seconds",
            "Time since the configuration was known to be the newest.",
            self.configuration_age_s,
        )
        track(
            "accepted_work_bytes",
            "Estimated memory of all accepted work on the leader.",
            lambda: self.work_bound.held,
        )
        track(
            "accepted_work_limit_bytes",
            "Memory of accepted work from which jobs are refused.",
            lambda: self.work_bound.limit,
        )
        track(
            "store_answer_age_seconds",
            "Time since any answer of the store.",
            self.store_answer_age_s,
        )

    def start(self):
        """Starts the servers and all periodic tasks."""
        address, _, port = self.settings.listen_clients.rpartition(":")
        self._client_server.listen(int(port), address, backlog=1024)
        pages = [(names.READY_PATH, ReadyHandler, {"node": self})]
        pages.append(("/metrics", MetricsHandler, {"node": self}))
        application = Application(pages)
        address, _, port = self.settings.listen_readiness.rpartition(":")
        application.listen(int(port), address)
        application.listen(self.settings.listen_metrics_port, address)
        self._server.listen(self.settings.listen_peers_port, self.settings.node_address)
        self._operator_keys.start()
        self.leadership.start()
        self.timers.subscribe(HEARTBEAT_PERIOD_S, self._send_heartbeats)
        logger.info("started", extra={"incarnation": self.incarnation})

    async def stop(self):
        """Hands over leadership and answers pending requests before it stops."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logger.info("stopping", extra={"requests": self.requests_under_way})
        began_at = self.timers.now()
        deadline = began_at + self.settings.bounds_grace_s - STOP_MARGIN_S
        if self._dispatcher is not None:
            await self._dispatcher.flush()
            self._hand_over_leadership("stopping")
        await gen.sleep(BRIEF_PAUSE_S)
        await self.leadership.withdraw()
        await self._drain(Drain(began_at, deadline))
        self.leadership.close()
        logger.info("stopped", extra={"requests": self.requests_under_way})

    async def _drain(self, drain):
        """Serves callers until none sends requests any more, or the time is up."""
        is_accepting = True
        while True:
            now = self.timers.now()
            phase = drain.phase(now, self.requests_under_way, self.last_request_at)
            if phase > DrainPhase.ACCEPTING and is_accepting:
                is_accepting = False
                self._client_server.stop()
            if phase is DrainPhase.ENDED:
                return
            await gen.sleep(BRIEF_PAUSE_S)

    def _hand_over_leadership(self, reason):
        """Steps down and sends all nodes the runs that may be under way."""
        if self._dispatcher is None:
            return
        message = self._dispatcher.export_handover(self.leadership.leader_revision)
        self.leadership.step_down(reason)
        self._server.send_all(message)

    async def _release_leadership(self, reason):
        """Steps down, sends all nodes the runs and removes the leader's key."""
        if self._dispatcher is None:
            return
        revision = self.leadership.leader_revision
        self._server.send_all(self._dispatcher.export_handover(revision))
        await self.leadership.release(reason)

    def leader_http(self):
        """Returns the client for calls of a leader; others need no memory for it."""
        if self._leader_http is None:
            self._leader_http = create_http_client(MAX_LEADER_CALLS)
        return self._leader_http

    # Used by request handlers.

    def is_ready(self):
        """Whether the node accepts new connections."""
        return (
            self.configuration is not None
            and not self.is_stopping
            and not self.is_store_lost()
        )

    def max_body_bytes(self):
        """Returns the size limit of request bodies."""
        if self.configuration is None:
            return DEFAULT_MAX_BODY_BYTES
        return self.configuration.limits.body_bytes

    def notify_leader(self, message):
        """Sends the leader a message; if it is lost, the leader reads the store."""
        if self._dispatcher is not None:
            self.handle_node_message(message, None)
        elif self.link is not None:
            self.link.send(message)

    async def ask_state(self, job_id):
        """Returns a job's state from the leader; empty if it is unknown there."""
        if self._dispatcher is not None:
            return self._dispatcher.state_of(job_id)
        reply = await self.ask_leader(lambda number: StateQuestion(number, job_id))
        return reply.state if reply is not None else ""

    async def ask_leader(self, create_question):
        """Returns the leader's reply to a question; None without one.

        Args:
            create_question: Function that returns the message for a number.
        """
        if self.link is None:
            return None
        return await self.link.ask(create_question)

    def count_waiting(self, queue_name):
        """Returns a queue's number of waiting jobs and the number's age in seconds."""
        if self._dispatcher is not None and self._dispatcher.is_loaded:
            return self._dispatcher.waiting_by_queue().get(queue_name, 0), 0.0
        if self._leader_heartbeat is None:
            return 0, float("inf")
        age_s = self.timers.now() - self._leader_heartbeat_at
        return self._leader_heartbeat.waiting_by_queue.get(queue_name, 0), age_s

    async def pause_before_retry(self):
        """Waits before a call is retried."""
        await gen.sleep(BRIEF_PAUSE_S)

    def configuration_version(self):
        """Returns the version of the configuration in force; 0 for none."""
        return self.configuration.version if self.configuration is not None else 0

    def configuration_age_s(self):
        """Returns the seconds since the configuration was known to be the newest."""
        return self.timers.now() - self._operator_keys.confirmed_at

    async def check_configuration(self, timeout_s):
        """Asks the store for a newer configuration; waits for it up to a time."""
        await self._operator_keys.check(timeout_s)

    def create_heartbeat(self):
        """Returns the ``NodeBeat`` to send to the leader now."""
        age_s = self.store_answer_age_s()
        return NodeBeat(
            self.configuration_version(),
            age_s,
            self.settings.node_name,
            self.leadership.outage_reports.note_sent(age_s),
        )

    def store_answer_age_s(self):
        """Returns the seconds since the store last answered."""
        return self.leadership.store_answer_age_s()

    def is_store_lost(self):
        """Whether the store has not answered for ``STORE_LOST_S``."""
        return self.store_answer_age_s() >= STORE_LOST_S

    # Configuration.

    def _is_configuration_outdated(self):
        """Whether another node said that it has a newer configuration."""
        return self._announced_version > self.configuration_version()

    def _apply_operator_items(self, items):
        for item in items:
            if item.key == names.CONFIGURATION_KEY and item.value is not None:
                self._apply_configuration(item)
            elif item.key.startswith(names.WAVE_PREFIX):
                self._waves_by_key[item.key] = item.value
        if self._dispatcher is not None:
            self._dispatcher.apply_waves(self._waves_by_key)

    def _apply_configuration(self, item):
        try:
            configuration = _configurations.decode(item.value)
        except DECODE_ERRORS as error:
            logger.error("cannot decode the configuration", extra={"error": str(error)})
            return
        if configuration.version <= self.configuration_version():
            return
        self.configuration = configuration
        record_queues(self._queues_by_name, self._pools_by_queue, configuration)
        self.router = QueueRouter(configuration.queues)
        self.work_bound.queues = len(configuration.queues)
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

    def _on_leadership_gained(self, token, epoch, is_predecessor_gone):
        logger.info(
            "leadership gained",
            extra={"token": token, "epoch": epoch, "proven": is_predecessor_gone},
        )
        self.counters.record_leadership(True)
        handover, self._handover = self._handover, None
        if (
            handover is not None
            and handover.revision != self.leadership.previous_leader_revision
        ):
            handover = None
        self._dispatcher = Dispatcher(
            self.services,
            self.leadership,
            token,
            epoch,
            self.counters,
            handover,
            is_predecessor_gone,
        )
        self.leadership.outage_reports.clear()
        self._dispatcher.start(
            self.configuration, self._queues_by_name, self._pools_by_queue
        )
        self._dispatcher.apply_waves(self._waves_by_key)

    def _on_leadership_renewed(self, token, epoch):
        logger.info("leadership renewed", extra={"token": token, "epoch": epoch})
        self._dispatcher.renew(token, epoch)

    def _on_leadership_lost(self, reason):
        logger.warning("leadership lost", extra={"reason": reason})
        self.counters.record_leadership(False)
        if self._dispatcher is not None:
            self._dispatcher.close()
            self._dispatcher = None

    def _on_leader_changed(self, leader):
        if leader is None:
            # The key has vanished, but its holder may still run, and no successor
            # knows as much: keep the link to it.
            return
        if self.link is not None:
            self.link.close()
            self.link = None
        if leader.incarnation != self.incarnation:
            self.link = LeaderLink(self, leader)

    def record_leader_death(self, incarnation):
        """Records proof that a leader's process has ended."""
        self.leadership.record_leader_death(incarnation)
        if self._dispatcher is not None:
            self._dispatcher.loader.record_leader_death(incarnation)

    def awaited_leader(self):
        """Returns the replaced leader whose calls may still count; None for none."""
        if self._dispatcher is None:
            return None
        return self._dispatcher.loader.awaited_leader

    def _send_heartbeats(self, now):
        if self._next_heartbeat_at:
            self.counters.observe_loop_lag(max(0.0, now - self._next_heartbeat_at))
        self._next_heartbeat_at = now + HEARTBEAT_PERIOD_S
        self.leadership.outage_reports.note_running()
        self._leader_monitor.check(now)
        self._predecessor_monitor.check()
        if self._dispatcher is not None:
            reports = self.leadership.outage_reports.values
            if should_hand_over(self.store_answer_age_s(), reports, now):
                self._hand_over_leadership(
                    "the store answers other nodes but not this one"
                )
                return
            if not self._dispatcher.is_loaded:
                return
            held, freed_per_s = self._dispatcher.measure_work()
            self.work_bound.update(held, freed_per_s, now)
            self._server.send_all(
                LeaderBeat(
                    self.leadership.token,
                    self.configuration_version(),
                    self._dispatcher.waiting_by_queue(),
                    {},
                    held,
                    freed_per_s,
                )
            )
        elif self.link is not None:
            self.link.send_heartbeat(now)

    def handle_leader_message(self, message):
        """Handles a message from the leader."""
        if isinstance(message, LeaderBeat):
            self._leader_heartbeat = message
            self._leader_heartbeat_at = now = self.timers.now()
            self.work_bound.update(message.held_by_queue, message.freed_per_s, now)
            self._reread_if_outdated(message.configuration_version)
        elif isinstance(message, HandOver):
            self._handover = message
            self.leadership.accept_handover(message.revision)

    def _reread_if_outdated(self, version):
        if version <= self.configuration_version():
            self._newer_version_seen_at = 0.0
            return
        now = self.timers.now()
        if version > self._announced_version:
            self._announced_version = version
            logger.info(
                "newer configuration announced",
                extra={"version": version, "own_version": self.configuration_version()},
            )
        self._newer_version_seen_at = self._newer_version_seen_at or now
        if now - self._newer_version_seen_at > REREAD_AFTER_S:
            self._newer_version_seen_at = now
            self._operator_keys.reread_range()

    @singledispatchmethod
    def handle_node_message(self, message, stream):
        """Handles a message from another node."""
        logger.warning(
            "unexpected message from a node", extra={"type": type(message).__name__}
        )

    @handle_node_message.register
    def _(self, message: JobAccepted, stream):
        if self._dispatcher is not None:
            self._dispatcher.loader.accept(message.job_id, message.record)

    @handle_node_message.register
    def _(self, message: JobCancelled, stream):
        if self._dispatcher is not None:
            self._dispatcher.cancel(message.job_id)

    @handle_node_message.register
    def _(self, message: StateQuestion, stream):
        state = ""
        if self._dispatcher is not None:
            state = self._dispatcher.state_of(message.job_id)
        stream.send(StateReply(message.number, state))

    @handle_node_message.register
    def _(self, message: RouteQuestion, stream):
        if self.router is not None:
            stream.send(self.routes.answer(message))

    @handle_node_message.register
    def _(self, message: HandOverRequest, stream):
        if self._dispatcher is None or message.revision != self.leadership.token:
            return
        if self.store_answer_age_s() > MAX_STORE_ANSWER_AGE_S:
            self._hand_over_leadership(
                "the leader's key vanished and the store does not answer this node"
            )
        else:
            IOLoop.current().add_callback(self.leadership.reacquire)

    @handle_node_message.register
    def _(self, message: HeardQuestion, stream):
        silent_s = -1.0
        if self.link is not None:
            if self.link.leader.incarnation == message.leader_incarnation:
                silent_s = self.link.silent_s(self.timers.now())
        stream.send(HeardReply(silent_s))

    @handle_node_message.register
    def _(self, message: NodeBeat, stream):
        self.leadership.outage_reports.record(
            message.node or id(stream),
            message.store_answer_age_s,
            message.outage_age_s,
        )
        self._reread_if_outdated(message.configuration_version)


def run_node(settings=""):
    """Runs one node until SIGTERM or SIGINT.

    Args:
        settings: Path of the INI settings file; by default taken from the
            environment variable ``SASSAFRASGRADE_NODE_FILE``.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    checked = exit_if_invalid(read_node_settings(path))
    node = Node(checked, SuspendAwareTimerService())
    configure_bounded_logs(checked, node.counters.count_dropped_lines)
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
    """Reloads the settings; the old ones stay in force if the file is invalid."""
    result = read_node_settings(path)
    if isinstance(result, Failure):
        logger.error(
            "settings not reloaded: invalid file",
            extra={"error": str(result.failure())},
        )
        return
    node.settings = result.unwrap()
    logger.info("settings reloaded")


def main():
    """Entry point of ``sassafrasgrade-node``."""
    fire.Fire(run_node, name="sassafrasgrade-node")


if __name__ == "__main__":
    main()
