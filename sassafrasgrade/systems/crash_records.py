"""Finds tasks that crash the workers that start them, and gives them up.

A worker that crashes has usually several tasks. Those that had just started are
suspects: each starts again on a worker of its own, which is asked in short intervals
whether it is still up. Crashes that come at once with such a start soon convict the
task; others may have any cause, and convict it only by their number. A convicted task
is given up: its job ends as failed, unless other lasting tasks of it can run on. A
start without an answer makes its task a suspect, but proves nothing: the worker may
have crashed before. Starts that a lost leader may have sent count as crashes.

Load pattern: one task in some dozens crashes every worker that starts it, while the
other tasks of these workers are innocent.
"""

import math
from dataclasses import dataclass

from sassafrasgrade.systems.run_updates import end_job, lasted_s_of, stop_job_runs
from sassafrasgrade.work_commands import AskWorker, LogEvent
from sassafrasgrade.work_tables import Crash, CrashedTask, WorkState, is_startable

# A run that lasted for longer is not held responsible for a crash, in seconds.
RESPONSIBLE_S = 5.0
# A run that started at most this long before its worker's last answer is a likely
# cause of a crash, in seconds.
LIKELY_S = 1.0
# A crash is prompt if the worker was last known to be up at most this long after it had
# answered the start, in seconds. A crashing task takes milliseconds.
PROMPT_S = 0.25
# Hosts on which prompt crashes, while nothing else ran there, are conclusive.
MIN_CONCLUSIVE_HOSTS = 2
# Crashes, with starts of unknown outcome, that convict a task: if they are conclusive,
# if any was prompt, and if none was. The published limit allows two starts after the
# third crash.
CONVICTING_CRASHES = 3
CONVICTING_CRASHES_WITH_PROMPT = 4
CONVICTING_CRASHES_IN_ANY_CASE = 5
# Crashes under runs that had certainly begun, without which no others convict, if any
# was prompt and if none was.
MIN_PROVEN_CRASHES_WITH_PROMPT = 2
MIN_PROVEN_CRASHES = 3
# Crashes, and how many of them under runs that had certainly begun, after which a task
# is not copied while it is not known whether one more worker has crashed under it.
HOLDING_CRASHES = 3
MIN_PROVEN_HOLDING_CRASHES = 2
# Time that a suspect waits for a worker of its own, in seconds; after that it shares
# the one with the fewest runs.
MAX_ISOLATION_WAIT_S = 2.0


@dataclass(frozen=True)
class NextLife:
    """What is known of the next incarnation of a worker that has crashed.

    Starts are not addressed to one incarnation: what the next one lists began there,
    and a start that was answered after the next one was called may be one of its own.

    Attributes:
        listed: Runs, by (task name, number), that it listed in its first answer.
        called_at: Clock when the call was sent that it answered.
    """

    listed: frozenset[tuple[str, int]] = frozenset()
    called_at: float = math.inf


UNKNOWN_LIFE = NextLife()


def suspects_of(worker, max_age_s=RESPONSIBLE_S, next_life=UNKNOWN_LIFE):
    """Returns the ``CrashedTask`` values if a worker crashed after its last answer.

    Runs count whose start was sent and whose stop the worker has not confirmed.

    Args:
        worker: The worker.
        max_age_s: Longest time from a run's start to the worker's last answer.
        next_life: ``NextLife`` under the same id.
    """
    runs = [
        run
        for key, run in worker.runs_by_key.items()
        if (run.answered_at or run.deadline_ms)
        and not run.stop_answered_at
        and key not in next_life.listed
    ]
    was_alone = len(runs) == 1 or _are_members_of_one_gang(runs)
    suspects = []
    for run in runs:
        age_s = lasted_s_of(worker, run)
        if age_s <= max_age_s:
            is_proven = 0 < run.answered_at < next_life.called_at
            is_prompt = run.is_isolated and not outlived_start(worker, run)
            crash = Crash(
                worker.host or worker.address,
                was_alone,
                was_alone or age_s <= LIKELY_S,
                is_proven,
                was_prompt=is_proven and is_prompt,
            )
            suspects.append(CrashedTask(run.task, run.number, worker.worker_id, crash))
    return tuple(suspects)


def _are_members_of_one_gang(runs):
    steps = {(r.task.job, r.task.occurrence, r.task.step_number) for r in runs}
    return len(steps) == 1 and runs[0].task.step.is_gang


