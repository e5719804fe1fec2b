"""Index of one shard's idempotency keys: their claims and outcomes."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

# Minimum time for which settled and lapsed keys are retained.
RETENTION_S = 600.0


class ClaimState(StrEnum):
    """State of a key."""

    CLAIMED = "claimed"
    RELEASED = "released"
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimVerdict(StrEnum):
    """Answer to a request for a key."""

    GRANTED = "granted"
    IN_USE = "in-use"
    RAN = "ran"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key; immutable once in the log.

    Attributes:
        key: Digest of the scoped key.
        token: Unique to one exchange; a settlement must carry its claim's token.
        state: ``ClaimState`` after the change.
        hold_ms: For claims, how long the claimant may still run the request.
        status: HTTP status of the stored answer, 0 for none.
        headers: Headers of the stored answer.
        body: Body of the stored answer.
    """

    key: bytes
    token: str
    state: ClaimState
    hold_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """Records that one writer committed together."""

    batch_id: str
    records: list[ClaimRecord]


@dataclass(frozen=True, slots=True)
class KnownKey:
    """Last record of a key and when it was applied."""

    record: ClaimRecord
    applied_at: float

    def verdict(self, token, now):
        """Returns the verdict for a request with a token."""
        state = self.record.state
        if state is ClaimState.RELEASED:
            return ClaimVerdict.GRANTED
        if state is not ClaimState.CLAIMED:
            ran = state is ClaimState.RAN
            return ClaimVerdict.RAN if ran else ClaimVerdict.UNKNOWN
        if self.record.token == token:
            return ClaimVerdict.GRANTED
        is_held = now < self.applied_at + self.record.hold_ms / 1000
        return ClaimVerdict.IN_USE if is_held else ClaimVerdict.UNKNOWN


class ClaimIndex:
    """Keys of one shard, built by applying its log in order.

    Args:
        parent: Index of the logged records, searched for keys that are missing
            here; an index with a parent holds records that are not in the log yet.
    """

    def __init__(self, parent=None):
        self._parent = parent
        self._known_by_key = {}

    def __len__(self):
        return len(self._known_by_key)

    def verdict(self, key, token, now):
        """Returns the ``ClaimVerdict`` for a request with a token."""
        known = self._find(key)
        return known.verdict(token, now) if known else ClaimVerdict.GRANTED

    def stored(self, key):
        """Returns the last record of a key, or None."""
        known = self._find(key)
        return known.record if known else None

    def _find(self, key):
        known = self._known_by_key.get(key)
        if known is None and self._parent is not None:
            return self._parent._find(key)
        return known

    def apply(self, record, now):
        """Applies a record; returns whether it took effect.

        A claim takes effect if the key is free or claimed with the same token;
        a settlement only with the token of the claim that holds the key.
        """
        known = self._find(record.key)
        if record.state is ClaimState.CLAIMED:
            takes_effect = known is None or known.record.state is ClaimState.RELEASED
            takes_effect = takes_effect or (
                known.record.state is ClaimState.CLAIMED
                and known.record.token == record.token
            )
        else:
            takes_effect = (
                known is not None
                and known.record.token == record.token
                and known.record.state is ClaimState.CLAIMED
            )
        if takes_effect:
            self._known_by_key[record.key] = KnownKey(record, now)
        return takes_effect

    def remove_expired(self, now):
        """Drops keys whose last record is older than the log retains."""
        old = [
            key
            for key, known in self._known_by_key.items()
            if now - known.applied_at > 2 * RETENTION_S
        ]
        for key in old:
            del self._known_by_key[key]
