"""Moves bytes from engines to callers for all streams on one thread.

A thread per stream pays a hand-over of the interpreter lock for each token.
Here one thread waits on all sockets with epoll; the worker thread of a request
connects, and afterwards sleeps on its queue until something other than a token
happens: the answer ended, nothing came in time, or the caller left or does not
read.

The relay thread never blocks on a socket. What a caller does not take at once
is kept and sent when the socket takes more; while more than a limit is kept,
the engine is not read.

See Also:
    `persimmonspan.request.handler`: the worker threads.
"""

import collections
import collections.abc
import contextlib
import enum
import heapq
import logging
import select
import socket
import ssl
import threading
import time
import typing

_READ_BYTES = 16 * 1024
_MAX_PENDING_BYTES = 256 * 1024
# The resolution of timeouts; each wake-up costs about 10 us.
_POLL_TIMEOUT_S = 0.05
# Without a stream there is no timeout to keep.
_IDLE_TIMEOUT_S = 0.5
_MAX_EVENTS_PER_POLL = 1024
# Waking for each token costs more than relaying it. While few sockets are ready
# at a time, the thread pauses so that several tokens share one wake-up.
_MIN_BATCH_EVENTS = 64
_BATCH_PAUSE_S = 0.0005
_GAP_UNITS_PER_S = 10_000  # Gaps between tokens are counted in 0.1 ms.
# Recording a gap in a histogram costs more than relaying a token, so equal
# gaps are counted first and recorded together.
_GAP_FLUSH_INTERVAL_S = 5.0
_CALL_INTERVAL_S = 0.02
_WOULD_BLOCK_ERRORS = (BlockingIOError, ssl.SSLWantWriteError,
                       ssl.SSLWantReadError)

_logger = logging.getLogger(__name__)


class Signal(enum.StrEnum):
    """What a worker thread is told about its transfer."""

    DONE = "done"  # The consumer wants no more bytes.
    CLOSED = "closed"  # The engine's end of the connection closed.
    RESET = "reset"  # The connection broke; what came may not be all.
    SILENT = "silent"  # No progress within the timeout.
    CALLER_LEFT = "caller_left"
    CALLER_SLOW = "caller_slow"


# Output for the caller, tokens in it, and whether no more bytes are wanted. It
# is a plain tuple, as one is made for each token.
ConsumeResult = tuple[bytes, int, bool]
Consumer = collections.abc.Callable[[bytes, float], ConsumeResult]
NoticeCallback = collections.abc.Callable[["Notice"], None]


class Notice(typing.NamedTuple):
    """A signal and the number of the connection that it belongs to."""

    signal: Signal
    serial: int


class Transfer:
    """One caller's connection and the engine connection that feeds it.

    All fields belong to the holder of the lock. A lock for each transfer, and
    not one for all, keeps a busy relay thread from starving the workers.
    """

    def __init__(self, caller: socket.socket, notify: NoticeCallback,
                 caller_write_timeout_s: float) -> None:
        self.lock = threading.Lock()
        self.caller = caller
        self.caller_fd = caller.fileno()
        self.notify = notify
        self.caller_write_timeout_s = caller_write_timeout_s
        self.pending = b""
        self.blocked_since_s: float | None = None  # Since when the caller is slow.
        self.engine: socket.socket | None = None
        self.engine_fd = -1
        self.consume: Consumer | None = None
        self.token_gap_timeout_s = 0.0
        self.next_token_due_s = 0.0
        self.last_token_s: float | None = None
        self.serial = 0


