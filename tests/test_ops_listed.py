"""Ids that discovery has listed are remembered, and handed to the next process at an upgrade."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path

import orjson
import pytest

from myrtlecourse.ops import listed_servers as module
from myrtlecourse.ops import shared_file
from myrtlecourse.ops.listed_servers import ListedServers, ListedServersFile

FILE = "myrtlecourse-listed.json"


def test_ids_that_were_listed_are_remembered_and_others_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_LISTED", 2)
    listed = ListedServers()
    listed.record([("a", True), ("o", False)])
    assert listed.refusal_reason("a") == "" and "origin" in listed.refusal_reason("o")
    assert listed.refusal_reason("x") == "discovery has not listed this id"
    listed.record([("a", True), ("b", True)])
    assert listed.refusal_reason("a") == "" and listed.refusal_reason("o")  # o was named longest ago


# guards against a 404 for servers of a long list, of which only the last 4,096 were remembered
def test_each_server_of_a_long_list_may_be_taken_out() -> None:
    listed = ListedServers()
    names = [f"s-{number:08x}" for number in range(6_700)]
    listed.record((name, True) for name in names)
    assert not [name for name in names if listed.refusal_reason(name)]
    assert not listed.record((name, True) for name in names)  # none is new when the list comes again


def save(folder: Path, ids: list[tuple[str, bool]]) -> ListedServersFile:
    """Write ids as a process does that has just got a list with them."""

    async def write() -> ListedServersFile:
        file = ListedServersFile(folder, ListedServers())
        assert file.listed.record(ids)
        file.save_soon()
        file.save_soon()  # joins the first
        await asyncio.sleep(0)
        while not (folder / FILE).exists():
            await asyncio.sleep(0.001)
        return file

    return asyncio.run(write())


def loaded(folder: Path | None) -> ListedServers:
    file = ListedServersFile(folder, ListedServers())
    file.load()
    return file.listed


def test_the_next_process_knows_what_was_listed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SAVE_DELAY", 0.0)
    save(tmp_path, [("a", True), ("o", False)])
    listed = loaded(tmp_path)
    assert listed.refusal_reason("a") == "" and "origin" in listed.refusal_reason("o")
    assert not listed.record([("a", True)]) and listed.record([("b", True)])
    assert [path.name for path in tmp_path.iterdir()] == [FILE]


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b'{"version":2,"listed":{}}',
        b'{"version":1,"listed":["a"]}',
        b'{"version":1,"listed":{"a":1}}',
        b" " * 100,
    ],
)
def test_an_unusable_file_is_logged_and_records_nothing(
    text: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "MAX_FILE_SIZE", 99)
    (tmp_path / FILE).write_bytes(text)
    assert not loaded(tmp_path).cache_by_id
    assert "can't be used" in caplog.text


# guards against a torn file where a slow disk holds up a write until the next one begins
def test_a_write_begins_only_when_the_last_one_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    texts: list[bytes] = []
    may_end = threading.Event()

    def write_slowly(path: Path, encode: Callable[[], bytes]) -> None:
        texts.append(encode())
        assert may_end.wait(10.0)

    async def scenario() -> None:
        file = ListedServersFile(tmp_path, ListedServers())
        for name in ("a", "b"):
            file.listed.record([(name, True)])
            file.save_soon()
            await asyncio.sleep(0.05)
        assert len(texts) == 1
        may_end.set()
        while len(texts) < 2:
            await asyncio.sleep(0.001)
        assert b'"b"' in texts[1]
        file.close()

    monkeypatch.setattr(module, "SAVE_DELAY", 0.001)
    monkeypatch.setattr(shared_file, "replace", write_slowly)
    asyncio.run(scenario())


def test_without_a_folder_or_a_file_nothing_is_loaded(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    assert not loaded(None).cache_by_id and not loaded(tmp_path).cache_by_id
    assert not caplog.text


def test_a_write_that_fails_leaves_the_file_as_it_was(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / FILE).mkdir()
    shared_file.replace(tmp_path / FILE, lambda: orjson.dumps({}))
    assert "can't be written" in caplog.text
    assert [path.name for path in tmp_path.iterdir()] == [FILE]
