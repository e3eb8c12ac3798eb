"""A scenario in virtual time: boxes, origin, discovery, routers and clients, and what came of it."""

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
from myrtlecourse.fleet.box import Box, Ended, How, OriginStore, Request
from myrtlecourse.fleet.faults import PEERS, Step, hot_keys, steps, zone_of
from myrtlecourse.fleet.layout import ORIGIN, Layout
from myrtlecourse.fleet.registry import Registry
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.ways import Ways, part
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

ENDING = 0.5  # seconds in which a router that is asked to end still takes connections
LONGEST_END = 3.0  # seconds after those in which it serves what it has taken
STARTING = 0.6  # seconds from a router's end until its successor listens
TAIL = 5.0  # seconds after the load in which everything comes to its end
MISSES = 100_000  # that wait for the origin's answer


class ScenarioMismatch(ValueError):
    """A profile that does not fit the scenario; the message names the class."""


@dataclass(frozen=True)
class Result:
    """What a run came to."""

    seconds: float
    record: Record
    verdict: dict[str, Any]
    attempts: int
    fetches: int
    events: int
    work: dict[str, float]  # share of each box's capacity that answered requests
    steps: list[Step]

    def figures(self) -> dict[str, Any]:
        """For programs: the load's figures, and what a simulator knows beyond them."""
        return self.record.figures(self.seconds) | {
            "verdict": self.verdict,
            "attempts": self.attempts,
            "origin_fetches": self.fetches,
            "events": self.events,
            "load_by_box": self.work,
        }


