"""Tests with folders that are full, broken or half written: stored data stays valid, and routers run on."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest

from myrtlecourse.config import read_config
from myrtlecourse.duties.memory import read_memories, write_memories
from myrtlecourse.duties.messages import Memory
from myrtlecourse.ops.descriptor_claims import SPARE_DESCRIPTORS, DescriptorClaims, descriptor_share
from myrtlecourse.ops.orders import OrdersError
from myrtlecourse.ops.store import OrderStore
from myrtlecourse.service import Service
from tests.loopback import run
from tests.test_main import GOOD

FULL = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
BROKEN = OSError(errno.EIO, os.strerror(errno.EIO))


def ban(store: OrderStore, name: str) -> None:
    asyncio.run(store.change(lambda orders: orders.with_ban(name, 1.0)))


def write_half(path: Path, text: bytes) -> int:
    with path.open("wb") as file:
        file.write(text[: len(text) // 2])
    raise FULL


def fail(error: OSError) -> Callable[..., Any]:
    def failing(*_: object, **__: object) -> Any:
        raise error

    return failing


@pytest.mark.parametrize("what", ["write_bytes", "rename"])
@pytest.mark.parametrize("error", [FULL, BROKEN], ids=["ENOSPC", "EIO"])
def test_an_order_that_can_t_be_kept_is_refused_and_nothing_is_half_done(
    what: str, error: OSError, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = OrderStore(tmp_path)
    ban(store, "a")
    stored = store.orders
    with monkeypatch.context() as patch:
        patch.setattr(Path, what, write_half if what == "write_bytes" and error is FULL else fail(error))
        with pytest.raises(OrdersError, match="can't be stored"):
            ban(store, "b")
    assert store.orders == stored
    assert {p.name for p in tmp_path.iterdir()} == {"myrtlecourse-orders.json", "myrtlecourse-orders.lock"}
    other = OrderStore(tmp_path)
    assert other.refresh() and other.orders == stored  # the orders stored before are intact
    ban(store, "b")  # the folder is used again once it works
    assert other.refresh() and set(other.orders.bans) == {"a", "b"}


def test_orders_are_kept_where_locks_can_t_be_had(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fcntl, "flock", fail(OSError(errno.ENOLCK, "no locks available")))
    store = OrderStore(tmp_path)
    ban(store, "a")
    assert OrderStore(tmp_path).refresh()


@pytest.mark.parametrize("method", ["others", "claim"])
def test_a_router_starts_and_shares_its_limits_beside_a_broken_folder(
    method: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An error on the folder during the start ended the new process of an upgrade."""

    async def scenario() -> None:
        with monkeypatch.context() as patch:
            patch.setattr(DescriptorClaims, method, fail(BROKEN))
            service = Service(read_config(orjson.dumps(GOOD)), "", 99, tmp_path)
        assert service.claims is not None
        assert service.descriptors.total == service.config.sockets - 32
        assert service.memory.windows.budget > 0
        service.claims.release()

    run(scenario)


def test_the_last_known_processes_count_while_the_folder_can_t_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        older = DescriptorClaims(tmp_path)
        older.claim(100)
        service = Service(read_config(orjson.dumps(GOOD)), "", 99, tmp_path)
        before = service.descriptors.total
        assert before < service.config.sockets - 100
        monkeypatch.setattr(DescriptorClaims, "others", fail(BROKEN))
        service._share_limits()
        assert service.descriptors.total == before
        assert service.claims is not None
        service.claims.release()
        older.release()

    run(scenario)


def short_writes(monkeypatch: pytest.MonkeyPatch, error_after: int | None = None) -> None:
    """Makes each write store half of its data, and fail once `error_after` bytes are written."""
    write, written = os.write, 0

    def half(descriptor: int, data: bytes) -> int:
        nonlocal written
        if error_after is not None and written >= error_after:
            raise FULL
        done = write(descriptor, data[: max(1, len(data) // 2)])
        written += done
        return done

    monkeypatch.setattr(os, "write", half)


def test_a_write_that_takes_a_part_is_gone_on_with(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A router's promises were replaced by half a file, which the next start refused."""
    memories = {"purge": Memory(term=7, voted="router-1", value=(1, 2, 3))}
    short_writes(monkeypatch)
    write_memories(tmp_path / "memory", memories)
    assert read_memories(tmp_path / "memory") == memories


def test_a_disk_that_fills_in_the_midst_of_a_write_leaves_what_was_there(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    memories = {"purge": Memory(term=7, voted="router-1", value=(1, 2, 3))}
    write_memories(tmp_path / "memory", memories)
    short_writes(monkeypatch, error_after=20)
    with pytest.raises(OSError, match="No space"):
        write_memories(tmp_path / "memory", {"purge": Memory(term=8)})
    assert read_memories(tmp_path / "memory") == memories
    assert [path.name for path in tmp_path.iterdir()] == ["memory"]


def test_which_process_is_the_newer_is_known_though_the_wall_clock_was_set_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The older process of an upgrade took itself for the newer, and released no descriptors as it ended."""

    async def scenario() -> None:
        older = DescriptorClaims(tmp_path)
        hour_ago = time.time_ns() - 3600 * 10**9
        monkeypatch.setattr(time, "time_ns", lambda: hour_ago)
        newer = DescriptorClaims(tmp_path)
        older.claim(500)
        newer.claim(500)
        (of_newer,), (of_older,) = older.others(), newer.others()
        assert descriptor_share(1000, 40, True, older.started_ns, [of_newer]) == 40 + SPARE_DESCRIPTORS
        assert descriptor_share(1000, 40, False, newer.started_ns, [of_older]) == 500
        newer.release()
        older.release()

    run(scenario)
