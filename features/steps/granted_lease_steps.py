"""Steps on the leases that a worker grants after a restart."""

import asyncio

from behave import then

from features.support import granted_leases


def _freed_after_s(calls):
    """Returns how long after its lapse each run's task was freed, in seconds."""
    return tuple(asyncio.run(granted_leases.play(calls)).values())


@then('a worker that gets "{calls}" and is cut off keeps its tasks until they lapse')
def check_kept(context, calls):
    after_s = _freed_after_s(calls)
    assert min(after_s) >= 0, after_s


@then(
    'a worker that gets "{calls}" and is cut off has its tasks freed at most '
    "{seconds:g} s after they lapse"
)
def check_freed(context, calls, seconds):
    after_s = _freed_after_s(calls)
    assert 0 <= max(after_s) <= seconds, after_s


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
