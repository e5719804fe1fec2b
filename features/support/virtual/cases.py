"""Directed schedules: each aims at one way in which a task might run twice."""

from collections.abc import Callable
from dataclasses import dataclass

from features.support.virtual.faults import Fault
from features.support.virtual.worlds import Size

# When the directed faults begin, in seconds: jobs are under way by then.
BEGIN_S = 8.0
# When workers are reborn one after the other, and how long each is cut off then.
RESTARTS_S = (9.0, 21.0, 33.0)
CUT_S = 9.0
SMALL = Size(nodes=3, workers=3, seconds=30.0, job_period_s=0.25)
WIDE = Size(nodes=3, workers=5, seconds=30.0, job_period_s=0.25)
SPARSE = Size(nodes=2, workers=5, seconds=30.0, job_period_s=0.5)
# Long tasks beside a steady flow of short ones.
LONG = Size(nodes=3, workers=3, seconds=50.0, job_period_s=0.45, long_share=0.8)
MIXED = Size(nodes=2, workers=3, seconds=50.0, job_period_s=0.35, long_share=0.5)
QUICK = Size(nodes=2, workers=3, seconds=45.0, job_period_s=0.35)
BUSY = Size(nodes=2, workers=3, seconds=22.0, job_period_s=0.05)


@dataclass(frozen=True)
class Case:
    """A directed case: ``draw`` returns its faults for a ``random.Random``."""

    draw: Callable
    size: Size = SMALL


def _reborn(source, gap_s=(0.02, 0.5), **options):
    lasts_s = source.uniform(*gap_s)
    at = BEGIN_S + source.uniform(0, 2)
    options = {"returns": "reborn", "dark": True} | options
    return Fault("worker_crash", at, lasts_s, "spoken", None, options)


def queued_start(source):
    """a. Starts wait for a connection while their worker is reborn."""
    slow = Fault("slow_links", BEGIN_S - 1, 8.0, "0", None, {"slow_s": 0.3})
    crash = Fault(
        "worker_crash",
        BEGIN_S + source.uniform(0, 2),
        source.uniform(0.02, 0.5),
        "0",
        None,
        {"returns": "reborn", "dark": source.random() < 0.5},
    )
    return (slow, crash)


def job_behind_barrier(source):
    """b, c. The old leader works on with a worker that the new one cannot reach."""
    # Cut off from the nodes only, it sees its successor's key and steps down at once.
    cut = Fault("node_cut", BEGIN_S, 9.0, "leader", None, {"from": "core"})
    at = BEGIN_S + source.uniform(0.2, 1.2)
    worker = source.choice("012")
    options = {"from": "followers", "how": "both"}
    unreached = Fault("worker_cut", at, source.uniform(2, 6), worker, None, options)
    return (cut, unreached)


def adopted_lease(source):
    """d. Leases of the old leader outlive what the new one believes."""
    cut = Fault("node_cut", BEGIN_S, 9.0, "leader", None, {"from": "core"})
    delay_s = source.uniform(0.0, 0.5)
    return (cut,) + tuple(
        Fault("worker_cut", BEGIN_S, 9.0, worker, delay_s, {"from": "nodes"})
        for worker in source.sample("012", 2)
    )


def leader_came_and_went(source):
    """e, f. A leader comes and goes while the watches hear nothing."""
    faults = [Fault("store_deaf", BEGIN_S, source.uniform(2, 6))]
    for number in range(3):
        kind = source.choice(("node_kill", "node_stop", "node_freeze"))
        at = BEGIN_S + number * source.uniform(0.5, 2.0)
        faults.append(Fault(kind, at, source.uniform(0.2, 8.0), "leader"))
    if source.random() < 0.5:
        faults.append(Fault("lost_handover", BEGIN_S, source.uniform(1, 5)))
    return tuple(faults)


def earlier_answer(source):
    """g. Answers of the earlier incarnation come after the restart is known."""
    worker = source.choice("012")
    slow_s = source.uniform(0.2, 0.6)
    slow = Fault("slow_links", BEGIN_S - 1, 6.0, worker, None, {"slow_s": slow_s})
    at = BEGIN_S + source.uniform(0, 2)
    options = {"returns": "reborn", "dark": False}
    gap_s = source.uniform(0.01, 0.3)
    return (slow, Fault("worker_crash", at, gap_s, worker, None, options))


def late_to_next(source):
    """h. Orders are carried out late by the next incarnation under the same id."""
    options = {"share": 0.5, "reaches_next": True}
    late = Fault("late_orders", BEGIN_S, 2.0, "all", None, options)
    return (late, _reborn(source, (0.1, 3.0)), _reborn(source, (0.1, 3.0)))


