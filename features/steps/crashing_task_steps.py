"""Steps on tasks that crash the workers that start them."""

import json
from collections import Counter

from behave import then, when

from features.support.node_fleets import FAULTS, job_body
from features.support.waiting import wait_until


def crashing_body(kind):
    """Returns the body of a job of one task that crashes its worker."""
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 400}
    if kind == "with copies allowed":
        step["speculative"] = True
    return {
        "spec": json.dumps({"ms": 400, "cpu": 1000, "crashes": True}),
        "steps": [step],
    }


@when(
    "{count:d} jobs and {bad:d} jobs of one task that crashes its worker, {kind}, "
    "are submitted while {event}"
)
def submit_with_crashing(context, count, bad, kind, event):
    context.job_ids = [f"{number:016x}" for number in range(count)]
    context.bad_ids = [f"{number:016x}" for number in range(900, 900 + bad)]
    half = count // 2
    for job_id in context.job_ids[:half]:
        assert context.fleet.submit(job_id), job_id
    for job_id in context.bad_ids:
        assert context.fleet.submit(job_id, crashing_body(kind)), job_id
    FAULTS[event](context.fleet)
    for job_id in context.job_ids[half:]:
        assert context.fleet.submit(job_id, job_body()), job_id


@then("the crashing jobs are shown as failed within {seconds:d} seconds")
def await_failed(context, seconds):
    def are_failed():
        return all(context.fleet.state(job) == "failed" for job in context.bad_ids)

    wait_until(are_failed, seconds, "the crashing jobs are shown as failed")


@then("no crashing task was started more than {most:d} times")
def check_start_counts(context, most):
    harness = context.fleet.harness
    history = harness.call(list, harness.fleet.history)
    counts = Counter(run.task for run in history)
    for job_id in context.bad_ids:
        assert counts[f"{job_id}.0.0.0"] <= most, counts


@then("all other jobs are completed within {seconds:d} seconds")
def await_others(context, seconds):
    def are_completed():
        return all(context.fleet.state(job) == "completed" for job in context.job_ids)

    wait_until(are_completed, seconds, "all other jobs are completed")
