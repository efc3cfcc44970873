"""Tests of the loopback networks of a soak."""

import socket

from soak import clusters


def test_network_in_which_an_earlier_node_still_runs_is_left_out():
    """Clients of the soak reached that node in place of their own."""
    first = clusters.LoopbackNetwork()
    first.start()
    number = first.number
    address = (f'127.{number}.0.10', clusters.OUTBOUND_PORT)
    second = clusters.LoopbackNetwork()
    with socket.create_server(address):
        first.close()
        second.start()
        assert second.number != number
    second.close()
