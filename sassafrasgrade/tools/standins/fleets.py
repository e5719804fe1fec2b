"""Real node processes with stand-ins for the store, the workers and the hosts."""

import asyncio
import base64
import itertools
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop

from sassafrasgrade.platform import names
from sassafrasgrade.timers import TimerService
from sassafrasgrade.tools.standins.fleet_handlers import (
    StandInFleet,
    create_cloud_application,
)
from sassafrasgrade.tools.standins.proxies import Lane
from sassafrasgrade.tools.standins.store_handlers import StoreServer

POOL = "pool-work"
STANDBY = "pool-standby"
QUEUE_HOST = "jobs.example"
QUEUE_PREFIX = "/tasks/"
WAIT_TIMEOUT_S = 10.0
WORKER_PORT_COUNT = 200
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 317
# Numbers of a byte of an address that hosts use.
HOST_BYTES = 250


def own_loopback_address(process_id):
    """Returns the loopback address of a process that runs fleets.

    A killed node's port is free until the node starts again: another process on the
    same address might take it meanwhile.
    """
    third, fourth = divmod(process_id % (HOST_BYTES * HOST_BYTES), HOST_BYTES)
    return f"127.0.{third + 1}.{fourth + 1}"


ADDRESS = own_loopback_address(os.getpid())


def free_ports(count):
    """Returns TCP ports that are not bound at present.

    All are below the ephemeral range, from which outgoing connections get
    their ports. The search starts at a port that differs between processes.
    """
    found = []
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_PROCESS
    for step in range(span):
        port = FIRST_PORT + (start + step) % span
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"fewer than {count} TCP ports are free below {LAST_PORT}")


def _queue(number, prefix):
    return {
        "name": f"queue-{number}",
        "host": QUEUE_HOST,
        "prefix": prefix,
        "service": POOL,
        "timeoutMs": 3000,
        "targetDurationMs": 600,
        "maxAttempts": 4,
        "stretch": 1.6,
    }


class NodeProcess:
    """A node: its settings, its proxy lane to the store and its process."""

    def __init__(self, number, folder, ports, store_port, cloud_port):
        self.name = f"node-{number}"
        self.clients_port, self.ready_port, peers, metrics, self.lane_port = ports
        self.metrics_port = metrics
        self.lane = Lane(ADDRESS, store_port)
        self.process = None
        self._output = folder / f"{self.name}.out"
        self._settings = folder / f"{self.name}.ini"
        self._settings.write_text(
            f"[node]\nname = {self.name}\ndata_centre = z1\naddress = {ADDRESS}\n"
            f"[listen]\nclients = {ADDRESS}:{self.clients_port}\n"
            f"readiness = {ADDRESS}:{self.ready_port}\n"
            f"peers_port = {peers}\nmetrics_port = {metrics}\n"
            f"[store]\naddress = {ADDRESS}:{self.lane_port}\n"
            f"[cloud]\naddress = {ADDRESS}:{cloud_port}\n"
        )

    def start(self):
        """Starts the process with its output appended to a file."""
        with open(self._output, "ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sassafrasgrade.nodes",
                    f"--settings={self._settings}",
                ],
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number):
        """Sends a signal; returns False if the process is not running."""
        if self.process is None or self.process.poll() is not None:
            return False
        self.process.send_signal(number)
        return True

    def log_records(self):
        """Returns the decoded JSON lines of its output; skips other lines."""
        if not self._output.exists():
            return []
        records = []
        for line in self._output.read_text().splitlines():
            try:
                records.append(json.loads(line))
            except ValueError:
                continue
        return records

    def output_text(self):
        """Returns its output so far."""
        return self._output.read_text() if self._output.exists() else ""


