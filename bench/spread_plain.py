"""Two simple alternatives to the spread subsystem, with which `bench/spread_scale.py` compares it.

Both run in virtual time on the same simulated network. In the first, the holder of the duty sends to each
member directly, with acknowledgements and retransmission. In the second, the records of the existing gossip
carry the purges, at the roster's maximum size and the gossip's interval.
"""

from __future__ import annotations

from typing import Any

import numpy as np
from numpy.typing import NDArray

from myrtlecourse.peers.gossip import TICK_INTERVAL, Gossip
from myrtlecourse.peers.records import EPOCH
from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE, Dropped
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.topology import Network, Place, lay_out_sites
from myrtlecourse.spread import messages as msg

REGIONS, SITES, ROUTERS, PARTS, CONTROL = 43, 650, 16_000, 6_700, 20
SEND_INTERVAL = (
    0.1  # seconds between two sends of the holder, the default of `pause` in `bench/spread_scale.py`
)
RETRANSMIT_AFTER = 0.4  # seconds without an acknowledgement; over the longest round trip time
MAX_GOSSIP_PURGES = 17  # purges that fit a gossip record, each as two numbers of 5 bytes
LOAD_SECONDS = 6.0  # seconds of load
Figures = dict[str, tuple[float, str]]  # value and unit


def percentiles(name: str, values: NDArray[Any], unit: str = "s") -> Figures:
    """Return the median, the 99th percentile and the maximum."""
    values = values[np.isfinite(values)]
    if not len(values):
        return {}
    p50, p99 = np.quantile(values, [0.5, 0.99])
    each = {"p50": p50, "p99": p99, "most": values.max()}
    return {f"{name}.{what}": (float(value), unit) for what, value in each.items()}


