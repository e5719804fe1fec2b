"""Steps on the planner: tick-driven, with fakes at the interfaces."""

from dataclasses import replace

from behave import given, then, when

from features.support.fleets import NEW_RELEASE, OLD_RELEASE, FakeFleet
from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.systems.maintenance import choose_batch, in_window
from sassafrasgrade.systems.planning import ChangeHosts

SETTLE_S = 20
FAILURE_PROBABILITY_PER_S = 0.004
TROUBLE_CYCLE_S = 200
PAUSE_S = 15
RECOVERY_S = 100


@given(
    "a fleet of {hosts:d} hosts a pool and data centre in {pools:d} pools "
    "with seed {seed:d}"
)
def make_fleet(context, hosts, pools, seed):
    context.fleet = FakeFleet(seed, pools=pools, hosts=hosts)
    context.fleet.run(SETTLE_S)


@given(
    "one data centre of {hosts:d} hosts in {pools:d} pools "
    "with a budget of {budget:d} and seed {seed:d}"
)
def make_large_fleet(context, hosts, pools, budget, seed):
    context.fleet = FakeFleet(
        seed,
        data_centres=("north",),
        pools=pools,
        hosts=hosts // pools,
        out_at_most=budget,
        per_domain=budget,
    )
    context.fleet.run(SETTLE_S)


