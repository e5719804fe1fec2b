"""HTTP calls of the scenarios."""

import json
import urllib.error
import urllib.request

TIMEOUT_S = 5.0
_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class Reply:
    """Status, headers and body of an answer; status 0 if there was none."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Decodes the body."""
        return json.loads(self.body)


def call(url, method="GET", body=None, headers=None, timeout_s=TIMEOUT_S):
    """Calls a URL; a refused or reset connection or a timeout gives status 0."""
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with _opener.open(request, timeout=timeout_s) as answer:
            return Reply(answer.status, answer.headers, answer.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.headers, error.read())
    except OSError:
        return Reply(0, {}, b"")
