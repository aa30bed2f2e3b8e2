"""Settings of the daemon: each a flag and an environment variable.

The environment variable of a flag is the name of the flag in upper case, with
underscores and the prefix `PERSIMMONSPAN_`. A flag overrides its variable.

>>> variable_name("--listen-address")
'PERSIMMONSPAN_LISTEN_ADDRESS'
"""

import argparse
import os
import typing

from persimmonspan import errors

_VARIABLE_PREFIX = "PERSIMMONSPAN_"
_MAX_PORT = 65535


class Settings(typing.NamedTuple):
    """Checked settings of `persimmonspan serve`."""

    name: str
    listen_address: str
    failure_domain: str
    region: str
    inventory: str | None
    rules: str | None
    table_service: str | None
    object_store: str | None
    vm_list: str | None
    peer_address: str | None
    peer_key_file: str | None
    peer_public_keys_file: str | None
    tls_certificate: str | None
    tls_key: str | None
    max_streams: int
    max_body_bytes: int
    read_timeout_s: int
    write_timeout_s: int
    log_level: str


class _Option(typing.NamedTuple):
    flag: str
    default: str | int | None
    help: str


_OPTIONS = (
    _Option("--name", None, "name of this daemon, unique among the daemons"),
    _Option("--listen-address", "127.0.0.1:8080",
            "IPv4 address and port for callers and operators"),
    _Option("--failure-domain", "default", "failure domain of this VM"),
    _Option("--region", "default", "region of this VM"),
    _Option("--inventory", None,
            "inventory file to start from when there is no table service"),
    _Option("--rules", None, "rules file that goes with --inventory"),
    _Option("--table-service", None, "address and port of the table service"),
    _Option("--object-store", None, "address and port of the object store"),
    _Option("--vm-list", None, "address and port of the VM list"),
    _Option("--peer-address", None,
            "IPv4 address and port for the links between daemons"),
    _Option("--peer-key-file", None,
            "file with this daemon's CURVE secret key"),
    _Option("--peer-public-keys-file", None,
            "file with the CURVE public keys of the daemons, one a line"),
    _Option("--tls-certificate", None, "PEM file with the certificate chain"),
    _Option("--tls-key", None, "PEM file with the private key"),
    _Option("--max-streams", 900, "requests served at the same time"),
    _Option("--max-body-bytes", 4 * 1024 * 1024,
            "maximum size of a request body"),
    _Option("--read-timeout-s", 10,
            "time for a caller to send the headers, and again the body"),
    _Option("--write-timeout-s", 10,
            "time for which a caller may read no byte of its response"),
    _Option("--log-level", "INFO", "DEBUG, INFO, WARNING or ERROR"),
)


def variable_name(flag: str) -> str:
    """Returns the environment variable of a flag."""
    return _VARIABLE_PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `serve` to the parser."""
    for option in _OPTIONS:
        variable = variable_name(option.flag)
        default = os.environ.get(variable, option.default)
        parser.add_argument(
            option.flag,
            default=default,
            type=int if isinstance(option.default, int) else str,
            help=f"{option.help} (environment variable {variable}, "
            f"default {option.default})")


def from_arguments(arguments: argparse.Namespace) -> Settings:
    """Returns checked settings.

    Raises:
        errors.ConfigurationError: A value is missing or not valid; the message
            names every flag that is not valid.
    """
    values = {name: getattr(arguments, name) for name in Settings._fields}
    problems = []
    for name in ("listen_address", "table_service", "object_store", "vm_list",
                 "peer_address"):
        if values[name] is not None and not is_address(values[name]):
            problems.append(f"--{name.replace('_', '-')}: expected an IPv4 "
                            f'address and a port, got "{values[name]}"')
    if values["inventory"] is None and values["table_service"] is None:
        problems.append("--inventory or --table-service is required")
    if (values["tls_certificate"] is None) != (values["tls_key"] is None):
        problems.append("--tls-certificate and --tls-key must be set together")
    for name in ("max_streams", "max_body_bytes", "read_timeout_s",
                 "write_timeout_s"):
        if values[name] < 1:
            problems.append(f"--{name.replace('_', '-')}: must be at least 1, "
                            f"got {values[name]}")
    if values["log_level"] not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        problems.append(f'--log-level: unknown level "{values["log_level"]}"')
    if problems:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "; ".join(problems))
    if values["name"] is None:
        values["name"] = "daemon-" + values["listen_address"].replace(":", "-")
    return Settings(**values)


def split_address(address: str) -> tuple[str, int]:
    """Splits an address such as `127.0.0.1:8080` into host and port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def is_address(address: str) -> bool:
    """Returns whether the text is an IPv4 address and a port.

    >>> is_address("127.0.0.1:80"), is_address("localhost:80")
    (True, False)
    """
    host, separator, port = address.rpartition(":")
    parts = host.split(".")
    return (bool(separator) and len(parts) == 4 and
            all(part.isdecimal() and int(part) < 256 for part in parts) and
            port.isdecimal() and 0 <= int(port) <= _MAX_PORT)
