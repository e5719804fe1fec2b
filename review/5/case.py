"""A run of a task that lasts ends as done."""

import asyncio
import time
from pathlib import Path

from rig import Rig, route, run_case

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.1"
# Rule LOST: nothing running for 3 s, from 6 s after the last run of a task that lasts.
LONGEST_AWAY_S = 6.0 + 3.0
WATCHED_S = 20.0


def create():
    rig = Rig(Path(__file__).parent, [("bookings", 6, True)])
    rig.routes = [route("puxa400", "bookings")]
    return rig


async def scenario(rig):
    await rig.start()
    step = {"cpu": 5300, "memMb": 9700, "perpetual": True, "count": 3}
    await rig.submit("/puxa400/", JOB, [step])
    await rig.until(lambda: len(rig.runs) == 3, 5, "all tasks run")
    await asyncio.sleep(5.0)
    (run,) = rig.runs_of(TASK)
    run.worker.end(run, "done" if rig.trouble else "failed")
    ended_at = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    state = await rig.state("/puxa400/", JOB)
    later = [run for run in rig.runs_of(TASK) if run.began_at > ended_at]
    away_s = (later[0].began_at if later else time.monotonic()) - ended_at
    seen = f"after its run ended {run.how}, the task was away for {away_s:.1f} s"
    return away_s > LONGEST_AWAY_S, f"{seen}; the job is shown as {state}"


run_case(create, scenario)
