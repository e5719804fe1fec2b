"""Overhead of the entry process: latency, throughput, refusals, platform calls."""

from benches.measures import US_PER_S, cpu_seconds, memory_bytes, save, sleep
from features.support.clusters import ProcessCluster
from features.support.commits import committed, run_with_platform, with_weight
from sassafrasgrade.commits import TablesCommitter

SECONDS = 12
WARM_UP_S = 2
SERVICE_MS = 10
CLASSES = [("read", "/jury"), ("check", "/clips"), ("form", "/forms"), ("fee", "/fees")]


def read_classes(rate, deadline_ms=2000):
    """Returns one read class per pool; ``rate`` is their total."""
    return [
        {
            "name": name,
            "path": path,
            "rate": rate / len(CLASSES),
            "service_ms": SERVICE_MS,
            "deadline_ms": deadline_ms,
        }
        for name, path in CLASSES
    ]


def run_load(cluster, name, rate, **plan):
    """Runs a load to its end; returns summed counts and highest latencies."""
    load = cluster.start_load(
        name,
        classes=read_classes(rate),
        duration_s=SECONDS,
        warm_up_s=WARM_UP_S,
        **plan,
    )
    classes = load.result()["classes"].values()
    sent = sum(summary["sent"] for summary in classes)
    return {
        "rate": rate,
        "sent": sent,
        "in_time": sum(summary.get("in_time", 0) for summary in classes),
        "p50_ms": max(summary["p50_ms"] for summary in classes),
        "p99_ms": max(summary["p99_ms"] for summary in classes),
    }


def measure_latency(cluster, rate):
    """Compares the same load through the entries and sent directly to the servers."""
    urls = [f"http://{h.address}:{h.port}" for h in cluster.plan.backend_hosts]
    direct = run_load(cluster, f"direct-{rate}", rate, targets=urls, checks_ready=False)
    via_entries = run_load(cluster, f"through-{rate}", rate)
    return {
        "direct": direct,
        "through": via_entries,
        "added_p50_ms": round(via_entries["p50_ms"] - direct["p50_ms"], 2),
        "added_p99_ms": round(via_entries["p99_ms"] - direct["p99_ms"], 2),
    }


def measure_entry(cluster, rate):
    """Sends all requests to one entry; returns its answers, CPU time and memory."""
    host = cluster.plan.entry_hosts[0]
    process = cluster.processes_by_name[f"entry-{host.name}"]
    before = cpu_seconds(process)
    summary = run_load(cluster, f"one-{rate}", rate, targets=[host.url])
    used_s = cpu_seconds(process) - before
    total_requests = summary["sent"] * SECONDS / (SECONDS - WARM_UP_S)
    summary["cpu_us_a_request"] = round(used_s / total_requests * US_PER_S)
    summary["core_share"] = round(used_s / SECONDS, 3)
    summary["resident_mb"] = round(memory_bytes(process)[0] / 1e6, 1)
    return summary


def measure_refusal(cluster, rate):
    """Sends requests without a route to one entry; returns the CPU time of each."""
    host = cluster.plan.entry_hosts[0]
    process = cluster.processes_by_name[f"entry-{host.name}"]
    before = cpu_seconds(process)
    load = cluster.start_load(
        f"refused-{rate}",
        targets=[host.url],
        classes=[
            {
                "name": "refused",
                "path": "/nowhere",
                "rate": rate,
                "method": "POST",
                "body_bytes": 512,
            }
        ],
        duration_s=SECONDS,
    )
    summary = load.result()["classes"]["refused"]
    used_s = cpu_seconds(process) - before
    return {
        "rate": rate,
        "sent": summary["sent"],
        "not_run": summary.get("not-run", 0),
        "cpu_us_a_refusal": round(used_s / summary["sent"] * US_PER_S),
    }


def total_calls(cluster):
    """Returns the number of platform calls of all managers."""
    calls = cluster.platform_calls()
    return sum(count for name, count in calls.items() if name.startswith("entry"))


def measure_platform_calls(cluster, changes=20, idle_s=10):
    """Counts platform calls while idle and for each configuration change."""
    before = total_calls(cluster)
    sleep(idle_s)
    idle_calls_per_s = (total_calls(cluster) - before) / idle_s

    async def change(platform):
        for number in range(changes):
            current = committed_configuration
            wanted = with_weight(current, "fees-charge", 50 + number)
            (await TablesCommitter(platform, "bench").commit(wanted)).unwrap()

    committed_configuration = committed(cluster).configuration
    before = total_calls(cluster)
    writes_before = cluster.platform_calls().get("scenario:write", 0)
    run_with_platform(cluster, change)
    sleep(2)
    spent = total_calls(cluster) - before - idle_calls_per_s * 2
    writes = cluster.platform_calls().get("scenario:write", 0) - writes_before
    return {
        "managers_at_rest_a_second": round(idle_calls_per_s, 2),
        "managers_a_change": round(spent / changes, 2),
        "writes_a_change": round(writes / changes, 2),
    }


def measure_charges(cluster, rate=200):
    """Sends keyed charges in one data centre; returns the platform calls of each."""
    centre = cluster.plan.entry_hosts[0].data_centre
    targets = [h.url for h in cluster.plan.entry_hosts if h.data_centre == centre]
    before = total_calls(cluster)
    sleep(SECONDS)
    idle_calls_per_s = (total_calls(cluster) - before) / SECONDS
    before = total_calls(cluster)
    summary_by_kind = {}
    for keyed in (True, False):
        load = cluster.start_load(
            f"charges-{keyed}",
            targets=targets,
            classes=[
                {
                    "name": "charge",
                    "path": "/fees/charges",
                    "method": "POST",
                    "rate": rate,
                    "service_ms": SERVICE_MS,
                    "body_bytes": 200,
                    "keyed": keyed,
                }
            ],
            duration_s=SECONDS,
        )
        summary = load.result()
        calls = total_calls(cluster) - before - idle_calls_per_s * summary["seconds"]
        before = total_calls(cluster)
        charge = summary["classes"]["charge"]
        summary_by_kind["keyed" if keyed else "not keyed"] = {
            "sent": charge["sent"],
            "in_time": charge["in_time"],
            "p50_ms": charge["p50_ms"],
            "p99_ms": charge["p99_ms"],
            "platform_calls_each": round(calls / charge["sent"], 3),
        }
    return summary_by_kind


def main():
    """Runs all measurements on a cluster of Kapu's size and saves the results."""
    cluster = ProcessCluster("kapu", service_ms=SERVICE_MS).start()
    try:
        result = {
            "latency": [measure_latency(cluster, rate) for rate in (100, 400)],
            "one_entry": [measure_entry(cluster, rate) for rate in (200, 400, 800)],
            "refusals": [measure_refusal(cluster, rate) for rate in (400, 800, 1600)],
            "charges": measure_charges(cluster),
            "platform_calls": measure_platform_calls(cluster),
        }
    finally:
        cluster.stop()
    answers = {summary["rate"]: summary for summary in result["one_entry"]}
    for refusal in result["refusals"]:
        # Compared with answers at the same rate, or at the highest rate measured.
        answer = answers[min(refusal["rate"], max(answers))]
        fraction = refusal["cpu_us_a_refusal"] / answer["cpu_us_a_request"]
        refusal["fraction_of_answer"] = round(fraction, 3)
    save("overheads", result)


if __name__ == "__main__":
    main()
