"""The entry process: admits, places, forwards and answers callers' requests."""

import logging
import signal
import time
from functools import singledispatchmethod

import fire
from tornado import gen
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop

from sassafrasgrade.answers import Reason
from sassafrasgrade.attempts import AttemptSender, busy_slots
from sassafrasgrade.claims import ClaimController
from sassafrasgrade.configurations import ConfigurationHolder
from sassafrasgrade.counters import EntryCounters
from sassafrasgrade.drains import Drain, DrainPhase
from sassafrasgrade.entry_links import EntryLinks
from sassafrasgrade.entry_pages import EntryPages
from sassafrasgrade.fleet_controllers import apply_membership_update
from sassafrasgrade.fleets import HostPhase, Membership
from sassafrasgrade.host_updates import apply_hosts_update
from sassafrasgrade.http_clients import create_http_client, fetch_health
from sassafrasgrade.http_delegates import ConnectionDelegate
from sassafrasgrade.http_exchanges import ExchangeRunner
from sassafrasgrade.job_pages import JOBS_PATH, JobPages
from sassafrasgrade.logs import configure_logs
from sassafrasgrade.manager_links import ManagerLink
from sassafrasgrade.messages import (
    ClaimReply,
    ClaimRequest,
    ConfigurationDelta,
    ConfigurationSnapshot,
    EntryHeartbeat,
    EntryReport,
    Hello,
    HostsUpdate,
    ManagerCounters,
    MembershipUpdate,
    PeersUpdate,
    SlotGrant,
    SlotRefusal,
)
from sassafrasgrade.peers import parse_peer
from sassafrasgrade.platforms import PlatformClient
from sassafrasgrade.routers import Router
from sassafrasgrade.settings import require_settings
from sassafrasgrade.slot_owners import SlotOwner
from sassafrasgrade.slot_requesters import SlotRequester, class_of
from sassafrasgrade.streams import TRAFFIC
from sassafrasgrade.systems.admission import ProcessorAdmission
from sassafrasgrade.tables import HostList
from sassafrasgrade.timers import TimerService

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.25
ADMISSION_INTERVAL_S = 0.2
SHED_RETRY_AFTER_S = 1.0
REPORT_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
MAX_CONCURRENT_REQUESTS = 256
SETTLE_TIMEOUT_S = 2.0


