"""An alternative to the leaderless pace of a zone's return: one router leads the return as its duty.

It uses the same rule (`zones/pace.py`) and the same evidence. But only the holder of the duty takes a step,
and orders it (with the real `duties/core.py`, on the same simulated network). The other routers follow the
share that the order in force names, and keep their share while there is none.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from myrtlecourse.duties import messages as msg
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from myrtlecourse.sim.routers import SimRouter
from myrtlecourse.zones import core
from myrtlecourse.zones.core import Register, ZoneCoordinator
from myrtlecourse.zones.exit_rule import FULL_SHARE, ZoneMode, ZoneState

DUTY = "return"
CHECK_INTERVAL = 0.1  # seconds
MIN_DELAY = 1e-4
SHARE_BITS = 8  # number of bits of a share in an order
LEADER_COUNT = 5  # the first routers are the candidates, because the faults affect those first
DUTY_SETTINGS = {"heartbeat": 0.2, "lease": 0.8, "settle": 0.3, "unwell": 0.3, "unheard": 2.0, "brake": 2.0}


class RouterDuty:
    """One router's part in the duty that leads the return; a restarted router gets a new one."""

    def __init__(self, return_duty: ReturnDuty, router: SimRouter) -> None:
        self.return_duty = return_duty
        self.router = router
        self.incarnation = router.incarnation
        self.timer: Any = None
        names, clock = return_duty.names, return_duty.world.core
        duty = msg.Duty(DUTY, names[:LEADER_COUNT], good_for=1.0)
        settings = msg.Settings(router.name, names, names[:3], (duty,), **DUTY_SETTINGS)
        seed = return_duty.rng.getrandbits(32)
        self.duties = Duties(settings, None, clock.now, seed, int(10 * clock.now))
        self.post(msg.AbilityReported(True))
        self.check()

    @property
    def is_alive(self) -> bool:
        return self.router.up and self.router.incarnation == self.incarnation

    def post(self, event: msg.Event) -> None:
        """Pass an event to the duty's core; a stalled router handles it when it continues."""
        if not self.is_alive or self.router.defer_if_stalled(self.post, event):
            return
        world = self.return_duty.world
        for action in self.duties.handle(world.core.now, event):
            if isinstance(action, msg.Send):
                for pause in world.peer_links.delivery_delays((self.router.name, action.to)):
                    world.core.call_after(
                        pause, self.return_duty.deliver, self.router.name, action.to, action.items
                    )
            elif isinstance(action, msg.SetTimer):
                if self.timer is not None:
                    self.timer.cancel()
                if action.at < math.inf:
                    # a minimum delay, as rounding could otherwise make the timer fire at one moment forever
                    pause = max(MIN_DELAY, action.at - world.core.now)
                    self.timer = world.core.call_after(pause, self.post, msg.TimerFired())

    def check(self) -> None:
        """Follow the order in force; the holder of the duty also orders the next step."""
        simulation_core = self.return_duty.world.core
        if not self.is_alive:
            return
        simulation_core.call_after(CHECK_INTERVAL, self.check)
        if self.router.stalled or self.router.agent is None:
            return
        now, zones = simulation_core.now, self.router.agent.zones
        if (order := self.duties.order_in_force(now, DUTY)) is not None:
            for number in order.value:
                self.return_duty.apply_share(zones, now, number >> SHARE_BITS, number & (1 << SHARE_BITS) - 1)
        if self.duties.acting_token(now, DUTY) is not None:
            value = self.return_duty.next_order(zones, now)
            if value != self.duties.holdings[DUTY].value:
                self.post(msg.SetState(DUTY, value))


class ReturnDuty:
    """The duty to lead returns, in all routers of a simulation."""

    def __init__(self, world: FleetSimulation) -> None:
        self.world = world
        self.rng = world.core.stream("led")
        self.names = tuple(r.name for r in world.routers)
        self.router_duties: dict[str, RouterDuty] = {}
        self.continue_return: Callable[..., bool] = ZoneCoordinator._step_return
        for router in world.routers:
            self._attach(router)

    def _attach(self, router: SimRouter) -> None:
        """Create a new `RouterDuty` whenever the router's process starts."""
        start = router.start

        def start_and_attach(saved: Any) -> None:
            start(saved)
            self.router_duties[router.name] = RouterDuty(self, router)

        router.start = start_and_attach  # type: ignore[method-assign]
        self.router_duties[router.name] = RouterDuty(self, router)

    def deliver(self, sender: str, to: str, items: tuple[msg.Item, ...]) -> None:
        """Deliver a datagram."""
        self.router_duties[to].post(msg.MessagesReceived(sender, items))

    def apply_share(self, zones: ZoneCoordinator, now: float, zone: int, share: int) -> None:
        """Set a returning zone's share to the one that the order in force names."""
        register = zones.registers.get((zones.home, zone), Register())
        state = register.state
        if state.mode is ZoneMode.BACK and state.share != share:
            mode = ZoneMode.BACK if share > 0 else ZoneMode.IN
            zones._set_state(now, zone, ZoneState(state.epoch + 1, mode, state.flaps, 0, share), "ordered")

    def next_order(self, zones: ZoneCoordinator, now: float) -> msg.Value:
        """Return the next order: the usual rule's next step of each zone that is returning."""
        entries = []
        for (home, zone), register in zones.registers.items():
            if home == zones.home and register.state.mode is ZoneMode.BACK:
                self.continue_return(zones, now, zone, register)
                after = zones.registers[home, zone].state
                share = 0 if after.mode is not ZoneMode.BACK else after.share
                entries.append(zone << SHARE_BITS | min(share, FULL_SHARE))
            elif home == zones.home and register.state.epoch and zone in zones.returns.began_at:
                entries.append(zone << SHARE_BITS)
        # zones whose return has ended stay in the order with their full share until their next return
        zones_in_order = {n >> SHARE_BITS for n in entries}
        current = self.current_order()
        entries += [
            n >> SHARE_BITS << SHARE_BITS
            for n in current
            if n >> SHARE_BITS not in zones_in_order and self._is_in(zones, n >> SHARE_BITS)
        ]
        return tuple(sorted(entries))[: msg.MAX_STATE_LENGTH]

    def current_order(self) -> msg.Value:
        """Return the latest order of the acting holder; empty if there is none."""
        holdings = [p.duties.holdings.get(DUTY) for p in self.router_duties.values()]
        return max(
            (holding.value for holding in holdings if holding is not None and holding.acting), default=()
        )

    def _is_in(self, zones: ZoneCoordinator, zone: int) -> bool:
        return zones.registers.get((zones.home, zone), Register()).state.mode is ZoneMode.IN

    def __enter__(self) -> ReturnDuty:
        core.ZoneCoordinator._step_return = lambda *_: False  # type: ignore[method-assign]
        return self

    def __exit__(self, *_: object) -> None:
        core.ZoneCoordinator._step_return = self.continue_return  # type: ignore[method-assign]
