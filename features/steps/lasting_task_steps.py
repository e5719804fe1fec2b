"""Steps on perpetual tasks whose runs end."""

from behave import then

from features.support.changing_fleets import ChangingFleet
from features.support.lasting_tasks import CASES_BY_EVENT


@then('a perpetual task goes on as it should if "{event}"')
def check_perpetual_task(context, event):
    assert CASES_BY_EVENT[event](), event


@then(
    "lasting and scheduled jobs go on as workers and leaders change, with the seeds "
    "{first:d} to {last:d}"
)
def check_changing_fleets(context, first, last):
    unserved_by_seed = {}
    for seed in range(first, last + 1):
        fleet = ChangingFleet(seed)
        fleet.run()
        unserved_by_seed[seed] = fleet.unserved()
    assert not any(unserved_by_seed.values()), unserved_by_seed
