"""Workers that are back under their ids as others, and what leaders know of that."""

from types import SimpleNamespace

from features.support.takeovers import OTHER_POOL, TOKEN, Takeover, registration
from features.support.work_tables import CAPACITY, add_simple_job

WORKER, OTHER_WORKER = "worker-0", "worker-1"
BORN_MS = 1_000_000
STEP_S = 0.1
KIND, OTHER_KIND, KIND_OF_OTHER_WORKER = ["a", "r1"], ["b", "r1"], ["c", "r1"]
HALF_ROOM = {"cpu": CAPACITY.cpu_millis // 2, "memMb": CAPACITY.memory_mb}
MILLIS_PER_CORE = 1000


class ReturnedWorker:
    """A leader, and a worker of kind a that has registered and answered.

    Attributes:
        leader: ``Takeover``.
        born_ms: Start of the incarnation that answers.
        rereads: Number of reads of the registrations that the leader has asked for.
    """

    def __init__(self):
        self.born_ms = BORN_MS
        self._revision = TOKEN
        self.lead()
        self.register(BORN_MS, KIND)
        self.answer()

    def lead(self):
        """A leader begins that knows nothing."""
        self.rereads = 0
        self.leader = Takeover(epoch=1)
        self.leader.loader._workers = SimpleNamespace(
            close=lambda: None,
            reread_range=self._note_reread,
            confirmed_at=float("-inf"),
        )
        self.leader.load()
        # A leader that reaches no worker at all hands over.
        other = registration(OTHER_WORKER, "127.0.0.1:2", labels=KIND_OF_OTHER_WORKER)
        self.leader.loader._apply_worker_changes([other])

    def _note_reread(self):
        self.rereads += 1

    @property
    def row(self):
        """The worker's row."""
        return self.leader.tables.workers_by_id[WORKER]

    def register(self, born_ms, labels, **fields):
        """A watch tells of a registration."""
        item = registration(WORKER, born=born_ms, labels=labels, **fields)
        self.leader.loader._apply_worker_changes([item])

    def answer(self):
        """The worker answers a call that is sent from now on, with a raised token."""
        self._revision += 1
        self.leader.dispatcher._fences.record_write(self._revision)
        self.leader.timers.advance(STEP_S)
        self.leader.report(WORKER, born_ms=self.born_ms)

    def come_back(self, born_ms):
        """The worker starts again; the leader hears it and raises its token."""
        self.born_ms = born_ms
        self.answer()
        self.answer()

    def wait(self, seconds, is_confirmed=True):
        """Lets time pass; the worker answers all the while.

        Args:
            seconds: How long.
            is_confirmed: Whether the registrations are known to be the newest.
        """
        for _ in range(round(seconds / STEP_S)):
            self.answer()
            self.tick(is_confirmed)

    def tick(self, is_confirmed=True):
        """The leader's tick."""
        now = self.leader.timers.now()
        if is_confirmed:
            self.leader.loader._workers.confirmed_at = now
        self.leader.dispatcher._tick(now)

    def starts(self, kind, cores=1):
        """Whether a task that needs a kind starts on the worker."""
        cpu_millis = cores * MILLIS_PER_CORE
        add_simple_job(self.leader.tables, label=kind, cpu_millis=cpu_millis)
        return bool(self.leader.started())


def go_on(worker):
    worker.answer()


def return_unregistered(worker):
    worker.come_back(BORN_MS + 1)


def return_and_register(worker):
    worker.come_back(BORN_MS + 1)
    worker.register(BORN_MS + 1, OTHER_KIND)


def register_and_return(worker):
    worker.register(BORN_MS + 1, OTHER_KIND)
    worker.come_back(BORN_MS + 1)


def register_only(worker):
    worker.leader.timers.advance(STEP_S)
    worker.register(BORN_MS + 1, OTHER_KIND)


def register_before_late_answer(worker):
    register_only(worker)
    # The call was sent just before.
    worker.leader.report(WORKER, born_ms=BORN_MS)


def return_with_earlier_clock(worker):
    worker.come_back(BORN_MS - 1)


def return_with_earlier_clock_and_register(worker):
    worker.come_back(BORN_MS - 1)
    worker.register(BORN_MS - 1, OTHER_KIND)


def return_twice(worker):
    return_and_register(worker)
    worker.come_back(BORN_MS + 2)


def return_before_late_item(worker):
    worker.come_back(BORN_MS + 1)
    worker.register(BORN_MS, KIND)


def change_leader(worker, born_ms, labels):
    worker.lead()
    worker.register(born_ms, labels)
    worker.come_back(BORN_MS + 1)


def register_with_wrong_birth(worker):
    worker.register(BORN_MS + 1, OTHER_KIND)
    worker.answer()


def register_without_birth(worker):
    worker.register(None, OTHER_KIND)
    worker.answer()


EVENTS_BY_NAME = {
    "goes on": go_on,
    "is back as kind b, not registered yet": return_unregistered,
    "is back as kind b, and registers": return_and_register,
    "registers as kind b, and then is back": register_and_return,
    "registers as kind b, and has not answered since": register_only,
    "registers as kind b, and answers an earlier call": register_before_late_answer,
    "is back with its clock set back, not registered yet": return_with_earlier_clock,
    "is back with its clock set back, and registers": (
        return_with_earlier_clock_and_register
    ),
    "is back a second time, registered as of the first": return_twice,
    "is back, and the former registration is read once more": return_before_late_item,
    "is back as kind b, and a new leader reads before": lambda worker: change_leader(
        worker, BORN_MS, KIND
    ),
    "is back as kind b, and a new leader reads after": lambda worker: change_leader(
        worker, BORN_MS + 1, OTHER_KIND
    ),
    "is registered anew with a later birth, and answers": register_with_wrong_birth,
    "is registered anew without a birth": register_without_birth,
}


def starts_after(event, kind):
    """Returns whether a task that needs a kind starts on a worker after an event."""
    worker = ReturnedWorker()
    EVENTS_BY_NAME[event](worker)
    return worker.starts(kind)


FIELDS_BY_CHANGE = {
    "another kind": {"labels": OTHER_KIND},
    "less room": {"labels": KIND, "capacity": HALF_ROOM},
    "another pool": {"labels": KIND, "pool": OTHER_POOL},
}


def starts_around_registration(change, cores, kind):
    """Returns whether a task starts on a worker that is back with a change.

    Returns:
        Before the leader knows of its registration, after that, and if the worker
        registers as it was.
    """
    found = []
    for fields in (None, FIELDS_BY_CHANGE[change], {"labels": KIND}):
        worker = ReturnedWorker()
        worker.come_back(BORN_MS + 1)
        if fields is not None:
            worker.register(BORN_MS + 1, **fields)
        found.append(worker.starts(kind, cores))
    return tuple(found)


def counts_after(seconds, store):
    """Returns whether a registration of an earlier birth counts as the worker's.

    Args:
        seconds: Time since the worker is back.
        store: What the store and the worker do meanwhile.
    """
    worker = ReturnedWorker()
    leadership = worker.leader.dispatcher._leadership
    worker.come_back(BORN_MS + 1)
    if store == "the store does not answer":
        leadership.store_answer_age_s = lambda: seconds
    elif store == "the store answers again since 3 s":
        leadership.answering_since = worker.leader.timers.now() + seconds - 3.0
    if store.endswith("is back again after 5 s"):
        worker.wait(5.0)
        worker.come_back(BORN_MS + 2)
        worker.wait(seconds - 5.0)
    elif store.endswith("the worker does not"):
        worker.row.unresponsive_since = worker.leader.timers.now()
        for _ in range(round(seconds / STEP_S)):
            worker.leader.timers.advance(STEP_S)
            worker.tick()
        worker.answer()
    else:
        worker.wait(seconds, is_confirmed="reads of workers fail" not in store)
    if store.endswith("it is read once more"):
        worker.register(BORN_MS, KIND)
    return worker.starts(KIND[0])


def rereads_after(seconds, event):
    """Returns how often a leader reads registrations again after an event."""
    worker = ReturnedWorker()
    EVENTS_BY_NAME[event](worker)
    for _ in range(round(seconds / STEP_S)):
        worker.leader.timers.advance(STEP_S)
        worker.tick()
    return worker.rereads
