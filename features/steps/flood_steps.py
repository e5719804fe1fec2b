"""Steps on floods: one class sends far more than the capacity."""

from behave import given, then, when

from features.support.clusters import ProcessCluster
from features.support.floods import SERVICE_MS, TABLES, retained_shares, run_flood
from sassafrasgrade.systems.admission import ProcessorAdmission, share_rate

SEED = 1
WINDOW_S = 0.2


@given("a cluster of kapu with the flood tables")
def start_flood_cluster(context):
    context.cluster = ProcessCluster("kapu", tables=TABLES, service_ms=SERVICE_MS)
    context.cluster.start()


@given("the classes were measured without a flood")
def measure_baseline(context):
    context.baseline = run_flood(context.cluster, "quiet", None, seed=SEED)


@when('the class "{name}" floods at 10 times the capacity')
def flood(context, name):
    context.flooding = name
    context.flooded = run_flood(context.cluster, "flood", name, seed=SEED)
    context.kept = retained_shares(context.baseline, context.flooded, name)


@then("every other class keeps at least {percent:d} percent of its answers in time")
def check_kept(context, percent):
    shares = {n: s for n, s in context.kept.items() if n in context.baseline}
    assert len(shares) == len(context.baseline) - 1, context.kept
    assert min(shares.values()) * 100 >= percent, context.kept


@then("the flooding class still gets its guaranteed share")
def check_flood_share(context):
    assert context.kept["flood_rate_of_guarantee"] >= 0.95, context.kept


@then("no caller got a wrong or cut answer in the flood")
def check_flood_whole(context):
    for counts in context.flooded.values():
        assert counts.get("wrong", 0) + counts.get("cut", 0) == 0, context.flooded


@given('classes that demand "{demands}" with the weights "{weights}"')
def set_demands(context, demands, weights):
    pairs = zip(parse_numbers(demands), parse_numbers(weights))
    context.demands = {key: pair for key, pair in enumerate(pairs)}


def parse_numbers(text):
    """Parses numbers separated by commas."""
    return [float(part) for part in text.split(",")]


@when("a rate of {rate:d} is divided")
def divide_rate(context, rate):
    context.granted = share_rate(rate, context.demands)


@then('they are granted "{granted}"')
def check_granted(context, granted):
    found = [round(context.granted[key], 6) for key in sorted(context.demands)]
    assert found == parse_numbers(granted), found


@given(
    'an admission control where "{flooding_class}" sends {flood_rate:d} '
    'and "{calm}" {calm_rate:d} requests a second'
)
def make_admission(context, flooding_class, flood_rate, calm, calm_rate):
    context.admission = ProcessorAdmission()
    context.rates = {flooding_class: flood_rate, calm: calm_rate}


def run_window(context, max_rate):
    """Simulates one window; busy if over ``max_rate`` a second are admitted."""
    admitted = {name: 0 for name in context.rates}
    for name, rate in context.rates.items():
        for _ in range(int(rate * WINDOW_S)):
            admitted[name] += context.admission.admits(name, 1)
    is_busy = sum(admitted.values()) > max_rate * WINDOW_S
    context.admission.tick(1.0 if is_busy else 0.5, WINDOW_S)
    return admitted


@when(
    "the processor is busy for {count:d} windows "
    "while more than {max_rate:d} a second are admitted"
)
def run_windows(context, count, max_rate):
    for _ in range(count):
        context.admitted = run_window(context, max_rate)


@then(
    '"{calm}" is fully admitted '
    'and "{flooding_class}" at less than {max_rate:d} a second'
)
def check_admitted(context, calm, flooding_class, max_rate):
    assert context.admitted[calm] == int(context.rates[calm] * WINDOW_S)
    assert 0 < context.admitted[flooding_class] < max_rate * WINDOW_S, context.admitted


@then("once the flood ends everything is admitted within {seconds:d} seconds")
def check_recovery(context, seconds):
    context.rates = {name: 20 for name in context.rates}
    for _ in range(int(seconds / WINDOW_S)):
        run_window(context, 200)
    assert not context.admission.is_shedding
    assert run_window(context, 200) == {name: 4 for name in context.rates}
