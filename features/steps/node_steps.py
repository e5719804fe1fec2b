"""Steps on fleets of real nodes with stand-ins for the platform."""

import asyncio
import http.client
import ipaddress
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from features.support.calls import call
from features.support.node_fleets import FAULTS, NodeFleet, job_body
from features.support.scripted_stores import LEADER_REVISION, ScriptedStore
from features.support.slow_link_stores import SlowLinkStore
from features.support.waiting import wait_until
from sassafrasgrade.drains import Drain
from sassafrasgrade.leaderships import Leadership
from sassafrasgrade.member_records import LEADER_KEY, encode_record
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform import names
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.prefix_followers import PrefixFollower
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.tools.soaks import run_seed
from sassafrasgrade.tools.standins.fleets import (
    ADDRESS as LOOPBACK,
    QUEUE_HOST,
    QUEUE_PREFIX,
    own_loopback_address,
)
from sassafrasgrade.tools.standins.worker_states import find_violations

WAIT_TIMEOUT_S = 20.0
# Duration of a task that is still at work when its worker answers again.
LONG_TASK_MS = 7000
# Time after the last version within which every link catches up.
SLOW_LINK_CATCH_UP_S = 15.0
# Time after which other nodes' heartbeats announce a version: two of their periods.
ANNOUNCEMENT_DELAY_S = 0.5


@given("a fleet of {nodes:d} nodes and {hosts:d} hosts")
def start_fleet(context, nodes, hosts):
    context.cluster = context.fleet = NodeFleet(nodes, hosts)
    context.fleet.start()


@given("a fleet of {nodes:d} nodes and {hosts:d} hosts without configuration")
def start_without_configuration(context, nodes, hosts):
    context.cluster = context.fleet = NodeFleet(nodes, hosts)
    store = context.fleet.harness.store
    context.fleet.harness.call(store.state.commit, [], [], [names.CONFIGURATION_KEY])
    context.fleet.harness.start()
    wait_until(context.fleet.harness.leader_name, WAIT_TIMEOUT_S, "the node is leader")


@when('{count:d} jobs are submitted and "{fault}" occurs halfway')
def submit_around_fault(context, count, fault):
    context.job_ids = [f"{number:016x}" for number in range(count)]
    half = count // 2
    for job_id in context.job_ids[:half]:
        assert context.fleet.submit(job_id), job_id
    FAULTS[fault](context.fleet)
    for job_id in context.job_ids[half:]:
        assert context.fleet.submit(job_id), job_id


@when("{count:d} jobs are at work and no worker answers for {seconds:d} seconds")
def silence_workers(context, count, seconds):
    fleet, harness = context.fleet, context.fleet.harness
    context.job_ids = [f"{number:016x}" for number in range(count)]
    body = job_body() | {"spec": json.dumps({"ms": LONG_TASK_MS, "cpu": 1000})}
    tasks = count * body["steps"][0]["count"]
    for job_id in context.job_ids:
        assert fleet.submit(job_id, body), job_id
    wait_until(
        lambda: harness.call(len, harness.fleet.history) >= tasks,
        WAIT_TIMEOUT_S,
        "all tasks have begun",
    )
    for worker in harness.fleet.workers_by_host.values():
        worker.is_dark = True
        fleet.call_later(seconds, setattr, worker, "is_dark", False)


@then("the next leader is told of {count:d} runs")
def check_told(context, count):
    def told():
        outputs = [node.output_text() for node in context.fleet.harness.nodes]
        lines = [line for text in outputs for line in text.splitlines()]
        events = [json.loads(line) for line in lines if '"jobs loaded"' in line]
        events.sort(key=lambda event: event["at"])
        return [event["handed_runs"] for event in events[1:]]

    loads = wait_until(told, WAIT_TIMEOUT_S, "a second leader has loaded the jobs")
    assert loads[0] == count, loads


@then("all accepted jobs are completed within {seconds:d} seconds")
def await_completed(context, seconds):
    def are_completed():
        states = {job: context.fleet.state(job) for job in context.job_ids}
        return all(state == "completed" for state in states.values())

    wait_until(are_completed, seconds, "all jobs are completed")


