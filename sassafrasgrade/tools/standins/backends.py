"""Stand-in for backend servers with slots, service times, faults and run counts."""

import asyncio
import json
import random
import zlib
from collections import Counter

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop

from sassafrasgrade.answers import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from sassafrasgrade.attempts import BUSY_HEADER

SERVICE_HEADER = "X-Service-Ms"
TOKEN_HEADER = "X-Caller-Token"
CHECKSUM_HEADER = "X-Checksum"
KEY_HEADER = "Idempotency-Key"
MS_PER_S = 1000.0
CROSSED_ID = "crossed-0"
ANSWER_PADDING = b"." * 960


class ServerFaults(msgspec.Struct):
    """Faults of one backend server.

    Attributes:
        late: Fraction of requests that are answered ``late_s`` later.
        late_s: Seconds added to a late answer.
        crossed: Fraction answered with another request's id and body.
        truncated: Fraction whose answer ends in the middle of the body.
        dropped: Fraction that run, but whose connection closes unanswered.
        fails_all: Whether every request is answered 500 at once.
        is_leaving: Whether it refuses new work and closes connections.
        service_factor: Multiplies the service time.
        seed: Seed of the random choice of faults.
    """

    late: float = 0.0
    late_s: float = 1.0
    crossed: float = 0.0
    truncated: float = 0.0
    dropped: float = 0.0
    fails_all: bool = False
    is_leaving: bool = False
    service_factor: float = 1.0
    seed: int = 1


class BackendServer:
    """One backend server of one host.

    Args:
        host: Host name.
        slots: Requests served at a time; further ones are refused as not run.
        service_ms: Service time of requests that don't ask for another.
    """

    def __init__(self, host, slots, service_ms):
        self.host = host
        self.slots = slots
        self.service_ms = service_ms
        self.set_faults(ServerFaults())
        self.busy = 0
        self.most_busy = 0
        self.refused = 0
        self.connections = 0
        self.most_connections = 0
        self.runs_by_id = Counter()
        self.runs_by_key = Counter()
        self.mixed = 0
        self.first_segments = []
        self._busy_by_segment = Counter()

    def set_faults(self, faults):
        """Replaces the fault plan and reseeds its random source."""
        self.faults = faults
        self._random = random.Random(faults.seed)

    def begin(self, request_id, key, path):
        """Counts a run; returns False if no slot is free or the server is leaving."""
        if self.busy >= self.slots or self.faults.is_leaving:
            self.refused += 1
            return False
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        self.runs_by_id[request_id] += 1
        self._record_segment(path.split("/")[1])
        if key:
            self.runs_by_key[key] += 1
        return True

    def _record_segment(self, segment):
        """Counts a start as mixed if runs of several services are in progress.

        The service is the first segment of the request path.
        """
        if segment not in self.first_segments:
            self.first_segments.append(segment)
        self._busy_by_segment[segment] += 1
        services = sum(count > 0 for count in self._busy_by_segment.values())
        self.mixed += services > 1

    def end(self, path):
        """Frees the slot of a run."""
        self.busy -= 1
        self._busy_by_segment[path.split("/")[1]] -= 1

    def draw_fault(self):
        """Draws the fault of this request; returns its name or None."""
        draw = self._random.random()
        for name in ("late", "crossed", "truncated", "dropped"):
            draw -= getattr(self.faults, name)
            if draw < 0:
                return name
        return None

    def report(self):
        """Returns the counts that tests check."""
        return {
            "most_busy": self.most_busy,
            "most_connections": self.most_connections,
            "refused": self.refused,
            "runs": sum(self.runs_by_id.values()),
            "busy": self.busy,
            "mixed": self.mixed,
            "first_segments": self.first_segments,
        }


class BackendDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a ``BackendRequest`` for each request."""

    def __init__(self, server, owner):
        self.server = server
        self.owner = owner

    def start_request(self, server_conn, request_conn):
        """Returns the delegate of one request (called by tornado)."""
        return BackendRequest(self, request_conn)


class CountingHTTPServer(HTTPServer):
    """Counts the open connections of one backend server."""

    def handle_stream(self, stream, address):
        """Counts an accepted connection (called by tornado)."""
        server = self.request_callback.server
        server.connections += 1
        server.most_connections = max(server.most_connections, server.connections)
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Subtracts a closed connection (called by tornado)."""
        self.request_callback.server.connections -= 1
        super().on_close(server_conn)


