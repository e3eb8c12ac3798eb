"""Each close of a client's connection is checked against what its reason allows to be owed."""

from __future__ import annotations

import asyncio
import errno

import pytest

from myrtlecourse.net.client_closes import ALLOWANCES, record_close
from myrtlecourse.net.clients import ClientConnection
from myrtlecourse.net.request_log import CloseReason
from tests.client_closes import MARK
from tests.loopback import HIT, Router, needs_sources, read, run, until

owing_close: pytest.MarkDecorator = getattr(pytest.mark, MARK)


@pytest.mark.parametrize(
    ("reason", "answers", "untaken", "is_fault"),
    [
        (CloseReason.IDLE, 0, 0, False),
        (CloseReason.IDLE, 1, 0, True),
        (CloseReason.LINGER_ENDED, 0, 1, True),
        (CloseReason.INCOMPLETE_ANSWER, 1, 0, False),
        (CloseReason.INCOMPLETE_ANSWER, 2, 0, True),
        (CloseReason.CLIENT_LEFT, 5, 500, False),
        (CloseReason.OTHER_PROCESS, 1, 0, True),  # a reason for connections to servers alone
    ],
)
@owing_close
def test_what_may_be_owed_depends_on_the_reason(
    reason: CloseReason, answers: int, untaken: int, is_fault: bool, closes_that_owe: list[str]
) -> None:
    record_close(7, reason, answers, untaken)
    assert bool(closes_that_owe) is is_fault
    assert all(reason.value in message for message in closes_that_owe)


@pytest.mark.parametrize("reason", sorted(ALLOWANCES.keys() - {CloseReason.CLIENT_LEFT}, key=str))
@pytest.mark.parametrize("way", ["close", "abort"])
@owing_close
def test_a_close_with_an_unanswered_request_shows(
    way: str, reason: CloseReason, closes_that_owe: list[str]
) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1") + read("r2"))
            cache = await router.cache()
            await cache.resp()
            await until(lambda: len(next(iter(router.listener.connections)).slots) == 2)
            connection = next(iter(router.listener.connections))
            getattr(connection, way)(reason)
            allowed = ALLOWANCES[reason].answers >= 2
            assert bool(closes_that_owe) is not allowed

    run(scenario)


def test_a_close_after_the_answers_shows_nothing(closes_that_owe: list[str]) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1"))
            cache = await router.cache()
            await cache.resp()
            cache.write(HIT)
            assert await client.resp() == b"value"
            (connection,) = router.listener.connections
            connection.close(CloseReason.IDLE)
            await until(lambda: not router.listener.connections)
            assert not closes_that_owe

    run(scenario)


# guards against an event loop that closes a client's connection, with a request open, without a word
@pytest.mark.parametrize(
    ("error", "is_fault"), [(RuntimeError("fault"), True), (OSError(errno.ECONNRESET, "reset"), False)]
)
@needs_sources
@owing_close
def test_a_connection_that_the_event_loop_closes_shows(
    error: Exception, is_fault: bool, closes_that_owe: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    original = ClientConnection.data_received

    def fail_behind_a_request(self: ClientConnection, data: bytes) -> None:
        if self.slots:
            raise error
        original(self, data)

    # uvloop looks the method up when the connection is made
    monkeypatch.setattr(ClientConnection, "data_received", fail_behind_a_request)

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with Router() as router:
            client = await router.client()
            client.write(read("r1"))
            await (await router.cache()).resp()
            client.write(b"x")
            await until(lambda: not router.listener.connections)
            assert bool(closes_that_owe) is is_fault
            assert all("owed 1 answers" in message for message in closes_that_owe)

    run(scenario)
