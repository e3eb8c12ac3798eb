"""Messages between voters and candidates, the events and actions of an election, and its settings.

Times are seconds on the instance's own monotonic clock. The clocks of two instances need not show the same
time, but their rates must not differ by more than the stated drift.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VOTERS = 15
MAX_CANDIDATES = 255
# candidates with a turn of their own; each later turn has twice as many candidates as the one before
SINGLE_TURNS = 4


class ElectionError(ValueError):
    """Raised for contradictory settings; the message names the field."""


def turn_for_rank(rank: int) -> int:
    """Return the number of the turn, after a vacancy, in which the candidate of this rank may campaign.

    In a large fleet whose first hundred candidates are down, all others get a turn within log2(n) further
    turns.
    """
    return rank if rank < SINGLE_TURNS else SINGLE_TURNS - 2 + (rank // 2).bit_length()


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one instance's part in the election.

    Raises:
        ElectionError: the settings contradict each other; the message names the field.
    """

    name: str
    voters: tuple[str, ...]  # the most preferred candidate for a vacancy first
    heartbeat: float = 0.5  # seconds between two heartbeats of the holder
    lease: float = 2.0  # seconds for which a voter's promise holds, by its own clock
    drift: float = 0.02  # largest relative error of a clock's rate, in either direction
    settle: float = 2.0  # seconds for which an instance must have been able to serve before it campaigns
    unwell: float = 1.0  # seconds for which a holder may be unable to serve before it steps down
    # allows an even number of voters, which tolerates no more failures than one fewer
    even_voters: bool = False
    preferred: tuple[str, ...] = ()  # candidates, voters or not, the most preferred first; empty: the voters

    def __post_init__(self) -> None:
        # with a list of candidates, an instance may be neither a voter nor a candidate, and only observe
        if self.name not in self.voters and not self.preferred:
            raise ElectionError(f"voters: {self.name} is not among them")
        if len(set(self.preferred)) < len(self.preferred) or len(self.preferred) > MAX_CANDIDATES:
            raise ElectionError(f"preferred: each name once, {MAX_CANDIDATES} at most")
        if len(set(self.voters)) < len(self.voters):
            raise ElectionError("voters: a name is listed twice")
        if len(self.voters) > MAX_VOTERS:
            raise ElectionError(f"voters: at most {MAX_VOTERS}")
        if len(self.voters) % 2 == 0 and not self.even_voters:
            raise ElectionError(
                "voters: an even number tolerates no more failures than one fewer; set even_voters"
            )
        if not self.heartbeat > 0:
            raise ElectionError("heartbeat: must be greater than 0")
        if self.lease < 3 * self.heartbeat:
            raise ElectionError("lease: must be at least three heartbeats")
        if not 0 <= self.drift <= 0.1:
            raise ElectionError("drift: must be between 0 and 0.1")
        if self.safe_lease - self.heartbeat / 2 <= 2 * self.heartbeat:
            raise ElectionError("lease: too short for this drift: two lost heartbeats would end it")
        if self.settle < 0 or self.unwell < 0:
            raise ElectionError("settle and unwell: must not be negative")

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def safe_lease(self) -> float:
        """Length in seconds of the lease that the holder assumes.

        On the slowest clock it is still shorter than a voter's lease on the fastest one.
        """
        return self.lease * (1 - self.drift) / (1 + self.drift)

    @property
    def candidates(self) -> tuple[str, ...]:
        """The instances that may hold the lease, the most preferred first."""
        return self.preferred or self.voters

    @property
    def is_voter(self) -> bool:
        """Whether this instance votes."""
        return self.name in self.voters

    @property
    def may_hold(self) -> bool:
        """Whether this instance is a candidate."""
        return self.name in self.candidates

    @property
    def turn(self) -> int:
        """The turn in which this instance may campaign."""
        return turn_for_rank(self.candidates.index(self.name))

    @property
    def turn_count(self) -> int:
        """Number of turns after which every candidate has had one."""
        return turn_for_rank(len(self.candidates) - 1) + 1

    @property
    def handover_time(self) -> float:
        """Seconds after a handover for which the former holder does not campaign, while the named successor
        repeats its campaigns."""
        return (len(self.voters) + 1) * self.heartbeat

    @property
    def longest_vacancy(self) -> float:
        """Upper bound in seconds from a holder's death until another instance holds the lease.

        It applies while a majority can communicate and no message is lost: the last promise expires, two
        turns of the least preferred candidate pass (the first may come before another voter's promise has
        expired), and two rounds of requests, the pre-vote and the vote, are answered.
        """
        slow = (1 + self.drift) / (1 - self.drift)
        return slow * (self.lease + (max(len(self.voters), self.turn_count) + 2) * self.heartbeat)


