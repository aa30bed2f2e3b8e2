"""TLS of the listener, with certificates that can be replaced while it runs.

Each new connection checks whether the files have changed, and a changed pair is
loaded for this and all later connections. If a pair cannot be loaded, for
example because it is only partly written, the failure is counted and the
previous pair stays in use until the next change.

The handshake happens on the worker thread's first read. In the accepting
thread, a caller that does not respond would block all other callers.
"""

import collections.abc
import logging
import os
import socket
import ssl
import typing

from cheroot import makefile
from cheroot import ssl as cheroot_ssl

_logger = logging.getLogger(__name__)

_BUFFER_BYTES = 8192
_FileStamp = tuple[int, ...]


class ReloadingAdapter(cheroot_ssl.Adapter):
    """Wraps accepted sockets and reloads the certificate when it changes."""

    def __init__(self, certificate: str, private_key: str,
                 count: collections.abc.Callable[[str], None]) -> None:
        """Loads the certificate.

        Args:
            certificate: PEM file with the certificate chain.
            private_key: PEM file with the private key.
            count: Increments the counter of a reason.

        Raises:
            OSError: The files cannot be read or do not match.
        """
        super().__init__(certificate, private_key)
        self._count = count
        self._file_stamp = self._read_file_stamp()
        self.context = self._load_context()

    def bind(self, sock: socket.socket) -> socket.socket:
        """Returns the listening socket unchanged."""
        return sock

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wraps an accepted socket; the first read performs the handshake."""
        self._reload_if_changed()
        return self.context.wrap_socket(sock,
                                        server_side=True,
                                        do_handshake_on_connect=False), {}

    def get_environ(self) -> dict[str, str]:
        """Returns no WSGI variables, as no WSGI application is served."""
        return {}

    def makefile(self,
                 sock: socket.socket,
                 mode: str = "r",
                 bufsize: int = -1) -> typing.Any:
        """Returns a file object for a wrapped socket."""
        return makefile.MakeFile(sock, mode,
                                 bufsize if bufsize > 0 else _BUFFER_BYTES)

    def _load_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.certificate, self.private_key)
        return context

    def _read_file_stamp(self) -> _FileStamp:
        stamps = []
        for path in (self.certificate, self.private_key):
            status = os.stat(path)
            stamps += [status.st_mtime_ns, status.st_ino, status.st_size]
        return tuple(stamps)

    def _reload_if_changed(self) -> None:
        try:
            stamp = self._read_file_stamp()
            if stamp == self._file_stamp:
                return
            self._file_stamp = stamp
            self.context = self._load_context()
        except OSError as error:
            self._count("tls_reload_failed")
            _logger.error("TLS certificate cannot be loaded",
                          extra={"error": str(error)})
            return
        self._count("tls_reloaded")
        _logger.info("TLS certificate reloaded")
