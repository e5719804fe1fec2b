"""Steps on jobs whose route has been removed from the configuration."""

import asyncio

from behave import then

from features.support.removed_routes import (
    CASES_BY_EFFECT,
    PREFIX,
    exchange_record,
    exchange_route,
    failed_job_of_unknown_queue,
    lead_after_removal,
    pools_of_present_route,
)
from features.support.takeovers import OTHER_POOL
from features.support.work_tables import POOL, QUEUE
from sassafrasgrade.work_tables import WorkState


@then('for a job of a removed route, known by "{knowledge}", "{effect}": "{holds}"')
def check_removed_route(context, knowledge, effect, holds):
    assert CASES_BY_EFFECT[effect](knowledge) == (holds == "yes"), effect


@then("a node that saw a route removed knows the pool of its queue as the leader")
def check_seen_by_node(context):
    assert asyncio.run(lead_after_removal()) == (POOL, {POOL})


@then("a job stored with its queue starts in the pool that its queue has now")
def check_present_route(context):
    assert pools_of_present_route() == [OTHER_POOL]


@then("a job of an unknown queue ends as failed once its queue is known")
def check_unknown_queue(context):
    assert failed_job_of_unknown_queue() == (None, WorkState.FAILED)


@then("a job's record and a route of the {writer} version are read by the other one")
def check_versions(context, writer):
    assert exchange_record(writer) == (QUEUE, 1000)
    assert exchange_route(writer) == (QUEUE, PREFIX)
