"""Claims idempotency keys through the writer of their shard."""

import asyncio
import logging
import uuid
from dataclasses import dataclass

import xxhash

from sassafrasgrade.answers import Outcome
from sassafrasgrade.claim_logs import MAX_COMMIT_S, ClaimLog, LeaseProvider
from sassafrasgrade.messages import ClaimReply, ClaimRequest
from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.systems.claims import (
    ClaimRecord,
    ClaimState,
    ClaimVerdict,
)

logger = logging.getLogger(__name__)

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255
SHARD_COUNT = 4
MS_PER_S = 1000
# A claim not settled this long after its request's deadline counts as lost.
HOLD_MARGIN_S = 1.0
# Longer than a writer takes to commit a claim or to refuse it.
REMOTE_TIMEOUT_S = MAX_COMMIT_S + 0.25
MAX_HOPS = 1
# Number of times that a settlement is sent to a writer that does not answer, before
# it is written here.
SETTLE_ATTEMPTS = 8
MAX_STORED_BODY_BYTES = 1024
SETTLED_STATES = {
    Outcome.RAN: ClaimState.RAN,
    Outcome.NOT_RUN: ClaimState.RELEASED,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class Claim:
    """A key that one exchange claims.

    Attributes:
        shard: Shard of the key.
        key: Digest of team, route name and the caller's idempotency key.
        token: Unique to the exchange.
    """

    shard: int
    key: bytes
    token: str


def create_claim(route, key):
    """Returns a ``Claim`` with a fresh token."""
    scoped = f"{route.team}\x00{route.name}\x00{key}".encode()
    digest = xxhash.xxh3_128_digest(scoped)
    return Claim(digest[0] % SHARD_COUNT, digest, uuid.uuid4().hex)


class ClaimController:
    """Routes claims to one writer per shard, or writes them if it is unreachable.

    Several writers are safe, as the conditional writes to the log decide; a
    single one only saves calls.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        platform: Adapter to the platform.
        links: ``EntryLinks``.
    """

    def __init__(self, settings, timers, platform, links):
        self._name = settings.host_name
        self._data_centre = settings.host_data_centre
        self._links = links
        leases = LeaseProvider(platform, timers)
        self._logs = [
            ClaimLog(shard, platform, timers, leases) for shard in range(SHARD_COUNT)
        ]
        self._replies_by_number = {}
        self._settling = set()
        self._is_draining = False
        self._number = 0

    async def claim(self, claim, deadline_s):
        """Claims a key for a request that ends within ``deadline_s``.

        Returns:
            (``ClaimVerdict``, stored ``ClaimRecord`` or None).
        """
        hold_ms = int((deadline_s + HOLD_MARGIN_S) * MS_PER_S)
        record = ClaimRecord(claim.key, claim.token, ClaimState.CLAIMED, hold_ms)
        reply = await self._commit(claim.shard, record, 0)
        return reply.verdict, reply.stored

    def settle(self, claim, record, answer):
        """Settles a claim after its request was answered, in the background.

        Args:
            claim: The ``Claim``.
            record: ``RunRecord`` of the request.
            answer: ``Answer`` to the caller, or None without one. It is stored
                with the key only if it is a whole answer of the server and its
                body is short enough.
        """
        state = SETTLED_STATES[record.outcome]
        status, headers, body = 0, (), b""
        whole = answer is not None and answer.outcome is None
        if whole and len(answer.body) <= MAX_STORED_BODY_BYTES:
            status, headers, body = answer.status, answer.headers, answer.body
        settled = ClaimRecord(claim.key, claim.token, state, 0, status, headers, body)
        self._settle(claim.shard, settled)

    async def drain(self, timeout_s):
        """Waits until the pending settlements are durable, or the timeout."""
        self._is_draining = True
        if self._settling:
            await asyncio.wait(self._settling, timeout=timeout_s)

    async def serve(self, message, origin):
        """Commits or forwards a ``ClaimRequest`` of another entry host."""
        reply = await self._commit(message.shard, message.record, message.hops + 1)
        answer = ClaimReply(message.number, reply.verdict, reply.stored)
        self._links.answer(origin, answer)

    def handle_reply(self, message):
        """Handles a ``ClaimReply`` from a writer."""
        future = self._replies_by_number.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def _commit(self, shard, record, hops):
        writer = self._choose_writer(shard) if hops <= MAX_HOPS else self._name
        if writer != self._name:
            was_sent, reply = await self._ask_writer(writer, shard, record, hops)
            if reply is not None:
                return reply
            if was_sent:
                if record.state is ClaimState.CLAIMED:
                    # The writer may still commit the claim, or refuse and
                    # release it: claiming elsewhere with this token is not safe.
                    self._release(shard, record)
                return ClaimReply(0, ClaimVerdict.UNAVAILABLE)
        verdict, stored = await self._logs[shard].submit(record)
        return ClaimReply(0, verdict, stored if verdict is ClaimVerdict.RAN else None)

    def _release(self, shard, record):
        """Releases a key whose claim was refused but may still be committed."""
        released = ClaimRecord(record.key, record.token, ClaimState.RELEASED)
        self._settle(shard, released)

    def _settle(self, shard, record):
        task = asyncio.ensure_future(self._settle_repeatedly(shard, record))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle_repeatedly(self, shard, record):
        """Asks the writer several times; each entry host that writes delays it.

        On its way out, the process does not wait for the writer any longer.
        """
        for _ in range(SETTLE_ATTEMPTS):
            reply = await self._commit(shard, record, 0)
            if reply.verdict is not ClaimVerdict.UNAVAILABLE:
                return
            if self._is_draining:
                break
        logger.warning("settlement written without the writer", extra={"shard": shard})
        await self._logs[shard].submit(record)

    def _choose_writer(self, shard):
        """Returns the entry host to ask: the writer, or one on the way to it."""
        names_by_centre = self._links.live_names_by_data_centre()
        centre = rank_names(names_by_centre, f"claims-{shard}")[0]
        return rank_names(names_by_centre[centre], f"claims-{shard}")[0]

    async def _ask_writer(self, writer, shard, record, hops):
        """Returns whether the request was sent, and the ``ClaimReply`` or None."""
        self._number += 1
        number = self._number
        future = asyncio.get_running_loop().create_future()
        self._replies_by_number[number] = future
        if not self._links.send(writer, ClaimRequest(number, shard, record, hops)):
            self._replies_by_number.pop(number, None)
            return False, None
        try:
            return True, await asyncio.wait_for(future, REMOTE_TIMEOUT_S)
        except TimeoutError:
            self._replies_by_number.pop(number, None)
            return True, None
