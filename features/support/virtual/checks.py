"""The rules that the simulated workers check, from their point of view only."""

from dataclasses import dataclass

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.job_records import PROGRESS, decode_progress, split_key
from sassafrasgrade.work_tables import WorkState

JOBS_PREFIX = "jobs/"
# Time after which a leader surely knows of an end that it stored, in seconds.
KNOWN_AFTER_S = 1.0


@dataclass(frozen=True)
class Violation:
    """A broken rule: its kind, the task, and one line for each of its two runs."""

    rule: str
    task: str
    at: float
    runs: tuple


class Checker:
    """Notes starts, ends and acknowledgements, and the rules that they break.

    Args:
        world: The ``World``.
    """

    def __init__(self, world):
        self._world = world
        self.violations = []
        self.starts = self.ends = self.acknowledged = 0
        self._live_by_task = {}
        self._starts_by_task = {}
        self._acknowledged_by_task = {}
        self._completed_at_by_job = {}
        world.store.on_change.append(self._note_stored)

    def note_start(self, worker, run, arrival):
        """Notes that a worker began a run."""
        now, task = self._world.now, run.task
        self.starts += 1
        line = f"run {run.number} on {worker.label} from {now:.3f}"
        live = self._live_by_task.setdefault(task, {})
        for other in live.values():
            self._report("two runs at the same time", task, (other, line))
        live[(id(worker), run.number)] = line
        self._starts_by_task.setdefault(task, []).append((now, line))
        for _, ended in self._acknowledged_by_task.get(task, ()):
            self._report("start after an acknowledged done", task, (ended, line))
        completed_at = self._completed_at_by_job.get(task.partition(".")[0])
        if completed_at is not None and arrival.sent_at > completed_at + KNOWN_AFTER_S:
            stored = f"completed stored at {completed_at:.3f}"
            self._report("start of a completed job", task, (stored, line))

    def note_end(self, worker, run, how, end=None):
        """Notes that a run is no longer at work."""
        self.ends += 1
        self._live_by_task.get(run.task, {}).pop((id(worker), run.number), None)

    def note_observed(self, worker, end):
        """Notes that an end was acknowledged to its worker."""
        if end.how != "done" or worker.lapses != end.lapses:
            return
        self.acknowledged += 1
        line = (
            f"run {end.run} on {worker.label} done at {end.at:.3f}, "
            f"acknowledged at {self._world.now:.3f}"
        )
        acknowledged = self._acknowledged_by_task.setdefault(end.task, [])
        acknowledged.append((end.at, line))
        for started_at, started in self._starts_by_task.get(end.task, ()):
            if started_at > end.at:
                self._report(
                    "start after a done acknowledged later", end.task, (line, started)
                )

    def _note_stored(self, key, value):
        if not key.startswith(JOBS_PREFIX):
            return
        job_id, part = split_key(key)
        if part != PROGRESS:
            return
        try:
            state = decode_progress(value).state
        except DECODE_ERRORS:
            return
        if state is WorkState.COMPLETED:
            self._completed_at_by_job.setdefault(job_id, self._world.now)

    @property
    def completed(self):
        """Number of jobs stored as completed."""
        return len(self._completed_at_by_job)

    def _report(self, rule, task, runs):
        if self._world.jobs.is_speculative(task):
            return
        self.violations.append(Violation(rule, task, self._world.now, runs))
        self._world.log("check", f"{rule}: {task}: {runs}", task=task)
