"""Admission control while the router's own processor core is overloaded. No I/O, no clock.

The signal is the read delay, the time for which commands lie unread, as in DAGOR (Zhou et al., "Overload
control for scaling WeChat microservices", SoCC 2018): it grows as soon as the core can't keep up, whatever
the cause, and stays small when only the servers are slow. After each window the admitted share is multiplied
by a step that falls as the mean delay rises over its target. The admitted share is divided fairly between
tenants first, then by value: a tenant that sends ten times its part can't crowd out the others.
"""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecourse import interface as api

WINDOW = 0.05  # seconds between corrections of the admitted share: some hundred commands on a full core
TARGET_DELAY_SHARE = 0.1  # target of the mean read delay as a share of the shortest aim: bursts end in time
MIN_STEP = 0.85  # least factor of a window: after one long event loop iteration, few commands are refused
MAX_STEP = 1.1  # greatest factor of a window: from the minimum to all in 1.8 s
MIN_ADMITTED_SHARE = 0.03  # lower bound: with nothing admitted, nothing would show that the core is free
CLASS_FLOOR = 0.1  # share of its fair part that each class gets, however low its value
COUNT_DECAY = 0.8  # factor on the counts from one window to the next
KEYED_RETRY_FACTOR = 2.0  # factor on the value of a retry that carries an idempotency key
RETRY_FACTOR = 0.5  # factor on the value of other retries
RETRY_AFTER_SHARE = 0.3  # mean retry delay as a share of the aim: a retry may still be in time
SEVERE_OVERLOAD_SHARE = 0.9  # admitted share below which timely retries would only displace new commands
GOLDEN_RATIO = 0.6180339887498949  # steps of it fill an interval evenly, so that retries are spread
MAX_TENANTS = 256  # tenants counted separately; the others share an entry, which bounds memory
OTHER_TENANTS = ""


@dataclass(slots=True, eq=False)
class CommandGroup:
    """The commands of one tenant that have the same value."""

    tenant: str
    value: float
    recent_commands: float = 0.0  # decayed count
    admitted_share: float = 1.0
    credit: float = 0.5  # fraction of a command carried over: the share holds exactly without randomness


class CoreAdmission:
    """Decides which share of commands is admitted, by tenant and value."""

    def __init__(self, settings: api.Settings) -> None:
        """Start with all commands admitted.

        Of the settings, the classes' aims and values and the longest retry delay are used.
        """
        self.settings_changed(settings)
        self.admitted_share = 1.0
        self.groups: dict[tuple[str, float], CommandGroup] = {}
        self.tenants: set[str] = set()
        self.window_end = 0.0
        self.window_commands = 0
        self.window_delay = 0.0  # sum of the read delays of these commands in seconds
        self.jitter = 0.0  # between 0 and 1; spreads the retry delays

    def settings_changed(self, settings: api.Settings) -> None:
        """Apply new settings; the admitted share, which follows the load, stays."""
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
        """Count a command. Return None to admit it, else the seconds until its client may retry.

        `is_retry` marks a command that its client repeats. A write with an idempotency key may have been
        executed before: its retries have priority and get a short delay. Other retries rank behind new
        commands, as they are more likely to be too late.
        """
        if now >= self.window_end:
            self._end_window(now)
        self.window_commands += 1
        self.window_delay += read_delay
        value = self.values.get(request_class, 0.0)
        if is_retry:
            value *= KEYED_RETRY_FACTOR if has_idempotency_key else RETRY_FACTOR
        group = self._group(tenant, value)
        group.recent_commands += 1
        if self.admitted_share >= 1.0:
            return None
        group.credit += group.admitted_share
        if group.credit >= 1.0:
            group.credit -= 1.0
            return None
        self.jitter = (self.jitter + GOLDEN_RATIO) % 1.0
        if self.admitted_share < SEVERE_OVERLOAD_SHARE and not has_idempotency_key:
            # three refusals cost the core as much as an answer: with short delays, clients would retry until
            # the core does nothing but refuse them
            return self.max_retry_after * (1.0 + self.jitter) / 2
        aim = self.aims.get(request_class, 0.0)
        mean_delay = RETRY_AFTER_SHARE * aim * (1.0 - self.admitted_share)
        return min(self.max_retry_after, mean_delay * (0.5 + self.jitter))

    def _group(self, tenant: str, value: float) -> CommandGroup:
        if tenant not in self.tenants:
            if len(self.tenants) < MAX_TENANTS:
                self.tenants.add(tenant)
            else:
                tenant = OTHER_TENANTS
        group = self.groups.get((tenant, value))
        if group is None:
            group = self.groups[tenant, value] = CommandGroup(
                tenant, value, admitted_share=self.admitted_share
            )
        return group

    def _end_window(self, now: float) -> None:
        """End a window: compute the admitted share and divide it."""
        elapsed_windows = max(1.0, (now - self.window_end) / WINDOW) if self.window_end else 1.0
        if self.window_commands:
            mean = self.window_delay / self.window_commands
            step = min(MAX_STEP, max(MIN_STEP, 2.0 - mean / self.target_delay))
            self.admitted_share *= step
        # in windows without commands the core was free
        self.admitted_share *= MAX_STEP ** min(100.0, elapsed_windows - 1.0)
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, self.admitted_share))
        self.window_end = now + WINDOW
        self.window_commands = 0
        self.window_delay = 0.0
        if self.admitted_share < 1.0:
            self._divide()
        for key, group in list(self.groups.items()):
            group.recent_commands *= COUNT_DECAY ** min(100.0, elapsed_windows)
            # groups that are no longer used are dropped, which frees their memory and their tenants' entries
            if group.recent_commands < 0.01:
                del self.groups[key]
        self.tenants = {group.tenant for group in self.groups.values()}

    def _divide(self) -> None:
        """Divide the admitted share: evenly between tenants up to their demand, then by descending value."""
        offers: dict[str, float] = {}  # tenant -> its recent commands that have no share yet
        for group in self.groups.values():
            offers[group.tenant] = offers.get(group.tenant, 0.0) + group.recent_commands
        undivided = self.admitted_share * sum(offers.values())
        parts: dict[str, float] = {}
        tenants = sorted(offers, key=lambda t: (offers[t], t))
        for i, tenant in enumerate(tenants):
            parts[tenant] = min(offers[tenant], undivided / (len(tenants) - i))
            undivided -= parts[tenant]
        for group in sorted(self.groups.values(), key=lambda each: -each.value):
            offered, part = offers[group.tenant], parts[group.tenant]
            if not group.recent_commands or not offered:
                continue
            # reserves a part for classes of lower value, so that none is refused entirely
            offers[group.tenant] = offered - group.recent_commands
            reserved = CLASS_FLOOR * part * offers[group.tenant] / offered
            admitted = min(group.recent_commands, max(0.0, part - reserved))
            parts[group.tenant] = part - admitted
            group.admitted_share = admitted / group.recent_commands
