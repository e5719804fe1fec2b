"""Steps on the bound of accepted work."""

import msgspec
from behave import given, then, when

from features.support.work_bounds import (
    TABLES_BY_EVENT,
    EarlierLeaderBeat,
    create_bound,
    expected_bytes,
    read_held,
    request_of,
    submit,
)
from features.support.work_tables import NOW, QUEUE
from sassafrasgrade.node_messages import LeaderBeat
from sassafrasgrade.systems.work_bounds import FreedRate, held_by_queue


@given("a bound of {limit:d} bytes that {queues:d} queues share")
def start_with_bound(context, limit, queues):
    context.bound = create_bound(limit, queues)


@when('the leader reports "{held}"')
def report_held(context, held):
    context.bound.update(read_held(held), 0.0, NOW)


@when('the leader reports "{held}" and {rate:d} bytes freed a second')
def report_rate(context, held, rate):
    context.bound.update(read_held(held), float(rate), NOW)


@then('a job of {size:d} bytes of queue "{queue}" is "{answer}"')
def check_answer(context, size, queue, answer):
    wait_s = context.bound.retry_after_s(queue, request_of(size))
    assert bool(wait_s) == (answer == "refused"), wait_s


@then(
    'a job of {size:d} bytes of queue "{queue}" may be sent again after {seconds:d} s'
)
def check_wait(context, size, queue, seconds):
    assert context.bound.retry_after_s(queue, request_of(size)) == seconds


@then(
    "{freed:d} of {held:d} bytes freed in {seconds:d} s are a rate of {rate:d} bytes "
    "a second"
)
def check_rate(context, freed, held, seconds, rate):
    found = FreedRate()
    found.measure(held, NOW)
    found.measure(held - freed, NOW + seconds)
    assert round(found.per_s) == rate, found


@when(
    'the node accepts {jobs:d} jobs of {size:d} bytes of queue "{queue}" and "{when}"'
)
def accept_jobs(context, jobs, size, queue, when):
    for _ in range(jobs):
        assert not context.bound.retry_after_s(queue, request_of(size))
        context.bound.note_accepted(queue, request_of(size), NOW)
    if "0 bytes" in when:
        context.bound.update({}, 0.0, NOW + (2.0 if "after" in when else 0.2))


@given("a node whose accepted work has reached the bound")
def note_node(context):
    """The submission creates it."""


@when('a caller submits "{what}"')
def submit_beyond_bound(context, what):
    context.node, context.reply = submit(what)


@then('it is answered {status:d}, and stored: "{stored}"')
def check_reply(context, status, stored):
    assert context.reply.status == status, context.reply
    assert bool(context.node.stored) == (stored == "yes"), context.node.stored
    assert bool(context.reply.retry_after_s) == (status == 429), context.reply


@given("a leader with a job of 3 steps of 100 tasks")
def note_leader(context):
    """The event creates it."""


@when('this happens to it: "{event}"')
def happen(context, event):
    context.tables = TABLES_BY_EVENT[event]()


@then("the leader reports {jobs:d} jobs and {occurrences:d} occurrences")
def check_figure(context, jobs, occurrences):
    found = held_by_queue(context.tables)
    assert found == {QUEUE: expected_bytes(jobs, occurrences)}, found


@then("a heartbeat without figures of work is read by this version")
def check_earlier(context):
    sent = msgspec.msgpack.encode(EarlierLeaderBeat(1, 2, {"a": 3}, {}))
    beat = msgspec.msgpack.decode(sent, type=LeaderBeat)
    assert (beat.token, beat.held_by_queue, beat.freed_per_s) == (1, {}, 0.0), beat


@then("a heartbeat with figures of work is read by the earlier version")
def check_later(context):
    sent = msgspec.msgpack.encode(LeaderBeat(1, 2, {"a": 3}, {}, {"a": 9}, 1.5))
    beat = msgspec.msgpack.decode(sent, type=EarlierLeaderBeat)
    assert beat.waiting_by_queue == {"a": 3}, beat
