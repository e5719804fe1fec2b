"""Metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

PREFIX = "sassafrasgrade_node"
SECONDS_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class NodeCounters:
    """Prometheus metrics of one node, in its own registry."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._children_by_key = {}
        self._requests = self._counter(
            "requests", "Callers' requests by kind and answer.", ["kind", "status"]
        )
        self._request_seconds = self._histogram(
            "request_seconds", "Time from headers to answer.", ["kind"]
        )
        self._store_calls = self._counter(
            "store_calls",
            "Calls to the store by kind and outcome.",
            ["kind", "outcome"],
        )
        self._store_seconds = self._histogram(
            "store_call_seconds", "Duration of calls to the store.", ["kind"]
        )
        self._route_lookups = self._counter(
            "route_lookups", "Lookups of requests' routes by source.", ["source"]
        )
        self._starts = self._counter(
            "starts", "Starts of runs by outcome.", ["outcome"]
        )
        self._starts_by_other_clock = self._counter(
            "starts_by_other_clock",
            "Starts answered by a clock behind the one that set their deadline.",
            [],
        )
        self._second_runs = self._counter(
            "second_runs", "Runs listed while their task had another.", []
        )
        self._runs = self._histogram(
            "run_seconds", "Duration of runs that ended done.", ["queue"]
        )
        self._host_orders = self._counter(
            "host_orders", "Orders on hosts by kind and outcome.", ["kind", "outcome"]
        )
        self._placements = self._histogram(
            "placement_seconds", "Time from the first to the last slice.", []
        )
        self._placement_slices = self._counter(
            "placement_slices", "Slices of placements.", []
        )
        self._leadership_gauge = Gauge(
            f"{PREFIX}_leads", "Whether this node leads.", registry=self._registry
        )
        self._takeovers = self._counter("takeovers", "Leaderships gained.", [])
        self._dropped_lines = self._counter(
            "dropped_log_lines", "Log lines over the limit.", []
        )
        self._loop_lag = self._histogram(
            "loop_lag_seconds", "Delay of a periodic callback.", []
        )

    def _counter(self, name, text, labels):
        return Counter(f"{PREFIX}_{name}", text, labels, registry=self._registry)

    def _histogram(self, name, text, labels):
        return Histogram(
            f"{PREFIX}_{name}",
            text,
            labels,
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )

    def _child(self, metric, *labels):
        key = (metric, labels)
        child = self._children_by_key.get(key)
        if child is None:
            child = metric.labels(*labels) if labels else metric
            self._children_by_key[key] = child
        return child

    def count_request(self, kind, status, seconds):
        """Counts an answer to a caller."""
        self._child(self._requests, kind, str(status)).inc()
        self._child(self._request_seconds, kind).observe(seconds)

    def count_store_call(self, kind, outcome, seconds):
        """Counts a call to the store."""
        self._child(self._store_calls, kind, outcome).inc()
        self._child(self._store_seconds, kind).observe(seconds or 0.0)

    def count_route_lookup(self, source):
        """Counts a lookup by who answered it."""
        self._child(self._route_lookups, source).inc()

    def count_start(self, outcome):
        """Counts a start of a run."""
        self._child(self._starts, outcome).inc()

    def count_start_by_other_clock(self):
        """Counts a start that a later incarnation of its worker seems to have taken."""
        self._child(self._starts_by_other_clock).inc()

    def count_second_run(self):
        """Counts a run that was listed while its task had another."""
        self._child(self._second_runs).inc()

    def count_run(self, queue, seconds):
        """Counts a run that ended ``done``."""
        self._child(self._runs, queue).observe(seconds)

    def count_host_order(self, kind, outcome):
        """Counts an order to a host."""
        self._child(self._host_orders, kind, outcome).inc()

    def count_placement(self, slices, seconds):
        """Counts a placement of waiting tasks that has ended."""
        self._child(self._placements).observe(seconds)
        self._child(self._placement_slices).inc(slices)

    def record_leadership(self, is_leader):
        """Sets whether this node is leader, and counts a leadership gained."""
        self._leadership_gauge.set(int(is_leader))
        if is_leader:
            self._takeovers.inc()

    def count_dropped_lines(self, count):
        """Counts log lines that were dropped."""
        self._dropped_lines.inc(count)

    def observe_loop_lag(self, seconds):
        """Records how late a periodic callback ran."""
        self._child(self._loop_lag).observe(seconds)

    def track(self, name, text, read):
        """Exposes a value that is read whenever the metrics are collected.

        Args:
            name: Name of the gauge without the common prefix.
            text: What it shows.
            read: Function that returns the value.
        """
        gauge = Gauge(f"{PREFIX}_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def expose(self):
        """Returns all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self._registry)
