"""Steps on commits, their distribution and merges."""

import asyncio
import re

from behave import given, then, when
from returns.result import Failure

from features.support.calls import call
from features.support.commits import (
    commit_stream,
    committed,
    edited_tables,
    run_with_platform,
    with_weight,
)
from features.support.waiting import wait_until
from sassafrasgrade.commits import TablesCommitter, load_configuration
from sassafrasgrade.configurations import (
    COMMITS_PREFIX,
    HEAD_KEY,
    Commit,
    apply_commit,
    compare_configurations,
)
from sassafrasgrade.rollouts import entry_generations, fetch_statuses, own_host_row
from sassafrasgrade.systems.merges import merge_tables
from sassafrasgrade.tables import Configuration, Route, Urgency
from sassafrasgrade.tools.standins.clusters import MANAGER_STREAM_PORT

MAX_ROLLOUT_S = 7.0


def fetch_generations(cluster):
    """Returns the generation in force by entry host."""

    async def ask():
        replies = await fetch_statuses(cluster.plan.entry_hosts, MANAGER_STREAM_PORT)
        return entry_generations(replies)

    return asyncio.run(ask())


def parse_edit(text):
    """Parses ``<route> weight <number>``."""
    route, _, weight = text.split()
    return route, int(weight)


@when('two operators race to apply "{first}" and "{second}"')
def commit_concurrently(context, first, second):
    context.edits = [parse_edit(first), parse_edit(second)]

    async def work(platform):
        loaded = (await load_configuration(platform)).unwrap().configuration
        commits = [
            TablesCommitter(platform, route, base_generation=loaded.generation).commit(
                with_weight(loaded, route, weight)
            )
            for route, weight in context.edits
        ]
        return await asyncio.gather(*commits)

    context.results = run_with_platform(context.cluster, work)


@then('{successes:d} of them succeed and the others get "{message}"')
def check_successes(context, successes, message):
    failures = [r.failure() for r in context.results if isinstance(r, Failure)]
    assert len(context.results) - len(failures) == successes, context.results
    for failure in failures:
        assert message in str(failure) and "--base" in str(failure), failure


@then('{successes:d} of them succeed and the others get ""')
def check_all_succeeded(context, successes):
    check_successes(context, successes, "no failure is expected")


@then("the committed tables contain exactly the edits that succeeded")
def check_committed(context):
    loaded = committed(context.cluster)
    routes = loaded.configuration.routes_by_name
    committed_edits = [
        edit
        for edit, result in zip(context.edits, context.results)
        if not isinstance(result, Failure)
    ]
    for route, weight in committed_edits:
        assert routes[route].weight == weight, routes[route]
    assert loaded.head.generation == 1 + len(committed_edits), loaded.head


@when('an operator applies "{edit}" while the platform {fault}')
def apply_under_fault(context, edit, fault):
    cluster = context.cluster
    context.edit = parse_edit(edit)
    folder = edited_tables(cluster, "fault", *context.edit)
    context.arguments = (
        "apply",
        f"--tables={folder}",
        f"--settings={cluster.operator_settings}",
        "--wait",
    )
    faults = {
        "loses the answer to the head write": {
            "lose_write_answers": 1,
            "lose_answers_for_key": HEAD_KEY,
        },
        "loses the answer to the commit write": {
            "lose_write_answers": 1,
            "lose_answers_for_key": COMMITS_PREFIX,
        },
        "is down": {"is_down": True},
    }
    cluster.set_platform_faults(**faults[fault])
    context.done = cluster.operate(*context.arguments)


@then('the command ends with status {status:d} and says "{message}"')
def check_command(context, status, message):
    done = context.done
    assert done.returncode == status, (done.returncode, done.stdout, done.stderr)
    assert message in done.stdout + done.stderr, (done.stdout, done.stderr)


@then("repeating the command after the fault ends with status {status:d}")
def repeat_command(context, status):
    context.cluster.set_platform_faults()
    done = context.cluster.operate(*context.arguments)
    assert done.returncode == status, (done.stdout, done.stderr)


@then('the weight of "{route}" is {weight:d}, from exactly one commit')
def check_weight(context, route, weight):
    loaded = committed(context.cluster)
    assert loaded.configuration.routes_by_name[route].weight == weight
    matching = [
        commit
        for commit in loaded.commits
        for change in commit.changes
        if change.name == route and change.row.weight == weight
    ]
    assert len(matching) == 1, matching


@then("every entry host has the newest generation in force")
def check_in_force(context):
    head = committed(context.cluster).head.generation
    found = fetch_generations(context.cluster)
    assert len(found) == len(context.cluster.plan.entry_hosts), found
    assert set(found.values()) == {head}, (found, head)


@when(
    "{count:d} changes are committed at {rate:d} a second, "
    'and the platform reader of "{centre}" is killed meanwhile'
)
def commit_stream_of_changes(context, count, rate, centre):
    cluster = context.cluster
    reader = find_reader(cluster, centre)

    def kill_reader():
        cluster.kill(f"manager-{reader}")

    context.rollouts = commit_stream(cluster, count, rate, kill_reader)


def find_reader(cluster, centre):
    """Returns the entry host of a data centre whose manager reads the platform."""
    peers = [h for h in cluster.plan.entry_hosts if h.data_centre == centre]
    replies = asyncio.run(fetch_statuses(peers, MANAGER_STREAM_PORT))
    readers = [n for n, r in replies.items() if r and own_host_row(r).reading]
    assert readers, replies
    return readers[0]


