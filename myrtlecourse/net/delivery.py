"""How fast a peer takes what was written to it, by the bytes that its system has acknowledged.

An event loop tells of room to write only when a large part of the kernel's buffer is free, for which a slow
peer may need minutes. The kernel can be asked for what the peer has not acknowledged yet (tcp(7), SIOCOUTQ).
"""

from __future__ import annotations

import fcntl
import sys
import termios

from myrtlecourse.net.transport import Transport

MIN_RATE = 4 * 1024  # bytes per second, on average over an interval, below which a stream is given up
COUNT_SIZE = 4  # bytes of the kernel's count


def untaken_bytes(transport: Transport) -> int:
    """Return how many of the bytes written to a transport its peer has not acknowledged.

    The end of the sending direction counts as one byte until it is acknowledged.
    """
    if transport.is_closing():
        return 0
    try:
        count = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(COUNT_SIZE))
    except OSError:  # the connection has just ended
        return 0
    return transport.get_write_buffer_size() + int.from_bytes(count, sys.byteorder)


class DeliveryProgress:
    """How much a peer has taken since a time, while nothing more is written to it."""

    __slots__ = ("since", "transport", "untaken")

    def __init__(self, transport: Transport, now: float) -> None:
        self.transport = transport
        self.since = now  # on the event loop's clock
        self.untaken = untaken_bytes(transport)

    def is_sufficient(self, now: float) -> bool:
        """Return whether the peer has taken bytes at `MIN_RATE` or faster."""
        return self.untaken - untaken_bytes(self.transport) >= MIN_RATE * (now - self.since)
