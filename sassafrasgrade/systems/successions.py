"""Decides which node succeeds the leader, and how long each waits for stronger ones.

Load pattern: the leader is lost, or the store has been lost for all nodes, while
hundreds of jobs are open; the successor reads them all, and then sends the starts of
a whole peak.
"""

from sassafrasgrade.rendezvous import rank_names

# Bandwidth from which a link carries a leader's orders and the tables that it loads
# without delay, in Mbit/s. Beyond that, cores matter more.
LEADER_LINK_MBPS = 50.0
# Delay between the campaigns of nodes of neighbouring rank, in seconds.
CAMPAIGN_STEP_S = 0.06
# Least wait, in seconds. A shorter one may be lost in the rounding of the clock, so
# that the campaign would come due again at once.
LEAST_WAIT_S = 0.001


def rank_successors(records_by_name, previous_name, epoch):
    """Returns the names of live nodes, the fittest to lead first.

    Args:
        records_by_name: ``NodeRecord`` values of live nodes.
        previous_name: Leader to be replaced, which is left out.
        epoch: Number of the last leadership; orders nodes that are equally fit.
    """
    names = [name for name in records_by_name if name != previous_name]
    ranked = rank_names(names, str(epoch))
    ranked.sort(key=lambda name: _fitness(records_by_name[name]), reverse=True)
    return ranked


def _fitness(record):
    has_fast_link = record.link_mbps >= LEADER_LINK_MBPS
    return (has_fast_link, record.cores, record.link_mbps)


def campaign_wait_s(rank, answering_since, now):
    """Returns how long a node of a rank still leaves the campaign to fitter nodes.

    Args:
        rank: The node's rank, 0 for the fittest.
        answering_since: Clock since when the store has answered the node.
        now: Current clock in seconds.
    """
    wait_s = answering_since + rank * CAMPAIGN_STEP_S - now
    return wait_s if wait_s > LEAST_WAIT_S else 0.0
