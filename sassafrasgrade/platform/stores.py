"""Client of the platform's key-value store."""

import base64
import logging
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.errors import (
    DECODE_ERRORS,
    HistoryCompacted,
    LeaseGone,
    PlatformUnavailable,
    RevisionConflict,
    StoreRefused,
)
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import (
    HTTP_OK,
    TransferLimits,
    was_never_sent,
    was_sent_again,
)
from sassafrasgrade.platform.messages import StoredItem, StorePage, StoreReply

logger = logging.getLogger(__name__)

HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONFLICT = 412
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
# Time that the answer to a watch may begin after the time that the store may wait,
# and the answer to a range read after its call, in seconds.
WATCH_BEGIN_MARGIN_S = 1.5
RANGE_BEGIN_S = 2.0
# Longest pause of an answer under way, and longest time of the whole, in seconds: an
# answer of 1.4 MB, the largest, takes 2.3 s over 5 Mbit/s and longer beside others.
# A limit on the whole in that range cuts it again and again.
TRANSFER_STALL_S = 1.5
TRANSFER_TOTAL_S = 20.0

_pages = msgspec.json.Decoder(StorePage)
_replies = msgspec.json.Decoder(StoreReply)


@dataclass(frozen=True)
class Item:
    """A key of the store.

    Attributes:
        key: The key.
        value: Its bytes; None when the key was deleted.
        revision: Revision of its last change.
        lease: Lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclass(frozen=True)
class Put:
    """A key and value to write, bound to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Changes:
    """Answer to a watch.

    Attributes:
        items: Changed ``Item`` values, oldest first.
        revision: Revision to continue from.
        transfer_s: Time from the answer's first byte to its last, in seconds.
    """

    items: tuple
    revision: int
    transfer_s: float


def do_nothing():
    """Default of callbacks."""


def _limits(begin_s, on_progress):
    return TransferLimits(begin_s, TRANSFER_STALL_S, TRANSFER_TOTAL_S, on_progress)


