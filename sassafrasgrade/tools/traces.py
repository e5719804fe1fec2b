"""Collects the log lines about one job from the log files of all nodes."""

import glob
import json
from dataclasses import dataclass

# Events that affect all jobs; shown if they fall between a job's first and last line.
CONTEXT_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "leadership gained",
        "leadership renewed",
        "leadership lost",
        "leader suspected",
        "take-over",
        "jobs loaded",
        "dependency lost",
        "dependency regained",
        "configuration adopted",
        "progress not stored",
        "commit failed",
        "lines dropped",
        "pool",
    }
)
HIDDEN_FIELDS = frozenset({"at", "level", "logger", "host", "message", "job"})


@dataclass(frozen=True)
class TraceLine:
    """A log line about a job, or about all jobs.

    Attributes:
        at: Unix seconds.
        host: Node that wrote it.
        event: The log message.
        fields: The other log fields: inputs and outcome of the event.
    """

    at: float
    host: str
    event: str
    fields: dict

    def __str__(self):
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.3f} {self.host} {self.event} {pairs}".rstrip()


def read_records(paths):
    """Yields the JSON objects of log files; skips all other lines."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            for line in lines:
                start = line.find("{")
                if start < 0:
                    continue
                try:
                    record = json.loads(line[start:])
                except ValueError:
                    continue
                if "message" in record and "at" in record:
                    yield record


def trace_job(job_id, records):
    """Returns a job's lines and the events that affected all jobs meanwhile, by time.

    Args:
        job_id: Identifier of the job.
        records: JSON objects of all nodes' logs.
    """
    records = list(records)
    own = [record for record in records if _is_about_job(record, job_id)]
    if not own:
        return []
    first = min(record["at"] for record in own)
    last = max(record["at"] for record in own)
    context = [
        record
        for record in records
        if record["message"] in CONTEXT_EVENTS and first <= record["at"] <= last
    ]
    found = {id(record): record for record in own + context}
    return sorted(map(_trace_line, found.values()), key=lambda line: line.at)


def find_jobs_without_lines(job_ids, records):
    """Returns the jobs that no log line names."""
    records = list(records)
    seen = {record.get("job") for record in records}
    return [job_id for job_id in job_ids if job_id not in seen]


def _is_about_job(record, job_id):
    task = record.get("task") or record.get("step") or ""
    return record.get("job") == job_id or task.startswith(job_id)


def _trace_line(record):
    fields = {k: v for k, v in record.items() if k not in HIDDEN_FIELDS}
    return TraceLine(record["at"], record.get("host", ""), record["message"], fields)


def print_trace(job_id, logs, as_json):
    """Prints a job's lines; returns the exit status.

    Args:
        job_id: Identifier of the job.
        logs: Glob pattern of the log files.
        as_json: Whether to print JSON.
    """
    lines = trace_job(job_id, read_records(sorted(glob.glob(logs))))
    for line in lines:
        if as_json:
            row = {"at": line.at, "host": line.host, "event": line.event}
            print(json.dumps(row | {"fields": line.fields}))
        else:
            print(line)
    if not lines:
        print(f"no log line names job {job_id}; check the pattern of the log files")
    return 0 if lines else 1