class Entry:
    """Creates and connects the components of one entry process.

    Attributes:
        last_request_at: When a caller's request was last read or answered.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
    """

    def __init__(self, settings, timers):
        self.settings = settings
        self.timers = timers
        self.counters = EntryCounters()
        self.is_stopping = False
        self.last_request_at = 0.0
        self._holder = ConfigurationHolder()
        self._hosts = HostList()
        self._membership = Membership()
        self._admission = ProcessorAdmission()
        self._sheds_load = settings.entry_admission_method == "shares"
        self._processor_s = time.process_time()
        self._admission_updated_at = timers.now()
        self._router = Router(())
        self._http_client = create_http_client(MAX_CONCURRENT_REQUESTS)
        self._owner = SlotOwner(settings, timers, self._deliver, self._probe)
        self._links = EntryLinks(
            settings,
            timers,
            self._handle_request,
            self._handle_answer,
            self._update_owner,
            self._handle_lost_entry,
        )
        self._slot_requester = SlotRequester(
            settings, timers, self._owner, self._links.send
        )
        self._platform = PlatformClient(
            settings.platform_url, settings.host_name, settings.platform_timeout_s
        )
        self._jobs = JobPages(settings, timers, self._platform, self._configuration)
        self._claims = ClaimController(settings, timers, self._platform, self._links)
        self._runner = ExchangeRunner(
            settings,
            timers,
            AttemptSender(self._http_client),
            self._slot_requester,
            self._claims,
            self.counters,
            self._may_use,
        )
        self._server = HTTPServer(
            ConnectionDelegate(self),
            max_body_size=settings.entry_longest_body_bytes * 2,
            idle_connection_timeout=3600,
        )
        self._manager_link = ManagerLink(
            settings, timers, self._on_manager_connected, self.handle
        )
        self._pages = EntryPages(self)

    def start(self):
        """Starts the listeners and the periodic tasks."""
        self._set_peers(self.settings.manager_peers)
        self._links.start()
        self._manager_link.start()
        self._server.listen(
            self.settings.entry_http_port, self.settings.host_address, backlog=1024
        )
        self.timers.subscribe(TICK_INTERVAL_S, self._tick)
        self.timers.subscribe(HEARTBEAT_INTERVAL_S, self._send_heartbeats)
        self.timers.subscribe(ADMISSION_INTERVAL_S, self._update_admission)
        self.timers.subscribe(REPORT_INTERVAL_S, self._report)
        logger.info("entry process started")

    async def stop(self):
        """Finishes open requests within the time limit, then closes everything."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logger.info("entry process stopping, %d requests open", self._runner.open_count)
        self._report(self.timers.now())
        self._send_heartbeats(self.timers.now())
        self._update_owner()
        self._owner.refuse_all_waiting()
        began_at = self.timers.now()
        until = began_at + self.settings.entry_stop_timeout_s
        await self._drain(Drain(began_at, until))
        await self._claims.drain(SETTLE_TIMEOUT_S)
        await self._server.close_all_connections()
        self.close()
        logger.info("entry process stopped, %d requests open", self._runner.open_count)

    async def _drain(self, drain):
        """Serves callers until none sends requests any more, or the time is up."""
        while True:
            now = self.timers.now()
            phase = drain.phase(now, self._runner.open_count, self.last_request_at)
            if phase > DrainPhase.ACCEPTING:
                self._server.stop()
            if phase is DrainPhase.ENDED:
                return
            await gen.sleep(TICK_INTERVAL_S)

    def close(self):
        """Closes everything immediately."""
        self.timers.stop()
        self._server.stop()
        self._links.close()
        self._manager_link.close()
        self._http_client.close()
        self._platform.close()

    def _configuration(self):
        return self._holder.configuration

    # Callers' requests.

    def admit(self, method, path, headers):
        """Decides whether to admit a request once its headers are read.

        Returns:
            (route, None, 0) if admitted, or (route or None, reason, retry seconds).
        """
        if not self._holder.generation:
            return None, Reason.NO_CONFIGURATION, 1.0
        route = self._router.find(method, path)
        if route is None:
            return None, Reason.NO_ROUTE, 0
        if self._sheds_load and not self._admission.admits(
            class_of(route), route.weight
        ):
            return route, Reason.BUSY, SHED_RETRY_AFTER_S
        retry_after_s = self._slot_requester.refusal_retry_s(route)
        if retry_after_s:
            return route, Reason.OVERLOADED, retry_after_s
        if self._runner.waiting_count >= self.settings.entry_longest_queue:
            return route, Reason.OVERLOADED, 1.0
        return route, None, 0

    def record_request(self):
        """Records that a caller's request is read or answered now."""
        self.last_request_at = self.timers.now()

    def start_exchange(self, exchange):
        """Starts an admitted exchange."""
        self._runner.start(exchange)

    def abandon_exchange(self, exchange):
        """Drops an exchange whose caller has disconnected."""
        self._runner.abandon(exchange)

    def page(self, method, path):
        """Returns the function (headers, body) that builds a reserved page, or None."""
        if path.startswith(JOBS_PATH):
            return self._jobs.page(method, path)
        return self._pages.page(method, path)

    def state(self):
        """Returns ``ready``, ``stopping`` or ``no-configuration``."""
        if self.is_stopping:
            return "stopping"
        return "ready" if self._holder.generation else "no-configuration"

    def gauges(self):
        """Returns the gauges of the metrics page by name."""
        return {
            "open_requests": self._runner.open_count,
            "waiting_requests": self._runner.waiting_count,
            "sheds": int(self._admission.is_shedding),
            "ejections": self._owner.ejections,
            "generation": self._holder.generation,
            "stream_bytes_sent": TRAFFIC.sent,
            "stream_bytes_received": TRAFFIC.received,
        }

    # Periodic tasks.

    def _update_admission(self, now):
        used_s = time.process_time()
        window_s = max(now - self._admission_updated_at, ADMISSION_INTERVAL_S / 2)
        busy_share = (used_s - self._processor_s) / window_s
        self._processor_s, self._admission_updated_at = used_s, now
        self._admission.tick(busy_share, window_s)

    def _tick(self, now):
        self._links.tick(now)
        self._owner.tick(now)
        self._runner.tick(now)

    def _send_heartbeats(self, now):
        self._links.send_heartbeats(
            self._holder.generation, self.is_stopping, self._owner.loads()
        )

    def _report(self, now):
        self._manager_link.tick(now)
        self._manager_link.send(
            EntryReport(
                self._holder.generation,
                self._hosts.version,
                self.state(),
                self._membership.version,
                self._busy_hosts(),
                self.counters.burn.burning_pools(now),
            )
        )

    def _may_use(self, host):
        record = self._membership.records_by_name.get(host)
        return record is None or record.phase is HostPhase.SERVING

    def _busy_hosts(self):
        """Returns the hosts with work whose membership phase is not serving."""
        used = self._runner.busy_hosts() | self._owner.table.retired_hosts_in_use()
        return sorted(host for host in used if not self._may_use(host))

    # Messages between entry hosts.

    def _deliver(self, origin, message):
        if origin == self.settings.host_name:
            self._handle_answer(message, origin)
        else:
            self._links.answer(origin, message)

    def _handle_request(self, message, origin):
        if isinstance(message, ClaimRequest):
            IOLoop.current().add_callback(self._claims.serve, message, origin)
        else:
            self._slot_requester.serve(message, origin)

    def _handle_answer(self, message, sender):
        if isinstance(message, SlotGrant):
            self._runner.grant(sender, message)
        elif isinstance(message, SlotRefusal):
            self._runner.refuse(sender, message)
        elif isinstance(message, ClaimReply):
            self._claims.handle_reply(message)
        elif isinstance(message, EntryHeartbeat):
            self._slot_requester.apply_loads(message)

    def _handle_lost_entry(self, name):
        self._slot_requester.remove_owner(name)
        self._runner.handle_lost_owner(name)

    def _update_owner(self):
        names = self._links.live_names()
        if self.is_stopping:
            names.discard(self.settings.host_name)
        self._owner.update(
            self._holder.configuration,
            self._hosts.hosts_by_name,
            names,
            self._membership,
        )

    async def _probe(self, host):
        """Returns the busy slots that a backend server reports, or -1."""
        response = await fetch_health(self._http_client, host, PROBE_TIMEOUT_S)
        return busy_slots(response)

    # Messages of the local manager.

    def _on_manager_connected(self, link):
        link.send(
            Hello(self.settings.host_name, self.settings.host_data_centre, "entry")
        )
        self._report(self.timers.now())

    @singledispatchmethod
    def handle(self, message):
        """Handles a message of the local manager."""
        logger.warning(
            "unexpected message %s from the local manager", type(message).__name__
        )

    @handle.register
    def _(self, message: ConfigurationSnapshot):
        if self._holder.adopt_configuration(message.configuration()):
            self._apply_configuration()

    @handle.register
    def _(self, message: ConfigurationDelta):
        if self._holder.adopt_commits(message.generation, message.commits):
            self._apply_configuration()

    @handle.register
    def _(self, message: HostsUpdate):
        updated = apply_hosts_update(self._hosts, message)
        if updated is not None:
            self._hosts = updated
            self._update_owner()

    @handle.register
    def _(self, message: MembershipUpdate):
        updated = apply_membership_update(self._membership, message)
        if updated is not None:
            self._membership = updated
            self._update_owner()
            self._report(self.timers.now())

    @handle.register
    def _(self, message: PeersUpdate):
        self._set_peers(message.peers)

    def _set_peers(self, texts):
        peers_by_name = {peer.name: peer for peer in map(parse_peer, texts)}
        self._links.set_peers(peers_by_name)
        self._manager_link.set_peers(peers_by_name)

    @handle.register
    def _(self, message: ManagerCounters):
        self.counters.manager.values = message.values

    def _apply_configuration(self):
        configuration = self._holder.configuration
        self._router = Router(configuration.routes_by_name.values())
        self._update_owner()
        self._report(self.timers.now())


def run_entry(settings):
    """Runs one entry process until SIGTERM or SIGINT.

    Args:
        settings: Path of the INI settings file.
    """
    checked = require_settings(settings)
    configure_logs(checked.log_level, checked.host_name, "entry")
    entry = Entry(checked, TimerService())
    loop = IOLoop.current()

    async def stop_entry():
        await entry.stop()
        loop.stop()

    def stop(signum, frame):
        loop.add_callback_from_signal(stop_entry)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    entry.start()
    loop.start()


def main():
    """Entry point of ``sassafrasgrade-entry``."""
    fire.Fire(run_entry, name="sassafrasgrade-entry")
