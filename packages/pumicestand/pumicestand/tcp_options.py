"""Socket options of connections that may wait for long."""

import socket

# The kernel closes a connection whose peer is silent after 2 s: idle for one
# second, it sends a probe and awaits the answer for another. A lost probe
# closes a sound connection, so opening a new one has to be cheap.
KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)
