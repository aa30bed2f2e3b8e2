"""Reads the body of a caller's request into one buffer, within limits.

cheroot reads a chunk of any announced size, a chunk line of any length and a
body of negative length without limit, does not read trailers, and copies a body
several times. This reader replaces it for the listener of an edge daemon.

See Also:
    `persimmonspan.connection.memory_budget`: reserves the bytes.
"""

import re

from persimmonspan import errors
from persimmonspan.connection import memory_budget
from persimmonspan.connection import timed_input

# Extensions of a chunk have no use here (RFC 9112, section 7.1.1).
_MAX_CHUNK_LINE_BYTES = 1024
# Trailers are read and dropped; the usual limit of a head.
_MAX_TRAILER_BYTES = 16 * 1024
# Chunks of one byte need 5 bytes around each. Beyond this they are an attack.
_MAX_FRAMING_BYTES = 64 * 1024
_MAX_FRAMING_RATIO = 16
# A growing buffer is reserved in steps, at least as large as those of Python.
_MIN_STEP_BYTES = 64 * 1024
_MAX_DISCARDED_BYTES = 4 * 1024 * 1024
_DISCARD_TIMEOUT_S = 0.25
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n")


class MalformedBodyError(ValueError):
    """The chunks of a body are malformed."""


class TooLargeError(ValueError):
    """A body has more bytes than its limit."""


class ChunkDecoder:
    """Decodes a chunked body as its bytes arrive; trailers are dropped.

    >>> decoder, body = ChunkDecoder(100), bytearray()
    >>> decoder.feed(b"3;x\\r\\nabc\\r\\n0\\r\\nX-Sum: 1\\r\\n\\r\\nGET", body)
    25
    >>> body, decoder.is_complete
    (bytearray(b'abc'), True)
    """

    def __init__(self, max_bytes: int) -> None:
        self.is_complete = False
        self.size_bytes = 0  # Announced by the chunks so far.
        self._max_bytes = max_bytes
        self._rest = 0  # Of the present chunk.
        self._is_at_chunk_end = False
        self._is_in_trailers = False
        self._line = b""  # The begun line.
        self._framing_bytes = 0
        self._trailer_bytes = 0

    def feed(self, data: bytes, body: bytearray | None) -> int:
        """Adds the payload of the data to a body, unless it is None.

        Returns:
            Number of bytes that belong to this body.

        Raises:
            MalformedBodyError: The data are no chunks, or exceed their limits.
            TooLargeError: The body has too many bytes.
        """
        start, end = 0, len(data)
        while start < end and not self.is_complete:
            if self._rest:
                count = min(self._rest, end - start)
                if body is not None:
                    body += data[start:start + count]
                self._rest -= count
                start += count
                continue
            line_end = data.find(b"\n", start) + 1
            line = data[start:line_end or end]
            start += len(line)
            self._count_framing(len(line))
            if self._line:
                line = self._line + line
            if not line_end:
                self._line = line
                return start
            self._line = b""
            self._apply_line(line)
        return start

    def _count_framing(self, count: int) -> None:
        if self._is_in_trailers:
            self._trailer_bytes += count
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise MalformedBodyError("the trailers are too long")
            return
        self._framing_bytes += count
        if (len(self._line) + count > _MAX_CHUNK_LINE_BYTES or
                self._framing_bytes
                > _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * self.size_bytes):
            raise MalformedBodyError("the chunks have too long extensions")

    def _apply_line(self, line: bytes) -> None:
        if self._is_in_trailers:
            self.is_complete = line in (b"\r\n", b"\n")
            return
        if self._is_at_chunk_end:
            if line not in (b"\r\n", b"\n"):
                raise MalformedBodyError("a chunk is longer than announced")
            self._is_at_chunk_end = False
            return
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise MalformedBodyError("a chunk has no valid size")
        self._rest = int(match[1], 16)
        self.size_bytes += self._rest
        if self.size_bytes > self._max_bytes:
            raise TooLargeError
        self._is_at_chunk_end = self._rest > 0
        self._is_in_trailers = not self._rest


