"""Steps on malformed input: mutated bytes for everything that decodes them."""

import asyncio
import logging
import socket
from types import SimpleNamespace

import msgpack
import msgspec
from behave import then
from hypothesis import (
    HealthCheck,
    Phase,
    given as given_input,
    seed as seeded,
    settings,
    strategies as st,
)
from returns.result import Failure
from tornado import httputil
from tornado.iostream import IOStream

from features.support.work_tables import NOW, create_tables
from sassafrasgrade.client_requests import ClientRequest
from sassafrasgrade.job_apis import read_progress
from sassafrasgrade.job_records import PROGRESS, JobProgress, encode
from sassafrasgrade.job_requests import read_job
from sassafrasgrade.member_records import (
    LeaderRecord,
    NodeRecord,
    decode_epoch,
    decode_leader,
    decode_node,
)
from sassafrasgrade.node_messages import (
    HandOver,
    JobAccepted,
    JobCancelled,
    NodeMessage,
    StateQuestion,
)
from sassafrasgrade.platform.stores import Item, StoreClient
from sassafrasgrade.platform.workers import WorkerClient
from sassafrasgrade.streams import MessageStream
from sassafrasgrade.work_tables import WorkState
from sassafrasgrade.worker_registrations import apply_item

JOB = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 100, "after": []}],
    "repeats": 2,
    "firstMs": 1000,
    "intervalMs": 500,
}
REGISTRATION = {
    "service": "p",
    "address": "127.0.0.1:1",
    "zone": "z",
    "state": "draining",
    "capacity": {"cpu": 1, "memMb": 1},
    "remainingMs": 5,
    "born": 5,
}
PAGE = {
    "items": [{"key": "own/leader", "value": "AAAA", "revision": 3, "lease": 1}],
    "hasMore": False,
    "currentRev": 9,
}
VIEW = {
    "timestampMs": 5,
    "running": [["a.0.0.1", 1, "", 5, 1]],
    "finished": [[1, "a.0.0.0", 1, "done", ""]],
}


class FixedCaller:
    """Answers every call with the same status and body."""

    def __init__(self, code, body):
        self._response = SimpleNamespace(
            code=code,
            body=body,
            error=None,
            request_time=0.0,
            time_info={},
            copies=1,
            is_held_back=False,
        )

    async def fetch(self, *arguments, **options):
        """Returns the response."""
        return self._response


async def call_store(body):
    for code in (200, 412):
        store = StoreClient(FixedCaller(code, body), 1.0, lambda *call: None)
        await store.read_range("own/")
        await store.watch("own/", 1, 0.1)
        await store.read_key("own/leader")
        await store.commit([("k", 0)])
        await store.grant_lease(1.0)


async def call_worker(body):
    for code in (200, 409):
        worker = WorkerClient(None, "w", "127.0.0.1:1")
        worker._caller = FixedCaller(code, body)
        await worker.poll_runs(1, 1, None, 0, 1.0)
        await worker.stop("t", 1, 1, 1.0)


async def receive_messages(data, on_message):
    """Passes bytes through a real stream to a ``MessageStream``."""
    left, right = socket.socketpair()
    sender, receiver = IOStream(left), IOStream(right)
    receiver.set_nodelay = lambda value: None
    stream = MessageStream(receiver, NodeMessage)
    await sender.write(data)
    sender.close()
    await stream.receive(on_message)
    stream.close()


def frame(message):
    return msgpack.packb(msgspec.msgpack.encode(message))


def json(value):
    return msgspec.json.encode(value)


HANDOVER = HandOver(3, True, (), {"a" * 16: b"x"}, {"host": 1.0})
CASES = {
    "a submitted job": (json(JOB), read_job),
    "a worker registration": (
        json(REGISTRATION),
        lambda data: apply_item(create_tables(), Item("servers/w", data, 1), NOW),
    ),
    "a node record": (
        encode(NodeRecord("n", "i", "127.0.0.1:1", 1.0, 5.0)),
        lambda data: decode_node(Item("k", data, 1)),
    ),
    "a leader record": (
        encode(LeaderRecord("n", "i", "127.0.0.1:1", 3)),
        lambda data: decode_leader(Item("k", data, 1)),
    ),
    "an epoch": (b"17", lambda data: decode_epoch(Item("k", data, 1))),
    "stored progress": (
        encode(JobProgress(WorkState.RUNNING, True, {"0.0": [1]}, {}, [])),
        lambda data: read_progress("a" * 16, {PROGRESS: data}),
    ),
    "a page of the store": (json(PAGE), lambda data: asyncio.run(call_store(data))),
    "an answer of a worker": (json(VIEW), lambda data: asyncio.run(call_worker(data))),
    "a stream of messages": (
        frame(JobAccepted("a" * 16, b"record")) + frame(HANDOVER),
        lambda data: asyncio.run(receive_messages(data, lambda message: None)),
    ),
}


