"""HTTP interface for jobs on the entry hosts: submit, show, cancel and list."""

import asyncio
import uuid
from typing import Annotated
from urllib.parse import parse_qs, urlsplit

import msgspec
import xxhash
from returns.result import Failure, Success

from sassafrasgrade.answers import Answer, Reason, RunRecord, failure_answer
from sassafrasgrade.claims import KEY_HEADER
from sassafrasgrade.jobs import (
    JOB_METHOD,
    RECORDS_KEY,
    SUBMITTED_PREFIX,
    JobRecord,
    JobSpec,
    RecordsShard,
    Size,
    Submission,
    shard_of,
)
from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.routers import Router
from sassafrasgrade.tables import URGENCY_RANKS

JOBS_PATH = "/jobs"
# Minimum interval between submission writes; submissions meanwhile share one write.
MIN_WRITE_INTERVAL_S = 0.05
JSON_TYPE = (("Content-Type", "application/json"),)
RETRY_AFTER_S = 1.0


class JobRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission.

    Attributes:
        kind: Path that matches a route with the method ``JOB``.
        cores: Declared cores.
        memory_mb: Declared memory in MB.
        seconds: Declared run time.
        payload: Text passed to the task.
    """

    kind: Annotated[str, msgspec.Meta(pattern=r"^/")]
    cores: Annotated[float, msgspec.Meta(gt=0)]
    memory_mb: Annotated[float, msgspec.Meta(gt=0)]
    seconds: Annotated[float, msgspec.Meta(gt=0)]
    payload: str = ""


class JobSubmitter:
    """Commits submissions and cancellations of one entry host in batches.

    Args:
        name: Host name of the entry.
        platform: Adapter to the platform.
    """

    def __init__(self, name, platform):
        self._name = name
        self._platform = platform
        # (specs, cancelled ids, future of the write) by data centre.
        self._pending_by_centre = {}

    async def submit(self, data_centre, specs=(), cancelled_ids=()):
        """Commits with the next batch; returns whether the platform confirmed it."""
        pending = self._pending_by_centre.get(data_centre)
        if pending is None:
            done = asyncio.get_running_loop().create_future()
            pending = self._pending_by_centre[data_centre] = ([], [], done)
            asyncio.get_running_loop().call_later(
                MIN_WRITE_INTERVAL_S, self._flush, data_centre
            )
        pending[0].extend(specs)
        pending[1].extend(cancelled_ids)
        return await asyncio.shield(pending[2])

    def _flush(self, data_centre):
        asyncio.ensure_future(self._write(data_centre))

    async def _write(self, data_centre):
        specs, cancelled_ids, done = self._pending_by_centre.pop(data_centre)
        prefix = SUBMITTED_PREFIX.format(data_centre=data_centre)
        key = f"{prefix}{self._name}-{uuid.uuid4().hex}"
        value = msgspec.msgpack.encode(Submission(specs, cancelled_ids))
        written = await self._platform.write(key, value, 0)
        done.set_result(isinstance(written, Success))


class JobPages:
    """Serves ``/jobs``.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        platform: Adapter to the platform.
        configuration: Function that returns the current ``Configuration``.
    """

    def __init__(self, settings, timers, platform, configuration):
        self._data_centre = settings.host_data_centre
        self._timers = timers
        self._platform = platform
        self._configuration = configuration
        self._submitter = JobSubmitter(settings.host_name, platform)

    def page(self, method, path):
        """Returns the function (headers, body) that answers a request, or None."""
        parts = urlsplit(path)
        job_id = parts.path.removeprefix(JOBS_PATH).strip("/")
        if method == "POST" and not job_id:
            return self._submit
        if method == "GET" and not job_id:
            return lambda headers, body: self._list(parse_qs(parts.query))
        if method == "GET":
            return lambda headers, body: self._show(job_id)
        if method == "DELETE" and job_id:
            return lambda headers, body: self._cancel(job_id)
        return None

    async def _submit(self, headers, body):
        try:
            request = msgspec.json.decode(body, type=JobRequest)
        except msgspec.DecodeError as error:
            return _bad_request(str(error))
        configuration = self._configuration()
        router = Router(configuration.routes_by_name.values())
        route = router.find(JOB_METHOD, request.kind)
        if route is None or route.method != JOB_METHOD:
            return failure_answer(RunRecord(), Reason.NO_ROUTE)
        spec = self._create_spec(configuration, route, request, headers)
        home = spec.job_id.rpartition(".")[0]
        if not await self._submitter.submit(home, [spec]):
            # The write may have taken effect: a repeat with the same key finds the job.
            return _unconfirmed()
        return _json_answer(201, {"job_id": spec.job_id, "state": "queued"})

    def _create_spec(self, configuration, route, request, headers):
        key = headers.get(KEY_HEADER)
        centres = configuration.pools_by_name[route.pool].hosts_by_data_centre
        if key is None:
            digest = uuid.uuid4().hex
            home = self._data_centre
        else:
            scoped = f"{route.team}\x00{route.name}\x00{key}".encode()
            digest = xxhash.xxh3_128_hexdigest(scoped)
            # A key has the same home data centre, whichever entry host it reaches.
            home = rank_names(centres, digest)[0]
        if home not in centres:
            home = rank_names(centres, digest)[0]
        return JobSpec(
            f"{home}.{digest}",
            route.name,
            route.team,
            route.pool,
            URGENCY_RANKS[route.urgency],
            Size(request.cores, request.memory_mb),
            request.seconds,
            route.repeatable,
            self._timers.wall_time(),
            request.payload,
        )

    async def _show(self, job_id):
        found = await self._find(job_id)
        if isinstance(found, Failure):
            return _unconfirmed()
        record = found.unwrap()
        if record is None:
            return failure_answer(RunRecord(), Reason.NOT_FOUND)
        return _json_answer(200, _describe(record))

    async def _find(self, job_id):
        """Returns a ``Result`` of the ``JobRecord`` or None."""
        home, _, digest = job_id.rpartition(".")
        if not home or len(digest) < 4 or not _is_hex(digest):
            return Success(None)
        found = await self._find_record(home, job_id)
        if isinstance(found, Failure) or found.unwrap() is not None:
            return found
        # The submission may not have been read into the records yet.
        waiting = await self._platform.list_values(
            SUBMITTED_PREFIX.format(data_centre=home)
        )
        submitted = waiting.map(lambda values: _find_submitted(values, job_id))
        if isinstance(submitted, Failure) or submitted.unwrap() is not None:
            return submitted
        # The planner may have moved it to the records between the two reads.
        return await self._find_record(home, job_id)

    async def _find_record(self, home, job_id):
        key = RECORDS_KEY.format(data_centre=home, shard=shard_of(job_id))
        found = await self._platform.read(key)
        return found.map(lambda versioned: _record_of(versioned.value, job_id))

    async def _cancel(self, job_id):
        found = await self._find(job_id)
        if isinstance(found, Failure):
            return _unconfirmed()
        if found.unwrap() is None:
            return failure_answer(RunRecord(), Reason.NOT_FOUND)
        home = job_id.rpartition(".")[0]
        if not await self._submitter.submit(home, cancelled_ids=[job_id]):
            return _unconfirmed()
        return _json_answer(202, {"job_id": job_id, "cancels": True})

    async def _list(self, query):
        home = query.get("data_centre", [self._data_centre])[0]
        prefix = RECORDS_KEY.format(data_centre=home, shard=0)[:-2]
        found = await self._platform.list_values(prefix)
        if isinstance(found, Failure):
            return _unconfirmed()
        team = query.get("team", [None])[0]
        rows = [
            _describe(record)
            for versioned in found.unwrap().values()
            for record in _decode_records(versioned.value)
            if team in (None, record.spec.team)
        ]
        return _json_answer(200, {"data_centre": home, "jobs": rows})


def _is_hex(text):
    return all(character in "0123456789abcdef" for character in text)


def _decode_records(value):
    if not value:
        return []
    return msgspec.msgpack.decode(value, type=RecordsShard).records


def _record_of(value, job_id):
    for record in _decode_records(value):
        if record.spec.job_id == job_id:
            return record
    return None


def _find_submitted(values, job_id):
    for versioned in values.values():
        batch = msgspec.msgpack.decode(versioned.value, type=Submission)
        for spec in batch.specs:
            if spec.job_id == job_id:
                return JobRecord(spec)
    return None


def _describe(record):
    spec = record.spec
    return {
        "job_id": spec.job_id,
        "kind": spec.kind,
        "team": spec.team,
        "state": str(record.state),
        "verdict": str(record.verdict),
        "host": record.host,
        "attempt": record.attempt,
        "cancels": record.cancels,
        "submitted_at": spec.submitted_at,
        "changed_at": record.changed_at,
    }


def _json_answer(status, value):
    return Answer(status, JSON_TYPE, msgspec.json.encode(value))


def _unconfirmed():
    return failure_answer(
        RunRecord(possible_runs=1),
        Reason.PLATFORM_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
    )


def _bad_request(detail):
    answer = failure_answer(RunRecord(), Reason.BAD_REQUEST)
    body = msgspec.json.decode(answer.body) | {"detail": detail}
    return Answer(
        answer.status,
        answer.headers,
        msgspec.json.encode(body),
        answer.outcome,
        answer.reason,
    )
