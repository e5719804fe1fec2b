"""Control-plane cost by hosts, rows, peers and changes, for docs/CAPACITY.md."""

import shutil
import sys
import tempfile
from pathlib import Path

from benches.measures import cpu_seconds, memory_bytes, save, sleep
from features.support.clusters import ProcessCluster
from features.support.commits import committed, run_with_platform, with_weight
from sassafrasgrade.commits import TablesCommitter

IDLE_S = 12
CHANGES = 12
CHANGE_SPACING_S = 1.6
# By name: (pools, hosts per pool, routes, entry hosts), all in one data centre.
SIZES = {
    "small": (5, 6, 11, 3),
    "more rows": (5, 6, 2400, 3),
    "more hosts": (65, 15, 11, 3),
    "more peers": (5, 6, 11, 12),
    "target": (65, 15, 2400, 12),
}


def write_tables(folder, pools, hosts, routes):
    """Writes tables of a size for one data centre; the first pool is the spare pool."""
    rows = []
    for number in range(pools):
        name = f"pool{number}"
        rows.append(
            f"[{name}]\nhosts.north = {name}-north-[1-{hosts}]\nout_at_most = 2\n"
            f"out_at_most_per_domain = 2\nspare_pool = {'pool0' if number else ''}\n"
            "release = 1\n"
        )
    (folder / "pools.ini").write_text("\n".join(rows))
    rows = [
        f"[route{number}]\nmethod = GET\nprefix = /service{number}\n"
        f"pool = pool{number % pools}\nteam = team{number % 1200}\n"
        "repeatable = true\n"
        for number in range(routes)
    ]
    (folder / "routes.ini").write_text("\n".join(rows))


def read_usage(cluster):
    """Returns CPU seconds and stream bytes sent and received, by process."""
    usage_by_process = {}
    for host in cluster.plan.entry_hosts:
        metrics = cluster.metrics(host.name)
        for program in ("manager", "entry"):
            process = cluster.processes_by_name[f"{program}-{host.name}"]
            infix = "manager_" if program == "manager" else ""
            usage_by_process[(program, host.name)] = (
                cpu_seconds(process),
                metrics[f"sassafrasgrade_{infix}stream_bytes_sent"],
                metrics[f"sassafrasgrade_{infix}stream_bytes_received"],
            )
    return usage_by_process


def usage_rates(before, after, seconds):
    """Returns mean and maximum of CPU share and stream bytes per second, by program."""
    result = {}
    for program in ("manager", "entry"):
        rows = [
            [(b - a) / seconds for a, b in zip(before[key], after[key])]
            for key in after
            if key[0] == program
        ]
        for position, name in enumerate(("cpu_share", "sent_b_s", "received_b_s")):
            values = [row[position] for row in rows]
            result[f"{program}_{name}_mean"] = round(sum(values) / len(values), 5)
            result[f"{program}_{name}_most"] = round(max(values), 5)
    return result


def commit_changes(cluster):
    """Commits changes at about the rate of the capacity target."""
    configuration = committed(cluster).configuration

    for number in range(CHANGES):
        wanted = with_weight(configuration, "route0", 100 + number)

        async def change(platform, wanted=wanted):
            (await TablesCommitter(platform, "bench").commit(wanted)).unwrap()

        run_with_platform(cluster, change)
        sleep(CHANGE_SPACING_S)


def measure(pools, hosts, routes, entries):
    """Measures one size while idle and while changes are committed."""
    folder = Path(tempfile.mkdtemp())
    write_tables(folder, pools, hosts, routes)
    cluster = ProcessCluster(tables=folder, entry_counts=(entries,))
    try:
        cluster.start()
        sleep(5)
        calls = sum(cluster.platform_calls().values())
        before = read_usage(cluster)
        sleep(IDLE_S)
        idle_rates = usage_rates(before, read_usage(cluster), IDLE_S)
        calls = (sum(cluster.platform_calls().values()) - calls) / IDLE_S
        before = read_usage(cluster)
        commit_changes(cluster)
        seconds = CHANGES * CHANGE_SPACING_S
        changing_rates = usage_rates(before, read_usage(cluster), seconds)
        memory = {}
        for program in ("manager", "entry"):
            sizes = [
                memory_bytes(cluster.processes_by_name[f"{program}-{host.name}"])
                for host in cluster.plan.entry_hosts
            ]
            memory[f"{program}_resident_mb"] = round(max(s[0] for s in sizes) / 1e6, 1)
            memory[f"{program}_private_mb"] = round(max(s[1] for s in sizes) / 1e6, 1)
        return {
            "pools": pools,
            "hosts": pools * hosts,
            "routes": routes,
            "entry_hosts": entries,
            "platform_calls_a_second": round(calls, 2),
            "memory": memory,
            "at_rest": idle_rates,
            "changing": changing_rates,
        }
    finally:
        cluster.stop()
        shutil.rmtree(folder)


def main():
    """Measures the sizes named, or all, and saves the results."""
    names = sys.argv[1:] or list(SIZES)
    save("slopes", {name: measure(*SIZES[name]) for name in names})


if __name__ == "__main__":
    main()
