"""Consistency checks across the two tables; each error names a remedy."""

from collections import defaultdict

from sassafrasgrade.errors import TableInvalid

RESERVED_PREFIXES = ("/healthz", "/readyz", "/metrics", "/jobs")


def check_configuration(configuration):
    """Returns the ``TableInvalid`` errors found, an empty list if there are none."""
    errors = []
    for route in configuration.routes_by_name.values():
        errors.extend(_check_route(route, configuration.pools_by_name))
    errors.extend(_check_duplicate_routes(configuration.routes_by_name.values()))
    for pool in configuration.pools_by_name.values():
        errors.extend(_check_pool(pool, configuration.pools_by_name))
    errors.extend(_check_shared_hosts(configuration.pools_by_name.values()))
    return errors


def _check_route(route, pools_by_name):
    if route.pool not in pools_by_name:
        known = ", ".join(sorted(pools_by_name)) or "none"
        yield TableInvalid(
            f"route [{route.name}] names the pool {route.pool!r}, which does not exist",
            f"Add the pool or write one of: {known}.",
        )
    if any(route.prefix.startswith(prefix) for prefix in RESERVED_PREFIXES):
        yield TableInvalid(
            f"route [{route.name}] takes the reserved prefix {route.prefix!r}",
            f"Choose a prefix outside {', '.join(RESERVED_PREFIXES)}.",
        )


def _check_duplicate_routes(routes):
    names_by_match = defaultdict(list)
    for route in routes:
        names_by_match[(route.method, route.prefix)].append(route.name)
    for (method, prefix), names in names_by_match.items():
        if len(names) > 1:
            yield TableInvalid(
                f"routes {', '.join(sorted(names))} all match {method} {prefix}",
                "Keep one of them or give them different prefixes.",
            )


def _check_pool(pool, pools_by_name):
    count = sum(len(hosts) for hosts in pool.hosts_by_data_centre.values())
    if count == 0:
        yield TableInvalid(
            f"pool [{pool.name}] lists no hosts",
            "Add hosts.<data_centre> = name-[1-n].",
        )
    if pool.out_at_most >= count > 0:
        yield TableInvalid(
            f"pool [{pool.name}] may lose {pool.out_at_most} of {count} hosts",
            f"Set out_at_most below {count}, so that at least one host always serves.",
        )
    if pool.out_at_most_per_domain > pool.out_at_most:
        yield TableInvalid(
            f"pool [{pool.name}] may lose more hosts in one domain than in total",
            f"Set out_at_most_per_domain to at most {pool.out_at_most}.",
        )
    if pool.spare_pool and pool.spare_pool not in pools_by_name:
        yield TableInvalid(
            f"pool [{pool.name}] names the spare pool {pool.spare_pool!r}, "
            "which does not exist",
            "Add that pool or leave spare_pool empty.",
        )
    if pool.slots > pool.connections:
        yield TableInvalid(
            f"pool [{pool.name}] has more slots than connections",
            f"Set connections to at least {pool.slots}.",
        )


def _check_shared_hosts(pools):
    pools_by_host = defaultdict(set)
    for pool in pools:
        seen = set()
        for hosts in pool.hosts_by_data_centre.values():
            for name in hosts:
                if name in seen:
                    yield TableInvalid(
                        f"pool [{pool.name}] lists the host {name} twice",
                        "List each host once, under its own data centre.",
                    )
                seen.add(name)
                pools_by_host[name].add(pool.name)
    for host, names in sorted(pools_by_host.items()):
        if len(names) > 1:
            yield TableInvalid(
                f"host {host} is in the pools {', '.join(sorted(names))}",
                "List it in exactly one pool.",
            )
