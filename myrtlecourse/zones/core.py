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
from myrtlecourse.peers.records import MAX_PAYLOAD_SIZE, Record, encoded_size
from myrtlecourse.peers.seal import ident
from myrtlecourse.zones import exit_rule, pace
from myrtlecourse.zones.exit_rule import ALL_ROUTERS, FULL_SHARE, Evidence, ZoneHealth, ZoneMode, ZoneState
from myrtlecourse.zones.returns import Report, Returns
from myrtlecourse.zones.tallies import (
    LONG_PERIODS,
    PERIOD,
    RUN_UNKNOWN,
    SHORT_PERIODS,
    AttemptCounts,
    Tally,
    decode_tallies,
    encode_tallies,
)
from myrtlecourse.zones.tiers import Tiers

ORIGIN = "\0origin"  # the origin's zone, which no other can be named
SHORT_WINDOW = PERIOD * SHORT_PERIODS  # seconds for which a record's short counts say how things stand
MAX_NEIGHBOUR_AGE = 8.0  # and where there is no hurry
ISOLATION_DELAY = 2.0  # seconds for which others reach what this router does not: then it is this one
MAX_RECORD_AGE = 2.5  # the same of its longer ones
TRIALS_PER_SECOND = 3.0  # of the routers of a zone together, at a zone that is out
TRIAL_SPEEDUP = 4.0  # times that, once one has come through
UNTRIED_HOLDS = 4.0  # times its hold, after which what others reach is taken for back where nobody has tried
FLAP_RESET_AFTER = 20.0  # seconds back, after which leaving again is not flapping
ANNOUNCE_PERIOD = 120.0  # seconds after which a register that is in need not be told any more
MAX_REGISTERS = 8  # told in a record
MAX_ZONES = 64
NO_PEERS_GRACE = 2.0  # seconds for which a router that hears nobody leaves things as they are
ORDER_TOLERANCE = 0.25  # share by which a figure of an order may be off before that makes a new one
ANSWERS_OUTWEIGHING_FAILURE = 3  # answers of late: one failure among them is no news
IGNORED_AFTER_STALL = (
    0.5  # seconds after this process stood still in which it counts nothing: that is why it timed out
)


class ZonesError(ValueError):
    """An order that can't be given; the message says why."""


@dataclass(slots=True)
class Register:
    """How a zone stands for the routers of one zone, as this router has it."""

    state: ZoneState = field(default_factory=ZoneState)
    since: float = -math.inf  # of its present value, on the own clock
    order_ends: float = math.inf  # an operators' order ends then


@dataclass(slots=True, frozen=True)
class StateChange:
    """For the log: what has become of a zone, and why."""

    zone: str
    text: str


