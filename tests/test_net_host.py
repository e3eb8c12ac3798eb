"""A router between clients, cache servers and an origin, over loopback."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import replace

import pytest

from myrtlecourse import interface as api
from myrtlecourse.net import clients, listener
from myrtlecourse.net import host as hosts
from myrtlecourse.net.clients import MAX_PIPELINED
from myrtlecourse.net.members import Member
from tests.loopback import (
    HIT,
    MISS,
    SETTINGS,
    Link,
    Router,
    book,
    command,
    http,
    member,
    needs_sources,
    read,
    run,
    until,
)


def error_text(message: object) -> str:
    assert isinstance(message, Exception), message
    return str(message)


def test_a_hit_is_passed_on() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "key", "c=read,t=x,d=2000,h=90,size=7"))
            cache = await router.cache()
            verb, key, request, info = await cache.resp()
            assert (verb, key, request) == (b"C.GET", b"key", b"r1")
            named = dict(pair.split("=") for pair in info.decode().split(","))
            assert list(named) == ["c", "t", "d", "h", "size"] and named["size"] == "7"
            assert 0 < int(named["d"]) < 2000  # the remaining time
            cache.write(HIT)
            assert await client.resp() == b"value"

    run(scenario)


def test_a_miss_is_fetched_from_the_origin() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(MISS)
            origin = await router.origin.link()
            first, headers, _ = await origin.http()
            assert first == "GET /k HTTP/1.1" and headers["request-id"] == "r1"
            origin.write(http("200 OK", b"fetched"))
            assert await client.resp() == b"fetched"

    run(scenario)


def test_a_write_goes_to_the_origin_whole() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(book("r1", value=b"two\r\nlines"))
            origin = await router.origin.link()
            first, headers, body = await origin.http()
            assert first == "PUT /k HTTP/1.1" and body == b"two\r\nlines"
            assert "k=5c0f" in headers["request-info"].split(",")
            origin.write(http("200 OK", b"receipt"))
            assert await client.resp() == b"receipt"

    run(scenario)


def test_answers_come_in_the_order_of_the_commands() -> None:
    """In another order, clients would take the values of other requests for their own."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1") + read("r2") + command("PING"))
            links = [await router.cache(), await router.cache()]
            by_request = {(await link.resp())[2]: link for link in links}
            by_request[b"r2"].write(HIT.replace(b"value", b"later"))
            await by_request_ended(router, "r2")
            by_request[b"r1"].write(HIT)
            assert [await client.resp() for _ in range(3)] == [b"value", b"later", b"PONG"]

    async def by_request_ended(router: Router, name: str) -> None:
        while name in router.host.requests:
            await asyncio.sleep(0)

    run(scenario)


def test_a_busy_server_is_left_for_another() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, first = await router.open_request()
            first.reset()
            second = await router.cache()
            assert (await second.resp())[2] == b"r1"
            second.write(HIT)
            assert await client.resp() == b"value"

    run(scenario)


