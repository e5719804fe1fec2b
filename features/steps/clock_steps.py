"""Steps on clocks whose time of day jumps."""

from behave import given, then, when

from features.steps.job_record_steps import create_spec
from features.support.work_tables import NOW, NOW_UNIX
from sassafrasgrade.job_controllers import JobController
from sassafrasgrade.jobs import JobRecord, JobState
from sassafrasgrade.timers import WallClock


class SteppingClocks:
    """A steady clock and a time of day that a test steps.

    Attributes:
        steady_s: The steady clock.
        step_s: Sum of the steps of the time of day.
    """

    def __init__(self):
        self.steady_s = NOW
        self.step_s = 0.0

    def now(self):
        """Returns the steady clock."""
        return self.steady_s

    def time_of_day(self):
        """Returns the stepped time of day."""
        return NOW_UNIX + self.steady_s - NOW + self.step_s


@given("a wall clock whose time of day steps by {step_s:g} s")
def step_clock(context, step_s):
    context.clocks = SteppingClocks()
    context.wall_clock = WallClock(context.clocks.now, context.clocks.time_of_day)
    context.clocks.step_s = step_s


@when("it is read each second for {seconds:d} s, and steps back at the end: {back}")
def read_clock(context, seconds, back):
    clocks = context.clocks
    for _ in range(seconds):
        context.wall_clock.now()
        clocks.steady_s += 1.0
    if back == "yes":
        clocks.step_s = 0.0


@then("it differs from the time without steps by {off_s:g} s")
def check_clock(context, off_s):
    expected = NOW_UNIX + context.clocks.steady_s - NOW + off_s
    assert abs(context.wall_clock.now() - expected) < 1e-6


class SteppedTimers:
    """A timer service whose time of day is stepped between two readings."""

    def __init__(self):
        self.wall_s = NOW_UNIX

    def now(self):
        """Returns the steady clock, which stands still here."""
        return NOW

    def wall_time(self):
        """Returns the time of day."""
        return self.wall_s


@then("task leases renewed before a step of {step_s:g} s lapse {seconds:g} s after now")
def check_lapse_times(context, step_s, seconds):
    class Settings:
        host_data_centre = "szeged"

    timers = SteppedTimers()
    controller = JobController(Settings, timers, None)
    record = JobRecord(create_spec(), state=JobState.RUNNING, host="h")
    controller._renewed_at_by_host = {record.host: timers.now()}
    timers.wall_s += step_s
    lapse_times = controller._lapse_times(timers.wall_time())
    assert abs(lapse_times["h"] - timers.wall_time() - seconds) < 1e-6, lapse_times
