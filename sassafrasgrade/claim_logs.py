"""Group commit of idempotency claims to a log on the platform.

Each shard of keys is a log of batches; the batch with number n is created only
if absent, so of two writers one must read the other's batch before it goes on.
The conditional write that decides a claim, and the token that fences a late
settlement, follow the related paper on the transactional outbox ("Claims and
fences").
"""

import asyncio
import logging
import random
import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.errors import RevisionConflict
from sassafrasgrade.systems.claims import (
    RETENTION_S,
    ClaimBatch,
    ClaimIndex,
    ClaimRecord,
    ClaimState,
    ClaimVerdict,
)

logger = logging.getLogger(__name__)

CLAIMS_PREFIX = "claims/"
# Minimum interval between writes of a shard; records that arrive meanwhile share
# one write.
MIN_WRITE_INTERVAL_S = 0.05
# A claim that is not durable after this time is refused and released.
MAX_COMMIT_S = 1.0
RETRY_S = 0.1
# Range of the pause of a writer without claims after another one has written, in
# seconds. Entry hosts that write settlements themselves after an outage would
# otherwise keep the one that all claims go to from writing.
GIVE_WAY_S = (0.5, 1.5)
# The log is read again if no write has confirmed the index for this long.
MAX_UNCONFIRMED_S = 60.0
LEASE_ROTATION_S = RETENTION_S
LEASE_TTL_S = 2 * RETENTION_S
SWEEP_PERIOD_S = 60.0


@dataclass(slots=True)
class PendingRecord:
    """A record that waits to be written to the log.

    Attributes:
        record: The record.
        submitted_at: When it was submitted.
        done: Future of (``ClaimVerdict``, stored ``ClaimRecord`` or None).
    """

    record: ClaimRecord
    submitted_at: float
    done: asyncio.Future

    @property
    def is_claim(self):
        """Whether it claims a key."""
        return self.record.state is ClaimState.CLAIMED

    def resolve(self, verdict, stored=None):
        """Passes the verdict and the stored record of the key to the submitter."""
        if not self.done.done():
            self.done.set_result((verdict, stored))


class LeaseProvider:
    """Provides the platform leases with which old batches expire.

    One lease is used for all batches of ``LEASE_ROTATION_S`` seconds.
    """

    def __init__(self, platform, timers):
        self._platform = platform
        self._timers = timers
        self._lease = ""
        self._granted_at = 0.0

    async def current(self):
        """Returns the lease to write with; requests a new one at each rotation."""
        now = self._timers.now()
        if self._lease and now - self._granted_at < LEASE_ROTATION_S:
            return Success(self._lease)
        granted = await self._platform.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Success):
            self._lease = granted.unwrap()
            self._granted_at = now
        return granted

    def discard(self):
        """Discards a lease that the platform does not know."""
        self._lease = ""


