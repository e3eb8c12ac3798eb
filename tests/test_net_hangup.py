"""Nothing is sent for a client that hangs up while it is not read or while its request waits."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from myrtlecourse import interface as api
from myrtlecourse.net import answer_slot, clients
from myrtlecourse.net.answer_slot import AnswerSlot
from tests.loopback import (
    HIT,
    MISS,
    SETTINGS,
    DelayedDials,
    Link,
    Router,
    age_idle_connections,
    command,
    http,
    member,
    read,
    run,
    until,
)

CLOSES: list[Callable[[Link], None]] = [Link.close, Link.reset]
# running attempts are not cancelled, but waiting ones are
NOT_CANCELLABLE = replace(SETTINGS, may_cancel=False)
LONG = "c=read,t=x,d=600000"  # so that only the hang-up ends the request


async def until_unread(router: Router) -> None:
    """Wait until the router has stopped reading its only client."""
    await until(lambda: any(not c.reading for c in router.listener.connections))


@pytest.mark.parametrize("close", CLOSES)
def test_an_unread_client_that_hangs_up_takes_its_attempts_along(
    close: Callable[[Link], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The hang-up lay behind unread bytes, so that open requests continued and further ones were started."""
    monkeypatch.setattr(clients, "ERROR_PAUSE", 60.0)

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            asked = [read(f"r{n}", f"k{n}", LONG) for n in range(3)]
            client.write(b"".join(asked) + command("C.NONE", "k") + read("behind", info=LONG))
            await until_unread(router)
            open_ids = set(router.host.requests)
            assert len(open_ids) == 3
            close(client)
            await until(lambda: not router.host.requests and not router.listener.connections)
            assert not router.host.router.requests
            assert router.host.recent_ids == open_ids

    run(scenario)


def test_what_a_client_left_behind_after_an_error_is_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client is not read for a while after an error, and may hang up during that pause."""
    monkeypatch.setattr(clients, "ERROR_PAUSE", 0.05)

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(command("C.NONE", "k") + read("r1", info=LONG))
            await until_unread(router)
            (connection,) = router.listener.connections
            router.listener.hang_up_monitor.remove(connection)  # the pause ends before the next poll
            client.close()
            await until(lambda: not router.listener.connections)
            assert not router.host.recent_ids and not router.host.requests

    run(scenario)


@pytest.mark.parametrize("settings", [SETTINGS, NOT_CANCELLABLE])
def test_a_dial_that_comes_up_for_nobody_sends_nothing(settings: api.Settings) -> None:
    async def scenario() -> None:
        async with Router(settings) as router, DelayedDials(router) as dials:
            client = await router.client()
            client.write(read("r1"))
            await dials.next_dial()
            client.close()
            await until(lambda: not router.listener.connections)
            dials.release()
            cache = await router.cache()
            other = await router.client()
            other.write(read("r2"))
            assert (await cache.resp())[2] == b"r2"  # the first request on this connection
            cache.write(HIT)
            assert await other.resp() == b"value"

    run(scenario)


@pytest.mark.parametrize("settings", [SETTINGS, NOT_CANCELLABLE])
def test_an_unread_client_is_asked_again_before_its_next_attempt(settings: api.Settings) -> None:
    """Hang-ups are polled at intervals; an attempt between two polls must not begin either."""

    async def scenario() -> None:
        async with Router(settings) as router:
            client = await router.client()
            client.write(command("C.NONE", "k"))
            assert isinstance(await client.resp(), Exception)
            await until_unread(router)
            (connection,) = router.listener.connections
            slot = AnswerSlot(connection)
            assert slot.client_connected()
            client.close()
            await until(lambda: not slot.client_connected())
            assert connection.client_left and not router.host.requests

    run(scenario)


@pytest.mark.parametrize("settings", [SETTINGS, NOT_CANCELLABLE])
def test_a_hang_up_is_seen_before_the_event_loop_looks(
    settings: api.Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a long iteration of the event loop, a retry began although the hang-up lay in the socket."""
    monkeypatch.setattr(answer_slot, "RECENT_READ", 0.0)

    async def scenario() -> None:
        async with Router(settings) as router:
            client, _ = await router.open_request(info=LONG)
            (connection,) = router.listener.connections
            (slot,) = connection.slots
            assert slot.client_connected() and connection.reading
            descriptor = client.writer.get_extra_info("socket").fileno()
            with socket.socket(fileno=os.dup(descriptor)) as end:  # sockets of uvloop have no `shutdown`
                end.shutdown(socket.SHUT_RDWR)
            assert not slot.client_connected()  # in the same iteration of the event loop
            await until(lambda: not router.listener.connections)
            assert not router.host.router.requests

    run(scenario)


