"""The hash ring: the positions of weighted virtual nodes (points) and the servers that own them.

Consistent hashing with virtual nodes: a change of one server moves only the keys next to its own points.
Points are kept in sorted buckets, so that a change touches a few small arrays.
"""

from __future__ import annotations

import hashlib
import math
import struct
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from myrtlecourse.policy.state import Server

# A point is stored as a number of 60 bits, which compiled code handles without an object: the bits of its
# position that follow the bucket number, then the number of its server, then the number of the node
BUCKET_BITS = 13
SERVER_BITS = 16
NODE_BITS = 7
KEPT_BITS = 36  # bits of a position that are stored, after those of its bucket number
BUCKETS = 1 << BUCKET_BITS
MAX_SERVERS = 1 << SERVER_BITS
MAX_NODES = 1 << NODE_BITS  # virtual nodes per server, at least `tuning.POINTS`
OWNER_BITS = SERVER_BITS + NODE_BITS
DROPPED_BITS = 64 - BUCKET_BITS - KEPT_BITS  # the last bits of a position, which are not stored
KEPT_MASK = (1 << KEPT_BITS) - 1
BULK_SERVERS = 64  # least number of servers changed at once for which whole buckets are sorted
BULK_BATCH = 1024  # servers per sort, which bounds memory: until the sort, each of their points is an object


def ring_hash(text: str) -> tuple[int, ...]:
    """Return positions on the ring for a text; a key uses the first one."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def _digests(server: str, count: int) -> bytes:
    """Return the positions of at least `count` virtual nodes of a server, eight bytes each."""
    name = f"{server}-vnode-".encode()
    return b"".join([hashlib.blake2b(name + b"%d" % j).digest() for j in range(math.ceil(count / 8))])


def kept_nodes(server: str, count: int) -> list[int]:
    """Return the positions of the first `count` virtual nodes of a server, without the bits not stored.

    Each still starts with its bucket number. A larger count adds nodes and moves none.
    """
    digests = _digests(server, count)
    # unpacked as 32-bit halves: compiled code stores these, and the results, without objects
    halves: tuple[int, ...] = struct.unpack(f">{len(digests) // 4}I", digests)
    return [
        halves[2 * node] << (32 - DROPPED_BITS) | halves[2 * node + 1] >> DROPPED_BITS
        for node in range(count)
    ]


def bucket_of(position: int) -> int:
    """Return the number of the bucket that holds a position."""
    return position >> (64 - BUCKET_BITS)


def point_of(position: int, number: int, node: int) -> int:
    """Return the point of a server's virtual node as its bucket stores it."""
    return (position >> DROPPED_BITS & KEPT_MASK) << OWNER_BITS | number << NODE_BITS | node


class Ring:
    """Virtual nodes in the order of their positions, in buckets.

    The cost of adding, removing or resizing a server depends on its own points only.
    """

    def __init__(self) -> None:
        self.buckets = [array("Q") for _ in range(BUCKETS)]
        self.servers: list[Server | None] = []  # indexed by number; None for free numbers
        self.free_numbers: list[int] = []
        self.point_count = 0

    def set_points(self, server: Server, count: int) -> None:
        """Set the number of a server's points; those that it keeps don't move."""
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
        """Set the points of many servers; cheaper than one by one, as each bucket is sorted once."""
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
        """Add the missing points of servers, sorting each bucket once."""
        buckets: list[list[int]] = [[] for _ in range(BUCKETS)]
        for server, count in pairs:
            missing = self._missing_points(server, count)
            for number, point in missing:
                buckets[number].append(point)
            self._set_count(server, server.ring_points + len(missing))
        for bucket, points in enumerate(buckets):
            if points:
                self.buckets[bucket] = array("Q", sorted([*self.buckets[bucket], *points]))

    def _add(self, server: Server, count: int) -> None:
        """Add the missing points of a server."""
        missing = self._missing_points(server, count)
        for number, point in missing:
            insort(self.buckets[number], point)
        self._set_count(server, server.ring_points + len(missing))

    def _missing_points(self, server: Server, count: int) -> list[tuple[int, int]]:
        """Return the missing points of a server, each with the number of its bucket."""
        if count <= server.ring_points or not self._assign_number(server):
            return []
        nodes = kept_nodes(server.entry.server, count)
        number = server.ring_number << NODE_BITS
        return [
            (nodes[node] >> KEPT_BITS, (nodes[node] & KEPT_MASK) << OWNER_BITS | number | node)
            for node in range(server.ring_points, count)
        ]

    def _assign_number(self, server: Server) -> bool:
        """Give a server a number unless it has one. Return False if no number is free."""
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
        """Record a server's number of points, and free its number if it has none."""
        if count == server.ring_points:
            return
        self.point_count += count - server.ring_points
        server.ring_points = count
        if not count:
            self.servers[server.ring_number] = None
            self.free_numbers.append(server.ring_number)
            server.ring_number = -1

    def transfer_points(self, former: Server, server: Server) -> None:
        """Transfer the points of a server to the later process of the same name that replaces it."""
        server.ring_points, former.ring_points = former.ring_points, 0
        server.ring_number, former.ring_number = former.ring_number, -1
        if server.ring_number >= 0:
            self.servers[server.ring_number] = server

    def walk(self, key: str, max_points: int) -> Iterator[tuple[Server, float]]:
        """Yield the servers clockwise from a key, point by point, each with the point's rank.

        The rank is the point's number among those of its server, scaled to between 0 and 1: a share of 0.3 of
        a server's points consists of those with a rank below 0.3. The walk visits at most `max_points` points
        and ends after one round of the ring.
        """
        position = ring_hash(key)[0]
        number = bucket_of(position)
        bucket = self.buckets[number]
        index = bisect_left(bucket, point_of(position, 0, 0))
        for _ in range(min(max_points, self.point_count)):
            while index >= len(bucket):
                number = (number + 1) % BUCKETS
                bucket = self.buckets[number]
                index = 0
            point = bucket[index]
            index += 1
            server = self.servers[point >> NODE_BITS & (MAX_SERVERS - 1)]
            if server is not None:
                yield server, ((point & (MAX_NODES - 1)) + 0.5) / server.ring_points

    def points(self) -> Iterator[tuple[int, Server]]:
        """Yield all positions in their order, without the bits that are not stored, and their servers."""
        for number, bucket in enumerate(self.buckets):
            for point in bucket:
                server = self.servers[point >> NODE_BITS & (MAX_SERVERS - 1)]
                if server is not None:
                    position = number << (64 - BUCKET_BITS) | point >> OWNER_BITS << DROPPED_BITS
                    yield position, server
