"""Steps on requests that may run only once."""

import asyncio
import random
import signal
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when
from returns.result import Success

from features.support.calls import call
from features.support.claim_fleets import ClaimFleet, VirtualTimeLoop
from features.support.crashing_entries import CrashingEntry
from features.support.fleets import FakePlatform
from features.support.waiting import wait_until
from sassafrasgrade.answers import REQUEST_ID_HEADER
from sassafrasgrade.claim_logs import CLAIMS_PREFIX
from sassafrasgrade.claims import ClaimController, create_claim
from sassafrasgrade.systems.claims import (
    ClaimBatch,
    ClaimIndex,
    ClaimRecord,
    ClaimState,
)
from sassafrasgrade.timers import FakeTimerService
from sassafrasgrade.tools.standins.clusters import ClusterPlan
from sassafrasgrade.tools.standins.loads import LoadClass, LoadGenerator, LoadPlan

CLAIM_HOLD_MS = 5000
CHARGES_PER_S = 200.0
CHARGE_PATHS = {"kapu": "/fees/charges", "authority": "/payments/deposits"}


def start_charges(context, count, seed):
    """Starts a load of keyed charges that callers repeat."""
    user = context.cluster.plan.tables.name
    return context.cluster.start_load(
        "charges",
        classes=[
            {
                "name": "charge",
                "path": CHARGE_PATHS[user],
                "method": "POST",
                "rate": CHARGES_PER_S,
                "service_ms": 10,
                "body_bytes": 200,
                "keyed": True,
                "repeats": 3,
            }
        ],
        duration_s=600,
        count=count,
        seed=seed,
        keeps_requests=True,
    )


def inject_trouble(context, trouble):
    """Injects one kind of fault while charges are in flight."""
    cluster = context.cluster
    if trouble == "lost platform answers":
        faults = {"lose_write_answers": 40, "lose_answers_for_key": CLAIMS_PREFIX}
        cluster.set_platform_faults(**faults)
    elif trouble == "an entry kill":
        cluster.kill("entry-entry-2")
    elif trouble == "a paused entry":
        pause_process(cluster, "entry-entry-3", 3.0)
    elif trouble == "a platform outage":
        cluster.set_platform_faults(is_down=True)
        wait_seconds(2.0)
        cluster.set_platform_faults()


def wait_seconds(seconds):
    """Waits for a time that is part of the fault or requirement under test."""
    import time

    until = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() >= until, seconds + 1, "the wait ended")


def pause_process(cluster, name, seconds):
    """Pauses a process for a number of seconds."""
    cluster.kill(name, signal.SIGSTOP)
    wait_seconds(seconds)
    cluster.kill(name, signal.SIGCONT)


@when('{count:d} keyed charges are sent with seed {seed:d} under "{trouble}"')
def send_charges(context, count, seed, trouble):
    load = start_charges(context, count, seed)
    runs = context.cluster.backend_runs
    wait_until(lambda: len(runs()[1]) > count / 4, 30, "a quarter of the charges ran")
    inject_trouble(context, trouble)
    context.result = load.result()


@then("no key ran twice")
def check_no_key_ran_twice(context):
    _, runs_by_key = context.cluster.backend_runs()
    twice = {key: count for key, count in runs_by_key.items() if count > 1}
    assert len(runs_by_key) > 1000 and not twice, twice


def charge(cluster, entry, key=None):
    """Sends one charge."""
    headers = {"Idempotency-Key": key} if key else {}
    url = f"{cluster.entry_host(entry).url}/fees/charges"
    return call(url, "POST", b"fee", headers)


@when('a charge with the key "{key}" is sent to "{entry}"')
def send_charge(context, key, entry):
    context.key = key
    context.first = charge(context.cluster, entry, key)


