"""TLS of the listener, with certificates that are replaced while it runs.

The files are looked at for each new connection; a changed pair is loaded for
connections from then on. A pair that does not load (it may be half written) is
counted, and the one before stays in force until the next change.

The handshake is left to the worker thread's first read. In the accepting thread
a caller that does not answer would keep all others from connecting.
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
_Stamp = tuple[int, ...]


class ReloadingAdapter(cheroot_ssl.Adapter):
    """Wraps accepted sockets with the certificate that is in the files now."""

    def __init__(self, certificate: str, private_key: str,
                 count: collections.abc.Callable[[str], None]) -> None:
        """Loads the certificate.

        Args:
            certificate: PEM file with the certificate chain.
            private_key: PEM file with the private key.
            count: Raises the counter of a reason.

        Raises:
            OSError: The files cannot be read or don't match.
        """
        super().__init__(certificate, private_key)
        self._count = count
        self._stamp = self._read_stamp()
        self.context = self._load()

    def bind(self, sock: socket.socket) -> socket.socket:
        """Returns the listening socket as it is."""
        return sock

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wraps an accepted socket; the handshake comes with the first read."""
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

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.certificate, self.private_key)
        return context

    def _read_stamp(self) -> _Stamp:
        stamps = []
        for path in (self.certificate, self.private_key):
            status = os.stat(path)
            stamps += [status.st_mtime_ns, status.st_ino, status.st_size]
        return tuple(stamps)

    def _reload_if_changed(self) -> None:
        try:
            stamp = self._read_stamp()
            if stamp == self._stamp:
                return
            self._stamp = stamp
            self.context = self._load()
        except OSError as error:
            self._count("tls_reload_failed")
            _logger.error("certificate not loaded", extra={"error": str(error)})
            return
        self._count("tls_reloaded")
        _logger.info("certificate loaded")
