"""Decides, together with the other routers, which zones the fleet leaves and when it returns to them.

The module does no I/O and reads no clock: events come in as calls, and orders for the decision module come
out. The outcomes of attempts come from the decision module, which reports each attempt once; the counts of
other routers come in their gossiped records. For each zone that may be left, the routers of one zone share
one replicated register. Any router that finds, by the exit rule, that the register has to change writes its
next value; the value with the higher epoch wins at all routers.
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

ORIGIN = "\0origin"  # stands for the origin's zone; no configured zone can have this name
SHORT_WINDOW = PERIOD * SHORT_PERIODS  # seconds after which a record's short counts are out of date
MAX_NEIGHBOUR_AGE = 8.0  # seconds; the oldest record used to check isolation, which is not urgent
ISOLATION_DELAY = 2.0  # seconds that others must reach a zone that this router does not reach
MAX_RECORD_AGE = 2.5  # seconds after which a record's long counts are out of date
TRIALS_PER_SECOND = 3.0  # sent to a zone that is left, by all routers of one zone together
TRIAL_SPEEDUP = 4.0  # factor on the trial rate once a trial has been answered
UNTRIED_HOLDS = 4.0  # minimum times out, after which answers to other zones' routers count as a recovery
FLAP_RESET_AFTER = 20.0  # seconds in use, after which the next exit is not counted as flapping
ANNOUNCE_PERIOD = 120.0  # seconds for which a register of a zone that is in use is still announced
MAX_REGISTERS = 8  # in one record
MAX_ZONES = 64
NO_PEERS_GRACE = 2.0  # seconds for which a router that hears no peer keeps its last order
ORDER_TOLERANCE = 0.25  # relative change of a number in an order that does not cause a new order
ANSWERS_OUTWEIGHING_FAILURE = 3  # recent answers, beside which one failure need not be spread at once
# Seconds after a stall of this process in which no outcome is counted: the stall causes timeouts.
IGNORED_AFTER_STALL = 0.5


class ZonesError(ValueError):
    """An operator's order that can't be carried out; the message gives the reason."""


@dataclass(slots=True)
class Register:
    """This router's copy of the state of one zone, as the routers of one zone see it."""

    state: ZoneState = field(default_factory=ZoneState)
    since: float = -math.inf  # when the present value was set, on this router's clock
    order_ends: float = math.inf  # when an operator's order ends


@dataclass(slots=True, frozen=True)
class StateChange:
    """A change of a zone's state and its reason, for the log."""

    zone: str
    text: str


