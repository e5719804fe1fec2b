"""Steps on workers that return under their old ids and are soon cut off."""

from behave import given, then, when

from features.support.node_fleets import NodeFleet
from features.support.restarted_workers import (
    CUT_S,
    LongTasks,
    describe,
    restart_and_cut,
    runs_at_cut,
    violations_of,
)
from sassafrasgrade.tools.standins.fleet_handlers import SilentRestart

SEED = 1


@given("a fleet of {nodes:d} nodes and {hosts:d} hosts without a standby pool")
def start_fleet(context, nodes, hosts):
    context.cluster = context.fleet = NodeFleet(nodes, hosts, has_standby=False)
    context.fleet.start()


@given("a steady flow of jobs of long tasks")
def start_jobs(context):
    load = LongTasks(context.fleet, SEED)
    context.add_cleanup(load.stop)
    load.start()


@when(
    "{workers:d} workers end {after_poll_s:f} s into a poll, are dark for {dark_s:f} "
    "s, register after {registration_s:f} s and are cut off after {cut_after_s:f} s "
    "while the leader {fate}"
)
def restart(context, workers, after_poll_s, dark_s, registration_s, cut_after_s, fate):
    times = (after_poll_s, dark_s, registration_s, cut_after_s, CUT_S)
    kills_leader = {"stays": False, "is killed": True}[fate]
    restart = SilentRestart(*times, closes_idle=True)
    restart_and_cut(context.fleet, workers, restart, kills_leader)


@then("no task has run twice at once")
def check_runs(context):
    violations = violations_of(context.fleet)
    assert not violations, "\n".join(
        [*violations, *describe(context.fleet, violations)]
    )


@then("tasks of the second incarnations were alive when they were cut off")
def check_alive(context):
    assert runs_at_cut(context.fleet), context.fleet.harness.fleet.events
