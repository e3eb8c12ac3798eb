"""What voters and candidates say to one another, what an election is told and answers, and its settings.

Times are seconds on the instance's own monotonic clock. Clocks of two instances need not agree on the time;
they must not run apart by more than the stated drift.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VOTERS = 15
MAX_CANDIDATES = 255
SINGLE_TURNS = 4  # candidates that have a turn each to stand; of those behind, twice as many as before


class ElectionError(ValueError):
    """Settings that can't hold; the message names the field."""


def turn_for_rank(rank: int) -> int:
    """When a candidate may stand, as a number of turns after a vacancy; by its place in the preference.

    Guards a vacancy in a large fleet whose first hundred are gone: all have had a turn after log2(n) more.
    """
    return rank if rank < SINGLE_TURNS else SINGLE_TURNS - 2 + (rank // 2).bit_length()


@dataclass(slots=True, frozen=True)
class Settings:
    """One instance's part in the election.

    Raises:
        ElectionError: they contradict each other; the message names the field.
    """

    name: str
    voters: tuple[str, ...]  # the most preferred for a vacancy first
    heartbeat: float = 0.5  # between two questions of the holder
    lease: float = 2.0  # for which a voter's word holds, by its own clock
    drift: float = 0.02  # by which a clock's rate may be off, either way
    settle: float = 2.0  # for which an instance must have been well before it stands
    unwell: float = 1.0  # for which a holder may be unwell before it gives the address up
    even_voters: bool = False  # known and wanted: an even number bears no more losses than one fewer
    preferred: tuple[
        str, ...
    ] = ()  # who may hold, with a vote or without, the most preferred first; none: voters

    def __post_init__(self) -> None:
        if self.name not in self.voters and not self.preferred:  # else it may look on
            raise ElectionError(f"voters: {self.name} is not among them")
        if len(set(self.preferred)) < len(self.preferred) or len(self.preferred) > MAX_CANDIDATES:
            raise ElectionError(f"preferred: each once, {MAX_CANDIDATES} at most")
        if len(set(self.voters)) < len(self.voters):
            raise ElectionError("voters: a name stands twice")
        if len(self.voters) > MAX_VOTERS:
            raise ElectionError(f"voters: at most {MAX_VOTERS}")
        if len(self.voters) % 2 == 0 and not self.even_voters:
            raise ElectionError("voters: an even number bears no more losses than one fewer; set even_voters")
        if not self.heartbeat > 0:
            raise ElectionError("heartbeat: must be over 0")
        if self.lease < 3 * self.heartbeat:
            raise ElectionError("lease: must be at least three heartbeats")
        if not 0 <= self.drift <= 0.1:
            raise ElectionError("drift: must lie between 0 and 0.1")
        if self.safe_lease - self.heartbeat / 2 <= 2 * self.heartbeat:
            raise ElectionError("lease: too short for this drift: two heartbeats lost would end it")
        if self.settle < 0 or self.unwell < 0:
            raise ElectionError("settle and unwell: must not be negative")

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def safe_lease(self) -> float:
        """What the holder counts on, by the slowest clock: shorter than a voter's lease by the fastest."""
        return self.lease * (1 - self.drift) / (1 + self.drift)

    @property
    def candidates(self) -> tuple[str, ...]:
        """Who may hold, the most preferred first."""
        return self.preferred or self.voters

    @property
    def is_voter(self) -> bool:
        return self.name in self.voters

    @property
    def may_hold(self) -> bool:
        return self.name in self.candidates

    @property
    def turn(self) -> int:
        return turn_for_rank(self.candidates.index(self.name))

    @property
    def turn_count(self) -> int:
        """After so many everybody has had one."""
        return turn_for_rank(len(self.candidates) - 1) + 1

    @property
    def handover_time(self) -> float:
        """Seconds for which whoever has handed over leaves the duty to the one named, and that one tries."""
        return (len(self.voters) + 1) * self.heartbeat

    @property
    def longest_vacancy(self) -> float:
        """Seconds from a holder's death until another holds, if a majority talks and nothing is lost.

        The last word given, two turns of the least preferred, as the first may come before another's word is
        over, and two rounds of questions.
        """
        slow = (1 + self.drift) / (1 - self.drift)
        return slow * (self.lease + (max(len(self.voters), self.turn_count) + 2) * self.heartbeat)


@dataclass(slots=True, frozen=True)
class Saved:
    """What must outlive a restart: a term is voted in once."""

    term: int = 0
    voted: str = ""


# What voters say


@dataclass(slots=True, frozen=True)
class Ask:
    """May I hold the address in this term? `trial`: would you say yes, if I asked?"""

    term: int
    number: int
    trial: bool


@dataclass(slots=True, frozen=True)
class Grant:
    """Yes; unless on trial, nobody else gets a word of mine for a lease."""

    term: int
    number: int
    trial: bool


@dataclass(slots=True, frozen=True)
class Deny:
    """No; and the term that I know of."""

    term: int


@dataclass(slots=True, frozen=True)
class Beat:
    """I hold the address: renew your word."""

    term: int
    number: int


@dataclass(slots=True, frozen=True)
class Renew:
    """My word holds for another lease."""

    term: int
    number: int


@dataclass(slots=True, frozen=True)
class Release:
    """I hold it no more: your word is given back."""

    term: int


@dataclass(slots=True, frozen=True)
class Take:
    """Stand now: I have just given it up for you. `clear`: nobody obeys an order of mine any more."""

    term: int
    clear: bool = False


@dataclass(slots=True, frozen=True)
class Invite:
    """Nobody holds it, and it is your turn to stand; to one without a vote, who would not know."""

    term: int


Message = Ask | Grant | Deny | Beat | Renew | Release | Take | Invite


# What an election is told


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """Another voter's message."""

    sender: str
    message: Message


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `Wake` has come."""


@dataclass(slots=True, frozen=True)
class AbilityReported:
    """Whether this instance can serve, as it looks now."""

    able: bool


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """Nothing is accepted on the address any more. `clear`: nor is an order of this holder obeyed."""

    clear: bool = True


@dataclass(slots=True, frozen=True)
class Resign:
    """Give it up, and don't stand for so many seconds: another may do better."""

    reason: str
    pause: float


@dataclass(slots=True, frozen=True)
class Move:
    """Hand the address over, to a voter or to whoever stands first."""

    to: str = ""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings; one voter may have come or gone."""

    settings: Settings


Event = MessageReceived | TimerFired | AbilityReported | Withdrawn | Resign | Move | SettingsChanged


# What it answers, to be carried out in order


@dataclass(slots=True, frozen=True)
class Save:
    """Write this down before what follows goes out."""

    saved: Saved


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another voter; it may be lost."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Announce:
    """The address is this instance's."""

    term: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """The address is this instance's no more: accept nothing, then say `Withdrawn`."""

    reason: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Say `Woke` at this time; it replaces the time before."""

    at: float


Action = Save | Send | Announce | Withdraw | SetTimer
