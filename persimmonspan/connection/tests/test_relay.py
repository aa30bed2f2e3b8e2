"""Tests the threads that all streams share."""

import threading

from persimmonspan.connection import relay


def test_failed_deferred_call_does_not_stop_later_calls():
    # Guards against a failed call that ends the thread, so calls accumulate.
    done = threading.Event()
    stream_relay = relay.Relay(lambda gap_s, count: None)
    stream_relay.start()
    try:
        stream_relay.call_soon(int, "not a number")
        stream_relay.call_soon(done.set)
        assert done.wait(10)
    finally:
        stream_relay.stop()
