"""Sends one attempt of a request to a backend server through curl."""

from dataclasses import dataclass
from enum import StrEnum

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from sassafrasgrade.answers import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from sassafrasgrade.http_clients import HTTP_TRANSPORT_FAILURE, fetch_response

BUSY_HEADER = "X-Busy-Slots"
HTTP_UNAVAILABLE = 503
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
MS_PER_S = 1000.0
MIN_TIMEOUT_S = 0.001

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "x-http-reason",
    }
)


class AttemptResult(StrEnum):
    """How an attempt ended.

    Attributes:
        WHOLE: The whole answer arrived.
        NOT_SENT: No byte was sent.
        REFUSED: The server answered that it did not run the work.
        LATE: The transfer timed out after the first byte may have been sent.
        CUT: The transfer failed otherwise, or the answer may be truncated.
        CROSSED: The answer echoes another request id, or none.
        TOO_LONG: The answer body exceeds the route's limit.
    """

    WHOLE = "whole"
    NOT_SENT = "not-sent"
    REFUSED = "refused"
    LATE = "late"
    CUT = "cut"
    CROSSED = "crossed"
    TOO_LONG = "too-long"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send.

    Attributes:
        request_id: Id that the server must echo.
        method: HTTP method.
        url: Whole URL on the backend server.
        headers: ``HTTPHeaders`` of the caller.
        body: Whole body.
        repeatable: Whether the request may run more than once, so that curl may
            reuse a connection for it.
        timeout_s: Time left to the deadline.
        connect_timeout_s: Maximum time to connect.
        longest_answer_bytes: Maximum size of the answer body.
        may_start: Function called just before the first byte; False aborts.
    """

    request_id: str
    method: str
    url: str
    headers: object
    body: bytes
    repeatable: bool
    timeout_s: float
    connect_timeout_s: float
    longest_answer_bytes: int
    may_start: object


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How an attempt went.

    Attributes:
        result: How it ended.
        sent: Whether a first byte may have been sent.
        status: HTTP status of the answer, 0 without one.
        headers: ``HTTPHeaders`` of the answer, None without one.
        body: Whole body of the answer.
        seconds: Time taken.
        busy_slots: Busy slots that the server reported, -1 if it did not.
        leaving: Whether the server answered that it is leaving.
    """

    result: AttemptResult
    sent: bool
    status: int = 0
    headers: object = None
    body: bytes = b""
    seconds: float = 0.0
    busy_slots: int = -1
    leaving: bool = False


@dataclass(slots=True)
class _Transfer:
    """State of one curl transfer."""

    attempt: Attempt
    sent: bool = False
    refused_start: bool = False

    def prepare(self, curl):
        """Sets the options that tornado's client does not offer."""
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.PREREQFUNCTION, self.allow_start)
        curl.setopt(pycurl.MAXFILESIZE, self.attempt.longest_answer_bytes)
        if not self.attempt.repeatable:
            # curl silently resends a request if a reused connection has died.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def allow_start(self, *addresses):
        """Called by curl once connected, before the first byte is sent."""
        if self.sent and not self.attempt.repeatable:
            return pycurl.PREREQFUNC_ABORT
        if not self.sent and not self.attempt.may_start():
            self.refused_start = True
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


class AttemptSender:
    """Sends attempts.

    Args:
        http_client: tornado's curl client.
    """

    def __init__(self, http_client):
        self._http = http_client

    async def send(self, attempt):
        """Sends one attempt and returns its ``AttemptReport``; never raises."""
        transfer = _Transfer(attempt)
        request = HTTPRequest(
            attempt.url,
            method=attempt.method,
            headers=_forward_headers(attempt),
            body=attempt.body or None,
            connect_timeout=min(attempt.connect_timeout_s, attempt.timeout_s),
            request_timeout=max(attempt.timeout_s, MIN_TIMEOUT_S),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=transfer.prepare,
        )
        response = await fetch_response(self._http, request)
        return _build_report(transfer, response)


def _forward_headers(attempt):
    headers = attempt.headers.copy()
    for name in list(headers):
        if name.lower() in HOP_BY_HOP_HEADERS:
            del headers[name]
    headers[REQUEST_ID_HEADER] = attempt.request_id
    return headers


def _build_report(transfer, response):
    """Converts curl's response into an ``AttemptReport``."""
    attempt = transfer.attempt
    seconds = response.request_time or 0.0
    if response.error is not None and isinstance(response.error, CurlError):
        result = _classify_error(transfer, response.error.errno)
        return AttemptReport(result, transfer.sent, seconds=seconds)
    if response.code == HTTP_TRANSPORT_FAILURE:
        result = AttemptResult.CUT if transfer.sent else AttemptResult.NOT_SENT
        return AttemptReport(result, transfer.sent, seconds=seconds)
    headers = response.headers
    result = _classify_answer(attempt, response)
    return AttemptReport(
        result,
        transfer.sent,
        response.code,
        headers,
        response.body or b"",
        seconds,
        busy_slots(response),
        headers.get("Connection", "").lower() == "close"
        and response.code == HTTP_UNAVAILABLE,
    )


def _classify_error(transfer, errno):
    if not transfer.sent:
        return AttemptResult.NOT_SENT
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return AttemptResult.LATE
    if errno == pycurl.E_FILESIZE_EXCEEDED:
        return AttemptResult.TOO_LONG
    return AttemptResult.CUT


def _classify_answer(attempt, response):
    headers = response.headers
    if headers.get(REQUEST_ID_HEADER) != attempt.request_id:
        return AttemptResult.CROSSED
    refused = headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN
    if response.code == HTTP_UNAVAILABLE and refused:
        return AttemptResult.REFUSED
    if len(response.body or b"") > attempt.longest_answer_bytes:
        return AttemptResult.TOO_LONG
    if not _has_known_end(attempt, response):
        return AttemptResult.CUT
    return AttemptResult.WHOLE


def _has_known_end(attempt, response):
    """Whether curl could detect that the body was truncated."""
    if attempt.method == "HEAD":
        return True
    if response.code in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
        return True
    headers = response.headers
    chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
    return chunked or "Content-Length" in headers


def busy_slots(response):
    """Returns the busy slots that a server's answer reports, or -1."""
    try:
        return int(response.headers.get(BUSY_HEADER, -1))
    except ValueError:
        return -1


def answer_headers(headers):
    """Returns the end-to-end headers of a server's answer as pairs."""
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
