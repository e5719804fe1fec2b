"""Fleets of real nodes for scenarios: jobs, job states and faults."""

import json
import signal
import tempfile
import threading
from functools import partial

from features.support.calls import call
from features.support.waiting import wait_until
from sassafrasgrade.tools.standins.fleets import (
    ADDRESS,
    QUEUE_HOST,
    QUEUE_PREFIX,
    FleetHarness,
)
from sassafrasgrade.tools.standins.proxies import LaneFaults

START_TIMEOUT_S = 15.0
TASK_MS = 400


class NodeFleet:
    """A ``FleetHarness`` with the requests and faults that scenarios need."""

    def __init__(self, nodes, hosts, has_standby=True):
        folder = tempfile.mkdtemp(prefix="sassafrasgrade-nodes-")
        self.folder = folder
        self.harness = FleetHarness(folder, nodes, hosts, has_standby)
        self._timers = []

    def start(self):
        """Starts the nodes and waits until all are ready and one is the leader."""
        self.harness.start()
        wait_until(self.is_ready, START_TIMEOUT_S, "all nodes are ready")
        wait_until(self.harness.leader_name, START_TIMEOUT_S, "a node is the leader")

    def stop(self):
        """Ends the processes (called by the hooks of behave)."""
        for timer in self._timers:
            timer.join()
        self.harness.stop()

    def is_ready(self):
        """Whether all nodes report that they are ready."""
        return all(
            call(f"http://{ADDRESS}:{node.ready_port}/-/ready").status == 200
            for node in self.harness.nodes
        )

    def leader(self):
        """Returns the node that is the leader."""
        name = wait_until(
            self.harness.leader_name, START_TIMEOUT_S, "a node is the leader"
        )
        return self.harness.node(name)

    def call_later(self, delay_s, function, *arguments):
        """Calls a function after a delay, in a thread of its own."""
        timer = threading.Timer(delay_s, partial(function, *arguments))
        timer.start()
        self._timers.append(timer)

    def request(self, method, path, body=None, node=0, headers=None):
        """Sends a request to the address on which a node serves clients."""
        port = self.harness.nodes[node].clients_port
        all_headers = {"Host": QUEUE_HOST, "Content-Type": "application/json"}
        url = f"http://{ADDRESS}:{port}{path}"
        return call(url, method, body, all_headers | (headers or {}))

    def submit(self, job_id, body=None):
        """Submits a job to each node in turn until one accepts it.

        Returns:
            Whether it was accepted within 40 attempts.
        """
        for attempt in range(40):
            node = attempt % len(self.harness.nodes)
            reply = self.request(
                "POST", QUEUE_PREFIX + job_id, body or job_body(), node
            )
            if reply.status == 200:
                return True
            threading.Event().wait(0.2)
        return False

    def state(self, job_id):
        """Returns a job's state from the first node that answers, or an empty text."""
        for node in range(len(self.harness.nodes)):
            reply = self.request("GET", QUEUE_PREFIX + job_id, node=node)
            if reply.status == 200:
                return reply.json()["state"]
        return ""


def job_body(**step):
    """Returns the body of a job of two steps."""
    fields = {"cpu": 1000, "memMb": 64, "estimateMs": TASK_MS} | step
    return {
        "spec": json.dumps({"ms": TASK_MS, "cpu": 1000}),
        "steps": [fields | {"count": 3}, fields | {"count": 1, "after": [0]}],
    }


def restart_when_ended(fleet, node):
    """Starts a node again once its process has ended."""
    wait_until(
        lambda: node.process.poll() is not None, 10.0, "the node's process has ended"
    )
    node.start()


def kill_and_restart(fleet, nodes):
    """Kills nodes and starts them again."""
    for node in nodes:
        node.send_signal(signal.SIGKILL)
    for node in nodes:
        restart_when_ended(fleet, node)


def pause_leader(fleet):
    """Pauses the leader's process for three seconds."""
    leader = fleet.leader()
    leader.send_signal(signal.SIGSTOP)
    fleet.call_later(3.0, leader.send_signal, signal.SIGCONT)


