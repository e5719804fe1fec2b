"""Tracks runs: applies workers' reports of starts, progress and ends."""

import math

from sassafrasgrade.fleet_hosts import ENDING_STATES
from sassafrasgrade.job_records import find_step, find_task, job_id_of
from sassafrasgrade.node_messages import HandedOverRun
from sassafrasgrade.platform.messages import RunEnd, WorkerView
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind, log_forgotten_run
from sassafrasgrade.timers import CLOCK_DRIFT
from sassafrasgrade.work_commands import (
    LogEvent,
    ReportSecondRun,
    StopRun,
    StopUnknownRun,
)
from sassafrasgrade.work_tables import (
    MS_PER_S,
    EndedIncarnation,
    Run,
    RunState,
    SaveReport,
    Task,
    UnclaimedRow,
    Worker,
    WorkState,
    WorkTables,
    add_run,
    is_startable,
    known_tasks,
    remove_run,
    step_row_of,
)

# Percent at which a perpetual task is at work (published protocol).
AT_WORK_PERCENT = 100
# Half-life of a worker's counts of failures and successful runs, in seconds.
OUTCOME_HALF_LIFE_S = 5.0
# Time for which the registration of a worker incarnation may stay listed after its
# end, in seconds: three heartbeats and the delay until a watch reports the change.
STALE_REGISTRATION_S = 6.0
# Longest time for which a worker holds a poll, also one that it received before it
# saw a newer leader's token, in milliseconds (published limit).
LONGEST_WAIT_MS = 2000.0
# Maximum number of ends in one list of a worker (published limit): the end of a run
# that is not listed as running may be on the next page.
MAX_LISTED_ENDS = 500
# States of runs whose start got no answer, if it was sent.
UNANSWERED_STATES = frozenset({RunState.STARTING, RunState.UNCERTAIN})
# Time after which an order without an answer is not carried out any more, in
# milliseconds; the platform speaks of seconds.
LATEST_ORDER_MS = 20_000.0
# Tolerance on clock readings that were sent over the network, in milliseconds.
CLOCK_TOLERANCE_MS = 50.0
# Time after which a start order is void, in ms: long enough for a slow link, and
# short enough that a late order cannot start a task that is already settled.
START_VALID_MS = 1500.0


def apply_view(tables: WorkTables, worker: Worker, view: WorkerView, sent_at, now):
    """Updates the tables from a worker's lists of running and ended runs.

    Args:
        tables: The tables.
        worker: The worker that answered.
        view: Its lists.
        sent_at: Clock when the call was sent, in seconds.
        now: Current clock in seconds.

    Returns:
        Commands.
    """
    if sent_at >= worker.doubted_at:
        worker.doubted_at = 0.0
    if view.clock_ms < worker.view_clock_ms:
        # Answers on different connections may arrive out of order.
        return []
    is_first_view, worker.has_shown_runs = not worker.has_shown_runs, True
    if is_first_view:
        worker.first_view_clock_ms = worker.view_clock_ms = view.clock_ms
        if tables.epoch > 1:
            assume_longest_lease(tables, worker, now)
    commands = _apply_ends(tables, worker, view, now)
    worker.view_clock_ms = view.clock_ms
    commands += _apply_running_rows(tables, worker, view, now)
    commands += _drop_unclaimed_ends(tables, worker)
    _forget_absent(tables, worker, view, sent_at, now)
    if is_first_view:
        commands.append(_describe_first_view(worker, view))
    return commands


def _apply_ends(tables, worker, view, now):
    """Applies the ends that are listed for the first time."""
    commands = []
    # How long before the previous list the worker had first listed its runs.
    shown_ms = worker.view_clock_ms - worker.first_view_clock_ms
    for row in view.ended:
        if row.number <= worker.seen_end:
            continue
        worker.seen_end = row.number
        if _may_be_of_new_job(tables, row, now):
            worker.unclaimed_ends[row.number] = UnclaimedRow(row, now)
            continue
        task = find_task(tables, row.task)
        was_open = task is not None and not task.is_done
        commands += _apply_end(tables, worker, row, now)
        if was_open and task.is_done and shown_ms >= LONGEST_WAIT_MS:
            _release_following(task)
    return commands


