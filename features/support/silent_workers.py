"""What happens to a worker or to an order, and whether its task may start again.

Every case returns the names of the tasks that a placement starts. The first run is
number 1 on worker-0; worker-1 answers all the while.
"""

from features.support.fleets import run_to_completion
from features.support.takeovers import Takeover, job_item, registration
from features.support.work_tables import POOL, start_run
from sassafrasgrade.fleet_hosts import STATE_UP, HostRow
from sassafrasgrade.job_records import find_task
from sassafrasgrade.platform.clouds import HostOrderOutcome
from sassafrasgrade.platform.messages import Capacity
from sassafrasgrade.progress_writers import EndsCheckpoint
from sassafrasgrade.work_commands import MoveHost
from sassafrasgrade.work_tables import RunState

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
BORN_MS = 1_000_000
# Time for which worker-0 holds a lease as far as this leader knows, in seconds.
LEASE_S = 5.0
ENDS_PER_LIST = 500


def lead(state=RunState.RUNNING, is_silent=True):
    """Returns a leader, and its run of a task on a worker."""
    leader = Takeover(epoch=1)
    entry = registration("worker-0", born=BORN_MS, machine="host-0")
    leader.load([job_item(JOB)])
    apply_entry(leader, entry)
    apply_entry(leader, registration("worker-1", "127.0.0.1:2", born=BORN_MS))
    leader.report("worker-0", born_ms=BORN_MS)
    leader.report("worker-1", born_ms=BORN_MS)
    worker = leader.tables.workers_by_id["worker-0"]
    run = start_run(find_task(leader.tables, TASK), worker, state)
    worker.lease_until = leader.timers.now() + LEASE_S
    if is_silent:
        worker.unresponsive_since = leader.timers.now()
    return leader, run


def apply_entry(leader, item):
    """Applies a registration as a watch reports it."""
    leader.loader._apply_worker_changes([item])


def started(leader):
    """Returns what starts once worker-1 has answered and all changes are stored."""
    leader.report("worker-1", born_ms=BORN_MS)
    leader.store_changes()
    return leader.started()


def lapse(wait_s):
    """The worker stays silent."""
    leader, _ = lead()
    leader.wait(wait_s)
    return started(leader)


def register_again(address, born_ms, wait_s=0.0):
    """An entry of the same id names an address and an incarnation."""
    leader, _ = lead()
    entry = registration("worker-0", address, born=born_ms, machine="host-0")
    apply_entry(leader, entry)
    leader.wait(wait_s)
    return started(leader)


def register_on_same_host(answers):
    """A later worker is registered for the same host."""
    leader, _ = lead()
    later = registration(
        "worker-2", "127.0.0.1:3", born=BORN_MS + 9, machine="host-0", state="draining"
    )
    apply_entry(leader, later)
    if answers:
        leader.report("worker-2", born_ms=BORN_MS + 9)
        leader.wait(0.1)
    return started(leader)


def answer_for_another(wait_s=0.0):
    """Another incarnation answers at the address of the silent worker."""
    leader, run = lead()
    worker = leader.tables.workers_by_id["worker-0"]
    leader.dispatcher.handle_replaced_worker(worker)
    leader.wait(wait_s)
    return started(leader)


def fill_worker(leader):
    """Leaves no room on worker-0, so that starts there cannot hide others."""
    leader.tables.workers_by_id["worker-0"].capacity = Capacity(0, 0, 0)


def restart(state, stop_answered=False):
    """The worker comes back under its id; an unanswered start may still reach it."""
    leader, run = lead(state, is_silent=False)
    leader.wait(0.1)
    leader.report("worker-0", clock_ms=10.0, born_ms=BORN_MS + 9)
    fill_worker(leader)
    if stop_answered:
        run.stop_answered_at = leader.timers.now()
        leader.wait(0.1)
        leader.report("worker-0", clock_ms=110.0, born_ms=BORN_MS + 9)
    return started(leader)


def start_at_next_incarnation(is_listed_later):
    """A start is answered by the next incarnation, before the leader knows of it."""
    leader, run = lead(is_silent=False)
    leader.wait(0.1)
    # The list was requested before the start's answer.
    run.answered_at = leader.timers.now()
    leader.report("worker-0", clock_ms=10.0, born_ms=BORN_MS + 9)
    fill_worker(leader)
    if is_listed_later:
        leader.wait(0.1)
        leader.report("worker-0", clock_ms=110.0, born_ms=BORN_MS + 9)
    return started(leader)


