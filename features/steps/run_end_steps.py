"""Steps on the proofs that free a task for its next start."""

import asyncio
import logging

from behave import given, then, when

from features.support import missed_leaderships, order_cases, silent_workers
from features.support.takeover_cases import CASES_BY_NAME
from features.support.takeovers import run_in_loop
from features.support.work_tables import NOW, apply_worker_view, start_run
from sassafrasgrade.errors import StoreRefused
from sassafrasgrade.platform.clouds import HostOrderOutcome
from sassafrasgrade.platform.messages import WorkerView
from sassafrasgrade.platform.workers import NO_EFFECT_OUTCOMES
from sassafrasgrade.systems.run_updates import restart_worker
from sassafrasgrade.work_commands import LogEvent, ReportSecondRun, StopRun
from sassafrasgrade.work_tables import RunState


class RecordingHandler(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keeps one record."""
        self.records.append(record)


@given("its decisions are recorded")
def record_decisions(context):
    context.handler = RecordingHandler()
    root = logging.getLogger()
    root.addHandler(context.handler)
    context.add_cleanup(root.removeHandler, context.handler)
    level = root.level
    root.setLevel(logging.INFO)
    context.add_cleanup(root.setLevel, level)


@then('its run is logged as forgotten with the proof "{proof}"')
@then('its run is logged as forgotten with the proof ""')
def check_proof(context, proof=""):
    found = [r for r in context.handler.records if r.msg == "run forgotten"]
    assert [record.proof for record in found] == ([proof] if proof else []), found
    for record in found:
        assert record.task == context.task.name and record.run == 1
        assert record.proof_age_ms >= 0, record.proof_age_ms


@when('the worker\'s incarnation {born_ms:d} lists a run whose start was "{state}"')
def list_run(context, born_ms, state):
    context.worker.born_ms = born_ms
    if state != "sent by an earlier leader":
        is_answered = state.startswith("answered")
        run_state = RunState.RUNNING if is_answered else RunState.UNCERTAIN
        run = start_run(context.task, context.worker, run_state)
        run.sent_at, run.sent_to_born_ms = NOW, int(state.rpartition(" ")[2])
    running = [(context.task.name, 1, "", 10, 0)]
    context.commands = apply_worker_view(
        context.tables, context.worker, NOW + 1, running=running
    )


@then("the list is logged as showing a run sent to incarnation {sent_to}: " '"{found}"')
def check_found(context, sent_to, found):
    events = _events(context, "run-found")
    assert len(events) == (found == "yes"), events
    expected = None if sent_to == "unknown" else int(sent_to)
    for fields in events:
        assert fields["born"] == 7 and fields.get("sent_to_born") == expected, fields


@when("the worker restarts with an unanswered start")
def restart_with_unanswered_start(context):
    context.worker.born_ms = 3
    start_run(context.task, context.worker, RunState.UNCERTAIN)
    view = WorkerView(clock_ms=1.0, born_ms=7)
    context.commands = restart_worker(context.tables, context.worker, view, NOW + 1)


@then("the restart and the unanswered start are logged")
def check_restart(context):
    (fields,) = _events(context, "worker-restarted")
    assert (fields["earlier_born"], fields["born"]) == (3, 7), fields
    assert fields["unanswered"] == [f"{context.task.name}#1"], fields


def _events(context, name):
    return [
        command.fields
        for command in context.commands
        if isinstance(command, LogEvent) and command.event == name
    ]


@when(
    "a second worker lists a run of the task at 10 percent, "
    "the first is at {percent:d} percent on a worker that is {answering}"
)
def list_second_run(context, percent, answering):
    start_run(context.task, context.worker).percent = percent
    context.worker.unresponsive_since = NOW if answering == "silent" else 0.0
    other = context.tables.workers_by_id["worker-1"]
    running = [(context.task.name, 2, "", 10, 0)]
    context.commands = apply_worker_view(
        context.tables, other, NOW + 1, running=running
    )


@then("one second run is reported")
def check_second_run(context):
    reported = [c for c in context.commands if isinstance(c, ReportSecondRun)]
    assert [command.run.number for command in reported] == [2]
    assert [run.number for run in reported[0].others] == [1]


@then("run {number:d} of the task is stopped")
def check_stopped_run(context, number):
    stopped = [c.run.number for c in context.commands if isinstance(c, StopRun)]
    assert stopped == [number], stopped


@then('a successor of a leader that may still act starts "{what}": "{starts}"')
def check_successor_starts(context, what, starts):
    started = run_in_loop(CASES_BY_NAME[what])
    assert bool(started) == (starts == "yes"), started


@then('a task starts again after "{event}": "{starts}"')
def check_starts_again(context, event, starts):
    started = run_in_loop(silent_workers.CASES_BY_NAME[event])
    assert bool(started) == (starts == "yes"), started


@then('a start that "{event}" while it waits for its turn is sent: "{sent}"')
def check_queued_start(context, event, sent):
    was_sent, dropped = asyncio.run(order_cases.send_queued(event))
    assert was_sent == (sent == "yes"), (was_sent, dropped)


@then(
    'a start sent in {copies:d} copies and answered "{refusal}" '
    'has surely had no effect: "{proven}"'
)
def check_copies(context, copies, refusal, proven):
    call = order_cases.call_with_copies(order_cases.send_start, refusal, copies)
    outcome = asyncio.run(call)
    assert (outcome in NO_EFFECT_OUTCOMES) == (proven == "yes"), outcome


@then(
    "a write sent in {copies:d} copies and refused by the store "
    'was surely not done: "{proven}"'
)
def check_write_copies(context, copies, proven):
    call = order_cases.call_with_copies(order_cases.send_write, "unhealthy", copies)
    error = asyncio.run(call).failure()
    assert isinstance(error, StoreRefused) == (proven == "yes"), error


@then(
    "a host order sent in {copies:d} copies and refused had surely no effect: "
    '"{proven}"'
)
def check_host_order_copies(context, copies, proven):
    send = order_cases.send_host_order
    outcome = asyncio.run(order_cases.call_with_copies(send, "busy", copies))
    assert (outcome is HostOrderOutcome.REFUSED) == (proven == "yes"), outcome


@then('an answer of {incarnation} tells the time of a worker: "{tells}"')
def check_clock(context, incarnation, tells):
    is_present = incarnation == "the present incarnation"
    born_ms = order_cases.BORN_MS - (0 if is_present else 9)
    told = asyncio.run(order_cases.poll_restarted_worker(born_ms, NOW * 1000))
    assert told == (tells == "yes")


@then(
    "a node that campaigns for a vanished key after {missed} leads under epoch "
    '{epoch:d} with the leader it knew as predecessor: "{direct}"'
)
def check_campaign(context, missed, epoch, direct):
    gained, is_direct = asyncio.run(
        missed_leaderships.campaign(missed == "one missed leadership")
    )
    assert gained == [epoch], gained
    assert is_direct == (direct == "yes")


@then('a leader whose key vanished leads again after {missed}: "{leads}"')
def check_vanished_key(context, missed, leads):
    is_missed = missed == "one missed leadership"
    found = asyncio.run(missed_leaderships.write_vanished_key_again(is_missed))
    assert found == (leads == "yes")


@then(
    'a node that succeeds a stopped leader while of the one before "{state}" '
    "knows that it may act for {left_s:g} s"
)
def check_earlier_leader(context, state, left_s):
    found = asyncio.run(missed_leaderships.succeed_twice(state))
    assert abs(max(0.0, found) - left_s) < 0.05, found


@then('polls with the last stored ends "{ends}" acknowledge "{acknowledged}"')
def check_acknowledged(context, ends, acknowledged):
    polls = [(int(end.rstrip("?")), "?" not in end) for end in ends.split(", ")]
    found = asyncio.run(order_cases.acknowledge_ends(polls))
    assert found == [int(end) for end in acknowledged.split(", ")], found


@then("no end of an incarnation is acknowledged by what was stored of the one before")
def check_next_incarnation(context):
    assert run_in_loop(silent_workers.acknowledge_for_next_incarnation) == 0


@then('a leader whose write of its vanished key is "{answer}" has authority: "{has}"')
def check_rewritten_key(context, answer, has):
    found = asyncio.run(missed_leaderships.rewrite_key(answer))
    assert found == (has == "yes")


@then('a leader that lost its lease and whose key "{state}" has authority: "{has}"')
def check_authority(context, state, has):
    found = asyncio.run(missed_leaderships.lose_lease(state == "is written again"))
    assert found == (has == "yes")


@then(
    "a leader whose {unanswered:d} first calls get no answer "
    "ends its predecessor's lease with {calls:d}"
)
def check_ended_lease(context, unanswered, calls):
    found = asyncio.run(missed_leaderships.end_previous_lease(unanswered))
    assert found == calls, found
