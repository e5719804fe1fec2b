"""Steps on orders to hosts that are answered late."""

import asyncio

from behave import given, then, when

from features.support.late_host_orders import WaveLeader


@given("a wave of {hosts:d} idle hosts of which {cap:d} may be down")
def create_wave(context, hosts, cap):
    context.wave = hosts, cap


@when('the first orders are answered "{answer}" after {delay:g} s')
def answer_late(context, answer, delay):
    async def order():
        leader = WaveLeader(*context.wave)
        await leader.order_first(answer, delay)
        return leader

    context.leader = asyncio.run(order())


@then(
    "{early:d} further hosts are ordered {before:g} s after them, and {late:d} after "
    "{after:g} s"
)
def check_orders(context, early, before, late, after):
    assert context.leader.plan_at(before) == early
    if not early:
        assert context.leader.plan_at(after) == late
