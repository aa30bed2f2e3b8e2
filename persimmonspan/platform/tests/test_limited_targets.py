"""Tests that daemons together keep to the rate that a replica names."""

import itertools
import logging
import threading
import time

import pytest

from testbed import edge_world
from testbed import replica

_LIMIT_PER_S = 1.0
_REQUESTS_PER_S = 20
_SETTLE_S = 3.0
_WINDOW_S = 4.0
# The rate may be exceeded by half, and by five requests.
_MAX_IN_WINDOW = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5


class _Desk:
    """A replica that counts its requests and may name a limit."""

    def __init__(self, world, name):
        self.limit_per_s = None
        self.arrived_s = []
        self.stub = world.add_replica(name, "desk", self._answer)

    def _answer(self, request):
        self.arrived_s.append(time.monotonic())
        lines = (() if self.limit_per_s is None else
                 (f"Server-Limit: {self.limit_per_s}",))
        yield replica.complete_response(request, b"ok", lines=lines)

    def most_in_window(self, from_s):
        """Returns the most requests in any window from a time on."""
        late = [at_s for at_s in self.arrived_s if at_s >= from_s]
        return max((sum(start_s <= at_s < start_s + _WINDOW_S
                        for at_s in late)
                    for start_s in late),
                   default=0)


@pytest.fixture(name="daemons")
def _daemons(caplog):
    caplog.set_level(logging.INFO)
    with edge_world.running_pair(lambda: caplog.text) as pair:
        yield pair


def _send_for(daemons, time_s):
    """Sends requests to both daemons; returns the statuses."""
    statuses = []
    numbers = itertools.count()

    def send(daemon):
        end_s = time.monotonic() + time_s
        while time.monotonic() < end_s:
            statuses.append(
                daemon.send_request("/idempotent/1",
                                    X_Attempt_Id=f"r{next(numbers)}")[0])
            time.sleep(len(daemons) / _REQUESTS_PER_S)

    threads = [
        threading.Thread(target=send, args=(daemon,)) for daemon in daemons
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def test_replica_that_names_a_limit_gets_no_more_from_all_daemons(daemons):
    limited, other = (_Desk(daemons[0], name) for name in ("i-1", "i-2"))
    edge_world.wait_until(lambda: _send_for(daemons, 0.1) and limited.arrived_s)
    limited.limit_per_s = _LIMIT_PER_S
    named_s = time.monotonic()
    statuses = _send_for(daemons, _SETTLE_S + 2 * _WINDOW_S)
    assert limited.most_in_window(named_s + _SETTLE_S) <= _MAX_IN_WINDOW
    assert statuses.count(200) >= 0.95 * len(statuses)
    limited.limit_per_s = None
    _send_for(daemons, _WINDOW_S)
    assert limited.arrived_s[-1] > other.arrived_s[-1] - 1.0
    assert limited.most_in_window(limited.arrived_s[-1] -
                                  _WINDOW_S) > _MAX_IN_WINDOW
