"""The leader's part in the log: collects what was stored, takes it over and replicates new entries to a
majority.

This is Paxos for each log number (Lamport, 1998) with a separate leader election; the epoch is the ballot
number. Entries of earlier epochs are stored again under the leader's own epoch and only count as such,
because an entry that a majority has stored under an older epoch may still be replaced (Ongaro and Ousterhout,
2014, figure 8). All of them must be committed before a new entry is accepted. Any further entries that other
replicas hold under lower epochs were therefore never acknowledged, and are void.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from myrtlecourse.peers.seal import MAX_DATAGRAM
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.messages import (
    Append,
    AppendReply,
    Change,
    Entry,
    Message,
    Prepare,
    PrepareReply,
    Send,
    Settings,
    SnapshotRows,
    SpreadError,
    checked_entry,
)
from myrtlecourse.spread.replica_events import (
    MAX_RECORD_ENTRIES,
    LogState,
    Record,
    Refuse,
    ReplicaAction,
    entries_that_fit,
)

MAX_PENDING_PROPOSALS = 10_000  # proposals that are not committed yet
MAX_SUBJECTS = 100_000  # subjects of changes that the table may hold
MAX_IN_FLIGHT = 2_000  # entries that are sent to one follower and not yet acknowledged
# maximum sizes in bytes of an `Append` without its entries, of `SnapshotRows` without rows, and of a row
# without its value
APPEND_BYTES, SNAPSHOT_ROWS_BYTES, ROW_BYTES = 32, 37, 25
MAX_BACKOFF_DOUBLINGS = 5  # doublings of the retransmission timeout
Output = ReplicaAction | Record


class TokenBucket:
    """Token bucket of bytes for retransmissions. New entries are never delayed by it, but are charged to
    it."""

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self.rate, self.capacity, self.available, self.filled_at = rate, capacity, capacity, now

    def refill(self, now: float) -> None:
        """Add the bytes that have become available since the last call."""
        self.available = min(self.capacity, self.available + self.rate * (now - self.filled_at))
        self.filled_at = now

    def spend(self) -> None:
        """Charge one datagram of maximum size."""
        self.available = max(-self.capacity, self.available - MAX_DATAGRAM)


class Phase(Enum):
    """The progress of a leader."""

    PREPARE = "survey"  # asks a majority for the entries that it has stored
    ADOPT = "adopt"  # stores the entries that it takes over on its own disk
    REPLICATE = "write"


@dataclass(slots=True)
class PrepareState:
    """What one control node has answered to `Prepare`."""

    received_until: int  # all its entries up to here were received, without a gap
    last: int | None = None
    commit_index: int = 0


@dataclass(slots=True)
class FollowerProgress:
    """The leader's view of another control node's log."""

    next: int  # number of the next entry to send
    acked: int  # assumed to have all entries up to here; later ones are sent again after a timeout
    stored: int = 0  # confirmed to be on its disk up to here; this is what counts towards a majority
    responded: bool = False
    timeouts: int = 0  # consecutive timeouts
    retry_at: float = -math.inf
    rewound_at: float = -math.inf
    # when to announce the commit index, unless a message with entries has carried it before
    commit_notice_at: float = -math.inf
    commit_notices: int = 0


class Leader:
    """One term of leadership, under one epoch."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        state: LogState,
        budget: TokenBucket,
        max_payload: int,
        now: float,
    ) -> None:
        """`state` is the state of this node's disk, which the replica keeps up to date."""
        self.settings = settings
        self.epoch = epoch
        self.state = state
        self.budget = budget
        self.max_payload = max_payload
        self.phase = Phase.PREPARE
        self.prepare_at = now
        # by number: the epoch, which is the highest reported one, and the entry
        self.accepted: dict[int, tuple[int, Entry]] = {}
        self.answers: dict[str, PrepareState] = {}
        self.followers: dict[str, FollowerProgress] = {}
        self.takeover_end = 0
        # entries up to here are on this node's disk, under this epoch or known to be committed
        self.stored_until = 0
        self.last = 0  # number of the last entry
        self.commit_index = 0
        self.subjects: set[bytes] = set()
        self.queue: deque[tuple[int, Entry]] = deque()
        # number and ticket of each entry that is not committed yet
        self.uncommitted: deque[tuple[int, int]] = deque()
        self.flush_at = now
        self.batch_interval = settings.pause / 4

    @property
    def follower_names(self) -> list[str]:
        return [name for name in self.settings.control if name != self.settings.name]

    @property
    def is_open(self) -> bool:
        """Whether all entries taken over are committed, so that new ones may be accepted."""
        return self.phase is Phase.REPLICATE and self.commit_index >= self.takeover_end

    # Takeover

    def _prepare(self, now: float) -> Iterator[Output]:
        """Paxos phase 1: ask the other nodes what they have stored. A majority's answers contain every entry
        that earlier epochs have committed, and bind those nodes to reject lower epochs."""
        if self.state.promised < self.epoch:
            return
        if now >= self.prepare_at:
            self.prepare_at = now + self.settings.pause
            for name in self.follower_names:
                answer = self.answers.setdefault(name, PrepareState(self.state.commit_index))
                answer.received_until = max(answer.received_until, self.state.commit_index)
                if answer.last is None or answer.received_until < answer.last:
                    yield Send(name, (Prepare(self.epoch, answer.received_until),))
        complete = [a for a in self.answers.values() if a.last is not None and a.received_until >= a.last]
        if 1 + len(complete) >= self.settings.quorum:
            self.phase = Phase.ADOPT
            yield from self.adopt()
            known = max([self.state.commit_index, *(a.commit_index for a in complete)])
            self.commit_index = min(known, self.takeover_end)
            yield from self.on_stored(now)  # needed when there was nothing to store

    def on_prepare_reply(self, sender: str, reply: PrepareReply) -> None:
        """Record what another node has stored."""
        if reply.epoch != self.epoch or self.phase is not Phase.PREPARE:
            return
        answer = self.answers.setdefault(sender, PrepareState(self.state.commit_index))
        for number, entry in enumerate(reply.entries, reply.first):
            if number not in self.accepted or self.accepted[number][0] < reply.under:
                self.accepted[number] = reply.under, entry
        if reply.first <= answer.received_until + 1:
            answer.received_until = max(answer.received_until, reply.first + len(reply.entries) - 1)
        answer.last, answer.commit_index = reply.last, max(reply.settled, answer.commit_index)

    def adopt(self) -> Iterator[Output]:
        """Store under this epoch every entry that may have been acknowledged: for each number the one with
        the highest reported epoch."""
        state, entries = self.state, list[Entry]()
        first = number = state.commit_index + 1
        while True:
            best = self.accepted.get(number)
            if state.base < number <= state.last:
                own = state.entry_epochs[number - 1 - state.base], state.entries[number - 1 - state.base]
                best = own if best is None or best[0] < own[0] else best
            if best is None:
                break
            entries.append(best[1])
            number += 1
        self.takeover_end = self.last = number - 1
        for i in range(0, len(entries), MAX_RECORD_ENTRIES):
            yield events.Write(first + i, self.epoch, tuple(entries[i : i + MAX_RECORD_ENTRIES]))

    def _start_replication(self, now: float) -> None:
        """Start replicating: this node's disk holds all entries that were taken over."""
        self.phase = Phase.REPLICATE
        self.stored_until = self.takeover_end
        for name in self.follower_names:
            answer = self.answers.get(name)
            known = (
                answer.commit_index if answer is not None and answer.last is not None else self.commit_index
            )
            self.followers[name] = FollowerProgress(known + 1, known)
        self.accepted.clear()
        self.answers.clear()
        self.subjects = set(self.state.table)
        self.subjects.update(e.subject for e in self.state.entries if isinstance(e, Change))

    # New entries

    def propose(self, ticket: int, entry: Entry) -> Iterator[Output]:
        """Accept an entry, or refuse it with a reason."""
        reason = ""
        try:
            checked_entry(entry)
        except SpreadError as e:
            reason = str(e)
        if not self.is_open:
            reason = reason or "the leader is still taking over earlier entries"
        elif len(self.queue) + len(self.uncommitted) >= MAX_PENDING_PROPOSALS:
            reason = reason or f"{MAX_PENDING_PROPOSALS} proposals are pending already"
        elif isinstance(entry, Change) and not reason:
            if SNAPSHOT_ROWS_BYTES + ROW_BYTES + len(entry.value) > self.max_payload:
                reason = (
                    f"value: at most {self.max_payload - SNAPSHOT_ROWS_BYTES - ROW_BYTES} bytes, "
                    f"as it shares a datagram with the longest name"
                )
            elif entry.subject not in self.subjects and len(self.subjects) >= MAX_SUBJECTS:
                reason = f"subject: the limit of {MAX_SUBJECTS} is reached"
            else:
                self.subjects.add(entry.subject)
        if reason:
            yield Refuse(ticket, reason)
        else:
            self.queue.append((ticket, entry))

    def _flush(self, now: float) -> Iterator[Output]:
        """Store the queued entries. Entries that arrive within one batch interval share a record and few
        datagrams, which limits the load on disks and the network."""
        if not self.queue or now < self.flush_at:
            return
        self.flush_at = now + self.batch_interval
        while self.queue:
            batch = [self.queue.popleft() for _ in range(min(MAX_RECORD_ENTRIES, len(self.queue)))]
            yield events.Write(self.last + 1, self.epoch, tuple(entry for _, entry in batch))
            for ticket, _ in batch:
                self.last += 1
                self.uncommitted.append((self.last, ticket))

    def on_stored(self, now: float) -> Iterator[Output]:
        """Continue after records were stored on this node's disk. Entries are sent to others only then: an
        entry that can't be stored here is unknown to everybody and can safely be refused."""
        if self.phase is Phase.ADOPT and self.state.matching_until(self.epoch) >= self.takeover_end:
            self._start_replication(now)
        if self.phase is not Phase.REPLICATE:
            return
        first_new, self.stored_until = self.stored_until + 1, self.state.last
        for name, follower in self.followers.items():
            if follower.next == first_new and not follower.timeouts:
                while follower.next <= self.stored_until and self._has_window(follower):
                    yield self._next_append(now, name, follower)
        yield from self._advance_commit(now)

    def on_store_failed(self, reason: str) -> Iterator[Output]:
        """Continue after the disk has rejected all pending records."""
        if self.phase is Phase.ADOPT:
            yield from self.adopt()
        elif self.phase is Phase.REPLICATE:
            while self.uncommitted and self.uncommitted[-1][0] > self.stored_until:
                yield Refuse(self.uncommitted.pop()[1], f"the entry can't be stored: {reason}")
            self.last = self.stored_until

    def on_leadership_lost(self) -> Iterator[Output]:
        """Refuse all open proposals, because this node is no longer the leader."""
        for _, ticket in self.uncommitted:
            yield Refuse(ticket, "this node is no longer the leader", True)
        for ticket, _ in self.queue:
            yield Refuse(ticket, "this node is no longer the leader")

    def _advance_commit(self, now: float) -> Iterator[Output]:
        """Advance the commit index to the highest number that a majority has on disk under this epoch."""
        stored = sorted([self.stored_until, *(p.stored for p in self.followers.values())], reverse=True)
        committed = stored[self.settings.quorum - 1]
        if committed > self.commit_index:
            self.commit_index = committed
            for follower in self.followers.values():
                follower.commit_notices = 0
                follower.commit_notice_at = min(follower.commit_notice_at, now + self.batch_interval)
        while self.uncommitted and self.uncommitted[0][0] <= self.commit_index:
            number, ticket = self.uncommitted.popleft()
            yield events.Acknowledge(ticket, number)

    # Replication

    def on_append_reply(self, now: float, sender: str, reply: AppendReply) -> Iterator[Output]:
        """Process another node's acknowledgement of entries that it has on disk."""
        follower = self.followers.get(sender)
        if reply.epoch != self.epoch or follower is None or reply.last > self.stored_until:
            return
        responded_before, follower.responded = follower.responded, True
        if reply.last < follower.acked:
            if responded_before:
                return  # a reply that arrived out of order, after later ones
            follower.acked, follower.next = reply.last, reply.last + 1
        elif reply.last > follower.acked:
            follower.acked, follower.next = reply.last, max(follower.next, reply.last + 1)
            follower.retry_at = now + self.settings.pause
        elif follower.next > reply.last + 1 and now - follower.rewound_at >= self.settings.pause:
            # The reply acknowledges nothing new, so an earlier message was lost.
            follower.next, follower.rewound_at = reply.last + 1, now
        follower.timeouts = 0
        follower.stored = max(follower.stored, reply.last)
        yield from self._advance_commit(now)

    def _has_window(self, follower: FollowerProgress) -> bool:
        """Return whether more entries may be in flight to a node. One that is silent gets a single datagram
        at a time, which spares the network."""
        in_flight = follower.next - 1 - follower.acked
        return in_flight <= 0 if follower.timeouts > 1 else in_flight < MAX_IN_FLIGHT

    def _next_append(self, now: float, name: str, follower: FollowerProgress) -> Send:
        """Return the next entries for a node, or the first rows of the snapshot if they are no longer in the
        log."""
        self.budget.spend()
        if follower.next == follower.acked + 1 or follower.next <= self.state.base:
            follower.retry_at = now + self.settings.pause * 2 ** min(follower.timeouts, MAX_BACKOFF_DOUBLINGS)
        if follower.next <= self.state.base:
            return Send(name, (snapshot_rows(self.epoch, self.state, b"", self.max_payload),))
        messages: tuple[Message, ...] = ()
        if self.is_open and follower.acked <= self.takeover_end:
            messages = (Append(self.epoch, self.takeover_end + 1, (), self.commit_index),)
        index = follower.next - 1 - self.state.base
        count = max(
            1,
            entries_that_fit(
                self.state.entries, index, self.max_payload - APPEND_BYTES * (1 + len(messages))
            ),
        )
        entries = self.state.entries_from(follower.next, min(count, self.stored_until + 1 - follower.next))
        messages = (
            *messages,
            Append(self.epoch, follower.next, entries, self.commit_index if self.is_open else 0),
        )
        follower.next += len(entries)
        self._schedule_commit_notice(now, follower)
        return Send(name, messages)

    def _schedule_commit_notice(self, now: float, follower: FollowerProgress) -> None:
        follower.commit_notices += 1
        delay = self.settings.pause * 2 ** min(follower.commit_notices, MAX_BACKOFF_DOUBLINGS)
        follower.commit_notice_at = now + max(self.settings.pause, min(delay, self.settings.lease / 2))

    def _replicate(self, now: float) -> Iterator[Output]:
        for follower in self.followers.values():
            if (
                self.budget.available > 0
                and now >= follower.retry_at > -math.inf
                and self._awaits_reply(follower)
            ):
                follower.timeouts += 1
                follower.next = follower.acked + 1
        lagging = [(n, p) for n, p in self.followers.items() if self._has_due_append(now, p)]
        while lagging and self.budget.available > 0:
            for name, follower in lagging:
                yield self._next_append(now, name, follower)
            lagging = [(n, p) for n, p in lagging if self._has_due_append(now, p)]
        if self.is_open:
            for name, follower in self.followers.items():
                if now >= follower.commit_notice_at:
                    self.budget.spend()
                    self._schedule_commit_notice(now, follower)
                    yield Send(name, (Append(self.epoch, self.takeover_end + 1, (), self.commit_index),))

    def _awaits_reply(self, follower: FollowerProgress) -> bool:
        return follower.next > follower.acked + 1 or follower.next <= self.state.base

    def _has_due_append(self, now: float, follower: FollowerProgress) -> bool:
        if follower.next <= self.state.base:
            return now >= follower.retry_at
        return follower.next <= self.stored_until and self._has_window(follower)

    def tick(self, now: float) -> Iterator[Output]:
        """Carry out everything that is due."""
        if self.phase is Phase.PREPARE:
            yield from self._prepare(now)
        elif self.phase is Phase.REPLICATE:
            yield from self._flush(now)
            yield from self._replicate(now)

    def next_timer(self, now: float) -> float:
        """Return the time at which something is due next."""
        if self.phase is Phase.PREPARE:
            return self.prepare_at if self.state.promised >= self.epoch else math.inf
        if self.phase is Phase.ADOPT:
            return math.inf
        times = [self.flush_at] if self.queue else []
        earliest = now + self.batch_interval if self.budget.available <= 0 else now
        for follower in self.followers.values():
            if self._has_due_append(now, follower):
                times.append(now + self.batch_interval)
            elif self._awaits_reply(follower):
                times.append(max(earliest, follower.retry_at))
            if self.is_open:
                times.append(follower.commit_notice_at)
        return max(min(times, default=math.inf), now)

    def status(self) -> dict[str, Any]:
        """Return the leader's state for operators; JSON-serialisable."""
        return {
            "phase": self.phase.value,
            "taken_over": self.takeover_end,
            "waiting": len(self.queue) + len(self.uncommitted),
            "kept": {name: follower.stored for name, follower in self.followers.items()},
            "silent": [name for name, follower in self.followers.items() if follower.timeouts > 1],
        }


def snapshot_rows(epoch: int, state: LogState, after: bytes, size: int) -> SnapshotRows:
    """Return the snapshot's rows after a subject, as many as fit one datagram."""
    rows, left = list[tuple[int, Change]](), size - SNAPSHOT_ROWS_BYTES
    start = bisect_right(state.sorted_subjects, after) if after else 0
    for subject in state.sorted_subjects[start : start + size]:
        row = state.table[subject]
        left -= ROW_BYTES + len(row[1].value)
        if left < 0 and rows:
            break
        rows.append(row)
    return SnapshotRows(epoch, state.base, after, tuple(rows), start + len(rows) < len(state.sorted_subjects))
