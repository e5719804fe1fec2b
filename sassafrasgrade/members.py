"""Live nodes as one node knows them, and since when."""

from sassafrasgrade.timers import CLOCK_DRIFT

# Time to live of a node's lease, in seconds: the leader stays leader through
# store outages of that length. A lost leader is replaced sooner, on suspicion.
LEASE_TTL_S = 6.0
# Longest time that one watch call waits for changes, in seconds.
WATCH_WAIT_S = 1.3
# Longest time by which the members that one node knows of lag behind those that another
# one does, in seconds: an authority whose watch hears nothing, and a watch call.
MEMBERS_LAG_S = LEASE_TTL_S * CLOCK_DRIFT + WATCH_WAIT_S
# Time for which a node that has left is remembered, in seconds: a leader that is
# replaced while it has authority may still count it.
LEFT_S = MEMBERS_LAG_S + LEASE_TTL_S * CLOCK_DRIFT


class Members:
    """Nodes that are registered, or have left lately.

    Attributes:
        records_by_name: ``NodeRecord`` values of live nodes.

    Args:
        timers: Timer service.
    """

    def __init__(self, timers):
        self._timers = timers
        self.records_by_name = {}
        self._joined_at_by_name = {}
        self._left_at_by_name = {}

    def add(self, name, record):
        """Adds a node, or replaces its record."""
        self.records_by_name[name] = record
        self._joined_at_by_name.setdefault(name, self._timers.now())
        self._left_at_by_name.pop(name, None)

    def remove(self, name):
        """Removes a node, which is remembered for ``LEFT_S``."""
        now = self._timers.now()
        self._joined_at_by_name.pop(name, None)
        left = {n: at for n, at in self._left_at_by_name.items() if now - at < LEFT_S}
        if self.records_by_name.pop(name, None) is not None:
            left[name] = now
        self._left_at_by_name = left

    def keep_only(self, names):
        """Removes the nodes that a list of all does not name."""
        for name in self.records_by_name.keys() - names:
            self.remove(name)

    def known_to_all_at(self, at):
        """Returns names of live nodes that every node knew at a clock."""
        joined = self._joined_at_by_name.items()
        return {name for name, since in joined if since <= at - MEMBERS_LAG_S}

    def known_to_any_at(self, at):
        """Returns names of all nodes that some node may have counted at a clock."""
        left = self._left_at_by_name.items()
        lately = {name for name, since in left if since > at - MEMBERS_LAG_S}
        return self.records_by_name.keys() | lately
