"""Steps on the job system: tick-driven, with fakes at the interfaces."""

from behave import given, then, when

from features.support.job_fleets import (
    BACKGROUND,
    HOST_SIZE,
    NORMAL,
    URGENT,
    JobFleet,
    completed_work,
    declare_a_fifth,
    declare_five_times,
    declare_wrong_by_five,
)
from sassafrasgrade.jobs import JobState

SIZE_ERRORS = {
    "five times too large": declare_five_times,
    "five times too small": declare_a_fifth,
    "up to five times too large or small": declare_wrong_by_five,
}
WARM_UP_S = 30
URGENT_INTERVAL_S = 0.5
QUOTA_KEY = ("team", "kind")


@given("a job fleet of {hosts:d} workers with seed {seed:d}")
def make_job_fleet(context, hosts, seed):
    context.jobs = JobFleet(seed, hosts)


@given(
    'a job fleet of {hosts:d} workers with a quota of {cores:d} cores for "{team}" '
    "and seed {seed:d}"
)
def make_quota_fleet(context, hosts, cores, team, seed):
    context.jobs = JobFleet(seed, hosts, quotas={QUOTA_KEY: float(cores)})


@when('urgent jobs arrive for {seconds:d} seconds under "{flood}"')
def send_urgent(context, seconds, flood):
    fleet = context.jobs
    memory_mb = 16_384 if "memory" in flood else 2_048
    background = [
        fleet.submit(BACKGROUND, 4.0, memory_mb, 120.0, kind="background")
        for _ in range(len(fleet.hosts) * 60)
    ]
    fleet.run(WARM_UP_S)
    for step in range(int(seconds / URGENT_INTERVAL_S)):
        fleet.submit(URGENT, 2.0, 2_048, 5.0, kind="urgent")
        if "cancellations" in flood and step == 20:
            for job_id in background[::2]:
                fleet.cancel(job_id)
        fleet.run(URGENT_INTERVAL_S)
    fleet.run(2.0)


@then("{percent:d} percent of the urgent jobs started within {seconds:g} seconds")
def check_urgent(context, percent, seconds):
    delays = context.jobs.start_delays(URGENT)
    assert len(delays) >= 100
    delay_s = delays[int(len(delays) * percent / 100) - 1]
    assert delay_s <= seconds, (delay_s, delays[-5:])


@then("no job that may run only once ran twice and no quota was exceeded")
def check_runs_and_quotas(context):
    assert not context.jobs.violations, context.jobs.violations[:5]


@then(
    'declared sizes "{error}" complete at least {percent:d} percent '
    "of the work that true sizes complete with seed {seed:d}"
)
def check_completed(context, error, percent, seed):
    expected = completed_work(seed, lambda source: 1.0)
    found = completed_work(seed, SIZE_ERRORS[error])
    assert found * 100 >= expected * percent, (found / expected, found, expected)


@when("a job that fails on every worker and {count:d} that do not are submitted")
def submit_always_failing(context, count):
    fleet = context.jobs
    context.first = fleet.submit(NORMAL, 2.0, 1_024, 5.0, never=True)
    context.others = [fleet.submit(NORMAL, 2.0, 1_024, 5.0) for _ in range(count)]
    fleet.run(60)


@then('the first ends as "{state}" with the verdict "{verdict}"')
def check_first(context, state, verdict):
    record = context.jobs.records_by_id[context.first]
    assert (str(record.state), str(record.verdict)) == (state, verdict), record


@then("the other {count:d} are done")
def check_others(context, count):
    records = [context.jobs.records_by_id[job_id] for job_id in context.others]
    assert [r.state for r in records] == [JobState.DONE] * count


