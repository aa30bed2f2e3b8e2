"""Load generator of the relay benchmark: many streams on one thread.

Each token carries the time at which the engine sent it, so the time on the way
is known for each one, whatever the engine's own delays were. Results are
written as JSON to standard output.
"""

import argparse
import re
import selectors
import socket
import time
import typing

import msgspec
import numpy

_TIME = re.compile(rb'"(?:t|text)":"(\d+\.\d+)"')
_READ_BYTES = 64 * 1024
_KEY = "demo-miraflores"
# Streams start over this share of the run, and gaps are recorded after it.
_RAMP_SHARE = 0.25


class Samples(typing.TypedDict):
    """Times in seconds, and what was counted in the measured window."""

    on_way_s: list[float]
    gap_s: list[float]
    first_s: list[float]
    tokens: int
    requests: int
    failed: int


class _Client:
    """One caller that sends one request after the other."""

    def __init__(self, port: int, path: str) -> None:
        self.port = port
        self.path = path
        self.sock: socket.socket | None = None
        self.sent_s = 0.0
        self.last_s: float | None = None
        self.tail = b""


class _Load:
    """All callers of one load process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._selector = selectors.DefaultSelector()
        self._samples: Samples = {
            "on_way_s": [],
            "gap_s": [],
            "first_s": [],
            "tokens": 0,
            "requests": 0,
            "failed": 0
        }
        self._measure_from_s = 0.0
        self._end_s = 0.0

    def run(self) -> Samples:
        """Runs the load and returns what was measured."""
        options = self._options
        start_s = time.monotonic()
        ramp_s = options.duration_s * _RAMP_SHARE
        self._measure_from_s = start_s + ramp_s
        self._end_s = start_s + options.duration_s
        path = "/v1/generate" if options.direct else "/v1/completions"
        clients = [
            _Client(options.port[i % len(options.port)], path)
            for i in range(options.streams)
        ]
        started = 0
        while (now_s := time.monotonic()) < self._end_s:
            due = min(len(clients), 1 + int(
                (now_s - start_s) / ramp_s * len(clients)))
            for client in clients[started:due]:
                self._send(client)
            started = max(started, due)
            for key, _ in self._selector.select(0.01):
                self._read(key.data)
        return self._samples

    def _send(self, client: _Client) -> None:
        body = self._body()
        client.sock = socket.create_connection(("127.0.0.1", client.port))
        client.sent_s = time.monotonic()
        client.last_s = None
        client.tail = b""
        client.sock.sendall(
            b"POST %b HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer %b\r\n"
            b"Content-Length: %d\r\n\r\n%b" %
            (client.path.encode(), _KEY.encode(), len(body), body))
        client.sock.setblocking(False)
        self._selector.register(client.sock, selectors.EVENT_READ, client)

    def _body(self) -> bytes:
        document: dict[str, object] = {
            "prompt": "benchmark",
            "max_tokens": self._options.tokens,
            "stream": True
        }
        if self._options.direct:
            document.update(request_id="r",
                            generation_id="g",
                            model="",
                            priority=0,
                            from_index=0)
        return msgspec.json.encode(document)

    def _read(self, client: _Client) -> None:
        try:
            data = client.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        now_s = time.monotonic()
        is_measured = now_s >= self._measure_from_s
        data_end = not data
        data = client.tail + data
        whole = data.rfind(b"\n\n") + 1
        for match in _TIME.finditer(data, 0, whole):
            self._record(client, now_s, now_s - float(match[1]), is_measured)
        client.tail = data[whole:]
        is_end = client.tail.endswith(b"\r\n0\r\n\r\n")
        if is_end or data_end:
            self._samples["failed"] += not is_end
            self._samples["requests"] += is_measured
            self._selector.unregister(client.sock)
            client.sock.close()
            self._send(client)

    def _record(self, client: _Client, now_s: float, on_way_s: float,
                is_measured: bool) -> None:
        samples = self._samples
        if is_measured:
            samples["tokens"] += 1
            samples["on_way_s"].append(on_way_s)
            if client.last_s is None:
                samples["first_s"].append(now_s - client.sent_s)
            else:
                samples["gap_s"].append(now_s - client.last_s)
        client.last_s = now_s


def main() -> None:
    """Runs the load as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, action="append", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("--duration-s", type=float, required=True)
    parser.add_argument("--direct", action="store_true")
    samples = _Load(parser.parse_args()).run()
    summary: dict[str, object] = {
        name: samples[name] for name in ("tokens", "requests", "failed")
    }
    for name in ("on_way_s", "gap_s", "first_s"):
        # In steps of 10 us, as counts, so that processes can be merged.
        steps = numpy.asarray(samples[name]) * 1e5
        values, counts = numpy.unique(steps.astype(int), return_counts=True)
        summary[name] = [values.tolist(), counts.tolist()]
    print(msgspec.json.encode(summary).decode())


if __name__ == "__main__":
    main()
