"""Socket options of the connections to platform services.

An established connection can stop delivering packets for good while new connections
work. Keep-alive probes detect this within ``DEAD_CONNECTION_TIMEOUT_S``, also while a
slow task sends nothing, because the kernel of the other host answers them and not the
task.
"""

import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
DEAD_CONNECTION_TIMEOUT_S = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_COUNT

SocketOption = tuple[int, int, int]


def socket_options() -> list[SocketOption]:
    """Return the socket options of every connection to a platform service."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_CONNECTION_TIMEOUT_S * 1000),
    ]
