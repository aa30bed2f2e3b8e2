"""Tests commits and adoption against the table service of the testbed."""

import contextlib
import pathlib
import threading
import time

import msgspec
import pytest

from persimmonspan.connection import object_store
from persimmonspan.process import configuration_actor
from persimmonspan.process import store_actor
from persimmonspan.version import adoption
from persimmonspan.version import commit
from persimmonspan.version import difference
from testbed import platform
from testbed import processes

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
_WORKSPACES_PATH = ("inventory", "workspaces")


class _Daemon:
    """A configuration actor whose callbacks are recorded."""

    def __init__(self, address, name):
        self.adopted = []
        self.changes = []
        self.address = address
        self.client = store_actor.start(address, name, 1)
        self.configuration = configuration_actor.start(
            self.client, object_store.ObjectStore(address),
            configuration_actor.Callbacks(
                lambda revision, document: self.adopted.append(revision),
                lambda is_serving: None, self.changes.append,
                lambda revision: None))
        self.configuration.offer(adoption.MajorityChecked(True))

    def commit(self, base, document, commit_id, **fields):
        """Commits a document."""
        return self.configuration.submit(
            commit.Change(commit_id, base, document, "ana", "test", **fields))

    def wait_for_revision(self, revision):
        """Waits until a revision is adopted."""
        while self.configuration.state().revision < revision:
            time.sleep(0.02)


@pytest.fixture(name="daemons")
def _daemons():
    with contextlib.ExitStack() as stack:
        port = processes.free_port()
        state = platform.Platform({}, 0.0, 0, 1.0, 7)
        server = platform.make_server(("127.0.0.1", port), state)
        server.prepare()
        thread = threading.Thread(target=server.serve)
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.stop)
        items = [_Daemon(f"127.0.0.1:{port}", name) for name in ("d1", "d2")]
        for item in items:
            stack.callback(item.client.stop)
            stack.callback(item.configuration.stop)
        yield state, *items


def _document():
    return {
        part:
            msgspec.json.decode(
                (_SAMPLES / f"plaza-verde-{part}.json").read_bytes())
        for part in ("inventory", "rules")
    }


def _with_share(document, workspace, share):
    return difference.apply(document, [
        difference.Edit("set", (*_WORKSPACES_PATH, workspace, "share"), share)
    ])


def test_another_daemon_adopts_an_accepted_change_by_polling(daemons):
    _, one, two = daemons
    done = one.commit(0, _document(), "c1")
    assert (done.status, done.revision) == ("accepted", 1)
    two.wait_for_revision(1)
    done = one.commit(1, _with_share(_document(), "surco", 9), "c2")
    two.wait_for_revision(2)
    assert two.adopted == [1, 2] and one.changes[-1].revision == 2


def test_disjoint_changes_merge_and_overlapping_ones_conflict(daemons):
    _, one, two = daemons
    base = _document()
    one.commit(0, base, "c1")
    one.commit(1, _with_share(base, "surco", 9), "c2")
    done = two.commit(1, _with_share(base, "lince", 9), "c3")
    assert done.status == "accepted"
    two.wait_for_revision(3)
    shares = {
        item["name"]: item["share"] for item in
        two.configuration.state().document["inventory"]["workspaces"]
    }
    assert (shares["surco"], shares["lince"]) == (9, 9)
    done = two.commit(1, _with_share(base, "surco", 5), "c4")
    assert done.status == "conflict"
    assert done.messages == (
        "inventory.workspaces.surco.share: yours is 5, accepted is 9",)


def test_commit_with_lost_response_is_accepted_once(daemons):
    state, one, _ = daemons
    state.set_fault({"lost_answers": 1.0})
    assert one.commit(0, _document(), "c1").status == "accepted"
    assert len(state.table.scan({
        "prefix": "audit/",
        "limit": 9,
        "after": ""
    })) == 1


def test_dry_run_invalid_and_isolated_commits_write_nothing(daemons):
    state, one, _ = daemons
    assert one.commit(0, _document(), "c1", is_dry_run=True).status == "dry_run"
    bad = _with_share(_document(), "surco", -1)
    assert one.commit(0, bad, "c2").status == "invalid"
    one.configuration.offer(adoption.MajorityChecked(False))
    assert one.commit(0, _document(), "c3").status == "refused"
    assert state.table.read(["config/head"])[0]["version"] == 0


def test_commit_during_a_store_outage_is_refused(daemons):
    state, one, _ = daemons
    state.set_fault({"down_s": 60.0})
    assert one.commit(0, _document(), "c1").status == "refused"


def _commit_revisions(daemon, count):
    """Returns the last document and the time before its commit."""
    document = _document()
    assert daemon.commit(0, document, "c1").status == "accepted"
    for revision in range(1, count):
        daemon.wait_for_revision(revision)
        time.sleep(0.2)
        began_s = time.monotonic()
        document = _with_share(document, "miraflores", 10 + revision)
        assert daemon.commit(revision, document,
                             f"c{revision + 1}").status == "accepted"
    daemon.wait_for_revision(count)
    return document, began_s


def _lose_since(state, began_s):
    state.set_fault({"restored_s": time.monotonic() - began_s + 0.05})


def _wait_for_head(daemon, revision):
    end_s = time.monotonic() + 15.0
    while time.monotonic() < end_s:
        head = configuration_actor.read_head(daemon.client)
        if head.revision >= revision:
            return head
        time.sleep(0.05)
    raise AssertionError(f"the head is {head}")


def test_confirmed_revision_that_the_store_lost_is_restored(daemons):
    state, first, second = daemons
    document, began_s = _commit_revisions(first, 2)
    second.configuration.stop()
    _lose_since(state, began_s)
    assert configuration_actor.read_head(first.client).revision == 1
    head = _wait_for_head(first, 2)
    stored = object_store.ObjectStore(first.address).get(head.document_name)
    assert difference.is_same(msgspec.json.decode(stored), document)
    started = _Daemon(first.address, "d3")
    try:
        started.wait_for_revision(2)
        assert difference.is_same(started.configuration.state().document,
                                  document)
        after = _with_share(document, "miraflores", 77)
        done = started.commit(2, after, "c3")
        assert (done.status, done.revision) == ("accepted", 3)
    finally:
        started.configuration.stop()
        started.client.stop()
    first.wait_for_revision(3)
    assert difference.is_same(first.configuration.state().document, after)


def test_no_revision_is_committed_before_the_lost_one_is_restored(daemons):
    state, first, second = daemons
    document, began_s = _commit_revisions(first, 2)
    second.wait_for_revision(2)
    _lose_since(state, began_s)
    done = second.commit(2, _with_share(document, "miraflores", 88), "c3")
    # A daemon may have restored the revision before the commit.
    assert done.status == "refused" or done.revision == 3
    _wait_for_head(first, 2)
    document = _with_share(document, "rimac", 88)
    assert second.commit(2, document, "c4").status == "accepted"


def test_number_of_a_lost_revision_is_not_issued_again(daemons):
    state, first, second = daemons
    document, began_s = _commit_revisions(first, 2)
    lost = first.configuration.state()
    first.configuration.stop()
    second.configuration.stop()
    _lose_since(state, began_s)
    started = _Daemon(first.address, "d3")
    try:
        started.wait_for_revision(1)
        done = started.commit(1, _with_share(document, "miraflores", 99), "c3")
        assert done.status == "accepted"
        assert done.revision > lost.revision
        started.wait_for_revision(done.revision)
    finally:
        started.configuration.stop()
        started.client.stop()
