"""What benches share: processor time, results and their files."""

import json
import os
import threading
from pathlib import Path

import psutil

RESULTS = Path("docs/measurements")
US_PER_S = 1_000_000
_pace = threading.Event()


def rest(seconds):
    """Lets the processes run for a while."""
    _pace.wait(seconds)


def cpu_seconds(process):
    """Returns the user and system seconds of a process."""
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
