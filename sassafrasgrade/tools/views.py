"""Plain-text output of the operators' commands."""

from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.rollouts import own_host_row
from sassafrasgrade.systems.budgets import buffer_needs
from sassafrasgrade.systems.maintenance import predict_rounds
from sassafrasgrade.tools.formats import describe_change, print_table

PHASES = [str(phase) for phase in HostPhase]
# Assumed time that one host is out for maintenance, for the predicted time left.
HOST_MAINTENANCE_MINUTES = 3


def print_outcome(outcome, rollout):
    """Prints a ``CommitOutcome`` and the ``RolloutReport``, if there is one."""
    if not outcome.changes:
        print(f"nothing to change; generation {outcome.generation} is committed")
    else:
        print(
            f"committed generation {outcome.generation} "
            f"in {outcome.seconds:.2f} s: {len(outcome.changes)} rows"
        )
    for change in outcome.changes:
        print(describe_change(change))
    if rollout is None:
        return
    print(f"in force on {len(rollout.in_force)} hosts after {rollout.seconds:.2f} s")
    if rollout.unreachable:
        print(f"no answer from: {', '.join(rollout.unreachable)}")


def print_tables(configuration):
    """Prints both tables of a ``Configuration``."""
    print(f"generation {configuration.generation}\n")
    print_table(
        ["route", "method", "prefix", "pool", "urgency", "weight", "team", "repeat"],
        [
            (
                route.name,
                route.method,
                route.prefix,
                route.pool,
                route.urgency,
                route.weight,
                route.team,
                "yes" if route.repeatable else "no",
            )
            for route in configuration.routes_by_name.values()
        ],
    )
    print()
    print_table(
        ["pool", "hosts", "slots", "out at most", "a domain", "spare", "release"],
        [
            (
                pool.name,
                sum(len(hosts) for hosts in pool.hosts_by_data_centre.values()),
                pool.slots,
                pool.out_at_most,
                pool.out_at_most_per_domain,
                pool.spare_pool or "-",
                pool.release or "-",
            )
            for pool in configuration.pools_by_name.values()
        ],
    )


def print_status(configuration, replies):
    """Prints entry hosts, pools and the buffer of spare hosts.

    Args:
        configuration: Committed ``Configuration``, or None.
        replies: ``StatusReply`` or None by entry host.
    """
    rows = []
    hosts_by_name = {}
    records_by_name = {}
    moves_by_centre = {}
    for name, reply in sorted(replies.items()):
        if reply is None:
            rows.append((name, "?", "no answer", "-", "-", "-", "-"))
            continue
        row = own_host_row(reply)
        rows.append(
            (
                name,
                row.data_centre,
                row.entry_state,
                row.generation,
                row.entry_generation,
                "yes" if row.reading else "no",
                "yes" if reply.planning else "no",
            )
        )
        hosts_by_name.update({host.name: host for host in reply.hosts})
        records_by_name.update({record.name: record for record in reply.records})
        known_moves = moves_by_centre.get(reply.data_centre, 0)
        moves_by_centre[reply.data_centre] = max(known_moves, reply.moves)
    print_table(
        ["entry host", "data centre", "state", "manager gen", "entry gen"]
        + ["reads", "plans"],
        rows,
    )
    if configuration is None:
        print("\nthe platform does not answer; pools are not shown")
        return
    print()
    headings = ["pool", "hosts", "out at most", *PHASES, "release", "done", "rest"]
    pools = configuration.pools_by_name.values()
    rows = [_pool_row(pool, hosts_by_name, records_by_name.values()) for pool in pools]
    print_table(headings, rows)
    print(f"\n{sum(moves_by_centre.values())} hosts moved between pools so far")
    needs, shared = buffer_needs(
        pools, {host.name: host.rack for host in hosts_by_name.values()}
    )
    print(
        f"buffer to lose any one rack: {shared} hosts shared through the spare pool, "
        f"{sum(needs.values())} if each pool kept its own"
    )


def _pool_row(pool, hosts_by_name, records):
    pool_records = [record for record in records if record.pool == pool.name]
    counts = [sum(record.phase == phase for record in pool_records) for phase in PHASES]
    done = sum(
        hosts_by_name[record.name].release == pool.release
        for record in pool_records
        if record.name in hosts_by_name
    )
    rounds = predict_rounds(len(pool_records) - done, pool.out_at_most)
    remaining_text = f"{rounds * HOST_MAINTENANCE_MINUTES} min" if rounds else "-"
    release = pool.release or "-"
    progress_text = f"{done}/{len(pool_records)}"
    return (
        pool.name,
        len(pool_records),
        pool.out_at_most,
        *counts,
        release,
        progress_text,
        remaining_text,
    )
