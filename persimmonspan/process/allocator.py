"""Makes the C allocator give large buffers back to the system.

By default, glibc raises the size from which it maps buffers separately to that
of the largest one freed so far, and keeps up to eight heaps for each processor.
Freed bodies of requests then stay resident, in several heaps.
"""

import ctypes
import logging

_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
# Bodies above this are mapped separately. Setting it fixes it.
_MMAP_THRESHOLD_BYTES = 128 * 1024
_MAX_ARENAS = 2

_logger = logging.getLogger(__name__)


def limit_retained_memory() -> None:
    """Configures glibc; must be called before threads are started."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        _logger.warning("the allocator has no limits",
                        extra={"reason": str(error)})
        return
    mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
    mallopt(_M_ARENA_MAX, _MAX_ARENAS)