@dataclass(slots=True, frozen=True)
class Saved:
    """What a voter must remember across a restart, so that it votes only once in a term."""

    term: int = 0
    voted: str = ""


# Messages between instances


@dataclass(slots=True, frozen=True)
class Ask:
    """Asks for a vote in this term; with `trial`, for a pre-vote: whether a vote would be granted."""

    term: int
    number: int
    trial: bool


@dataclass(slots=True, frozen=True)
class Grant:
    """Grants a vote or, with `trial`, a pre-vote. With a vote, the voter promises not to support any other
    instance for the time of a lease."""

    term: int
    number: int
    trial: bool


@dataclass(slots=True, frozen=True)
class Deny:
    """Denies a vote, a pre-vote or a heartbeat, and reports the voter's term."""

    term: int


@dataclass(slots=True, frozen=True)
class Beat:
    """The holder's heartbeat, which asks the voter to renew its promise."""

    term: int
    number: int


@dataclass(slots=True, frozen=True)
class Renew:
    """Renews the voter's promise for another lease."""

    term: int
    number: int


@dataclass(slots=True, frozen=True)
class Release:
    """Releases the lease, as the holder has stepped down; the voter's promise ends."""

    term: int


@dataclass(slots=True, frozen=True)
class Take:
    """Asks the receiver to campaign now, because the sender has stepped down in its favour.

    `clear`: no member obeys an order of the sender any more.
    """

    term: int
    clear: bool = False


@dataclass(slots=True, frozen=True)
class Invite:
    """Tells a candidate without a vote that no instance holds the lease, which it can't know otherwise, and
    that it is its turn to campaign."""

    term: int


Message = Ask | Grant | Deny | Beat | Renew | Release | Take | Invite


# Events, which are the input of an election


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of another voter or candidate has arrived."""

    sender: str
    message: Message


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of the last `SetTimer` has come."""


@dataclass(slots=True, frozen=True)
class AbilityReported:
    """Reports whether this instance can serve at present."""

    able: bool


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The host has carried out `Withdraw`: nothing is accepted any more.

    `clear`: no member obeys an order of this holder any more.
    """

    clear: bool = True


@dataclass(slots=True, frozen=True)
class Resign:
    """Step down, and don't campaign for `pause` seconds, as another instance may do better."""

    reason: str
    pause: float


@dataclass(slots=True, frozen=True)
class Move:
    """Hand the lease over to the named candidate, or to whichever campaigns first."""

    to: str = ""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings; at most one voter was added or removed."""

    settings: Settings


Event = MessageReceived | TimerFired | AbilityReported | Withdrawn | Resign | Move | SettingsChanged


# Actions, to be carried out in order


@dataclass(slots=True, frozen=True)
class Save:
    """Store this on disk before any later action is carried out."""

    saved: Saved


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another instance; it may be lost."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Announce:
    """This instance has won the lease in this term."""

    term: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """This instance steps down: accept nothing more, then post `Withdrawn`."""

    reason: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Post `TimerFired` at this time; replaces the previous timer."""

    at: float


Action = Save | Send | Announce | Withdraw | SetTimer
