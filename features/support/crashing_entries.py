"""An entry that exits before it answers a request on a persistent connection."""

import asyncio

ANSWER = b"HTTP/1.1 200 Answer\r\nContent-Length: 2\r\n\r\nok"
LOOPBACK = "127.0.0.1"
END_OF_HEADERS = b"\r\n\r\n"


class CrashingEntry:
    """Stands in for an entry that exits in the middle of a request.

    It answers one request, reads the headers of the next, and then stops listening
    and closes the connection without an answer.

    Attributes:
        received_request_ids: Ids of the requests whose headers were read, in order.
        address: Base URL.
    """

    def __init__(self, id_header):
        self._id_header = id_header.lower()
        self._server = None
        self.received_request_ids = []
        self.address = ""

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"http://{LOOPBACK}:{port}"

    async def _serve(self, reader, writer):
        while not reader.at_eof():
            try:
                head = (await reader.readuntil(END_OF_HEADERS)).decode()
            except (asyncio.IncompleteReadError, asyncio.CancelledError):
                break
            fields = [line.partition(": ") for line in head.splitlines()]
            self.received_request_ids += [
                v for n, _, v in fields if n.lower() == self._id_header
            ]
            if len(self.received_request_ids) > 1:
                self._server.close()
                break
            writer.write(ANSWER)
        writer.close()
