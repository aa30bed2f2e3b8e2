"""Guards the threads that all streams share."""

import threading

from persimmonspan.connection import relay


def test_failed_report_does_not_end_the_reports_of_others():
    # Guards against a dead reporting thread, on which reports pile up.
    done = threading.Event()
    relays = relay.Relay(lambda gap_s, count: None)
    relays.start()
    try:
        relays.call_soon(int, "not a number")
        relays.call_soon(done.set)
        assert done.wait(10)
    finally:
        relays.stop()
