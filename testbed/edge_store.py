"""Stand-in for the platform's store: rows with versions, eras and faults."""

import base64
import collections.abc
import contextlib
import http.server
import json
import threading
import time
import typing
import urllib.parse

_MS_PER_S = 1000.0
_SILENT_RESPONSE_DELAY_S = 1.5

_Tables = dict[str, dict[str, tuple[bytes | None, int]]]


class Copy(typing.NamedTuple):
    """All rows at a version."""

    tables: _Tables
    version: int


class HistoryLostError(Exception):
    """The store does not have the version from which changes were asked."""


class _Server(http.server.ThreadingHTTPServer):

    def handle_error(self, request: typing.Any,
                     client_address: typing.Any) -> None:
        """Ignores callers that disconnect before the response."""


class Store:
    """A store that listens on loopback.

    `mode` is "ok", "busy" (503), "silent" (no response in time) or "lost"
    (writes take effect without a response).
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.era = 1
        self._tables: _Tables = {}
        self._version = 1
        self._changed = threading.Condition()
        store = self

        class _Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # pylint: disable=invalid-name
                """Responds to a read."""
                store.answer(self, b"")

            def do_POST(self) -> None:  # pylint: disable=invalid-name
                """Responds to a write."""
                store.answer(
                    self, self.rfile.read(int(self.headers["Content-Length"])))

            def log_message(self, format: str, *args: typing.Any) -> None:  # pylint: disable=redefined-builtin
                """Suppresses the access log."""

        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator["Store"]:
        """Serves until the block ends."""
        thread = threading.Thread(target=self._server.serve_forever)
        thread.start()
        try:
            yield self
        finally:
            self._server.shutdown()
            thread.join()
            self._server.server_close()

    def write(self, table: str, key: str, document: object) -> None:
        """Writes a row; removes it if the document is None."""
        self._put_row(
            table, key,
            None if document is None else json.dumps(document).encode())

    def _put_row(self, table: str, key: str, value: bytes | None) -> None:
        with self._changed:
            self._version += 1
            self._tables.setdefault(table, {})[key] = value, self._version
            self._changed.notify_all()

    def copy(self) -> Copy:
        """Returns a copy from which the store may come back."""
        with self._changed:
            return Copy(
                {
                    name: dict(table) for name, table in self._tables.items()
                }, self._version)

    def restore(self, copy: Copy) -> None:
        """Comes back from a copy: what was written since is lost.

        The versions since are given out again, in the next era.
        """
        with self._changed:
            self.era += 1
            self._tables = {
                name: dict(table) for name, table in copy.tables.items()
            }
            self._version = copy.version
            self._changed.notify_all()

    def answer(self, handler: http.server.BaseHTTPRequestHandler,
               body: bytes) -> None:
        """Responds to one call according to `mode`."""
        mode = self.mode
        if mode == "silent":
            time.sleep(_SILENT_RESPONSE_DELAY_S)
            handler.close_connection = True
            return
        if mode == "busy":
            self._send(handler, 503, {})
            return
        parts = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/rows-tx":
            document = json.loads(body)
            for row in document["write"]:
                self._put_row(row["tableName"], row["key"],
                              base64.b64decode(row["data"]))
            for row in document["remove"]:
                self._put_row(row["tableName"], row["key"], None)
            if mode == "lost":
                handler.close_connection = True
                return
            self._send(handler, 200, {"schemaVersion": self._version})
            return
        try:
            document = self._read_rows(parts.path, query)
        except HistoryLostError:
            self._send(handler, 410, {})
            return
        self._send(handler, 200, document)

    def _read_rows(self, path: str, query: dict[str,
                                                str]) -> dict[str, typing.Any]:
        is_feed = path == "/rows-feed"
        since_version = int(query.get("sinceRevision", 0))

        def changed() -> list[tuple[str, bytes | None, int]]:
            table = self._tables.get(query["tableName"], {})
            return [
                (key, value, version)
                for key, (value, version) in sorted(table.items())
                if version > since_version and (is_feed or value is not None)
            ]

        with self._changed:
            if is_feed:
                self._changed.wait_for(
                    lambda: changed() or since_version > self._version,
                    int(query["waitMs"]) / _MS_PER_S)
                if since_version > self._version:
                    raise HistoryLostError
            rows = [{
                "key": key,
                "schemaVersion": version
            } | ({
                "deleted": True
            } if value is None else {
                "data": base64.b64encode(value).decode()
            }) for key, value, version in changed()]
            return {
                "rows": rows,
                "schemaVersion": self._version,
                "hasMore": False
            }

    def _send(self, handler: http.server.BaseHTTPRequestHandler, status: int,
              document: object) -> None:
        data = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Store-Era", str(self.era))
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)
