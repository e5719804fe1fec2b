"""Lookups of routes in a configuration that is surely in force."""

import logging
from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrasgrade.errors import ConfigurationOutdated
from sassafrasgrade.job_records import StoredQueue, stored_queue_of
from sassafrasgrade.node_messages import RouteQuestion, RouteReply
from sassafrasgrade.work_tables import MS_PER_S

logger = logging.getLogger(__name__)

# Time for which a request waits until the store has confirmed the own configuration,
# in seconds, before it is refused; a slow store answers within it.
CHECK_WAIT_S = 0.8
# Part of the time in which a configuration has to be in force that is kept for the
# way of requests and answers, in seconds.
APPLY_MARGIN_S = 0.25


@dataclass(frozen=True)
class Route:
    """Outcome of a lookup.

    Attributes:
        queue_name: Name of the queue; empty if no queue matches.
        prefix: Prefix of the queue.
        version: Version of the configuration that decided.
        source: ``own`` or ``leader``: who looked it up.
        queue: ``StoredQueue`` of the queue; None if it is not known.
    """

    queue_name: str
    prefix: str
    version: int
    source: str
    queue: StoredQueue | None = None


class RouteLookup:
    """Finds routes by the own configuration, or by the leader's while it is old.

    A configuration was the newest one when the store last confirmed it. Until the time
    in which a newer one has to be in force has passed since then, it may be used;
    after that the leader is asked, under the same condition, and then the store.

    Args:
        node: The ``Node``: configuration, link to the leader.
    """

    def __init__(self, node):
        self._node = node
        self._newest_version = 0

    async def find(self, host, path):
        """Returns the ``Route`` of a request, or ``ConfigurationOutdated``.

        Args:
            host: ``Host`` header.
            path: Path without query.
        """
        if self._is_own_usable():
            route = self._find_own(host, path)
        else:
            route = await self._ask_leader(host, path)
            if route is None:
                wait_s = 0.0 if self._node.is_store_lost() else CHECK_WAIT_S
                await self._node.check_configuration(wait_s)
                if not self._is_own_usable():
                    return self._find_unconfirmed(host, path)
                route = self._find_own(host, path)
        self._newest_version = max(self._newest_version, route.version)
        self._node.counters.count_route_lookup(route.source)
        return Success(route)

    def answer(self, question):
        """Returns the ``RouteReply`` to another node's question."""
        if not self._is_own_usable():
            return RouteReply(question.number, 0, "", "")
        route = self._find_own(question.host, question.path)
        return RouteReply(
            question.number, route.version, route.queue_name, route.prefix, route.queue
        )

    def _is_own_usable(self):
        """Whether no newer configuration can be due, nor was one used before."""
        limit_s = self._node.settings.bounds_apply_ms / MS_PER_S - APPLY_MARGIN_S
        return (
            self._node.configuration_version() >= self._newest_version
            and self._node.configuration_age_s() <= limit_s
        )

    def _find_own(self, host, path):
        queue = self._node.router.find(host, path)
        version = self._node.configuration_version()
        if queue is None:
            return Route("", "", version, "own")
        stored = stored_queue_of(queue)
        return Route(queue.name, queue.prefix, version, "own", stored)

    async def _ask_leader(self, host, path):
        """Returns the leader's ``Route``; None if it has none that may be used."""
        reply = await self._node.ask_leader(
            lambda number: RouteQuestion(number, host, path)
        )
        oldest_usable = max(self._node.configuration_version(), self._newest_version)
        if reply is None or reply.version < max(oldest_usable, 1):
            return None
        return Route(
            reply.queue_name, reply.prefix, reply.version, "leader", reply.queue
        )

    def _find_unconfirmed(self, host, path):
        """Finds a known queue while the store is lost; refuses everything else.

        While the store answers nobody, no configuration can become newer; while it
        does not answer this node only, the node serves what it can.

        Returns:
            As ``find``.
        """
        own = self._find_own(host, path)
        age_s = self._node.configuration_age_s()
        is_newest = own.version >= self._newest_version
        if self._node.is_store_lost() and is_newest and own.queue_name:
            self._node.counters.count_route_lookup("unconfirmed")
            return Success(own)
        self._node.counters.count_route_lookup("refused")
        logger.info(
            "request refused",
            extra={
                "path": path,
                "reason": "configuration may be outdated",
                "version": own.version,
                "newest_version": self._newest_version,
                "age_s": round(age_s, 2),
                "status": 503,
            },
        )
        return Failure(
            ConfigurationOutdated(
                f"version {own.version} was last confirmed {age_s:.1f} s ago",
                "Retry the request; another node may serve it.",
            )
        )
