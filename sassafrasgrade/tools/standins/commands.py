"""Command line of the stand-ins: platform, backends, proxy and load."""

import json
import signal
import sys
from pathlib import Path

import fire
import msgspec
from tornado.ioloop import IOLoop

from sassafrasgrade.logs import configure_logs
from sassafrasgrade.tables import Host
from sassafrasgrade.tools.standins.backends import BackendsStandIn
from sassafrasgrade.tools.standins.loads import LoadGenerator, LoadPlan
from sassafrasgrade.tools.standins.platforms import PlatformStandIn
from sassafrasgrade.tools.standins.proxies import ProxyStandIn


def _run_until_stopped(part):
    loop = IOLoop.current()

    def stop(signum, frame):
        loop.add_callback_from_signal(loop.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    part.start()
    print("ready", flush=True)
    loop.start()
    part.stop()


class StandInCommands:
    """Stand-ins for tests and trials; each runs until it is stopped."""

    def platform(self, address="127.0.0.1", port=7400, hosts=""):
        """Runs the platform: key-value service, leases and host list.

        Args:
            address: IP address to listen on.
            port: TCP port.
            hosts: JSON file with the hosts to list from the start.
        """
        configure_logs("INFO", "platform", "standin")
        part = PlatformStandIn(address, port)
        if hosts:
            rows = msgspec.json.decode(Path(hosts).read_bytes(), type=list[Host])
            part.state.put_hosts(rows)
        _run_until_stopped(part)

    def backends(self, hosts, data_centre="", slots=8, service_ms=20.0):
        """Runs the backend servers of a host file.

        Args:
            hosts: JSON file with hosts.
            data_centre: Only the hosts of this data centre, if given.
            slots: Slots of each server.
            service_ms: Service time in milliseconds.
        """
        configure_logs("INFO", data_centre or "backends", "standin")
        rows = msgspec.json.decode(Path(hosts).read_bytes(), type=list[Host])
        chosen = [
            (host.name, host.address, host.port)
            for host in rows
            if host.port and data_centre in ("", host.data_centre)
        ]
        _run_until_stopped(BackendsStandIn(chosen, slots, service_ms))

    def proxy(self, lanes, control_address="127.0.0.1", control_port=7499):
        """Runs the fault-injecting TCP proxy.

        Args:
            lanes: JSON file: [[name, address, port, target address, port], ...].
            control_address: IP address of the control interface.
            control_port: TCP port of the control interface.
        """
        configure_logs("INFO", "proxy", "standin")
        rows = json.loads(Path(lanes).read_text())
        _run_until_stopped(ProxyStandIn(rows, control_address, control_port))

    def load(self, plan, result="-"):
        """Runs a load plan and writes the result as JSON.

        Args:
            plan: JSON file with a load plan (``LoadPlan``).
            result: File to write; - for standard output.
        """
        configure_logs("INFO", "load", "standin")
        decoded = msgspec.json.decode(Path(plan).read_bytes(), type=LoadPlan)
        found = IOLoop.current().run_sync(LoadGenerator(decoded).run)
        text = json.dumps(found, indent=1)
        if result == "-":
            sys.stdout.write(text + "\n")
        else:
            Path(result).write_text(text)


def main():
    """Entry point of ``sassafrasgrade-standin``."""
    fire.Fire(StandInCommands, name="sassafrasgrade-standin")
