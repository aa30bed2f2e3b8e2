"""Bounds the memory of responses that are held until they are complete.

A target in trouble may send a body without end, or announce one that is larger
than the memory of this VM. Without a bound, one such response would end the
process, and with it all other requests.

See Also:
    `persimmonspan.connection.memory_budget`: the budget of the process.
"""

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import memory_budget

# A buffer that grows has this much more memory than bytes.
_GROWTH = (9, 8)


class HeldBody:
    """The body of one response as it arrives."""

    def __init__(self, account: memory_budget.Account) -> None:
        self._account = account
        self._body = bytearray()
        self._reserved = 0

    def append(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            BrokenResponseError: The response is larger than the limit.
        """
        max_bytes = self._account.max_response_bytes
        if len(self._body) + len(data) > max_bytes:
            raise exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED,
                f"the response is larger than {max_bytes} bytes")
        count = len(data) * _GROWTH[0] // _GROWTH[1]
        if not self._account.try_reserve(count):
            raise exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED,
                "the memory for responses is used up")
        self._reserved += count
        self._body += data

    def take(self) -> bytearray:
        """Returns all bytes; they stay reserved until the account ends."""
        body, self._body, self._reserved = self._body, bytearray(), 0
        return body

    def clear(self) -> None:
        """Drops the bytes and releases their memory."""
        if self._reserved:
            self._body = bytearray()
            self._account.release(self._reserved)
            self._reserved = 0
