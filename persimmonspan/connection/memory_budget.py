"""One budget for the bytes that a daemon holds for its callers.

Heads, bodies, responses and the bytes that slow readers have not taken are
reserved before they are kept. Each request has an account, whose bytes are
released together when its connection is done with it. If bytes are missing,
`choose_evicted` decides who gives up its place; it is a pure function.

See Also:
    `docs/design/memory-budget.md`: alternatives and behaviour in failures.
"""

import collections.abc
import contextlib
import enum
import select
import socket
import threading
import time
import typing

from persimmonspan import errors

_BYTES_PER_MB = 1024 * 1024
# Resident memory of a daemon that holds no requests, with the states of a large
# deployment: 73 MB in docs/CAPACITY.md, of which 9 MB are reserves for peaks.
_BASE_MB = 64
# Part of the rest; threads, allocator and interpreter need the other part.
_BUDGET_SHARE = 0.6
# A body of 4 MiB and its response must fit on the smallest machine.
_MIN_BUDGET_BYTES = 12 * _BYTES_PER_MB
# Requests that hold more than this are large. They may use half of the budget,
# and all requests three quarters: small ones and responses always find room.
_LARGE_BYTES = 64 * 1024
_LARGE_SHARE = 1 / 2
_REQUEST_SHARE = 3 / 4
# By how much responses may exceed the budget until evicted requests have ended.
_MAX_EXCESS_SHARE = 1 / 8
# Largest response that is held, as a share of the memory of the machine.
_MAX_RESPONSE_SHARE = 1 / 16
# A request begins with this much: the read buffer twice, as the head is parsed.
FIRST_BYTES = 16 * 1024
# Callers on a slow link, and this process with half a core, pause for so long.
_STALL_GRACE_S = 0.25
# A caller that moves fewer bytes a second than this after a second lags behind.
_MIN_BYTES_PER_S = 64 * 1024
_RATE_GRACE_S = 1.0
# A lag of this time counts as much as holding all bytes once more.
_LAG_UNIT_S = 0.25
# Evicted callers notice it within `POLL_S`, and release what they hold.
POLL_S = 0.1
_RELEASE_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 0.5


class Phase(enum.Enum):
    """What a request does with its caller's connection."""

    RECEIVING = "receiving"
    RUNNING = "running"
    SENDING = "sending"


class Holder(typing.NamedTuple):
    """What a request holds, and its progress in its phase.

    `is_ready` tells that this process could go on at once, so that the pause is
    its own.
    """

    name: int
    phase: Phase
    held_bytes: int
    age_s: float
    idle_s: float
    moved_bytes: int
    is_ready: bool = False


def lag_s(holder: Holder) -> float:
    """Returns by how much a caller is behind a caller that makes progress.

    >>> lag_s(Holder(1, Phase.RECEIVING, 100, 2.0, 0.1, 1_000_000))
    0.0
    >>> lag_s(Holder(1, Phase.RECEIVING, 100, 2.0, 0.1, 0))
    1.0
    >>> lag_s(Holder(1, Phase.RECEIVING, 100, 2.0, 1.25, 1_000_000))
    1.0
    """
    if holder.is_ready:
        return 0.0
    return max(
        0.0, holder.idle_s - _STALL_GRACE_S,
        holder.age_s - _RATE_GRACE_S - holder.moved_bytes / _MIN_BYTES_PER_S)


def _weight(holder: Holder) -> float:
    return holder.held_bytes * (1 + lag_s(holder) / _LAG_UNIT_S)


def _is_evictable(holder: Holder) -> bool:
    """Returns whether a request may be given up.

    A request at a target may have run. A response that is being read is worth
    its bytes, so only one that lags is given up.
    """
    return (holder.phase is Phase.RECEIVING or
            holder.phase is Phase.SENDING and lag_s(holder) > 0)


def choose_evicted(holders: collections.abc.Iterable[Holder], requester: Holder,
                   missing_bytes: int) -> tuple[int, ...] | None:
    """Returns which requests give up their bytes for another one.

    Those that hold the most bytes and make the least progress come first. Among
    callers of equal size and progress, the one that came last is rejected, so
    that under load some finish.

    Args:
        holders: All other requests.
        requester: The request that needs bytes; its `held_bytes` include them.
        missing_bytes: Bytes that must become free.

    Returns:
        Names of the requests, or None if the requester itself is rejected.

    >>> receiving = Phase.RECEIVING
    >>> stopped = Holder(1, receiving, 4000, 3.0, 3.0, 3999)
    >>> moving = Holder(2, receiving, 4000, 0.1, 0.0, 2000)
    >>> newcomer = Holder(3, receiving, 4000, 0.0, 0.0, 0)
    >>> choose_evicted([moving, stopped], newcomer, 4000)
    (1,)
    >>> choose_evicted([moving], newcomer, 4000) is None
    True
    >>> choose_evicted([moving], newcomer._replace(held_bytes=300), 300)
    (2,)
    """
    # What a target sends belongs to a request that has run.
    own_weight = (_weight(requester)
                  if requester.phase is Phase.RECEIVING else 0.0)
    evicted: list[int] = []
    for holder in sorted(filter(_is_evictable, holders),
                         key=_weight,
                         reverse=True):
        if missing_bytes <= 0 or _weight(holder) <= own_weight:
            break
        evicted.append(holder.name)
        missing_bytes -= holder.held_bytes
    return tuple(evicted) if missing_bytes <= 0 else None


