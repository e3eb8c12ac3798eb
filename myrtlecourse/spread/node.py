"""A member's node in the dissemination tree: receives entries from its parent, forwards them to its children
and acknowledges them up the tree; no I/O.

`docs/design/spread.md` has the protocol's rules. New entries are forwarded to the children every `pause`
seconds and each report is answered within one. Retransmissions share what these leave of the send budget.
"""

from __future__ import annotations

import math
from dataclasses import asdict
from typing import Any

from myrtlecourse.peers.seal import SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE as FRAME
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.applied_ranges import AppliedRanges
from myrtlecourse.spread.change_table import ChangeTable
from myrtlecourse.spread.children import Child, Children
from myrtlecourse.spread.codec import SpreadCodec, max_payload
from myrtlecourse.spread.log_suffix import LogSuffix
from myrtlecourse.spread.messages import (
    Action,
    Counts,
    Entry,
    EntryBatch,
    Event,
    Heartbeat,
    Message,
    Received,
    Settings,
)
from myrtlecourse.spread.parent import Parent
from myrtlecourse.spread.repair import BATCH_OVERHEAD, MIN_PAYLOAD, RepairQueue
from myrtlecourse.spread.retransmission import RetransmitRequests
from myrtlecourse.spread.send_window import SendWindow
from myrtlecourse.spread.tree import CONTROL, HEARTBEAT_BYTES, MAX_NAME_BYTES, REPORT_BYTES, Tree, child_cost

LIVE_CATCH_UP_LIMIT = 256  # entries that a new child may be behind and still receive through the live stream
GAP_PATIENCE = 4  # pauses for which forwarding waits for a gap of this node to be filled
MIN_REPAIR_SHARE = 0.1  # least share of the send budget that is reserved for retransmissions
NEVER = math.inf
CODEC = SpreadCodec()