class StoreClient:
    """Calls the store; every method returns a ``Result``.

    Failures are ``StoreRefused`` (nothing was done), ``PlatformUnavailable``
    (the outcome is unknown), ``RevisionConflict``, ``LeaseGone`` and
    ``HistoryCompacted``.

    Args:
        caller: ``JsonCaller`` for the store's address.
        timeout_s: Default timeout of a call, in seconds.
        on_call: Called with (kind, outcome, seconds) after each call.
    """

    def __init__(self, caller, timeout_s, on_call):
        self._caller = caller
        self._timeout_s = timeout_s
        self._on_call = on_call

    async def read_key(self, key):
        """Reads one key; ``Success(None)`` if it does not exist."""
        path = f"{names.STORE_KEY_PATH}?{urlencode({'key': key})}"
        response = await self._call("GET", path, accepted=(HTTP_OK, HTTP_NOT_FOUND))
        return _decoded(response, _read_item)

    async def read_range(self, prefix, on_progress=do_nothing):
        """Reads all items of a prefix; returns (items, revision of first page).

        Args:
            prefix: The prefix.
            on_progress: Called repeatedly while an answer arrives.
        """
        limits = _limits(RANGE_BEGIN_S, on_progress)
        items, revision, after = [], None, ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            path = f"{names.STORE_RANGE_PATH}?{urlencode(query)}"
            response = await self._call("GET", path, limits=limits)
            if isinstance(response, Failure):
                return response
            found = _decoded(response, _read_page)
            if isinstance(found, Failure):
                return found
            page = found.unwrap()
            items.extend(_decode_item(item) for item in page.items)
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.items:
                return Success((items, revision))
            after = page.items[-1].key

    async def watch(self, prefix, after_revision, wait_s, on_progress=do_nothing):
        """Waits for changes under a prefix; returns ``Changes``.

        Args:
            prefix: The prefix.
            after_revision: Revision after which changes are returned.
            wait_s: Maximum wait for the first change, in seconds.
            on_progress: Called repeatedly while an answer arrives.
        """
        query = urlencode(
            {
                "prefix": prefix,
                "after": after_revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        path = f"{names.STORE_WATCH_PATH}?{query}"
        limits = _limits(wait_s + WATCH_BEGIN_MARGIN_S, on_progress)
        response = await self._call("GET", path, limits=limits)
        return _decoded(response, _read_events)

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Applies all changes if all revisions are as expected, and none otherwise.

        Args:
            conditions: Pairs of key and expected revision (0: absent).
            puts: ``Put`` values.
            deletes: Keys.

        Returns:
            The new revision; ``RevisionConflict`` has the current items.
        """
        body = {
            "expectedRev": [{"key": k, "revision": r} for k, r in conditions],
            "writes": [_encode_put(put) for put in puts],
            "deletes": list(deletes),
        }
        path = names.STORE_COMMIT_PATH
        response = await self._call("POST", path, body)
        return _decoded(response, lambda found: _replies.decode(found.body).revision)

    async def grant_lease(self, ttl_s):
        """Creates a lease; returns its id."""
        body = {"ttlMs": int(ttl_s * 1000)}
        response = await self._call("POST", names.STORE_LEASE_PATH, body)
        return _decoded(response, lambda found: _replies.decode(found.body).lease)

    async def renew_lease(self, lease, timeout_s):
        """Renews a lease; ``LeaseGone`` if it has ended."""
        path = f"{names.STORE_KEEP_PATH}{lease}"
        return await self._call("POST", path, {}, timeout_s=timeout_s)

    async def end_lease(self, lease):
        """Ends a lease and deletes its keys."""
        path = f"{names.STORE_LEASE_END_PATH}{lease}"
        return await self._call("DELETE", path)

    async def _call(
        self,
        method,
        path,
        body=None,
        timeout_s=None,
        accepted=(HTTP_OK,),
        limits=None,
    ):
        kind = path.split("?")[0].removeprefix("/-/kv-").split("/")[0]
        wait_s = timeout_s or self._timeout_s
        response = await self._caller.fetch(
            method, path, body, timeout_s=wait_s, limits=limits
        )
        try:
            result = _classify(kind, response, accepted)
        except DECODE_ERRORS as error:
            result = _unreadable(error)
        outcome = "ok" if isinstance(result, Success) else result.failure().kind
        self._on_call(kind, outcome, response.request_time)
        return result


def _decoded(result, decode):
    """Applies a decoder to a successful call; an unreadable answer is a failure."""
    if isinstance(result, Failure):
        return result
    try:
        return Success(decode(result.unwrap()))
    except DECODE_ERRORS as error:
        return _unreadable(error)


def _unreadable(error):
    logger.warning("unreadable answer of the store", extra={"error": str(error)})
    return Failure(
        PlatformUnavailable(
            f"the store's answer cannot be decoded ({error})",
            "Check that the store's address names the platform's store.",
        )
    )


def _read_page(response):
    return _pages.decode(response.body)


def _classify(kind, response, accepted):
    code = response.code
    if code in accepted:
        return Success(response)
    if code == HTTP_CONFLICT:
        page = _pages.decode(response.body)
        items = tuple(_decode_item(item) for item in page.items)
        return Failure(
            RevisionConflict(
                "the store has other revisions than expected",
                "Read the values again and repeat the change on top of them.",
                items,
            )
        )
    if code == HTTP_NOT_FOUND:
        return Failure(
            LeaseGone(f"{kind} named a lease that has ended", "Grant a new lease.")
        )
    if code == HTTP_GONE:
        return Failure(
            HistoryCompacted("the watched history was compacted", "Read the range.")
        )
    is_refused = code in (HTTP_TOO_MANY, HTTP_UNAVAILABLE)
    if is_refused and not was_sent_again(response):
        return Failure(
            StoreRefused(f"{kind} was refused with {code}", "Retry it after a pause.")
        )
    if was_never_sent(response):
        return Failure(
            StoreRefused(f"{kind} could not connect", "Retry it after a pause.")
        )
    reason = str(response.error) if response.error else str(code)
    return Failure(
        PlatformUnavailable(
            f"{kind} call to the store failed ({reason})",
            "Check the store's address and state; read before retrying a write.",
        )
    )


def _encode_put(put):
    row = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    return row | ({"lease": put.lease} if put.lease else {})


def _decode_item(item: StoredItem):
    if item.is_deleted:
        return Item(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Not base64, so another program wrote it: the empty value fails to decode
        # further on.
        value = b""
    return Item(item.key, value, item.revision, item.lease)


def _read_item(response):
    if response.code == HTTP_NOT_FOUND:
        return None
    return _decode_item(msgspec.json.decode(response.body, type=StoredItem))


def _read_events(response):
    page = _pages.decode(response.body)
    items = tuple(_decode_item(event) for event in page.events)
    return Changes(items, page.revision, _transfer_s(response))


def _transfer_s(response):
    times = response.time_info
    return max(0.0, times.get("total", 0.0) - times.get("starttransfer", 0.0))
