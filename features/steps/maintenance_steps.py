"""Steps on maintenance and moves with real processes."""

import asyncio
import shutil

from behave import given, then, when

from features.steps.at_most_once_steps import wait_seconds
from features.steps.cluster_steps import start_mixed_load
from features.support.waiting import wait_until
from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.rollouts import fetch_statuses
from sassafrasgrade.tools.standins.clusters import MANAGER_STREAM_PORT

NEW_RELEASE = "2026.12"
LOAD_REQUESTS_PER_S = 200.0
POOL_SLOTS = 48
PEAK_SERVICE_MS = 200


def status_replies(cluster):
    """Returns the managers' status replies by entry host."""

    async def ask():
        return await fetch_statuses(cluster.plan.entry_hosts, MANAGER_STREAM_PORT)

    return {name: reply for name, reply in asyncio.run(ask()).items() if reply}


def host_records(cluster):
    """Returns the newest version of each host record by host name."""
    found = {}
    for reply in status_replies(cluster).values():
        for record in reply.records:
            if record.name not in found or found[record.name].version < record.version:
                found[record.name] = record
    return found


def wait_for_host_records(cluster):
    """Waits until every backend server has a record.

    A host without a record is written straight into the pool of an edited table, so
    that an earlier edit would leave nothing to move.
    """
    hosts = {host.name for host in cluster.plan.backend_hosts}
    wait_until(
        lambda: host_records(cluster).keys() == hosts,
        20,
        "the planners wrote the host records",
    )


def edit_pools_file(cluster, name, old, new):
    """Writes a copy of the tables with text replaced in pools.ini."""
    folder = cluster.folder / f"tables-{name}"
    shutil.copytree(cluster.plan.tables, folder)
    path = folder / "pools.ini"
    content = path.read_text()
    assert old in content, old
    path.write_text(content.replace(old, new))
    return folder


@when('the release of every pool is edited under load while "{trouble}"')
def edit_release(context, trouble):
    cluster = context.cluster
    wait_for_host_records(cluster)
    load = start_mixed_load(context, 6000, 17, LOAD_REQUESTS_PER_S)
    folder = edit_pools_file(cluster, "release", "2026.11", NEW_RELEASE)
    cluster.apply(folder)
    if trouble == "the planner's host dies":
        planner = next(
            name for name, r in status_replies(cluster).items() if r.planning
        )
        wait_until(
            lambda: any(
                r.phase is HostPhase.OUT for r in host_records(cluster).values()
            ),
            60,
            "the wave began",
        )
        cluster.kill(f"manager-{planner}")
    context.load = load


@then("every host runs the new release within {seconds:d} seconds")
def check_release(context, seconds):
    cluster = context.cluster

    def is_done():
        hosts = {}
        for reply in status_replies(cluster).values():
            hosts.update({h.name: h for h in reply.hosts if h.port})
        serving = {r.phase for r in host_records(cluster).values()} == {
            HostPhase.SERVING
        }
        return serving and {h.release for h in hosts.values()} == {NEW_RELEASE}

    wait_until(is_done, seconds, "every host runs the new release")
    context.result = context.load.result()


@then("status shows the release done in every pool")
def check_status(context):
    done = context.cluster.operate(
        "status", f"--settings={context.cluster.operator_settings}"
    )
    assert done.returncode == 0, done.stderr
    rows = [line for line in done.stdout.splitlines() if NEW_RELEASE in line]
    assert len(rows) == len(context.cluster.plan.configuration.pools_by_name), rows
    assert all("6/6" in row for row in rows), rows


@when('the pools table moves the host "{host}" to "{pool}" under load')
def move_host(context, host, pool):
    cluster = context.cluster
    wait_for_host_records(cluster)
    context.load = start_mixed_load(context, 4000, 19, LOAD_REQUESTS_PER_S)
    folder = edit_pools_file(
        cluster, "move", "hosts.pecs = clips-pecs-[1-2]", "hosts.pecs = clips-pecs-2"
    )
    path = folder / "pools.ini"
    old, new = "jury-pecs-[1-2]", f"jury-pecs-[1-2] {host}"
    path.write_text(path.read_text().replace(old, new))
    cluster.apply(folder)


@then('"{host}" serves "{pool}" within {seconds:d} seconds')
def check_host_moved(context, host, pool, seconds):
    def is_moved():
        record = host_records(context.cluster)[host]
        return record.pool == pool and record.phase is HostPhase.SERVING

    wait_until(is_moved, seconds, f"{host} serves {pool}")
    context.host = host
    context.result = context.load.result()


@then("it never ran work of both pools at once")
def check_pools_not_mixed(context):
    report = context.cluster.backend_reports()[context.host]
    assert report["first_segments"] == ["clips", "jury"], report
    assert report["mixed"] == 0, report


@given('the entry of "{name}" is killed while the list still shows its host')
def kill_entry(context, name):
    wait_for_host_records(context.cluster)
    context.cluster.kill(f"entry-{name}")
    context.cluster.await_exit(f"entry-{name}")


@then('"{host}" still belongs to "{pool}" after {seconds:d} seconds')
def check_not_moved(context, host, pool, seconds):
    wait_seconds(float(seconds))
    record = host_records(context.cluster)[host]
    assert record.pool == pool and record.phase is HostPhase.MOVING, record
    context.host = host


@then(
    'once the entry of "{name}" is back it serves "{pool}" within {seconds:d} seconds'
)
def check_after_return(context, name, pool, seconds):
    context.cluster.start_program("entry", name)
    check_host_moved(context, context.host, pool, seconds)


@when('the pool "{pool}" gets twice its capacity for {seconds:d} seconds')
def send_peak(context, pool, seconds):
    cluster = context.cluster
    wait_for_host_records(cluster)
    load = cluster.start_load(
        "peak",
        classes=[
            {
                "name": "check",
                "path": f"/{pool}",
                "rate": 2 * POOL_SLOTS * 1000 / PEAK_SERVICE_MS,
                "service_ms": PEAK_SERVICE_MS,
                "deadline_ms": 1000,
            }
        ],
        duration_s=seconds,
    )
    context.result = load.result()


@then("some of its requests were refused as not run")
def check_refused(context):
    assert context.result["classes"]["check"]["not-run"] > 0, context.result


@then("no host was moved and every host still serves")
def check_no_moves(context):
    found = status_replies(context.cluster).values()
    assert found and all(reply.moves == 0 for reply in found)
    phases = {record.phase for record in host_records(context.cluster).values()}
    assert phases == {HostPhase.SERVING}, phases
