"""Registration of the daemons in the table service.

Each daemon keeps one row `member/<name>`. The rows name the daemons of which a
majority must be heard, so a row may go only on good evidence: by its own daemon
at a planned stop, or by another one when the platform no longer lists the VM
and its daemon has not been heard for a while. Silence alone removes no row:
after a partition both sides would otherwise shrink the majority.

See Also:
    `persimmonspan.process.membership`: counts the majority.
"""

import collections.abc
import contextlib
import logging
import threading
import time
import typing

import msgspec
import pykka

from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.connection import vm_list
from persimmonspan.process import membership
from persimmonspan.process import peer_actor
from persimmonspan.process import store_actor

PREFIX = "member/"
INTERVAL_S = 5.0
# Keeps the rows that all daemons read together within the store's budget: with
# n daemons, n * n rows are read in an interval of n times this.
_INTERVAL_PER_DAEMON_S = 0.2
GONE_AFTER_S = 60.0
_WAIT_S = 3.0
_SCAN_LIMIT = 2000

_logger = logging.getLogger(__name__)
_decoder = msgspec.json.Decoder(membership.Identity)


class Observed(typing.NamedTuple):
    """What is known when rows are judged.

    `vms` are the addresses that the platform lists, None if it did not answer.
    `heard_age_s` maps daemons to the time since they were heard.
    """

    own: str
    running_s: float
    vms: frozenset[str] | None
    heard_age_s: collections.abc.Mapping[str, float]


def gone(rows: collections.abc.Iterable[membership.Identity],
         observed: Observed) -> list[str]:
    """Returns the daemons whose rows may be removed.

    >>> row = membership.Identity("b", 1, "d", "r", "10.0.0.2:1")
    >>> gone([row], Observed("a", 99.0, frozenset({"10.0.0.1"}), {}))
    ['b']
    >>> gone([row], Observed("a", 99.0, None, {}))
    []
    """
    if not observed.vms or observed.running_s < GONE_AFTER_S:
        return []
    return [
        row.daemon
        for row in rows
        if row.daemon != observed.own and _host(row.address) not in observed.vms
        and observed.heard_age_s.get(row.daemon, GONE_AFTER_S) >= GONE_AFTER_S
    ]


def interval_s(daemons: int) -> float:
    """Returns the time between two reads of all rows.

    >>> interval_s(8), interval_s(330)
    (5.0, 66.0)
    """
    return max(INTERVAL_S, daemons * _INTERVAL_PER_DAEMON_S)


class Registration:
    """Keeps the own row, reads all rows and removes those of gone VMs."""

    def __init__(
            self, client: store_actor.Client, peers: peer_actor.Peers,
            read_vms: collections.abc.Callable[[], tuple[vm_list.Vm,
                                                         ...]]) -> None:
        self._client = client
        self._peers = peers
        self._read_vms = read_vms
        self._started_s = time.monotonic()
        self._stopped = threading.Event()

    def run(self) -> None:
        """Keeps registered until `stop` is called."""
        daemons = 1
        while True:
            try:
                daemons = self._refresh()
            except (errors.PersimmonspanError, pykka.Timeout) as error:
                _logger.info("registration was not refreshed",
                             extra={"reason": str(error)})
            if self._stopped.wait(interval_s(daemons)):
                return

    def stop(self) -> None:
        """Ends `run` and removes the own row."""
        self._stopped.set()
        with contextlib.suppress(errors.PersimmonspanError, pykka.Timeout):
            key = PREFIX + self._peers.identity().daemon
            row, = self._client.read([key]).get(timeout=_WAIT_S)
            if row.version:
                self._remove(row)

    def _refresh(self) -> int:
        """Reads and corrects the rows; returns how many there are."""
        rows = self._client.scan(PREFIX, _SCAN_LIMIT).get(timeout=_WAIT_S)
        known = {
            row.key: _decoder.decode(row.value) for row in rows if row.value
        }
        own = self._peers.identity()
        key = PREFIX + own.daemon
        if known.get(key) != own:
            versions = {row.key: row.version for row in rows}
            self._write(own, versions.get(key, 0))
            known[key] = own
        self._peers.set_member_rows(tuple(known.values()))
        self._client.set_daemon_count(len(known))
        removable = gone(known.values(), self._observe(own))
        for row in rows:
            if row.key.removeprefix(PREFIX) in removable:
                _logger.warning("row of a gone VM is removed",
                                extra={"key": row.key})
                self._remove(row)
        return len(known)

    def _observe(self, own: membership.Identity) -> Observed:
        heard = {
            item.identity.daemon: item.heard_age_s
            for item in self._peers.status().members
        }
        try:
            vms = frozenset(_host(vm.address) for vm in self._read_vms())
        except errors.StoreError:
            vms = None
        return Observed(own.daemon,
                        time.monotonic() - self._started_s, vms, heard)

    def _write(self, own: membership.Identity, version: int) -> None:
        key = PREFIX + own.daemon
        value = msgspec.json.encode(own).decode()
        self._client.transact(
            [table_service.Check(key, version)],
            [table_service.Put(key, value)],
            priority=store_actor.Priority.URGENT).get(timeout=_WAIT_S)

    def _remove(self, row: table_service.Row) -> None:
        self._client.transact([table_service.Check(row.key, row.version)],
                              deletes=[row.key]).get(timeout=_WAIT_S)


def _host(address: str) -> str:
    return address.rpartition(":")[0] or address
