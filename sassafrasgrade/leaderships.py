"""Membership and leader election of nodes, through the platform's store."""

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
    decode_epoch,
    decode_leader,
    decode_node,
    encode_record,
)
from sassafrasgrade.members import LEASE_TTL_S, WATCH_WAIT_S, Members
from sassafrasgrade.outage_reports import (
    MAX_REPORT_AGE_S,
    MAX_REPORT_DELAY_S,
    OutageReports,
)
from sassafrasgrade.platform.stores import Put
from sassafrasgrade.systems.successions import (
    CAMPAIGN_STEP_S,
    campaign_wait_s,
    rank_successors,
)
from sassafrasgrade.timers import CLOCK_DRIFT, MS_PER_S
from sassafrasgrade.watchers import Backoff
from sassafrasgrade.worker_sessions import ANSWER_TIMEOUT_S, LONG_POLL_WAIT_S

logger = logging.getLogger(__name__)

# Time between renewals, and timeout of one renewal, in seconds.
RENEWAL_PERIOD_S = 0.6
RENEWAL_TIMEOUT_S = 0.5
# Safety margin at the end of a lease, in seconds: clock drift, duration of calls.
LEASE_MARGIN_S = 0.15
# Greatest age of the last renewal at which a node campaigns with its lease, in
# seconds: two renewals. An older lease may expire as soon as the store is back.
MAX_RENEWAL_AGE_S = 1.2
# Time for which a node does not campaign after it released leadership, in seconds.
RELEASE_PAUSE_S = 3.0
# Greatest age of the last renewal at which hosts may be given orders, in seconds.
# Hosts check no token, so a successor waits that long and for pending calls.
MAX_HOST_ORDER_RENEWAL_AGE_S = 1.2
# Greatest age of the last renewal at which tasks may be started, in seconds: three
# renewals. An incarnation of a worker that its leader does not know of gives a start
# the longest lease; so no start may come long after a successor took over.
MAX_START_RENEWAL_AGE_S = 2.0
# Suspension of the host up to which a leader still has authority, in seconds;
# after a longer one it has none until a renewal is answered.
MAX_SUSPEND_S = 0.3
# Pause before the previous leader's lease is ended again, in seconds.
RETRY_PAUSE_S = 0.3
# Longest time from the sending of a leader's call to its arrival at a worker, in
# seconds: the timeout of a long poll.
LATEST_ARRIVAL_S = LONG_POLL_WAIT_S + ANSWER_TIMEOUT_S
# Stands for leaders that are only known from the records of their successors.
UNNAMED_LEADERS = ""


