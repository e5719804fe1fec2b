"""A node without sockets, for tests of route lookups."""

from sassafrasgrade.node_counters import NodeCounters
from sassafrasgrade.node_messages import RouteReply
from sassafrasgrade.node_settings import check_node_settings
from sassafrasgrade.platform.messages import Queue
from sassafrasgrade.queue_routers import QueueRouter
from sassafrasgrade.systems.work_bounds import WorkBound


class FakeNode:
    """Answers what ``RouteLookup`` asks of a node.

    Args:
        version: Version of the own configuration.
        age_s: Time since it was confirmed, in seconds.
        situation: What the leader and the store do, in words.
    """

    def __init__(self, version, age_s, situation):
        self.settings = check_node_settings(
            {"NODE_NAME": "node", "NODE_DATA_CENTRE": "z", "BOUNDS_APPLY_MS": "2000"}
        ).unwrap()
        self.router = QueueRouter(
            [Queue(name="q", host="jobs.example", prefix="/tasks/")]
        )
        self.age_s = age_s
        self.uses_newer_before = "version 6 was used" in situation
        self.leader_version = 6 if self.uses_newer_before else None
        if "leader has version" in situation:
            self.leader_version = int(situation.split()[-1])
        elif "outdated" in situation:
            self.leader_version = 0
        self.work_bound = WorkBound(self.settings.node_memory_mb)
        self.path = "/unknown/1" if "unknown" in situation else "/tasks/1"
        self.counted = []
        self.counters = NodeCounters()
        self.counters.count_route_lookup = self.counted.append
        self._version = version
        self._is_lost = "lost" in situation
        self._is_confirmed = "confirms" in situation

    def configuration_version(self):
        """Returns the version."""
        return self._version

    def configuration_age_s(self):
        """Returns the age in seconds."""
        return self.age_s

    def is_store_lost(self):
        """Whether the store answers nobody."""
        return self._is_lost

    async def ask_leader(self, create_question):
        """Returns the leader's reply, or None."""
        if self.leader_version is None:
            return None
        question = create_question(1)
        return RouteReply(question.number, self.leader_version, "q", "/tasks/")

    async def check_configuration(self, timeout_s):
        """Lets the store confirm the configuration, if it does."""
        if self._is_confirmed:
            self.age_s = 0.0
