"""Table of the platform's hosts, their pools and the maintenance waves."""

from dataclasses import dataclass, field

from sassafrasgrade.platform.messages import Capacity, MachineRow, Wave

STATE_UP = "up"
STATE_UPKEEP = "upkeep"
STATE_MOVING = "moving"
# States in which all runs of a host have certainly ended. A host that is listed as
# down may only be cut off, with its runs still active.
ENDING_STATES = frozenset({STATE_MOVING, STATE_UPKEEP})


@dataclass(slots=True, eq=False)
class HostRow:
    """A host; its worker may change.

    Attributes:
        name: Its name.
        pool: Pool it is in or moving to.
        state: State in the last list.
        data_centre: Its data centre.
        labels: Its kind and its rack.
        capacity: Its resources.
        worker_id: Its worker, from the last list or the report of the worker itself;
            empty if there is none.
        busy_until: Clock until which it is unavailable because of an order.
        arrives_at: Clock at which its move ends; 0 if it is not moving.
        idle_since: Clock since when its worker has had no runs; 0 if unknown or
            in use.
        listed_at: Clock of the last list that contained it.
        ordered_at: Clock when it was last given an order; 0 if it never was.
    """

    name: str
    pool: str
    state: str
    data_centre: str = ""
    labels: tuple[str, ...] = ()
    capacity: Capacity = Capacity()
    worker_id: str = ""
    busy_until: float = 0.0
    arrives_at: float = 0.0
    idle_since: float = 0.0
    listed_at: float = 0.0
    ordered_at: float = 0.0

    @property
    def rack(self):
        """Label of its rack."""
        return self.labels[-1] if self.labels else ""


@dataclass(slots=True, eq=False)
class WaveRow:
    """A maintenance wave in progress.

    Attributes:
        wave: What the operators requested.
        seen_at: Clock when a leader first saw it.
        done: Hosts whose maintenance has begun or was refused for good, and hosts
            that are no longer listed.
        down_until_by_host: Clock until which this wave keeps a host down, by name.
        is_reported: Whether its completion is stored.
        is_running_reported: Whether its start is stored.
        revision: Store revision of its progress; 0 if none is stored.
        stored_done: Number of hosts in the stored progress.
        stored_at: Clock of the last write of its progress.
    """

    wave: Wave
    seen_at: float
    done: set[str] = field(default_factory=set)
    down_until_by_host: dict[str, float] = field(default_factory=dict)
    is_reported: bool = False
    is_running_reported: bool = False
    revision: int = 0
    stored_done: int = 0
    stored_at: float = 0.0

    @property
    def left(self):
        """Names of hosts whose maintenance has not begun."""
        return [name for name in self.wave.hosts if name not in self.done]


@dataclass(slots=True)
class FleetHosts:
    """All hosts and waves.

    Attributes:
        hosts_by_name: All hosts in the last list.
        waves_by_number: Waves that the operators requested.
        listed_at: Clock of the last list; 0 before the first.
        orders_after_by_host: Clock before which a host takes no order, since the
            previous leader gave it one.
    """

    hosts_by_name: dict[str, HostRow] = field(default_factory=dict)
    waves_by_number: dict[int, WaveRow] = field(default_factory=dict)
    listed_at: float = 0.0
    orders_after_by_host: dict[str, float] = field(default_factory=dict)

    def recent_order_ages(self, now, max_age_s):
        """Returns the seconds since their last orders of hosts ordered recently."""
        ages = {
            name: max_age_s - (after - now)
            for name, after in self.orders_after_by_host.items()
        }
        ages |= {
            name: now - host.ordered_at
            for name, host in self.hosts_by_name.items()
            if host.ordered_at
        }
        return {name: age for name, age in ages.items() if age < max_age_s}

    def delay_orders(self, order_age_s_by_host, now, pause_s):
        """Delays orders to hosts until ``pause_s`` after their last order.

        Args:
            order_age_s_by_host: Seconds since the previous leader's last orders.
            now: Current clock in seconds.
            pause_s: Minimum time between orders of different leaders, in seconds.
        """
        for name, age_s in order_age_s_by_host.items():
            self.orders_after_by_host[name] = now + pause_s - age_s

    def apply_list(self, rows: tuple[MachineRow, ...], sent_at, is_complete=True):
        """Applies a list of hosts.

        Args:
            rows: All hosts.
            is_complete: Whether hosts that are not in ``rows`` are no longer listed.
            sent_at: Clock when the list was requested; the list does not show
                the effect of later orders.
        """
        names = set()
        for row in rows:
            names.add(row.name)
            host = self.hosts_by_name.get(row.name)
            if host is None:
                host = HostRow(row.name, row.pool, row.state)
                self.hosts_by_name[row.name] = host
            if host.busy_until <= sent_at:
                host.pool = row.pool
                host.state = row.state
                host.worker_id = row.worker_id or ""
                if row.state == STATE_UP:
                    host.arrives_at = 0.0
            host.data_centre = row.data_centre
            host.labels = row.labels
            host.capacity = row.capacity
            host.listed_at = sent_at
        if is_complete:
            for name in set(self.hosts_by_name) - names:
                del self.hosts_by_name[name]
        self.listed_at = sent_at
