"""Creates the occurrences of scheduled jobs when they are due."""

from sassafrasgrade.work_commands import LogEvent
from sassafrasgrade.work_tables import MS_PER_S, create_occurrence

# Limit of a job's unfinished tasks over all its occurrences; later ones are created
# once earlier ones are done. A job whose first occurrence is due years ago must not
# fill the leader's memory.
MAX_OPEN_TASKS = 10_000


def due_at(request, number):
    """Returns the Unix time at which an occurrence is due, in seconds."""
    return (request.first_ms + number * request.interval_ms) / MS_PER_S


def create_due(tables, now_unix):
    """Creates all occurrences that are due; returns a ``LogEvent`` for each."""
    events = []
    for job in tables.open_jobs_by_id.values():
        request = job.request
        if request.repeats <= 0:
            continue
        tasks_each = sum(step.count for step in request.steps)
        max_open = max(1, MAX_OPEN_TASKS // tasks_each)
        while (
            job.next_occurrence < request.repeats
            and due_at(request, job.next_occurrence) <= now_unix
            and len(job.occurrences.keys() - job.done_occurrences) < max_open
        ):
            number = job.next_occurrence
            job.next_occurrence += 1
            if number in job.done_occurrences or number in job.occurrences:
                continue
            create_occurrence(job, number)
            events.append(
                LogEvent("occurrence-due", {"job": job.job_id, "occurrence": number})
            )
    return events


def forget_done(tables):
    """Removes finished occurrences, and their tasks, from the tables."""
    for job in tables.open_jobs_by_id.values():
        if job.request.repeats <= 0:
            continue
        for number in job.done_occurrences & job.occurrences.keys():
            del job.occurrences[number]
