"""Steps on storing progress while the store is slow."""

import asyncio

from behave import given, then, when
from returns.result import Success

from features.support.work_tables import add_simple_job, create_tables
from sassafrasgrade.progress_writers import ProgressWriter


class HeldStore:
    """Holds every commit until the test releases it.

    Attributes:
        held: Futures of the commits under way.
        keys: Keys of all commits, a list each.
    """

    def __init__(self):
        self.held = []
        self.keys = []

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Waits until it is released, and succeeds."""
        released = asyncio.get_running_loop().create_future()
        self.held.append(released)
        self.keys.append([put.key for put in puts])
        await released
        return Success(7)

    def release(self, index=0):
        """Lets a held commit succeed."""
        self.held.pop(index).set_result(None)


async def run_callbacks():
    """Lets scheduled callbacks and resolved futures run."""
    for _ in range(10):
        await asyncio.sleep(0)


@given("{jobs:d} jobs have changed")
def change_jobs(context, jobs):
    context.tables = create_tables(workers=1)
    context.worker = context.tables.workers_by_id["worker-0"]
    context.worker.seen_end = 1
    context.stored = []
    for number in range(jobs):
        job = add_simple_job(context.tables, f"{number:016x}")
        context.tables.mark_dirty(job)


def create_writer(context, store):
    return ProgressWriter(store, context.tables, 5, context.stored.append, lambda: None)


@then("{commits:d} commits are under way at once, of {sizes} jobs")
def check_commits(context, commits, sizes):
    async def start():
        store = HeldStore()
        create_writer(context, store)._start()
        await run_callbacks()
        return store.keys

    keys = asyncio.run(start())
    assert len(keys) == commits, keys
    assert ", ".join(str(len(found)) for found in keys) == sizes, keys
    assert len(set(sum(keys, []))) == sum(map(len, keys)), "a job is written twice"


@when('they are stored, and meanwhile "{change}"')
def store_with_change(context, change):
    tables, worker = context.tables, context.worker

    async def run():
        store = HeldStore()
        create_writer(context, store)._start()
        await run_callbacks()
        if change == "another end comes for a job being written":
            worker.seen_end = 2
            tables.mark_dirty(tables.jobs_by_id[f"{0:016x}"])
        elif change == "another end comes for another job":
            worker.seen_end = 2
            tables.mark_dirty(add_simple_job(tables, "f" * 16))
        context.reports = []
        while store.held:
            store.release()
            await run_callbacks()
            context.reports.append([r["worker-0"][1] for r in context.stored])

    asyncio.run(run())


@then('the ends reported as stored after each commit are "{reports}"')
def check_reports(context, reports):
    found = "; ".join(",".join(map(str, report)) for report in context.reports)
    assert found == reports, found
