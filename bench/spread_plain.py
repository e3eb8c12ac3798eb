"""Two plain ways that `bench/spread_scale.py` sets beside the spread, in virtual time over the same network.

The holder tells each member itself, with acknowledgements and repeats; and the records of the present gossip
carry purges, at the size that its roster allows and at its pace.
"""

from __future__ import annotations

from typing import Any

import numpy as np
from numpy.typing import NDArray

from myrtlecourse.peers.gossip import PACE, Gossip
from myrtlecourse.peers.records import EPOCH
from myrtlecourse.peers.seal import LONGEST, SEAL, Dropped
from myrtlecourse.peers.wire import HEAD
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.topology import Network, Place, lay_out_sites
from myrtlecourse.spread import messages as said

REGIONS, SITES, ROUTERS, PARTS, CONTROL = 43, 650, 16_000, 6_700, 20
TICK = 0.1  # seconds between two times that the plain holder sends, as `pause`
AGAIN = 0.4  # seconds without an acknowledgement until it sends again: over the longest way there and back
MOST_RUMOURS = 17  # purges that a record of the gossip holds, as two numbers of 5 bytes each
LASTS = 6.0  # seconds of a load
Figures = dict[str, tuple[float, str]]  # value and unit


def percentiles(name: str, values: NDArray[Any], unit: str = "s") -> Figures:
    """Median, 99th percentile and the most."""
    values = values[np.isfinite(values)]
    if not len(values):
        return {}
    p50, p99 = np.quantile(values, [0.5, 0.99])
    each = {"p50": p50, "p99": p99, "most": values.max()}
    return {f"{name}.{what}": (float(value), unit) for what, value in each.items()}