class ZoneCoordinator:
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
        self.own_id = ident(name)
        self.home = ident(zone, 2)
        self.spill = spill
        self.tiers = tiers or Tiers()
        self.sizes: Mapping[str, int] = {}  # cache servers, by zone
        self.leave_origin = leave_origin  # else it is looked at and told, and asked as ever
        self.paced = paced
        self.returns = Returns(ident(ORIGIN, 2), origin_rate)
        self.names: dict[int, str] = {self.home: zone, ident(ORIGIN, 2): ORIGIN}
        self.counts = AttemptCounts(now)
        self.ignores_until = -math.inf
        self.keeps_order_until = -math.inf  # hearing nobody, it leaves things as they are for so long
        self.registers: dict[tuple[int, int], Register] = {}  # by whose routers, and which zone
        self.records: list[Record] = []  # of the others, as of the last tick
        self.decoded: dict[int, tuple[Record, dict[int, Tally]]] = {}  # what they tell, by their owners
        self.routers = {self.home: 1}
        self.fleet_size = 1
        self.current_order = api.ZonesLeft()
        self.changes: list[StateChange] = []
        self.unreached_since: dict[
            int, float
        ] = {}  # zones that others reach and this router does not: since when
        self.isolated_from: set[int] = set()  # those of them for long enough

    def set_zone_sizes(self, sizes: Mapping[str, int]) -> None:
        """How many cache servers the list names in each zone; a zone that it once named stays known."""
        self.sizes = sizes
        for name in sorted(sizes):
            if len(self.names) < MAX_ZONES:
                self.names.setdefault(ident(name, 2), name)

    # Evidence

    def attempt_ended(
        self, now: float, zone: str, reach: api.Reach, pressed: bool = False, missed: bool = False
    ) -> bool:
        """An attempt at a zone has ended; answers whether all should hear of it at once."""
        if now < self.ignores_until:
            return False
        number = ident(zone, 2)
        before = self.counts.tallies(now).get(number, Tally())
        self.counts.add(now, number, reach, pressed, missed)
        if number in self._left_zone_ids():
            return reach is api.Reach.HEARD and not before.answered  # it may be back
        return (
            reach is not api.Reach.HEARD
            and not before.failed
            and before.answered < ANSWERS_OUTWEIGHING_FAILURE
        )

    def process_stalled(self, now: float) -> None:
        """This process did not run for a while: what it knew, and what ends now, says nothing of others."""
        self.counts.clear()
        self.ignores_until = now + IGNORED_AFTER_STALL
        self.keeps_order_until = now + NO_PEERS_GRACE
        for register in self.registers.values():
            if not register.state.ordered:
                register.state = ZoneState()

    def payload(self, now: float) -> tuple[int, ...]:
        """What this router's next record says: its counts, and the registers that stand out."""
        recent = [
            (key, r)
            for key, r in self.registers.items()
            if r.state.epoch and (r.state.out or now - r.since < ANNOUNCE_PERIOD)
        ]
        recent.sort(key=lambda item: (not item[1].state.out, -item[1].since))
        registers: list[int] = []
        for (scope, zone), register in recent[:MAX_REGISTERS]:
            left = 0 if register.order_ends == math.inf else max(1, math.ceil(register.order_ends - now))
            standing = register.state
            registers += [scope, zone, standing.encode(), standing.ordered_by, min(65_535, left)]
        room = MAX_PAYLOAD_SIZE - sum(map(encoded_size, registers))
        return (*encode_tallies(self.counts.tallies(now), room), *registers)

    def receive_record(self, now: float, record: Record) -> bool:
        """Take what another says; answers whether a register has changed by it."""
        tallies, rest = decode_tallies(record.payload)
        self.decoded[record.owner] = record, tallies
        changed = False
        for i in range(0, len(rest) - 4, 5):
            scope, zone, number, by, left = rest[i : i + 5]
            standing = exit_rule.decode_state(number, by)
            # an operators' order is somebody's and has an end, and nothing else has
            if standing.ordered is bool(by and left):
                changed |= self._merge(now, (scope, zone), standing, left)
        return changed

    def _merge(self, now: float, key: tuple[int, int], new: ZoneState, left: int) -> bool:
        if key not in self.registers and len(self.registers) >= MAX_ZONES:
            return False
        register = self.registers.setdefault(key, Register())
        was, merged = register.state, register.state.merged(new)
        if merged == was:
            return False
        register.state, register.since = merged, now
        self._drop_old_failures(key)
        self._return_after_order(now, key, was)
        register.order_ends = now + left if left else math.inf
        return True

    def _drop_old_failures(self, key: tuple[int, int]) -> None:
        """Guards a return: a run of failures of before it says nothing of the zone, and would end it."""
        scope, zone = key
        if scope == self.home and not self.registers[key].state.out:
            self.counts.runs.pop(zone, None)

    # The verdict

    def tick(self, now: float, records: list[Record], members: dict[int, int], peers_heard: bool) -> bool:
        """Look at all anew; answers whether a register was changed here, which all should hear at once.

        `members` are the routers that are there, by their zones; `peers_heard` tells whether any other is heard.
        """
        self.records = records
        self.routers = members
        self.fleet_size = sum(members.values())
        if not peers_heard:
            # nobody to agree with: after a while, what a lone router does by itself is all that is left
            if now >= self.keeps_order_until:
                self._update_order(now, frozenset(), {})
            return False
        self.keeps_order_until = now + NO_PEERS_GRACE
        changed = False
        for zone in list(self.names):
            changed |= self._apply_rule(now, zone)
        self._expire_orders(now)
        left = frozenset(z for z in self.names if self._leaves_out(now, z))
        for zone in self.names:
            self.returns.update(now, zone, self._state(zone), zone in left)
        self._update_order(
            now, left, {z: self._state(z).share for z in self.names if self._follows_return(z)}
        )
        return changed

    def _trial_answered(self, now: float, zone: int) -> bool:
        """Whether a trial of a zone that is left has come through to any of this one's routers."""
        since = self.registers.get((self.home, zone), Register()).since
        return any(t.answered_long for t in self._tallies_since(now, zone, since)[0])

    def _state(self, zone: int) -> ZoneState:
        """How a zone stands for this one's routers."""
        return self.registers.get((self.home, zone), Register()).state

    def _follows_return(self, zone: int) -> bool:
        """Whether this router returns to a zone with the others, by steps."""
        ordered = self._operator_mode(zone)
        back = self._state(zone).mode is ZoneMode.BACK and zone not in self.returns.never_left
        return back and ordered in (None, ZoneMode.ORDERED_HOLD)

    @property
    def returning(self) -> bool:
        """Whether anything comes back now: all should hear at once how it bears that."""
        return bool(self.returns.began_at)

    def _tallies_since(
        self, now: float, zone: int, since: float = -math.inf
    ) -> tuple[list[Tally], list[Tally]]:
        """What this zone's routers saw of a zone, and those of others; nothing of before `since`.

        Guards against what was counted before a zone was left, or returned to: it would bring everybody back,
        or make everybody leave again.
        """
        near = [self._clip_tally(since, now, now, self.counts.tallies(now).get(zone, Tally()))]
        far: list[Tally] = []
        for record in self.records:
            if now - record.made_at <= MAX_RECORD_AGE:
                tally = self._clip_tally(
                    since, record.made_at, now, self._tallies_of(record).get(zone, Tally())
                )
                (near if record.zone == self.home else far).append(tally)
        return near, far

    @staticmethod
    def _clip_tally(since: float, made_at: float, now: float, tally: Tally) -> Tally:
        """What a tally says of the time since then; its long counts reach back further."""
        if made_at < since + SHORT_WINDOW or now - made_at > SHORT_WINDOW:
            tally = tally.long_only()
        if made_at < since + LONG_PERIODS * PERIOD:
            short = tally.answered, tally.refused, tally.silent
            long = {"answered_long": short[0], "refused_long": short[1], "silent_long": short[2]}
            return replace(tally, **long, overloaded_long=tally.overloaded, misses_long=tally.misses)
        return tally

    def _apply_rule(self, now: float, zone: int) -> bool:
        """Apply the rule to one zone, for the routers of this one."""
        register = self.registers.get((self.home, zone), Register())
        standing = register.state
        self._check_isolation(now, zone)
        near, far = self._tallies_since(now, zone, register.since)
        if standing.out:
            held = (
                now >= register.since + standing.min_out_time
                and self._operator_mode(zone) is not ZoneMode.ORDERED_HOLD
            )
            # the others' word does where this zone's routers have not tried for long: a cut between two
            # zones is no business of a third
            long = now >= register.since + UNTRIED_HOLDS * standing.min_out_time
            if not held or not (exit_rule.is_back(near) or (long and self._answered_elsewhere(near, far))):
                return False
            self._begin_return(now, zone, standing, "trials come through")
            return True
        enough = exit_rule.MIN_ATTEMPTS
        if standing.mode is ZoneMode.BACK:
            enough = exit_rule.MIN_ATTEMPTS_RETURNING
            # guards a return: those of other zones, which have not begun, still know of runs from before
            far = [replace(tally, failures_in_row=RUN_UNKNOWN) for tally in far]
        own, everyone = exit_rule.sum_tallies(near), exit_rule.sum_tallies(near + far)
        shown = exit_rule.exit_evidence(
            own, everyone, self.routers.get(self.home, 1), self.fleet_size, enough
        )
        if shown is None:
            return standing.mode is ZoneMode.BACK and self._step_return(now, zone, register)
        calm = now - register.since > FLAP_RESET_AFTER and standing.mode is ZoneMode.IN
        flaps = 1 if calm else min(exit_rule.MAX_FLAPS, standing.flaps + 1)
        left = ZoneState(standing.epoch + 1, ZoneMode.OUT, flaps)
        self._set_state(now, zone, left, self._exit_reason(shown, shown is own))
        return True

    def _begin_return(self, now: float, zone: int, standing: ZoneState, why: str) -> None:
        """Begin to return: by steps, but to the origin, which is asked by turns."""
        order, share = ZoneMode.IN, 0
        if self.paced and self.names.get(zone) != ORIGIN:
            order, share = ZoneMode.BACK, pace.FIRST_SHARE
        self._set_state(now, zone, ZoneState(standing.epoch + 1, order, standing.flaps, 0, share), why)

    def _step_return(self, now: float, zone: int, register: Register) -> bool:
        """Look whether a return may go a step on, or must go one back; answers whether it does."""
        if self._operator_mode(zone) is ZoneMode.ORDERED_HOLD:
            self.returns.blocked_by[zone] = "an operator holds it"
            return False
        # each return that is under way, of whichever zone's routers, has its part of what the origin bears
        under_way = [home for (home, _), r in self.registers.items() if r.state.mode is ZoneMode.BACK]
        whole = sum(self.routers.get(home, 1) for home in under_way)
        part = self.routers.get(self.home, 1) / max(1, whole)
        load = self.tiers.lost_share(self.names[self.home], self.sizes, frozenset((self.names[zone],)))
        reports = [Report(self.home, now, self.counts.tallies(now))]
        reports += [Report(r.zone, r.made_at, self._tallies_of(r)) for r in self.records]
        view = self.returns.view(now, register.since, zone, reports, self.routers, self.home, load, part)
        step = self.returns.next_state(now, zone, register.state, now - register.since, view)
        if step is None:
            return False
        self._set_state(now, zone, *step)
        return True

    @staticmethod
    def _answered_elsewhere(near: list[Tally], far: list[Tally]) -> bool:
        return not any(t.failed_long for t in near) and exit_rule.is_back(near + far)

    def _tallies_of(self, record: Record) -> dict[int, Tally]:
        return self.decoded.get(record.owner, (record, {}))[1]

    def _check_isolation(self, now: float, zone: int) -> None:
        """Whether it is this router that can't reach a zone, and not the zone that can't be reached."""
        mine = self.counts.tallies(now).get(zone, Tally())
        if mine.failures_in_row < exit_rule.MIN_TRIALS or zone in self._left_zone_ids():
            self.unreached_since.pop(zone, None)
            self.isolated_from.discard(zone)
            return
        near = [r for r in self.records if r.zone == self.home and now - r.made_at <= MAX_NEIGHBOUR_AGE]
        others = exit_rule.sum_long(self._tallies_of(r).get(zone, Tally()) for r in near)
        if not others.total:
            return
        if not exit_rule.is_recovered(others):
            self.unreached_since.pop(zone, None)
            self.isolated_from.discard(zone)
        elif (
            now - self.unreached_since.setdefault(zone, now) >= ISOLATION_DELAY
            and zone not in self.isolated_from
        ):
            self.isolated_from.add(zone)
            self._log_change(zone, "out of reach from this router alone: others of its zone reach it")

    @staticmethod
    def _exit_reason(seen: Evidence, own: bool) -> str:
        whose = "this zone's routers" if own else "the fleet"
        return (
            f"{seen.failed} of {seen.total} attempts of {whose} did not come through "
            f"({seen.refused} refused, {seen.silent} silent, seen by {seen.witnesses})"
        )

    def _set_state(self, now: float, zone: int, standing: ZoneState, why: str) -> None:
        self.registers.setdefault((self.home, zone), Register())
        register = self.registers[self.home, zone]
        register.state, register.since, register.order_ends = standing, now, math.inf
        self._drop_old_failures((self.home, zone))
        self._log_change(zone, f"{standing.mode.name.lower()} (epoch {standing.epoch}): {why}")

    def _expire_orders(self, now: float) -> None:
        for (scope, zone), register in list(self.registers.items()):
            if now < register.order_ends:
                continue
            was = register.state
            register.state = replace(was, epoch=was.epoch + 1, mode=ZoneMode.IN, ordered_by=0)
            register.since, register.order_ends = now, math.inf
            self._return_after_order(now, (scope, zone), was)

    def _return_after_order(self, now: float, key: tuple[int, int], was: ZoneState) -> None:
        """Guards what was taken out by operators, maybe for long: it may have been restarted since."""
        scope, zone = key
        ended = was.mode is ZoneMode.ORDERED_OUT and not self.registers[key].state.ordered
        if scope == ALL_ROUTERS and ended and self._state(zone).mode is ZoneMode.IN:
            self._begin_return(now, zone, self._state(zone), "an operator's order has ended")

    def _operator_mode(self, zone: int) -> ZoneMode | None:
        register = self.registers.get((ALL_ROUTERS, zone))
        if register is None or not register.state.ordered:
            return None
        return register.state.mode

    def _leaves_out(self, now: float, zone: int) -> bool:
        """Whether this router leaves a zone out."""
        ordered = self._operator_mode(zone)
        if ordered in (ZoneMode.ORDERED_OUT, ZoneMode.ORDERED_IN):
            return ordered is ZoneMode.ORDERED_OUT
        register = self.registers.get((self.home, zone))
        if register is None or not register.state.out:
            return False
        if zone in self._left_zone_ids():
            return True
        # guards against the word of routers that are cut off: what this one reaches itself is not gone
        mine = self.counts.tallies(now).get(zone, Tally())
        return not (
            mine.answered and mine.answered >= exit_rule.CONTRADICTING_SHARE * (mine.answered + mine.failed)
        )

    def _left_zone_ids(self) -> set[int]:
        own = {ident(z, 2) for z in self.current_order.zones}
        return own | ({ident(ORIGIN, 2)} if self.current_order.origin else set())

    def _update_order(self, now: float, numbers: frozenset[int], back: Mapping[int, int]) -> None:
        """Make the order to the decision module, if it is another than before: what is left, and how much of
        what comes back."""
        origin = ident(ORIGIN, 2)
        every = self.routers.get(self.home, 1) / TRIALS_PER_SECOND
        if any(self._trial_answered(now, n) for n in numbers):
            every /= TRIAL_SPEEDUP  # it may be back: soon enough answers to know
        zones = frozenset(self.names[n] for n in numbers if n != origin)
        forced = frozenset(
            self.names[n] for n in numbers if n != origin and self._operator_mode(n) is ZoneMode.ORDERED_OUT
        )
        before = self.current_order
        if abs(every - before.trial_every) <= ORDER_TOLERANCE * before.trial_every:
            every = before.trial_every  # a router that comes or goes is no new order
        routers = {self.names.get(number, ""): count for number, count in self.routers.items()}
        spill = self.tiers.spill_bound(self.spill, self.names[self.home], self.sizes, zones, routers)
        if abs(spill - before.spill) <= ORDER_TOLERANCE * before.spill and zones == before.zones:
            spill = before.spill
        shares = {self.names[n]: share / FULL_SHARE for n, share in back.items()}
        left_origin = self.leave_origin and origin in numbers
        order = api.ZonesLeft(zones, left_origin, forced, spill, every, shares, self.paced)
        if order != before and any((o.zones or o.origin or o.shares) for o in (order, before)):
            self.current_order = order

    # Operators

    def order_zone(self, now: float, zone: str, order: ZoneMode, seconds: float) -> None:
        """An operator's word, which holds for all routers until it ends. Raises ZonesError."""
        number = ident(zone, 2)
        if self.names.get(number) != zone or zone == ORIGIN:
            raise ZonesError(f"no zone is named {zone!r}")
        register = self.registers.setdefault((ALL_ROUTERS, number), Register())
        register.state = ZoneState(register.state.epoch + 1, order, 0, self.own_id)
        register.since, register.order_ends = now, now + seconds
        word = order.name.removeprefix("ORDERED_").lower()
        self._log_change(number, f"ordered {word} for {seconds:g} s by an operator at this router")

    def _log_change(self, zone: int, text: str) -> None:
        name = self.names.get(zone, f"#{zone}")
        self.changes.append(StateChange("the origin" if name == ORIGIN else name, text))

    def summaries(self, now: float) -> dict[str, tuple[ZoneHealth, Evidence, ZoneState, float]]:
        """Each zone as seen from here, for staff: a word, the sums, how it stands and since when."""
        found = {}
        for number, name in self.names.items():
            near, far = self._tallies_since(now, number)
            seen = exit_rule.sum_long(near + far)
            key = (ALL_ROUTERS, number) if self._operator_mode(number) else (self.home, number)
            register = self.registers.get(key, Register())
            found[name] = (exit_rule.zone_health(seen), seen, register.state, now - register.since)
        return found
