"""Slots of the backend servers that one entry host owns."""

from dataclasses import dataclass, field

from sassafrasgrade.attempts import AttemptResult
from sassafrasgrade.systems.health import ServerHealth, has_failed, record_attempt
from sassafrasgrade.systems.shares import ShareQueue, WaitingRequest, tie_break
from sassafrasgrade.tables import Host

# Time after a grant within which the entry host must start the attempt.
LEASE_VALID_S = 0.3
# Time after a takeover until all leases of the former owner have lapsed.
TAKEOVER_GRACE_S = 0.4
RECLAIM_MARGIN_S = 0.5
REPORT_VALID_S = 1.0
# A server that reports that it is leaving gets no grants for this long.
LEAVING_VALID_S = 10.0
# For this long after the end of an ejection, only repeatable requests probe the
# server.
REPEATABLE_PROBE_S = 1.0
MIN_SERVICE_S = 1e-6
# Time for which a late request is assumed to keep running, in multiples of the
# service time that few requests exceed.
ABANDONED_FACTOR = 1.0


@dataclass(frozen=True, slots=True)
class SlotLease:
    """A slot granted to one request.

    Attributes:
        waiting: The request.
        host: The server's host name.
        granted_at: When it was granted.
        reclaim_at: When it counts as free even if no result was received.
    """

    waiting: WaitingRequest
    host: str
    granted_at: float
    reclaim_at: float