class FleetSimulation:
    """A scenario on the simulator's clock."""

    def __init__(
        self,
        scenario: Scenario,
        profile: Profile,
        seed: int | None = None,
        router_class: type[Router] = Router,
    ) -> None:
        if seed is not None:
            scenario, profile = replace(scenario, seed=seed), replace(profile, seed=seed)
        known = {c.name: c for c in scenario.classes}
        for kind in profile.classes:
            if kind.name not in known:
                raise ScenarioMismatch(f"the scenario has no class {kind.name!r}")
        self.scenario = scenario
        self.core = Core(scenario.seed)
        self.layout = Layout(scenario)
        self.auditor = Auditor(scenario.rules)
        self.fetches = 0
        self.missed: OrderedDict[str, list[Node]] = OrderedDict()
        self.nodes: dict[str, Node] = {name: self._box(name) for name in self.layout.kinds}
        if scenario.origin is not None:
            self.nodes[ORIGIN] = self._origin(OriginStore(scenario.origin, self.layout.draw))
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
        self.peer_links = Ways(scenario.seed)  # between routers
        if scenario.peers is not None:
            told, ways = scenario.peers, self.peer_links
            ways.loss, ways.copies, ways.delay, ways.spread = told.loss, told.copies, told.delay, told.spread
            met = PeerNetwork(self.core, ways, self.routers, told)
            for i, router in enumerate(self.routers):
                router.peer_network, router.zone = met, zone_of(scenario, i)
        for router in self.routers:
            self.auditor.judge(seen.RouterUp(self.core.now, router.name))
            router.start(entries)
        profile = replace(profile, hot=profile.hot + hot_keys(scenario))
        self.clients = Clients(self.core, profile, known, self.routers, self.auditor.judge, scenario.seconds)
        for step in steps(scenario):
            self.core.call_after(step.at, self._do, step)

    def _box(self, name: str) -> Node:
        def group(request: Request) -> str:
            return self.layout.group(name, request.request_class)

        distances = self.layout.distances(self.layout.zones[name])
        idle = self.layout.kinds[name].idle
        node = Node(self.core, name, self.layout.box(name), distances, idle, group, self.auditor.judge)
        node.answered = self._answered
        node.fell = self._fell
        return node

    def _origin(self, store: OriginStore) -> Node:
        distances = self.layout.distances(self.scenario.zones[0])
        node = Node(
            self.core,
            ORIGIN,
            store,
            distances,
            store.origin.idle,
            lambda r: r.request_class.group,
            self.auditor.judge,
        )
        node.answered = self._fetched
        return node

    def _answered(self, node: Node, ended: Ended) -> None:
        """A box has answered: what it lacks is kept there once the origin has it."""
        if ended.how is How.MISS:
            self.missed.setdefault(ended.request.id, []).append(node)
            while len(self.missed) > MISSES:
                self.missed.popitem(last=False)

    def _fetched(self, node: Node, ended: Ended) -> None:
        """The origin has answered."""
        self.fetches += ended.how is How.HIT
        lacking = self.missed.pop(ended.request.id, [])
        if ended.how is How.RECEIPT:
            for box in self.nodes.values():
                if isinstance(box.model, Box):
                    box.model.memory.drop(ended.request.key)
        elif ended.how is How.HIT:
            for box in lacking:
                if box.up and isinstance(box.model, Box):
                    box.model.memory.put(self.core.now, ended.request.key, ended.version, ended.size)

    def _fell(self, node: Node) -> None:
        self._to_list(Step(0.0, "crash", node.name, lasts=math.inf))

    def _do(self, step: Step) -> None:
        """Let one fault happen."""
        if step.target.startswith("router-"):
            # at an upgrade one process goes on for the other: what both share is of sockets and files
            router = self.routers[int(step.target.rpartition("-")[2])]
            if step.do in ("stall", "go_on"):
                self._stall(router, step)
            elif step.do in ("restart", "kill"):  # the others are the host's matter, not the decisions'
                self._restart(router, step.do == "kill")
        elif step.target == PEERS:
            part(self.peer_links, self.layout.routers, step)
        elif step.target == "discovery":
            self.discovery.away(step.do == "away")
        elif step.do in ("offline", "online"):
            self._hand(step)
        else:
            self._to_node(step, self.nodes[step.target])

    def _stall(self, router: SimRouter, step: Step) -> None:
        if step.do == "stall":
            self.auditor.judge(seen.RouterStalled(self.core.now, router.name, step.lasts))
        router.stall(step.do == "stall")

    def _to_node(self, step: Step, node: Node) -> None:
        self.auditor.judge(seen.ScenarioStep(self.core.now, step.target, step.do, step.routers))
        match step.do:
            case "part" | "mend":
                node.part(step.routers, step.do == "part")
            case "freeze" | "thaw":
                node.freeze(step.do == "freeze")
            case "cut" | "join":
                node.cut(step.do == "cut")
            case "crash" | "end":
                node.end()
            case "start":
                self._start(node)
            case "bounce":
                node.end()
                self._run(node)  # the list is not told: that is the operators' business
            case "refuse" | "accept":
                node.refusing = step.do == "refuse"
            case "reset":
                node.reset()
            case "idle_drop":
                node.kept.clear()
            case "spoil" | "heal":
                node.spoilt = step.value
            case "pace":
                node.pace(step.value)
        self._to_list(step)

    def _hand(self, step: Step) -> None:
        """Operators take a box out at every router that runs, or give it back."""
        back = step.do == "online"
        for router in self.routers:
            if router.taking and not router.ending:
                now, box = self.core.now, step.target
                router.post(api.BanLifted(box, now) if back else api.ServerBanned(box))
                self.auditor.judge(seen.BanAcknowledged(now, router.name, box, back))

    def _start(self, node: Node) -> None:
        """A new process, which the list will tell of."""
        if self._run(node):
            self.discovery.notice(*self.layout.added(node.name, self.core.now))

    def _run(self, node: Node) -> bool:
        """A new process, empty and cold; what has fallen stays down."""
        box = node.model
        if not isinstance(box, Box) or node.up or box.fallen is not None:
            return False
        box.start(self.core.now)
        node.up = True
        self.auditor.judge(seen.ServerStarted(self.core.now, node.name))
        return True

    def _to_list(self, step: Step) -> None:
        model = self.nodes[step.target].model
        started = model.started if isinstance(model, Box) else -math.inf
        listed = step.target in self.registry.listed
        noticed = self.layout.noticed(step, self.core.now, started, listed)
        if noticed is not None:
            self.discovery.notice(*noticed)

    def _restart(self, router: SimRouter, kill: bool) -> None:
        """A router is killed, or asked to end; its successor has the list of the start."""
        if not router.taking or router.ending:
            return  # it is ending or starting already
        if kill:
            self.auditor.judge(seen.RouterDown(self.core.now, router.name, True))
            router.kill()
            self.core.call_after(STARTING, self._up, router)
        else:
            router.ending = True
            self.core.call_after(ENDING, router.stop_taking, router.incarnation)
            self.core.call_after(ENDING + LONGEST_END, self._ended, router)

    def _ended(self, router: SimRouter) -> None:
        router.kill()
        self.auditor.judge(seen.RouterDown(self.core.now, router.name, False))
        self.core.call_after(STARTING, self._up, router)

    def _up(self, router: SimRouter) -> None:
        self.discovery.forget(router)
        self.auditor.judge(seen.RouterUp(self.core.now, router.name))
        router.start(list(self.layout.entries.values()))

    def margins(self) -> dict[str, float]:
        """How close each limit came to being broken, 1 at the limit."""
        pushed = max((n.model.closest for n in self.nodes.values() if isinstance(n.model, Box)), default=0.0)
        return dict(self.auditor.margins) | {"cold_pushed": pushed}

    def run(self, progress: Callable[[float], None] = lambda at: None, until_broken: bool = False) -> Result:
        """Play it to its end, or until a rule is broken; `progress` is told how many seconds are played."""
        began, seconds = self.core.now, self.scenario.seconds
        while self.core.now < began + seconds + TAIL:
            self.core.run(min(self.core.now + 1.0, began + seconds + TAIL))
            progress(self.core.now - began)
            if until_broken and self.auditor.counts:
                break
        able = {n: k.cores * k.speed * seconds for n, k in self.layout.kinds.items()}
        return Result(
            seconds,
            self.clients.record,
            self.auditor.verdict(),
            self.auditor.seen["sent"],
            self.fetches,
            self.core.events_run,
            {name: self.nodes[name].work / able[name] for name in able},
            steps(self.scenario),
        )