class Relay:
    """The relay thread."""

    def __init__(
            self, observe_gap: collections.abc.Callable[[float, int],
                                                        None]) -> None:
        self._observe_gap = observe_gap
        self._epoll = select.epoll()
        # Shared between threads without a lock: single operations on a dict and
        # on epoll are atomic, and each file descriptor has one owner.
        self._transfers: dict[int, Transfer] = {}  # By file descriptor.
        self._timers: list[tuple[float, int, int, Transfer]] = []
        self._without_timer: collections.deque[tuple[
            int, Transfer]] = collections.deque()
        self._timer_count = 0
        self._gap_counts: collections.Counter[int] = collections.Counter()
        self._deferred_calls: collections.deque[tuple[collections.abc.Callable[
            ..., None], tuple[typing.Any, ...]]] = collections.deque()
        self._is_stopped = False
        self._is_active = threading.Event()
        self._deferred_call_thread = threading.Thread(
            target=self._run_deferred_calls, name="relay-reports", daemon=True)
        self._thread = threading.Thread(target=self._run,
                                        name="relay",
                                        daemon=True)

    def start(self) -> None:
        """Starts the threads."""
        self._thread.start()
        self._deferred_call_thread.start()

    def stop(self) -> None:
        """Ends the threads."""
        self._is_stopped = True
        self._is_active.set()
        if self._thread.is_alive():
            self._thread.join()
            self._deferred_call_thread.join()
        self._epoll.close()

    def call_soon(self, function: collections.abc.Callable[..., None],
                  *arguments: typing.Any) -> None:
        """Calls a function soon, on a thread that may wait for a lock.

        The inbox of an actor and the metrics have locks; the relay thread would
        stall all streams while the holder of one waits for a processor. Calls
        are made in the order of the reports.
        """
        self._deferred_calls.append((function, arguments))

    @contextlib.contextmanager
    def watch_caller(
            self, caller: socket.socket, notify: NoticeCallback,
            caller_write_timeout_s: float
    ) -> collections.abc.Iterator[Transfer]:
        """Watches whether a caller leaves, until the block ends.

        Args:
            caller: Socket of the caller. Only the relay uses it in the block.
            notify: Called on the relay thread with each notice.
            caller_write_timeout_s: How long a caller may take none of the pending bytes.

        Yields:
            The transfer, which carries no engine connection yet.
        """
        timeout_s = caller.gettimeout()
        caller.setblocking(False)
        transfer = Transfer(caller, notify, caller_write_timeout_s)
        self._transfers[transfer.caller_fd] = transfer
        self._is_active.set()
        self._epoll.register(transfer.caller_fd, select.EPOLLRDHUP)
        try:
            yield transfer
        finally:
            with transfer.lock:
                self._drop_engine(transfer)
                self._drop_caller(transfer)
            caller.settimeout(timeout_s)

    def attach_engine(self, transfer: Transfer, engine: socket.socket,
                      consume: Consumer, first_s: float,
                      token_gap_timeout_s: float) -> int:
        """Starts to relay from an engine.

        Args:
            transfer: The transfer.
            engine: Socket of the engine, on which a request was sent.
            consume: Turns bytes of the engine into bytes for the caller. Called
                on the relay thread; must not block or raise.
            first_s: Timeout until the first token.
            token_gap_timeout_s: Timeout between tokens.

        Returns:
            The serial number that notices about this connection carry.
        """
        engine.setblocking(False)
        transfer.serial += 1
        transfer.consume = consume
        transfer.token_gap_timeout_s = token_gap_timeout_s
        transfer.next_token_due_s = time.monotonic() + first_s
        transfer.engine_fd = engine.fileno()
        transfer.engine = engine
        self._without_timer.append((transfer.serial, transfer))
        self._transfers[transfer.engine_fd] = transfer
        # Without the lock, as the first token may be there already. If the
        # caller has left meanwhile, nothing is found under the descriptor and
        # the worker closes the socket.
        self._epoll.register(engine.fileno(), select.EPOLLIN)
        return transfer.serial

    def release_engine(self, transfer: Transfer) -> None:
        """Stops to read from the engine; the caller is watched on."""
        with transfer.lock:
            self._drop_engine(transfer)

    def take_pending(self, transfer: Transfer) -> bytes:
        """Returns what the caller has not taken; the relay won't send it."""
        with transfer.lock:
            pending, transfer.pending = transfer.pending, b""
            return pending

    def _run(self) -> None:
        flush_s = time.monotonic() + _GAP_FLUSH_INTERVAL_S
        while not self._is_stopped:
            wait_s = _POLL_TIMEOUT_S if self._transfers else _IDLE_TIMEOUT_S
            ready = self._epoll.poll(wait_s, _MAX_EVENTS_PER_POLL)
            now_s = time.monotonic()
            for fd, mask in ready:
                transfer = self._transfers.get(fd)
                if transfer is not None:
                    self._handle_event(transfer, fd, mask, now_s)
            self._expire_timers(now_s)
            if 0 < len(ready) < _MIN_BATCH_EVENTS:
                time.sleep(_BATCH_PAUSE_S)
            if now_s >= flush_s and self._gap_counts:
                flush_s = now_s + _GAP_FLUSH_INTERVAL_S
                self.call_soon(self._record_gaps, self._gap_counts)
                self._gap_counts = collections.Counter()

    def _handle_event(self, transfer: Transfer, fd: int, mask: int,
                      now_s: float) -> None:
        # A worker that holds the lock may itself wait for a processor. Epoll
        # reports the socket again, so this thread need not wait with it.
        if not transfer.lock.acquire(blocking=False):
            return
        try:
            if fd == transfer.engine_fd:
                self._read_engine(transfer, now_s)
            elif fd in self._transfers:
                self._handle_caller_event(transfer, mask, now_s)
        except Exception:  # pylint: disable=broad-exception-caught
            # A fault in one stream must not end the thread of all.
            _logger.exception("relay failed")
            self._end_relaying(transfer, Signal.CLOSED)
        finally:
            transfer.lock.release()

    def _read_engine(self, transfer: Transfer, now_s: float) -> None:
        try:
            data = transfer.engine.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._end_relaying(transfer, Signal.RESET)
            return
        if not data:
            self._end_relaying(transfer, Signal.CLOSED)
            return
        output, tokens, is_done = transfer.consume(data, now_s)
        if tokens:
            transfer.next_token_due_s = now_s + transfer.token_gap_timeout_s
            if transfer.last_token_s is not None:
                gap_s = now_s - transfer.last_token_s
                self._gap_counts[int(gap_s * _GAP_UNITS_PER_S)] += 1
            transfer.last_token_s = now_s
        if output:
            self._write_caller(transfer, output, now_s)
        if is_done:
            self._end_relaying(transfer, Signal.DONE)

    def _write_caller(self, transfer: Transfer, output: bytes,
                      now_s: float) -> None:
        data = transfer.pending + output if transfer.pending else output
        try:
            sent = transfer.caller.send(data)
        except _WOULD_BLOCK_ERRORS:
            sent = 0
        except OSError:
            self._handle_caller_left(transfer)
            return
        if sent < len(data):
            self._keep_pending(transfer, data[sent:], sent > 0, now_s)
        elif transfer.pending:
            transfer.pending = b""
            transfer.blocked_since_s = None
            self._epoll.modify(transfer.caller_fd, select.EPOLLRDHUP)
            if transfer.engine is not None:
                self._epoll.modify(transfer.engine_fd, select.EPOLLIN)
                transfer.next_token_due_s = max(
                    transfer.next_token_due_s,
                    now_s + transfer.token_gap_timeout_s)

    def _keep_pending(self, transfer: Transfer, rest: bytes, has_sent: bool,
                      now_s: float) -> None:
        if not transfer.pending:
            self._epoll.modify(transfer.caller_fd,
                               select.EPOLLRDHUP | select.EPOLLOUT)
        if has_sent or transfer.blocked_since_s is None:
            transfer.blocked_since_s = now_s
        transfer.pending = rest
        if len(rest) > _MAX_PENDING_BYTES and transfer.engine is not None:
            self._epoll.modify(transfer.engine_fd, 0)

    def _handle_caller_event(self, transfer: Transfer, mask: int,
                             now_s: float) -> None:
        if mask & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            # The event may be of an earlier connection with this descriptor.
            if _has_caller_left(transfer.caller_fd):
                self._handle_caller_left(transfer)
            return
        if mask & select.EPOLLOUT and transfer.pending:
            self._write_caller(transfer, b"", now_s)

    def _handle_caller_left(self, transfer: Transfer) -> None:
        self._drop_caller(transfer)
        self._end_relaying(transfer, Signal.CALLER_LEFT)

    def _end_relaying(self, transfer: Transfer, signal: Signal) -> None:
        self._drop_engine(transfer)
        transfer.notify(Notice(signal, transfer.serial))

    def _drop_engine(self, transfer: Transfer) -> None:
        if transfer.engine is not None:
            with contextlib.suppress(FileNotFoundError):
                self._epoll.unregister(transfer.engine_fd)
            self._transfers.pop(transfer.engine_fd, None)
            transfer.engine = None
            transfer.engine_fd = -1

    def _drop_caller(self, transfer: Transfer) -> None:
        if self._transfers.pop(transfer.caller_fd, None) is not None:
            self._epoll.unregister(transfer.caller_fd)

    def _push_timer(self, transfer: Transfer, serial: int,
                    now_s: float) -> None:
        # The first token makes the timeout shorter, so a timer never lies
        # further ahead than the shortest timeout that may come into force.
        due_s = now_s + min(transfer.token_gap_timeout_s,
                            transfer.caller_write_timeout_s)
        if transfer.blocked_since_s is not None:
            due_s = min(
                due_s,
                transfer.blocked_since_s + transfer.caller_write_timeout_s)
        else:
            due_s = min(due_s, transfer.next_token_due_s)
        self._timer_count += 1
        heapq.heappush(self._timers,
                       (due_s, self._timer_count, serial, transfer))

    def _expire_timers(self, now_s: float) -> None:
        while self._without_timer:
            serial, transfer = self._without_timer.popleft()
            self._push_timer(transfer, serial, now_s)
        while self._timers and self._timers[0][0] <= now_s:
            _, _, serial, transfer = heapq.heappop(self._timers)
            # A lock that a worker holds is not waited for; see `_handle_event`.
            if transfer.lock.acquire(blocking=False):
                self._check_timeouts(transfer, serial, now_s)
                transfer.lock.release()
            else:
                self._without_timer.append((serial, transfer))

    def _check_timeouts(self, transfer: Transfer, serial: int,
                        now_s: float) -> None:
        if transfer.engine is None or serial != transfer.serial:
            return
        if transfer.blocked_since_s is not None:
            if transfer.blocked_since_s + transfer.caller_write_timeout_s <= now_s:
                self._end_relaying(transfer, Signal.CALLER_SLOW)
                return
        elif transfer.next_token_due_s <= now_s:
            self._end_relaying(transfer, Signal.SILENT)
            return
        self._push_timer(transfer, serial, now_s)

    def _run_deferred_calls(self) -> None:
        while not self._is_stopped or self._deferred_calls:
            if not self._transfers and not self._deferred_calls:
                self._is_active.clear()
                # A transfer that came before the clearing is seen here.
                if not self._transfers:
                    self._is_active.wait(_IDLE_TIMEOUT_S)
            time.sleep(_CALL_INTERVAL_S)
            while self._deferred_calls:
                function, arguments = self._deferred_calls.popleft()
                try:
                    function(*arguments)
                except Exception:  # pylint: disable=broad-exception-caught
                    # The reports of other streams must still be made.
                    _logger.exception("report failed")

    def _record_gaps(self, gaps: collections.Counter[int]) -> None:
        for units, count in gaps.items():
            self._observe_gap(units / _GAP_UNITS_PER_S, count)


def _has_caller_left(fd: int) -> bool:
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))
