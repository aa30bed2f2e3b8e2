"""Starts and ends the processes of a test or a demonstration, by process id."""

import collections.abc
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

_START_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_STOP_TIMEOUT_S = 20.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    """Returns a TCP port of the loopback interface that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.contextmanager
def running(
    module: str,
    *arguments: str,
    port: int | None = None
) -> collections.abc.Iterator[subprocess.Popen[bytes]]:
    """Runs `python -m module` until the block ends.

    Args:
        module: Module to run.
        *arguments: Its command line.
        port: Port on which the process listens once it is ready, or None.

    Yields:
        The process. It is killed at the end if it still runs.

    Raises:
        TimeoutError: The process ended or did not listen in time.
    """
    process = subprocess.Popen([sys.executable, "-m", module, *arguments])
    try:
        if port is not None:
            wait_for_port(port, process)
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGCONT)
        process.kill()
        process.wait(_STOP_TIMEOUT_S)


def wait_for_port(port: int, process: subprocess.Popen[bytes]) -> None:
    """Waits until the port accepts connections.

    Raises:
        TimeoutError: The process ended or did not listen in time.
    """
    end_s = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < end_s and process.poll() is None:
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", port), 1.0).close()
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"process {process.pid} does not listen on port {port}")


def cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    # The process name, in brackets, may contain blanks.
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    user, system = stat.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S
