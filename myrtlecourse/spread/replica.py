"""A control node's replica of the log of changes and purges: events in, actions out, no I/O and no clock.

Promises and stored entries are announced to others only once they are on disk. Records are written in the
order in which they arise, so the log in memory always equals the log on disk. The leader's part is in
`leader.py`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.leader import MAX_IN_FLIGHT, Leader, Output, Phase, TokenBucket, snapshot_rows
from myrtlecourse.spread.messages import Change, Entry, Message, Settings
from myrtlecourse.spread.replica_events import (
    LogState,
    Record,
    ReplicaAction,
    ReplicaEvent,
    Stored,
    entries_that_fit,
)

PREPARE_REPLY_BYTES = 52  # maximum size in bytes of a `PrepareReply` without its entries
MAX_SNAPSHOT_BURST = 32  # datagrams of a snapshot that are sent in answer to one request
MAX_COMMITTED_BATCH = 10_000  # entries that are handed to the tree node at once
# pauses for which the sender of a snapshot may be silent before another sender is accepted
SENDER_PATIENCE = 4
COMPACTION_FACTOR = 1.25  # the log is compacted into a snapshot when it exceeds `control_tail` by this factor
RECORD_TYPES = (events.Promise, events.Write, events.Truncate, events.Commit, events.Snapshot)


class SnapshotTransfer:
    """A snapshot that is being received from another control node, row by row."""

    def __init__(self, sender: str, upto: int) -> None:
        self.sender = sender
        self.upto = upto
        self.last_subject = b""
        self.rows: list[tuple[int, Change]] = []
        self.complete = False
        self.received = 0  # datagrams since the last request
        self.received_at = -math.inf  # when rows last arrived
        self.request_at = -math.inf


class Replica:
    """One control node's replica."""

    def __init__(self, settings: Settings, state: LogState, now: float) -> None:
        """Start from `state`, the state on disk, which the replica owns and changes from now on."""
        self.settings = settings
        self.state = state
        self.now = now
        names = [*settings.control, *(m for s in settings.sites for m in (*s.routers, *s.parts))]
        # messages must also fit datagrams of members with longer names
        self.max_payload = MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - max(len(name.encode()) for name in names)
        self.promised_epoch = state.promised  # is ahead of the disk until the promise has been stored
        # all entries up to here equal those of the leader of the promised epoch
        self.matching_until = state.matching_until(state.promised)
        # like `matching_until`, including entries that are still being stored
        self.accepted_until = self.matching_until
        self.known_commit = state.commit_index  # the highest commit index that was announced to this replica
        self.delivered = 0  # number of the last entry that was handed to the tree node
        self.stored_commit = state.commit_index  # the commit index that is on disk
        self.leader: Leader | None = None
        self.budget = TokenBucket(
            settings.half_control_budget, settings.half_control_budget * settings.pause, now
        )
        self.pending_records: list[Record] = []  # records that wait to be written
        self.records_in_flight: tuple[Record, ...] = ()
        self.store_number = 0
        self.retry_at = now
        self.pending_prepare: tuple[str, msg.Prepare] | None = None
        self.reply_to = ""  # name of the leader that has yet to be told how far entries are stored
        self.transfer: SnapshotTransfer | None = None
        self.leadership = msg.Leadership(0, "")
        self.counts = msg.Counts()
        self.disk_error = ""  # the last error of the disk
        self.actions: list[ReplicaAction] = []

    def handle(self, now: float, event: ReplicaEvent) -> list[ReplicaAction]:
        """Process one event and return actions, which have to be carried out in order."""
        self.now, self.actions = max(now, self.now), []
        self.budget.refill(self.now)
        match event:
            case msg.Received(sender, messages) if sender in self.settings.control:
                for message in messages:
                    self._on_message(sender, message)
            case events.LeadershipGained(token):
                self._on_leadership_gained(token)
            case events.LeadershipLost() if self.leader is not None:
                self._on_leadership_lost()
            case events.Propose(ticket, entry):
                if self.leader is None:
                    self.actions.append(events.Refuse(ticket, "this node is not the leader"))
                else:
                    self._collect(self.leader.propose(ticket, entry))
            case Stored():
                self._on_stored(event)
        self._run_due()
        return self.actions

    def _collect(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, RECORD_TYPES):
                self.pending_records.append(output)
            else:
                self.actions.append(output)

    def _send(self, to: str, *messages: Message) -> None:
        self.actions.append(msg.Send(to, messages))

    # Leadership and epochs

    def _on_leadership_gained(self, token: int) -> None:
        """Start leading, unless the epoch was promised before: then it is another leader's or that of a
        previous process of this node."""
        if token > self.promised_epoch:
            # This node is not announced as root yet: before the takeover is complete it may lack entries that
            # the previous root reported as applied everywhere.
            self._enter_epoch(token, "")
            self.leader = Leader(self.settings, token, self.state, self.budget, self.max_payload, self.now)

    def _on_leadership_lost(self) -> None:
        if self.leader is not None:
            self._collect(self.leader.on_leadership_lost())
            self.leader = None
            self._set_leader("")

    def _enter_epoch(self, epoch: int, leader: str) -> None:
        self._on_leadership_lost()
        self.promised_epoch = epoch
        self.matching_until = self.accepted_until = self.state.commit_index
        self.pending_prepare, self.reply_to, self.transfer = None, "", None
        self._set_leader(leader)

    def _set_leader(self, leader: str) -> None:
        leadership = msg.Leadership(self.promised_epoch, leader)
        if leadership != self.leadership:
            self.leadership = leadership
            self.actions.append(leadership)

    def _accepts_epoch(self, sender: str, epoch: int) -> bool:
        """Return whether a leader's message is current; messages of lower epochs are rejected
        from then on."""
        if epoch < self.promised_epoch:
            self.counts.stale += 1
            self._send(sender, msg.StaleEpoch(self.promised_epoch))
            return False
        if epoch > self.promised_epoch:
            self._enter_epoch(epoch, sender)
        elif self.leader is not None:
            self.counts.refused += 1
            return False
        self._set_leader(sender)
        return True

    # Messages

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case msg.Prepare(epoch):
                if self._accepts_epoch(sender, epoch):
                    self.pending_prepare = sender, message
            case msg.Append(epoch):
                if self._accepts_epoch(sender, epoch):
                    self._on_append(sender, message)
            case msg.PrepareReply() if self.leader is not None:
                self.leader.on_prepare_reply(sender, message)
            case msg.AppendReply() if self.leader is not None:
                self._collect(self.leader.on_append_reply(self.now, sender, message))
            case msg.StaleEpoch(epoch) if self.leader is not None and epoch > self.leader.epoch:
                self._enter_epoch(epoch, "")
            case msg.SnapshotRequest():
                self._send_snapshot_rows(sender, message)
            case msg.SnapshotRows():
                self._on_snapshot_rows(sender, message)
            case _:
                self.counts.stale += 1

    def _on_append(self, sender: str, message: msg.Append) -> None:
        """Store entries that follow directly on the log; a gap shows in the reply, which says how far entries
        are stored."""
        if not message.entries:
            # A majority has stored everything that was taken over, so any other entries here were never
            # acknowledged.
            last = max(self.accepted_until, message.first - 1)
            unstored_ends = [
                r.first + len(r.entries) - 1 for r in self._unstored_records() if isinstance(r, events.Write)
            ]
            if (
                max([self.state.last, *unstored_ends]) > last
                and events.Truncate(last) not in self.pending_records
            ):
                self.pending_records.append(events.Truncate(last))
        skip = self.accepted_until + 1 - message.first
        new_entries = message.entries[skip:] if skip >= 0 else ()
        if new_entries and self.accepted_until - self.matching_until < MAX_IN_FLIGHT:
            self.pending_records.append(events.Write(self.accepted_until + 1, message.epoch, new_entries))
            self.accepted_until += len(new_entries)
        self.known_commit = max(self.known_commit, message.settled)
        if self.accepted_until == self.matching_until:
            self.reply_to = sender  # otherwise the reply follows when the pending writes are stored

    def _reply_to_prepare(self, sender: str, prepare: msg.Prepare) -> None:
        """Answer a `Prepare` as far as the send budget allows; the leader asks again for the rest."""
        state, after = self.state, prepare.after
        if after < state.base:
            self._send(sender, snapshot_rows(self.promised_epoch, state, b"", self.max_payload))
            return
        while True:
            entries: tuple[Entry, ...] = ()
            entry_epoch = 0
            if after < state.last:
                index = after - state.base
                count = max(1, entries_that_fit(state.entries, index, self.max_payload - PREPARE_REPLY_BYTES))
                entry_epoch = state.entry_epochs[index]
                same_epoch = next(
                    (i for i in range(count) if state.entry_epochs[index + i] != entry_epoch), count
                )
                entries = state.entries_from(after + 1, same_epoch)
            self.budget.spend()
            reply = msg.PrepareReply(
                prepare.epoch, after + 1, entry_epoch, entries, state.last, state.commit_index
            )
            self._send(sender, reply)
            after += len(entries)
            if after >= state.last or self.budget.available <= 0:
                return

    # Transfer of a snapshot, when another replica's log begins after the end of this one

    def _send_snapshot_rows(self, sender: str, request: msg.SnapshotRequest) -> None:
        after = request.after
        for _ in range(MAX_SNAPSHOT_BURST):
            if self.budget.available <= 0:
                return
            self.budget.spend()
            rows = snapshot_rows(request.epoch, self.state, after, self.max_payload)
            self._send(sender, rows)
            if not rows.more:
                return
            after = rows.rows[-1][1].subject

    def _on_snapshot_rows(self, sender: str, message: msg.SnapshotRows) -> None:
        """Accept rows in order. A snapshot that ends at or before this replica's commit index is ignored, so
        committed state is never replaced by older state."""
        if self.leader is not None:
            if message.epoch != self.leader.epoch or self.leader.phase is not Phase.PREPARE:
                return
        elif not self._accepts_epoch(sender, message.epoch):
            return
        if message.upto <= self.state.commit_index:
            return
        transfer = self.transfer
        if transfer is None or (transfer.sender, transfer.upto) != (sender, message.upto):
            recent = (
                transfer is not None
                and self.now - transfer.received_at < SENDER_PATIENCE * self.settings.pause
            )
            if message.after or (
                transfer is not None and (transfer.complete or (recent and transfer.sender != sender))
            ):
                return
            transfer = self.transfer = SnapshotTransfer(sender, message.upto)
        if transfer.complete or message.after != transfer.last_subject:
            return
        transfer.rows += message.rows
        transfer.received, transfer.received_at = transfer.received + 1, self.now
        transfer.complete = not message.more
        if transfer.complete:
            self.pending_records.append(events.Snapshot(message.upto, tuple(transfer.rows)))
        elif message.rows:
            transfer.last_subject = message.rows[-1][1].subject

    def _request_snapshot_rows(self) -> None:
        transfer = self.transfer
        if transfer is None or transfer.complete:
            return
        if self.now >= transfer.request_at or transfer.received >= MAX_SNAPSHOT_BURST:
            transfer.received, transfer.request_at = 0, self.now + self.settings.pause
            self._send(transfer.sender, msg.SnapshotRequest(self.promised_epoch, transfer.last_subject))

    # The disk

    def _on_stored(self, event: Stored) -> None:
        if not self.records_in_flight or event.number != self.store_number:
            return
        records, self.records_in_flight = self.records_in_flight, ()
        self.disk_error = event.error
        if event.error:
            # After a failed write the records that were to follow it no longer continue the log.
            self.pending_records = []
            self.accepted_until = self.matching_until
            self.retry_at = self.now + self.settings.pause
            self.transfer = None
            if self.leader is not None:
                self._collect(self.leader.on_store_failed(event.error))
            return
        for record in records:
            self.state.apply(record)
            match record:
                case events.Commit(number):
                    self.stored_commit = number
                case events.Write(first, entry_epoch, entries) if entry_epoch == self.promised_epoch:
                    self.matching_until = max(self.matching_until, first + len(entries) - 1)
                    self.reply_to = self.leadership.leader
                case events.Snapshot(upto):
                    self.matching_until, self.accepted_until = (
                        max(upto, self.matching_until),
                        max(upto, self.accepted_until),
                    )
                    if self.transfer is not None and self.transfer.upto <= upto:
                        self.transfer, self.reply_to = None, self.leadership.leader
        if self.leader is not None:
            self.reply_to = ""
            self._collect(self.leader.on_stored(self.now))

    def _run_due(self) -> None:
        """Carry out everything that is due."""
        if self.leader is not None:
            self._collect(self.leader.tick(self.now))
        self._deliver_committed()
        if self.leader is not None and self.leader.is_open:
            self._set_leader(self.settings.name)
        self._request_snapshot_rows()
        on_disk = self.state.promised >= self.promised_epoch
        if self.pending_prepare is not None and on_disk:
            self._reply_to_prepare(*self.pending_prepare)
            self.pending_prepare = None
        if self.reply_to and on_disk:
            self._send(self.reply_to, msg.AppendReply(self.promised_epoch, self.matching_until))
            self.reply_to = ""
        self._store_records()
        self.actions.append(msg.SetTimer(self._next_timer()))

    def _deliver_committed(self) -> None:
        """Hand committed entries to the tree node, in order and each one once per process."""
        state = self.state
        if self.leader is not None and self.leader.phase is Phase.REPLICATE:
            self.known_commit = max(self.known_commit, self.leader.commit_index)
        state.commit_index = max(state.commit_index, min(self.known_commit, self.matching_until))
        if self.delivered < state.base:
            self.actions.append(msg.AssumePurged(self.delivered + 1, state.base))
            rows = (state.table[subject] for subject in state.sorted_subjects)
            self.actions += [
                msg.Restore(number, change) for number, change in rows if number > self.delivered
            ]
            self.delivered = state.base
        while self.delivered < state.commit_index:
            entries = state.entries_from(
                self.delivered + 1, min(MAX_COMMITTED_BATCH, state.commit_index - self.delivered)
            )
            self.actions.append(msg.Committed(self.promised_epoch, self.delivered + 1, entries))
            self.delivered += len(entries)

    def _unstored_records(self) -> tuple[Record, ...]:
        return (*self.records_in_flight, *self.pending_records)

    def _store_records(self) -> None:
        """Write all pending records. Only one store is in progress at a time; records that arise meanwhile
        share the next sync."""
        state, pending = self.state, self._unstored_records()
        if state.promised < self.promised_epoch and events.Promise(self.promised_epoch) not in pending:
            self.pending_records.append(events.Promise(self.promised_epoch))
        snapshot_end = min(state.last - self.settings.control_tail, state.commit_index)
        oversized = len(state.entries) > COMPACTION_FACTOR * self.settings.control_tail
        if (
            oversized
            and snapshot_end > state.base
            and not any(isinstance(r, events.Snapshot) for r in pending)
        ):
            self.pending_records.append(state.snapshot_at(snapshot_end))
        if not self.pending_records or self.records_in_flight or self.now < self.retry_at:
            return
        if state.commit_index > self.stored_commit:
            self.pending_records.append(events.Commit(state.commit_index))
        self.store_number += 1
        self.records_in_flight, self.pending_records = tuple(self.pending_records), []
        self.actions.append(events.Store(self.store_number, self.records_in_flight))

    def _next_timer(self) -> float:
        times = [math.inf]
        if self.leader is not None:
            times.append(self.leader.next_timer(self.now))
        if self.transfer is not None and not self.transfer.complete:
            times.append(self.transfer.request_at)
        if self.pending_records and not self.records_in_flight:
            times.append(self.retry_at)
        return min(times)

    def status(self, now: float) -> dict[str, Any]:
        """Return the replica's state for operators; JSON-serialisable."""
        return {
            "epoch": self.promised_epoch,
            "holder": self.leadership.leader,
            "first": self.state.base + 1,
            "last": self.state.last,
            "settled": self.state.commit_index,
            "subjects": len(self.state.table),
            "gathers_from": self.transfer.sender if self.transfer is not None else "",
            "disk": self.disk_error,
            "dropped": {"stale": self.counts.stale, "refused": self.counts.refused},
            "lead": self.leader.status() if self.leader is not None else None,
        }