def answer_of_earlier_incarnation():
    """A late answer of the incarnation before this one, on another connection."""
    leader, run = lead(is_silent=False)
    leader.wait(0.1)
    running = [] if run is None else [(TASK, run.number)]
    leader.report("worker-0", running, born_ms=BORN_MS)
    leader.report("worker-0", born_ms=BORN_MS - 9)
    fill_worker(leader)
    return started(leader)


def lapse_of_adopted_run(wait_s):
    """A worker lists a run of the previous leader and is silent from then on."""
    leader = Takeover()
    leader.load([job_item(JOB)], ["worker-0", "worker-1"])
    leader.report("worker-0", running=[(TASK, 1)])
    leader.report("worker-1")
    worker = leader.tables.workers_by_id["worker-0"]
    worker.unresponsive_since = leader.timers.now()
    leader.wait(wait_s)
    leader.report("worker-1")
    return leader.started()


def lapse_of_own_run(wait_s):
    """A run is started on a worker that may hold a lease of the previous leader."""
    leader = Takeover()
    leader.load([job_item(JOB)], ["worker-0", "worker-1"])
    leader.report("worker-0")
    leader.report("worker-1")
    worker = leader.tables.workers_by_id["worker-0"]
    start_run(find_task(leader.tables, TASK), worker)
    worker.unresponsive_since = leader.timers.now()
    leader.wait(wait_s)
    leader.report("worker-1")
    return leader.started()


def full_list_of_ends(ends):
    """A list without the run that contains as many ends as a list may."""
    leader, run = lead(is_silent=False)
    leader.wait(0.1)
    rows = [(n + 1, f"{'b' * 16}.0.0.{n}", 1, "done") for n in range(ends)]
    leader.report("worker-0", ended=rows, born_ms=BORN_MS)
    fill_worker(leader)
    return started(leader)


class LateCloud:
    """A host service that answers a move after the host's next worker has started.

    Args:
        on_move: Called before the answer.
    """

    def __init__(self, on_move):
        self._on_move = on_move

    async def move_host(self, host, pool, token):
        """Answers that the move is done, as if it had been done already."""
        self._on_move()
        return HostOrderOutcome.DONE


def order_done_already(answers_late):
    """A host order is answered; the task's run is on the host's next worker."""
    leader, run = lead(is_silent=False)
    controller = leader.dispatcher._hosts
    host = HostRow("host-1", POOL, STATE_UP, worker_id="worker-2")
    leader.dispatcher.fleet.hosts_by_name["host-1"] = host
    apply_entry(leader, registration("worker-2", "127.0.0.1:3", born=BORN_MS))
    leader.report("worker-2", born_ms=BORN_MS)

    def replace_worker():
        if answers_late:
            host.worker_id = "worker-0"

    controller._cloud = LateCloud(replace_worker)
    run_to_completion(controller._carry_out(MoveHost("host-1", POOL, "")))
    fill_worker(leader)
    return started(leader)


def restart_with_earlier_clock():
    """The worker restarts with its time of day set back, and does not list the run."""
    leader, run = lead(is_silent=False)
    leader.wait(0.1)
    leader.report("worker-0", clock_ms=10.0, born_ms=BORN_MS - 9)
    fill_worker(leader)
    return started(leader)


def register_with_wrong_birth():
    """The only worker with room is registered with a later birth than its own."""
    leader = Takeover(epoch=1)
    leader.load([job_item(JOB)])
    apply_entry(leader, registration("worker-1", born=BORN_MS + 9))
    leader.report("worker-1", born_ms=BORN_MS)
    return started(leader)


def refuse_stops(wait_s):
    """The worker restarts before a start's answer, and confirms no stop."""
    leader, run = lead(RunState.UNCERTAIN, is_silent=False)
    for elapsed in range(1, wait_s + 1):
        leader.wait(1.0)
        leader.report("worker-0", clock_ms=elapsed * 1000.0, born_ms=BORN_MS + 9)
    fill_worker(leader)
    return started(leader)


