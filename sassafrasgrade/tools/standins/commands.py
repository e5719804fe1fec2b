"""Command line of the stand-ins: platform, backends, proxy and load."""

import json
import signal
import sys
from pathlib import Path

import fire
import msgspec
from tornado.ioloop import IOLoop

from sassafrasgrade.logs import STANDARD_ERROR, configure_logs
from sassafrasgrade.tables import Host
from sassafrasgrade.tools.standins.backends import BackendsStandIn
from sassafrasgrade.tools.standins.loads import LoadGenerator, LoadPlan
from sassafrasgrade.tools.standins.platforms import PlatformStandIn
from sassafrasgrade.tools.standins.proxies import ProxyStandIn


def _run_until_stopped(stand_in):
    loop = IOLoop.current()

    def stop(signum, frame):
        loop.add_callback_from_signal(loop.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stand_in.start()
    print("ready", flush=True)
    loop.start()
    stand_in.stop()


class StandInCommands:
    """Stand-ins for tests and trials; servers run until SIGTERM or SIGINT."""

    def platform(self, address="127.0.0.1", port=7400, hosts=""):
        """Runs the platform: key-value service, leases, host list and tasks.

        Args:
            address: IP address to listen on.
            port: TCP port.
            hosts: JSON file with the initial host list.
        """
        configure_logs("INFO", "platform", "standin", STANDARD_ERROR)
        stand_in = PlatformStandIn(address, port)
        if hosts:
            rows = msgspec.json.decode(Path(hosts).read_bytes(), type=list[Host])
            stand_in.state.put_hosts(rows)
        _run_until_stopped(stand_in)

    def backends(self, hosts, data_centre="", slots=8, service_ms=20.0):
        """Runs the backend servers of a list of hosts.

        Args:
            hosts: JSON file with the hosts.
            data_centre: If given, runs only the hosts of this data centre.
            slots: Requests that each server serves at a time.
            service_ms: Default service time in milliseconds.
        """
        configure_logs("INFO", data_centre or "backends", "standin", STANDARD_ERROR)
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
        configure_logs("INFO", "proxy", "standin", STANDARD_ERROR)
        rows = json.loads(Path(lanes).read_text())
        _run_until_stopped(ProxyStandIn(rows, control_address, control_port))

    def load(self, plan, result="-"):
        """Runs a load plan and writes the result as JSON.

        Args:
            plan: JSON file with a ``LoadPlan``.
            result: File to write, or ``-`` for standard output.
        """
        configure_logs("INFO", "load", "standin", STANDARD_ERROR)
        decoded = msgspec.json.decode(Path(plan).read_bytes(), type=LoadPlan)
        summary = IOLoop.current().run_sync(LoadGenerator(decoded).run)
        text = json.dumps(summary, indent=1)
        if result == "-":
            sys.stdout.write(text + "\n")
        else:
            Path(result).write_text(text)


def main():
    """Entry point of ``sassafrasgrade-standin``."""
    fire.Fire(StandInCommands, name="sassafrasgrade-standin")