def test_a_fetch_is_not_begun_for_a_client_that_hung_up_in_the_line() -> None:
    """The fetch waited behind a slow fetch of the same key."""

    async def scenario() -> None:
        async with Router() as router:
            first, cache = await router.open_request("r1")
            cache.write(MISS)
            origin = await router.origin.link()
            await origin.http()
            second = await router.client()
            age_idle_connections(router.servers)
            second.write(read("r2"))
            cache = await router.cache() if len(router.servers.idle) == 0 else cache
            await cache.resp()
            cache.write(MISS)
            held = router.host.router.requests
            await until(lambda: "r2" in held and held["r2"].queued)
            second.close()
            await until(lambda: "r2" not in router.host.requests)
            origin.write(http("200 OK", b"fetched"))
            assert await first.resp() == b"fetched"
            assert router.origin.links.empty()  # and no other connection to it

    run(scenario)


@pytest.mark.parametrize("change", ["drained", "offline", "window over", "replaced"])
def test_a_late_dial_sends_nothing_that_must_not_go_any_more(change: str) -> None:
    """During a dial, the server may begin to drain, the period in which it drops repeats may end, or a new
    process may come up at its address, which is another server (incident 73)."""
    window = 30.0
    keyed = replace(SETTINGS.classes["book"], repeat_window=window, aim=3 * window)
    late_book = command("C.SET", "k", "r1", "c=book,t=x,d=90000,k=5c0f", b"slot")
    settings = replace(SETTINGS, cache_aside=False, classes={**SETTINGS.classes, "book": keyed})

    def list_caches(router: Router, names: str) -> None:
        members = [member(n, router.caches[n].address) for n in names]
        router.host.submit_list(api.ListKind.FULL, members)

    async def scenario() -> None:
        async with Router(settings) as router:
            list_caches(router, "ab")
            client = await router.client()
            if change == "window over":
                client.write(late_book)
                cache = await router.cache()
                assert (await cache.resp())[2] == b"r1"
            async with DelayedDials(router) as dials:
                if change == "window over":
                    cache.reset()  # the request may have been executed
                else:
                    client.write(read("r1"))
                dialled = await dials.next_dial()
                if change == "drained":
                    list_caches(router, "ab".replace(dialled, ""))
                elif change == "offline":
                    router.host.take_offline(dialled)
                elif change == "replaced":
                    restarted = member(dialled, router.caches[dialled].address, listed_start=time.time())
                    router.host.submit_list(api.ListKind.DELTA, [restarted])
                else:
                    router.host.clock.offset += window  # as if that time had passed
                dials.release()
                late = await router.caches[dialled].link()
                if change == "window over":
                    # no server would recognise a repeat
                    assert str(await client.resp()).startswith("BUSY")
                else:
                    if change == "replaced":
                        other = await router.cache()  # either may take it: the new process is cold
                    else:
                        other = await router.caches["ab".replace(dialled, "")].link()
                    assert (await other.resp())[2] == b"r1"
                    other.write(HIT)
                    assert await client.resp() == b"value"
            await router.stop()
            assert await late.reader.read() == b""  # nothing was sent on this connection

    run(scenario)
