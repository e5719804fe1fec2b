"""Memory of accepted work on a leader, and the time to load it."""

import time
import tracemalloc

from benches.measures import save
from features.support.table_memory import (
    bytes_of_done_task,
    bytes_of_waiting_task,
    lead_and_lose,
)
from features.support.work_tables import NOW_UNIX, QUEUE, create_tables
from sassafrasgrade.job_records import (
    SubmittedJob,
    add_job,
    decode_submitted,
    encode,
)
from sassafrasgrade.platform.messages import JobRequest, Step
from sassafrasgrade.systems.work_bounds import held_by_queue

JOBS = 1_000
LEADERSHIPS = 20
MS_PER_S = 1000
SPEC = "s" * 200
JOBS_BY_NAME = {
    "1 task": (1, 1),
    "20 tasks in 3 steps": (3, 7),
    "1,000 tasks": (1, 1_000),
    "10,000 tasks": (1, 10_000),
    "1,000 steps of 10 tasks": (1_000, 10),
}


def load(steps, tasks):
    """Loads jobs as a leader does; returns bytes, their estimate and time of each."""
    request = JobRequest(spec=SPEC, steps=(Step(count=tasks),) * steps)
    record = encode(SubmittedJob(QUEUE, NOW_UNIX, request))
    jobs = JOBS if steps < JOBS else JOBS // 10
    tables = create_tables()
    began = time.perf_counter()
    for number in range(jobs):
        add_job(tables, f"{number:016x}", decode_submitted(record))
    took_s = time.perf_counter() - began
    tables = create_tables()
    tracemalloc.start()
    for number in range(jobs):
        add_job(tables, f"{number:016x}", decode_submitted(record))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "bytes": round(held / jobs),
        "estimated_bytes": round(sum(held_by_queue(tables).values()) / jobs),
        "load_ms": round(took_s * MS_PER_S / jobs, 4),
    }


def main():
    """Measures jobs, tasks and leaderships."""
    result = {name: load(*shape) for name, shape in JOBS_BY_NAME.items()}
    result["bytes_of_waiting_task"] = round(bytes_of_waiting_task(10_000), 1)
    result["bytes_of_done_task"] = round(bytes_of_done_task(1_000), 1)
    result["tables_left_of_20_leaderships"] = lead_and_lose(LEADERSHIPS)
    save("waiting_work", result)


if __name__ == "__main__":
    main()