class FleetHarness:
    """Stand-ins on the event loop of a thread, and nodes as processes.

    Args:
        folder: Folder for the settings and outputs of the nodes.
        node_count: Number of nodes.
        host_count: Hosts of the work pool; half as many more are on standby.
        has_standby: Whether there is a standby pool, to which idle hosts are moved.
    """

    def __init__(self, folder, node_count=3, host_count=4, has_standby=True):
        logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
        self._loop = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run_loop, daemon=True)
        self._thread.start()
        self._ready.wait()
        store_port, cloud_port, *other_ports = free_ports(
            2 + 5 * node_count + WORKER_PORT_COUNT
        )
        ports = iter(other_ports)
        self.nodes = [
            NodeProcess(
                number,
                Path(folder),
                list(itertools.islice(ports, 5)),
                store_port,
                cloud_port,
            )
            for number in range(node_count)
        ]
        self.version = 0
        self._has_standby = has_standby
        self.call(self._create_stand_ins, store_port, cloud_port, ports, host_count)

    def _run_loop(self):
        asyncio.set_event_loop(asyncio.new_event_loop())
        self._loop = IOLoop.current()
        self._loop.add_callback(self._ready.set)
        self._loop.start()

    def call(self, function, *arguments):
        """Runs a function on the stand-ins' loop and returns its result."""
        done = threading.Event()
        result = []

        def run():
            try:
                result.append((True, function(*arguments)))
            except Exception as error:  # re-raised in the calling thread
                result.append((False, error))
            done.set()

        self._loop.add_callback(run)
        if not done.wait(WAIT_TIMEOUT_S):
            raise TimeoutError("the stand-ins' event loop did not run a call in time")
        succeeded, value = result[0]
        if not succeeded:
            raise value
        return value

    def _create_stand_ins(self, store_port, cloud_port, ports, host_count):
        self.timers = TimerService()
        self.store = StoreServer(self.timers)
        self.fleet = StandInFleet(self.store, self.timers, ADDRESS, ports)
        servers = [
            (HTTPServer(self.store.application()), store_port),
            (HTTPServer(create_cloud_application(self.fleet, STANDBY)), cloud_port),
        ]
        for server, port in servers:
            server.listen(port, ADDRESS)
        for node in self.nodes:
            node.lane.listen(node.lane_port, ADDRESS)
        for number in range(host_count):
            self.fleet.add_host(f"host-{number}", POOL)
        standby_count = host_count // 2 if self._has_standby else 0
        for number in range(host_count, host_count + standby_count):
            self.fleet.add_host(f"host-{number}", STANDBY, is_standby=True)
        self._put_configuration()

    def _put_configuration(self, more_prefixes=()):
        self.version += 1
        prefixes = [QUEUE_PREFIX, *more_prefixes]
        queues = [_queue(n, prefix) for n, prefix in enumerate(prefixes, 1)]
        pools = [{"name": POOL, "enforcesCapacity": True}]
        if self._has_standby:
            pools.append({"name": STANDBY, "enforcesCapacity": True, "standby": True})
        value = {"version": self.version, "routes": queues, "services": pools}
        self._put(names.CONFIGURATION_KEY, value)

    def _put(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.state.commit([], [{"key": key, "value": text}], [])
        self.store.notify()

    def change_configuration(self, more_prefixes=()):
        """Writes the next version of the configuration.

        Args:
            more_prefixes: Prefixes of queues beside the usual one.
        """
        self.call(self._put_configuration, more_prefixes)

    def order_wave(self, number, hosts, cap=1, duration_s=20):
        """Writes a wave: an order to maintain hosts, at most ``cap`` at a time."""
        value = {"wave": number, "machines": hosts, "durationS": duration_s}
        self.call(self._put, f"{names.WAVE_PREFIX}{number}", value | {"cap": cap})

    def stored(self, prefix):
        """Returns the values under a prefix by key, decoded from base64."""
        rows, _ = self.call(self.store.state.page, prefix, "")
        return {row["key"]: base64.b64decode(row["value"]) for row in rows}

    def leader_name(self):
        """Returns the name of the node that is stored as leader, or None."""
        values = self.stored("own/leader")
        for value in values.values():
            for node in self.nodes:
                if node.name.encode() in value:
                    return node.name
        return None

    def node(self, name):
        """Returns a node by name."""
        return next(node for node in self.nodes if node.name == name)

    def start(self):
        """Starts all nodes."""
        for node in self.nodes:
            node.start()

    def stop(self):
        """Kills the processes that this harness started, and stops the stand-ins."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(WAIT_TIMEOUT_S)
        self._loop.add_callback(self._loop.stop)
        self._thread.join(WAIT_TIMEOUT_S)
