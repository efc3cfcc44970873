"""Test of the settings of the C library's allocator."""

import subprocess
import sys

PROGRAM = """
import os
from pumicestand_node import allocator

def resident():
    with open('/proc/self/statm') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')

if not allocator.return_large_blocks():
    raise SystemExit(0)
# The library's own threshold grows with the first block that is freed.
for size in (30_000_000, 8_000_000, 8_000_000):
    block = bytearray(b'x') * size
    kept = bytearray(b'x') * 100_000
    del block
    before = resident()
    blocks = [bytearray(b'x') * 6_000_000 for _ in range(5)]
    kept = bytearray(b'x') * 100_000
    del blocks
    assert resident() - before < 2_000_000, resident() - before
"""


def test_memory_of_long_blocks_goes_back_to_the_system():
    subprocess.run([sys.executable, '-c', PROGRAM], check=True)
