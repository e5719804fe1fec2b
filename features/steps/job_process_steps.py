"""Steps on jobs with real processes."""

import json
import time

from behave import given, then, when

from features.steps.maintenance_steps import status_replies, wait_for_host_records
from features.support.calls import call
from features.support.clusters import ProcessCluster
from features.support.waiting import wait_until

URGENT_JOB_COUNT = 10
MAX_START_DELAY_S = 1.5


@given("a cluster of kapu whose planners have written the host records")
def start_planned(context):
    context.cluster = ProcessCluster("kapu")
    context.cluster.start()
    wait_for_host_records(context.cluster)


def submit(cluster, entry, kind, run_s=0.5, cores=2.0, key=None):
    """Submits a job; returns the reply."""
    body = {
        "kind": kind,
        "cores": cores,
        "memory_mb": 512,
        "seconds": run_s,
        "payload": json.dumps({"run_s": run_s}),
    }
    headers = {"Idempotency-Key": key} if key else {}
    return call(f"{cluster.entry_host(entry).url}/jobs", "POST", body, headers)


def fetch_job(cluster, entry, job_id):
    """Returns the state of a job as an entry host reports it."""
    reply = call(f"{cluster.entry_host(entry).url}/jobs/{job_id}")
    assert reply.status == 200, (reply.status, reply.body)
    return reply.json()


@when(
    'a job "{kind}" with the key "{key}" is submitted to "{one}" and again to "{other}"'
)
def submit_twice(context, kind, key, one, other):
    context.replies = [submit(context.cluster, e, kind, key=key) for e in (one, other)]


@then("both answers name the same job")
def check_same(context):
    assert [reply.status for reply in context.replies] == [201, 201]
    ids = {reply.json()["job_id"] for reply in context.replies}
    assert len(ids) == 1, ids
    context.job_id = ids.pop()


@then("it is done within {seconds:d} seconds after one start")
def check_done(context, seconds):
    wait_until(
        lambda: fetch_job(context.cluster, "entry-3", context.job_id)["state"]
        == "done",
        seconds,
        "the job is done",
    )
    assert fetch_job(context.cluster, "entry-4", context.job_id)["attempt"] == 1


@when(
    'a job "{kind}" that runs for {run_s:d} seconds is submitted to "{entry}" '
    "and cancelled"
)
def submit_and_cancel(context, kind, run_s, entry):
    cluster = context.cluster
    context.job_id = submit(cluster, entry, kind, float(run_s)).json()["job_id"]
    url = f"{cluster.entry_host(entry).url}/jobs/{context.job_id}"
    assert call(url, "DELETE").status == 202


@then("it is cancelled within {seconds:d} seconds")
def check_cancelled_job(context, seconds):
    wait_until(
        lambda: fetch_job(context.cluster, "entry-1", context.job_id)["state"]
        == "cancelled",
        seconds,
        "the job is cancelled",
    )


@then("bad submissions are refused")
def check_bad_submissions(context):
    url = f"{context.cluster.entry_host('entry-1').url}/jobs"
    for row in context.table:
        reply = call(url, "POST", row["body"].encode())
        assert reply.status == int(row["status"]), (row["body"], reply.body)
        assert reply.headers["Sassafrasgrade-Outcome"] == "not-run"


@then("an unknown job is answered with status {status:d}")
def check_unknown(context, status):
    url = f"{context.cluster.entry_host('entry-1').url}/jobs/szeged.00ff00ff"
    assert call(url).status == status


@given("{count:d} background jobs of {cores:d} cores fill the pool")
def fill_pool(context, count, cores):
    context.background = [
        submit(context.cluster, "entry-1", "/encode", 600.0, float(cores)).json()
        for _ in range(count)
    ]
    assert all("job_id" in reply for reply in context.background)


@when('the manager that plans "{centre}" dies and urgent jobs are submitted there')
def kill_planner(context, centre):
    cluster = context.cluster
    names = {h.name for h in cluster.plan.entry_hosts if h.data_centre == centre}
    context.centre = centre
    planner = next(
        name
        for name, r in status_replies(cluster).items()
        if name in names and r.planning
    )
    cluster.kill(f"manager-{planner}")
    cluster.await_exit(f"manager-{planner}")
    wait_until(
        lambda: any(
            r.planning for n, r in status_replies(cluster).items() if n in names
        ),
        6,
        "another manager plans",
    )
    entry = sorted(names)[0]
    context.urgent = []
    for _ in range(URGENT_JOB_COUNT):
        reply = submit(cluster, entry, "/encode/urgent", 30.0)
        context.urgent.append((reply.json()["job_id"], time.time()))


@then("each urgent job starts within 1.5 seconds once another manager plans")
def check_urgent_starts(context):
    cluster = context.cluster
    for job_id, submitted_at in context.urgent:

        def find_running(job_id=job_id):
            row = fetch_job(cluster, "entry-1", job_id)
            return row if row["state"] == "running" else None

        row = wait_until(find_running, 5, "the urgent job runs")
        assert row["changed_at"] - submitted_at <= MAX_START_DELAY_S, (
            row,
            submitted_at,
        )


@then("no task was started twice")
def check_starts(context):
    url = f"{context.cluster.entry_host('entry-1').url}/jobs"
    centres = context.cluster.plan.data_centres
    rows = [
        row
        for centre in centres
        for row in call(f"{url}?data_centre={centre}").json()["jobs"]
    ]
    assert rows and all(row["attempt"] <= 1 for row in rows), rows
