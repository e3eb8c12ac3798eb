"""A scenario's faults as single steps in time, drawn by its seed; no I/O.

The same steps are played on sockets and in virtual time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from myrtlecourse.fleet import scenario as scenarios
from myrtlecourse.load.profile import HotKeys


@dataclass(frozen=True, slots=True)
class Step:
    """What happens to one part of the fleet: `do` to `target` at so many seconds after the start.

    `target` is a box, `origin`, `discovery`, `router-N` or `holder-DUTY-N` (who holds a duty when the fault
    with that number begins); `value` is the factor of a pace, the share of spoilt answers, or how many
    further signals come at a restart; `lasts` tells how long it will be so, where a later step ends it.
    """

    at: float
    action: str
    target: str
    value: float = 0.0
    duration: float = 0.0
    routers: tuple[str, ...] = ()  # whom it concerns; none: all


PEERS = "peers"  # the target of what happens between routers


def zone_of(scenario: scenarios.Scenario, number: int) -> str:
    """The zone of a router, or of a box by its place among all boxes: in turns."""
    return scenario.zones[number % len(scenario.zones)]


def holder_target(duty: str, number: int) -> str:
    """Who holds a duty when a fault begins, by the fault's number."""
    return f"holder-{duty}-{number}"


def steps(scenario: scenarios.Scenario) -> list[Step]:
    """All steps in their order."""
    chance = random.Random(f"{scenario.seed} faults")
    result: list[Step] = []
    for number, fault in enumerate(scenario.faults):
        if isinstance(fault, scenarios.Reload | scenarios.Crowd):
            result += _process_steps(fault)
        elif isinstance(fault, scenarios.Restart | scenarios.Upgrade | scenarios.Stall):
            result += _router_steps(fault, number)
        elif isinstance(fault, scenarios.Split | scenarios.Unreached):
            result += _partition_steps(scenario, fault, number)
        else:
            result += _fault_steps(scenario, fault, chance)
    return sorted(result, key=lambda s: s.at)


def _fault_steps(scenario: scenarios.Scenario, fault: scenarios.Fault, chance: random.Random) -> list[Step]:
    at = fault.at

    def begin_and_end(first: str, last: str, target: str, value: float = 0.0) -> list[Step]:
        seconds: float = getattr(fault, "seconds")  # noqa: B009  (of those faults that last)
        return [Step(at, first, target, value, seconds), Step(at + seconds, last, target)]

    match fault:
        case scenarios.Freeze():
            return begin_and_end("freeze", "thaw", fault.box)
        case scenarios.Crash():
            return [
                step
                for server in _target_servers(scenario, fault)
                for step in begin_and_end("crash", "start", server)
            ]
        case scenarios.Refuse():
            return begin_and_end("refuse", "accept", fault.box)
        case scenarios.Spoilt():
            return begin_and_end("spoil", "heal", fault.box, fault.share)
        case scenarios.Slow():
            return [
                Step(at, "pace", fault.box, fault.factor),
                Step(at + fault.seconds, "pace", fault.box, 1.0),
            ]
        case scenarios.Silence():
            return [
                step
                for server in _target_servers(scenario, fault)
                for step in begin_and_end("cut", "join", server)
            ]
        case scenarios.DiscoveryAway():
            return begin_and_end("away", "back", "discovery")
        case scenarios.Reset() | scenarios.IdleDrop():
            return [Step(at, "reset" if isinstance(fault, scenarios.Reset) else "idle_drop", fault.box)]
        case scenarios.Replace():
            return _replacement_steps(scenario, fault, chance)
        case scenarios.Hand():
            # the restart lies in between, after the time in which routers may still send
            down = Step(at + fault.seconds * 0.8, "bounce", fault.box)
            return [Step(at, "offline", fault.box), down, Step(at + fault.seconds, "online", fault.box)]
    return []  # a hot key is the load's part