@then("no task ran twice")
def check_no_task_ran_twice(context):
    harness = context.fleet.harness
    history = harness.call(list, harness.fleet.history)
    assert not find_violations(history, time.monotonic()), history
    for node in harness.nodes:
        assert "Traceback" not in node.output_text(), node.name


def send(context, method, job_id="1" * 16, body=None, prefix=QUEUE_PREFIX):
    return context.fleet.request(method, prefix + job_id, body)


def wrong_step(**step):
    return {"spec": "{}", "steps": [{"count": 1, "cpu": 1} | step]}


SEND_BY_CASE = {
    "submits a job": lambda c: send(c, "POST", body=job_body()),
    "submits a job again": lambda c: [send(c, "POST", body=job_body()) for _ in "ab"][
        1
    ],
    "names an unknown queue": lambda c: send(c, "POST", body=job_body(), prefix="/no/"),
    "has an id that is too short": lambda c: send(c, "POST", "12", job_body()),
    "has a body that is not JSON": lambda c: send(c, "POST", body=b"{steps"),
    "has a step without tasks": lambda c: send(c, "POST", body=wrong_step(count=0)),
    "has a step after a later one": lambda c: send(
        c, "POST", body=wrong_step(after=[0])
    ),
    "has a text where a number belongs": lambda c: send(
        c, "POST", body=wrong_step(cpu="many")
    ),
    "has an unknown field": lambda c: send(c, "POST", body=job_body() | {"colour": 1}),
    "asks for a job that does not exist": lambda c: send(c, "GET"),
    "cancels a job that does not exist": lambda c: send(c, "DELETE"),
    "asks how many jobs wait": lambda c: send(c, "GET", ""),
    "has a body over the limit": lambda c: send(c, "POST", body=b"x" * 300_000),
}


@then('a request that "{case}" is answered {status:d}')
def check_status(context, case, status):
    if case == "asks how many jobs wait":
        wait_until(
            lambda: SEND_BY_CASE[case](context).status == status,
            5.0,
            "the count is known",
        )
        return
    reply = SEND_BY_CASE[case](context)
    assert reply.status == status, (case, reply.status, reply.body)


REGISTRATION = '{"service": "pool-work", "state": "%s", "zone": "z1"%s}'
BAD_DATA = {
    "a worker registration of bad bytes": ("servers/i-x", b"\xff\xfe"),
    "a worker registration without an address": (
        "servers/i-x",
        REGISTRATION % ("ready", ""),
    ),
    "a worker registration of unknown state": (
        "servers/i-x",
        REGISTRATION % ("odd", ', "address": "127.0.0.1:1", "capacity": {}'),
    ),
    "a configuration of a wrong type": ("op/config", '{"version": "new"}'),
    "an older configuration": ("op/config", '{"version": 0, "routes": []}'),
    "a wave of a wrong type": ("op/wave/9", '{"wave": "x"}'),
    "a job record of bad bytes": ("jobs/" + "a" * 16 + "/request", b"\x00\xff"),
}


@when('"{data}" is written to the store')
def write_bad_data(context, data):
    import base64

    key, value = BAD_DATA[data]
    value = value if isinstance(value, bytes) else value.encode()
    row = {"key": key, "value": base64.b64encode(value).decode()}
    store = context.fleet.harness.store
    context.fleet.harness.call(store.state.commit, [], [row], [])
    context.fleet.harness.call(store.notify)


@then("a new job is completed")
def check_new_job(context):
    job_id = "b" * 16
    assert context.fleet.submit(job_id)
    wait_until(
        lambda: context.fleet.state(job_id) == "completed", 15.0, "the job is done"
    )
    assert "Traceback" not in context.fleet.harness.nodes[0].output_text()


@then("the node is not ready and answers {status:d}")
def check_not_ready(context, status):
    assert not context.fleet.is_ready()
    assert send(context, "POST", body=job_body()).status == status


