"""Metrics of the entry process; also exposes the counters of its manager."""

import time

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import generate_latest

from sassafrasgrade.systems.burn_rates import BurnWindow

SECONDS_BUCKETS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
PREFIX = "sassafrasgrade"
IN_TIME = "in-time"
LATE = "late"
MS_PER_S = 1000.0


class ManagerCollector:
    """Exposes the last counters received from the local manager."""

    def __init__(self):
        self.values = {}

    def collect(self):
        """Yields one gauge per counter (called by prometheus_client)."""
        for name, value in sorted(self.values.items()):
            yield GaugeMetricFamily(
                f"{PREFIX}_manager_{name}", f"Manager's {name}.", value
            )


class EntryCounters:
    """Counters of one entry process, in a registry of its own."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self.manager = ManagerCollector()
        self.burn = BurnWindow()
        self._registry.register(self.manager)
        self._answers = Counter(
            f"{PREFIX}_answers",
            "Answers to callers.",
            ["pool", "urgency", "team", "result", "reason"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            f"{PREFIX}_answer_seconds",
            "Time from headers to whole answer.",
            ["pool", "urgency"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._repeats = self._counter("repeats", "Attempts repeated.")
        self._lapsed = self._counter("lapsed_leases", "Slot leases that lapsed unused.")
        self._unrouted = Counter(
            f"{PREFIX}_unrouted",
            "Requests refused before a route was found.",
            ["reason"],
            registry=self._registry,
        )
        self._gauges_by_name = {}
        self._answer_children = {}
        self._unrouted_children = {}

    def _counter(self, name, text):
        return Counter(f"{PREFIX}_{name}", text, registry=self._registry)

    def count_answer(self, route, answer, seconds):
        """Counts one answer to a caller."""
        result = _result(route, answer, seconds)
        reason = str(answer.reason) if answer.reason else ""
        key = (route.pool, str(route.urgency), route.team, result, reason)
        child = self._answer_children.get(key)
        if child is None:
            child = self._answer_children[key] = self._answers.labels(*key)
        child.inc()
        self.burn.record_answer(route.pool, result != IN_TIME, time.monotonic())
        if answer.outcome is None:
            self._seconds.labels(route.pool, str(route.urgency)).observe(seconds)

    def count_refusal(self, route, answer):
        """Counts a request refused once its headers were read.

        Args:
            route: Its ``Route``, or None if it was refused before one was found.
            answer: The failure ``Answer``.
        """
        if route is not None:
            self.count_answer(route, answer, 0.0)
            return
        child = self._unrouted_children.get(answer.reason)
        if child is None:
            child = self._unrouted.labels(str(answer.reason))
            self._unrouted_children[answer.reason] = child
        child.inc()

    def count_repeat(self):
        """Counts one repeated attempt."""
        self._repeats.inc()

    def count_lapsed_lease(self):
        """Counts one slot lease that was returned before its attempt began.

        It had lapsed, or its host may not be used any more.
        """
        self._lapsed.inc()

    def set_gauge(self, name, value):
        """Sets a gauge, created at first use."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"{PREFIX}_{name}", f"{name}.", registry=self._registry)
            self._gauges_by_name[name] = gauge
        gauge.set(value)

    def expose(self):
        """Returns the page of all metrics as bytes."""
        return generate_latest(self._registry)


def _result(route, answer, seconds):
    if answer.outcome is not None:
        return str(answer.outcome)
    return IN_TIME if seconds * MS_PER_S <= route.deadline_ms else LATE
