"""A router's part in leaving zones as a fleet; events in, orders out, no I/O and no clock.

What attempts prove comes from the decision module, by its one account; what others have counted comes in
their records. The routers of each zone have one register for each zone they may leave; whoever finds by the
rule that it must change makes its next value, and the later value wins everywhere.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from myrtlecourse import interface as api
from myrtlecourse.peers.records import ROOM, Record, width
from myrtlecourse.peers.seal import ident
from myrtlecourse.zones import pace, verdict
from myrtlecourse.zones.evidence import LONG, PERIOD, SHORT, UNKNOWN, Counts, Tally, heard, told
from myrtlecourse.zones.returns import Report, Returns
from myrtlecourse.zones.tiers import Tiers
from myrtlecourse.zones.verdict import ALL, WHOLE, Look, Order, Standing, Sum

ORIGIN = "\0origin"  # the origin's zone, which no other can be named
LATELY = PERIOD * SHORT  # seconds for which a record's short counts say how things stand
RECENT = 8.0  # and where there is no hurry
ALONE = 2.0  # seconds for which others reach what this router does not: then it is this one
FRESH = 2.5  # the same of its longer ones
TRIALS_A_SECOND = 3.0  # of the routers of a zone together, at a zone that is out
QUICKER = 4.0  # times that, once one has come through
UNTRIED = 4.0  # times its hold, after which what others reach is taken for back where nobody has tried
CALM = 20.0  # seconds back, after which leaving again is not flapping
FORGOTTEN = 120.0  # seconds after which a register that is in need not be told any more
MOST_REGISTERS = 8  # told in a record
MOST_ZONES = 64
REST = 2.0  # seconds for which a router that hears nobody leaves things as they are
STEADY = 0.25  # share by which a figure of an order may be off before that makes a new one
ENOUGH_TO_DOUBT = 3  # answers of late: one failure among them is no news
UNBELIEVED = (
    0.5  # seconds after this process stood still in which it counts nothing: that is why it timed out
)


class ZonesError(ValueError):
    """An order that can't be given; the message says why."""


@dataclass(slots=True)
class Register:
    """How a zone stands for the routers of one zone, as this router has it."""

    standing: Standing = field(default_factory=Standing)
    since: float = -math.inf  # of its present value, on the own clock
    until: float = math.inf  # an operators' order ends then


@dataclass(slots=True, frozen=True)
class Change:
    """For the log: what has become of a zone, and why."""

    zone: str
    text: str


