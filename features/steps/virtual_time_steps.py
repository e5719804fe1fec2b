"""Steps on simulations of whole nodes in virtual time."""

import asyncio
import os
import subprocess
import sys
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.support.work_tables import (
    NOW,
    add_simple_job,
    create_tables,
    first_task,
    start_run,
)
from sassafrasgrade.dispatchers import Dispatcher
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import WorkerView
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.platform.workers import OrderOutcome, WorkerReply
from sassafrasgrade.systems.run_updates import restart_worker
from sassafrasgrade.work_tables import RunState
from sassafrasgrade.worker_registrations import apply_item
from sassafrasgrade.worker_sessions import MAX_CONCURRENT_ORDERS, WorkerSession

MODULE = "features.support.virtual.commands"
BORN_MS = 1_900_000_000_000
ANSWERED_BEFORE_S = 0.1
ADDRESS = "127.0.0.1:1"
ENTRY = {
    "service": "pool-1",
    "address": ADDRESS,
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16_000, "memMb": 65_536},
    "machine": "host-worker-0",
    "born": BORN_MS,
}
# Id and changed fields of the registration in each event.
CHANGES_BY_EVENT = {
    "its registration has a later birth": ("worker-0", {"born": BORN_MS + 1}),
    "its registration has another address": ("worker-0", {"address": "127.0.0.1:2"}),
    "a later worker of an unnamed pool names its host": (
        "worker-9",
        {"service": "unnamed", "address": "127.0.0.1:2", "born": BORN_MS + 1},
    ),
}


def _play(first, seeds, *options):
    # The order of sets of texts must be the same in each run of a seed.
    environment = os.environ | {"PYTHONHASHSEED": "0"}
    arguments = ["--first", str(first), "--seeds", str(seeds), *options]
    return subprocess.run(
        [sys.executable, "-m", MODULE, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


@when("{seeds:d} seeds from {first:d} are played in virtual time")
def play_seeds(context, seeds, first):
    context.played = _play(first, seeds)


@when('{seeds:d} seeds from {first:d} of the case "{case}" are played in virtual time')
def play_case_seeds(context, seeds, first, case):
    context.played = _play(first, seeds, "--case", case)


@when("{seeds:d} seeds from {first:d} of the wide schedules are played in virtual time")
def play_wide_seeds(context, seeds, first):
    context.played = _play(first, seeds, "--wide")


@then("no task had two runs at a time, nor a start after its noted end")
def check_played(context):
    played = context.played
    assert played.returncode == 0, played.stdout + played.stderr


@given("a worker with a run that was answered 0.1 s ago")
def create_answered_run(context):
    context.tables = create_tables(workers=1)
    worker = context.tables.workers_by_id["worker-0"]
    worker.born_ms = BORN_MS
    context.task = first_task(add_simple_job(context.tables))
    start_run(context.task, worker, now=NOW - ANSWERED_BEFORE_S)
    worker.lease_until = NOW + 4.0
    worker.unresponsive_since = NOW


@when('the tables learn of it: "{event}"')
def apply_event(context, event):
    worker_id, changes = CHANGES_BY_EVENT[event]
    value = msgspec.json.encode(ENTRY | changes)
    apply_item(context.tables, Item(names.WORKERS_PREFIX + worker_id, value, 1), NOW)


@then("the run is still in the tables")
def check_run_is_known(context):
    assert context.task.runs_by_number, "the task may start again"


class RecordingDispatcher:
    """Takes the place of the dispatcher of a session; always has authority."""

    token = 1
    may_start = Dispatcher.may_start

    def __init__(self, tables):
        self.tables = tables
        self.timers = SimpleNamespace(now=lambda: NOW)
        self._leadership = SimpleNamespace(has_start_authority=lambda: True)

    def handle_start_reply(self, run, reply, had_no_effect):
        """Ignores a reply."""

    def drop_unsent_start(self, run, reason):
        """Ignores a start that was not sent."""


@given("a worker with a start that waits for a connection")
def create_waiting_start(context):
    context.tables = create_tables(workers=1)
    context.task = first_task(add_simple_job(context.tables))
    worker = context.tables.workers_by_id["worker-0"]
    context.run = start_run(context.task, worker, RunState.STARTING)


@when("the worker comes back as a later incarnation and is usable again")
def restart_during_wait(context):
    worker = context.tables.workers_by_id["worker-0"]
    context.sent = []

    async def record_start(order, timeout_s):
        context.sent.append(order.task)
        return WorkerReply(OrderOutcome.DONE)

    async def restart():
        session = WorkerSession(worker, None, RecordingDispatcher(context.tables))
        session._client.start = record_start
        for _ in range(MAX_CONCURRENT_ORDERS):
            await session._orders.acquire()
        waiting = asyncio.ensure_future(session.send_start(context.run))
        await asyncio.sleep(0)
        restart_worker(
            context.tables, worker, WorkerView(clock_ms=1.0, born_ms=BORN_MS), NOW
        )
        worker.has_seen_token, worker.clock_offset_ms = True, 0.0
        session._orders.release()
        await waiting

    asyncio.run(restart())


@then("the start is not sent, or its run is still in the tables")
def check_waiting_start(context):
    is_known = context.run.number in context.task.runs_by_number
    assert is_known or not context.sent, "a forgotten run was started"
