"""Ports on loopback for stand-in servers, each reserved against all other stand-ins of this machine.

A reservation is a socket of the abstract Unix namespace that is named after the port (unix(7)). It does not
occupy the port itself, which its owner may bind, close and bind again, and the kernel removes it when the
process ends.
"""

from __future__ import annotations

import errno
import random
import socket
from collections import deque

HOST = "127.0.0.1"
PORTS = (10_000, 30_000)  # below the range of ephemeral ports
PREFIX = "\0myrtlecourse port "
RECENT = 200  # number of latest reservations that `free_address` keeps


class ReservedPort:
    """A port that no other stand-in uses until it is released."""

    def __init__(self, number: int) -> None:
        """Reserve a port. Raises OSError with EADDRINUSE if it is reserved or bound by any process."""
        self.number = number
        self._reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            self._reservation.bind(f"{PREFIX}{number}")
            _probe(number)
        except OSError:
            self._reservation.close()
            raise

    @property
    def address(self) -> tuple[str, int]:
        """The host and port number."""
        return HOST, self.number

    def release(self) -> None:
        """Release the reservation."""
        self._reservation.close()


def _probe(number: int) -> None:
    """Raise OSError if a port is bound for streams or for datagrams."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((HOST, number))


def reserve() -> ReservedPort:
    """Reserve a random port. Raises OSError if the system has no more sockets."""
    generator = random.SystemRandom()
    while True:
        try:
            return ReservedPort(generator.randrange(*PORTS))
        except OSError as e:
            if e.errno != errno.EADDRINUSE:
                raise


_recent: deque[ReservedPort] = deque()


def free_address() -> tuple[str, int]:
    """Return an address that is free now, for a process that is given its address to listen at.

    The address stays reserved until RECENT more were returned; the test that uses it has ended by then.
    """
    if len(_recent) == RECENT:
        _recent.popleft().release()
    _recent.append(reserve())
    return _recent[-1].address
