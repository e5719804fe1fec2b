"""Selects the queue of a request by host and longest matching prefix."""


class QueueRouter:
    """Routes of one configuration.

    Args:
        queues: ``Queue`` values.
    """

    def __init__(self, queues):
        self._queues_by_host = {}
        for queue in queues:
            self._queues_by_host.setdefault(queue.host.lower(), []).append(queue)
        for found in self._queues_by_host.values():
            found.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def find(self, host, path):
        """Returns the ``Queue`` of a request, or None.

        Args:
            host: ``Host`` header; a port is ignored.
            path: Path without query.
        """
        name = host.rsplit(":", 1)[0].lower()
        for queue in self._queues_by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
