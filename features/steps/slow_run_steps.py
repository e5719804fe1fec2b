"""Steps on runs that are judged by their watched progress."""

import math

from behave import given, then, when

from features.support.takeovers import Takeover, job_item, run_in_loop
from features.support.watched_runs import LONG, SLOW, WatchedFleet
from features.support.work_tables import QUEUE
from sassafrasgrade.node_messages import HandedOverRun, HandOver
from sassafrasgrade.systems.task_placement import is_suspect

FIRST, OTHERS = "worker-0", ("worker-1", "worker-2", "worker-3")
JOB = "a" * 16
TASK = f"{JOB}.0.0.0"


@given(
    'four workers of a pool whose runs are "{history}", those on three of them far on'
)
def create_fleet(context, history):
    context.history, context.expected = history, 0
    context.fleet = WatchedFleet(history)
    for name in OTHERS:
        context.fleet.add_job((name, 4), is_far_on=True)


def add_jobs(fleet):
    fleet.add_job((FIRST, 2))
    fleet.add_job((FIRST, 2))


def add_shared_job(fleet, slowness=1.0):
    fleet.add_worker("worker-4")
    fleet.add_worker("worker-5")
    fleet.add_job((FIRST, 3), ("worker-4", 3), ("worker-5", 3), slowness=slowness)


def add_long_job(fleet):
    fleet.add_job((FIRST, 3), slowness=LONG)
    fleet.add_job((FIRST, 1))


ADD_BY_WORKER = {
    "is sound": add_jobs,
    "is slow": add_jobs,
    "is slow, with one job": lambda f: f.add_job((FIRST, 3)),
    "is slow, with a job that two others run": add_shared_job,
    "is sound, with a job of 12 times its estimate": add_long_job,
    "is sound, as two others, with a job of 12 times its estimate": (
        lambda f: add_shared_job(f, LONG)
    ),
    "is sound, with nothing but a task of 12 times its estimate": (
        lambda f: f.add_job((FIRST, 1), slowness=LONG)
    ),
}


@when('the first worker, which "{worker}", is watched for {seconds:d} s')
def watch(context, worker, seconds):
    if "is slow" in worker:
        context.fleet.slowness_by_worker[FIRST] = SLOW
    ADD_BY_WORKER[worker](context.fleet)
    if context.history == "restarted":
        context.fleet.play(seconds)
        context.fleet.restart(FIRST)
    context.fleet.play(seconds)


@then('the first worker\'s runs are stopped as crawling: "{stopped}"')
def check_stopped(context, stopped):
    stops = [stop for stop in context.fleet.stops if stop.run.worker_id == FIRST]
    assert bool(stops) == (stopped == "yes"), stops
    assert all(stop.reason == "crawls" for stop in stops), stops
    context.expected = len(stops)


@then('it is suspect: "{suspect}"')
def check_suspect(context, suspect):
    worker = context.fleet.tables.workers_by_id[FIRST]
    assert is_suspect(worker) == (suspect == "yes"), worker.failures


@then("nothing else is stopped")
def check_nothing_else(context):
    stops = context.fleet.stops
    assert len(stops) == context.expected, stops


@when(
    "its task starts on a worker without other runs, and is watched for {seconds:d} s"
)
def move_task(context, seconds):
    fleet = context.fleet
    fleet.add_worker("worker-4")
    fleet.start(fleet.stops[0].run.task, "worker-4", LONG)
    fleet.play(seconds)


@when("the workers have answered, but not listed their runs")
def answer_without_lists(context):
    context.fleet.answer()
    context.fleet.judge()


HANDED_BY_HISTORY = {
    "adopted": (),
    "handed over, begun at an unknown time": (
        HandedOverRun(TASK, 1, FIRST, 4.0, None),
    ),
    "handed over after 0.75 s": (HandedOverRun(TASK, 1, FIRST, 4.0, 0.75),),
}


@when('a run that was "{history}" ends as done 0.25 s after a takeover')
def end_inherited_run(context, history):
    def end():
        takeover = Takeover(handover=HandOver(1, runs=HANDED_BY_HISTORY[history]))
        takeover.load([job_item(JOB)], [FIRST])
        takeover.report(FIRST, running=[(TASK, 1)])
        takeover.wait(0.25)
        takeover.report(FIRST, ended=[(1, TASK, 1, "done")])
        return takeover.dispatcher.learned_durations.factors_by_queue.get(QUEUE, 1.0)

    context.factor = run_in_loop(end)


@then("its queue's tasks count as {factor:g} times as long as declared")
def check_factor(context, factor):
    assert math.isclose(context.factor, factor), context.factor
