"""What members of a fleet say to one another of duties, what duties are told, and what they answer.

Times are seconds on the process's own monotonic clock; clocks of two processes need not agree on the time,
and must not run apart by more than the stated drift.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse.election import messages as election_messages
from myrtlecourse.peers.seal import ident

ADDRESS = "address"  # the service address, where it is a duty
MAX_MEMBERS = 255
MAX_DUTIES = 16
MAX_STATE_LENGTH = 8  # numbers of a duty's state
STATE_NUMBER_LIMIT = 2**40  # that one of them may be
Value = tuple[int, ...]


class DutiesError(ValueError):
    """Settings or a call that can't hold; the message names the field."""


@dataclass(slots=True, frozen=True)
class Duty:
    """One duty, as all members have it."""

    name: str
    preferred: tuple[
        str, ...
    ] = ()  # who may hold it, the most preferred first; none: all, spread by its name
    good_for: float = 2.0  # seconds for which an order is obeyed, by the receiver's clock
    initial_state: Value = ()  # its state before anybody has held it
    orders: bool = True  # its holder orders the others; without, holding it is all

    @property
    def number(self) -> int:
        """What it is in a datagram."""
        return ident(self.name, 2)

    def candidates(self, members: tuple[str, ...]) -> tuple[str, ...]:
        """Who may hold it, in order: rendezvous hashing (Thaler and Ravishankar, 1998) spreads duties."""
        if self.preferred:
            return self.preferred
        return tuple(sorted(members, key=lambda m: ident(f"{self.name}\0{m}")))


@dataclass(slots=True, frozen=True)
class Settings:
    """One process's part in the duties of a fleet.

    Raises:
        DutiesError: they contradict each other; the message names the field.
    """

    name: str
    members: tuple[str, ...]  # all that obey
    voters: tuple[str, ...]
    duties: tuple[Duty, ...]
    heartbeat: float = 0.5
    lease: float = 2.0
    drift: float = 0.02
    settle: float = 2.0
    unwell: float = 1.0
    unheard: float = 4.0  # seconds without enough members' answers, after which a holder gives a duty up
    brake: float = 8.0  # seconds for which it does not stand for it then, doubled each time

    def __post_init__(self) -> None:
        if self.name not in self.members:
            raise DutiesError(f"members: {self.name} is not among them")
        if len(set(self.members)) < len(self.members) or len(self.members) > MAX_MEMBERS:
            raise DutiesError(f"members: each once, {MAX_MEMBERS} at most")
        if len(self.voters) not in range(1, 8) or not set(self.voters) <= set(self.members):
            raise DutiesError("voters: 1 to 7 of the members")
        if not 0 < len(self.duties) <= MAX_DUTIES or len({d.number for d in self.duties}) < len(self.duties):
            raise DutiesError(f"duties: 1 to {MAX_DUTIES}, each under a name of its own")
        for duty in self.duties:
            if not set(duty.preferred) <= set(self.members):
                raise DutiesError(f"duties.{duty.name}.preferred: not all are members")
            if duty.good_for < 2 * self.heartbeat:
                raise DutiesError(f"duties.{duty.name}.good_for: must be at least two heartbeats")
        if self.unheard < self.lease:
            raise DutiesError("unheard: must be at least a lease")
        for duty in self.duties:
            self.election(duty)

    def election(self, duty: Duty) -> election_messages.Settings:
        """The settings of one duty's election. Raises DutiesError."""
        try:
            return election_messages.Settings(
                *(self.name, self.voters, self.heartbeat, self.lease, self.drift, self.settle, self.unwell),
                even_voters=True,  # on the way from one set to another
                preferred=duty.candidates(self.members),
            )
        except election_messages.ElectionError as e:
            raise DutiesError(str(e)) from None

    @property
    def majority(self) -> int:
        """Members that make an order last: any two such sets share one."""
        return len(self.members) // 2 + 1

    def order_lifetime(self, good_for: float) -> float:
        """Seconds on any clock after which an order that was good for so long is obeyed by nobody."""
        return good_for * (1 + self.drift) / (1 - self.drift)

    def longest_vacancy(self, duty: Duty) -> float:
        """Seconds from a holder's death until another's orders are obeyed, if majorities of voters and of
        members talk and nothing is lost: the election's bound, the last order's time, two rounds of
        questions."""
        return self.election(duty).longest_vacancy + self.order_lifetime(duty.good_for) + 2 * self.heartbeat


