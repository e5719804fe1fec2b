"""The simulated network: delays, cuts, resets, calls carried out late."""

import io
import itertools
import socket
from collections import Counter
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec
import pycurl
from tornado.concurrent import Future
from tornado.httpclient import HTTPResponse

TRANSPORT_FAILURE = 599
# Range of the time of a message in one direction, in seconds.
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.006
# Range of the time after which a call is carried out late, in seconds (published).
LATE_RANGE_S = (1.5, 12.0)
ANYONE = "*"
# Pause after which the first packet of a connection is repeated; it doubles.
FIRST_REPEAT_S = 1.0
# Chance that a call reuses a silent connection while another idle one works.
SILENT_FIRST_SHARE = 0.5


@dataclass(frozen=True)
class Cut:
    """Messages from one place to another are lost until a time.

    ``source`` and ``target`` are names of nodes or machines, ``store``, ``cloud`` or
    ``ANYONE``.
    """

    source: str
    target: str
    until: float


@dataclass(frozen=True)
class Lateness:
    """Share of the calls to a place that are carried out late, until a time.

    With ``reaches_next`` also by a later incarnation at the address.
    """

    target: str
    share: float
    until: float
    range_s: tuple = LATE_RANGE_S
    reaches_next: bool = False


class Endpoint:
    """What listens at an address.

    Attributes:
        place: Name of its machine.
        handle: Called with an ``Arrival``; None once nothing listens.
        is_dark: Whether it ended without closing its connections.
        is_opened_later: Whether connections that are opened while it is dark are
            completed by what listens there next.
    """

    def __init__(self, place, handle):
        self.place = place
        self.handle = handle
        self.is_dark = False
        self.is_opened_later = False


@dataclass
class Arrival:
    """A request that a simulated server carries out.

    Attributes:
        caller: Name of the calling node.
        respond: Called with status and JSON value; late ones answer nobody.
        sent_at: When its caller sent it, in simulated seconds.
        is_late: Whether it is carried out late.
    """

    caller: str
    method: str
    path: str
    query: dict
    headers: dict
    body: dict
    respond: object
    sent_at: float
    is_late: bool


class Network:
    """All paths between nodes, machines, the store and the host service.

    Args:
        world: The ``World``.
        random_source: Seeded ``random.Random``.
    """

    def __init__(self, world, random_source):
        self.world = world
        self.random = random_source
        self.endpoints_by_address = {}
        self.cuts = []
        self.lateness = []
        self.delays_by_place = {}
        self.idle = Counter()
        # Idle connections on which nothing comes back, and no reset either.
        self.silent = Counter()
        self.calls = []
        self.last_spoken = {}

    def delay_s(self, source, target):
        """Returns the time of one message in seconds."""
        extra = max(
            self.delays_by_place.get(source, 0.0), self.delays_by_place.get(target, 0.0)
        )
        return self.random.uniform(MIN_DELAY_S, MAX_DELAY_S + extra)

    def open_at(self, source, target):
        """Returns when a message on a path can pass: now unless the path is cut."""
        now = self.world.now
        open_at = now
        for cut in self.cuts:
            if cut.until > now and cut.source in (source, ANYONE):
                if cut.target in (target, ANYONE):
                    open_at = max(open_at, cut.until)
        return open_at

    def is_open(self, source, target):
        """Whether a path passes messages."""
        return self.open_at(source, target) <= self.world.now

    def arrival_at(self, source, target):
        """Returns when a message that is sent now arrives."""
        return self.open_at(source, target) + self.delay_s(source, target)

    def late_s(self, target):
        """Returns how much later a call is carried out, and the ``Lateness``.

        The time is 0 if it is carried out in time.
        """
        for late in self.lateness:
            if late.until > self.world.now and late.target in (target, ANYONE):
                if self.random.random() < late.share:
                    return self.random.uniform(*late.range_s), late
        return 0.0, None

    def listen(self, address, place, handle):
        """Makes a server listen at an address."""
        self.endpoints_by_address[address] = Endpoint(place, handle)

    def end(self, address, is_dark=False):
        """Ends a server; its connections are reset unless its machine went dark."""
        endpoint = self.endpoints_by_address[address]
        endpoint.handle = None
        endpoint.is_dark = is_dark
        if not is_dark:
            self.reset(address)

    def silence(self, address, share):
        """Ends a dark server's idle connections: a share goes silent for good.

        The others are closed. Connections that are opened meanwhile are completed
        later.
        """
        self.endpoints_by_address[address].is_opened_later = True
        for key in list(self.idle):
            if key[1] == address:
                idle, self.idle[key] = self.idle[key], 0
                self.silent[key] += sum(
                    self.random.random() < share for _ in range(idle)
                )

    def takes_silent(self, key):
        """Whether a call reuses a silent connection; it is not used again."""
        if not self.silent[key]:
            return False
        if self.idle[key] and self.random.random() >= SILENT_FIRST_SHARE:
            return False
        self.silent[key] -= 1
        return True

    def reset(self, address, caller=None):
        """Resets the connections to an address, of one node or of all."""
        for key in list(self.idle):
            if key[1] == address and caller in (None, key[0]):
                self.idle[key] = self.silent[key] = 0
        for call in list(self.calls):
            if call.address == address and caller in (None, call.node.name):
                call.reset()


