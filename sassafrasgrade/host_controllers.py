"""Sends the planner's host orders and keeps the table of hosts up to date."""

import logging
from functools import singledispatchmethod

import msgspec
from returns.result import Failure
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import DECODE_ERRORS, RevisionConflict
from sassafrasgrade.fleet_hosts import FleetHosts, WaveRow
from sassafrasgrade.leaderships import MAX_HOST_ORDER_RENEWAL_AGE_S
from sassafrasgrade.member_records import LEADER_KEY
from sassafrasgrade.platform import names
from sassafrasgrade.platform.clouds import CloudClient, HostOrderOutcome
from sassafrasgrade.platform.messages import Quantity, Wave
from sassafrasgrade.platform.stores import Put
from sassafrasgrade.refused_values import RefusedValues
from sassafrasgrade.systems.host_planning import REFUSED_PAUSE_S, plan_hosts
from sassafrasgrade.systems.host_states import worker_of
from sassafrasgrade.systems.maintenance_waves import extend_maintenance
from sassafrasgrade.work_commands import MaintainHost, MoveHost, ReportWave
from sassafrasgrade.work_tables import MS_PER_S

logger = logging.getLogger(__name__)

# Prefix of the stored progress of waves, which the next leader reads.
WAVES_PREFIX = "own/waves/"

# Timeout of calls to the host service, in seconds.
CLOUD_TIMEOUT_S = 1.0
# Age of the list of hosts after which it is read again, in seconds: shortly after
# orders, and otherwise.
BUSY_LIST_MAX_AGE_S = 1.0
IDLE_LIST_MAX_AGE_S = 6.0
# Time after the end of an order for which the list may lag behind, in seconds.
LIST_LAG_S = 4.0
# Margin added to the time in which orders of the previous leader may still arrive,
# in seconds.
ORDER_ARRIVAL_MARGIN_S = 0.2
# Pause after a failed read of hosts or waves, in seconds.
LIST_RETRY_S = 0.5

