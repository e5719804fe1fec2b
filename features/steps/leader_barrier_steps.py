"""Steps on how long a new leader waits for the calls of those before it."""

import asyncio

from behave import then

from features.support import replaced_leaders
from features.support.replaced_leaders import STEP_S
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.worker_sessions import ANSWER_TIMEOUT_S, LONG_POLL_WAIT_S

# Longest lease of a run, in seconds (published limit).
LONGEST_LEASE_S = 6.0


@then(
    "a lasting job of a silent worker's pool starts {after_s:g} s after a takeover, "
    'if "{answers}" answers after {at_s:g} s'
)
def check_start(context, after_s, answers, at_s):
    found = asyncio.run(replaced_leaders.start_after(answers, at_s))
    assert abs(found - after_s) < 2 * STEP_S, found


@then(
    "a lasting job of a silent worker's pool starts {after_s:g} s after a takeover, "
    'if "{answers}" answers after {at_s:g} s and "{history}"'
)
def check_start_after_others(context, after_s, answers, at_s, history):
    found = asyncio.run(replaced_leaders.start_after(answers, at_s, history))
    assert abs(found - after_s) < 2 * STEP_S, found


@then(
    "a lasting job waits for the lease of the last poll of a leader "
    "whose next process answers after {at_s:g} s"
)
def check_last_poll(context, at_s):
    arrived_at_s = at_s + LONG_POLL_WAIT_S + ANSWER_TIMEOUT_S - STEP_S
    found = asyncio.run(replaced_leaders.start_after("its next process", at_s))
    assert found >= arrived_at_s + LONGEST_LEASE_S * CLOCK_DRIFT, found


@then('at an address with "{state}" the incarnation "{incarnation}" answers')
def check_hello(context, state, incarnation):
    found = asyncio.run(replaced_leaders.first_hello(state))
    assert (found or "none") == incarnation, found
