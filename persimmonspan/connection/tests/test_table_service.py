"""Guards the adapter against lost, late and refused responses of the store."""

import contextlib
import socket
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import object_store
from persimmonspan.connection import store_era
from persimmonspan.connection import table_service
from persimmonspan.connection import vm_list
from testbed import platform
from testbed import processes

_INSERT = table_service.Transaction((table_service.Check("a", 0),),
                                    (table_service.Put("a", "1"),),
                                    are_rows_kept=True)


@contextlib.contextmanager
def _running(**faults):
    port = processes.free_port()
    state = platform.Platform(faults, 0.0, 1 << 20, 1e9, 7)
    server = platform.make_server(("127.0.0.1", port), state)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield state, table_service.Table(f"127.0.0.1:{port}",
                                         "test",
                                         response_timeout_s=0.3)
    finally:
        server.stop()
        thread.join()


def test_second_insert_conflicts_and_names_the_row():
    with _running() as (_, table):
        assert table.transact(_INSERT).outcome == "applied"
        result = table.transact(_INSERT)
        assert (result.outcome, result.code) == ("not_applied", "conflict")
        assert [row.value for row in result.conflicts] == ["1"]


def test_lost_response_to_applied_write_is_applied():
    with _running(lost_answers=1.0) as (state, table):
        assert table.transact(_INSERT).outcome == "applied"
        assert state.stats()["test"] == {"writes": 1, "reads": 1}


def test_late_write_is_applied_once_and_reported():
    # The first send is applied after the adapter has read the absent row.
    with _running(late_writes=1.0, late_ms=500.0) as (state, table):
        state.set_fault({"late_writes": 1.0})
        assert table.transact(_INSERT).outcome == "applied"
        row, = table.read(["a"])
        assert row.version == 1


def test_outage_before_the_write_is_not_applied():
    with _running(down_s=60.0) as (state, table):
        result = table.transact(_INSERT)
        assert (result.outcome, result.code) == ("not_applied",
                                                 "store_unavailable")
        with pytest.raises(errors.StoreError):
            table.read(["a"])
        assert state.table.read(["a"])[0]["version"] == 0


def test_refused_connection_is_not_applied():
    table = table_service.Table(f"127.0.0.1:{processes.free_port()}", "test")
    assert table.transact(_INSERT).outcome == "not_applied"


def test_throttled_write_has_its_own_code():
    with _running(writes_per_s=1.0) as (_, table):
        codes = [table.transact(_INSERT).code for _ in range(3)]
        assert codes[0] is None and codes[2] == "store_throttled"


def test_deleted_row_gets_a_new_version():
    # If versions were reused, a check made before the delete would hold again.
    with _running() as (_, table):
        first = table.transact(_INSERT).version
        check = (table_service.Check("a", first),)
        table.transact(table_service.Transaction(check, deletes=("a",)))
        assert table.transact(_INSERT).version > first
        assert table.transact(table_service.Transaction(
            check, _INSERT.puts)).outcome == "not_applied"


def test_version_issued_again_after_a_return_matches_no_older_check():
    with _running() as (state, table):
        first = table.transact(_INSERT).version
        state.set_fault({"restored_s": 10.0})
        other = table_service.Table(table.address, "other")
        second = other.transact(
            table_service.Transaction(_INSERT.checks,
                                      (table_service.Put("a", "2"),),
                                      are_rows_kept=True)).version
        assert table.read(["b"])[0].version == 0  # Shows the new era.
        result = table.transact(
            table_service.Transaction((table_service.Check("a", first),),
                                      (table_service.Put("a", "3"),)))
        assert (result.outcome, result.code) == ("not_applied", "conflict")
        assert [(row.value, row.version) for row in result.conflicts
               ] == [("2", second)]


def test_return_from_a_copy_undoes_rows_deletes_and_objects():
    with _running() as (state, table):
        table.transact(_INSERT)
        version = table.read(["a"])[0].version
        time.sleep(0.1)
        table.transact(
            table_service.Transaction((table_service.Check("a", version),),
                                      (table_service.Put("b", "2"),), ("a",)))
        store = object_store.ObjectStore(table.address)
        store.put("config/1", b"x")
        state.set_fault({"restored_s": 0.1})
        assert [row.key for row in table.scan("")] == ["a"]
        assert table.era == 1
        with pytest.raises(errors.StoreError):
            store.get("config/1")


@pytest.mark.parametrize("header, era", [(None, 4), ("5", 5), ("3", 3),
                                         ("-1", 4), ("many", 4), ("", 4),
                                         ("9" * 5000, 4)])
def test_unreadable_era_counts_as_the_current_one(header, era):
    tracker = store_era.EraTracker()
    tracker.observe("4")
    assert tracker.observe(header) == era
    assert tracker.era == max(4, era)


def test_scan_pages_in_order_of_keys():
    with _running() as (_, table):
        for key in ("b/2", "a/1", "b/1", "b/3", "c/1"):
            table.transact(
                table_service.Transaction((), (table_service.Put(key, ""),)))
        first = table.scan("b/", limit=2)
        rest = table.scan("b/", after=first[-1].key)
        assert [row.key for row in (*first, *rest)] == ["b/1", "b/2", "b/3"]


@pytest.mark.parametrize("rows, witness, outcome", [
    ([("a", 5, "other"), ("w", 0, "")], None, "unknown"),
    ([("a", 5, "other"), ("w", 0, "")], "w", "not_applied"),
    ([("a", 5, "other"), ("w", 6, "other")], None, "unknown"),
    ([("a", 5, "other"), ("w", 6, "other")], "w", "not_applied"),
    ([("a", 5, "other"), ("w", 3, "mine")], "w", "applied"),
    ([("a", 2, ""), ("w", 0, "")], "w", "unknown"),
])
def test_infer_result_claims_only_what_rows_prove(rows, witness, outcome):
    transaction = table_service.Transaction(
        (table_service.Check("a", 2), table_service.Check("w", 0)),
        (table_service.Put("a", "x"), table_service.Put("w", "x")),
        witness=witness)
    read = [
        table_service.Row(key, "", version, write_id)
        for key, version, write_id in rows
    ]
    assert table_service.infer_result(transaction, "mine",
                                      read).outcome == outcome


def test_silent_pool_connections_cost_one_timeout():
    with _running() as (_, table):
        pool = table._pool  # pylint: disable=protected-access
        silent = []
        while not pool.pool.empty():
            pool.pool.get()
        for _ in range(8):
            connection = pool.ConnectionCls(pool.host, pool.port)
            connection.sock, far_end = socket.socketpair()
            silent.append(far_end)
            pool.pool.put(connection)
        assert table.read(["a"])[0].version == 0
        assert table.transact(_INSERT).outcome == "applied"
        used = 0
        for far_end in silent:
            with contextlib.suppress(BlockingIOError):
                used += bool(far_end.recv(1, socket.MSG_DONTWAIT))
            far_end.close()
        assert used == 1


def test_object_store_and_vm_list():
    port = processes.free_port()
    with processes.running("testbed.platform",
                           "--port",
                           str(port),
                           "--vm-lag-s",
                           "0",
                           port=port):
        address = f"127.0.0.1:{port}"
        store = object_store.ObjectStore(address)
        store.put("config/1", b"x")
        assert store.get("config/1") == b"x"
        with pytest.raises(errors.StoreError) as caught:
            store.get("config/2")
        assert caught.value.code == errors.Code.NOT_FOUND
        assert not vm_list.read(address)