class Unicast:
    """The first alternative: the holder sends new entries to each member, and retransmits them."""

    def __init__(self, sites: tuple[msg.Site, ...], seed: int, loss: float, budget: float) -> None:
        """Create the network; the holder may send `budget` bytes per second."""
        self.core = Core(seed)
        regions = sorted({s.region for s in sites})
        self.network = Network(len(regions), len(sites) + 1, self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.network.loss = loss
        self.holder = Place(0, len(sites))
        places = [(Place(regions.index(s.region), i), s) for i, s in enumerate(sites)]
        self.members = [p for p, s in places for _ in (*s.routers, *s.parts)]
        self.max_payload = (
            MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - 20
        )  # 20 bytes are left for the name of a member
        count = len(self.members)
        self.acknowledged, self.sent, self.progress_at = [0] * count, [0] * count, [0.0] * count
        self.out_of_order: list[set[int]] = [set() for _ in range(count)]
        self.applied = [0] * count
        self.proposed_at = [0.0]  # when each entry was proposed, by its number; numbers start at 1
        # by member, when it applied each entry
        self.applied_at: list[list[float]] = [[] for _ in range(count)]
        self.budget, self.credit, self.next_member = budget, 0.0, 0
        self.bytes = self.datagrams = self.acknowledgements = 0
        self.core.call_after(0.0, self._tick)

    def _tick(self) -> None:
        self.core.call_after(SEND_INTERVAL, self._tick)
        self.credit = min(self.budget, self.credit + self.budget * SEND_INTERVAL)
        count = len(self.members)
        for _ in range(count):
            if self.credit < MAX_DATAGRAM:
                return
            self._send(self.next_member)
            self.next_member = (self.next_member + 1) % count

    def _send(self, member: int) -> None:
        now, last = self.core.now, len(self.proposed_at) - 1
        if self.sent[member] == self.acknowledged[member]:
            self.progress_at[member] = now
        elif now > self.progress_at[member] + RETRANSMIT_AFTER:
            self.sent[member], self.progress_at[member] = self.acknowledged[member], now
        while self.sent[member] < last and self.credit >= MAX_DATAGRAM:
            first = self.sent[member] + 1
            count = min(last + 1 - first, (self.max_payload - 20) // msg.KEY_BYTES)
            size = MAX_DATAGRAM - self.max_payload + 20 + msg.KEY_BYTES * count
            self.credit -= size
            self.bytes += size
            self.datagrams += 1
            self.sent[member] = first + count - 1
            for pause in self.network.draw_delays(self.holder, self.members[member]):
                self.core.call_after(pause, self._receive, member, first, count)

    def _receive(self, member: int, first: int, count: int) -> None:
        waiting = self.out_of_order[member]
        waiting.update(n for n in range(first, first + count) if n > self.applied[member])
        while self.applied[member] + 1 in waiting:
            self.applied[member] += 1
            waiting.discard(self.applied[member])
            self.applied_at[member].append(self.core.now)
        self.acknowledgements += 1
        for pause in self.network.draw_delays(self.members[member], self.holder):
            self.core.call_after(pause, self._receive_acknowledgement, member, self.applied[member])

    def _receive_acknowledgement(self, member: int, applied: int) -> None:
        if applied > self.acknowledged[member]:
            self.acknowledged[member], self.progress_at[member] = applied, self.core.now
        self.sent[member] = max(self.sent[member], applied)

    def propose(self) -> None:
        """Propose one more purge."""
        self.proposed_at.append(self.core.now)


def measure_unicast(scale: float, seed: int, loss: float, budget: float, rate: float) -> Figures:
    """Send purges at a rate for some seconds (0: a single one).

    The run ends when all members have all purges, or after a minute.
    """
    sites = lay_out_sites(
        REGIONS, max(REGIONS, round(SITES * scale)), round(ROUTERS * scale), round(PARTS * scale)
    )
    run = Unicast(sites, seed, loss, budget)
    load_seconds = LOAD_SECONDS if rate else 0.0
    for i in range(max(1, int(rate * load_seconds))):
        run.core.call_after(1.0 + (i / rate if rate else 0.0), run.propose)
    run.core.run(run.core.now + 1.0 + load_seconds)
    figures: Figures = {}
    if rate:
        figures["holder.bytes.mean"] = (run.bytes / load_seconds, "bytes/s")
        figures["holder.datagrams.mean"] = (run.datagrams / load_seconds, "datagrams/s")
        figures["holder.answers.mean"] = (run.acknowledgements / load_seconds, "datagrams/s")
    run.core.run(run.core.now + 60.0)
    complete = min(map(len, run.applied_at))
    latencies = np.array([c[:complete] for c in run.applied_at]) - np.array(run.proposed_at[1 : complete + 1])
    if complete:
        figures |= percentiles("purge.member", latencies.ravel()) | percentiles(
            "purge.last", latencies.max(axis=0)
        )
    figures["purge.everywhere"] = (complete / (len(run.proposed_at) - 1), "share")
    figures["members"] = (float(len(run.members)), "members")
    return figures


class GossipPurges:
    """The second alternative: the record that one router publishes about itself carries the latest purges."""

    def __init__(self, members: int, seed: int, loss: float) -> None:
        self.core = Core(seed)
        sites = lay_out_sites(REGIONS, max(REGIONS, members // 25), members, 0)
        regions = sorted({s.region for s in sites})
        self.network = Network(len(regions), len(sites), self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.network.loss = loss
        rng = self.core.stream("members")
        places = [(Place(regions.index(s.region), i), s) for i, s in enumerate(sites)]
        self.places = {name: p for p, s in places for name in s.routers}
        names = tuple(self.places)
        self.members = {
            n: Gossip(
                n, names, "z", b"of the simulator", self.core.now, self._wall_time(), rng.getrandbits(32)
            )
            for n in names
        }
        self.source = names[0]
        self.proposed_at: list[float] = []
        self.received_at: dict[str, dict[int, float]] = {n: {} for n in names}
        for name in names:
            self.core.call_after(TICK_INTERVAL * rng.random(), self._tick, name)

    def _wall_time(self) -> float:
        return EPOCH + self.core.now

    def _status(self) -> tuple[int, ...]:
        """Return a record's content: its first purge's number, and the purges' keys as two numbers each."""
        keys = min(MAX_GOSSIP_PURGES, len(self.proposed_at))
        return (len(self.proposed_at) - keys, *([2**32 - 1] * (2 * keys)))

    def _tick(self, name: str) -> None:
        self.core.call_after(TICK_INTERVAL, self._tick, name)
        status = self._status if name == self.source else tuple
        for datagram in self.members[name].tick(self.core.now, self._wall_time(), status):
            for pause in self.network.draw_delays(self.places[name], self.places[datagram.to]):
                self.core.call_after(pause, self._receive, datagram.to, datagram.data)

    def _receive(self, name: str, data: bytes) -> None:
        gossip, now = self.members[name], self.core.now
        try:
            records = gossip.receive(data, now, self._wall_time())
        except Dropped:
            return
        for record in records:
            if record.payload:
                for number in range(record.payload[0], record.payload[0] + len(record.payload) // 2):
                    self.received_at[name].setdefault(number, now)
                gossip.spread_urgently(now)

    def propose(self) -> None:
        """Propose one more purge."""
        self.proposed_at.append(self.core.now)
        self.members[self.source].spread_urgently(self.core.now)


def measure_gossip(members: int, seed: int, loss: float, rate: float) -> Figures:
    """Send purges at a rate for a while (0: a single one).

    The run ends when all members have all purges, or after a few seconds.
    """
    run = GossipPurges(members, seed, loss)
    run.core.run(run.core.now + 30.0)  # until members know most of the others
    load_seconds, before = 1.5, {n: (g.bytes_sent, g.datagrams_sent) for n, g in run.members.items()}
    for i in range(max(1, int(rate * load_seconds))):
        run.core.call_after(i / rate if rate else 0.0, run.propose)
    run.core.run(run.core.now + load_seconds)
    spent = {
        n: (g.bytes_sent - before[n][0], g.datagrams_sent - before[n][1]) for n, g in run.members.items()
    }
    others = [n for n in run.members if n != run.source]
    deadline = run.core.now + 4.0
    while run.core.now < deadline and any(len(run.received_at[n]) < len(run.proposed_at) for n in others):
        run.core.run(run.core.now + TICK_INTERVAL)
    latencies = np.array(
        [[run.received_at[n].get(i, np.nan) for i in range(len(run.proposed_at))] for n in others]
    )
    latencies -= np.array(run.proposed_at)
    everywhere = ~np.isnan(latencies).any(axis=0)
    figures = percentiles("purge.member", latencies.ravel())
    figures |= percentiles("purge.last", latencies[:, everywhere].max(axis=0)) if everywhere.any() else {}
    figures["purge.everywhere"] = (float(everywhere.mean()), "share")
    figures["purge.never"] = (float(np.isnan(latencies).mean()), "share of entries at members")
    mean = np.mean([spent[n] for n in others], axis=0) / load_seconds
    figures["holder.bytes.mean"] = (spent[run.source][0] / load_seconds, "bytes/s")
    figures["member.bytes.mean"] = (float(mean[0]), "bytes/s")
    figures["member.datagrams.mean"] = (float(mean[1]), "datagrams/s")
    return figures | {"members": (float(len(run.members)), "members")}
