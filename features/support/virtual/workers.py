"""Simulated workers, as the published protocol describes them."""

from dataclasses import dataclass

from sassafrasgrade.platform import names
from sassafrasgrade.timers import MS_PER_S

HOLD_MOST_MS = 6000.0
STOP_MOST_S = 0.4
MAX_LISTED_ENDS = 500
FIRST_CLOCK_MS = 1000.0
CAPACITY = {"cpu": 8000, "memMb": 32_768, "gpu": 0}
HTTP_WRONG_INSTANCE = 421


@dataclass
class SimulatedRun:
    """A run at work on a worker."""

    task: str
    number: int
    began_at: float
    is_stopping: bool = False
    lasts_s: float | None = None

    def percent(self, now):
        """Returns its progress; tasks that last are at work at once."""
        if self.lasts_s is None:
            return 100
        return min(99, int(100 * (now - self.began_at) / self.lasts_s))


@dataclass(frozen=True)
class SimulatedEnd:
    """A run that ended; ``lapses`` counts the worker's lapsed leases by then."""

    number: int
    task: str
    run: int
    how: str
    at: float
    lapses: int


class SimulatedWorker:
    """One incarnation of a worker.

    Args:
        world: The ``World``.
        worker_id: Its id.
        machine: Name of its machine.
        address: Its address.
        pool: Its service.
        clock_rate: Speed of its clock; at most 2% slow.
    """

    def __init__(self, world, worker_id, machine, address, pool, clock_rate):
        self._world = world
        self._random = world.worker_random
        self.worker_id = worker_id
        self.machine = machine
        self.address = address
        self.pool = pool
        self.born_at = world.now
        self.born_ms = int((world.unix_s + world.now) * MS_PER_S)
        self._clock_rate = clock_rate
        self.first_clock_ms = FIRST_CLOCK_MS
        self.is_up = True
        self.unhealthy_until = 0.0
        self.unhealthy_share = 1.0
        self._token = 0
        self._deadline_ms = 0.0
        self.lapses = 0
        self.runs_by_key = {}
        self._ends = []
        self._next_end = 1
        self._observed = 0
        self._ended_number_by_task = {}
        self._polls = []
        world.network.listen(address, machine, self.handle)

    @property
    def label(self):
        """Id and time of birth, for lines of the report."""
        return f"{self.worker_id}@{self.machine}/born {self.born_at:.3f}"

    def clock_ms(self):
        """Returns the worker's own steady clock in milliseconds."""
        lived_ms = (self._world.now - self.born_at) * self._clock_rate * MS_PER_S
        return self.first_clock_ms + lived_ms

    def entry(self):
        """Returns its registration."""
        return {
            "service": self.pool,
            "address": self.address,
            "zone": "z1",
            "state": "ready",
            "capacity": CAPACITY,
            "labels": ["kind", "r1"],
            "born": self.born_ms,
            "machine": self.machine,
        }

    def die(self, is_dark=False):
        """Ends the process with all its runs."""
        if not self.is_up:
            return
        self.is_up = False
        self._world.log("worker", f"{self.label} dies, dark={is_dark}", self.worker_id)
        for run in list(self.runs_by_key.values()):
            self._world.checker.note_end(self, run, "crashed")
        self.runs_by_key.clear()
        self._world.network.end(self.address, is_dark)

    # Calls.

    def handle(self, arrival):
        """Carries out one call."""
        if not self.is_up:
            return
        expected = arrival.headers.get(names.EXPECT_INSTANCE_HEADER)
        if expected != self.worker_id:
            arrival.respond(HTTP_WRONG_INSTANCE, self._reply())
            return
        body = arrival.body
        if (
            self._world.now < self.unhealthy_until
            and self._random.random() < self.unhealthy_share
        ):
            arrival.respond(self._random.choice((503, 429)), self._reply())
            return
        if body.get("fencingToken", 0) < self._token:
            self._refuse(arrival, "fence")
            return
        self._token = max(self._token, body.get("fencingToken", 0))
        if arrival.path == names.RUN_START_PATH:
            self._start(arrival, body)
        elif arrival.path == names.RUN_STOP_PATH:
            self._stop(body["task"], body["run"])
            arrival.respond(200, self._reply())
        elif arrival.path == names.HOLD_PATH:
            self._hold(arrival, body)
        else:
            arrival.respond(200, self._reply())

    def _reply(self):
        return {"timestampMs": int(self.clock_ms()), "born": self.born_ms}

    def _refuse(self, arrival, reason):
        task = arrival.body.get("task", "")
        if task:
            line = f"{arrival.path} of {arrival.caller} refused: {reason}"
            self._world.log("worker", f"{self.label}: {line}", self.worker_id, task)
        arrival.respond(409, self._reply() | {"reason": reason})

    def _start(self, arrival, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms():
            self._refuse(arrival, "late")
            return
        self._extend(body["deadlineMs"])
        if (task, number) in self.runs_by_key:
            arrival.respond(200, self._reply())
            return
        if number <= self._ended_number_by_task.get(task, 0):
            self._refuse(arrival, "old")
            return
        run = SimulatedRun(task, number, self._world.now)
        self.runs_by_key[(task, number)] = run
        late = " (late)" if arrival.is_late else ""
        self._world.log(
            "worker",
            f"{self.label} starts run {number} of {task} for {arrival.caller}, "
            f"token {body['fencingToken']}{late}",
            self.worker_id,
            task,
        )
        self._world.checker.note_start(self, run, arrival)
        how, lasts_s, is_perpetual = self._world.jobs.fate_of(task)
        run.lasts_s = None if is_perpetual else lasts_s
        if lasts_s is not None:
            ends_at = self._world.now + lasts_s
            self._world.at(ends_at, self._end, run, how)
        arrival.respond(200, self._reply())

    def _stop(self, task, number):
        run = self.runs_by_key.get((task, number))
        highest = max(self._ended_number_by_task.get(task, 0), number)
        self._ended_number_by_task[task] = highest
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            at = self._world.now + self._random.uniform(0.005, STOP_MOST_S)
            self._world.at(at, self._end, run, "stopped")

    def _end(self, run, how):
        if self.runs_by_key.get((run.task, run.number)) is not run:
            return
        del self.runs_by_key[(run.task, run.number)]
        end = SimulatedEnd(
            self._next_end, run.task, run.number, how, self._world.now, self.lapses
        )
        self._next_end += 1
        self._ends.append(end)
        highest = max(self._ended_number_by_task.get(run.task, 0), run.number)
        self._ended_number_by_task[run.task] = highest
        self._world.log(
            "worker",
            f"{self.label}: run {run.number} of {run.task} ended {how} as {end.number}",
            self.worker_id,
            run.task,
        )
        self._world.checker.note_end(self, run, how, end)
        for poll in list(self._polls):
            self._answer_poll(poll)

    # Leases.

    def _extend(self, deadline_ms):
        most_ms = self.clock_ms() + HOLD_MOST_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, most_ms))
        self._plan_lapse()

    def _plan_lapse(self):
        left_s = (self._deadline_ms - self.clock_ms()) / MS_PER_S / self._clock_rate
        at = self._world.now + max(0.0, left_s) + 0.0005
        self._world.at(at, self._lapse, self._deadline_ms)

    def _lapse(self, deadline_ms):
        if deadline_ms != self._deadline_ms or not self.is_up:
            return
        self.lapses += 1
        for run in list(self.runs_by_key.values()):
            self._end(run, "lapsed")

    # Holds.

    def _hold(self, arrival, body):
        self._observe(body["observed"], arrival)
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        poll = [arrival]
        self._polls.append(poll)
        wait_s = body.get("waitMs", 0) / MS_PER_S
        if not wait_s or self._ends:
            self._answer_poll(poll)
        else:
            at = self._world.now + wait_s / self._clock_rate
            self._world.at(at, self._answer_poll, poll)

    def _observe(self, observed, arrival):
        for end in self._ends:
            if end.number <= observed:
                late = ", late" if arrival.is_late else ""
                text = (
                    f"end {end.number} observed by {arrival.caller}'s {observed}{late}"
                )
                line = f"{self.label}: {text}"
                self._world.log("worker", line, self.worker_id, end.task)
                self._world.checker.note_observed(self, end)
        self._ends = [end for end in self._ends if end.number > observed]

    def _answer_poll(self, poll):
        if poll not in self._polls or not self.is_up:
            return
        self._polls.remove(poll)
        rows = [(e.number, e.task, e.run, e.how, "") for e in self._ends]
        now = self._world.now
        running = [
            (run.task, run.number, "", run.percent(now), 0)
            for run in self.runs_by_key.values()
        ]
        view = {"running": running, "finished": rows[:MAX_LISTED_ENDS]}
        poll[0].respond(200, self._reply() | view)
