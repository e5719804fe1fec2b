"""Steps on odd values of other writers: out of range, over the lengths, misplaced."""

import asyncio
import json
import logging
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from hypothesis import (
    HealthCheck,
    Phase,
    given as given_input,
    seed as seeded,
    settings,
    strategies as st,
)
from returns.result import Failure, Success

from features.support.calls import call
from features.support.node_fleets import NodeFleet, job_body
from features.support.odd_entries import (
    ENTRY,
    OTHER_KEY,
    entry_value,
    odd_item,
    odd_rows,
    odd_rows_over,
)
from features.support.scripted_stores import LEADER_REVISION, ScriptedStore
from features.support.waiting import wait_until
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    add_simple_job,
    create_tables,
    place_tasks,
)
from sassafrasgrade.errors import RevisionConflict
from sassafrasgrade.fleet_hosts import FleetHosts
from sassafrasgrade.host_controllers import HostController, WaveProgress
from sassafrasgrade.job_records import (
    JobProgress,
    SubmittedJob,
    decode_submitted,
    encode,
)
from sassafrasgrade.leaderships import Leadership
from sassafrasgrade.member_records import (
    LEADER_KEY,
    LeaderRecord,
    NodeRecord,
    decode_epoch,
    decode_leader,
    decode_node,
    encode_record,
)
from sassafrasgrade.node_messages import HandedOverRun, HandOver, NodeMessage
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.clouds import CloudClient
from sassafrasgrade.platform.messages import JobRequest, Step, Wave, WorkerView
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.table_loaders import TableLoader
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.tools.standins.fleets import ADDRESS
from sassafrasgrade.work_tables import WorkState
from sassafrasgrade.worker_registrations import apply_item, apply_range

OWN_KEY = "servers/own"
WAIT_TIMEOUT_S = 20.0
# Tasks that last until a leader has checked how many workers it reaches.
LONG_SPEC = json.dumps({"ms": 3000, "cpu": 1000})


class LogRecorder(logging.Handler):
    """Keeps the records of the whole process while it is installed."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keeps a record (called by logging)."""
        self.records.append(record)

    def __enter__(self):
        logging.getLogger().addHandler(self)
        return self

    def __exit__(self, *details):
        logging.getLogger().removeHandler(self)

    def count(self, key):
        """Returns the number of records whose field ``key`` has a value."""
        return sum(getattr(record, "key", None) == key for record in self.records)


def facts_of(worker):
    """Returns what a worker's entry says of it."""
    return (
        worker.worker_id,
        worker.address,
        worker.pool,
        worker.capacity,
        worker.labels,
        worker.born_ms,
        worker.host,
        worker.is_draining,
        worker.leaves_at,
        worker.missing_since,
    )


def apply_value(tables, key, **fields):
    apply_item(tables, Item(key, entry_value(**fields), 1), NOW)


# Entries of workers.


@given("a registered worker")
def register_worker(context):
    context.tables = create_tables(workers=0)
    apply_value(context.tables, OWN_KEY)
    context.worker = context.tables.workers_by_id["own"]
    context.facts = facts_of(context.worker)


@when('an entry with "{fault}" is read under another id')
def read_other(context, fault):
    apply_item(context.tables, odd_item(fault), NOW)


@when('an entry with "{fault}" is read under its own id')
def read_own(context, fault):
    apply_item(context.tables, odd_item(fault, OWN_KEY), NOW)


@then("only the registered worker is known, unchanged")
def check_unchanged(context):
    workers = list(context.tables.workers_by_id.values())
    assert workers == [context.worker], [worker.worker_id for worker in workers]
    assert facts_of(context.worker) == context.facts, facts_of(context.worker)


@then("a later valid entry of its id is applied")
def check_own_healed(context):
    apply_value(context.tables, OWN_KEY, labels=["b", "r2"])
    assert context.tables.workers_by_id["own"] is context.worker
    assert context.worker.labels == ("b", "r2"), context.worker.labels


@then("a later valid entry of the other id is applied")
def check_other_healed(context):
    apply_value(context.tables, OTHER_KEY, address="127.0.0.1:2")
    assert context.tables.workers_by_id["other"].address == "127.0.0.1:2"


@then("both workers are known")
def check_both(context):
    assert set(context.tables.workers_by_id) == {"own", "other"}


@when('entries with "{faults}" are read under another id')
def read_many(context, faults):
    with LogRecorder() as context.log:
        for number, fault in enumerate(faults.split(", ")):
            item = odd_item(fault, revision=number)
            apply_range(context.tables, [item], NOW + number)


