"""Heartbeats of nodes about the store: what they say of an outage, and to whom.

A leader that the store does not answer cannot tell an outage from a fault of its own.
It acts as in an outage only while a majority of the nodes reports one. Its successor
learns from their heartbeats whether there can have been such a majority.
"""

from dataclasses import dataclass

# Age of the store's last answer from which a heartbeat reports an outage, in seconds.
OUTAGE_ANSWER_AGE_S = 1.0
# Greatest age at which a node's report counts, in seconds: some heartbeats.
MAX_REPORT_AGE_S = 0.7
# Longest time from a report of an outage to its arrival, in seconds. A stream over
# which nothing comes back is reset before.
MAX_REPORT_DELAY_S = 2.0
# Time after a pause of this process in which heartbeats may have waited unread, in
# seconds.
RESUME_S = 0.25
# Stands for "never in this process" on the wire, in seconds.
LONGEST_OUTAGE_AGE_S = 3600.0


@dataclass(frozen=True, slots=True)
class OutageReport:
    """What a node's last heartbeat said.

    Attributes:
        received_at: Clock of its receipt.
        store_answer_age_s: Seconds since the store last answered that node.
        outage_reported_at: Clock when the node last reported an outage to a leader;
            None if it does not say.
    """

    received_at: float
    store_answer_age_s: float
    outage_reported_at: float | None = None


class OutageReports:
    """Reports of other nodes to this leader, and this node's own to leaders.

    Args:
        timers: Timer service.
    """

    def __init__(self, timers):
        self._timers = timers
        self._reports_by_name = {}
        self._own_outage_at = timers.now() - LONGEST_OUTAGE_AGE_S
        # Clock when this process last ran, and when it last went on after a pause.
        self._ran_at = timers.now()
        self._resumed_at = float("-inf")

    @property
    def values(self):
        """The last ``OutageReport`` of each node."""
        return self._reports_by_name.values()

    def note_running(self):
        """Notes that this process runs; called with each heartbeat."""
        now = self._timers.now()
        if now - self._ran_at > MAX_REPORT_AGE_S:
            self._resumed_at = now
        self._ran_at = now

    def clear(self):
        """Forgets the reports of other nodes."""
        self._reports_by_name.clear()

    def note_sent(self, store_answer_age_s):
        """Notes what this node reports to a leader.

        Args:
            store_answer_age_s: Seconds since the store last answered this node.

        Returns:
            Seconds since this node last reported an outage to any leader.
        """
        now = self._timers.now()
        if store_answer_age_s > OUTAGE_ANSWER_AGE_S:
            self._own_outage_at = now
        return min(now - self._own_outage_at, LONGEST_OUTAGE_AGE_S)

    def record(self, name, store_answer_age_s, outage_age_s):
        """Records a heartbeat, unless it may have waited while this process was paused.

        Args:
            name: Name of the node.
            store_answer_age_s: Seconds since the store last answered it.
            outage_age_s: Seconds since it last reported an outage; None if unknown.
        """
        self.note_running()
        now = self._timers.now()
        if now - self._resumed_at < RESUME_S:
            return
        outage_reported_at = None if outage_age_s is None else now - outage_age_s
        self._reports_by_name[name] = OutageReport(
            now, store_answer_age_s, outage_reported_at
        )

    def is_outage_confirmed(self, other_names):
        """Whether most nodes, with this one, say now that the store is away.

        Args:
            other_names: Names of the other live nodes.
        """
        now = self._timers.now()
        confirming = 1
        for name in other_names:
            report = self._reports_by_name.get(name)
            if report is None or now - report.received_at > MAX_REPORT_AGE_S:
                continue
            confirming += report.store_answer_age_s > OUTAGE_ANSWER_AGE_S
        return confirming * 2 > len(other_names) + 1

    def last_majority_at(self, own_name, voter_names, total):
        """Returns the clock after which no majority can have reported an outage.

        A node reports to one leader at a time, and says here when it last did so.

        Args:
            own_name: Name of this node.
            voter_names: Names of the nodes that earlier leaders knew, too.
            total: Number of nodes that they may have known.

        Returns:
            Clock in seconds, or None before half of the nodes have said.
        """
        reported_at = [self._outage_reported_at(own_name, n) for n in voter_names]
        known = sorted(at for at in reported_at if at is not None)
        needed = (total + 1) // 2
        return known[needed - 1] if len(known) >= needed else None

    def _outage_reported_at(self, own_name, name):
        if name == own_name:
            return self._own_outage_at
        report = self._reports_by_name.get(name)
        return None if report is None else report.outage_reported_at
