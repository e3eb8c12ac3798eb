"""The watch on discovery's list, over loopback connections."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.net import discovery as discoveries
from myrtlecourse.net.discovery import ASSUMED_DELIVERY, Discovery, ListError, WatchTimeouts, read_list
from myrtlecourse.net.members import Member
from myrtlecourse.policy import Router
from tests.loopback import Link, Peer, http, run

DEFAULT_TIMEOUTS = WatchTimeouts.from_settings(api.Settings({}, subscribe=True))
ENTRY: dict[str, Any] = {
    "name": "s-1",
    "address": "127.0.0.9:6379",
    "zone": "a",
    "type": "m2",
    "group": 3,
    "status": "in_service",
    "weight": 1.5,
    "since_ms": 1_790_000_000_250,
}


def list_message(index: int, whole: bool, *lines: dict[str, Any]) -> bytes:
    return orjson.dumps({"index": index, "snapshot": whole, "endpoints": lines})


class WatchRecorder:
    """Records what a watch reports to its router, in order; a failure is recorded as None."""

    def __init__(self, peer: Peer, timeouts: WatchTimeouts = DEFAULT_TIMEOUTS) -> None:
        self.updates: asyncio.Queue[tuple[api.ListKind, list[Member]] | None] = asyncio.Queue()
        self.watch = Discovery(
            peer.address,
            41,
            lambda kind, members: self.updates.put_nowait((kind, members)),
            lambda: self.updates.put_nowait(None),
            timeouts,
        )
        self.watch.subscribe()


async def next_request(peer: Peer) -> tuple[str, Link]:
    link = await peer.link()
    return (await link.http())[0], link


def test_an_entry_is_read() -> None:
    index, whole, (member,) = read_list(orjson.loads(list_message(7, True, ENTRY)))
    assert (index, whole, member.address) == (7, True, "127.0.0.9:6379")
    entry = api.ServerEntry("s-1", api.State.READY, "m2", "a", 3, 1.5, 1_790_000_000.25)
    assert member.entry == entry  # its name is the same at every router; the start time is Unix time
    _, _, (old,) = read_list(orjson.loads(list_message(7, True, {**ENTRY, "since_ms": 0})))
    assert old.entry.listed_start == 0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"name": 5}, "name"),
        ({"address": "nowhere"}, "address"),
        ({"address": "127.0.0.1:99999"}, "address"),
        ({"status": "odd"}, "status"),
        ({"weight": "big"}, "weight"),
        ({"group": True}, "group"),
        ({"since_ms": None}, "since_ms"),
    ],
)
def test_a_malformed_entry_is_named(change: dict[str, Any], named: str) -> None:
    with pytest.raises(ListError, match=rf"^known\.endpoints\[1\]\.{named}"):
        read_list({"index": 1, "snapshot": True, "endpoints": [ENTRY, {**ENTRY, **change}]}, "known")


def test_a_watch_goes_on_from_what_it_was_told() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer)
            first, link = await next_request(peer)
            assert first == "GET /registry/instances?after=41&wait_ms=1500 HTTP/1.1"
            link.write(http("200 OK", list_message(43, False, {**ENTRY, "status": "terminating"})))
            kind, (member,) = await recorder.updates.get() or pytest.fail()
            assert kind is api.ListKind.DELTA and member.entry.state is api.State.DRAINING
            first, link = await next_request(peer)
            assert "after=43&" in first
            link.write(http("200 OK", list_message(50, True, ENTRY)))
            assert (await recorder.updates.get() or pytest.fail())[0] is api.ListKind.FULL
            assert "after=50&" in (await next_request(peer))[0]
            recorder.watch.close()

    run(scenario)


def test_asking_again_while_a_watch_is_on_makes_no_second_call() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer)
            recorder.watch.subscribe()
            _, link = await next_request(peer)
            link.write(http("200 OK", list_message(42, False)))
            await recorder.updates.get()
            assert "after=42&" in (await next_request(peer))[0]  # and no other request with 41 before it
            recorder.watch.close()

    run(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        http("503 Busy"),
        http("200 OK", b"not json"),
        http("200 OK", b"[]"),
        http("200 OK", b'{"index":42,"snapshot":false}'),
        http("200 OK", list_message(42, False, {**ENTRY, "address": ""})),
        b"hello\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (discoveries.MAX_LIST + 1) + b" " * 65536,
        b"",
    ],
)
def test_a_failed_call_is_told_and_the_next_starts_from_the_list_held(answer: bytes) -> None:
    """A partial list taken for a full one would drop healthy servers; an exception would end the watch."""

    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer)
            _, link = await next_request(peer)
            link.write(answer)
            link.close()
            assert await recorder.updates.get() is None
            recorder.watch.subscribe()
            assert "after=41&" in (await next_request(peer))[0]
            recorder.watch.close()

    run(scenario)


def test_a_refused_call_is_told() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            pass
        assert await WatchRecorder(peer).updates.get() is None

    run(scenario)


def test_a_silent_discovery_is_given_up_soon() -> None:
    """Its changes are assumed to be known: a router that keeps waiting uses servers that it must not use."""

    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer, WatchTimeouts(0.05, 0.05, 0.05))
            _, link = await next_request(peer)
            assert await recorder.updates.get() is None
            assert await link.ended()

    run(scenario)


@pytest.mark.parametrize("went", ["silent", "reset", "closed within"])
def test_what_a_watch_missed_arrives_by_the_next(went: str) -> None:
    """A watch that fails may lose changes that are on their way."""

    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer, WatchTimeouts(0.05, 0.05, 2.0))
            _, link = await next_request(peer)
            link.write(http("200 OK", list_message(42, False)))
            await recorder.updates.get()
            _, link = await next_request(peer)
            if went == "reset":
                link.reset()
            elif went == "closed within":
                link.write(http("200 OK", list_message(43, False, ENTRY))[:-9])
                link.close()
            assert await recorder.updates.get() is None
            recorder.watch.subscribe()  # the decision module asks for this a little later
            first, link = await next_request(peer)
            assert "after=42&" in first
            link.write(http("200 OK", list_message(43, False, {**ENTRY, "status": "terminating"})))
            _, (member,) = await recorder.updates.get() or pytest.fail()
            assert member.entry.state is api.State.DRAINING
            recorder.watch.close()

    run(scenario)


@given(st.floats(0.0, 30.0), st.floats(0.1, 10.0), st.integers(1, 400))
def test_news_is_there_before_it_counts_as_told(grace: float, window: float, failures: int) -> None:
    """With any settings, a silent watch is given up, and another one answered, before that time."""
    conf = api.Settings(
        {"read": api.RequestClass("read", 1.0)}, subscribe=True, drain_grace=grace, ramp_time=60.0
    )
    conf = replace(conf, fall_window=window)
    for pushed in (False, True):
        settings = replace(conf, subscribe=not pushed)
        timeouts = WatchTimeouts.from_settings(settings)
        router = Router(settings, failures, 0.0)
        for _ in range(failures):
            actions = router.handle(0.0, api.ServerList(api.ListKind.FAILED))
        (pause,) = [a.delay for a in actions if isinstance(a, api.SetTimer)]
        silence = timeouts.poll_time + timeouts.answer_margin
        if pushed:  # changes count as known as soon as the agent has them
            assert silence + pause <= max(grace, 2 * discoveries.MIN_TIMEOUT + grace / 8)
        else:
            assert silence + pause + timeouts.queue_time < ASSUMED_DELIVERY


def test_a_fault_in_taking_a_list_is_told_as_a_failed_call() -> None:
    """A watch that ended without a report would leave the router with its old list for ever."""

    async def scenario() -> None:
        async with Peer() as peer:
            recorder = WatchRecorder(peer)

            def faulty(kind: api.ListKind, members: list[Member]) -> None:
                raise RuntimeError("a fault")

            recorder.watch.on_list = faulty
            _, link = await next_request(peer)
            link.write(http("200 OK", list_message(42, False, ENTRY)))
            assert await recorder.updates.get() is None and recorder.watch.watch_task is None
            recorder.watch.subscribe()
            assert "after=41&" in (await next_request(peer))[0]  # the list has to be sent again
            recorder.watch.close()

    run(scenario)


def test_a_moved_watch_starts_anew_and_the_old_one_tells_nothing() -> None:
    """Each discovery has its own index: asked for changes after that of another one, it may send nothing."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new:
            recorder = WatchRecorder(old)
            _, link = await next_request(old)
            recorder.watch.change_address(new.address)
            assert await link.ended()
            recorder.watch.subscribe()
            first, link = await next_request(new)
            assert first == "GET /registry/instances HTTP/1.1"
            link.write(http("200 OK", list_message(3, True, ENTRY)))
            assert (await recorder.updates.get() or pytest.fail())[0] is api.ListKind.FULL
            assert "after=3&" in (await next_request(new))[0]
            assert recorder.updates.empty()
            recorder.watch.close()

    run(scenario)
