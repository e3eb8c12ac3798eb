"""Cache servers and origins as lists name them, with their addresses."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecourse import interface as api


@dataclass(slots=True, frozen=True)
class Member:
    """A cache server or origin of this router's own list."""

    entry: api.ServerEntry
    address: str

    @property
    def process(self) -> tuple[str, float]:
        """What tells it from another at the same address, and from itself before a restart."""
        return self.entry.server, self.entry.listed_start
