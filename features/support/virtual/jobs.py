"""Small jobs that simulated clients submit all the time."""

import msgspec

from sassafrasgrade.platform.messages import JobRequest, Step

HOST = "queue.example"
PREFIX = "/q"
SUBMIT_TIMEOUT_S = 3.0
# Ranges of the estimated durations of tasks, in milliseconds.
SHORT_MS = (200, 3000)
LONG_MS = (6000, 20_000)
# Small, so that workers always have room for the next task.
LONG_CPU_MILLIS = 100


class JobStream:
    """Submits jobs at random nodes, and decides how long their tasks take.

    Args:
        world: The ``World``.
        random_source: Seeded ``random.Random``.
        period_s: Mean time between two jobs, in seconds.
        until: When the last one is submitted.
        long_share: Share of the steps whose tasks take many seconds.
    """

    def __init__(self, world, random_source, period_s, until, long_share=0.0):
        self._world = world
        self._random = random_source
        self._period_s = period_s
        self._until = until
        self._long_share = long_share
        self._requests_by_id = {}
        self._next_id = 0
        self.submitted = self.accepted = 0

    def start(self):
        """Begins to submit."""
        self._world.at(self._world.now + self._period_s, self._submit)

    def is_speculative(self, task):
        """Whether a task may have copies."""
        return self._step_of(task).is_speculative

    def fate_of(self, task):
        """Returns how a run ends, after how many seconds, and whether it is to last.

        The time is None for a run that never ends.
        """
        step = self._step_of(task)
        if step.is_perpetual:
            if self._random.random() < 0.3:
                return "failed", self._random.uniform(1.0, 15.0), True
            return "failed", None, True
        how = "failed" if self._random.random() < 0.05 else "done"
        return how, step.estimate_ms / 1000.0 * self._random.uniform(0.8, 1.2), False

    def _step_of(self, task):
        job_id, _, step, _ = task.split(".")
        return self._requests_by_id[job_id].steps[int(step)]

    def _submit(self):
        now = self._world.now
        if now >= self._until:
            return
        self._world.at(now + self._random.expovariate(1 / self._period_s), self._submit)
        self._submit_one(self._create_request())

    def submit_large(self, count, estimate_ms):
        """Submits a job with one step of many short tasks."""
        step = Step(count=count, cpu_millis=100, memory_mb=8, estimate_ms=estimate_ms)
        self._submit_one(JobRequest(spec="s", steps=(step,)))

    def _submit_one(self, request):
        self._next_id += 1
        job_id = f"{self._next_id:016x}"
        self._requests_by_id[job_id] = request
        self.submitted += 1
        self._send(job_id, request, 0)

    def _create_request(self):
        random = self._random
        if random.random() < 0.1:
            step = Step(
                count=2,
                cpu_millis=500,
                memory_mb=64,
                estimate_ms=1000,
                is_perpetual=True,
            )
            return JobRequest(spec="s", steps=(step,))
        steps = []
        for number in range(random.choice((1, 2, 2, 3))):
            is_long = self._draws_long()
            count, cpu_millis = random.randint(1, 3), random.choice((250, 500, 1000))
            steps.append(
                Step(
                    count=count,
                    cpu_millis=LONG_CPU_MILLIS if is_long else cpu_millis,
                    memory_mb=64,
                    estimate_ms=random.uniform(*(LONG_MS if is_long else SHORT_MS)),
                    after=(number - 1,) if number else (),
                )
            )
        return JobRequest(spec="s", steps=tuple(steps))

    def _draws_long(self):
        # Nothing is drawn without long tasks, so that earlier seeds stay as they were.
        return bool(self._long_share) and self._random.random() < self._long_share

    def _send(self, job_id, request, attempt):
        nodes = [node for node in self._world.nodes if node.is_running]
        if not nodes or attempt > 5:
            return
        node = self._random.choice(nodes)
        path = f"{PREFIX}{self._random.randint(1, 2)}/{job_id}"
        body = msgspec.json.encode(request)

        async def post():
            reply = await node.node.job_api.handle(
                "POST", HOST, path, body, SUBMIT_TIMEOUT_S
            )
            if reply.status == 200:
                self.accepted += 1
            else:
                again_at = self._world.now + self._random.uniform(0.2, 1.0)
                self._world.at(again_at, self._send, job_id, request, attempt + 1)

        node.run_soon(post)
