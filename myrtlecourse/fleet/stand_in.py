"""The fleet of a scenario on loopback, and its faults in their time."""

from __future__ import annotations

import asyncio
import math
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import msgspec

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.box import Ended, How, OriginStore
from myrtlecourse.fleet.box_server import BoxServer
from myrtlecourse.fleet.discovery_server import DiscoveryServer
from myrtlecourse.fleet.faults import PEERS, Step, steps
from myrtlecourse.fleet.layout import ORIGIN, Layout
from myrtlecourse.fleet.origin_server import OriginServer
from myrtlecourse.fleet.ports import Port
from myrtlecourse.fleet.registry import Registry
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.ways import Relays, Ways, part

SWEEP = 0.25  # seconds between looks for idle connections of origin and discovery
MISSES = 100_000  # that wait for the origin's answer; the oldest are forgotten


class Fleet:
    """Boxes, origin and discovery of a scenario."""

    def __init__(self, scenario: Scenario, observe: Callable[[seen.Observation], None]) -> None:
        self.scenario = scenario
        self.observe = observe
        self.loop = asyncio.get_running_loop()
        self.layout = Layout(scenario)
        self.routers = self.layout.routers
        self.boxes = {name: self._box(name) for name in scenario.boxes()}
        self.origin: OriginServer | None = None
        if scenario.origin is not None:
            self.origin = OriginServer(
                OriginStore(scenario.origin, self.layout.draw), scenario, observe, self._fetched
            )
        self.registry = Registry(list(self.layout.entries.values()))
        self.discovery = DiscoveryServer(self.registry, scenario.discovery.lines_a_second, observe)
        self.ways = Ways(scenario.seed)  # between routers
        self.relays = Relays(self.ways)
        self.duty_relays = Relays(self.ways)  # of words on duties
        self.missed: OrderedDict[str, list[BoxServer]] = OrderedDict()  # request: the boxes that lacked it
        self.timers: list[asyncio.TimerHandle] = []
        self.starting: set[asyncio.Task[None]] = set()
        self.roles: dict[str, str] = {}  # who held a duty when a fault began
        self.holder_of: Callable[[str], str] = lambda duty: ""
        self.of_routers: Callable[[Step], None] = lambda step: None  # whose processes are another's

    def _box(self, name: str) -> BoxServer:
        group = partial(self.layout.group, name)
        server = BoxServer(self.layout.box(name), self.scenario, group, self.observe)
        server.missed = self._missed
        server.fell = self._fell
        return server

    async def listen(self) -> None:
        """Open all ports."""
        for name, server in self.boxes.items():
            await server.listen(self.layout.distances(self.layout.zones[name]))
        if self.origin is not None:
            await self.origin.listen(self.layout.distances(self.scenario.zones[0]))
        await self.discovery.listen(self.routers)
        for name in self.registry.listed:
            ports = self.boxes[name].ports if name in self.boxes else self.origin.ports if self.origin else {}
            for router, port in ports.items():
                self.discovery.addresses[router, name] = f"127.0.0.1:{port.number}"
        if self.scenario.peers is not None:
            told, ways = self.scenario.peers, self.ways
            ways.loss, ways.copies, ways.delay, ways.spread = told.loss, told.copies, told.delay, told.spread
            await self.relays.join(self.relays.places(self.routers))
        if self.scenario.duties is not None:
            await self.duty_relays.join(self.duty_relays.places(self.routers))
        for name, zone in self.layout.zones.items():
            self.observe(seen.ServerZone(time.monotonic(), name, zone))
        self._sweep()

    def _sweep(self) -> None:
        self.discovery.drop_idle()
        if self.origin is not None:
            self.origin.drop_idle()
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)

    def _missed(self, request: str, server: BoxServer) -> None:
        """A box lacked what a request asked for: once the origin has answered, it is kept there."""
        self.missed.setdefault(request, []).append(server)
        while len(self.missed) > MISSES:
            self.missed.popitem(last=False)

    def _fell(self, server: BoxServer) -> None:
        """A box was pushed over; it stays down, which discovery notices."""
        fall = Step(0.0, "crash", server.box.name, lasts=math.inf)
        self._to_list(fall)

    def _fetched(self, ended: Ended) -> None:
        """The origin has answered."""
        lacking = self.missed.pop(ended.request.id, [])
        if ended.how is How.RECEIPT:
            for server in self.boxes.values():
                server.box.memory.drop(ended.request.key)
        elif ended.how is How.HIT:
            for server in lacking:
                if server.up:
                    server.box.memory.put(time.monotonic(), ended.request.key, ended.version, ended.size)

    def configuration(self, number: int) -> dict[str, Any]:
        """What the platform would tell a router (DEPLOY): where to find everything, and the settings."""
        name = self.routers[number]
        known, _ = self.discovery.document(name, None)
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.ports[name].number}",
            "seed": f"{self.scenario.seed}{number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": msgspec.json.decode(known),
            "settings": self.layout.settings(number),
        } | self._meeting(name)

    def _meeting(self, name: str) -> dict[str, Any]:
        """Where operators call a router, and where it meets the others, if they do."""
        told: dict[str, Any] = {"ops": "127.0.0.1:0"} if self.scenario.operated() else {}
        heard_at = self.relays.heard_at
        if heard_at:
            each = [self.relays.at.get((name, other), heard_at[other]) for other in self.routers]
            told["peer_listen"] = "{}:{}".format(*heard_at[name])
            told["peers"] = [f"{host}:{port}" for host, port in each]
        return told

    def begin(self) -> None:
        """The scenario's time begins now."""
        self.timers = [self.loop.call_later(step.at, self.do, step) for step in steps(self.scenario)]

    def do(self, step: Step) -> None:
        """Let one thing happen."""
        step = self._named(step)
        if step.target.startswith("router-"):
            self.of_routers(step)
        elif step.target == "discovery":
            if step.do == "away":
                self.discovery.away()
            else:
                self._soon(self.discovery.back())
        elif step.target == PEERS:
            part(self.ways, self.routers, step)
        elif step.target == ORIGIN:
            self._to_origin(step)
        elif step.do in ("offline", "online"):
            self.of_routers(step)
        else:
            self._to_box(step, self.boxes[step.target])

    def _named(self, step: Step) -> Step:
        """The step with whoever held a duty, when its fault began, by name; nobody is taken for the first
        router."""
        for target in (step.target, *step.routers):
            if target.startswith("holder-") and target not in self.roles:
                duty = target.removeprefix("holder-").rpartition("-")[0]
                self.roles[target] = self.holder_of(duty) or self.routers[0]
        routers = tuple(self.roles.get(r, r) for r in step.routers)
        return replace(step, target=self.roles.get(step.target, step.target), routers=routers)

    def _to_origin(self, step: Step) -> None:
        assert self.origin is not None
        if step.do == "pace":
            self.origin.pace(step.value)
        else:
            for port in self.origin.ports.values():
                self._to_port(step, port)

    def _to_box(self, step: Step, server: BoxServer) -> None:
        self.observe(seen.ScenarioStep(time.monotonic(), step.target, step.do, step.routers))
        match step.do:
            case "freeze" | "thaw":
                server.freeze(step.do == "freeze")
            case "spoil" | "heal":
                server.spoilt = step.value
            case "pace":
                server.pace(step.value)
            case "crash" | "end":
                server.end()
            case "start":
                self._soon(self._start(server))
            case "bounce":
                server.end()
                self._soon(server.start())  # the list is not told: that is the operators' business
        for port in server.ports.values():
            self._to_port(step, port)
        self._to_list(step)

    def _to_port(self, step: Step, port: Port) -> None:
        """What a box's network does."""
        match step.do:
            case "cut" | "join":
                port.cut(step.do == "cut")
            case "part" | "mend" if port.router in step.routers:
                port.cut(step.do == "part")
            case "refuse":
                port.refuse()
            case "accept":
                self._soon(port.listen())
            case "reset":
                port.reset()
            case "idle_drop":
                port.drop_idle(time.monotonic())

    def _to_list(self, step: Step) -> None:
        """What discovery notices of it, and when."""
        started = self.boxes[step.target].box.started
        noticed = self.layout.noticed(step, time.monotonic(), started, step.target in self.registry.listed)
        if noticed is not None:
            self.discovery.notice(*noticed)

    async def _start(self, server: BoxServer) -> None:
        started = await server.start()
        if server.box.fallen is None:
            self.discovery.notice(*self.layout.added(server.box.name, started))

    def _soon(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    def close(self) -> None:
        """End all of it."""
        for timer in self.timers:
            timer.cancel()
        self.sweeping.cancel()
        for server in self.boxes.values():
            server.close()
        if self.origin is not None:
            self.origin.close()
        self.discovery.close()
        self.relays.close()
        self.duty_relays.close()
