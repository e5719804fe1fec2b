"""Pages of the entry process for load balancers and monitoring."""

from sassafrasgrade.answers import Answer

TEXT_TYPE = (("Content-Type", "text/plain; charset=utf-8"),)
READY = "ready"


class EntryPages:
    """Builds ``/healthz``, ``/readyz`` and ``/metrics``.

    Args:
        entry: The ``Entry``.
    """

    def __init__(self, entry):
        self._entry = entry
        self._pages_by_path = {
            "/healthz": self._health_page,
            "/readyz": self._ready_page,
            "/metrics": self._metrics_page,
        }

    def page(self, method, path):
        """Returns the function (headers, body) that builds a page, or None."""
        return self._pages_by_path.get(path) if method == "GET" else None

    def _health_page(self, headers, body):
        return Answer(200, TEXT_TYPE, b"ok\n")

    def _ready_page(self, headers, body):
        state = self._entry.state()
        status = 200 if state == READY else 503
        return Answer(status, TEXT_TYPE, f"{state}\n".encode())

    def _metrics_page(self, headers, body):
        counters = self._entry.counters
        for name, value in self._entry.gauges().items():
            counters.set_gauge(name, value)
        return Answer(200, TEXT_TYPE, counters.expose())
