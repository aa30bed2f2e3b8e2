"""Adapter of the weight store: which models there are and how large they are.

Engines fetch weights themselves; a daemon only needs to know whether a model
exists, before it orders an engine to load it, and how many loads the rate of
the store allows at a time.
"""

import http

import urllib3

from persimmonspan import errors


def read_size(address: str, name: str, timeout_s: float) -> int:
    """Returns the bytes of a model in the store at an address and port.

    Only the head of the answer is read, so that nothing of the store's rate is
    used up.

    Raises:
        errors.StoreError: The store did not answer; code `NOT_FOUND` if it has
            no such model.
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
        raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                f"no answer from {address}: {error}") from error
    if response.status != http.HTTPStatus.OK:
        is_absent = response.status == http.HTTPStatus.NOT_FOUND
        raise errors.StoreError(
            errors.Code.NOT_FOUND
            if is_absent else errors.Code.STORE_UNAVAILABLE,
            f'status {response.status} for the weights of "{name}"')
    return int(response.headers["Content-Length"])


def max_loads_per_group(size_bytes: int, rate_bytes_per_s: float,
                        max_load_s: float, groups: int) -> int:
    """Returns how many loads a group may have under way.

    The store carries so many loads at a time that each ends within
    `max_load_s`. All groups get the same share, whichever daemon holds them,
    so that no daemon needs to know what the others load.

    Args:
        size_bytes: Size of the model.
        rate_bytes_per_s: Rate of the weight store.
        max_load_s: Longest time that a load should take.
        groups: Number of groups of engines.

    >>> max_loads_per_group(10 * 2**30, 2 * 2**30, max_load_s=60.0, groups=4)
    3
    """
    loads = max_load_s * rate_bytes_per_s / size_bytes
    return max(1, int(loads / max(1, groups)))
