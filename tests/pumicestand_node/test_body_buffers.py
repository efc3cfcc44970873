"""Tests of bodies that arrive in pieces."""

import random
import sys

from pumicestand_node import body_buffers


def test_body_is_that_of_its_pieces():
    rng = random.Random(4)
    buffer = body_buffers.BodyBuffer()
    pieces = [rng.randbytes(rng.choice((1, 50, 5_000))) for _ in range(500)]
    taken = b''
    for piece in pieces:
        buffer.append(piece)
        if rng.random() < 0.1:
            taken += buffer.take()
    while buffer:
        taken += buffer.take()
    assert taken == b''.join(pieces)
    assert buffer.size == 0


def test_very_short_pieces_cost_what_they_weigh():
    chunks = []
    for _ in range(50_000):
        body_buffers.append_piece(chunks, b'xy')
    cost = sys.getsizeof(chunks) + sum(map(sys.getsizeof, chunks))
    assert cost < 1.3 * 100_000
