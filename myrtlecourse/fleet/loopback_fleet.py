"""Runs the stand-in fleet of a scenario on loopback, and applies its faults at their times."""

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
from myrtlecourse.fleet.cache_server import CacheServer
from myrtlecourse.fleet.datagram_network import DatagramNetwork, Relays, apply_split
from myrtlecourse.fleet.discovery_server import DiscoveryServer
from myrtlecourse.fleet.faults import PEERS, Step, steps
from myrtlecourse.fleet.layout import ORIGIN, Layout
from myrtlecourse.fleet.origin_server import OriginServer
from myrtlecourse.fleet.ports import Port
from myrtlecourse.fleet.registry import Registry
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.server_models import Answer, AnswerKind, OriginModel

SWEEP_INTERVAL = 0.25  # seconds between checks for idle connections of origin and discovery
MAX_PENDING_MISSES = 100_000  # misses that wait for the origin's answer; the oldest are dropped


class Fleet:
    """The cache servers, origin and discovery of a scenario."""

    def __init__(self, scenario: Scenario, observe: Callable[[seen.Observation], None]) -> None:
        self.scenario = scenario
        self.observe = observe
        self.loop = asyncio.get_running_loop()
        self.layout = Layout(scenario)
        self.routers = self.layout.routers
        self.cache_servers = {name: self._make_server(name) for name in scenario.cache_servers()}
        self.origin: OriginServer | None = None
        if scenario.origin is not None:
            self.origin = OriginServer(
                OriginModel(scenario.origin, self.layout.draws), scenario, observe, self._on_origin_answer
            )
        self.registry = Registry(list(self.layout.entries.values()))
        self.discovery = DiscoveryServer(self.registry, scenario.discovery.lines_a_second, observe)
        self.network = DatagramNetwork(scenario.seed)  # between routers
        self.relays = Relays(self.network)
        self.duty_relays = Relays(self.network)  # for the datagrams of duties
        # For each request, the servers that lacked its value.
        self.missed_by: OrderedDict[str, list[CacheServer]] = OrderedDict()
        self.timers: list[asyncio.TimerHandle] = []
        self.tasks: set[asyncio.Task[None]] = set()
        # For each target that stands for the holder of a duty: the holder when the fault began.
        self.holders_at_fault: dict[str, str] = {}
        self.holder_of: Callable[[str], str] = lambda duty: ""
        # Called for steps that concern routers, whose processes the fleet does not own.
        self.apply_to_routers: Callable[[Step], None] = lambda step: None

    def _make_server(self, name: str) -> CacheServer:
        group = partial(self.layout.group, name)
        server = CacheServer(self.layout.server_model(name), self.scenario, group, self.observe)
        server.on_miss = self._record_miss
        server.on_collapse = self._record_collapse
        return server

    async def listen(self) -> None:
        """Open all ports."""
        for name, server in self.cache_servers.items():
            await server.listen(self.layout.delays_from(self.layout.zones[name]))
        if self.origin is not None:
            await self.origin.listen(self.layout.delays_from(self.scenario.zones[0]))
        await self.discovery.listen(self.routers)
        for name in self.registry.listed:
            ports = (
                self.cache_servers[name].ports
                if name in self.cache_servers
                else self.origin.ports
                if self.origin
                else {}
            )
            for router, port in ports.items():
                self.discovery.addresses[router, name] = f"127.0.0.1:{port.number}"
        if self.scenario.peers is not None:
            peers, network = self.scenario.peers, self.network
            network.loss, network.copies, network.delay, network.jitter = (
                peers.loss,
                peers.copies,
                peers.delay,
                peers.spread,
            )
            await self.relays.open(self.relays.reserve_addresses(self.routers))
        if self.scenario.duties is not None:
            await self.duty_relays.open(self.duty_relays.reserve_addresses(self.routers))
        for name, zone in self.layout.zones.items():
            self.observe(seen.ServerZone(time.monotonic(), name, zone))
        self._sweep()

    def _sweep(self) -> None:
        self.discovery.drop_idle()
        if self.origin is not None:
            self.origin.drop_idle()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _record_miss(self, request: str, server: CacheServer) -> None:
        """Record a miss, so that the server stores the value once the origin has answered."""
        self.missed_by.setdefault(request, []).append(server)
        while len(self.missed_by) > MAX_PENDING_MISSES:
            self.missed_by.popitem(last=False)

    def _record_collapse(self, server: CacheServer) -> None:
        """Schedule the removal of a collapsed server, which stays down, from the list."""
        step = Step(0.0, "crash", server.model.name, duration=math.inf)
        self._update_list(step)

    def _on_origin_answer(self, answer: Answer) -> None:
        """Store the origin's answer at the servers that missed it; a write drops the value everywhere."""
        missing_servers = self.missed_by.pop(answer.request.id, [])
        if answer.kind is AnswerKind.RECEIPT:
            for server in self.cache_servers.values():
                server.model.memory.drop(answer.request.key)
        elif answer.kind is AnswerKind.HIT:
            for server in missing_servers:
                if server.running:
                    server.model.memory.put(time.monotonic(), answer.request.key, answer.version, answer.size)

    def configuration(self, number: int) -> dict[str, Any]:
        """Return the configuration of a router (DEPLOY): the addresses of everything, and the settings."""
        name = self.routers[number]
        known, _ = self.discovery.document(name, None)
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.ports[name].number}",
            "seed": f"{self.scenario.seed}{number}",
            "limits": {"cores": 1.0, "memory_mb": self.scenario.memory_mb, "sockets": 1024},
            "known": msgspec.json.decode(known),
            "settings": self.layout.settings(number),
        } | self._peer_configuration(name)

    def _peer_configuration(self, name: str) -> dict[str, Any]:
        """Return the addresses for operators' calls and for peers, if the scenario has them."""
        addresses: dict[str, Any] = {"ops": "127.0.0.1:0"} if self.scenario.has_operator_work() else {}
        listen_addresses = self.relays.listen_addresses
        if listen_addresses:
            peer_addresses = [
                self.relays.send_addresses.get((name, other), listen_addresses[other])
                for other in self.routers
            ]
            addresses["peer_listen"] = "{}:{}".format(*listen_addresses[name])
            addresses["peers"] = [f"{host}:{port}" for host, port in peer_addresses]
        return addresses

    def begin(self) -> None:
        """Schedule the steps of the scenario, whose time starts now."""
        self.timers = [self.loop.call_later(step.at, self.apply_step, step) for step in steps(self.scenario)]

    def apply_step(self, step: Step) -> None:
        """Apply one step."""
        step = self._resolve_holders(step)
        if step.target.startswith("router-"):
            self.apply_to_routers(step)
        elif step.target == "discovery":
            if step.action == "away":
                self.discovery.stop_serving()
            else:
                self._run_in_background(self.discovery.resume())
        elif step.target == PEERS:
            apply_split(self.network, self.routers, step)
        elif step.target == ORIGIN:
            self._apply_to_origin(step)
        elif step.action in ("offline", "online"):
            self.apply_to_routers(step)
        else:
            self._apply_to_server(step, self.cache_servers[step.target])

    def _resolve_holders(self, step: Step) -> Step:
        """Return the step with targets that stand for the holder of a duty replaced by a router's name.

        The holder is the one at the beginning of the fault, or the first router if there is none.
        """
        for target in (step.target, *step.routers):
            if target.startswith("holder-") and target not in self.holders_at_fault:
                duty = target.removeprefix("holder-").rpartition("-")[0]
                self.holders_at_fault[target] = self.holder_of(duty) or self.routers[0]
        routers = tuple(self.holders_at_fault.get(r, r) for r in step.routers)
        return replace(step, target=self.holders_at_fault.get(step.target, step.target), routers=routers)

    def _apply_to_origin(self, step: Step) -> None:
        assert self.origin is not None
        if step.action == "pace":
            self.origin.set_speed(step.value)
        elif step.action in ("repeat_answers", "single_answers"):
            self.origin.second_answers.set_share(step.value, step.delay)
        else:
            for port in self.origin.ports.values():
                self._apply_to_port(step, port)

    def _apply_to_server(self, step: Step, server: CacheServer) -> None:
        self.observe(seen.ScenarioStep(time.monotonic(), step.target, step.action, step.routers))
        match step.action:
            case "freeze" | "thaw":
                server.freeze(step.action == "freeze")
            case "spoil" | "heal":
                server.corrupt_share = step.value
            case "repeat_answers" | "single_answers":
                server.second_answers.set_share(step.value, step.delay)
            case "pace":
                server.set_speed(step.value)
            case "crash" | "end":
                server.stop()
            case "start":
                self._run_in_background(self._start(server))
            case "bounce":
                server.stop()
                self._run_in_background(server.start())  # the list does not change
        for port in server.ports.values():
            self._apply_to_port(step, port)
        self._update_list(step)

    def _apply_to_port(self, step: Step, port: Port) -> None:
        """Apply a step that acts on a server's network."""
        match step.action:
            case "cut" | "join":
                port.cut(step.action == "cut")
            case "part" | "mend" if port.router in step.routers:
                port.cut(step.action == "part")
            case "refuse":
                port.refuse()
            case "accept":
                self._run_in_background(port.listen())
            case "reset":
                port.reset()
            case "idle_drop":
                port.drop_idle(time.monotonic())

    def _update_list(self, step: Step) -> None:
        """Schedule the change of the list that follows a step."""
        started_at = self.cache_servers[step.target].model.started_at
        change = self.layout.list_change(
            step, time.monotonic(), started_at, step.target in self.registry.listed
        )
        if change is not None:
            self.discovery.schedule(*change)

    async def _start(self, server: CacheServer) -> None:
        started_at = await server.start()
        if server.model.overload_by_router is None:
            self.discovery.schedule(*self.layout.list_addition(server.model.name, started_at))

    def _run_in_background(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Stop all parts and release their ports."""
        for timer in self.timers:
            timer.cancel()
        self.sweep_timer.cancel()
        for server in self.cache_servers.values():
            server.close()
        if self.origin is not None:
            self.origin.close()
        self.discovery.close()
        self.relays.close()
        self.duty_relays.close()
