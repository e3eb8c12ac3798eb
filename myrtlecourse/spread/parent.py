"""Whom a node reports to, and the lease that it has of it.

The lease runs from the moment of the report that the answer repeats, on the node's own clock: however long
either was under way, it ends before the parent counts the node no more (Gray and Cheriton, 1989).
"""

from __future__ import annotations

import math
import random

from myrtlecourse.spread.messages import Heartbeat, Settings

MAX_UNANSWERED_REPORTS = 3  # reports without an answer after which a parent is left
MAX_LEASES_WITHOUT_GRANT = 3  # leases after which one is left that answers and grants nothing
LEASES_BEFORE_TRIAL = 10  # leases after which a node that is with a late candidate tries its first again
TRIAL_LEASES = 2  # leases that such a trial lasts


class Parent:
    """A node's choice among its candidates."""

    def __init__(self, settings: Settings, candidates: tuple[str, ...], now: float, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.candidates = candidates
        self.index = 0
        self.trial_parent = ""  # the first candidate, while it is tried beside the present parent
        self.trial_until = math.inf
        self.moves = 0
        self.stamp = self.random.getrandbits(48)  # guards against answers to the process before this one
        self.sent_reports: dict[int, float] = {}  # when each report of the last lease went out
        self.lease_until = -math.inf
        self.log_end = 0  # of the log, as the parent has told
        self.heard_at = self.granted_at = self.chosen_at = now
        self.silence_limit = self._draw_silence_limit()
        self.refused = False  # by the present parent

    @property
    def name(self) -> str:
        """The present parent; empty: there is nobody."""
        return self.candidates[self.index] if self.candidates else ""

    def _draw_silence_limit(self) -> float:
        """Guards a new parent against all children of a dead one in one moment."""
        return (MAX_UNANSWERED_REPORTS + 2 * self.random.random()) * self.settings.report

    def set_candidates(self, now: float, candidates: tuple[str, ...]) -> None:
        """Others than before may be the parent: a control machine's, when the holder changes."""
        if candidates != self.candidates:
            self.candidates, self.index, self.trial_parent = candidates, 0, ""
            self._reset(now)

    def _reset(self, now: float) -> None:
        self.heard_at = self.granted_at = self.chosen_at = now
        self.silence_limit = self._draw_silence_limit()
        self.refused = False
        self.log_end = 0

    def report_targets(self) -> tuple[str, ...]:
        """The present parent, and the one that is tried."""
        return tuple(n for n in (self.name, self.trial_parent) if n)

    def next_stamp(self, now: float) -> int:
        """For a report that goes out now."""
        self.stamp += 1
        self.sent_reports[self.stamp] = now
        while next(iter(self.sent_reports.values())) < now - self.settings.lease:
            del self.sent_reports[next(iter(self.sent_reports))]
        return self.stamp

    def tick(self, now: float, waits: bool) -> None:
        """Leave a parent that is silent, refuses, or grants nothing though nothing is missing here (`waits`);
        later try the first again."""
        lease = self.settings.lease
        if not waits:
            self.granted_at = max(self.granted_at, now - lease)
        in_vain = now - self.granted_at > MAX_LEASES_WITHOUT_GRANT * lease + 5 * self.silence_limit
        silent = now - self.heard_at > self.silence_limit
        if len(self.candidates) > 1 and (silent or in_vain or (self.refused and now > self.chosen_at)):
            self.index = (self.index + 1) % len(self.candidates)
            if self.name == self.trial_parent:
                self.trial_parent = ""
            self.moves += 1
            self._reset(now)
        if self.trial_parent and now > self.trial_until:
            self.trial_parent, self.chosen_at = "", now
        elif (
            not self.trial_parent
            and self.index > 1
            and now - self.chosen_at > LEASES_BEFORE_TRIAL * lease * (1 + self.random.random())
        ):
            self.trial_parent, self.trial_until = self.candidates[0], now + TRIAL_LEASES * lease

    def on_no_capacity(self, now: float, sender: str) -> None:
        """One can't bear another child."""
        if sender == self.trial_parent:
            self.trial_parent, self.chosen_at = "", now
        elif sender == self.name:
            self.refused = True

    def on_heartbeat(self, now: float, sender: str, beat: Heartbeat, granted_until: float) -> str:
        """Take an answer. Returns a parent that is to be left: it has been replaced by the one on trial.

        That one's lease must bear all grants given on from the old one's, or those would be counted nowhere.
        """
        sent = self.sent_reports.get(beat.echo)
        until = -math.inf if sent is None or not beat.good_for else sent + beat.good_for / 1000.0
        if sender == self.name:
            self.heard_at = now
            self.log_end = max(self.log_end, beat.last)
            if until > now:
                self.lease_until, self.granted_at = max(self.lease_until, until), now
        elif sender == self.trial_parent and until > now and until >= granted_until:
            left = self.name
            self.index, self.trial_parent = self.candidates.index(sender), ""
            self.moves += 1
            self._reset(now)
            self.lease_until, self.log_end = until, beat.last
            self.sent_reports.clear()  # guards the old one, which counts this node no more, against being believed
            return left
        return ""
