"""Plans the orders on hosts: maintenance waves first, then moves."""

from sassafrasgrade.fleet_hosts import FleetHosts
from sassafrasgrade.systems.host_states import lift_reservations, note_idle
from sassafrasgrade.systems.pool_moves import plan_moves
from sassafrasgrade.systems.upkeep_waves import evacuate_draining, plan_waves
from sassafrasgrade.works import WorkTables

# Pause before an order that was refused is repeated, in seconds.
REFUSED_PAUSE_S = 0.5


def plan_hosts(tables: WorkTables, fleet: FleetHosts, settings, now):
    """Returns the orders of one tick.

    Args:
        tables: Jobs and workers; workers of chosen hosts become reserved.
        fleet: Hosts and waves.
        settings: ``NodeSettings`` with the bounds of the platform.
        now: Present clock in seconds.
    """
    if not fleet.listed_at:
        return []
    note_idle(tables, fleet, now)
    lift_reservations(tables, fleet, now)
    commands = evacuate_draining(tables)
    commands += plan_waves(tables, fleet, settings, now)
    commands += plan_moves(tables, fleet, settings, now)
    return commands