class Leadership:
    """Renews the node's lease and elects the leader by conditional writes.

    Args:
        store: ``StoreClient``.
        timers: Timer service; its clock includes time in suspend.
        settings: ``NodeSettings``.
        on_gain: Called with (token, epoch, whether the previous leader has
            certainly stopped) when this node becomes leader.
        on_renew: Called with (token, epoch) when a leader regains a lost key.
        on_loss: Called with a reason when this node is no longer leader.
        on_leader: Called with the ``LeaderRecord`` or None after each change.
        vacancy_delay_s: Function that returns how long to wait before a campaign
            when the leader's key has vanished, in seconds.
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
        self.previous_leader_revision = 0
        # Revision of a leader's key whose record cannot be decoded; 0 for none.
        self._unreadable_revision = 0
        self._last_epoch = 0
        # Revision of the epoch's key. Each leadership writes that key and none removes
        # it: a condition on it sees leaders that came and went unnoticed.
        self._epoch_revision = 0
        self._lease_until = 0.0
        self._members = Members(timers)
        self.outage_reports = OutageReports(timers)
        self._revision = None
        self._is_withdrawn = False
        self._is_closed = False
        # Set when the lease is to be renewed at once.
        self._renewal = asyncio.Event()
        self._campaign_timeout = None
        self._store_answer_at = self._answering_since = timers.now()
        # Revision of a leader's key whose holder is known to have stopped.
        self._stopped_revision = 0
        self._suspected_revision = 0
        # Revision under which this node led last. Its key may be read again after
        # it stepped down, and must not make it leader beside its successor.
        self._renounced_revision = 0
        # Keeps its value when the leader's key vanishes.
        self.last_leader_revision = 0
        # Last leader's record that was read, and its revision.
        self._last_record = None
        self._last_record_revision = 0
        # Leader that this node replaced, if its record was read.
        self.previous_leader = None
        # Clock until which calls of replaced leaders may count, by incarnation.
        self._replaced_until = {}
        # The same of those whose leases may outlive their authority.
        self._unbounded_until = 0.0
        self._took_over_at = 0.0
        # Clock when the replaced leader's lease had surely ended; None if unknown.
        self._previous_lease_ended_at = None
        self._leader_lease = 0
        self._next_campaign_at = 0.0
        self._renewed_at = 0.0
        # Lease with which this node wrote the leader's key.
        self._key_lease = 0
        self._led_at = 0.0
        self._suspended_at_renewal_s = 0.0

    @property
    def is_leader(self):
        """Whether this node, as far as it knows, holds the leader's key."""
        return self.token > 0

    def has_authority(self):
        """Whether the lease is certainly valid, so that orders may be given."""
        if not self._holds_key() or self._timers.now() >= self._lease_until:
            return False
        return _suspended_s() - self._suspended_at_renewal_s < MAX_SUSPEND_S

    def authority_left_s(self):
        """Returns for how long the lease is certainly valid, in seconds; 0 if not."""
        return self._lease_until - self._timers.now() if self.has_authority() else 0.0

    def has_start_authority(self):
        """Whether tasks may be started: the store is away for all, or has renewed."""
        age_s = self._timers.now() - self._renewed_at
        is_fresh = age_s < MAX_START_RENEWAL_AGE_S
        return self.has_authority() and (is_fresh or self.is_outage_confirmed())

    def is_outage_confirmed(self):
        """Whether most nodes, with this one, report that the store is away."""
        others = self._members.records_by_name.keys() - {self._settings.node_name}
        return self.outage_reports.is_outage_confirmed(others)

    def has_host_authority(self):
        """Whether the last renewal is recent enough to give orders to hosts."""
        is_fresh = self._timers.now() - self._renewed_at < MAX_HOST_ORDER_RENEWAL_AGE_S
        return is_fresh and self.has_authority()

    def _holds_key(self):
        """Whether the leader's key was written with the present lease."""
        return self.is_leader and self._key_lease == self.lease

    @property
    def last_renewal_at(self):
        """Clock when the last answered renewal of the leader's key was sent."""
        return self._led_at

    @property
    def earlier_leaders_until(self):
        """Clock until which some leader before the present one may have authority."""
        return max(self._replaced_until.values(), default=0.0)

    def earlier_leases_until(self):
        """Returns the clock at which the leases that earlier leaders gave have ended.

        They end with the authority of these leaders, unless a majority of the nodes
        reports an outage. Only a start may give more, to an incarnation of its worker
        that its leader does not know of.

        Returns:
            Clock in seconds, or None if it is not known.
        """
        ended_at, previous = self._previous_lease_ended_at, self.previous_leader
        if not self.is_leader or ended_at is None or previous is None:
            return None
        if not previous.bounds_leases or self._unbounded_until > self._took_over_at:
            return None
        majority_at = self._last_outage_majority_at(previous.name)
        if majority_at is None:
            return None
        until = ended_at + LEASE_TTL_S * CLOCK_DRIFT
        until = max(until, self.earlier_leaders_until)
        until += MAX_START_RENEWAL_AGE_S * CLOCK_DRIFT + ANSWER_TIMEOUT_S
        majority_until = majority_at + MAX_REPORT_DELAY_S + MAX_REPORT_AGE_S
        lease_s = self._settings.bounds_hold_most_ms / MS_PER_S * CLOCK_DRIFT
        return max(until, majority_until + ANSWER_TIMEOUT_S + lease_s)

    def _last_outage_majority_at(self, previous_name):
        """Returns the clock after which no earlier leader had a majority's reports."""
        own, at = self._settings.node_name, self._took_over_at
        counted = self._members.known_to_any_at(at) | {own, previous_name}
        voters = self._members.known_to_all_at(at) - {previous_name}
        return self.outage_reports.last_majority_at(own, voters, len(counted))

    @property
    def other_records(self):
        """``NodeRecord`` values of live nodes, without the leader and this node."""
        leader = self.leader.name if self.leader is not None else ""
        own = self._settings.node_name
        return [
            record
            for name, record in self._members.records_by_name.items()
            if name not in (own, leader)
        ]

    def store_answer_age_s(self):
        """Returns the seconds since the store answered a renewal or a watch."""
        return self._timers.now() - self._store_answer_at

    @property
    def answering_since(self):
        """Clock since when the store has answered without a longer pause."""
        return self._answering_since

    def start(self):
        """Starts to renew the lease and to watch the members."""
        IOLoop.current().add_callback(self._renew_loop)
        IOLoop.current().add_callback(self._watch_loop)

    def record_leader_death(self, incarnation):
        """Records proof that a leader's process has ended; campaigns to succeed it.

        Args:
            incarnation: Incarnation that has ended.
        """
        if incarnation in self._replaced_until:
            last_arrival_at = self._timers.now() + LATEST_ARRIVAL_S
            until = min(self._replaced_until[incarnation], last_arrival_at)
            self._replaced_until[incarnation] = until
        leader = self.leader
        if leader is None or leader.incarnation != incarnation or self.is_leader:
            return
        if incarnation == self.incarnation:
            return
        if self._stopped_revision != self.leader_revision:
            self._stopped_revision = self.leader_revision
            logger.info("leader process ended", extra={"leader": leader.name})
            self._schedule_campaign()

    def accept_handover(self, revision):
        """Campaigns to succeed a leader that has stopped giving orders."""
        if revision == self.last_leader_revision and not self.is_leader:
            self._stopped_revision = revision
            self._schedule_campaign(is_handover=True)

    def suspect_leader(self, revision):
        """Campaigns to replace a leader that most nodes receive nothing from."""
        if revision == self.leader_revision and not self.is_leader:
            self._suspected_revision = revision
            self._schedule_campaign()

    def close(self):
        """Stops watching the store."""
        self._is_closed = True

    async def withdraw(self):
        """Steps down for good and removes the node's keys."""
        self._is_withdrawn = True
        if self.is_leader:
            self._lose_leadership("stopping")
        if self.lease:
            result = await self._store.end_lease(self.lease)
            if isinstance(result, Failure):
                logger.info(
                    "could not end the lease", extra={"error": str(result.failure())}
                )

    async def release(self, reason):
        """Steps down and removes the leader's key, so that other nodes campaign."""
        if not self.is_leader:
            return
        token = self.token
        self._lose_leadership(reason)
        self._next_campaign_at = self._timers.now() + RELEASE_PAUSE_S
        result = await self._store.commit([(LEADER_KEY, token)], deletes=[LEADER_KEY])
        logger.info(
            "leadership released", extra={"reason": reason, "outcome": _outcome(result)}
        )

    def step_down(self, reason):
        """Steps down; the key stays until a successor overwrites it or it expires."""
        if self.is_leader:
            self._lose_leadership(reason)

    # Lease.

    async def _renew_loop(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_withdrawn:
            if not self.lease:
                if not await self._register():
                    await gen.sleep(backoff.next_delay())
                    continue
                backoff.reset()
            await self._wait_for_renewal()
            if self.lease and not self._is_withdrawn:
                await self._renew_lease()

    async def _wait_for_renewal(self):
        self._renewal.clear()
        try:
            await asyncio.wait_for(self._renewal.wait(), RENEWAL_PERIOD_S)
        except TimeoutError:
            return

    async def _renew_lease(self):
        sent_at = self._timers.now()
        result = await self._store.renew_lease(self.lease, RENEWAL_TIMEOUT_S)
        if not isinstance(result, Failure):
            self._record_renewal(sent_at)
            return
        error = result.failure()
        if isinstance(error, LeaseGone):
            logger.warning("lease lost", extra={"lease": self.lease})
            self.lease = 0
            self._lease_until = 0.0

    def _record_renewal(self, sent_at):
        self._record_store_answer()
        self._lease_until = sent_at + LEASE_TTL_S - LEASE_MARGIN_S
        self._renewed_at = sent_at
        if self._holds_key():
            self._led_at = sent_at
        self._suspended_at_renewal_s = _suspended_s()

    def _record_store_answer(self):
        now = self._timers.now()
        if self.store_answer_age_s() > MAX_RENEWAL_AGE_S:
            self._answering_since = now
        self._store_answer_at = now

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
            self._settings.node_link_mbps,
        )
        put = Put(NODES_PREFIX + record.name, encode_record(record), lease)
        written = await self._store.commit(puts=(put,))
        if isinstance(written, Failure):
            return False
        self.lease = lease
        if self.is_leader:
            # The leader's key expired with the previous lease: write it again first.
            await self.reacquire()
        self._record_renewal(sent_at)
        logger.info("node registered", extra={"lease": lease})
        if self._revision is not None and self._is_leadership_available():
            self._schedule_campaign()
        return True

    def _is_leadership_available(self):
        """Whether there is no leader, or it has stopped or is suspected."""
        return self.leader is None or self.leader_revision in (
            self._stopped_revision,
            self._suspected_revision,
        )

    async def reacquire(self):
        """Writes this leader's vanished or unreadable key again, under a new token."""
        if not self.is_leader or not self.lease:
            return
        token = self.token
        record = self._own_record(self._last_epoch + 1)
        conditions = [
            (LEADER_KEY, self._unreadable_revision),
            (EPOCH_KEY, self._epoch_revision),
        ]
        result = await self._store.commit(conditions, self._puts(record))
        logger.info(
            "tried to write the vanished leader key again",
            extra={"token": token, "outcome": _outcome(result)},
        )
        if self.token != token:
            return
        if not isinstance(result, Failure):
            self._lead_on(record, result.unwrap(), self.lease)
        elif isinstance(result.failure(), RevisionConflict):
            items = result.failure().items
            # An earlier copy of the write may have been carried out.
            self._apply_items(items)
            if self.token == token and not any(
                item.key == LEADER_KEY and item.revision == token for item in items
            ):
                self._lose_leadership("another node took the vanished key")

    def _lead_on(self, record, revision, lease):
        """Continues as leader under a key that this node has written again."""
        self.token = revision
        self._epoch_revision = max(self._epoch_revision, revision)
        self._key_lease = lease
        self._set_leader(record, revision, lease)
        self._on_renew(revision, record.epoch)

    def _puts(self, record):
        return [
            Put(LEADER_KEY, encode_record(record), self.lease),
            Put(EPOCH_KEY, str(record.epoch).encode()),
        ]

    def _own_record(self, epoch):
        left_s = max(0.0, self.earlier_leaders_until - self._timers.now())
        return LeaderRecord(
            self._settings.node_name,
            self.incarnation,
            self.address,
            epoch,
            left_s,
            bounds_leases=True,
        )

    def _record_succession(self, record, revision):
        """Records how long the leader that is replaced may still have authority.

        Its lease was renewed before it was replaced, and not after. What this node did
        not see is in the record of the successor.
        """
        now = self._timers.now()
        is_stopped = self.leader_revision == self._stopped_revision
        if self._is_replaced_by(record, revision) and not is_stopped:
            until = now + LEASE_TTL_S * CLOCK_DRIFT
            self._extend_replaced(self.leader.incarnation, until)
            if not self.leader.bounds_leases:
                self._unbounded_until = until
        if record is not None and record.incarnation != self.incarnation:
            self._extend_replaced(UNNAMED_LEADERS, now + record.earlier_left_s)

    def _is_replaced_by(self, record, revision):
        if self.leader is None or revision == self.leader_revision:
            return False
        return record is None or record.incarnation != self.leader.incarnation

    def _extend_replaced(self, incarnation, until):
        now = self._timers.now()
        pending = {key: at for key, at in self._replaced_until.items() if at > now}
        pending[incarnation] = max(pending.get(incarnation, 0.0), until)
        self._replaced_until = pending

    def _last_leader(self):
        """Returns the record of the last leadership; None if that was not read."""
        if self._last_record_revision == self.last_leader_revision:
            return self._last_record
        return None

    # Watch of the members.

    async def _watch_loop(self):
        backoff = Backoff(0.05, 0.5)
        while not self._is_closed:
            result = await self._watch_once()
            if not isinstance(result, Failure):
                if self.store_answer_age_s() > MAX_RENEWAL_AGE_S + WATCH_WAIT_S:
                    self._renewal.set()
                self._record_store_answer()
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
            keys = {item.key for item in items}
            self._members.keep_only({key.removeprefix(NODES_PREFIX) for key in keys})
            if LEADER_KEY not in keys:
                self._unreadable_revision = 0
                self._set_leader(None, 0)
            if EPOCH_KEY not in keys:
                self._epoch_revision = 0
        else:
            # After withdrawal there are no renewals: only the watch shows whether
            # the store answers, so it returns more often.
            wait_s = RENEWAL_PERIOD_S if self._is_withdrawn else WATCH_WAIT_S
            found = await self._store.watch(OWN_PREFIX, self._revision, wait_s)
            if isinstance(found, Failure):
                return found
            items, self._revision = found.unwrap().items, found.unwrap().revision
        self._apply_items(items)
        if self.leader is None:
            self._schedule_campaign()
        return found

    def _apply_items(self, items):
        """Applies items in order; of one write, the leader's key before the epoch's."""
        for item in sorted(items, key=lambda i: (i.revision, i.key == EPOCH_KEY)):
            self._apply_safely(item)

    def _apply_safely(self, item):
        """Applies an item; an error concerns only this one, and the watch goes on."""
        try:
            self._apply_item(item)
        except Exception:
            logger.exception("change of the members not applied: %s", item.key)

    def _apply_item(self, item):
        if item.key == LEADER_KEY:
            if item.revision < self.leader_revision:
                return
            record = decode_leader(item)
            is_unreadable = record is None and item.value is not None
            self._unreadable_revision = item.revision if is_unreadable else 0
            if self._is_unclaimed(record, item.revision):
                # A write of this node whose answer was lost has been applied.
                self._claim(record, item)
            else:
                self._set_leader(record, item.revision, item.lease)
        elif item.key == EPOCH_KEY and item.value is None:
            # Another writer removed it; the next leader writes it again.
            self._epoch_revision = 0
        elif item.key == EPOCH_KEY:
            self._last_epoch = max(self._last_epoch, decode_epoch(item))
            self._epoch_revision = max(self._epoch_revision, item.revision)
            # A leader writes both keys at once, so that this is also its revision.
            self.last_leader_revision = max(self.last_leader_revision, item.revision)
        elif item.key.startswith(NODES_PREFIX):
            name = item.key.removeprefix(NODES_PREFIX)
            record = decode_node(item)
            if record is None:
                self._members.remove(name)
            else:
                self._members.add(name, record)

    def _set_leader(self, record, revision, lease=0):
        changed = record != self.leader
        self._record_succession(record, revision)
        self.leader = record
        self.leader_revision = revision
        if record is not None:
            self._unreadable_revision = 0
            self._last_epoch = max(self._last_epoch, record.epoch)
            self.last_leader_revision = revision
            self._last_record, self._last_record_revision = record, revision
            self._leader_lease = lease
        if (
            self.is_leader
            and record is None
            and (revision > self.token or not revision)
        ):
            IOLoop.current().add_callback(self.reacquire)
        elif self.is_leader and record is not None and revision > self.token:
            self._lose_leadership("the leader's key has another holder")
        if record is not None and record.address == self.address:
            # This process has the leader's address: the leader's process has ended.
            self.record_leader_death(record.incarnation)
        if changed:
            name = record.name if record is not None else None
            logger.info("leader changed", extra={"leader": name, "revision": revision})
            self._on_leader(record)

    # Campaigns.

    def _schedule_campaign(self, is_handover=False):
        if self._is_withdrawn or self._is_closed or not self.lease or self.is_leader:
            return
        if self._campaign_timeout is not None:
            if not is_handover:
                return
            IOLoop.current().remove_timeout(self._campaign_timeout)
        delay_s = self._rank() * CAMPAIGN_STEP_S
        if self.leader is None and not is_handover:
            delay_s += self._vacancy_delay_s()
        delay_s = max(delay_s, self._next_campaign_at - self._timers.now())
        self._campaign_timeout = IOLoop.current().call_later(
            delay_s, lambda: IOLoop.current().add_callback(self._campaign)
        )

    def _rank(self):
        """Returns this node's rank among live nodes; the fittest comes first."""
        previous = self.leader.name if self.leader is not None else ""
        records_by_name = self._members.records_by_name
        ranked = rank_successors(records_by_name, previous, self._last_epoch)
        own = self._settings.node_name
        return ranked.index(own) if own in ranked else len(ranked)

    async def _campaign(self):
        self._campaign_timeout = None
        # The first epoch has no previous leader. In any other, the previous leader
        # must have been seen and be known to have stopped.
        is_predecessor_gone = self._last_epoch == 0 or (
            self.last_leader_revision != 0
            and self.last_leader_revision == self._stopped_revision
        )
        if (
            self.is_leader
            or self._is_withdrawn
            or not self.lease
            or not self._is_leadership_available()
        ):
            return
        if self._timers.now() - self._renewed_at > MAX_RENEWAL_AGE_S:
            self._renewal.set()
            IOLoop.current().call_later(CAMPAIGN_STEP_S, self._schedule_campaign)
            return
        if self._waits_for_fitter_nodes():
            return
        epoch = self._last_epoch + 1
        if not is_predecessor_gone:
            last = self._last_leader()
            incarnation = last.incarnation if last is not None else UNNAMED_LEADERS
            until = self._timers.now() + LEASE_TTL_S * CLOCK_DRIFT
            self._extend_replaced(incarnation, until)
        record = self._own_record(epoch)
        # The key vanishes with its lease, or by another writer.
        is_vanished = self.leader is None and is_predecessor_gone
        previous_lease = 0 if is_vanished else self._leader_lease
        if previous_lease == self.lease:
            previous_lease = 0
        expected = self._unreadable_revision
        if self.leader is not None:
            expected = self.leader_revision
        began = time.monotonic()
        conditions = [(LEADER_KEY, expected), (EPOCH_KEY, self._epoch_revision)]
        result = await self._store.commit(conditions, self._puts(record))
        logger.info(
            "campaigned for leadership",
            extra={
                "epoch": epoch,
                "expected_revision": expected,
                "epoch_revision": self._epoch_revision,
                "proven": is_predecessor_gone,
                "outcome": _outcome(result),
                "ms": round((time.monotonic() - began) * 1000, 1),
            },
        )
        if not isinstance(result, Failure):
            token = result.unwrap()
            self._become_leader(record, token, is_predecessor_gone)
            if previous_lease:
                await self._end_previous_lease(previous_lease)
            if self.token == token:
                self._previous_lease_ended_at = self._timers.now()
        elif isinstance(result.failure(), RevisionConflict):
            self._apply_items(result.failure().items)
        elif isinstance(result.failure(), PlatformUnavailable):
            await self._resolve_campaign()

    def _waits_for_fitter_nodes(self):
        """Postpones a campaign that came due while the store did not answer.

        All nodes' delays pass in a store outage, so that they would all campaign at
        its end, and the weakest might win.
        """
        now = self._timers.now()
        wait_s = campaign_wait_s(self._rank(), self._answering_since, now)
        if wait_s:
            self._campaign_timeout = IOLoop.current().call_later(
                wait_s, lambda: IOLoop.current().add_callback(self._campaign)
            )
        return wait_s > 0

    async def _end_previous_lease(self, lease):
        """Ends the previous leader's lease, so that it learns of its loss.

        Without that it would renew its lease for as long as its watch reports nothing.
        """
        while not self._is_closed:
            result = await self._store.end_lease(lease)
            if not isinstance(result, Failure):
                return
            if isinstance(result.failure(), LeaseGone):
                return
            logger.info(
                "could not end the previous leader's lease; retrying",
                extra={"error": result.failure().kind},
            )
            await self.pause_before_retry()

    async def pause_before_retry(self):
        """Waits before a call is retried."""
        await gen.sleep(RETRY_PAUSE_S)

    async def _resolve_campaign(self):
        """Reads whether a campaign whose answer was lost made this node leader."""
        found = await self._store.read_key(LEADER_KEY)
        if isinstance(found, Failure):
            IOLoop.current().call_later(CAMPAIGN_STEP_S, self._schedule_campaign)
            return
        item = found.unwrap()
        if item is None:
            self._schedule_campaign()
            return
        self._apply_item(item)

    def _is_unclaimed(self, record, revision):
        """Whether a record names this node as leader by a write it does not know."""
        return (
            record is not None
            and record.incarnation == self.incarnation
            and revision > self._renounced_revision
        )

    def _claim(self, record, item):
        if not self.is_leader:
            self._become_leader(record, item.revision, False)
        elif item.revision > self.token:
            self._lead_on(record, item.revision, item.lease)

    def _become_leader(self, record, revision, is_predecessor_gone):
        if self.is_leader or self._is_withdrawn or revision < self.leader_revision:
            return
        self.token = revision
        self._took_over_at = self._timers.now()
        self._previous_lease_ended_at = None
        self._key_lease = self.lease
        self._led_at = self._renewed_at
        self._epoch_revision = max(self._epoch_revision, revision)
        self.previous_leader_revision = self.last_leader_revision
        self.previous_leader = self._last_leader()
        self._set_leader(record, revision, self.lease)
        self._on_gain(revision, record.epoch, is_predecessor_gone)

    def _lose_leadership(self, reason):
        self._renounced_revision = self._stopped_revision = self.token
        self.token = 0
        # If no other node takes the key, this one may be the only one that can.
        IOLoop.current().call_later(RELEASE_PAUSE_S, self._schedule_campaign)
        self._on_loss(reason)


def _suspended_s():
    """Returns the seconds that the host has spent suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def _outcome(result):
    return result.failure().kind if isinstance(result, Failure) else "ok"
