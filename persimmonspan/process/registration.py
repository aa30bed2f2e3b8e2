"""Registration of the daemons in the table service.

Each daemon keeps one row `member/<name>`. A daemon must receive messages from a
majority of the daemons that have rows, so a row is removed in two cases only:
by its own daemon at a planned stop, or by another daemon when the platform no
longer lists the VM and no message of its daemon has arrived for
`GONE_AFTER_S`. Silence alone removes no row: after a partition, both sides
would otherwise shrink the majority.

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

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.connection import vm_list
from persimmonspan.process import membership
from persimmonspan.process import peer_actor
from persimmonspan.process import store_actor

PREFIX = "member/"
MIN_INTERVAL_S = 5.0
# Keeps the reads of all daemons within the store's budget: n daemons together
# read n * n rows per interval, so the interval grows with n.
_INTERVAL_PER_DAEMON_S = 0.2
GONE_AFTER_S = 60.0
_STORE_TIMEOUT_S = 3.0
_MAX_SCANNED_ROWS = 2000

_logger = logging.getLogger(__name__)
_decoder = decoding.JsonDecoder(membership.Identity)


class RemovalEvidence(typing.NamedTuple):
    """Evidence by which a daemon decides which rows to remove.

    Attributes:
        own_name: Name of the daemon that decides.
        running_s: Time since it started.
        vms: Addresses of the VMs that the platform lists, or None if the list
            could not be read.
        last_received_age_s: Time since the last message of each daemon, by
            name.
    """

    own_name: str
    running_s: float
    vms: frozenset[str] | None
    last_received_age_s: collections.abc.Mapping[str, float]


def gone(rows: collections.abc.Iterable[membership.Identity],
         evidence: RemovalEvidence) -> list[str]:
    """Returns the daemons whose rows may be removed.

    >>> row = membership.Identity("b", 1, "d", "r", "10.0.0.2:1")
    >>> gone([row], RemovalEvidence("a", 99.0, frozenset({"10.0.0.1"}), {}))
    ['b']
    >>> gone([row], RemovalEvidence("a", 99.0, None, {}))
    []
    """
    if not evidence.vms or evidence.running_s < GONE_AFTER_S:
        return []
    return [
        row.daemon for row in rows if row.daemon != evidence.own_name and
        _host(row.address) not in evidence.vms and evidence.last_received_age_s.
        get(row.daemon, GONE_AFTER_S) >= GONE_AFTER_S
    ]


def interval_s(daemons: int) -> float:
    """Returns the time between two reads of all rows, in seconds.

    >>> interval_s(8), interval_s(330)
    (5.0, 66.0)
    """
    return max(MIN_INTERVAL_S, daemons * _INTERVAL_PER_DAEMON_S)


class Registration:
    """Writes the own row, reads all rows and removes those of gone VMs."""

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
        """Refreshes the registration until `stop` is called."""
        daemons = 1
        while True:
            try:
                daemons = self._refresh_rows()
            except (errors.PersimmonspanError, pykka.Timeout) as error:
                _logger.info("registration could not be refreshed",
                             extra={"reason": str(error)})
            if self._stopped.wait(interval_s(daemons)):
                return

    def stop(self) -> None:
        """Ends `run` and removes the own row."""
        self._stopped.set()
        with contextlib.suppress(errors.PersimmonspanError, pykka.Timeout):
            key = PREFIX + self._peers.identity().daemon
            row, = self._client.read([key]).get(timeout=_STORE_TIMEOUT_S)
            if row.version:
                self._remove_row(row)

    def _refresh_rows(self) -> int:
        """Reads and corrects the rows; returns the number of daemons."""
        rows = self._client.scan(
            PREFIX, _MAX_SCANNED_ROWS).get(timeout=_STORE_TIMEOUT_S)
        identities = {
            row.key: _decoder.decode(row.value) for row in rows if row.value
        }
        own = self._peers.identity()
        key = PREFIX + own.daemon
        if identities.get(key) != own:
            versions = {row.key: row.version for row in rows}
            self._write_row(own, versions.get(key, 0))
            identities[key] = own
        self._peers.set_member_rows(tuple(identities.values()))
        self._client.set_daemon_count(len(identities))
        removable = gone(identities.values(), self._collect_evidence(own))
        for row in rows:
            if row.key.removeprefix(PREFIX) in removable:
                _logger.warning("removing the row of a daemon whose VM is gone",
                                extra={"key": row.key})
                self._remove_row(row)
        return len(identities)

    def _collect_evidence(self, own: membership.Identity) -> RemovalEvidence:
        last_received_age_s = {
            item.identity.daemon: item.heard_age_s
            for item in self._peers.status().members
        }
        try:
            vms = frozenset(_host(vm.address) for vm in self._read_vms())
        except errors.StoreError:
            vms = None
        return RemovalEvidence(own.daemon,
                               time.monotonic() - self._started_s, vms,
                               last_received_age_s)

    def _write_row(self, own: membership.Identity, version: int) -> None:
        key = PREFIX + own.daemon
        value = msgspec.json.encode(own).decode()
        self._client.transact(
            [table_service.Check(key, version)],
            [table_service.Put(key, value)],
            priority=store_actor.Priority.URGENT).get(timeout=_STORE_TIMEOUT_S)

    def _remove_row(self, row: table_service.Row) -> None:
        self._client.transact([table_service.Check(row.key, row.version)],
                              deletes=[row.key]).get(timeout=_STORE_TIMEOUT_S)


def _host(address: str) -> str:
    return address.rpartition(":")[0] or address
