"""Memory of the leader's tables: what waits, is done, or is of a former leadership."""

import asyncio
import gc
import tracemalloc
from types import SimpleNamespace

from features.support.large_jobs import SLOTS, WORKERS, add_step, fill_pool, place
from features.support.memory_stores import MemoryStore
from features.support.sliced_placements import (
    LosingLeadership,
    StartingSession,
    stored_job,
)
from features.support.takeovers import Takeover
from features.support.work_tables import NOW, apply_worker_view, create_tables
from sassafrasgrade.job_sweeps import JobSweeper
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.run_updates import cancel_job, end_job, forget_run
from sassafrasgrade.timers import TimerService
from sassafrasgrade.work_tables import WorkState, WorkTables

# Time after which what a test waits for has happened, in seconds.
LONGEST_WAIT_S = 10.0


async def wait_for(is_so):
    """Lets the loop run until a condition holds, for a limited time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + LONGEST_WAIT_S
    while not is_so() and loop.time() < until:
        await asyncio.sleep(0)


async def lead(timers):
    """Lets a node lead until it has started tasks, and lose the leadership."""
    leadership = LosingLeadership(timers)
    leader = Takeover(leadership=leadership, timers=timers, store=MemoryStore())
    dispatcher = leader.dispatcher
    dispatcher._writer.schedule = lambda ends_job: None
    jobs = [stored_job(f"{n:016x}", 0, cpu_millis=1000) for n in range(SLOTS)]
    leader.load(jobs, ["worker-0"])
    started = []
    session = StartingSession(dispatcher._sessions_by_id["worker-0"], started)
    dispatcher._sessions_by_id["worker-0"] = session
    leader.report("worker-0")
    await wait_for(lambda: len(started) == SLOTS)
    assert len(started) == SLOTS, started
    dispatcher.close()


def lead_and_lose(times):
    """Lets one node lead several times.

    Returns:
        Number of tables that are left of its leaderships.
    """

    async def lead_again():
        timers = TimerService()
        for _ in range(times):
            await lead(timers)
        await wait_for(lambda: _count_tables() <= before)
        return _count_tables() - before

    before = _count_tables()
    return asyncio.run(lead_again())


def _count_tables():
    gc.collect()
    return sum(isinstance(value, WorkTables) for value in gc.get_objects())


def bytes_of_waiting_task(count):
    """Returns the memory of a job whose tasks wait for room, in bytes a task."""
    tables = create_tables()
    fill_pool(tables)
    tracemalloc.start()
    try:
        add_step(tables, count)
        assert not place(tables)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return held / count


def bytes_of_done_task(count):
    """Returns the memory of a job whose tasks are done but for some, a task."""
    tables = create_tables(workers=WORKERS)
    tracemalloc.start()
    try:
        job = add_step(tables, count)
        done = 0
        while done <= count - WORKERS * SLOTS:
            done += _end_all(tables, place(tables), done)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert job.is_open and len(job.occurrences[0].steps[0].done) == done
    return held / done


def _end_all(tables, runs, last_end):
    """Lets workers list the ends of all runs; returns how many."""
    for worker in tables.workers_by_id.values():
        names = [r.task.name for r in runs if r.worker_id == worker.worker_id]
        numbers = [r.number for r in runs if r.worker_id == worker.worker_id]
        ends = range(last_end + 1, last_end + len(names) + 1)
        rows = zip(ends, names, numbers, ["done"] * len(names), strict=True)
        apply_worker_view(tables, worker, NOW, ended=list(rows))
    return len(runs)


def _end_runs(tables, runs):
    for run in runs:
        forget_run(tables, run, EndProof(ProofKind.END_LISTED, NOW), NOW)


def _cancel_and_end(tables, job, runs):
    cancel_job(tables, job)
    _end_runs(tables, runs)


def _fail(tables, job, runs):
    end_job(tables, job, WorkState.FAILED)
    _end_runs(tables, runs)


def _fail_and_store(tables, job, runs):
    _fail(tables, job, runs)
    job.state, job.pending_state, job.is_dirty = job.pending_state, None, False


SWEPT_STATES = {
    "is open": lambda tables, job, runs: None,
    "is cancelled while its runs stop": (
        lambda tables, job, runs: cancel_job(tables, job)
    ),
    "is cancelled and its runs have ended": _cancel_and_end,
    "has failed, which is not stored yet": _fail,
    "has failed": _fail_and_store,
}


def sweep_jobs(tables):
    """Looks for jobs that ended long ago, as the leader does now and then."""
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"}).unwrap()
    services = SimpleNamespace(store=None, settings=settings)
    sweeper = JobSweeper(services, SimpleNamespace(tables=tables))
    assert not sweeper.find_expired(NOW)
