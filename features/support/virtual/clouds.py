"""The simulated machines, and the host service that lists and moves them."""

from features.support.virtual.workers import CAPACITY, SimulatedWorker
from sassafrasgrade.platform import names

CLOUD = "cloud"
CLOUD_ADDRESS = "10.0.0.2:7500"
MOVE_S = 1.5
HEARTBEAT_S = 1.0 / 3
MIN_CLOCK_RATE = 0.98


class Machine:
    """A machine and its current worker."""

    def __init__(self, name, pool, address):
        self.name = name
        self.pool = pool
        self.address = address
        self.state = "up"
        self.worker = None
        self.listed_id = ""
        self.registers_at = 0.0


class SimulatedCloud:
    """All machines; also answers the host service's calls.

    Attributes:
        down_until: Time until which the host service does not answer.
        machines_by_name: The machines.
    """

    def __init__(self, world, random_source):
        self._world = world
        self._random = random_source
        self.machines_by_name = {}
        self._next_id = 0
        self._next_port = 9000
        self.down_until = 0.0
        world.network.listen(CLOUD_ADDRESS, CLOUD, self.handle)

    def add_machine(self, name, pool):
        """Adds a machine with a worker."""
        machine = Machine(name, pool, self.new_address())
        self.machines_by_name[name] = machine
        self.boot(machine)
        phase_s = self._random.uniform(0, HEARTBEAT_S)
        self._world.at(self._world.now + phase_s, self._beat_on, machine)

    def new_address(self):
        """Returns an address that was never used."""
        self._next_port += 1
        return f"10.0.1.1:{self._next_port}"

    def boot(self, machine, worker_id=None, address=None, silent_s=0.0, clock_ms=None):
        """Starts a worker on a machine, under a new id unless one is given.

        It registers after ``silent_s`` seconds; an earlier entry of its id stays
        meanwhile. Its clock begins at ``clock_ms``, if that is given.
        """
        if machine.worker is not None and machine.worker.is_up:
            return
        if worker_id is None:
            self._next_id += 1
            worker_id = f"w{self._next_id}"
        if address is not None:
            machine.address = address
        if self._is_taken(machine.address):
            machine.address = self.new_address()
        rate = self._random.uniform(MIN_CLOCK_RATE, 1.0)
        machine.worker = SimulatedWorker(
            self._world, worker_id, machine.name, machine.address, machine.pool, rate
        )
        if clock_ms is not None:
            machine.worker.first_clock_ms = clock_ms
        machine.registers_at = self._world.now + silent_s
        machine.state = "up"
        self._world.log("worker", f"{machine.worker.label} is up", worker_id)

    def _is_taken(self, address):
        """Whether a worker that is up listens at an address."""
        workers = [machine.worker for machine in self.machines_by_name.values()]
        return any(w is not None and w.is_up and w.address == address for w in workers)

    def _beat_on(self, machine):
        self._world.at(self._world.now + HEARTBEAT_S, self._beat_on, machine)
        worker = machine.worker
        if worker is None or not worker.is_up:
            return
        if self._world.now < machine.registers_at:
            self._world.store.keep_registered(worker.worker_id)
        elif self._world.network.is_open(machine.name, "store"):
            self._world.store.register(worker.worker_id, worker.entry())

    # The host service.

    def handle(self, arrival):
        """Carries out a call of a node."""
        if self._world.now < self.down_until:
            return
        if arrival.path == names.MACHINES_PATH:
            rows = [self._row(machine) for machine in self.machines_by_name.values()]
            arrival.respond(200, {"machines": rows})
        elif arrival.path == names.MACHINE_MOVE_PATH:
            self._move(arrival)
        else:
            arrival.respond(400, {})

    def _row(self, machine):
        worker = machine.worker
        is_up = worker is not None and worker.is_up
        return {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": "z1",
            "labels": ["kind", "r1"],
            "capacity": CAPACITY,
            "id": worker.worker_id if is_up else None,
        }

    def _move(self, arrival):
        machine = self.machines_by_name[arrival.body["machine"]]
        pool = arrival.body["pool"]
        if machine.pool == pool:
            arrival.respond(200, {})
            return
        worker = machine.worker
        if machine.state != "up" or worker is None or not worker.is_up:
            arrival.respond(409, {"reason": "busy"})
            return
        worker.die()
        machine.pool, machine.state = pool, "moving"
        address = self.new_address()
        at = self._world.now + MOVE_S
        self._world.at(at, self.boot, machine, None, address)
        arrival.respond(200, {})
