"""Tests of answers whose status is none of HTTP (RFC 9110, section 15).

A replica in trouble answered with status 000, and the caller got it.
"""

import pytest

from testbed import edge_world

_PATHS = ("/idempotent/1", "/non_idempotent/1", "/draft/1")


def _answer(status):

    def script(request):
        body = b"an error"
        yield (f"HTTP/1.1 {status:03} Status\r\nX-Attempt-Id: {request.id}\r\n"
               "X-Response-Signature: signed\r\n"
               f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    return script


def _ask(status, path):
    """Returns the status that the caller gets."""
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    for number in range(2):
        for service in ("engines", "desk"):
            world.add_replica(f"{service}-{number}", service, _answer(status))
    with world.running():
        return world.send_request(path)[0]


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("status", [0, 99, 600, 700, 999])
def test_status_outside_of_http_is_not_passed_on(status, path):
    # The replica may have run the request, so that no status promises the
    # contrary.
    assert _ask(status, path) == 502


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("status", [404, 599])
def test_unusual_status_of_http_is_passed_on(status, path):
    assert _ask(status, path) == status
