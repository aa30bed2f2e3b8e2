"""Tests what operators may record for calls with an unknown outcome."""

import pytest

from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.process import ledger_rows
from persimmonspan.process import store_actor
from persimmonspan.request import ledger_events
from persimmonspan.request import settlement
from testbed import processes

_KEY = "ledger/lima/k-1"
_RAN = settlement.Finding(settlement.Outcome.RAN, "ana", "in the books")
_NOT_RUN = settlement.Finding(settlement.Outcome.NOT_RUN, "ana", "no entry")


def _document(state):
    return ledger_events.RowDocument(state=state,
                                     attempt="a1",
                                     daemon="daemon-1",
                                     incarnation="i1",
                                     digest="d1",
                                     claimed_at_s=0.0,
                                     answer=None,
                                     note="")


@pytest.mark.parametrize("state, finding, expected", [
    ("claimed", _RAN, "recorded"),
    ("unknown", _RAN, "recorded"),
    ("unknown", _NOT_RUN, "released"),
    ("claimed", _NOT_RUN._replace(is_holder_stopped=True), "released"),
])
def test_finding_changes_the_row_state(state, finding, expected):
    row = ledger_events.Row(3, _document(state))
    assert settlement.apply_finding(row, finding)["state"] == expected


@pytest.mark.parametrize("state, finding", [
    ("recorded", _RAN),
    ("released", _NOT_RUN),
    ("claimed", _NOT_RUN),
])
def test_findings_that_could_run_a_call_twice_are_rejected(state, finding):
    with pytest.raises(errors.PersimmonspanError) as caught:
        settlement.apply_finding(ledger_events.Row(3, _document(state)),
                                 finding)
    assert caught.value.code == errors.Code.CONFLICT


def test_settle_writes_an_audit_row_and_ends_the_listing():
    port = processes.free_port()
    with processes.running("testbed.platform", "--port", str(port), port=port):
        client = store_actor.start(f"127.0.0.1:{port}", "test", 1)
        for i, state in enumerate(("recorded", "unknown", "claimed")):
            client.write_row(f"ledger/lima/k-{i}", 0,
                             ledger_events.encode(
                                 _document(state))).get(timeout=5)
        rows = ledger_rows.LedgerRows(client)
        assert [key for key, _ in settlement.list_unsettled(rows)
               ] == [_KEY, "ledger/lima/k-2"]
        settlement.settle(client, _KEY, _RAN)
        assert [key for key, _ in settlement.list_unsettled(rows)
               ] == ["ledger/lima/k-2"]
        audit: tuple[table_service.Row,
                     ...] = client.scan("audit/").get(timeout=5)
        assert len(audit) == 1 and '"ana"' in audit[0].value
        client.stop()
