"""Adapter of the platform's object store, which holds whole documents.

Callers choose names so that an object is never overwritten with other content;
hence a `put` whose response was lost can be repeated.

Interface: `ObjectStore(address).put(name, data)`, `.get(name) -> bytes`; both
raise `errors.StoreError`.
"""

import http

import urllib3

from persimmonspan import errors

_MAX_ATTEMPTS = 2


class ObjectStore:
    """Client of the object store; may be shared among threads."""

    def __init__(self, address: str, timeout_s: float = 2.0) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(host,
                                                int(port),
                                                retries=False,
                                                timeout=timeout_s)

    def put(self, name: str, data: bytes) -> None:
        """Stores an object.

        Raises:
            errors.StoreError: The store did not confirm the write.
        """
        self._request("PUT", name, data)

    def get(self, name: str) -> bytes:
        """Returns the content of an object.

        Raises:
            errors.StoreError: The object is missing (`NOT_FOUND`) or the store
                did not send it.
        """
        return self._request("GET", name, None)

    def _request(self, method: str, name: str, body: bytes | None) -> bytes:
        reason = ""
        for _ in range(_MAX_ATTEMPTS):
            try:
                response = self._pool.request(method,
                                              "/objects/" + name,
                                              body=body)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                reason = str(error)
                continue
            if response.status == http.HTTPStatus.OK:
                return response.data
            if response.status == http.HTTPStatus.NOT_FOUND:
                raise errors.StoreError(errors.Code.NOT_FOUND,
                                        f'no object "{name}"')
            reason = f"status {response.status}"
        raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                f'{method} of object "{name}": {reason}')
