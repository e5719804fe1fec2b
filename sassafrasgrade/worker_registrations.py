"""Keeps the table of workers in step with their registrations."""

import logging
import re

import msgspec

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import WorkerEntry
from sassafrasgrade.systems.crash_records import record_crash
from sassafrasgrade.systems.run_updates import remove_worker, restart_worker
from sassafrasgrade.work_tables import MS_PER_S, Worker

logger = logging.getLogger(__name__)

# Id of a worker: printable ASCII, as it is sent in a header.
WORKER_ID_PATTERN = re.compile("[!-~]{1,200}")

_entry_decoder = msgspec.json.Decoder(WorkerEntry)


def decode_entry(tables, item):
    """Returns the ``WorkerEntry`` of an item; None if it names no worker to use."""
    try:
        if not WORKER_ID_PATTERN.fullmatch(item.key.removeprefix(names.WORKERS_PREFIX)):
            raise ValueError("the id cannot be sent in a header")
        entry = _entry_decoder.decode(item.value)
    except DECODE_ERRORS as error:
        message = "worker registration cannot be decoded"
        tables.refused_entries.log_new(logger, message, item.key, error)
        return None
    tables.refused_entries.forget(item.key)
    return entry


def apply_range(tables, items, now):
    """Applies a full read; workers that are not in it count as missing."""
    listed = set()
    for item in items:
        listed.add(item.key.removeprefix(names.WORKERS_PREFIX))
        apply_item(tables, item, now)
    for worker_id, worker in tables.workers_by_id.items():
        if worker_id not in listed and not worker.missing_since:
            worker.missing_since = now


def apply_item(tables, item, now):
    """Applies one changed registration."""
    worker_id = item.key.removeprefix(names.WORKERS_PREFIX)
    worker = tables.workers_by_id.get(worker_id)
    if item.value is None:
        if worker is not None and not worker.missing_since:
            worker.missing_since = now
            logger.info("worker no longer registered", extra={"worker": worker_id})
        return
    entry = decode_entry(tables, item)
    if entry is None:
        return
    if worker is not None and worker.address != entry.address:
        remove_worker(tables, worker, now)
        worker = None
    if worker is None and _is_known_to_have_ended(tables, worker_id, entry, now):
        return
    if worker is None:
        _remove_replaced(tables, entry, now)
        worker = _add_worker(tables, worker_id, entry)
    elif (
        entry.born_ms is not None
        and worker.born_ms is not None
        and entry.born_ms > worker.born_ms
    ):
        record_crash(tables, worker)
        restart_worker(tables, worker, entry.born_ms, now)
        logger.info("worker restarted", extra={"worker": worker_id})
    _update_worker(worker, entry, now)


def _remove_replaced(tables, entry, now):
    """Removes silent workers whose host runs a later one now: they have crashed."""
    for other in list(tables.workers_by_id.values()):
        is_later = (entry.born_ms or 0) > (other.born_ms or 0)
        is_same_host = entry.host and other.host == entry.host
        if is_same_host and is_later and other.unresponsive_since:
            record_crash(tables, other)
            remove_worker(tables, other, now)
            logger.info(
                "worker removed; its host runs another",
                extra={"worker": other.worker_id, "host_name": other.host},
            )


def _is_known_to_have_ended(tables, worker_id, entry, now):
    """Whether a registration is left over from an incarnation that has ended."""
    ended = tables.ended_by_worker.get(worker_id)
    if ended is None:
        return False
    if entry.born_ms == ended.born_ms and now < ended.until:
        return True
    del tables.ended_by_worker[worker_id]
    return False


def _add_worker(tables, worker_id, entry):
    worker = Worker(
        worker_id,
        entry.address,
        entry.pool,
        entry.data_centre,
        entry.capacity,
        entry.labels,
        born_ms=entry.born_ms,
    )
    tables.workers_by_id[worker_id] = worker
    logger.info(
        "worker registered",
        extra={"worker": worker_id, "pool": entry.pool, "born": entry.born_ms},
    )
    return worker


def _update_worker(worker, entry, now):
    worker.missing_since = 0.0
    worker.pool = entry.pool
    worker.capacity = entry.capacity
    worker.labels = entry.labels
    worker.host = entry.host
    is_draining = entry.state == names.WORKER_DRAINING
    if is_draining != worker.is_draining:
        worker.is_draining = is_draining
        logger.info(
            "worker is draining" if is_draining else "worker is no longer draining",
            extra={"worker": worker.worker_id, "remaining_ms": entry.remaining_ms},
        )
    if is_draining and entry.remaining_ms is not None:
        worker.leaves_at = now + entry.remaining_ms / MS_PER_S
