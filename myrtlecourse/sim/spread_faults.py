"""Schedules of what goes wrong in a spread in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

from myrtlecourse.sim.spread import Member, SpreadSimulation


def trouble(world: SpreadSimulation, chance: random.Random, longest: float) -> str:
    """Let one thing go wrong, and be well again after a while; answers with what it was."""
    what, member, seconds = (
        chance.choice(list(TROUBLES)),
        chance.choice(world.member_list),
        chance.uniform(0.0, longest),
    )
    TROUBLES[what](world, chance, member, seconds)
    return f"{world.time:.2f} {what} {member.name} {seconds:.2f}"


def _down(world: SpreadSimulation, member: Member, seconds: float) -> None:
    member.kill()
    world.core.call_after(seconds, member.start)


def _succeed(world: SpreadSimulation, chance: random.Random, member: Member) -> None:
    """The election finds another, if it was the holder: also while that one still believes that it holds."""
    if member.name == world.holder:
        world.core.call_after(chance.uniform(0.5, 1.5), _elect, world, chance)


def _elect(world: SpreadSimulation, chance: random.Random) -> None:
    """One that is there takes the duty, as a rule one that is not cut off."""
    there = [m for m in map(world.members.get, world.control) if m is not None and m.node and not m.stopped]
    cut = world.network.outbound_cut | world.network.inbound_cut
    best = [m for m in there if m.place.region not in cut]
    if there:
        world.set_holder(chance.choice(best if best and chance.random() < 0.8 else there).name)
    else:
        world.core.call_after(0.5, _elect, world, chance)


def _kill(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    _down(world, member, seconds)
    _succeed(world, chance, member)


def _stop(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    member.stop()
    world.core.call_after(seconds, member.resume)
    _succeed(world, chance, member)


def _rack(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    for each in world.member_list:
        if each.place.site == member.place.site:
            _kill(world, chance, each, seconds)


def _half(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    for each in world.member_list:
        if chance.random() < 0.5:
            _kill(world, chance, each, chance.uniform(0.0, seconds))


def _holder(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    if world.holder:
        _kill(world, chance, world.members[world.holder], seconds)


def _cut(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    network = world.network
    both = (network.outbound_cut, network.inbound_cut)
    for cut in chance.choice((both, both[:1], both[1:])):
        cut.add(member.place.region)
        world.core.call_after(seconds, cut.discard, member.place.region)


def _move(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    world.release_holder()
    world.core.call_after(chance.uniform(0.0, 0.5), _elect, world, chance)


def _lossy(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    network = world.network
    network.loss, network.duplication = chance.choice(((0.3, 0.0), (0.1, 0.1), (0.01, 0.3)))
    network.late = chance.choice((0.0, 0.05, 0.5))


def _disk(world: SpreadSimulation, chance: random.Random, member: Member, seconds: float) -> None:
    world.disk_pause = chance.choice(((0.001, 0.005), (0.05, 0.3)))


TROUBLES: dict[str, Callable[[SpreadSimulation, random.Random, Member, float], None]] = {
    **{"kill": _kill, "stop": _stop, "rack": _rack, "half": _half, "holder": _holder},
    **{"cut": _cut, "move": _move, "lossy": _lossy, "disk": _disk},
}


def run_random_faults(world: SpreadSimulation, seconds: float, longest: float = 3.0) -> list[str]:
    """Play troubles by chance for so long; answers with what happened. Raises Broken."""
    chance = world.core.stream("troubles")
    told, until = [], world.core.now + seconds
    while world.core.now < until:
        world.run(chance.expovariate(0.8))
        told.append(trouble(world, chance, longest))
    return told


def end_faults(world: SpreadSimulation) -> None:
    """The end of all troubles; and somebody holds the duty."""
    network = world.network
    network.outbound_cut.clear()
    network.inbound_cut.clear()
    network.loss = network.duplication = network.late = 0.0
    world.disk_pause = (0.001, 0.005)
    for member in world.member_list:
        if member.stopped:
            member.resume()
        member.start()
    world.set_holder(world.control[0])
