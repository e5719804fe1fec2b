"""Workers that restart under their ids, and tokens that keep late calls from them."""

import asyncio
from types import SimpleNamespace

from returns.result import Failure, Success

from features.support.order_cases import RecordingDispatcher, settle
from features.support.takeovers import TOKEN, Takeover, registration
from features.support.work_tables import (
    NOW,
    add_simple_job,
    create_tables,
    first_task,
    start_run,
)
from sassafrasgrade.errors import PlatformUnavailable, RevisionConflict
from sassafrasgrade.leaderships import LEADER_KEY
from sassafrasgrade.platform.messages import WorkerView
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.platform.workers import OrderOutcome, WorkerReply
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.run_updates import remove_worker
from sassafrasgrade.systems.task_placement import is_usable
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.work_commands import PaceRun
from sassafrasgrade.work_tables import RunState
from sassafrasgrade.worker_fences import WorkerFences
from sassafrasgrade.worker_sessions import WorkerSession

WORKER = "worker-0"
BORN_MS = 1_000_000


class RestartedWorker:
    """A leader whose worker has answered, restarted and answered again.

    Attributes:
        leader: ``Takeover``.
        revision: Revision of the leader's last commit.
    """

    def __init__(self):
        self.leader = Takeover(epoch=1)
        self.leader.load()
        self.born_ms = BORN_MS
        self._register()
        self.leader.report(WORKER, born_ms=BORN_MS)
        self.revision = TOKEN
        self.commit()
        self.leader.wait(0.1)
        self.restart()

    def _register(self):
        """The present incarnation registers."""
        self.leader.loader._apply_worker_changes(
            [registration(WORKER, born=self.born_ms)]
        )

    def restart(self):
        """The worker starts again under its id, registers and answers."""
        self.leader.wait(0.1)
        self.born_ms += 1
        self._register()
        self.leader.report(WORKER, born_ms=self.born_ms)

    def answer(self):
        """The worker answers a call that was sent just before."""
        self.leader.report(WORKER, born_ms=self.born_ms)

    def answer_later(self):
        """The worker answers a call that is sent from now on."""
        self.leader.wait(0.1)
        self.answer()

    def commit(self):
        """A write of this leader is stored."""
        self.revision += 1
        self.leader.dispatcher._fences.record_write(self.revision)

    def renew_key(self):
        """The leader writes its vanished key again."""
        self.revision += 1
        self.leader.dispatcher.renew(self.revision, 2)

    def replace_row(self):
        """The worker's row is removed while it is silent, and added again."""
        tables, now = self.leader.tables, self.leader.timers.now()
        proof = EndProof(ProofKind.WORKER_GONE, now)
        worker = tables.workers_by_id[WORKER]
        remove_worker(tables, worker, proof, now, has_ended=False)
        self.leader.dispatcher._sessions_by_id.clear()
        self.born_ms += 1
        self._register()

    @property
    def is_usable(self):
        """Whether the worker may get new runs."""
        worker = self.leader.tables.workers_by_id[WORKER]
        return is_usable(worker, self.leader.timers.now())


RestartedWorker.STEPS = {
    "its first answer": (),
    "its first answer and a commit": ("commit",),
    "a commit, and an answer to a call that was sent before": ("commit", "answer"),
    "a commit, and an answer to a call that was sent later": (
        "commit",
        "answer_later",
    ),
    "an answer to a later call, while the store is away": ("answer_later",),
    "a new key of its leader, and an answer to a later call": (
        "renew_key",
        "answer_later",
    ),
    "a second restart, and an answer to a call in between": (
        "commit",
        "answer_later",
        "restart",
        "answer",
    ),
    "a second restart, a commit, and an answer to a later call": (
        "commit",
        "answer_later",
        "restart",
        "commit",
        "answer_later",
    ),
    "a new row for its id, and its first answer": (
        "commit",
        "answer_later",
        "replace_row",
        "answer",
    ),
    "a new row for its id, a commit, and an answer to a later call": (
        "commit",
        "answer_later",
        "replace_row",
        "answer",
        "commit",
        "answer_later",
    ),
}


def is_usable_after(event):
    """Returns whether a restarted worker may get new runs after an event."""
    restarted = RestartedWorker()
    for step in RestartedWorker.STEPS[event]:
        getattr(restarted, step)()
    return restarted.is_usable