@then("{count:d} lines of the log name the other id")
def check_line_count(context, count):
    assert context.log.count(OTHER_KEY) == count, context.log.records


def odd_values():
    """Strategy: values of any type, of which many are out of range."""
    numbers = st.sampled_from(
        [-(10**400), -(10**30), -1, 0, 1, 2**53, 2**64, 10**30, 10**400, 1e308, 0.5]
    )
    texts = st.text(max_size=8) | st.sampled_from(["", "127.0.0.1:99999", "x" * 5000])
    return st.recursive(
        st.none() | st.booleans() | numbers | texts,
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["cpu", "memMb", "gpu"]), inner, max_size=3),
        max_leaves=4,
    )


@then(
    "{count:d} entries with odd values, seed {seed:d}, "
    "change nothing but what they may name"
)
def check_odd_entries(context, count, seed):
    fields = st.dictionaries(
        st.sampled_from(sorted([*ENTRY, "remainingMs"])), odd_values(), min_size=1
    )

    @seeded(seed)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_input(fields, st.sampled_from([OWN_KEY, OTHER_KEY]))
    def check(odd_fields, key):
        tables = create_tables(workers=0)
        apply_value(tables, "servers/good", address="127.0.0.1:3", machine="host-3")
        apply_value(tables, OWN_KEY)
        good = tables.workers_by_id["good"]
        facts = facts_of(good)
        apply_item(tables, Item(key, entry_value(**odd_fields), 2), NOW)
        assert tables.workers_by_id.get("good") is good and facts_of(good) == facts
        for worker in tables.workers_by_id.values():
            check_in_range(worker)
            worker.has_seen_token = True
        job = add_simple_job(tables)
        started = place_tasks(tables, POOL, LearnedDurations(), NOW, NOW_UNIX)
        assert [command.run.task.job for command in started] == [job]

    logging.disable(logging.CRITICAL)
    try:
        check()
    finally:
        logging.disable(logging.NOTSET)


def check_in_range(worker):
    """Checks that a worker's numbers can be sent, compared and added."""
    address, _, port = worker.address.rpartition(":")
    assert address and 1 <= int(port) <= 65_535, worker.address
    capacity = worker.capacity
    numbers = (capacity.cpu_millis, capacity.memory_mb, capacity.gpus, worker.born_ms)
    assert all(0 <= number < 2**63 for number in numbers if number is not None), numbers
    assert worker.leaves_at is None or abs(worker.leaves_at) < 2**53, worker.leaves_at


# Other records.


def is_wave_used(**fields):
    controller = create_host_controller()
    controller.apply_waves({"op/wave/1": msgspec.json.encode({"wave": 1} | fields)})
    return bool(controller.fleet.waves_by_number)


def is_decoded(message_type, value):
    try:
        msgspec.json.decode(value, type=message_type)
    except msgspec.ValidationError:
        return False
    return True


def is_packed_decoded(message_type, value):
    try:
        msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=message_type)
    except msgspec.ValidationError:
        return False
    return True


def is_member_used(decode, record):
    return decode(Item("k", encode_record(record), 1)) is not None


def is_job_used(**step):
    request = JobRequest(spec="s", steps=(Step(**({"count": 1} | step)),))
    try:
        decode_submitted(encode(SubmittedJob(QUEUE, 1.0, request)))
    except ValueError:
        return False
    return True


def is_view_used(**fields):
    return is_decoded(WorkerView, json.dumps({"timestampMs": 5} | fields).encode())


def is_leader_used(address="127.0.0.1:1", epoch=1):
    return is_member_used(decode_leader, LeaderRecord("n", "i", address, epoch))


def is_node_used(address="127.0.0.1:1", cores=1.0, link_mbps=0.0):
    record = NodeRecord("n", "i", address, cores, link_mbps)
    return is_member_used(decode_node, record)


def is_epoch_used(epoch):
    return decode_epoch(Item("k", str(epoch).encode(), 1)) != 0


def is_run_used(number=1, lease_left_s=1.0):
    run = HandedOverRun("t", number, "w", lease_left_s)
    return is_packed_decoded(NodeMessage, HandOver(1, True, (run,)))


