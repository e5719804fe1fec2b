"""Jobs of a route that is gone from the configuration when a new leader loads them.

Every case returns whether the leader still treats the job as its queue had it.
"""

import asyncio
import json
from types import SimpleNamespace

import msgspec

from features.support.fake_nodes import FakeNode
from features.support.takeovers import (
    OTHER_POOL,
    Takeover,
    create_configuration,
    run_in_loop,
)
from features.support.work_tables import NOW_UNIX, POOL, QUEUE, rank_jobs
from sassafrasgrade.job_apis import JobApi
from sassafrasgrade.job_records import REQUEST, SubmittedJob, encode, job_key
from sassafrasgrade.node_messages import RouteQuestion, RouteReply
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.nodes import Node
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import (
    Advice,
    Configuration,
    JobRequest,
    Pool,
    Queue,
)
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.queue_routers import QueueRouter
from sassafrasgrade.route_lookups import RouteLookup
from sassafrasgrade.store_batches import CreateOutcome
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.pool_moves import demand_by_pool, spread_by_pool
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.timers import FakeTimerService, TimerService
from sassafrasgrade.work_tables import Urgency, WorkState

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
NEXT_TASK = f"{JOB}.0.1.0"
WORKERS = ("worker-0", "worker-1")
HOST = "jobs.example"
PREFIX = "/tasks/"
TASK_FIELDS = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500}
ONE_TASK = (TASK_FIELDS,)
TWO_STEPS = (TASK_FIELDS, TASK_FIELDS | {"after": [0]})
LASTING_TASK = (TASK_FIELDS | {"perpetual": True, "maxPerServer": 1},)
COPIED_TASK = (TASK_FIELDS | {"speculative": True},)
STORED = "the job's record"
STORED_BY_ASKING = "the record of a node that asked the leader"
SEEN = "a configuration that the node has seen"
UNKNOWN = "nothing"


class EarlierSubmittedJob(msgspec.Struct, frozen=True, array_like=True):
    """``SubmittedJob`` of the version that did not store the queue."""

    queue_name: str
    accepted_at: float
    request: JobRequest


class EarlierRouteReply(msgspec.Struct, frozen=True, array_like=True, tag="RouteReply"):
    """``RouteReply`` of the version that did not name the queue's settings."""

    number: int
    version: int
    queue_name: str
    prefix: str


class SubmittingNode(FakeNode):
    """A node that stores the jobs that callers hand in.

    Attributes:
        records: Values that it has stored.

    Args:
        queue: ``Queue`` of its configuration.
        leader: ``RouteLookup`` of the leader, which it asks for each route; None if its
            own configuration decides.
    """

    def __init__(self, queue, leader=None):
        super().__init__(5, 9.0 if leader else 0.0, "")
        self.router = QueueRouter([queue])
        self.routes = RouteLookup(self)
        self.timers = FakeTimerService()
        self.batcher = SimpleNamespace(create=self._create)
        self.records = []
        self._leader = leader

    async def ask_leader(self, create_question):
        """Returns the leader's reply, as it arrives."""
        reply = self._leader.answer(create_question(1))
        return msgspec.msgpack.decode(encode(reply), type=RouteReply)

    async def _create(self, key, record, deadline_at):
        self.records.append(record)
        return CreateOutcome.CREATED

    def notify_leader(self, message):
        """Does nothing."""


def create_queue(advice=None):
    """Returns the queue before its route is removed."""
    return Queue(
        name=QUEUE,
        host=HOST,
        prefix=PREFIX,
        pool=POOL,
        most_attempts=2,
        objective_ms=600,
        stretch=1.6,
        advice=advice,
    )


def submit(steps, queue, asks_leader=False):
    """Returns the record that a node stores for a job."""
    leader = SubmittingNode(queue).routes if asks_leader else None
    node = SubmittingNode(queue, leader)
    body = json.dumps({"spec": "s", "steps": steps}).encode()
    handled = JobApi(node).handle("POST", HOST, PREFIX + JOB, body, None)
    assert asyncio.run(handled).status == 200
    return node.records[0]


