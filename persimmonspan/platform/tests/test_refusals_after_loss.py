"""Tests that requests which crash engines stay refused without a daemon.

The quarantine was held in memory only: after all daemons had been killed, a
request crashed three more engines before it was refused again.
"""

import contextlib
import http.client
import itertools
import logging
import threading
import time

import pytest

from persimmonspan.connection import digest_links
from persimmonspan.process import refusal_store
from testbed import edge_world
from testbed import replica

_ENGINES = 4
_MAX_ATTEMPTS = 8
_KILLS = 2
_MAX_MORE_CRASHES = 3  # Of a request that has crashed three engines.
_WRITE_S = 0.5  # In which a row is written.
_LIVES = 4
_DAEMONS = 4
_MAX_SOUND = 40
_START_S = 0.05
_REPORT_S = 0.4  # In which the progress of a stream is reported.


class _Engines:
    """Engines that live longer than the daemons, and crash at bad requests."""

    def __init__(self, rows, stack):
        self._rows = rows
        self._stack = stack
        self._names = (f"i-{number}" for number in itertools.count())
        self.crashes = 0
        self.live = set()
        self.busy = set()  # Those that have begun a long request.
        self._is_over = threading.Event()
        for _ in range(_ENGINES):
            self._add()

    def _add(self):
        name = next(self._names)
        self.live.add(name)
        stub = replica.Replica(None)
        stub.script = lambda request: self._answer(request, name, stub)
        self._stack.enter_context(stub.running())
        self._rows.write(
            "servers", name, {
                "service": "engines",
                "address": stub.address,
                "zone": "a",
                "slots": 6,
                "state": "ready",
                "born": 1
            })

    def end_long(self):
        """Ends the long requests."""
        self.busy = set()
        self._is_over.set()
        self._is_over = threading.Event()

    def _answer(self, request, name, stub):
        if request.body.startswith(b"long"):
            self.busy.add(name)
            yield replica.stream_head(request)
            yield replica.event_chunk(0)
            self._is_over.wait(edge_world.TIMEOUT_S)
        elif request.body == b"bad":
            self.crashes += 1
            self.live.discard(name)
            stub.stop()
            self._rows.write("servers", name, None)
            self._add()
            yield replica.stream_head(request)
            yield replica.ConnectionReset()
        else:
            yield replica.stream_head(request)
            yield replica.event_chunk(0) + replica.STREAM_END


@pytest.fixture(name="engines")
def _engines(caplog):
    caplog.set_level(logging.INFO)
    rows = edge_world.InMemoryRowStore()
    rows.write("op", "config", edge_world.configuration())
    with contextlib.ExitStack() as stack:
        yield rows, _Engines(rows, stack)


def _send_until_refused(daemons, engines, life):
    """Sends the bad request to each daemon in turn, until all refuse it."""
    refused = 0
    for number in range(_MAX_ATTEMPTS):
        before = engines.crashes
        status = daemons[number % len(daemons)].send_request(
            "/draft/1",
            body=b"bad",
            X_Attempt_Id=f"bad-{life}-{number}",
            X_Token_Usage="100,10")[0]
        is_refused = status == 503 and engines.crashes == before
        refused = refused + 1 if is_refused else 0
        if refused == len(daemons):
            return True
    return False


def test_crashing_request_stays_refused_after_all_daemons_are_lost(engines):
    rows, engines = engines
    crashes = []
    for life in range(1 + _KILLS):
        first = edge_world.EdgeEnvironment("edge-1", rows)
        second = edge_world.EdgeEnvironment("edge-2", rows)
        with first.running(), second.running():
            if not life:
                edge_world.wait_until(
                    lambda first=first: first.edge._peers and len(  # pylint: disable=protected-access
                        first.edge._peers.list_daemons()) == 2)  # pylint: disable=protected-access
            assert _send_until_refused((first, second), engines, life)
            time.sleep(_WRITE_S)
        crashes.append(engines.crashes)
    assert crashes[-1] - crashes[0] <= _MAX_MORE_CRASHES


def _keep_busy(daemon, engines, prefix):
    """Has each engine run a sound request, so that a bad one is not alone."""
    for number in range(_MAX_SOUND):
        if engines.live <= engines.busy:
            break
        threading.Thread(target=_send_long,
                         args=(daemon, f"{prefix}-{number}"),
                         daemon=True).start()
        time.sleep(_START_S)
    assert engines.live <= engines.busy
    time.sleep(_REPORT_S)


def _send_long(daemon, name):
    with contextlib.suppress(OSError, http.client.HTTPException):
        daemon.send_request("/draft/1",
                            body=name.encode(),
                            X_Attempt_Id=name,
                            X_Token_Usage="100,500",
                            X_Deadline_Ms="20000")


def test_crashes_before_the_refusal_outlast_all_daemons(engines):
    # Failure: each loss of all daemons forgot two crashes, without an end.
    rows, engines = engines
    for life in range(_LIVES):
        daemon = edge_world.EdgeEnvironment("edge-1", rows)
        with daemon.running():
            before = engines.crashes
            for number in range(2):
                _keep_busy(daemon, engines, f"long-{life}-{number}")
                daemon.send_request("/draft/1",
                                    body=b"bad",
                                    X_Attempt_Id=f"bad-{life}-{number}",
                                    X_Token_Usage="100,10")
            time.sleep(_WRITE_S)
            if not life:
                assert engines.crashes - before == 2
        # The engines still run what the daemon had begun.
        engines.end_long()
    assert engines.crashes <= 3


def test_daemons_that_do_not_hear_each_other_share_what_crashed(
        engines, monkeypatch):
    # Failure: each daemon ran the request until its own engines had crashed.
    monkeypatch.setattr(digest_links.Links, "_send_digests",
                        lambda links, digests: None)
    monkeypatch.setattr(refusal_store, "_READ_INTERVAL_S", _WRITE_S / 4)
    rows, engines = engines
    with contextlib.ExitStack() as stack:
        daemons = [
            stack.enter_context(
                edge_world.EdgeEnvironment(f"edge-{number}", rows).running())
            for number in range(_DAEMONS)
        ]
        for number in range(2 * _DAEMONS):
            daemons[number % _DAEMONS].send_request(
                "/draft/1",
                body=b"bad",
                X_Attempt_Id=f"bad-{number}",
                X_Token_Usage="100,10")
            time.sleep(_WRITE_S)
    assert 2 <= engines.crashes <= 3
