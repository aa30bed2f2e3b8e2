"""Stand-in for a plain service with random faults that counts its runs.

The share `--faults` of the calls meets one of these faults: the call is refused
and not run; it runs and the connection closes without a response; the
connection closes without a run; it runs and the response is late; it runs and
the response has another request id. `GET /runs` returns the number of runs per
body and of faults per kind.
"""

import argparse
import random
import threading
import time

import msgspec
from cheroot import server

from persimmonspan.connection import plain_service

_THREADS = 48
_LATE_RESPONSE_DELAY_S = 2.5
_FAULTS = ("refused", "run_closed", "closed", "late", "crossed")


class FaultyService:
    """Number of runs and faults, and the random choice of faults."""

    def __init__(self, share: float, seed: int) -> None:
        self.runs: dict[str, int] = {}
        self.faults: dict[str, int] = {}
        self._fault_share = share
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def draw_fault(self) -> str:
        """Draws the fault of the next call; an empty string means none."""
        with self._lock:
            if self._rng.random() >= self._fault_share:
                return ""
            fault = self._rng.choice(_FAULTS)
            self.faults[fault] = self.faults.get(fault, 0) + 1
            return fault

    def record_run(self, body: str) -> int:
        """Records one run; returns the number of runs of the body."""
        with self._lock:
            self.runs[body] = self.runs.get(body, 0) + 1
            return self.runs[body]


def make_server(address: tuple[str, int],
                state: FaultyService) -> server.HTTPServer:
    """Returns a server for the stand-in."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, state)

    return server.HTTPServer(address, _Gateway, _THREADS, _THREADS)


def _respond(request: server.HTTPRequest, state: FaultyService) -> None:
    body = request.rfile.read().decode()
    if request.path == b"/runs":
        _send_json(request, b"200 OK", [], {
            "runs": state.runs,
            "faults": state.faults
        })
        return
    fault = state.draw_fault()
    if fault == "refused":
        _send_json(request, b"503 Service Unavailable",
                   [(b"X-Run-State", b"not_run")], {})
        return
    runs = state.record_run(body) if fault != "closed" else 0
    if fault in ("closed", "run_closed"):
        request.sent_headers = True
        request.close_connection = True
        return
    if fault == "late":
        time.sleep(_LATE_RESPONSE_DELAY_S)
    request_id = request.inheaders.get(plain_service.REQUEST_ID_HEADER.encode(),
                                       b"")
    if fault == "crossed":
        request_id = b"another-request"
    _send_json(request, b"200 OK",
               [(plain_service.REQUEST_ID_HEADER.encode(), request_id)], {
                   "call": body,
                   "runs": runs
               })


def _send_json(request: server.HTTPRequest, status: bytes,
               headers: list[tuple[bytes, bytes]], body: object) -> None:
    data = msgspec.json.encode(body)
    request.status = status
    request.outheaders = [(b"Content-Length", b"%d" % len(data)), *headers]
    request.ensure_headers_sent()
    request.write(data)


def main() -> None:
    """Runs the service stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--faults", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    make_server(("127.0.0.1", options.port),
                FaultyService(options.faults, options.seed)).safe_start()


if __name__ == "__main__":
    main()
