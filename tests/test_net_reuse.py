"""When a connection to a server may carry its next request, and what waits until then."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.connection import Connection
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.reuse_delay import (
    MAX_REUSE_DELAY,
    MIN_REUSE_DELAY,
    OBSERVATION_MEMORY,
    OBSERVED_FACTOR,
    ReuseDelay,
)
from myrtlecourse.net.servers import CacheConnection
from tests.loopback import HIT, MISS, Link, Peer, http, run

VALUE = http("200 OK", b"value")
BUSY_ORIGIN = http("503 Busy", b"", "Not-Started: 1")
STALE = [
    (CacheConnection, HIT),
    (CacheConnection, MISS),
    (CacheConnection, b"-BUSY\r\n"),
    (CacheConnection, b"-ERR failed\r\n"),
    (OriginConnection, VALUE),
    (OriginConnection, BUSY_ORIGIN),
]


class Attempts:
    """Starts attempts of one protocol and collects their outcomes in the order of their ends."""

    def __init__(self, kind: type[Connection], budget: int = 8) -> None:
        self.kind = kind
        self.pool = Pool(kind, budget, 1.0, 60.0)
        self.outcomes: asyncio.Queue[tuple[str, Status, bytes]] = asyncio.Queue()

    def start(self, peer: Peer, name: str, value: bytes | None = None) -> Exchange:
        verb = b"C.GET" if value is None else b"C.SET"
        command = Command(verb, b"k", name.encode(), {"c": "read", "d": "900"}, 900, value)
        return self.pool.start_attempt(
            peer.address, command, 0.5, lambda status, value: self.outcomes.put_nowait((name, status, value))
        )

    async def received(self, link: Link) -> str:
        """Return the id of the next request on a connection."""
        if self.kind is CacheConnection:
            return str((await link.resp())[2].decode())
        return (await link.http())[1]["request-id"]

    def value_answer(self, value: bytes) -> bytes:
        if self.kind is CacheConnection:
            return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
        return http("200 OK", value)

    async def answered_link(self, peer: Peer, name: str, answer: bytes) -> Link:
        """Return a new connection that has carried a request and its answer."""
        self.start(peer, name)
        link = await peer.link()
        assert await self.received(link) == name
        link.write(answer)
        await self.outcomes.get()
        return link

    def let_idle(self, seconds: float) -> None:
        """Have all idle connections be idle for longer, by so many seconds."""
        for connection in self.pool.idle:
            connection.idle_since -= seconds


@pytest.mark.parametrize(("kind", "answer"), STALE)
def test_a_late_second_answer_is_not_taken_for_the_next_requests_answer(
    kind: type[Connection], answer: bytes
) -> None:
    """Incident 62: the next request was served another's value, or repeated although it ran."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(kind)
            first = await attempts.answered_link(peer, "r1", answer)
            attempts.start(peer, "r2")
            first.write(answer)  # the second answer
            assert await first.ended()
            second = await peer.link()
            assert await attempts.received(second) == "r2"
            assert attempts.outcomes.empty()
            second.write(attempts.value_answer(b"of r2"))
            assert await attempts.outcomes.get() == ("r2", Status.OK, b"of r2")
            attempts.pool.close()

    run(scenario)


# Guards against a cache server's second answer, 15 ms late, that is served to the next request (review/3).
def test_a_second_answer_15_ms_late_is_not_served_to_the_next_read() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection)
            first = await attempts.answered_link(peer, "r1", HIT)
            attempts.let_idle(0.0149)
            attempts.start(peer, "r2")
            first.write(HIT)
            assert await first.ended()
            second = await peer.link()
            assert await attempts.received(second) == "r2"
            second.write(attempts.value_answer(b"of r2"))
            assert await attempts.outcomes.get() == ("r2", Status.OK, b"of r2")
            attempts.pool.close()

    run(scenario)


def test_a_connection_is_used_again_sooner_where_no_descriptor_is_free_for_another() -> None:
    """A dial in its place would close a connection for each request, at a handshake each."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection, budget=1)
            link = await attempts.answered_link(peer, "r1", HIT)
            attempts.let_idle(MIN_REUSE_DELAY)
            attempts.start(peer, "r2")
            assert await attempts.received(link) == "r2"
            assert not attempts.pool.dial_counts
            attempts.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (HIT, Status.CONNECT_FAILED),
        (MISS, Status.CONNECT_FAILED),
        (b"-BUSY\r\n", Status.FULL),
        (b"-ERR failed\r\n", Status.ERROR),
        (b"*3\r\n$70000\r\n" + b"x" * 70000, Status.ERROR),
    ],
)
def test_an_answer_that_comes_before_the_end_of_a_request_is_not_its_own(
    answer: bytes, status: Status
) -> None:
    """A client was served another request's value while its own write was still on the way."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection)
            attempts.start(peer, "r1", b"x" * 32_000_000)
            link = await peer.link()
            await link.reader.read(1)
            link.write(answer)
            assert await attempts.outcomes.get() == ("r1", status, b"")
            assert not attempts.pool.connections

    run(scenario)


