"""A node's choice of parent, and the lease that the parent grants it.

The lease begins when the node sent the report that the answer echoes, on the node's own clock. However long
both messages were under way, it ends before the parent stops counting the node (Gray and Cheriton, 1989).
"""

from __future__ import annotations

import math
import random

from myrtlecourse.spread.messages import Heartbeat, Settings

MAX_UNANSWERED_REPORTS = 3  # reports without an answer after which a parent is replaced
# The next three are multiples of the length of a lease.
MAX_LEASES_WITHOUT_GRANT = 3  # time after which a parent that answers without granting a lease is replaced
# time after which a node whose parent is neither its first nor its second candidate tries the first one again
LEASES_BEFORE_RETRY = 10
RETRY_LEASES = 2  # time for which it reports to the first candidate as well, and may move there


class Parent:
    """Chooses a parent among the candidates."""

    def __init__(self, settings: Settings, candidates: tuple[str, ...], now: float, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.candidates = candidates
        self.index = 0
        # The first candidate, while this node reports to it as well as to its present parent, in order to
        # move there; else empty.
        self.preferred_parent = ""
        self.preferred_parent_until = math.inf
        self.moves = 0
        # Number of the last report. It begins at random, so that answers to a previous process are not
        # mistaken for answers to this one.
        self.stamp = self.random.getrandbits(48)
        self.sent_reports: dict[int, float] = {}  # by stamp: when each report of the last lease was sent
        self.lease_until = -math.inf
        self.log_end = 0  # highest `last` in the parent's heartbeats
        self.heard_at = self.granted_at = self.chosen_at = now
        self.silence_limit = self._draw_silence_limit()
        self.no_capacity = False  # the present parent has answered `NoCapacity`

    @property
    def name(self) -> str:
        """The present parent; empty when there is none."""
        return self.candidates[self.index] if self.candidates else ""

    def _draw_silence_limit(self) -> float:
        """Return a random time limit, so that not all children of a dead parent turn to a new one at the same
        moment."""
        return (MAX_UNANSWERED_REPORTS + 2 * self.random.random()) * self.settings.report

    def set_candidates(self, now: float, candidates: tuple[str, ...]) -> None:
        """Replace the candidates; on a control node the leader is the only one."""
        if candidates != self.candidates:
            self.candidates, self.index, self.preferred_parent = candidates, 0, ""
            self._reset(now)

    def _reset(self, now: float) -> None:
        self.heard_at = self.granted_at = self.chosen_at = now
        self.silence_limit = self._draw_silence_limit()
        self.no_capacity = False
        self.log_end = 0

    def report_targets(self) -> tuple[str, ...]:
        """Return the members that reports are sent to: the present parent and the preferred one, if any."""
        return tuple(n for n in (self.name, self.preferred_parent) if n)

    def next_stamp(self, now: float) -> int:
        """Return the stamp of a report that is sent now, and remember the time for the length of a lease."""
        self.stamp += 1
        self.sent_reports[self.stamp] = now
        while next(iter(self.sent_reports.values())) < now - self.settings.lease:
            del self.sent_reports[next(iter(self.sent_reports))]
        return self.stamp

    def tick(self, now: float, caught_up: bool) -> None:
        """Replace a parent that is silent, has no capacity, or grants no lease although this node has all of
        its entries (`caught_up`). From time to time try to return to the first candidate."""
        lease = self.settings.lease
        if not caught_up:
            self.granted_at = max(self.granted_at, now - lease)
        without_grant = now - self.granted_at > MAX_LEASES_WITHOUT_GRANT * lease + 5 * self.silence_limit
        silent = now - self.heard_at > self.silence_limit
        if len(self.candidates) > 1 and (
            silent or without_grant or (self.no_capacity and now > self.chosen_at)
        ):
            self.index = (self.index + 1) % len(self.candidates)
            if self.name == self.preferred_parent:
                self.preferred_parent = ""
            self.moves += 1
            self._reset(now)
        if self.preferred_parent and now > self.preferred_parent_until:
            self.preferred_parent, self.chosen_at = "", now
        elif (
            not self.preferred_parent
            and self.index > 1
            and now - self.chosen_at > LEASES_BEFORE_RETRY * lease * (1 + self.random.random())
        ):
            self.preferred_parent, self.preferred_parent_until = (
                self.candidates[0],
                now + RETRY_LEASES * lease,
            )

    def on_no_capacity(self, now: float, sender: str) -> None:
        """Process `NoCapacity` from the parent or the preferred parent."""
        if sender == self.preferred_parent:
            self.preferred_parent, self.chosen_at = "", now
        elif sender == self.name:
            self.no_capacity = True

    def on_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat, granted_until: float) -> str:
        """Process an answer to a report. Return the name of the former parent when the preferred parent has
        replaced it, else an empty string.

        `granted_until` is when the last lease ends that this node has granted to its own children. The new
        parent's lease must last at least as long: only a parent that counts this node counts those children.
        """
        sent_at = self.sent_reports.get(heartbeat.echo)
        lease_until = (
            -math.inf if sent_at is None or not heartbeat.good_for else sent_at + heartbeat.good_for / 1000.0
        )
        if sender == self.name:
            self.heard_at = now
            self.log_end = max(self.log_end, heartbeat.last)
            if lease_until > now:
                self.lease_until, self.granted_at = max(self.lease_until, lease_until), now
        elif sender == self.preferred_parent and lease_until > now and lease_until >= granted_until:
            former_parent = self.name
            self.index, self.preferred_parent = self.candidates.index(sender), ""
            self.moves += 1
            self._reset(now)
            self.lease_until, self.log_end = lease_until, heartbeat.last
            # The former parent no longer counts this node, so its answers must not be accepted any more.
            self.sent_reports.clear()
            return former_parent
        return ""
