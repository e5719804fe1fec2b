"""The only adapter to the platform: key-value service, leases, hosts and tasks."""

import json
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPRequest

from sassafrasgrade.errors import PlatformUnavailable, RevisionConflict
from sassafrasgrade.http_clients import (
    bypass_proxy,
    create_http_client,
    fetch_response,
)
from sassafrasgrade.jobs import TaskReport
from sassafrasgrade.tables import Host, HostList

CLIENT_HEADER = "X-Client"
REVISION_HEADER = "X-Revision"
MAX_CONCURRENT_REQUESTS = 16
# Added to the server's wait on a long poll to get the client's timeout, in seconds.
WATCH_MARGIN_S = 2.0
HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410


@dataclass(frozen=True)
class Versioned:
    """A stored value and its revision; revision 0 means absent."""

    value: bytes
    revision: int


ABSENT = Versioned(b"", 0)


class HostsAnswer(msgspec.Struct, frozen=True):
    """Response body of ``GET /hosts``."""

    version: int
    hosts: list[Host]


class PlatformClient:
    """HTTP client of the platform; every call returns a ``Result``.

    Failures are ``PlatformUnavailable`` (the outcome of a write is unknown) or
    ``RevisionConflict``.
    """

    def __init__(self, url, client_name, timeout_s, http_client=None):
        self._url = url.rstrip("/")
        self._client_name = client_name
        self._timeout_s = timeout_s
        self._http = http_client or create_http_client(MAX_CONCURRENT_REQUESTS)
        self.calls = 0

    def close(self):
        """Closes the HTTP client."""
        self._http.close()

    async def read(self, key) -> Result[Versioned, PlatformUnavailable]:
        """Reads one value; ``ABSENT`` if there is none."""
        answer = await self._call("GET", f"/kv/{quote(key)}")
        return answer.map(_versioned)

    async def write(self, key, value, expected_revision=None, lease=""):
        """Writes a value, if its revision is as expected (0: absent).

        Returns:
            The new revision (0 if nothing was written, as the lease had lapsed),
            ``RevisionConflict`` or ``PlatformUnavailable``.
        """
        query = _query(if_revision=expected_revision, lease=lease or None)
        answer = await self._call("PUT", f"/kv/{quote(key)}{query}", value)
        return answer.bind(lambda response: _written(key, response))

    async def delete(self, key, expected_revision=None):
        """Deletes a value, if its revision is as expected."""
        query = _query(if_revision=expected_revision)
        answer = await self._call("DELETE", f"/kv/{quote(key)}{query}")
        return answer.bind(lambda response: _written(key, response))

    async def list_values(self, prefix):
        """Reads all values under a prefix as a dict of key to ``Versioned``."""
        answer = await self._call("GET", f"/kv{_query(prefix=prefix)}")
        return answer.map(_listed)

    async def watch(self, key, after_revision, wait_s):
        """Waits until the revision is above ``after_revision``.

        Returns:
            The new value, or None when ``wait_s`` seconds passed without one.
        """
        query = _query(after=after_revision, wait_s=wait_s)
        answer = await self._call(
            "GET", f"/watch/{quote(key)}{query}", timeout_s=wait_s + WATCH_MARGIN_S
        )
        return answer.map(
            lambda response: (
                None if response.code == HTTP_NO_CONTENT else _versioned(response)
            )
        )

    async def read_hosts(self, data_centre, after_version=0):
        """Reads the host list, which may lag; None if not newer than the version."""
        query = _query(data_centre=data_centre, after=after_version)
        answer = await self._call("GET", f"/hosts{query}")
        return answer.map(_host_list)

    async def grant_lease(self, ttl_s):
        """Creates a lease; returns its id."""
        answer = await self._call("POST", "/leases", _json(ttl_s=ttl_s))
        return answer.map(lambda response: json.loads(response.body)["lease"])

    async def renew_lease(self, lease):
        """Renews a lease; returns False when it has lapsed already."""
        answer = await self._call("POST", f"/leases/{lease}", b"")
        return answer.map(lambda response: response.code == HTTP_OK)

    async def command_host(self, name, command, **arguments):
        """Asks the platform to ``drain``, ``undrain`` or ``reboot`` a host."""
        path = f"/hosts/{quote(name)}/{command}"
        return await self._call("POST", path, _json(**arguments))

    async def start_tasks(self, data_centre, tasks):
        """Starts tasks under the leases of their hosts; idempotent by task id."""
        path = f"/tasks{_query(data_centre=data_centre)}"
        return await self._call("POST", path, msgspec.json.encode(tasks))

    async def command_tasks(self, command, task_ids):
        """Asks to ``stop``, ``checkpoint``, ``throttle`` or ``resume`` tasks."""
        return await self._call("POST", f"/tasks/{command}", _json(task_ids=task_ids))

    async def renew_tasks(self, hosts, ttl_s):
        """Renews the task leases of hosts; a lapsed lease stops its host's tasks."""
        return await self._call("POST", "/tasks/renew", _json(hosts=hosts, ttl_s=ttl_s))

    async def read_tasks(self, data_centre):
        """Reads the task list, which may lag, as ``TaskReport`` by task id."""
        found = await self._call("GET", f"/tasks{_query(data_centre=data_centre)}")
        return found.map(_task_reports)

    async def _call(self, method, path, body=None, timeout_s=None):
        self.calls += 1
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={CLIENT_HEADER: self._client_name},
            connect_timeout=self._timeout_s,
            request_timeout=timeout_s or self._timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=bypass_proxy,
        )
        response = await fetch_response(self._http, request)
        expected = (HTTP_OK, HTTP_NO_CONTENT, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_GONE)
        if response.code not in expected:
            reason = str(response.error) if response.error else str(response.code)
            return Failure(_unavailable(method, path, reason))
        return Success(response)


def _unavailable(method, path, reason):
    return PlatformUnavailable(
        f"{method} {path.partition('?')[0]} failed ({reason})",
        "Check the platform's address and state; the call may be repeated.",
    )


def _query(**values):
    given = {name: value for name, value in values.items() if value is not None}
    return "?" + urlencode(given) if given else ""


def _json(**values):
    return json.dumps(values).encode()


def _versioned(response):
    if response.code == HTTP_NOT_FOUND:
        return ABSENT
    return Versioned(response.body, int(response.headers[REVISION_HEADER]))


def _written(key, response):
    if response.code == HTTP_CONFLICT:
        return Failure(
            RevisionConflict(
                f"{key} was changed by another writer",
                "Read the value again and repeat the change on top of it.",
            )
        )
    # Revision 0: nothing was written, as the lease given had lapsed.
    return Success(int(response.headers.get(REVISION_HEADER, 0)))


def _listed(response):
    rows = msgspec.msgpack.decode(response.body)
    return {key: Versioned(value, revision) for key, value, revision in rows}


def _task_reports(response):
    rows = msgspec.json.decode(response.body, type=list[TaskReport])
    return {report.task_id: report for report in rows}


def _host_list(response):
    if response.code == HTTP_NO_CONTENT:
        return None
    answer = msgspec.json.decode(response.body, type=HostsAnswer)
    return HostList(answer.version, {host.name: host for host in answer.hosts})
