"""Clients of the platform's host service and its advice service."""

from enum import Enum

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.platform import names
from sassafrasgrade.platform.calls import HTTP_OK, JsonCaller, was_sent_again
from sassafrasgrade.platform.messages import AdviceReply, MachinePage, OrderReply

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503

_pages = msgspec.json.Decoder(MachinePage)
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

    async def list_hosts(self):
        """Reads all pages; returns a tuple of ``MachineRow`` as a ``Result``."""
        rows, page_token = [], None
        while True:
            query = f"?pageToken={page_token}" if page_token else ""
            path = names.MACHINES_PATH + query
            response = await self._caller.fetch("GET", path, None, self._timeout_s)
            if response.code != HTTP_OK:
                return Failure(_unavailable("the host list", response))
            try:
                page = _pages.decode(response.body)
            except msgspec.DecodeError as error:
                return Failure(_unavailable(f"the host list: {error}", response))
            rows.extend(page.machines)
            page_token = page.next_page
            if not page_token:
                return Success(tuple(rows))

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
            return HostOrderOutcome(_replies.decode(response.body).reason)
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
        except msgspec.DecodeError as error:
            return Failure(_unavailable(f"the advice service: {error}", response))


def _unavailable(what, response):
    return PlatformUnavailable(
        f"{what} did not answer ({response.error or response.code})",
        "Check its address and state; the call may be retried.",
    )
