"""A scenario's faults as single steps in time, drawn by its seed; no I/O.

The same steps are played on sockets and in virtual time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from myrtlecourse.fleet import scenario as told
from myrtlecourse.load.profile import HotKeys


@dataclass(frozen=True, slots=True)
class Step:
    """What happens to one part of the fleet: `do` to `target` at so many seconds after the start.

    `target` is a box, `origin`, `discovery`, `router-N` or `holder-DUTY-N` (who holds a duty when the fault
    with that number begins); `value` is the factor of a pace, the share of spoilt answers, or how many
    further signals come at a restart; `lasts` tells how long it will be so, where a later step ends it.
    """

    at: float
    do: str
    target: str
    value: float = 0.0
    lasts: float = 0.0
    routers: tuple[str, ...] = ()  # whom it concerns; none: all


PEERS = "peers"  # the target of what happens between routers


def zone_of(scenario: told.Scenario, number: int) -> str:
    """The zone of a router, or of a box by its place among all boxes: in turns."""
    return scenario.zones[number % len(scenario.zones)]


def holder_target(duty: str, number: int) -> str:
    """Who holds a duty when a fault begins, by the fault's number."""
    return f"holder-{duty}-{number}"


def steps(scenario: told.Scenario) -> list[Step]:
    """All steps in their order."""
    chance = random.Random(f"{scenario.seed} faults")
    found: list[Step] = []
    for number, fault in enumerate(scenario.faults):
        if isinstance(fault, told.Reload | told.Crowd):
            found += _from_outside(fault)
        elif isinstance(fault, told.Restart | told.Upgrade | told.Stall):
            found += _of_router(fault, number)
        elif isinstance(fault, told.Split | told.Unreached):
            found += _of_some(scenario, fault, number)
        else:
            found += _steps(scenario, fault, chance)
    return sorted(found, key=lambda s: s.at)


def _steps(scenario: told.Scenario, fault: told.Fault, chance: random.Random) -> list[Step]:
    at = fault.at

    def lasting(first: str, last: str, target: str, value: float = 0.0) -> list[Step]:
        seconds: float = getattr(fault, "seconds")  # noqa: B009  (of those faults that last)
        return [Step(at, first, target, value, seconds), Step(at + seconds, last, target)]

    match fault:
        case told.Freeze():
            return lasting("freeze", "thaw", fault.box)
        case told.Crash():
            return [step for box in _boxes(scenario, fault) for step in lasting("crash", "start", box)]
        case told.Refuse():
            return lasting("refuse", "accept", fault.box)
        case told.Spoilt():
            return lasting("spoil", "heal", fault.box, fault.share)
        case told.Slow():
            return [
                Step(at, "pace", fault.box, fault.factor),
                Step(at + fault.seconds, "pace", fault.box, 1.0),
            ]
        case told.Silence():
            return [step for box in _boxes(scenario, fault) for step in lasting("cut", "join", box)]
        case told.DiscoveryAway():
            return lasting("away", "back", "discovery")
        case told.Reset() | told.IdleDrop():
            return [Step(at, "reset" if isinstance(fault, told.Reset) else "idle_drop", fault.box)]
        case told.Replace():
            return _replaced(scenario, fault, chance)
        case told.Hand():
            # the restart lies in between, after the time in which routers may still send
            down = Step(at + fault.seconds * 0.8, "bounce", fault.box)
            return [Step(at, "offline", fault.box), down, Step(at + fault.seconds, "online", fault.box)]
    return []  # a hot key is the load's part


def _of_router(fault: told.Restart | told.Upgrade | told.Stall, number: int) -> list[Step]:
    target = f"router-{fault.router}"
    if not isinstance(fault, told.Upgrade) and fault.holder is not None:
        target = holder_target(fault.holder, number)
    match fault:
        case told.Stall():
            stall = Step(fault.at, "stall", target, 0.0, fault.seconds)
            return [stall, Step(fault.at + fault.seconds, "go_on", target)]
        case told.Upgrade():
            return [Step(fault.at, "upgrade", target)]
        case told.Restart():
            return [Step(fault.at, "kill" if fault.kill else "restart", target, float(fault.signals))]


def _from_outside(fault: told.Reload | told.Crowd) -> list[Step]:
    """What comes to a router's process: signals, or a crowd."""
    target = f"router-{fault.router}"
    if isinstance(fault, told.Reload):
        return [Step(fault.at + i * fault.pause, "reload", target) for i in range(fault.times)]
    silent = round(fault.clients * (1 - fault.begun))
    crowd = Step(fault.at, "crowd", target, float(silent), fault.seconds)
    return [crowd, Step(fault.at, "crowd_begun", target, float(fault.clients - silent), fault.seconds)]


def _boxes(scenario: told.Scenario, fault: told.Silence | told.Crash) -> list[str]:
    if fault.box is not None:
        return [fault.box]
    return [box for i, box in enumerate(scenario.boxes()) if zone_of(scenario, i) == fault.zone]


def _of_some(scenario: told.Scenario, fault: told.Split | told.Unreached, number: int) -> list[Step]:
    """What happens between some routers and the others, or some servers."""
    numbers = fault.routers or [n for n in range(scenario.routers) if zone_of(scenario, n) == fault.zone]
    routers = tuple(f"router-{n}" for n in numbers)
    if isinstance(fault, told.Split) and fault.holder is not None:
        routers = (*routers, holder_target(fault.holder, number))
    at, until = fault.at, fault.at + fault.seconds
    if isinstance(fault, told.Split):
        way = float(fault.one_way)
        begin = Step(at, "split", PEERS, way, fault.seconds, routers)
        return [begin, Step(until, "heal", PEERS, way, 0.0, routers)]
    found = []
    for i, box in enumerate(scenario.boxes()):
        if zone_of(scenario, i) == fault.boxes:
            found += _parted(fault, box, routers)
    return found + (_parted(fault, fault.box, routers) if fault.box is not None else [])


def _parted(fault: told.Unreached, box: str, routers: tuple[str, ...]) -> list[Step]:
    until = fault.at + fault.seconds
    begin = Step(fault.at, "part", box, 0.0, fault.seconds, routers)
    return [begin, Step(until, "mend", box, 0.0, 0.0, routers)]


def _replaced(scenario: told.Scenario, fault: told.Replace, chance: random.Random) -> list[Step]:
    boxes = [fault.box] if fault.box is not None else list(scenario.boxes())
    if fault.box is None:
        chance.shuffle(boxes)
        boxes = boxes[: round(len(boxes) * fault.share)]
    found = []
    for i, box in enumerate(boxes):
        at = fault.at + i // fault.at_once * (fault.drain + fault.seconds)
        found += [
            Step(at, "drain", box, lasts=fault.drain),
            Step(at + fault.drain, "end", box, lasts=fault.seconds),
            Step(at + fault.drain + fault.seconds, "start", box),
        ]
    return found


def hot_keys(scenario: told.Scenario) -> tuple[HotKeys, ...]:
    """What the load beside the fleet must ask for."""
    return tuple(
        HotKeys(at=f.at, seconds=f.seconds, share=f.share, keys=f.keys)
        for f in scenario.faults
        if isinstance(f, told.HotKey)
    )
