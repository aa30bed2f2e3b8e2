"""Tests hedged requests with real sockets, on loopback.

The usual latency comes from requests that are served first. Then the first two
requests that replicas get run scripts of their own.
"""

import threading
import time

import pytest

from persimmonspan.platform import settings
from persimmonspan.process import scheduler_actor
from testbed import edge_world
from testbed import replica

# As many as the delay needs, so that none of them is hedged.
_USUAL_REQUESTS = 50
# Far above the delay after usual requests, on a busy machine too.
_SLOW_S = 1.5
_PATHS = {"desk": "/idempotent/1", "engines": "/draft/1"}


class Targets:
    """Three replicas, the requests of their special scripts, and a daemon."""

    def __init__(self, service, first, second, share=1.0):
        self.world = edge_world.EdgeEnvironment()
        self.world.rows.write(
            "op", "config",
            edge_world.configuration(resumable=True, maxAttempts=2))
        self.world.edge.reload(
            self.world.options._replace(hedge_share=share, grace_s=5.0))
        self.path = _PATHS[service]
        self.log = []
        self.stops = []  # Names of the replicas that are told to stop a run.
        self._lock = threading.Lock()
        self._scripts = None
        usual = _answer(b"") if service == "desk" else _stream(b"u")
        self._next_scripts = [first, second]
        for name in ("i-1", "i-2", "i-3"):
            script = self._script(name, usual)
            stub = self.world.add_replica(name, service, script)
            stub.stop_script = script

    def _script(self, name, usual):

        def script(request):
            if request.path == "/kv-move":
                self.stops.append(name)
                yield replica.complete_response(request, b"{}", 404)
                return
            with self._lock:
                run = usual if self._scripts is None else self._scripts.pop(0)
                if self._scripts is not None:
                    self.log.append((name, request))
            yield from run(request)

        return script

    def learn(self):
        """Serves usual requests, then prepares the special scripts."""
        for _ in range(_USUAL_REQUESTS):
            assert self.world.send_request(self.path)[0] == 200
        # The reports of streams are sent later than their responses.
        edge_world.wait_until(lambda: not self._running())
        self._scripts = self._next_scripts

    def ask(self):
        """Returns status and body of one request, and how long it took."""
        began_s = time.monotonic()
        status, _, body = self.world.send_request(self.path)
        return status, body, time.monotonic() - began_s

    def outcomes(self):
        """Returns the counted hedges, after all attempts have ended."""
        edge_world.wait_until(lambda: not self._running())
        return {
            reason: count
            for reason, count in self.world.edge.metrics.counts().items()
            if reason.startswith("hedge_") and "denied" not in reason
        }

    def _running(self):
        return self.world.edge.scheduler.ask(
            scheduler_actor.Evaluate(
                lambda state, now_s: state.running or
                [item for item in state.view.targets.values() if item.running]))


def _answer(body, wait_s=0.0, status=200):

    def script(request):
        time.sleep(wait_s)
        yield replica.complete_response(request, body, status)

    return script


def _refuse(wait_s):

    def script(request):
        time.sleep(wait_s)
        yield replica.not_run(request)

    return script


def _reset(request):
    del request
    time.sleep(0.6)
    yield replica.ConnectionReset()


def _stream(text, wait_s=0.0, cut=False):

    def script(request):
        time.sleep(wait_s)
        yield replica.stream_head(request)
        for number in range(1, 4):
            data = b"id: %d\ndata: %b%d\n\n" % (number, text, number)
            yield b"%x\r\n%b\r\n" % (len(data), data)
            if cut and number == 2:
                return
        yield replica.STREAM_END

    return script


def _events(text):
    return b"".join(
        b"id: %d\ndata: %b%d\n\n" % (i, text, i) for i in range(1, 4))


_FIRST, _SECOND = _answer(b"first", _SLOW_S), _answer(b"second")


