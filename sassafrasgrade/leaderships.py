"""Membership and leadership of nodes, agreed through the platform's store."""

import asyncio
import logging
import time
import uuid

from returns.result import Failure
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import (
    HistoryCompacted,
    LeaseGone,
    PlatformUnavailable,
    RevisionConflict,
)
from sassafrasgrade.member_records import (
    EPOCH_KEY,
    LEADER_KEY,
    NODES_PREFIX,
    OWN_PREFIX,
    LeaderRecord,
    NodeRecord,
    decode_leader,
    decode_node,
    encode_record,
)
from sassafrasgrade.platform.stores import Put
from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.watchers import Backoff

logger = logging.getLogger(__name__)

# Life of a node's lease without renewal, in seconds: the leader goes on through
# store outages of that length; a lost leader is replaced sooner on suspicion.
LEASE_TTL_S = 6.0
# Time between renewals, and after which an unanswered one is given up.
KEEP_PERIOD_S = 0.6
KEEP_TIMEOUT_S = 0.5
# Part of the lease that is not relied on: clock drift and the time of calls.
LEASE_MARGIN_S = 0.15
# Age of the last renewal up to which a lease may carry the leader's key, in
# seconds: two renewals; an older one may lapse at once when the store returns.
FRESH_LEASE_S = 1.2
# Delay between candidates of neighbouring rank, in seconds.
CANDIDATE_STEP_S = 0.06
# Time for which a node that gave the lead up leaves it to others, in seconds.
RELEASE_PAUSE_S = 3.0
# Age of the last renewal up to which hosts may be ordered, in seconds; hosts
# check no token, so a successor waits that long and for calls under way.
HOST_ORDERS_S = 1.2
# Suspend after which the lead counts only once a renewal is answered, seconds.
PAUSE_S = 0.3
# Longest wait of one watch call, in seconds.
WATCH_S = 1.3