@then("each change was in force on every live entry host within 7 seconds")
def check_rollouts(context):
    names = [host.name for host in context.cluster.plan.entry_hosts]
    longest_rollout_s = context.rollouts.longest_rollout_s(names)
    assert longest_rollout_s <= MAX_ROLLOUT_S, longest_rollout_s


@then("no entry host ever went back to an older generation")
def check_no_reverts(context):
    assert not context.rollouts.regressions, context.rollouts.regressions


@given("the platform is down")
def stop_platform(context):
    context.cluster.set_platform_faults(is_down=True)


@when('the entry host "{name}" is replaced by a fresh one')
def replace_entry_host(context, name):
    cluster = context.cluster
    for program in ("entry", "manager"):
        cluster.kill(f"{program}-{name}")
        cluster.await_exit(f"{program}-{name}")
    cluster.start_entry_host(name)


@then('"{name}" serves requests at the generation of its peers')
def check_serves_current(context, name):
    context.cluster.await_entry_ready(name)
    found = fetch_generations(context.cluster)
    assert found[name] == max(found.values()) > 0, found


@given('the weight of "{route}" was raised {count:d} times')
def raise_weight(context, route, count):
    async def work(platform):
        for number in range(count):
            loaded = (await load_configuration(platform)).unwrap().configuration
            wanted = with_weight(loaded, route, 20 + number)
            (await TablesCommitter(platform, "scenario").commit(wanted)).unwrap()

    run_with_platform(context.cluster, work)
    wait_until(
        lambda: set(fetch_generations(context.cluster).values()) == {1 + count},
        MAX_ROLLOUT_S,
        "the changes are in force on every entry host",
    )


@when("the platform comes back empty")
def restart_platform_empty(context):
    cluster = context.cluster
    cluster.kill("platform")
    cluster.await_exit("platform")
    cluster.start_platform()

    async def work(platform):
        committer = TablesCommitter(platform, "restore")
        (await committer.commit(cluster.plan.configuration)).unwrap()

    run_with_platform(cluster, work)


@then("every entry host still has generation {generation:d} in force")
def check_generation(context, generation):
    wait_until(
        lambda: _count_older_heads(context.cluster) > 0,
        10,
        "an older head was reported",
    )
    found = fetch_generations(context.cluster)
    assert set(found.values()) == {generation}, found


@then('apply ends with status {status:d} and says "{message}"')
def apply_without_options(context, status, message):
    apply_with(context, "", status, message)


@then('apply with "{option}" ends with status {status:d} and says "{message}"')
def apply_with(context, option, status, message):
    cluster = context.cluster
    folder = edited_tables(cluster, "recover", "fees-charge", 30)
    done = cluster.operate(
        "apply",
        f"--tables={folder}",
        f"--settings={cluster.operator_settings}",
        "--wait",
        *option.split(),
    )
    assert done.returncode == status, (done.stdout, done.stderr)
    assert message in done.stdout + done.stderr, (done.stdout, done.stderr)


@then("the managers that read the platform report an older head")
def check_older_heads(context):
    assert _count_older_heads(context.cluster) > 0


def _count_older_heads(cluster):
    name = "sassafrasgrade_manager_older_heads"
    return sum(
        cluster.metrics(host.name).get(name, 0) for host in cluster.plan.entry_hosts
    )


def make_route(name, weight):
    """Returns a route of a merge scenario."""
    return Route(
        name, "*", f"/{name}", "pool", Urgency.NORMAL, weight, "team", True, 100, 100
    )


def edit_rows(configuration, edit, weight):
    """Applies ``edits x``, ``deletes x``, ``adds x`` or ``nothing``."""
    routes = dict(configuration.routes_by_name)
    parsed = re.match(r"(edits|deletes|adds) (\w)", edit)
    if parsed and parsed[1] == "deletes":
        del routes[parsed[2]]
    elif parsed:
        routes[parsed[2]] = make_route(parsed[2], weight)
    return Configuration(configuration.generation, routes, {})


@given("a base table with rows a, b and c")
def make_base(context):
    rows = {name: make_route(name, 1) for name in "abc"}
    context.base = Configuration(5, rows, {})


@when('the other operator "{theirs}" and this one "{mine}"')
def edit_both(context, theirs, mine):
    wanted = edit_rows(context.base, mine, 3)
    other = edit_rows(context.base, theirs, 2)
    changes = compare_configurations(context.base, other)
    commit = Commit("id", "other", 0.0, changes)
    current = apply_commit(context.base, commit, 6)
    history = ((6, commit),)
    context.merged = merge_tables(wanted, current, history, 5)


@then('the merge gives "{result}"')
def check_merge(context, result):
    if isinstance(context.merged, Failure):
        names = re.findall(r"route \[(\w)\]", str(context.merged.failure()))
        assert result == "conflict " + " ".join(names), context.merged
        return
    texts = [
        f"{'deletes' if change.row is None else 'changes'} {change.name}"
        for change in context.merged.unwrap()
    ]
    assert result == (" ".join(texts) or "nothing"), context.merged


@then("{path} answers status {status:d} on every entry host")
def check_page(context, path, status):
    for host in context.cluster.plan.entry_hosts:
        assert call(f"{host.url}{path}").status == status, host
