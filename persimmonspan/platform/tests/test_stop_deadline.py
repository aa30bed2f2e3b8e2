"""Tests that a daemon's process ends by itself within the grace period.

The library of the HTTP server let requests run for 5 s more once the wait of a
planned stop was over, so that daemons with streams were killed.
"""

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time

from testbed import edge_store
from testbed import edge_world
from testbed import replica

_GRACE_S = 5.0
# Requests run on until so long before the end of the grace period.
_MAX_MARGIN_S = 1.0
_EVENT_INTERVAL_S = 0.05
_START_TIMEOUT_S = 20.0
_READ_BYTES = 16
_STREAMS_S = {"long": 30.0, "short": 3.5}


def _stream(request):
    yield replica.stream_head(request)
    end_s = time.monotonic() + _STREAMS_S[request.id]
    number = 0
    while time.monotonic() < end_s:
        yield replica.event_chunk(number)
        number += 1
        time.sleep(_EVENT_INTERVAL_S)
    yield replica.STREAM_END


class _Caller(threading.Thread):
    """Reads a stream and records when it ended and whether it was whole."""

    def __init__(self, address, name):
        super().__init__()
        self.is_whole = False
        self.ended_s = 0.0
        self.began = threading.Event()
        self._name = name
        self._connection = http.client.HTTPConnection(
            *edge_world.split_address(address), timeout=2 * _GRACE_S)

    def run(self):
        """Sends the request and reads its response."""
        self._connection.request(
            "POST", "/draft/1", b"x", {
                "Host": edge_world.HOST,
                "X-Attempt-Id": self._name,
                "X-Api-Key": "k",
                "X-Deadline-Ms": "30000",
                "X-Token-Usage": "100,10"
            })
        response = self._connection.getresponse()
        assert response.status == 200
        try:
            while response.read(_READ_BYTES):
                self.began.set()
            self.is_whole = True
        except (OSError, http.client.HTTPException):
            pass
        self.ended_s = time.monotonic()
        self._connection.close()


def _start(store, folder):
    """Starts a daemon; returns its process and address."""
    front, ready, peer = (edge_world.free_address() for _ in range(3))
    port = int(peer.rsplit(":", 1)[1])
    settings = folder / "settings.json"
    settings.write_text(
        json.dumps({
            "nodeName": "edge-1",
            "ip": "127.0.0.1",
            "zone": "a",
            "listenersMap": {
                "frontend": front,
                "readiness": ready
            },
            "platform": {
                "address": store.address
            },
            "portRange": [port, port],
            "bounds": {
                "graceS": _GRACE_S
            }
        }))
    process = subprocess.Popen(  # pylint: disable=consider-using-with
        [sys.executable, "-m", "persimmonspan.platform"],
        env=os.environ | {"PERSIMMONSPAN_CONFIG": str(settings)})
    end_s = time.monotonic() + _START_TIMEOUT_S
    while not _is_ready(ready):
        assert process.poll() is None and time.monotonic() < end_s
        time.sleep(0.05)
    return process, front


def _is_ready(address):
    connection = http.client.HTTPConnection(*edge_world.split_address(address),
                                            timeout=1.0)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def test_process_ends_in_time_and_cuts_only_what_outlasts_the_grace(tmp_path):
    engine = replica.Replica(_stream)
    store = edge_store.Store()
    with store.running(), engine.running():
        store.write("op", "config", edge_world.configuration())
        store.write(
            "servers", "i-1", {
                "service": "engines",
                "address": engine.address,
                "zone": "a",
                "slots": 6,
                "state": "ready",
                "born": 1
            })
        process, address = _start(store, tmp_path)
        try:
            callers = {name: _Caller(address, name) for name in _STREAMS_S}
            for caller in callers.values():
                caller.start()
            for caller in callers.values():
                assert caller.began.wait(edge_world.TIMEOUT_S)
            began_s = time.monotonic()
            process.send_signal(signal.SIGTERM)
            assert process.wait(_GRACE_S) == 0
            for caller in callers.values():
                caller.join()
        finally:
            process.kill()
            process.wait()
    assert callers["short"].is_whole and not callers["long"].is_whole
    assert callers["long"].ended_s - began_s > _GRACE_S - _MAX_MARGIN_S
