"""How much memory clients may make this process hold. No I/O.

Each bound of one connection is sensible alone, but connections times commands times bytes is not: all that
clients can make the process hold is counted here, by kind, within what the process may use beyond its own
needs. What does not fit is left unread, or refused.
"""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecourse.net.flow_control import DEFAULT_BUDGET, StreamWindows, ValueMemory

# shares of the memory that is available for clients; connections themselves and the allocator take the rest
VALUE_SHARE = 0.25  # for long values that clients send
STREAM_SHARE = 0.15  # for long answers that are passed on
INCOMPLETE_SHARE = 0.1  # for answers that have begun to arrive, and are not passed on yet
COMMAND_SHARE = 0.1  # for commands in work
ANSWER_SHARE = 0.1  # for answers that clients have not taken
INPUT_SHARE = 0.15  # for commands that have not arrived whole, and have no memory reserved

# what the accounts count; the rest is for input, which is divided, for connections and for the allocator
COUNTED_SHARE = VALUE_SHARE + STREAM_SHARE + INCOMPLETE_SHARE + COMMAND_SHARE + ANSWER_SHARE
MIN_AVAILABLE_SHARE = 1 / 8  # share of the limit that clients get, whatever the process itself needs

MAX_INPUT = 16 * 1024  # bytes that one connection may hold of a command without a reservation
MIN_INPUT = 4 * 1024  # the same with many connections: as much as the longest command without its value
COMMAND_COST = 4 * 1024  # bytes that a command in work takes in addition to its parts
COPIES = 2  # of a command's parts: as received, and as written to a server that reads slowly
SMALL_ANSWER = 4 * 1024  # bytes of an answer that is always given


def available_bytes(limit: int, own: int, resident: int, counted: int) -> int:
    """Return the bytes that are available for clients, less what the accounts have proved not to count.

    Args:
        limit: bytes that the process may have.
        own: bytes that it had before any client came.
        resident: bytes that it has now.
        counted: bytes of them that the accounts know.
    """
    left = limit - own
    uncounted = resident - own - counted
    available = min(left, int((left - max(0, uncounted)) / COUNTED_SHARE))
    return max(available, int(limit * MIN_AVAILABLE_SHARE))


@dataclass(slots=True)
class HeldBytes:
    """The bytes that are held for all clients together."""

    budget: int
    held: int = 0

    def fits(self, size: int) -> bool:
        """Return whether `size` more bytes may be held; a single holder may exceed the budget."""
        return not self.held or self.held + size <= self.budget


class ClientMemory:
    """The budgets for what clients make this process hold."""

    def __init__(self, available: int = 5 * DEFAULT_BUDGET) -> None:
        """Divide `available` bytes."""
        self.windows = StreamWindows()
        self.values = ValueMemory()
        self.commands = HeldBytes(0)
        self.answers = HeldBytes(0)
        self.divide(available)

    def divide(self, available: int) -> None:
        """Set the bytes that are available for clients; what is held already stays."""
        self.available = available
        self.windows.set_budget(int(available * STREAM_SHARE), int(available * INCOMPLETE_SHARE))
        self.values.budget = int(available * VALUE_SHARE)
        self.commands.budget = int(available * COMMAND_SHARE)
        self.answers.budget = int(available * ANSWER_SHARE)
        self.input_budget = int(available * INPUT_SHARE)

    def counted(self) -> int:
        """Return the bytes that the accounts know: reserved, or held."""
        windows = self.windows
        reserved = self.values.reserved + windows.gathered.reserved + windows.incomplete.reserved
        return reserved + self.commands.held + self.answers.held + 2 * windows.streams * windows.size()

    def summary(self) -> str:
        """Return what each account holds, for the log."""
        windows = self.windows
        held = {
            "values": (self.values.reserved, self.values.budget),
            "gathered": (windows.gathered.reserved, windows.gathered.budget),
            "incomplete": (windows.incomplete.reserved, windows.incomplete.budget),
            "commands": (self.commands.held, self.commands.budget),
            "answers": (self.answers.held, self.answers.budget),
        }
        accounts = ", ".join(
            f"{name} {part // 1024} of {whole // 1024}" for name, (part, whole) in held.items()
        )
        return f"{accounts} KiB, {windows.streams} streams of {windows.size() // 1024}"

    def input_size(self, connections: int) -> int:
        """Return the bytes that each of so many connections may hold of a command without a reservation."""
        return max(MIN_INPUT, min(MAX_INPUT, self.input_budget // max(1, connections)))


class CommandMemory:
    """The memory of a command's parts and their forwarded copy, until its last attempt has ended."""

    __slots__ = ("held", "memory", "reserved")

    def __init__(self, memory: ClientMemory, held: int, reserved: int) -> None:
        """Count `held` bytes of the command; `reserved` bytes have been reserved for it before."""
        self.memory = memory
        self.held = held
        self.reserved = reserved
        memory.commands.held += held

    def release(self) -> None:
        """Free the memory. May be called again."""
        held, self.held = self.held, 0
        reserved, self.reserved = self.reserved, 0
        self.memory.commands.held -= held
        if reserved:
            self.memory.values.release(reserved)
