"""JSON log lines on standard output, rate-limited and non-blocking."""

import errno
import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

# Bytes buffered for a slow reader before lines are dropped.
MAX_BACKLOG_BYTES = 262_144
FORMAT = "%(created)s %(levelname)s %(name)s %(message)s"


class BoundedHandler(logging.Handler):
    """Writes a limited number of lines per second; drops and counts the others.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        lines_per_s: Limit of lines per second; doubled for warnings and errors.
        on_dropped: Called with the number of dropped lines, at most once a second.
        clock: Function that returns seconds.
    """

    def __init__(self, descriptor, lines_per_s, on_dropped, clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._on_dropped = on_dropped
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._backlog = b""
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Called by logging; writes a record or counts it as dropped."""
        second = int(self._clock())
        if second != self._second:
            self._begin_second(second)
        limit = self._lines_per_s
        if record.levelno >= logging.WARNING:
            limit *= 2
        if self._lines >= limit or len(self._backlog) > MAX_BACKLOG_BYTES:
            self._dropped += 1
            return
        self._lines += 1
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._write(line.encode() + b"\n")

    def _begin_second(self, second):
        dropped, self._dropped = self._dropped, 0
        self._second, self._lines = second, 0
        if dropped:
            self._on_dropped(dropped)
            record = logging.makeLogRecord(
                {
                    "name": __name__,
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    "msg": "lines dropped",
                    "count": dropped,
                }
            )
            self._write(self.format(record).encode() + b"\n")

    def _write(self, data):
        self._backlog += data
        try:
            written = os.write(self._descriptor, self._backlog)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            return
        self._backlog = self._backlog[written:]


def configure_bounded_logs(settings, on_dropped):
    """Sends the node's log records to standard output as JSON lines.

    Args:
        settings: ``NodeSettings``.
        on_dropped: Called with the number of dropped lines.
    """
    handler = BoundedHandler(1, settings.log_lines_per_s, on_dropped)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields={"created": "at", "levelname": "level", "name": "logger"},
            static_fields={"host": settings.node_name},
        )
    )
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
