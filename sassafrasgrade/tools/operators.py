"""Operators' command line for the routes and pools tables, status and job logs."""

import getpass
import sys
from pathlib import Path

import fire
from returns.result import Failure
from tornado.ioloop import IOLoop

from sassafrasgrade.commits import TablesCommitter, load_configuration
from sassafrasgrade.configurations import compare_configurations
from sassafrasgrade.errors import RolloutIncomplete
from sassafrasgrade.node_settings import read_node_settings
from sassafrasgrade.peers import merge_peers, parse_peer
from sassafrasgrade.platforms import PlatformClient
from sassafrasgrade.rollouts import (
    entry_generations,
    fetch_statuses,
    wait_until_in_force,
)
from sassafrasgrade.routers import Router
from sassafrasgrade.settings import require_settings
from sassafrasgrade.table_checks import check_configuration
from sassafrasgrade.table_readers import read_tables
from sassafrasgrade.tools.formats import describe_change, print_json
from sassafrasgrade.tools.traces import print_trace
from sassafrasgrade.tools.views import print_outcome, print_status, print_tables

EXIT_FAILED = 1
EXIT_INCOMPLETE = 3
DEFAULT_ROLLOUT_TIMEOUT_S = 30.0
COMMIT_TIMEOUT_S = 10.0


def _fail(errors, status=EXIT_FAILED):
    for error in errors if isinstance(errors, list) else [errors]:
        print(str(error), file=sys.stderr)
    raise SystemExit(status)


def _unwrap(result):
    if isinstance(result, Failure):
        _fail(result.failure())
    return result.unwrap()


def _read_checked(tables):
    folder = Path(tables)
    configuration = _unwrap(read_tables(folder / "routes.ini", folder / "pools.ini"))
    errors = check_configuration(configuration)
    if errors:
        _fail(errors)
    return configuration


def _run_with_platform(settings, work):
    """Runs ``work(platform, checked settings)`` and returns its result."""
    checked = require_settings(settings)

    async def run():
        platform = PlatformClient(
            checked.platform_url, "operator", checked.platform_timeout_s
        )
        try:
            return await work(platform, checked)
        finally:
            platform.close()

    return IOLoop.current().run_sync(run)


async def _load_committed(platform, checked):
    return await load_configuration(platform)


