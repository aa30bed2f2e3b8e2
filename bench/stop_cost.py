"""Measures what callers of a stream wait when its engine fails.

    python -m bench.stop_cost --streams 20

prints the pause of streams at the event after the connection to their engine
was reset, in milliseconds. The engine goes on with the run, or it has crashed,
hangs, or is out of reach of new connections. Events come every 20 ms. Daemon
and engines run in this process, over loopback.
"""

import argparse
import statistics

from testbed import edge_world
from testbed import lasting_runs
from testbed import replica

_MS_PER_S = 1000.0


def _measure_pause_ms(failure):
    world = edge_world.EdgeEnvironment()
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, [replica.ConnectionReset()])
    engines.failure = failure
    with world.running():
        _, times_s = lasting_runs.read_events(world)
        engines.hang.clear()
        for stub in engines.stubs.values():
            stub.unblock()
    cut = lasting_runs.CUT_AFTER
    return (times_s[cut] - times_s[cut - 1]) * _MS_PER_S


def main():
    """Prints one line for each way to fail."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=20)
    streams = parser.parse_args().streams
    print("failure     median ms  longest ms")
    for failure in (None, *lasting_runs.FAILURES):
        pauses_ms = [_measure_pause_ms(failure) for _ in range(streams)]
        name = failure.__name__ if failure is not None else "run goes on"
        print(f"{name:<12}{statistics.median(pauses_ms):>9.0f}"
              f"{max(pauses_ms):>12.0f}")


if __name__ == "__main__":
    main()
