"""Faults of a simulated site, and random schedules of them."""

from dataclasses import dataclass, field

import msgspec

from features.support.virtual.networks import ANYONE, LATE_RANGE_S, Cut, Lateness

# Time after which a fault that waits for a takeover strikes all the same.
MOST_WAIT_S = 12.0


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: Name of a function below.
        at: When it begins, or begins to wait for a takeover, in simulated seconds.
        lasts_s: How long it lasts.
        target: ``leader``, ``spoken`` (worker the leader spoke to last), the number
            of a node or worker, or ``all``.
        delay_s: Time after the takeover; None if it does not wait for one.
        options: Further options of the kind.
    """

    kind: str
    at: float
    lasts_s: float = 0.0
    target: str = "leader"
    delay_s: float | None = None
    options: dict = field(default_factory=dict)

    def arm(self, world):
        """Schedules the fault."""
        if self.delay_s is None:
            world.at(self.at, self._strike, world, [])
        else:
            world.at(self.at, self._wait, world)

    def _wait(self, world):
        struck = []
        world.on_takeover.append(
            lambda: world.at(world.now + self.delay_s, self._strike, world, struck)
        )
        world.at(world.now + MOST_WAIT_S, self._strike, world, struck)

    def _strike(self, world, struck):
        if not struck:
            struck.append(True)
            world.log(
                "fault", f"{self.kind} {self.target} {self.lasts_s} {self.options}"
            )
            KINDS[self.kind](self, world)

    def node(self, world):
        """Returns the node that it strikes, or None."""
        if self.target.isdigit():
            return world.nodes[int(self.target) % len(world.nodes)]
        return world.leader()

    def machine(self, world):
        """Returns the machine that it strikes."""
        machines = list(world.cloud.machines_by_name.values())
        if self.target.isdigit():
            return machines[int(self.target) % len(machines)]
        busy = [m for m in machines if m.worker.is_up and m.worker.runs_by_key]
        return max(busy, key=_newest_start, default=machines[0])


def _newest_start(machine):
    return max(run.began_at for run in machine.worker.runs_by_key.values())


def _cut(world, places, others, until, how):
    for place in places:
        for other in others:
            if how in ("both", "out"):
                world.network.cuts.append(Cut(place, other, until))
            if how in ("both", "in"):
                world.network.cuts.append(Cut(other, place, until))


def worker_crash(fault, world):
    """A worker dies; its machine boots another, by the same or another id."""
    machine = fault.machine(world)
    worker, options = machine.worker, fault.options
    if not worker.is_up:
        return
    worker.die(options.get("dark", False))
    if "silent_share" in options:
        world.network.silence(worker.address, options["silent_share"])
    how = options.get("returns", "reborn")
    worker_id = worker.worker_id if how == "reborn" else None
    address = None if how in ("reborn", "reuse") else world.cloud.new_address()
    if options.get("dark") and address is None and how == "reuse":
        address = worker.address
    if how == "swap":
        address = _address_of_another(world, machine)
    at, silent_s = world.now + fault.lasts_s, options.get("registers_after_s", 0.0)
    clock_ms = options.get("clock_ms")
    world.at(at, world.cloud.boot, machine, worker_id, address, silent_s, clock_ms)


def _address_of_another(world, machine):
    for other in world.cloud.machines_by_name.values():
        if other is not machine and not other.worker.is_up:
            return other.worker.address
    return world.cloud.new_address()


def worker_cut(fault, world):
    """A worker is cut off from nodes, from the store, or from both."""
    name = fault.machine(world).name
    until = world.now + fault.lasts_s
    leader = world.leader()
    whom = {
        "leader": [leader.name] if leader else [],
        "nodes": [node.name for node in world.nodes],
        "store": ["store"],
        "followers": [node.name for node in world.nodes if node is not leader],
        "all": [ANYONE],
    }[fault.options.get("from", "nodes")]
    _cut(world, [name], whom, until, fault.options.get("how", "both"))


def late_orders(fault, world):
    """Calls to workers get no answer and are carried out late."""
    place = ANYONE if fault.target == "all" else fault.machine(world).name
    until = world.now + fault.lasts_s
    share = fault.options.get("share", 0.3)
    window = tuple(fault.options.get("range", LATE_RANGE_S))
    reaches = fault.options.get("reaches_next", False)
    if place == ANYONE:
        for machine in world.cloud.machines_by_name.values():
            late = Lateness(machine.name, share, until, window, reaches)
            world.network.lateness.append(late)
    else:
        world.network.lateness.append(Lateness(place, share, until, window, reaches))


def late_cloud(fault, world):
    """Calls to the host service are carried out late."""
    until = world.now + fault.lasts_s
    world.network.lateness.append(Lateness("cloud", 0.5, until))


def cloud_down(fault, world):
    """The host service does not answer."""
    world.cloud.down_until = world.now + fault.lasts_s


def resets(fault, world):
    """Connections to a worker are reset, several times."""
    machine = fault.machine(world)
    for number in range(fault.options.get("times", 5)):
        at = world.now + number * fault.lasts_s / 5
        world.at(at, lambda: world.network.reset(machine.address))


def unhealthy(fault, world):
    """A worker refuses some or all calls as unhealthy."""
    worker = fault.machine(world).worker
    worker.unhealthy_until = world.now + fault.lasts_s
    worker.unhealthy_share = fault.options.get("share", 1.0)


def store_down(fault, world):
    """The store is down."""
    world.store.stop_until(
        world.now + fault.lasts_s,
        fault.options.get("refuses", False),
        fault.options.get("pauses", True),
    )


def store_slow(fault, world):
    """The store answers slowly."""
    world.store.slow_until = world.now + fault.lasts_s
    world.store.slow_s = fault.options.get("slow_s", 0.6)


def store_loses(fault, world):
    """The store loses answers."""
    world.store.lost_until = world.now + fault.lasts_s
    world.store.lost_share = fault.options.get("share", 0.4)


def store_late(fault, world):
    """The store carries out commits late."""
    world.store.late_until = world.now + fault.lasts_s
    world.store.late_share = fault.options.get("share", 0.4)


def store_deaf(fault, world):
    """Watches hear nothing."""
    world.store.deaf_until = world.now + fault.lasts_s


def store_refuses(fault, world):
    """The store refuses one node."""
    node = fault.node(world)
    if node is not None:
        how = fault.options.get("how", "503")
        until = world.now + fault.lasts_s
        world.store.refused_until_by_node[node.name] = (until, how)


def node_freeze(fault, world):
    """A node's process stops while time goes on."""
    node = fault.node(world)
    if node is not None:
        node.frozen_until = world.now + fault.lasts_s