class Zones:
    """One router's part."""

    def __init__(
        self,
        name: str,
        zone: str,
        now: float,
        spill: float = 3.0,
        leave_origin: bool = True,
        tiers: Tiers | None = None,
        paced: bool = True,
        origin_rate: float = 0.0,
    ) -> None:
        """`spill` times what the survivors of a zone were sent is what they are sent at most when it
        is left. `paced`: it is returned to in steps; `origin_rate` fetches a second are what the origin bears
        of the whole fleet, 0 where nobody knows."""
        self.me = ident(name)
        self.home = ident(zone, 2)
        self.spill = spill
        self.tiers = tiers or Tiers()
        self.sizes: Mapping[str, int] = {}  # cache servers, by zone
        self.leave_origin = leave_origin  # else it is looked at and told, and asked as ever
        self.paced = paced
        self.returns = Returns(ident(ORIGIN, 2), origin_rate)
        self.names: dict[int, str] = {self.home: zone, ident(ORIGIN, 2): ORIGIN}
        self.counts = Counts(now)
        self.unbelieved_until = -math.inf
        self.rests_until = -math.inf  # hearing nobody, it leaves things as they are for so long
        self.registers: dict[tuple[int, int], Register] = {}  # by whose routers, and which zone
        self.records: list[Record] = []  # of the others, as of the last tick
        self.read: dict[int, tuple[Record, dict[int, Tally]]] = {}  # what they tell, by their owners
        self.members = {self.home: 1}
        self.fleet = 1
        self.given = api.ZoneExit()
        self.changes: list[Change] = []
        self.doubted: dict[int, float] = {}  # zones that others reach and this router does not: since when
        self.alone: set[int] = set()  # those of them for long enough

    def zones(self, sizes: Mapping[str, int]) -> None:
        """How many cache servers the list names in each zone; a zone that it once named stays known."""
        self.sizes = sizes
        for name in sorted(sizes):
            if len(self.names) < MOST_ZONES:
                self.names.setdefault(ident(name, 2), name)

    # Evidence

    def ended(
        self, now: float, zone: str, reach: api.Reachability, pressed: bool = False, missed: bool = False
    ) -> bool:
        """An attempt at a zone has ended; answers whether all should hear of it at once."""
        if now < self.unbelieved_until:
            return False
        number = ident(zone, 2)
        before = self.counts.tallies(now).get(number, Tally())
        self.counts.add(now, number, reach, pressed, missed)
        if number in self._left():
            return reach is api.Reachability.ANSWERED and not before.heard  # it may be back
        return reach is not api.Reachability.ANSWERED and not before.bad and before.heard < ENOUGH_TO_DOUBT

    def stood_still(self, now: float) -> None:
        """This process did not run for a while: what it knew, and what ends now, says nothing of others."""
        self.counts.clear()
        self.unbelieved_until = now + UNBELIEVED
        self.rests_until = now + REST
        for register in self.registers.values():
            if not register.standing.ordered:
                register.standing = Standing()

    def said(self, now: float) -> tuple[int, ...]:
        """What this router's next record says: its counts, and the registers that stand out."""
        recent = [
            (key, r)
            for key, r in self.registers.items()
            if r.standing.epoch and (r.standing.out or now - r.since < FORGOTTEN)
        ]
        recent.sort(key=lambda item: (not item[1].standing.out, -item[1].since))
        registers: list[int] = []
        for (scope, zone), register in recent[:MOST_REGISTERS]:
            left = 0 if register.until == math.inf else max(1, math.ceil(register.until - now))
            standing = register.standing
            registers += [scope, zone, standing.number(), standing.by, min(65_535, left)]
        room = ROOM - sum(map(width, registers))
        return (*told(self.counts.tallies(now), room), *registers)

    def hear(self, now: float, record: Record) -> bool:
        """Take what another says; answers whether a register has changed by it."""
        tallies, rest = heard(record.said)
        self.read[record.owner] = record, tallies
        changed = False
        for i in range(0, len(rest) - 4, 5):
            scope, zone, number, by, left = rest[i : i + 5]
            standing = verdict.standing(number, by)
            # an operators' order is somebody's and has an end, and nothing else has
            if standing.ordered is bool(by and left):
                changed |= self._merge(now, (scope, zone), standing, left)
        return changed

    def _merge(self, now: float, key: tuple[int, int], new: Standing, left: int) -> bool:
        if key not in self.registers and len(self.registers) >= MOST_ZONES:
            return False
        register = self.registers.setdefault(key, Register())
        was, merged = register.standing, register.standing.merged(new)
        if merged == was:
            return False
        register.standing, register.since = merged, now
        self._begin_anew(key)
        self._after_order(now, key, was)
        register.until = now + left if left else math.inf
        return True

    def _begin_anew(self, key: tuple[int, int]) -> None:
        """Guards a return: a run of failures of before it says nothing of the zone, and would end it."""
        scope, zone = key
        if scope == self.home and not self.registers[key].standing.out:
            self.counts.runs.pop(zone, None)

    # The verdict

    def tick(self, now: float, records: list[Record], members: dict[int, int], believes: bool) -> bool:
        """Look at all anew; answers whether a register was changed here, which all should hear at once.

        `members` are the routers that are there, by their zones; `believes` tells whether any other is heard.
        """
        self.records = records
        self.members = members
        self.fleet = sum(members.values())
        if not believes:
            # nobody to agree with: after a while, what a lone router does by itself is all that is left
            if now >= self.rests_until:
                self._give(now, frozenset(), {})
            return False
        self.rests_until = now + REST
        changed = False
        for zone in list(self.names):
            changed |= self._look(now, zone)
        self._end_orders(now)
        left = frozenset(z for z in self.names if self._obeyed(now, z))
        for zone in self.names:
            self.returns.note(now, zone, self._standing(zone), zone in left)
        self._give(now, left, {z: self._standing(z).share for z in self.names if self._returns(z)})
        return changed

    def _answers(self, now: float, zone: int) -> bool:
        """Whether a trial of a zone that is left has come through to any of this one's routers."""
        since = self.registers.get((self.home, zone), Register()).since
        return any(t.heard_long for t in self._seen(now, zone, since)[0])

    def _standing(self, zone: int) -> Standing:
        """How a zone stands for this one's routers."""
        return self.registers.get((self.home, zone), Register()).standing

    def _returns(self, zone: int) -> bool:
        """Whether this router returns to a zone with the others, by steps."""
        ordered = self._ordered(zone)
        back = self._standing(zone).order is Order.BACK and zone not in self.returns.kept
        return back and ordered in (None, Order.ORDERED_HOLD)

    @property
    def returning(self) -> bool:
        """Whether anything comes back now: all should hear at once how it bears that."""
        return bool(self.returns.began)

    def _seen(self, now: float, zone: int, since: float = -math.inf) -> tuple[list[Tally], list[Tally]]:
        """What this zone's routers saw of a zone, and those of others; nothing of before `since`.

        Guards against what was counted before a zone was left, or returned to: it would bring everybody back,
        or make everybody leave again.
        """
        near = [self._after(since, now, now, self.counts.tallies(now).get(zone, Tally()))]
        far: list[Tally] = []
        for record in self.records:
            if now - record.made_at <= FRESH:
                tally = self._after(since, record.made_at, now, self._told_by(record).get(zone, Tally()))
                (near if record.zone == self.home else far).append(tally)
        return near, far

    @staticmethod
    def _after(since: float, made_at: float, now: float, tally: Tally) -> Tally:
        """What a tally says of the time since then; its long counts reach back further."""
        if made_at < since + LATELY or now - made_at > LATELY:
            tally = tally.longer()
        if made_at < since + LONG * PERIOD:
            short = tally.heard, tally.refused, tally.silent
            long = {"heard_long": short[0], "refused_long": short[1], "silent_long": short[2]}
            return replace(tally, **long, pressed_long=tally.pressed, missed_long=tally.missed)
        return tally

    def _look(self, now: float, zone: int) -> bool:
        """Apply the rule to one zone, for the routers of this one."""
        register = self.registers.get((self.home, zone), Register())
        standing = register.standing
        self._look_alone(now, zone)
        near, far = self._seen(now, zone, register.since)
        if standing.out:
            held = now >= register.since + standing.hold and self._ordered(zone) is not Order.ORDERED_HOLD
            # the others' word does where this zone's routers have not tried for long: a cut between two
            # zones is no business of a third
            long = now >= register.since + UNTRIED * standing.hold
            if not held or not (verdict.back(near) or (long and self._back_elsewhere(near, far))):
                return False
            self._come_back(now, zone, standing, "trials come through")
            return True
        enough = verdict.ENOUGH
        if standing.order is Order.BACK:
            enough = verdict.AGAIN
            # guards a return: those of other zones, which have not begun, still know of runs from before
            far = [replace(tally, run=UNKNOWN) for tally in far]
        own, everyone = verdict.added(near), verdict.added(near + far)
        shown = verdict.left(own, everyone, self.members.get(self.home, 1), self.fleet, enough)
        if shown is None:
            return standing.order is Order.BACK and self._go_on(now, zone, register)
        calm = now - register.since > CALM and standing.order is Order.IN
        flaps = 1 if calm else min(verdict.MOST_FLAPS, standing.flaps + 1)
        left = Standing(standing.epoch + 1, Order.OUT, flaps)
        self._set(now, zone, left, self._why(shown, shown is own))
        return True

    def _come_back(self, now: float, zone: int, standing: Standing, why: str) -> None:
        """Begin to return: by steps, but to the origin, which is asked by turns."""
        order, share = Order.IN, 0
        if self.paced and self.names.get(zone) != ORIGIN:
            order, share = Order.BACK, pace.FIRST
        self._set(now, zone, Standing(standing.epoch + 1, order, standing.flaps, 0, share), why)

    def _go_on(self, now: float, zone: int, register: Register) -> bool:
        """Look whether a return may go a step on, or must go one back; answers whether it does."""
        if self._ordered(zone) is Order.ORDERED_HOLD:
            self.returns.waits[zone] = "an operator holds it"
            return False
        # each return that is under way, of whichever zone's routers, has its part of what the origin bears
        under_way = [home for (home, _), r in self.registers.items() if r.standing.order is Order.BACK]
        whole = sum(self.members.get(home, 1) for home in under_way)
        part = self.members.get(self.home, 1) / max(1, whole)
        load = self.tiers.lost(self.names[self.home], self.sizes, frozenset((self.names[zone],)))
        reports = [Report(self.home, now, self.counts.tallies(now))]
        reports += [Report(r.zone, r.made_at, self._told_by(r)) for r in self.records]
        view = self.returns.view(now, register.since, zone, reports, self.members, self.home, load, part)
        step = self.returns.step(now, zone, register.standing, now - register.since, view)
        if step is None:
            return False
        self._set(now, zone, *step)
        return True

    @staticmethod
    def _back_elsewhere(near: list[Tally], far: list[Tally]) -> bool:
        return not any(t.bad_long for t in near) and verdict.back(near + far)

    def _told_by(self, record: Record) -> dict[int, Tally]:
        return self.read.get(record.owner, (record, {}))[1]

    def _look_alone(self, now: float, zone: int) -> None:
        """Whether it is this router that can't reach a zone, and not the zone that can't be reached."""
        mine = self.counts.tallies(now).get(zone, Tally())
        if mine.run < verdict.TRIALS or zone in self._left():
            self.doubted.pop(zone, None)
            self.alone.discard(zone)
            return
        near = [r for r in self.records if r.zone == self.home and now - r.made_at <= RECENT]
        others = verdict.added_long(self._told_by(r).get(zone, Tally()) for r in near)
        if not others.total:
            return
        if not verdict.light(others):
            self.doubted.pop(zone, None)
            self.alone.discard(zone)
        elif now - self.doubted.setdefault(zone, now) >= ALONE and zone not in self.alone:
            self.alone.add(zone)
            self._note(zone, "out of reach from this router alone: others of its zone reach it")

    @staticmethod
    def _why(seen: Sum, own: bool) -> str:
        whose = "this zone's routers" if own else "the fleet"
        return (
            f"{seen.bad} of {seen.total} attempts of {whose} did not come through "
            f"({seen.refused} refused, {seen.silent} silent, seen by {seen.witnesses})"
        )

    def _set(self, now: float, zone: int, standing: Standing, why: str) -> None:
        self.registers.setdefault((self.home, zone), Register())
        register = self.registers[self.home, zone]
        register.standing, register.since, register.until = standing, now, math.inf
        self._begin_anew((self.home, zone))
        self._note(zone, f"{standing.order.name.lower()} (epoch {standing.epoch}): {why}")

    def _end_orders(self, now: float) -> None:
        for (scope, zone), register in list(self.registers.items()):
            if now < register.until:
                continue
            was = register.standing
            register.standing = replace(was, epoch=was.epoch + 1, order=Order.IN, by=0)
            register.since, register.until = now, math.inf
            self._after_order(now, (scope, zone), was)

    def _after_order(self, now: float, key: tuple[int, int], was: Standing) -> None:
        """Guards what was taken out by operators, maybe for long: it may have been restarted since."""
        scope, zone = key
        ended = was.order is Order.ORDERED_OUT and not self.registers[key].standing.ordered
        if scope == ALL and ended and self._standing(zone).order is Order.IN:
            self._come_back(now, zone, self._standing(zone), "an operator's order has ended")

    def _ordered(self, zone: int) -> Order | None:
        register = self.registers.get((ALL, zone))
        if register is None or not register.standing.ordered:
            return None
        return register.standing.order

    def _obeyed(self, now: float, zone: int) -> bool:
        """Whether this router leaves a zone out."""
        ordered = self._ordered(zone)
        if ordered in (Order.ORDERED_OUT, Order.ORDERED_IN):
            return ordered is Order.ORDERED_OUT
        register = self.registers.get((self.home, zone))
        if register is None or not register.standing.out:
            return False
        if zone in self._left():
            return True
        # guards against the word of routers that are cut off: what this one reaches itself is not gone
        mine = self.counts.tallies(now).get(zone, Tally())
        return not (mine.heard and mine.heard >= verdict.CONTRADICTED * (mine.heard + mine.bad))

    def _left(self) -> set[int]:
        own = {ident(z, 2) for z in self.given.zones}
        return own | ({ident(ORIGIN, 2)} if self.given.origin_unreachable else set())

    def _give(self, now: float, numbers: frozenset[int], back: Mapping[int, int]) -> None:
        """Make the order to the decision module, if it is another than before: what is left, and how much of
        what comes back."""
        origin = ident(ORIGIN, 2)
        every = self.members.get(self.home, 1) / TRIALS_A_SECOND
        if any(self._answers(now, n) for n in numbers):
            every /= QUICKER  # it may be back: soon enough answers to know
        zones = frozenset(self.names[n] for n in numbers if n != origin)
        forced = frozenset(
            self.names[n] for n in numbers if n != origin and self._ordered(n) is Order.ORDERED_OUT
        )
        before = self.given
        if abs(every - before.trial_interval) <= STEADY * before.trial_interval:
            every = before.trial_interval  # a router that comes or goes is no new order
        routers = {self.names.get(number, ""): count for number, count in self.members.items()}
        spill = self.tiers.spill(self.spill, self.names[self.home], self.sizes, zones, routers)
        if abs(spill - before.spill_limit) <= STEADY * before.spill_limit and zones == before.zones:
            spill = before.spill_limit
        shares = {self.names[n]: share / WHOLE for n, share in back.items()}
        left_origin = self.leave_origin and origin in numbers
        order = api.ZoneExit(zones, left_origin, forced, spill, every, shares, self.paced)
        if order != before and any(
            (o.zones or o.origin_unreachable or o.return_shares) for o in (order, before)
        ):
            self.given = order

    # Operators

    def order(self, now: float, zone: str, order: Order, seconds: float) -> None:
        """An operator's word, which holds for all routers until it ends. Raises ZonesError."""
        number = ident(zone, 2)
        if self.names.get(number) != zone or zone == ORIGIN:
            raise ZonesError(f"no zone is named {zone!r}")
        register = self.registers.setdefault((ALL, number), Register())
        register.standing = Standing(register.standing.epoch + 1, order, 0, self.me)
        register.since, register.until = now, now + seconds
        word = order.name.removeprefix("ORDERED_").lower()
        self._note(number, f"ordered {word} for {seconds:g} s by an operator at this router")

    def _note(self, zone: int, text: str) -> None:
        name = self.names.get(zone, f"#{zone}")
        self.changes.append(Change("the origin" if name == ORIGIN else name, text))

    def look(self, now: float) -> dict[str, tuple[Look, Sum, Standing, float]]:
        """Each zone as seen from here, for staff: a word, the sums, how it stands and since when."""
        found = {}
        for number, name in self.names.items():
            near, far = self._seen(now, number)
            seen = verdict.added_long(near + far)
            key = (ALL, number) if self._ordered(number) else (self.home, number)
            register = self.registers.get(key, Register())
            found[name] = (verdict.look(seen), seen, register.standing, now - register.since)
        return found