class BackendRequest(httputil.HTTPMessageDelegate):
    """Serves one request."""

    def __init__(self, delegate, connection):
        self._server = delegate.server
        self._owner = delegate.owner
        self._connection = connection
        self._body = b""
        self._is_closed = False

    def headers_received(self, start_line, headers):
        """Stores the start line and the headers (called by tornado)."""
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk):
        """Appends a chunk of the body (called by tornado)."""
        self._body += chunk

    def on_connection_close(self):
        """Records that the client closed the connection (called by tornado)."""
        self._is_closed = True

    def finish(self):
        """Handles the complete request (called by tornado)."""
        path = self._start_line.path
        if path.startswith("/-/"):
            self._answer(200, self._owner.control(path, self._body))
        elif path == "/healthz":
            self._answer(200, b"ok")
        else:
            asyncio.ensure_future(self._run_request())

    async def _run_request(self):
        server = self._server
        request_id = self._headers.get(REQUEST_ID_HEADER, "")
        path = self._start_line.path.partition("?")[0]
        if not server.begin(request_id, self._headers.get(KEY_HEADER), path):
            closing = {"Connection": "close"} if server.faults.is_leaving else {}
            refused = {OUTCOME_HEADER: str(Outcome.NOT_RUN)}
            self._answer(503, b"refused", refused | closing)
            return
        try:
            fault = server.draw_fault()
            await self._serve(fault)
        finally:
            server.end(path)
        self._reply(request_id, fault)

    async def _serve(self, fault):
        server = self._server
        if server.faults.fails_all:
            return
        service_ms = float(self._headers.get(SERVICE_HEADER, server.service_ms))
        seconds = service_ms / MS_PER_S * server.faults.service_factor
        if fault == "late":
            seconds += server.faults.late_s
        await asyncio.sleep(seconds)

    def _reply(self, request_id, fault):
        if self._server.faults.fails_all:
            self._answer(500, b"failed")
            return
        token = self._headers.get(TOKEN_HEADER, "")
        body = f"{request_id} {token} ".encode() + ANSWER_PADDING
        if fault == "crossed":
            body = body.replace(token.encode() or b"-", b"someone-else")
            self._answer(200, body, {REQUEST_ID_HEADER: CROSSED_ID})
        elif fault == "truncated":
            self._answer(200, body, cut=True)
        elif fault == "dropped":
            self._close()
        else:
            self._answer(200, body)

    def _answer(self, status, body, extra=None, cut=False):
        if self._is_closed:
            return
        headers = httputil.HTTPHeaders(
            {
                "Content-Length": str(len(body)),
                CHECKSUM_HEADER: str(zlib.crc32(body)),
                BUSY_HEADER: str(self._server.busy),
            }
        )
        if REQUEST_ID_HEADER in self._headers:
            headers[REQUEST_ID_HEADER] = self._headers[REQUEST_ID_HEADER]
        headers.update(extra or {})
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Answer")
        if cut:
            self._connection.write_headers(start_line, headers, body[: len(body) // 2])
            IOLoop.current().call_later(0.005, self._close)
            return
        self._connection.write_headers(start_line, headers, body)
        self._connection.finish()

    def _close(self):
        if not self._is_closed:
            self._connection.detach().close()


class BackendsStandIn:
    """Several backend servers in one process.

    Args:
        hosts: (host name, IP address, port) of each server.
        slots: Slots of each server.
        service_ms: Default service time of each server.
    """

    def __init__(self, hosts, slots=8, service_ms=20.0):
        self.servers_by_name = {}
        self._listeners = []
        for name, address, port in hosts:
            server = BackendServer(name, slots, service_ms)
            self.servers_by_name[name] = server
            listener = CountingHTTPServer(BackendDelegate(server, self))
            self._listeners.append((listener, address, port))

    def start(self):
        """Starts to listen on the addresses of all servers."""
        for listener, address, port in self._listeners:
            listener.listen(port, address, backlog=1024)

    def stop(self):
        """Stops listening."""
        for listener, _, _ in self._listeners:
            listener.stop()

    async def close_host(self, name):
        """Simulates the crash of one host: closes its listener and connections."""
        position = list(self.servers_by_name).index(name)
        listener = self._listeners[position][0]
        listener.stop()
        await listener.close_all_connections()

    def control(self, path, body):
        """Answers a control call of a test; any server answers for all.

        ``/-/report`` returns each server's counts, ``/-/runs`` the runs by
        request id and by key; ``/-/faults`` sets ``{host or "*": ServerFaults}``.
        """
        if path == "/-/report":
            reports = {n: s.report() for n, s in self.servers_by_name.items()}
            return json.dumps(reports).encode()
        if path == "/-/runs":
            return json.dumps(self._runs()).encode()
        plans = msgspec.json.decode(body, type=dict[str, ServerFaults])
        for name, faults in plans.items():
            names = self.servers_by_name if name == "*" else [name]
            for known in names:
                self.servers_by_name[known].set_faults(faults)
        return b"ok"

    def _runs(self):
        by_id, by_key = Counter(), Counter()
        for server in self.servers_by_name.values():
            by_id.update(server.runs_by_id)
            by_key.update(server.runs_by_key)
        return {"by_id": by_id, "by_key": by_key}