def choose_slowest(holders: collections.abc.Iterable[Holder]) -> int | None:
    """Returns the request that waits for its caller with the least progress.

    >>> slow = Holder(1, Phase.RECEIVING, 10, 3.0, 3.0, 9)
    >>> choose_slowest([slow, slow._replace(name=2, idle_s=1.0, age_s=1.0)])
    1
    """
    slowest = max(holders,
                  key=lambda holder: (lag_s(holder), holder.held_bytes),
                  default=None)
    return None if slowest is None else slowest.name


class Account:
    """The bytes of one request.

    Its fields change on its worker thread, and while it is relayed on the
    relay's thread; `phase`, `is_evicted` and the byte counts under the lock of
    the budget.
    """

    def __init__(self, budget: "Budget", name: int,
                 sock: socket.socket | None) -> None:
        self.name = name
        self.phase = Phase.RECEIVING
        self.held_bytes = 0
        self.pending_bytes = 0
        self.is_evicted = False
        self.is_waiting = False
        self.max_response_bytes = budget.max_response_bytes
        self._budget = budget
        self._socket = sock
        self._began_s = self._moved_s = time.monotonic()
        self._moved_bytes = 0

    def record_progress(self, count: int) -> None:
        """Records bytes that the caller sent or took."""
        self._moved_s = time.monotonic()
        self._moved_bytes += count

    def reserve(self, count: int) -> None:
        """Reserves bytes of a request; may wait for others to release theirs.

        Raises:
            errors.RefusalError: The request is rejected.
        """
        self._budget.reserve(self, count)

    def try_reserve(self, count: int) -> bool:
        """Reserves bytes of a response without waiting; returns success."""
        return self._budget.try_reserve(self, count)

    def release(self, count: int) -> None:
        """Releases a part of the bytes."""
        self._budget.release(self, count)

    def keep_pending(self, count: int, sent: int) -> bool:
        """Sets how many bytes wait for the caller of a stream.

        They are counted in any case.

        Returns:
            Whether more bytes may be kept.
        """
        self.record_progress(sent)
        return self._budget.keep_pending(self, count)

    def begin_running(self) -> None:
        """Marks that the request is complete and goes to a target.

        Raises:
            errors.RefusalError: It had been evicted before.
        """
        self._budget.change_phase(self, Phase.RUNNING)

    def begin_sending(self) -> None:
        """Marks that a response goes to the caller."""
        self._budget.change_phase(self, Phase.SENDING)

    def enter_phase(self, phase: Phase) -> None:
        """Sets the phase, from which on progress is measured."""
        self.phase = phase
        self._began_s = self._moved_s = time.monotonic()
        self._moved_bytes = 0

    def rejection(self) -> errors.RefusalError:
        """Returns the error of a request that was given up."""
        return errors.RefusalError(errors.Code.OVERLOADED,
                                   "the memory for requests is used up",
                                   _RETRY_AFTER_S)

    def waiting(self) -> contextlib.AbstractContextManager[None]:
        """Marks that its thread waits for the caller until the block ends."""
        return self._budget.waiting(self)

    def evict(self) -> None:
        """Marks the request as given up; ends a response."""
        self.is_evicted = True
        if self.phase is Phase.SENDING and self._socket is not None:
            # The caller may have closed it.
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def measure(self, now_s: float, extra_bytes: int = 0) -> Holder:
        """Returns what it holds at a time, and more bytes that it needs."""
        return Holder(self.name, self.phase,
                      self.held_bytes + self.pending_bytes + extra_bytes,
                      now_s - self._began_s, now_s - self._moved_s,
                      self._moved_bytes, self._is_ready())

    def _is_ready(self) -> bool:
        if self._socket is None or self._socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(
            self._socket,
            select.POLLIN if self.phase is Phase.RECEIVING else select.POLLOUT)
        return bool(poll.poll(0))


