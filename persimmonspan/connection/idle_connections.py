"""A server that closes idle connections without losing a request.

cheroot closes all connections that are older than the present limit, and does
not look whether bytes have arrived; the kernel then discards them with a reset.
This overrides non-public methods of cheroot, whose major version is pinned.

See Also:
    `persimmonspan.connection.idle_limits`: how long connections may be idle.
"""

import collections.abc
import logging
import select
import selectors
import socket
import threading
import time

from cheroot import connections
from cheroot import server
from cheroot.workers import threadpool

from persimmonspan.connection import connection_limit
from persimmonspan.connection import idle_limits

_MIN_TOLD_S = 1
# How long a stopping server goes on to accept connections.
_MAX_STOP_S = 0.5

_logger = logging.getLogger(__name__)


class Server(server.HTTPServer):
    """A server whose connections are idle for a time that may change."""

    def __init__(self,
                 address: tuple[str, int],
                 gateway: type[server.Gateway],
                 count: collections.abc.Callable[[str], None],
                 idle_s: float,
                 threads: tuple[int, int],
                 server_name: str,
                 slack_s: float = 0.0) -> None:
        """Creates a server that is not started yet.

        Args:
            address: Host and port.
            gateway: Responds to requests.
            count: Increments the counter of a reason.
            idle_s: How long connections may be idle.
            threads: Least and largest number of worker threads.
            server_name: Name of the server in responses.
            slack_s: How much longer than `idle_s` connections are kept.
        """
        super().__init__(address,
                         gateway,
                         minthreads=threads[0],
                         maxthreads=threads[1],
                         server_name=server_name)
        self.requests = _ThreadPool(self, min=threads[0], max=threads[1])
        self._connections: connections.ConnectionManager | None = None
        self.count = count
        self.limits: idle_limits.Limits = ()
        self.read_timeout_s = 0.0
        self.head_timeout_s = 0.0
        self.connection_limit = connection_limit.Tracker()
        self.limit_idle_time(idle_s, slack_s)

    def prepare(self) -> None:
        """Opens the listening socket and starts the worker threads."""
        super().prepare()
        self.connection_limit.limit_buffers(self.socket)
        unused = self._connections
        self._connections = _IdleConnections(self)
        unused.close()

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Lets a worker thread process a connection."""
        conn.socket.settimeout(
            max(conn.socket.gettimeout(), self.read_timeout_s))
        super().process_conn(conn)

    def end_reads(self) -> None:
        """Ends the requests that worker threads serve, also during a stop.

        Their callers count as having left.
        """
        self.requests.end_reads()

    def limit_idle_time(self,
                        idle_s: float,
                        slack_s: float = 0.0,
                        head_s: float = 0.0) -> None:
        """Changes how long connections may be idle from now on.

        Args:
            idle_s: The time that callers know.
            slack_s: How much longer connections are kept.
            head_s: How long callers may take to send a head.
        """
        # cheroot tells callers of HTTP/1.0 this time; it must be whole. It also
        # limits TLS handshakes.
        self.timeout = max(_MIN_TOLD_S, int(idle_s))
        self.read_timeout_s = max(idle_s + slack_s, head_s)
        self.head_timeout_s = head_s or self.read_timeout_s
        self.limits = idle_limits.replace(self.limits, idle_s + slack_s,
                                          time.monotonic())


class _ThreadPool(threadpool.ThreadPool):
    """Worker threads for which a stop waits on the monotonic clock."""

    _stopping: collections.abc.Collection[threadpool.WorkerThread] = ()

    def end_reads(self) -> None:
        """Ends the reading from the callers of all worker threads."""
        for worker in [*self._threads, *self._stopping]:
            self._force_close(worker.conn)

    def stop(self, timeout: float = 5.0) -> None:
        """Waits for the worker threads; later ends what they still read.

        Args:
            timeout: Time after which reads are ended, in seconds.
        """
        self._stopping = [*self._threads]
        timer = threading.Timer(timeout, self.end_reads)
        timer.daemon = True
        timer.start()
        super().stop(None)
        timer.cancel()


class _IdleConnections(connections.ConnectionManager):
    """The idle connections of a server."""

    def put(self, conn: server.HTTPConnection) -> None:
        """Adds an idle connection."""
        conn.last_used = time.monotonic()
        if conn.rfile.has_data():
            self.server.process_conn(conn)
        else:
            self._selector.register(conn.socket.fileno(), selectors.EVENT_READ,
                                    conn)

    def _from_server_socket(
            self, server_socket: socket.socket) -> server.HTTPConnection | None:
        limit = self.server.connection_limit
        if limit.is_reached() and not self._close_unused():
            if limit.refuse(server_socket):
                self.server.count("connection_refused")
            return None
        conn = super()._from_server_socket(server_socket)
        if conn is not None:
            limit.add(conn)
            conn.socket.settimeout(self.server.read_timeout_s)
        return conn

    def _close_unused(self) -> bool:
        """Closes some of the connections that are least needed."""
        candidates = {
            fd: connection_limit.Waiting(fd, conn.has_served, conn.last_used)
            for fd, conn in [*self._selector.connections]
            if conn is not self.server
        }
        by_fd = dict(self._selector.connections)
        chosen = [
            fd for fd in connection_limit.choose_unused(candidates.values(),
                                                        time.monotonic())
            if not _is_readable(fd)
        ]
        for fd in chosen:
            self._selector.unregister(fd)
            by_fd[fd].close()
            self.server.count("unused_connection_closed")
        return bool(chosen)

    def stop(self) -> None:
        """Ends the loop, then processes what had arrived before its end."""
        super().stop()
        end_s = time.monotonic() + _MAX_STOP_S
        while self._process_ready(0.0) and time.monotonic() < end_s:
            pass

    def close(self) -> None:
        """Closes the connections on which nothing has arrived.

        The worker threads end after they have served the others.
        """
        closed, kept = 0, 0
        for fd, conn in [*self._selector.connections]:
            if conn is self.server:
                continue
            self._selector.unregister(fd)
            if _is_readable(fd):
                kept += 1
                self.server.process_conn(conn)
            else:
                closed += 1
                conn.close()
        self._selector.close()
        self.server.connection_limit.close_refused(is_stopping=True)
        if closed or kept:
            _logger.info("connections closed by the stop",
                         extra={
                             "connections": closed,
                             "with_request": kept
                         })

    def _run(self, expiration_interval: float) -> None:
        """Serves connections until a stop is requested.

        Checks for connections to close on the monotonic clock, as the time of
        day may be set.

        Args:
            expiration_interval: Time between two checks, in seconds.
        """
        check_s = time.monotonic() + expiration_interval
        while not self._stop_requested:
            self._process_ready(expiration_interval)
            if time.monotonic() >= check_s:
                self.server.connection_limit.close_refused()
                self._close_expired()
                check_s = time.monotonic() + expiration_interval

    def _process_ready(self, timeout_s: float) -> bool:
        """Accepts and processes connections; returns whether there were any."""
        try:
            ready = [*self._selector.select(timeout=timeout_s)]
        except OSError as error:
            _logger.warning("waiting for connections failed",
                            extra={"reason": str(error)})
            self._remove_invalid_sockets()
            return False
        for fd, conn in ready:
            if conn is self.server:
                conn = self._from_server_socket(self.server.socket)
            else:
                self._selector.unregister(fd)
            if conn is not None:
                self.server.process_conn(conn)
        return bool(ready)

    def _close_expired(self) -> None:
        """Closes connections whose time is over and on which nothing arrived.

        The thread that waits for connections may have been busy, so that the
        time of a connection ended after its next request had arrived.
        """
        now_s = time.monotonic()
        limits = self.server.limits
        closed, kept, oldest_s = 0, 0, 0.0
        for fd, conn in [*self._selector.connections]:
            if (conn is self.server or
                    idle_limits.find_end_s(limits, conn.last_used) > now_s):
                continue
            if _is_readable(fd):
                # The next call of `select` returns it.
                kept += 1
                continue
            self._selector.unregister(fd)
            conn.close()
            self.server.count("idle_connection_closed")
            closed, oldest_s = closed + 1, max(oldest_s, now_s - conn.last_used)
        if closed or kept:
            _logger.info("idle connections closed",
                         extra={
                             "connections": closed,
                             "oldest_s": round(oldest_s, 2),
                             "limit_s": limits[-1].idle_s,
                             "with_request": kept
                         })


def _is_readable(fd: int) -> bool:
    """Returns whether bytes or the end of the stream have arrived."""
    poll = select.poll()
    poll.register(fd, select.POLLIN)
    return bool(poll.poll(0))
