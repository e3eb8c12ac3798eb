"""Ids of requests that must not be executed twice, whose clients leave and send them again."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.executed_ids import ENTRIES, REMEMBERED, ExecutedIds, open_shared
from tests.loopback import TIMEOUT, command, run
from tests.test_service import Site, site
from tests.test_wirehost import CONF

ONCE = {"name": "once", "aim": 1.0, "giveUp": 3.0, "effect": "single_shot"}
REQUEST = command("C.GET", "key", "id-1", "c=once,t=x,d=2500")
GENERATION = 2.2  # seconds after which the ids of other requests make room for new ones


async def ask_and_leave(cluster: Site) -> None:
    """Have a request begun, and close its connection."""
    client = await cluster.client()
    client.write(REQUEST)
    while not cluster.seen:
        await asyncio.sleep(0.001)
    client.close()


async def ask_again(cluster: Site) -> None:
    client = await cluster.client()
    client.write(REQUEST)
    assert str(await client.resp()).startswith("ERR")
    assert len(cluster.seen) == 1


# Guards against an id that runs twice, as its client left and came back some seconds later (incident 73).
@pytest.mark.processes
def test_an_id_that_comes_again_after_its_client_left_is_not_run_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            write_classes(cluster)
            await cluster.start()
            await ask_and_leave(cluster)
            # further requests, so that a memory of two generations would have forgotten the first
            for number in range(3):
                await asyncio.sleep(GENERATION)
                client = await cluster.client()
                client.write(command("C.GET", "key", f"other-{number}", "c=read,t=x,d=2000"))
                await client.resp()
            cluster.seen = [each for each in cluster.seen if each[1] == "id-1"]
            await ask_again(cluster)

    run(scenario, timeout=3 * TIMEOUT)


# Guards against an id that runs at both processes of an upgrade (incident 73).
@pytest.mark.processes
def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_is_not_run_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            write_classes(cluster)
            old = await cluster.start()
            await ask_and_leave(cluster)
            new = await cluster.start()
            assert await new.call("GET", "ready") == (200, "ready")
            old.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                await old.process.wait()
            await ask_again(cluster)

    run(scenario, timeout=3 * TIMEOUT)


def write_classes(cluster: Site) -> None:
    """Add a class of requests that must not be executed twice to the configuration."""
    cluster.path.write_bytes(orjson.dumps(cluster.config(classes=[*CONF["classes"], ONCE])))


def test_an_id_is_taken_again_once_it_is_forgotten(tmp_path: Path) -> None:
    ids, other = open_shared(tmp_path), open_shared(tmp_path)
    assert ids.take(b"a", 100.0)
    assert not ids.take(b"a", 100.0 + REMEMBERED)
    assert not other.take(b"a", 100.0 + REMEMBERED)
    assert ids.take(b"a", 100.1 + REMEMBERED)


@given(st.lists(st.binary(min_size=1, max_size=64), unique=True, max_size=200))
def test_ids_do_not_stand_for_one_another(names: list[bytes]) -> None:
    ids = ExecutedIds()
    assert all(ids.take(name, 1.0) for name in names)
    assert not any(ids.take(name, 2.0) for name in names[-50:])


def test_the_table_stays_at_its_size_however_many_ids_come() -> None:
    ids = ExecutedIds()
    assert all(ids.take(b"%d" % n, n / ENTRIES) for n in range(3 * ENTRIES))
    assert not ids.take(b"%d" % (3 * ENTRIES - 1), 3.0)
