"""Relays bytes from engines to callers for all streams on one thread.

With a thread per stream, each token would cost a switch of the interpreter
lock. Here one thread waits on all sockets with epoll. The worker thread of a
request connects to the engine and then sleeps on its queue until something
other than a token happens: the response ended, a timeout expired, or the caller
left or does not read.

The relay thread never blocks on a socket. If a caller's socket does not accept
all bytes, the relay keeps the rest and sends it when the socket is writable.
While it keeps more than a limit, it does not read from the engine.

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

from persimmonspan.connection import caller_output
from persimmonspan.connection import memory_budget

_READ_BYTES = 16 * 1024
_MAX_PENDING_BYTES = 256 * 1024
# Also the resolution of timeouts. Each wake-up costs about 10 us.
_POLL_TIMEOUT_S = 0.05
# Used while there is no stream, and so no timeout to check.
_IDLE_TIMEOUT_S = 0.5
_MAX_EVENTS_PER_POLL = 1024
# Waking for each token costs more than relaying it. If a poll returns fewer
# events than this, the thread pauses so that several tokens share one wake-up.
_MIN_BATCH_EVENTS = 64
_BATCH_PAUSE_S = 0.0005
_GAP_UNITS_PER_S = 10_000  # Gaps between tokens are counted in 0.1 ms.
# Recording a gap in a histogram costs more than relaying a token, so the relay
# first counts equal gaps and then records them together.
_GAP_FLUSH_INTERVAL_S = 5.0
_CALL_INTERVAL_S = 0.02
_WOULD_BLOCK_ERRORS = (BlockingIOError, ssl.SSLWantWriteError,
                       ssl.SSLWantReadError)

_logger = logging.getLogger(__name__)


class Signal(enum.StrEnum):
    """Event of a transfer that the relay reports to its worker thread."""

    DONE = "done"  # The consumer wants no more bytes.
    CLOSED = "closed"  # The engine closed its connection.
    RESET = "reset"  # The engine connection failed; data may be lost.
    SILENT = "silent"  # No progress within the timeout.
    CALLER_LEFT = "caller_left"
    CALLER_SLOW = "caller_slow"


# The output for the caller, its number of tokens, and whether the consumer is
# done. It is a plain tuple, because one is created for each token.
ConsumeResult = tuple[bytes, int, bool]
Consumer = collections.abc.Callable[[bytes, float], ConsumeResult]
NoticeCallback = collections.abc.Callable[["Notice"], None]


class Notice(typing.NamedTuple):
    """A signal and the serial number of its engine connection."""

    signal: Signal
    serial: int


class Transfer:
    """A caller's connection and the engine connection that it is fed from.

    Without a caller, the consumer of the engine's bytes must return none. The
    lock guards all fields. Each transfer has its own lock, so that a busy
    relay thread does not starve the workers.
    """

    def __init__(self,
                 caller: socket.socket | None,
                 notify: NoticeCallback,
                 caller_write_timeout_s: float,
                 account: memory_budget.Account | None = None) -> None:
        self.account = account
        self.lock = threading.Lock()
        self.caller = caller
        self.caller_fd = -1 if caller is None else caller.fileno()
        self.notify = notify
        self.caller_write_timeout_s = caller_write_timeout_s
        self.pending = b""
        self.blocked_at_s: float | None = None  # Last progress, if blocked.
        self.progress: caller_output.Progress | None = None  # If blocked.
        self.engine: socket.socket | None = None
        self.engine_fd = -1
        self.consume: Consumer | None = None
        self.token_gap_timeout_s = 0.0
        self.next_token_due_s = 0.0
        self.is_overdue = False
        self.last_token_s: float | None = None
        self.serial = 0


class Relay:
    """The relay thread and the thread of the deferred calls."""

    def __init__(
            self, observe_gap: collections.abc.Callable[[float, int],
                                                        None]) -> None:
        self._observe_gap = observe_gap
        self._epoll = select.epoll()
        # Threads share these without a lock: single operations on a dict and on
        # epoll are atomic, and each file descriptor has one owner.
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
        """Stops the threads."""
        self._is_stopped = True
        self._is_active.set()
        if self._thread.is_alive():
            self._thread.join()
            self._deferred_call_thread.join()
        self._epoll.close()

    def call_soon(self, function: collections.abc.Callable[..., None],
                  *arguments: typing.Any) -> None:
        """Schedules a function call on a thread that may wait for locks.

        The inboxes of actors and the metrics have locks. If the relay thread
        waited for such a lock, it would stall all streams. The calls are made
        in the order in which they were scheduled.
        """
        self._deferred_calls.append((function, arguments))

    @contextlib.contextmanager
    def watch_caller(
        self,
        caller: socket.socket,
        notify: NoticeCallback,
        caller_write_timeout_s: float,
        account: memory_budget.Account | None = None
    ) -> collections.abc.Iterator[Transfer]:
        """Watches until the end of the block whether a caller leaves.

        Args:
            caller: Socket of the caller; in the block only the relay uses it.
            notify: Called on the relay thread with each notice.
            caller_write_timeout_s: How long a caller may accept none of the
                pending bytes.
            account: Counts the pending bytes, if given.

        Yields:
            The transfer, which has no engine connection yet.
        """
        timeout_s = caller.gettimeout()
        caller.setblocking(False)
        transfer = Transfer(caller, notify, caller_write_timeout_s, account)
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
            engine: Socket of the engine to which a request was sent.
            consume: Converts bytes of the engine to bytes for the caller. It is
                called on the relay thread and must not block or raise.
            first_s: Timeout until the first token.
            token_gap_timeout_s: Timeout between tokens.

        Returns:
            The serial number of this connection in notices.
        """
        engine.setblocking(False)
        transfer.serial += 1
        transfer.consume = consume
        transfer.token_gap_timeout_s = token_gap_timeout_s
        transfer.next_token_due_s = time.monotonic() + first_s
        transfer.is_overdue = False
        transfer.engine_fd = engine.fileno()
        transfer.engine = engine
        self._without_timer.append((transfer.serial, transfer))
        self._transfers[transfer.engine_fd] = transfer
        # This does not take the lock, as the first token may have arrived. If
        # the caller has left meanwhile, the relay finds no transfer for the
        # descriptor, and the worker closes the socket.
        self._epoll.register(engine.fileno(), select.EPOLLIN)
        return transfer.serial

    def release_engine(self, transfer: Transfer) -> None:
        """Stops reading from the engine; the caller is still watched."""
        with transfer.lock:
            self._drop_engine(transfer)

    def write(self, transfer: Transfer, data: bytes) -> None:
        """Writes bytes to the caller while no engine is attached."""
        with transfer.lock:
            # A caller that has left is no longer registered.
            if transfer.caller_fd in self._transfers:
                self._write_caller(transfer, data, time.monotonic())

    def take_pending(self, transfer: Transfer) -> bytes:
        """Returns and removes the bytes that are not sent to the caller yet."""
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
        # A worker that holds the lock may be waiting for a processor. This
        # thread does not wait for it, as epoll reports the socket again.
        if not transfer.lock.acquire(blocking=False):
            return
        try:
            if fd == transfer.engine_fd:
                self._read_engine(transfer, now_s)
            elif fd in self._transfers:
                self._handle_caller_event(transfer, mask, now_s)
        except Exception:  # pylint: disable=broad-exception-caught
            # A fault in one stream must not end the thread for all streams.
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
            transfer.is_overdue = False
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
            transfer.blocked_at_s = None
            if transfer.account is not None:
                transfer.account.keep_pending(0, sent)
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
        if has_sent or transfer.blocked_at_s is None:
            transfer.blocked_at_s = now_s
            transfer.progress = caller_output.Progress(transfer.caller)
        sent_bytes = max(0, len(transfer.pending) - len(rest))
        transfer.pending = rest
        has_room = (transfer.account is None or
                    transfer.account.keep_pending(len(rest), sent_bytes))
        if transfer.engine is not None and (len(rest) > _MAX_PENDING_BYTES or
                                            not has_room):
            self._epoll.modify(transfer.engine_fd, 0)

    def _handle_caller_event(self, transfer: Transfer, mask: int,
                             now_s: float) -> None:
        if mask & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            # The event may belong to an earlier connection with this
            # descriptor.
            if _is_ready(transfer.caller_fd, select.POLLRDHUP):
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
            # A timer refers to the transfer until its timeout, for seconds; the
            # consumer holds the bodies of the request and of its response.
            transfer.consume = None

    def _drop_caller(self, transfer: Transfer) -> None:
        if self._transfers.pop(transfer.caller_fd, None) is not None:
            self._epoll.unregister(transfer.caller_fd)

    def _push_timer(self, transfer: Transfer, serial: int,
                    now_s: float) -> None:
        # The timeout becomes shorter after the first token. Therefore a timer
        # is never set further ahead than the shortest timeout that may apply.
        due_s = now_s + min(transfer.token_gap_timeout_s,
                            transfer.caller_write_timeout_s)
        if transfer.blocked_at_s is not None:
            due_s = min(due_s,
                        transfer.blocked_at_s + transfer.caller_write_timeout_s)
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
            # Does not wait for a lock that a worker holds; see `_handle_event`.
            if transfer.lock.acquire(blocking=False):
                self._check_timeouts(transfer, serial, now_s)
                transfer.lock.release()
            else:
                self._without_timer.append((serial, transfer))

    def _check_timeouts(self, transfer: Transfer, serial: int,
                        now_s: float) -> None:
        if transfer.engine is None or serial != transfer.serial:
            return
        if transfer.blocked_at_s is not None:
            if transfer.blocked_at_s + transfer.caller_write_timeout_s <= now_s:
                if transfer.progress.has_advanced():
                    transfer.blocked_at_s = now_s
                # If this process was paused, the caller may have read since.
                elif _is_ready(transfer.caller_fd, select.POLLOUT):
                    transfer.blocked_at_s = (now_s + _POLL_TIMEOUT_S -
                                             transfer.caller_write_timeout_s)
                else:
                    self._end_relaying(transfer, Signal.CALLER_SLOW)
                    return
        elif transfer.next_token_due_s <= now_s:
            # If this process was paused, what has arrived is not read yet.
            if transfer.is_overdue or not _is_ready(transfer.engine_fd,
                                                    select.POLLIN):
                self._end_relaying(transfer, Signal.SILENT)
                return
            transfer.is_overdue = True
            transfer.next_token_due_s = now_s + _POLL_TIMEOUT_S
        self._push_timer(transfer, serial, now_s)

    def _run_deferred_calls(self) -> None:
        while not self._is_stopped or self._deferred_calls:
            if not self._transfers and not self._deferred_calls:
                self._is_active.clear()
                # Finds a transfer that was added before `clear`.
                if not self._transfers:
                    self._is_active.wait(_IDLE_TIMEOUT_S)
            time.sleep(_CALL_INTERVAL_S)
            while self._deferred_calls:
                function, arguments = self._deferred_calls.popleft()
                try:
                    function(*arguments)
                except Exception:  # pylint: disable=broad-exception-caught
                    # The calls of other streams must still be made.
                    _logger.exception("deferred call failed")

    def _record_gaps(self, gaps: collections.Counter[int]) -> None:
        for units, count in gaps.items():
            self._observe_gap(units / _GAP_UNITS_PER_S, count)


def _is_ready(fd: int, event: int) -> bool:
    """Returns whether an event of a socket, or an error, has occurred."""
    poll = select.poll()
    poll.register(fd, event)
    return bool(poll.poll(0))
