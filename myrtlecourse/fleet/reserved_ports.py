"""Ports on loopback for stand-ins, each reserved against all other stand-ins of this machine.

A reservation is a socket of the abstract Unix namespace that is named after the port (unix(7)): it says
nothing about the port itself, which its owner may bind, close and bind again, and the kernel drops it when
the process ends.
"""

from __future__ import annotations

import errno
import random
import socket
from collections import deque

HOST = "127.0.0.1"
PORTS = (10_000, 30_000)  # below those that the system gives out by itself
PREFIX = "\0myrtlecourse port "
RECENT = 200  # reservations behind `free`


class ReservedPort:
    """A port that no other stand-in draws until it is released."""

    def __init__(self, number: int) -> None:
        """Reserve it. Raises OSError with EADDRINUSE if it is reserved or bound, by whomever."""
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
        """Its host and number."""
        return HOST, self.number

    def release(self) -> None:
        """Let others draw it."""
        self._reservation.close()


def _probe(number: int) -> None:
    """Raise OSError if a port is bound for streams or for datagrams."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((HOST, number))


def reserve() -> ReservedPort:
    """Reserve a port at random. Raises OSError if the system has no more sockets."""
    chance = random.SystemRandom()
    while True:
        try:
            return ReservedPort(chance.randrange(*PORTS))
        except OSError as e:
            if e.errno != errno.EADDRINUSE:
                raise


_recent: deque[ReservedPort] = deque()


def free_address() -> tuple[str, int]:
    """An address that is free just now, for a process that is told where to listen.

    It stays reserved until so many more were given that its owner's test is over.
    """
    if len(_recent) == RECENT:
        _recent.popleft().release()
    _recent.append(reserve())
    return _recent[-1].address
