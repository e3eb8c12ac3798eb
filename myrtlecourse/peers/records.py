"""The record that a router publishes about itself: a state-based CRDT (Shapiro et al., 2011).

A record belongs to one router, and only that router makes new ones; the one of the later start wins, then the
one with the higher number. So merging is commutative, associative and idempotent, and tolerates datagrams
that are lost, duplicated or reordered. A record travels with its age instead of a time, as the clocks of two
routers need not agree.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from myrtlecourse.peers.seal import Dropped

EPOCH = 1_735_689_600  # Unix time of 2025-01-01, from which starts are counted in tenths of a second
MAX_NUMBERS = 150  # in one record's payload
MAX_PAYLOAD_SIZE = 180  # bytes that these may take, so that a record always fits into a datagram
MAX_AGE = 600  # tenths of a second; older records carry no information


def start_number(wall: float) -> int:
    """Return the number that stands for a process's start, given in Unix time; later starts are higher."""
    return max(1, int((wall - EPOCH) * 10))


def encoded_size(number: int) -> int:
    """Return the number of bytes that a number takes in MessagePack."""
    return 1 if number < 2**7 else 2 if number < 2**8 else 3 if number < 2**16 else 5 if number < 2**32 else 9


@dataclass(slots=True, frozen=True)
class Record:
    """The latest record of one router's process, as another router holds it."""

    owner: int  # `seal.ident` of its name
    start: int
    number: int  # over 0; grows with each new record
    zone: int  # its zone, `seal.ident` of the zone's name with two bytes
    payload: tuple[int, ...]  # opaque to this module
    made_at: float  # on the clock of the router that holds it

    def is_newer(self, other: Record) -> bool:
        """Return whether the record is of a later start, or has a higher number of the same start."""
        return (self.start, self.number) > (other.start, other.number)

    def merged(self, other: Record) -> Record:
        """Return the newer of two records; of two copies of one record, the older copy.

        Each hop adds to the age of a copy and none takes off, so that the greater age is the safe one.
        """
        if (self.start, self.number) != (other.start, other.number):
            return self if self.is_newer(other) else other
        return self if self.made_at <= other.made_at else other

    @property
    def max_size(self) -> int:
        """The maximum number of bytes that the record takes in a datagram, its age included."""
        numbers = (self.owner, self.start, self.number, self.zone, MAX_AGE, *self.payload)
        return 4 + sum(map(encoded_size, numbers))

    def encode(self, now: float) -> list[Any]:
        """Return the parts of the record that a datagram carries."""
        age = min(MAX_AGE, max(0, round((now - self.made_at) * 10)))
        return [self.owner, self.start, self.number, self.zone, age, list(self.payload)]


def decode_record(parts: Any, now: float) -> Record:
    """Validate a record that has arrived, and return it.

    Raises:
        Dropped: the record is malformed.
    """
    if not isinstance(parts, list) or len(parts) != 6 or not isinstance(parts[5], list):
        raise Dropped("malformed")
    owner, start, number, zone, age, payload = parts
    numbers = (owner, start, number, zone, age, *payload)
    if len(payload) > MAX_NUMBERS or any(type(n) is not int or not 0 <= n < 2**40 for n in numbers):
        raise Dropped("malformed")
    if not (owner and start and number) or age > MAX_AGE:
        raise Dropped("malformed")
    return Record(owner, start, number, zone, tuple(payload), now - age / 10)
