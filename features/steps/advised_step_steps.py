"""Steps on steps of queues with advice."""

from behave import then

from features.support.advised_steps import (
    OTHERS,
    ask_without_use,
    order_of_calls,
    start_beside_excluded,
    start_by_slow_service,
    start_gang,
    waiting_after_changes,
)


@then('a step with advice starts beside workers that "{case}", which are not asked for')
def check_excluded(context, case):
    started, named = start_beside_excluded(case)
    assert started and started <= set(OTHERS), started
    assert not named, named


@then("a gang of {members:d} tasks with advice starts after {calls:d} calls")
def check_gang(context, members, calls):
    assert start_gang(members) == (members, calls)


@then('while "{case}", a step with advice causes {calls:d} calls')
def check_calls(context, case, calls):
    assert ask_without_use(case) == calls


@then("a step with advice starts if each answer takes {answer_s:g} s")
def check_slow_service(context, answer_s):
    assert start_by_slow_service(answer_s) == set(OTHERS[-1:])


@then(
    "steps with advice start beside workers that change, with the seeds "
    "{first:d} to {last:d}"
)
def check_changing_workers(context, first, last):
    waiting_by_seed = {
        seed: waiting_after_changes(seed) for seed in range(first, last + 1)
    }
    assert not any(waiting_by_seed.values()), waiting_by_seed


@then("steps with advice take turns while all calls fail")
def check_turns(context):
    assert order_of_calls() == [1, 2, 3, 1, 2, 3]
