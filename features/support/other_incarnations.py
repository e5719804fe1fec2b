"""What belongs to one incarnation of a worker, and reaches another one.

The cases use the restarted worker of ``granted_leases``, which the leader does not
notice at first.
"""

import asyncio
from types import SimpleNamespace

from features.support import granted_leases
from features.support.granted_leases import (
    CALL_DELAY_S,
    JOBS,
    LONGEST_LEASE_S,
    STEP_S,
    WATCHED_S,
    WORKER,
    RestartedWorker,
)
from features.support.order_cases import serve_copies, settle
from features.support.takeovers import TOKEN, Takeover, job_item
from features.support.virtual.networks import FakeCurl
from sassafrasgrade.http_clients import create_http_client
from sassafrasgrade.job_records import find_task
from sassafrasgrade.leaderships import LEASE_MARGIN_S
from sassafrasgrade.members import LEASE_TTL_S
from sassafrasgrade.platform.calls import SendTracker
from sassafrasgrade.platform.workers import (
    ACKNOWLEDGE_WITHIN_S,
    OrderOutcome,
    WorkerClient,
    WorkerReply,
)
from sassafrasgrade.worker_sessions import ANSWER_TIMEOUT_S, LONG_POLL_WAIT_S

# Time that a call takes to arrive, just below its timeout, in seconds.
SLOW_CALL_S = 0.65
CALL_TIMEOUT_S = 2.0
TASK = "a.0.0.0"
VIEW_BODY = b'{"timestampMs":5,"running":[],"finished":[],"born":1}'
# Time after which a call without an answer is carried out late, in seconds.
LATE_S = 3.0


class SlowStarts(granted_leases.Client):
    """A client whose first start is refused as overtaken and whose next is slow.

    Attributes:
        worker: ``RestartedWorker``.
    """

    def __init__(self, worker):
        super().__init__(worker.timers)
        self.worker = worker
        self.sends = 0

    async def start(self, order, timeout_s):
        """Refuses a start at its timeout; the worker restarts; the next one arrives."""
        self.sends += 1
        self.worker.timers.advance(SLOW_CALL_S)
        if self.sends == 1:
            self.worker.leader.dispatcher._fences.record_write(TOKEN + 1)
            self.present = self.worker.next_life
            return WorkerReply(OrderOutcome.FENCED)
        return self._answer(self.present.start(order))


async def after_repeated_start():
    """A start is refused as overtaken, and the repeated one reaches the next life."""
    worker = RestartedWorker()
    await worker.poll()
    client = SlowStarts(worker)
    client.present, client.hangs_polls = worker.first_life, True
    worker.session._client = worker.client = client
    await worker.start(JOBS[0])
    return worker


async def after_late_poll():
    """The next incarnation lists its run; a lost poll is carried out there late."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    await worker.start(JOBS[0])
    first_clock_ms = worker.first_life.clock_ms()
    worker.timers.advance(CALL_DELAY_S)
    await worker.poll()
    worker.late_deadline_ms = first_clock_ms + LONGEST_LEASE_S * 1000
    return worker


async def after_late_poll_beside_hung_polls():
    """The next incarnation answers a start and lists nothing; a poll comes late."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    worker.client.hangs_polls = True
    await worker.start(JOBS[0])
    worker.late_deadline_ms = worker.first_life.clock_ms() + LONGEST_LEASE_S * 1000
    return worker


CASES_BY_NAME = {
    "a start that was sent again": after_repeated_start,
    "a start and a poll, and late a lost poll": after_late_poll,
    "a start while polls hang, and late a lost poll": after_late_poll_beside_hung_polls,
}


async def play(case):
    """Returns how long after its lapse a run's task is freed, in seconds."""
    worker = await CASES_BY_NAME[case]()
    life, task = (
        worker.next_life,
        find_task(worker.leader.tables, f"{JOBS[0]}.0.0.0"),
    )
    assert life.rows and task.runs_by_number, "the next incarnation runs it"
    worker.client.present = None
    cut_at, freed_at = worker.timers.now(), None
    late_deadline_ms = worker.late_deadline_ms
    for _ in range(round(WATCHED_S / STEP_S)):
        await worker.poll()
        worker.leader.wait(STEP_S)
        if late_deadline_ms and worker.timers.now() - cut_at >= LATE_S:
            life.grant(late_deadline_ms)
            late_deadline_ms = None
        if freed_at is None and not task.runs_by_number:
            freed_at = worker.timers.now()
    assert freed_at is not None, "the task is never freed"
    return freed_at - life.lapses_at()


