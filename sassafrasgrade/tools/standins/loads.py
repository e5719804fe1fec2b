"""Open-loop load generator that checks every answer."""

import asyncio
import random
import time
import uuid
import zlib
from collections import Counter
from dataclasses import dataclass

import msgspec
import pycurl
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPRequest

from sassafrasgrade.answers import OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER
from sassafrasgrade.http_clients import (
    HTTP_TRANSPORT_FAILURE,
    bypass_proxy,
    create_http_client,
    fetch_response,
)
from sassafrasgrade.tools.standins.backends import (
    CHECKSUM_HEADER,
    KEY_HEADER,
    SERVICE_HEADER,
    TOKEN_HEADER,
)

US_PER_S = 1_000_000
US_PER_MS = 1000.0
MAX_LATENCY_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 3
MAX_CONCURRENT_REQUESTS = 1000
READY_POLL_PERIOD_S = 0.2
READY_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_MARGIN_S = 5.0
MAX_CONNECT_ATTEMPTS = 5
HTTP_OK = 200


class Peak(msgspec.Struct, frozen=True):
    """Another rate during part of the run; times in seconds from its start."""

    from_s: float
    to_s: float
    rate: float


class LoadClass(msgspec.Struct, frozen=True):
    """One class of requests.

    Attributes:
        name: Name in the result.
        path: Path of the request URL.
        rate: Requests per second outside peaks.
        deadline_ms: Time after which an answer counts as late.
        service_ms: Service time asked of the backend server; 0 for its default.
        spread: Whether service times are exponentially distributed.
        method: HTTP method.
        body_bytes: Length of the request body.
        keyed: Whether each request carries an Idempotency-Key.
        repeats: Times a failed request is sent again, with its key if it is keyed.
        peaks: Other rates during parts of the run.
    """

    name: str
    path: str
    rate: float
    deadline_ms: float = 2000.0
    service_ms: float = 0.0
    spread: bool = False
    method: str = "GET"
    body_bytes: int = 0
    keyed: bool = False
    repeats: int = 0
    peaks: list[Peak] = []

    def rate_at(self, seconds):
        """Returns the rate at a time in seconds from the start."""
        for peak in self.peaks:
            if peak.from_s <= seconds < peak.to_s:
                return peak.rate
        return self.rate


class LoadPlan(msgspec.Struct, frozen=True):
    """A load run.

    Attributes:
        targets: Base URLs of the entry hosts (or of servers, for comparison).
        classes: The classes of requests.
        duration_s: Duration of the run.
        seed: Seed of all random numbers.
        warm_up_s: Start of the run, whose requests are left out of the results.
        checks_ready: Whether targets are polled at /readyz, as a balancer does.
        keeps_requests: Whether the result lists the outcome of each request.
        count: Number of requests after which the run ends; 0 for no limit.
    """

    targets: list[str]
    classes: list[LoadClass]
    duration_s: float = 10.0
    seed: int = 1
    warm_up_s: float = 0.0
    checks_ready: bool = True
    keeps_requests: bool = False
    count: int = 0


class ClassResult:
    """Counts and latencies of one class."""

    def __init__(self):
        self.counts = Counter()
        self.reasons = Counter()
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def summary(self):
        """Returns counts, reasons and the latencies (ms) of complete answers."""
        quantile = self.histogram.get_value_at_percentile
        return {
            **self.counts,
            "reasons": dict(self.reasons),
            "p50_ms": quantile(50) / US_PER_MS,
            "p90_ms": quantile(90) / US_PER_MS,
            "p99_ms": quantile(99) / US_PER_MS,
            "max_ms": self.histogram.get_max_value() / US_PER_MS,
        }


class Balancer:
    """Chooses ready targets at random, as the platform's balancer does."""

    def __init__(self, targets, random_source, http_client, checks_ready):
        self._targets = targets
        self._random = random_source
        self._http = http_client
        self._checks_ready = checks_ready
        self.ready = [] if checks_ready else list(targets)

    def pick(self):
        """Returns a ready target, or any target if none is known to be ready."""
        return self._random.choice(self.ready or self._targets)

    async def watch(self):
        """Polls /readyz of all targets until cancelled."""
        while self._checks_ready:
            states = await asyncio.gather(*map(self._is_ready, self._targets))
            self.ready = [t for t, is_ready in zip(self._targets, states) if is_ready]
            await asyncio.sleep(READY_POLL_PERIOD_S)

    async def _is_ready(self, target):
        request = HTTPRequest(
            f"{target}/readyz",
            connect_timeout=READY_TIMEOUT_S,
            request_timeout=READY_TIMEOUT_S,
        )
        response = await fetch_response(self._http, request)
        return response.code == HTTP_OK


