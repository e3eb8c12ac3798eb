"""Runs a scenario in virtual time: servers, origin, discovery, routers and clients, and the auditor."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from myrtlecourse import interface as api
from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor
from myrtlecourse.fleet.datagram_network import DatagramNetwork, apply_split
from myrtlecourse.fleet.faults import PEERS, Step, hot_keys, steps, zone_of
from myrtlecourse.fleet.layout import ORIGIN, Layout
from myrtlecourse.fleet.registry import Registry
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.server_models import Answer, AnswerKind, CacheServerModel, OriginModel, Request
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.policy import Router
from myrtlecourse.settings import read_settings
from myrtlecourse.sim.clients import Clients
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.discovery import SimDiscovery
from myrtlecourse.sim.peer_network import PeerNetwork
from myrtlecourse.sim.routers import SimRouter
from myrtlecourse.sim.servers import Node

ACCEPT_WHILE_ENDING = 0.5  # seconds for which a router that was asked to end still accepts connections
DRAIN_TIMEOUT = 3.0  # seconds after that for the answers to requests in flight
ROUTER_START_TIME = 0.6  # seconds from a router's end until its successor listens
SETTLE_TIME = 5.0  # seconds after the load in which all requests end
MAX_AWAITING_ORIGIN = 100_000  # requests that missed; the oldest are dropped beyond this number


class ScenarioMismatch(ValueError):
    """The profile does not fit the scenario; the message names the class."""


@dataclass(frozen=True)
class Result:
    """The result of a run."""

    seconds: float
    record: Record
    verdict: dict[str, Any]
    attempts: int
    fetches: int
    events: int
    useful_work: dict[str, float]  # server -> share of its capacity that answered requests
    steps: list[Step]

    def figures(self) -> dict[str, Any]:
        """Return the figures of the load and those that only a simulator knows, for JSON."""
        return self.record.figures(self.seconds) | {
            "verdict": self.verdict,
            "attempts": self.attempts,
            "origin_fetches": self.fetches,
            "events": self.events,
            "load_by_box": self.useful_work,
        }


class FleetSimulation:
    """A scenario and a load on the simulator's clock."""

    def __init__(
        self,
        scenario: Scenario,
        profile: Profile,
        seed: int | None = None,
        router_class: type[Router] = Router,
    ) -> None:
        if seed is not None:
            scenario, profile = replace(scenario, seed=seed), replace(profile, seed=seed)
        classes = {c.name: c for c in scenario.classes}
        for kind in profile.classes:
            if kind.name not in classes:
                raise ScenarioMismatch(f"the scenario has no class {kind.name!r}")
        self.scenario = scenario
        self.core = Core(scenario.seed)
        self.layout = Layout(scenario)
        self.auditor = Auditor(scenario.rules)
        self.fetches = 0
        self.awaiting_origin: OrderedDict[str, list[Node]] = OrderedDict()  # request -> servers that missed
        self.nodes: dict[str, Node] = {name: self._server_node(name) for name in self.layout.kinds}
        if scenario.origin is not None:
            self.nodes[ORIGIN] = self._origin_node(OriginModel(scenario.origin, self.layout.draws))
        entries = list(self.layout.entries.values())
        self.registry = Registry(entries)
        self.discovery = SimDiscovery(
            self.core, self.registry, scenario.discovery.lines_a_second, self.auditor.judge
        )
        self.routers = [
            SimRouter(
                self.core,
                name,
                read_settings(self.layout.settings(i)),
                self.nodes,
                self.discovery.subscribe,
                router_class,
            )
            for i, name in enumerate(self.layout.routers)
        ]
        for name, zone in self.layout.zones.items():
            self.auditor.judge(seen.ServerZone(self.core.now, name, zone))
        self.peer_links = DatagramNetwork(scenario.seed)  # the network between routers
        if scenario.peers is not None:
            peers, links = scenario.peers, self.peer_links
            links.loss, links.copies, links.delay, links.jitter = (
                peers.loss,
                peers.copies,
                peers.delay,
                peers.spread,
            )
            network = PeerNetwork(self.core, links, self.routers, peers)
            for i, router in enumerate(self.routers):
                router.peer_network, router.zone = network, zone_of(scenario, i)
        for router in self.routers:
            self.auditor.judge(seen.RouterUp(self.core.now, router.name))
            router.start(entries)
        profile = replace(profile, hot=profile.hot + hot_keys(scenario))
        self.clients = Clients(
            self.core, profile, classes, self.routers, self.auditor.judge, scenario.seconds
        )
        for step in steps(scenario):
            self.core.call_after(step.at, self._apply_step, step)

    def _server_node(self, name: str) -> Node:
        def group(request: Request) -> str:
            return self.layout.group(name, request.request_class)

        latencies = self.layout.delays_from(self.layout.zones[name])
        idle_timeout = self.layout.kinds[name].idle
        node = Node(
            self.core,
            name,
            self.layout.server_model(name),
            latencies,
            idle_timeout,
            group,
            self.auditor.judge,
        )
        node.on_answer = self._on_server_answer
        node.on_collapse = self._on_collapse
        return node

    def _origin_node(self, store: OriginModel) -> Node:
        latencies = self.layout.delays_from(self.scenario.zones[0])
        node = Node(
            self.core,
            ORIGIN,
            store,
            latencies,
            store.origin.idle,
            lambda r: r.request_class.group,
            self.auditor.judge,
        )
        node.on_answer = self._on_origin_answer
        return node

    def _on_server_answer(self, node: Node, answer: Answer) -> None:
        """Record a miss, so that the server stores the value once the origin has answered."""
        if answer.kind is AnswerKind.MISS:
            self.awaiting_origin.setdefault(answer.request.id, []).append(node)
            while len(self.awaiting_origin) > MAX_AWAITING_ORIGIN:
                self.awaiting_origin.popitem(last=False)

    def _on_origin_answer(self, node: Node, answer: Answer) -> None:
        """Store the origin's answer at the servers that missed, or drop it everywhere after a write."""
        self.fetches += answer.kind is AnswerKind.HIT
        missed = self.awaiting_origin.pop(answer.request.id, [])
        if answer.kind is AnswerKind.RECEIPT:
            for server in self.nodes.values():
                if isinstance(server.model, CacheServerModel):
                    server.model.memory.drop(answer.request.key)
        elif answer.kind is AnswerKind.HIT:
            for server in missed:
                if server.up and isinstance(server.model, CacheServerModel):
                    server.model.memory.put(self.core.now, answer.request.key, answer.version, answer.size)

    def _on_collapse(self, node: Node) -> None:
        self._update_list(Step(0.0, "crash", node.name, duration=math.inf))

    def _apply_step(self, step: Step) -> None:
        """Apply one step of the schedule of faults."""
        if step.target.startswith("router-"):
            # an upgrade is not simulated: the old and the new process share only sockets and files
            router = self.routers[int(step.target.rpartition("-")[2])]
            if step.action in ("stall", "go_on"):
                self._stall_router(router, step)
            elif step.action in ("restart", "kill"):  # other steps concern the host, not the decision module
                self._restart_router(router, step.action == "kill")
        elif step.target == PEERS:
            apply_split(self.peer_links, self.layout.routers, step)
        elif step.target == "discovery":
            self.discovery.set_unavailable(step.action == "away")
        elif step.action in ("offline", "online"):
            self._apply_ban(step)
        else:
            self._apply_to_node(step, self.nodes[step.target])

    def _stall_router(self, router: SimRouter, step: Step) -> None:
        if step.action == "stall":
            self.auditor.judge(seen.RouterStalled(self.core.now, router.name, step.duration))
        router.stall(step.action == "stall")

    def _apply_to_node(self, step: Step, node: Node) -> None:
        self.auditor.judge(seen.ScenarioStep(self.core.now, step.target, step.action, step.routers))
        match step.action:
            case "part" | "mend":
                node.cut_from(step.routers, step.action == "part")
            case "freeze" | "thaw":
                node.freeze(step.action == "freeze")
            case "cut" | "join":
                node.cut(step.action == "cut")
            case "crash" | "end":
                node.terminate()
            case "start":
                self._start_server(node)
            case "bounce":
                node.terminate()
                self._start_process(node)  # discovery is not notified: operators take the server out of use
            case "refuse" | "accept":
                node.refusing = step.action == "refuse"
            case "reset":
                node.reset()
            case "idle_drop":
                node.idle_connections.clear()
            case "spoil" | "heal":
                node.reset_share = step.value
            case "pace":
                node.set_speed(step.value)
        self._update_list(step)

    def _apply_ban(self, step: Step) -> None:
        """Ban a server at every running router as operators do, or lift the ban."""
        lifted = step.action == "online"
        for router in self.routers:
            if router.accepting and not router.ending:
                now, server = self.core.now, step.target
                router.post(api.BanLifted(server, now) if lifted else api.ServerBanned(server))
                self.auditor.judge(seen.BanAcknowledged(now, router.name, server, lifted))

    def _start_server(self, node: Node) -> None:
        """Start a server's process and lists it."""
        if self._start_process(node):
            self.discovery.notice(*self.layout.list_addition(node.name, self.core.now))

    def _start_process(self, node: Node) -> bool:
        """Start an empty, cold process; a server that has collapsed stays down."""
        server = node.model
        if not isinstance(server, CacheServerModel) or node.up or server.overload_by_router is not None:
            return False
        server.start(self.core.now)
        node.up = True
        self.auditor.judge(seen.ServerStarted(self.core.now, node.name))
        return True

    def _update_list(self, step: Step) -> None:
        model = self.nodes[step.target].model
        started = model.started_at if isinstance(model, CacheServerModel) else -math.inf
        listed = step.target in self.registry.listed
        change = self.layout.list_change(step, self.core.now, started, listed)
        if change is not None:
            self.discovery.notice(*change)

    def _restart_router(self, router: SimRouter, kill: bool) -> None:
        """Kill a router or ask it to end; its successor starts with the first list."""
        if not router.accepting or router.ending:
            return  # the router is already ending or starting
        if kill:
            self.auditor.judge(seen.RouterDown(self.core.now, router.name, True))
            router.kill()
            self.core.call_after(ROUTER_START_TIME, self._router_started, router)
        else:
            router.ending = True
            self.core.call_after(ACCEPT_WHILE_ENDING, router.stop_accepting, router.incarnation)
            self.core.call_after(ACCEPT_WHILE_ENDING + DRAIN_TIMEOUT, self._router_ended, router)

    def _router_ended(self, router: SimRouter) -> None:
        router.kill()
        self.auditor.judge(seen.RouterDown(self.core.now, router.name, False))
        self.core.call_after(ROUTER_START_TIME, self._router_started, router)

    def _router_started(self, router: SimRouter) -> None:
        self.discovery.remove_router(router)
        self.auditor.judge(seen.RouterUp(self.core.now, router.name))
        router.start(list(self.layout.entries.values()))

    def margins(self) -> dict[str, float]:
        """Return how close the run came to each limit; 1 is the limit."""
        cold_load = max(
            (n.model.max_load_ratio for n in self.nodes.values() if isinstance(n.model, CacheServerModel)),
            default=0.0,
        )
        return dict(self.auditor.margins) | {"cold_pushed": cold_load}

    def run(
        self, progress: Callable[[float], None] = lambda at: None, until_violation: bool = False
    ) -> Result:
        """Run to the end, or until a rule is broken. `progress` is called with the seconds simulated."""
        started_at, seconds = self.core.now, self.scenario.seconds
        while self.core.now < started_at + seconds + SETTLE_TIME:
            self.core.run(min(self.core.now + 1.0, started_at + seconds + SETTLE_TIME))
            progress(self.core.now - started_at)
            if until_violation and self.auditor.counts:
                break
        capacity = {n: k.cores * k.speed * seconds for n, k in self.layout.kinds.items()}
        return Result(
            seconds,
            self.clients.record,
            self.auditor.verdict(),
            self.auditor.seen["sent"],
            self.fetches,
            self.core.events_run,
            {name: self.nodes[name].useful_work / capacity[name] for name in capacity},
            steps(self.scenario),
        )