def _apply_running_rows(tables, worker, view, now):
    """Applies the list of running tasks; keeps rows of jobs that are not known yet."""
    commands = []
    unclaimed, worker.unclaimed_runs = worker.unclaimed_runs, {}
    worker.unknown_runs = {}
    for row in view.running:
        key = (row.task, row.run)
        seen_at = unclaimed[key].seen_at if key in unclaimed else now
        if _may_be_of_new_job(tables, row, seen_at):
            worker.unclaimed_runs[key] = UnclaimedRow(row, seen_at)
            assume_longest_lease(tables, worker, now)
        else:
            commands += _apply_running(tables, worker, row, now)
    return commands


def _forget_absent(tables, worker, view, sent_at, now):
    """Forgets runs that are surely over, since a list does not contain them."""
    if len(view.ended) >= MAX_LISTED_ENDS:
        return
    listed = {(row.task, row.run) for row in view.running}
    for key, run in list(worker.runs_by_key.items()):
        if key not in listed and _is_surely_absent(run, view.clock_ms, sent_at):
            forget_run(tables, run, EndProof(ProofKind.ABSENT, sent_at), now)


def _may_be_of_new_job(tables, row, seen_at):
    """Whether the job of a row may be stored but not be in the tables yet.

    A job is stored before its tasks start: a read of the jobs that began after the
    row was listed decides.
    """
    is_known = job_id_of(row.task) in tables.jobs_by_id
    return not is_known and tables.jobs_complete_at <= seen_at


def _drop_unclaimed_ends(tables, worker):
    """Drops ends of jobs that do not exist any more, so that they are discarded."""
    commands = []
    for number, unclaimed in list(worker.unclaimed_ends.items()):
        if not _may_be_of_new_job(tables, unclaimed.row, unclaimed.seen_at):
            del worker.unclaimed_ends[number]
            row = unclaimed.row
            fields = {"task": row.task, "run": row.run, "worker": worker.worker_id}
            fields["how"] = str(row.how)
            commands.append(LogEvent("end-of-unknown-task", fields))
    return commands


def claim_rows(tables, job, now):
    """Applies the rows of workers' lists that had come before their job was known.

    Args:
        tables: The tables.
        job: The job that was added.
        now: Current clock in seconds.

    Returns:
        Commands.
    """
    commands = []
    for worker in tables.workers_by_id.values():
        for number, unclaimed in sorted(worker.unclaimed_ends.items()):
            if job_id_of(unclaimed.row.task) == job.job_id:
                del worker.unclaimed_ends[number]
                commands += _apply_end(tables, worker, unclaimed.row, now)
        for key, unclaimed in list(worker.unclaimed_runs.items()):
            if job_id_of(unclaimed.row.task) == job.job_id:
                del worker.unclaimed_runs[key]
                commands += _apply_running(tables, worker, unclaimed.row, now)
    return commands


def _describe_first_view(worker, view):
    """Logs what a worker runs when a leader first hears from it."""
    fields = {
        "worker": worker.worker_id,
        "born": worker.born_ms,
        "runs": [f"{row.task}#{row.run}" for row in view.running],
        "ends": len(view.ended),
    }
    return LogEvent("worker-reported", fields)


def _is_surely_absent(run, clock_ms, sent_at):
    """Whether a run that was not listed can no longer appear."""
    if run.stop_answered_at:
        return run.stop_answered_at < sent_at
    if run.state in (RunState.RUNNING, RunState.STOPPING):
        return run.answered_at < sent_at
    if run.state is RunState.UNCERTAIN:
        return clock_ms > run.deadline_ms + CLOCK_TOLERANCE_MS
    return False


def forget_run(tables, run: Run, proof: EndProof, now):
    """Removes a run that has certainly ended; its task may start again."""
    worker = tables.workers_by_id.get(run.worker_id)
    log_forgotten_run(run, worker, proof, now)
    remove_run(worker, run)
    if not run.task.runs_by_number:
        run.task.waiting_since = now


