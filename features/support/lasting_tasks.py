"""What happens to perpetual tasks whose runs end by themselves, as ``done``.

Every case returns whether the tasks, and their job, go on as they should.
"""

from types import SimpleNamespace

from features.support.takeovers import Takeover, job_item, run_in_loop
from features.support.work_tables import (
    NOW,
    NOW_UNIX,
    POOL,
    QUEUE,
    apply_worker_view,
    create_tables,
    place_tasks,
    start_run,
)
from sassafrasgrade.job_records import (
    JobProgress,
    SubmittedJob,
    add_job,
    apply_progress,
    apply_unstored_progress,
    encode,
    progress_of,
)
from sassafrasgrade.platform.messages import JobRequest, Step
from sassafrasgrade.systems.learned_durations import LearnedDurations
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.work_commands import StartRun, StopRun
from sassafrasgrade.work_tables import WorkState

JOB = "a" * 16


def create_job(count=1, following=False, preceding=False, **lasting):
    """Returns tables with a job that has a lasting step.

    Args:
        count: Tasks of the lasting step.
        following: Whether a step that ends comes after it.
        preceding: Whether one comes before it.
        **lasting: Fields of the lasting step.
    """
    fields = {"count": 1, "cpu_millis": 1000, "estimate_ms": 500}
    step = Step(**(fields | {"count": count, "is_perpetual": True} | lasting))
    steps = [step]
    if preceding:
        steps = [
            Step(**fields),
            Step(**(fields | {"is_perpetual": True, "after": (0,)})),
        ]
    if following:
        steps.append(Step(**fields, after=(0,)))
    tables = create_tables()
    request = JobRequest(spec="s", steps=tuple(steps))
    job = add_job(tables, JOB, SubmittedJob(QUEUE, NOW_UNIX, request))
    rows = [row.tasks for row in job.occurrences[0].steps]
    return SimpleNamespace(tables=tables, job=job, tasks=rows[0], rows=rows)


def end_runs(case, numbers=(1,), task=None):
    """Lets runs of a task end ``done`` on the first worker; returns the commands."""
    task = task or case.tasks[0]
    worker = case.tables.workers_by_id["worker-0"]
    first = worker.seen_end + 1
    ended = [(first + n, task.name, run, "done") for n, run in enumerate(numbers)]
    return apply_worker_view(case.tables, worker, NOW + 1, ended=ended)


def started(case):
    """Returns the names of the tasks that a placement starts."""
    commands = place_tasks(case.tables, POOL, LearnedDurations(), NOW + 2, NOW_UNIX + 2)
    return [c.run.task.name for c in commands if isinstance(c, StartRun)]


def is_open(case):
    """Whether the job goes on, and nothing of it is stored as done."""
    progress = progress_of(case.job)
    has_ends = progress.done or progress.done_occurrences
    return case.job.is_open and not has_ends


def run_ends():
    """A run of one of two tasks ends, and the other goes on."""
    case = create_job(count=2)
    for task in case.tasks:
        start_run(task, case.tables.workers_by_id["worker-0"])
    running = [(case.tasks[1].name, 1)]
    worker = case.tables.workers_by_id["worker-0"]
    ended = [(1, case.tasks[0].name, 1, "done")]
    apply_worker_view(case.tables, worker, NOW + 1, running=running, ended=ended)
    return is_open(case) and started(case) == [case.tasks[0].name]


def end_of_unknown_run():
    """A worker lists the end of an earlier leader's run."""
    case = create_job()
    end_runs(case)
    return is_open(case) and started(case) == [case.tasks[0].name]


def all_runs_end():
    """The runs of all tasks end, so that nothing of the job is left."""
    case = create_job(count=2)
    for task in case.tasks:
        start_run(task, case.tables.workers_by_id["worker-0"])
        end_runs(case, task=task)
    return is_open(case) and len(started(case)) == 2


def ends_many_times():
    """Runs end more often than a task may fail."""
    case = create_job()
    end_runs(case, numbers=range(1, 9))
    return is_open(case) and started(case) == [case.tasks[0].name]


