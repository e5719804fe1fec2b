"""What a leader meets after a takeover, and whether a task may start then.

Every case returns the names of the tasks that a placement starts.
"""

from features.support.takeovers import (
    EPOCH,
    OTHER_POOL,
    TOKEN,
    Takeover,
    create_configuration,
    job_item,
    registration,
)
from features.support.work_tables import POOL
from sassafrasgrade.node_messages import HandedOverRun, HandOver

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
NEXT_TASK = f"{JOB}.0.1.0"
WORKERS = ("worker-0", "worker-1")
# Run number of the previous leader.
EARLIER_RUN = (EPOCH - 1) * 100_000 + 1


def load_before_reports():
    """A job is loaded; one of two workers has not reported."""
    leader = Takeover()
    leader.load([job_item(JOB)], WORKERS)
    leader.report("worker-0")
    return leader.started()


def load_after_reports():
    """A job is loaded; all workers have reported."""
    leader = Takeover()
    leader.load([job_item(JOB)], WORKERS)
    for worker in WORKERS:
        leader.report(worker)
    return leader.started()


def find_before_reports():
    """A watch reports a job; a worker, which may run it, has not reported."""
    leader = Takeover()
    leader.load([], WORKERS)
    leader.report("worker-0")
    leader.find_job(job_item(JOB))
    return leader.started()


def find_after_reports():
    """A watch reports a job after all workers have reported."""
    leader = Takeover()
    leader.load([], WORKERS)
    for worker in WORKERS:
        leader.report(worker)
    leader.find_job(job_item(JOB))
    return leader.started()


def find_long_after():
    """A watch reports a job when the previous leader can no longer have got it."""
    leader = Takeover()
    leader.load([], WORKERS)
    leader.report("worker-0")
    leader.wait(5.0)
    leader.report("worker-0")
    leader.find_job(job_item(JOB))
    return leader.started()


def find_after_run_listed():
    """A worker lists a run of a job that becomes known afterwards."""
    leader = Takeover()
    leader.load([], WORKERS)
    leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
    leader.report("worker-1")
    leader.find_job(job_item(JOB))
    return leader.started()


def find_after_end_listed():
    """A worker lists the end of a run of a job that becomes known afterwards."""
    leader = Takeover()
    leader.load([], WORKERS)
    leader.report("worker-0", ended=[(1, TASK, EARLIER_RUN, "done")])
    leader.report("worker-1")
    leader.find_job(job_item(JOB))
    return leader.started()


def occurrence_before_reports():
    """Occurrences are due; a worker has not reported."""
    leader = Takeover()
    leader.load([job_item(JOB, repeats=2)], WORKERS)
    leader.report("worker-0")
    leader.wait(0.1)
    leader.report("worker-0")
    return leader.started()


def occurrence_handed_over():
    """The previous leader handed over a run of an occurrence that is under way."""
    runs = (HandedOverRun(TASK, EARLIER_RUN, "worker-1", 4.0),)
    leader = Takeover(HandOver(5, True, runs), is_predecessor_gone=True)
    leader.load([job_item(JOB, repeats=1)], WORKERS)
    leader.report("worker-0")
    leader.wait(0.1)
    leader.report("worker-0")
    return leader.started()


def next_step_at_once():
    """A step ends on a worker which the previous leader may still be polling."""
    leader = Takeover()
    leader.load([job_item(JOB, steps=2)], WORKERS)
    leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
    leader.wait(0.01)
    leader.report("worker-0", ended=[(1, TASK, EARLIER_RUN, "done")])
    return leader.started()


def next_step_later():
    """A step ends when no poll of the previous leader can be waiting any more."""
    leader = Takeover()
    leader.load([job_item(JOB, steps=2)], WORKERS)
    for _ in range(3):
        leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
        leader.wait(1.1)
    leader.report("worker-0", ended=[(1, TASK, EARLIER_RUN, "done")])
    return leader.started()


def queue_moved(until_reported=False):
    """A queue has moved to another pool; a worker of the former has not reported."""
    leader = Takeover(configuration=create_configuration())
    leader.load([job_item(JOB)], WORKERS, (POOL, OTHER_POOL))
    leader.dispatcher.adopt_configuration(create_configuration(3, OTHER_POOL))
    leader.report("worker-1")
    if until_reported:
        leader.report("worker-0")
    return leader.started(OTHER_POOL)


def unlisted_run_of_partial_handover():
    """A handed-over run on an unlisted worker; all listed ones have reported."""
    runs = (HandedOverRun(TASK, EARLIER_RUN, "worker-9", 4.0),)
    leader = Takeover(HandOver(5, False, runs))
    leader.load([job_item(JOB)], WORKERS)
    for worker in WORKERS:
        leader.report(worker)
    return leader.started()