def _apply_running(tables, worker, row, now):
    run = worker.runs_by_key.get((row.task, row.run))
    if run is None:
        return _adopt_run(tables, worker, row, now)
    commands = []
    run.is_lease_known = not worker.accepts_earlier_calls
    if run.state in UNANSWERED_STATES:
        commands.append(_describe_found(worker, run, now))
        run.state = RunState.RUNNING
        run.answered_at = now
        record_start(tables, run.task.job)
    _record_progress(run, row, now)
    return commands


def _describe_found(worker, run, now):
    """Logs that a worker runs what no answer to a start has said."""
    fields = {
        "job": run.task.job.job_id,
        "task": run.task.name,
        "run": run.number,
        "worker": worker.worker_id,
        "born": worker.born_ms,
    }
    if run.sent_at:
        fields["sent_to_born"] = run.sent_to_born_ms
        fields["order_age_ms"] = round((now - run.sent_at) * MS_PER_S)
    return LogEvent("run-found", fields)


def _record_progress(run, row, now):
    _record_saved(run.task, run, row, SaveReport.LISTED, row.percent)
    if not run.watched_at or row.percent < run.percent:
        # It may have begun long before, or anew on another incarnation of its worker.
        run.watched_at, run.watched_percent = now, row.percent
        run.changed_at = now
    elif row.percent > run.percent:
        run.changed_at = now
    run.percent = row.percent
    run.load_metric = row.load_metric
    if row.percent >= AT_WORK_PERCENT and not run.at_work_at:
        run.at_work_at = now


def _record_saved(task, run, row, report, percent=0.0):
    """Records the saved value of a row, unless one that goes further is known.

    A run that reports what it was started with, or has reported before, says nothing
    new. Copies run beside each other, so that numbers say nothing: the last report of
    any counts.

    Args:
        task: The task.
        run: Its ``Run``, or None if it is not in the tables.
        row: ``RunningRow`` or ``EndedRow``.
        report: ``SaveReport``.
        percent: Progress of the run; 0 for ends.
    """
    if not row.saved or (run is not None and run.saved == row.saved):
        return
    if run is not None:
        run.saved = row.saved
    may_have_copies = task.step.is_speculative and not task.step.is_gang
    if may_have_copies or not task.saved.is_beyond(row.run, report, percent):
        task.saved.replace(row.saved, row.run, report, percent)


def _adopt_run(tables, worker, row, now):
    """Adds a run that was started under an earlier leadership.

    One of no task in the tables, whose job was cancelled, say, only takes room.
    """
    task = find_task(tables, row.task)
    if task is None:
        worker.unknown_runs[(row.task, row.run)] = find_step(tables, row.task)
        return [StopUnknownRun(worker.worker_id, row.task, row.run)]
    run = Run(
        task,
        row.run,
        worker.worker_id,
        RunState.RUNNING,
        now,
        answered_at=now,
        lasted_before_s=math.inf,
        is_lease_known=not worker.accepts_earlier_calls,
    )
    commands = []
    others = tuple(task.runs_by_number.values())
    _note_outcome(task)
    add_run(worker, run)
    task.last_number = max(task.last_number, row.run)
    assume_longest_lease(tables, worker, now)
    commands.append(_describe_found(worker, run, now))
    _record_progress(run, row, now)
    if task.is_done or not task.job.is_open:
        # It takes room until it has ended.
        return [*commands, StopRun(run, "no longer wanted")]
    record_start(tables, task.job)
    if others and not task.step.is_speculative:
        commands.append(ReportSecondRun(run, others))
        commands += _stop_all_but_one(tables, (run, *others))
    return commands


def _note_outcome(task):
    """Notes that the outcome of a start under an earlier leader is known."""
    task.unrecorded_starts = max(0, task.unrecorded_starts - 1)


def _stop_all_but_one(tables, runs):
    """Returns commands that stop all runs of a task but the most advanced.

    Runs on workers that do not answer come last: their leases end by themselves.
    """

    def rank(run):
        worker = tables.workers_by_id.get(run.worker_id)
        is_answering = worker is not None and not worker.unresponsive_since
        return (is_answering, run.state is RunState.RUNNING, run.percent, -run.number)

    kept = max(runs, key=rank)
    return [StopRun(run, "second run of the task") for run in runs if run is not kept]


