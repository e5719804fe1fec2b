"""Settings of a node on the users' platform: defaults, reading, validation."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from returns.result import Result

from sassafrasgrade.errors import SettingInvalid
from sassafrasgrade.settings import Name, Port, Seconds, convert_values, read_values

NODE_DEFAULTS = {
    # Name, data centre, address and resources of the host that runs the node.
    "NODE_NAME": "",
    "NODE_DATA_CENTRE": "",
    "NODE_ADDRESS": "127.0.0.1",
    "NODE_CORES": 1.0,
    "NODE_CORE_SPEED": 1.0,
    "NODE_MEMORY_MB": 300,
    "NODE_LINK_MBPS": 0.0,
    # Addresses that the node listens on.
    "LISTEN_CLIENTS": "127.0.0.1:8080",
    "LISTEN_READINESS": "127.0.0.1:8081",
    "LISTEN_PEERS_PORT": 7430,
    "LISTEN_METRICS_PORT": 7431,
    # Services of the platform.
    "STORE_ADDRESS": "127.0.0.1:7400",
    "CLOUD_ADDRESS": "",
    "CLOUD_ORDERS_PER_S": 64.0,
    "ADVICE_ADDRESS": "",
    # Limits and durations set by the platform and its users, in their units.
    "BOUNDS_APPLY_MS": 2000.0,
    "BOUNDS_DRAIN_MS": 2000.0,
    "BOUNDS_GRACE_S": 6.0,
    "BOUNDS_HOLD_MOST_MS": 6000.0,
    "BOUNDS_STOP_MS": 400.0,
    "BOUNDS_GANG_MS": 3000.0,
    "BOUNDS_RESTORE_MS": 100.0,
    "BOUNDS_NOTICE_MS": 4500.0,
    "BOUNDS_MOVE_S": 1.5,
    "BOUNDS_UPKEEP_S": 2.0,
    "BOUNDS_LEASE_MS": 3000.0,
    "BOUNDS_STATUS_S": 120.0,
    "BOUNDS_EARLY_MS": 250.0,
    "BOUNDS_REMOTE_SLOWDOWN": 2.0,
    # Logs.
    "LOG_LEVEL": "INFO",
    "LOG_LINES_PER_S": 1200,
}

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
OptionalAddress = Annotated[str, msgspec.Meta(pattern=r"^([0-9.]{7,15}:[0-9]{1,5})?$")]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Validated settings of a node; a field is named ``section_key`` after the INI.

    Attributes:
        node_cores: The node's share of the host's processors, in cores.
        node_core_speed: Speed of these cores relative to a reference core.
        node_link_mbps: Bandwidth of the host's link; 0 if unknown.
        cloud_orders_per_s: Host orders that the platform accepts from all nodes.
        bounds_apply_ms: Time in which an accepted configuration has to be in force.
        bounds_drain_ms: How long a draining worker still accepts starts.
        bounds_grace_s: Time from SIGTERM to SIGKILL.
        bounds_hold_most_ms: Longest lease of a run on a worker.
        bounds_stop_ms: Longest time to stop a run.
        bounds_gang_ms: How long a gang's members wait for each other.
        bounds_restore_ms: Time to resume from saved progress.
        bounds_notice_ms: Length of an absence after which a task counts as away.
        bounds_move_s: Time that a host takes to change pools.
        bounds_upkeep_s: Time that a host's maintenance takes.
        bounds_lease_ms: Minimum time between orders of different lease holders.
        bounds_status_s: How long the state of an ended job is kept.
        bounds_early_ms: How long before its due time an occurrence may start.
        bounds_remote_slowdown: Factor on the duration of tasks away from their rack.
    """

    node_name: Name
    node_data_centre: Name
    node_address: str
    node_cores: Annotated[float, msgspec.Meta(gt=0, le=1024)]
    node_core_speed: Annotated[float, msgspec.Meta(gt=0, le=1024)]
    node_memory_mb: Annotated[int, msgspec.Meta(ge=1)]
    node_link_mbps: Annotated[float, msgspec.Meta(ge=0)]
    listen_clients: Address
    listen_readiness: Address
    listen_peers_port: Port
    listen_metrics_port: Port
    store_address: Address
    cloud_address: OptionalAddress
    cloud_orders_per_s: Annotated[float, msgspec.Meta(gt=0, le=100_000)]
    advice_address: OptionalAddress
    bounds_apply_ms: Annotated[float, msgspec.Meta(ge=500, le=3_600_000)]
    bounds_drain_ms: Milliseconds
    bounds_grace_s: Seconds
    bounds_hold_most_ms: Annotated[float, msgspec.Meta(ge=1000, le=3_600_000)]
    bounds_stop_ms: Milliseconds
    bounds_gang_ms: Milliseconds
    bounds_restore_ms: Milliseconds
    bounds_notice_ms: Milliseconds
    bounds_move_s: Seconds
    bounds_upkeep_s: Seconds
    bounds_lease_ms: Milliseconds
    bounds_status_s: Seconds
    bounds_early_ms: Milliseconds
    bounds_remote_slowdown: Annotated[float, msgspec.Meta(ge=1)]
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]
    log_lines_per_s: Annotated[int, msgspec.Meta(ge=1, le=100_000)]


def read_node_settings(path) -> Result[NodeSettings, SettingInvalid]:
    """Reads and validates a node's INI settings file.

    Args:
        path: The file's path.
    """
    values = read_values(Path(path), NODE_DEFAULTS)
    return values.bind(lambda found: check_node_settings(_without_empty(found), path))


def _without_empty(values):
    """Drops empty values: the platform leaves empty what it does not know."""
    return {name: text for name, text in values.items() if text != ""}


def check_node_settings(values, source="settings"):
    """Validates raw values by upper-case name; defaults fill in missing ones."""
    return convert_values(NODE_DEFAULTS | values, NodeSettings, source)
