"""Tests the leaving state.

Guards against new work for leaving targets and a return without a sign of it.
"""

import pytest

from persimmonspan.process import leaving

_E1_LEAVING_EVENTS = [
    leaving.VmsListed(("vm-1",), 1.0),
    leaving.ReclaimNoticed("e1"),
    leaving.ReclaimNoticed("vm-1"),
    leaving.DrainRefused("e1", "a"),
    leaving.InventoryRead(1, frozenset({"e1"})),
]


def _is_e1_leaving(*timed):
    state = leaving.State()
    state, _ = leaving.step(state, leaving.VmsAssigned((("e1", "vm-1"),)), 0.0)
    state, _ = leaving.step(state, leaving.IncarnationSeen("e1", "a"), 0.0)
    for now_s, event in timed:
        state, _ = leaving.step(state, event, now_s)
    return leaving.is_leaving(state, "e1")


@pytest.mark.parametrize("event", _E1_LEAVING_EVENTS)
def test_any_source_alone_stops_new_work_until_a_sign_of_return(event):
    assert _is_e1_leaving((5.0, event))
    # A report of the old incarnation and a list without the VM are not signs.
    assert _is_e1_leaving((5.0, event),
                          (6.0, leaving.IncarnationSeen("e1", "a")),
                          (7.0, leaving.VmsListed((), 0.0)))
    by_operator = isinstance(event, leaving.InventoryRead)
    assert _is_e1_leaving(
        (5.0, event), (6.0, leaving.IncarnationSeen("e1", "b"))) is by_operator


def test_report_from_before_the_return_is_void():
    back = (6.0, leaving.IncarnationSeen("e1", "b"))
    assert not _is_e1_leaving(back, (8.0, leaving.VmsListed(("vm-1",), 3.0)))
    assert _is_e1_leaving(back, (8.0, leaving.VmsListed(("vm-1",), 1.0)))
    assert not _is_e1_leaving(back, (8.0, leaving.DrainRefused("e1", "a")))


def test_older_revision_does_not_undrain():
    drained = (1.0, leaving.InventoryRead(4, frozenset({"e1"})))
    assert _is_e1_leaving(drained, (2.0, leaving.InventoryRead(3, frozenset())))
    assert not _is_e1_leaving(drained,
                              (2.0, leaving.InventoryRead(5, frozenset())))
