"""Steps on floods."""

from behave import given, then, when

from features.support.clusters import ProcessCluster
from features.support.floods import SERVICE_MS, TABLES, kept_shares, run_flood

SEED = 1


@given("a cluster of kapu with the flood tables")
def start_flood_cluster(context):
    context.cluster = ProcessCluster("kapu", tables=TABLES, service_ms=SERVICE_MS)
    context.cluster.start()


@given("the classes were measured without a flood")
def measure_quiet(context):
    context.quiet = run_flood(context.cluster, "quiet", None, seed=SEED)


@when('the class "{name}" floods at 10 times the capacity')
def flood(context, name):
    context.flooding = name
    context.flooded = run_flood(context.cluster, "flood", name, seed=SEED)
    context.kept = kept_shares(context.quiet, context.flooded, name)


@then("every other class keeps at least {percent:d} percent")
def check_kept(context, percent):
    others = {n: s for n, s in context.kept.items() if n in context.quiet}
    assert len(others) == len(context.quiet) - 1, context.kept
    assert min(others.values()) * 100 >= percent, context.kept


@then("the flooding class still gets its guaranteed share")
def check_flood_share(context):
    assert context.kept["flood_rate_of_guarantee"] >= 0.95, context.kept


@then("no caller got a wrong or cut answer in the flood")
def check_flood_whole(context):
    for found in context.flooded.values():
        assert found.get("wrong", 0) + found.get("cut", 0) == 0, context.flooded
