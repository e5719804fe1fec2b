"""Workers crash, one at a time, soon after they began a task that lasts."""

import asyncio
from pathlib import Path

from common.rig import BOUNDS, FINISH_S, Rig, route, run_case

JOB = "5c0e7a21d94b36f8"
TASKS = 5
CRASHED = f"{JOB}.0.0.0"
CRASHES = 4
MAY_MISS = 1
# The task has run for this long when its worker crashes.
RUNNING_S = 2.0
# The worker of the machine is back this long after.
DOWN_S = 2.0


def create():
    rig = Rig(Path(__file__).parent, [("bookings", 12, True)])
    rig.routes = [route("puxa400", "bookings", targetDurationMs=2500, stretch=2.2)]
    return rig


async def scenario(rig):
    await rig.start()
    step = {"cpu": 5300, "memMb": 9700, "perpetual": True, "count": TASKS}
    step |= {"maxPerServer": 1, "mayMiss": MAY_MISS}
    await rig.submit("/puxa400/", JOB, [step])
    await rig.until(lambda: len(rig.runs) == TASKS, 5, "all tasks run")
    await asyncio.sleep(RUNNING_S)
    crashes = 0
    while rig.trouble and crashes < CRASHES:
        run = await next_run(rig)
        if run is None:
            break
        await asyncio.sleep(RUNNING_S)
        crashes += 1
        await run.worker.crash()
        asyncio.ensure_future(rig.return_after(run.worker, DOWN_S))
        await asyncio.sleep(0.5)
    # From 6 s after its last run, a task that lasts must not be away for 3 s.
    await asyncio.sleep(FINISH_S)
    state = await rig.state("/puxa400/", JOB)
    live = {run.task for run in rig.runs if not run.is_over}
    failed = [run for run in rig.runs if run.how == "failed"]
    stopped = [run for run in rig.runs if run.how == "stopped" and run.worker.is_up]
    seen = (
        f"{crashes} crashes, {len(failed)} ends failed: {len(stopped)} tasks at work "
        f"on sound workers were stopped, {len(live)} of {TASKS} run, "
        f"the job is shown as {state}"
    )
    return most_away(stopped) > MAY_MISS, seen


def most_away(stopped):
    """Returns how many tasks stops kept from work at the same time.

    A task counts as away by a stop for noticeMs after it, whether it runs again or not.
    """
    notice_s = BOUNDS["noticeMs"] / 1000
    return max(
        (
            sum(
                run.ended_at - notice_s < other.ended_at <= run.ended_at
                for other in stopped
            )
            for run in stopped
        ),
        default=0,
    )


async def next_run(rig):
    """Waits for the next run of the task; None if there is none."""
    for _ in range(600):
        for run in rig.runs_of(CRASHED):
            if not run.is_over:
                return run
        await asyncio.sleep(0.02)
    return None


run_case(create, scenario)
