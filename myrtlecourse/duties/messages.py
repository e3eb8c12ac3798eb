"""Messages between members about duties, the events and actions of duties, and their settings.

Times are seconds on the process's own monotonic clock. The clocks of two processes need not show the same
time, but their rates must not differ by more than the stated drift.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse.election import messages as election_messages
from myrtlecourse.peers.seal import ident

ADDRESS = "address"  # name of the duty of holding the service address
MAX_MEMBERS = 255
MAX_DUTIES = 16
MAX_STATE_LENGTH = 8  # largest number of integers in a duty's state
STATE_NUMBER_LIMIT = 2**40  # each integer in a state is lower than this
Value = tuple[int, ...]  # the state of a duty


class DutiesError(ValueError):
    """Raised for contradictory settings or an invalid event; the message names the field or the duty."""


@dataclass(slots=True, frozen=True)
class Duty:
    """The settings of one duty, equal at all members."""

    name: str
    # candidates, the most preferred first; empty: all members, in an order that depends on the duty's name
    preferred: tuple[str, ...] = ()
    good_for: float = 2.0  # seconds for which an order is obeyed, by the receiver's clock
    initial_state: Value = ()  # the state before the first holder sets another
    orders: bool = True  # whether the holder sends orders to the members; without them it only holds the duty

    @property
    def number(self) -> int:
        """The number of the duty in datagrams."""
        return ident(self.name, 2)

    def candidates(self, members: tuple[str, ...]) -> tuple[str, ...]:
        """Return the members that may hold the duty, the most preferred first.

        Without a preference, rendezvous hashing (Thaler and Ravishankar, 1998) distributes the duties over
        the members.
        """
        if self.preferred:
            return self.preferred
        return tuple(sorted(members, key=lambda m: ident(f"{self.name}\0{m}")))


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one process's part in the duties of a fleet.

    Raises:
        DutiesError: the settings contradict each other; the message names the field.
    """

    name: str
    members: tuple[str, ...]  # all routers that obey orders
    voters: tuple[str, ...]
    duties: tuple[Duty, ...]
    heartbeat: float = 0.5
    lease: float = 2.0
    drift: float = 0.02
    settle: float = 2.0
    unwell: float = 1.0
    unheard: float = 4.0  # seconds without answers of a majority after which a holder steps down
    brake: float = 8.0  # seconds for which it then does not campaign, doubled after each failed holding

    def __post_init__(self) -> None:
        if self.name not in self.members:
            raise DutiesError(f"members: {self.name} is not among them")
        if len(set(self.members)) < len(self.members) or len(self.members) > MAX_MEMBERS:
            raise DutiesError(f"members: each name once, {MAX_MEMBERS} at most")
        if len(self.voters) not in range(1, 8) or not set(self.voters) <= set(self.members):
            raise DutiesError("voters: 1 to 7 of the members")
        if not 0 < len(self.duties) <= MAX_DUTIES or len({d.number for d in self.duties}) < len(self.duties):
            raise DutiesError(f"duties: 1 to {MAX_DUTIES}, with different names")
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
        """Return the settings of one duty's election. Raises DutiesError."""
        try:
            return election_messages.Settings(
                *(self.name, self.voters, self.heartbeat, self.lease, self.drift, self.settle, self.unwell),
                even_voters=True,  # the number is even while one voter is replaced by another
                preferred=duty.candidates(self.members),
            )
        except election_messages.ElectionError as e:
            raise DutiesError(str(e)) from None

    @property
    def majority(self) -> int:
        """Number of members that commit an order; any two such sets share a member."""
        return len(self.members) // 2 + 1

    def order_lifetime(self, good_for: float) -> float:
        """Return the seconds, on any clock, after which no member obeys an order of this validity any
        more."""
        return good_for * (1 + self.drift) / (1 - self.drift)

    def longest_vacancy(self, duty: Duty) -> float:
        """Upper bound in seconds from a holder's death until another holder's orders are obeyed.

        It applies while majorities of the voters and of the members can communicate and no message is lost.
        It is the sum of the election's bound, the lifetime of the last order, and two rounds of requests.
        """
        return self.election(duty).longest_vacancy + self.order_lifetime(duty.good_for) + 2 * self.heartbeat


# Messages between members; each is sent with the number of its duty, as are the election's messages


@dataclass(slots=True, frozen=True)
class Survey:
    """Asks the receiver, as the holder with this token, which order it accepted last."""

    token: int