def record_answered_start(run, clock_ms, now):
    """Records that a start was answered.

    Args:
        run: The run.
        clock_ms: The answering worker's clock; 0 if it was not sent. If it is behind
            the one that the deadline was set by, a later incarnation has answered.
        now: Current clock in seconds.
    """
    run.answered_at = now
    if not run.watched_at and not run.saved:
        # With a saved value it begins at a percentage that only a list shows.
        run.watched_at = now
    least_ms = run.deadline_ms - START_VALID_MS - CLOCK_TOLERANCE_MS
    if clock_ms and clock_ms >= least_ms:
        run.is_lease_known = True


def lapse_of(worker, run):
    """Returns the clock at which a run has lapsed if its worker stays silent."""
    if run.is_lease_known:
        return worker.lease_until
    longest_until = worker.longest_lease_until
    if worker.accepts_earlier_calls:
        longest_until += LATEST_ORDER_MS / MS_PER_S
    return max(worker.lease_until, longest_until)


def assume_longest_lease(tables, worker, now):
    """Records that a worker may hold the longest lease, given by an earlier leader.

    It applies to all that runs there, also to what this leader starts.
    """
    lapses_at = now + tables.longest_lease_s * CLOCK_DRIFT
    worker.lease_until = max(worker.lease_until, lapses_at)


def adopt_handed_over_runs(tables, handed_over_runs, now):
    """Adds the runs that the previous leader handed over.

    Args:
        tables: Tables with jobs and workers loaded.
        handed_over_runs: ``HandedOverRun`` values.
        now: Current clock in seconds.

    Returns:
        Commands that stop the runs of jobs that ended or were cancelled meanwhile:
        the worker's list shows them as known, so that nothing else would.
    """
    commands = []
    for handed_run in handed_over_runs:
        task = find_task(tables, handed_run.task)
        if task is None or task.is_done:
            continue
        worker = tables.workers_by_id.get(handed_run.worker_id)
        lapses_at = now + handed_run.lease_left_s
        if worker is None:
            task.blocked_until = max(task.blocked_until, lapses_at)
            continue
        run = Run(
            task,
            handed_run.number,
            handed_run.worker_id,
            RunState.RUNNING,
            now,
            answered_at=now,
            changed_at=now,
            lasted_before_s=(
                math.inf if handed_run.lasted_s is None else handed_run.lasted_s
            ),
        )
        worker.lease_until = max(worker.lease_until, lapses_at)
        add_run(worker, run)
        task.last_number = max(task.last_number, run.number)
        if task.job.is_open:
            record_start(tables, task.job)
        else:
            commands.append(StopRun(run, "job is no longer open"))
    return commands


def runs_to_hand_over(tables, now):
    """Returns ``HandedOverRun`` values of all runs that may exist, for a successor.

    Tasks blocked by possible runs on unlisted workers are included, with an empty
    worker id, since the leases of such runs may outlive several leaders.
    """
    runs = [
        HandedOverRun(
            run.task.name,
            run.number,
            worker.worker_id,
            max(0.0, lapse_of(worker, run) - now),
            _lasted_s_to_hand_over(worker, run),
        )
        for worker in tables.workers_by_id.values()
        for run in worker.runs_by_key.values()
    ]
    blocked = [
        HandedOverRun(task.name, task.last_number, "", task.blocked_until - now)
        for job in tables.jobs_by_id.values()
        for task in known_tasks(job)
        if now < task.blocked_until
    ]
    return tuple(runs + blocked)


def _lasted_s_to_hand_over(worker, run):
    """Returns for how long a run had lasted, or None if that is not known.

    A successor is not told of starts without an answer, nor of confirmed stops: such
    a run is cause for no suspicion if its worker crashes.
    """
    if not run.answered_at or run.stop_answered_at:
        return None
    lasted_s = lasted_s_of(worker, run)
    return lasted_s if math.isfinite(lasted_s) else None


def lasted_s_of(worker, run):
    """Returns for how long a run had lasted at its worker's last answer, in seconds."""
    return run.lasted_before_s + max(0.0, worker.last_answer_at - run.started_at)


def record_start(tables, job):
    """Records that a task of a job has begun, as its worker says."""
    if not job.has_started:
        job.has_started = True
        if job.state is WorkState.QUEUED:
            job.state = WorkState.RUNNING
        tables.mark_dirty(job)