class LoadGenerator:
    """Runs a load plan.

    Args:
        plan: ``LoadPlan``.
        balancer: Object that chooses targets, or None for a ``Balancer``.
    """

    def __init__(self, plan, balancer=None):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._http = create_http_client(MAX_CONCURRENT_REQUESTS)
        self._probes = create_http_client(len(plan.targets))
        self._balancer = balancer or Balancer(
            plan.targets, self._random, self._probes, plan.checks_ready
        )
        self.results_by_class = {item.name: ClassResult() for item in plan.classes}
        self.requests = []
        self._started = 0
        self._open_requests = set()

    async def run(self):
        """Runs the plan; returns the result as a dict for JSON."""
        watcher = asyncio.ensure_future(self._balancer.watch())
        while self._plan.checks_ready and not self._balancer.ready:
            await asyncio.sleep(READY_POLL_PERIOD_S)
        begin = time.monotonic()
        await asyncio.gather(
            *(self._generate_arrivals(c, begin) for c in self._plan.classes)
        )
        if self._open_requests:
            await asyncio.wait(self._open_requests)
        elapsed_s = time.monotonic() - begin
        watcher.cancel()
        self._http.close()
        self._probes.close()
        result = {
            "seconds": elapsed_s,
            "classes": {n: r.summary() for n, r in self.results_by_class.items()},
        }
        if self._plan.keeps_requests:
            result["requests"] = self.requests
        return result

    async def _generate_arrivals(self, load_class, begin):
        source = random.Random(f"{self._plan.seed}/{load_class.name}")
        due_s = 0.0
        while True:
            rate = load_class.rate_at(due_s)
            if rate <= 0:
                due_s += 0.05
            else:
                due_s += source.expovariate(rate)
            if due_s >= self._plan.duration_s or self._is_complete():
                return
            delay_s = begin + due_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            if rate > 0 and not self._is_complete():
                self._launch(load_class, source, due_s)

    def _is_complete(self):
        return 0 < self._plan.count <= self._started

    def _launch(self, load_class, source, due_s):
        self._started += 1
        service_ms = load_class.service_ms
        if load_class.spread:
            service_ms = source.expovariate(1 / service_ms)
        task = asyncio.ensure_future(
            self._request(load_class, service_ms, due_s >= self._plan.warm_up_s)
        )
        self._open_requests.add(task)
        task.add_done_callback(self._open_requests.discard)

    async def _request(self, load_class, service_ms, is_measured):
        key = uuid.UUID(int=self._random.getrandbits(128)).hex
        outcome = reason = ""
        for _ in range(load_class.repeats + 1):
            outcome, reason, seconds, request_id = await self.send(
                load_class, service_ms, key
            )
            if self._plan.keeps_requests:
                self.requests.append([load_class.name, key, request_id, outcome])
            if outcome in ("in_time", "late"):
                break
        if not is_measured:
            return
        result = self.results_by_class[load_class.name]
        result.counts[outcome] += 1
        result.counts["sent"] += 1
        if outcome in ("in_time", "late"):
            result.histogram.record_value(max(1, int(seconds * US_PER_S)))
        else:
            result.reasons[reason] += 1

    async def send(self, load_class, service_ms, key):
        """Sends a request; returns (outcome, reason, seconds, request id)."""
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        token = request_id[:12]
        headers = {REQUEST_ID_HEADER: request_id, TOKEN_HEADER: token}
        if service_ms:
            headers[SERVICE_HEADER] = f"{service_ms:.3f}"
        if load_class.keyed:
            headers[KEY_HEADER] = key
        started = time.monotonic()
        # The callback takes CPU time that floods need, so it is only used
        # where runs are counted by request id.
        is_single = self._plan.keeps_requests
        single_request = _SingleConnectionRequest() if is_single else None
        for _ in range(MAX_CONNECT_ATTEMPTS):
            response = await fetch_response(
                self._http,
                HTTPRequest(
                    self._balancer.pick() + load_class.path,
                    method=load_class.method,
                    body=b"x" * load_class.body_bytes or None,
                    headers=headers,
                    allow_nonstandard_methods=True,
                    connect_timeout=CONNECT_TIMEOUT_S,
                    request_timeout=load_class.deadline_ms / 1000
                    + REQUEST_TIMEOUT_MARGIN_S,
                    prepare_curl_callback=(
                        single_request.set_curl_options if is_single else None
                    ),
                ),
            )
            errno = getattr(response.error, "errno", None)
            if errno != pycurl.E_COULDNT_CONNECT or (
                is_single and single_request.may_have_sent
            ):
                break
        seconds = time.monotonic() - started
        outcome, reason = classify_response(response, request_id, token)
        if outcome == "whole":
            in_time = seconds * 1000 <= load_class.deadline_ms
            outcome = "in_time" if in_time else "late"
        return outcome, reason, seconds, request_id


@dataclass(slots=True)
class _SingleConnectionRequest:
    """Keeps curl from sending a request on more than one connection.

    curl repeats a request on a new connection when a reused one is closed. If
    that connection fails, it reports that it could not connect, although the
    server may have read the request.

    Attributes:
        may_have_sent: Whether a byte of the request may have been sent.
    """

    may_have_sent: bool = False

    def set_curl_options(self, curl):
        """Sets curl options that tornado's client does not offer."""
        bypass_proxy(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self.allow_first_connection)

    def allow_first_connection(self, *addresses):
        """Allows one connection (called by curl before it sends the request)."""
        if self.may_have_sent:
            return pycurl.PREREQFUNC_ABORT
        self.may_have_sent = True
        return pycurl.PREREQFUNC_OK


def classify_response(response, request_id, token):
    """Returns (outcome, reason) of a response as its caller sees it.

    Outcomes: ``whole`` (a complete answer to this request), ``not-run``,
    ``ran``, ``unknown``, ``failed`` (an error of the backend server itself),
    ``cut`` (no complete answer) and ``wrong`` (corrupt, or another request's).
    """
    if response.code == HTTP_TRANSPORT_FAILURE:
        return "cut", str(response.error)
    outcome = response.headers.get(OUTCOME_HEADER)
    if outcome:
        return outcome, response.headers.get(REASON_HEADER, "")
    if response.code != HTTP_OK:
        return "failed", str(response.code)
    body = response.body or b""
    is_intact = response.headers.get(CHECKSUM_HEADER) == str(zlib.crc32(body))
    is_own = body.startswith(f"{request_id} {token} ".encode())
    return ("whole", "") if is_intact and is_own else ("wrong", body[:80].decode())