def steps_down(present, refused):
    """Returns whether a leader steps down when a worker refuses a token.

    Args:
        present: Token of the leader's present calls.
        refused: Token that the worker refuses.
    """
    leader = Takeover(epoch=1)
    reasons = []
    leader.dispatcher._leadership.step_down = reasons.append
    leader.dispatcher._fences.record_write(present)
    leader.dispatcher.handle_fenced(WORKER, refused)
    return bool(reasons)


RESULTS_BY_NAME = {
    "stored": Success(TOKEN + 1),
    "not answered": Failure(PlatformUnavailable("no answer", "Try again.")),
    "refused, another node leads": Failure(
        RevisionConflict("conflict", "Try again.", (Item(LEADER_KEY, b"", TOKEN + 9),))
    ),
}


async def raise_token(first_result):
    """Returns (number of writes, whether the leader steps down, raised workers)."""
    results = [RESULTS_BY_NAME[first_result], RESULTS_BY_NAME["stored"]]
    writes, fenced, raised = [], [], []
    done = asyncio.Event()

    async def commit(conditions, puts):
        assert conditions == [(LEADER_KEY, TOKEN)], conditions
        writes.append(puts)
        return results[len(writes) - 1]

    def note_raised(worker_id):
        raised.append(worker_id)
        done.set()

    fences = WorkerFences(
        SimpleNamespace(commit=commit), TOKEN, note_raised, lambda: fenced.append(1)
    )
    fences.pause_before_retry = lambda: asyncio.sleep(0)
    fences.raise_token(WORKER)
    await done.wait()
    assert raised == [WORKER] and fences.token == TOKEN + 1
    return len(writes), bool(fenced)


async def poll_with_earlier_token():
    """Returns whether a poll counts as answered that a later call has overtaken."""
    tables = create_tables(workers=1)
    dispatcher = RecordingDispatcher(tables)
    dispatcher.handle_fenced = lambda worker_id, token: False

    async def poll(*arguments):
        return WorkerReply(OrderOutcome.FENCED)

    session = WorkerSession(tables.workers_by_id[WORKER], None, dispatcher)
    session._client = SimpleNamespace(poll_runs=poll)
    return await session._poll_once()


async def count_polls_without_store():
    """Returns how many polls a restarted worker answers at once, without a pause.

    The store answers no write, so that the worker's token is not raised.
    """
    restarted = RestartedWorker()
    dispatcher = restarted.leader.dispatcher

    async def commit(conditions, puts):
        await asyncio.Event().wait()

    dispatcher._fences._store = SimpleNamespace(commit=commit)
    polls = []

    async def poll(token, observed, deadline_ms, wait_s, timeout_s):
        if wait_s:
            await asyncio.Event().wait()
        polls.append(token)
        restarted.leader.timers.advance(0.001)
        clock_ms = restarted.leader.timers.now() * 1000
        view = WorkerView(clock_ms=clock_ms, born_ms=restarted.born_ms)
        await asyncio.sleep(0)
        return WorkerReply(OrderOutcome.DONE, clock_ms, view)

    worker = restarted.leader.tables.workers_by_id[WORKER]
    session = WorkerSession(worker, None, dispatcher)
    session._client = SimpleNamespace(poll_runs=poll)
    loop = asyncio.ensure_future(session._poll_loop())
    for _ in range(10):
        await settle()
    session.close()
    loop.cancel()
    return len(polls)


def lease_after(delay_s):
    """Returns (lease that a restarted worker may hold, longest lease), in seconds.

    Args:
        delay_s: Time until its token is raised; it then answers a call with it.
    """
    restarted = RestartedWorker()
    restarted.leader.wait(delay_s)
    restarted.commit()
    restarted.answer_later()
    assert restarted.is_usable
    tables = restarted.leader.tables
    left_s = tables.workers_by_id[WORKER].lease_until - restarted.leader.timers.now()
    return left_s, tables.longest_lease_s * CLOCK_DRIFT


