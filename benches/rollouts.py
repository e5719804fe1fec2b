"""Roll-out time, buffer and moves in simulated time, compared with simple policies."""

from benches.measures import save
from features.support.fleets import NEW_RELEASE, REBOOT_S, FakeFleet
from sassafrasgrade.systems.budgets import buffer_needs

MAX_ROLLOUT_S = 20_000
SIZES = {
    "today": {"pools": 5, "hosts": 2},
    "950 hosts a data centre": {
        "data_centres": ("north",),
        "pools": 50,
        "hosts": 19,
        "out_at_most": 4,
        "per_domain": 4,
    },
}
FIXED_SHARE = 0.1


def one_by_one(pool):
    """Allows one host of a pool at a time."""
    return 1


def fixed_percentage(pool):
    """Allows a tenth of a pool's hosts at a time, at least one."""
    hosts = sum(len(names) for names in pool.hosts_by_data_centre.values())
    return max(1, int(hosts * FIXED_SHARE))


# Functions that limit the hosts out at a time; None for the planner's own budget.
POLICIES = {
    "budget": None,
    "one by one": one_by_one,
    "fixed percentage": fixed_percentage,
}


def measure(size, policy, seed=1):
    """Rolls a release out to all pools; returns duration, violations, moves, buffer."""
    limit = POLICIES[policy]
    fleet = FakeFleet(seed, **size)

    def max_hosts_of_pool(pool):
        if limit is None:
            return None
        use = fleet.uses()[pool.name]
        return max(0, limit(pool) - use.total())

    for managers in fleet.managers_by_centre.values():
        for manager in managers:
            manager["planner"]._max_hosts_by_pool = max_hosts_of_pool
    fleet.run(20)
    fleet.set_release(NEW_RELEASE)
    seconds = fleet.run_until(lambda: fleet.is_done(NEW_RELEASE), MAX_ROLLOUT_S)
    pools = fleet.configuration.pools_by_name.values()
    pool = next(iter(pools))
    hosts = sum(len(names) for names in pool.hosts_by_data_centre.values())
    min_rollout_s = -(-hosts // pool.out_at_most) * REBOOT_S
    needs, shared = buffer_needs(
        pools, {host.name: host.rack for host in fleet.hosts_by_name.values()}
    )
    return {
        "seconds": seconds,
        "bound_s": min_rollout_s,
        "of_bound": round(seconds / min_rollout_s, 2),
        "violations": len(fleet.violations),
        "moves": fleet.moves(),
        "buffer_hosts_shared": shared,
        "buffer_hosts_each_its_own": sum(needs.values()),
    }


def measure_rack_loss(seed=1):
    """Fails all hosts of a rack for 2000 s; returns moves and violations."""
    fleet = FakeFleet(seed)
    fleet.run(20)
    rack = sorted(fleet.racks())[0]
    for name in fleet.racks()[rack]:
        fleet.fail(name, 2000)
    fleet.run(2100)
    return {
        "hosts_lost": len(fleet.racks()[rack]),
        "moves": fleet.moves(),
        "violations": len(fleet.violations),
    }


def main():
    """Measures all sizes and policies in one run and saves the results."""
    result = {
        name: {policy: measure(size, policy) for policy in POLICIES}
        for name, size in SIZES.items()
    }
    result["rack loss"] = measure_rack_loss()
    save("rollouts", result)


if __name__ == "__main__":
    main()