@then('a node with "{line}" in its bounds exits with {status:d} and names "{name}"')
def check_bad_settings(context, line, status, name):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as settings:
        settings.write(f"[node]\nname = n\ndata_centre = z\n[bounds]\n{line}\n")
        settings.flush()
        done = subprocess.run(
            [sys.executable, "-m", "sassafrasgrade.nodes", "--settings", settings.name],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
        )
    assert done.returncode == status, done
    assert name in done.stderr, done.stderr


@then("the soak with seed {seed:d} for {seconds:d} seconds breaks no guarantee")
def check_soak(context, seed, seconds):
    folder = tempfile.mkdtemp(prefix=f"sassafrasgrade-soak-{seed}-")
    assert not run_seed(seed, seconds, 3, folder), folder


@given("a follower of a configuration behind a link of {mbps:d} Mbit/s")
def set_link_speed(context, mbps):
    context.link_mbps = mbps


@when("{versions:d} versions of {kb:d} KB are written, one each {gap:f} s")
def write_versions(context, versions, kb, gap):
    written_at = [1.0 + number * gap for number in range(versions)]
    store = SlowLinkStore(context.link_mbps, kb, written_at)
    context.adopted = []

    def apply_items(items):
        newest = max((item.revision for item in items), default=0)
        context.adopted.append((store.now(), newest))

    def is_outdated():
        newest = max((newest for _, newest in context.adopted), default=0)
        announced_until = store.now() - ANNOUNCEMENT_DELAY_S
        return sum(written <= announced_until for written in written_at) > newest

    follower = PrefixFollower(
        store, store, "op/", apply_items, apply_items, is_outdated=is_outdated
    )

    async def follow():
        while store.now() < written_at[-1] + SLOW_LINK_CATCH_UP_S:
            await follower.follow_once()

    asyncio.run(follow())
    context.written_at = written_at


@then("each is in force or superseded within {seconds:f} s of its writing")
def check_adoption_delays(context, seconds):
    delays_s = [
        min(at for at, newest in context.adopted if newest >= version) - written
        for version, written in enumerate(context.written_at, 1)
    ]
    assert max(delays_s) <= seconds, max(delays_s)


@given("a stop that may take {seconds:d} seconds")
def make_drain(context, seconds):
    context.drain = Drain(100.0, 100.0 + seconds)


@then(
    'it is "{phase}" after {s:f} s with {count:d} open requests, '
    "the last one {ago} s ago"
)
def check_phase(context, phase, s, count, ago):
    now = 100.0 + s
    found = context.drain.phase(now, count, now - float(ago))
    assert found.name.lower() == phase, found


@when(
    "a follower with an open connection gets SIGTERM and reports that it is not ready"
)
def stop_with_connection(context):
    leader = context.fleet.leader()
    nodes = context.fleet.harness.nodes
    context.node = next(node for node in nodes if node is not leader)
    context.open = http.client.HTTPConnection(LOOPBACK, context.node.clients_port)
    is_served = lambda: ask_pending_count(context.open)[0] == 200  # noqa: E731
    wait_until(is_served, WAIT_TIMEOUT_S, "the node knows the count")
    context.node.send_signal(signal.SIGTERM)
    ready_url = f"http://{LOOPBACK}:{context.node.ready_port}/-/ready"
    wait_until(
        lambda: call(ready_url).status == 503,
        WAIT_TIMEOUT_S,
        "the node reports that it is not ready",
    )


def ask_pending_count(connection):
    """Asks for a queue's count; returns (status, ``Connection`` header)."""
    connection.request("GET", QUEUE_PREFIX, headers={"Host": QUEUE_HOST})
    answer = connection.getresponse()
    answer.read()
    return answer.status, answer.headers.get("Connection")


@then(
    'requests on the open and on a new connection are answered with "Connection: close"'
)
def check_answers(context):
    fresh = http.client.HTTPConnection(LOOPBACK, context.node.clients_port)
    answers = [ask_pending_count(context.open), ask_pending_count(fresh)]
    assert answers == [(200, "close")] * 2, answers


@then("its process ends by itself with code 0")
def check_end(context):
    process = context.node.process
    wait_until(lambda: process.poll() is not None, WAIT_TIMEOUT_S, "the process ends")
    assert process.poll() == 0, process.poll()


