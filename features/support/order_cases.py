"""Starts under way to a worker while something else happens to their runs."""

import asyncio
import socket
import struct
from types import SimpleNamespace

from features.support.work_tables import (
    NOW,
    add_simple_job,
    create_tables,
    first_task,
    start_run,
)
from sassafrasgrade.http_clients import create_http_client
from sassafrasgrade.platform.calls import JsonCaller
from sassafrasgrade.platform.clouds import CloudClient
from sassafrasgrade.platform.messages import WorkerView
from sassafrasgrade.platform.stores import Put, StoreClient
from sassafrasgrade.platform.workers import OrderOutcome, WorkerClient, WorkerReply
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.run_updates import forget_run, restart_worker
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_tables import RunState
from sassafrasgrade.worker_orders import StartOrder
from sassafrasgrade.worker_sessions import WorkerSession

BORN_MS = 1_000_000
ORDER = StartOrder("a.0.0.0", 1, "s", 9000.0, 7)
OK_BODY = b'{"timestampMs":5}'
REFUSALS_BY_NAME = {
    "no refusal": (200, OK_BODY),
    "unhealthy": (503, b""),
    "busy": (429, b""),
    "late": (409, b'{"timestampMs":5,"reason":"late"}'),
    "old": (409, b'{"timestampMs":5,"reason":"old"}'),
    "other worker": (421, b""),
    "fence": (409, b'{"timestampMs":5,"reason":"fence"}'),
}


class HeldClient:
    """A worker's client that keeps starts waiting and records them."""

    def __init__(self):
        self.started = []
        self.released = asyncio.Event()

    async def start(self, order, timeout_s):
        """Records a start and answers once it is released."""
        self.started.append(order.task)
        await self.released.wait()
        return WorkerReply(OrderOutcome.DONE, NOW * 1000)


class RecordingDispatcher:
    """What a session needs of the dispatcher."""

    def __init__(self, tables):
        self.tables = tables
        self.timers = FakeTimerService()
        self.worker_token = 1
        self.dropped = []
        self.stopped = []

    def may_start(self, run):
        """Always true: the worker is usable."""
        return True

    def drop_unsent_start(self, run, reason):
        """Records a start that is not sent."""
        self.dropped.append((run.task.name, reason))

    def handle_start_reply(self, run, reply, had_no_effect):
        """Does nothing."""

    def lease_s(self):
        """No lease is given."""
        return 0.0


async def settle():
    """Lets ready callbacks run."""
    for _ in range(10):
        await asyncio.sleep(0)


async def send_queued(event):
    """Returns the tasks whose starts reach a worker; the last one waits its turn."""
    tables = create_tables(workers=1)
    worker = tables.workers_by_id["worker-0"]
    runs = []
    for number in range(3):
        job = add_simple_job(tables, f"{number:016x}")
        runs.append(start_run(first_task(job), worker, RunState.STARTING))
        runs[-1].deadline_ms = 0.0
    dispatcher = RecordingDispatcher(tables)
    session = WorkerSession(worker, None, dispatcher)
    session._client = client = HeldClient()
    calls = [asyncio.ensure_future(session.send_start(run)) for run in runs]
    await settle()
    if event == "is forgotten":
        forget_run(tables, runs[2], EndProof(ProofKind.LEASE_LAPSED, NOW), NOW)
    elif event == "waits while its worker's clock becomes unknown":
        worker.clock_offset_ms = None
    elif event == "waits while its worker is back and usable again":
        view = WorkerView(clock_ms=1.0, born_ms=BORN_MS)
        restart_worker(tables, worker, view, NOW)
        worker.clock_offset_ms = 0.0
    elif event == "is told to stop":
        runs[2].stopped_at = NOW
    client.released.set()
    await asyncio.gather(*calls)
    names = [run.task.name for run in runs]
    return names.index(names[2]) < len(client.started), dispatcher.dropped


async def serve_copies(last_answer, copies):
    """Serves calls on loopback; resets a used connection after reading a request.

    Returns:
        Server, and the list of the requests that it read.
    """
    read = []

    async def handle(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionResetError):
                writer.close()
                return
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            read.append(await reader.readexactly(length))
            if copies == 2 and len(read) == 2:
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.close()
                return
            code, body = (200, OK_BODY) if len(read) == 1 else last_answer
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, len(body))
            )
            writer.write(body)

    return await asyncio.start_server(handle, "127.0.0.1", 0), read


async def call_with_copies(call, refusal, copies):
    """Returns the outcome of a second call that curl sends once or twice.

    Args:
        call: Function of a client and an address that makes a call.
        refusal: Name of the answer to the last copy.
        copies: How often curl sends the second call.
    """
    server, read = await serve_copies(REFUSALS_BY_NAME[refusal], copies)
    http = create_http_client(4)
    try:
        port = server.sockets[0].getsockname()[1]
        await call(http, f"127.0.0.1:{port}")
        outcome = await call(http, f"127.0.0.1:{port}")
        assert len(read) == 1 + copies, read
    finally:
        http.close()
        server.close()
    await settle()
    return outcome


async def send_start(http, address):
    """Sends a start; returns its ``OrderOutcome``."""
    reply = await WorkerClient(http, "worker", address).start(ORDER, 2.0)
    return reply.outcome


async def send_write(http, address):
    """Sends a write to the store; returns its ``Result``."""
    store = StoreClient(JsonCaller(http, address), 2.0, lambda *call: None)
    return await store.commit([("key", 1)], [Put("key", b"value")])


async def send_host_order(http, address):
    """Sends a host order; returns its ``HostOrderOutcome``."""
    return await CloudClient(http, address, "node", 2.0).move_host("host", "pool", 1)


async def poll_restarted_worker(born_ms, clock_ms):
    """Returns whether an answer of an incarnation sets the worker's clock offset."""
    tables = create_tables(workers=1)
    worker = tables.workers_by_id["worker-0"]
    worker.born_ms = BORN_MS
    worker.clock_offset_ms = None
    dispatcher = RecordingDispatcher(tables)
    view = WorkerView(clock_ms=clock_ms, born_ms=born_ms)

    async def poll(*arguments):
        return WorkerReply(OrderOutcome.DONE, clock_ms, view)

    dispatcher.apply_worker_view = lambda session, view, sent_at: (
        view.born_ms == BORN_MS
    )
    session = WorkerSession(worker, None, dispatcher)
    session._client = SimpleNamespace(poll_runs=poll)
    await session._poll_once()
    return worker.clock_offset_ms is not None


async def acknowledge_ends(polls):
    """Returns the ends that polls acknowledge.

    Args:
        polls: (number of the last stored end, whether the poll is answered) of each.
    """
    tables = create_tables(workers=1)
    worker = tables.workers_by_id["worker-0"]
    dispatcher = RecordingDispatcher(tables)
    dispatcher.apply_worker_view = lambda session, view, sent_at: True
    dispatcher.record_unresponsive = lambda worker, detail: None
    session = WorkerSession(worker, None, dispatcher)
    acknowledged = []
    for stored_end, is_answered in polls:
        worker.stored_end = stored_end

        async def poll(token, discards, *arguments):
            acknowledged.append(discards)
            if not is_answered:
                return WorkerReply(OrderOutcome.UNKNOWN)
            return WorkerReply(OrderOutcome.DONE, 1.0, WorkerView(clock_ms=1.0))

        session._client = SimpleNamespace(poll_runs=poll)
        await session._poll_once()
    return acknowledged
