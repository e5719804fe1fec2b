"""JSON logs, with lines only for changes of state; metrics cover the rest."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logs(level, host, program):
    """Sends all log records of the process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"host": host, "program": program},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