async def create_leadership(store, timers, on_gain=lambda token, epoch, gone: None):
    """Returns the ``Leadership`` of a registered node that knows a leader."""
    values = {"NODE_NAME": "node", "NODE_DATA_CENTRE": "z"}
    seen = asyncio.Event()

    def set_seen(leader):
        seen.set()

    leadership = Leadership(
        store,
        timers,
        check_node_settings(values).unwrap(),
        on_gain,
        lambda token, epoch: None,
        lambda reason: None,
        set_seen,
        lambda: 0.0,
    )
    leadership.start()
    await asyncio.wait_for(seen.wait(), WAIT_TIMEOUT_S)
    await asyncio.wait_for(store.registered.wait(), WAIT_TIMEOUT_S)
    assert leadership.lease
    return leadership


async def await_leadership(store, leadership):
    """Waits until the node has written the leader's key and leads."""
    await asyncio.wait_for(store.leader_key_written.wait(), WAIT_TIMEOUT_S)
    while not leadership.is_leader:
        await asyncio.sleep(0)


async def take_leadership(store, on_gain=lambda token, epoch, gone: None):
    """Returns the ``Leadership`` of a node that has succeeded the leader."""
    leadership = await create_leadership(store, FakeTimerService(), on_gain)
    leadership.accept_handover(LEADER_REVISION)
    await await_leadership(store, leadership)
    return leadership


@given("a node whose lease was renewed {ago:f} s ago and {state}")
def set_lease(context, ago, state):
    context.lease_age_s, context.has_lapsed = ago, state == "has lapsed"


@when("the leader hands over leadership to it")
def hand_over_leadership(context):
    async def receive_handover():
        store, timers = ScriptedStore(), FakeTimerService()
        leadership = await create_leadership(store, timers)
        store.calls.clear()
        store.has_lapsed = context.has_lapsed
        timers.advance(context.lease_age_s)
        leadership.accept_handover(LEADER_REVISION)
        await asyncio.wait_for(store.leader_key_written.wait(), WAIT_TIMEOUT_S)
        leadership.close()
        return store.calls

    context.calls = asyncio.run(receive_handover())


@then('it becomes leader after the store calls "{calls}"')
@then('it becomes leader after the store calls ""')
def check_calls(context, calls=""):
    calls_before = context.calls[: context.calls.index("lead")]
    assert ", ".join(calls_before) == calls, context.calls


@when("a node that became leader and then stepped down reads its own key again")
def read_own_key_after_step_down(context):
    context.gained = []

    async def lead_and_step_down():
        store = ScriptedStore()
        leadership = await take_leadership(
            store, lambda token, epoch, gone: context.gained.append(token)
        )
        token = leadership.token
        record = leadership.leader
        leadership.step_down("handed over")
        store.events.put_nowait(Item(LEADER_KEY, encode_record(record), token))
        while leadership.store_answer_age_s() or not store.events.empty():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        leadership.close()
        return leadership.is_leader

    context.is_leader = asyncio.run(lead_and_step_down())


@when("a node that became leader then steps down and no other takes its key")
def step_down_alone(context):
    async def lead_and_step_down():
        store = ScriptedStore()
        leadership = await take_leadership(store)
        store.leader_key_written.clear()
        leadership.step_down("handed over")
        await await_leadership(store, leadership)
        leadership.close()
        return leadership.token

    context.token = asyncio.run(lead_and_step_down())


@then("it leads again under a new token")
def check_leads_again(context):
    assert context.token > LEADER_REVISION + 1, context.token


@then("it is not leader again")
def check_not_leader_again(context):
    assert not context.is_leader and len(context.gained) == 1, context.gained


@then(
    "fleets of a process and of the one {other:d} later have loopback addresses of "
    "their own"
)
def check_own_addresses(context, other):
    first = os.getpid()
    addresses = {own_loopback_address(first), own_loopback_address(first + other)}
    assert len(addresses) == 2, addresses
    assert all(ipaddress.ip_address(text).is_loopback for text in addresses), addresses