@when('the same charge is sent again to "{entry}"')
def send_again(context, entry):
    # The record of the first answer may not have arrived yet; until then the
    # key counts as in use.
    def repeat():
        context.second = charge(context.cluster, entry, context.key)
        return context.second.status != 409

    wait_until(repeat, 2, "the first charge is settled")


@then("both got the same body and the second is marked as replayed")
def check_replay(context):
    first, second = context.first, context.second
    assert first.status == second.status == 200, (first.status, second.status)
    assert first.body == second.body and first.body
    assert "Sassafrasgrade-Replayed" not in first.headers
    assert second.headers["Sassafrasgrade-Replayed"] == "true"


@then('the key "{key}" ran once')
def check_ran_once(context, key):
    check_ran(context, key, 1)


@then('the key "{key}" ran {count:d} times')
def check_ran(context, key, count):
    _, runs_by_key = context.cluster.backend_runs()
    assert runs_by_key.get(key, 0) == count, runs_by_key


@when('two charges with the key "{key}" are sent at once to "{one}" and "{other}"')
def send_two(context, key, one, other):
    context.cluster.backend_faults(late=1.0, late_s=0.5)
    with ThreadPoolExecutor(2) as pool:
        replies = pool.map(
            lambda entry: charge(context.cluster, entry, key), [one, other]
        )
    context.replies = list(replies)


@then("one is answered and the other is refused as in use")
def check_in_use(context):
    statuses = sorted(reply.status for reply in context.replies)
    assert statuses == [200, 409], statuses
    refused = next(reply for reply in context.replies if reply.status == 409)
    assert refused.headers["Sassafrasgrade-Outcome"] == "not-run"
    assert refused.headers["Sassafrasgrade-Reason"] == "key-in-use"


@then(
    'it is answered with status {status:d}, outcome "{outcome}" and reason "{reason}"'
)
def check_answer(context, status, outcome, reason):
    reply = context.first
    assert reply.status == status, reply.status
    assert reply.headers["Sassafrasgrade-Outcome"] == outcome, reply.headers
    assert reply.headers["Sassafrasgrade-Reason"] == reason, reply.headers


@then("a charge without a key is answered with status {status:d}")
def check_unkeyed(context, status):
    assert charge(context.cluster, "entry-1").status == status


@given('a claim index with "{history}"')
def make_index(context, history):
    context.index = ClaimIndex()
    for step in history.split(", "):
        if step == "nothing":
            continue
        token, action = step.split()
        state = ClaimState.CLAIMED if action == "claims" else ClaimState(action)
        context.index.apply(ClaimRecord(b"key", token, state, CLAIM_HOLD_MS), 100.0)


@when('the key is claimed with token "{token}" after {seconds:d} seconds')
def decide_claim(context, token, seconds):
    context.verdict = context.index.verdict(b"key", token, 100.0 + seconds)


@then('the verdict is "{verdict}"')
def check_verdict(context, verdict):
    assert str(context.verdict) == verdict, context.verdict


class UnansweredLinks:
    """Links to one other entry host that never answers or is cut off."""

    def __init__(self, is_cut):
        self._is_cut = is_cut
        self.sent = []

    def live_names_by_data_centre(self):
        """Lists only the other entry host, so that it is always the writer."""
        return {"elsewhere": ["writer"]}

    def send(self, name, message):
        """Accepts a message, unless the link is cut."""
        if not self._is_cut:
            self.sent.append(str(message.record.state))
        return not self._is_cut


class ListingPlatform(FakePlatform):
    """Fake platform that also lists values."""

    async def list_values(self, prefix):
        """Lists nothing: the log is empty."""
        return Success({})


@given("a claim controller whose writer {behaviour}")
def make_claim_controller(context, behaviour):
    timers = FakeTimerService()
    context.links = UnansweredLinks(behaviour == "is cut off")
    context.platform = ListingPlatform(timers, random.Random(1))
    plan = ClusterPlan("kapu")
    settings = plan.settings(plan.entry_hosts[0])
    context.claims = ClaimController(settings, timers, context.platform, context.links)
    context.route = plan.configuration.routes_by_name["fees-charge"]


