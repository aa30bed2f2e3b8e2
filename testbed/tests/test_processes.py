"""Tests of the ports that tests of several processes use."""

import concurrent.futures
import subprocess
import sys

from testbed import processes

_PROCESSES = 6
_PORTS = 150
_SCRIPT = ("from testbed import processes\n"
           f"print(*(processes.free_port() for _ in range({_PORTS})))\n"
           "input()")


def _start():
    return subprocess.Popen([sys.executable, "-c", _SCRIPT],
                            stdin=subprocess.PIPE,
                            stdout=subprocess.PIPE,
                            text=True)


def test_no_port_is_given_to_two_processes_at_the_same_time():
    with concurrent.futures.ThreadPoolExecutor() as executor:
        started = list(executor.map(lambda _: _start(), range(_PROCESSES)))
    ports = [processes.free_port() for _ in range(_PORTS)]
    for process in started:
        ports += map(int, process.stdout.readline().split())
    for process in started:
        process.communicate("\n")
    assert len(ports) == len(set(ports)) == (_PROCESSES + 1) * _PORTS
