"""Adapter of the weight store, which holds the weights of models.

Engines fetch the weights themselves. A daemon only needs to know whether a
model exists before it orders an engine to load it, and how many concurrent
loads the rate of the store allows.
"""

import http

import urllib3

from persimmonspan import errors


def read_size(address: str, name: str, timeout_s: float) -> int:
    """Returns the size in bytes of a model in the store.

    Reads only the head of the response, so that the request uses none of the
    store's rate.

    Args:
        address: Address and port of the weight store.
        name: Name of the model.
        timeout_s: Timeout of the request, in seconds.

    Raises:
        errors.StoreError: The store did not send the size; code `NOT_FOUND` if
            the model does not exist.
    """
    host, port = address.rsplit(":", 1)
    try:
        with urllib3.HTTPConnectionPool(host,
                                        int(port),
                                        timeout=timeout_s,
                                        retries=False) as pool:
            response = pool.request("GET",
                                    f"/v1/weights/{name}",
                                    preload_content=False)
            response.close()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.StoreError(
            errors.Code.STORE_UNAVAILABLE,
            f"no response from {address}: {error}") from error
    if response.status != http.HTTPStatus.OK:
        is_absent = response.status == http.HTTPStatus.NOT_FOUND
        raise errors.StoreError(
            errors.Code.NOT_FOUND
            if is_absent else errors.Code.STORE_UNAVAILABLE,
            f'weight store sent status {response.status} for model "{name}"')
    return int(response.headers["Content-Length"])


def max_loads_per_group(size_bytes: int, rate_bytes_per_s: float,
                        max_load_s: float, groups: int) -> int:
    """Returns how many concurrent loads a group of engines may have.

    The store can serve as many concurrent loads as still end within
    `max_load_s`. All groups get the same share, whichever daemon holds them,
    so that no daemon needs to know what the others load.

    Args:
        size_bytes: Size of the model.
        rate_bytes_per_s: Rate of the weight store.
        max_load_s: Maximum time that a load should take.
        groups: Number of groups of engines.

    >>> max_loads_per_group(10 * 2**30, 2 * 2**30, max_load_s=60.0, groups=4)
    3
    """
    loads = max_load_s * rate_bytes_per_s / size_bytes
    return max(1, int(loads / max(1, groups)))
