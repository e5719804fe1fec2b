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
    create_http_client,
    fetch_response,
    prepare_direct,
)
from sassafrasgrade.tools.standins.backends import (
    CHECKSUM_HEADER,
    KEY_HEADER,
    SERVICE_HEADER,
    TOKEN_HEADER,
)

US_PER_S = 1_000_000
US_PER_MS = 1000.0
LONGEST_US = 120 * US_PER_S
DIGITS = 3
CLIENTS_AT_ONCE = 1000
READY_PERIOD_S = 0.2
READY_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
GIVE_UP_MARGIN_S = 5.0
LONGEST_CONNECT_TRIES = 5
HTTP_OK = 200


class Peak(msgspec.Struct, frozen=True):
    """Another rate for part of the run; times in seconds from its start."""

    from_s: float
    to_s: float
    rate: float


class LoadClass(msgspec.Struct, frozen=True):
    """One class of requests.

    Attributes:
        name: Name in the result.
        path: Path, with the method GET unless ``method`` says otherwise.
        rate: Requests a second outside peaks.
        deadline_ms: Time within which an answer counts.
        service_ms: Service time asked of the stand-in, 0 for its own.
        spread: Whether service times are drawn exponentially.
        method: HTTP method.
        body_bytes: Length of the body.
        keyed: Whether each request carries an Idempotency-Key.
        repeats: Times a keyed request is repeated by the caller after a failure.
        peaks: Other rates for parts of the run.
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
        """Returns the rate at a time from the start."""
        for peak in self.peaks:
            if peak.from_s <= seconds < peak.to_s:
                return peak.rate
        return self.rate


class LoadPlan(msgspec.Struct, frozen=True):
    """A whole run.

    Attributes:
        targets: Base URLs of the entry hosts (or of servers, for comparison).
        classes: The classes.
        duration_s: Length of the run.
        seed: Seed of all draws.
        warm_up_s: Start of the run that the figures leave out.
        checks_ready: Whether targets are polled at /readyz as a balancer does.
        keeps_requests: Whether the result lists each request's outcome.
        count: Ends after this many requests, 0 for no limit.
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
        self.histogram = HdrHistogram(1, LONGEST_US, DIGITS)

    def summary(self):
        """Returns the figures; latencies in milliseconds of whole answers."""
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
    """Picks ready targets at random, as the platform's balancer does."""

    def __init__(self, targets, random_source, http_client, checks_ready):
        self._targets = targets
        self._random = random_source
        self._http = http_client
        self._checks_ready = checks_ready
        self.ready = [] if checks_ready else list(targets)

    def pick(self):
        """Returns a ready target, or any if none is known to be ready."""
        return self._random.choice(self.ready or self._targets)

    async def watch(self):
        """Polls /readyz of all targets until cancelled."""
        while self._checks_ready:
            states = await asyncio.gather(*map(self._is_ready, self._targets))
            self.ready = [t for t, is_ready in zip(self._targets, states) if is_ready]
            await asyncio.sleep(READY_PERIOD_S)

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
        balancer: What picks targets, or None for a ``Balancer``.
    """

    def __init__(self, plan, balancer=None):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._http = create_http_client(CLIENTS_AT_ONCE)
        self._probes = create_http_client(len(plan.targets))
        self._balancer = balancer or Balancer(
            plan.targets, self._random, self._probes, plan.checks_ready
        )
        self.results_by_class = {item.name: ClassResult() for item in plan.classes}
        self.requests = []
        self._started = 0
        self._open = set()

    async def run(self):
        """Runs the plan; returns the result as a dict ready for JSON."""
        watcher = asyncio.ensure_future(self._balancer.watch())
        while self._plan.checks_ready and not self._balancer.ready:
            await asyncio.sleep(READY_PERIOD_S)
        begin = time.monotonic()
        await asyncio.gather(*(self._arrive(c, begin) for c in self._plan.classes))
        if self._open:
            await asyncio.wait(self._open)
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

    async def _arrive(self, load_class, begin):
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
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _request(self, load_class, service_ms, counts):
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
        if not counts:
            return
        result = self.results_by_class[load_class.name]
        result.counts[outcome] += 1
        result.counts["sent"] += 1
        if outcome in ("in_time", "late"):
            result.histogram.record_value(max(1, int(seconds * US_PER_S)))
        else:
            result.reasons[reason] += 1

    async def send(self, load_class, service_ms, key):
        """Sends once; returns (outcome, reason, seconds, request id)."""
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        token = request_id[:12]
        headers = {REQUEST_ID_HEADER: request_id, TOKEN_HEADER: token}
        if service_ms:
            headers[SERVICE_HEADER] = f"{service_ms:.3f}"
        if load_class.keyed:
            headers[KEY_HEADER] = key
        started = time.monotonic()
        # Only where runs are counted by request id: the callback costs the
        # generator processor time that floods need.
        is_single = self._plan.keeps_requests
        sending = _SingleSending() if is_single else None
        for _ in range(LONGEST_CONNECT_TRIES):
            response = await fetch_response(
                self._http,
                HTTPRequest(
                    self._balancer.pick() + load_class.path,
                    method=load_class.method,
                    body=b"x" * load_class.body_bytes or None,
                    headers=headers,
                    allow_nonstandard_methods=True,
                    connect_timeout=CONNECT_TIMEOUT_S,
                    request_timeout=load_class.deadline_ms / 1000 + GIVE_UP_MARGIN_S,
                    prepare_curl_callback=sending.prepare if is_single else None,
                ),
            )
            errno = getattr(response.error, "errno", None)
            if errno != pycurl.E_COULDNT_CONNECT or (is_single and sending.has_begun):
                break
        seconds = time.monotonic() - started
        outcome, reason = judge_answer(response, request_id, token)
        if outcome == "whole":
            in_time = seconds * 1000 <= load_class.deadline_ms
            outcome = "in_time" if in_time else "late"
        return outcome, reason, seconds, request_id


@dataclass(slots=True)
class _SingleSending:
    """Sends a request on one connection only.

    curl repeats a request on a new connection when a kept one ends, and then
    reports that it could not connect although the request may have been read.

    Attributes:
        has_begun: Whether a first byte may have left.
    """

    has_begun: bool = False

    def prepare(self, curl):
        """Sets the options that tornado's client does not know."""
        prepare_direct(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self.begin)

    def begin(self, *addresses):
        """Called by curl on a ready connection, before the first byte."""
        if self.has_begun:
            return pycurl.PREREQFUNC_ABORT
        self.has_begun = True
        return pycurl.PREREQFUNC_OK


def judge_answer(response, request_id, token):
    """Returns (outcome, reason) of a response as its caller sees it.

    Outcomes: ``whole``, ``not-run``, ``ran``, ``unknown``, ``failed`` (the
    server's own error), ``cut`` (no whole answer) and ``wrong`` (another's).
    """
    if response.code == HTTP_TRANSPORT_FAILURE:
        return "cut", str(response.error)
    outcome = response.headers.get(OUTCOME_HEADER)
    if outcome:
        return outcome, response.headers.get(REASON_HEADER, "")
    if response.code != HTTP_OK:
        return "failed", str(response.code)
    body = response.body or b""
    whole = response.headers.get(CHECKSUM_HEADER) == str(zlib.crc32(body))
    own = body.startswith(f"{request_id} {token} ".encode())
    return ("whole", "") if whole and own else ("wrong", body[:80].decode())