def record_crash(tables, worker, next_life=UNKNOWN_LIFE):
    """Records that a worker has crashed, before its runs are forgotten.

    A worker that drains or whose host is about to be ordered ends as planned.

    Args:
        tables: The tables.
        worker: The worker.
        next_life: ``NextLife`` under the same id.
    """
    if worker.is_draining or worker.is_reserved or worker.is_crash_recorded:
        return
    worker.is_crash_recorded = True
    for crashed in _with_lapsed(worker, suspects_of(worker, next_life=next_life)):
        if crashed.key in next_life.listed:
            continue
        task = crashed.task
        if not task.is_done and task.job.is_open:
            task.crashes = (*task.crashes, crashed.crash)
            tables.crashed_tasks.append(crashed)
            tables.mark_dirty(task.job)
    worker.lapsed_suspects = ()


def record_restart(tables, worker, view, sent_at):
    """Records the crash of an incarnation as the next one answers under its id.

    Args:
        tables: The tables.
        worker: The worker.
        view: ``WorkerView`` of the next incarnation.
        sent_at: Clock when the call was sent that it answered, in seconds.
    """
    rows = (*view.running, *view.ended)
    listed = frozenset((row.task, row.run) for row in rows)
    record_crash(tables, worker, NextLife(listed, sent_at))


def note_lapse(worker):
    """Keeps the suspects of a worker whose runs lapse, until its fate is known."""
    worker.lapsed_suspects = _with_lapsed(worker, suspects_of(worker))


def _with_lapsed(worker, suspects):
    """Returns a worker's lapsed suspects, and those of further tasks.

    Runs of one worker may lapse at different times; the first lapse names all suspects.
    """
    named = {crashed.key for crashed in worker.lapsed_suspects}
    others = [crashed for crashed in suspects if crashed.key not in named]
    return (*worker.lapsed_suspects, *others)


def settle_crashes(tables):
    """Logs recorded crashes and gives convicted tasks up.

    Returns:
        Commands.
    """
    crashed_tasks, tables.crashed_tasks = tables.crashed_tasks, []
    loaded, tables.loaded_suspects = tables.loaded_suspects, []
    commands = [_describe_crash(crashed) for crashed in crashed_tasks]
    tasks = [crashed.task for crashed in crashed_tasks]
    for task in loaded:
        # A worker that has not reported may still run it, or list how its run ended.
        waits = tables.may_be_reported(task)
        (tables.loaded_suspects if waits else tasks).append(task)
    for task in dict.fromkeys(tasks):
        if task.job.is_open and is_convicted(task):
            commands += _give_up(tables, task)
    return commands


def count_unrecorded_starts(tables, is_handed_over, now):
    """Counts the starts of loaded tasks that the last leader may have lost.

    It recorded no crash after such a start. One that handed over knew its runs; those
    on workers that are not known to this leader have crashed.

    Args:
        tables: Tables with jobs, workers and handed-over runs loaded.
        is_handed_over: Whether the last leader handed over all that it knew.
        now: Current clock in seconds.
    """
    for row in _rows_due(tables):
        if not is_handed_over:
            row.unrecorded_starts += 1
        for task in row.tasks.known():
            may_have_started = not is_handed_over or now < task.blocked_until
            if task.is_done or task.runs_by_number or not may_have_started:
                continue
            task.unrecorded_starts += 1
            if task.crashes:
                # Others are stored with the next change: a takeover writes little.
                tables.mark_dirty(task.job)


def _rows_due(tables):
    """Yields the steps of started jobs that an earlier leader may have started."""
    for job in tables.open_jobs_by_id.values():
        for occurrence in job.occurrences.values() if job.has_started else ():
            for row in occurrence.steps:
                if is_startable(occurrence, row):
                    yield row


def _describe_crash(crashed):
    task, crash = crashed.task, crashed.crash
    fields = {
        "job": task.job.job_id,
        "task": task.name,
        "worker": crashed.worker_id,
        "crashes": len(task.crashes),
        "alone": crash.was_alone,
        "likely": crash.was_likely,
        "proven": crash.is_proven,
        "prompt": crash.was_prompt,
    }
    return LogEvent("worker-crashed-under-task", fields)


def _give_up(tables, task):
    """Gives a task up, and its job unless other lasting tasks of it can run on."""
    job = task.job
    fields = {
        "job": job.job_id,
        "task": task.name,
        "reason": "the task crashes its workers",
        "hosts": sorted({crash.host for crash in task.crashes}),
    }
    if task.step.is_perpetual and not task.step.is_gang and _has_sound_tasks(job):
        return [LogEvent("task-given-up", fields)]
    end_job(tables, job, WorkState.FAILED)
    return [LogEvent("job-failed", fields), *stop_job_runs(job, "job failed")]


def _has_sound_tasks(job):
    return any(
        len(row.tasks.known()) < len(row.tasks)
        or not all(is_convicted(task) for task in row.tasks.known())
        for occurrence in job.occurrences.values()
        for row in occurrence.steps
        if row.step.is_perpetual
    )


