"""Steps on nodes whose links to the store have little bandwidth."""

import asyncio
import threading
import time

from behave import given, then, when
from returns.result import Failure

from features.support.calls import call
from features.support.fake_nodes import FakeNode
from features.support.node_fleets import NodeFleet, job_body
from features.support.waiting import wait_until
from sassafrasgrade.route_lookups import RouteLookup
from sassafrasgrade.tools.standins.fleets import ADDRESS, QUEUE_HOST, QUEUE_PREFIX
from sassafrasgrade.tools.standins.proxies import LaneFaults

BYTES_PER_S_PER_MBPS = 1e6 / 8
# Size of a queue in an answer of the store, in bytes.
QUEUE_BYTES = 236
# Prefix of the queue that only one version has.
VERSION_PREFIX = "/version-%d/"


@given(
    "a fleet of {nodes:d} nodes and {hosts:d} hosts, "
    "{thin:d} nodes behind links of {mbps:d} Mbit/s"
)
def start_fleet_with_thin_links(context, nodes, hosts, thin, mbps):
    context.cluster = context.fleet = NodeFleet(nodes, hosts)
    context.fleet.start()
    leader = context.fleet.leader()
    followers = [node for node in context.fleet.harness.nodes if node is not leader]
    faults = LaneFaults(bytes_per_s=mbps * BYTES_PER_S_PER_MBPS)
    for node in followers[:thin]:
        context.fleet.harness.call(node.lane.set_faults, faults)


@when("{versions:d} versions of {kb:d} KB, one each {gap:g} s, drop and add queues")
def write_versions(context, versions, kb, gap):
    context.written_at = []
    context.outdated = []
    filler = [f"/filler/{number:08d}/" for number in range(kb * 1000 // QUEUE_BYTES)]
    for number in range(versions + 1):
        own = VERSION_PREFIX % number
        context.fleet.harness.change_configuration([own, *filler])
        context.written_at.append(time.monotonic())
        if number == 0:
            # The first one is the base that the others follow.
            wait_until(lambda: serves_newest(context), 15.0, "the base is in force")
            context.written_at[0] = time.monotonic()
        next_at = context.written_at[-1] + gap
        while number and time.monotonic() < next_at:
            record_outdated(context)


def count_status(node, number):
    """Returns the status with which a node answers for the queue of one version."""
    url = f"http://{ADDRESS}:{node.clients_port}{VERSION_PREFIX % number}"
    return call(url, "GET", None, {"Host": QUEUE_HOST}).status


def serves_newest(context):
    """Whether all nodes handle requests by the newest version."""
    newest = len(context.written_at) - 1
    return all(
        count_status(node, newest) == 200 for node in context.fleet.harness.nodes
    )


def record_outdated(context):
    """Records nodes that serve a queue that was dropped over 3 seconds ago."""
    newest = len(context.written_at) - 1
    for node in context.fleet.harness.nodes:
        for number in range(newest):
            age_s = time.monotonic() - context.written_at[number + 1]
            if age_s > 3.0 and count_status(node, number) == 200:
                context.outdated.append((node.name, number, round(age_s, 2)))
    threading.Event().wait(0.05)


@then("no node handles a request by a version superseded for over 3 seconds")
def check_outdated(context):
    until = context.written_at[-1] + 15.0
    while not serves_newest(context) and time.monotonic() < until:
        record_outdated(context)
    record_outdated(context)
    assert not context.outdated, context.outdated[:5]


@then("every node handles requests by the newest version within {seconds:d} seconds")
def check_newest(context, seconds):
    wait_until(lambda: serves_newest(context), seconds, "the newest is in force")


@given('a node with version {own:d}, confirmed {age:g} s ago, and "{situation}"')
def make_node(context, own, age, situation):
    context.node = FakeNode(own, age, situation)


@then('a request is routed by "{by}"')
def check_route(context, by):
    lookup = RouteLookup(context.node)
    if context.node.uses_newer_before:
        context.node.age_s, kept_age_s = 9.0, context.node.age_s
        asyncio.run(lookup.find("jobs.example", "/tasks/1"))
        context.node.age_s, context.node.leader_version = kept_age_s, None
    found = asyncio.run(lookup.find("jobs.example", context.node.path))
    source = "nothing" if isinstance(found, Failure) else found.unwrap().source
    is_unconfirmed = context.node.counted[-1] == "unconfirmed"
    assert ("unconfirmed" if is_unconfirmed else source) == by, (by, found)


@when("the watches of all nodes stall")
def stall_watches(context):
    context.fleet.harness.store.stalls_watches = True


@then("every node accepts jobs for {seconds:d} seconds")
def check_accepts(context, seconds):
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        for node in range(len(context.fleet.harness.nodes)):
            number += 1
            path = f"{QUEUE_PREFIX}{number:016x}"
            reply = context.fleet.request("POST", path, job_body(), node)
            assert reply.status == 200, (number, reply.status, reply.body)
        threading.Event().wait(0.2)
