"""Keeps a data centre's membership in a manager and plans while it has the lease."""

import logging

from sassafrasgrade.fleets import EntryAck, Membership
from sassafrasgrade.http_clients import create_http_client, fetch_health
from sassafrasgrade.messages import MembershipUpdate
from sassafrasgrade.planners import FleetPlanner, PlannerLease
from sassafrasgrade.tables import HostKind

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 1.0
MAX_CONCURRENT_PROBES = 4
HTTP_OK = 200


class FleetController:
    """Plans the data centre while it holds the planner lease; else follows the planner.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        platform: Adapter to the platform.
        on_change: Function (``MembershipUpdate``), called when the membership changed.
    """

    def __init__(self, settings, timers, platform, on_change):
        self._timers = timers
        self._on_change = on_change
        self._http = create_http_client(MAX_CONCURRENT_PROBES)
        self._planner = FleetPlanner(
            settings.host_data_centre, platform, timers, self._probe
        )
        self._lease = PlannerLease(
            platform, timers, settings.host_data_centre, settings.host_name
        )
        self._is_ticking = False
        self.is_planning = False
        self.membership = Membership()

    def close(self):
        """Closes the probe client."""
        self._http.close()

    async def tick(
        self, is_candidate, configuration, hosts_by_name, acks, burning_pools
    ):
        """Plans once, if this manager holds or acquires the lease.

        Args:
            is_candidate: Whether no other manager is known to plan.
            configuration: ``Configuration`` in force.
            hosts_by_name: The host list of the data centre.
            acks: ``EntryAck`` by entry host.
            burning_pools: Names of pools whose error budget burns too fast for
                maintenance.
        """
        if self._is_ticking or not configuration.generation or not hosts_by_name:
            return
        if not (is_candidate or self.is_planning):
            return
        self._is_ticking = True
        try:
            await self._tick(configuration, hosts_by_name, acks, burning_pools)
        finally:
            self._is_ticking = False

    async def _tick(self, configuration, hosts_by_name, acks, burning_pools):
        if not await self._lease.renew():
            self._set_planning(False)
            return
        if not self.is_planning:
            self._set_planning(await self._planner.take_over())
            return
        listed = [
            host.name for host in hosts_by_name.values() if host.kind is HostKind.ENTRY
        ]
        servers = {
            name: host
            for name, host in hosts_by_name.items()
            if host.kind is HostKind.BACKEND_SERVER
        }
        view = await self._planner.view(
            configuration, servers, acks, listed, burning_pools
        )
        if view is None:
            return
        await self._planner.carry_out_all(view, self._planner.decide(view))
        self.adopt(self._planner.membership)

    def _set_planning(self, planning):
        if planning != self.is_planning:
            logger.info("this manager plans the data centre: %s", planning)
        if not planning:
            self._planner.discard_state()
        self.is_planning = planning

    def adopt(self, membership):
        """Stores a newer membership and announces the change."""
        if membership.version <= self.membership.version:
            return
        update = compare_memberships(self.membership, membership)
        self.membership = membership
        self._on_change(update)

    def apply_update(self, update):
        """Applies a peer's update; returns False if a newer one has another base."""
        membership = apply_membership_update(self.membership, update)
        if membership is None:
            return update.version <= self.membership.version
        self.adopt(membership)
        return True

    def full_update(self):
        """Returns an update with the whole membership, for any older version."""
        return compare_memberships(Membership(), self.membership)

    async def _probe(self, host):
        response = await fetch_health(self._http, host, PROBE_TIMEOUT_S)
        return response.code == HTTP_OK


def compare_memberships(old, new):
    """Returns the ``MembershipUpdate`` from one membership to another."""
    changed = [
        record
        for name, record in new.records_by_name.items()
        if old.records_by_name.get(name) != record
    ]
    removed = sorted(old.records_by_name.keys() - new.records_by_name.keys())
    return MembershipUpdate(new.version, old.version, changed, removed, new.moves)


def apply_membership_update(current, update):
    """Returns the new ``Membership``; None if it is not newer or has another base."""
    if update.version <= current.version:
        return None
    if update.base_version not in (0, current.version):
        return None
    records = {} if update.base_version == 0 else dict(current.records_by_name)
    records.update({record.name: record for record in update.changed})
    for name in update.removed:
        records.pop(name, None)
    return Membership(update.version, 0, records, {}, update.moves)


def collect_acks(reports):
    """Returns ``EntryAck`` by entry host.

    Args:
        reports: (entry host, version, busy hosts) as last reported.
    """
    return {name: EntryAck(version, frozenset(busy)) for name, version, busy in reports}
