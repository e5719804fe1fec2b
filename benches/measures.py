"""Helpers of the benchmarks: processor time, memory and result files."""

import json
import os
import threading
from pathlib import Path

import psutil

RESULTS = Path("docs/measurements")
US_PER_S = 1_000_000
_never_set = threading.Event()


def sleep(seconds):
    """Waits while the measured processes run."""
    _never_set.wait(seconds)


def cpu_seconds(process):
    """Returns the user and system CPU time of a process."""
    times = psutil.Process(process.pid).cpu_times()
    return times.user + times.system


def memory_bytes(process):
    """Returns (resident, private) bytes of a process."""
    info = psutil.Process(process.pid).memory_full_info()
    return info.rss, info.uss


def save(name, result):
    """Writes a result as JSON and prints it."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    result["cores"] = os.cpu_count()
    text = json.dumps(result, indent=1)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    print(text)
