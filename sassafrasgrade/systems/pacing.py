"""Throttles fillers on workers whose serving tasks approach their latency target."""

from sassafrasgrade.work_commands import PaceRun
from sassafrasgrade.work_tables import RunState

# Ratios of a serving task's tail latency to its target: fillers stop at the first,
# and speed up again at or below the second.
STOP_RATIO = 0.75
SPEED_UP_RATIO = 0.5
# Fillers speed up by this many percentage points at a time, at this interval.
PACE_STEP_PERCENT = 25
PACE_STEP_INTERVAL_S = 1.0
FULL_PACE_PERCENT = 100


def pace_fillers(tables, now):
    """Returns ``PaceRun`` commands for the fillers of each worker."""
    commands = []
    for worker in tables.workers_by_id.values():
        runs = [
            run for run in worker.runs_by_key.values() if run.state is RunState.RUNNING
        ]
        fillers = [run for run in runs if run.task.step.is_filler]
        if not fillers:
            continue
        worst_ratio = max(
            (
                run.load_metric / run.task.step.target_ms
                for run in runs
                if run.task.step.target_ms > 0
            ),
            default=0.0,
        )
        commands += _pace(worker, fillers, worst_ratio, now)
    return commands


def _pace(worker, fillers, worst_ratio, now):
    if worst_ratio >= STOP_RATIO:
        worker.paced_at = now
        return [PaceRun(run, 0) for run in fillers if run.pace > 0]
    if worst_ratio > SPEED_UP_RATIO or now - worker.paced_at < PACE_STEP_INTERVAL_S:
        return []
    slowed = [run for run in fillers if run.pace < FULL_PACE_PERCENT]
    if slowed:
        worker.paced_at = now
    return [
        PaceRun(run, min(FULL_PACE_PERCENT, run.pace + PACE_STEP_PERCENT))
        for run in slowed
    ]
