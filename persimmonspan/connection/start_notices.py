"""Notices of request starts, sent as datagrams between the daemons.

Digests pass through a hub and take some tenths of a second, in which an engine
prefills a whole prompt. Daemons that only see digests therefore choose the same
engine for several prompts at once. A notice reaches the others within
milliseconds and fills the time until the next digest. A lost notice does no
harm: the digest still tells the start.
"""

import collections.abc
import contextlib
import logging
import socket
import threading
import typing

import msgspec

from persimmonspan import decoding
from persimmonspan.process import threads
from persimmonspan.request import events

# More daemons than this rely on digests alone: each start is sent to all.
MAX_PEERS = 100
_MAX_DATAGRAM_BYTES = 512
_MAX_PROMPT_TOKENS = 10_000_000
_RECEIVE_TIMEOUT_S = 0.5

_logger = logging.getLogger(__name__)


class Notice(typing.NamedTuple):
    """A request whose prompt an engine begins to prefill."""

    target: str
    prefill_tokens: int


_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.MsgpackDecoder(Notice)


class StartNotices:
    """Sends notices to the peers and receives theirs.

    Args:
        address: Own address; peers send to the UDP port of the same number as
            that of their digests.
        receive: Called with each start at a peer.
        count: Increments a counter.
    """

    def __init__(self, address: str,
                 receive: collections.abc.Callable[[events.PeerStarted], None],
                 count: collections.abc.Callable[[str], None]) -> None:
        self._receive = receive
        self._count = count
        self._peers: frozenset[tuple[str, int]] = frozenset()
        self._stopped = threading.Event()
        host, port = _split(address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(_RECEIVE_TIMEOUT_S)
        self._socket.bind((host, port))

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Receives notices until the block ends."""
        with threads.running(self._run, self._stopped.set):
            yield
        self._socket.close()

    def set_peers(self, addresses: collections.abc.Collection[str],
                  min_peers: int) -> None:
        """Replaces the addresses of the other daemons.

        Nothing is sent while there are fewer than `min_peers`, whose digests
        arrive directly, or more than `MAX_PEERS`.
        """
        if not min_peers <= len(addresses) <= MAX_PEERS:
            addresses = ()
        peers = frozenset(map(_split, filter(None, addresses)))
        if len(peers) != len(self._peers):
            _logger.info("peers of start notices", extra={"peers": len(peers)})
        self._peers = peers

    def send(self, target: str, prefill_tokens: int) -> None:
        """Tells the peers that a request has started at a target."""
        peers = self._peers
        if not peers:
            return
        data = _encoder.encode(Notice(target, prefill_tokens))
        for peer in peers:
            try:
                self._socket.sendto(data, peer)
            except OSError as error:
                # The next digest tells the start.
                self._count("start_notice_not_sent")
                _logger.debug("start notice not sent",
                              extra={"reason": str(error)})
        self._count("start_notices_sent")

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                data, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue  # Time to check whether to stop.
            except OSError as error:
                _logger.warning("start notices not received",
                                extra={"reason": str(error)})
                self._stopped.wait(_RECEIVE_TIMEOUT_S)
                continue
            if source in self._peers:
                self._receive_notice(data)
            else:
                self._count("start_notice_of_stranger")

    def _receive_notice(self, data: bytes) -> None:
        try:
            notice = _decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._count("start_notice_not_understood")
            return
        if 0 <= notice.prefill_tokens <= _MAX_PROMPT_TOKENS:
            self._receive(
                events.PeerStarted(notice.target, notice.prefill_tokens))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
