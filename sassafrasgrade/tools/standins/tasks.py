"""Stand-in for the platform's tasks; ``run_s`` of a payload is the run time."""

import json
import time
from dataclasses import dataclass

import msgspec

from sassafrasgrade.jobs import TaskReport, TaskStart, TaskState
from sassafrasgrade.tools.standins.platform_handlers import PlatformHandler

REPORT_LAG_S = 0.3
THROTTLED_SHARE = 0.1


@dataclass
class RunningTask:
    """A task; ``left_s`` is its remaining run time at full speed."""

    start: TaskStart
    data_centre: str
    left_s: float
    updated_at: float
    state: TaskState = TaskState.RUNNING
    throttled: bool = False


class TaskTable:
    """All tasks, and the ends of the leases of their hosts."""

    def __init__(self):
        self.tasks_by_id = {}
        self.lease_ends_by_host = {}
        self.starts = 0
        self._published = (0.0, {})
        self._latest = (0.0, {})

    def start(self, data_centre, starts, now):
        """Starts the tasks whose ids are new."""
        for start in starts:
            if start.task_id in self.tasks_by_id:
                continue
            self.starts += 1
            seconds = json.loads(start.payload or "{}").get("run_s", 1.0)
            self.tasks_by_id[start.task_id] = RunningTask(
                start, data_centre, seconds, now
            )

    def command(self, verb, task_ids, now):
        """Stops, checkpoints, throttles or resumes running tasks."""
        self.advance(now)
        for task_id in task_ids:
            task = self.tasks_by_id.get(task_id)
            if task is None or task.state is not TaskState.RUNNING:
                continue
            if verb in ("stop", "checkpoint"):
                task.state = TaskState.STOPPED
            else:
                task.throttled = verb == "throttle"

    def advance(self, now):
        """Advances running tasks to ``now``; stops those whose lease has expired."""
        for task in self.tasks_by_id.values():
            if task.state is not TaskState.RUNNING:
                continue
            if self.lease_ends_by_host.get(task.start.host, now) < now:
                task.state = TaskState.STOPPED
                continue
            relative_speed = THROTTLED_SHARE if task.throttled else 1.0
            task.left_s -= (now - task.updated_at) * relative_speed
            task.updated_at = now
            if task.left_s <= 0:
                task.state = TaskState.DONE

    def reports(self, data_centre, now):
        """Returns the task reports of a data centre, which lag behind."""
        self.advance(now)
        if now - self._latest[0] >= REPORT_LAG_S:
            self._published = self._latest
            self._latest = (now, self._snapshot())
        rows = self._published[1].values()
        return [report for centre, report in rows if centre == data_centre]

    def _snapshot(self):
        return {
            task_id: (
                task.data_centre,
                TaskReport(
                    task_id,
                    task.start.host,
                    task.state,
                    task.start.cores * (THROTTLED_SHARE if task.throttled else 1.0),
                    task.start.memory_mb,
                ),
            )
            for task_id, task in self.tasks_by_id.items()
        }


class TasksHandler(PlatformHandler):
    """``/tasks?data_centre=``: starts tasks and lists their reports."""

    def get(self):
        """Answers the reports."""
        centre = self.get_argument("data_centre")
        rows = self.state.tasks.reports(centre, time.monotonic())
        self.write(msgspec.json.encode(rows))

    def post(self):
        """Starts the tasks of the body."""
        starts = msgspec.json.decode(self.request.body, type=list[TaskStart])
        centre = self.get_argument("data_centre")
        self.state.tasks.start(centre, starts, time.monotonic())


class TaskCommandHandler(PlatformHandler):
    """``/tasks/<command>``: a command to tasks, or the renewal of leases."""

    def post(self, command):
        """Executes the command."""
        body = json.loads(self.request.body)
        now = time.monotonic()
        if command == "renew":
            ends = dict.fromkeys(body["hosts"], now + body["ttl_s"])
            self.state.tasks.lease_ends_by_host.update(ends)
        else:
            self.state.tasks.command(command, body["task_ids"], now)
