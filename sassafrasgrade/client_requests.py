"""HTTP server for callers, below ``tornado.web``."""

import logging
import math

import msgspec
from tornado import httputil
from tornado.ioloop import IOLoop

from sassafrasgrade.job_apis import Reply
from sassafrasgrade.platform.names import DEADLINE_HEADER
from sassafrasgrade.work_tables import MS_PER_S

logger = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode
MAX_LOGGED_PATH = 200
KINDS_BY_METHOD = {"POST": "submit", "GET": "show", "DELETE": "cancel"}


class ClientsDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a ``ClientRequest`` for each request of a connection.

    Args:
        node: The ``Node``.
    """

    def __init__(self, node):
        self._node = node

    def start_request(self, server_conn, request_conn):
        """Called by tornado for each request."""
        return ClientRequest(self._node, request_conn)

    def on_close(self, server_conn):
        """Called by tornado when a connection closed."""


class ClientRequest(httputil.HTTPMessageDelegate):
    """Reads one request and answers it."""

    __slots__ = ("_node", "_connection", "_start", "_headers", "_chunks", "_size",
                 "_is_over", "_began_at")  # fmt: skip

    def __init__(self, node, connection):
        self._node = node
        self._connection = connection
        self._start = None
        self._headers = None
        self._chunks = []
        self._size = 0
        self._is_over = False
        self._began_at = 0.0

    def headers_received(self, start_line, headers):
        """Called by tornado when the headers were read."""
        self._start = start_line
        self._headers = headers
        self._began_at = self._node.timers.now()
        self._node.last_request_at = self._began_at
        self._node.requests_under_way += 1

    def data_received(self, chunk):
        """Called by tornado for each piece of the body."""
        self._size += len(chunk)
        if self._size <= self._node.max_body_bytes():
            self._chunks.append(chunk)

    def finish(self):
        """Called by tornado when the whole request was read."""
        IOLoop.current().add_callback(self._answer)

    def on_connection_close(self):
        """Called by tornado when the caller closed before its answer."""
        if not self._is_over:
            self._is_over = True
            self._node.requests_under_way -= 1

    async def _answer(self):
        path = self._start.path.partition("?")[0]
        if self._size > self._node.max_body_bytes():
            reply = Reply(413, {"error": "the body is too long"})
        else:
            reply = await self._handle(path)
        self._respond(reply)

    async def _handle(self, path):
        try:
            return await self._node.job_api.handle(
                self._start.method,
                self._headers.get("Host", ""),
                path,
                b"".join(self._chunks),
                _deadline_s(self._headers),
            )
        except Exception:
            # Whether the request had an effect is unknown here: no refusal.
            logger.exception(
                "request failed",
                extra={"method": self._start.method, "path": path[:MAX_LOGGED_PATH]},
            )
            return Reply(500, {"error": "internal error; see the node's log"})

    def _respond(self, reply):
        self._node.last_request_at = now = self._node.timers.now()
        seconds = now - self._began_at
        kind = KINDS_BY_METHOD.get(self._start.method, "other")
        self._node.counters.count_request(kind, reply.status, seconds)
        if self._is_over:
            return
        self._is_over = True
        self._node.requests_under_way -= 1
        body = b"" if reply.body is None else _encode(reply.body)
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        headers["Content-Length"] = str(len(body))
        if reply.retry_after_s:
            headers["Retry-After"] = str(reply.retry_after_s)
        if self._node.is_stopping or self._node.is_store_lost():
            # The caller's next connection may reach a node that can serve it.
            headers["Connection"] = "close"
        reason = httputil.responses.get(reply.status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        self._connection.write_headers(start_line, headers, body or None)
        self._connection.finish()


def _deadline_s(headers):
    """Returns the caller's deadline in seconds, or None if the header is missing."""
    try:
        deadline_s = float(headers[DEADLINE_HEADER]) / MS_PER_S
    except (KeyError, ValueError):
        return None
    return deadline_s if math.isfinite(deadline_s) else None
