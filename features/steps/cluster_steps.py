"""Steps on clusters of processes: load, faults and answers."""

import http.client
import urllib.parse

from behave import given, then, when

from features.support.calls import call
from features.support.clusters import ProcessCluster
from features.support.waiting import wait_until
from sassafrasgrade.tables import HostState

# Refused connections after which a port counts as closed for a while.
REFUSALS = 5
AT_MOST_ONCE_CLASSES = ("charge", "enter")


def create_mixed_classes(rate):
    """Classes over four pools; ``rate`` is the sum of their rates."""
    share = rate / 4
    return [
        {"name": "read", "path": "/jury", "rate": share, "service_ms": 8},
        {"name": "check", "path": "/clips", "rate": share, "service_ms": 8},
        {
            "name": "charge",
            "path": "/fees/charges",
            "method": "POST",
            "rate": share,
            "service_ms": 8,
            "body_bytes": 200,
        },
        {
            "name": "enter",
            "path": "/forms",
            "method": "POST",
            "rate": share,
            "service_ms": 8,
            "body_bytes": 200,
        },
    ]


def count_outcomes(result):
    """Adds up the outcomes of all classes."""
    totals = {}
    for counts in result["classes"].values():
        for name, value in counts.items():
            if isinstance(value, int):
                totals[name] = totals.get(name, 0) + value
    return totals


@given("a running cluster of {user}")
def start_cluster(context, user):
    context.cluster = ProcessCluster(user)
    context.cluster.start()


@given("every backend server answers with these faults")
def set_backend_faults(context):
    row = {name: float(context.table[0][name]) for name in context.table.headings}
    row["seed"] = int(row["seed"])
    context.cluster.backend_faults(**row)


@when("{count:d} requests are sent with seed {seed:d}")
def send_requests(context, count, seed):
    load = start_mixed_load(context, count, seed)
    context.result = load.result()


def start_mixed_load(context, count, seed, rate=400.0):
    """Starts a load of ``count`` requests over all classes."""
    return context.cluster.start_load(
        "mixed",
        classes=create_mixed_classes(rate),
        duration_s=600,
        count=count,
        seed=seed,
        keeps_requests=True,
    )


@when("{count:d} requests are sent with seed {seed:d} while {names} get SIGTERM")
def stop_under_load(context, count, seed, names):
    load = start_mixed_load(context, count, seed)
    context.stopped = names.split(", ")
    runs = context.cluster.backend_runs
    wait_until(lambda: len(runs()[0]) > count / 4, 30, "a quarter of the load ran")
    for name in context.stopped:
        context.cluster.processes_by_name[f"entry-{name}"].terminate()
    context.result = load.result()


@given('an open connection to "{name}"')
def open_connection(context, name):
    context.url = f"{context.cluster.entry_host(name).url}/jury"
    address = urllib.parse.urlsplit(context.url)
    context.connection = http.client.HTTPConnection(address.hostname, address.port)
    assert send_on(context.connection).status == 200


def send_on(connection):
    """Sends a request on an open connection; returns the answer, read whole."""
    connection.request("GET", "/jury")
    answer = connection.getresponse()
    answer.read()
    return answer


@when('"{name}" gets SIGTERM under requests until it refuses new connections')
def stop_until_refused(context, name):
    context.stopped = [name]
    context.cluster.processes_by_name[f"entry-{name}"].terminate()
    refusals = []

    def is_refused():
        if call(context.url).status == 0:
            refusals.append(context.url)
        return len(refusals) >= REFUSALS

    wait_until(is_refused, 10, "the port is closed")


@then("a request on the open connection is answered, and the connection ends after it")
def check_open_connection(context):
    answer = send_on(context.connection)
    assert answer.status == 200, answer.status
    assert answer.getheader("Connection") == "close", answer.getheaders()
    context.connection.close()


@then("those entries exit with status 0")
def check_exits(context):
    for name in context.stopped:
        assert context.cluster.await_exit(f"entry-{name}") == 0, name


@then("no caller got a wrong or cut answer")
def check_answers_whole(context):
    totals = count_outcomes(context.result)
    bad_answers = totals.get("wrong", 0) + totals.get("cut", 0)
    assert totals["sent"] > 0 and bad_answers == 0, context.result["classes"]


@then("every failure's outcome agrees with the servers' run counts")
def check_failure_outcomes(context):
    runs_by_id, _ = context.cluster.backend_runs()
    false_not_runs = [
        request
        for request in context.result["requests"]
        if request[3] == "not-run" and runs_by_id.get(request[2], 0)
    ]
    assert not false_not_runs, false_not_runs
    false_runs = [
        request
        for request in context.result["requests"]
        if request[3] in ("in_time", "late", "ran")
        and not runs_by_id.get(request[2], 0)
    ]
    assert not false_runs, false_runs


@then("no request that may run only once ran twice")
def check_at_most_once(context):
    runs_by_id, _ = context.cluster.backend_runs()
    twice = [
        request
        for request in context.result["requests"]
        if request[0] in AT_MOST_ONCE_CLASSES and runs_by_id.get(request[2], 0) > 1
    ]
    assert not twice, twice


@then("at least {percent:d} percent were answered in time")
def check_in_time(context, percent):
    totals = count_outcomes(context.result)
    share = totals.get("in_time", 0) / totals["sent"]
    assert share * 100 >= percent, context.result["classes"]


@when('the host "{name}" is shown as leaving by "{source}" under load')
def leave_under_load(context, name, source):
    cluster = context.cluster
    load = start_mixed_load(context, 3000, 3)
    context.host = name
    reports = cluster.backend_reports
    wait_until(lambda: reports()[name]["runs"] > 20, 30, f"{name} ran over 20 requests")
    if source == "the list":
        host = next(h for h in cluster.plan.backend_hosts if h.name == name)
        cluster.put_hosts(
            [type(host)(**_fields_by_name(host) | {"state": HostState.LEAVING})]
        )
    else:
        cluster.backend_faults(name, is_leaving=True)
    notice_period = _Period(3.0)
    wait_until(notice_period.has_passed, 4, "3 s passed")
    context.before = reports()[name]
    context.result = load.result()


class _Period:
    """A fixed time to wait that is part of the requirement under test."""

    def __init__(self, seconds):
        import time

        self._clock = time.monotonic
        self._ends_at = self._clock() + seconds

    def has_passed(self):
        """Whether the period has passed."""
        return self._clock() >= self._ends_at


def _fields_by_name(host):
    return {name: getattr(host, name) for name in host.__dataclass_fields__}


@then("it got no new work after 3 seconds")
def check_no_new_work(context):
    after = context.cluster.backend_reports()[context.host]
    for counter in ("runs", "refused"):
        assert after[counter] == context.before[counter], (context.before, after)