class OperatorCommands:
    """Checks, applies and shows the routes and pools tables."""

    def check(self, tables, json=False):
        """Checks the tables in a folder; needs no platform.

        Args:
            tables: Folder with routes.ini and pools.ini.
            json: Whether to print JSON.
        """
        configuration = _read_checked(tables)
        counts = {
            "routes": len(configuration.routes_by_name),
            "pools": len(configuration.pools_by_name),
        }
        if json:
            print_json(counts)
        else:
            print(f"ok: {counts['routes']} routes, {counts['pools']} pools")

    def diff(self, tables, settings, json=False):
        """Shows row by row what applying the tables would change.

        Args:
            tables: Folder with routes.ini and pools.ini.
            settings: INI settings file.
            json: Whether to print JSON.
        """
        wanted = _read_checked(tables)
        current = _unwrap(_run_with_platform(settings, _load_committed)).configuration
        changes = compare_configurations(current, wanted)
        if json:
            print_json({"generation": current.generation, "changes": changes})
            return
        print(f"generation {current.generation} is committed")
        for change in changes:
            print(describe_change(change))
        if not changes:
            print("no differences")

    def apply(
        self,
        tables,
        settings,
        wait=False,
        base=None,
        recover=False,
        timeout=DEFAULT_ROLLOUT_TIMEOUT_S,
        json=False,
    ):
        """Commits the tables as one change; safe to repeat.

        Args:
            tables: Folder with routes.ini and pools.ini.
            settings: INI settings file.
            wait: Whether to wait until every live entry host has the tables in force.
            base: Generation on which the edited tables are based.
            recover: Whether to continue from the generation in force if the
                platform has lost commits.
            timeout: Maximum wait in seconds.
            json: Whether to print JSON.
        """
        wanted = _read_checked(tables)

        async def work(platform, checked):
            port = checked.manager_stream_port
            peers = await _known_peers(platform, checked, wanted)
            in_force = entry_generations(await fetch_statuses(peers, port))
            committer = TablesCommitter(
                platform,
                getpass.getuser(),
                COMMIT_TIMEOUT_S,
                base,
                max(in_force.values(), default=0),
                recover,
            )
            committed = await committer.commit(wanted)
            if isinstance(committed, Failure) or not wait:
                return committed, None
            generation = committed.unwrap().generation
            return committed, await wait_until_in_force(
                peers, port, generation, timeout
            )

        committed, rollout = _run_with_platform(settings, work)
        outcome = _unwrap(committed)
        if json:
            print_json({"commit": outcome, "rollout": rollout})
        else:
            print_outcome(outcome, rollout)
        if rollout is not None and rollout.behind:
            _fail(_rollout_incomplete_error(rollout), EXIT_INCOMPLETE)

    def show(self, settings, row=None, json=False):
        """Shows the committed tables, or one row of them.

        Args:
            settings: INI settings file.
            row: Name of a route or pool.
            json: Whether to print JSON.
        """
        current = _unwrap(_run_with_platform(settings, _load_committed)).configuration
        if row is not None:
            found = current.routes_by_name.get(row) or current.pools_by_name.get(row)
            if found is None:
                _fail(f"there is no route or pool [{row}]; show lists all rows")
            print_json(found)
        elif json:
            print_json(current)
        else:
            print_tables(current)

    def explain(self, method, path, settings=None, tables=None, json=False):
        """Shows which route, pool and hosts serve a request.

        Args:
            method: HTTP method.
            path: Path of the request.
            settings: INI settings file, to read the tables from the platform.
            tables: Folder with the tables, to use instead of the platform's.
            json: Whether to print JSON.
        """
        if tables is not None:
            configuration = _read_checked(tables)
        elif settings is not None:
            configuration = _unwrap(
                _run_with_platform(settings, _load_committed)
            ).configuration
        else:
            _fail("explain needs --tables FOLDER or --settings FILE")
        router = Router(configuration.routes_by_name.values())
        route = router.find(method.upper(), path)
        if route is None:
            _fail(f"no route takes {method} {path}; add one with a matching prefix")
        pool = configuration.pools_by_name[route.pool]
        if json:
            print_json({"route": route, "pool": pool})
            return
        print(f"{method.upper()} {path} -> route [{route.name}] ({route.prefix})")
        repeatable = "may be repeated" if route.repeatable else "runs at most once"
        print(
            f"  team {route.team}, {route.urgency}, weight {route.weight}, "
            f"{repeatable}, deadline {route.deadline_ms} ms"
        )
        print(f"  pool [{pool.name}], {pool.slots} slots a host")
        for centre, hosts in pool.hosts_by_data_centre.items():
            print(f"    {centre}: {', '.join(hosts)}")

    def status(self, settings, json=False):
        """Shows the current state of entry hosts, pools and backend server hosts.

        Args:
            settings: INI settings file.
            json: Whether to print JSON.
        """

        async def work(platform, checked):
            loaded = await load_configuration(platform)
            known = loaded.value_or(None)
            configuration = known.configuration if known else None
            peers = await _known_peers(platform, checked, configuration)
            return configuration, await fetch_statuses(
                peers, checked.manager_stream_port
            )

        configuration, replies = _run_with_platform(settings, work)
        if json:
            print_json({"configuration": configuration, "managers": replies})
            return
        print_status(configuration, replies)

    def validate(self, settings):
        """Checks a node's settings file.

        Args:
            settings: Path of the INI file.
        """
        _unwrap(read_node_settings(settings))
        print(f"{settings} is valid")

    def trace(self, job, logs, json=False):
        """Shows the log lines about one job, from the log files of all nodes.

        Args:
            job: Identifier of the job.
            logs: Glob pattern of the log files, in quotes.
            json: Whether to print JSON.
        """
        raise SystemExit(print_trace(str(job), logs, json))

    def demo(self, seconds=8):
        """Runs the whole system in one process over the Kapu tables.

        Args:
            seconds: Duration of the load, in seconds.
        """
        from sassafrasgrade.tools.demos import run_demo

        raise SystemExit(run_demo(seconds))


async def _known_peers(platform, checked, configuration):
    """Returns entry hosts of the settings and, if available, the platform's list."""
    centres = {parse_peer(text).data_centre for text in checked.manager_peers}
    if configuration is not None:
        for pool in configuration.pools_by_name.values():
            centres.update(pool.hosts_by_data_centre)
    hosts = []
    for centre in sorted(centres):
        found = (await platform.read_hosts(centre)).value_or(None)
        if found is not None:
            hosts.extend(found.hosts_by_name.values())
    return list(merge_peers(checked.manager_peers, hosts).values())


def _rollout_incomplete_error(rollout):
    return RolloutIncomplete(
        f"generation {rollout.generation} is not in force on "
        f"{', '.join(rollout.behind)} after {rollout.seconds:.1f} s",
        "It is committed and these hosts will still load it; check them with status.",
    )


def main():
    """Entry point of ``sassafrasgrade``."""
    fire.Fire(OperatorCommands, name="sassafrasgrade")
