"""Key files of the links between daemons.

Each daemon has a CURVE key pair. Its key file is a JSON object with the name of
the daemon, the public key and the secret key; only its owner may read it. The
public keys file is the same on all daemons and has one line for each daemon:
the name, a space and the public key. Keys are in Z85, as ZeroMQ prints them.

References:
    ZeroMQ RFC 26 (CurveZMQ) and RFC 32 (Z85).
"""

import os
import typing

import msgspec
import zmq

from persimmonspan import decoding
from persimmonspan import errors

_Z85_CHARS = 40
_KEY_FILE_MODE = 0o600


class KeyPair(typing.NamedTuple):
    """CURVE keys of one daemon, in Z85."""

    daemon: str
    public_key: str
    secret_key: str


class KeyDocument(typing.TypedDict):
    """Content of a key file."""

    daemon: str
    public_key: str
    secret_key: str


def write_key_pair(path: str, daemon: str) -> str:
    """Creates a key pair and writes it to a new key file.

    Args:
        path: Key file; it must not exist yet.
        daemon: Name of the daemon that will use the keys.

    Returns:
        The line for the public keys file.

    Raises:
        errors.ConfigurationError: The file exists or cannot be written.
    """
    public, secret = zmq.curve_keypair()  # pylint: disable=no-member
    document = KeyDocument(daemon=daemon,
                           public_key=public.decode(),
                           secret_key=secret.decode())
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL,
                             _KEY_FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(document)))
    except OSError as error:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        f"{path}: {error}") from error
    return f"{daemon} {public.decode()}"


def read_key_pair(path: str) -> KeyPair:
    """Reads a key file.

    Raises:
        errors.ConfigurationError: The file cannot be read, is not a key file
            or can be accessed by other users than its owner.
    """
    try:
        with open(path, "rb") as file:
            if os.fstat(file.fileno()).st_mode & 0o077:
                raise errors.ConfigurationError(
                    errors.Code.BAD_REQUEST,
                    f"{path}: accessible by other users, expected mode 0600")
            document = decoding.JsonDecoder(KeyDocument).decode(file.read())
    except (OSError, msgspec.DecodeError) as error:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        f"{path}: {error}") from error
    return KeyPair(**document)


def read_public_keys(path: str) -> dict[str, str]:
    """Returns the public key of each daemon in a public keys file.

    Raises:
        errors.ConfigurationError: The file cannot be read or has invalid
            lines; the message names each of them.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except OSError as error:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        f"{path}: {error}") from error
    keys: dict[str, str] = {}
    problems = []
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split()
        if len(parts) != 2 or len(parts[1]) != _Z85_CHARS or parts[0] in keys:
            problems.append(
                f"{path}:{number}: expected a unique name and a Z85 key")
            continue
        keys[parts[0]] = parts[1]
    if problems:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "\n".join(problems))
    return keys
