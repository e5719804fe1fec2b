"""A job on a queue with advice needs a label that few workers have."""

import asyncio
from pathlib import Path

from rig import FINISH_S, Rig, route, run_case

JOB, OTHER_JOB = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
LABEL = "b"
# Rule LOST: a job whose turn has come, with room for it, has nothing running for 3 s.
LONGEST_IDLE_S = 3.0


def create():
    rig = Rig(Path(__file__).parent, [("bookings", 12, True)])
    rig.advice = {"decideMs": 5, "eachMs": 1, "validMs": 3000}
    rig.routes = [route("puxa400", "bookings", advice=rig.advice)]
    rig.needs_ticket = True
    # The last four machines are of the other kind; the policy allows all workers.
    rig.kind_of = lambda index: LABEL if index >= 8 else "a"
    return rig


async def scenario(rig):
    await rig.start()
    step = {"cpu": 3500, "memMb": 3600, "estimateMs": 1000, "count": 2}
    await rig.submit("/puxa400/", OTHER_JOB, [step])
    await asyncio.sleep(3.0)
    if rig.trouble:
        step = step | {"requirements": LABEL}
    await rig.submit("/puxa400/", JOB, [step])
    await asyncio.sleep(FINISH_S + LONGEST_IDLE_S)
    states = [await rig.state("/puxa400/", job) for job in (OTHER_JOB, JOB)]
    runs = [run for run in rig.runs if run.task.startswith(JOB)]
    seen = f"{len(runs)} runs of the job; it is shown as {states[1]}"
    return not runs, f"{seen}, the job without the label as {states[0]}"


run_case(create, scenario)
