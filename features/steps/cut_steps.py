"""Steps on network cuts between data centres, entry hosts and the platform."""

import time

from behave import given, then, when

from features.steps.at_most_once_steps import wait_seconds
from features.steps.cluster_steps import start_mixed_load
from features.steps.configuration_steps import fetch_generations
from features.support.clusters import ProcessCluster
from features.support.commits import committed, run_with_platform, with_weight
from features.support.waiting import wait_until
from sassafrasgrade.commits import TablesCommitter

LOAD_REQUESTS_PER_S = 200.0
REQUEST_COUNT = 2400
MAX_ROLLOUT_S = 7.0


@given("a cluster of kapu behind the fault proxy")
def start_proxied(context):
    context.cluster = ProcessCluster("kapu", proxied=True)
    context.cluster.start()


def lane_matcher(cluster, subject, objects):
    """Returns a predicate of names of proxy lanes between subject and objects."""
    names = {h.name for h in cluster.plan.entry_hosts if subject in (h.name, "all")}
    names |= {h.name for h in cluster.plan.entry_hosts if h.data_centre == subject}

    def matches(lane):
        source, _, target = lane.partition(">")
        target = target.partition(":")[0]
        if target == "platform":
            return source in names and objects in ("the platform", "everything")
        if objects == "the platform":
            return False
        return (source in names) != (target in names)

    return matches


@when(
    '"{subject}" is cut from {objects} for {seconds:d} seconds under load, '
    "and a change is committed meanwhile"
)
def cut(context, subject, objects, seconds):
    cut_under_load(context, subject, objects, seconds, {"cut": True}, None)


@when(
    "all entry hosts are cut from {objects} for {seconds:d} seconds under load, "
    "and a change is committed meanwhile"
)
def cut_all(context, objects, seconds):
    cut_under_load(context, "all", objects, seconds, {"cut": True}, None)


@when(
    '"{subject}" is cut one way from everything for {seconds:d} seconds under load, '
    "and a change is committed meanwhile"
)
def cut_one_way(context, subject, seconds):
    cut_under_load(
        context, subject, "everything", seconds, {"hold_forward": True}, subject
    )


def cut_under_load(context, subject, objects, seconds, faults, only_from):
    """Cuts lanes, commits a change, restores the lanes and awaits the load's result.

    With ``only_from``, only the lanes that start at that entry host are cut.
    """
    cluster = context.cluster
    load = start_mixed_load(context, REQUEST_COUNT, 13, LOAD_REQUESTS_PER_S)
    runs = cluster.backend_runs
    wait_until(
        lambda: len(runs()[0]) > REQUEST_COUNT / 10, 30, "a tenth of the load ran"
    )
    matches = lane_matcher(cluster, subject, objects)
    cut_lanes = [
        lane
        for lane in cluster.lane_names()
        if matches(lane) and (only_from is None or lane.startswith(f"{only_from}>"))
    ]
    assert cut_lanes
    for lane in cut_lanes:
        cluster.set_lane(lane, **faults)
    commit_change(cluster)
    wait_seconds(float(seconds))
    for lane in cut_lanes:
        cluster.set_lane(lane)
    context.healed_at = time.monotonic()
    context.result = load.result()


def commit_change(cluster):
    """Commits one change directly to the platform."""

    async def work(platform):
        wanted = with_weight(cluster.plan.configuration, "fees-charge", 9)
        (await TablesCommitter(platform, "scenario").commit(wanted)).unwrap()

    run_with_platform(cluster, work)


@then("within 7 seconds of healing one generation is in force on every entry host")
def check_one_generation(context):
    cluster = context.cluster
    head = committed(cluster).head.generation
    remaining_s = max(0.5, context.healed_at + MAX_ROLLOUT_S - time.monotonic())
    names = {host.name for host in cluster.plan.entry_hosts}

    def is_in_force():
        by_host = fetch_generations(cluster)
        return by_host.keys() == names and set(by_host.values()) == {head}

    wait_until(
        is_in_force,
        remaining_s,
        "the newest generation is in force on every entry host",
    )