async def acknowledges(kind):
    """Returns whether a call of a kind lets the worker forget stored ends."""
    tables = create_tables(workers=1)
    worker = tables.workers_by_id[WORKER]
    worker.has_seen_token = True
    worker.seen_end = worker.stored_end = 7
    if "did not answer" in kind:
        worker.unresponsive_since = NOW - 0.3
    dispatcher = RecordingDispatcher(tables)
    dispatcher.record_unresponsive = lambda worker, detail: None
    acknowledged = []

    async def poll(token, observed, *arguments):
        acknowledged.append(observed)
        return WorkerReply(OrderOutcome.UNKNOWN)

    session = WorkerSession(worker, None, dispatcher)
    session._client = SimpleNamespace(poll_runs=poll)
    if kind.startswith("a question"):
        await session.ask()
    else:
        await session._poll_once()
    return acknowledged == [7]


async def pace_after(percent, answer):
    """Returns the pace that the leader takes a run to have after a worker's answer."""
    restarted = RestartedWorker()
    dispatcher = restarted.leader.dispatcher
    tables = restarted.leader.tables
    worker = tables.workers_by_id[WORKER]
    run = start_run(first_task(add_simple_job(tables)), worker)

    async def pace(*arguments):
        # A later call, with a later commit's token, is carried out first.
        restarted.commit()
        return WorkerReply(OrderOutcome(answer))

    session = WorkerSession(worker, None, dispatcher)
    session._client = SimpleNamespace(pace=pace)
    dispatcher._sessions_by_id[WORKER] = session
    dispatcher._fences.close()
    dispatcher.carry_out(PaceRun(run, percent))
    await settle()
    return run.pace


def has_ticket_after(event):
    """Returns whether a worker's ticket is still used after an event."""
    restarted = RestartedWorker()
    restarted.commit()
    restarted.answer_later()
    tickets, now = restarted.leader.tables.tickets, restarted.leader.timers.now()
    tickets.record_answer("a.0.0", [WORKER], [(WORKER, "ticket")], 60.0, now)
    if event.startswith("a restart"):
        restarted.restart()
        restarted.commit()
    restarted.answer_later()
    assert restarted.is_usable
    now = restarted.leader.timers.now()
    return tickets.ticket("a.0.0", WORKER, now) is not None


async def tokens_of(kind, overtaken):
    """Returns the tokens that a call carries, and those of the last commits.

    Args:
        kind: What is sent.
        overtaken: How often a later call is carried out first.
    """
    restarted = RestartedWorker()
    restarted.commit()
    restarted.answer_later()
    dispatcher = restarted.leader.dispatcher
    tables = restarted.leader.tables
    worker = tables.workers_by_id[WORKER]
    task = first_task(add_simple_job(tables))
    tokens, expected = [], []

    def answer(token):
        tokens.append(token)
        expected.append(restarted.revision)
        if len(tokens) > overtaken:
            return WorkerReply(OrderOutcome.UNHEALTHY)
        restarted.revision += 1
        dispatcher._writer._on_written(restarted.revision)
        return WorkerReply(OrderOutcome.FENCED)

    async def start(order, timeout_s):
        return answer(order.token)

    async def stop(task_name, number, token, timeout_s):
        return answer(token)

    async def pace(task_name, number, percent, token, timeout_s):
        return answer(token)

    async def poll(token, *arguments):
        return answer(token)

    session = WorkerSession(worker, None, dispatcher)
    session._client = SimpleNamespace(start=start, stop=stop, pace=pace, poll_runs=poll)
    dispatcher.timers.advance(1.0)
    if kind == "start":
        run = start_run(task, worker, RunState.STARTING)
        await session.send_start(run)
    elif kind == "poll":
        await session._poll_once()
    elif kind == "stop":
        await session.send_stop(task.name, 1, start_run(task, worker))
    else:
        await session.send_pace(start_run(task, worker), 0, 100)
    return tokens, expected


def is_remembered_after(seconds):
    """Returns whether the id of a removed row is known after a time."""
    restarted = RestartedWorker()
    tables, now = restarted.leader.tables, restarted.leader.timers.now()
    proof = EndProof(ProofKind.WORKER_GONE, now)
    worker = tables.workers_by_id[WORKER]
    remove_worker(tables, worker, proof, now, has_ended=False)
    restarted.leader.wait(seconds)
    return WORKER in tables.removed_at_by_worker
