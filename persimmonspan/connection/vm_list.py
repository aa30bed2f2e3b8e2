"""Adapter of the platform's list of live and leaving VMs, which lags.

Interface: `read(address, timeout_s) -> tuple[Vm, ...]`; raises
`errors.StoreError`.
"""

import typing

import msgspec
import urllib3

from persimmonspan import errors


class Vm(typing.NamedTuple):
    """One VM of the list."""

    name: str
    address: str
    is_leaving: bool


class VmDocument(typing.TypedDict):
    """Wire form of a VM."""

    name: str
    address: str
    is_leaving: bool


class VmListDocument(typing.TypedDict):
    """Answer of `GET /v1/vms`."""

    vms: list[VmDocument]


_decoder = msgspec.json.Decoder(VmListDocument)


def read(address: str, timeout_s: float = 1.0) -> tuple[Vm, ...]:
    """Reads the list.

    Raises:
        errors.StoreError: The list could not be read.
    """
    try:
        response = urllib3.request("GET",
                                   f"http://{address}/v1/vms",
                                   timeout=timeout_s,
                                   retries=False)
        return tuple(
            Vm(**item) for item in _decoder.decode(response.data)["vms"])
    except (urllib3.exceptions.HTTPError, OSError,
            msgspec.DecodeError) as error:
        raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                f"VM list was not read: {error}") from error
