"""Converts the faults of a scenario into single steps in time; random choices follow the seed; no I/O.

The same steps are applied on sockets and in virtual time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from myrtlecourse.audit.origin import ORIGIN
from myrtlecourse.fleet import scenario as scenarios
from myrtlecourse.load.profile import HotKeys


@dataclass(frozen=True, slots=True)
class Step:
    """One change to a part of the fleet: `action` is applied to `target`, `at` seconds after the start.

    `target` is a cache server, `origin`, `discovery`, `router-N` or `holder-DUTY-N` (the holder of a duty
    when fault number N begins). `value` is a speed factor, the share of corrupt or second answers, or the
    number of further signals at a restart. `duration` is how long the effect lasts if a later step ends it.
    `delay` is the longest time, in seconds, after which a second answer follows the first.
    """

    at: float
    action: str
    target: str
    value: float = 0.0
    duration: float = 0.0
    routers: tuple[str, ...] = ()  # the routers that the step concerns; empty for all
    delay: float = 0.0


PEERS = "peers"  # the target of steps between routers


def zone_of(scenario: scenarios.Scenario, number: int) -> str:
    """Return the zone of a router or cache server by its number; zones are assigned in turn."""
    return scenario.zones[number % len(scenario.zones)]


def holder_target(duty: str, number: int) -> str:
    """Return the target that stands for the holder of a duty when the fault with this number begins."""
    return f"holder-{duty}-{number}"


def steps(scenario: scenarios.Scenario) -> list[Step]:
    """Return all steps of a scenario in the order of their times."""
    generator = random.Random(f"{scenario.seed} faults")
    result: list[Step] = []
    for number, fault in enumerate(scenario.faults):
        if isinstance(fault, scenarios.Reload | scenarios.Crowd):
            result += _process_steps(fault)
        elif isinstance(fault, scenarios.Restart | scenarios.Upgrade | scenarios.Stall):
            result += _router_steps(fault, number)
        elif isinstance(fault, scenarios.Split | scenarios.Unreached):
            result += _partition_steps(scenario, fault, number)
        else:
            result += _fault_steps(scenario, fault, generator)
    return sorted(result, key=lambda s: s.at)


def _fault_steps(
    scenario: scenarios.Scenario, fault: scenarios.Fault, generator: random.Random
) -> list[Step]:
    at = fault.at

    def begin_and_end(first: str, last: str, target: str, value: float = 0.0) -> list[Step]:
        seconds: float = getattr(fault, "seconds")  # noqa: B009  (only faults with a duration get here)
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
        case scenarios.SecondAnswers():
            return [
                step
                for server in _answering_servers(scenario, fault)
                for step in (
                    Step(at, "repeat_answers", server, fault.share, fault.seconds, delay=fault.latest),
                    Step(at + fault.seconds, "single_answers", server),
                )
            ]
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
            return _replacement_steps(scenario, fault, generator)
        case scenarios.Hand():
            # The restart comes so late that routers, which may send for a while after a ban, have stopped.
            restart = Step(at + fault.seconds * 0.8, "bounce", fault.box)
            return [Step(at, "offline", fault.box), restart, Step(at + fault.seconds, "online", fault.box)]
    return []  # hot keys belong to the load


def _router_steps(fault: scenarios.Restart | scenarios.Upgrade | scenarios.Stall, number: int) -> list[Step]:
    target = f"router-{fault.router}"
    if not isinstance(fault, scenarios.Upgrade) and fault.holder is not None:
        target = holder_target(fault.holder, number)
    match fault:
        case scenarios.Stall():
            begins = [fault.at + i * (fault.seconds + fault.pause) for i in range(fault.times)]
            stops = [Step(at, "stall", target, 0.0, fault.seconds) for at in begins]
            return stops + [Step(at + fault.seconds, "go_on", target) for at in begins]
        case scenarios.Upgrade():
            return [Step(fault.at, "upgrade", target)]
        case scenarios.Restart():
            return [Step(fault.at, "kill" if fault.kill else "restart", target, float(fault.signals))]


def _process_steps(fault: scenarios.Reload | scenarios.Crowd) -> list[Step]:
    """Return the steps of faults that act on a router from outside: signals and idle clients."""
    target = f"router-{fault.router}"
    if isinstance(fault, scenarios.Reload):
        return [Step(fault.at + i * fault.pause, "reload", target) for i in range(fault.times)]
    silent = round(fault.clients * (1 - fault.begun))
    counts = {
        "crowd": silent,
        "crowd_begun": fault.clients - silent,
        "crowd_leaving": fault.leaving,
        "crowd_writing": fault.writing,
        "crowd_flooding": fault.flooding,
        "crowd_stopping": fault.stopping,
        "crowd_interrupting": fault.interrupting,
        "crowd_fields": fault.fields,
        "crowd_reading": fault.reading,
    }
    return [Step(fault.at, action, target, float(n), fault.seconds) for action, n in counts.items() if n]


def _target_servers(scenario: scenarios.Scenario, fault: scenarios.Silence | scenarios.Crash) -> list[str]:
    if fault.box is not None:
        return [fault.box]
    return [server for i, server in enumerate(scenario.cache_servers()) if zone_of(scenario, i) == fault.zone]


def _answering_servers(scenario: scenarios.Scenario, fault: scenarios.SecondAnswers) -> list[str]:
    if fault.box is not None:
        return [fault.box]
    origin = [] if scenario.origin is None else [ORIGIN]
    return [*scenario.cache_servers(), *origin]


def _partition_steps(
    scenario: scenarios.Scenario, fault: scenarios.Split | scenarios.Unreached, number: int
) -> list[Step]:
    """Return the steps of partitions between routers, or between routers and servers."""
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
    scenario: scenarios.Scenario, fault: scenarios.Replace, generator: random.Random
) -> list[Step]:
    servers = [fault.box] if fault.box is not None else list(scenario.cache_servers())
    if fault.box is None:
        generator.shuffle(servers)
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
    """Return the hot keys that the load has to request."""
    return tuple(
        HotKeys(at=f.at, seconds=f.seconds, share=f.share, keys=f.keys)
        for f in scenario.faults
        if isinstance(f, scenarios.HotKey)
    )
