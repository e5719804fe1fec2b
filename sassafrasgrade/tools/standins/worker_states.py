"""State of stand-in workers: runs under leases, ends, faults, and a history."""

import json
from dataclasses import dataclass, field

MS_PER_S = 1000.0
# Published limits: lease of a run, time of a stop, start-up of a lasting task.
HOLD_MOST_S = 6.0
STOP_S = 0.2
START_UP_S = 0.3


@dataclass(slots=True, eq=False)
class StandInRun:
    """A run on a stand-in worker; also a row of its history.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        worker_id: Worker that runs it.
        started_at: Clock of its start.
        ends_at: Clock at which it ends by itself; infinite for lasting tasks.
        how: How it ended; empty while it runs.
        ended_at: Clock of its end.
        noted_at: Clock at which its end was forgotten on request.
        fails: Whether it ends ``failed``.
        is_lasting: Whether it runs until it is stopped.
    """

    task: str
    number: int
    worker_id: str
    started_at: float
    ends_at: float
    cpu_millis: int
    how: str = ""
    ended_at: float = 0.0
    noted_at: float = 0.0
    fails: bool = False
    is_lasting: bool = False
    stops_at: float = 0.0


@dataclass(slots=True)
class WorkerState:
    """One life of a stand-in worker.

    Attributes:
        worker_id: Its identifier.
        cpu_millis: Its capacity.
        born_ms: Unix milliseconds of its start.
        lease_until: Clock at which all runs lapse.
        barred_by_task: Highest number stopped or ended, by task.
        hangs: Whether its runs stand still.
        fails: Whether everything that it starts fails.
    """

    worker_id: str
    pool: str
    cpu_millis: int
    born_ms: int
    history: list
    token: int = 0
    lease_until: float = 0.0
    runs_by_key: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    last_end: int = 0
    barred_by_task: dict = field(default_factory=dict)
    hangs: bool = False
    fails: bool = False

    def tick(self, now):
        """Ends what is due; returns whether anything ended."""
        before = self.last_end
        for run in list(self.runs_by_key.values()):
            if now >= self.lease_until:
                self._end(run, "lapsed", self.lease_until)
            elif run.stops_at and now >= run.stops_at:
                self._end(run, "stopped", now)
            elif now >= run.ends_at and not self.hangs:
                self._end(run, "failed" if run.fails else "done", now)
        return self.last_end > before

    def start(self, body, now):
        """Starts a run; returns (status, body)."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        key = (body["task"], body["run"])
        if key in self.runs_by_key:
            return 200, self._clock(now)
        if body["run"] <= self.barred_by_task.get(body["task"], 0):
            return self._reject("old", now)
        deadline = body["deadlineMs"] / MS_PER_S
        if deadline < now:
            return self._reject("late", now)
        self._extend(deadline, now)
        spec = json.loads(body["spec"])
        used = sum(run.cpu_millis for run in self.runs_by_key.values())
        if used + spec["cpu"] > self.cpu_millis:
            return self._reject("room", now)
        is_lasting = spec.get("lasting", False)
        run = StandInRun(
            body["task"],
            body["run"],
            self.worker_id,
            now,
            float("inf") if is_lasting else now + spec["ms"] / MS_PER_S,
            spec["cpu"],
            fails=self.fails or spec.get("fails", False),
            is_lasting=is_lasting,
        )
        if self.fails:
            run.ends_at = now
        self.runs_by_key[key] = run
        self.history.append(run)
        return 200, self._clock(now)

    def stop(self, body, now):
        """Stops a run, or bars it; returns (status, body)."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        task, number = body["task"], body["run"]
        run = self.runs_by_key.get((task, number))
        if run is not None and not run.stops_at:
            run.stops_at = now + STOP_S
        barred = self.barred_by_task.get(task, 0)
        self.barred_by_task[task] = max(barred, number)
        return 200, self._clock(now)

    def hold(self, body, now):
        """Renews and forgets ends; returns a rejection or None."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"] / MS_PER_S, now)
        for number, run in self.ended:
            if number <= body["observed"]:
                run.noted_at = run.noted_at or now
        self.ended = [row for row in self.ended if row[0] > body["observed"]]
        return None

    def view(self, now):
        """Returns both lists as they go over the wire."""
        running = [
            [run.task, run.number, "", self._percent(run, now), run.cpu_millis]
            for run in self.runs_by_key.values()
        ]
        ended = [
            [number, run.task, run.number, run.how, ""] for number, run in self.ended
        ]
        return self._clock(now) | {
            "running": running,
            "finished": ended,
            "born": self.born_ms,
        }

    def die(self, now):
        """Ends everything without telling: the worker crashed."""
        for run in self.runs_by_key.values():
            run.how, run.ended_at = "lost", now
        self.runs_by_key.clear()

    def _percent(self, run, now):
        if run.is_lasting:
            return 100 if now - run.started_at >= START_UP_S else 0
        span = max(run.ends_at - run.started_at, 0.001)
        return 0 if self.hangs else min(99, int(100 * (now - run.started_at) / span))

    def _extend(self, deadline, now):
        limit = now + HOLD_MOST_S
        self.lease_until = max(self.lease_until, min(deadline, limit))

    def _end(self, run, how, at):
        self.last_end += 1
        run.how, run.ended_at = how, at
        del self.runs_by_key[(run.task, run.number)]
        barred = self.barred_by_task.get(run.task, 0)
        self.barred_by_task[run.task] = max(barred, run.number)
        self.ended.append((self.last_end, run))

    def _clock(self, now):
        return {"timestampMs": int(now * MS_PER_S)}

    def _reject(self, reason, now):
        return 409, self._clock(now) | {"reason": reason}


def find_violations(history, now):
    """Returns texts on tasks that ran twice at once, or again after ``done``.

    Args:
        history: All ``StandInRun`` rows of a day, of all workers.
        now: Present clock in seconds.
    """
    runs_by_task = {}
    for run in history:
        runs_by_task.setdefault(run.task, []).append(run)
    found = []
    for task, runs in runs_by_task.items():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:], strict=False):
            ended_at = earlier.ended_at if earlier.how else now
            if later.started_at < ended_at:
                found.append(f"{task}: run {later.number} beside {earlier.number}")
        for run in runs:
            later = [r for r in runs if r.started_at > run.ended_at]
            if run.how == "done" and run.noted_at and later:
                found.append(f"{task}: run {later[0].number} after done")
    return found