def test_a_client_that_leaves_takes_its_attempts_along() -> None:
    """Cache servers would otherwise continue work for which nobody waits."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            client.close()
            assert await cache.ended()
            assert not router.host.router.requests and not router.host.router.attempts

    run(scenario)


def test_the_deadline_ends_what_is_silent() -> None:
    """A client that gets no answer in time considers its request lost."""

    async def scenario() -> None:
        async with Router() as router:
            sent = time.monotonic()  # the clock of uvloop's loop ticks in milliseconds, and once an iteration
            client, cache = await router.open_request(info="c=read,t=x,d=800")
            assert error_text(await client.resp()).startswith("BUSY")
            assert time.monotonic() - sent >= 0.8 - hosts.DEADLINE_MARGIN - 0.001
            assert await cache.ended() and not router.host.requests

    run(scenario)


BAD_COMMANDS = [
    (command("GET", "k"), "unknown command"),
    (command("CLIENT", "LIST"), "unknown command"),
    (command("A\r\n+PONG"), "unknown command"),  # quoted unescaped, it would form a second answer
    (command("C.GET", "k", "r1"), "wrong number"),
    (command("C.SET", "k", "r1", "c=book,d=900"), "wrong number"),
    (command("C.GET", "", "r1", "c=read,d=900"), "key"),
    (command("C.GET", "stats", "r1", "c=read,d=900"), "key"),
    (command("C.GET", "..", "r1", "c=read,d=900"), "key"),
    (command("C.GET", "k" * 2000, "r1", "c=read,d=900"), "key"),
    (command("C.GET", "k", "r 1", "c=read,d=900"), "id"),
    (command("C.GET", "k", "", "c=read,d=900"), "id"),
    (command("C.GET", "k", "r1", "c=read"), "d must"),
    (command("C.GET", "k", "r1", "c=read,d=soon"), "d must"),
    (command("C.GET", "k", "r1", "c=read,d=-5"), "d must"),
    (command("C.GET", "k", "r1", "c=read,d=600001"), "d must"),
    (command("C.GET", "k", "r1", "c=read,d=" + "9" * 600), "d must"),
    (command("C.GET", "k", "r1", "c=read,d=9,d=900"), "not a new name"),
    (command("C.GET", "k", "r1", "c=read,d"), "not a new name"),
    (command("C.GET", "k", "r1", "c=unheard-of,d=900"), "class is unknown"),
    (command("C.GET", "k", "r1", "t=x,d=900"), "class is unknown"),
    (command("C.SET", "k", "r1", "c=book,d=900", "v"), "k is missing"),
    (command("C.GET", "k", "r1", "c=read,d=900\r\nX: y"), "visible ASCII"),
    (b"*1\r\n:7\r\n", "array of bulk strings"),
    (b"*0\r\n", "array of bulk strings"),
    (b"*-1\r\n", "array of bulk strings"),
    (b"*1\r\n$-1\r\n", "array of bulk strings"),
    (b"+PING\r\n", "array of bulk strings"),
]


@pytest.mark.parametrize(("sent", "said"), BAD_COMMANDS)
def test_a_bad_command_gets_an_error_and_no_more(sent: bytes, said: str) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(sent + command("PING"))
            assert said in error_text(await client.resp())
            assert await client.resp() == b"PONG"
            assert not router.host.requests

    run(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"PING\r\n",
        b"\x00\xff",
        b"*x\r\n",
        b"*100000000\r\n",  # rejected at the header, before a list of that size is allocated
        b"*4\r\n$-5\r\n",
        b"*4\r\n$62914560\r\n",  # before the value arrives
        b"*5\r\n"
        + b"$2500000\r\n%b\r\n" % (b"x" * 2_500_000)
        + b"$2500000\r\n",  # more than any valid command
        b"*1\r\n$4\r\nPINGPONG\r\n",
        b"*1\r\n$" + b"0" * 40,  # endless lines
        b"+" + b"x" * 2000,
        b"*1\r\n" * 9,
    ],
)
def test_lost_framing_ends_the_connection(sent: bytes) -> None:
    """Anything after it could be a part of a value that would be executed as a command."""

    async def scenario() -> None:
        async with Router() as router:
            client, other = await router.client(), await router.client()
            client.write(sent)
            assert error_text(await client.resp()).startswith("ERR")
            assert await client.ended()
            other.write(command("PING"))
            assert await other.resp() == b"PONG"

    run(scenario)


def test_half_a_command_is_ended_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections that never send a complete command could exhaust the budget for new clients."""

    async def scenario() -> None:
        monkeypatch.setattr(listener, "COMMAND_TIMEOUT", 0.5)
        monkeypatch.setattr(listener, "SWEEP_INTERVAL", 0.01)
        async with Router() as router:
            usual, silent, half = [await router.client() for _ in range(3)]
            usual.write(command("PING"))
            half.write(command("PING") + b"*4\r\n$5\r\nC.G")
            assert await usual.resp() == await half.resp() == b"PONG"
            assert "no whole command" in error_text(await half.resp()) and await half.ended()
            assert "no whole command" in error_text(await silent.resp()) and await silent.ended()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_nothing_is_read_behind_lost_framing() -> None:
    """Until its earlier answers are sent, such a client could fill the memory with further input."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            client.write(b"noise\r\n" + b"x" * 100_000)
            (connection,) = router.listener.connections
            while not connection.no_more_commands:
                await asyncio.sleep(0)
            assert not connection.transport.is_reading() and not connection.reader.buffer
            cache.write(HIT)
            assert await client.resp() == b"value"
            assert error_text(await client.resp()).startswith("ERR")
            assert await client.ended()

    run(scenario)


def test_errors_slow_their_connection_down() -> None:
    """A client that repeats its error at once after each reply would occupy the core."""

    async def scenario() -> None:
        async with Router() as router:
            loop = asyncio.get_running_loop()
            client = await router.client()
            began = loop.time()
            client.write(read("r1", info="c=unheard-of,d=900") * 3)
            for _ in range(3):
                error_text(await client.resp())
            assert loop.time() - began >= 2 * clients.ERROR_PAUSE - 0.01

    run(scenario)


def test_more_commands_than_are_held_are_read_later() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            names = [f"r{n}" for n in range(3 * MAX_PIPELINED)]
            client.write(b"".join(read(n, info="c=read,t=x,d=1") for n in names) + read("last"))
            cache = await router.cache()
            assert (await cache.resp())[2] == b"last"
            cache.write(HIT)
            for _ in names:
                error_text(await client.resp())
            assert await client.resp() == b"value"

    run(scenario)


def test_what_waits_unread_is_bounded() -> None:
    """Otherwise a single client could make the router hold any number of requests."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(b"".join(read(f"r{n}") for n in range(2 * MAX_PIPELINED)))
            while not router.listener.connections:
                await asyncio.sleep(0)
            (connection,) = router.listener.connections
            while len(connection.slots) < MAX_PIPELINED:
                await asyncio.sleep(0)
            assert len(connection.slots) == MAX_PIPELINED and not connection.transport.is_reading()

    run(scenario)


