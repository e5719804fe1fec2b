"""HTTP exchanges with callers: requests from admission to answer."""

import logging
from collections import Counter

from tornado.ioloop import IOLoop

from sassafrasgrade.answers import (
    Answer,
    Reason,
    RunRecord,
    failure_answer,
    replay_answer,
)
from sassafrasgrade.attempts import Attempt, AttemptResult, answer_headers
from sassafrasgrade.claims import KEY_HEADER, MAX_KEY_LENGTH, create_claim
from sassafrasgrade.messages import SlotCancel, SlotDone, SlotRequest
from sassafrasgrade.systems.claims import ClaimVerdict
from sassafrasgrade.systems.retries import RetryBudget
from sassafrasgrade.tables import URGENCY_RANKS

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0
MAX_ATTEMPTS = 3
# Time reserved before the deadline to send the answer to the caller.
ANSWER_MARGIN_S = 0.002
SERVER_ERRORS_TO_RETRY = frozenset({500, 502, 503, 504})
REASON_BY_RESULT = {
    AttemptResult.NOT_SENT: Reason.SERVER_UNREACHABLE,
    AttemptResult.REFUSED: Reason.SERVER_REFUSED,
    AttemptResult.LATE: Reason.ANSWER_LATE,
    AttemptResult.CUT: Reason.ANSWER_CUT,
    AttemptResult.CROSSED: Reason.ANSWER_CROSSED,
    AttemptResult.TOO_LONG: Reason.ANSWER_TOO_LONG,
}
REASON_BY_VERDICT = {
    ClaimVerdict.IN_USE: Reason.KEY_IN_USE,
    ClaimVerdict.RAN: Reason.ALREADY_RUN,
    ClaimVerdict.UNKNOWN: Reason.KEY_UNSETTLED,
    ClaimVerdict.UNAVAILABLE: Reason.KEY_UNCLAIMED,
}


class Exchange:
    """One caller's request, from admission to answer.

    Attributes:
        request_id: Id sent to and echoed by the backend server.
        route: Its ``Route``.
        received_at: When its headers were read.
        deadline_at: When its whole answer is due.
        record: ``RunRecord``, whether its work may have run.
        owner: Name of the owner asked for a slot, or None.
        asked_at: When the slot was requested.
        is_done: Whether the caller was answered or has disconnected.
    """

    __slots__ = (
        "request_id",
        "route",
        "method",
        "uri",
        "headers",
        "body",
        "received_at",
        "deadline_at",
        "record",
        "excluded",
        "owner",
        "asked_at",
        "attempts",
        "is_done",
        "claim",
        "_respond",
    )

    def __init__(self, request_id, route, method, uri, headers, received_at, respond):
        self.request_id = request_id
        self.route = route
        self.method = method
        self.uri = uri
        self.headers = headers
        self.body = b""
        self.received_at = received_at
        self.deadline_at = received_at + route.deadline_ms / MS_PER_S
        self.record = RunRecord()
        self.excluded = ()
        self.owner = None
        self.asked_at = 0.0
        self.attempts = 0
        self.is_done = False
        self.claim = None
        self._respond = respond

    def finish(self, answer):
        """Answers the caller; later calls do nothing."""
        if not self.is_done:
            self.is_done = True
            self._respond(answer)