def clear_outlived(tables):
    """Clears the suspicion of tasks of which a run has lasted long enough.

    Returns:
        Commands.
    """
    commands = []
    for worker in tables.workers_by_id.values():
        for run in worker.runs_by_key.values():
            task = run.task
            if not (run.answered_at and task.crashes):
                continue
            if has_outlived_suspicion(worker, run):
                fields = {"task": task.name, "crashes": len(task.crashes)}
                commands.append(LogEvent("task-cleared-of-crashes", fields))
                task.crashes, task.unrecorded_starts = (), 0
                tables.mark_dirty(task.job)
    return commands


def watch_suspects(tables):
    """Asks the workers of suspect tasks that have just started whether they are up.

    Returns:
        Commands.
    """
    return [
        AskWorker(worker.worker_id)
        for worker in tables.workers_by_id.values()
        if not worker.unresponsive_since
        and any(
            run.is_isolated and run.answered_at and not outlived_start(worker, run)
            for run in worker.runs_by_key.values()
        )
    ]


def outlived_start(worker, run):
    """Whether a worker was up for a while after it had answered the start of a run."""
    up_s = max(0.0, worker.last_answered_call_at - run.answered_at)
    return run.lasted_before_s + up_s > PROMPT_S


def is_convicted(task):
    """Whether a task has crashed so many workers that it is given up."""
    crashes = task.crashes
    if task.step.is_perpetual:
        # It is present at many crashes that other causes have.
        crashes = [crash for crash in crashes if crash.was_alone or crash.was_prompt]
    count = len(crashes) + task.unrecorded_starts
    prompt = [crash for crash in crashes if crash.was_prompt]
    if len({crash.host for crash in prompt if crash.was_alone}) >= MIN_CONCLUSIVE_HOSTS:
        return count >= CONVICTING_CRASHES
    needed, min_proven = CONVICTING_CRASHES_IN_ANY_CASE, MIN_PROVEN_CRASHES
    if prompt:
        needed = CONVICTING_CRASHES_WITH_PROMPT
        min_proven = MIN_PROVEN_CRASHES_WITH_PROMPT
    return count >= needed and count_proven(crashes) >= min_proven


def count_proven(crashes):
    """Counts the crashes of workers on which the task had certainly begun."""
    return sum(crash.is_proven for crash in crashes)


def silent_crashes(tables, task, max_age_s):
    """Returns the ``Crash`` values of a task if all its silent workers crashed.

    Args:
        tables: The tables.
        task: The task.
        max_age_s: Longest time from a run's start to the worker's last answer.
    """
    worker_ids = {run.worker_id for run in task.runs_by_number.values()}
    workers = [tables.workers_by_id.get(worker_id) for worker_id in worker_ids]
    return [
        suspect.crash
        for worker in workers
        if worker is not None and worker.unresponsive_since
        for suspect in suspects_of(worker, max_age_s)
        if suspect.task is task
    ]


def needs_isolation(tables, task):
    """Whether a task is suspect, so that it starts on a worker of its own."""
    if len(task.crashes) > 1 or any(crash.was_likely for crash in task.crashes):
        return True
    return bool(task.runs_by_number) and bool(silent_crashes(tables, task, LIKELY_S))


def is_start_held(tables, task):
    """Whether a suspect task must not start yet.

    Its crashes have to be stored, so that the next leader knows of them; and one that
    may have crashed enough workers waits until it is known whether it did. A lasting
    task that was given up never starts again.
    """
    if task.crashes and (task.job.is_dirty or is_convicted(task)):
        return True
    if not task.runs_by_number:
        return False
    silent = silent_crashes(tables, task, RESPONSIBLE_S)
    crashes = (*task.crashes, *silent)
    if not silent or len(crashes) < HOLDING_CRASHES:
        return False
    return count_proven(crashes) >= MIN_PROVEN_HOLDING_CRASHES


def isolated_candidates(suspects, candidates, waited_s):
    """Returns the candidates for suspect tasks that start together.

    Args:
        suspects: The tasks.
        candidates: ``Candidate`` values.
        waited_s: Time since they became startable, in seconds.
    """
    if waited_s > MAX_ISOLATION_WAIT_S:
        return candidates
    crashed_hosts = {crash.host for task in suspects for crash in task.crashes}
    return [
        candidate
        for candidate in candidates
        if not candidate.all_runs
        and (candidate.worker.host or candidate.worker.address) not in crashed_hosts
    ]


def has_outlived_suspicion(worker, run):
    """Whether a run has lasted for longer than a crashing one would.

    A start may be carried out long after it was sent.
    """
    began_at = max(run.started_at, run.answered_at)
    return worker.last_answer_at - began_at > RESPONSIBLE_S
