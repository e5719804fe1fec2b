"""HTTP server of the platform stand-in: key-value service, leases, hosts, tasks."""

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from sassafrasgrade.tools.standins.platform_handlers import (
    ControlHandler,
    HostCommandHandler,
    HostsHandler,
    LeaseHandler,
    LeasesHandler,
    ValueHandler,
    ValuesHandler,
    WatchHandler,
)
from sassafrasgrade.tools.standins.platform_states import PlatformState
from sassafrasgrade.tools.standins.tasks import (
    TaskCommandHandler,
    TasksHandler,
    TaskTable,
)

LEASE_EXPIRY_PERIOD_MS = 100


class PlatformStandIn:
    """Serves the platform's HTTP interface from in-memory state.

    Args:
        address: IP address to listen on.
        port: TCP port.
    """

    def __init__(self, address, port):
        self.state = PlatformState()
        self.state.tasks = TaskTable()
        self._address = address
        self._port = port
        shared = {"state": self.state}
        self._server = HTTPServer(
            Application(
                [
                    (r"/kv", ValuesHandler, shared),
                    (r"/kv/(.+)", ValueHandler, shared),
                    (r"/watch/(.+)", WatchHandler, shared),
                    (r"/leases", LeasesHandler, shared),
                    (r"/leases/([^/]+)", LeaseHandler, shared),
                    (r"/tasks", TasksHandler, shared),
                    (r"/tasks/([a-z]+)", TaskCommandHandler, shared),
                    (r"/hosts", HostsHandler, shared),
                    (r"/hosts/([^/]+)/([a-z]+)", HostCommandHandler, shared),
                    (r"/control/([a-z]+)", ControlHandler, shared),
                ]
            )
        )
        self._leases = PeriodicCallback(self._expire_leases, LEASE_EXPIRY_PERIOD_MS)

    def start(self):
        """Starts to listen and to expire leases."""
        self._server.listen(self._port, self._address)
        self._leases.start()

    def stop(self):
        """Stops listening and expiring leases."""
        self._leases.stop()
        self._server.stop()

    async def _expire_leases(self):
        if self.state.expire_leases():
            async with self.state.changed:
                self.state.changed.notify_all()
