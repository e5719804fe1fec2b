"""A leader whose renewals get no answer, and what the other nodes report to it."""

from features.support.memory_stores import MemoryStore
from features.support.missed_leaderships import create_leader, register
from features.support.takeovers import Takeover
from sassafrasgrade.member_records import NODES_PREFIX
from sassafrasgrade.nodes import HEARTBEAT_PERIOD_S
from sassafrasgrade.outage_reports import LONGEST_OUTAGE_AGE_S, OutageReports
from sassafrasgrade.platform.stores import Item
from sassafrasgrade.timers import FakeTimerService

OTHER_NODES = ("second", "third", "fourth", "fifth", "sixth", "seventh")
OUTAGE_AGE_S = 1.5
# How many of the other six nodes report an outage.
REPORTING_BY_REPORTS = {
    "nobody reports an outage": 0,
    "three of seven nodes, with it, report an outage": 2,
    "four of seven nodes, with it, report an outage": 3,
    "four reported an outage 1 s before": 3,
    "four reported an outage while it was frozen": 3,
    "four nodes that have left report an outage": 3,
}
# Time for which the leader stands still before it reads what was reported, in seconds.
FROZEN_S = 1.5


async def lease_after(renewal_age_s, reports):
    """Returns the lease that a leader gives, and whether it starts tasks.

    Args:
        renewal_age_s: Seconds since its last answered renewal was sent.
        reports: What the other nodes report.
    """
    candidate = await create_leader(MemoryStore())
    register(candidate.leadership, *OTHER_NODES)
    leader = Takeover(leadership=candidate.leadership, timers=candidate.timers)
    names_ = OTHER_NODES[: REPORTING_BY_REPORTS[reports]]
    quiet_s = 1.0 if "1 s before" in reports else 0.0
    frozen_s = FROZEN_S if "frozen" in reports else 0.0
    _run_for(candidate, renewal_age_s - quiet_s - frozen_s)
    candidate.timers.advance(frozen_s)
    for name in names_:
        candidate.leadership.outage_reports.record(name, OUTAGE_AGE_S, 0.0)
    if "have left" in reports:
        for name in names_:
            item = Item(NODES_PREFIX + name, None, 2)
            candidate.leadership._apply_item(item)
    _run_for(candidate, quiet_s)
    return leader.dispatcher.lease_s(), candidate.leadership.has_start_authority()


def _run_for(candidate, seconds):
    until = candidate.timers.now() + seconds
    while candidate.timers.now() < until - HEARTBEAT_PERIOD_S:
        candidate.timers.advance(HEARTBEAT_PERIOD_S)
        candidate.leadership.outage_reports.note_running()
    candidate.timers.advance(until - candidate.timers.now())
    candidate.leadership.outage_reports.note_running()


def outage_age_after(answer_ages_s):
    """Returns what a node says of its last report of an outage; None for none.

    Args:
        answer_ages_s: Ages of the store's last answer in its heartbeats, one a second.
    """
    timers = FakeTimerService()
    reports = OutageReports(timers)
    for age_s in answer_ages_s:
        timers.advance(1.0)
        found_s = reports.note_sent(age_s)
    return None if found_s == LONGEST_OUTAGE_AGE_S else found_s
