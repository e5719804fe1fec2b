"""Workers go dark one after another, before the task that is sent there begins."""

import asyncio
from pathlib import Path

from rig import FINISH_S, Rig, route, run_case

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# srv_crash of the sites: a share of 0.14 for 4.5 s; one of twelve workers at a time.
DOWN_S = 2.0
OUTAGES = 5
# The next worker goes dark this long before the one before it is back.
OVERLAP_S = 0.15


def create():
    rig = Rig(Path(__file__).parent, [("bookings", 12, True)])
    rig.routes = [route("puxa400", "bookings")]
    return rig


async def scenario(rig):
    await rig.start()
    workers = list(rig.workers.values())
    step = {"cpu": 4600, "memMb": 3600, "estimateMs": 1000, "count": 1}
    if rig.trouble:
        asyncio.ensure_future(outage(rig, workers[0]))
        await asyncio.sleep(0.1)
    await rig.submit("/puxa400/", JOB, [step])
    if rig.trouble:
        await asyncio.sleep(DOWN_S - OVERLAP_S - 0.1)
        for worker in workers[1:OUTAGES]:
            asyncio.ensure_future(outage(rig, worker))
            await asyncio.sleep(DOWN_S - OVERLAP_S)
    await asyncio.sleep(FINISH_S)
    state = await rig.state("/puxa400/", JOB)
    ends = [run.how for run in rig.runs_of(TASK)]
    seen = (
        f"the job is shown as {state}; its task began {len(ends)} times, ended {ends}"
    )
    return state == "failed" and "failed" not in ends, seen


async def outage(rig, worker):
    """A worker crashes and is dark; its machine has another one later."""
    worker.go_dark()
    await asyncio.sleep(DOWN_S)
    worker.server.stop()
    await worker.server.close_all_connections()
    rig.add_worker(
        worker.machine, worker.service, worker.port, worker.labels, worker.guards
    )


run_case(create, scenario)