class FakeCurl:
    """Takes the place of a curl handle in ``prepare_curl_callback``."""

    def __init__(self):
        self.info = object()
        self._on_socket = self._on_sent = None

    def setopt(self, option, value):
        """Remembers what is called when a socket is made, or a request is sent."""
        if option == pycurl.PREREQFUNCTION:
            self._on_sent = value
        elif option == pycurl.SOCKOPTFUNCTION:
            self._on_socket = value

    def getinfo(self, option):
        """Returns 0: answers arrive whole."""
        return 0

    def connect(self):
        """Tells the caller that a connection is being made."""
        if self._on_socket is not None:
            with socket.socket() as connection:
                self._on_socket(connection.fileno(), pycurl.SOCKTYPE_IPCXN)

    def may_send(self):
        """Tells the caller of a request about to be sent; returns whether it may be."""
        if self._on_sent is None:
            return True
        return self._on_sent() == pycurl.PREREQFUNC_OK


class VirtualHttp:
    """Takes the place of a node's ``CurlClient``.

    Args:
        node: The simulated node.
        network: The ``Network``.
    """

    def __init__(self, node, network):
        self._node = node
        self._network = network
        self._calls_by_curl = {}

    def fetch(self, request, raise_error=False):
        """Sends a request; returns a future of its ``HTTPResponse``."""
        curl = FakeCurl()
        call = Call(self._node, self._network, request, curl)
        self._calls_by_curl[curl] = call
        call.future.add_done_callback(lambda _: self._calls_by_curl.pop(curl, None))
        if request.prepare_curl_callback is not None:
            request.prepare_curl_callback(curl)
        call.begin()
        return call.future

    def transfer_of(self, curl):
        """Returns what identifies the transfer of a handle."""
        return curl.info

    def abort(self, curl, transfer, reason):
        """Ends a transfer as timed out."""
        call = self._calls_by_curl.get(curl)
        if call is not None:
            call.fail(reason)


_numbers = itertools.count()


