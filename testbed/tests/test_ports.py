"""Tests of the ports that tests give to the processes they start."""

import pathlib
import socket

from testbed import processes

_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_port_of_a_process_is_taken_by_no_outgoing_connection():
    first = int(_RANGE.read_text(encoding="ascii").split()[0])
    assert all(processes.free_port() < first for _ in range(200))


def test_port_is_not_given_twice_before_its_process_listens():
    ports = [processes.free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    with socket.create_server(("127.0.0.1", ports[0])):
        assert processes.free_port() != ports[0]
