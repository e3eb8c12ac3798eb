"""What is available for clients follows the memory that the process really has."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.client_memory import MIN_AVAILABLE_SHARE, ClientMemory, available_bytes

MEGABYTE = 1024 * 1024
sizes = st.integers(0, 512 * MEGABYTE)


@given(st.integers(MEGABYTE, 512 * MEGABYTE), sizes, sizes, sizes)
def test_no_more_is_available_than_the_process_leaves(
    limit: int, own: int, resident: int, counted: int
) -> None:
    available = available_bytes(limit, own, resident, counted)
    least = int(limit * MIN_AVAILABLE_SHARE)
    assert least <= available <= max(least, limit - own)
    assert available_bytes(limit, own, resident + MEGABYTE, counted) <= available


# Guards against budgets that add up to all memory, while connections need some of it too (incident 78).
def test_memory_that_no_account_knows_is_taken_from_the_accounts() -> None:
    limit, own = 64 * MEGABYTE, 30 * MEGABYTE
    memory = ClientMemory(available_bytes(limit, own, own, 0))
    full, uncounted = memory.available, 24 * MEGABYTE
    memory.divide(available_bytes(limit, own, own + uncounted, 0))
    budgets = memory.values.budget + memory.windows.budget + memory.windows.incomplete.budget
    budgets += memory.commands.budget + memory.answers.budget
    assert memory.available < full
    assert own + uncounted + budgets <= limit


def test_the_accounts_are_told_in_the_log() -> None:
    memory = ClientMemory(32 * MEGABYTE)
    memory.commands.held = 4096
    memory.windows.streams = 2
    assert "commands 4 of" in memory.summary() and "2 streams" in memory.summary()
    assert memory.counted() == 4096 + 4 * memory.windows.size()
