"""Steps on saved progress."""

from behave import given, then, when

from features.support.saved_progress import SavingJob


@given('three "{kind}" that save their progress have been started')
def start_tasks(context, kind):
    context.saving_job = SavingJob(kind)


@when('workers report "{reports}"')
def apply_reports(context, reports):
    context.saving_job.apply(reports)


@then('they start again with "{values}"')
@then('they start again with "{values}", though "{late}" comes in between')
def check_values(context, values, late=""):
    found = context.saving_job.restart(late)
    assert found == values.split(), found
