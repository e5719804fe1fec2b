"""Steps on gangs under which workers crash."""

from behave import given, then, when

from features.support.suspect_gangs import CRASHES, SuspectGang


@given(
    "a pool of {workers:d} workers and a gang of {members:d}, "
    "at most {limit:d} a worker"
)
def create_gang(context, workers, members, limit):
    context.gang = SuspectGang(workers, members, limit)


@when('the gang has started and "{crashes}"')
def crash_workers(context, crashes):
    members = context.gang.job.request.steps[0].count
    assert len(context.gang.place()) == members
    CRASHES[crashes](context.gang)


@then(
    "it starts again after {seconds:d} s on {used:d} workers, none of which had "
    'crashed: "{fresh}"'
)
def check_restart(context, seconds, used, fresh):
    if seconds:
        assert not context.gang.place(after_s=seconds - 0.1)
    runs = context.gang.place(after_s=0.2)
    worker_ids = {run.worker_id for run in runs}
    assert len(worker_ids) == used, worker_ids
    assert worker_ids.isdisjoint(context.gang.crashed) == (fresh == "yes"), worker_ids


@then("of {count:d} other tasks none starts beside it")
def check_alone(context, count):
    own = {run.worker_id for run in context.gang.place()}
    context.gang.add_others(count)
    others = {run.worker_id for run in context.gang.place()}
    assert own and others and own.isdisjoint(others), (own, others)


@when("one of its workers crashes after each start, beside other jobs")
def crash_always(context):
    context.others = context.gang.add_others(40)
    context.crashes = 0
    while context.gang.job.is_open and context.crashes < 10:
        waits = 0
        context.gang.runs = []
        while not context.gang.runs and waits < 30:
            context.gang.place(after_s=0.2)
            waits += 1
        assert context.gang.runs, context.crashes
        context.gang.crash()
        context.crashes += 1


@then("its job fails after at most {most:d} crashes, and no other job does")
def check_given_up(context, most):
    assert not context.gang.job.is_open
    assert context.crashes <= most, context.crashes
    assert context.others.is_open
