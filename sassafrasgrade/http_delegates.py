"""HTTP server for callers, below tornado.web.

It admits or refuses a request once its headers are read, before its body.
"""

import re
import uuid

from tornado import httputil
from tornado.ioloop import IOLoop

from sassafrasgrade.answers import (
    REQUEST_ID_HEADER,
    Answer,
    Reason,
    RunRecord,
    failure_answer,
)
from sassafrasgrade.http_exchanges import Exchange

# The body of a refused request is read and discarded up to this size, so that the
# connection can be reused.
MAX_DISCARDED_BODY_BYTES = 65_536
REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
NO_BODY_STATUSES = frozenset({204, 304})
REASON_PHRASES = httputil.responses


class ConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a ``RequestDelegate`` for each request.

    Args:
        entry: The ``Entry``.
    """

    def __init__(self, entry):
        self._entry = entry

    def start_request(self, server_conn, request_conn):
        """Called by tornado for each request."""
        return RequestDelegate(self._entry, request_conn)

    def on_close(self, server_conn):
        """Called by tornado when a connection closed."""


class RequestDelegate(httputil.HTTPMessageDelegate):
    """Reads one request; refuses it as early as possible."""

    __slots__ = (
        "_entry",
        "_connection",
        "_chunks",
        "_size",
        "_answer",
        "_exchange",
        "_method",
        "_is_answered",
        "_page",
        "_headers",
    )

    def __init__(self, entry, connection):
        self._entry = entry
        self._connection = connection
        self._chunks = []
        self._size = 0
        self._answer = None
        self._exchange = None
        self._method = ""
        self._is_answered = False
        self._page = None
        self._headers = None

    def headers_received(self, start_line, headers):
        """Routes and admits the request; called when its headers were read."""
        self._method = start_line.method
        self._headers = headers
        path = start_line.path
        self._page = self._entry.page(start_line.method, path)
        if self._page is not None:
            return
        self._entry.record_request()
        request_id = headers.get(REQUEST_ID_HEADER)
        if request_id is None:
            request_id = uuid.uuid4().hex
        route, reason, retry_after_s = self._admit(start_line, headers, request_id)
        if reason is not None:
            self._refuse(route, reason, request_id, retry_after_s, headers)
            return
        self._exchange = Exchange(
            request_id,
            route,
            start_line.method,
            path,
            headers,
            self._entry.timers.now(),
            self._respond,
        )

    def data_received(self, chunk):
        """Collects the body; called for each chunk."""
        self._size += len(chunk)
        if self._answer is not None or self._is_answered:
            return
        if self._size > self._entry.settings.entry_longest_body_bytes:
            self._refuse_long_body()
            return
        self._chunks.append(chunk)

    def _refuse_long_body(self):
        exchange, self._exchange = self._exchange, None
        request_id = exchange.request_id if exchange is not None else ""
        answer = failure_answer(RunRecord(), Reason.BODY_TOO_LONG, request_id)
        if exchange is not None:
            self._entry.counters.count_answer(exchange.route, answer, 0.0)
        self._respond(answer)

    def finish(self):
        """Starts the exchange or page; called when the whole request was read."""
        if self._is_answered:
            return
        if self._page is not None:
            self._serve_page()
        elif self._answer is not None:
            self._respond(self._answer)
        elif self._exchange is not None:
            self._exchange.body = b"".join(self._chunks)
            self._entry.start_exchange(self._exchange)

    def _serve_page(self):
        answer = self._page(self._headers, b"".join(self._chunks))
        if isinstance(answer, Answer):
            self._respond(answer)
        else:
            IOLoop.current().add_callback(self._await_page, answer)

    async def _await_page(self, awaitable):
        self._respond(await awaitable)

    def on_connection_close(self):
        """Called when the caller disconnects before it was answered."""
        self._is_answered = True
        if self._exchange is not None:
            self._entry.abandon_exchange(self._exchange)

    def _admit(self, start_line, headers, request_id):
        """Returns (route, None, 0) or (route or None, reason, retry seconds)."""
        if not REQUEST_ID_PATTERN.match(request_id):
            return None, Reason.BAD_REQUEST, 0
        return self._entry.admit(start_line.method, start_line.path, headers)

    def _refuse(self, route, reason, request_id, retry_after_s, headers):
        if reason is Reason.BAD_REQUEST:
            request_id = ""
        answer = failure_answer(RunRecord(), reason, request_id, retry_after_s)
        self._entry.counters.count_refusal(route, answer)
        try:
            length = int(headers.get("Content-Length", 0))
        except ValueError:
            length = MAX_DISCARDED_BODY_BYTES + 1
        if length > MAX_DISCARDED_BODY_BYTES or "Transfer-Encoding" in headers:
            self._respond(answer)
        else:
            self._answer = answer

    def _respond(self, answer: Answer):
        if self._is_answered:
            return
        self._is_answered = True
        if self._page is None:
            self._entry.record_request()
        headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        if self._method == "HEAD":
            pass
        elif answer.status not in NO_BODY_STATUSES:
            headers["Content-Length"] = str(len(answer.body))
        if self._entry.is_stopping:
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", answer.status, REASON_PHRASES.get(answer.status, "Unknown")
        )
        body = None if self._method == "HEAD" else answer.body
        self._connection.write_headers(start_line, headers, body or None)
        self._connection.finish()
