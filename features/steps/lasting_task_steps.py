"""Steps on perpetual tasks whose runs end."""

from behave import then

from features.support.lasting_tasks import CASES_BY_EVENT


@then('a perpetual task goes on as it should if "{event}"')
def check_perpetual_task(context, event):
    assert CASES_BY_EVENT[event](), event
