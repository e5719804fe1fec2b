"""Steps on what belongs to one incarnation of a worker, and reaches another one."""

import asyncio

from behave import then

from features.support import other_incarnations
from sassafrasgrade.platform.workers import OrderOutcome


@then('a worker that restarts, gets "{calls}" and is cut off keeps its task')
def check_kept(context, calls):
    freed_after_s = asyncio.run(other_incarnations.play(calls))
    assert freed_after_s >= 0, freed_after_s


@then("a task is not blamed for the crash of an incarnation that never ran it")
def check_not_blamed(context):
    former, present = asyncio.run(other_incarnations.crashes_of_listed_run())
    assert len(former) == 1 and former[0].is_proven, former
    assert not present, present


@then("a poll that acknowledges {ends:d} ends is sent {copies:d} times: {outcome}")
def check_copies(context, ends, copies, outcome):
    found = asyncio.run(other_incarnations.copies_of_poll(ends))
    assert found == (copies, outcome), found


@then(
    "a poll that is sent on a {kind} connection after {seconds:g} s still acknowledges "
    "ends: {sent}"
)
def check_sent(context, kind, seconds, sent):
    found = asyncio.run(other_incarnations.is_sent_after(seconds, kind == "kept"))
    assert found == (sent == "yes"), found


@then('a poll with outcome "{outcome}" is repeated at once, without acknowledging')
def check_repeated(context, outcome):
    outcome = OrderOutcome(outcome)
    found = asyncio.run(other_incarnations.acknowledged_after(outcome))
    assert found == ([57, 0], True), found


@then("no end is acknowledged after a start that another clock has answered")
def check_not_acknowledged(context):
    discarded = asyncio.run(other_incarnations.discarded_after_start())
    assert not discarded, discarded


@then("a next leader waits for a lease that the last poll of an earlier one gave")
def check_barrier(context):
    freed_after_s = other_incarnations.barrier_after_last_poll()
    assert freed_after_s >= 0, freed_after_s


@then("a late answer of the former incarnation is ignored, though its start is later")
def check_ignored(context):
    known_ms, present_ms = asyncio.run(other_incarnations.born_after_late_answer())
    assert known_ms == present_ms, (known_ms, present_ms)


@then("no end is acknowledged after a late answer of the former incarnation")
def check_after_late_answer(context):
    found = asyncio.run(other_incarnations.acknowledged_after_late_answer())
    assert not found, found


@then("stored ends are still acknowledged after a start that was refused")
def check_after_refusal(context):
    found = asyncio.run(other_incarnations.acknowledged_after_refusal())
    assert found == [57], found


@then("the poll that ends a doubt waits for nothing")
def check_wait_in_doubt(context):
    found = asyncio.run(other_incarnations.wait_of_poll_in_doubt())
    assert found == [0], found


@then("a poll renews nothing after a start that another clock has answered")
def check_deadlines(context):
    question_ms, poll_ms, next_ms = asyncio.run(
        other_incarnations.deadlines_after_start()
    )
    assert question_ms is None and poll_ms is None, (question_ms, poll_ms)
    assert next_ms is not None, "once its lists are known, its runs are renewed"