def member_of_gang_ends():
    """One member's end is listed before that of the other, with which it restarts."""
    case = create_job(count=2, is_gang=True)
    names = [task.name for task in case.tasks]
    for task, worker in zip(
        case.tasks, case.tables.workers_by_id.values(), strict=True
    ):
        start_run(task, worker)
    end_runs(case)
    started_early = started(case)
    other = case.tables.workers_by_id["worker-1"]
    ended = [(1, names[1], 1, "done")]
    apply_worker_view(case.tables, other, NOW + 1, ended=ended)
    return is_open(case) and not started_early and started(case) == names


def copy_ends():
    """One of two runs of a task ends; the other is at work."""
    case = create_job(is_speculative=True)
    for number, worker in enumerate(case.tables.workers_by_id.values(), 1):
        start_run(case.tasks[0], worker, number=number)
    commands = end_runs(case)
    stops = [command for command in commands if isinstance(command, StopRun)]
    return is_open(case) and not stops and len(case.tasks[0].runs_by_number) == 1


def following_step_waits():
    """A step after the lasting one does not start, as that is never done."""
    case = create_job(following=True)
    end_runs(case)
    return is_open(case) and started(case) == [case.tasks[0].name]


def finite_steps_end():
    """A job whose other step is done goes on with its lasting one."""
    case = create_job(preceding=True)
    end_runs(case)
    lasting = case.rows[1][0]
    end_runs(case, task=lasting)
    is_kept = progress_of(case.job).done == {"0.0": [0]}
    return case.job.is_open and is_kept and started(case) == [lasting.name]


def stored_as_done():
    """A record of an earlier version says that a task is done."""
    case = create_job(count=2)
    progress = JobProgress(WorkState.RUNNING, True, {"0.0": [1]}, {}, [])
    apply_progress(case.tables, case.job, progress)
    return is_open(case) and len(started(case)) == 2


def stored_as_done_occurrence():
    """A record of an earlier version says that an occurrence is done."""
    case = create_job(preceding=True)
    progress = JobProgress(WorkState.RUNNING, True, {}, {}, [0])
    apply_progress(case.tables, case.job, progress)
    return case.job.is_open and started(case) == [case.rows[1][0].name]


def handed_over_as_completed():
    """An earlier version hands over that the job is completed; it is not stored."""
    case = create_job()
    progress = JobProgress(WorkState.COMPLETED, True, {"0.0": [0]}, {}, [0])
    apply_unstored_progress(case.tables, {JOB: encode(progress)})
    return is_open(case) and started(case) == [case.tasks[0].name]


def stored_as_completed():
    """Callers have been shown that a job is completed: it does not start again."""
    case = create_job()
    progress = JobProgress(WorkState.COMPLETED, True, {}, {}, [0])
    apply_progress(case.tables, case.job, progress)
    return case.job.state is WorkState.COMPLETED and not started(case)


def old_run_is_not_copied():
    """A run has lasted for longer than declared: no copy would finish first."""
    case = create_job(is_speculative=True)
    start_run(case.tasks[0], case.tables.workers_by_id["worker-0"], now=NOW - 60)
    return not copy_overdue_runs(case.tables, POOL, LearnedDurations(), NOW)


def end_teaches_no_duration():
    """How long a lasting run lasted says nothing about tasks of its queue."""

    def report():
        leader = Takeover()
        leader.dispatcher.schedule_placement = lambda: None
        leader.load([job_item(JOB, is_perpetual=True)], ["worker-0"])
        leader.report("worker-0", running=[(f"{JOB}.0.0.0", 1)])
        leader.timers.advance(60.0)
        leader.report("worker-0", ended=[(1, f"{JOB}.0.0.0", 1, "done")])
        return leader.dispatcher.learned_durations.factors_by_queue

    return not run_in_loop(report)


CASES_BY_EVENT = {
    "a run ends": run_ends,
    "the end of an unknown run is listed": end_of_unknown_run,
    "the runs of all tasks end": all_runs_end,
    "runs end more often than a task may fail": ends_many_times,
    "a member of a gang ends": member_of_gang_ends,
    "one of two copies ends": copy_ends,
    "a run ends, and a step comes after": following_step_waits,
    "a run ends, and a step before is done": finite_steps_end,
    "it is stored as done": stored_as_done,
    "its occurrence is stored as done": stored_as_done_occurrence,
    "its job is handed over as completed": handed_over_as_completed,
    "its job is stored as completed": stored_as_completed,
    "a run lasts for longer than declared": old_run_is_not_copied,
    "a run that lasted for long ends": end_teaches_no_duration,
}