def test_nothing_is_taken_from_a_connection_that_is_closing() -> None:
    """Its client has gone, and a command accepted after that would be processed until its deadline."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(b"".join(read(f"r{n}") for n in range(2 * MAX_PIPELINED)))
            while not router.listener.connections:
                await asyncio.sleep(0)
            (connection,) = router.listener.connections
            while len(connection.slots) < MAX_PIPELINED:
                await asyncio.sleep(0)
            connection.transport.abort()
            router.host._answer("r0", b"-ERR failed\r\n")
            while router.listener.connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            # the end of r0 was not reported to the decision module, so that its attempt may still be open
            assert set(router.host.requests) <= {"r0"}
            taken = {f"r{n}" for n in range(MAX_PIPELINED)}
            assert router.host.recent_ids | router.host.older_ids | set(router.host.requests) == taken

    run(scenario)


def test_an_id_in_use_is_not_taken_again() -> None:
    async def scenario() -> None:
        async with Router() as router:
            other = await router.client()
            client, cache = await router.open_request()
            other.write(read("r1"))
            assert "in use" in error_text(await other.resp())
            cache.write(HIT)
            assert await client.resp() == b"value"
            other.write(read("r1"))  # nor right after it: the client would get the answer of another request
            assert "in use" in error_text(await other.resp())

    run(scenario)


def test_an_ended_request_is_forgotten_at_once() -> None:
    """Kept until its deadline, each request would hold its value in memory for up to ten minutes."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request(info="c=read,t=x,d=600000,h=" + "9" * 400)
            cache.write(HIT)
            assert await client.resp() == b"value"
            assert not router.host.requests

    run(scenario)


def test_ping_is_answered_once_a_server_is_known() -> None:
    async def scenario() -> None:
        async with Router(listed=False) as router:
            client = await router.client()
            client.write(command("PING"))
            assert "no cache server" in error_text(await client.resp())
            router.list("a")
            client.write(command("PING"))
            assert await client.resp() == b"PONG"

    run(scenario)


@needs_sources
def test_a_fault_ends_its_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """A single request that causes an internal error must not end the whole router."""

    async def scenario() -> None:
        async with Router() as router:
            other = await router.client()
            first, cache = await router.open_request()
            with monkeypatch.context() as patch:
                patch.setattr(router.host, "accept", None)
                first.write(read("r2"))
                assert await first.ended()
            assert await cache.ended() and not router.host.router.requests
            other.write(command("PING"))
            assert await other.resp() == b"PONG"

    run(scenario)


def test_clients_stay_within_their_budget() -> None:
    """Without free descriptors neither attempts nor lists work; idle clients are closed to free some."""

    async def scenario() -> None:
        async with Router(clients=2) as router:
            idle = await router.client()
            busy, cache = await router.open_request()
            third = await router.client()
            assert await idle.ended()
            third.write(command("PING"))
            assert await third.resp() == b"PONG"
            cache.write(HIT)
            assert await busy.resp() == b"value"

    run(scenario)


def test_a_new_client_waits_while_all_others_are_busy() -> None:
    """Closed as the newest connection, it would lose its first request."""

    async def scenario() -> None:
        async with Router(clients=1) as router:
            busy, cache = await router.open_request()
            newest = await router.client()
            newest.write(command("PING"))
            assert await newest.resp() == b"PONG"
            cache.write(HIT)
            assert await busy.resp() == b"value"

    run(scenario)


