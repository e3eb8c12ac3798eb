"""What a router says of itself, as a value that others pass on: a state-based CRDT (Shapiro et al., 2011).

A record belongs to one router and only that router makes new ones: the later start wins, then the higher
number. So merging is commutative, associative and idempotent, whatever is lost, copied or out of order. Its
age travels with it in place of a time, as clocks of two routers need not agree.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from myrtlecourse.peers.seal import Dropped

EPOCH = 1_735_689_600  # Unix time of 2025-01-01, from which starts are counted, in tenths of a second
MAX_NUMBERS = 150  # numbers in one record
MAX_PAYLOAD_SIZE = 180  # bytes that they may take, so that a record always fits into a datagram
MAX_AGE = 600  # tenths of a second; what is older says nothing any more


def start_number(wall: float) -> int:
    """A process's start as others know it, by the Unix time in seconds: later ones are higher."""
    return max(1, int((wall - EPOCH) * 10))


def encoded_size(number: int) -> int:
    """Bytes that a number takes in MessagePack."""
    return 1 if number < 2**7 else 2 if number < 2**8 else 3 if number < 2**16 else 5 if number < 2**32 else 9


@dataclass(slots=True, frozen=True)
class Record:
    """What one router's process has said last, as one other holds it."""

    owner: int  # `seal.ident` of its name
    start: int
    number: int  # over 0; grows with each that is made
    zone: int  # where it stands, `seal.ident` of the zone's name with two bytes
    payload: tuple[int, ...]  # for whom it may concern
    made_at: float  # on the holder's own clock

    def is_newer(self, other: Record) -> bool:
        """Whether it is of a later start, or later of the same."""
        return (self.start, self.number) > (other.start, other.number)

    def merged(self, other: Record) -> Record:
        """The one that holds of two. Of the same one, the greater age: each way adds to it, none takes
        off."""
        if (self.start, self.number) != (other.start, other.number):
            return self if self.is_newer(other) else other
        return self if self.made_at <= other.made_at else other

    @property
    def max_size(self) -> int:
        """The most bytes that it takes in a datagram, its age included."""
        numbers = (self.owner, self.start, self.number, self.zone, MAX_AGE, *self.payload)
        return 4 + sum(map(encoded_size, numbers))

    def encode(self, now: float) -> list[Any]:
        """What a datagram carries of it."""
        age = min(MAX_AGE, max(0, round((now - self.made_at) * 10)))
        return [self.owner, self.start, self.number, self.zone, age, list(self.payload)]


def decode_record(parts: Any, now: float) -> Record:
    """A record that came, checked. Raises Dropped."""
    if not isinstance(parts, list) or len(parts) != 6 or not isinstance(parts[5], list):
        raise Dropped("malformed")
    owner, start, number, zone, age, said = parts
    numbers = (owner, start, number, zone, age, *said)
    if len(said) > MAX_NUMBERS or any(type(n) is not int or not 0 <= n < 2**40 for n in numbers):
        raise Dropped("malformed")
    if not (owner and start and number) or age > MAX_AGE:
        raise Dropped("malformed")
    return Record(owner, start, number, zone, tuple(said), now - age / 10)