def test_an_exchange_waits_for_a_connection_that_may_be_reused_soon() -> None:
    """A dial in its place would cost the server a handshake for a few milliseconds."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(OriginConnection)
            link = await attempts.answered_link(peer, "r1", VALUE)
            attempts.start(peer, "r2")
            attempts.start(peer, "r3")  # the connection serves one of them
            assert attempts.pool.dial_counts == {peer.address: 1}
            other = await peer.link()
            assert await attempts.received(other) == "r3"
            assert await attempts.received(link) == "r2"
            attempts.pool.close()

    run(scenario)


def test_an_exchange_that_waited_is_dialled_when_its_connection_ends() -> None:
    """The second answer ends the connection that the exchange waits for, and nothing else would start it."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(OriginConnection)
            link = await attempts.answered_link(peer, "r1", VALUE)
            attempts.start(peer, "r2")
            link.write(VALUE)
            assert await link.ended()
            other = await peer.link()
            assert await attempts.received(other) == "r2"
            attempts.pool.close()

    run(scenario)


def test_an_exchange_given_up_while_it_waits_is_not_sent() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(OriginConnection)
            link = await attempts.answered_link(peer, "r1", VALUE)
            attempts.start(peer, "r2").abandon()
            await asyncio.sleep(MIN_REUSE_DELAY)
            attempts.start(peer, "r3")
            assert await attempts.received(link) == "r3"
            assert attempts.outcomes.empty()
            attempts.pool.close()

    run(scenario)


def test_requests_one_after_another_need_one_connection() -> None:
    """Dials in place of the delay took connections that the origin's other routers needed."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(OriginConnection)
            link = await attempts.answered_link(peer, "r1", VALUE)
            for name in ("r2", "r3", "r4"):
                attempts.start(peer, name)
                assert await attempts.received(link) == name
                link.write(VALUE)
                assert await attempts.outcomes.get() == (name, Status.OK, b"value")
            assert peer.links.empty() and len(attempts.pool.connections) == 1
            attempts.pool.close()

    run(scenario)


def test_a_failed_dial_does_not_fail_what_waits_for_an_open_connection() -> None:
    """An unsafe request would fail although its server answers on another connection."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(OriginConnection)
            link = await attempts.answered_link(peer, "r1", VALUE)
            attempts.start(peer, "r2")
            peer.server.close()
            attempts.start(peer, "r3")  # dials
            assert await attempts.outcomes.get() == ("r3", Status.CONNECT_FAILED, b"")
            assert await attempts.received(link) == "r2"
            attempts.pool.close()

    run(scenario)


def test_a_read_is_not_held_up_by_a_connection_to_a_cache_server() -> None:
    """The wait looked like a lost attempt: hedged requests filled a cold server, which refused reads."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection)
            await attempts.answered_link(peer, "r1", HIT)
            attempts.start(peer, "r2")
            assert attempts.pool.dial_counts == {peer.address: 1}
            other = await peer.link()
            assert await attempts.received(other) == "r2"
            attempts.pool.close()

    run(scenario)


def test_a_connection_that_carried_nothing_is_used_at_once() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection)
            exchange = attempts.start(peer, "r1")
            exchange.abandon()
            link = await peer.link()
            while not attempts.pool.idle:
                await asyncio.sleep(0)
            attempts.start(peer, "r2")
            assert not attempts.pool.dial_counts
            assert await attempts.received(link) == "r2"
            attempts.pool.close()

    run(scenario)


def test_a_second_answer_that_comes_later_extends_the_delay() -> None:
    """Second answers that come later than the shortest delay would cross requests again and again."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = Attempts(CacheConnection)
            link = await attempts.answered_link(peer, "r1", HIT)
            attempts.let_idle(MAX_REUSE_DELAY / 2)
            link.write(HIT)
            assert await link.ended()
            first = await attempts.answered_link(peer, "r2", HIT)
            attempts.let_idle(CacheConnection.usual_reuse_delay)
            attempts.start(peer, "r3")  # dials, as the rest of the delay is too long to be waited for
            second = await peer.link()
            assert await attempts.received(second) == "r3"
            first.write(HIT)
            assert await first.ended()
            attempts.pool.close()

    run(scenario)


@given(
    observed=st.lists(
        st.tuples(st.floats(0.0, 2 * OBSERVATION_MEMORY), st.floats(0.0, 2 * MAX_REUSE_DELAY)), max_size=20
    )
)
def test_the_delay_covers_what_was_observed_and_stays_within_its_bounds(
    observed: list[tuple[float, float]],
) -> None:
    delay = ReuseDelay(CacheConnection.usual_reuse_delay)
    now = 0.0
    for pause, since_answer in observed:
        now += pause
        delay.observe_unexpected_bytes(now, since_answer)
        assert CacheConnection.usual_reuse_delay <= delay.seconds(now) <= MAX_REUSE_DELAY
        assert MIN_REUSE_DELAY <= delay.seconds(now, scarce=True) <= delay.seconds(now)
        if since_answer <= MAX_REUSE_DELAY:
            assert delay.seconds(now, scarce=True) >= min(MAX_REUSE_DELAY, OBSERVED_FACTOR * since_answer)
    assert delay.seconds(now + OBSERVATION_MEMORY, scarce=True) == MIN_REUSE_DELAY
