"""Nodes and leaders with a bound on accepted work."""

import asyncio
import json

import msgspec
from returns.result import Failure, Success

from features.support.fake_nodes import FakeNode
from features.support.table_memory import sweep_jobs
from features.support.work_tables import NOW, NOW_UNIX, QUEUE, create_tables
from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.job_apis import JobApi
from sassafrasgrade.job_records import (
    REQUEST,
    SubmittedJob,
    add_job,
    job_key,
)
from sassafrasgrade.platform.messages import JobRequest, Queue, Step
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.queue_routers import QueueRouter
from sassafrasgrade.route_lookups import RouteLookup
from sassafrasgrade.store_batches import CreateOutcome
from sassafrasgrade.systems.occurrences import create_due
from sassafrasgrade.systems.run_updates import end_job
from sassafrasgrade.systems.work_bounds import (
    JOB_BYTES,
    STEP_BYTES,
    TASK_BYTES,
    WorkBound,
)
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.work_tables import WorkState

JOB = "a" * 16
HOST = "jobs.example"
# Path prefixes of two queues: the first holds all work.
FULL_PREFIX, FREE_PREFIX = "/full/", "/free/"
STEPS, TASKS = 3, 100


def request_of(size):
    """Returns a request of one task that takes a number of bytes in the tables."""
    text = "s" * (size - JOB_BYTES - STEP_BYTES - TASK_BYTES)
    return JobRequest(spec=text, steps=(Step(count=1),))


def create_bound(limit, queues):
    """Returns a ``WorkBound`` of a number of bytes."""
    bound = WorkBound(1)
    bound.limit, bound.queues = limit, queues
    return bound


def read_held(text):
    """Returns the figures of a row: "a 100, b 200", or "nothing"."""
    if text == "nothing":
        return {}
    pairs = (part.split() for part in text.split(", "))
    return {queue: int(size) for queue, size in pairs}


class BoundNode(FakeNode):
    """A node whose accepted work has reached its bound.

    Attributes:
        stored: Keys that it has created.

    Args:
        what: What a caller submits, in words.
    """

    def __init__(self, what):
        super().__init__(5, 0.0, "")
        queues = [
            Queue(name="full", host=HOST, prefix=FULL_PREFIX),
            Queue(name="free", host=HOST, prefix=FREE_PREFIX),
        ]
        self.router = QueueRouter(queues)
        self.routes = RouteLookup(self)
        self.timers = FakeTimerService()
        self.store = self.batcher = self
        self.stored = []
        self.work_bound.queues = len(queues)
        self.work_bound.update({"full": self.work_bound.limit}, 0.0, NOW)
        self._is_known = "leader knows" in what
        self._is_stored = "is stored" in what
        self._is_silent = "silent" in what

    def notify_leader(self, message):
        """Does nothing."""

    async def ask_state(self, job_id):
        """Returns what the leader says of a job."""
        return "queued" if self._is_known else ""

    async def read_range(self, prefix):
        """Returns the parts of a job that are stored."""
        if self._is_silent:
            return Failure(PlatformUnavailable("store", "silent"))
        items = [Item(job_key(JOB, REQUEST), b"", 1)] if self._is_stored else []
        return Success((items, 1))

    async def pause_before_retry(self):
        """Waits until the caller's deadline."""
        self.timers.advance(10)

    async def create(self, key, record, deadline_at):
        """Stores a job."""
        self.stored.append(key)
        return CreateOutcome.CREATED


def submit(what):
    """Returns the ``BoundNode`` and its ``Reply`` to a submission."""
    node = BoundNode(what)
    prefix = FREE_PREFIX if "holds nothing" in what else FULL_PREFIX
    body = json.dumps({"spec": "s", "steps": [{"count": 1}]}).encode()
    reply = JobApi(node).handle("POST", HOST, prefix + JOB, body, None)
    return node, asyncio.run(reply)


# The leader's figures.


def create_leader(repeats=0):
    """Returns tables with a job of several steps."""
    tables = create_tables()
    add_steps(tables, JOB, repeats)
    return tables


def add_steps(tables, job_id, repeats=0):
    """Adds a job; each occurrence of it has the same size."""
    request = JobRequest(
        spec="s",
        steps=(Step(count=TASKS),) * STEPS,
        repeats=repeats,
        first_ms=NOW_UNIX * 1000,
        interval_ms=1000 if repeats else 0,
    )
    return add_job(tables, job_id, SubmittedJob(QUEUE, NOW_UNIX, request))


def accept_another():
    """A second job of the same size."""
    tables = create_leader()
    add_steps(tables, "b" * 16)
    return tables


def end_and_sweep():
    """The end is stored, and the sweeper comes by."""
    tables = create_leader()
    job = tables.jobs_by_id[JOB]
    end_job(tables, job, WorkState.FAILED)
    job.state, job.pending_state, job.is_dirty = WorkState.FAILED, None, False
    sweep_jobs(tables)
    return tables


def repeat():
    """Three occurrences are due, and more will be."""
    tables = create_leader(repeats=100)
    create_due(tables, NOW_UNIX + 2.5)
    return tables


TABLES_BY_EVENT = {
    "nothing": create_leader,
    "another one is accepted": accept_another,
    "it ends and is swept": end_and_sweep,
    "it is repeated and 3 are due": repeat,
}


def expected_bytes(jobs, occurrences):
    """Returns the figure for a number of such jobs and occurrences."""
    return jobs * (JOB_BYTES + 1) + occurrences * STEPS * (
        STEP_BYTES + TASKS * TASK_BYTES
    )


class EarlierLeaderBeat(msgspec.Struct, frozen=True, array_like=True, tag="LeaderBeat"):
    """``LeaderBeat`` of the version without figures of work."""

    token: int
    configuration_version: int
    waiting_by_queue: dict[str, int]
    wait_s_by_queue: dict[str, float]
