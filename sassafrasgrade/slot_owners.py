"""Owns backend servers: queues slot requests and grants slot leases."""

import logging

from tornado.ioloop import IOLoop

from sassafrasgrade.answers import Reason
from sassafrasgrade.attempts import AttemptResult
from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.messages import ClassWait, PoolLoad, SlotGrant, SlotRefusal
from sassafrasgrade.systems.ownership import assign_owners, assign_split
from sassafrasgrade.systems.shares import FifoQueue, ShareQueue, WaitingRequest
from sassafrasgrade.systems.slots import LEASE_VALID_S, SlotTable
from sassafrasgrade.tables import HostState

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# An owner whose last tick is older than this was paused, and grants nothing.
MAX_TICK_GAP_S = 0.5
RECOUNT_DELAY_S = 0.25
QUEUE_TYPES = {"shares": ShareQueue, "fifo": FifoQueue}


class SlotOwner:
    """Manages the slot table of one entry host.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        deliver: Function (origin name, message) that sends an answer.
        probe: Coroutine function (host) that returns a server's busy slots.
    """

    def __init__(self, settings, timers, deliver, probe):
        self._name = settings.host_name
        self._data_centre = settings.host_data_centre
        self._slot_method = settings.entry_slot_method
        self._timers = timers
        self._deliver = deliver
        self._probe = probe
        self._ticked_at = timers.now()
        self.table = SlotTable(QUEUE_TYPES[settings.entry_admission_method])
        self.ejections = 0

    def update(self, configuration, hosts_by_name, entry_names, membership):
        """Recomputes which servers this entry host owns.

        Args:
            configuration: Current ``Configuration``.
            hosts_by_name: Hosts of the own data centre.
            entry_names: Live entry hosts of the own data centre, with this one.
            membership: ``Membership`` of the own data centre; while it is empty
                the pools table determines which hosts serve.
        """
        wanted = []
        budgets = {}
        for pool in configuration.pools_by_name.values():
            budgets[pool.name] = pool.out_at_most
            names = self._pool_names(pool, membership)
            for name, slots in self._owned_slots(pool, names, entry_names).items():
                host = hosts_by_name.get(name)
                if _may_serve(host, membership.records_by_name.get(name)):
                    wanted.append((host, pool.name, slots))
        added_names = self.table.set_servers(wanted, budgets, self._timers.now())
        for name in added_names:
            IOLoop.current().add_callback(self._count_busy, name)
        for pool, queue in self.table.queues_by_pool.items():
            if len(queue) and not self.table.serves(pool):
                self._refuse_all(queue.drain(), Reason.NO_HOST)

    def _pool_names(self, pool, membership):
        if membership.version:
            return [record.name for record in membership.of_pool(pool.name)]
        return pool.hosts_by_data_centre.get(self._data_centre, ())

    def _owned_slots(self, pool, names, entry_names):
        if self._name not in entry_names:
            return {}
        if self._slot_method == "split":
            return assign_split(names, entry_names, self._name, pool.slots)
        owners = assign_owners(names, entry_names)
        return {
            name: pool.slots for name, owner in owners.items() if owner == self._name
        }

    async def _count_busy(self, name):
        server = self.table.servers_by_name.get(name)
        if server is None:
            return
        delay_s = server.ready_at - self._timers.now()
        if delay_s > 0:
            IOLoop.current().call_later(delay_s, self._count_busy, name)
            return
        busy = await self._probe(server.host)
        self.table.record_takeover_busy(name, busy, self._timers.now())
        self._grant(server.pool)
        if self.table.servers_by_name.get(name) is server and server.others_busy:
            # Requests of the former owner still run: recounts until none do.
            IOLoop.current().call_later(RECOUNT_DELAY_S, self._count_busy, name)

    def request(self, origin, message):
        """Handles a slot request; a grant or a refusal answers it, now or later."""
        now = self._timers.now()
        waiting = WaitingRequest(
            message.request_id,
            message.pool,
            message.urgency,
            message.team,
            message.weight,
            message.repeatable,
            now,
            now + message.deadline_ms / MS_PER_S,
            origin,
            tuple(message.excluded),
        )
        if not self.table.serves(message.pool):
            self._refuse(waiting, Reason.NO_HOST, 0)
            return
        wait_s = self.table.enqueue(waiting, now)
        if wait_s is not None:
            self._refuse(waiting, Reason.OVERLOADED, wait_s)
            return
        self._grant(message.pool)

    def cancel(self, request_id):
        """Removes a waiting request."""
        for queue in self.table.queues_by_pool.values():
            queue.remove(request_id)

    def finish(self, done):
        """Handles a ``SlotDone``: frees the slot and evaluates the attempt."""
        lease = self.table.release(done.request_id, done.host)
        if lease is None:
            return
        result = AttemptResult(done.result)
        if done.status or result is not AttemptResult.NOT_SENT or done.service_ms:
            ejected = self.table.record_result(
                lease,
                result,
                done.status,
                done.service_ms / MS_PER_S,
                done.busy,
                done.leaving,
                self._timers.now(),
            )
            if ejected:
                self.ejections += 1
                logger.warning(
                    "backend server %s ejected temporarily after failed attempts",
                    done.host,
                )
        self._grant(lease.waiting.pool)

    def tick(self, now):
        """Refuses requests past their deadline and grants slots; runs periodically."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            logger.warning(
                "entry process was paused for %.1f s; releasing all servers",
                now - self._ticked_at,
            )
            self._release_all_servers()
        self._ticked_at = now
        for pool, queue in self.table.queues_by_pool.items():
            if not len(queue):
                continue
            for waiting in queue.expire(now):
                self._refuse(waiting, Reason.DEADLINE_PASSED, 1.0)
            self._grant(pool)

    def loads(self):
        """Frees slots of overdue leases; returns a ``PoolLoad`` per served pool."""
        self.table.reclaim(self._timers.now())
        return [
            PoolLoad(
                report.pool,
                report.slots,
                report.free_slots,
                int(report.step_s * MS_PER_S),
                report.ejected,
                [
                    ClassWait(urgency, team, int(wait_s * MS_PER_S))
                    for (urgency, team), wait_s in report.waits_by_class.items()
                ],
            )
            for report in self.table.load_reports(self._timers.now())
        ]

    def refuse_all_waiting(self):
        """Refuses all waiting requests, so that the origins ask other owners."""
        for queue in self.table.queues_by_pool.values():
            self._refuse_all(queue.drain(), Reason.NO_HOST)

    def _release_all_servers(self):
        # Other entry hosts may own the servers by now, so each server is taken over
        # anew, with the grace period of a takeover.
        self.table.set_servers([], {}, self._timers.now())
        self.refuse_all_waiting()

    def _grant(self, pool):
        now = self._timers.now()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            return
        for lease in self.table.grant(pool, now):
            host = self.table.servers_by_name[lease.host].host
            waited_s = lease.granted_at - lease.waiting.enqueued_at
            grant = SlotGrant(
                lease.waiting.request_id,
                host.name,
                host.address,
                host.port,
                int(waited_s * MS_PER_S),
                int(LEASE_VALID_S * MS_PER_S),
            )
            self._deliver(lease.waiting.origin, grant)

    def _refuse_all(self, waiting_list, reason):
        for waiting in waiting_list:
            self._refuse(waiting, reason, 0)

    def _refuse(self, waiting, reason, retry_after_s):
        refusal = SlotRefusal(
            waiting.request_id, str(reason), int(retry_after_s * MS_PER_S)
        )
        self._deliver(waiting.origin, refusal)


def _may_serve(host, record):
    """Whether the host list and the membership record allow a host to get work."""
    if host is None or host.state is not HostState.LIVE:
        return False
    return record is None or record.phase is HostPhase.SERVING