class Node:
    """The node of any member, on every tier."""

    def __init__(self, settings: Settings, now: float, seed: int) -> None:
        """Start without any entries. Raises SpreadError when the name is so long that some entries don't fit
        a datagram."""
        self.settings = settings
        self.name = settings.name
        self.now = now
        self.tree = Tree(settings)
        self.tier = self.tree.tier(self.name)
        control = self.tier == CONTROL
        child_limit = self.tree.max_children(self.name)
        self.max_payload = max_payload(self.name)
        if child_limit and self.max_payload < MIN_PAYLOAD:
            raise msg.SpreadError(f"name: {self.name} is too long by {MIN_PAYLOAD - self.max_payload} bytes")
        self.epoch = 0
        self.counts = Counts()
        self.applied = AppliedRanges()
        self.suffix = LogSuffix((settings.control_tail if control else settings.tail) if child_limit else 0)
        self.table = ChangeTable()
        self.parent = Parent(settings, self.tree.candidates(self.name), now, seed)
        self.children = Children(settings, child_limit)
        self.repairs = RepairQueue(child_limit, self.max_payload, self.applied, self.suffix, self.table)
        self.retransmits = RetransmitRequests(2 * settings.pause)  # requests for entries
        self.table_sync = RetransmitRequests(4 * settings.pause)  # requests for rows of the change table
        self.send_window = SendWindow(settings.half_control_budget if control else settings.budget)
        self.is_root = False
        # A new root reports no watermark before this time: until then members may hold leases of the previous
        # root.
        self.watermark_held_until = NEVER
        self.announced_watermark = 0  # the last one reported with `Watermark`
        self.lease_announced = False
        # first and last number of the entries that are assumed purged, until the change table is complete
        self.purged_range: tuple[int, int] | None = None
        self.digest_at = NEVER
        self.gap_seen_at = -NEVER  # when the newest gap appeared
        self.report_at = now + self.parent.random.random() * settings.report
        self.forward_at, self.forwarded_at = NEVER, -NEVER
        self.repair_at, self.repaired_at, self.repair_credit = NEVER, -NEVER, 0.0
        self.actions: list[Action] = []

    @property
    def applied_until(self) -> int:
        """The number up to which all entries are applied, or their changes are known from a change table."""
        return (
            min(self.applied.contiguous_until, self.purged_range[0] - 1)
            if self.purged_range
            else self.applied.contiguous_until
        )

    def has_lease(self, now: float) -> bool:
        """Return whether this member may act as up to date at this moment."""
        return self.is_root or now < self.parent.lease_until

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return actions, which have to be carried out in order."""
        self.now, self.actions = max(now, self.now), []
        self._announce_lease()
        match event:
            case Received(sender, messages):
                self._on_messages(sender, messages)
            case msg.Committed(epoch, first, entries):
                self._on_committed(epoch, first, entries)
            case msg.Leadership(epoch, leader):
                self._on_leadership(epoch, leader)
            case msg.TimerFired():
                pass
        self._run_due()
        self._announce_lease()
        self.actions.append(msg.SetTimer(self._next_timer()))
        return self.actions

    def _next_timer(self) -> float:
        reply_due = min((c.reply_due for c in self.children.by_name.values()), default=NEVER)
        lease_end = self.parent.lease_until if self.lease_announced and not self.is_root else NEVER
        times = (
            self.report_at,
            self.forward_at,
            reply_due,
            self.repair_at,
            self.retransmits.retry_at,
            self.digest_at,
            lease_end,
        )
        return max(min(times), self.now)

    def _announce_lease(self) -> None:
        valid = self.has_lease(self.now)
        if valid != self.lease_announced:
            self.lease_announced = valid
            self.actions.append(msg.LeaseChanged(valid))

    def _run_due(self) -> None:
        """Carry out everything that is due."""
        if self.now >= self.report_at:
            self._send_reports()
        self._request_repairs()
        forwarding = self.now >= self.forward_at
        if forwarding:
            self.forwarded_at, self.forward_at = self.now, NEVER
        batches: dict[tuple[int, int], tuple[Entry, ...]] = {}
        for child in list(self.children.by_name.values()):
            if forwarding or child.reply_due <= self.now:
                self._send_to_child(child, batches)
        self._send_repairs()

    def _send(self, to: str, *messages: Message) -> bool:
        """Send messages if the send window allows it; return whether it did."""
        size = SEAL_SIZE + FRAME + len(self.name.encode()) + CODEC.size(messages)
        if not self.send_window.try_spend(self.now, size):
            return False
        self.counts.bytes_out += size
        self.actions.append(msg.Send(to, messages))
        return True

    # Messages

    def _on_messages(self, sender: str, messages: tuple[Message, ...]) -> None:
        if sender in (
            *self.parent.report_targets(),
            self._repair_source(self.retransmits),
            self._repair_source(self.table_sync),
        ):
            for message in messages:
                self._on_parent_message(sender, message)
        elif self.tree.may_be_parent(self.name, sender) and (
            self.is_root or self.tree.tier(sender) != CONTROL
        ):
            self._on_child_messages(sender, messages)
        else:
            self.counts.refused += len(messages)

    def _on_parent_message(self, sender: str, message: Message) -> None:
        """Process a message from the parent, from the parent on trial, or from a node that was asked for
        repairs."""
        match message:
            case EntryBatch() | Heartbeat() if message.epoch < self.epoch:
                self.counts.stale += 1
            case EntryBatch() if self.tier != CONTROL:
                self.epoch = message.epoch
                self._on_entries(message.first, message.entries)
            case Heartbeat():
                self.epoch = message.epoch
                self._on_heartbeat(sender, message)
            case msg.NoCapacity():
                self.parent.on_no_capacity(self.now, sender)
            case msg.EntriesDropped(oldest) if self.retransmits.requested:
                self._on_entries_dropped(oldest)
            case msg.TableRows() if self.purged_range:
                self._on_table_rows(message)
            case msg.TableInSync(upto) if self.purged_range and upto == self.purged_range[1] + 1:
                self.purged_range, self.digest_at = None, NEVER
            case _:
                self.counts.refused += 1

    def _on_child_messages(self, sender: str, messages: tuple[Message, ...]) -> None:
        """Process a datagram from a child, or from a node whose parent does not answer. `Leave` is only valid
        after a report in the same datagram, which shows that the datagram is not a delayed one."""
        reported = False
        for message in messages:
            match message:
                case msg.Report():
                    reported = self._on_report(sender, message)
                case msg.Leave() if reported:
                    self.children.remove(sender)
                    self.repairs.drop(sender)
                case msg.RetransmitRequest() if self.repairs.request_entries(sender, message):
                    self.repair_at = min(self.repair_at, self.now)
                case msg.TableDigest():
                    self._on_digest(sender, message)
                case _:
                    self.counts.refused += 1

    def _on_report(self, sender: str, report: msg.Report) -> bool:
        if report.epoch < self.epoch:
            self.counts.stale += 1
        lag = self.applied.highest - report.have
        cursor = report.have + 1 if lag <= LIVE_CATCH_UP_LIMIT else self.applied.highest + 1
        child = self.children.on_report(self.now, sender, report, cursor)
        if child is None:
            if sender not in self.children.by_name:
                self._send(sender, msg.NoCapacity())
            return False
        if self.tree.tier(sender) != CONTROL and child.cursor <= self.applied.highest:
            self._schedule_forwarding()
        if self.is_root:
            self._announce_watermark()
        return True

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        former_parent = self.parent.on_heartbeat(
            self.now, sender, heartbeat, self.children.last_lease_end(self.now)
        )
        if former_parent:
            # The former parent must be told, or its watermark would wait for a lease that is no longer used.
            stamp = self.parent.next_stamp(self.now)
            self.parent.sent_reports.clear()
            self._send(former_parent, self._build_report(stamp), msg.Leave())

    def _on_digest(self, sender: str, digest: msg.TableDigest) -> None:
        complete = not self.purged_range and self.applied.contiguous_until >= digest.upto - 1
        reply = self.repairs.request_table(sender, digest, complete)
        if reply is not None:
            self._send(sender, reply)
        elif complete:
            self.repair_at = min(self.repair_at, self.now)

    # Entries

    def _on_entries(self, first: int, entries: tuple[Entry, ...]) -> None:
        last = first + len(entries) - 1
        number = first
        while number <= last:
            accepted = self.applied.acceptable(number, last)
            if accepted is None:
                end = self.applied.range_end(number)
                if not end:
                    self.counts.refused += 1  # out of order within a gap; requested again later
                    return
                number = end + 1
                continue
            self._apply(accepted[0], entries[accepted[0] - first : accepted[1] - first + 1])
            number = accepted[1] + 1

    def _apply(self, first: int, entries: tuple[Entry, ...]) -> None:
        last = first + len(entries) - 1
        if first > self.applied.highest + 1:
            self.gap_seen_at = self.now
        requested = self.retransmits.requested
        if requested and requested[0] <= first <= requested[1]:
            self.counts.repaired += len(entries)
            self.retransmits.on_answer(self.now)
        self.applied.add(first, last)
        for number, entry in enumerate(entries, first):
            if self.suffix.capacity:
                self.suffix.add(number, entry)
            if isinstance(entry, msg.Change):
                self.table.put(number, entry)
        self.actions.append(msg.Apply(first, entries))
        while (excess := self.applied.excess_gap()) is not None:
            self._assume_purged(*excess)
        self._schedule_forwarding()

    def _schedule_forwarding(self) -> None:
        if self.children.by_name:
            self.forward_at = min(self.forward_at, max(self.now, self.forwarded_at + self.settings.pause))

    def _assume_purged(self, first: int, last: int) -> None:
        """Mark entries as unavailable; their changes are fetched from a change table."""
        self.actions.append(msg.AssumePurged(first, last))
        self.applied.add(first, last)
        if not self.is_root:
            earlier = self.purged_range or (first, last)
            self.purged_range = min(first, earlier[0]), max(last, earlier[1])
            self.digest_at = self.now

    def _on_entries_dropped(self, oldest: int) -> None:
        self.retransmits.on_answer(self.now)
        known_end = max(self.applied.highest, self.parent.log_end)
        gaps = self.applied.gaps()
        if self.parent.log_end > self.applied.highest:
            gaps.append((self.applied.highest + 1, self.parent.log_end))
        for first, last in gaps:
            if first < oldest <= known_end + 1:
                self._assume_purged(first, min(last, oldest - 1))

    def _on_table_rows(self, rows: msg.TableRows) -> None:
        for number, change in rows.rows:
            if self.table.put(number, change):
                self.actions.append(msg.Restore(number, change))
        self.table_sync.tries = 0
        self.digest_at = self.now + self.table_sync.retry_delay if rows.more else self.now

    def _on_committed(self, epoch: int, first: int, entries: tuple[Entry, ...]) -> None:
        if self.tier != CONTROL or epoch < self.epoch:
            self.counts.stale += 1
            return
        self.epoch = epoch
        if first > self.applied.highest + 1:
            self._assume_purged(self.applied.highest + 1, first - 1)  # the received log begins later
        if entries:
            self._on_entries(first, entries)

    def _on_leadership(self, epoch: int, leader: str) -> None:
        if self.tier != CONTROL or epoch < self.epoch:
            self.counts.stale += 1
            return
        was_root, self.is_root = self.is_root, leader == self.name
        if self.is_root and (not was_root or epoch > self.epoch):
            self.watermark_held_until = self.now + self.settings.lease * self.children.clock_ratio
            self.purged_range, self.digest_at = None, NEVER
            self.children.inherited_watermark = self.applied.highest
        if was_root != self.is_root:
            self.parent.lease_until = -NEVER
        self.epoch = epoch
        self.parent.set_candidates(self.now, (leader,) if leader not in ("", self.name) else ())

    # Reports to the parent

    def _build_report(self, stamp: int) -> msg.Report:
        acknowledged, slowest = self.children.advance_watermark(self.now, self.applied_until)
        members, away = self.children.member_counts(self.now)
        return msg.Report(stamp, self.epoch, self.applied_until, acknowledged, members, away, slowest)

    def _send_reports(self) -> None:
        self.report_at = self.now + self.settings.report
        self.children.expire(self.now)
        if self.is_root:
            self._announce_watermark()
            return
        self.parent.tick(self.now, self.applied_until >= self.parent.log_end)
        self.counts.moved = self.parent.moves
        targets = self.parent.report_targets()
        if targets:
            report = self._build_report(self.parent.next_stamp(self.now))
            for name in targets:
                self._send(name, report)

    def _announce_watermark(self) -> None:
        if self.now < self.watermark_held_until:
            return
        watermark, _ = self.children.advance_watermark(self.now, self.applied_until)
        if watermark > self.announced_watermark:
            self.announced_watermark = watermark
            self.actions.append(msg.Watermark(watermark, *self.children.member_counts(self.now)))

    def _repair_source(self, requests: RetransmitRequests) -> str:
        return requests.target(self.parent.index, self.parent.candidates)

    def _request_repairs(self) -> None:
        if self.tier != CONTROL:
            request = self.retransmits.next_request(self.now, self.applied, self.parent.log_end)
            if request is not None:
                self._send(self._repair_source(self.retransmits), request)
        if self.purged_range and self.now >= self.digest_at:
            upto = self.purged_range[1] + 1
            self.digest_at = self.now + self.table_sync.retry_delay
            self.table_sync.on_timeout()
            if self._repair_source(self.table_sync):
                self._send(
                    self._repair_source(self.table_sync), msg.TableDigest(upto, self.table.checksums(upto))
                )

    # Forwarding to the children

    def _lease_left(self) -> float:
        return self.settings.lease if self.is_root else self.parent.lease_until - self.now

    def _send_to_child(self, child: Child, batches: dict[tuple[int, int], tuple[Entry, ...]]) -> None:
        """Send a child the entries from its position on, and the answer to its report."""
        with_reply = child.reply_due < NEVER
        control = self.tree.tier(child.name) == CONTROL
        while True:
            entries: tuple[Entry, ...] = ()
            if not control and child.cursor <= self.applied.highest:
                size = self.max_payload - BATCH_OVERHEAD - HEARTBEAT_BYTES * with_reply
                entries = self._next_batch(child, size, batches)
            messages: list[Message] = [EntryBatch(self.epoch, child.cursor, entries)] if entries else []
            if with_reply:
                last = (
                    self.applied.contiguous_until
                    if control
                    else min(self.applied.contiguous_until, child.cursor + len(entries) - 1)
                )
                good_for = self.children.grant(self.now, child, self._lease_left(), self.epoch)
                messages.append(Heartbeat(self.epoch, last, child.stamp, good_for))
            if not messages:
                break
            if not self._send(child.name, *messages):
                child.reply_due = self.now + self.settings.pause if with_reply else NEVER
                break
            child.cursor += len(entries)
            child.reply_due, with_reply = NEVER, False
        if not control and child.cursor <= self.applied.highest:
            self.forward_at = min(self.forward_at, self.now + self.settings.pause)

    def _next_batch(
        self, child: Child, size: int, batches: dict[tuple[int, int], tuple[Entry, ...]]
    ) -> tuple[Entry, ...]:
        """Return the next entries for a child. Forwarding waits at a gap of this node, because it is usually
        filled soon."""
        end = self.applied.range_end(child.cursor)
        if not end:
            if self.now < self.gap_seen_at + GAP_PATIENCE * self.settings.pause:
                return ()
            child.cursor = next(first for first, _ in self.applied.ranges if first > child.cursor)
            end = self.applied.range_end(child.cursor)
        key = (child.cursor, size)
        if key not in batches:
            batches[key] = self.suffix.batch(child.cursor, end, size)
            if not batches[key] and self.suffix.get(child.cursor) is None:
                # no longer kept here: the child will request it
                child.cursor = min(self.suffix.next_kept(child.cursor), end + 1)
        return batches[key]

    def _send_repairs(self) -> None:
        """Send requested retransmissions, as far as the send budget allows."""
        if self.now < self.repair_at:
            return
        settings = self.settings
        self.repair_at = NEVER
        if self.now >= self.repaired_at + settings.pause:
            reserved = (
                len(self.children.by_name) * child_cost(settings, MAX_NAME_BYTES)
                + REPORT_BYTES / settings.report
            )
            unreserved = max(MIN_REPAIR_SHARE * self.send_window.budget, self.send_window.budget - reserved)
            self.repaired_at, self.repair_credit = (
                self.now,
                min(self.repair_credit, 0.0) + unreserved * settings.pause,
            )
        while self.repair_credit > 0:
            reply = self.repairs.next_reply(self.epoch)
            if reply is None:
                return
            sent_before = self.counts.bytes_out
            if not self._send(reply[0], reply[1]):
                break
            self.repair_credit -= self.counts.bytes_out - sent_before
        self.repair_at = self.repaired_at + settings.pause

    def status(self, now: float) -> dict[str, Any]:
        """Return the node's state for operators; JSON-serialisable."""
        counts = asdict(self.counts)
        watermark, slowest = (
            self.children.watermark,
            self.children.lowest_acknowledged(now, self.applied_until)[1],
        )
        return {
            "tier": self.tier,
            "root": self.is_root,
            "parent": self.parent.name,
            "epoch": self.epoch,
            "have": self.applied_until,
            "last": max(self.applied.highest, self.parent.log_end),
            "done": watermark,
            "behind": slowest,
            "lanes": list(self.applied.ranges),
            "forgotten": self.purged_range,
            "children": {
                c.name: {"have": c.applied_until, "done": c.acknowledged, "counts": c.counted_until > now}
                for c in self.children.by_name.values()
            },
            "away": {name: members for name, (members, _) in self.children.silent.items()},
            "vouches": self.has_lease(now),
            "lease_left": max(0.0, self.parent.lease_until - now) if not self.is_root else None,
            "counts": counts,
        }
