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
TARGET_DELAY_SHARE = (
    0.1  # of the shortest aim that a command may lie unread on average: a burst is served in time
)
MIN_STEP = 0.85  # the most that one window takes off, so that one long turn of the loop refuses few
MAX_STEP = 1.1  # the most that one adds: from the least to all in 1.8 s
MIN_ADMITTED_SHARE = (
    0.03  # of what is offered is always let in, or nothing would tell that the core is free again
)
CLASS_FLOOR = 0.1  # of its fair part that each class gets, however little it is worth
COUNT_DECAY = 0.8  # of what was counted, kept from one window to the next
KEYED_RETRY_FACTOR = 2.0  # times its worth
RETRY_FACTOR = 0.5
RETRY_AFTER_SHARE = (
    0.3  # of the aim that a client is told to stay away at most, on average: it may still be in time
)
SEVERE_OVERLOAD_SHARE = (
    0.9  # let in: with less, what comes back in time would only take the place of what is new
)
GOLDEN_RATIO = 0.6180339887498949  # steps by it fill an interval evenly: retries don't come back in step
MAX_TENANTS = 256  # counted apart; later ones share one place, so that names can't fill the memory
OTHER_TENANTS = ""


@dataclass(slots=True, eq=False)
class CommandGroup:
    """The commands of one tenant that are worth the same."""

    tenant: str
    value: float
    recent_commands: float = 0.0  # lately
    admitted_share: float = 1.0  # let in
    credit: float = 0.5  # carried over, so that the share holds exactly without chance


class CoreAdmission:
    """The share of commands that is let in, by tenant and worth."""

    def __init__(self, settings: api.Settings) -> None:
        """Takes classes' aims and worths, and the longest time to come back that clients honour."""
        self.settings_changed(settings)
        self.admitted_share = 1.0
        self.groups: dict[tuple[str, float], CommandGroup] = {}
        self.tenants: set[str] = set()
        self.window_end = 0.0  # when it ends
        self.window_commands = 0  # in this window
        self.window_delay = 0.0  # by all of them together
        self.jitter = 0.0

    def settings_changed(self, settings: api.Settings) -> None:
        """Take new settings; the share let in, which the load has taught, stays."""
        classes = settings.classes.values()
        self.aims = {c.name: c.aim for c in classes}
        self.values = {c.name: c.value for c in classes}
        self.target_delay = TARGET_DELAY_SHARE * min(self.aims.values())
        self.max_retry_after = settings.max_retry_after

    def retry_delay(
        self,
        now: float,
        request_class: str,
        tenant: str,
        is_retry: bool,
        has_idempotency_key: bool,
        read_delay: float,
    ) -> float | None:
        """Take note of a command; None lets it in, a number of seconds is when its client may come back.

        `is_retry` marks what its client asks again. A keyed write may have run: it goes before all else, and is
        told to come back soon. Anything else goes behind what is new, as it is the likelier to be too late.
        """
        if now >= self.window_end:
            self._end_window(now)
        self.window_commands += 1
        self.window_delay += read_delay
        value = self.values.get(request_class, 0.0)
        if is_retry:
            value *= KEYED_RETRY_FACTOR if has_idempotency_key else RETRY_FACTOR
        lane = self._group(tenant, value)
        lane.recent_commands += 1
        if self.admitted_share >= 1.0:
            return None
        lane.credit += lane.admitted_share
        if lane.credit >= 1.0:
            lane.credit -= 1.0
            return None
        self.jitter = (self.jitter + GOLDEN_RATIO) % 1.0
        if self.admitted_share < SEVERE_OVERLOAD_SHARE and not has_idempotency_key:
            # guards the core: three refusals cost as much as an answer, and all that are told to come back
            # soon do so, until refusing is all that it does
            return self.max_retry_after * (1.0 + self.jitter) / 2
        aim = self.aims.get(request_class, 0.0)
        away = RETRY_AFTER_SHARE * aim * (1.0 - self.admitted_share)
        return min(self.max_retry_after, away * (0.5 + self.jitter))

    def _group(self, tenant: str, worth: float) -> CommandGroup:
        if tenant not in self.tenants:
            if len(self.tenants) < MAX_TENANTS:
                self.tenants.add(tenant)
            else:
                tenant = OTHER_TENANTS
        lane = self.groups.get((tenant, worth))
        if lane is None:
            lane = self.groups[tenant, worth] = CommandGroup(
                tenant, worth, admitted_share=self.admitted_share
            )
        return lane

    def _end_window(self, now: float) -> None:
        """The end of a window: a new share, dealt out anew."""
        passed = max(1.0, (now - self.window_end) / WINDOW) if self.window_end else 1.0
        if self.window_commands:
            mean = self.window_delay / self.window_commands
            step = min(MAX_STEP, max(MIN_STEP, 2.0 - mean / self.target_delay))
            self.admitted_share *= step
        self.admitted_share *= MAX_STEP ** min(
            100.0, passed - 1.0
        )  # nothing came in windows between: the core was free
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, self.admitted_share))
        self.window_end = now + WINDOW
        self.window_commands = 0
        self.window_delay = 0.0
        if self.admitted_share < 1.0:
            self._divide()
        for key, lane in list(self.groups.items()):
            lane.recent_commands *= COUNT_DECAY ** min(100.0, passed)
            # guards memory, and the tenants that still come, against names long gone
            if lane.recent_commands < 0.01:
                del self.groups[key]
        self.tenants = {lane.tenant for lane in self.groups.values()}

    def _divide(self) -> None:
        """Deal what may come in: evenly to tenants up to what each offers, then to the worthier first."""
        offers: dict[str, float] = {}
        for lane in self.groups.values():
            offers[lane.tenant] = offers.get(lane.tenant, 0.0) + lane.recent_commands
        room = self.admitted_share * sum(offers.values())
        parts: dict[str, float] = {}
        left = sorted(offers, key=lambda t: (offers[t], t))
        for i, tenant in enumerate(left):
            parts[tenant] = min(offers[tenant], room / (len(left) - i))
            room -= parts[tenant]
        for lane in sorted(self.groups.values(), key=lambda each: -each.value):
            offered, part = offers[lane.tenant], parts[lane.tenant]
            if not lane.recent_commands or not offered:
                continue
            # what those worth less must keep is set aside: no class is shut out for good
            offers[lane.tenant] = offered - lane.recent_commands
            kept = CLASS_FLOOR * part * offers[lane.tenant] / offered
            got = min(lane.recent_commands, max(0.0, part - kept))
            parts[lane.tenant] = part - got
            lane.admitted_share = got / lane.recent_commands
