"""Estimates how long tasks run: declared durations, corrected by past runs."""

from dataclasses import dataclass, field

from sassafrasgrade.work_tables import MS_PER_S, Job

# Weight of the newest value in the moving averages.
LEARNING_RATE = 0.1
# Bounds on the ratio of actual to declared duration.
MIN_FACTOR = 0.2
MAX_FACTOR = 5.0


@dataclass(slots=True)
class LearnedDurations:
    """Moving averages by queue.

    Attributes:
        factors_by_queue: Ratio of actual to declared task durations.
        mean_work_by_queue: Work of a job, in core-seconds.
    """

    factors_by_queue: dict[str, float] = field(default_factory=dict)
    mean_work_by_queue: dict[str, float] = field(default_factory=dict)

    def record_job(self, job):
        """Updates the mean work of a queue's jobs with a job."""
        work = self.work(job, False)
        old = self.mean_work_by_queue.get(job.queue_name, work)
        self.mean_work_by_queue[job.queue_name] = old + LEARNING_RATE * (work - old)

    def mean_work(self, queue_name):
        """Returns the mean work of a queue's jobs, in core-seconds."""
        return self.mean_work_by_queue.get(queue_name, 1.0)

    def work(self, job: Job, only_remaining):
        """Returns a job's total or remaining work, in core-seconds."""
        total = 0.0
        for number, step in enumerate(job.request.steps):
            count = step.count
            if only_remaining and job.occurrences:
                occurrence = max(job.occurrences.values(), key=lambda o: o.number)
                count = occurrence.steps[number].left
            total += count * step.cpu_millis * self.task_s(job.queue_name, step)
        return total / MS_PER_S

    def record_run(self, queue_name, declared_ms, real_s):
        """Updates the duration factor of a queue with a run that ended ``done``."""
        if declared_ms <= 0:
            return
        observed = real_s * MS_PER_S / declared_ms
        observed = min(MAX_FACTOR, max(MIN_FACTOR, observed))
        old = self.factors_by_queue.get(queue_name, 1.0)
        self.factors_by_queue[queue_name] = old + LEARNING_RATE * (observed - old)

    def task_s(self, queue_name, step):
        """Returns the expected duration of a task, in seconds."""
        factor = self.factors_by_queue.get(queue_name, 1.0)
        return factor * step.estimate_ms / MS_PER_S

    def critical_path_s(self, job: Job):
        """Returns the duration of a job's critical path, in seconds."""
        return _critical_path_s(job, lambda _number: True, self)

    def critical_path_left_s(self, job: Job):
        """Returns the critical path of the unfinished steps, in seconds."""
        if not job.occurrences:
            return self.critical_path_s(job)
        occurrence = max(job.occurrences.values(), key=lambda item: item.number)
        return _critical_path_s(
            job, lambda number: occurrence.steps[number].left > 0, self
        )


def _critical_path_s(job, is_counted, learned_durations):
    ends = []
    for number, step in enumerate(job.request.steps):
        begins = max((ends[n] for n in step.after if n < number), default=0.0)
        own = (
            learned_durations.task_s(job.queue_name, step)
            if is_counted(number)
            else 0.0
        )
        ends.append(begins + own)
    return max(ends, default=0.0)
