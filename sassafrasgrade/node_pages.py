"""HTTP pages of a node for the platform and operators: readiness and metrics."""

from tornado.web import RequestHandler


class ReadyHandler(RequestHandler):
    """Shows the load balancer whether the node accepts new connections."""

    def initialize(self, node):
        """Called by tornado with the handler's arguments."""
        self._node = node

    def get(self):
        """Answers 200 or 503."""
        self.set_status(200 if self._node.is_ready() else 503)


class MetricsHandler(RequestHandler):
    """Serves the node's metrics."""

    def initialize(self, node):
        """Called by tornado with the handler's arguments."""
        self._node = node

    def get(self):
        """Answers with all metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.write(self._node.counters.expose())