def _crash(source, at_s, gap_s):
    return Fault(
        "worker_crash",
        BEGIN_S + source.uniform(*at_s),
        source.uniform(*gap_s),
        source.choice("012"),
        None,
        {"returns": "reborn", "dark": source.random() < 0.5},
    )


def late_wide(source):
    """h. Calls are carried out up to 12 s late, beside workers that are reborn."""
    share = source.choice((0.2, 0.5))
    options = {"share": share, "reaches_next": True, "range": (2.0, 12.0)}
    late = Fault("late_orders", BEGIN_S, 5.0, "all", None, options)
    return (late,) + tuple(_crash(source, (1.0, 8.0), (0.05, 1.5)) for _ in range(4))


def early_acknowledgement(source):
    """h. Ends are stored late, and acknowledged to the next incarnation of a worker."""
    lasts_s = source.uniform(3.0, 5.0)
    faults = [Fault("store_down", BEGIN_S, lasts_s)]
    options = {"returns": "reborn", "dark": True}
    for worker in "012":
        at = BEGIN_S + lasts_s - source.uniform(0.0, 1.2)
        gap_s = source.uniform(0.05, 0.6)
        faults.append(Fault("worker_crash", at, gap_s, worker, None, options))
    return tuple(faults)


def second_copy(source):
    """i. curl sends a start again, and the second copy is refused."""
    worker = source.choice("012")
    resets = Fault("resets", BEGIN_S, 3.0, worker, None, {"times": 60})
    share = source.choice((0.3, 0.6))
    refusals = Fault("unhealthy", BEGIN_S, 4.0, worker, None, {"share": share})
    return (resets, refusals)


def overtaken_copy(source):
    """i. curl sends starts again, and calls with a raised token come in between."""
    options = {"times": 300}
    return tuple(
        Fault("resets", BEGIN_S, 0.1, worker, None, options) for worker in "012"
    )


def moved_queue(source):
    """j. A queue moves while a worker of its former pool has not reported."""
    kill = Fault("node_kill", BEGIN_S, 5.0)
    at = BEGIN_S + source.uniform(-0.3, 0.5)
    options = {"from": "nodes"}
    cut = Fault("worker_cut", at, 6.0, source.choice("01"), None, options)
    delay_s = source.uniform(0.1, 0.8)
    moves = Fault("queue_moves", BEGIN_S, 9.0, "leader", delay_s, {"queue": "q1"})
    return (kill, cut, moves)


def unlisted_worker(source):
    """k. A worker is missing from the store when a leader takes over."""
    worker = source.choice("012")
    lost = Fault("worker_cut", BEGIN_S, 6.0, worker, None, {"from": "store"})
    hidden = Fault("cloud_down", BEGIN_S, source.uniform(2, 6))
    at = BEGIN_S + source.uniform(1.0, 2.0)
    kind = source.choice(("node_kill", "node_freeze"))
    silent = Fault("worker_cut", at, 3.0, worker, None, {"from": "nodes"})
    return (lost, hidden, Fault(kind, at, 8.0), silent)


def many_ends(source):
    """l. More ends than one page lists wait while nothing can be stored."""
    large = Fault("large_job", BEGIN_S, options={"count": 1500, "estimate_ms": 20})
    at = BEGIN_S + source.uniform(0.2, 1.0)
    return (large, Fault("store_down", at, source.uniform(4.0, 5.5)))


def odd_writer(source):
    """m. Another writer names the machine of a silent worker."""
    worker = source.choice("012")
    cut = Fault("worker_cut", BEGIN_S, 6.0, worker, None, {"from": "nodes"})
    at = BEGIN_S + source.uniform(1.0, 1.6)
    return (cut, Fault("odd_entry", at, target=worker))


def changed_address(source):
    """m. Another writer names another address of a worker."""
    worker = source.choice("012")
    at = BEGIN_S + source.uniform(0.0, 2.0)
    return (Fault("odd_entry", at, target=worker, options={"same_id": True}),)


def start_at_next(source):
    """A start reaches the next incarnation before its leader knows of it."""
    options = {"returns": "reborn", "dark": True}
    return tuple(
        Fault("worker_crash", at + source.uniform(0, 1), 0.05, "0", None, options)
        for at in (6.0, 10.0, 14.0, 18.0, 22.0, 26.0)
    )


