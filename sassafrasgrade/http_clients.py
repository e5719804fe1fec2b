"""Tornado's curl client, and fetching without exceptions."""

import socket
import struct

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

HTTP_TRANSPORT_FAILURE = 599


class CurlClient(CurlAsyncHTTPClient):
    """Tornado's curl client, whose ``close`` also cancels its pending timeout."""

    def close(self):
        """Closes all handles and connections."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)
            self._timeout = None

    def transfer_of(self, curl):
        """Returns what identifies the transfer that a handle makes at present."""
        return curl.info

    def abort(self, curl, transfer, reason):
        """Ends a transfer as timed out, unless it has ended.

        Args:
            curl: Its handle, as its ``prepare_curl_callback`` got it.
            transfer: What ``transfer_of`` returned then; handles are reused.
            reason: Text of the failure.
        """
        if curl.info is not transfer:
            return
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, reason)
        self._process_queue()


def create_http_client(clients):
    """Returns a new client that allows ``clients`` concurrent requests."""
    return CurlClient(force_instance=True, max_clients=clients)


def bypass_proxy(curl):
    """Makes curl connect directly, ignoring any proxy set in the environment."""
    curl.setopt(pycurl.PROXY, "")


def reset_on_close(descriptor, purpose):
    """Makes a socket of curl reset its connection when it is closed.

    Bytes that a network partition delays are then dropped instead of delivered when
    the partition ends: the call does not arrive after its timeout.
    """
    connection = socket.socket(fileno=descriptor)
    try:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    finally:
        connection.detach()
    return pycurl.SOCKOPT_OK


async def fetch_response(client, request):
    """Fetches a response; a failed transfer gives code 599 and sets ``error``.

    Args:
        client: A ``CurlClient``.
        request: An ``HTTPRequest`` or a URL.

    Returns:
        ``HTTPResponse``; its ``error`` is the exception if the transfer failed.
    """
    if isinstance(request, str):
        request = HTTPRequest(request, prepare_curl_callback=bypass_proxy)
    try:
        return await client.fetch(request, raise_error=False)
    except (CurlError, pycurl.error, OSError, ValueError) as error:
        return HTTPResponse(request, HTTP_TRANSPORT_FAILURE, error=error)


async def fetch_health(client, host, timeout_s):
    """Fetches ``/healthz`` of a backend server.

    Args:
        client: A ``CurlClient``.
        host: ``Host`` of the server.
        timeout_s: Timeout in seconds.

    Returns:
        ``HTTPResponse``, as from ``fetch_response``.
    """
    request = HTTPRequest(
        f"http://{host.address}:{host.port}/healthz",
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
        prepare_curl_callback=bypass_proxy,
    )
    return await fetch_response(client, request)
