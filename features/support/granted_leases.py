"""A worker that restarts unnoticed, grants leases by its own clock, and is cut off.

Every case returns when each task may start again, and when its first run has surely
ended, in seconds of the leader's clock.
"""

import asyncio
from dataclasses import dataclass

from features.support.order_cases import settle
from features.support.takeovers import Takeover, job_item, registration
from features.support.work_tables import start_run
from sassafrasgrade.dispatchers import REFUSED_PAUSE_S
from sassafrasgrade.job_records import find_task
from sassafrasgrade.platform.messages import RunningRow, WorkerView
from sassafrasgrade.platform.workers import OrderOutcome, WorkerReply
from sassafrasgrade.systems.task_placement import is_usable
from sassafrasgrade.timers import MS_PER_S
from sassafrasgrade.work_tables import RunState
from sassafrasgrade.worker_sessions import WorkerSession

WORKER = "worker-0"
OTHER_WORKERS = ("worker-1", "worker-2")
ADDRESS = "127.0.0.1:1"
JOBS = ("a" * 16, "b" * 16)
LONGEST_LEASE_S = 6.0
FIRST_BORN_MS = 1_000_000
NEXT_BORN_MS = 2_000_000
# Clocks of the two incarnations when the second one starts, in milliseconds.
FIRST_CLOCK_MS = 300_000.0
NEXT_CLOCK_MS = 1000.0
# Time from the last list of the first incarnation to the start of the next one, and
# from then to the calls that reach it, in seconds.
DARK_S = 0.6
CALL_DELAY_S = 0.2
# Time for which the leader is watched after the cut, and its steps, in seconds.
WATCHED_S = 40.0
STEP_S = 0.05
# Outcomes of a start, by what became of it.
OUTCOMES_BY_NAME = {
    "that was answered": OrderOutcome.DONE,
    "that was never sent": OrderOutcome.NOT_SENT,
    "without an answer": OrderOutcome.UNKNOWN,
}


@dataclass
class Incarnation:
    """What one incarnation of the worker runs, and until when.

    Attributes:
        timers: Timer service of the leader.
        born_ms: Its start.
        clock_ms_at_zero: Its clock at zero of the leader's clock, in milliseconds.
    """

    timers: object
    born_ms: int
    clock_ms_at_zero: float

    def __post_init__(self):
        self.rows = []
        self.deadline_ms = 0.0

    def clock_ms(self):
        """Returns its clock in milliseconds."""
        return self.clock_ms_at_zero + self.timers.now() * MS_PER_S

    def grant(self, deadline_ms):
        """Renews the lease of all that it runs, by at most the longest lease."""
        longest_ms = self.clock_ms() + LONGEST_LEASE_S * MS_PER_S
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def lapses_at(self):
        """Returns when all that it runs lapses, on the leader's clock in seconds."""
        return (self.deadline_ms - self.clock_ms_at_zero) / MS_PER_S

    def start(self, order):
        """Carries out a start."""
        self.grant(order.deadline_ms)
        self.rows.append(RunningRow(order.task, order.run, "", 10, 0))
        return WorkerReply(OrderOutcome.DONE, self.clock_ms())

    def list_runs(self):
        """Returns its answer to a poll."""
        view = WorkerView(
            clock_ms=self.clock_ms(), running=tuple(self.rows), born_ms=self.born_ms
        )
        return WorkerReply(OrderOutcome.DONE, view.clock_ms, view)


