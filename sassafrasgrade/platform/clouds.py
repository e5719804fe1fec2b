"""Clients of the platform's host service and its advice service."""

import logging
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.errors import DECODE_ERRORS, PlatformUnavailable
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import HTTP_OK, JsonCaller, was_sent_again
from sassafrasgrade.platform.messages import (
    AdviceReply,
    MachinePage,
    MachineRow,
    OrderReply,
)
from sassafrasgrade.refused_values import RefusedValues

logger = logging.getLogger(__name__)

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
# Length of the beginning of a refused row, by which it is known in the log.
MAX_KEY_LENGTH = 60

_pages = msgspec.json.Decoder(MachinePage)
_rows = msgspec.json.Decoder(MachineRow)
_replies = msgspec.json.Decoder(OrderReply)
_advices = msgspec.json.Decoder(AdviceReply)


class HostOrderOutcome(Enum):
    """Outcome of an order to move or maintain a host."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_OF_WAVE = "wave"
    INVALID = "invalid"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class HostList:
    """All hosts that the host service listed.

    Attributes:
        rows: ``MachineRow`` values.
        is_complete: Whether every row could be decoded.
    """

    rows: tuple
    is_complete: bool = True


class CloudClient:
    """Lists hosts and orders their moves and maintenance.

    Args:
        http: ``CurlClient`` shared by the process.
        address: IP address and port.
        holder: Name sent with each order, in ``HOLDER_HEADER``.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(self, http, address, holder, timeout_s):
        self._caller = JsonCaller(http, address)
        self._holder = holder
        self._timeout_s = timeout_s
        self._refused_rows = RefusedValues()

    async def list_hosts(self):
        """Reads all pages; returns a ``HostList`` as a ``Result``."""
        rows, page_token = [], None
        while True:
            query = f"?pageToken={page_token}" if page_token else ""
            path = names.MACHINES_PATH + query
            response = await self._caller.fetch("GET", path, None, self._timeout_s)
            if response.code != HTTP_OK:
                return Failure(_unavailable("the host list", response))
            try:
                page = _pages.decode(response.body)
            except DECODE_ERRORS as error:
                return Failure(_unavailable(f"the host list: {error}", response))
            rows.extend(self._decode_row(row) for row in page.machines)
            page_token = page.next_page
            if not page_token:
                valid_rows = tuple(row for row in rows if row is not None)
                return Success(HostList(valid_rows, len(valid_rows) == len(rows)))

    def _decode_row(self, raw):
        """Returns a ``MachineRow``; None if it cannot be decoded."""
        try:
            return _rows.decode(raw)
        except DECODE_ERRORS as error:
            message = "host skipped; its row cannot be decoded"
            key = bytes(raw)[:MAX_KEY_LENGTH].decode(errors="replace")
            self._refused_rows.log_new(logger, message, key, error)
            return None

    async def move_host(self, host, pool, token):
        """Moves a host to another pool."""
        body = {"machine": host, "pool": pool}
        return await self._order(names.MACHINE_MOVE_PATH, body, token)

    async def maintain_host(self, host, wave, token):
        """Takes a host down for maintenance as part of a wave."""
        body = {"machine": host, "wave": wave}
        return await self._order(names.MACHINE_UPKEEP_PATH, body, token)

    async def _order(self, path, body, token):
        headers = {
            names.HOLDER_HEADER: self._holder,
            names.FENCE_HEADER: str(token),
        }
        response = await self._caller.fetch(
            "POST", path, body, self._timeout_s, headers
        )
        if response.code == HTTP_OK:
            return HostOrderOutcome.DONE
        if was_sent_again(response):
            return HostOrderOutcome.UNKNOWN
        if response.code == HTTP_CONFLICT:
            return _conflict_outcome(response)
        if response.code == HTTP_BAD_REQUEST:
            return HostOrderOutcome.INVALID
        if response.code in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            return HostOrderOutcome.REFUSED
        return HostOrderOutcome.UNKNOWN


class AdviceClient:
    """Asks which workers may run a step.

    Args:
        http: ``CurlClient`` shared by the process.
        address: IP address and port.
    """

    def __init__(self, http, address):
        self._caller = JsonCaller(http, address)

    async def advise(self, step, worker_ids, timeout_s):
        """Returns ``AdviceReply`` as a ``Result``."""
        body = {"step": step, "workers": worker_ids}
        path = names.ADVISE_PATH
        response = await self._caller.fetch("POST", path, body, timeout_s)
        if response.code != HTTP_OK:
            return Failure(_unavailable("the advice service", response))
        try:
            return Success(_advices.decode(response.body))
        except DECODE_ERRORS as error:
            return Failure(_unavailable(f"the advice service: {error}", response))


def _conflict_outcome(response):
    try:
        return HostOrderOutcome(_replies.decode(response.body).reason)
    except DECODE_ERRORS:
        return HostOrderOutcome.UNKNOWN


def _unavailable(what, response):
    return PlatformUnavailable(
        f"{what} did not answer ({response.error or response.code})",
        "Check its address and state; the call may be retried.",
    )
