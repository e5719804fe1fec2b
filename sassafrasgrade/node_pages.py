"""Pages of a node for the platform and for operators: readiness and metrics."""

from tornado.web import RequestHandler


class ReadyHandler(RequestHandler):
    """Tells the balancer whether the node takes new connections."""

    def initialize(self, node):
        """Takes the node."""
        self._node = node

    def get(self):
        """Answers 200 or 503."""
        self.set_status(200 if self._node.is_ready() else 503)


class MetricsHandler(RequestHandler):
    """Shows all metrics."""

    def initialize(self, node):
        """Takes the node."""
        self._node = node

    def get(self):
        """Answers the page of metrics."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.write(self._node.counters.expose())
