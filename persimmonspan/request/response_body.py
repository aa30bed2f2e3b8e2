"""Bounds the memory of responses that are held until they are complete.

A target in trouble may send a body without end, or announce one that is larger
than the memory of this VM. Without a bound, one such response would end the
process, and with it all other requests.
"""

import threading

from persimmonspan import errors
from persimmonspan.connection import exchange

_BYTES_PER_MB = 1024 * 1024
# Shares of the memory limit that one held response and all of them may use.
_MAX_RESPONSE_SHARE = 1 / 16
_MAX_HELD_SHARE = 1 / 4


class Budget:
    """Bytes that all responses of the process hold together.

    Args:
        memory_mb: Memory limit of the process.
    """

    def __init__(self, memory_mb: float) -> None:
        self.max_response_bytes = int(memory_mb * _BYTES_PER_MB *
                                      _MAX_RESPONSE_SHARE)
        self._max_held_bytes = int(memory_mb * _BYTES_PER_MB * _MAX_HELD_SHARE)
        self._held_bytes = 0
        self._lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Reserves bytes; returns whether they were available."""
        with self._lock:
            if self._held_bytes + count > self._max_held_bytes:
                return False
            self._held_bytes += count
            return True

    def release(self, count: int) -> None:
        """Returns bytes that were reserved."""
        with self._lock:
            self._held_bytes -= count


class HeldBody:
    """The body of one response as it arrives."""

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._parts: list[bytes] = []
        self._size = 0

    def append(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            BrokenResponseError: The response is larger than the limit.
        """
        size = self._size + len(data)
        if size > self._budget.max_response_bytes:
            raise exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED, "the response is larger than "
                f"{self._budget.max_response_bytes} bytes")
        if not self._budget.take(len(data)):
            raise exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED,
                "responses in progress use all memory that is reserved for them"
            )
        self._size = size
        self._parts.append(data)

    def join(self) -> bytes:
        """Returns all bytes."""
        return b"".join(self._parts)

    def clear(self) -> None:
        """Drops the bytes and releases their memory."""
        self._budget.release(self._size)
        self._parts, self._size = [], 0
