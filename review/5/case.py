"""The leader is restarted while a task of a scheduled job fails again and again."""

import asyncio
import signal
import time
from pathlib import Path

from common.rig import Rig, route, run_case

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
MOST_ATTEMPTS = 4
# Failed runs that are taken note of before the leader is restarted.
FAILURES_BEFORE = 3


def create():
    rig = Rig(Path(__file__).parent, [("bookings", 6, True)])
    rig.routes = [route("puxa400", "bookings", maxAttempts=MOST_ATTEMPTS)]
    rig.behave = lambda run: (1.5, "failed")
    return rig


async def scenario(rig):
    await rig.start()
    step = {"cpu": 3500, "memMb": 3600, "estimateMs": 1500, "count": 1}
    first_ms = int(time.time() * 1000) + 500
    fields = {"repeats": 1, "firstMs": first_ms, "intervalMs": 60_000}
    await rig.submit("/puxa400/", JOB, [step], **fields)
    await rig.until(lambda: noted(rig) >= FAILURES_BEFORE, 30, "failures")
    if rig.trouble:
        leader, revision = rig.leader(), rig.epoch()
        leader.signal(signal.SIGTERM)
        await rig.next_leader(revision)
        await leader.restart_when_ended()
    until = time.monotonic() + 30
    state = ""
    while time.monotonic() < until and state != "failed":
        await asyncio.sleep(1.0)
        state = await rig.state("/puxa400/", JOB)
    await asyncio.sleep(2.0)
    late = starts_after_last_attempt(rig)
    seen = f"{len(rig.runs_of(TASK))} runs, {noted(rig)} failed ends taken note of"
    return bool(late), f"{seen}, {len(late)} starts after {MOST_ATTEMPTS} of them"


def noted(rig):
    """Counts the failed ends of the task that were taken note of."""
    return sum(run.noted_at is not None for run in rig.runs_of(TASK))


def starts_after_last_attempt(rig):
    """Returns the runs that began after ``MOST_ATTEMPTS`` ends ``failed``."""
    failed = [run for run in rig.runs_of(TASK) if run.how == "failed" and run.noted_at]
    ended_at = sorted(run.ended_at for run in failed)
    if len(ended_at) < MOST_ATTEMPTS:
        return []
    last_at = ended_at[MOST_ATTEMPTS - 1]
    return [run for run in rig.runs_of(TASK) if run.began_at > last_at]


run_case(create, scenario)
