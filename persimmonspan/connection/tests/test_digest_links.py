"""Guards digest links against malformed addresses and connection resets."""

import contextlib
import logging
import os
import select
import socket
import subprocess
import sys
import threading
import time

import zmq

from persimmonspan.connection import digest_links

_INTERVAL_S = 0.02
_THREAD_END_TIMEOUT_S = 5.0


def test_a_malformed_address_leaves_no_socket_open(caplog):
    # Guards against a new socket at each interval if connecting fails. A socket
    # that stays open blocks the termination of the ZeroMQ context, so that the
    # thread does not end with the daemon.
    caplog.set_level(logging.ERROR)
    links = digest_links.Links("127.0.0.1:*", lambda data: None, dict,
                               lambda: _INTERVAL_S)
    links.set_peers(['"no address'])

    def run():
        with contextlib.ExitStack() as stack:
            stack.enter_context(links.running())
            time.sleep(10 * _INTERVAL_S)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(_THREAD_END_TIMEOUT_S)
    assert not thread.is_alive()
    assert len(caplog.records) == 1


def test_wake_after_the_end_writes_to_no_reused_descriptor():
    links = digest_links.Links("127.0.0.1:*", lambda data: None, dict,
                               lambda: _INTERVAL_S)
    before = set(os.listdir("/proc/self/fd"))
    with links.running():
        pass
    reused = [os.eventfd(0, os.EFD_NONBLOCK) for _ in before]
    try:
        links.wake()
        assert not select.select(reused, (), (), 0.0)[0]
    finally:
        for fd in reused:
            os.close(fd)


# A daemon whose thread is blocked while a peer sends more digests than its
# queue held (8) when this failed, and then resets the connection. The queue now
# holds 1,000, and the daemon sends no heartbeats on these connections.
_BLOCKED_DAEMON = """
import threading, time, zmq
from persimmonspan.connection import digest_links

busy = threading.Event()

def receive(data):
    busy.set()
    time.sleep(3.0)

links = digest_links.Links("127.0.0.1:%d", receive, dict, lambda: 0.1)
with links.running():
    busy.wait(10.0)
    time.sleep(4.0)
print("alive")
"""


def test_a_peer_that_resets_while_digests_are_queued_does_not_abort_the_daemon(
):
    # The peer resets the connection while the daemon is blocked. ZeroMQ aborts
    # the process when it sends a heartbeat on a connection that ended while a
    # full queue had stopped its input.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with subprocess.Popen([sys.executable, "-c", _BLOCKED_DAEMON % port],
                          stdout=subprocess.PIPE) as daemon:
        context = zmq.Context()
        push = context.socket(zmq.PUSH)
        push.connect(f"tcp://127.0.0.1:{port}")
        for _ in range(200):
            push.send(b"digest")
        time.sleep(1.0)
        context.destroy(linger=0)
        assert daemon.communicate(timeout=20.0)[0] == b"alive\n"