class Budget:
    """The bytes and the waiting threads of all requests.

    Args:
        memory_mb: Memory of the machine for this process.
        count: Increments the counter of a reason.
        max_waiting: How many threads may wait for callers at once.
    """

    def __init__(self,
                 memory_mb: float,
                 count: collections.abc.Callable[[str], None],
                 max_waiting: int = 85) -> None:
        self._count = count
        self._max_waiting = max_waiting
        self._accounts: dict[int, Account] = {}
        self._released = threading.Condition(threading.Lock())
        self._requesters = 0  # That wait for others to release bytes.
        self._waiting = 0
        self._names = 0
        self.reserved_bytes = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: float) -> None:
        """Changes the memory of the machine from now on."""
        self.max_bytes = max(
            _MIN_BUDGET_BYTES,
            int((memory_mb - _BASE_MB) * _BUDGET_SHARE * _BYTES_PER_MB))
        self.max_response_bytes = int(memory_mb * _BYTES_PER_MB *
                                      _MAX_RESPONSE_SHARE)

    @contextlib.contextmanager
    def account(
            self,
            sock: socket.socket | None = None
    ) -> collections.abc.Iterator[Account]:
        """Opens the account of a request; releases all of it at the end.

        Raises:
            errors.RefusalError: There is no room for the head of a request.
        """
        with self._released:
            self._names += 1
            account = Account(self, self._names, sock)
            self._accounts[account.name] = account
        try:
            self.reserve(account, FIRST_BYTES)
            yield account
        finally:
            with self._released:
                del self._accounts[account.name]
                self._add(account, -account.held_bytes)
                self.reserved_bytes -= account.pending_bytes
                account.pending_bytes = 0
                self._notify()

    def reserve(self, account: Account, count: int) -> None:
        """Reserves bytes of a request; see `Account.reserve`."""
        with self._released:
            if account.is_evicted:
                raise account.rejection()
            if self._missing(account, count) <= 0:
                self._add(account, count)
                return
            end_s = time.monotonic() + _RELEASE_TIMEOUT_S
            self._requesters += 1
            try:
                while self._missing(account, count) > 0:
                    left_s = end_s - time.monotonic()
                    if (account.is_evicted or left_s <= 0 or
                            not self._make_room(account, count)):
                        self._count("memory_rejected")
                        raise account.rejection()
                    self._released.wait(left_s)
                self._add(account, count)
            finally:
                self._requesters -= 1

    def try_reserve(self, account: Account, count: int) -> bool:
        """Reserves bytes of a response; see `Account.try_reserve`."""
        with self._released:
            missing = self._missing(account, count)
            # Evicted requests release their bytes a moment later. The thread of
            # the relay does not wait for them.
            if missing > 0 and (not self._make_room(account, count) or
                                missing > self.max_bytes * _MAX_EXCESS_SHARE):
                self._count("memory_response_rejected")
                return False
            self._add(account, count)
            return True

    def release(self, account: Account, count: int) -> None:
        """Releases a part of the bytes of an account."""
        with self._released:
            self._add(account, -count)
            self._notify()

    def keep_pending(self, account: Account, count: int) -> bool:
        """Sets the pending bytes of an account; see `Account.keep_pending`."""
        with self._released:
            self.reserved_bytes += count - account.pending_bytes
            account.pending_bytes = count
            phase = Phase.SENDING if count else Phase.RUNNING
            if account.phase is not phase:
                account.enter_phase(phase)
            self._notify()
            return self.reserved_bytes <= self.max_bytes

    def change_phase(self, account: Account, phase: Phase) -> None:
        """Sets the phase of an account; see `Account.begin_running`."""
        with self._released:
            if phase is Phase.RUNNING and account.is_evicted:
                raise account.rejection()
            account.enter_phase(phase)

    @contextlib.contextmanager
    def waiting(self, account: Account) -> collections.abc.Iterator[None]:
        """Counts a thread that waits for a caller.

        If too many wait, the one whose caller makes the least progress is
        evicted, so that ordinary requests find a thread.
        """
        with self._released:
            account.is_waiting = True
            self._waiting += 1
            if self._waiting > self._max_waiting:
                now_s = time.monotonic()
                slowest = choose_slowest(
                    other.measure(now_s)
                    for other in self._accounts.values()
                    if other.is_waiting and not other.is_evicted)
                if slowest is not None:
                    self._count("waiting_caller_evicted")
                    self._accounts[slowest].evict()
        try:
            yield
        finally:
            with self._released:
                account.is_waiting = False
                self._waiting -= 1

    def _add(self, account: Account, count: int) -> None:
        account.held_bytes += count
        self.reserved_bytes += count

    def _notify(self) -> None:
        if self._requesters:
            self._released.notify_all()

    def _missing(self, account: Account, count: int) -> int:
        """Returns how many bytes are missing for more bytes of an account."""
        limit = self.max_bytes
        if account.phase is Phase.RECEIVING:
            is_large = account.held_bytes + count > _LARGE_BYTES
            limit = int(limit * (_LARGE_SHARE if is_large else _REQUEST_SHARE))
        return self.reserved_bytes + count - limit

    def _make_room(self, account: Account, count: int) -> bool:
        """Evicts others; returns whether enough will be released."""
        others = [
            other for other in self._accounts.values() if other is not account
        ]
        missing = self._missing(account, count) - sum(
            other.held_bytes + other.pending_bytes
            for other in others
            if other.is_evicted)
        if missing <= 0:
            return True
        now_s = time.monotonic()
        evicted = choose_evicted(
            (other.measure(now_s) for other in others if not other.is_evicted),
            account.measure(now_s, count), missing)
        if evicted is None:
            return False
        for name in evicted:
            self._count("memory_evicted")
            self._accounts[name].evict()
        return True