class Client:
    """The session's client: calls reach an incarnation, or nobody.

    Attributes:
        present: ``Incarnation`` that calls reach; None while the worker is cut off.
        loses_answers: Whether answers are lost.
        hangs_polls: Whether polls hang on connections to an earlier incarnation.
        held: Event that holds back the arrival of starts; None for none.
    """

    def __init__(self, timers):
        self._timers = timers
        self.present = None
        self.loses_answers = False
        self.hangs_polls = False
        self.held = None

    async def start(self, order, timeout_s):
        """Sends a start."""
        if self.held is not None:
            await self.held.wait()
        if self.present is None:
            return WorkerReply(OrderOutcome.UNKNOWN)
        return self._answer(self.present.start(order))

    async def stop(self, task_name, number, token, timeout_s):
        """Sends a stop, which reaches nobody."""
        return WorkerReply(OrderOutcome.UNKNOWN)

    async def poll_runs(self, token, observed, deadline_ms, wait_s, timeout_s):
        """Sends a poll."""
        if self.present is None or self.hangs_polls:
            return WorkerReply(OrderOutcome.UNKNOWN)
        if deadline_ms is not None:
            self.present.grant(deadline_ms)
        return self._answer(self.present.list_runs())

    def _answer(self, reply):
        return WorkerReply(OrderOutcome.UNKNOWN) if self.loses_answers else reply


class RestartedWorker:
    """A leader and its session with a worker that is about to restart.

    Attributes:
        leader: ``Takeover``.
        session: The real ``WorkerSession``.
        next_life: ``Incarnation`` after the restart.
        late_deadline_ms: Deadline of a poll without an answer that is carried out late;
            None for none.
    """

    def __init__(self):
        self.leader = Takeover(epoch=1)
        # A placement would come after real milliseconds; each case sends its starts.
        self.leader.dispatcher.schedule_placement = lambda: None
        self.leader.load([job_item(job) for job in JOBS])
        # The others answer nothing, and get nothing to run.
        entries = [registration(name) for name in OTHER_WORKERS]
        entries.append(registration(WORKER, ADDRESS, born=FIRST_BORN_MS))
        self.leader.loader._apply_worker_changes(entries)
        self.timers = self.leader.timers
        worker = self.leader.tables.workers_by_id[WORKER]
        self.session = WorkerSession(worker, None, self.leader.dispatcher)
        self.leader.dispatcher._sessions_by_id[WORKER] = self.session
        self.client = self.session._client = Client(self.timers)
        self.first_life = self._create_life(FIRST_BORN_MS, FIRST_CLOCK_MS)
        self.next_life = self._create_life(NEXT_BORN_MS, NEXT_CLOCK_MS)
        self.client.present = self.first_life
        self.late_deadline_ms = None

    def _create_life(self, born_ms, clock_ms):
        now_ms = (self.timers.now() + DARK_S) * MS_PER_S
        return Incarnation(self.timers, born_ms, clock_ms - now_ms)

    async def poll(self):
        """The leader polls the worker."""
        await self.session._poll_once()
        await settle()

    async def restart(self):
        """The worker restarts; the leader does not notice."""
        self.timers.advance(DARK_S + CALL_DELAY_S)
        self.client.present = self.next_life

    async def start(self, job):
        """The leader sends the start of a job's task."""
        await self.session.send_start(self._place(job))
        await settle()

    async def begin_start(self, job):
        """The leader sends a start that arrives once the client is released."""
        self.client.held = asyncio.Event()
        sending = asyncio.ensure_future(self.session.send_start(self._place(job)))
        await settle()
        return sending

    def _place(self, job):
        task = find_task(self.leader.tables, f"{job}.0.0.0")
        now = self.timers.now()
        run = start_run(task, self.session.worker, RunState.STARTING, now)
        run.deadline_ms = 0.0
        return run

    def lose_answers(self):
        """From now on the worker gets calls, and its answers are lost."""
        self.client.loses_answers = True

    async def cut_off(self):
        """Cuts the worker off for good; returns when each task may start again."""
        self.client.present = None
        freed_by_task = {}
        for _ in range(round(WATCHED_S / STEP_S)):
            await self.poll()
            self.leader.wait(STEP_S)
            for job in JOBS:
                task = find_task(self.leader.tables, f"{job}.0.0.0")
                if not task.runs_by_number and task.last_number:
                    freed_by_task.setdefault(job, self.timers.now())
        return freed_by_task


async def after_start():
    """The next incarnation takes a start and answers it."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    await worker.start(JOBS[0])
    return worker


async def after_start_beside_hung_polls():
    """The next incarnation takes a start and answers it, and no poll reaches it."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    worker.client.hangs_polls = True
    await worker.start(JOBS[0])
    return worker


