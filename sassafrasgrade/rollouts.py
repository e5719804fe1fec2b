"""Requests managers' status and waits until a generation is in force."""

import asyncio
import time
from dataclasses import dataclass

from tornado import gen

from sassafrasgrade.messages import AnyMessage, Hello, StatusReply, StatusRequest
from sassafrasgrade.streams import Link

POLL_PERIOD_S = 0.1
REPLY_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class RolloutReport:
    """Progress of the rollout of a generation.

    Attributes:
        generation: The generation that was waited for.
        seconds: Time until it was in force everywhere, or until the timeout.
        in_force: Names of the live entry hosts that have it.
        behind: Names of the live entry hosts that have an older one.
        unreachable: Names of the entry hosts that no manager reported.
    """

    generation: int
    seconds: float
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]


async def fetch_status(address, port, timeout_s=REPLY_TIMEOUT_S):
    """Requests one manager's status; returns its ``StatusReply`` or None."""
    reply_future = asyncio.get_running_loop().create_future()

    def handle_message(message):
        if isinstance(message, StatusReply) and not reply_future.done():
            reply_future.set_result(message)

    def send_request(link):
        link.send(Hello("operator", "", "operator"))
        link.send(StatusRequest())

    link = Link(address, port, AnyMessage, send_request, handle_message, lambda: None)
    link.start()
    try:
        return await asyncio.wait_for(reply_future, timeout_s)
    except TimeoutError:
        return None
    finally:
        link.close()


async def fetch_statuses(peers, port):
    """Requests the status of all peers concurrently; returns replies by name."""
    replies = await asyncio.gather(*(fetch_status(p.address, port) for p in peers))
    return {peer.name: reply for peer, reply in zip(peers, replies)}


def own_host_row(reply):
    """Returns the row of the replying manager's own host."""
    return next(row for row in reply.entry_hosts if row.name == reply.name)


def entry_generations(replies):
    """Returns the generation in force by entry host, from all replies.

    An entry whose own manager is down reports to another one.
    """
    generations = {}
    for reply in replies.values():
        for entry in reply.entries if reply is not None else ():
            known = generations.get(entry.name, 0)
            generations[entry.name] = max(known, entry.generation)
    return generations


async def wait_until_in_force(peers, port, generation, timeout_s):
    """Waits until every live entry host has a generation in force.

    Args:
        peers: ``Peer`` list of the known entry hosts.
        port: Stream port of the managers.
        generation: Generation to wait for.
        timeout_s: Maximum wait in seconds.

    Returns:
        ``RolloutReport``.
    """
    started = time.monotonic()
    while True:
        replies = await fetch_statuses(peers, port)
        generations = entry_generations(replies)
        in_force = [n for n, reported in generations.items() if reported >= generation]
        behind = [n for n, reported in generations.items() if reported < generation]
        unreachable = sorted(replies.keys() - generations.keys())
        seconds = time.monotonic() - started
        if not behind and in_force or seconds > timeout_s:
            return RolloutReport(
                generation, seconds, tuple(in_force), tuple(behind), tuple(unreachable)
            )
        await gen.sleep(POLL_PERIOD_S)
