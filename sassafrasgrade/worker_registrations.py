"""Keeps the table of workers in step with their registrations."""

import logging
import re

import msgspec

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.platform import names
from sassafrasgrade.platform.messages import WorkerEntry
from sassafrasgrade.systems.crash_records import record_crash
from sassafrasgrade.systems.end_proofs import EndProof, ProofKind
from sassafrasgrade.systems.run_updates import (
    has_later_worker,
    is_later,
    remove_worker,
)
from sassafrasgrade.work_commands import AskWorker
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
    """Applies a full read; workers that are not in it count as missing.

    Returns:
        Commands.
    """
    commands = []
    listed = set()
    for item in items:
        listed.add(item.key.removeprefix(names.WORKERS_PREFIX))
        commands += apply_item(tables, item, now)
    for worker_id, worker in tables.workers_by_id.items():
        if worker_id not in listed and not worker.missing_since:
            worker.missing_since = now
    return commands


def apply_item(tables, item, now):
    """Applies one changed registration.

    A registration ends no run: anyone may have written it. Whether a worker has
    restarted, or another runs on its host, is shown by that worker's own answers.

    Returns:
        Commands.
    """
    worker_id = item.key.removeprefix(names.WORKERS_PREFIX)
    worker = tables.workers_by_id.get(worker_id)
    if item.value is None:
        if worker is not None and not worker.missing_since:
            worker.missing_since = now
            logger.info("worker no longer registered", extra={"worker": worker_id})
        return []
    entry = decode_entry(tables, item)
    if entry is None:
        return []
    if worker is not None and worker.address != entry.address:
        if worker.has_runs or not worker.unresponsive_since:
            _note_other_address(worker, entry)
            return []
        proof = EndProof(ProofKind.ADDRESS_CHANGED, now)
        remove_worker(tables, worker, proof, now)
        worker = None
    if worker is None and _is_known_to_have_ended(tables, worker_id, entry, now):
        return []
    if worker is None:
        worker = _add_worker(tables, worker_id, entry)
    _update_worker(worker, entry, now)
    if is_later(entry.born_ms, worker.born_ms):
        return [AskWorker(worker_id)]
    return []


def _note_other_address(worker, entry):
    """Logs, once for each address, that a registration is not followed."""
    if worker.other_address != entry.address:
        worker.other_address = entry.address
        logger.warning(
            "registration with another address ignored; the worker still has runs or "
            "answers at its own",
            extra={
                "worker": worker.worker_id,
                "address": worker.address,
                "other_address": entry.address,
                "born": entry.born_ms,
            },
        )


def has_moved(worker, now):
    """Whether a worker that registered with another address left nothing behind."""
    return bool(
        worker.other_address
        and worker.unresponsive_since
        and not worker.has_runs
        and now > worker.lease_until
    )


def remove_replaced_workers(tables, now):
    """Removes silent workers whose host runs a later one that has answered.

    A worker is one incarnation of its host, so that the earlier one has ended.
    """
    silent = [w for w in tables.workers_by_id.values() if w.unresponsive_since]
    for other in silent:
        if has_later_worker(tables, other):
            record_crash(tables, other)
            proof = EndProof(ProofKind.HOST_RUNS_ANOTHER, now)
            remove_worker(tables, other, proof, now)
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
        registered_born_ms=entry.born_ms,
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
    worker.other_address = ""
    if worker.registered_born_ms != entry.born_ms:
        worker.registered_born_ms = entry.born_ms
        worker.registered_at = now
    if not worker.has_seen_token:
        # A worker stays on its host; another writer's entry must not move it.
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
