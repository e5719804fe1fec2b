"""Steps on the leases that a worker grants after a restart."""

import asyncio

from behave import then

from features.support import granted_leases


@then('a worker that gets "{calls}" and is cut off keeps its tasks until they lapse')
def check_kept(context, calls):
    left_s_by_job = asyncio.run(granted_leases.play(calls))
    assert min(left_s_by_job.values()) >= 0, left_s_by_job


@then(
    'a worker that gets "{calls}" and is cut off has its tasks freed at most '
    "{seconds:g} s after they lapse"
)
def check_freed(context, calls, seconds):
    left_s_by_job = asyncio.run(granted_leases.play(calls))
    assert 0 <= max(left_s_by_job.values()) <= seconds, left_s_by_job


@then('a leader that hands over after "{calls}" hands over all of the leases')
def check_handed_over(context, calls):
    left_s_by_task = asyncio.run(granted_leases.hand_over(calls))
    assert min(left_s_by_task.values()) >= 0, left_s_by_task


@then(
    'after a start "{outcome}", listed later: "{listed}", its task is free: "{free}", '
    'its worker usable: "{usable}"'
)
def check_after_start(context, outcome, listed, free, usable):
    found = asyncio.run(granted_leases.after_start_to(outcome, listed == "yes"))
    assert found == (free == "yes", usable == "yes"), found