@when("a key is claimed through it")
def claim_key(context):
    async def claim():
        found = await context.claims.claim(create_claim(context.route, "k"), 2.0)
        # One turn of the loop starts the release that follows a refused claim.
        await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(_turn_loop())), 1.0)
        return found

    context.found = asyncio.run(claim())


@when("a key is claimed through it, and the entry host stops")
def claim_key_and_stop(context):
    async def claim_and_stop():
        found = await context.claims.claim(create_claim(context.route, "k"), 2.0)
        await context.claims.drain(5.0)
        return found

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        context.found = runner.run(claim_and_stop())


async def _turn_loop():
    """Does nothing; awaiting it as a task runs one turn of the event loop."""


@then('the claim is "{verdict}" and its own log contains "{own}"')
def check_claim(context, verdict, own):
    assert str(context.found[0]) == verdict, context.found
    states = [
        str(record.state)
        for key, (value, _, _) in context.platform.values_by_key.items()
        if key.startswith(CLAIMS_PREFIX)
        for record in msgspec.msgpack.decode(value, type=ClaimBatch).records
    ]
    assert (", ".join(states) or "nothing") == own, states


@then('the writer was sent "{sent}"')
def check_sent(context, sent):
    assert (", ".join(context.links.sent) or "nothing") == sent, context.links.sent


@given("entry hosts whose writer needs {delay:d} ms more for a call to the platform")
def make_claim_fleet(context, delay):
    context.writer_delay_s = delay / 1000


@when(
    "{rate:d} keyed requests a second arrive and the platform is down for {outage:d} s"
)
def run_claim_fleet(context, rate, outage):
    context.outage_end_s = 2.0 + outage
    context.claim_fleet = ClaimFleet(
        rate,
        context.writer_delay_s,
        outage=(2.0, context.outage_end_s),
        duration_s=context.outage_end_s + 8.0,
    )
    context.claim_fleet.run()


@then("each claim is decided within {limit:g} s")
def check_claim_waits(context, limit):
    longest_s = context.claim_fleet.longest_wait_s
    assert longest_s <= limit, longest_s


@then(
    "{percent:d} percent of the requests are granted from {delay:g} s after the outage"
)
def check_granted(context, percent, delay):
    share = context.claim_fleet.granted_share(context.outage_end_s + delay)
    assert share * 100 >= percent, share


class OrderedTargets:
    """Targets in a given order."""

    def __init__(self, targets):
        self._targets = iter(targets)

    def pick(self):
        """Returns the next target."""
        return next(self._targets)


@given("an entry that reads a second request on a kept-alive connection and exits")
def make_crashing_entry(context):
    context.crashing_entry = CrashingEntry(REQUEST_ID_HEADER)


@when("a caller sends 2 charges to it, and then to another entry")
def send_to_crashing_entry(context):
    context.other = CrashingEntry(REQUEST_ID_HEADER)

    async def send_both():
        await context.crashing_entry.start()
        await context.other.start()
        charges = LoadClass("charges", "/charges", 0.0)
        crashing_entry, other = context.crashing_entry.address, context.other.address
        plan = LoadPlan(
            [crashing_entry, other], [charges], checks_ready=False, keeps_requests=True
        )
        load = LoadGenerator(
            plan, OrderedTargets([crashing_entry, crashing_entry, other])
        )
        return [await load.send(charges, 0.0, key) for key in ("k-1", "k-2")]

    context.outcomes = asyncio.run(send_both())


@then("each charge was read once, and the second one counts as cut")
def check_crashing_entry(context):
    request_ids = (
        context.crashing_entry.received_request_ids + context.other.received_request_ids
    )
    assert len(request_ids) == len(set(request_ids)) == 2, request_ids
    assert context.outcomes[1][0] == "cut", context.outcomes