@when("jobs that turn out larger than any worker are submitted")
def submit_too_large(context):
    fleet = context.jobs
    # The jobs declare a tenth of their size: only their measured use shows it.
    fleet._declared_factor = lambda source: 0.1
    for _ in range(6):
        fleet.submit(NORMAL, HOST_SIZE.cores * 2, 1_024, 30.0, kind="huge")
    fleet.run(200)
    context.first = fleet.submit(NORMAL, HOST_SIZE.cores * 2, 1_024, 30.0, kind="huge")
    fleet.run(30)


@then('the last of them ends as "{state}" with the verdict "{verdict}"')
def check_last(context, state, verdict):
    check_first(context, state, verdict)


@given('the worker "{host}" fails everything that it starts')
def make_failing_worker(context, host):
    context.jobs.failing_hosts.add(host)


@when("{count:d} jobs are submitted")
def submit_many(context, count):
    fleet = context.jobs
    context.others = [fleet.submit(NORMAL, 4.0, 1_024, 10.0) for _ in range(count)]


@then("all of them are done within {seconds:d} seconds")
def check_all_done(context, seconds):
    fleet = context.jobs
    fleet.run(seconds)
    states = {fleet.records_by_id[job_id].state for job_id in context.others}
    assert states == {JobState.DONE}, fleet.counts()


@then('"{host}" failed at most {count:d} of them')
def check_few_failures(context, host, count):
    failed = [t for t in context.jobs.tasks_by_id.values() if t.host == host]
    assert 0 < len(failed) <= count, len(failed)


@when('{count:d} jobs run, "{kind}", and "{host}" is cut off')
def cut_host(context, count, kind, host):
    fleet = context.jobs
    repeatable = kind == "repeatable"
    for _ in range(count):
        fleet.submit(NORMAL, 4.0, 1_024, 200.0, repeatable=repeatable)
    fleet.run(10)
    context.on_host = [
        job_id for job_id, r in fleet.records_by_id.items() if r.host == host
    ]
    assert context.on_host
    fleet.disconnect_host(host)


@then("none of its jobs starts again within {seconds:d} seconds")
def check_not_started(context, seconds):
    fleet = context.jobs
    fleet.run(seconds)
    for job_id in context.on_host:
        assert fleet.runs_by_job[job_id] == 1, fleet.records_by_id[job_id]


@then('its jobs end as "{end}"')
def check_end(context, end):
    fleet = context.jobs
    fleet.run(600)
    states = {str(fleet.records_by_id[job_id].state) for job_id in context.on_host}
    assert states == {end}, states


@when("{count:d} jobs are submitted and all are cancelled after {seconds:d} seconds")
def cancel_all(context, count, seconds):
    fleet = context.jobs
    job_ids = [fleet.submit(NORMAL, 4.0, 1_024, 100.0) for _ in range(count)]
    fleet.run(seconds)
    context.started_before = len(fleet.started_at_by_id)
    for job_id in job_ids:
        fleet.cancel(job_id)


@then("all are cancelled within {seconds:d} seconds by at most {count:d} stop commands")
def check_cancelled(context, seconds, count):
    fleet = context.jobs
    fleet.run(seconds)
    assert set(fleet.counts()) == {"cancelled"}, fleet.counts()
    assert fleet.commands["StopTasks"] <= count, fleet.commands


@then("none started after its cancellation")
def check_no_late_start(context):
    assert len(context.jobs.started_at_by_id) == context.started_before


@when('{count:d} jobs of the teams "{one}" and "{two}" run for {seconds:d} seconds')
def run_teams(context, count, one, two, seconds):
    fleet = context.jobs
    for number in range(count):
        team = one if number % 2 else two
        fleet.submit(NORMAL, 4.0, 1_024, 100.0, team=team)
    fleet.run(seconds / 2)
    context.cores = {
        team: sum(
            record.reserved.cores
            for record in fleet.records_by_id.values()
            if record.spec.team == team and record.state is JobState.RUNNING
        )
        for team in (one, two)
    }
    fleet.run(seconds / 2)


@then('"{more}" had more cores than "{less}"')
def check_more(context, more, less):
    assert context.cores[more] > context.cores[less] > 0, context.cores
