"""Duties of a fleet, each held by one router at a time: one process's part; events in, actions out, no I/O.

Each duty has an election of its own (`election/core.py`) over the same voters, so that no holder depends on
another; what several of them say to one process at one moment goes in one datagram, and one heartbeat renews
all leases of a holder. Orders and what becomes of them are `lead.py` and `member.py`.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from typing import Any

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.lead import Lead
from myrtlecourse.duties.member import Member
from myrtlecourse.duties.messages import Duty, Item, Memory, Message, Obeyed, Settings
from myrtlecourse.election import messages as election
from myrtlecourse.election.core import Election, Role
from myrtlecourse.election.count import Count

MOST_BRAKE = 16  # times: a duty that nobody can do is tried by each now and then all the same
OF_ELECTIONS = (
    *(election.Ask, election.Grant, election.Deny, election.Beat),
    *(election.Renew, election.Release, election.Take, election.Invite),
)


class Duties:
    """One process's part."""

    def __init__(
        self, settings: Settings, saved: dict[str, Memory] | None, now: float, seed: int, floor: int = 0
    ) -> None:
        """`saved` is what the process before wrote down, None where there is no disk or nothing on it.

        Then terms begin after `floor`, a number that is higher at each start: else a majority that has
        forgotten all would give tokens once more that were given before.
        """
        self.settings = settings
        self.now = now
        self.chance = random.Random(seed)
        self.count = Count(self.chance)
        self.duties: dict[str, Duty] = {}
        self.names: dict[int, str] = {}
        self.elections: dict[str, Election] = {}
        self.members: dict[str, Member] = {}
        self.leads: dict[str, Lead] = {}
        self.ends: dict[str, float] = {}  # of holdings that are let go: when to wait no longer
        self.clear: dict[str, int] = {}  # terms whose holder has said that nobody obeys it any more
        self.brakes: dict[str, int] = {}  # how often a duty was given up as nobody answered
        self.able = True
        self.unable: set[str] = set()  # duties that this process can't hold
        self.wakes: dict[str, float] = {}
        self.holds_without: set[str] = set()  # duties without orders
        self.acts: list[said.Action] = []
        self.words: dict[str, list[Item]] = defaultdict(list)
        self.own: deque[Item] = deque()  # said to this very process
        self.dirty = False
        self.beating = False
        self.ordering = False
        first_stamp = self.chance.getrandbits(48) + 1
        for duty in settings.duties:
            memory = (saved or {}).get(duty.name)
            before = election.Saved(floor, "")
            if memory is not None:
                before = election.Saved(memory.term, memory.voted)
            number = self.chance.getrandbits(32)
            self.duties[duty.name] = duty
            self.names[duty.number] = duty.name
            self.elections[duty.name] = Election(settings.election(duty), before, now, number, self.count)
            self.members[duty.name] = Member(duty, memory, now, first_stamp)

    # What may be done at this moment

    def may(self, now: float, name: str) -> int | None:
        """The token to act for a duty with, or None; to be asked before each effect, never once for many."""
        held = self.elections[name]
        if not held.holds(now):
            return None
        lead = self.leads.get(name)
        if lead is None:
            return held.term if name in self.holds_without else None
        return lead.token if lead.acting and not lead.leaving else None

    def obeys(self, now: float, name: str) -> Obeyed | None:
        """The order that this member is to act by at this very moment; None: the duty's safe rest."""
        return self.members[name].obeys(now)

    # Events

    def handle(self, now: float, event: said.Event) -> list[said.Action]:
        """Take one event and answer with actions, to be carried out in order. Raises DutiesError."""
        self.now = max(now, self.now)
        self._check(event)
        self.acts, self.words = [], defaultdict(list)
        self.dirty = self.beating = self.ordering = False
        if not isinstance(event, said.Changed):
            # what is over is over first: a process that was stopped wakes with what came for a holder
            for name in self.elections:
                self._elect(name, election.Woke())
        match event:
            case said.Heard(sender, items):
                for number, message in items:
                    if number in self.names and sender in self.settings.members:
                        self._hear(self.names[number], sender, message)
            case said.Able():
                self._on_able(event)
            case said.Place(name, value):
                if self.may(self.now, name) is not None:
                    self.leads[name].place(self.now, value)
            case said.Move(name, to):
                self._on_move(name, to)
            case said.Stopped(name) if not self.duties[name].orders:
                self._elect(name, election.Withdrawn())
            case said.Changed(settings):
                self._on_changed(settings)
            case said.Woke() | said.Stopped():
                pass
        self._serve()
        return self._actions()

    def _actions(self) -> list[said.Action]:
        saves = [said.Save({n: self._memory(n) for n in self.duties})] if self.dirty else []
        says = [said.Say(to, tuple(items)) for to, items in self.words.items() if items]
        return [*saves, *self.acts, *says, said.Wake(self._next())]

    def _memory(self, name: str) -> Memory:
        saved = self.elections[name].saved
        return self.members[name].memory(saved.term, saved.voted)

    def _say(self, name: str, to: str, message: Message) -> None:
        item = self.duties[name].number, message
        if to == self.settings.name:
            self.own.append(item)
        else:
            self.words[to].append(item)

    def _elect(self, name: str, event: election.Event) -> None:
        self._carry(name, self.elections[name].handle(self.now, event))

    def _carry(self, name: str, actions: list[election.Action]) -> None:
        """Carry out what a duty's election answers."""
        for action in actions:
            match action:
                case election.Save():
                    self.dirty = True
                case election.Tell(to, message):
                    self.beating = self.beating or isinstance(message, election.Beat)
                    self._say(name, to, message)
                case election.Announce(term):
                    self._won(name, term)
                case election.Withdraw(why):
                    self._withdraw(name, why)
                case election.Wake(at):
                    self.wakes[name] = at

    # Holding

    def _won(self, name: str, term: int) -> None:
        duty = self.duties[name]
        if duty.orders:
            self.leads[name] = Lead(self.settings, duty, term, self.now, self.clear.get(name) == term - 1)
        else:
            self.holds_without.add(name)
            self.acts.append(said.Took(name, term, ()))

    def _withdraw(self, name: str, why: str) -> None:
        """The lease is over or given up: act no more, and let those that obey know."""
        lead = self.leads.get(name)
        if name in self.holds_without:
            self.holds_without.discard(name)
            self.acts.append(said.Lost(name, why))
            return  # until it is `Stopped`
        if lead is not None and lead.acting:
            self.acts.append(said.Lost(name, why))
        # long enough to be heard, and much shorter than the voters' words, which still stand
        self.ends[name] = self.now + 2 * self.settings.heartbeat

    def _let_go(self, name: str, lead: Lead) -> None:
        """Tell members to obey no more; once they have said so, or long enough after, the voters hear."""
        for member, message in lead.revoke(self.now):
            self._say(name, member, message)
        clear = lead.clear(self.now) and self.now >= lead.clear_at
        if clear or not lead.bound or self.now >= self.ends[name]:
            del self.leads[name], self.ends[name]
            self._elect(name, election.Withdrawn(clear))

    def _serve(self) -> None:
        """Do what is due for all duties."""
        for name in list(self.leads):
            self._lead(name, self.leads[name])
        while self.own:
            self._hear_own()
            for name in list(self.leads):
                self._lead(name, self.leads[name])
        if self.ordering:
            for name, lead in list(self.leads.items()):
                if name not in self.ends:
                    lead.join(self.now)
                    self._lead(name, lead)
        self._hear_own()
        if self.beating:
            for name, held in self.elections.items():
                self._carry(name, held.join(self.now))
        for name in self.members:
            self._look_at(name)

    def _hear_own(self) -> None:
        """What this process says to itself, and answers."""
        while self.own:
            number, message = self.own.popleft()
            self._hear(self.names[number], self.settings.name, message)

    def _look_at(self, name: str) -> None:
        """Tell when a member's order has run out, or was dropped for a later holder."""
        member = self.members[name]
        if not member.rested and member.obeys(self.now) is None:
            member.rested = True
            self.acts.append(said.Rests(name, min(self.now, member.ends)))

    def _lead(self, name: str, lead: Lead) -> None:
        if name in self.ends:
            self._let_go(name, lead)
            return
        if lead.unheard_for(self.now) >= self.settings.unheard:
            times = self.brakes.get(name, 0)
            self.brakes[name] = times + 1
            rest = self.settings.brake * min(MOST_BRAKE, 2**times)
            self._elect(name, election.Resign("its orders are not heard by enough members", rest))
            return
        if lead.may_begin(self.now):
            lead.begin(self.now)
            self.acts.append(said.Took(name, lead.token, lead.value))
        for member, message in lead.due(self.now):
            self.ordering = self.ordering or lead.acting
            self._say(name, member, message)

    def _on_able(self, event: said.Able) -> None:
        if not event.duty:
            self.able = event.able
        elif event.able:
            self.unable.discard(event.duty)
        else:
            self.unable.add(event.duty)
        for name in self.elections:
            self._elect(name, election.Able(self.able and name not in self.unable))

    def _check(self, event: said.Event) -> None:
        """Guards what is under way: an event that can't be is refused before anything is done. Raises
        DutiesError."""
        match event:
            case said.Place(name, value):
                if self.may(self.now, name) is None or name not in self.leads:
                    raise said.DutiesError(f"{name}: this process does not hold it")
                if len(value) > said.MOST_VALUES or any(not 0 <= v < said.LARGEST for v in value):
                    raise said.DutiesError(
                        f"{name}: a state is {said.MOST_VALUES} numbers at most, from 0 up"
                    )
            case said.Move(name, to):
                if name not in self.duties:
                    raise said.DutiesError(f"{name}: no duty has this name")
                if self.may(self.now, name) is None:
                    raise said.DutiesError(f"{name}: this process does not hold it")
                if to and to not in self.elections[name].settings.candidates:
                    raise said.DutiesError(f"{name}: {to} may not hold it")
                if to == self.settings.name:
                    raise said.DutiesError(f"{name}: {to} holds it already")
            case said.Changed(settings):
                self._check_change(settings)

    def _check_change(self, settings: Settings) -> None:
        if settings.name != self.settings.name or settings.duties != self.settings.duties:
            raise said.DutiesError("name and duties can't be others while a process runs")
        for what in ("members", "voters"):
            # any two majorities must share one
            if len(set(getattr(settings, what)) ^ set(getattr(self.settings, what))) > 1:
                raise said.DutiesError(
                    f"{what}: one may come or go at a time; wait until all have the change"
                )
        for name, each in self.elections.items():
            try:
                each.check_change(self.now, settings.election(self.duties[name]))
            except election.ElectionError as e:
                raise said.DutiesError(f"{name}: {e}") from e

    def _on_move(self, name: str, to: str) -> None:
        if self.may(self.now, name) is None:
            return  # over since it was asked for
        candidates = self.elections[name].settings.candidates
        lead = self.leads.get(name)
        if not to and lead is not None:
            # one that answers: to let voters look for somebody takes longer
            alive = lead.alive(self.now)
            to = next((c for c in candidates if c in alive and c != self.settings.name), "")
        self._elect(name, election.Move(to))

    def _on_changed(self, settings: Settings) -> None:
        self.settings = settings
        for name in self.elections:
            self._elect(name, election.Changed(settings.election(self.duties[name])))
        for lead in self.leads.values():
            lead.change(settings)

    # Messages

    def _hear(self, name: str, sender: str, message: Message) -> None:
        if isinstance(message, OF_ELECTIONS):
            if isinstance(message, election.Take) and message.clear:
                self.clear[name] = message.term
            self._elect(name, election.Heard(sender, message))
            return
        lead = self.leads.get(name)
        match message:
            case said.Survey() | said.Order():
                self._obey(name, sender, message)
            case said.Known() if lead is not None and name not in self.ends:
                lead.known_of(self.now, sender, message)
                if sender != self.settings.name:
                    self._lead(name, lead)
            case said.Taken() if lead is not None:
                again, settled = lead.taken_by(self.now, sender, message)
                if again is not None:
                    self._say(name, sender, again)
                if settled:
                    self.acts.append(said.Settled(name, lead.token, lead.settled))
                    if lead.settled == lead.number:
                        self.brakes.pop(name, None)
                if name in self.ends and sender != self.settings.name:
                    self._let_go(name, lead)
            case said.Outdated(token) if lead is not None and token > lead.token and name not in self.ends:
                self._elect(name, election.Resign("a later holder is known", self.settings.heartbeat))

    def _obey(self, name: str, sender: str, message: said.Survey | said.Order) -> None:
        """Take a holder's word, and answer it once what must last is written down."""
        if sender not in self.elections[name].settings.candidates:
            return
        self._look_at(name)  # what ran out before this came, or a stop would hide it
        member = self.members[name]
        before = member.promised, member.token, member.number, member.value
        obeyed = member.obeyed
        if isinstance(message, said.Survey):
            answer = member.survey(self.now, message)
        else:
            answer = member.order(self.now, sender, message)
        self.dirty |= before != (member.promised, member.token, member.number, member.value)
        now = member.obeyed
        if now.token != obeyed.token:
            self._look_at(name)
            if not member.rested:
                self.acts.append(said.Rests(name, self.now))  # from one holder to the next
        if now is not obeyed and self.now < now.until:
            member.rested = False
            self.acts.append(said.Obeys(name, now.holder, now.token, now.number, now.value, now.until))
        self._say(name, sender, answer)

    def _next(self) -> float:
        """When something will be due."""
        times = [*self.wakes.values(), *(lead.next(self.now) for lead in self.leads.values())]
        times += [self.ends[n] for n in self.ends if n in self.leads]
        times += [m.obeyed.until for m in self.members.values() if not m.rested]
        return min(times)

    # For staff

    def status(self, now: float) -> dict[str, Any]:
        """What staff may want to know; JSON-able. Times in seconds."""
        found = []
        for name, held in self.elections.items():
            member, lead = self.members[name], self.leads.get(name)
            obeyed = member.obeys(now)
            found.append(
                {
                    "duty": name,
                    "role": held.role.value,
                    "acts": self.may(now, name) is not None,
                    "holder": self.settings.name if held.holds(now) else member.holder,
                    "token": held.term if held.role is Role.HOLDER else member.promised,
                    "lease_left_s": max(0.0, held.lease_until - now) if held.role is Role.HOLDER else 0.0,
                    "obeys": {"token": obeyed.token, "number": obeyed.number} if obeyed is not None else None,
                    "state": list(member.value),
                    "order_age_s": round(now - member.heard_at, 3) if member.holder else None,
                    "dropped_orders": member.stale,
                    "taken_by": dict(lead.taken) if lead is not None else {},
                    "settled": lead.settled if lead is not None else 0,
                }
            )
        return {"name": self.settings.name, "voters": list(self.settings.voters), "duties": found}