def _apply_end(tables, worker, row, now):
    task = find_task(tables, row.task)
    run = worker.runs_by_key.get((row.task, row.run))
    if run is not None:
        forget_run(tables, run, EndProof(ProofKind.END_LISTED, now), now)
    if task is None:
        return []
    if run is None:
        _note_outcome(task)
    record_start(tables, task.job)
    is_stopped = row.how is RunEnd.STOPPED
    report = SaveReport.STOPPED if is_stopped else SaveReport.ENDED
    _record_saved(task, run, row, report)
    fields = {
        "job": task.job.job_id,
        "task": row.task,
        "run": row.run,
        "worker": worker.worker_id,
        "how": str(row.how),
        "number": row.number,
    }
    if run is not None:
        fields["ran_ms"] = round((now - run.started_at) * MS_PER_S)
    commands = [LogEvent("run-ended", fields)]
    if row.how is RunEnd.DONE and not task.step.is_perpetual:
        worker.successes += 1
        commands += finish_task(tables, task, now)
    elif row.how is RunEnd.FAILED:
        commands += _fail_task(tables, worker, task, row.run, now)
    return commands


def _release_following(task):
    """Releases the tasks of steps that have become startable by the end of a task.

    Its worker had shown its runs to this leader ``LONGEST_WAIT_MS`` before the list
    that precedes the end. No poll of an earlier leader can have been waiting there any
    more, so that none of them knows of the end, nor has started a later step.
    Load pattern: the leader is cut off together with some workers, while jobs of
    several steps run on all others.
    """
    steps = task.job.occurrences[task.occurrence].steps
    row = steps[task.step_number]
    if row.left or row.step.is_gang or row.step.is_speculative:
        # Another run of a gang or of copies may have ended elsewhere, and have told it.
        return
    for following in steps:
        is_next = task.step_number in following.step.after
        if is_next and not any(steps[n].left for n in following.step.after):
            following.release()


def finish_task(tables, task: Task, now):
    """Marks a task done; a gang is done as soon as one of its members is."""
    row = step_row_of(task)
    members = row.tasks if row.step.is_gang else [task]
    commands = []
    for member in members:
        if member.is_done:
            continue
        row.mark_done(member.index)
        commands += [
            StopRun(run, "another run finished")
            for run in member.runs_by_number.values()
            if run.state is not RunState.STOPPING and not row.step.is_gang
        ]
    tables.mark_dirty(task.job)
    occurrence = task.job.occurrences[task.occurrence]
    if occurrence.is_done:
        task.job.done_occurrences.add(occurrence.number)
        if len(task.job.done_occurrences) == task.job.occurrence_count:
            end_job(tables, task.job, WorkState.COMPLETED)
    else:
        note_startable_steps(occurrence, now)
    return commands


def note_startable_steps(occurrence, now):
    """Notes since when the tasks of steps wait that have become startable."""
    for row in occurrence.steps:
        if not row.startable_since and is_startable(occurrence, row):
            row.startable_since = now


def _fail_task(tables, worker, task, number, now):
    worker.failures += 1
    task.avoided_workers.add(worker.worker_id)
    if task.step.is_perpetual:
        # It starts again at once; its worker is avoided while another has room.
        return []
    row = step_row_of(task)
    members = row.tasks if row.step.is_gang else [task]
    for member in members:
        member.failed_numbers.add(number)
    tables.mark_dirty(task.job)
    return _end_if_task_exhausted(tables, task)


def _end_if_task_exhausted(tables, task):
    """Ends a job as failed once a task has used up its attempts.

    While nothing is known of the job's queue, it stays open, and nothing of it starts.
    """
    queue = tables.queue_of(task.job)
    failures = len(task.failed_numbers)
    if queue is None or failures < queue.most_attempts:
        return []
    if task.is_done or not task.job.is_open:
        return []
    end_job(tables, task.job, WorkState.FAILED)
    event = LogEvent(
        "job-failed",
        {"job": task.job.job_id, "task": task.name, "failures": failures},
    )
    return [event, *stop_job_runs(task.job, "job failed")]


