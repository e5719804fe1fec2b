"""JSON calls over the curl client."""

import msgspec
import pycurl
from tornado.httpclient import HTTPRequest

from sassafrasgrade.http_clients import fetch_response, prepare_orders

HTTP_OK = 200


def was_never_sent(response):
    """Whether a call failed before a connection stood, so that nothing was sent."""
    error = response.error
    code = getattr(error, "errno", None)
    if code == pycurl.E_COULDNT_CONNECT:
        return True
    text = str(getattr(error, "message", ""))
    return code == pycurl.E_OPERATION_TIMEDOUT and text.startswith("Connection time")


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
        """Sends one call; transport failures give a response with ``error``."""
        all_headers = {"Content-Type": "application/json", "Expect": ""}
        if headers:
            all_headers |= headers
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
            prepare_curl_callback=prepare_orders,
        )
        return await fetch_response(self._http, request)
