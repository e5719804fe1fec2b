"""Creates the occurrences of scheduled jobs when they are due."""

from collections import deque

from sassafrasgrade.work_commands import LogEvent
from sassafrasgrade.work_tables import MS_PER_S, create_occurrence

# Limit of a job's unfinished tasks over all its occurrences; later ones are created
# once earlier ones are done. A job whose first occurrence is due years ago must not
# fill the leader's memory.
MAX_OPEN_TASKS = 10_000
# Limit of the occurrences that are created at once, over all jobs.
MAX_CREATED = 200


def due_at(request, number):
    """Returns the Unix time at which an occurrence is due, in seconds."""
    return (request.first_ms + number * request.interval_ms) / MS_PER_S


def create_due(tables, now_unix):
    """Creates occurrences that are due, in turn those of each job.

    Returns:
        A ``LogEvent`` for each; if there are ``MAX_CREATED``, more may be due.
    """
    due = deque(
        job
        for job in tables.open_jobs_by_id.values()
        if job.request.repeats > 0 and _has_due(job, now_unix)
    )
    events = []
    while due and len(events) < MAX_CREATED:
        job = due.popleft()
        number = job.next_occurrence
        create_occurrence(job, number)
        events.append(
            LogEvent("occurrence-due", {"job": job.job_id, "occurrence": number})
        )
        if _has_due(job, now_unix):
            due.append(job)
    return events


def _has_due(job, now_unix):
    """Whether a job's next occurrence is due and may be created."""
    request = job.request
    while _is_known(job, job.next_occurrence):
        job.next_occurrence += 1
    if job.next_occurrence >= request.repeats:
        return False
    if due_at(request, job.next_occurrence) > now_unix:
        return False
    tasks_each = sum(step.count for step in request.steps)
    # Those that are done are forgotten before.
    return len(job.occurrences) < max(1, MAX_OPEN_TASKS // tasks_each)


def _is_known(job, number):
    return number in job.done_occurrences or number in job.occurrences


def forget_done(tables):
    """Removes finished occurrences, and their tasks, from the tables."""
    for job in tables.open_jobs_by_id.values():
        if job.request.repeats <= 0:
            continue
        done = [n for n in job.occurrences if n in job.done_occurrences]
        for number in done:
            del job.occurrences[number]