class Call:
    """One HTTP call of a node, on a reused or a fresh connection.

    curl sends a request again on a fresh connection if a reused one is reset before
    the answer begins.
    """

    def __init__(self, node, network, request, curl):
        self.node = node
        self._network = network
        self._world = network.world
        self._request = request
        self._curl = curl
        url = urlsplit(request.url)
        self.address = url.netloc
        self._path = url.path
        self._query = {key: found[0] for key, found in parse_qs(url.query).items()}
        self.future = Future()
        self._began_at = self._world.now
        self._timeout = None
        self._is_reused = False
        self._copy = 0

    def begin(self):
        """Begins the first attempt."""
        network = self._network
        network.calls.append(self)
        loop = self.node.loop
        self._timeout = loop.call_later(
            self._request.request_timeout, self.fail, "timed out"
        )
        key = (self.node.name, self.address)
        if network.takes_silent(key):
            self._is_reused = True
            self._curl.may_send()
        elif network.idle[key] > 0:
            network.idle[key] -= 1
            self._is_reused = True
            self._send(self._copy)
        else:
            self._connect()

    def _connect(self, repeat_s=FIRST_REPEAT_S):
        network, world = self._network, self._world
        self._is_reused = False
        if repeat_s == FIRST_REPEAT_S:
            self._curl.connect()
        endpoint = network.endpoints_by_address.get(self.address)
        if endpoint is None or endpoint.is_dark:
            if endpoint is not None and endpoint.is_opened_later:
                at = world.now + repeat_s
                world.at(at, self._connect_again, self._copy, 2 * repeat_s)
            return
        there = network.arrival_at(self.node.name, endpoint.place)
        back = network.open_at(endpoint.place, self.node.name)
        opened_at = max(there, back) + network.delay_s(endpoint.place, self.node.name)
        world.at(opened_at, self._connected, self._copy, endpoint)

    def _connect_again(self, copy, repeat_s):
        if copy == self._copy and not self.future.done() and self.node.is_alive:
            self._connect(repeat_s)

    def _connected(self, copy, endpoint):
        if copy != self._copy or self.future.done():
            return
        if endpoint.handle is None:
            self._answer_later(self._world.now, copy, None, "connection refused")
            return
        self._send(copy)

    def _send(self, copy):
        network, world = self._network, self._world
        if not self._curl.may_send():
            self.node.loop.call_soon(self.fail, "held back")
            return
        endpoint = network.endpoints_by_address[self.address]
        open_at = network.open_at(self.node.name, endpoint.place)
        at = open_at + network.delay_s(self.node.name, endpoint.place)
        world.at(at, self._arrive, copy, endpoint, open_at > world.now, world.now)

    def _arrive(self, copy, endpoint, was_held, sent_at):
        # A caller that gave up has reset the connection: what a cut held is dropped.
        if was_held and (copy != self._copy or self.future.done()):
            return
        if not self.node.is_alive and was_held:
            return
        late_s, late = self._network.late_s(endpoint.place)
        if late_s:
            at = self._world.now + late_s
            self._world.at(at, self._carry_out, copy, endpoint, sent_at, late)
            return
        self._carry_out(copy, endpoint, sent_at, None)

    def _carry_out(self, copy, endpoint, sent_at, late):
        is_late = late is not None
        if is_late and late.reaches_next:
            endpoint = self._network.endpoints_by_address[self.address]
        if endpoint.handle is None:
            if not endpoint.is_dark and not is_late:
                self._answer_later(self._world.now, copy, None, "reset")
            return
        body = self._request.body

        def respond(status, value):
            if not is_late:
                source = endpoint.place
                at = self._network.arrival_at(source, self.node.name)
                self._answer_later(at, copy, status, value)

        arrival = Arrival(
            self.node.name,
            self._request.method,
            self._path,
            self._query,
            dict(self._request.headers),
            msgspec.json.decode(body) if body else {},
            respond,
            sent_at,
            is_late,
        )
        endpoint.handle(arrival)

    def _answer_later(self, at, copy, status, value):
        self._world.at(at, self._deliver, copy, status, value)

    def _deliver(self, copy, status, value):
        if copy != self._copy or self.future.done() or not self.node.is_alive:
            return
        loop = self.node.loop
        if status is None:
            loop.call_soon(self.fail, value)
        else:
            loop.call_soon(self._finish, status, msgspec.json.encode(value))

    def reset(self):
        """The connection is reset before the answer has begun."""
        if self.future.done():
            return
        self._copy += 1
        if self._is_reused and self.node.is_alive:
            self._connect()
        elif self.node.is_alive:
            self.node.loop.call_soon(self.fail, "connection reset")

    def fail(self, reason):
        """Ends the call without an answer."""
        self._end(HTTPResponse(self._request, TRANSPORT_FAILURE, error=OSError(reason)))

    def _finish(self, status, body):
        if not self.future.done():
            self._network.idle[(self.node.name, self.address)] += 1
        elapsed_s = self._world.now - self._began_at
        self._end(
            HTTPResponse(
                self._request,
                status,
                buffer=io.BytesIO(body),
                request_time=elapsed_s,
                time_info={"total": elapsed_s, "starttransfer": elapsed_s},
            )
        )

    def _end(self, response):
        if self.future.done():
            return
        self._timeout.cancel()
        self._network.calls.remove(self)
        if response.request_time is None:
            response.request_time = self._world.now - self._began_at
        self.future.set_result(response)
