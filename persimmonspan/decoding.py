"""Decoders of data from other processes, which may be anything.

msgspec follows nested data with the stack of the interpreter: a few KB of
brackets raise `RecursionError`, which no caller expects of malformed data.
"""

import typing

import msgspec


class JsonDecoder:
    """Decodes JSON; malformed data raises `msgspec.DecodeError` only."""

    def __init__(self, document_type: typing.Any = typing.Any) -> None:
        self._decoder = msgspec.json.Decoder(document_type)

    def decode(self, data: bytes | str) -> typing.Any:
        """Returns the decoded data.

        Raises:
            msgspec.DecodeError: The data does not have the format.
            UnicodeDecodeError: The data is not UTF-8.
        """
        return _decode(self._decoder, data)


class MsgpackDecoder:
    """Decodes MessagePack; see `JsonDecoder`."""

    def __init__(self, document_type: typing.Any = typing.Any) -> None:
        self._decoder = msgspec.msgpack.Decoder(document_type)

    def decode(self, data: bytes) -> typing.Any:
        """Returns the decoded data; raises what `JsonDecoder` does."""
        return _decode(self._decoder, data)


def _decode(decoder: typing.Any, data: typing.Any) -> typing.Any:
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
