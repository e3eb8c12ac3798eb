"""Random faults for the simulation of spread."""

from __future__ import annotations

import random
from collections.abc import Callable

from myrtlecourse.sim.spread import Member, SpreadSimulation


def inject_fault(simulation: SpreadSimulation, rng: random.Random, max_seconds: float) -> str:
    """Inject one fault, which ends after a while; return its description."""
    fault, member, seconds = (
        rng.choice(list(FAULTS)),
        rng.choice(simulation.member_list),
        rng.uniform(0.0, max_seconds),
    )
    FAULTS[fault](simulation, rng, member, seconds)
    return f"{simulation.time:.2f} {fault} {member.name} {seconds:.2f}"


def _kill_for_a_while(simulation: SpreadSimulation, member: Member, seconds: float) -> None:
    member.kill()
    simulation.core.call_after(seconds, member.start)


def _elect_successor(simulation: SpreadSimulation, rng: random.Random, member: Member) -> None:
    """Elect another holder if this member held the duty, possibly while it still believes to hold it."""
    if member.name == simulation.holder:
        simulation.core.call_after(rng.uniform(0.5, 1.5), _elect, simulation, rng)


def _elect(simulation: SpreadSimulation, rng: random.Random) -> None:
    """Give the duty to a running control node, in most cases one that is not cut off."""
    running = [
        m
        for m in map(simulation.members.get, simulation.control)
        if m is not None and m.node and not m.stopped
    ]
    cut = simulation.network.outbound_cut | simulation.network.inbound_cut
    connected = [m for m in running if m.place.region not in cut]
    if running:
        simulation.set_holder(rng.choice(connected if connected and rng.random() < 0.8 else running).name)
    else:
        simulation.core.call_after(0.5, _elect, simulation, rng)


def _kill(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    _kill_for_a_while(simulation, member, seconds)
    _elect_successor(simulation, rng, member)


def _stop(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    member.stop()
    simulation.core.call_after(seconds, member.resume)
    _elect_successor(simulation, rng, member)


def _kill_site(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    for other in simulation.member_list:
        if other.place.site == member.place.site:
            _kill(simulation, rng, other, seconds)


def _kill_half(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    for other in simulation.member_list:
        if rng.random() < 0.5:
            _kill(simulation, rng, other, rng.uniform(0.0, seconds))


def _kill_holder(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    if simulation.holder:
        _kill(simulation, rng, simulation.members[simulation.holder], seconds)


def _cut_region(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    network = simulation.network
    both = (network.outbound_cut, network.inbound_cut)
    for cut in rng.choice((both, both[:1], both[1:])):
        cut.add(member.place.region)
        simulation.core.call_after(seconds, cut.discard, member.place.region)


def _move_duty(simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float) -> None:
    simulation.release_holder()
    simulation.core.call_after(rng.uniform(0.0, 0.5), _elect, simulation, rng)


def _degrade_network(
    simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float
) -> None:
    network = simulation.network
    network.loss, network.duplication = rng.choice(((0.3, 0.0), (0.1, 0.1), (0.01, 0.3)))
    network.late = rng.choice((0.0, 0.05, 0.5))


def _change_disk_time(
    simulation: SpreadSimulation, rng: random.Random, member: Member, seconds: float
) -> None:
    simulation.disk_write_range = rng.choice(((0.001, 0.005), (0.05, 0.3)))


FAULTS: dict[str, Callable[[SpreadSimulation, random.Random, Member, float], None]] = {
    **{"kill": _kill, "stop": _stop, "rack": _kill_site, "half": _kill_half, "holder": _kill_holder},
    **{"cut": _cut_region, "move": _move_duty, "lossy": _degrade_network, "disk": _change_disk_time},
}


def run_random_faults(simulation: SpreadSimulation, seconds: float, max_seconds: float = 3.0) -> list[str]:
    """Inject random faults for a time; return their descriptions. Raises RuleViolation."""
    rng = simulation.core.stream("troubles")
    faults, until = [], simulation.core.now + seconds
    while simulation.core.now < until:
        simulation.run(rng.expovariate(0.8))
        faults.append(inject_fault(simulation, rng, max_seconds))
    return faults


def end_faults(simulation: SpreadSimulation) -> None:
    """End all faults, start all members, and give the duty to the first control node."""
    network = simulation.network
    network.outbound_cut.clear()
    network.inbound_cut.clear()
    network.loss = network.duplication = network.late = 0.0
    simulation.disk_write_range = (0.001, 0.005)
    for member in simulation.member_list:
        if member.stopped:
            member.resume()
        member.start()
    simulation.set_holder(simulation.control[0])
