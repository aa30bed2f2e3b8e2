"""A process that runs calls at most once, as a daemon does, and nothing else.

It receives `POST /<workspace>` with `Idempotency-Key` and forwards the body to
the target. It also writes its own `member/` row, which shows other workers that
an earlier incarnation is gone. `GET /stats` returns claim latencies and counts
of events by reason.
"""

import argparse
import collections
import contextlib
import threading
import time
import uuid

import msgspec
from cheroot import server

from persimmonspan import errors
from persimmonspan.connection import plain_service
from persimmonspan.connection import table_service
from persimmonspan.process import ledger_rows
from persimmonspan.process import metrics
from persimmonspan.process import store_actor
from persimmonspan.request import at_most_once
from persimmonspan.request import ledger_events
from persimmonspan.version import model

_SERVER_THREADS = 32
_MAINTENANCE_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 6.0
_TIMEOUTS = model.Timeouts(connect_s=0.5, first_token_s=1.5)


class _TimedRows(ledger_rows.LedgerRows):
    """Ledger rows that record the latency of claims."""

    def __init__(self, client: store_actor.Client) -> None:
        super().__init__(client)
        self.claims = metrics.LatencySummary("claims", "Latency of claims")

    def write(self,
              command: ledger_events.WriteRow) -> ledger_events.WriteEnded:
        started_s = time.monotonic()
        write_end = super().write(command)
        if (command.document["state"] == ledger_events.RowState.CLAIMED and
                write_end.is_applied):
            self.claims.observe(time.monotonic() - started_s)
        return write_end


class Worker:
    """Runs calls through a store client, the ledger and a target.

    Attributes:
        holder: This process as a holder of claims.
        client: Store client.
        rows: Ledger rows behind the client.
        counts: Number of events by reason.
        context: Ledger context of the calls.
        target: Address of the target.
    """

    def __init__(self, name: str, platform: str, target: str,
                 daemons: int) -> None:
        self.holder = ledger_events.Holder(name, uuid.uuid4().hex)
        self.client = store_actor.start(platform, name, uuid.uuid4().int)
        self.client.set_daemon_count(daemons)
        self.rows = _TimedRows(self.client)
        self.counts: collections.Counter[str] = collections.Counter()
        self.context = at_most_once.Context(self.rows, self.holder,
                                            self._is_holder_gone,
                                            self._count_reason)
        self.target = target
        self._incarnations: dict[str, str] = {}

    def maintain_rows(self) -> None:
        """Registers the member and records kept rows; does not return."""
        while True:
            with contextlib.suppress(errors.StoreError):
                self._register_member()
                self.context.record_kept_rows()
            time.sleep(_MAINTENANCE_INTERVAL_S)

    def run_call(self, workspace: str, key: str,
                 body: bytes) -> ledger_events.Response:
        """Runs a call at most once."""

        def dispatch(attempt: str) -> ledger_events.Response:
            return ledger_events.Response(*plain_service.dispatch(
                self.target,
                plain_service.Request(attempt, "POST", "/" + workspace, body),
                _TIMEOUTS.connect_s, _TIMEOUTS.first_token_s))

        request = at_most_once.Request(
            workspace, key, at_most_once.digest("POST", workspace, body),
            time.monotonic() + _CALL_TIMEOUT_S)
        return at_most_once.run(self.context, request, dispatch)

    def collect_stats(self) -> dict[str, object]:
        """Returns claim latencies, the number of kept rows and event counts."""
        return {
            "claim_p50_s": self.rows.claims.quantile_s(0.5),
            "claim_p99_s": self.rows.claims.quantile_s(0.99),
            "kept_rows": self.context.kept_rows,
            "counts": dict(self.counts)
        }

    def _register_member(self) -> None:
        rows = self.client.scan("member/").get(timeout=10)
        self._incarnations = {
            row.key.removeprefix("member/"): row.value for row in rows
        }
        name, incarnation = self.holder
        if self._incarnations.get(name) != incarnation:
            key = f"member/{name}"
            version = next((row.version for row in rows if row.key == key), 0)
            self.client.transact(
                [table_service.Check(key, version)],
                [table_service.Put(key, incarnation)]).get(timeout=10)

    def _is_holder_gone(self, holder: ledger_events.Holder) -> bool:
        current = self._incarnations.get(holder.daemon, holder.incarnation)
        return current != holder.incarnation

    def _count_reason(self, reason: str) -> None:
        self.counts[reason] += 1


def make_server(address: tuple[str, int], state: Worker) -> server.HTTPServer:
    """Returns an HTTP server that passes requests to the worker."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _handle_request(self.req, state)

    return server.HTTPServer(address, _Gateway, _SERVER_THREADS,
                             _SERVER_THREADS)


def _handle_request(request: server.HTTPRequest, state: Worker) -> None:
    if request.path == b"/stats":
        _send_response(request, 200, msgspec.json.encode(state.collect_stats()))
        return
    key = request.inheaders.get(b"Idempotency-Key", b"").decode()
    try:
        answer = state.run_call(request.path.decode().lstrip("/"), key,
                                request.rfile.read())
        _send_response(request, answer.status, answer.body)
    except errors.PersimmonspanError as error:
        _send_response(
            request, error.status,
            msgspec.json.encode({
                "code": error.code,
                "run_state": error.run_state
            }))


def _send_response(request: server.HTTPRequest, status: int,
                   data: bytes) -> None:
    request.status = b"%d -" % status
    request.outheaders = [(b"Content-Length", b"%d" % len(data))]
    request.ensure_headers_sent()
    request.write(data)


def main() -> None:
    """Runs the worker as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--daemons", type=int, default=1)
    options = parser.parse_args()
    worker = Worker(options.name, options.platform, options.target,
                    options.daemons)
    threading.Thread(target=worker.maintain_rows, daemon=True).start()
    make_server(("127.0.0.1", options.port), worker).safe_start()


if __name__ == "__main__":
    main()