async def crashes_of_listed_run():
    """A worker restarts, takes a start, is cut off and lists the run after the cut.

    The run of the former incarnation lapses during the cut.

    Returns:
        ``Crash`` values of the tasks whose runs were on the former and on the next
        incarnation.
    """
    worker = RestartedWorker()
    await worker.poll()
    first_life, next_life = worker.first_life, worker.next_life
    await worker.start(JOBS[0])
    await worker.poll()
    assert first_life.rows
    await worker.restart()
    worker.client.hangs_polls = True
    await worker.start(JOBS[1])
    assert next_life.rows
    tables = worker.leader.tables
    former, present = (find_task(tables, f"{job}.0.0.0") for job in JOBS)
    worker.client.present = None
    for _ in range(round(WATCHED_S / STEP_S)):
        await worker.poll()
        worker.leader.wait(STEP_S)
        if not former.runs_by_number:
            break
    assert present.runs_by_number, "the run on the next incarnation is kept"
    worker.client.present, worker.client.hangs_polls = next_life, False
    await worker.poll()
    assert worker.session.worker.born_ms == next_life.born_ms
    return former.crashes, present.crashes


async def copies_of_poll(acknowledged):
    """Returns how often a poll on a connection that is reset is sent, and its outcome.

    Args:
        acknowledged: Number up to which it acknowledges ends; 0 for none.
    """
    server, read = await serve_copies((200, VIEW_BODY), 2)
    http = create_http_client(4)
    try:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = WorkerClient(http, WORKER, address)
        await client.stop(TASK, 1, TOKEN, CALL_TIMEOUT_S)
        reply = await client.poll_runs(TOKEN, acknowledged, None, 0, CALL_TIMEOUT_S)
    finally:
        http.close()
        server.close()
    await settle()
    return len(read) - 1, reply.outcome.value


async def is_sent_after(seconds, is_kept):
    """Returns whether a poll that acknowledges ends is sent late.

    Args:
        seconds: Time until it can be sent, in seconds.
        is_kept: Whether it is sent on a kept connection; else on a new one.
    """
    tracker = SendTracker(ACKNOWLEDGE_WITHIN_S)
    curl = FakeCurl()
    tracker.prepare(curl)
    began_at = tracker.loop.time()
    tracker.loop = SimpleNamespace(time=lambda: began_at)
    if not is_kept:
        curl.connect()
    tracker.loop = SimpleNamespace(time=lambda: began_at + seconds)
    return curl.may_send()


async def acknowledged_after(outcome):
    """Returns what polls acknowledge, and whether the second comes at once.

    Args:
        outcome: ``OrderOutcome`` of the first, which a later call has overtaken.
    """
    worker = RestartedWorker()
    row = worker.session.worker
    await worker.poll()
    row.seen_end = row.stored_end = 57
    acknowledged = []

    async def poll(token, observed, *others):
        acknowledged.append(observed)
        worker.leader.dispatcher._fences.record_write(TOKEN + len(acknowledged))
        return WorkerReply(outcome)

    worker.client.poll_runs = poll
    is_repeated_at_once = await worker.session._poll_once()
    await worker.session._poll_once()
    assert not row.unresponsive_since, "the worker is not taken for silent"
    return acknowledged, is_repeated_at_once


def barrier_after_last_poll():
    """An earlier leader's last poll reaches a worker that restarted meanwhile.

    It was sent at the end of the earlier leader's authority, by the clock of the former
    incarnation, and arrives just before its timeout. The next leader never reaches the
    worker.

    Returns:
        How long after the lapse of what runs there the job's task may start, in
        seconds.
    """
    leader = Takeover()
    began_at = leader.timers.now()
    leader.load([job_item(JOBS[0])], ("worker-0", "worker-1"))
    arrived_after_s = LONG_POLL_WAIT_S + ANSWER_TIMEOUT_S - STEP_S
    arrived_at = began_at + LEASE_TTL_S - LEASE_MARGIN_S + arrived_after_s
    lapses_at = arrived_at + LONGEST_LEASE_S
    while leader.timers.now() < lapses_at + WATCHED_S:
        leader.wait(STEP_S)
        leader.report("worker-1")
        if leader.started():
            return leader.timers.now() - lapses_at
    raise AssertionError("the task never starts")


