"""Tests of the store's client against a stub server of the store."""

import base64
import contextlib
import http.server
import itertools
import json
import threading
import time
import urllib.parse

import pytest

from persimmonspan import errors
from persimmonspan.platform import store
from persimmonspan.process import row_store
from testbed import tcp_proxy


def _row(key, value, version):
    return {
        "tableName": "t",
        "part": "",
        "key": key,
        "data": base64.b64encode(value).decode(),
        "schemaVersion": version
    }


@contextlib.contextmanager
def _serve_store(respond):
    """Serves `respond(method, path, query, body) -> (status, document)`.

    A third item of the result, if any, is the era that the response names.
    """

    class _Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):  # pylint: disable=invalid-name
            """Responds to a read."""
            self._respond(b"")

        def do_POST(self):  # pylint: disable=invalid-name
            """Responds to a write."""
            self._respond(self.rfile.read(int(self.headers["Content-Length"])))

        def _respond(self, body):
            parts = urllib.parse.urlsplit(self.path)
            status, document, *era = respond(
                self.command, parts.path,
                dict(urllib.parse.parse_qsl(parts.query)), body)
            if document is None:
                self.close_connection = True
                return
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            for value in era:
                self.send_header("Store-Era", value)
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, format, *args):  # pylint: disable=redefined-builtin
            """Keeps the test's output clean."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        client = store.Store(f"127.0.0.1:{server.server_port}")
        client.port = server.server_port
        yield client
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_all_pages_are_read():

    def respond(method, path, query, body):
        del method, path, body
        if "startKey" not in query:
            return 200, {
                "rows": [_row("a", b"1", 3)],
                "hasMore": True,
                "schemaVersion": 9
            }
        assert query["startKey"] > "a"
        return 200, {
            "rows": [_row("b", b"2", 4)],
            "hasMore": False,
            "schemaVersion": 9
        }

    with _serve_store(respond) as client:
        rows = client.read("t")
    assert [(row.key, row.value) for row in rows.rows] == [("a", b"1"),
                                                           ("b", b"2")]


def test_row_that_changes_between_two_pages_is_among_the_changes_since():
    # The row "a" is written at version 10, between the two pages.
    asked = []

    def respond(method, path, query, body):
        del method, body
        if path == "/rows-feed":
            asked.append(int(query["sinceRevision"]))
            return 200, {"rows": [], "schemaVersion": 12}
        is_first = "startKey" not in query
        return 200, {
            "rows": [_row("a" if is_first else "b", b"", 3)],
            "hasMore": is_first,
            "schemaVersion": 9 if is_first else 12
        }

    with _serve_store(respond) as client:
        client.changes("t", client.read("t").version, 0.1)
    assert asked[0] < 10


def test_removed_rows_have_no_value():

    def respond(method, path, query, body):
        del method, body
        assert path == "/rows-feed" and query["sinceRevision"] == "5"
        return 200, {
            "rows": [{
                "key": "a",
                "schemaVersion": 6,
                "deleted": True
            }],
            "schemaVersion": 6
        }

    with _serve_store(respond) as client:
        changed = client.changes("t", 5, 0.1)
    assert changed == row_store.Rows((row_store.Row("a", None, 6),), 6)


@pytest.mark.parametrize("status, document, error, code", [
    (410, {}, row_store.HistoryLostError, errors.Code.STORE_UNAVAILABLE),
    (429, {}, errors.StoreError, errors.Code.STORE_THROTTLED),
    (503, {}, errors.StoreError, errors.Code.STORE_UNAVAILABLE),
    (200, None, errors.StoreError, errors.Code.STORE_UNAVAILABLE),
    (200, {
        "rows": 7
    }, errors.StoreError, errors.Code.STORE_UNAVAILABLE),
])
def test_failed_calls_raise_the_matching_error_and_code(status, document, error,
                                                        code):
    with _serve_store(lambda *_: (status, document)) as client:
        with pytest.raises(error) as caught:
            client.changes("t", 5, 0.1)
    assert caught.value.code is code


def test_a_row_is_written():
    bodies = []

    def respond(method, path, query, body):
        del query
        bodies.append((method, path, json.loads(body)))
        return 200, {"schemaVersion": 2}

    with _serve_store(respond) as client:
        client.put("t", "k", b"v")
    method, path, document = bodies[0]
    assert (method, path) == ("POST", "/rows-tx")
    assert document["write"] == [{
        "tableName": "t",
        "part": "",
        "key": "k",
        "data": "dg=="
    }]


@pytest.mark.parametrize("header, era", [(("12",), 12), ((), 0), (("x",), 0),
                                         (("-1",), 0), (("1.5",), 0)])
def test_the_era_of_a_response_is_returned(header, era):
    document = {"rows": [], "schemaVersion": 9}
    with _serve_store(lambda *_: (200, document, *header)) as client:
        assert client.read("t").era == era
        assert client.changes("t", 5, 0.1).era == era


def test_pages_of_different_eras_are_not_joined():
    eras = iter(["1", "2", "2", "2"])

    def respond(method, path, query, body):
        del method, path, body
        era = next(eras)
        is_first = "startKey" not in query
        key = "a" if is_first else "b"
        return 200, {
            "rows": [_row(key, era.encode(), 3)],
            "hasMore": is_first,
            "schemaVersion": 9
        }, era

    with _serve_store(respond) as client:
        rows = client.read("t")
    assert [row.value for row in rows.rows] == [b"2", b"2"] and rows.era == 2


def test_read_fails_if_the_era_changes_during_each_attempt():
    numbers = itertools.count(1)

    def respond(method, path, query, body):
        del method, path, query, body
        return 200, {
            "rows": [_row("a", b"", 3)],
            "hasMore": True,
            "schemaVersion": 9
        }, str(next(numbers))

    with _serve_store(respond) as client:
        with pytest.raises(errors.StoreError):
            client.read("t")


def test_connection_that_went_silent_while_it_was_idle_delays_no_read():
    document = {"rows": [], "schemaVersion": 9}
    with _serve_store(lambda *_: (200, document)) as direct:
        proxy = tcp_proxy.Proxy(direct.port)
        proxy.start()
        try:
            client = store.Store(f"127.0.0.1:{proxy.port}")
            client.read("t")
            time.sleep(1.2)
            assert proxy.silence_connections() == 1
            began_s = time.monotonic()
            client.read("t")
            assert time.monotonic() - began_s < 0.5
        finally:
            proxy.stop()


def test_answer_of_the_store_is_bounded():
    # Failure: an answer without end filled the memory of the process.
    row = _row("a", b"x" * 60_000, 1)

    def respond(*_):
        # 8 MB, twice the bound. The client waits for the first byte for 1 s, in
        # which the stand-in has to encode all of it.
        return 200, {"rows": [row] * 100, "schemaVersion": 1, "hasMore": False}

    with _serve_store(respond) as client:
        with pytest.raises(errors.StoreError, match="more than"):
            client.read("t")


def test_pages_without_end_are_given_up():
    # Failure: rows were collected as long as the store had more of them.
    numbers = itertools.count()

    def respond(*_):
        number = next(numbers)
        return 200, {
            "rows": [_row(f"k{number:04}", b"x" * 500_000, 1)],
            "schemaVersion": 1,
            "hasMore": number < 60
        }

    with _serve_store(respond) as client:
        with pytest.raises(errors.StoreError, match="more than"):
            client.read("t")
    assert next(numbers) < 60