def unreported_worker_removed(event):
    """The row of an unreported worker is removed without a proof about its runs."""
    leader = Takeover()
    leader.load([job_item(JOB)], WORKERS)
    worker = leader.tables.workers_by_id["worker-0"]
    other = registration("worker-0", "127.0.0.1:9")
    if event == "another answers at its address":
        leader.report("worker-1")
        leader.dispatcher.handle_replaced_worker(worker)
    elif event == "it registers with another address":
        leader.report("worker-1")
        worker.unresponsive_since = leader.timers.now()
        leader.loader._apply_worker_changes([other])
    elif event == "it had registered with another address":
        leader.loader._apply_worker_changes([other])
        worker.unresponsive_since = leader.timers.now()
        leader.report("worker-1")
    leader.wait(0.1)
    leader.report("worker-1")
    return leader.started()


def unclaimed_run_at_silent_worker():
    """Another answers at the address of a worker with a run of an unknown job."""
    leader = Takeover()
    leader.load([], WORKERS)
    leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
    leader.report("worker-1")
    worker = leader.tables.workers_by_id["worker-0"]
    leader.dispatcher.handle_replaced_worker(worker)
    leader.find_job(job_item(JOB))
    leader.wait(0.1)
    leader.report("worker-1")
    return leader.started()


def start_beside_unclaimed_run():
    """The only worker lists a run of a job that is not known; another job is found."""
    leader = Takeover()
    leader.load([], WORKERS[:1])
    leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
    leader.find_job(job_item("c" * 16))
    return leader.started()


def hand_over_unclaimed(running=(), ended=()):
    """A leader hands over before the job of a row is known to it."""
    first = Takeover()
    first.load([], WORKERS)
    first.report("worker-0", running, ended)
    first.report("worker-1")
    handover = first.dispatcher.export_handover(TOKEN)
    leader = Takeover(handover, is_predecessor_gone=True)
    leader.load([job_item(JOB)], WORKERS)
    leader.report("worker-1")
    return leader.started()


def next_step_of_shared_work(**step):
    """A step ends by one of its runs; the previous leader may poll another's worker."""
    leader = Takeover()
    leader.load([job_item(JOB, steps=2, **step)], WORKERS)
    for _ in range(3):
        leader.report("worker-0", running=[(TASK, EARLIER_RUN)])
        leader.wait(1.1)
    leader.report("worker-0", ended=[(1, TASK, EARLIER_RUN, "done")])
    return [name for name in leader.started() if name == NEXT_TASK]


def wait_for_leases(earlier_left_s):
    """A job waits 7 s after the takeover from a stopped leader; a worker is silent."""
    leader = Takeover(is_predecessor_gone=True, earlier_left_s=earlier_left_s)
    leader.load([job_item(JOB)], WORKERS)
    leader.report("worker-0")
    leader.wait(7.0)
    leader.report("worker-0")
    return leader.started()


REMOVALS = (
    "another answers at its address",
    "it registers with another address",
    "it had registered with another address",
)
CASES_BY_NAME = {
    "a job of a run listed by a worker, at whose address another answers": (
        unclaimed_run_at_silent_worker
    ),
    "a job on a worker with a run of an unknown job": start_beside_unclaimed_run,
    "a job of an unclaimed run, after a handover": (
        lambda: hand_over_unclaimed(running=[(TASK, EARLIER_RUN)])
    ),
    "a job of an unclaimed end, after a handover": (
        lambda: hand_over_unclaimed(ended=[(1, TASK, EARLIER_RUN, "done")])
    ),
    "a next step, after a gang": lambda: next_step_of_shared_work(is_gang=True),
    "a next step, after copies": lambda: next_step_of_shared_work(is_speculative=True),
    "a job 7 s after a stopped leader, the one before had stopped": (
        lambda: wait_for_leases(0.0)
    ),
    "a job 7 s after a stopped leader, the one before may act": (
        lambda: wait_for_leases(5.0)
    ),
    "a loaded job, before all workers reported": load_before_reports,
    "a loaded job, after all workers reported": load_after_reports,
    "a job found later, before all workers reported": find_before_reports,
    "a job found later, after all workers reported": find_after_reports,
    "a job found long after, before all workers reported": find_long_after,
    "a job found after a worker listed its run": find_after_run_listed,
    "a job found after a worker listed its end": find_after_end_listed,
    "an occurrence due later, before all workers reported": occurrence_before_reports,
    "an occurrence whose run was handed over": occurrence_handed_over,
    "a next step, while earlier polls may wait": next_step_at_once,
    "a next step, once earlier polls are over": next_step_later,
    "a queue's job, before its former pool reported": queue_moved,
    "a queue's job, after its former pool reported": lambda: queue_moved(True),
    "a job of a run handed over on an unlisted worker": (
        unlisted_run_of_partial_handover
    ),
}
CASES_BY_NAME |= {
    f"a job, an unreported worker aside: {event}": (
        lambda event=event: unreported_worker_removed(event)
    )
    for event in REMOVALS
}