def end_if_exhausted(tables, job):
    """Ends a job, whose queue has become known, as failed if a task may not run again.

    Returns:
        Commands.
    """
    return [
        command
        for task in known_tasks(job)
        if task.failed_numbers
        for command in _end_if_task_exhausted(tables, task)
    ]


def end_job(tables, job, state):
    """Ends a job; callers see the new state once it is stored."""
    if job.pending_state is None and job.is_open:
        job.pending_state = state
        tables.open_jobs_by_id.pop(job.job_id, None)
        tables.mark_dirty(job)


def stop_job_runs(job, reason):
    """Returns commands that stop all runs of a job."""
    return [
        StopRun(run, reason)
        for occurrence in job.occurrences.values()
        for row in occurrence.steps
        for index in sorted(row.running)
        for run in row.tasks[index].runs_by_number.values()
    ]


def cancel_job(tables, job):
    """Cancels a job whose cancellation is stored; returns the commands for it."""
    if job.state is WorkState.CANCELLED or not job.is_open:
        return []
    job.state = WorkState.CANCELLED
    tables.open_jobs_by_id.pop(job.job_id, None)
    event = LogEvent("job-cancelled", {"job": job.job_id})
    return [event, *stop_job_runs(job, "job cancelled")]


def remove_worker(tables, worker, proof, now, has_ended=True):
    """Removes a worker whose runs have certainly ended.

    Args:
        tables: The tables.
        worker: The worker.
        proof: ``EndProof`` of its runs.
        now: Current clock in seconds.
        has_ended: Whether this incarnation has ended and cannot come back.
    """
    for run in list(worker.runs_by_key.values()):
        forget_run(tables, run, proof, now)
    tables.workers_by_id.pop(worker.worker_id, None)
    tables.removed_at_by_worker[worker.worker_id] = now
    if has_ended:
        incarnation = EndedIncarnation(worker.born_ms, now + STALE_REGISTRATION_S)
        tables.ended_by_worker[worker.worker_id] = incarnation


def forget_removed(tables, now):
    """Forgets removed workers that no late call can reach any more."""
    for worker_id, removed_at in list(tables.removed_at_by_worker.items()):
        if now - removed_at > LATEST_ORDER_MS / MS_PER_S:
            del tables.removed_at_by_worker[worker_id]


def restart_worker(tables, worker, view, now):
    """Resets the state of a worker that came back under the same id.

    Its next lists decide on its runs: starts are not addressed to one incarnation, so
    that this one may have answered some of them. One without an answer may still be
    carried out: this incarnation has seen no token and no stop, and the order's
    deadline is of another clock. It is stopped here, too, or waited for until no order
    can arrive any more. One that was not sent yet was placed by the capacity and labels
    of the earlier incarnation, and is forgotten.

    Args:
        tables: The tables.
        worker: The worker.
        view: ``WorkerView`` of the new incarnation.
        now: Current clock in seconds.

    Returns:
        Commands.
    """
    unanswered = [r for r in worker.runs_by_key.values() if is_unanswered(r)]
    commands = [_describe_restart(worker, view, unanswered)]
    for run in list(worker.runs_by_key.values()):
        if run.state is RunState.STARTING and not run.deadline_ms:
            forget_run(tables, run, EndProof(ProofKind.START_NOT_SENT, now), now)
            continue
        if run in unanswered:
            run.state = RunState.UNCERTAIN
            run.deadline_ms = view.clock_ms + LATEST_ORDER_MS
            commands.append(StopRun(run, "worker restarted before a start's answer"))
        run.stop_answered_at = 0.0
        run.watched_at = 0.0
        run.changed_at = now
        run.is_lease_known = False
    tables.tickets.forget_worker(worker.worker_id)
    worker.earlier_births.add(worker.born_ms)
    worker.born_ms = view.born_ms
    worker.seen_end = worker.stored_end = worker.discarded_end = 0
    worker.unclaimed_runs, worker.unclaimed_ends = {}, {}
    worker.unknown_runs = {}
    worker.view_clock_ms = 0.0
    worker.clock_offset_ms = None
    worker.has_seen_token = worker.has_shown_runs = False
    worker.failures = worker.successes = 0.0
    # Calls by the clock of the earlier incarnation may have reached, or yet reach, it.
    assume_longest_lease(tables, worker, now)
    worker.lease_until = max(worker.lease_until, worker.longest_lease_until)
    worker.is_crash_recorded = False
    return commands


