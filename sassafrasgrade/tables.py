"""The operators' two tables and the host list, as frozen data classes."""

from dataclasses import dataclass, field
from enum import StrEnum


class Urgency(StrEnum):
    """How soon work must start; ranked in order of definition."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


URGENCY_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class HostState(StrEnum):
    """State of a host on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostKind(StrEnum):
    """What a host on the platform's list runs."""

    BACKEND_SERVER = "backend_server"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class Route:
    """One row of the routes table: which work goes to which pool.

    Attributes:
        name: Row name, unique in the table.
        method: HTTP method, or ``*`` for any.
        prefix: Path prefix, starting with ``/``.
        pool: Name of the pool that serves the work.
        urgency: Class of urgency.
        weight: Guaranteed share relative to the pool's other classes.
        team: Quota account that the work counts against.
        repeatable: Whether a request may run more than once.
        deadline_ms: Maximum time until the answer is complete, in milliseconds.
        longest_answer_bytes: Maximum size of an answer body, in bytes.
        quota_cores: For job kinds (method ``JOB``), maximum cores in use at
            once, 0 for no limit.
    """

    name: str
    method: str
    prefix: str
    pool: str
    urgency: Urgency
    weight: int
    team: str
    repeatable: bool
    deadline_ms: int
    longest_answer_bytes: int
    quota_cores: float = 0.0


@dataclass(frozen=True, slots=True)
class Pool:
    """One row of the pools table: which hosts serve the pool.

    Attributes:
        name: Row name, unique in the table.
        hosts_by_data_centre: Host names by data centre, patterns expanded.
        slots: Requests that one host serves concurrently.
        connections: Maximum connections that one host accepts.
        out_at_most: Availability budget: maximum hosts out of service in total.
        out_at_most_per_domain: The same within one failure domain (rack).
        spare_pool: Pool that lends hosts, or an empty string.
        release: Software release that the hosts should run.
        window: Maintenance window ``HH:MM-HH:MM`` in UTC, empty for always.
    """

    name: str
    hosts_by_data_centre: dict[str, tuple[str, ...]]
    slots: int
    connections: int
    out_at_most: int
    out_at_most_per_domain: int
    spare_pool: str = ""
    release: str = ""
    window: str = ""


Row = Route | Pool


@dataclass(frozen=True, slots=True)
class Host:
    """One host on the platform's list, which may lag behind.

    Attributes:
        name: Host name, unique in the fleet.
        data_centre: Data centre that holds the host.
        rack: Failure domain within the data centre.
        address: IP address.
        port: TCP port of the backend server; 0 for entry hosts.
        state: Whether the host is live or leaving.
        kind: What the host runs.
        release: Software release that it runs.
        cores: Processor cores for jobs.
        memory_mb: Memory for jobs in MB.
    """

    name: str
    data_centre: str
    rack: str
    address: str
    port: int
    state: HostState = HostState.LIVE
    kind: HostKind = HostKind.BACKEND_SERVER
    release: str = ""
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True)
class Configuration:
    """Both tables at one generation.

    Attributes:
        generation: Number of the last commit, 0 before the first one; a recovery
            may skip numbers.
        routes_by_name: Routes table.
        pools_by_name: Pools table.
        commit_id: Id of the last commit, to distinguish diverged histories.
    """

    generation: int = 0
    routes_by_name: dict[str, Route] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    commit_id: str = ""


@dataclass(frozen=True)
class HostList:
    """The platform's host list of one data centre at one version."""

    version: int = 0
    hosts_by_name: dict[str, Host] = field(default_factory=dict)