IS_USED_BY_RECORD = {
    "a leader at port 99999": lambda: is_leader_used("127.0.0.1:99999"),
    "a leader without an address": lambda: is_leader_used(""),
    "a leader of epoch 2^64 - 1": lambda: is_leader_used(epoch=2**64 - 1),
    "a leader of epoch -1": lambda: is_leader_used(epoch=-1),
    "a node at port 99999": lambda: is_node_used("127.0.0.1:99999"),
    "a node of NaN cores": lambda: is_node_used(cores=float("nan")),
    "a node with an infinite link": lambda: is_node_used(link_mbps=float("inf")),
    "an epoch of 10^400": lambda: is_epoch_used(10**400),
    "an epoch of -1": lambda: is_epoch_used(-1),
    "a wave of number -1": lambda: is_wave_used(wave=-1),
    "a wave of number 10^30": lambda: is_decoded(Wave, b'{"wave": 1%s}' % (b"0" * 30)),
    "a wave that lasts 10^300 s": lambda: is_wave_used(durationS=1e300),
    "a wave with a cap of 10^30": lambda: is_decoded(
        Wave, b'{"wave": 1, "cap": 1%s}' % (b"0" * 30)
    ),
    "a job of 10^12 tasks": lambda: is_job_used(count=10**12),
    "a job with a negative step": lambda: is_job_used(cpu_millis=-5),
    "progress begun at NaN": lambda: is_packed_decoded(
        WaveProgress, WaveProgress(float("nan"), False)
    ),
    "a worker's clock at 10^300": lambda: is_view_used(timestampMs=1e300),
    "a worker's run of 10^30": lambda: is_view_used(running=[["a", 10**30]]),
    "a worker's run of -1": lambda: is_view_used(running=[["a", -1]]),
    "an end numbered 10^30": lambda: is_view_used(
        finished=[[10**30, "a", 1, "done", ""]]
    ),
    "a handed-over lease of NaN": lambda: is_run_used(lease_left_s=float("nan")),
    "a handed-over run of 2^64 - 1": lambda: is_run_used(2**64 - 1),
}


@then('"{record}" of another writer is not used')
def check_not_used(context, record):
    assert not IS_USED_BY_RECORD[record]()


# The watch of the members.


@when("a node reads three changes of the leader, of which the second cannot be applied")
def read_leader_changes(context):
    seen = []

    def see(leader):
        if leader is not None:
            seen.append(leader.name)
            if leader.name == "second":
                raise ValueError("cannot be applied")

    async def read():
        store = ScriptedStore()
        for number, name in enumerate(["first", "second", "third"]):
            record = LeaderRecord(name, name, f"127.0.0.1:{number + 1}", number + 2)
            item = Item(LEADER_KEY, encode_record(record), 6 + number)
            store.events.put_nowait(item)
        leadership = create_leadership(store, see)
        await asyncio.wait_for(store.registered.wait(), WAIT_TIMEOUT_S)
        for _ in range(100):
            await asyncio.sleep(0)
        leadership.close()

    asyncio.run(read())
    context.seen = seen


@then("it has applied the other two")
def check_seen(context):
    assert context.seen[-3:] == ["first", "second", "third"], context.seen


class LeaderKeyStore(ScriptedStore):
    """Holds the leader's key with a value and revision, and compares revisions."""

    def __init__(self, value):
        super().__init__()
        self.value = value
        self.revision = LEADER_REVISION if value is not None else 0
        self.last_revision = LEADER_REVISION

    async def read_range(self, prefix, on_progress=None):
        """Returns the leader's key, if there is one."""
        item = Item(LEADER_KEY, self.value, self.revision)
        items = (item,) if self.value is not None else ()
        return Success((items, self.last_revision))

    async def commit(self, conditions=(), puts=(), deletes=()):
        """Writes the leader's key if its revision is as expected."""
        values_by_key = {put.key: put.value for put in puts}
        if LEADER_KEY not in values_by_key:
            return await super().commit(conditions, puts, deletes)
        if dict(conditions)[LEADER_KEY] != self.revision:
            item = Item(LEADER_KEY, self.value, self.revision)
            return Failure(RevisionConflict("changed", "", (item,)))
        self.write(values_by_key[LEADER_KEY])
        self.leader_key_written.set()
        return Success(self.revision)

    def write(self, value):
        """Writes the key as any writer does; the watch reports it."""
        self.last_revision += 1
        self.value, self.revision = value, self.last_revision
        self.events.put_nowait(Item(LEADER_KEY, value, self.revision))


LEADER_VALUES = {
    "is absent": None,
    "cannot be decoded": b"\xff",
    "names port 99999": encode_record(LeaderRecord("n", "i", "127.0.0.1:99999", 1)),
}


