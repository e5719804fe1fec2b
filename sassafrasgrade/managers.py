"""The manager process: distributes configuration, hosts and membership."""

import logging
import random
import signal
from functools import singledispatchmethod

import fire
from tornado.ioloop import IOLoop

from sassafrasgrade.configurations import ConfigurationHolder, strip_commit
from sassafrasgrade.fleet_controllers import FleetController, collect_acks
from sassafrasgrade.host_updates import apply_hosts_update, compare_hosts
from sassafrasgrade.job_controllers import JobController
from sassafrasgrade.logs import configure_logs
from sassafrasgrade.manager_peers import ManagerLinks, PeerState, PeerTable
from sassafrasgrade.manager_sessions import ManagerSession, SessionTable
from sassafrasgrade.messages import (
    AnyMessage,
    ConfigurationDelta,
    ConfigurationRequest,
    ConfigurationSnapshot,
    EntryReport,
    Heartbeat,
    Hello,
    HostsRequest,
    HostsUpdate,
    ManagerCounters,
    MembershipRequest,
    MembershipUpdate,
    PeersUpdate,
    StatusReply,
    StatusRequest,
)
from sassafrasgrade.platforms import PlatformClient
from sassafrasgrade.settings import require_settings
from sassafrasgrade.streams import TRAFFIC, MessageServer
from sassafrasgrade.systems.host_lists import accept_hosts
from sassafrasgrade.systems.platform_readers import NEVER_S, should_read
from sassafrasgrade.tables import HostList
from sassafrasgrade.timers import TimerService
from sassafrasgrade.watchers import ConfigurationWatcher, HostsWatcher

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
JOBS_INTERVAL_S = 0.5
# Other data centres receive only every fourth heartbeat.
HEARTBEATS_PER_REMOTE_HEARTBEAT = 4
# Upper bound of the random wait, drawn once per manager, that ``should_read`` adds to
# the age of the readers' last platform answers above which this manager reads too.
MAX_JITTER_S = 1.0
# Minimum interval, over all peers, between requests for newer state that are sent
# in answer to heartbeats.
MIN_REQUEST_INTERVAL_S = 0.5
# Reported in heartbeats as the generation of a local entry that is down.
ENTRY_DOWN_GENERATION = -1


