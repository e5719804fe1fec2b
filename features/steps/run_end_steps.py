"""Steps on the proofs that free a task for its next start."""

import logging

from behave import given, then, when

from features.support.work_tables import NOW, apply_worker_view, start_run
from sassafrasgrade.work_commands import ReportSecondRun


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


@when("a second worker lists a run of the task")
def list_second_run(context):
    start_run(context.task, context.worker)
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
