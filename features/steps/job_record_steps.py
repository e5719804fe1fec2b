"""Steps on the records of jobs, with a platform in memory."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.support.fake_platforms import FakePlatform
from sassafrasgrade.job_controllers import JobController
from sassafrasgrade.job_pages import JobPages
from sassafrasgrade.jobs import (
    RECORDS_KEY,
    SUBMITTED_PREFIX,
    JobRecord,
    JobSpec,
    RecordsShard,
    Size,
    Submission,
    shard_of,
)
from sassafrasgrade.timers import TimerService

DATA_CENTRE = "szeged"
JOB_ID = f"{DATA_CENTRE}.00ff00ff"
SUBMITTED_KEY = SUBMITTED_PREFIX.format(data_centre=DATA_CENTRE) + "entry-1-1"
RECORD_KEY = RECORDS_KEY.format(data_centre=DATA_CENTRE, shard=shard_of(JOB_ID))


def create_spec():
    return JobSpec(JOB_ID, "encode", "t", "clips", 1, Size(1, 1), 1, True, 0, "")


@given("a platform on which a job was submitted")
def submit_job(context):
    context.platform = FakePlatform()
    value = msgspec.msgpack.encode(Submission([create_spec()], []))
    context.platform.put(SUBMITTED_KEY, value)
    context.settings = SimpleNamespace(
        host_data_centre=DATA_CENTRE, host_name="entry-1"
    )


@when('the planner ticks {count:d} times and "{method}" fails in the first')
def tick_with_failure(context, count, method):
    controller = JobController(context.settings, TimerService(), context.platform)
    configuration = SimpleNamespace(generation=1, pools_by_name={}, routes_by_name={})
    membership = SimpleNamespace(records_by_name={})

    async def run():
        context.platform.failing = {method}
        for _ in range(count):
            await controller.tick(True, configuration, {}, membership)
            context.platform.failing = set()

    asyncio.run(run())


@then("the job has a stored record or is still submitted")
def check_not_lost(context):
    stored = context.platform.versioned_by_key
    ids = []
    if RECORD_KEY in stored:
        shard = msgspec.msgpack.decode(stored[RECORD_KEY].value, type=RecordsShard)
        ids = [record.spec.job_id for record in shard.records]
    assert JOB_ID in ids or SUBMITTED_KEY in stored, list(stored)


@then('the job is shown with status {status:d} if the planner takes it in "{moment}"')
def check_shown(context, status, moment):
    platform = context.platform

    def take_in():
        shard = RecordsShard([JobRecord(create_spec())])
        platform.put(RECORD_KEY, msgspec.msgpack.encode(shard))
        platform.versioned_by_key.pop(SUBMITTED_KEY)

    if moment == "before the look-up":
        take_in()
    elif moment == "after the first read":
        platform.after_read = take_in
    else:
        assert moment == "later", moment
    pages = JobPages(context.settings, TimerService(), platform, lambda: None)
    answer = asyncio.run(pages.page("GET", f"/jobs/{JOB_ID}")({}, b""))
    assert answer.status == status, (answer.status, answer.body)