@dataclass(slots=True)
class Server:
    """One owned backend server.

    Attributes:
        host: The host.
        pool: Name of its pool.
        slots: Slots that this owner may grant.
        health: Its health.
        leases_by_id: Current leases by request id.
        ready_at: No grant before this time, after a takeover.
        is_counted: Whether the slots in use at takeover are known.
        others_busy: Slots in use by others, as the server reported.
        others_until: When that report expires.
        leaving_until: No grant before this time, as the server is leaving.
        abandoned: Times until which slots of late requests count as busy.
    """

    host: Host
    pool: str
    slots: int
    health: ServerHealth
    leases_by_id: dict[str, SlotLease] = field(default_factory=dict)
    ready_at: float = 0.0
    is_counted: bool = False
    others_busy: int = 0
    others_until: float = 0.0
    leaving_until: float = 0.0
    abandoned: list = field(default_factory=list)

    def free_slots(self, now):
        """Returns how many slots can be granted now."""
        if not self.is_counted or now < self.ready_at or now < self.leaving_until:
            return 0
        if self.abandoned:
            self.abandoned = [until for until in self.abandoned if until > now]
        others = self.others_busy if now < self.others_until else 0
        busy = len(self.leases_by_id) + len(self.abandoned) + others
        return self.health.allowed(self.slots, now) - busy


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Free capacity and predicted waits of an owner in one pool.

    Attributes:
        pool: Name of the pool.
        slots: Slots of the servers owned.
        free_slots: Slots that could be granted now.
        step_s: Seconds that one more request adds to the wait of its class.
        ejected: Servers ejected or probing.
        waits_by_class: Predicted wait in seconds of the classes queued.
    """

    pool: str
    slots: int
    free_slots: int
    step_s: float
    ejected: int
    waits_by_class: dict


class SlotTable:
    """Servers, leases and queues of one owner; decides which requests get a slot.

    Args:
        queue_type: Class of the queues; other than ``ShareQueue`` only for baselines.
    """

    def __init__(self, queue_type=ShareQueue):
        self._queue_type = queue_type
        self.servers_by_name = {}
        self._names_by_pool = {}
        # Unfinished leases of servers that are no longer owned.
        self._retired_by_name = {}
        self.queues_by_pool = {}
        self.budgets_by_pool = {}
        self.ejected_elsewhere = {}

    def set_servers(self, wanted, budgets_by_pool, now):
        """Sets the owned servers: takes over new ones and releases others.

        Args:
            wanted: (host, pool name, slots) of the servers owned from now on.
            budgets_by_pool: Hosts that may be out, by pool.
            now: Current time.

        Returns:
            Names of the servers taken over, whose busy slots must be counted.
        """
        self.budgets_by_pool = budgets_by_pool
        servers = {}
        acquired = []
        names = {host.name for host, _, _ in wanted}
        for name, server in self.servers_by_name.items():
            if name not in names and server.leases_by_id:
                leases = self._retired_by_name.setdefault(name, {})
                leases.update(server.leases_by_id)
        for host, pool, slots in wanted:
            server = self.servers_by_name.get(host.name)
            if server is None or server.host != host or server.pool != pool:
                server = Server(host, pool, slots, ServerHealth(float(slots)))
                server.ready_at = now + TAKEOVER_GRACE_S
                acquired.append(host.name)
            elif server.slots != slots:
                server.slots = slots
                server.health.limit = float(slots)
            servers[host.name] = server
        self.servers_by_name = servers
        self._names_by_pool = {}
        for name, server in servers.items():
            self._names_by_pool.setdefault(server.pool, []).append(name)
        return acquired

    def record_takeover_busy(self, name, busy, now):
        """Records the busy slots that a server reported after its takeover."""
        server = self.servers_by_name.get(name)
        if server is None:
            return
        server.is_counted = True
        self._record_busy(server, busy, len(server.leases_by_id), now)

    def serves(self, pool):
        """Whether this owner has any server of the pool."""
        return pool in self._names_by_pool

    def free_slots(self, pool, now):
        """Returns the slots that could be granted now in a pool."""
        names = self._names_by_pool.get(pool, ())
        return sum(max(0, self.servers_by_name[name].free_slots(now)) for name in names)

    def queue(self, pool):
        """Returns the queue of a pool."""
        queue = self.queues_by_pool.get(pool)
        if queue is None:
            queue = self.queues_by_pool[pool] = self._queue_type()
        return queue

    def predict_wait(self, waiting, now):
        """Returns the wait that a new request would have, in seconds."""
        return self.queue(waiting.pool).predict_wait(
            waiting, self._working_slots(waiting.pool, now)
        )

    def enqueue(self, waiting, now):
        """Queues a request if it can be answered in time.

        Returns:
            None, or the predicted wait in seconds if it was not queued.
        """
        queue = self.queue(waiting.pool)
        wait_s = self.predict_wait(waiting, now)
        if now + wait_s > queue.latest_start(waiting):
            return wait_s
        queue.push(waiting)
        return None

    def grant(self, pool, now):
        """Grants free slots of a pool to its queue; returns the leases."""
        leases = []
        queue = self.queue(pool)
        while len(queue):
            free = self._free_servers(pool, now)
            if not free:
                break
            waiting = queue.pop(lambda item: self._choose(item, free, now) is not None)
            if waiting is None:
                break
            server = self._choose(waiting, free, now)
            leases.append(self._lease(server, waiting, now))
        return leases

    def release(self, request_id, host):
        """Frees a slot; returns its lease, or None if it was reclaimed."""
        server = self.servers_by_name.get(host)
        if server is not None and request_id in server.leases_by_id:
            return server.leases_by_id.pop(request_id)
        return self._retired_by_name.get(host, {}).pop(request_id, None)

    def retired_hosts_in_use(self):
        """Returns the hosts that are no longer owned but still have leases."""
        return {name for name, leases in self._retired_by_name.items() if leases}

    def record_result(self, lease, result, status, service_s, busy, leaving, now):
        """Updates health, cost and busy slots after a finished attempt.

        Args:
            lease: The lease that ``release`` returned.
            result: ``AttemptResult`` of the attempt.
            status: HTTP status, 0 without an answer.
            service_s: Time from the first byte to the complete answer.
            busy: Busy slots that the server reported, -1 if it did not.
            leaving: Whether the server reported that it is leaving.
            now: Current time.

        Returns:
            Whether this attempt ejected the server.
        """
        server = self.servers_by_name.get(lease.host)
        if server is None:
            return False
        if result is AttemptResult.LATE:
            # The server is not notified of the timeout, so its slot stays busy.
            service_bound_s = self.queue(server.pool).service_bound_of(
                lease.waiting.class_key
            )
            server.abandoned.append(now + ABANDONED_FACTOR * service_bound_s)
        if leaving:
            server.leaving_until = now + LEAVING_VALID_S
        if busy >= 0:
            self._record_busy(server, busy, len(server.leases_by_id), now)
        queue = self.queue(server.pool)
        key = lease.waiting.class_key
        mean_s = queue.cost_of(key)
        relative = service_s / max(mean_s, MIN_SERVICE_S)
        allowed_s = lease.waiting.deadline_at - lease.granted_at
        failed = has_failed(result, status, allowed_s, mean_s)
        if not failed and status:
            queue.record_service_time(key, service_s)
        return record_attempt(
            server.health,
            failed,
            relative,
            server.slots,
            now,
            self._may_eject(server.pool, now),
        )

    def reclaim(self, now):
        """Frees and returns leases that were not released in time."""
        reclaimed = []
        owned_leases = [server.leases_by_id for server in self.servers_by_name.values()]
        for leases in [*owned_leases, *self._retired_by_name.values()]:
            for lease in list(leases.values()):
                if lease.reclaim_at <= now:
                    reclaimed.append(leases.pop(lease.waiting.request_id))
        return reclaimed

    def load_reports(self, now):
        """Returns a ``LoadReport`` for each pool served."""
        return [self.load_report(pool, now) for pool in sorted(self._names_by_pool)]

    def load_report(self, pool, now):
        """Returns the ``LoadReport`` of one pool."""
        queue = self.queue(pool)
        slots = self._working_slots(pool, now)
        return LoadReport(
            pool,
            slots,
            self.free_slots(pool, now),
            queue.cost_of(None) / max(slots, 1),
            self._ejected(pool, now),
            queue.waits_by_class(slots),
        )

    def _ejected(self, pool, now):
        return sum(
            self.servers_by_name[name].health.is_ejected(now)
            or self.servers_by_name[name].health.is_probing
            for name in self._names_by_pool.get(pool, ())
        )

    def _may_eject(self, pool, now):
        out = self._ejected(pool, now) + self.ejected_elsewhere.get(pool, 0)
        return out < self.budgets_by_pool.get(pool, 0)

    def _working_slots(self, pool, now):
        slots = 0
        for name in self._names_by_pool.get(pool, ()):
            server = self.servers_by_name[name]
            slots += server.health.allowed(server.slots, now)
        return slots

    def _free_servers(self, pool, now):
        servers = (self.servers_by_name[n] for n in self._names_by_pool.get(pool, ()))
        return [server for server in servers if server.free_slots(now) > 0]

    def _choose(self, waiting, free, now):
        """Returns the least busy free server that may serve the request."""
        best = None
        best_rank = None
        for server in free:
            if server.host.name in waiting.excluded:
                continue
            if server.health.is_probing and not _may_probe(server, waiting, now):
                continue
            rank = (
                len(server.leases_by_id) / server.slots,
                tie_break(waiting.request_id, server.host.name),
            )
            if best is None or rank < best_rank:
                best, best_rank = server, rank
        return best

    def _lease(self, server, waiting, now):
        remaining_s = max(0.0, waiting.deadline_at - now)
        reclaim_at = now + LEASE_VALID_S + remaining_s + RECLAIM_MARGIN_S
        lease = SlotLease(waiting, server.host.name, now, reclaim_at)
        server.leases_by_id[waiting.request_id] = lease
        return lease

    def _record_busy(self, server, busy, own, now):
        server.others_busy = max(0, busy - own)
        server.others_until = now + REPORT_VALID_S


def _may_probe(server, waiting, now):
    # Requests that may run only once probe only if no repeatable request did.
    waited_s = now - server.health.ejected_until
    return waiting.repeatable or waited_s > REPEATABLE_PROBE_S
