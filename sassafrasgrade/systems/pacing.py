"""Slows fillers down where tasks that serve users come near their target."""

from sassafrasgrade.work_commands import PaceRun
from sassafrasgrade.works import RunState

# Part of the target at which fillers stop, and below which they speed up again.
NEAR_TARGET = 0.75
FAR_TARGET = 0.5
# Steps in which fillers speed up, in percent, and their pause in seconds.
STEP_PERCENT = 25
STEP_PAUSE_S = 1.0
FULL_PERCENT = 100


def pace_fillers(tables, now):
    """Returns ``PaceRun`` commands for workers with serving tasks and fillers."""
    commands = []
    for worker in tables.workers_by_id.values():
        runs = [
            run for run in worker.runs_by_key.values() if run.state is RunState.RUNNING
        ]
        fillers = [run for run in runs if run.task.step.is_filler]
        if not fillers:
            continue
        nearest = max(
            (
                run.figure / run.task.step.target_ms
                for run in runs
                if run.task.step.target_ms > 0
            ),
            default=0.0,
        )
        commands += _pace(worker, fillers, nearest, now)
    return commands


def _pace(worker, fillers, nearest, now):
    if nearest >= NEAR_TARGET:
        worker.paced_at = now
        return [PaceRun(run, 0) for run in fillers if run.pace > 0]
    if nearest > FAR_TARGET or now - worker.paced_at < STEP_PAUSE_S:
        return []
    slowed = [run for run in fillers if run.pace < FULL_PERCENT]
    if slowed:
        worker.paced_at = now
    return [PaceRun(run, min(FULL_PERCENT, run.pace + STEP_PERCENT)) for run in slowed]