def mutations(valid):
    """Strategy: spliced, cut, repeated and nested forms of valid bytes."""
    positions = st.integers(0, len(valid))
    splices = st.tuples(positions, st.integers(0, 8), st.binary(max_size=12)).map(
        lambda p: valid[: p[0]] + p[2] + valid[p[0] + p[1] :]
    )
    nested = st.tuples(st.sampled_from([b"[", b'{"a":', b"\x91"]), positions).map(
        lambda p: valid[: p[1]] + p[0] * 20_000 + valid[p[1] :]
    )
    numbers = st.sampled_from([b"1e999", b"-1", b"99999999999999999999999", b"null"])
    replaced = st.tuples(positions, numbers).map(
        lambda p: valid[: p[0]] + p[1] + valid[p[0] + 1 :]
    )
    return st.one_of(splices, replaced, nested, positions.map(lambda p: valid[:p]))


@then('{inputs:d} mutated inputs of "{decoder}", seed {seed:d}, raise nothing')
def check_mutated(context, inputs, decoder, seed):
    valid, decode = CASES[decoder]

    @seeded(seed)
    @settings(
        max_examples=inputs,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_input(mutations(valid))
    def check(data):
        decode(data)

    logging.disable(logging.CRITICAL)
    try:
        check()
    finally:
        logging.disable(logging.NOTSET)


BAD_JOBS = {
    "a body nested 100000 deep": b'{"spec":"s","steps":[{"x":' + b"[" * 100_000,
    "a negative processor share": json(JOB | {"steps": [{"count": 1, "cpu": -5}]}),
    "an estimate of 1e300": json(JOB | {"steps": [{"count": 1, "estimateMs": 1e300}]}),
    "repeats without an interval": json(JOB | {"intervalMs": 0}),
    "a due time in the year 300000": json(JOB | {"firstMs": 9.4e15}),
}


@then('a job with "{fault}" is refused')
def check_bad_job(context, fault):
    found = read_job(BAD_JOBS[fault])
    assert isinstance(found, Failure), found
    assert found.failure().remedy


@then("of three messages whose second cannot be handled, the other two are handled")
def check_stream_goes_on(context):
    handled = []

    def handle(message):
        if isinstance(message, JobCancelled):
            raise KeyError("no such job")
        handled.append(message)

    first, last = StateQuestion(1, "a" * 16), StateQuestion(2, "b" * 16)
    data = frame(first) + frame(JobCancelled("c" * 16)) + frame(last)
    asyncio.run(receive_messages(data, handle))
    assert handled == [first, last], handled


class RecordingConnection:
    """Records the answer to one request."""

    def write_headers(self, start_line, headers, chunk):
        """Records the status."""
        self.status = start_line.code

    def finish(self):
        """Does nothing."""


@then("a request whose handling fails is answered 500 and counted as ended")
def check_failed_request(context):
    async def fail(*arguments):
        raise KeyError("unexpected")

    node = SimpleNamespace(
        job_api=SimpleNamespace(handle=fail),
        timers=SimpleNamespace(now=lambda: NOW),
        counters=SimpleNamespace(count_request=lambda *counted: None),
        max_body_bytes=lambda: 1000,
        is_store_lost=lambda: False,
        is_stopping=False,
        requests_under_way=0,
        last_request_at=0.0,
    )
    connection = RecordingConnection()
    request = ClientRequest(node, connection)
    start = httputil.RequestStartLine("GET", "/q/" + "a" * 16, "HTTP/1.1")
    request.headers_received(start, httputil.HTTPHeaders())
    asyncio.run(request._answer())
    assert connection.status == 500
    assert node.requests_under_way == 0