class Body:
    """The body of one request.

    Args:
        reader: Input of the connection, behind the head.
        length: Bytes of the body, or None if it is chunked.
        account: Reserves the bytes.
    """

    # cheroot would read the rest of a body before it sends a response.
    remaining = 0

    def __init__(self, reader: timed_input.Reader, length: int | None,
                 account: memory_budget.Account) -> None:
        self._reader = reader
        self._length = length
        self._account = account
        self._has_begun = False
        self.is_complete = length == 0

    def read(self, max_bytes: int, limit_s: float) -> bytes | bytearray:
        """Returns the body.

        Raises:
            errors.RefusalError: It is too large, late or malformed, or there is
                no memory for it.
        """
        self._has_begun = True
        if self.is_complete:
            return b""
        body, problem = bytearray(), None
        try:
            with self._reader.limit(limit_s):
                if self._length is None:
                    self._read_chunks(body, max_bytes)
                elif self._length <= max_bytes:
                    body = self._read_length(self._length)
                else:
                    raise TooLargeError
            self.is_complete = True
        except TooLargeError:
            problem = errors.RefusalError(
                errors.Code.BODY_TOO_LARGE,
                f"the body has more than {max_bytes} bytes")
        except TimeoutError:
            problem = _incomplete(f"incomplete after {limit_s} s")
        except (MalformedBodyError, OSError, EOFError) as error:
            problem = _incomplete(str(error))
        except errors.RefusalError as error:
            problem = error
        if problem is None:
            return body
        # The response may take a while, so the bytes are released before it;
        # the frames of a traceback would hold them.
        problem.__traceback__ = None
        del body
        self._account.release(self._account.held_bytes -
                              memory_budget.FIRST_BYTES)
        if self._account.is_evicted:
            problem = self._account.rejection()
        raise problem

    def _read_length(self, length: int) -> bytes | bytearray:
        if length <= self._reader.buffered_bytes():
            return self._reader.read(length)
        self._account.reserve(length)
        body = bytearray(length)
        filled = 0
        with memoryview(body) as view:
            while filled < length:
                with view[filled:] as rest:
                    count = self._reader.readinto1(rest)
                if not count:
                    raise EOFError("the caller sent only a part")
                filled += count
                self._account.record_progress(count)
        return body

    def _read_chunks(self, body: bytearray, max_bytes: int) -> None:
        decoder = ChunkDecoder(max_bytes)
        reserved = 0
        while not decoder.is_complete:
            data = self._reader.peek(1)
            if not data:
                raise EOFError("the caller sent only a part")
            if len(body) + len(data) > reserved:
                step = max(_MIN_STEP_BYTES, len(body) // 8)
                self._account.reserve(step)
                reserved += step
            count = decoder.feed(data, body)
            self._reader.read(count)
            self._account.record_progress(count)

    def discard(self) -> bool:
        """Reads and drops a body that was not read; returns whether it ended.

        If not, the connection must be closed after the response.
        """
        if self.is_complete:
            return True
        if self._has_begun or (self._length or 0) > _MAX_DISCARDED_BYTES:
            return False
        decoder = (ChunkDecoder(_MAX_DISCARDED_BYTES)
                   if self._length is None else None)
        rest = self._length or 0
        try:
            with self._reader.limit(_DISCARD_TIMEOUT_S):
                while rest or decoder is not None and not decoder.is_complete:
                    data = self._reader.peek(1)
                    if not data:
                        return False
                    if decoder is not None:
                        count = decoder.feed(data, None)
                    else:
                        count = min(rest, len(data))
                        rest -= count
                    self._reader.read(count)
        except (ValueError, OSError):
            # The body is malformed, or the caller left or stopped.
            return False
        self.is_complete = True
        return True


def _incomplete(reason: str) -> errors.RefusalError:
    return errors.RefusalError(errors.Code.BAD_REQUEST,
                               f"the body is incomplete: {reason}")
