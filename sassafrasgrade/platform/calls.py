"""JSON calls over the curl client."""

import msgspec
import pycurl
from tornado.httpclient import HTTPRequest

from sassafrasgrade.http_clients import bypass_proxy_and_reset_on_close, fetch_response

HTTP_OK = 200


class SendTracker:
    """Records whether curl has begun to send a request.

    curl itself retries a request on a new connection when a reused one turns out
    to be dead; its error then describes only the last attempt.
    """

    def __init__(self):
        self.was_sent = False

    def prepare(self, curl):
        """Installs the tracker on a curl handle."""
        bypass_proxy_and_reset_on_close(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._record_sent)

    def _record_sent(self, *addresses):
        self.was_sent = True
        return pycurl.PREREQFUNC_OK


def was_never_sent(response):
    """Whether a call failed before any part of it was sent."""
    return response.error is not None and not response.was_sent


class JsonCaller:
    """Sends JSON calls to one address.

    Args:
        http: ``CurlClient`` shared by the process.
        address: IP address and port.
    """

    def __init__(self, http, address):
        self._http = http
        self._address = address

    async def fetch(self, method, path, body=None, timeout_s=1.0, headers=None):
        """Sends one call; a transport failure returns a response with ``error``.

        ``was_sent`` of the response says whether sending had begun.
        """
        all_headers = {"Content-Type": "application/json", "Expect": ""}
        if headers:
            all_headers |= headers
        tracker = SendTracker()
        request = HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            headers=all_headers,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            prepare_curl_callback=tracker.prepare,
        )
        response = await fetch_response(self._http, request)
        response.was_sent = tracker.was_sent
        return response
