"""The list of servers is handed to the next process of a router at an upgrade."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.net.members import Member
from myrtlecourse.ops.server_list_file import ServerListFile, ServerListRecord, decode
from tests.loopback import TIMEOUT, run
from tests.test_service import Site, ask, site

FILE = "myrtlecourse-servers.json"
DISCOVERY = "127.0.0.1:15"
NEWER = 2  # the index that discovery gives a list newer than the configuration's
MEMBERS = st.builds(
    Member,
    st.builds(
        api.ServerEntry,
        server=st.text(min_size=1, max_size=9),
        state=st.sampled_from((api.State.READY, api.State.DRAINING)),
        kind=st.text(max_size=4),
        zone=st.text(max_size=4),
        cell=st.integers(0, 9),
        weight=st.floats(0.0, 9.0),
        listed_start=st.integers(0, 2**41).map(lambda milliseconds: milliseconds / 1000),
    ),
    st.integers(1, 65_535).map(lambda port: f"127.0.0.1:{port}"),
)


def record(index: int = 7, discovery: str = DISCOVERY) -> ServerListRecord:
    return ServerListRecord(discovery, index, (Member(api.ServerEntry("a", cell=1), "127.0.0.1:1"),))


@given(st.lists(MEMBERS, max_size=4).map(tuple))
def test_a_list_comes_back_as_it_was_told(members: tuple[Member, ...]) -> None:
    told = ServerListRecord(DISCOVERY, 7, members)
    assert decode(told.encode()) == told


@pytest.mark.parametrize(
    ("text", "logged"),
    [
        (b"", True),
        (b"{", True),
        (b"[]", True),
        (record().encode()[:-2], True),
        (record().encode().replace(b'"version":1', b'"version":2'), True),
        (record().encode().replace(b'"snapshot":true', b'"snapshot":false'), True),
        (record().encode().replace(b'"in_service"', b'"resting"'), True),
        (record(discovery="127.0.0.1:16").encode(), False),  # its index can't be compared
        (record(index=6).encode(), False),  # no newer than the configuration's
    ],
)
def test_a_list_that_can_t_be_used_costs_nothing_but_itself(
    text: bytes, logged: bool, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = ServerListFile(tmp_path, lambda: None)
    assert file.load(DISCOVERY, 6) is None and not caplog.text
    (tmp_path / FILE).write_bytes(record().encode())
    assert file.load(DISCOVERY, 6) == record()
    (tmp_path / FILE).write_bytes(text)
    assert file.load(DISCOVERY, 6) is None
    assert ("can't be used" in caplog.text) is logged


async def wait_until_handed_on(folder: Path, index: int) -> None:
    while not (folder / FILE).exists() or decode((folder / FILE).read_bytes()).index < index:
        await asyncio.sleep(0.01)


def listed(cluster: Site, **changes: Any) -> dict[str, Any]:
    """Return a newer list, in which the cache server `b` has these changes."""
    current: Any = cluster.list
    endpoints = [{**e, **(changes if e["name"] == "b" else {})} for e in current["endpoints"]]
    return {"index": NEWER, "snapshot": True, "endpoints": endpoints}


# Guards against a new process that goes back to the configuration's list while discovery is away.
@pytest.mark.processes
@pytest.mark.parametrize("what", ["drains", "has ended"])
def test_a_drain_is_kept_across_an_upgrade_while_discovery_is_away(what: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            newer = listed(cluster, status="terminating")
            if what == "has ended":
                newer["endpoints"] = [e for e in newer["endpoints"] if e["name"] != "b"]
            cluster.list = newer
            old = await cluster.start()
            await wait_until_handed_on(tmp_path, NEWER)
            cluster.list = {}  # discovery answers nothing that could be used from now on
            new = await cluster.start()
            assert await new.call("GET", "ready") == (200, "ready")
            old.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                assert await old.process.wait() == 0
            cluster.seen.clear()
            client = await cluster.client()
            for number in range(40):
                assert await ask(client, f"r{number}", f"key-{number}") == b"value"
            assert {server for server, _ in cluster.seen} == {"a"}

    run(scenario)


# Guards against a list of another version or torn by a fault that keeps the new process from starting.
@pytest.mark.processes
def test_a_new_process_starts_beside_a_damaged_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            (tmp_path / FILE).write_bytes(orjson.dumps({"version": 9}))
            router = await cluster.start()
            await router.logged("can't be used: it was written by another version")
            assert await ask(await cluster.client(), "r", "k") == b"value"

    run(scenario)
