"""The sockets between daemons, whatever addresses they are given."""

import contextlib
import logging
import threading
import time

from persimmonspan.connection import digest_links

_INTERVAL_S = 0.02
_END_S = 5.0


def test_a_malformed_address_leaves_no_socket_open(caplog):
    # The thread made a socket at each interval, and did not end with the
    # daemon, as an open socket keeps the context of ZeroMQ from its end.
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
    thread.join(_END_S)
    assert not thread.is_alive()
    assert len(caplog.records) == 1