class ZoneCoordinator:
    """One router's part in leaving zones and returning to them."""

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
        """Start with all zones in use.

        When a zone is left, the surviving zones get at most `spill` times the load they had. With `paced`,
        the return to a zone goes in steps. `origin_rate` is the number of fetches a second that the origin
        can take from the whole fleet; 0 means that it is unknown.
        """
        self.own_id = ident(name)
        self.home = ident(zone, 2)
        self.spill = spill
        self.tiers = tiers or Tiers()
        self.sizes: Mapping[str, int] = {}  # number of cache servers, by zone
        self.leave_origin = leave_origin  # if false, the origin's state is reported, but it stays in use
        self.paced = paced
        self.returns = Returns(ident(ORIGIN, 2), origin_rate)
        self.names: dict[int, str] = {self.home: zone, ident(ORIGIN, 2): ORIGIN}
        self.counts = AttemptCounts(now)
        self.ignores_until = -math.inf
        self.keeps_order_until = -math.inf  # end of the time for which it keeps its order without peers
        self.registers: dict[tuple[int, int], Register] = {}  # by scope (whose routers) and zone
        self.records: list[Record] = []  # of the other routers, as of the last tick
        self.decoded: dict[int, tuple[Record, dict[int, Tally]]] = {}  # tallies in them, by owner
        self.routers = {self.home: 1}  # number of routers present, by zone
        self.fleet_size = 1
        self.current_order = api.ZoneExit()
        self.changes: list[StateChange] = []
        # since when others reach a zone that this router does not reach
        self.unreached_since: dict[int, float] = {}
        self.isolated_from: set[int] = set()  # the zones for which that has lasted ISOLATION_DELAY

    def set_zone_sizes(self, sizes: Mapping[str, int]) -> None:
        """Set how many cache servers the list names in each zone; zones that left the list stay known."""
        self.sizes = sizes
        for name in sorted(sizes):
            if len(self.names) < MAX_ZONES:
                self.names.setdefault(ident(name, 2), name)

    # Evidence

    def attempt_ended(
        self, now: float, zone: str, reach: api.Reachability, pressed: bool = False, missed: bool = False
    ) -> bool:
        """Count an attempt at a zone that has ended; returns whether to spread the news at once."""
        if now < self.ignores_until:
            return False
        zone_id = ident(zone, 2)
        before = self.counts.tallies(now).get(zone_id, Tally())
        self.counts.add(now, zone_id, reach, pressed, missed)
        if zone_id in self._left_zone_ids():
            return reach is api.Reachability.ANSWERED and not before.answered  # the zone may have recovered
        return (
            reach is not api.Reachability.ANSWERED
            and not before.failed
            and before.answered < ANSWERS_OUTWEIGHING_FAILURE
        )

    def process_stalled(self, now: float) -> None:
        """Forget all counts and unordered states after a stall of this process.

        What it knew is out of date, and attempts that end now say nothing about other machines.
        """
        self.counts.clear()
        self.ignores_until = now + IGNORED_AFTER_STALL
        self.keeps_order_until = now + NO_PEERS_GRACE
        for register in self.registers.values():
            if not register.state.ordered:
                register.state = ZoneState()

    def payload(self, now: float) -> tuple[int, ...]:
        """Return the payload of this router's next record: its tallies and the registers worth announcing."""
        recent = [
            (key, r)
            for key, r in self.registers.items()
            if r.state.epoch and (r.state.out or now - r.since < ANNOUNCE_PERIOD)
        ]
        recent.sort(key=lambda item: (not item[1].state.out, -item[1].since))
        registers: list[int] = []
        for (scope, zone), register in recent[:MAX_REGISTERS]:
            left = 0 if register.order_ends == math.inf else max(1, math.ceil(register.order_ends - now))
            state = register.state
            registers += [scope, zone, state.encode(), state.ordered_by, min(65_535, left)]
        room = MAX_PAYLOAD_SIZE - sum(map(encoded_size, registers))
        return (*encode_tallies(self.counts.tallies(now), room), *registers)

    def receive_record(self, now: float, record: Record) -> bool:
        """Merge another router's record; returns whether a register changed."""
        tallies, rest = decode_tallies(record.payload)
        self.decoded[record.owner] = record, tallies
        changed = False
        for i in range(0, len(rest) - 4, 5):
            scope, zone, number, by, left = rest[i : i + 5]
            state = exit_rule.decode_state(number, by)
            # An operator's order names its author and has an end; no other state has either.
            if state.ordered is bool(by and left):
                changed |= self._merge(now, (scope, zone), state, left)
        return changed

    def _merge(self, now: float, key: tuple[int, int], new: ZoneState, left: int) -> bool:
        if key not in self.registers and len(self.registers) >= MAX_ZONES:
            return False
        register = self.registers.setdefault(key, Register())
        before, merged = register.state, register.state.merged(new)
        if merged == before:
            return False
        register.state, register.since = merged, now
        self._drop_old_failures(key)
        self._return_after_order(now, key, before)
        register.order_ends = now + left if left else math.inf
        return True

    def _drop_old_failures(self, key: tuple[int, int]) -> None:
        """Forget the run of failures from before a return: it is out of date, and would end the return."""
        scope, zone = key
        if scope == self.home and not self.registers[key].state.out:
            self.counts.runs.pop(zone, None)

    # The decision

    def tick(self, now: float, records: list[Record], members: dict[int, int], peers_heard: bool) -> bool:
        """Evaluate all zones; returns whether a register changed here, which is news to spread at once.

        `members` counts the routers that are present, by their zones; `peers_heard` is whether any other
        router is heard.
        """
        self.records = records
        self.routers = members
        self.fleet_size = sum(members.values())
        if not peers_heard:
            # There is nobody to agree with: after the grace time, no zone is left, and this router leaves out
            # single servers by itself, as one without peers does.
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
        """Return whether any router of this zone got an answer to a trial at a zone that is left."""
        since = self.registers.get((self.home, zone), Register()).since
        return any(t.answered_long for t in self._tallies_since(now, zone, since)[0])

    def _state(self, zone: int) -> ZoneState:
        """Return a zone's state for the routers of this router's own zone."""
        return self.registers.get((self.home, zone), Register()).state

    def _follows_return(self, zone: int) -> bool:
        """Return whether this router takes part in the stepwise return to a zone."""
        ordered = self._operator_mode(zone)
        returning = self._state(zone).mode is ZoneMode.BACK and zone not in self.returns.never_left
        return returning and ordered in (None, ZoneMode.ORDERED_HOLD)

    @property
    def returning(self) -> bool:
        """Whether a return is under way: its counts are spread at once, as each step depends on them."""
        return bool(self.returns.began_at)

    def _tallies_since(
        self, now: float, zone: int, since: float = -math.inf
    ) -> tuple[list[Tally], list[Tally]]:
        """Return the tallies of a zone by this zone's routers and by those of other zones, without what was
        counted before `since`.

        Counts from before an exit would bring all routers back at once, and counts from before a return would
        make all of them leave again.
        """
        same_zone = [self._clip_tally(since, now, now, self.counts.tallies(now).get(zone, Tally()))]
        other_zones: list[Tally] = []
        for record in self.records:
            if now - record.made_at <= MAX_RECORD_AGE:
                tally = self._clip_tally(
                    since, record.made_at, now, self._tallies_of(record).get(zone, Tally())
                )
                (same_zone if record.zone == self.home else other_zones).append(tally)
        return same_zone, other_zones

    @staticmethod
    def _clip_tally(since: float, made_at: float, now: float, tally: Tally) -> Tally:
        """Drop the counts of a tally that include time before `since`; the long counts reach back further."""
        if made_at < since + SHORT_WINDOW or now - made_at > SHORT_WINDOW:
            tally = tally.long_only()
        if made_at < since + LONG_PERIODS * PERIOD:
            short = tally.answered, tally.refused, tally.silent
            long = {"answered_long": short[0], "refused_long": short[1], "silent_long": short[2]}
            return replace(tally, **long, overloaded_long=tally.overloaded, misses_long=tally.misses)
        return tally

    def _apply_rule(self, now: float, zone: int) -> bool:
        """Apply the exit rule to one zone for the routers of this zone; returns whether its state changed."""
        register = self.registers.get((self.home, zone), Register())
        state = register.state
        self._check_isolation(now, zone)
        same_zone, other_zones = self._tallies_since(now, zone, register.since)
        if state.out:
            may_return = (
                now >= register.since + state.min_out_time
                and self._operator_mode(zone) is not ZoneMode.ORDERED_HOLD
            )
            # Answers to routers of other zones count only when this zone's routers have not tried for long: a
            # partition between two zones does not show to a third.
            untried = now >= register.since + UNTRIED_HOLDS * state.min_out_time
            if not may_return or not (
                exit_rule.is_back(same_zone) or (untried and self._answered_elsewhere(same_zone, other_zones))
            ):
                return False
            self._begin_return(now, zone, state, "trials are answered")
            return True
        min_attempts = exit_rule.MIN_ATTEMPTS
        if state.mode is ZoneMode.BACK:
            min_attempts = exit_rule.MIN_ATTEMPTS_RETURNING
            # Routers of other zones, which have not begun to return, still report runs of failures from
            # before the return; these must not end it.
            other_zones = [replace(tally, failures_in_row=RUN_UNKNOWN) for tally in other_zones]
        own, everyone = exit_rule.sum_tallies(same_zone), exit_rule.sum_tallies(same_zone + other_zones)
        evidence = exit_rule.exit_evidence(
            own, everyone, self.routers.get(self.home, 1), self.fleet_size, min_attempts
        )
        if evidence is None:
            return state.mode is ZoneMode.BACK and self._step_return(now, zone, register)
        calm = now - register.since > FLAP_RESET_AFTER and state.mode is ZoneMode.IN
        flaps = 1 if calm else min(exit_rule.MAX_FLAPS, state.flaps + 1)
        left = ZoneState(state.epoch + 1, ZoneMode.OUT, flaps)
        self._set_state(now, zone, left, self._exit_reason(evidence, evidence is own))
        return True

    def _begin_return(self, now: float, zone: int, state: ZoneState, why: str) -> None:
        """Begin the return to a zone, in steps; to the origin without steps, as routers resume one by one."""
        mode, share = ZoneMode.IN, 0
        if self.paced and self.names.get(zone) != ORIGIN:
            mode, share = ZoneMode.BACK, pace.FIRST_SHARE
        self._set_state(now, zone, ZoneState(state.epoch + 1, mode, state.flaps, 0, share), why)

    def _step_return(self, now: float, zone: int, register: Register) -> bool:
        """Take the next step of a return, forward or back, when it is due; returns whether one was taken."""
        if self._operator_mode(zone) is ZoneMode.ORDERED_HOLD:
            self.returns.blocked_by[zone] = "an operator holds it"
            return False
        # Every return under way, whichever zone's routers make it, gets its part of the origin's capacity.
        under_way = [home for (home, _), r in self.registers.items() if r.state.mode is ZoneMode.BACK]
        total = sum(self.routers.get(home, 1) for home in under_way)
        part = self.routers.get(self.home, 1) / max(1, total)
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
    def _answered_elsewhere(same_zone: list[Tally], other_zones: list[Tally]) -> bool:
        return not any(t.failed_long for t in same_zone) and exit_rule.is_back(same_zone + other_zones)

    def _tallies_of(self, record: Record) -> dict[int, Tally]:
        return self.decoded.get(record.owner, (record, {}))[1]

    def _check_isolation(self, now: float, zone: int) -> None:
        """Notice when only this router can't reach a zone that others in its own zone reach."""
        own = self.counts.tallies(now).get(zone, Tally())
        if own.failures_in_row < exit_rule.MIN_TRIALS or zone in self._left_zone_ids():
            self.unreached_since.pop(zone, None)
            self.isolated_from.discard(zone)
            return
        neighbours = [r for r in self.records if r.zone == self.home and now - r.made_at <= MAX_NEIGHBOUR_AGE]
        others = exit_rule.sum_long(self._tallies_of(r).get(zone, Tally()) for r in neighbours)
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
            self._log_change(zone, "unreachable from this router alone: others in its zone reach it")

    @staticmethod
    def _exit_reason(evidence: Evidence, own: bool) -> str:
        whose = "this zone's routers" if own else "the fleet"
        return (
            f"{evidence.failed} of {evidence.total} attempts of {whose} failed "
            f"({evidence.refused} refused, {evidence.silent} silent, seen by {evidence.witnesses} routers)"
        )

    def _set_state(self, now: float, zone: int, state: ZoneState, why: str) -> None:
        self.registers.setdefault((self.home, zone), Register())
        register = self.registers[self.home, zone]
        register.state, register.since, register.order_ends = state, now, math.inf
        self._drop_old_failures((self.home, zone))
        self._log_change(zone, f"{state.mode.name.lower()} (epoch {state.epoch}): {why}")

    def _expire_orders(self, now: float) -> None:
        for (scope, zone), register in list(self.registers.items()):
            if now < register.order_ends:
                continue
            before = register.state
            register.state = replace(before, epoch=before.epoch + 1, mode=ZoneMode.IN, ordered_by=0)
            register.since, register.order_ends = now, math.inf
            self._return_after_order(now, (scope, zone), before)

    def _return_after_order(self, now: float, key: tuple[int, int], before: ZoneState) -> None:
        """Return in steps to a zone that operators had taken out: its servers may have been restarted."""
        scope, zone = key
        ended = before.mode is ZoneMode.ORDERED_OUT and not self.registers[key].state.ordered
        if scope == ALL_ROUTERS and ended and self._state(zone).mode is ZoneMode.IN:
            self._begin_return(now, zone, self._state(zone), "an operator's order has ended")

    def _operator_mode(self, zone: int) -> ZoneMode | None:
        """Return the mode that an operator's order puts a zone in, or None without such an order."""
        register = self.registers.get((ALL_ROUTERS, zone))
        if register is None or not register.state.ordered:
            return None
        return register.state.mode

    def _leaves_out(self, now: float, zone: int) -> bool:
        """Return whether this router leaves a zone out."""
        ordered = self._operator_mode(zone)
        if ordered in (ZoneMode.ORDERED_OUT, ZoneMode.ORDERED_IN):
            return ordered is ZoneMode.ORDERED_OUT
        register = self.registers.get((self.home, zone))
        if register is None or not register.state.out:
            return False
        if zone in self._left_zone_ids():
            return True
        # Routers that are cut off may have written the register: a zone that answers this router is not gone.
        own = self.counts.tallies(now).get(zone, Tally())
        return not (
            own.answered and own.answered >= exit_rule.CONTRADICTING_SHARE * (own.answered + own.failed)
        )

    def _left_zone_ids(self) -> set[int]:
        zones = {ident(z, 2) for z in self.current_order.zones}
        return zones | ({ident(ORIGIN, 2)} if self.current_order.origin_unreachable else set())

    def _update_order(self, now: float, left: frozenset[int], returning: Mapping[int, int]) -> None:
        """Make a new order for the decision module if it differs from the last one: which zones are left, and
        which share of each returning zone counts."""
        origin = ident(ORIGIN, 2)
        trial_every = self.routers.get(self.home, 1) / TRIALS_PER_SECOND
        if any(self._trial_answered(now, n) for n in left):
            trial_every /= TRIAL_SPEEDUP  # the zone may have recovered: more answers decide it sooner
        zones = frozenset(self.names[n] for n in left if n != origin)
        forced = frozenset(
            self.names[n] for n in left if n != origin and self._operator_mode(n) is ZoneMode.ORDERED_OUT
        )
        before = self.current_order
        if abs(trial_every - before.trial_interval) <= ORDER_TOLERANCE * before.trial_interval:
            trial_every = before.trial_interval  # one router more or less does not make a new order
        routers = {self.names.get(number, ""): count for number, count in self.routers.items()}
        spill = self.tiers.spill_bound(self.spill, self.names[self.home], self.sizes, zones, routers)
        if abs(spill - before.spill_limit) <= ORDER_TOLERANCE * before.spill_limit and zones == before.zones:
            spill = before.spill_limit
        shares = {self.names[n]: share / FULL_SHARE for n, share in returning.items()}
        left_origin = self.leave_origin and origin in left
        order = api.ZoneExit(zones, left_origin, forced, spill, trial_every, shares, self.paced)
        if order != before and any(
            (o.zones or o.origin_unreachable or o.return_shares) for o in (order, before)
        ):
            self.current_order = order

    # Operators

    def order_zone(self, now: float, zone: str, mode: ZoneMode, seconds: float) -> None:
        """Carry out an operator's order, which binds all routers for `seconds`.

        Raises:
            ZonesError: no zone has that name.
        """
        zone_id = ident(zone, 2)
        if self.names.get(zone_id) != zone or zone == ORIGIN:
            raise ZonesError(f"no zone is named {zone!r}")
        register = self.registers.setdefault((ALL_ROUTERS, zone_id), Register())
        register.state = ZoneState(register.state.epoch + 1, mode, 0, self.own_id)
        register.since, register.order_ends = now, now + seconds
        verb = mode.name.removeprefix("ORDERED_").lower()
        self._log_change(zone_id, f"ordered {verb} for {seconds:g} s by an operator at this router")

    def _log_change(self, zone: int, text: str) -> None:
        name = self.names.get(zone, f"#{zone}")
        self.changes.append(StateChange("the origin" if name == ORIGIN else name, text))

    def summaries(self, now: float) -> dict[str, tuple[ZoneHealth, Evidence, ZoneState, float]]:
        """Return each zone as this router sees it, for operators: its health, the evidence, its state, and
        for how many seconds it has been in that state."""
        found = {}
        for zone_id, name in self.names.items():
            same_zone, other_zones = self._tallies_since(now, zone_id)
            evidence = exit_rule.sum_long(same_zone + other_zones)
            key = (ALL_ROUTERS, zone_id) if self._operator_mode(zone_id) else (self.home, zone_id)
            register = self.registers.get(key, Register())
            found[name] = (exit_rule.zone_health(evidence), evidence, register.state, now - register.since)
        return found