class Manager:
    """Connects the watchers, peer managers and local entry of one entry host.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
    """

    def __init__(self, settings, timers):
        self._settings = settings
        self._timers = timers
        self._holder = ConfigurationHolder()
        self._hosts = HostList()
        self._platform = PlatformClient(
            settings.platform_url, settings.host_name, settings.platform_timeout_s
        )
        self._platform_answer_at = -NEVER_S
        self._fleet = FleetController(
            settings, timers, self._platform, self._announce_membership
        )
        self._jitter_s = random.uniform(0, MAX_JITTER_S)
        self._jobs = JobController(settings, timers, self._platform)
        self._last_request_at = -NEVER_S
        self._heartbeats_sent = 0
        self._sessions = SessionTable(settings.host_name)
        self._peers = PeerTable(settings)
        self._links = ManagerLinks(settings, self._on_peer_connected, self.handle)
        self._server = MessageServer(AnyMessage, self._accept)
        self._configuration_watcher = ConfigurationWatcher(
            self._platform,
            timers,
            self._record_platform_answer,
            self._holder,
            self._apply_commits,
            self._apply_configuration,
            settings.platform_watch_s,
        )
        self._hosts_watcher = HostsWatcher(
            self._platform,
            timers,
            self._record_platform_answer,
            settings.host_data_centre,
            lambda: self._hosts.version,
            self._apply_hosts,
            settings.platform_hosts_period_s,
        )

    def start(self):
        """Listens, connects to the peers and starts the periodic ticks."""
        self._server.listen(
            self._settings.manager_stream_port, self._settings.host_address
        )
        self._links.update(())
        self._timers.subscribe(HEARTBEAT_INTERVAL_S, self._tick)
        self._timers.subscribe(JOBS_INTERVAL_S, self._tick_jobs)
        self._tick(self._timers.now())
        logger.info("manager started")

    def stop(self):
        """Stops the timers and closes all watchers, streams and clients."""
        self._timers.stop()
        self._configuration_watcher.close()
        self._hosts_watcher.close()
        self._server.close()
        self._links.close()
        self._fleet.close()
        self._platform.close()
        logger.info("manager stopped")

    # Ticks.

    def _tick(self, now):
        reading = should_read(
            self._settings.host_name,
            self._peers.views(now),
            self._settings.manager_silence_s,
            self._jitter_s,
        )
        if reading != self._hosts_watcher.is_reading:
            logger.info("this manager reads the platform: %s", reading)
        self._configuration_watcher.set_reading(reading)
        self._hosts_watcher.set_reading(reading)
        self._send_heartbeats(now)
        IOLoop.current().add_callback(self._plan, now)

    def _tick_jobs(self, now):
        IOLoop.current().add_callback(
            self._jobs.tick,
            self._fleet.is_planning,
            self._holder.configuration,
            self._hosts.hosts_by_name,
            self._fleet.membership,
        )

    async def _plan(self, now):
        heartbeats = self._peers.local_heartbeats(now)
        acks = [
            ack for peer_heartbeat in heartbeats for ack in peer_heartbeat.entry_acks
        ]
        await self._fleet.tick(
            not any(peer_heartbeat.planning for peer_heartbeat in heartbeats),
            self._holder.configuration,
            self._hosts.hosts_by_name,
            collect_acks(
                (ack.entry, ack.version, ack.busy_hosts)
                for ack in [*acks, *self._sessions.acks()]
            ),
            {
                pool
                for peer_heartbeat in heartbeats
                for pool in peer_heartbeat.burning_pools
            }
            | set(self._sessions.burning_pools()),
        )

    def _send_heartbeats(self, now):
        heartbeat = self._heartbeat(now)
        include_remote = self._heartbeats_sent % HEARTBEATS_PER_REMOTE_HEARTBEAT == 0
        self._heartbeats_sent += 1
        self._links.send(heartbeat, include_remote)
        self._sessions.send_entries(ManagerCounters(self.counters()))

    def _heartbeat(self, now):
        report = self._sessions.own_report()
        return Heartbeat(
            self._holder.generation,
            self._hosts.version,
            report.generation if report else ENTRY_DOWN_GENERATION,
            min(now - self._platform_answer_at, NEVER_S),
            self._hosts_watcher.is_reading,
            report.state if report else "down",
            self._fleet.membership.version,
            self._fleet.is_planning,
            self._sessions.acks(),
            self._sessions.burning_pools(),
        )

    def counters(self):
        """Returns counters by name, for the local entry's metrics page."""
        return {
            "platform_calls": self._platform.calls,
            "older_heads": self._configuration_watcher.older_heads,
            "generation": self._holder.generation,
            "hosts_version": self._hosts.version,
            "links_open": self._links.open_count,
            "reading": int(self._hosts_watcher.is_reading),
            "planning": int(self._fleet.is_planning),
            "moves": self._fleet.membership.moves,
            "stream_bytes_sent": TRAFFIC.sent,
            "stream_bytes_received": TRAFFIC.received,
        }

    # Callbacks of the watchers.

    def _record_platform_answer(self):
        self._platform_answer_at = self._timers.now()

    def _apply_commits(self, generation, commits):
        """Returns whether the commits continued the current generation."""
        applied = self._holder.adopt_commits(generation, commits)
        if applied:
            stripped = [strip_commit(commit) for commit in commits]
            self._announce_generation(ConfigurationDelta(generation, stripped))
        return applied

    def _apply_configuration(self, configuration):
        if self._holder.adopt_configuration(configuration):
            self._announce_generation(self._snapshot())

    def _apply_hosts(self, offered):
        accepted, kept = accept_hosts(
            self._hosts, offered, self._holder.configuration.pools_by_name
        )
        if kept:
            logger.warning(
                "the offered host list lacks too many hosts at once; keeping %d: %s",
                len(kept),
                ", ".join(kept[:10]),
            )
        update = compare_hosts(self._hosts, accepted)
        self._hosts = accepted
        self._announce_hosts(update)

    def _announce_generation(self, message):
        logger.info("configuration generation %d is in force", self._holder.generation)
        self._sessions.send_entries(message)
        if self._hosts_watcher.is_reading:
            self._links.send(message)

    def _announce_membership(self, update):
        self._sessions.send_entries(update)
        if self._fleet.is_planning:
            self._links.send(update)

    def _announce_hosts(self, update):
        self._links.update(self._hosts.hosts_by_name.values())
        self._sessions.send_entries(update)
        self._sessions.send_entries(self._peers_update())
        if self._hosts_watcher.is_reading:
            self._links.send(update)

    # Links to peers.

    def _on_peer_connected(self, link):
        link.send(
            Hello(self._settings.host_name, self._settings.host_data_centre, "manager")
        )
        link.send(self._heartbeat(self._timers.now()))
        link.send(ConfigurationRequest(self._holder.generation))

    # Accepted streams.

    def _accept(self, stream):
        session = ManagerSession(stream, self.handle, self._discard_session)
        self._sessions.add(session)
        return session.on_message, session.on_close

    def _discard_session(self, session):
        self._sessions.discard(session)
        if session.hello.role == "manager":
            self._peers.mark_disconnected(session.hello.name)

    def _snapshot(self):
        return ConfigurationSnapshot.of(self._holder.configuration)

    def _peers_update(self):
        return PeersUpdate([str(peer) for peer in self._links.peers_by_name.values()])

    def _configuration_update_since(self, generation):
        commits = self._holder.commits_after(generation)
        if commits is None:
            return self._snapshot()
        stripped = [strip_commit(commit) for commit in commits]
        return ConfigurationDelta(self._holder.generation, stripped)

    # Message handlers, by type.

    @singledispatchmethod
    def handle(self, message, sender):
        """Handles a message; ``sender`` is the session or link it came from."""
        logger.warning(
            "manager received an unexpected message %s", type(message).__name__
        )

    @handle.register
    def _(self, message: Hello, sender):
        sender.hello = message
        if message.role == "entry":
            sender.send(self._snapshot())
            sender.send(compare_hosts(HostList(), self._hosts))
            sender.send(self._peers_update())
            sender.send(self._fleet.full_update())
        elif message.role == "manager":
            self._peers.add(message)

    @handle.register
    def _(self, message: Heartbeat, sender):
        state = self._peers.get(sender.hello.name)
        if state is None:
            return
        now = self._timers.now()
        state.record_heartbeat(message, now)
        if message.generation < self._holder.generation:
            sender.send(self._configuration_update_since(message.generation))
        if now - self._last_request_at < MIN_REQUEST_INTERVAL_S:
            return
        configuration_behind = message.generation > self._holder.generation
        local = self._peers.is_local(state)
        hosts_behind = local and message.hosts_version > self._hosts.version
        if configuration_behind:
            sender.send(ConfigurationRequest(self._holder.generation))
        if hosts_behind:
            sender.send(HostsRequest(self._hosts.version))
        own_version = self._fleet.membership.version
        membership_behind = local and message.membership_version > own_version
        if membership_behind:
            sender.send(MembershipRequest(own_version))
        if configuration_behind or hosts_behind or membership_behind:
            self._last_request_at = now

    @handle.register
    def _(self, message: ConfigurationRequest, sender):
        if message.generation < self._holder.generation:
            sender.send(self._configuration_update_since(message.generation))

    @handle.register
    def _(self, message: ConfigurationDelta, sender):
        configuration_behind = message.generation > self._holder.generation
        if configuration_behind and not self._apply_commits(
            message.generation, message.commits
        ):
            # Commits are missing or belong to another history: requests a snapshot.
            sender.send(ConfigurationRequest(0))

    @handle.register
    def _(self, message: ConfigurationSnapshot, sender):
        self._apply_configuration(message.configuration())

    @handle.register
    def _(self, message: HostsRequest, sender):
        if message.version < self._hosts.version:
            sender.send(compare_hosts(HostList(), self._hosts))

    @handle.register
    def _(self, message: HostsUpdate, sender):
        updated = apply_hosts_update(self._hosts, message)
        if updated is not None:
            self._hosts = updated
            self._announce_hosts(message)

    @handle.register
    def _(self, message: MembershipRequest, sender):
        if message.version < self._fleet.membership.version:
            sender.send(self._fleet.full_update())

    @handle.register
    def _(self, message: MembershipUpdate, sender):
        if not self._fleet.apply_update(message):
            sender.send(MembershipRequest(self._fleet.membership.version))

    @handle.register
    def _(self, message: EntryReport, sender):
        sender.report = message
        if message.generation < self._holder.generation:
            sender.send(self._configuration_update_since(message.generation))
        if message.membership_version < self._fleet.membership.version:
            sender.send(self._fleet.full_update())

    @handle.register
    def _(self, message: StatusRequest, sender):
        sender.send(self._status())

    def _status(self):
        now = self._timers.now()
        own = PeerState(self._settings.host_data_centre)
        own.record_heartbeat(self._heartbeat(now), now)
        silence_s = self._settings.manager_silence_s
        rows = self._peers.statuses(now)
        rows.append(own.status(self._settings.host_name, now, silence_s))
        return StatusReply(
            self._settings.host_name,
            self._settings.host_data_centre,
            self._holder.generation,
            self._hosts.version,
            rows,
            self._sessions.statuses(),
            list(self._hosts.hosts_by_name.values()),
            list(self._fleet.membership.records_by_name.values()),
            self._fleet.is_planning,
            self._fleet.membership.moves,
        )


def run_manager(settings):
    """Runs one manager until SIGTERM or SIGINT.

    Args:
        settings: Path of the INI settings file.
    """
    checked = require_settings(settings)
    configure_logs(checked.log_level, checked.host_name, "manager")
    manager = Manager(checked, TimerService())
    loop = IOLoop.current()

    def stop(signum, frame):
        loop.add_callback_from_signal(loop.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    manager.start()
    loop.start()
    manager.stop()


def main():
    """Entry point of ``sassafrasgrade-manager``."""
    fire.Fire(run_manager, name="sassafrasgrade-manager")