def late_and_cut_off(source):
    """Late calls renew leases of a worker that is reborn, and cut off soon after."""
    late = {"share": 0.3, "reaches_next": True, "range": (1.5, 5.0)}
    reborn = {"returns": "reborn", "dark": True}
    faults = []
    for worker, earliest in zip("012", (7.0, 13.0, 19.0), strict=True):
        at = earliest + source.uniform(0, 2)
        gap_s = source.uniform(0.05, 0.8)
        cut_at = at + gap_s + source.uniform(0.02, 1.5)
        faults += [
            Fault("late_orders", at - 0.5, gap_s + 1.0, worker, None, late),
            Fault("worker_crash", at, gap_s, worker, None, reborn),
            Fault("worker_cut", cut_at, 9.0, worker, None, {"from": "all"}),
        ]
    return tuple(faults)


def stored_for_earlier(source):
    """Ends of the earlier incarnation are stored after the next one has begun."""
    slow_s = source.uniform(0.3, 0.7)
    slow = Fault("store_slow", BEGIN_S, 6.0, options={"slow_s": slow_s})
    return (slow, _reborn(source, dark=False), _reborn(source, dark=False))


def _restart_unheard(source, worker, begin_s, **options):
    """Returns a dark restart of which the leader learns late.

    The clock of the earlier incarnation is ahead by more than the longest lease.
    """
    options = {
        "returns": "reborn",
        "dark": True,
        "silent_share": source.choice((0.5, 1.0)),
        "registers_after_s": source.uniform(0.5, 1.5),
    } | options
    at, gap_s = begin_s + source.uniform(0.0, 3.0), source.uniform(0.02, 0.5)
    return Fault("worker_crash", at, gap_s, worker, None, options)


def _restarts_and_cuts(source):
    """Yields three pairs of a restart and the cut after it."""
    for worker, begin_s in zip(source.sample("012", 3), RESTARTS_S, strict=True):
        crash = _restart_unheard(source, worker, begin_s)
        at = crash.at + crash.lasts_s + source.uniform(0.1, 2.0)
        options = {"from": "nodes", "how": source.choice(("both", "in", "out"))}
        yield crash, Fault("worker_cut", at, CUT_S, worker, None, options)


def cut_after_restart(source):
    """n. A worker is reborn and cut off before the leader has heard of it."""
    return tuple(fault for pair in _restarts_and_cuts(source) for fault in pair)


def _with_lost_leader(source, kind, after_s, lasts_s):
    faults = []
    for crash, cut in _restarts_and_cuts(source):
        at = cut.at + source.uniform(*after_s)
        faults += [crash, cut, Fault(kind, at, lasts_s)]
    return tuple(faults)


def cut_after_restart_and_takeover(source):
    """n. The leader is killed before the cut or in it."""
    return _with_lost_leader(source, "node_kill", (-0.6, 6.0), 5.0)


def cut_after_restart_and_return(source):
    """n. The leader is killed as before; its next process answers in the barrier."""
    return _with_lost_leader(source, "node_kill", (-0.6, 6.0), 2.0)


def unreached_but_by_lost_leader(source):
    """n. Only the leader reaches two workers; it is killed, and soon answers again.

    One of them has just been reborn. Both outlive the barrier without a call.
    """
    reborn, other = source.sample("012", 2)
    crash = _restart_unheard(source, reborn, RESTARTS_S[0])
    killed_at = crash.at + crash.lasts_s + source.uniform(0.0, 2.5)
    faults = [crash, Fault("node_kill", killed_at, source.uniform(1.4, 4.0))]
    for worker in (reborn, other):
        for whom in ("followers", "store"):
            at = crash.at - source.uniform(0.0, 0.5)
            options = {"from": whom}
            faults.append(Fault("worker_cut", at, 25.0, worker, None, options))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def unreached_but_by_cut_leader(source):
    """o. The leader is cut off from the store, the nodes and one worker, and acts on.

    Only it reaches the two others; one of them has just been reborn, in half of the
    draws. Both outlive the barrier without a call of its successor.
    """
    reborn, other, reached = source.sample("012", 3)
    crash = _restart_unheard(source, reborn, RESTARTS_S[0])
    struck_at = crash.at + crash.lasts_s + source.uniform(0.0, 2.5)
    faults = [
        Fault("node_cut", struck_at, 25.0, "leader", None, {"from": "core"}),
        # A worker that both reach would tell it of its successor's token.
        Fault("worker_cut", struck_at, 25.0, reached, None, {"from": "leader"}),
    ]
    if source.random() < 0.5:
        faults.append(crash)
    for worker in (reborn, other):
        for whom in ("followers", "store"):
            at = struck_at - source.uniform(0.1, 0.5)
            cut = {"from": whom}
            faults.append(Fault("worker_cut", at, 25.0, worker, None, cut))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _struck_at(faults):
    return next(fault.at for fault in faults if fault.kind == "node_cut")