def node_cut(fault, world):
    """A node is cut off from the store, from the other nodes, or from workers."""
    node = fault.node(world)
    if node is None:
        return
    others = [other.name for other in world.nodes if other is not node]
    machines = list(world.cloud.machines_by_name)
    some = machines[:: fault.options.get("every", 2)]
    whom = {
        "store": ["store"],
        "nodes": others,
        "core": ["store", *others],
        "workers": some,
        "all": [ANYONE],
        "rest": ["store", *others, *some],
    }[fault.options.get("from", "store")]
    how = fault.options.get("how", "both")
    _cut(world, [node.name], whom, world.now + fault.lasts_s, how)


def node_kill(fault, world):
    """A node is killed and starts again."""
    node = fault.node(world)
    if node is not None and node.is_alive:
        node.kill()
        world.at(world.now + fault.lasts_s, _start_again, node)


def node_stop(fault, world):
    """A node stops gracefully and starts again."""
    node = fault.node(world)
    if node is not None and node.is_running:
        node.stop_gracefully()
        world.at(world.now + max(8.0, fault.lasts_s), _start_again, node)


def _start_again(node):
    node.kill()
    node.frozen_until = 0.0
    node.start()


def lost_handover(fault, world):
    """Handovers do not arrive."""
    world.lost_handover_until = world.now + fault.lasts_s


def slow_links(fault, world):
    """Messages to and from a machine or node take longer."""
    place = fault.options.get("place") or fault.machine(world).name
    world.network.delays_by_place[place] = fault.options.get("slow_s", 0.4)
    world.at(world.now + fault.lasts_s, world.network.delays_by_place.pop, place, None)


def queue_moves(fault, world):
    """A queue moves to the other pool by a newer configuration."""
    queue = fault.options.get("queue", "q1")
    world.configure({queue: fault.options.get("pool", "pool-2")})
    world.at(world.now + fault.lasts_s + 1.0, world.configure, {queue: "pool-1"})


def large_job(fault, world):
    """A client submits a job of many short tasks."""
    world.jobs.submit_large(
        fault.options.get("count", 2000), fault.options.get("estimate_ms", 20)
    )


def odd_entry(fault, world):
    """Another writer registers a worker on a machine, or another address of one."""
    machine = fault.machine(world)
    entry = machine.worker.entry() | {"address": "10.9.9.9:99"}
    worker_id = machine.worker.worker_id
    if not fault.options.get("same_id"):
        worker_id = f"odd-{machine.name}"
        entry |= {"born": entry["born"] + 1_000_000, "service": "unnamed"}
    world.store.put(f"servers/{worker_id}", msgspec.json.encode(entry))


KINDS = {
    function.__name__: function
    for function in (
        worker_crash,
        worker_cut,
        late_orders,
        late_cloud,
        cloud_down,
        resets,
        unhealthy,
        store_down,
        store_slow,
        store_loses,
        store_late,
        store_deaf,
        store_refuses,
        node_freeze,
        node_cut,
        node_kill,
        node_stop,
        lost_handover,
        slow_links,
        queue_moves,
        large_job,
        odd_entry,
    )
}
