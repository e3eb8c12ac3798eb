"""The way weighed against the fleet's pace without a leader: one router leads a return as its duty.

The same rule (`zones/pace.py`) and the same evidence; but only the holder of the duty goes a step, and orders
it (`duties/core.py`, the real one, over the same network); the others take the share that the order in force
names, and stay where they are when none is.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from myrtlecourse.sim.routers import SimRouter
from myrtlecourse.zones import core
from myrtlecourse.zones.core import Register, Zones
from myrtlecourse.zones.verdict import WHOLE, Order, Standing

DUTY = "return"
LOOK = 0.1  # seconds
LEAST = 1e-4
BITS = 8  # of a share in an order
LEADERS = 5  # the first ones, in this order: those whom faults hit first
FIGURES = {"heartbeat": 0.2, "lease": 0.8, "settle": 0.3, "unwell": 0.3, "unheard": 2.0, "brake": 2.0}


class Part:
    """One router's part in the duty, for as long as its process lives."""

    def __init__(self, led: Led, router: SimRouter) -> None:
        self.led = led
        self.router = router
        self.incarnation = router.incarnation
        self.wake: Any = None
        names, clock = led.names, led.world.core
        duty = said.Duty(DUTY, names[:LEADERS], good_for=1.0)
        settings = said.Settings(router.name, names, names[:3], (duty,), **FIGURES)
        seed = led.chance.getrandbits(32)
        self.duties = Duties(settings, None, clock.now, seed, int(10 * clock.now))
        self.post(said.AbilityReported(True))
        self.look()

    @property
    def lives(self) -> bool:
        return self.router.up and self.router.incarnation == self.incarnation

    def post(self, event: said.Event) -> None:
        """Let it hear of something; one that stands still hears it when it goes on."""
        if not self.lives or self.router.defer_if_stalled(self.post, event):
            return
        world = self.led.world
        for action in self.duties.handle(world.core.now, event):
            if isinstance(action, said.Send):
                for pause in world.peer_links.fate((self.router.name, action.to)):
                    world.core.call_after(pause, self.led.arrive, self.router.name, action.to, action.items)
            elif isinstance(action, said.SetTimer):
                if self.wake is not None:
                    self.wake.cancel()
                if action.at < math.inf:
                    # a float's last digits: a moment that never comes would be asked for without end
                    pause = max(LEAST, action.at - world.core.now)
                    self.wake = world.core.call_after(pause, self.post, said.TimerFired())

    def look(self) -> None:
        """Do what the order in force says and, while it is held here, order the next step."""
        core_ = self.led.world.core
        if not self.lives:
            return
        core_.call_after(LOOK, self.look)
        if self.router.stalled or self.router.agent is None:
            return
        now, zones = core_.now, self.router.agent.zones
        if (obeyed := self.duties.order_in_force(now, DUTY)) is not None:
            for number in obeyed.value:
                self.led.take(zones, now, number >> BITS, number & (1 << BITS) - 1)
        if self.duties.acting_token(now, DUTY) is not None:
            value = self.led.ordered(zones, now)
            if value != self.duties.holdings[DUTY].value:
                self.post(said.SetState(DUTY, value))


class Led:
    """The duty in all routers of a world."""

    def __init__(self, world: FleetSimulation) -> None:
        self.world = world
        self.chance = world.core.stream("led")
        self.names = tuple(r.name for r in world.routers)
        self.parts: dict[str, Part] = {}
        self.go_on: Callable[..., bool] = Zones._go_on
        for router in world.routers:
            self._follow(router)

    def _follow(self, router: SimRouter) -> None:
        """Begin anew with each process of a router."""
        start = router.start

        def started(saved: Any) -> None:
            start(saved)
            self.parts[router.name] = Part(self, router)

        router.start = started  # type: ignore[method-assign]
        self.parts[router.name] = Part(self, router)

    def arrive(self, sender: str, to: str, items: tuple[said.Item, ...]) -> None:
        """A datagram has come."""
        self.parts[to].post(said.MessagesReceived(sender, items))

    def take(self, zones: Zones, now: float, zone: int, share: int) -> None:
        """Take the share that an order names."""
        register = zones.registers.get((zones.home, zone), Register())
        standing = register.standing
        if standing.order is Order.BACK and standing.share != share:
            order = Order.BACK if share > 0 else Order.IN
            zones._set(now, zone, Standing(standing.epoch + 1, order, standing.flaps, 0, share), "ordered")

    def ordered(self, zones: Zones, now: float) -> said.Value:
        """What the holder orders: the next step of each zone that comes back, by the usual rule."""
        each = []
        for (home, zone), register in zones.registers.items():
            if home == zones.home and register.standing.order is Order.BACK:
                self.go_on(zones, now, zone, register)
                after = zones.registers[home, zone].standing
                share = 0 if after.order is not Order.BACK else after.share
                each.append(zone << BITS | min(share, WHOLE))
            elif home == zones.home and register.standing.epoch and zone in zones.returns.began:
                each.append(zone << BITS)
        # what has ended is still ordered, as whole, until the next return
        known = {n >> BITS for n in each}
        last = self.parts_value()
        each += [n >> BITS << BITS for n in last if n >> BITS not in known and self._is_in(zones, n >> BITS)]
        return tuple(sorted(each))[: said.MAX_STATE_LENGTH]

    def parts_value(self) -> said.Value:
        """What is ordered now."""
        holdings = [p.duties.holdings.get(DUTY) for p in self.parts.values()]
        return max(
            (holding.value for holding in holdings if holding is not None and holding.acting), default=()
        )

    def _is_in(self, zones: Zones, zone: int) -> bool:
        return zones.registers.get((zones.home, zone), Register()).standing.order is Order.IN

    def __enter__(self) -> Led:
        core.Zones._go_on = lambda *_: False  # type: ignore[method-assign]
        return self

    def __exit__(self, *_: object) -> None:
        core.Zones._go_on = self.go_on  # type: ignore[method-assign]
