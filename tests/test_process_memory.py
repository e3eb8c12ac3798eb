"""The memory of the process, and an allocator that can't be told anything."""

from __future__ import annotations

import sys

import pytest

from myrtlecourse.net.process_memory import Allocator, resident_bytes

BLOCK = 32 * 1024 * 1024  # bytes


def test_resident_memory_follows_what_is_used() -> None:
    before = resident_bytes()
    block = bytearray(b"x") * BLOCK
    assert resident_bytes() >= before + BLOCK // 2 > 0
    del block


# Guards against a router that does not start on a system that refuses what the calls into the C library need.
def test_without_access_to_the_c_library_nothing_is_given_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, "ctypes", None)
    allocator = Allocator()
    assert allocator.trim is None
    allocator.prefer_returning()
    allocator.return_freed()