def inject_trouble(fleet, trouble, second):
    """Injects the faults of one second of a kind of trouble."""
    if trouble in ("random failures", "everything"):
        if fleet.random.random() < FAILURE_PROBABILITY_PER_S:
            fleet.fail(fleet.random.choice(sorted(fleet.hosts_by_name)))
    if trouble in ("lost platform answers", "everything"):
        fleet.platform._lost_answers = 0.1
    phase = second % TROUBLE_CYCLE_S
    centre = fleet.data_centres[second // TROUBLE_CYCLE_S % len(fleet.data_centres)]
    if trouble in ("managers dying in turn", "everything") and phase == 20:
        kill_leader(fleet, centre)
    if trouble in ("planners pausing", "everything"):
        pause_and_resume(fleet, centre, phase)
    if trouble in ("a data centre cut off", "everything"):
        cut_off = {centre} if 100 <= phase < 100 + PAUSE_S * 3 else set()
        fleet.platform.cut_data_centres = cut_off
    if trouble in ("an entry host silent", "everything"):
        silent = {f"{centre}-entry-0"} if 150 <= phase < 150 + PAUSE_S * 2 else set()
        fleet.entries_by_centre[centre].paused = silent


def kill_leader(fleet, centre):
    """Replaces the manager that plans by a newly started one."""
    managers = fleet.managers_by_centre[centre]
    for number, manager in enumerate(managers):
        if manager["leads"]:
            managers[number] = fleet._make_manager(centre, number, None)


def pause_and_resume(fleet, centre, phase):
    """Pauses the leader; on resuming it carries out what it decided before."""
    if phase == 50 and any(m["leads"] for m in fleet.managers_by_centre[centre]):
        if not fleet.platform.cut_data_centres:
            fleet.resume_later = fleet.pause_leader(centre)[0]
    if phase == 50 + PAUSE_S and getattr(fleet, "resume_later", None):
        fleet.resume_later()
        fleet.resume_later = None


@given(
    "a fleet of 2 pools with 2 hosts each in every rack, a budget of 3 and 1 a rack, "
    "seed {seed:d}"
)
def make_rack_fleet(context, seed):
    context.fleet = FakeFleet(
        seed, pools=2, hosts=8, out_at_most=3, per_domain=1, data_centres=("north",)
    )
    context.fleet.run(SETTLE_S)


@given("a fleet whose entry hosts apply changes up to 12 seconds late, seed {seed:d}")
def make_late_fleet(context, seed):
    context.fleet = FakeFleet(seed, entry_delay_s=12.0)
    context.fleet.run(SETTLE_S)


@when('every pool gets a new release while "{trouble}" happens')
def start_wave(context, trouble):
    fleet = context.fleet
    fleet.set_release(NEW_RELEASE)
    context.trouble = trouble
    context.started_at = fleet.timers.now()


@then("every host runs it within {max_s:d} seconds")
def check_wave(context, max_s):
    fleet = context.fleet

    def is_done():
        second = int(fleet.timers.now() - context.started_at)
        inject_trouble(fleet, context.trouble, second)
        return all(host.release == NEW_RELEASE for host in fleet.hosts_by_name.values())

    context.seconds = fleet.run_until(is_done, max_s)


@then("the planners' own decisions exceeded no budget")
def check_budgets(context):
    assert not context.fleet.violations, context.fleet.violations[:5]


@then("no host was used for two pools at once")
def check_pools(context):
    assert not [v for v in context.fleet.violations if "is used for" in v]


@given("every pool got a new release {seconds:d} seconds ago")
def start_wave_earlier(context, seconds):
    context.fleet.set_release(NEW_RELEASE)
    context.fleet.run(seconds)


def is_about_to_write(fleet, centre):
    """Whether the planner of a data centre is about to write host records."""
    leader = next(m for m in fleet.managers_by_centre[centre] if m["leads"])
    view = fleet._view(centre, leader["planner"])
    commands = leader["planner"].decide(view)
    return any(isinstance(command, ChangeHosts) for command in commands)


@when('the planner of "{centre}" is paused for {seconds:d} seconds')
def pause_planner(context, centre, seconds):
    fleet = context.fleet
    context.centre = centre
    fleet.run_until(lambda: is_about_to_write(fleet, centre), 600)
    term = fleet.memberships()[centre].term
    context.resume, context.commands = fleet.pause_leader(centre)
    context.takeover_s = fleet.run_until(
        lambda: fleet.memberships()[centre].term > term, seconds
    )
    fleet.run(seconds - context.takeover_s)


@then("another manager plans within {seconds:d} seconds")
def check_takeover(context, seconds):
    assert context.takeover_s <= seconds, context.takeover_s


@then("the paused planner wrote nothing after it resumed")
def check_no_late_write(context):
    context.resume()
    context.fleet.run(RECOVERY_S)
    assert not context.fleet.violations, context.fleet.violations


@when("a rack fails for {seconds:d} seconds")
def fail_rack(context, seconds):
    fleet = context.fleet
    rack = sorted(fleet.racks())[0]
    context.lost = fleet.racks()[rack]
    for name in context.lost:
        fleet.fail(name, seconds)
    fleet.run(seconds + RECOVERY_S)


@when("a host fails for {seconds:d} seconds")
def fail_host(context, seconds):
    context.fleet.fail("pool-0-north-0", seconds)
    context.fleet.run(seconds + RECOVERY_S)


@when("all hosts vanish from the list for {seconds:d} seconds")
def hide_hosts(context, seconds):
    fleet = context.fleet
    listed_by_centre = {centre: fleet.listed for centre in fleet.data_centres}
    original = listed_by_centre[fleet.data_centres[0]]
    fleet.listed = lambda centre: {}
    fleet.set_release(NEW_RELEASE)
    fleet.run(seconds)
    context.during = fleet.memberships()
    fleet.listed = original


@then("at most {count:d} hosts were moved")
def check_most_moves(context, count):
    moved = context.fleet.moves()
    assert 0 < moved <= count, moved


@then("{count:d} hosts were moved")
def check_moves(context, count):
    assert context.fleet.moves() == count, context.fleet.moves()


@then("every pool has as many serving hosts as configured")
def check_restored(context):
    records = {
        name: record
        for membership in context.fleet.memberships().values()
        for name, record in membership.records_by_name.items()
    }
    for pool in context.fleet.configuration.pools_by_name.values():
        configured = sum(len(n) for n in pool.hosts_by_data_centre.values())
        serving = [
            record
            for record in records.values()
            if record.pool == pool.name and record.phase is HostPhase.SERVING
        ]
        assert len(serving) == configured, (pool.name, serving)


@then("every host still counts as serving")
def check_serving(context):
    for membership in context.during.values():
        phases = {r.phase for r in membership.records_by_name.values()}
        assert phases == {HostPhase.SERVING}, phases


@then("a wave started meanwhile takes out no host until they are listed again")
def check_wave_waits(context):
    check_serving(context)
    releases = {host.release for host in context.fleet.hosts_by_name.values()}
    assert releases == {OLD_RELEASE}, releases
    context.fleet.run(1000)
    releases = {host.release for host in context.fleet.hosts_by_name.values()}
    assert releases == {NEW_RELEASE}, releases


@when('the pools table moves "{host}" to "{target}"')
def edit_pools(context, host, target):
    fleet = context.fleet
    pools = dict(fleet.configuration.pools_by_name)
    for name, pool in pools.items():
        by_centre = {
            centre: tuple(n for n in names if n != host)
            for centre, names in pool.hosts_by_data_centre.items()
        }
        if name == target:
            by_centre["north"] = (*by_centre["north"], host)
        pools[name] = replace(pool, hosts_by_data_centre=by_centre)
    fleet.configuration = replace(fleet.configuration, pools_by_name=pools)


@then('the host "{host}" serves "{target}" within {seconds:d} seconds, after a drain')
def check_moved(context, host, target, seconds):
    fleet = context.fleet
    seen = set()

    def is_moved():
        record = fleet.memberships()["north"].records_by_name[host]
        seen.add(record.phase)
        return record.pool == target and record.phase is HostPhase.SERVING

    fleet.run_until(is_moved, seconds)
    assert HostPhase.MOVING in seen, seen
    # Long enough for the slowest entry host to apply the move and end its last
    # request to the host.
    fleet.run(SETTLE_S)


def current_view(context):
    """Returns the view of the planner of "north" during a wave."""
    fleet = context.fleet
    fleet.set_release(NEW_RELEASE)
    leader = next(m for m in fleet.managers_by_centre["north"] if m["leads"])
    view = fleet._view("north", leader["planner"])
    assert choose_batch(view, view.pools_by_name["pool-0"])
    return view


@then("a pool with a high burn rate chooses no batch")
def check_burn(context):
    view = replace(current_view(context), burning_pools=frozenset({"pool-0"}))
    assert not choose_batch(view, view.pools_by_name["pool-0"])
    assert choose_batch(view, view.pools_by_name["pool-1"])


@then("a pool outside its window chooses no batch")
def check_window(context):
    view = current_view(context)
    closed = replace(view.pools_by_name["pool-0"], window="10:00-12:00")
    assert not in_window(closed.window, view.now)
    assert not choose_batch(view, closed)
    open_view = replace(view, now=11 * 3600.0)
    assert choose_batch(open_view, closed)
