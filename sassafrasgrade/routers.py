"""Finds the route of a request: longest path prefix, then exact method."""

ANY_METHOD = "*"


class Router:
    """Index of the routes table.

    Args:
        routes: Rows of the routes table.
    """

    def __init__(self, routes):
        self._routes_by_prefix = {}
        for route in routes:
            by_method = self._routes_by_prefix.setdefault(_key(route.prefix), {})
            by_method[route.method] = route

    def find(self, method, path):
        """Returns the route for a request, or None.

        A prefix matches whole path segments: ``/fees`` matches ``/fees`` and
        ``/fees/1``, not ``/feesx``.
        """
        prefix = path.partition("?")[0].rstrip("/")
        while True:
            by_method = self._routes_by_prefix.get(prefix)
            if by_method:
                route = by_method.get(method) or by_method.get(ANY_METHOD)
                if route:
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]


def _key(prefix):
    return prefix.rstrip("/")