def create_leadership(
    store, on_leader=lambda leader: None, on_loss=lambda reason: None
):
    """Returns the started ``Leadership`` of a node."""
    values = {"NODE_NAME": "node", "NODE_DATA_CENTRE": "z"}
    leadership = Leadership(
        store,
        FakeTimerService(),
        check_node_settings(values).unwrap(),
        lambda *gained: None,
        lambda *renewed: None,
        on_loss,
        on_leader,
        lambda: 0.0,
    )
    leadership.start()
    return leadership


async def await_lead(store, leadership):
    """Waits until the node has written the leader's key and leads."""
    await asyncio.wait_for(store.leader_key_written.wait(), WAIT_TIMEOUT_S)
    store.leader_key_written.clear()
    while not leadership.is_leader:
        await asyncio.sleep(0)


@given('a store whose leader\'s key "{state}"')
def create_store(context, state):
    context.value = LEADER_VALUES[state]


@when("a node campaigns until it has written the leader's key")
def campaign(context):
    async def lead():
        store = LeaderKeyStore(context.value)
        leadership = create_leadership(store)
        await await_lead(store, leadership)
        leadership.close()
        return leadership.token

    context.token = asyncio.run(lead())


@then("it leads")
def check_leads(context):
    assert context.token > LEADER_REVISION, context.token


@when("a node leads and its key is replaced by bytes that cannot be decoded")
def replace_leader_key(context):
    context.losses = []

    async def lead():
        store = LeaderKeyStore(None)
        leadership = create_leadership(store, on_loss=context.losses.append)
        await await_lead(store, leadership)
        first_token = leadership.token
        store.write(b"\xff")
        await await_lead(store, leadership)
        leadership.close()
        return first_token, leadership.token

    context.tokens = asyncio.run(lead())


@then("it leads under a later token without having stopped")
def check_goes_on(context):
    first, second = context.tokens
    assert second > first and not context.losses, (context.tokens, context.losses)


# Hosts and waves.


def create_host_controller():
    """Returns a ``HostController`` without a host service."""
    services = SimpleNamespace(
        timers=FakeTimerService(),
        settings=SimpleNamespace(cloud_address=""),
        store=None,
    )
    return HostController(services, SimpleNamespace(tables=create_tables()))


def host_row(number, **fields):
    row = {"machine": f"host-{number}", "pool": POOL, "state": "up", "id": f"w{number}"}
    return row | {"capacity": {"cpu": 1}} | fields


class PagesCaller:
    """Answers calls with pages of hosts, one after the other."""

    def __init__(self, pages):
        self._pages = list(pages)

    async def fetch(self, *arguments, **options):
        """Returns the next page."""
        body = json.dumps(self._pages.pop(0)).encode()
        return SimpleNamespace(code=200, body=body, error=None)


def apply_pages(context, first_rows, last_rows):
    """Lists the hosts of two pages and applies the list to the fleet."""
    client = CloudClient(None, "127.0.0.1:1", "node", 1.0)
    pages = [{"machines": first_rows, "nextToken": "2"}, {"machines": last_rows}]
    client._caller = PagesCaller(pages)
    found = asyncio.run(client.list_hosts())
    assert isinstance(found, Success), found
    hosts = found.unwrap()
    context.fleet_hosts.apply_list(hosts.rows, NOW, hosts.is_complete)


@given("a list of hosts on two pages")
def list_hosts(context):
    context.fleet_hosts = FleetHosts()
    apply_pages(context, [host_row(1), host_row(2)], [host_row(3)])


@when("a row of the first page turns odd")
def list_odd_host(context):
    odd_row = host_row(2, capacity={"cpu": 10**400})
    first, last = host_row(1, state="moving"), host_row(3, state="moving")
    apply_pages(context, [odd_row, first], [last])


@then("all hosts are known, the odd one as it was")
def check_hosts(context):
    hosts = context.fleet_hosts.hosts_by_name.values()
    found = {host.name: (host.state, host.capacity.cpu_millis) for host in hosts}
    expected = {"host-1": ("moving", 1), "host-2": ("up", 1), "host-3": ("moving", 1)}
    assert found == expected, found


@when("waves are read {times:d} times, of which the first is odd")
def read_waves(context, times):
    context.controller = create_host_controller()
    values = {
        "op/wave/1": b'{"wave": 1, "cap": -5}',
        "op/wave/2": b'{"wave": 2, "cap": 1}',
        "op/wave/3": b'{"wave": 3, "cap": 1}',
    }
    with LogRecorder() as context.log:
        for _ in range(times):
            context.controller.apply_waves(values)


