"""Stand-in for a plain service that records each call it runs.

The query `fault=...` of a call triggers a fault: `refuse` (the response
confirms that the call did not run), `crossed` (the response has the id of
another request), `slow` (no response within an hour) or `close` (the connection
ends without a response). All but `refuse` run the call first.
"""

import argparse
import socket
import threading
import time

import msgspec
from cheroot import server

from persimmonspan.connection import plain_service

_THREADS = 32
_SLOW_RESPONSE_DELAY_S = 3600.0


class CallLog:
    """Number of runs per request body."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}
        self._lock = threading.Lock()

    def record_run(self, key: str) -> int:
        """Records one run; returns the number of runs of the key."""
        with self._lock:
            self.runs[key] = self.runs.get(key, 0) + 1
            return self.runs[key]


def make_server(address: tuple[str, int], state: CallLog) -> server.HTTPServer:
    """Returns a server for the stand-in."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, state)

    return server.HTTPServer(address, _Gateway, _THREADS, _THREADS)


def _respond(request: server.HTTPRequest, state: CallLog) -> None:
    body = request.rfile.read()
    request_id = request.inheaders.get(b"X-Request-Id", b"")
    fault = request.qs.removeprefix(b"fault=")
    headers = [(b"Content-Type", b"application/json")]
    if request.path == b"/v1/runs":
        answer = msgspec.json.encode(state.runs)
    elif fault == b"refuse":
        answer = b"{}"
        headers.append((plain_service.RUN_STATE_HEADER.encode(), b"not_run"))
    else:
        runs = state.record_run(body.decode())
        answer = msgspec.json.encode({
            "path": request.path.decode(),
            "body": body.decode(),
            "runs": runs
        })
    if fault == b"crossed":
        request_id = b"another"
    elif fault == b"slow":
        time.sleep(_SLOW_RESPONSE_DELAY_S)
    elif fault == b"close":
        request.conn.socket.shutdown(socket.SHUT_RDWR)
        return
    request.status = b"503 Busy" if fault == b"refuse" else b"200 OK"
    request.outheaders = [
        *headers, (plain_service.REQUEST_ID_HEADER.encode(), request_id)
    ]
    request.ensure_headers_sent()
    request.write(answer)


def main() -> None:
    """Runs the service stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parsed = parser.parse_args()
    make_server(("127.0.0.1", parsed.port), CallLog()).safe_start()


if __name__ == "__main__":
    main()