async def born_after_late_answer():
    """A worker restarts while its time of day is set back; an answer comes late.

    The answer of the former incarnation was given before the restart and arrives after
    the next one's first answer, to a later call.

    Returns:
        Start of the incarnation in the tables, and the one that runs.
    """
    worker = RestartedWorker()
    client, session = worker.client, worker.session
    worker.next_life.born_ms = worker.first_life.born_ms - 1000
    await worker.poll()
    worker.timers.advance(STEP_S)
    poll_runs, arrives = client.poll_runs, asyncio.Event()

    async def poll_slowly(*arguments):
        reply = await poll_runs(*arguments)
        await arrives.wait()
        return reply

    client.poll_runs = poll_slowly
    polling = asyncio.ensure_future(session._poll_once())
    await settle()
    client.poll_runs = poll_runs
    await worker.restart()
    await session.ask()
    assert session.worker.born_ms == worker.next_life.born_ms
    arrives.set()
    await polling
    return session.worker.born_ms, worker.next_life.born_ms


async def discarded_after_start():
    """A start is answered by another clock; the next poll acknowledges ends.

    The question that the leader asks at once is overtaken by that poll.

    Returns:
        Names of tasks whose end ``done`` the next incarnation discarded unseen.
    """
    worker = RestartedWorker()
    client, row = worker.client, worker.session.worker
    await worker.poll()
    row.seen_end = row.stored_end = 57
    poll_runs, discarded, overtaken = client.poll_runs, [], asyncio.Event()
    questions = []

    async def poll(token, observed, deadline_ms, *others):
        if not questions:
            questions.append(observed)
            await overtaken.wait()
        elif observed:
            discarded.extend(started.task for started in worker.next_life.rows)
        return await poll_runs(token, observed, deadline_ms, *others)

    client.poll_runs = poll
    await worker.restart()
    await worker.start(JOBS[0])
    (run,) = row.runs_by_key.values()
    assert run.answered_at and not run.is_lease_known
    assert questions == [0], "the worker is asked at once"
    # Its end is number 1 there by the time that the poll arrives.
    await worker.poll()
    overtaken.set()
    await settle()
    return discarded


async def deadlines_after_start():
    """A start is answered by another clock, and the question after it is slow.

    Returns:
        Deadlines of the question, of the poll that overtakes it, and of the next one.
    """
    worker = RestartedWorker()
    client, deadlines, overtaken = worker.client, [], asyncio.Event()
    await worker.poll()
    poll_runs = client.poll_runs

    async def poll(token, observed, deadline_ms, *others):
        deadlines.append(deadline_ms)
        if len(deadlines) == 1:
            await overtaken.wait()
        return await poll_runs(token, observed, deadline_ms, *others)

    client.poll_runs = poll
    await worker.restart()
    await worker.start(JOBS[0])
    await worker.poll()
    overtaken.set()
    await settle()
    worker.timers.advance(STEP_S)
    await worker.poll()
    return deadlines


async def acknowledged_after_late_answer():
    """A start is answered by another clock, and then an earlier poll by the former.

    Returns:
        Numbers that the next poll acknowledges.
    """
    worker = RestartedWorker()
    client, row, arrives = worker.client, worker.session.worker, asyncio.Event()
    await worker.poll()
    poll_runs, acknowledged = client.poll_runs, []
    worker.timers.advance(STEP_S)

    async def poll_slowly(*arguments):
        reply = await poll_runs(*arguments)
        await arrives.wait()
        return reply

    client.poll_runs = poll_slowly
    polling = asyncio.ensure_future(worker.session._poll_once())
    await settle()
    row.seen_end = row.stored_end = 58

    async def poll(token, observed, *others):
        acknowledged.append(observed)
        return WorkerReply(OrderOutcome.UNKNOWN)

    client.poll_runs = poll
    await worker.restart()
    await worker.start(JOBS[0])
    arrives.set()
    await polling
    await worker.poll()
    return [number for number in acknowledged if number]


async def acknowledged_after_refusal():
    """Returns what the poll after a start that was refused acknowledges."""
    worker = RestartedWorker()
    client, row = worker.client, worker.session.worker
    await worker.poll()
    row.seen_end = row.stored_end = 57
    acknowledged = []

    async def refuse(order, timeout_s):
        return WorkerReply(OrderOutcome.NO_ROOM, worker.first_life.clock_ms())

    async def poll(token, observed, *others):
        acknowledged.append(observed)
        return WorkerReply(OrderOutcome.UNKNOWN)

    client.start, client.poll_runs = refuse, poll
    await worker.start(JOBS[0])
    await worker.poll()
    return acknowledged


async def wait_of_poll_in_doubt():
    """Returns how long the poll that ends a doubt waits at its worker, in seconds."""
    worker = RestartedWorker()
    await worker.poll()
    worker.session.worker.doubted_at = worker.timers.now()
    waits = []

    async def poll(token, observed, deadline_ms, wait_s, timeout_s):
        waits.append(wait_s)
        return WorkerReply(OrderOutcome.UNKNOWN)

    worker.client.poll_runs = poll
    await worker.poll()
    return waits
