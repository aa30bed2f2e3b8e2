"""Reads the load reports of model engines.

See Also:
    `persimmonspan.connection.engine`: the wire format.
"""

import collections.abc

import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import exchange
from persimmonspan.connection import leaving_header
from persimmonspan.connection import retry_after

_load_decoder = decoding.JsonDecoder(engine.LoadDocument)


class LoadReader:
    """Reads load reports over one persistent connection per target.

    A silently dropped connection costs one report: the reader closes it after a
    timeout and opens a new one for the next report. This is safe because a
    report, unlike a generation, can be requested again.
    """

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def read(self, address: str, timeout_s: float) -> engine.LoadDocument:
        """Reads a report; at most one thread per address at a time.

        Raises:
            NotSentError: The target does not accept connections.
            engine.ReportRefusedError: The target wants nothing for a time.
            errors.TargetError: The target did not respond with a report.
        """
        if address not in self._pools:
            host, port = address.rsplit(":", 1)
            self._pools[address] = urllib3.HTTPConnectionPool(host,
                                                              int(port),
                                                              retries=False,
                                                              maxsize=1)
        try:
            response = self._pools[address].request("GET",
                                                    "/v1/load",
                                                    timeout=timeout_s)
            pause_s = retry_after.read_pause_s(
                exchange.RawResponseHead(
                    response.status,
                    tuple((name.lower().encode("latin-1"),
                           value.encode("latin-1"))
                          for name, value in response.headers.items())))
            if pause_s:
                raise engine.ReportRefusedError(errors.Code.OVERLOADED,
                                                f"{address} gives no report",
                                                retry_after_s=pause_s)
            report = _load_decoder.decode(response.data)
        except urllib3.exceptions.NewConnectionError as error:
            raise engine.NotSentError(errors.Code.TARGET_FAILED,
                                      f"cannot connect to target {address}",
                                      errors.RunState.NOT_RUN) from error
        except (urllib3.exceptions.HTTPError, OSError,
                msgspec.DecodeError) as error:
            self._pools.pop(address).close()
            raise errors.TargetError(
                errors.Code.TARGET_FAILED,
                f"no load report from {address}") from error
        report.pop("leaving", None)
        values = response.headers.getlist(leaving_header.NAME)
        incarnation = leaving_header.decode(
            value.encode("latin-1") for value in values)
        if incarnation is not None:
            report["leaving"] = incarnation
        return report

    def keep_only(self, addresses: collections.abc.Set[str]) -> None:
        """Closes connections to other addresses."""
        for address in set(self._pools) - addresses:
            self._pools.pop(address).close()
