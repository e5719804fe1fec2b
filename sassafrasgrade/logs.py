"""JSON logs, bounded, with lines only for changes of state; metrics cover the rest."""

import logging

from pythonjsonlogger.json import JsonFormatter

from sassafrasgrade.bounded_logs import BoundedHandler

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
# Limit of lines a second; far above what changes of state cause.
LINES_PER_S = 500


def configure_logs(level, host, program, descriptor=STANDARD_OUTPUT):
    """Sends all log records of the process to a file descriptor as JSON lines.

    Args:
        level: Lowest level to log.
        host: Name of the host, in every line.
        program: Name of the program, in every line.
        descriptor: Standard output, or standard error for programs that print
            results.
    """
    handler = BoundedHandler(descriptor, LINES_PER_S, lambda count: None)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"host": host, "program": program},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