def unreached_but_by_frozen_leader(source):
    """o. The leader is frozen besides, and then goes on as the one that it was."""
    faults = unreached_but_by_cut_leader(source)
    frozen = Fault("node_freeze", _struck_at(faults), source.uniform(1.8, 5.0))
    return (*faults, frozen)


def cut_leader_after_outage(source):
    """o. An outage of the store comes just before."""
    faults = unreached_but_by_cut_leader(source)
    lasts_s = source.uniform(1.0, 3.0)
    at = _struck_at(faults) - lasts_s - source.uniform(-0.5, 1.0)
    return (Fault("store_down", at, lasts_s), *faults)


def cut_after_restart_and_handover(source):
    """n. The leader hands over the runs of the worker that is cut off."""
    return _with_lost_leader(source, "node_stop", (-2.0, 5.0), 8.0)


def cut_after_restart_late_calls(source):
    """n. Calls to the worker, from just before its end on, are carried out late."""
    faults = []
    for crash, cut in _restarts_and_cuts(source):
        options = {"share": source.choice((0.2, 0.5)), "reaches_next": True}
        late = Fault("late_orders", crash.at - 0.5, 3.0, crash.target, None, options)
        faults += [late, crash, cut]
    return tuple(faults)


def cut_after_quick_restart(source):
    """n. The next poll waits at the next incarnation; all connections are reset."""
    faults = []
    for worker, begin_s in zip(source.sample("012", 3), RESTARTS_S, strict=True):
        options = {
            "returns": "reborn",
            "dark": False,
            "registers_after_s": source.uniform(0.5, 1.5),
        }
        at, gap_s = begin_s + source.uniform(0.0, 3.0), source.uniform(0.005, 0.08)
        cut_at = at + gap_s + source.uniform(0.1, 1.2)
        how = {"from": "nodes", "how": source.choice(("both", "in", "out"))}
        faults += [
            # The worker ends between two polls: the next waits for ends to be stored.
            Fault("store_slow", at - 0.7, 1.2, options={"slow_s": 0.5}),
            Fault("worker_crash", at, gap_s, worker, None, options),
            Fault("worker_cut", cut_at, CUT_S, worker, None, how),
        ]
    return tuple(faults)


def opened_while_dark(source):
    """n. A poll whose connection is opened while its worker is dark reaches the next.

    The worker dies between two polls: the next one waits for ends to be stored.
    """
    faults = []
    for worker, begin_s in zip(source.sample("012", 3), RESTARTS_S, strict=True):
        crash = _restart_unheard(source, worker, begin_s, silent_share=0.0)
        slow = Fault("store_slow", crash.at - 0.7, 1.0, options={"slow_s": 0.5})
        faults += [slow, crash]
    return tuple(faults)


CASES = {
    "cut-after-restart": Case(cut_after_restart, LONG),
    "cut-after-restart-and-takeover": Case(cut_after_restart_and_takeover, LONG),
    "cut-after-restart-and-return": Case(cut_after_restart_and_return, LONG),
    "unreached-but-by-lost-leader": Case(unreached_but_by_lost_leader, LONG),
    "unreached-but-by-cut-leader": Case(unreached_but_by_cut_leader, LONG),
    "unreached-but-by-frozen-leader": Case(unreached_but_by_frozen_leader, LONG),
    "cut-leader-after-outage": Case(cut_leader_after_outage, LONG),
    "cut-after-restart-and-handover": Case(cut_after_restart_and_handover, LONG),
    "cut-after-restart-late-calls": Case(cut_after_restart_late_calls, LONG),
    "cut-after-quick-restart": Case(cut_after_quick_restart, MIXED),
    "opened-while-dark": Case(opened_while_dark, QUICK),
    "stored-for-earlier": Case(stored_for_earlier, BUSY),
    "queued-start": Case(queued_start, BUSY),
    "job-behind-barrier": Case(job_behind_barrier),
    "adopted-lease": Case(adopted_lease),
    "leader-came-and-went": Case(leader_came_and_went),
    "earlier-answer": Case(earlier_answer, BUSY),
    "late-to-next": Case(late_to_next, BUSY),
    "late-wide": Case(late_wide),
    "late-busy": Case(late_wide, BUSY),
    "early-acknowledgement": Case(early_acknowledgement),
    "second-copy": Case(second_copy, BUSY),
    "overtaken-copy": Case(overtaken_copy, BUSY),
    "moved-queue": Case(moved_queue, WIDE),
    "unlisted-worker": Case(unlisted_worker),
    "many-ends": Case(many_ends, BUSY),
    "odd-writer": Case(odd_writer),
    "changed-address": Case(changed_address),
    "start-at-next": Case(start_at_next, SPARSE),
    "late-and-cut-off": Case(late_and_cut_off),
}
