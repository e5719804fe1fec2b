"""JSON calls over the curl client."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pycurl
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop

from sassafrasgrade.http_clients import bypass_proxy, fetch_response, reset_on_close

HTTP_OK = 200
# Time between two looks at the progress of a transfer, in seconds.
PROGRESS_PERIOD_S = 0.25


@dataclass(frozen=True)
class TransferLimits:
    """Limits of a call whose answer may be large: it may last while bytes arrive.

    Attributes:
        begin_s: Maximum time until the answer begins, in seconds.
        stall_s: Maximum time without a byte after that, in seconds.
        total_s: Maximum time of the whole call, in seconds.
        on_progress: Called after bytes have arrived.
    """

    begin_s: float
    stall_s: float
    total_s: float
    on_progress: Callable


class ProgressGuard:
    """Ends a transfer from which no bytes arrive for too long.

    curl's own limits do not fit: one is on the whole transfer, the other on its mean
    speed over several seconds.

    Args:
        http: ``CurlClient`` that makes the transfer.
        limits: ``TransferLimits``.
    """

    def __init__(self, http, limits):
        self._http = http
        self._limits = limits
        self._loop = IOLoop.current()
        self._curl = self._transfer = None
        self._timeout = None
        self._received_bytes = 0
        self._last_progress_at = 0.0

    def start(self, curl):
        """Starts to look at the progress of a curl handle."""
        self._curl = curl
        self._transfer = self._http.transfer_of(curl)
        self._last_progress_at = self._loop.time()
        self._schedule()

    def stop(self):
        """Stops looking: the transfer has ended."""
        if self._timeout is not None:
            self._loop.remove_timeout(self._timeout)
            self._timeout = None

    def _schedule(self):
        self._timeout = self._loop.call_later(PROGRESS_PERIOD_S, self._check)

    def _check(self):
        self._timeout = None
        now = self._loop.time()
        received_bytes = self._curl.getinfo(pycurl.SIZE_DOWNLOAD)
        if received_bytes > self._received_bytes:
            self._received_bytes = received_bytes
            self._last_progress_at = now
            self._limits.on_progress()
        limit_s = self._limits.stall_s if received_bytes else self._limits.begin_s
        silent_s = now - self._last_progress_at
        if silent_s < limit_s:
            self._schedule()
            return
        reason = f"no byte for {silent_s:.1f} s after {received_bytes:.0f} bytes"
        self._http.abort(self._curl, self._transfer, reason)


class SendTracker:
    """Counts how often curl has begun to send a request.

    curl itself retries a request on a new connection when a reused one turns out
    to be dead; its answer or error then describes only the last copy.

    Args:
        once_within_s: If set, the request is sent only once, and on a connection that
            was kept or is made within this time, in seconds.

    Attributes:
        loop: ``IOLoop`` whose time counts.
        copies: How often sending has begun.
        is_held_back: Whether a copy was not sent for ``once_within_s``.
    """

    def __init__(self, once_within_s=None):
        self.copies = 0
        self.is_held_back = False
        self.loop = IOLoop.current()
        self._once_within_s = once_within_s
        # When curl began to make a connection; None while it uses a kept one.
        self._connecting_since = None

    def prepare(self, curl):
        """Installs the tracker on a curl handle."""
        bypass_proxy(curl)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._record_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._record_copy)

    def _record_socket(self, descriptor, purpose):
        self._connecting_since = self.loop.time()
        return reset_on_close(descriptor, purpose)

    def _record_copy(self, *addresses):
        if self._once_within_s is not None and (self.copies or self._connected_late()):
            self.is_held_back = True
            return pycurl.PREREQFUNC_ABORT
        self.copies += 1
        return pycurl.PREREQFUNC_OK

    def _connected_late(self):
        if self._connecting_since is None:
            return False
        return self.loop.time() - self._connecting_since > self._once_within_s


def was_never_sent(response):
    """Whether a call failed before any part of it was sent."""
    return response.error is not None and not response.copies


def was_sent_again(response):
    """Whether curl sent a call more than once.

    The answer is then the one to the last copy. If that one was refused, an earlier
    copy may have been carried out all the same.
    """
    return response.copies > 1


class JsonCaller:
    """Sends JSON calls to one address.

    Args:
        http: ``CurlClient`` shared by the process.
        address: IP address and port.
    """

    def __init__(self, http, address):
        self._http = http
        self._address = address

    async def fetch(
        self,
        method,
        path,
        body=None,
        timeout_s=1.0,
        headers=None,
        limits=None,
        once_within_s=None,
    ):
        """Sends one call; a transport failure returns a response with ``error``.

        ``copies`` of the response says how often sending had begun, and
        ``is_held_back`` whether ``once_within_s`` (see ``SendTracker``) forbade one.
        With ``limits`` (``TransferLimits``) the timeout is theirs.
        """
        all_headers = {"Content-Type": "application/json", "Expect": ""}
        if headers:
            all_headers |= headers
        tracker = SendTracker(once_within_s)
        guard = None
        if limits is not None:
            guard = ProgressGuard(self._http, limits)
            timeout_s = limits.total_s

        def prepare(curl):
            tracker.prepare(curl)
            if guard is not None:
                guard.start(curl)

        request = HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            headers=all_headers,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            prepare_curl_callback=prepare,
        )
        try:
            response = await fetch_response(self._http, request)
        finally:
            if guard is not None:
                guard.stop()
        response.copies = tracker.copies
        response.is_held_back = tracker.is_held_back
        return response
