"""Plans orders on hosts: maintenance waves first, then moves between pools."""

from sassafrasgrade.fleet_hosts import FleetHosts
from sassafrasgrade.systems.host_states import clear_reservations, record_idle_since
from sassafrasgrade.systems.maintenance_waves import evacuate_draining, plan_waves
from sassafrasgrade.systems.pool_moves import plan_moves
from sassafrasgrade.work_tables import WorkTables

# Delay before a host whose order was refused gets another order, in seconds.
REFUSED_PAUSE_S = 0.5


def plan_hosts(tables: WorkTables, fleet: FleetHosts, settings, now):
    """Returns the commands of one scheduling tick.

    Args:
        tables: Jobs and workers; workers of the chosen hosts become reserved.
        fleet: Hosts and waves.
        settings: ``NodeSettings`` with the time limits of the platform.
        now: Current clock in seconds.
    """
    if not fleet.listed_at:
        return []
    record_idle_since(tables, fleet, now)
    clear_reservations(tables, fleet, now)
    commands = evacuate_draining(tables)
    commands += plan_waves(tables, fleet, settings, now, tuple(commands))
    commands += plan_moves(tables, fleet, settings, now)
    return commands
