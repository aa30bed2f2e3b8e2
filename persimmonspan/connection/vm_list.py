"""Adapter of the platform's list of live and leaving VMs.

The list lags behind the actual state.

Interface: `read(address, timeout_s) -> tuple[Vm, ...]`; raises
`errors.StoreError`.
"""

import typing

import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors


class Vm(typing.NamedTuple):
    """A VM in the list."""

    name: str
    address: str
    is_leaving: bool


class VmDocument(typing.TypedDict):
    """Wire form of a VM."""

    name: str
    address: str
    is_leaving: bool


class VmListDocument(typing.TypedDict):
    """Response to `GET /v1/vms`."""

    vms: list[VmDocument]


_decoder = decoding.JsonDecoder(VmListDocument)


def read(address: str, timeout_s: float = 1.0) -> tuple[Vm, ...]:
    """Reads the list of VMs.

    Raises:
        errors.StoreError: The list cannot be read.
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
                                f"cannot read the VM list: {error}") from error