async def client_after_pings(router: Router, times: int) -> Link:
    """Return a connected client that has sent `times` commands."""
    client = await router.client()
    for _ in range(times):
        client.write(command("PING"))
        assert await client.resp() == b"PONG"
    return client


def test_clients_that_owe_a_command_make_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hundreds of silent clients could displace the usual ones, which keep their connections."""

    async def scenario() -> None:
        monkeypatch.setattr(listener, "FIRST_COMMAND_GRACE", 0.01)
        async with Router(clients=3) as router:
            usual = await client_after_pings(router, 1)
            silent, half = await router.client(), await router.client()
            half.write(b"*4\r\n$5\r\nC.G")
            await asyncio.sleep(0.05)  # until both are late; the clock of uvloop's loop ticks in milliseconds
            newer = []  # referenced, as they would be closed otherwise
            for gone in (silent, half):
                newer.append(await client_after_pings(router, 1))
                assert await gone.ended()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_clients_that_send_errors_make_room_first() -> None:
    """They are never idle, as further errors are queued, and would otherwise never be closed."""

    async def scenario() -> None:
        async with Router(clients=2) as router:
            usual, wrong = await client_after_pings(router, 1), await client_after_pings(router, 2)
            wrong.write(read("r1", info="c=unheard-of,d=900") * 100)
            error_text(await wrong.resp())
            _newest = await client_after_pings(router, 1)
            with suppress(ConnectionResetError):
                await wrong.reader.read()  # until the connection ends
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_clients_that_asked_once_make_room_before_the_usual_ones() -> None:
    """Many clients that send one command and stay would cost the usual clients a connection per request."""

    async def scenario() -> None:
        async with Router(clients=2) as router:
            usual, once = await client_after_pings(router, 2), await client_after_pings(router, 1)
            _newest = await client_after_pings(router, 1)
            assert await once.ended()
            usual.write(command("PING"))
            assert await usual.resp() == b"PONG"

    run(scenario)


def test_a_crowd_that_asks_once_and_stays_is_let_in_at_once() -> None:
    """If only connections idle for long were closed, new clients would wait past their deadlines."""

    async def scenario() -> None:
        async with Router(clients=4) as router:
            crowd = []
            for _ in range(20):
                crowd += [
                    await router.client(),
                    await client_after_pings(router, 1),
                ]  # the first one sends nothing

    run(scenario)


def test_idle_clients_go_when_half_the_room_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that send one command and stay for ever would use up memory and descriptors."""

    async def scenario() -> None:
        monkeypatch.setattr(listener, "IDLE_TIMEOUT", 1.0)
        async with Router(clients=4) as router:
            usual = [await client_after_pings(router, 2) for _ in range(3)]
            once = await client_after_pings(router, 1)
            assert await once.ended()
            assert len(router.listener.connections.keys() - router.listener.lingering.keys()) == 3
            assert await usual[0].ended()
            usual[2].write(command("PING"))
            assert await usual[2].resp() == b"PONG"

    run(scenario)


def test_half_a_command_does_not_hold_up_the_end() -> None:
    """The router would be killed while it waits for a client that never continues."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(command("PING") + b"*4\r\n$5\r\nC.G")
            assert await client.resp() == b"PONG"
            await router.listener.stop(0.0, 0.05)
            (connection,) = router.listener.connections
            connection.transport.abort()

    run(scenario)


def test_stopping_serves_what_was_taken() -> None:
    """Accepted requests that are unanswered when a router ends would be lost."""

    async def scenario() -> None:
        async with Router() as router:
            idle = await router.client()
            busy, cache = await router.open_request()
            stop = asyncio.create_task(router.listener.stop(0.05, 5.0))
            late = await router.client()  # new connections are still accepted
            late.write(command("PING"))
            assert await late.resp() == b"PONG"
            assert await idle.ended() and await late.ended() and not stop.done()
            cache.write(HIT)
            assert await busy.resp() == b"value"
            assert await busy.ended()
            await stop
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*busy.writer.get_extra_info("peername"))

    run(scenario)


@pytest.mark.parametrize("change", ["gone", "draining", "restarted", "replaced"])
def test_connections_to_a_process_that_ends_are_closed(change: str) -> None:
    """Connections to a vanished machine never close, and another process may take over its address."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(HIT)
            assert await client.resp() == b"value"
            (connection,) = router.servers.idle
            (name,) = (n for n, m in router.host.members.items() if m.address == connection.address)
            entry = router.host.members[name].entry
            told = {
                "gone": replace(entry, state=api.State.GONE),
                "draining": replace(entry, state=api.State.DRAINING),
                "restarted": replace(entry, listed_start=9.0),
                "replaced": replace(entry, state=api.State.GONE),
            }
            members = [Member(told[change], connection.address)]
            if change == "replaced":
                members.append(Member(replace(entry, server="new"), connection.address))
            router.host.submit_list(api.ListKind.DELTA, members)
            assert await cache.ended()

    run(scenario)


