"""Guards the promises in a short soak, and that each check can fail."""

import pytest

from testbed import soak

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
