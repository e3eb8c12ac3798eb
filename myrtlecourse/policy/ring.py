"""The ring: positions of weighted virtual nodes, and the servers whose they are."""

from __future__ import annotations

import hashlib
import math
import struct
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from myrtlecourse.policy.state import Server

# A point is one number of 60 bits, which compiled code holds without an object: the leading bits of its
# position behind those that name its bucket, then whose it is
BUCKET_BITS = 13
SERVER_BITS = 16
NODE_BITS = 7
KEPT_BITS = 36  # of a position, behind those that name its bucket
BUCKETS = 1 << BUCKET_BITS
MAX_SERVERS = 1 << SERVER_BITS
MAX_NODES = 1 << NODE_BITS  # of one server: `tuning.POINTS` at most
OWNER_BITS = SERVER_BITS + NODE_BITS
DROPPED_BITS = 64 - BUCKET_BITS - KEPT_BITS  # at a position's end, which are not kept
KEPT_MASK = (1 << KEPT_BITS) - 1
BULK_SERVERS = 64  # servers placed at once, from which on buckets are sorted whole
BULK_BATCH = 1024  # servers whose points are gathered before that: each is an object meanwhile


def ring_hash(text: str) -> tuple[int, ...]:
    """Positions on the ring: a key takes the first, a server all of them."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def _digests(server: str, count: int) -> bytes:
    """At least so many virtual nodes of a server, eight bytes each."""
    name = f"{server}-vnode-".encode()
    return b"".join([hashlib.blake2b(name + b"%d" % j).digest() for j in range(math.ceil(count / 8))])


def kept_nodes(server: str, count: int) -> list[int]:
    """What is kept of each of the first virtual nodes of a server, its bucket's number included.

    More weight adds to them and moves none.
    """
    digests = _digests(server, count)
    # in halves, which compiled code holds without an object, as it does all that is made of them
    halves: tuple[int, ...] = struct.unpack(f">{len(digests) // 4}I", digests)
    return [
        halves[2 * node] << (32 - DROPPED_BITS) | halves[2 * node + 1] >> DROPPED_BITS
        for node in range(count)
    ]


def bucket_of(position: int) -> int:
    """The number of the bucket that holds a position."""
    return position >> (64 - BUCKET_BITS)


def point_of(position: int, number: int, node: int) -> int:
    """A virtual node of the server that has a number, as its bucket holds it."""
    return (position >> DROPPED_BITS & KEPT_MASK) << OWNER_BITS | number << NODE_BITS | node


class Ring:
    """Virtual nodes in the order of their positions, in buckets of which a change touches a few.

    A server that comes, goes or changes its size costs what its own points cost, whatever others there are.
    """

    def __init__(self) -> None:
        self.buckets = [array("Q") for _ in range(BUCKETS)]
        self.servers: list[Server | None] = []  # by number
        self.free_numbers: list[int] = []  # numbers
        self.point_count = 0  # points

    def set_points(self, server: Server, count: int) -> None:
        """Give a server so many points; those that it keeps stay where they are."""
        self._add(server, count)
        if count < server.ring_points:
            nodes = kept_nodes(server.entry.server, server.ring_points)
            number = server.ring_number << NODE_BITS
            for node in range(count, server.ring_points):
                bucket = self.buckets[nodes[node] >> KEPT_BITS]
                point = (nodes[node] & KEPT_MASK) << OWNER_BITS | number | node
                del bucket[bisect_left(bucket, point)]
            self._set_count(server, count)

    def set_all_points(self, counts: Iterable[tuple[Server, int]]) -> None:
        """The same for many, cheaper in all: each bucket is sorted once."""
        pairs = list(counts)
        if len(pairs) < BULK_SERVERS:
            for server, count in pairs:
                self.set_points(server, count)
            return
        for server, count in pairs:
            if count < server.ring_points:
                self.set_points(server, count)
        for start in range(0, len(pairs), BULK_BATCH):
            self._add_in_bulk(pairs[start : start + BULK_BATCH])

    def _add_in_bulk(self, pairs: list[tuple[Server, int]]) -> None:
        """Give servers the points that they lack, and sort each bucket once."""
        buckets: list[list[int]] = [[] for _ in range(BUCKETS)]
        for server, count in pairs:
            lacking = self._missing_points(server, count)
            for number, point in lacking:
                buckets[number].append(point)
            self._set_count(server, server.ring_points + len(lacking))
        for bucket, points in enumerate(buckets):
            if points:
                self.buckets[bucket] = array("Q", sorted([*self.buckets[bucket], *points]))

    def _add(self, server: Server, count: int) -> None:
        """Give a server the points that it lacks."""
        lacking = self._missing_points(server, count)
        for number, point in lacking:
            insort(self.buckets[number], point)
        self._set_count(server, server.ring_points + len(lacking))

    def _missing_points(self, server: Server, count: int) -> list[tuple[int, int]]:
        """The points that a server lacks, each with the number of its bucket."""
        if count <= server.ring_points or not self._assign_number(server):
            return []
        nodes = kept_nodes(server.entry.server, count)
        number = server.ring_number << NODE_BITS
        return [
            (nodes[node] >> KEPT_BITS, (nodes[node] & KEPT_MASK) << OWNER_BITS | number | node)
            for node in range(server.ring_points, count)
        ]

    def _assign_number(self, server: Server) -> bool:
        """See to it that a server has a number; False when there is none left."""
        if server.ring_number >= 0:
            return True
        if self.free_numbers:
            server.ring_number = self.free_numbers.pop()
            self.servers[server.ring_number] = server
            return True
        if len(self.servers) >= MAX_SERVERS:
            return False
        server.ring_number = len(self.servers)
        self.servers.append(server)
        return True

    def _set_count(self, server: Server, count: int) -> None:
        if count == server.ring_points:
            return
        self.point_count += count - server.ring_points
        server.ring_points = count
        if not count:
            self.servers[server.ring_number] = None
            self.free_numbers.append(server.ring_number)
            server.ring_number = -1

    def transfer_points(self, former: Server, server: Server) -> None:
        """A server takes over the points of a former process of its own name."""
        server.ring_points, former.ring_points = former.ring_points, 0
        server.ring_number, former.ring_number = former.ring_number, -1
        if server.ring_number >= 0:
            self.servers[server.ring_number] = server

    def walk(self, key: str, most: int) -> Iterator[tuple[Server, float]]:
        """The servers clockwise from a key, point by point, each with the point's rank among its own.

        At most `most` points, and no more than one tour.
        """
        position = ring_hash(key)[0]
        number = bucket_of(position)
        bucket = self.buckets[number]
        at = bisect_left(bucket, point_of(position, 0, 0))
        for _ in range(min(most, self.point_count)):
            while at >= len(bucket):
                number = (number + 1) % BUCKETS
                bucket = self.buckets[number]
                at = 0
            point = bucket[at]
            at += 1
            server = self.servers[point >> NODE_BITS & (MAX_SERVERS - 1)]
            if server is not None:
                yield server, ((point & (MAX_NODES - 1)) + 0.5) / server.ring_points

    def points(self) -> Iterator[tuple[int, Server]]:
        """All positions in their order, as far as they are kept, and whose they are."""
        for number, bucket in enumerate(self.buckets):
            for point in bucket:
                server = self.servers[point >> NODE_BITS & (MAX_SERVERS - 1)]
                if server is not None:
                    position = number << (64 - BUCKET_BITS) | point >> OWNER_BITS << DROPPED_BITS
                    yield position, server