def name_silent_host():
    """An entry of an answering worker names the host of the silent one."""
    leader, _ = lead()
    leader.report("worker-1", born_ms=BORN_MS + 9)
    entry = registration("worker-1", "127.0.0.1:2", born=BORN_MS + 9, machine="host-0")
    apply_entry(leader, entry)
    # A task that may have crashed its worker avoids that host for 2 s.
    leader.wait(2.5)
    leader.report("worker-1", born_ms=BORN_MS + 9)
    leader.store_changes()
    return leader.started()


def acknowledge_for_next_incarnation():
    """Returns the end acknowledged to an incarnation by a commit begun for another."""
    leader, _ = lead(is_silent=False)
    other = "b" * 16
    leader.find_job(job_item(other))
    ended = [(1, TASK, 1, "done")]
    leader.report("worker-0", ended=ended, born_ms=BORN_MS)
    checkpoint = EndsCheckpoint(leader.tables)
    leader.report("worker-0", clock_ms=10.0, born_ms=BORN_MS + 9)
    ended = [(1, f"{other}.0.0.0", 1, "done")]
    leader.report("worker-0", ended=ended, clock_ms=20.0, born_ms=BORN_MS + 9)
    leader.dispatcher._apply_stored_ends(checkpoint.ends_by_worker)
    return leader.tables.workers_by_id["worker-0"].stored_end


CASES_BY_NAME = {
    "a restart of its worker with its clock set back": restart_with_earlier_clock,
    "a registration of a worker with a wrong birth": register_with_wrong_birth,
    "a restart of its worker that confirms no stop for 5 s": lambda: refuse_stops(5),
    "a restart of its worker that confirms no stop for 22 s": lambda: refuse_stops(22),
    "an entry of another worker that names its host": name_silent_host,
    "a move of another worker's host": lambda: order_done_already(False),
    "a move of its host that was ordered before it started": (
        lambda: order_done_already(True)
    ),
    "silence while its lease is valid": lambda: lapse(LEASE_S - 0.5),
    "silence until its lease has lapsed": lambda: lapse(LEASE_S + 0.5),
    "a registration of its worker with another address": (
        lambda: register_again("127.0.0.1:9", BORN_MS)
    ),
    "a later registration of its worker with another address": (
        lambda: register_again("127.0.0.1:9", BORN_MS + 9)
    ),
    "that registration, and its lease's end": (
        lambda: register_again("127.0.0.1:9", BORN_MS + 9, LEASE_S + 0.5)
    ),
    "a later registration of its worker at its address": (
        lambda: register_again("127.0.0.1:1", BORN_MS + 9)
    ),
    "a registration of a later worker on its host": (
        lambda: register_on_same_host(False)
    ),
    "an answer of a later worker on its host": lambda: register_on_same_host(True),
    "an answer of another worker at its address": answer_for_another,
    "an answer of another worker at its address, and its lease's end": (
        lambda: answer_for_another(LEASE_S + 0.5)
    ),
    "a restart of its worker that it had started on": (
        lambda: restart(RunState.RUNNING)
    ),
    "a restart of its worker before the start was answered": (
        lambda: restart(RunState.UNCERTAIN)
    ),
    "a restart of its worker, which then confirmed a stop": (
        lambda: restart(RunState.UNCERTAIN, stop_answered=True)
    ),
    "a restart of its worker that may have answered the start": (
        lambda: start_at_next_incarnation(False)
    ),
    "a restart of its worker, and a later list without it": (
        lambda: start_at_next_incarnation(True)
    ),
    "a late answer of an earlier incarnation": answer_of_earlier_incarnation,
    "silence of an adopted run's worker for 1 s": lambda: lapse_of_adopted_run(1.0),
    "silence of an adopted run's worker for 6 s": lambda: lapse_of_adopted_run(6.0),
    "silence of an adopted run's worker for 6.121 s": (
        lambda: lapse_of_adopted_run(6.121)
    ),
    "silence of an adopted run's worker for 6.3 s": lambda: lapse_of_adopted_run(6.3),
    "silence of a worker after a takeover for 6 s": lambda: lapse_of_own_run(6.0),
    "silence of a worker after a takeover for 6.3 s": lambda: lapse_of_own_run(6.3),
    "a list without it that has 499 ends": lambda: full_list_of_ends(ENDS_PER_LIST - 1),
    "a list without it that has 500 ends": lambda: full_list_of_ends(ENDS_PER_LIST),
}
