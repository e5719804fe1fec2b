"""Ranks waiting jobs by the value of starting their tasks now.

Load pattern: the demand of each queue rises to several times its mean, and above
the capacity of its pool, for some seconds, and is low in between.
"""

from sassafrasgrade.work_tables import MS_PER_S, Job, Urgency

# Fraction of a job's value that does not depend on its work (published rule).
FIXED_VALUE_FRACTION = 0.3
# Lower bound on work when values are compared, in core-seconds.
MIN_WORK_CORE_S = 0.1
# Multiple of its objective up to which a job earns partial value (published rule).
LATE_FACTOR = 3.0


def ranked_jobs(tables, jobs, pool_name, learned_durations, now_unix):
    """Yields (rank, job) of those jobs that a pool runs, in the order given."""
    for job in jobs:
        if tables.pool_of(job) == pool_name:
            yield rank_job(tables, job, learned_durations, now_unix), job


def rank_job(tables, job: Job, learned_durations, now_unix):
    """Returns the sort key of a job; smaller keys are placed first.

    Also updates the urgency of a job that ends by itself.
    """
    queue = tables.queue_of(job)
    if job.has_perpetual_steps:
        return (Urgency.PERPETUAL, job.accepted_at, job.job_id)
    job.urgency = urgency_of(job, queue, learned_durations, now_unix)
    if job.urgency is Urgency.LATE:
        return (job.urgency, job.accepted_at, job.job_id)
    return (job.urgency, -value_density(job, learned_durations), job.job_id)


def urgency_of(job, queue, learned_durations, now_unix):
    """Returns the ``Urgency`` of a job that ends by itself."""
    begins_at = begin_time(job)
    objective_s = due_time(job, queue, learned_durations) - begins_at
    needed_s = now_unix + learned_durations.critical_path_left_s(job) - begins_at
    if needed_s <= objective_s:
        return Urgency.IN_TIME
    return Urgency.USEFUL if needed_s <= objective_s * LATE_FACTOR else Urgency.LATE


def value_density(job, learned_durations):
    """Returns a job's value per unit of remaining work.

    The value has a fixed part and a part that grows with the job's work, so that
    small jobs, and those nearly done, come first.
    """
    whole = learned_durations.work(job, False)
    left = max(learned_durations.work(job, True), MIN_WORK_CORE_S)
    mean = learned_durations.mean_work(job.queue_name)
    return (
        FIXED_VALUE_FRACTION
        + (1 - FIXED_VALUE_FRACTION) * whole / max(mean, MIN_WORK_CORE_S)
    ) / (left / max(mean, MIN_WORK_CORE_S))


def due_time(job, queue, learned_durations):
    """Returns the Unix time until which a job earns its full value."""
    allowed_s = (
        learned_durations.critical_path_s(job) * queue.stretch
        + queue.objective_ms / MS_PER_S
    )
    return begin_time(job) + allowed_s


def begin_time(job):
    """Returns the Unix time from which a job's duration is measured."""
    if job.request.repeats > 0 and job.occurrences:
        return min(occurrence.due_at for occurrence in job.occurrences.values())
    return job.accepted_at
