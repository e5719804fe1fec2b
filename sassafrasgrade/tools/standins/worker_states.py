"""State of stand-in workers: runs under leases, faults, and a history of runs."""

import json
from dataclasses import dataclass, field

MS_PER_S = 1000.0
# Values that the platform publishes: the longest lease of a run, the time that a
# stop takes, and the start-up time of a lasting task.
MAX_LEASE_S = 6.0
STOP_DURATION_S = 0.2
START_UP_DURATION_S = 0.3


@dataclass(slots=True, eq=False)
class StandInRun:
    """A run on a stand-in worker, also after its end.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        worker_id: Worker that runs it.
        started_at: Clock time of its start.
        ends_at: Clock time at which it ends by itself; infinite for lasting tasks and
            for those that crash their worker.
        how: How it ended: ``done``, ``failed``, ``stopped``, ``lapsed`` or ``lost``;
            empty while it runs.
        ended_at: Clock time of its end.
        acknowledged_at: Clock time at which a caller acknowledged its end; 0 before.
        is_void: Whether the worker's lease expired before its end was acknowledged:
            then the end does not count (published protocol).
        fails: Whether it ends as ``failed``.
        is_perpetual: Whether it runs until it is stopped.
        stops_at: Clock time at which an ordered stop takes effect; 0 for none.
    """

    task: str
    number: int
    worker_id: str
    started_at: float
    ends_at: float
    cpu_millis: int
    how: str = ""
    ended_at: float = 0.0
    acknowledged_at: float = 0.0
    is_void: bool = False
    fails: bool = False
    is_perpetual: bool = False
    stops_at: float = 0.0


@dataclass(slots=True)
class WorkerState:
    """One incarnation of a stand-in worker.

    All times are of the stand-ins' clock, so that runs of different workers compare;
    only what is sent and received is on the worker's own clock.

    Attributes:
        worker_id: Identifier of the incarnation.
        pool: Pool of the worker.
        cpu_millis: CPU capacity in thousandths of a core.
        born_ms: Unix time of its start in milliseconds.
        history: Runs of all workers, to which its runs are added.
        token: Highest fencing token that it received.
        lease_until: Clock time at which the lease of all runs expires.
        ended: (number of the end, run) of each end not yet acknowledged.
        barred_by_task: Highest run number that was stopped or ended, by task;
            starts up to it are rejected.
        hangs: Whether its runs are stalled: they make no progress and don't end.
        fails: Whether the runs that it starts fail.
        clock_offset_s: The worker's own clock minus the stand-ins' clock, in seconds.
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
    last_end_number: int = 0
    barred_by_task: dict = field(default_factory=dict)
    hangs: bool = False
    fails: bool = False
    clock_offset_s: float = 0.0

    def tick(self, now):
        """Ends the runs that are due; returns whether any ended."""
        before = self.last_end_number
        if now >= self.lease_until:
            for _, run in self.ended:
                run.is_void = run.is_void or not run.acknowledged_at
        for run in list(self.runs_by_key.values()):
            if now >= self.lease_until:
                self._end(run, "lapsed", self.lease_until)
            elif run.stops_at and now >= run.stops_at:
                self._end(run, "stopped", now)
            elif now >= run.ends_at and not self.hangs:
                self._end(run, "failed" if run.fails else "done", now)
        return self.last_end_number > before

    def start(self, body, now):
        """Starts a run, unless it runs already; returns (status, body)."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        key = (body["task"], body["run"])
        if key in self.runs_by_key:
            return 200, self._clock(now)
        if body["run"] <= self.barred_by_task.get(body["task"], 0):
            return self._reject("old", now)
        deadline = self._time_of(body["deadlineMs"])
        if deadline < now:
            return self._reject("late", now)
        self._extend_lease(deadline, now)
        spec = json.loads(body["spec"])
        used = sum(run.cpu_millis for run in self.runs_by_key.values())
        if used + spec["cpu"] > self.cpu_millis:
            return self._reject("room", now)
        is_perpetual = spec.get("lasting", False)
        ends_by_itself = not is_perpetual and not spec.get("crashes", False)
        run = StandInRun(
            body["task"],
            body["run"],
            self.worker_id,
            now,
            now + spec["ms"] / MS_PER_S if ends_by_itself else float("inf"),
            spec["cpu"],
            fails=self.fails or spec.get("fails", False),
            is_perpetual=is_perpetual,
        )
        if self.fails:
            run.ends_at = now
        self.runs_by_key[key] = run
        self.history.append(run)
        return 200, self._clock(now)

    def stop(self, body, now):
        """Stops a run and bars its later start; returns (status, body)."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        task, number = body["task"], body["run"]
        run = self.runs_by_key.get((task, number))
        if run is not None and not run.stops_at:
            run.stops_at = now + STOP_DURATION_S
        barred = self.barred_by_task.get(task, 0)
        self.barred_by_task[task] = max(barred, number)
        return 200, self._clock(now)

    def renew(self, body, now):
        """Renews the lease and drops acknowledged ends; returns a rejection or None."""
        if body["fencingToken"] < self.token:
            return self._reject("fence", now)
        self.token = body["fencingToken"]
        if "deadlineMs" in body:
            self._extend_lease(self._time_of(body["deadlineMs"]), now)
        for number, run in self.ended:
            if number <= body["observed"]:
                run.acknowledged_at = run.acknowledged_at or now
        self.ended = [row for row in self.ended if row[0] > body["observed"]]
        return None

    def describe_runs(self, now):
        """Returns the running and the ended runs as they are sent in answers."""
        running = [
            [run.task, run.number, "", self._progress_percent(run, now), run.cpu_millis]
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

    def mark_runs_lost(self, now):
        """Marks all runs as lost without reporting their ends: the worker crashed."""
        for run in self.runs_by_key.values():
            run.how, run.ended_at = "lost", now
        self.runs_by_key.clear()

    def _progress_percent(self, run, now):
        if run.is_perpetual:
            return 100 if now - run.started_at >= START_UP_DURATION_S else 0
        span = max(run.ends_at - run.started_at, 0.001)
        return 0 if self.hangs else min(99, int(100 * (now - run.started_at) / span))

    def _extend_lease(self, deadline, now):
        limit = now + MAX_LEASE_S
        self.lease_until = max(self.lease_until, min(deadline, limit))

    def _end(self, run, how, at):
        self.last_end_number += 1
        run.how, run.ended_at = how, at
        del self.runs_by_key[(run.task, run.number)]
        barred = self.barred_by_task.get(run.task, 0)
        self.barred_by_task[run.task] = max(barred, run.number)
        self.ended.append((self.last_end_number, run))

    def _clock(self, now):
        return {"timestampMs": int((now + self.clock_offset_s) * MS_PER_S)}

    def _time_of(self, clock_ms):
        """Returns the stand-ins' time at a reading of the worker's own clock."""
        return clock_ms / MS_PER_S - self.clock_offset_s

    def _reject(self, reason, now):
        return 409, self._clock(now) | {"reason": reason}


def find_violations(history, now):
    """Describes tasks that ran twice at once, or again after an acknowledged ``done``.

    Args:
        history: All ``StandInRun`` objects of a trial, of all workers.
        now: Current clock time in seconds.
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
                found.append(
                    f"{task}: run {later.number} overlaps run {earlier.number}"
                )
        for run in runs:
            later = [r for r in runs if r.started_at > run.ended_at]
            counts = run.acknowledged_at and not run.is_void
            if run.how == "done" and counts and later:
                found.append(f"{task}: run {later[0].number} started after done")
    return found
