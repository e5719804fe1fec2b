"""Random schedules of faults, drawn from a seed."""

import random

from features.support.virtual.faults import Fault

FIRST_S = 5.0
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