async def after_unanswered_start():
    """The next incarnation takes a start, and its answer is lost."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    worker.lose_answers()
    await worker.start(JOBS[0])
    return worker


async def after_start_and_poll():
    """The next incarnation takes a start, and later a poll without an answer."""
    worker = await after_start()
    worker.timers.advance(CALL_DELAY_S)
    worker.lose_answers()
    await worker.poll()
    return worker


async def after_list_and_start():
    """The next incarnation answers a poll, and then takes an earlier start."""
    worker = RestartedWorker()
    await worker.poll()
    await worker.restart()
    sending = await worker.begin_start(JOBS[0])
    await worker.poll()
    worker.timers.advance(CALL_DELAY_S)
    worker.lose_answers()
    worker.client.held.set()
    await sending
    return worker


async def without_restart():
    """The worker does not restart: it takes a start and answers a poll."""
    worker = RestartedWorker()
    worker.next_life = worker.first_life
    await worker.poll()
    await worker.start(JOBS[0])
    worker.timers.advance(CALL_DELAY_S)
    await worker.poll()
    return worker


async def without_restart_or_list():
    """The worker does not restart: it takes a start and is not polled any more."""
    worker = RestartedWorker()
    worker.next_life = worker.first_life
    await worker.poll()
    await worker.poll()
    worker.timers.advance(CALL_DELAY_S)
    await worker.start(JOBS[0])
    return worker


CASES_BY_NAME = {
    "a start, which it answers": after_start,
    "a start, which it answers, while polls hang": after_start_beside_hung_polls,
    "a start, whose answer is lost": after_unanswered_start,
    "a start, and a poll whose answer is lost": after_start_and_poll,
    "a poll, and then a start that was sent before": after_list_and_start,
    "a start and a poll, without a restart": without_restart,
    "a start after its last poll, without a restart": without_restart_or_list,
}


async def play(case):
    """Returns, for each started job, how long after its lapse its task is freed.

    Args:
        case: Key of ``CASES_BY_NAME``.

    Returns:
        Seconds by job id; negative if the task is freed while its run may be alive.
    """
    worker = await CASES_BY_NAME[case]()
    freed_by_job = await worker.cut_off()
    life = worker.next_life
    started = [row.task.partition(".")[0] for row in life.rows]
    assert started and set(freed_by_job) == set(started), (started, freed_by_job)
    return {job: freed_by_job[job] - life.lapses_at() for job in started}


async def hand_over(case):
    """The same if the leader hands over just before the cut.

    Returns:
        Seconds by job id, from the lapse of the run until the successor counts it
        as lapsed; it never reaches the worker.
    """
    worker = await CASES_BY_NAME[case]()
    handover = worker.leader.loader.export_handover(1, {})
    life, now = worker.next_life, worker.timers.now()
    left_by_task = {run.task: run.lease_left_s for run in handover.runs}
    return {
        row.task: now + left_by_task[row.task] - life.lapses_at() for row in life.rows
    }


async def after_start_to(outcome, is_listed_later):
    """Returns whether a start's task and its worker are free for another start.

    Args:
        outcome: Key of ``OUTCOMES_BY_NAME``.
        is_listed_later: Whether the worker then answers a poll, with an empty list.
    """
    worker = RestartedWorker()
    worker.next_life = worker.first_life
    await worker.poll()
    row = worker.session.worker
    assert is_usable(row, worker.timers.now())

    async def start(order, timeout_s):
        return WorkerReply(OUTCOMES_BY_NAME[outcome], worker.first_life.clock_ms())

    worker.client.start, worker.client.hangs_polls = start, True
    await worker.start(JOBS[0])
    worker.client.hangs_polls = False
    if is_listed_later:
        worker.timers.advance(REFUSED_PAUSE_S)
        await worker.poll()
    task = find_task(worker.leader.tables, f"{JOBS[0]}.0.0.0")
    return not task.runs_by_number, is_usable(row, worker.timers.now())
