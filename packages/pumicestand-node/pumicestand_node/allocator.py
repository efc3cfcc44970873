"""Settings of the C library's allocator."""

import ctypes

from pumicestand import log

# From malloc.h of the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks from this size on go back to the system when they are freed. The
# library's own threshold grows with the blocks that are freed, and then the
# process keeps the memory of long bodies.
LARGE_BLOCK_BYTES = 131_072


def return_large_blocks():
    """Have freed blocks returned to the system; return whether it is set.

    Other C libraries have no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        log.logger.bind(event='allocator').info(
            'the allocator keeps its own settings: {}', error
        )
        return False
    return all(
        mallopt(name, LARGE_BLOCK_BYTES) == 1
        for name in (M_MMAP_THRESHOLD, M_TRIM_THRESHOLD)
    )
