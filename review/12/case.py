"""A caller hands in one large job; no job of any caller is completed any more."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig_3 import TROUBLE, World, now, run_case  # noqa: E402

POOL, PREFIX = "jury", "/jury/"
WORKERS = 7
LARGE_JOB = "00000000000000c1"
LARGE_COUNT = int(os.environ.get("COUNT", 10_000 if TROUBLE else 100))
MOST_PER_WORKER = 8
CPU, MEMORY, WORK_MS = 500, 256, 900
# Small jobs of other callers: one each period, for this long, in seconds.
PERIOD_S, TRAFFIC_S = 1.0, 30.0
# Time after the end of the traffic in which each job has to answer (`finish_s`).
FINISH_S = 14.0


async def case():
    """Returns whether the small jobs were completed in time."""
    world = World(HERE / "record.txt")
    held = None
    try:
        world.put(
            "op/config",
            {
                "version": 1,
                "routes": [
                    {
                        "name": "q-jury",
                        "host": "jobs.example",
                        "prefix": PREFIX,
                        "service": POOL,
                        "timeoutMs": 3000,
                        "targetDurationMs": 600,
                        "priority": 1,
                        "maxAttempts": 4,
                        "stretch": 1.6,
                    }
                ],
                "services": [{"name": POOL, "enforcesCapacity": True}],
                "limits": {},
            },
        )
        for number in range(WORKERS):
            world.add_machine(f"m{number}", POOL, ["a", f"r1-{number // 4}"])
        for node in world.nodes:
            node.start()
        if not await world.wait_ready():
            return None
        await asyncio.sleep(3)
        held = await play(world)
        return held
    finally:
        world.close(held)


async def play(world):
    step = {"cpu": CPU, "memMb": MEMORY, "estimateMs": WORK_MS}
    kind = {"cpu": CPU, "mem": MEMORY, "ms": WORK_MS}
    large = step | {"count": LARGE_COUNT, "maxPerServer": MOST_PER_WORKER}
    if not await world.submit(PREFIX, LARGE_JOB, [large], [kind]):
        return None
    small, leaders = [], []
    until = now() + TRAFFIC_S
    while now() < until:
        job = f"{0xD00 + len(small):016x}"
        small.append(job)
        asyncio.ensure_future(
            world.submit(PREFIX, job, [step | {"count": 2}], [kind], tries=10)
        )
        await asyncio.sleep(PERIOD_S)
        leader = world.leader()
        leaders.append(leader.name if leader else None)
    await asyncio.sleep(FINISH_S)
    accepted = [job for job in small if "accepted_at" in world.jobs[job]]
    states = {job: await world.state(job) for job in accepted}
    idle = []
    used, whole = world.used_cpu(POOL)
    for job in accepted:
        ran = any(run.job == job for run in world.runs)
        if states[job] != "completed" and not ran:
            idle.append(job)
    changes = sum(a != b for a, b in zip(leaders, leaders[1:], strict=False))
    world.note(
        "end",
        large=LARGE_COUNT,
        accepted=len(accepted),
        completed=sum(state == "completed" for state in states.values()),
        never_run=len(idle),
        unanswered=sum(state == "" for state in states.values()),
        changes_of_leader=changes,
        used_cpu=used,
        all_cpu=whole,
    )
    if len(accepted) < 10:
        return None
    # Capacity is there: the large job may use 8 x 0.5 cores of each 64.
    return not idle or used * 2 >= whole


run_case(case)
