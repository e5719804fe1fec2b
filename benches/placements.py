"""Time of placements beside waiting work of several shapes, by tasks and workers."""

import time

from benches.measures import save
from features.support.large_jobs import HELD_LABEL, NO_LABEL, SLOTS
from features.support.sliced_placements import create_pass
from features.support.work_tables import (
    NOW,
    add_simple_job,
    create_tables,
)

TASK_COUNTS = (100, 1_000, 10_000, 100_000)
WORKER_COUNTS = (7, 60, 276, 1_000)
# Greatest number of tasks of a job, and members of a gang.
TASKS_PER_JOB, GANG = 10_000, 900
REPEATS = 3
MS_PER_S = 1000


def add_large(tables, count, **step):
    """Adds jobs of as many tasks as are allowed."""
    for number in range(0, count, TASKS_PER_JOB):
        tasks = min(TASKS_PER_JOB, count - number)
        add_simple_job(tables, f"{number:016x}", count=tasks, **step)


def add_small(tables, count, **step):
    """Adds jobs of one task."""
    for number in range(count):
        add_simple_job(tables, f"{number:016x}", **step)


def add_gangs(tables, count):
    """Adds gangs that fit no pool of this benchmark beside what fills it."""
    for number in range(0, count, GANG):
        members = min(GANG, count - number)
        add_simple_job(tables, f"{number:016x}", count=members, is_gang=True)


SHAPES = {
    "large jobs": add_large,
    "large jobs, limit per worker": lambda t, n: add_large(t, n, most_per_worker=3),
    "large jobs, label of none": lambda t, n: add_large(t, n, label=NO_LABEL),
    "large jobs, label and limit": (
        lambda t, n: add_large(t, n, label=HELD_LABEL, most_per_worker=3)
    ),
    "gangs": add_gangs,
    "small jobs": add_small,
    "small jobs, limit per worker": lambda t, n: add_small(t, n, most_per_worker=1),
}


def measure(shape, count, workers):
    """Returns the time of a placement in which nothing fits, and of its slices."""
    tables = create_tables(workers=workers)
    add_simple_job(tables, "f" * 16, count=workers * SLOTS, is_perpetual=True)
    _place(tables)
    SHAPES[shape](tables, count)
    _place(tables)
    slices = min((_place(tables) for _ in range(REPEATS)), key=sum)
    return {
        "ms": round(sum(slices), 2),
        "slices": len(slices),
        "longest_slice_ms": round(max(slices), 2),
    }


def _place(tables):
    placement = create_pass(tables)
    slices = []
    while not placement.is_finished:
        began = time.perf_counter()
        placement.next_slice(NOW)
        slices.append((time.perf_counter() - began) * MS_PER_S)
    return slices


def growth(rows):
    """Returns the ratios of the times of successive rows."""
    times = [row["ms"] for row in rows]
    return [round(b / a, 1) for a, b in zip(times, times[1:])]


def main():
    """Measures all shapes; small jobs up to ten thousand."""
    result = {}
    for shape in SHAPES:
        counts = TASK_COUNTS[:-1] if "small" in shape else TASK_COUNTS
        for workers in WORKER_COUNTS:
            rows = [measure(shape, count, workers) for count in counts]
            result[f"{shape}, {workers} workers"] = {
                "by_tasks": dict(zip(map(str, counts), rows)),
                "growth": growth(rows),
            }
    save("placements", result)


if __name__ == "__main__":
    main()