@pytest.mark.parametrize("service, first, second, answer, outcome", [
    ("desk", _FIRST, _SECOND, (200, b"second"), "hedge_won"),
    ("desk", _answer(b"error", 0.6, 500), _answer(b"second", 1.0),
     (200, b"second"), "hedge_took_over"),
    ("desk", _reset, _answer(b"second", 1.0),
     (200, b"second"), "hedge_took_over"),
    ("desk", _FIRST, _refuse(0.0), (200, b"first"), "hedge_failed"),
    ("desk", _FIRST, _answer(b"error", 0.0, 500),
     (200, b"first"), "hedge_failed"),
    ("desk", _answer(b"first", 0.6), _answer(b"second", 1.5),
     (200, b"first"), "hedge_lost"),
    ("desk", _refuse(0.6), _refuse(0.0), (503, None), "hedge_failed"),
    ("desk", _answer(b"error", 0.6, 500), _refuse(0.0),
     (500, b"error"), "hedge_failed"),
    ("desk", _refuse(0.6), _answer(b"error", 1.0, 500),
     (500, b"error"), "hedge_took_over"),
    ("engines", _stream(b"a", _SLOW_S), _stream(b"b"),
     (200, _events(b"b")), "hedge_won"),
    ("engines", _stream(b"a", 0.6), _stream(b"b", 1.5),
     (200, _events(b"a")), "hedge_lost"),
    ("engines", _reset, _stream(b"b", 1.0),
     (200, _events(b"b")), "hedge_took_over"),
])
def test_hedged_request(service, first, second, answer, outcome):
    targets = Targets(service, first, second)
    with targets.world.running():
        targets.learn()
        status, body, took_s = targets.ask()
        # The promise of 503 holds only if neither attempt may have run.
        assert (status, body) == answer or answer == (status, None)
        names = {name for name, _ in targets.log}
        assert len(targets.log) == len(names) == 2
        assert targets.outcomes() == {"hedge_sent": 1, outcome: 1}
        if service == "engines":
            # Failure: an engine that does not drop a run worked on for nobody.
            loser, _ = targets.log[outcome == "hedge_lost"]
            edge_world.wait_until(lambda: targets.stops)
            assert set(targets.stops) == {loser}
    if outcome == "hedge_won":
        assert took_s < _SLOW_S
    left_ms = [
        int(request.headers["x-deadline-ms"]) for _, request in targets.log
    ]
    assert left_ms[1] < left_ms[0]


@pytest.mark.parametrize("path, share", [("/idempotent/1", 0.0),
                                         ("/non_idempotent/1", 1.0)])
def test_request_is_not_hedged(path, share):
    targets = Targets("desk", _FIRST, _SECOND, share)
    targets.path = path
    with targets.world.running():
        targets.learn()
        assert targets.ask()[:2] == (200, b"first")
        assert len(targets.log) == 1 and not targets.outcomes()


def test_stopping_daemon_sends_no_hedge():
    targets = Targets("desk", _answer(b"first", 0.8), _SECOND)
    with targets.world.running():
        targets.learn()
        stopping = threading.Thread(target=targets.world.edge.stop)
        stopping.start()
        edge_world.wait_until(targets.world.edge.is_stopping)
        assert targets.ask()[:2] == (200, b"first")
        stopping.join()
        assert len(targets.log) == 1


def test_caller_that_leaves_ends_both_attempts():
    ends = []

    def endless(request):
        yield replica.response_head(request, 200, "Content-Length: 99999")
        try:
            for _ in range(400):
                yield b"x"
                time.sleep(0.01)
        except GeneratorExit:
            ends.append(True)
            raise

    targets = Targets("desk", endless, endless)
    with targets.world.running():
        targets.learn()
        with pytest.raises(TimeoutError):
            targets.world.send_request(targets.path, timeout_s=0.7)
        edge_world.wait_until(lambda: len(ends) == 2)
        assert targets.outcomes() == {"hedge_sent": 1, "hedge_cancelled": 1}


@pytest.mark.parametrize("text", ["-0.1", "1.01", "nan", "five"])
def test_share_outside_its_range_is_rejected(text):
    with pytest.raises(ValueError, match="PERSIMMONSPAN_HEDGE_SHARE.*0 to 1"):
        settings.decode_hedge_share(text)


def test_reload_keeps_the_share(monkeypatch, tmp_path):
    # Failure: a changed settings file turns hedged requests off.
    monkeypatch.setenv("PERSIMMONSPAN_HEDGE_SHARE", "0.05")
    file = tmp_path / "settings.json"
    file.write_text("""{"nodeName": "n", "ip": "127.0.0.1", "zone": "a",
        "listenersMap": {"frontend": "127.0.0.1:1", "readiness": ""},
        "platform": {"address": ""}, "portRange": [1, 2]}""")
    targets = Targets("desk", _FIRST, _SECOND, 0.05)
    targets.world.edge.reload(settings.read(str(file)))
    state = targets.world.edge.scheduler.ask(
        scheduler_actor.Evaluate(lambda state, now_s: state.hedges))
    targets.world.edge.scheduler.stop()
    assert state.share == 0.05 and state.max_budget > 0
