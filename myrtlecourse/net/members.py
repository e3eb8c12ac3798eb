"""Cache servers and origins as discovery lists them, with their addresses."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecourse import interface as api


@dataclass(slots=True, frozen=True)
class Member:
    """A cache server or origin in this router's list."""

    entry: api.ServerEntry
    address: str

    @property
    def process(self) -> tuple[str, float]:
        """The identity of the process: differs between servers at one address, and after a restart."""
        return self.entry.server, self.entry.listed_start