def test_a_connection_that_ended_leaves_the_books() -> None:
    """Polling a connection that has no socket any more stopped the listener for all clients."""

    async def scenario() -> None:
        async with Router() as router:
            client, other = await router.client(), await router.client()
            client.write(read("r1", info="c=unheard-of,d=900"))
            error_text(await client.resp())
            next(iter(router.listener.connections)).transport.abort()
            await asyncio.sleep(2 * clients.ERROR_PAUSE)
            other.write(command("PING"))
            assert await other.resp() == b"PONG"
            (left,) = router.listener.connections
            assert list(router.listener.idle) == [left] and not router.listener.awaiting_command

    run(scenario)


# The host alone, with a scripted decision module


@needs_sources
def test_events_that_come_while_actions_run_wait_their_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Called recursively, the decision module would work on a state that the first call has not completed."""

    async def scenario() -> None:
        async with Router(listed=False) as router:
            depth: list[int] = []

            def handle(now: float, event: api.Event) -> list[api.Action]:
                depth.append(router.host.handling)
                if isinstance(event, api.Request):
                    return [api.Send("r1", "unheard-of"), api.Log("after"), api.Fail("r1")]
                if isinstance(event, api.Outcome):
                    assert event.status is api.Status.CONNECT_FAILED and event.request_ended
                return []

            monkeypatch.setattr(router.host.router, "handle", handle)
            client = await router.client()
            client.write(read("r1"))
            assert error_text(await client.resp()) == "ERR failed"
            assert len(depth) == 2

    run(scenario)


@needs_sources
def test_sends_of_no_use_are_moot_and_answers_come_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Router(replace(SETTINGS, max_attempts=1)) as router:
            seen: list[api.Outcome] = []

            def handle(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Outcome):
                    seen.append(event)
                if isinstance(event, api.Request):
                    return [api.Send("r1", "a"), api.Send("r1", "b")]
                if isinstance(event, api.Outcome) and event.attempt == 1:
                    return [api.Refuse("r1", 0.25), api.Fail("r1"), api.Send("r1", "b"), api.Cancel("r1", 0)]
                return []

            monkeypatch.setattr(router.host.router, "handle", handle)
            client = await router.client()
            client.write(read("r1") + command("PING"))
            assert error_text(await client.resp()) == "BUSY 250"
            assert await client.resp() == b"PONG"
            ends = [(o.attempt, o.status, o.request_ended) for o in seen]
            moot, cancelled = api.Status.NOT_SENT, api.Status.CANCELLED
            assert ends == [(1, moot, False), (2, moot, True), (0, cancelled, True)]

    run(scenario)


@needs_sources
def test_an_attempt_times_out_at_its_own_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Router() as router:

            def handle(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request):
                    return [api.Send("r1", "a", 0.05)]
                if isinstance(event, api.Outcome):
                    assert event.status is api.Status.TIMEOUT and not event.request_ended
                    return [api.Fail("r1")]
                return []

            monkeypatch.setattr(router.host.router, "handle", handle)
            client = await router.client()
            client.write(read("r1"))
            assert error_text(await client.resp()) == "ERR failed"

    run(scenario)


class AdmissionStub:
    """Admission control that admits given classes."""

    def __init__(self, *admitted_classes: str) -> None:
        self.admitted_classes = admitted_classes
        self.calls: list[tuple[str, str, bool, bool]] = []

    def retry_delay(
        self,
        now: float,
        request_class: str,
        tenant: str,
        is_retry: bool,
        has_idempotency_key: bool,
        read_delay: float,
    ) -> float | None:
        self.calls.append((request_class, tenant, is_retry, has_idempotency_key))
        return None if request_class in self.admitted_classes else 0.25

    def settings_changed(self, settings: api.Settings) -> None:
        raise AssertionError("no new settings here")


def test_a_command_turned_away_is_refused_at_once_and_nothing_is_sent_for_it() -> None:
    async def scenario() -> None:
        admission = AdmissionStub("book")
        async with Router(admission=admission) as router:
            client = await router.client()
            client.write(read("r1") + read("r2", info="c=read,t=y,d=2000,r=1") + book("r3"))
            for _ in range(2):
                answer = await client.resp()
                assert str(answer) == "BUSY 250"
            link = await router.origin.link()
            assert (await link.http())[1]["request-id"] == "r3"
            link.write(http("200 OK", b"receipt"))
            assert await client.resp() == b"receipt"
            assert admission.calls == [
                ("read", "x", False, False),
                ("read", "y", True, False),
                ("book", "x", False, True),
            ]
            assert all(peer.links.empty() for peer in router.caches.values())

    run(scenario)


def test_a_door_that_shuts_does_not_stand_between_a_booking_and_its_answer() -> None:
    async def scenario() -> None:
        admission = AdmissionStub("book")
        async with Router(admission=admission) as router:
            client, other = await router.client(), await router.client()
            client.write(book("r1"))
            link = await router.origin.link()
            await link.http()
            admission.admitted_classes = ()
            other.write(book("r2"))
            assert str(await other.resp()) == "BUSY 250"
            link.write(http("200 OK", b"receipt"))
            assert await client.resp() == b"receipt"

    run(scenario)


def test_a_repeated_booking_is_known_as_such() -> None:
    async def scenario() -> None:
        admission = AdmissionStub()
        async with Router(admission=admission) as router:
            client = await router.client()
            client.write(command("C.SET", "k", "r1", "c=book,t=x,d=2000,k=5c0f,r=1", b"slot"))
            assert str(await client.resp()) == "BUSY 250"
            assert admission.calls == [("book", "x", True, True)]

    run(scenario)


def test_time_in_the_socket_is_of_the_time_a_client_waits() -> None:
    """Without this, a command from a long backlog would be sent on when nobody waits for it any more."""

    async def scenario() -> None:
        async with Router(admission=AdmissionStub("read")) as router:
            client = await router.client()
            router.listener.socket.getsockname()
            client.write(read("r1", info="c=read,t=x,d=100"))
            time.sleep(0.2)  # the event loop is blocked while the bytes lie in the socket
            assert str(await client.resp()).startswith("BUSY")
            assert all(peer.links.empty() for peer in router.caches.values())

    run(scenario)


def test_a_crowd_that_connects_at_once_is_taken_in() -> None:
    async def scenario() -> None:
        # with over half of its places taken the router would close those that have asked once
        async with Router(clients=300) as router:
            clients = await asyncio.gather(*(router.client() for _ in range(150)))
            for client in clients:
                client.write(command("PING"))
            assert {bytes(await client.resp()) for client in clients} == {b"PONG"}
            assert len(router.listener.connections) == 150 and not router.listener.setting_up
            for client in clients:
                client.close()

    run(scenario)


def test_a_client_that_has_just_come_is_heard_out_when_the_router_ends() -> None:
    """Closed before its first command arrived, it would send the command on a closed connection."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            while not router.listener.connections:
                await asyncio.sleep(0.001)
            stopping = asyncio.create_task(router.listener.stop(0.0, 5.0))
            await asyncio.sleep(4 * listener.FIRST_COMMAND_GRACE)
            client.write(read("r1"))
            cache = await router.cache()
            await cache.resp()
            cache.write(HIT)
            assert await client.resp() == b"value" and await client.ended()
            await stopping

    run(scenario)


@needs_sources
def test_a_batch_that_the_decisions_could_not_take_is_told_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a draining server would be used until its entry changes again."""

    async def scenario() -> None:
        async with Router() as router:
            host, decide = router.host, router.host.router.handle
            failed: list[api.Event] = []

            def failing(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.ServerList) and not failed:
                    failed.append(event)
                    raise RuntimeError("at fault")
                return decide(now, event)

            monkeypatch.setattr(host.router, "handle", failing)
            many = [member(f"m{n}", "127.0.0.1:1") for n in range(60)]
            drains = member("a", router.caches["a"].address, state=api.State.DRAINING)
            host.submit_list(api.ListKind.DELTA, [*many, drains])
            await until(lambda: bool(failed) and not host.batch_scheduled)
            await until(lambda: "a" not in host.router.caches)
            assert set(host.router.caches) == {"b", *(f"m{n}" for n in range(60))}

    run(scenario)