def load(knowledge, steps, advice=None, reporting=WORKERS, configuration=None):
    """Returns a leader that loaded a job whose route has been removed.

    Args:
        knowledge: Where the leader knows the queue from.
        steps: Steps of the job, as on the wire.
        advice: ``Advice`` of the queue.
        reporting: Workers that have reported their runs.
        configuration: ``Configuration`` in force; by default one without queues.
    """
    queue = create_queue(advice)
    record = submit(steps, queue, knowledge == STORED_BY_ASKING)
    if knowledge in (SEEN, UNKNOWN):
        earlier = msgspec.msgpack.decode(record, type=EarlierSubmittedJob)
        record = encode(earlier)
    pools = (Pool(name=POOL), Pool(name=OTHER_POOL))
    removed = configuration or Configuration(version=9, pools=pools)
    known = {QUEUE: queue} if knowledge == SEEN else {}

    def take_over():
        leader = Takeover(configuration=removed, queues_by_name=known)
        leader.dispatcher.schedule_placement = lambda: None
        leader.load([Item(job_key(JOB, REQUEST), record, 1)], WORKERS)
        for worker in reporting:
            leader.report(worker)
        return leader

    return run_in_loop(take_over)


def end_run(leader, how, number=1):
    """Lets the first worker list a run of the task, and then its end."""

    def report():
        leader.report("worker-0", running=[(TASK, number)])
        leader.timers.advance(0.1)
        leader.report("worker-0", ended=[(number, TASK, number, how)])

    run_in_loop(report)
    leader.store_changes()


def waiting_task_starts(knowledge):
    """A task that nothing holds back."""
    return load(knowledge, ONE_TASK).started() == [TASK]


def next_step_starts(knowledge):
    """A step whose earlier one ends under the new leader."""
    leader = load(knowledge, TWO_STEPS)
    end_run(leader, "done")
    return leader.started() == [NEXT_TASK]


def lasting_task_starts_again(knowledge):
    """A lasting task whose run ends."""
    leader = load(knowledge, LASTING_TASK)
    end_run(leader, "failed")
    return leader.started() == [TASK]


def failed_task_starts_again(knowledge):
    """A task that failed once, and may fail twice."""
    leader = load(knowledge, ONE_TASK)
    end_run(leader, "failed")
    job = leader.tables.jobs_by_id[JOB]
    return job.pending_state is None and leader.started() == [TASK]


def job_fails_after_most_attempts(knowledge):
    """A task that failed as often as it may."""
    leader = load(knowledge, ONE_TASK)
    end_run(leader, "failed")
    end_run(leader, "failed", 2)
    return leader.tables.jobs_by_id[JOB].pending_state is WorkState.FAILED


def overdue_run_is_copied(knowledge):
    """A run that takes longer than expected, of a step that allows copies."""
    leader = load(knowledge, COPIED_TASK)
    run_in_loop(lambda: leader.report("worker-0", running=[(TASK, 1)]))
    later = leader.timers.now() + 60
    return bool(copy_overdue_runs(leader.tables, POOL, LearnedDurations(), later))


def pool_gets_hosts(knowledge):
    """Hosts are planned for its waiting tasks."""
    leader = load(knowledge, LASTING_TASK)
    has_demand = demand_by_pool(leader.tables, Urgency.LATE).get(POOL) == (1000, 100)
    return has_demand and spread_by_pool(leader.tables).get(POOL) == 1


def objective_sets_urgency(knowledge):
    """It may take 1.6 times its critical path of 0.5 s and 0.6 s more."""
    leader = load(knowledge, ONE_TASK)
    job = leader.tables.jobs_by_id[JOB]
    job.accepted_at = NOW_UNIX
    ages_by_urgency = {Urgency.IN_TIME: 0.8, Urgency.USEFUL: 1.0, Urgency.LATE: 3.8}
    for urgency, age_s in ages_by_urgency.items():
        ranked = rank_jobs(leader.tables, POOL, LearnedDurations(), NOW_UNIX + age_s)
        if ranked != [job] or job.urgency is not urgency:
            return False
    return True


