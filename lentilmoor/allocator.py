"""Settings of the C library's memory allocator.

By default, glibc raises the size from which blocks are returned to the system
with each large block that is freed, and has a heap for each few threads, each
of which keeps what is freed in it. A process that has held large bodies then
keeps their memory several times over.
"""

import ctypes

# Numbers of glibc's malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
# Blocks from this size are returned to the system as soon as they are freed. A
# configuration of the largest size, and the reply that holds it, are smaller:
# their blocks are used again, as new pages cost time.
_MMAP_THRESHOLD_BYTES = 2 * 1024 * 1024
# Free memory at the end of the heap that is kept for the next blocks.
_TRIM_THRESHOLD_BYTES = 8 * 1024 * 1024


def return_freed_memory() -> bool:
    """Makes the allocator return large blocks; returns whether it can.

    Only glibc has these settings. To be called before threads are started.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return (mallopt is not None and
            mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES) == 1 and
            mallopt(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES) == 1 and
            mallopt(_M_ARENA_MAX, 1) == 1)
