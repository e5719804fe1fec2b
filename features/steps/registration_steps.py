"""Steps on registrations of incarnations that do not answer, or not any more."""

from behave import then

from features.support import registrations
from features.support.takeovers import run_in_loop


@then(
    'after a worker of kind a "{event}", a task that needs kind "{kind}" starts on it: '
    '"{starts}"'
)
def check_starts(context, event, kind, starts):
    found = run_in_loop(lambda: registrations.starts_after(event, kind))
    assert found == (starts == "yes"), found


@then(
    'a worker that is back with "{change}" gets a task of {cores:d} cores that needs '
    'kind "{kind}" only once it has registered'
)
def check_change(context, change, cores, kind):
    found = run_in_loop(
        lambda: registrations.starts_around_registration(change, cores, kind)
    )
    assert found == (False, False, True), found


@then(
    "a registration of an earlier birth counts as the worker's after {seconds:g} s "
    'while "{store}": "{counts}"'
)
def check_counts(context, seconds, store, counts):
    found = run_in_loop(lambda: registrations.counts_after(seconds, store))
    assert found == (counts == "yes"), found


@then(
    '{seconds:g} s after a worker of kind a "{event}", registrations have been read '
    "again {reads:d} times"
)
def check_reads(context, seconds, event, reads):
    found = run_in_loop(lambda: registrations.rereads_after(seconds, event))
    assert found == reads, found
