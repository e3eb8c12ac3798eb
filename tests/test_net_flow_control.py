"""The memory budgets for long values, which are streamed to clients or sent by them."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net import clients
from myrtlecourse.net.flow_control import MAX_WINDOW, MIN_WINDOW, StreamWindows, ValueMemory
from tests.loopback import Router, book, command, http, needs_sources, run, until


@given(st.integers(1 << 20, 1 << 26), st.integers(0, 5000))
def test_flows_share_the_budget(budget: int, flows: int) -> None:
    windows = StreamWindows(budget)
    windows.streams = flows
    assert MIN_WINDOW <= windows.size() <= MAX_WINDOW
    assert windows.size() == MIN_WINDOW or 2 * flows * windows.size() <= budget


class Client:
    def __init__(self) -> None:
        self.notified = 0

    def on_reserved(self) -> None:
        self.notified += 1


@given(st.lists(st.tuples(st.integers(1, 80), st.booleans()), max_size=30))
def test_room_is_given_in_order_and_never_twice(asked: list[tuple[int, bool]]) -> None:
    memory = ValueMemory(100)
    waiting: list[tuple[Client, int]] = []
    held: list[int] = []
    for size, end in asked:
        client = Client()
        if memory.reserve(client, size):
            assert not waiting
            held.append(size)
        else:
            waiting.append((client, size))
        if end and held:
            memory.release(held.pop(0))
        while waiting and waiting[0][0].notified:
            held.append(waiting.pop(0)[1])
        assert memory.reserved == sum(held) and (memory.reserved <= 100 or len(held) == 1)
        assert not any(client.notified for client, _ in waiting)
        assert held or not waiting  # a client waits only while memory is reserved for others


def test_who_gives_up_lets_those_behind_go_on() -> None:
    memory, big, small = ValueMemory(100), Client(), Client()
    assert memory.reserve(Client(), 60)
    assert not memory.reserve(big, 80) and not memory.reserve(small, 30)
    memory.stop_waiting(big)
    assert small.notified == 1 and memory.reserved == 90


def test_a_long_value_in_pieces_goes_to_the_origin_whole() -> None:
    """Its length alone must not cause a refusal."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            value = bytes(range(256)) * 4096  # 1 MiB
            sent = book("r1", value=value)
            for start in range(0, len(sent), 100_000):
                client.write(sent[start : start + 100_000])
                await asyncio.sleep(0.001)
            origin = await router.origin.link()
            first, _, body = await origin.http()
            assert first == "PUT /k HTTP/1.1" and body == value
            origin.write(http("200 OK", b"receipt"))
            assert await client.resp() == b"receipt"
            assert router.listener.upload_memory.reserved == 0

    run(scenario)


def test_a_client_that_leaves_in_the_middle_gives_its_room_back() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(book("r1", value=b"x" * 1_000_000)[:500_000])
            while not router.listener.upload_memory.reserved:
                await asyncio.sleep(0.001)
            client.close()
            while router.listener.upload_memory.reserved:
                await asyncio.sleep(0.001)

    run(scenario)


def test_without_room_a_client_is_not_read_and_goes_on_when_there_is_some() -> None:
    """All values together could exceed the memory many times over."""

    async def scenario() -> None:
        async with Router() as router:
            router.listener.upload_memory.budget = 3_000_000
            one, other = await router.client(), await router.client()
            one.write(book("r1", value=b"x" * 1_000_000)[:-1])
            while not router.listener.upload_memory.reserved:
                await asyncio.sleep(0.001)
            other.write(book("r2", value=b"y" * 1_000_000))
            while not router.listener.upload_memory.waiting:
                await asyncio.sleep(0.001)
            held = sum(len(c.reader.buffer) for c in router.listener.connections)
            assert held < 1_500_000
            one.write(b"\n")
            origin = await router.origin.link()
            assert (await origin.http())[2][:1] == b"x"
            origin.write(http("200 OK", b"receipt"))
            assert await one.resp() == b"receipt"
            assert (await origin.http())[2] == b"y" * 1_000_000
            origin.write(http("200 OK", b"receipt"))
            assert await other.resp() == b"receipt"

    run(scenario)


@needs_sources
def test_who_waits_for_room_too_long_is_refused_and_may_come_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "RESERVATION_TIMEOUT", 0.05)
        async with Router() as router:
            router.listener.upload_memory.budget = 3_000_000
            one, other = await router.client(), await router.client()
            one.write(book("r1", value=b"x" * 1_000_000)[:-1])
            while not router.listener.upload_memory.reserved:
                await asyncio.sleep(0.001)
            other.write(book("r2", value=b"y" * 1_000_000))
            assert str(await other.resp()) == "BUSY 2000"
            assert await other.ended()
            one.write(b"\n" + command("PING"))
            origin = await router.origin.link()
            await origin.http()
            origin.write(http("200 OK", b"receipt"))
            assert await one.resp() == b"receipt"
            assert await one.resp() == b"PONG"

    run(scenario)


# Guards against answers of which a part has come taking memory that no account knows (incident 78).
def test_incomplete_answers_share_their_memory_and_all_arrive() -> None:
    async def scenario() -> None:
        async with Router() as router:
            memory = router.origins.windows.incomplete
            memory.budget = 70_000
            answer = http("200 OK", b"x" * 60_000)
            one, other = await router.client(), await router.client()
            one.write(book("r1", key="one"))
            first = await router.origin.link()
            await first.http()
            first.write(answer[:30_000])
            await until(lambda: memory.reserved == 60_000)
            other.write(book("r2", key="other"))
            second = await router.origin.link()
            await second.http()
            second.write(answer[:-1])
            await until(lambda: bool(memory.waiting))
            assert memory.reserved == 60_000
            first.write(answer[30_000:])
            assert await one.resp() == b"x" * 60_000
            second.write(answer[-1:])
            assert await other.resp() == b"x" * 60_000
            assert memory.reserved == 0 and not memory.waiting

    run(scenario)


def test_an_answer_that_waits_for_memory_ends_with_its_request() -> None:
    async def scenario() -> None:
        async with Router() as router:
            memory = router.origins.windows.incomplete
            memory.reserve(Client(), memory.budget)
            client = await router.client()
            client.write(command("C.SET", "k", "r1", "c=book,t=x,d=300,k=5c0f", b"slot"))
            origin = await router.origin.link()
            await origin.http()
            origin.write(http("200 OK", b"x" * 60_000)[:-1])
            await until(lambda: bool(memory.waiting))
            connection = next(iter(router.origins.connections))
            assert str(await client.resp()) == "BUSY"
            assert not memory.waiting and memory.reserved == memory.budget
            assert connection.answer_timer is None  # it would tell of an attempt that has ended

    run(scenario)