def terminate_leader(fleet):
    """Stops the leader gracefully and starts it again."""
    leader = fleet.leader()
    leader.send_signal(signal.SIGTERM)
    restart_when_ended(fleet, leader)


def make_store_unresponsive(fleet):
    """Leaves all calls to the store unanswered for three seconds."""
    store = fleet.harness.store
    store.is_silent = True
    fleet.call_later(3.0, partial(setattr, store, "is_silent", False))


def end_leader_lease(fleet):
    """Ends the leader's lease in the store, which deletes its key."""
    store = fleet.harness.store
    lease = store.state.items_by_key["own/leader"].lease
    fleet.harness.call(store.state.end_lease, lease)
    fleet.harness.call(store.notify)


def cut_leader_from_store(fleet):
    """Cuts the leader's connection to the store for five seconds."""
    lane = fleet.leader().lane
    fleet.harness.call(lane.set_faults, LaneFaults(cut=True))
    clear = partial(fleet.harness.call, lane.set_faults, LaneFaults())
    fleet.call_later(5.0, clear)


def replace_worker(fleet):
    """Crashes a worker and starts another on its host."""
    stand_in = fleet.harness.fleet
    pool = stand_in.pools_by_host["host-0"]
    fleet.harness.call(stand_in.crash, "host-0")
    fleet.harness.call(stand_in.add_host, "host-0", pool)


def replace_workers(fleet):
    """Crashes three of four workers at once and starts others on their hosts."""
    stand_in = fleet.harness.fleet
    hosts = sorted(stand_in.pools_by_host)[:3]
    pools = [stand_in.pools_by_host[host] for host in hosts]
    for host in hosts:
        fleet.harness.call(stand_in.crash, host)
    for host, pool in zip(hosts, pools, strict=True):
        fleet.harness.call(stand_in.add_host, host, pool)


def change_configuration_often(fleet):
    """Writes thirty versions of the configuration, one after the other."""
    for _ in range(30):
        fleet.harness.change_configuration()


def make_worker_unresponsive(fleet):
    """Leaves all calls to a worker unanswered for seven seconds."""
    worker = fleet.harness.fleet.workers_by_host["host-1"]
    worker.is_dark = True
    fleet.call_later(7.0, partial(setattr, worker, "is_dark", False))


def store_fault(name, value):
    """Returns a fault that sets an attribute of the store."""
    return lambda fleet: setattr(fleet.harness.store, name, value)


FAULTS = {
    "nothing": lambda fleet: None,
    "the leader is killed": lambda f: kill_and_restart(f, [f.leader()]),
    "the leader is paused for 3 seconds": pause_leader,
    "the leader gets SIGTERM and is started again": terminate_leader,
    "all nodes are killed and started again": lambda f: kill_and_restart(
        f, f.harness.nodes
    ),
    "the store does not answer for 3 seconds": make_store_unresponsive,
    "the store loses the answers to 4 commits": store_fault("lose_next", 4),
    "the store carries out 3 commits late": store_fault("late_next", 3),
    "the store compacts its history": lambda f: f.harness.call(
        f.harness.store.state.compact
    ),
    "the store deletes the leader's key": end_leader_lease,
    "the leader is cut off from the store for 5 seconds": cut_leader_from_store,
    "a worker crashes and stays listed": lambda f: f.harness.call(
        f.harness.fleet.crash, "host-0", True
    ),
    "a worker crashes and is replaced on its host": replace_worker,
    "three of four workers crash at once and are replaced": replace_workers,
    "the configuration changes 30 times in quick succession": (
        change_configuration_often
    ),
    "all nodes but one are killed and started again": lambda f: kill_and_restart(
        f, f.harness.nodes[1:]
    ),
    "a worker does not answer for 7 seconds": make_worker_unresponsive,
    "a worker's runs make no progress": lambda f: setattr(
        f.harness.fleet.workers_by_host["host-0"].state, "hangs", True
    ),
    "all hosts are due for maintenance": lambda f: f.harness.order_wave(
        1, sorted(f.harness.fleet.pools_by_host), cap=2
    ),
}
