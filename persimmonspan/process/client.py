"""Client of the administration API, used by the operators' subcommands.

A change whose response was lost is never reported as failed. The client reads
the configuration again: if the proposed documents are in force, it reports the
change as accepted, otherwise its outcome as unknown.
"""

import collections.abc
import contextlib
import typing
import urllib.parse

import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.process import admin
from persimmonspan.process import operations

_TIMEOUT_S = 10.0


class Endpoint(typing.NamedTuple):
    """Address of the API, operator token and TLS settings."""

    address: str
    token: str
    ca_certificate: str | None = None
    is_tls: bool = False


class LostResponseError(errors.PersimmonspanError):
    """The daemon may have handled the request, but the response was lost."""


class Client:
    """Calls the administration API of one daemon."""

    def __init__(self, endpoint: Endpoint, pool: urllib3.PoolManager) -> None:
        scheme = "https" if endpoint.is_tls else "http"
        self._url = f"{scheme}://{endpoint.address}{admin.PREFIX}"
        self._headers = {"Authorization": f"Bearer {endpoint.token}"}
        self._pool = pool

    def call(self,
             method: str,
             path: str,
             body: object = None,
             **query: str) -> typing.Any:
        """Calls a route and returns its decoded response.

        Raises:
            LostResponseError: The request was sent and no response arrived.
            errors.PersimmonspanError: The daemon is not reachable or refused
                the request.
        """
        url = self._url + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        data = msgspec.json.encode(body) if body is not None else None
        try:
            response = self._pool.request(method,
                                          url,
                                          body=data,
                                          headers=self._headers,
                                          timeout=_TIMEOUT_S,
                                          retries=False)
        except urllib3.exceptions.NewConnectionError as error:
            raise errors.PersimmonspanError(
                errors.Code.NO_TARGET, f"cannot reach {self._url}: {error}",
                errors.RunState.NOT_RUN) from error
        except urllib3.exceptions.HTTPError as error:
            raise LostResponseError(
                errors.Code.OUTCOME_UNKNOWN,
                f"no response from {self._url}: {error}") from error
        return _decode_response(response)

    def apply(self, proposed: operations.Documents,
              is_dry_run: bool) -> operations.CommitDocument:
        """Replaces the configuration documents.

        Raises:
            LostResponseError: No response arrived and the proposed documents
                are not in force; they may still be committed.
            errors.PersimmonspanError: The change was refused.
        """
        body = {
            "base_revision": proposed.revision,
            "inventory": proposed.inventory,
            "rules": proposed.rules,
            "dry_run": is_dry_run
        }
        try:
            return self.call("PUT", "/configuration", body)
        except LostResponseError:
            current = self.call("GET", "/configuration")
            is_in_force = (current["inventory"] == proposed.inventory and
                           current["rules"] == proposed.rules)
            if not is_in_force or is_dry_run:
                raise
            return operations.CommitDocument(revision=current["revision"],
                                             changes=[],
                                             is_merged=False,
                                             is_dry_run=False)


@contextlib.contextmanager
def connect(endpoint: Endpoint) -> collections.abc.Iterator[Client]:
    """Yields a client and closes its connections at the end."""
    with urllib3.PoolManager(ca_certs=endpoint.ca_certificate) as pool:
        yield Client(endpoint, pool)


def _decode_response(response: urllib3.BaseHTTPResponse) -> typing.Any:
    try:
        document = decoding.JsonDecoder().decode(response.data)
    except msgspec.DecodeError as error:
        raise errors.PersimmonspanError(
            errors.Code.INTERNAL,
            f"the response with status {response.status} is not JSON"
        ) from error
    if response.status == 200:
        return document
    error = document["error"]
    raise errors.PersimmonspanError(errors.Code(error["code"]),
                                    error["message"], errors.RunState.NOT_RUN)