@then("the others are known and the odd one is logged once")
def check_waves(context):
    assert set(context.controller.fleet.waves_by_number) == {2, 3}
    assert context.log.count("op/wave/1") == 1, context.log.records


# Stored jobs.

PROGRESS_BY_FAULT = {
    "a step that is not there": {"0.7": [0]},
    "a task that is not there": {"0.0": [99]},
    "a name without a step": {"0": [0]},
    "a negative index": {"0.0": [-1]},
}


@when('three jobs are loaded, of which the second has progress with "{fault}"')
def load_jobs(context, fault):
    tables = create_tables()
    dispatcher = SimpleNamespace(
        tables=tables,
        token=1,
        learned_durations=LearnedDurations(),
        schedule_placement=lambda: None,
        sync_sessions=lambda: None,
    )
    services = SimpleNamespace(store=None, timers=FakeTimerService(), settings=None)
    context.loader = TableLoader(services, dispatcher, None, None, True)
    request = JobRequest(spec="s", steps=(Step(count=2, cpu_millis=100),))
    record = encode(SubmittedJob(QUEUE, NOW_UNIX, request))
    done = PROGRESS_BY_FAULT[fault]
    progress = encode(JobProgress(WorkState.RUNNING, True, done, {}, []))
    context.job_ids = ["a" * 16, "b" * 16, "c" * 16]
    items = [Item(f"jobs/{job}/request", record, 1) for job in context.job_ids]
    items.append(Item(f"jobs/{context.job_ids[1]}/progress", progress, 2))
    context.loader._apply_all_jobs(items)
    context.loader._apply_all_workers([])
    context.tables = tables


@then("the other two jobs are loaded and the leader goes on")
def check_jobs(context):
    first, _, third = context.job_ids
    assert set(context.tables.jobs_by_id) == {first, third}
    assert context.loader.is_loaded


# Running programs.


def base_entries(fleet):
    """Returns the fields of the workers' entries as they were registered, by key."""
    return {
        key: json.loads(value)
        for key, value in fleet.harness.stored("servers/").items()
        if not key.startswith("servers/odd-")
    }


def write_rows(fleet, rows):
    """Writes rows to the store, a few at a time."""
    store = fleet.harness.store
    for row in rows:
        status, answer = fleet.harness.call(store.state.commit, [], [row], [])
        assert status == 200, answer
    fleet.harness.call(store.notify)


def write_beside(fleet):
    base = next(iter(base_entries(fleet).values()))
    write_rows(fleet, odd_rows(base))


def write_over(fleet):
    write_rows(fleet, odd_rows_over(base_entries(fleet)))


WRITE_BY_PLACE = {
    "nowhere": lambda fleet: None,
    "beside those of the workers": write_beside,
    "over those of the workers": write_over,
}


@given(
    "odd entries written {when} a fleet of {nodes:d} nodes and {hosts:d} hosts starts"
)
def start_fleet_with_odd_entries(context, when, nodes, hosts):
    context.cluster = context.fleet = NodeFleet(nodes, hosts)
    if when == "before":
        write_beside(context.fleet)
    context.fleet.start()
    context.epoch = context.fleet.harness.stored("own/epoch")
    context.processes = [node.process for node in context.fleet.harness.nodes]


@when('{count:d} jobs are submitted and odd entries "{where}" are written halfway')
def submit_around_odd_entries(context, count, where):
    context.job_ids = [f"{number:016x}" for number in range(count)]
    for number, job_id in enumerate(context.job_ids):
        body = job_body() if number else job_body() | {"spec": LONG_SPEC}
        assert context.fleet.submit(job_id, body), job_id
        if number == count // 2:
            WRITE_BY_PLACE[where](context.fleet)


@then("no node has ended, lost the lead or stopped to answer for its metrics")
def check_nodes(context):
    nodes = context.fleet.harness.nodes
    assert [node.process for node in nodes] == context.processes
    for node in nodes:
        assert node.process.poll() is None, (node.name, node.process.poll())
        url = f"http://{ADDRESS}:{node.metrics_port}/metrics"
        reply = wait_until(lambda: call(url), WAIT_TIMEOUT_S, "metrics")  # noqa: B023
        assert reply.status == 200 and b"sassafrasgrade_node_leads" in reply.body
    epoch = context.fleet.harness.stored("own/epoch")
    assert epoch == context.epoch, (context.epoch, epoch)
