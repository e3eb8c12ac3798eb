"""Reads what Linux tells of a TCP connection (tcp_info, tcp(7))."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios
import time

# offsets of 32-bit fields in tcp_info
RTO_OFFSET = 8  # retransmission timeout in microseconds
LAST_DATA_OFFSET = 52  # milliseconds since data was last received
FIELD_SIZE = 4  # bytes


def data_age(connection: socket.socket) -> float | None:
    """Return the seconds since data was last received on a connection, whether it has been read or not.

    Return None if the kernel does not say: the retransmission timeout is never 0, so that 0 there means that
    the fields were not filled in.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + FIELD_SIZE)
    except OSError:
        return None  # the connection has just ended
    if not any(info[RTO_OFFSET : RTO_OFFSET + FIELD_SIZE]):
        return None
    return int.from_bytes(info[LAST_DATA_OFFSET:], sys.byteorder) / 1000


def arrival_time(connection: socket.socket) -> float:
    """Return when the data that is read now arrived, on the monotonic clock; now, if the kernel does not say.

    This process may have been held up between its arrival and its reading.
    """
    now = time.monotonic()
    return now - (data_age(connection) or 0.0)


def unread_bytes(descriptor: int) -> int:
    """Return how many bytes have been received on a connection and not been read."""
    try:
        count = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(FIELD_SIZE))
    except OSError:
        return 0  # the connection has just ended
    return int.from_bytes(count, sys.byteorder)
