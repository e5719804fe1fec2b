"""Plan of a whole cluster on loopback addresses, for the demo and for tests."""

from dataclasses import dataclass
from importlib.resources import files

from sassafrasgrade.settings import check_settings
from sassafrasgrade.table_readers import read_tables
from sassafrasgrade.tables import Host, HostKind

ENTRY_HTTP_PORT = 8080
ENTRY_STREAM_PORT = 7410
MANAGER_STREAM_PORT = 7420
PLATFORM_PORT = 7400
BACKEND_PORT = 9000
HOSTS_PER_RACK = 4
HOST_CORES = 64.0
HOST_MEMORY_MB = 131_072.0
# The third octet of a backend address is the number of its block of hosts; each
# data centre has its own range of blocks.
FIRST_BACKEND_BLOCK = 2
BLOCKS_PER_DATA_CENTRE = 5
HOSTS_PER_BLOCK = 200
ENTRY_HOST_COUNTS = (3, 2, 2)


@dataclass(frozen=True)
class EntryHost:
    """An entry host of the plan."""

    name: str
    data_centre: str
    address: str

    @property
    def url(self):
        """Base URL that callers use."""
        return f"http://{self.address}:{ENTRY_HTTP_PORT}"


class ClusterPlan:
    """Addresses, hosts and settings of a cluster on 127.<octet>.0.0/16.

    Args:
        user: Whose sample tables to use, ``kapu`` or ``authority``.
        octet: Second octet of all addresses; differs between coexisting clusters.
        tables: Folder of tables to use instead of the user's samples.
        entry_counts: Number of entry hosts of each data centre, in order.
    """

    def __init__(
        self, user="kapu", octet=10, tables=None, entry_counts=ENTRY_HOST_COUNTS
    ):
        self._entry_counts = entry_counts
        self.octet = octet
        self.tables = tables or files("sassafrasgrade") / "samples" / user
        self.configuration = read_tables(
            self.tables / "routes.ini", self.tables / "pools.ini"
        ).unwrap()
        self.data_centres = self._find_data_centres()
        self.platform_address = f"127.{octet}.0.1"
        self.platform_url = f"http://{self.platform_address}:{PLATFORM_PORT}"
        self.entry_hosts = self._plan_entry_hosts()
        self.backend_hosts = self._plan_backend_hosts()

    def hosts(self):
        """Returns all rows of the platform's host list, back ends first."""
        entries = [
            Host(e.name, e.data_centre, "entry", e.address, 0, kind=HostKind.ENTRY)
            for e in self.entry_hosts
        ]
        return [*self.backend_hosts, *entries]

    def settings(self, entry_host, **overrides):
        """Returns the checked settings of one entry host.

        Args:
            entry_host: ``EntryHost``.
            **overrides: Values by lower-case setting name.
        """
        values = self.setting_values(entry_host) | overrides
        upper = {name.upper(): value for name, value in values.items()}
        return check_settings(upper).unwrap()

    def setting_values(self, entry_host):
        """Returns the settings of one entry host by lower-case name."""
        return {
            "host_name": entry_host.name,
            "host_data_centre": entry_host.data_centre,
            "host_address": entry_host.address,
            "platform_url": self.platform_url,
            "entry_http_port": ENTRY_HTTP_PORT,
            "entry_stream_port": ENTRY_STREAM_PORT,
            "manager_stream_port": MANAGER_STREAM_PORT,
            "manager_peers": [
                f"{e.name}/{e.data_centre}/{e.address}" for e in self.entry_hosts
            ],
        }

    def _find_data_centres(self):
        names = {}
        for pool in self.configuration.pools_by_name.values():
            names.update(dict.fromkeys(pool.hosts_by_data_centre))
        return tuple(names)

    def _plan_entry_hosts(self):
        hosts = []
        for centre, count in zip(self.data_centres, self._entry_counts):
            for _ in range(count):
                number = len(hosts) + 1
                address = f"127.{self.octet}.1.{number}"
                hosts.append(EntryHost(f"entry-{number}", centre, address))
        return hosts

    def _release_of(self, host):
        for pool in self.configuration.pools_by_name.values():
            if any(host in names for names in pool.hosts_by_data_centre.values()):
                return pool.release
        return ""

    def _plan_backend_hosts(self):
        hosts = []
        pools = self.configuration.pools_by_name.values()
        for position, centre in enumerate(self.data_centres):
            columns = [pool.hosts_by_data_centre.get(centre, ()) for pool in pools]
            longest = max(map(len, columns))
            # Interleaves the pools, so that the hosts of one pool spread over racks.
            names = [c[row] for row in range(longest) for c in columns if row < len(c)]
            for number, name in enumerate(names):
                rack = f"{centre}-rack-{number // HOSTS_PER_RACK + 1}"
                block = position * BLOCKS_PER_DATA_CENTRE + number // HOSTS_PER_BLOCK
                last_octet = number % HOSTS_PER_BLOCK + 1
                address = f"127.{self.octet}.{FIRST_BACKEND_BLOCK + block}.{last_octet}"
                release = self._release_of(name)
                hosts.append(
                    Host(
                        name,
                        centre,
                        rack,
                        address,
                        BACKEND_PORT,
                        release=release,
                        cores=HOST_CORES,
                        memory_mb=HOST_MEMORY_MB,
                    )
                )
        return hosts
