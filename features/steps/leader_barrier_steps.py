"""Steps on how long a new leader waits for the calls of those before it."""

import asyncio

from behave import then

from features.support import bounded_leases, replaced_leaders
from features.support.replaced_leaders import STEP_S
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.worker_sessions import ANSWER_TIMEOUT_S, LONG_POLL_WAIT_S

# What answers at the address of a leader, and how long after the takeover, in seconds.
ANSWERS_BY_FAULT = {
    "loses power for 1 s": ("its next process", 0.5),
    "loses power for 14 s": ("its next process", 13.0),
    "is killed": ("its next process", 0.3),
    "is replaced by another machine": ("a machine of another name", 1.0),
    "freezes for 2 s": ("the leader itself, awake again", 0.7),
    "freezes for 4 s": ("the leader itself, awake again", 2.7),
    "is cut off": ("nobody", 0.0),
    "is gone": ("nobody", 0.0),
}
LEASE_TOLERANCE_S = 0.02
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
    "a lasting job of a silent worker's pool starts {after_s:g} s after a takeover "
    'from a leader that "{fault}", if "{reports}"'
)
def check_start_after_fault(context, after_s, fault, reports):
    kind, at_s = ANSWERS_BY_FAULT[fault]
    found = asyncio.run(replaced_leaders.start_after(kind, at_s, reports=reports))
    assert abs(found - after_s) < 2 * STEP_S, found


@then(
    "a lasting job of a silent worker's pool starts {after_s:g} s after a takeover, "
    'if all nodes deny an outage and "{history}"'
)
def check_start_after_denials(context, after_s, history):
    found = asyncio.run(
        replaced_leaders.start_after("nobody", 0.0, history, "all deny an outage")
    )
    assert abs(found - after_s) < 2 * STEP_S, found


@then(
    "a lasting job waits for the lease of the last poll of a leader "
    "whose next process answers after {at_s:g} s"
)
def check_last_poll(context, at_s):
    arrived_at_s = at_s + LONG_POLL_WAIT_S + ANSWER_TIMEOUT_S - STEP_S
    found = asyncio.run(replaced_leaders.start_after("its next process", at_s))
    assert found >= arrived_at_s + LONGEST_LEASE_S * CLOCK_DRIFT, found


@then(
    "a leader whose last answered renewal is {age_s:g} s old gives a lease of "
    '{lease_s:g} s, starts tasks: "{starts}", if "{reports}"'
)
def check_lease(context, age_s, lease_s, starts, reports):
    found_s, may_start = asyncio.run(bounded_leases.lease_after(age_s, reports))
    assert abs(found_s - lease_s) < LEASE_TOLERANCE_S, found_s
    assert may_start == (starts == "yes")


@then('a node whose heartbeats, one a second, had answers "{ages}" s old says "{age}"')
def check_outage_age(context, ages, age):
    found_s = bounded_leases.outage_age_after([float(a) for a in ages.split(",")])
    assert found_s == (None if age == "none" else float(age)), found_s


@then('at an address with "{state}" the incarnation "{incarnation}" answers')
def check_hello(context, state, incarnation):
    found = asyncio.run(replaced_leaders.first_hello(state))
    assert (found or "none") == incarnation, found
