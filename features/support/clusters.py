"""Clusters of real processes on loopback, for scenarios and benches."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from features.support.calls import call
from features.support.waiting import wait_until
from sassafrasgrade.tools.standins.clusters import (
    ENTRY_HOST_COUNTS,
    ENTRY_STREAM_PORT,
    MANAGER_STREAM_PORT,
    PLATFORM_PORT,
    ClusterPlan,
)

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
PROXY_PORT = 7499
FIRST_LANE_OCTET = 100
PLATFORM_LANE_OCTET = 99
PROGRAMS = Path(sys.executable).parent


def loopback_octet():
    """Returns the second octet of this run's loopback addresses.

    Other runs on this machine are unlikely to use it. Features that CI runs in
    parallel get a lane number each, so that their addresses never collide.
    """
    lane = os.environ.get("SASSAFRASGRADE_LANE")
    return 20 + (int(lane) if lane else os.getpid()) % 200


class ProcessCluster:
    """Platform, backend servers, managers and entries as processes.

    Args:
        user: Whose sample tables to use, ``kapu`` or ``authority``.
        proxied: Whether the entry hosts' platform calls and the streams between
            them go through the fault proxy.
        overrides: Settings that differ, by lower-case name.
        tables: Folder with other tables than the samples.
        slots: Slots of each backend server stand-in.
        service_ms: Their service time.
        entry_counts: Number of entry hosts of each data centre, in order.
    """

    def __init__(
        self,
        user="kapu",
        proxied=False,
        overrides=None,
        tables=None,
        slots=8,
        service_ms=10.0,
        entry_counts=ENTRY_HOST_COUNTS,
    ):
        self.plan = ClusterPlan(user, loopback_octet(), tables, entry_counts)
        self.folder = Path(tempfile.mkdtemp(prefix="sassafrasgrade-"))
        self.processes_by_name = {}
        self._proxied = proxied
        self._overrides = overrides or {}
        self._slots = slots
        self._service_ms = service_ms
        self.hosts_file = self.folder / "hosts.json"
        self.hosts_file.write_bytes(msgspec.json.encode(self.plan.hosts()))

    # Processes.

    def spawn(self, name, program, *arguments):
        """Starts a process; its output goes to files in the folder."""
        out = open(self.folder / f"{name}.out", "ab")
        err = open(self.folder / f"{name}.err", "ab")
        process = subprocess.Popen(
            [str(PROGRAMS / program), *map(str, arguments)], stdout=out, stderr=err
        )
        self.processes_by_name[name] = process
        return process

    def start_platform(self):
        """Starts the platform stand-in."""
        self.spawn(
            "platform",
            "sassafrasgrade-standin",
            "platform",
            f"--address={self.plan.platform_address}",
            f"--port={PLATFORM_PORT}",
            f"--hosts={self.hosts_file}",
        )
        self._await_url(f"{self.plan.platform_url}/control/calls")

    def start_backends(self):
        """Starts the backend servers, one process per data centre."""
        for centre in self.plan.data_centres:
            self.spawn(
                f"backends-{centre}",
                "sassafrasgrade-standin",
                "backends",
                f"--hosts={self.hosts_file}",
                f"--data-centre={centre}",
                f"--slots={self._slots}",
                f"--service-ms={self._service_ms}",
            )
        for host in self.plan.backend_hosts:
            self._await_url(f"http://{host.address}:{host.port}/healthz")

    def start_proxy(self):
        """Starts the fault proxy with all lanes."""
        lanes = self.folder / "lanes.json"
        lanes.write_text(json.dumps(list(self._lanes())))
        self.spawn(
            "proxy",
            "sassafrasgrade-standin",
            "proxy",
            f"--lanes={lanes}",
            f"--control-address={self.plan.platform_address}",
            f"--control-port={PROXY_PORT}",
        )
        self._await_url(f"{self._proxy_url}/lanes/all")

    def start_entry_host(self, name):
        """Starts manager and entry of one entry host."""
        self.start_program("manager", name)
        self.start_program("entry", name)

    def start_program(self, program, name):
        """Starts the ``manager`` or the ``entry`` of one entry host."""
        settings = self.write_settings(name)
        self.spawn(
            f"{program}-{name}", f"sassafrasgrade-{program}", f"--settings={settings}"
        )

    def start(self, with_tables=True):
        """Starts everything.

        Unless ``with_tables`` is false, applies the tables and waits until all
        entries are ready.
        """
        self.start_platform()
        self.start_backends()
        if self._proxied:
            self.start_proxy()
        for entry_host in self.plan.entry_hosts:
            self.start_entry_host(entry_host.name)
        if with_tables:
            self.apply()
            self.await_ready()
        return self

    def stop(self):
        """Kills every process that is still running."""
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()

    def kill(self, name, signal_number=signal.SIGKILL):
        """Sends a signal to a process by name."""
        self.processes_by_name[name].send_signal(signal_number)

    def await_exit(self, name, timeout_s=STOP_TIMEOUT_S):
        """Waits until a process has ended; returns its exit status."""
        return self.processes_by_name[name].wait(timeout_s)

    # Settings.

    def write_settings(self, name, **overrides):
        """Writes the INI settings of an entry host; returns the path."""
        entry_host = self.entry_host(name)
        values = self.plan.setting_values(entry_host) | self._overrides | overrides
        if self._proxied:
            values |= self._proxied_values(entry_host)
        sections = {}
        for key, value in values.items():
            section, _, option = key.partition("_")
            text = " ".join(value) if isinstance(value, list) else value
            sections.setdefault(section, []).append(f"{option} = {text}")
        path = self.folder / f"{name}.ini"
        path.write_text(
            "\n".join(
                f"[{section}]\n" + "\n".join(lines)
                for section, lines in sections.items()
            )
        )
        return path

    def entry_host(self, name):
        """Returns an entry host of the plan by name."""
        return next(host for host in self.plan.entry_hosts if host.name == name)

    @property
    def operator_settings(self):
        """Path of settings for the operators' command line, written anew."""
        entry_host = self.plan.entry_hosts[0]
        values = self.plan.setting_values(entry_host)
        path = self.folder / "operator.ini"
        peers = " ".join(values["manager_peers"])
        path.write_text(
            f"[host]\nname = operator\ndata_centre = {entry_host.data_centre}\n"
            f"[platform]\nurl = {values['platform_url']}\n"
            f"[manager]\npeers = {peers}\n"
        )
        return path

    # Fault lanes.

    @property
    def _proxy_url(self):
        return f"http://{self.plan.platform_address}:{PROXY_PORT}"

    def _lane_address(self, observer, peer):
        positions = {host.name: n for n, host in enumerate(self.plan.entry_hosts)}
        octet = FIRST_LANE_OCTET + positions[observer.name]
        return f"127.{self.plan.octet}.{octet}.{positions[peer.name] + 1}"

    def _platform_lane_address(self, observer):
        number = self.plan.entry_hosts.index(observer) + 1
        return f"127.{self.plan.octet}.{PLATFORM_LANE_OCTET}.{number}"

    def _lanes(self):
        for observer in self.plan.entry_hosts:
            yield (
                f"{observer.name}>platform",
                self._platform_lane_address(observer),
                PLATFORM_PORT,
                self.plan.platform_address,
                PLATFORM_PORT,
            )
            for peer in self.plan.entry_hosts:
                if peer is observer:
                    continue
                for kind, port in (
                    ("entry", ENTRY_STREAM_PORT),
                    ("manager", MANAGER_STREAM_PORT),
                ):
                    address = self._lane_address(observer, peer)
                    name = f"{observer.name}>{peer.name}:{kind}"
                    yield name, address, port, peer.address, port

    def _proxied_values(self, entry_host):
        peers = []
        for peer in self.plan.entry_hosts:
            own = peer.name == entry_host.name
            address = peer.address if own else self._lane_address(entry_host, peer)
            peers.append(f"{peer.name}/{peer.data_centre}/{address}")
        lane = self._platform_lane_address(entry_host)
        return {
            "platform_url": f"http://{lane}:{PLATFORM_PORT}",
            "manager_peers": peers,
        }

    def lane_names(self):
        """Returns the names of all lanes."""
        return call(f"{self._proxy_url}/lanes/all").json()

    def set_lane(self, name, **faults):
        """Sets the faults of one lane, or of all with ``*``."""
        url = f"{self._proxy_url}/lanes/{name}"
        assert call(url, "POST", faults).status == 200

    def cut(self, is_cut=True):
        """Returns a function that cuts or restores the lanes matching a predicate."""

        def apply(matches):
            for name in filter(matches, self.lane_names()):
                self.set_lane(name, cut=is_cut)

        return apply

    # The platform and the backend servers.

    def set_platform_faults(self, **faults):
        """Sets the platform's faults."""
        url = f"{self.plan.platform_url}/control/faults"
        assert call(url, "POST", faults).status == 200

    def platform_calls(self):
        """Returns the platform's call counts by ``client:kind``."""
        return call(f"{self.plan.platform_url}/control/calls").json()["calls"]

    def put_hosts(self, hosts):
        """Changes rows of the platform's host list."""
        rows = msgspec.to_builtins(hosts)
        url = f"{self.plan.platform_url}/control/hosts"
        assert call(url, "POST", rows).status == 200

    def _backend_urls(self):
        for centre in self.plan.data_centres:
            host = next(h for h in self.plan.backend_hosts if h.data_centre == centre)
            yield f"http://{host.address}:{host.port}"

    def backend_faults(self, host="*", **faults):
        """Sets the faults of one backend server or of all."""
        for url in self._backend_urls():
            reports_by_host = call(f"{url}/-/report").json()
            if host == "*" or host in reports_by_host:
                assert call(f"{url}/-/faults", "POST", {host: faults}).status == 200

    def backend_reports(self):
        """Returns the reports of all backend servers by host name."""
        reports = {}
        for url in self._backend_urls():
            reports.update(call(f"{url}/-/report").json())
        return reports

    def backend_runs(self):
        """Returns (runs by request id, runs by idempotency key)."""
        by_id, by_key = {}, {}
        for url in self._backend_urls():
            found = call(f"{url}/-/runs", timeout_s=30.0).json()
            for total, part in ((by_id, "by_id"), (by_key, "by_key")):
                for name, count in found[part].items():
                    total[name] = total.get(name, 0) + count
        return by_id, by_key

    # Operators and callers.

    def operate(self, *arguments, timeout_s=60.0):
        """Runs the operators' command line; returns the finished process."""
        return subprocess.run(
            [str(PROGRAMS / "sassafrasgrade"), *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=timeout_s,
        )

    def apply(self, tables=None, *arguments):
        """Applies tables and waits until they are in force; returns the process."""
        done = self.operate(
            "apply",
            f"--tables={tables or self.plan.tables}",
            f"--settings={self.operator_settings}",
            "--wait",
            *arguments,
        )
        assert done.returncode == 0, done.stderr
        return done

    def await_ready(self):
        """Waits until every entry is ready and can get slots of the servers."""
        for entry_host in self.plan.entry_hosts:
            self.await_entry_ready(entry_host.name)

    def await_entry_ready(self, name):
        """Waits until one entry is ready and answers a request with status 200."""
        url = self.entry_host(name).url
        wait_until(
            lambda: call(f"{url}/readyz").status == 200,
            START_TIMEOUT_S,
            f"{name} is ready",
        )
        route = next(
            route
            for route in self.plan.configuration.routes_by_name.values()
            if route.method == "GET"
        )
        wait_until(
            lambda: call(f"{url}{route.prefix}").status == 200,
            START_TIMEOUT_S,
            f"{name} answers",
        )

    def metrics(self, name):
        """Returns the metrics of an entry by sample name, labels included."""
        text = call(f"{self.entry_host(name).url}/metrics").body.decode()
        rows = (line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#")
        return {row[0]: float(row[1]) for row in rows}

    def start_load(self, name, **plan):
        """Starts the load generator; returns a ``RunningLoad``."""
        plan.setdefault("targets", [host.url for host in self.plan.entry_hosts])
        plan_file = self.folder / f"{name}.plan.json"
        plan_file.write_text(json.dumps(plan))
        result_file = self.folder / f"{name}.result.json"
        process = self.spawn(
            f"load-{name}",
            "sassafrasgrade-standin",
            "load",
            f"--plan={plan_file}",
            f"--result={result_file}",
        )
        return RunningLoad(process, result_file)

    def _await_url(self, url):
        wait_until(lambda: call(url).status in (200, 404), START_TIMEOUT_S, url)


class RunningLoad:
    """A running load generator."""

    def __init__(self, process, result_file):
        self._process = process
        self._result_file = result_file

    def result(self, timeout_s=300.0):
        """Waits until the load generator ends; returns its decoded result."""
        assert self._process.wait(timeout_s) == 0, "the load generator failed"
        return json.loads(self._result_file.read_text())