def starts_only_with_ticket(knowledge):
    """Its queue needs tickets: they are asked for, and nothing starts before."""
    leader = load(knowledge, ONE_TASK, Advice(10, 1, 3000))
    key = TASK.rpartition(".")[0]
    if leader.started() or key not in leader.tables.tickets.wanted:
        return False
    rows, now = [("worker-1", "t-1")], leader.timers.now()
    leader.tables.tickets.record_answer(key, ["worker-1"], rows, 3.0, now)
    return leader.started() == [TASK]


def waits_for_reports(knowledge):
    """A worker of its pool, which may run it, has not reported."""
    leader = load(knowledge, ONE_TASK, reporting=WORKERS[:1])
    if leader.started():
        return False
    run_in_loop(lambda: leader.report("worker-1"))
    return leader.started() == [TASK]


CASES_BY_EFFECT = {
    "a waiting task starts": waiting_task_starts,
    "the next step starts": next_step_starts,
    "a lasting task starts again": lasting_task_starts_again,
    "a task that failed once of twice starts again": failed_task_starts_again,
    "a task that failed twice ends the job": job_fails_after_most_attempts,
    "an overdue run is copied": overdue_run_is_copied,
    "its pool gets hosts": pool_gets_hosts,
    "its objective sets its urgency": objective_sets_urgency,
    "it starts only with a ticket": starts_only_with_ticket,
    "it waits for the reports of its pool": waits_for_reports,
}


def pools_of_present_route():
    """Returns the pools in which a job starts whose queue has moved."""
    leader = load(STORED, ONE_TASK, configuration=create_configuration(9, OTHER_POOL))
    for worker in leader.tables.workers_by_id.values():
        worker.pool = worker.worker_id.replace("worker-0", POOL)
        worker.pool = worker.pool.replace("worker-1", OTHER_POOL)
    return [pool for pool in (POOL, OTHER_POOL) if leader.started(pool)]


def failed_job_of_unknown_queue():
    """Returns a job's states before and after its queue becomes known.

    Its only task has failed as often as the queue allows.
    """
    leader = load(UNKNOWN, ONE_TASK)
    end_run(leader, "failed")
    end_run(leader, "failed", 2)
    job = leader.tables.jobs_by_id[JOB]
    before = job.pending_state
    run_in_loop(lambda: leader.dispatcher.adopt_configuration(create_configuration(10)))
    return before, job.pending_state


async def lead_after_removal():
    """Returns the pools that a leader knows for a queue that its node saw removed."""
    settings = check_node_settings({"NODE_NAME": "n", "NODE_DATA_CENTRE": "z"})
    node = Node(settings.unwrap(), TimerService())
    pool, route = {"name": POOL}, {"name": QUEUE, "service": POOL}
    for version, routes in ((1, [route]), (2, [])):
        value = {"version": version, "routes": routes, "services": [pool]}
        item = Item(names.CONFIGURATION_KEY, msgspec.json.encode(value), version)
        node._apply_configuration(item)
    node._on_leadership_gained(token=3, epoch=2, is_predecessor_gone=True)
    tables = node._dispatcher.tables
    node._on_leadership_lost("the test is over")
    return tables.queues_by_name[QUEUE].pool, tables.pools_by_queue[QUEUE]


def exchange_record(writer):
    """Returns (queue name, request) of a record read by the other version."""
    record = submit(ONE_TASK, create_queue())
    read = SubmittedJob
    if writer == "present":
        read = EarlierSubmittedJob
    else:
        record = encode(msgspec.msgpack.decode(record, type=EarlierSubmittedJob))
    submitted = msgspec.msgpack.decode(record, type=read)
    return submitted.queue_name, submitted.request.steps[0].cpu_millis


def exchange_route(writer):
    """Returns (queue name, prefix) of a route that the other version looked up."""
    leader = SubmittingNode(create_queue()).routes
    reply = encode(leader.answer(RouteQuestion(1, HOST, PREFIX)))
    read = RouteReply
    if writer == "present":
        read = EarlierRouteReply
    else:
        reply = encode(msgspec.msgpack.decode(reply, type=EarlierRouteReply))
    route = msgspec.msgpack.decode(reply, type=read)
    return route.queue_name, route.prefix