def _router_steps(fault: scenarios.Restart | scenarios.Upgrade | scenarios.Stall, number: int) -> list[Step]:
    target = f"router-{fault.router}"
    if not isinstance(fault, scenarios.Upgrade) and fault.holder is not None:
        target = holder_target(fault.holder, number)
    match fault:
        case scenarios.Stall():
            stall = Step(fault.at, "stall", target, 0.0, fault.seconds)
            return [stall, Step(fault.at + fault.seconds, "go_on", target)]
        case scenarios.Upgrade():
            return [Step(fault.at, "upgrade", target)]
        case scenarios.Restart():
            return [Step(fault.at, "kill" if fault.kill else "restart", target, float(fault.signals))]


def _process_steps(fault: scenarios.Reload | scenarios.Crowd) -> list[Step]:
    """What comes to a router's process: signals, or a crowd."""
    target = f"router-{fault.router}"
    if isinstance(fault, scenarios.Reload):
        return [Step(fault.at + i * fault.pause, "reload", target) for i in range(fault.times)]
    silent = round(fault.clients * (1 - fault.begun))
    crowd = Step(fault.at, "crowd", target, float(silent), fault.seconds)
    return [crowd, Step(fault.at, "crowd_begun", target, float(fault.clients - silent), fault.seconds)]


def _target_servers(scenario: scenarios.Scenario, fault: scenarios.Silence | scenarios.Crash) -> list[str]:
    if fault.box is not None:
        return [fault.box]
    return [server for i, server in enumerate(scenario.cache_servers()) if zone_of(scenario, i) == fault.zone]


def _partition_steps(
    scenario: scenarios.Scenario, fault: scenarios.Split | scenarios.Unreached, number: int
) -> list[Step]:
    """What happens between some routers and the others, or some servers."""
    numbers = fault.routers or [n for n in range(scenario.routers) if zone_of(scenario, n) == fault.zone]
    routers = tuple(f"router-{n}" for n in numbers)
    if isinstance(fault, scenarios.Split) and fault.holder is not None:
        routers = (*routers, holder_target(fault.holder, number))
    at, until = fault.at, fault.at + fault.seconds
    if isinstance(fault, scenarios.Split):
        one_way = float(fault.one_way)
        begin = Step(at, "split", PEERS, one_way, fault.seconds, routers)
        return [begin, Step(until, "heal", PEERS, one_way, 0.0, routers)]
    result = []
    for i, server in enumerate(scenario.cache_servers()):
        if zone_of(scenario, i) == fault.boxes:
            result += _unreachable_steps(fault, server, routers)
    return result + (_unreachable_steps(fault, fault.box, routers) if fault.box is not None else [])


def _unreachable_steps(fault: scenarios.Unreached, server: str, routers: tuple[str, ...]) -> list[Step]:
    until = fault.at + fault.seconds
    begin = Step(fault.at, "part", server, 0.0, fault.seconds, routers)
    return [begin, Step(until, "mend", server, 0.0, 0.0, routers)]


def _replacement_steps(
    scenario: scenarios.Scenario, fault: scenarios.Replace, chance: random.Random
) -> list[Step]:
    servers = [fault.box] if fault.box is not None else list(scenario.cache_servers())
    if fault.box is None:
        chance.shuffle(servers)
        servers = servers[: round(len(servers) * fault.share)]
    result = []
    for i, server in enumerate(servers):
        at = fault.at + i // fault.at_once * (fault.drain + fault.seconds)
        result += [
            Step(at, "drain", server, duration=fault.drain),
            Step(at + fault.drain, "end", server, duration=fault.seconds),
            Step(at + fault.drain + fault.seconds, "start", server),
        ]
    return result


def hot_keys(scenario: scenarios.Scenario) -> tuple[HotKeys, ...]:
    """What the load beside the fleet must ask for."""
    return tuple(
        HotKeys(at=f.at, seconds=f.seconds, share=f.share, keys=f.keys)
        for f in scenario.faults
        if isinstance(f, scenarios.HotKey)
    )