_wave_decoder = msgspec.json.Decoder(Wave)


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a wave.

    Attributes:
        began_at: Unix time at which the wave was first seen.
        is_completed: Whether the wave is completed.
        done: Hosts whose maintenance has begun or was refused for good, and hosts
            that are no longer listed.
    """

    began_at: Quantity
    is_completed: bool
    done: tuple[str, ...] = ()


class HostController:
    """Part of the leader that moves and maintains hosts.

    Args:
        services: ``NodeServices``.
        dispatcher: The ``Dispatcher``.
    """

    def __init__(self, services, dispatcher):
        self._services = services
        self._dispatcher = dispatcher
        self._timers = services.timers
        self._settings = services.settings
        self.fleet = FleetHosts()
        self._cloud = None
        if services.settings.cloud_address:
            self._cloud = CloudClient(
                services.leader_http(),
                services.settings.cloud_address,
                services.settings.node_name,
                CLOUD_TIMEOUT_S,
            )
        self._orders_after = 0.0
        self._last_order_at = 0.0
        self._is_listing = False
        self._list_after = 0.0
        self._reporting = set()
        self._is_closed = False
        self._has_wave_progress = False
        self._refused_waves = RefusedValues()

    def start(self):
        """Starts; orders wait until those of a previous leader are surely over."""
        IOLoop.current().add_callback(self._load_wave_progress)
        if self._dispatcher.tables.epoch > 1:
            now = self._last_order_at = self._timers.now()
            handover = self._dispatcher.loader.full_handover
            if handover is not None:
                pause_s = self._order_pause_s()
                self.fleet.delay_orders(handover.order_age_s_by_host, now, pause_s)
                return
            wait_s = CLOUD_TIMEOUT_S + ORDER_ARRIVAL_MARGIN_S
            self._orders_after = now + wait_s + MAX_HOST_ORDER_RENEWAL_AGE_S

    def _order_pause_s(self):
        """Time between orders of two leaders to one host, in seconds.

        Covers calls of the previous leader that are carried out late.
        """
        lease_s = self._settings.bounds_lease_ms / MS_PER_S
        return lease_s + CLOUD_TIMEOUT_S + ORDER_ARRIVAL_MARGIN_S

    def recent_order_ages(self):
        """Returns the ages of orders that delay a successor's, by host."""
        return self.fleet.recent_order_ages(self._timers.now(), self._order_pause_s())

    async def _load_wave_progress(self):
        """Reads the progress of waves that previous leaders stored."""
        result = await self._services.store.read_range(WAVES_PREFIX)
        if self._is_closed:
            return
        if isinstance(result, Failure):
            logger.warning(
                "progress of waves not read; retrying",
                extra={"error": result.failure().kind},
            )
            IOLoop.current().call_later(LIST_RETRY_S, self._load_wave_progress)
            return
        items, _ = result.unwrap()
        for item in items:
            try:
                number = int(item.key.removeprefix(WAVES_PREFIX))
                record = msgspec.msgpack.decode(item.value, type=WaveProgress)
            except DECODE_ERRORS as error:
                logger.error(
                    "progress of a wave skipped; it cannot be decoded",
                    extra={"key": item.key, "error": str(error)},
                )
                continue
            row = self.fleet.waves_by_number.get(number)
            if row is not None:
                age_s = self._timers.wall_time() - record.began_at
                row.seen_at = self._timers.now() - age_s
                row.is_running_reported = True
                row.is_reported = record.is_completed
                row.revision = item.revision
                row.done.update(record.done)
                row.stored_done = len(record.done)
        self._has_wave_progress = True

    def close(self):
        """Stops sending orders."""
        self._is_closed = True

    def apply_waves(self, values_by_key):
        """Adds the operators' maintenance waves.

        Args:
            values_by_key: JSON values by key; None for a deleted key.
        """
        for key, value in values_by_key.items():
            if value is None:
                continue
            try:
                wave = _wave_decoder.decode(value)
            except DECODE_ERRORS as error:
                message = "maintenance wave skipped; its value cannot be decoded"
                self._refused_waves.log_new(logger, message, key, error)
                continue
            if wave.number not in self.fleet.waves_by_number:
                row = WaveRow(wave, self._timers.now())
                self.fleet.waves_by_number[wave.number] = row
                logger.info(
                    "maintenance wave added",
                    extra={
                        "wave": wave.number,
                        "hosts": len(wave.hosts),
                        "cap": wave.most_at_once,
                        "duration_s": wave.duration_s,
                    },
                )

    def plan(self, now):
        """Returns the commands of one tick."""
        if self._cloud is None:
            return []
        self._refresh_list_if_stale(now)
        if (
            not self._has_wave_progress
            or now < self._orders_after
            or not self._dispatcher.has_host_authority()
        ):
            return []
        return plan_hosts(self._dispatcher.tables, self.fleet, self._settings, now)

    def _refresh_list_if_stale(self, now):
        busy = now - self._last_order_at < LIST_LAG_S
        age_s = now - self.fleet.listed_at
        max_age_s = BUSY_LIST_MAX_AGE_S if busy else IDLE_LIST_MAX_AGE_S
        if not self._is_listing and age_s > max_age_s and now >= self._list_after:
            self._is_listing = True
            IOLoop.current().add_callback(self._refresh_list)

    async def _refresh_list(self):
        sent_at = self._timers.now()
        try:
            result = await self._cloud.list_hosts()
        finally:
            self._is_listing = False
        if self._is_closed:
            return
        if isinstance(result, Failure):
            self._list_after = self._timers.now() + LIST_RETRY_S
            logger.warning(
                "dependency lost",
                extra={"dependency": "hosts", "error": str(result.failure())},
            )
            return
        hosts = result.unwrap()
        self.fleet.apply_list(hosts.rows, sent_at, hosts.is_complete)

    def carry_out_soon(self, command):
        """Schedules the execution of a command."""
        IOLoop.current().add_callback(self._carry_out, command)

    @singledispatchmethod
    async def _carry_out(self, command):
        raise TypeError(f"unknown command {type(command).__name__}")

    @_carry_out.register
    async def _(self, command: MoveHost):
        host = self.fleet.hosts_by_name.get(command.host)
        if host is None or not self._is_order_allowed(host):
            return
        source = host.pool
        token = self._dispatcher.token
        host.ordered_at = self._timers.now()
        worker = worker_of(self._dispatcher.tables, host)
        outcome = await self._cloud.move_host(command.host, command.pool, token)
        self._log_order("move", command, outcome, source=source, reason=command.reason)
        if outcome is HostOrderOutcome.DONE:
            host.pool = command.pool
        self._apply_outcome(host, worker, outcome)

    @_carry_out.register
    async def _(self, command: MaintainHost):
        host = self.fleet.hosts_by_name.get(command.host)
        row = self.fleet.waves_by_number.get(command.wave)
        if host is None or row is None:
            return
        if not self._is_order_allowed(host):
            row.down_until_by_host.pop(command.host, None)
            return
        token = self._dispatcher.token
        host.ordered_at = self._timers.now()
        worker = worker_of(self._dispatcher.tables, host)
        outcome = await self._cloud.maintain_host(command.host, command.wave, token)
        self._log_order("upkeep", command, outcome, wave=command.wave)
        if outcome in (HostOrderOutcome.DONE, HostOrderOutcome.UNKNOWN):
            extend_maintenance(host, row, self._settings, self._timers.now())
        if outcome is HostOrderOutcome.DONE:
            row.done.add(command.host)
        elif outcome in (HostOrderOutcome.INVALID, HostOrderOutcome.NOT_OF_WAVE):
            row.done.add(command.host)
        elif outcome is not HostOrderOutcome.UNKNOWN:
            row.down_until_by_host.pop(command.host, None)
        self._apply_outcome(host, worker, outcome)

    def _is_order_allowed(self, host):
        """Checks, just before an order is sent, that it is allowed and ends no run."""
        worker = worker_of(self._dispatcher.tables, host)
        if worker is not None and worker.has_runs:
            worker.is_reserved = False
            host.busy_until = 0.0
            return False
        return not self._is_closed and self._dispatcher.has_host_authority()

    def _apply_outcome(self, host, worker, outcome):
        """Applies the outcome of an order to the tables.

        Args:
            host: The ordered host.
            worker: Its worker when the order was sent, or None. By the time of the
                answer, which is also positive if the order had been carried out
                before, the host may have the next one.
            outcome: ``HostOrderOutcome``.
        """
        now = self._timers.now()
        self._last_order_at = now
        if outcome is HostOrderOutcome.DONE:
            host.worker_id = ""
            if self._dispatcher.is_present(worker):
                self._dispatcher.remove_worker(worker)
            return
        if outcome is HostOrderOutcome.UNKNOWN:
            # It may have been executed; a list of hosts that is requested after the
            # host's ``busy_until`` shows it.
            return
        host.arrives_at = 0.0
        host.busy_until = now + REFUSED_PAUSE_S
        if worker is not None:
            worker.is_reserved = False

    def _log_order(self, kind, command, outcome, **fields):
        self._dispatcher.counters.count_host_order(kind, outcome.value)
        logger.info(
            "host order sent",
            extra={
                "kind": kind,
                "target": command.host,
                "outcome": outcome.value,
                "list_age_s": round(self._timers.now() - self.fleet.listed_at, 2),
                "pool": getattr(command, "pool", None),
                **fields,
            },
        )

    @_carry_out.register
    async def _(self, command: ReportWave):
        if command.wave in self._reporting:
            return
        self._reporting.add(command.wave)
        row = self.fleet.waves_by_number[command.wave]
        state = names.WAVE_COMPLETED if command.is_completed else names.WAVE_RUNNING
        value = msgspec.json.encode({"wave": command.wave, "state": state})
        puts = [Put(f"{names.WAVE_STATUS_PREFIX}{command.wave}", value)]
        key = f"{WAVES_PREFIX}{command.wave}"
        began_at = self._timers.wall_time() - (self._timers.now() - row.seen_at)
        done = tuple(sorted(row.done))
        record = WaveProgress(began_at, command.is_completed, done)
        puts.append(Put(key, msgspec.msgpack.encode(record)))
        # The condition on the revision prevents a late write from undoing a newer one.
        conditions = [(LEADER_KEY, self._dispatcher.token), (key, row.revision)]
        result = await self._services.store.commit(conditions, puts)
        self._reporting.discard(command.wave)
        if isinstance(result, Failure):
            logger.warning(
                "state of maintenance wave not stored",
                extra={"error": result.failure().kind},
            )
            if isinstance(result.failure(), RevisionConflict):
                await self._load_wave_progress()
            return
        row.revision = result.unwrap()
        row.stored_done = len(done)
        row.is_running_reported = True
        row.is_reported = command.is_completed
        logger.info(
            "state of maintenance wave stored",
            extra={"wave": command.wave, "state": state},
        )