class Leadership:
    """Keeps the node's lease and decides by conditional writes who leads.

    Args:
        store: ``StoreClient``.
        timers: Timer service; its clock counts suspends.
        settings: ``NodeSettings``.
        on_gain: Called with (token, epoch, whether the leader before has surely
            stopped) when this node begins to lead.
        on_renew: Called with (token, epoch) when a leader regains a lost key.
        on_loss: Called with a reason when it no longer leads.
        on_leader: Called with the ``LeaderRecord`` or None after each change.
        vacancy_delay_s: Function that returns how long to wait before standing
            for a key that vanished, in seconds.
    """

    def __init__(
        self,
        store,
        timers,
        settings,
        on_gain,
        on_renew,
        on_loss,
        on_leader,
        vacancy_delay_s,
    ):
        self._store = store
        self._timers = timers
        self._settings = settings
        self._on_gain = on_gain
        self._on_renew = on_renew
        self._on_loss = on_loss
        self._vacancy_delay_s = vacancy_delay_s
        self._on_leader = on_leader
        self.incarnation = uuid.uuid4().hex[:12]
        self.address = f"{settings.node_address}:{settings.listen_peers_port}"
        self.lease = 0
        self.token = 0
        self.leader = None
        self.leader_revision = 0
        self.past_revision = 0
        self._past_epoch = 0
        self._lease_until = 0.0
        self._records_by_name = {}
        self._revision = None
        self._is_withdrawn = False
        self._is_closed = False
        # Set when the lease is to be renewed at once.
        self._renewal = asyncio.Event()
        self._candidate = None
        self._store_answer_at = timers.now()
        self._dead_revision = 0
        self._suspected_revision = 0
        self.held_revision = 0
        self._leader_lease = 0
        self._stand_after = 0.0
        self._renewed_at = 0.0
        self._pause_offset = 0.0

    @property
    def leads(self):
        """Whether this node holds the leader's key, as far as it knows."""
        return self.token > 0

    def has_authority(self):
        """Whether the lease surely lives, so that orders may be given."""
        if not self.leads or self._timers.now() >= self._lease_until:
            return False
        return _suspended_s() - self._pause_offset < PAUSE_S

    def has_host_authority(self):
        """Whether hosts may be ordered: the renewal is fresh."""
        is_fresh = self._timers.now() - self._renewed_at < HOST_ORDERS_S
        return is_fresh and self.has_authority()

    @property
    def led_at(self):
        """Clock at which this node surely led: its last renewal was sent."""
        return self._renewed_at

    @property
    def other_records(self):
        """``NodeRecord`` of the live nodes that are neither leader nor this one."""
        leader = self.leader.name if self.leader is not None else ""
        own = self._settings.node_name
        return [
            record
            for name, record in self._records_by_name.items()
            if name not in (own, leader)
        ]

    def store_silent_s(self):
        """Seconds since the store answered a renewal or a watch."""
        return self._timers.now() - self._store_answer_at

    def start(self):
        """Starts the loops."""
        IOLoop.current().add_callback(self._keep_loop)
        IOLoop.current().add_callback(self._watch_loop)

    def note_leader_dead(self, incarnation):
        """Takes in proof that the leader's process has ended.

        Args:
            incarnation: Incarnation that was proved dead.
        """
        leader = self.leader
        if leader is None or leader.incarnation != incarnation or self.leads:
            return
        if incarnation == self.incarnation:
            return
        if self._dead_revision != self.leader_revision:
            self._dead_revision = self.leader_revision
            logger.info("leader process ended", extra={"leader": leader.name})
            self._stand_soon()

    def take_hand_over(self, revision):
        """Takes over from a leader that has stopped giving orders."""
        if revision == self.held_revision and not self.leads:
            self._dead_revision = revision
            self._stand_soon(is_handed=True)

    def suspect_leader(self, revision):
        """Takes over from a leader that most nodes do not hear any more."""
        if revision == self.leader_revision and not self.leads:
            self._suspected_revision = revision
            self._stand_soon()

    def close(self):
        """Stops watching the store."""
        self._is_closed = True

    async def withdraw(self):
        """Gives the leadership up for good and removes the node's keys."""
        self._is_withdrawn = True
        if self.leads:
            self._lose("stopping")
        if self.lease:
            result = await self._store.end_lease(self.lease)
            if isinstance(result, Failure):
                logger.info("lease not ended", extra={"error": str(result.failure())})

    async def release(self, reason):
        """Stops leading and removes the leader's key, so that others stand."""
        if not self.leads:
            return
        token = self.token
        self._lose(reason)
        self._stand_after = self._timers.now() + RELEASE_PAUSE_S
        result = await self._store.commit([(LEADER_KEY, token)], deletes=[LEADER_KEY])
        logger.info(
            "leadership released", extra={"reason": reason, "outcome": _outcome(result)}
        )

    def step_down(self, reason):
        """Stops leading; the key stays until it is taken over or lapses."""
        if self.leads:
            self._lose(reason)

    # The lease.

    async def _keep_loop(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_withdrawn:
            if not self.lease:
                if not await self._register():
                    await gen.sleep(backoff.next_delay())
                    continue
                backoff.reset()
            await self._wait_for_renewal()
            if self.lease and not self._is_withdrawn:
                await self._keep()

    async def _wait_for_renewal(self):
        self._renewal.clear()
        try:
            await asyncio.wait_for(self._renewal.wait(), KEEP_PERIOD_S)
        except TimeoutError:
            return

    async def _keep(self):
        sent_at = self._timers.now()
        result = await self._store.keep_lease(self.lease, KEEP_TIMEOUT_S)
        if not isinstance(result, Failure):
            self._note_lease(sent_at)
            return
        error = result.failure()
        if isinstance(error, LeaseGone):
            logger.warning("lease lost", extra={"lease": self.lease})
            self.lease = 0
            self._lease_until = 0.0

    def _note_lease(self, sent_at):
        self._store_answer_at = self._timers.now()
        self._lease_until = sent_at + LEASE_TTL_S - LEASE_MARGIN_S
        self._renewed_at = sent_at
        self._pause_offset = _suspended_s()

    async def _register(self):
        sent_at = self._timers.now()
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Failure):
            return False
        lease = granted.unwrap()
        record = NodeRecord(
            self._settings.node_name,
            self.incarnation,
            self.address,
            self._settings.node_cores * self._settings.node_core_speed,
        )
        put = Put(NODES_PREFIX + record.name, encode_record(record), lease)
        written = await self._store.commit(puts=(put,))
        if isinstance(written, Failure):
            return False
        self.lease = lease
        if self.leads:
            # The leader's key ended with the lease before: regain it first.
            await self.reacquire()
        self._note_lease(sent_at)
        logger.info("registered", extra={"lease": lease})
        if self._revision is not None and self._is_free():
            self._stand_soon()
        return True

    def _is_free(self):
        """Whether the lead may be taken: nobody has it, or its holder is lost."""
        return self.leader is None or self.leader_revision in (
            self._dead_revision,
            self._suspected_revision,
        )

    async def reacquire(self):
        """Takes a vanished leader's key again, under a new token."""
        if not self.leads or not self.lease:
            return
        token = self.token
        record = self._own_record(self._past_epoch + 1)
        result = await self._store.commit([(LEADER_KEY, 0)], self._puts(record))
        logger.info(
            "key taken again", extra={"token": token, "outcome": _outcome(result)}
        )
        if self.token != token:
            return
        if not isinstance(result, Failure):
            self.token = result.unwrap()
            self._set_leader(record, self.token, self.lease)
            self._on_renew(self.token, record.epoch)
        elif isinstance(result.failure(), RevisionConflict):
            items = result.failure().items
            if not any(item.revision == token for item in items):
                self._lose("another node took the vanished key")

    def _puts(self, record):
        return [
            Put(LEADER_KEY, encode_record(record), self.lease),
            Put(EPOCH_KEY, str(record.epoch).encode()),
        ]

    def _own_record(self, epoch):
        return LeaderRecord(
            self._settings.node_name, self.incarnation, self.address, epoch
        )

    # The view of all nodes.

    async def _watch_loop(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_closed:
            result = await self._watch_once()
            if not isinstance(result, Failure):
                now = self._timers.now()
                if now - self._store_answer_at > FRESH_LEASE_S + WATCH_S:
                    self._renewal.set()
                self._store_answer_at = now
                backoff.reset()
                continue
            if isinstance(result.failure(), HistoryCompacted):
                self._revision = None
            await gen.sleep(backoff.next_delay())

    async def _watch_once(self):
        if self._revision is None:
            found = await self._store.read_range(OWN_PREFIX)
            if isinstance(found, Failure):
                return found
            items, self._revision = found.unwrap()
            self._records_by_name = {}
            if not any(item.key == LEADER_KEY for item in items):
                self._set_leader(None, 0)
        else:
            # Without renewals the watch alone shows that the store answers.
            wait_s = KEEP_PERIOD_S if self._is_withdrawn else WATCH_S
            found = await self._store.watch(OWN_PREFIX, self._revision, wait_s)
            if isinstance(found, Failure):
                return found
            items, self._revision = found.unwrap().items, found.unwrap().revision
        for item in items:
            self._take_item(item)
        if self.leader is None:
            self._stand_soon()
        return found

    def _take_item(self, item):
        if item.key == LEADER_KEY:
            if item.revision < self.leader_revision:
                return
            record = decode_leader(item)
            if record is not None and record.incarnation == self.incarnation:
                # A write without an answer that was carried out after all.
                self._gain(record, item.revision, False)
            else:
                self._set_leader(record, item.revision, item.lease)
        elif item.key == EPOCH_KEY and item.value is not None:
            self._past_epoch = max(self._past_epoch, int(item.value))
        elif item.key.startswith(NODES_PREFIX):
            name = item.key.removeprefix(NODES_PREFIX)
            record = decode_node(item)
            if record is None:
                self._records_by_name.pop(name, None)
            else:
                self._records_by_name[name] = record

    def _set_leader(self, record, revision, lease=0):
        changed = record != self.leader
        self.leader = record
        self.leader_revision = revision
        if record is not None:
            self._past_epoch = max(self._past_epoch, record.epoch)
            self.held_revision = revision
            self._leader_lease = lease
        if self.leads and record is None and (revision > self.token or not revision):
            IOLoop.current().add_callback(self.reacquire)
        elif self.leads and record is not None and revision > self.token:
            self._lose("the leader's key has another holder")
        if record is not None and record.address == self.address:
            # This process is the next one at the leader's own address.
            self.note_leader_dead(record.incarnation)
        if changed:
            name = record.name if record is not None else None
            logger.info("leader seen", extra={"leader": name, "revision": revision})
            self._on_leader(record)

    # Standing for leader.

    def _stand_soon(self, is_handed=False):
        if self._is_withdrawn or not self.lease or self.leads:
            return
        if self._candidate is not None:
            if not is_handed:
                return
            IOLoop.current().remove_timeout(self._candidate)
        delay_s = self._rank() * CANDIDATE_STEP_S
        if self.leader is None and not is_handed:
            delay_s += self._vacancy_delay_s()
        delay_s = max(delay_s, self._stand_after - self._timers.now())
        self._candidate = IOLoop.current().call_later(
            delay_s, lambda: IOLoop.current().add_callback(self._stand)
        )

    def _rank(self):
        """Rank of this node among the live ones: strong ones first."""
        dead = self.leader.name if self.leader is not None else ""
        names = [name for name in self._records_by_name if name != dead]
        ranked = rank_names(names, str(self._past_epoch))
        cores = {n: self._records_by_name[n].cores for n in names}
        ranked.sort(key=lambda name: -cores[name])
        own = self._settings.node_name
        return ranked.index(own) if own in ranked else len(ranked)

    async def _stand(self):
        self._candidate = None
        # Without a word on any holder, only the first leadership of all is safe.
        is_proven = self._past_epoch == 0 or (
            self.held_revision != 0 and self.held_revision == self._dead_revision
        )
        if self.leads or self._is_withdrawn or not self.lease or not self._is_free():
            return
        if self._timers.now() - self._renewed_at > FRESH_LEASE_S:
            self._renewal.set()
            IOLoop.current().call_later(CANDIDATE_STEP_S, self._stand_soon)
            return
        epoch = self._past_epoch + 1
        record = self._own_record(epoch)
        lease_before = self._leader_lease if self.leader is not None else 0
        expected = self.leader_revision if self.leader is not None else 0
        began = time.monotonic()
        conditions = [(LEADER_KEY, expected)]
        result = await self._store.commit(conditions, self._puts(record))
        logger.info(
            "stood for leader",
            extra={
                "epoch": epoch,
                "expected_revision": expected,
                "proven": is_proven,
                "outcome": _outcome(result),
                "ms": round((time.monotonic() - began) * 1000, 1),
            },
        )
        if not isinstance(result, Failure):
            self._gain(record, result.unwrap(), is_proven)
            if lease_before:
                await self._end_lease_before(lease_before)
        elif isinstance(result.failure(), RevisionConflict):
            for item in result.failure().items:
                self._take_item(item)
        elif isinstance(result.failure(), PlatformUnavailable):
            await self._settle_stand()

    async def _end_lease_before(self, lease):
        """Ends the lease of the leader before, so that it learns of its loss."""
        result = await self._store.end_lease(lease)
        if isinstance(result, Failure) and not isinstance(result.failure(), LeaseGone):
            logger.info(
                "lease before not ended", extra={"error": result.failure().kind}
            )

    async def _settle_stand(self):
        """Finds out whether a write without an answer made this node leader."""
        found = await self._store.read_key(LEADER_KEY)
        if isinstance(found, Failure):
            IOLoop.current().call_later(CANDIDATE_STEP_S, self._stand_soon)
            return
        item = found.unwrap()
        if item is None:
            self._stand_soon()
            return
        record = decode_leader(item)
        if record is not None and record.incarnation == self.incarnation:
            self._gain(record, item.revision, False)
        else:
            self._take_item(item)

    def _gain(self, record, revision, is_proven):
        if self.leads or self._is_withdrawn or revision < self.leader_revision:
            return
        self.token = revision
        self.past_revision = self.held_revision
        self._set_leader(record, revision, self.lease)
        self._on_gain(revision, record.epoch, is_proven)

    def _lose(self, reason):
        self.token = 0
        self._on_loss(reason)


def _suspended_s():
    """Seconds for which the host was suspended since its boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def _outcome(result):
    return result.failure().kind if isinstance(result, Failure) else "ok"