class ClaimLog:
    """Writer of one shard.

    Args:
        shard: Number of the shard.
        platform: Adapter to the platform.
        timers: Timer service.
        leases: ``LeaseProvider``.
    """

    def __init__(self, shard, platform, timers, leases):
        self._prefix = f"{CLAIMS_PREFIX}{shard:02d}/"
        self._platform = platform
        self._timers = timers
        self._leases = leases
        self._index = ClaimIndex()
        self._next_number = None
        self._confirmed_at = 0.0
        self._swept_at = timers.now()
        self._pending = []
        self._claim_arrived = asyncio.Event()
        self._write_task = None

    async def submit(self, record):
        """Commits a record; returns (``ClaimVerdict``, stored record or None)."""
        pending = self._find_settlement(record)
        if pending is None:
            future = asyncio.get_running_loop().create_future()
            pending = PendingRecord(record, self._timers.now(), future)
            self._pending.append(pending)
        if pending.is_claim:
            self._claim_arrived.set()
        if self._write_task is None or self._write_task.done():
            self._write_task = asyncio.ensure_future(self._write_all())
        return await pending.done

    def _find_settlement(self, record):
        """Returns the pending copy of a settlement that was sent again, or None."""
        for item in self._pending:
            if not item.is_claim and item.record.token == record.token:
                return item if item.record.state is record.state else None
        return None

    async def _write_all(self):
        while self._pending:
            started = self._timers.now()
            if not await self._write_batch():
                await asyncio.sleep(RETRY_S)
            self._refuse_overdue()
            spent_s = self._timers.now() - started
            await asyncio.sleep(max(0.0, MIN_WRITE_INTERVAL_S - spent_s))

    async def _write_batch(self):
        """Writes the pending records as one batch; returns False to retry later."""
        if not await self._sync():
            return False
        batch = self._choose_pending()
        if not batch:
            return True
        value = ClaimBatch(uuid.uuid4().hex, [item.record for item in batch])
        written = await self._create(value)
        if isinstance(written, Success):
            self._apply_batch(value, batch)
            return True
        if isinstance(written.failure(), RevisionConflict):
            await self._give_way()
            return await self._read_newer()
        return False

    async def _give_way(self):
        """Lets another writer go on, unless callers wait for claims here."""
        if any(item.is_claim for item in self._pending):
            return
        self._claim_arrived.clear()
        arrival = asyncio.ensure_future(self._claim_arrived.wait())
        await asyncio.wait([arrival], timeout=random.uniform(*GIVE_WAY_S))
        arrival.cancel()

    async def _create(self, value):
        lease = await self._leases.current()
        if isinstance(lease, Failure):
            return lease
        key = f"{self._prefix}{self._next_number:012d}"
        encoded = msgspec.msgpack.encode(value)
        written = await self._platform.write(key, encoded, 0, lease.unwrap())
        if isinstance(written, Success):
            if not written.unwrap():
                self._leases.discard()
                return Failure(
                    RevisionConflict("the lease of the batch expired", "Try again.")
                )
            return written
        # The write may have taken effect though its answer was lost.
        found = await self._platform.read(key)
        if isinstance(found, Success) and found.unwrap().revision:
            stored = msgspec.msgpack.decode(found.unwrap().value, type=ClaimBatch)
            if stored.batch_id == value.batch_id:
                return Success(found.unwrap().revision)
        return written

    def _choose_pending(self):
        """Resolves the claims that the index decides; returns the records to write."""
        now = self._timers.now()
        chosen = []
        upcoming = ClaimIndex(self._index)
        for item in list(self._pending):
            record = item.record
            if item.is_claim:
                verdict = upcoming.verdict(record.key, record.token, now)
                if verdict is not ClaimVerdict.GRANTED:
                    self._pending.remove(item)
                    item.resolve(verdict, upcoming.stored(record.key))
                    continue
            upcoming.apply(record, now)
            chosen.append(item)
        return chosen

    def _apply_batch(self, value, batch):
        now = self._timers.now()
        self._next_number += 1
        self._confirmed_at = now
        for record in value.records:
            self._index.apply(record, now)
        for item in batch:
            self._pending.remove(item)
            late = now - item.submitted_at > MAX_COMMIT_S
            if item.is_claim and (late or item.done.done()):
                # Its caller was answered "not-run" meanwhile: releases the key.
                item.resolve(ClaimVerdict.UNAVAILABLE)
                self._release(item.record)
            item.resolve(ClaimVerdict.GRANTED)
        if now - self._swept_at > SWEEP_PERIOD_S:
            self._swept_at = now
            self._index.remove_expired(now)

    def _release(self, record):
        released = ClaimRecord(record.key, record.token, ClaimState.RELEASED)
        future = asyncio.get_running_loop().create_future()
        self._pending.append(PendingRecord(released, self._timers.now(), future))

    def _refuse_overdue(self):
        """Refuses overdue claims, and releases them as they may have been written."""
        now = self._timers.now()
        for item in list(self._pending):
            if item.is_claim and now - item.submitted_at > MAX_COMMIT_S:
                self._pending.remove(item)
                item.resolve(ClaimVerdict.UNAVAILABLE)
                self._release(item.record)

    async def _sync(self):
        """Reads the whole log when the index may be out of date."""
        now = self._timers.now()
        if (
            self._next_number is not None
            and now - self._confirmed_at < MAX_UNCONFIRMED_S
        ):
            return True
        found = await self._platform.list_values(self._prefix)
        if isinstance(found, Failure):
            return False
        self._index = ClaimIndex()
        numbers = [0]
        for key, versioned in sorted(found.unwrap().items()):
            self._apply_value(versioned.value)
            numbers.append(int(key.removeprefix(self._prefix)))
        self._next_number = max(numbers) + 1
        self._confirmed_at = self._timers.now()
        return True

    async def _read_newer(self):
        """Applies the batches that other writers wrote under the next numbers."""
        while True:
            # Callers wait for their claims while many batches are read.
            self._refuse_overdue()
            key = f"{self._prefix}{self._next_number:012d}"
            found = await self._platform.read(key)
            if isinstance(found, Failure):
                return False
            if not found.unwrap().revision:
                return True
            self._apply_value(found.unwrap().value)
            self._next_number += 1

    def _apply_value(self, value):
        now = self._timers.now()
        batch = msgspec.msgpack.decode(value, type=ClaimBatch)
        for record in batch.records:
            self._index.apply(record, now)
