"""Steps on slots, connections and the health of backend servers."""

import signal

from behave import given, then, when

from features.steps.at_most_once_steps import pause_process
from features.steps.cluster_steps import count_outcomes
from features.support.floods import CAPACITY_PER_S, SERVICE_MS
from features.support.waiting import wait_until
from sassafrasgrade.systems.health import ServerHealth, record_attempt

OVERLOAD_FACTOR = 1.3
SLOTS = 8
CONNECTIONS = 64
POOL_SLOTS = 48


@when('the pool "forms" is overloaded for {seconds:d} seconds with "{trouble}"')
def overload(context, seconds, trouble):
    cluster = context.cluster
    context.seconds = seconds
    rate = CAPACITY_PER_S * OVERLOAD_FACTOR / 2
    load = cluster.start_load(
        "overload",
        classes=[
            {"name": "read", "path": "/forms", "rate": rate, "service_ms": SERVICE_MS},
            {
                "name": "enter",
                "path": "/forms",
                "method": "POST",
                "rate": rate,
                "service_ms": SERVICE_MS,
                "body_bytes": 100,
            },
        ],
        duration_s=seconds,
        seed=7,
    )
    fetch_reports = cluster.backend_reports
    wait_until(
        lambda: sum(r["busy"] for r in fetch_reports().values()) > POOL_SLOTS * 0.9,
        30,
        "over 90 percent of the slots are busy",
    )
    context.is_entry_killed = trouble == "an entry kill"
    if context.is_entry_killed:
        cluster.kill("entry-entry-4")
    elif trouble == "a paused entry":
        pause_process(cluster, "entry-entry-4", 3.0)
    elif trouble == "an entry stop":
        cluster.kill("entry-entry-4", signal.SIGTERM)
    context.result = load.result()


@then("no backend server had more than {slots:d} busy slots or refused a request")
def check_slots(context, slots):
    for name, report in context.cluster.backend_reports().items():
        assert report["most_busy"] <= slots, (name, report)
        assert report["refused"] == 0, (name, report)


@then("no backend server had more than {connections:d} connections")
def check_connections(context, connections):
    for name, report in context.cluster.backend_reports().items():
        assert report["most_connections"] <= connections, (name, report)


@then("the pool ran at least {percent:d} percent of the requests that its slots allow")
def check_completed_work(context, percent):
    reports = context.cluster.backend_reports()
    runs_by_server = {
        name: report["runs"]
        for name, report in reports.items()
        if name.startswith("forms")
    }
    runs = sum(runs_by_server.values())
    # The runs of each server tell an unused server from a pause of all.
    evidence = (runs, runs_by_server, context.result["classes"])
    assert runs * 100 >= percent * CAPACITY_PER_S * context.seconds, evidence


@then("no caller got a wrong or cut answer except from the killed entry host")
def check_wrong_or_cut(context):
    totals = count_outcomes(context.result)
    assert totals.get("wrong", 0) == 0, totals
    if not context.is_entry_killed:
        assert totals.get("cut", 0) == 0, context.result["classes"]


FAULTS_BY_CASE = {
    "fails at once": {"fails_all": True},
    "truncates all answers after the service time": {"truncated": 1.0},
    "drops all answers": {"dropped": 1.0},
}


@when('the host "{name}" {fails} under load for {seconds:d} seconds')
def fail_host(context, name, fails, seconds):
    cluster = context.cluster
    context.host = name
    load = cluster.start_load(
        "ejection",
        classes=[
            {
                "name": method,
                "path": "/forms",
                "method": method,
                "rate": 100,
                "service_ms": 10,
                "body_bytes": 100 if method == "POST" else 0,
            }
            for method in ("GET", "POST")
        ],
        duration_s=2 + seconds,
        warm_up_s=2,
        seed=9,
    )
    cluster.backend_faults(name, **FAULTS_BY_CASE[fails])
    context.result = load.result()


@then("under {percent:d} percent of the requests fail after the first 2 seconds")
def check_failures(context, percent):
    totals = count_outcomes(context.result)
    failed = totals["sent"] - totals.get("in_time", 0)
    assert failed * 100 < percent * totals["sent"], context.result["classes"]


@then("the other hosts of its pool ran requests")
def check_others_ran(context):
    reports = context.cluster.backend_reports()
    pool = context.host.partition("-")[0]
    for name, report in reports.items():
        if name.startswith(pool) and name != context.host:
            assert report["runs"] > 0, name


@given("a healthy server of {slots:d} slots in a pool whose budget {budget}")
def make_server(context, slots, budget):
    context.health = ServerHealth(float(slots))
    context.may_eject = budget == "allows an ejection"
    context.now = 100.0


@when('its attempts are "{attempts}"')
def record_attempts(context, attempts):
    for step in attempts.split(", "):
        amount, outcome = step.split()
        if outcome == "s":
            context.now += float(amount)
            continue
        for _ in range(int(amount)):
            relative_duration = 4.0 if outcome == "slow" else 1.0
            record_attempt(
                context.health,
                outcome == "failed",
                relative_duration,
                SLOTS,
                context.now,
                context.may_eject,
            )


@then("it may have {allowed:d} requests at a time")
def check_allowed(context, allowed):
    found = context.health.allowed(SLOTS, context.now)
    assert found == allowed, (found, context.health)


@then("after {seconds:g} more seconds it may have {later:d}")
def check_allowed_later(context, seconds, later):
    found = context.health.allowed(SLOTS, context.now + seconds)
    assert found == later, (found, context.health)