# What members say; beside what voters and candidates say, each with the duty that it is about


@dataclass(slots=True, frozen=True)
class Survey:
    """I hold this duty under this token: which of its orders have you taken?"""

    token: int


@dataclass(slots=True, frozen=True)
class Known:
    """The last that I have taken, and that I obey nothing with a lower token than yours any more.

    `fresh`: I have started without a memory and have taken none since.
    """

    token: int  # of the question
    taken: int  # token of the order
    number: int
    fresh: bool
    stamp: int
    value: Value


@dataclass(slots=True, frozen=True)
class Order:
    """Do this from now on, for `good_for` milliseconds after you said what I repeat in `echo`.

    0 milliseconds: obey none of mine any more.
    """

    token: int
    number: int
    good_for: int
    echo: int  # the stamp that was heard last of the receiver; 0: none
    value: Value


@dataclass(slots=True, frozen=True)
class Taken:
    """I have heard the order, and with `kept` taken it; else it came too late, or after a later one."""

    token: int
    number: int
    kept: bool
    stamp: int


@dataclass(slots=True, frozen=True)
class Outdated:
    """There is a higher token than yours."""

    token: int


Message = election_messages.Message | Survey | Known | Order | Taken | Outdated
Item = tuple[int, Message]  # and the duty's number


# What duties are told


@dataclass(slots=True, frozen=True)
class MessagesReceived:
    """What another member says, all of one datagram."""

    sender: str
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `Wake` has come."""


@dataclass(slots=True, frozen=True)
class AbilityReported:
    """Whether this process can hold a duty, or any at all."""

    able: bool
    duty: str = ""


@dataclass(slots=True, frozen=True)
class SetState:
    """The holder's word: the duty's state is this from now on, and all members are to know."""

    duty: str
    value: Value


@dataclass(slots=True, frozen=True)
class Move:
    """Hand a duty over, to a member or to whoever is next."""

    duty: str
    to: str = ""


@dataclass(slots=True, frozen=True)
class WorkStopped:
    """What a holder without orders did for its duty has ended."""

    duty: str


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings; one voter may have come or gone."""

    settings: Settings


Event = MessagesReceived | TimerFired | AbilityReported | SetState | Move | WorkStopped | SettingsChanged


# What they answer, to be carried out in order


@dataclass(slots=True, frozen=True)
class Memory:
    """What one member remembers of a duty."""

    term: int = 0
    voted: str = ""
    promised: int = 0  # the highest token heard of
    token: int = 0  # of the order that was taken last
    number: int = 0
    value: Value = ()


@dataclass(slots=True, frozen=True)
class Save:
    """Write this down, by the duties' names, before what follows goes out."""

    memories: dict[str, Memory]


@dataclass(slots=True, frozen=True)
class Send:
    """Send these to another member, in one datagram where they fit; they may be lost."""

    to: str
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class Acquired:
    """This process holds a duty: act by it from here on, each time after a look at `Duties.may`."""

    duty: str
    token: int
    value: Value


@dataclass(slots=True, frozen=True)
class Lost:
    """It holds it no more: begin nothing for it; say `Stopped` where it holds without orders."""

    duty: str
    reason: str


@dataclass(slots=True, frozen=True)
class Committed:
    """A majority of the members has taken the holder's order with this number: it will not be forgotten."""

    duty: str
    token: int
    number: int


@dataclass(slots=True, frozen=True)
class Obeys:
    """This member obeys an order from now until a time, on its own clock; each of a higher token than any
    before."""

    duty: str
    holder: str
    token: int
    number: int
    value: Value
    until: float


@dataclass(slots=True, frozen=True)
class ObeysNobody:
    """This member has obeyed nobody since a time on its own clock: the duty's safe rest holds."""

    duty: str
    since: float


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Say `Woke` at this time; it replaces the time before."""

    at: float


Action = Save | Send | Acquired | Lost | Committed | Obeys | ObeysNobody | SetTimer


@dataclass(slots=True)
class ObeyedOrder:
    """What a member obeys."""

    holder: str = ""
    token: int = 0
    number: int = 0
    value: Value = field(default_factory=tuple)
    until: float = -math.inf
