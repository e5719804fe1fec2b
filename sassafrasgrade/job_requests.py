"""Decodes and validates jobs that callers submit."""

import re

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.errors import DECODE_ERRORS, RequestInvalid
from sassafrasgrade.platform.messages import JobRequest

JOB_ID_PATTERN = re.compile(r"^[0-9a-fA-F]{16}$")
# Published limit of the text that tasks receive, in bytes.
MAX_SPEC_BYTES = 4000
# Limits of tasks and occurrences of a job; a larger job is treated as a mistake.
MAX_TASKS = 10_000
MAX_REPEATS = 100_000
# Limit of sizes and durations in a job, in their own units.
MAX_QUANTITY = 1e12
# Limit of a due time, in Unix milliseconds: a date that Unix time in 32 bits reaches.
MAX_TIME_MS = 2**32 * 1000.0

_requests = msgspec.json.Decoder(JobRequest)


def read_job(body):
    """Decodes and validates a job; ``Failure(RequestInvalid)`` if it is invalid."""
    try:
        request = _requests.decode(body)
    except DECODE_ERRORS as error:
        return _invalid(str(error))
    fault = find_fault(request)
    return _invalid(fault) if fault else Success(request)


def find_fault(request):
    """Returns what is wrong with a ``JobRequest``, as a clause, or an empty text."""
    if len(request.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    if not request.steps:
        return "steps is empty"
    for number, step in enumerate(request.steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if not all(0 <= value <= MAX_QUANTITY for value in _quantities(step)):
            return f"step {number} has a number out of range"
        if any(before < 0 or before >= number for before in step.after):
            return f"step {number} comes after a step that is not earlier"
    if sum(step.count for step in request.steps) > MAX_TASKS:
        return f"the job has more than {MAX_TASKS} tasks"
    if not 0 <= request.repeats <= MAX_REPEATS:
        return "repeats is out of range"
    if request.repeats and not 1 <= request.interval_ms <= MAX_QUANTITY:
        return "intervalMs of a repeated job is out of range"
    if not 0 <= request.first_ms <= MAX_TIME_MS:
        return "firstMs is out of range"
    return ""


def _quantities(step):
    return (
        step.cpu_millis,
        step.memory_mb,
        step.gpus,
        step.estimate_ms,
        step.most_per_worker,
        step.may_miss,
        step.target_ms,
    )


def _invalid(detail):
    return Failure(RequestInvalid(detail, "Correct the body and submit it again."))