def is_unanswered(run):
    """Whether the start of a run was sent and got no answer."""
    return bool(run.deadline_ms) and run.state in UNANSWERED_STATES


def _describe_restart(worker, view, unanswered):
    fields = {
        "worker": worker.worker_id,
        "born": view.born_ms,
        "earlier_born": worker.born_ms,
        "runs": len(worker.runs_by_key),
        "unanswered": [f"{run.task.name}#{run.number}" for run in unanswered],
    }
    return LogEvent("worker-restarted", fields)


def has_incarnation_ended(worker, fleet):
    """Whether the list of hosts shows that a worker's incarnation has ended.

    A move or maintenance of the host ends its worker, whose registration stays
    listed until its heartbeats are missed.
    """
    host = fleet.hosts_by_name.get(worker.host)
    if host is None:
        return False
    return (
        host.state in ENDING_STATES
        or host.pool != worker.pool
        or host.worker_id not in ("", worker.worker_id)
    )


def unreported_workers(tables, fleet, earlier_rows=()):
    """Returns workers that have not reported their runs to this leader.

    A worker that is cut off from the store may be missing from the list of workers
    but still run; it is found through the list of hosts.

    Args:
        tables: The tables.
        fleet: ``FleetHosts``.
        earlier_rows: ``Worker`` rows that have been in the tables since the takeover;
            the removal of a row says nothing of its worker's runs.

    Returns:
        Pool names by worker id, or None before the hosts are known.
    """
    if not fleet.listed_at:
        return None
    unreported = {
        worker.worker_id: worker.pool
        for worker in (*earlier_rows, *tables.workers_by_id.values())
        if not worker.has_seen_token
        and not has_incarnation_ended(worker, fleet)
        and not has_later_worker(tables, worker)
    }
    for host in fleet.hosts_by_name.values():
        if host.worker_id and host.state not in ENDING_STATES:
            if host.worker_id not in tables.workers_by_id:
                unreported[host.worker_id] = host.pool
    return unreported


def is_later(born_ms, other_born_ms):
    """Whether an incarnation surely started after another."""
    return None not in (born_ms, other_born_ms) and born_ms > other_born_ms


def has_later_worker(tables, worker):
    """Whether a later worker of the same host has answered this leader."""
    return bool(worker.host) and any(
        other.host == worker.host
        and other.has_seen_token
        and is_later(other.born_ms, worker.born_ms)
        for other in tables.workers_by_id.values()
    )


def decay_outcome_counts(tables, elapsed_s):
    """Decays workers' counts of failures and successful runs."""
    factor = 0.5 ** (elapsed_s / OUTCOME_HALF_LIFE_S)
    for worker in tables.workers_by_id.values():
        worker.failures *= factor
        worker.successes *= factor


def expire_leases(tables, leader_until, on_lapse=lambda worker: None):
    """Removes runs on unresponsive workers that have certainly lapsed.

    Args:
        tables: The tables.
        leader_until: Last clock at which this node was certainly the leader. After
            that, another leader may have renewed the leases of workers that it
            reaches.
        on_lapse: Called with each such worker before runs of it are removed.
    """
    commands = []
    for worker in tables.workers_by_id.values():
        if not worker.has_runs or leader_until < worker.lease_until:
            continue
        if worker.unresponsive_since == 0:
            continue
        runs = worker.runs_by_key.values()
        lapsed = [run for run in runs if leader_until >= lapse_of(worker, run)]
        if not lapsed and not worker.unclaimed_runs:
            continue
        worker.unclaimed_runs.clear()
        on_lapse(worker)
        for run in lapsed:
            # A start order in flight is void by now: its deadline has passed, or its
            # connection was reset.
            proof = EndProof(ProofKind.LEASE_LAPSED, lapse_of(worker, run))
            forget_run(tables, run, proof, leader_until)
        fields = {
            "worker": worker.worker_id,
            "runs": len(lapsed),
            "left": len(worker.runs_by_key),
        }
        commands.append(LogEvent("worker-lapsed", fields))
    return commands