class Unicast:
    """The plain way: the holder sends each member what is new, and again what it has not acknowledged."""

    def __init__(self, sites: tuple[said.Site, ...], seed: int, loss: float, budget: float) -> None:
        """`budget`: bytes a second that the holder may send."""
        self.core = Core(seed)
        regions = sorted({s.region for s in sites})
        self.network = Network(len(regions), len(sites) + 1, self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.network.loss = loss
        self.holder = Place(0, len(sites))
        places = [(Place(regions.index(s.region), i), s) for i, s in enumerate(sites)]
        self.places = [p for p, s in places for _ in (*s.routers, *s.parts)]
        self.room = LONGEST - SEAL - HEAD - 20  # of a name
        count = len(self.places)
        self.acknowledged, self.sent, self.moved_at = [0] * count, [0] * count, [0.0] * count
        self.held: list[set[int]] = [set() for _ in range(count)]
        self.have = [0] * count
        self.born = [0.0]  # when entries were proposed, from number 1
        self.came: list[list[float]] = [[] for _ in range(count)]  # of `have`, as it grew
        self.budget, self.saved, self.next = budget, 0.0, 0
        self.bytes = self.datagrams = self.answers = 0
        self.core.call_after(0.0, self._tick)

    def _tick(self) -> None:
        self.core.call_after(TICK, self._tick)
        self.saved = min(self.budget, self.saved + self.budget * TICK)
        count = len(self.places)
        for _ in range(count):
            if self.saved < LONGEST:
                return
            self._tell(self.next)
            self.next = (self.next + 1) % count

    def _tell(self, member: int) -> None:
        now, last = self.core.now, len(self.born) - 1
        if self.sent[member] == self.acknowledged[member]:
            self.moved_at[member] = now
        elif now > self.moved_at[member] + AGAIN:
            self.sent[member], self.moved_at[member] = self.acknowledged[member], now
        while self.sent[member] < last and self.saved >= LONGEST:
            first = self.sent[member] + 1
            count = min(last + 1 - first, (self.room - 20) // said.KEY_BYTES)
            length = LONGEST - self.room + 20 + said.KEY_BYTES * count
            self.saved -= length
            self.bytes += length
            self.datagrams += 1
            self.sent[member] = first + count - 1
            for pause in self.network.draw_delays(self.holder, self.places[member]):
                self.core.call_after(pause, self._hear, member, first, count)

    def _hear(self, member: int, first: int, count: int) -> None:
        held = self.held[member]
        held.update(n for n in range(first, first + count) if n > self.have[member])
        while self.have[member] + 1 in held:
            self.have[member] += 1
            held.discard(self.have[member])
            self.came[member].append(self.core.now)
        self.answers += 1
        for pause in self.network.draw_delays(self.places[member], self.holder):
            self.core.call_after(pause, self._acknowledged, member, self.have[member])

    def _acknowledged(self, member: int, have: int) -> None:
        if have > self.acknowledged[member]:
            self.acknowledged[member], self.moved_at[member] = have, self.core.now
        self.sent[member] = max(self.sent[member], have)

    def propose(self) -> None:
        """One purge more."""
        self.born.append(self.core.now)


def unicast(scale: float, seed: int, loss: float, budget: float, rate: float) -> Figures:
    """Purges at a rate for some seconds (0: one alone), and until all have all, or a minute has passed."""
    sites = lay_out_sites(
        REGIONS, max(REGIONS, round(SITES * scale)), round(ROUTERS * scale), round(PARTS * scale)
    )
    play = Unicast(sites, seed, loss, budget)
    lasts = LASTS if rate else 0.0
    for i in range(max(1, int(rate * lasts))):
        play.core.call_after(1.0 + (i / rate if rate else 0.0), play.propose)
    play.core.run(play.core.now + 1.0 + lasts)
    figures: Figures = {}
    if rate:
        figures["holder.bytes.mean"] = (play.bytes / lasts, "bytes/s")
        figures["holder.datagrams.mean"] = (play.datagrams / lasts, "datagrams/s")
        figures["holder.answers.mean"] = (play.answers / lasts, "datagrams/s")
    play.core.run(play.core.now + 60.0)
    whole = min(map(len, play.came))
    each = np.array([c[:whole] for c in play.came]) - np.array(play.born[1 : whole + 1])
    if whole:
        figures |= percentiles("purge.member", each.ravel()) | percentiles("purge.last", each.max(axis=0))
    figures["purge.everywhere"] = (whole / (len(play.born) - 1), "share")
    figures["members"] = (float(len(play.places)), "members")
    return figures


class Rumours:
    """The other plain way: the record that a router makes of itself carries the last purges."""

    def __init__(self, members: int, seed: int, loss: float) -> None:
        self.core = Core(seed)
        sites = lay_out_sites(REGIONS, max(REGIONS, members // 25), members, 0)
        regions = sorted({s.region for s in sites})
        self.network = Network(len(regions), len(sites), self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.network.loss = loss
        chance = self.core.stream("members")
        places = [(Place(regions.index(s.region), i), s) for i, s in enumerate(sites)]
        self.place = {name: p for p, s in places for name in s.routers}
        names = tuple(self.place)
        self.each = {
            n: Gossip(n, names, "z", b"of the simulator", self.core.now, self._wall(), chance.getrandbits(32))
            for n in names
        }
        self.first = names[0]
        self.born: list[float] = []
        self.came: dict[str, dict[int, float]] = {n: {} for n in names}
        for name in names:
            self.core.call_after(PACE * chance.random(), self._tick, name)

    def _wall(self) -> float:
        return EPOCH + self.core.now

    def _said(self) -> tuple[int, ...]:
        """The number of the first purge, and the keys of the last, two numbers each."""
        keys = min(MOST_RUMOURS, len(self.born))
        return (len(self.born) - keys, *([2**32 - 1] * (2 * keys)))

    def _tick(self, name: str) -> None:
        self.core.call_after(PACE, self._tick, name)
        say = self._said if name == self.first else tuple
        for datagram in self.each[name].tick(self.core.now, self._wall(), say):
            for pause in self.network.draw_delays(self.place[name], self.place[datagram.to]):
                self.core.call_after(pause, self._arrive, datagram.to, datagram.data)

    def _arrive(self, name: str, data: bytes) -> None:
        gossip, now = self.each[name], self.core.now
        try:
            records = gossip.receive(data, now, self._wall())
        except Dropped:
            return
        for record in records:
            if record.said:
                for number in range(record.said[0], record.said[0] + len(record.said) // 2):
                    self.came[name].setdefault(number, now)
                gossip.stir(now)

    def propose(self) -> None:
        """One purge more."""
        self.born.append(self.core.now)
        self.each[self.first].stir(self.core.now)


def rumours(members: int, seed: int, loss: float, rate: float) -> Figures:
    """Purges at a rate for a while (0: one alone), and until all have all or so many seconds have passed."""
    play = Rumours(members, seed, loss)
    play.core.run(play.core.now + 30.0)  # until all have heard of most others
    lasts, before = 1.5, {n: (g.bytes_sent, g.sent) for n, g in play.each.items()}
    for i in range(max(1, int(rate * lasts))):
        play.core.call_after(i / rate if rate else 0.0, play.propose)
    play.core.run(play.core.now + lasts)
    spent = {n: (g.bytes_sent - before[n][0], g.sent - before[n][1]) for n, g in play.each.items()}
    others = [n for n in play.each if n != play.first]
    until = play.core.now + 4.0
    while play.core.now < until and any(len(play.came[n]) < len(play.born) for n in others):
        play.core.run(play.core.now + PACE)
    came = np.array([[play.came[n].get(i, np.nan) for i in range(len(play.born))] for n in others])
    came -= np.array(play.born)
    everywhere = ~np.isnan(came).any(axis=0)
    figures = percentiles("purge.member", came.ravel())
    figures |= percentiles("purge.last", came[:, everywhere].max(axis=0)) if everywhere.any() else {}
    figures["purge.everywhere"] = (float(everywhere.mean()), "share")
    figures["purge.never"] = (float(np.isnan(came).mean()), "share of entries at members")
    mean = np.mean([spent[n] for n in others], axis=0) / lasts
    figures["holder.bytes.mean"] = (spent[play.first][0] / lasts, "bytes/s")
    figures["member.bytes.mean"] = (float(mean[0]), "bytes/s")
    figures["member.datagrams.mean"] = (float(mean[1]), "datagrams/s")
    return figures | {"members": (float(len(play.each)), "members")}
