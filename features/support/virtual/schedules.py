"""Random schedules of faults, drawn from a seed."""

import random

from features.support.virtual.faults import Fault

FIRST_S = 5.0
# Range of the time after which a wide schedule's calls are carried out late, in
# seconds (published).
WIDE_LATE_S = (2.0, 12.0)
# Time that a wide schedule leaves after its first fault, in seconds.
WIDE_TAIL_S = 25.0
# Kinds and how often each is drawn.
WEIGHTS = {
    "worker_crash": 5,
    "worker_cut": 6,
    "late_orders": 4,
    "late_cloud": 1,
    "cloud_down": 1,
    "resets": 3,
    "unhealthy": 2,
    "store_down": 3,
    "store_slow": 2,
    "store_loses": 3,
    "store_late": 3,
    "store_deaf": 2,
    "store_refuses": 3,
    "node_freeze": 5,
    "node_cut": 6,
    "node_kill": 4,
    "node_stop": 2,
    "lost_handover": 2,
    "slow_links": 1,
    "queue_moves": 2,
}
OPTIONS = {
    "worker_crash": {
        "returns": ("reborn", "reborn", "new", "reuse", "swap"),
        "dark": (False, False, True),
    },
    "worker_cut": {
        "from": ("leader", "nodes", "nodes", "store", "all", "all"),
        "how": ("both", "both", "out", "in"),
    },
    "late_orders": {"share": (0.1, 0.3, 0.6)},
    "resets": {"times": (1, 5, 10)},
    "store_down": {"refuses": (False, True), "pauses": (False, True)},
    "store_loses": {"share": (0.2, 0.5, 0.9)},
    "store_late": {"share": (0.2, 0.5)},
    "store_refuses": {"how": ("503", "429", "silent")},
    "node_cut": {
        "from": ("store", "nodes", "core", "core", "workers", "all", "rest"),
        "how": ("both", "both", "out", "in"),
        "every": (1, 2),
    },
    "queue_moves": {"queue": ("q1", "q2")},
}
NODE_KINDS = ("store_refuses", "node_freeze", "node_cut", "node_kill", "node_stop")


def draw_schedule(seed, seconds):
    """Returns the ``Fault`` values of a seed, in order of time."""
    source = random.Random(f"{seed}/faults")
    count = source.randint(2, 6)
    centre = source.uniform(FIRST_S + 2.0, seconds - 20.0)
    faults = [_draw(source, centre) for _ in range(count)]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def draw_wide_schedule(seed, seconds):
    """Returns the ``Fault`` values of a seed's wide schedule, in order of time.

    Calls to workers are carried out late, also by later incarnations, beside workers
    that start again under their ids. In a part of the schedules the leader is lost, the
    store is away while workers start, or a worker is cut off after its start.
    """
    source = random.Random(f"{seed}/wide")
    begin = source.uniform(FIRST_S + 2.0, seconds - WIDE_TAIL_S)
    restarts = [_restart(source, begin) for _ in range(source.randint(2, 4))]
    faults = [_late_window(source, begin), *restarts]
    if source.random() < 0.5:
        faults += _lost_leader(source, begin)
    if source.random() < 0.5:
        faults.append(_store_outage(source, source.choice(restarts)))
    if source.random() < 0.4:
        faults.append(_cut_after(source, source.choice(restarts)))
    faults += [_draw(source, begin + 2.0) for _ in range(source.randint(0, 2))]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _late_window(source, begin):
    options = {
        "share": source.choice((0.1, 0.2, 0.5)),
        "reaches_next": True,
        "range": WIDE_LATE_S,
    }
    lasts_s = round(source.uniform(2.0, 6.0), 3)
    return Fault("late_orders", round(begin, 3), lasts_s, "all", None, options)


def _restart(source, begin, delay_s=None):
    at = round(begin + source.uniform(0.5, 9.0), 3)
    lasts_s = round(source.choice((0.05, 0.3, 1.5)) * source.uniform(0.7, 1.3), 3)
    options = {"returns": "reborn", "dark": source.random() < 0.5}
    return Fault("worker_crash", at, lasts_s, source.choice("0123"), delay_s, options)


def _lost_leader(source, begin):
    """Returns the loss of a leader, and workers that start again after a takeover."""
    kind = source.choice(("node_kill", "node_freeze", "node_cut"))
    options = {"from": source.choice(("core", "all"))} if kind == "node_cut" else {}
    at = round(begin + source.uniform(0.5, 6.0), 3)
    lasts_s = round(source.uniform(3.0, 10.0), 3)
    loss = Fault(kind, at, lasts_s, "leader", None, options)
    delays_s = [source.uniform(0.0, 2.5) for _ in range(source.randint(1, 2))]
    return [loss] + [_restart(source, begin, delay_s) for delay_s in delays_s]


def _store_outage(source, restart):
    kind = source.choice(("store_down", "store_down", "store_slow", "store_refuses"))
    options = {
        name: source.choice(values) for name, values in OPTIONS.get(kind, {}).items()
    }
    at = round(restart.at + source.uniform(-1.5, 0.3), 3)
    lasts_s = round(source.uniform(0.5, 5.5), 3)
    return Fault(kind, at, lasts_s, "leader", None, options)


def _cut_after(source, restart):
    at = round(restart.at + restart.lasts_s + source.uniform(0.5, 4.0), 3)
    lasts_s = round(source.uniform(2.0, 9.0), 3)
    options = {"from": source.choice(("leader", "nodes", "nodes")), "how": "both"}
    return Fault("worker_cut", at, lasts_s, restart.target, None, options)


def _draw(source, centre):
    kind = source.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    at = max(FIRST_S, centre + source.uniform(-3.0, 5.0))
    lasts_s = source.choice((0.3, 1.0, 2.0, 4.0, 7.0, 10.0)) * source.uniform(0.7, 1.3)
    if kind in NODE_KINDS:
        target = source.choice(("leader", "leader", "leader", "0", "1", "2"))
    else:
        target = source.choice(("spoken", "spoken", "0", "1", "2", "3"))
    if kind == "late_orders" and source.random() < 0.5:
        target = "all"
    delay_s = source.uniform(0.0, 2.5) if source.random() < 0.3 else None
    options = {
        name: source.choice(values) for name, values in OPTIONS.get(kind, {}).items()
    }
    return Fault(kind, round(at, 3), round(lasts_s, 3), target, delay_s, options)
