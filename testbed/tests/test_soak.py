"""Guards the promises in a short soak, and that each check can fail."""

import time

import pytest

from testbed import replica
from testbed import soak
from testbed import soak_leaving

_STREAM = b"".join(
    b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(1, 13))


@pytest.mark.parametrize("result, runs, promise", [
    (("a", "idempotent", 200, b"b"), {}, "answered_wrong"),
    (("a", "non_idempotent", 502, b""), {
        "a": 2
    }, "ran_twice"),
    (("a", "draft", 0, b""), {
        "a": 2
    }, "ran_twice"),
    (("a", "non_idempotent", 503, b""), {
        "a": 1
    }, "refused_but_ran"),
    (("a", "draft", 200, _STREAM[:-20]), {
        "a": 1
    }, "stream_wrong"),
    (("a", "draft", 200, _STREAM + b"id: 12\ndata: t12\n\n"), {
        "a": 1
    }, "stream_wrong"),
    (("a", "idempotent", 503, b""), {}, "served_nothing"),
])
def test_each_broken_promise_is_found(result, runs, promise):
    assert promise in soak.find_broken_promises([soak.Result(*result)], runs)


def test_idempotent_request_may_run_twice():
    results = [soak.Result("a", "idempotent", 200, b"a")]
    assert not soak.find_broken_promises(results, {"a": 2})


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_in_a_short_soak(tmp_path, seed):
    assert not soak.Soak(seed, 5.0, tmp_path).run()


@pytest.mark.parametrize("daemon, pause_s, event, is_late", [
    ("d1", 2.0, None, True),
    ("d1", 0.5, None, False),
    ("d2", 2.0, None, False),
    ("d1", 2.0, "restart of the daemon", False),
    ("d1", 2.0, "restart of the replica", False),
])
def test_request_to_a_replica_that_left_is_found(monkeypatch, daemon, pause_s,
                                                 event, is_late):
    now_s = 0.0
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    server = replica.Replica(lambda request: ())
    server.is_leaving = True
    departures = soak_leaving.Departures()
    departures.record_sent("a", "d1")
    departures.record_arrival(server, "a")
    departures.record_passed_on("a")
    if event == "restart of the daemon":
        departures.excuse("d1")
    elif event == "restart of the replica":
        departures.restart(server)
        server.is_leaving = True
    now_s += pause_s
    departures.record_sent("b", daemon)
    departures.record_arrival(server, "b")
    assert bool(departures.late) is is_late