@dataclass(slots=True, frozen=True)
class Known:
    """Reports the last accepted order, and that lower tokens than the survey's are not obeyed any more.

    `fresh`: the member started without a memory and has accepted no order since.
    """

    token: int  # token of the survey
    taken: int  # token of the accepted order
    number: int  # number of the accepted order
    fresh: bool
    stamp: int  # the member's time in milliseconds, which orders have to repeat (see `member.py`)
    value: Value


@dataclass(slots=True, frozen=True)
class Order:
    """Orders the state `value`, valid for `good_for` milliseconds from the time of the stamp in `echo`.

    With 0 milliseconds it is a revocation: no order of the sender is to be obeyed any more.
    """

    token: int
    number: int
    good_for: int
    echo: int  # the last stamp received from the receiver; 0: none
    value: Value


@dataclass(slots=True, frozen=True)
class Taken:
    """Answers an order. Without `kept`, the order was not accepted: it arrived too late, repeated no stamp of
    the receiver, or came after a later order."""

    token: int
    number: int
    kept: bool
    stamp: int


@dataclass(slots=True, frozen=True)
class Outdated:
    """Tells a holder that there is a higher token than its own."""

    token: int


Message = election_messages.Message | Survey | Known | Order | Taken | Outdated
Item = tuple[int, Message]  # the duty's number and the message


# Events, which are the input of duties


@dataclass(slots=True, frozen=True)
class MessagesReceived:
    """A datagram with messages of another member has arrived."""

    sender: str
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of the last `SetTimer` has come."""


@dataclass(slots=True, frozen=True)
class AbilityReported:
    """Reports whether this process can hold the named duty, or any duty if none is named."""

    able: bool
    duty: str = ""


@dataclass(slots=True, frozen=True)
class SetState:
    """The holder sets the state of its duty, which is ordered to all members."""

    duty: str
    value: Value


@dataclass(slots=True, frozen=True)
class Move:
    """Hand a duty over to the named member, or to the next candidate."""

    duty: str
    to: str = ""


@dataclass(slots=True, frozen=True)
class WorkStopped:
    """The work of a holder without orders has ended."""

    duty: str


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings; at most one member and one voter were added or removed."""

    settings: Settings


Event = MessagesReceived | TimerFired | AbilityReported | SetState | Move | WorkStopped | SettingsChanged


# Actions, to be carried out in order


@dataclass(slots=True, frozen=True)
class Memory:
    """What one member remembers of a duty."""

    term: int = 0
    voted: str = ""
    promised: int = 0  # the highest token seen
    token: int = 0  # token of the last accepted order
    number: int = 0
    value: Value = ()


@dataclass(slots=True, frozen=True)
class Save:
    """Store these memories, by duty, before any later action is carried out."""

    memories: dict[str, Memory]


@dataclass(slots=True, frozen=True)
class Send:
    """Send these messages to another member, in one datagram if they fit; they may be lost."""

    to: str
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class Acquired:
    """This process holds a duty and may act for it, after a check of `Duties.acting_token` before each
    effect."""

    duty: str
    token: int
    value: Value


@dataclass(slots=True, frozen=True)
class Lost:
    """This process no longer holds a duty, and must start nothing new for it.

    For a duty without orders, post `WorkStopped` once its work has ended.
    """

    duty: str
    reason: str


@dataclass(slots=True, frozen=True)
class Committed:
    """A majority of the members has accepted the holder's order of this number, so that no later holder will
    miss it."""

    duty: str
    token: int
    number: int


@dataclass(slots=True, frozen=True)
class Obeys:
    """This member obeys an order from now until a time on its own clock.

    Its token is never lower than that of an order obeyed before.
    """

    duty: str
    holder: str
    token: int
    number: int
    value: Value
    until: float


@dataclass(slots=True, frozen=True)
class ObeysNobody:
    """This member has obeyed no holder since a time on its own clock; the duty's safe default applies."""

    duty: str
    since: float


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Post `TimerFired` at this time; replaces the previous timer."""

    at: float


Action = Save | Send | Acquired | Lost | Committed | Obeys | ObeysNobody | SetTimer


@dataclass(slots=True)
class ObeyedOrder:
    """The order that a member obeys."""

    holder: str = ""
    token: int = 0
    number: int = 0
    value: Value = field(default_factory=tuple)
    until: float = -math.inf
