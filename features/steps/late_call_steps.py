"""Steps on calls that are carried out late, by a later incarnation of a worker."""

import asyncio

from behave import then

from features.support import late_calls
from features.support.takeovers import run_in_loop

# Greatest error of sums of clock readings, in seconds.
ROUNDING_S = 1e-9


@then('a worker that restarted under its id is usable after "{event}": "{usable}"')
def check_usable(context, event, usable):
    found = run_in_loop(lambda: late_calls.is_usable_after(event))
    assert found == (usable == "yes"), found


@then(
    "a leader whose calls carry token {present:d} and one with token {refused:d} is "
    'refused steps down: "{steps}"'
)
def check_steps_down(context, present, refused, steps):
    found = run_in_loop(lambda: late_calls.steps_down(present, refused))
    assert found == (steps == "yes"), found


@then(
    'tokens are raised by {writes:d} writes when the first is "{answered}", the leader '
    'steps down: "{steps}"'
)
def check_raised(context, writes, answered, steps):
    found = asyncio.run(late_calls.raise_token(answered))
    assert found == (writes, steps == "yes"), found


@then("a poll that is refused with an earlier token counts as answered")
def check_overtaken_poll(context):
    assert asyncio.run(late_calls.poll_with_earlier_token())


@then(
    "a restarted worker gets at most {polls:d} polls in a row that wait for nothing, "
    "while the store is away"
)
def check_polls_while_store_is_away(context, polls):
    found = asyncio.run(late_calls.count_polls_without_store())
    assert found <= polls, found


@then(
    "a worker whose token was raised {delay:d} s after its restart may hold the "
    "longest lease from its answer on"
)
def check_lease(context, delay):
    left_s, longest_s = run_in_loop(lambda: late_calls.lease_after(delay))
    assert left_s >= longest_s - ROUNDING_S, (left_s, longest_s)


@then('stored ends are acknowledged by "{poll}": "{acknowledged}"')
def check_acknowledged(context, poll, acknowledged):
    found = asyncio.run(late_calls.acknowledges(poll))
    assert found == (acknowledged == "yes"), found


@then(
    "a filler whose pace of {percent:d} percent is answered "
    '"{answer}" counts as paced so: "{taken}"'
)
def check_pace(context, percent, answer, taken):
    pace = asyncio.run(late_calls.pace_after(percent, answer))
    assert (pace == percent) == (taken == "yes"), pace


@then('a ticket for a worker is used after "{event}": "{used}"')
def check_ticket(context, event, used):
    found = run_in_loop(lambda: late_calls.has_ticket_after(event))
    assert found == (used == "yes"), found


@then(
    'a "{kind}" that later calls overtake {overtaken:d} times is sent {sent:d} times, '
    "each with the token of the last commit"
)
def check_tokens(context, kind, overtaken, sent):
    tokens, expected = asyncio.run(late_calls.tokens_of(kind, overtaken))
    assert tokens == expected and len(tokens) == sent, (tokens, expected)


@then('an id whose row was removed {seconds:d} s ago is remembered: "{remembered}"')
def check_remembered(context, seconds, remembered):
    found = run_in_loop(lambda: late_calls.is_remembered_after(seconds))
    assert found == (remembered == "yes")