class ExchangeRunner:
    """Requests slots for exchanges, sends attempts and answers the callers.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        sender: ``AttemptSender``.
        slot_requester: ``SlotRequester`` that chooses owners and sends to them.
        claims: ``ClaimController`` for idempotency keys.
        counters: ``EntryCounters``.
        may_use: Function (host) that returns whether work may start there now.
    """

    def __init__(
        self,
        settings,
        timers,
        sender,
        slot_requester,
        claims,
        counters,
        may_use=lambda host: True,
    ):
        self._may_use = may_use
        self._attempts_by_host = Counter()
        self._settings = settings
        self._claims = claims
        self._timers = timers
        self._sender = sender
        self._slot_requester = slot_requester
        self._counters = counters
        self._retries = RetryBudget()
        self._waiting_by_id = {}
        self._unplaced_by_id = {}
        self.open_count = 0

    @property
    def waiting_count(self):
        """Number of exchanges that wait for a slot."""
        return len(self._waiting_by_id)

    def busy_hosts(self):
        """Returns the hosts with an attempt in flight."""
        return {host for host, count in self._attempts_by_host.items() if count}

    def start(self, exchange):
        """Starts an admitted exchange whose body was read."""
        self.open_count += 1
        if exchange.route.repeatable:
            self._retries.record_request()
        key = exchange.headers.get(KEY_HEADER)
        if key is None or exchange.route.repeatable:
            self._request_slot(exchange)
        elif len(key) > MAX_KEY_LENGTH:
            self._fail(exchange, Reason.BAD_REQUEST, 0)
        else:
            IOLoop.current().add_callback(self._claim, exchange, key)

    def abandon(self, exchange):
        """Drops an exchange whose caller has disconnected; a sent attempt goes on."""
        exchange.is_done = True
        waits = exchange.request_id in self._waiting_by_id
        if waits or exchange.request_id in self._unplaced_by_id:
            self._stop_waiting(exchange)
            self._end(exchange, None)

    def grant(self, owner, grant):
        """Handles a ``SlotGrant`` from an owner."""
        exchange = self._waiting_by_id.get(grant.request_id)
        if exchange is None or exchange.owner != owner:
            self._return_grant(owner, grant)
            return
        del self._waiting_by_id[grant.request_id]
        self._slot_requester.record_grant(exchange.route)
        valid_s = (grant.waited_ms + grant.valid_ms) / MS_PER_S
        lapses_at = exchange.asked_at + valid_s
        IOLoop.current().add_callback(self._attempt, exchange, owner, grant, lapses_at)

    def refuse(self, owner, refusal):
        """Handles a ``SlotRefusal`` from an owner."""
        exchange = self._waiting_by_id.get(refusal.request_id)
        if exchange is None or exchange.owner != owner:
            return
        reason = Reason(refusal.reason)
        del self._waiting_by_id[refusal.request_id]
        if reason is Reason.NO_HOST:
            self._slot_requester.remove_load(owner, exchange.route.pool)
            self._retry_later(exchange)
            return
        retry_after_s = refusal.retry_after_ms / MS_PER_S
        self._slot_requester.record_refusal(owner, exchange.route, retry_after_s)
        self._fail(exchange, reason, retry_after_s)

    def handle_lost_owner(self, owner):
        """Requests new slots for the exchanges that waited at a lost owner."""
        lost = [e for e in self._waiting_by_id.values() if e.owner == owner]
        for exchange in lost:
            del self._waiting_by_id[exchange.request_id]
            self._request_slot(exchange)

    def tick(self, now):
        """Retries exchanges that found no owner; fails overdue waiting ones."""
        for exchange in list(self._unplaced_by_id.values()):
            del self._unplaced_by_id[exchange.request_id]
            if not exchange.is_done:
                self._request_slot(exchange)
        late = [e for e in self._waiting_by_id.values() if now > e.deadline_at]
        for exchange in late:
            self._stop_waiting(exchange)
            self._fail(exchange, Reason.DEADLINE_PASSED, 1.0)

    async def _claim(self, exchange, key):
        claim = create_claim(exchange.route, key)
        left_s = exchange.deadline_at - self._timers.now()
        verdict, stored = await self._claims.claim(claim, left_s)
        if verdict is ClaimVerdict.GRANTED:
            exchange.claim = claim
            if exchange.is_done:
                self._end(exchange, None)
            else:
                self._request_slot(exchange)
            return
        if stored is not None and stored.status:
            answer = Answer(stored.status, stored.headers, stored.body)
            self._finish(exchange, replay_answer(answer, exchange.request_id))
            return
        exchange.record.has_run = verdict is ClaimVerdict.RAN
        exchange.record.possible_runs += verdict is ClaimVerdict.UNKNOWN
        self._fail(exchange, REASON_BY_VERDICT[verdict], 1.0)

    def _end(self, exchange, answer):
        """Ends an exchange: settles its claim and lowers the open count."""
        self.open_count -= 1
        if exchange.claim is not None:
            self._claims.settle(exchange.claim, exchange.record, answer)

    def _request_slot(self, exchange):
        now = self._timers.now()
        if now > exchange.deadline_at - ANSWER_MARGIN_S:
            self._fail(exchange, Reason.DEADLINE_PASSED, 1.0)
            return
        owner = self._slot_requester.choose(exchange.route)
        if owner is None:
            self._retry_later(exchange)
            return
        exchange.owner = owner
        exchange.asked_at = now
        self._waiting_by_id[exchange.request_id] = exchange
        route = exchange.route
        request = SlotRequest(
            exchange.request_id,
            route.pool,
            URGENCY_RANKS[route.urgency],
            route.team,
            route.weight,
            route.repeatable,
            int((exchange.deadline_at - now) * MS_PER_S),
            exchange.excluded,
        )
        self._slot_requester.request_slot(owner, request)

    def _retry_later(self, exchange):
        # No owner serves the pool now: retries at the next tick, for at most half
        # of the request's time.
        now = self._timers.now()
        half_time = (exchange.received_at + exchange.deadline_at) / 2
        if now > half_time:
            self._fail(exchange, Reason.NO_HOST, 1.0)
            return
        self._unplaced_by_id[exchange.request_id] = exchange

    def _stop_waiting(self, exchange):
        self._waiting_by_id.pop(exchange.request_id, None)
        self._unplaced_by_id.pop(exchange.request_id, None)
        if exchange.owner is not None:
            self._slot_requester.notify_owner(
                exchange.owner, SlotCancel(exchange.request_id)
            )

    def _return_grant(self, owner, grant):
        done = SlotDone(
            grant.request_id, grant.host, str(AttemptResult.NOT_SENT), 0, 0.0
        )
        self._slot_requester.notify_owner(owner, done)

    async def _attempt(self, exchange, owner, grant, lapses_at):
        now = self._timers.now()
        in_time = now < lapses_at and now < exchange.deadline_at
        if now >= lapses_at:
            self._counters.count_lapsed_lease()
        if exchange.is_done or not in_time or not self._may_use(grant.host):
            self._return_grant(owner, grant)
            if not exchange.is_done:
                self._request_slot(exchange)
            else:
                self._end(exchange, None)
            return
        exchange.attempts += 1
        started_at = now
        self._attempts_by_host[grant.host] += 1
        report = await self._sender.send(
            self._build_attempt(exchange, grant, now, lapses_at)
        )
        self._attempts_by_host[grant.host] -= 1
        if report.sent:
            exchange.record.possible_runs += 1
        service_s = self._timers.now() - started_at
        done = SlotDone(
            grant.request_id,
            grant.host,
            str(report.result),
            report.status,
            service_s * MS_PER_S,
            report.busy_slots,
            report.leaving,
        )
        self._slot_requester.notify_owner(owner, done)
        self._handle_attempt_report(exchange, grant, report)

    def _build_attempt(self, exchange, grant, now, lapses_at):
        return Attempt(
            exchange.request_id,
            exchange.method,
            f"http://{grant.address}:{grant.port}{exchange.uri}",
            exchange.headers,
            exchange.body,
            exchange.route.repeatable,
            exchange.deadline_at - now,
            self._settings.entry_connect_timeout_s,
            exchange.route.longest_answer_bytes,
            lambda: self._timers.now() < lapses_at and not exchange.is_done,
        )

    def _handle_attempt_report(self, exchange, grant, report):
        """Answers the caller, repeats the attempt or fails the exchange."""
        if report.result is AttemptResult.REFUSED:
            exchange.record.possible_runs -= 1
        elif report.result in (AttemptResult.WHOLE, AttemptResult.TOO_LONG):
            exchange.record.has_run = True
        if exchange.is_done:
            self._end(exchange, _answer_of(report))
            return
        if self._should_repeat(exchange, report):
            self._counters.count_repeat()
            exchange.record.has_run = False
            exchange.excluded = (*exchange.excluded, grant.host)
            self._request_slot(exchange)
            return
        if report.result is AttemptResult.WHOLE:
            self._finish(exchange, _answer_of(report))
            return
        self._fail(exchange, REASON_BY_RESULT[report.result], 1.0)

    def _should_repeat(self, exchange, report):
        if exchange.attempts >= MAX_ATTEMPTS:
            return False
        now = self._timers.now()
        if now >= exchange.deadline_at - ANSWER_MARGIN_S:
            return False
        if not exchange.record.possible_runs:
            return True
        if not exchange.route.repeatable:
            return False
        failed = report.result in (AttemptResult.CUT, AttemptResult.CROSSED)
        server_error = report.status in SERVER_ERRORS_TO_RETRY
        return (failed or server_error) and self._retries.spend()

    def _fail(self, exchange, reason, retry_after_s):
        answer = failure_answer(
            exchange.record, reason, exchange.request_id, retry_after_s
        )
        self._finish(exchange, answer)

    def _finish(self, exchange, answer):
        self._end(exchange, answer)
        seconds = self._timers.now() - exchange.received_at
        self._counters.count_answer(exchange.route, answer, seconds)
        exchange.finish(answer)


def _answer_of(report):
    """Returns the ``Answer`` if the attempt got a whole one, else None."""
    if report.result is not AttemptResult.WHOLE:
        return None
    return Answer(report.status, answer_headers(report.headers), report.body)
