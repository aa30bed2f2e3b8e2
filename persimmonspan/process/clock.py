"""Clock for the age of data that other processes may have changed meanwhile.

The monotonic clock of Linux stands still while a VM is suspended. What was read
before would still count as fresh after it.
"""

import time


def now_s() -> float:
    """Returns a time that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
