"""Which commands to turn away at the door while the router's own core is full; no I/O, no clock.

The signal is how long commands lie unread before they are taken, as in DAGOR (Zhou et al., "Overload control
for scaling WeChat microservices", SoCC 2018): it grows as soon as the core can't keep up, whatever the cause,
and stays small when it is the servers that are slow. Each window the share let in is multiplied by a step
that falls with the wait over its target. What is let in is dealt out fairly between tenants first, then by
worth: one that sends ten times its part can't push the others out.
"""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecourse import interface as api

WINDOW = 0.05  # seconds between corrections: some hundred commands when a core is full
TARGET = 0.1  # of the shortest aim that a command may lie unread on average: a burst is served in time
LOWER = 0.85  # the most that one window takes off, so that one long turn of the loop refuses few
HIGHER = 1.1  # the most that one adds: from the least to all in 1.8 s
LEAST = 0.03  # of what is offered is always let in, or nothing would tell that the core is free again
FLOOR = 0.1  # of its fair part that each class gets, however little it is worth
FADE = 0.8  # of what was counted, kept from one window to the next
REPEATED_WRITE = 2.0  # times its worth
REPEATED = 0.5
COME_BACK = 0.3  # of the aim that a client is told to stay away at most, on average: it may still be in time
LASTING = 0.9  # let in: with less, what comes back in time would only take the place of what is new
GOLDEN = 0.6180339887498949  # steps by it fill an interval evenly: retries don't come back in step
MOST_TENANTS = 256  # counted apart; later ones share one place, so that names can't fill the memory
OTHERS = ""


@dataclass(slots=True, eq=False)
class Lane:
    """The commands of one tenant that are worth the same."""

    tenant: str
    worth: float
    offered: float = 0.0  # lately
    share: float = 1.0  # let in
    credit: float = 0.5  # carried over, so that the share holds exactly without chance


class CoreControl:
    """The share of commands that is let in, by tenant and worth."""

    def __init__(self, settings: api.Settings) -> None:
        """Takes classes' aims and worths, and the longest time to come back that clients honour."""
        self.settings_changed(settings)
        self.share = 1.0
        self.lanes: dict[tuple[str, float], Lane] = {}
        self.tenants: set[str] = set()
        self.window = 0.0  # when it ends
        self.commands = 0  # in this window
        self.waited = 0.0  # by all of them together
        self.spread = 0.0

    def settings_changed(self, settings: api.Settings) -> None:
        """Take new settings; the share let in, which the load has taught, stays."""
        classes = settings.classes.values()
        self.aims = {c.name: c.aim for c in classes}
        self.worths = {c.name: c.value for c in classes}
        self.target = TARGET * min(self.aims.values())
        self.most_pause = settings.max_retry_after

    def retry_delay(
        self, now: float, request_class: str, tenant: str, again: bool, keyed: bool, waited: float
    ) -> float | None:
        """Take note of a command; None lets it in, a number of seconds is when its client may come back.

        `again` marks what its client asks again. A keyed write may have run: it goes before all else, and is
        told to come back soon. Anything else goes behind what is new, as it is the likelier to be too late.
        """
        if now >= self.window:
            self._correct(now)
        self.commands += 1
        self.waited += waited
        worth = self.worths.get(request_class, 0.0)
        if again:
            worth *= REPEATED_WRITE if keyed else REPEATED
        lane = self._lane(tenant, worth)
        lane.offered += 1
        if self.share >= 1.0:
            return None
        lane.credit += lane.share
        if lane.credit >= 1.0:
            lane.credit -= 1.0
            return None
        self.spread = (self.spread + GOLDEN) % 1.0
        if self.share < LASTING and not keyed:
            # guards the core: three refusals cost as much as an answer, and all that are told to come back
            # soon do so, until refusing is all that it does
            return self.most_pause * (1.0 + self.spread) / 2
        aim = self.aims.get(request_class, 0.0)
        away = COME_BACK * aim * (1.0 - self.share)
        return min(self.most_pause, away * (0.5 + self.spread))

    def _lane(self, tenant: str, worth: float) -> Lane:
        if tenant not in self.tenants:
            if len(self.tenants) < MOST_TENANTS:
                self.tenants.add(tenant)
            else:
                tenant = OTHERS
        lane = self.lanes.get((tenant, worth))
        if lane is None:
            lane = self.lanes[tenant, worth] = Lane(tenant, worth, share=self.share)
        return lane

    def _correct(self, now: float) -> None:
        """The end of a window: a new share, dealt out anew."""
        passed = max(1.0, (now - self.window) / WINDOW) if self.window else 1.0
        if self.commands:
            mean = self.waited / self.commands
            step = min(HIGHER, max(LOWER, 2.0 - mean / self.target))
            self.share *= step
        self.share *= HIGHER ** min(100.0, passed - 1.0)  # nothing came in windows between: the core was free
        self.share = min(1.0, max(LEAST, self.share))
        self.window = now + WINDOW
        self.commands = 0
        self.waited = 0.0
        if self.share < 1.0:
            self._deal()
        for key, lane in list(self.lanes.items()):
            lane.offered *= FADE ** min(100.0, passed)
            # guards memory, and the tenants that still come, against names long gone
            if lane.offered < 0.01:
                del self.lanes[key]
        self.tenants = {lane.tenant for lane in self.lanes.values()}

    def _deal(self) -> None:
        """Deal what may come in: evenly to tenants up to what each offers, then to the worthier first."""
        offers: dict[str, float] = {}
        for lane in self.lanes.values():
            offers[lane.tenant] = offers.get(lane.tenant, 0.0) + lane.offered
        room = self.share * sum(offers.values())
        parts: dict[str, float] = {}
        left = sorted(offers, key=lambda t: (offers[t], t))
        for i, tenant in enumerate(left):
            parts[tenant] = min(offers[tenant], room / (len(left) - i))
            room -= parts[tenant]
        for lane in sorted(self.lanes.values(), key=lambda each: -each.worth):
            offered, part = offers[lane.tenant], parts[lane.tenant]
            if not lane.offered or not offered:
                continue
            # what those worth less must keep is set aside: no class is shut out for good
            offers[lane.tenant] = offered - lane.offered
            kept = FLOOR * part * offers[lane.tenant] / offered
            got = min(lane.offered, max(0.0, part - kept))
            parts[lane.tenant] = part - got
            lane.share = got / lane.offered
