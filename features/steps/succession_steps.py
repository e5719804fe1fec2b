"""Steps on the choice of a leader's successor."""

from behave import then

from features.support.work_tables import NOW
from sassafrasgrade.member_records import NodeRecord
from sassafrasgrade.systems.successions import campaign_wait_s, rank_successors


def create_record(text):
    name, cores, link_mbps = text.split()
    return NodeRecord(name, "1", "127.0.0.1:1", float(cores), float(link_mbps))


@then('of live nodes "{nodes}", the one to succeed "{leader}" is "{successor}"')
@then('of live nodes "{nodes}", the one to succeed "" is "{successor}"')
def check_successor(context, nodes, successor, leader=""):
    records = [create_record(text) for text in nodes.split(",")]
    records_by_name = {record.name: record for record in records}
    for epoch in range(20):
        assert rank_successors(records_by_name, leader, epoch)[0] == successor


@then(
    "a node of rank {rank:d} that the store has answered for {since_s:g} s "
    "campaigns in {wait_s:g} s"
)
def check_campaign_wait(context, rank, since_s, wait_s):
    assert abs(campaign_wait_s(rank, NOW - since_s, NOW) - wait_s) < 1e-6
