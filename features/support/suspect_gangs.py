"""A pool with a gang whose workers crash."""

from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    add_simple_job,
    create_tables,
    place_tasks,
)
from sassafrasgrade.systems.crash_records import (
    clear_outlived,
    count_unrecorded_starts,
    record_crash,
    settle_crashes,
)
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.run_updates import forget_run, record_answered_start
from sassafrasgrade.work_commands import StartRun
from sassafrasgrade.work_tables import RunState

GANG, OTHERS = "a" * 16, "b" * 16
# Time from a start to the crash of a worker, in seconds.
CRASH_AFTER_S = 0.5


class SuspectGang:
    """A gang, its pool, and the workers that crash under it.

    Attributes:
        tables: ``WorkTables``.
        job: The gang's job.
        runs: Its runs.
        crashed: Ids of the workers that have crashed.

    Args:
        workers: Number of workers.
        members: Number of its members.
        limit: Members that one worker may run.
    """

    def __init__(self, workers, members, limit):
        self.tables = create_tables(workers=workers)
        self.job = add_simple_job(
            self.tables, GANG, count=members, is_gang=True, most_per_worker=limit
        )
        self.runs = []
        self.crashed = []
        self._now = NOW

    def place(self, after_s=0.0):
        """Starts what fits after a time; returns the runs."""
        self._now += after_s
        self._answer()
        clear_outlived(self.tables)
        commands = place_tasks(
            self.tables, POOL, LearnedDurations(), self._now, NOW_UNIX
        )
        runs = [c.run for c in commands if isinstance(c, StartRun)]
        for run in runs:
            run.state = RunState.RUNNING
            run.deadline_ms = (self._now + 1.5) * 1000
            record_answered_start(run, 0, self._now)
        own = [run for run in runs if run.task.job is self.job]
        self.runs = own or self.runs
        return runs

    def crash(self, is_leader_lost=False):
        """Lets a worker with a member crash, come back, and the others end.

        Args:
            is_leader_lost: Whether the next leader has to count the start, too.
        """
        self._now += CRASH_AFTER_S
        used = sorted({run.worker_id for run in self.runs} - set(self.crashed))
        worker_id = used[0] if used else self.runs[0].worker_id
        self.crashed.append(worker_id)
        worker = self.tables.workers_by_id[worker_id]
        self._answer()
        record_crash(self.tables, worker)
        for run in [*worker.runs_by_key.values(), *self.runs]:
            proof = EndProof(ProofKind.END_LISTED, self._now)
            forget_run(self.tables, run, proof, self._now)
        # The worker comes back under its id.
        worker.is_crash_recorded = False
        if is_leader_lost:
            count_unrecorded_starts(self.tables, False, self._now)
        settle_crashes(self.tables)
        for job in self.tables.jobs_by_id.values():
            job.is_dirty = False

    def _answer(self):
        for worker in self.tables.workers_by_id.values():
            worker.last_answer_at = worker.last_answered_call_at = self._now

    def add_others(self, count):
        """Adds a job of other tasks."""
        return add_simple_job(self.tables, OTHERS, count=count)


def crash_twice(gang):
    """Two workers crash, one after the other."""
    gang.crash()
    assert gang.place()
    gang.crash()


CRASHES = {
    "its worker crashes": SuspectGang.crash,
    "one of its workers crashes": SuspectGang.crash,
    "two workers crash in a row": crash_twice,
    "its leader is lost as well": lambda gang: gang.crash(is_leader_lost=True),
}
