"""A member's part in the spread: takes entries from its parent, passes them on, says how far it is; no I/O.

`docs/design/spread.md` has the rules. News goes to the children every `pause`, each report is answered within
one; what is asked for goes out by what the budget leaves.
"""

from __future__ import annotations

import math
from dataclasses import asdict
from typing import Any

from myrtlecourse.peers.seal import SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE as FRAME
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.allowance import Allowance
from myrtlecourse.spread.asking import Asking
from myrtlecourse.spread.children import Child, Children
from myrtlecourse.spread.codec import SpreadCodec, room
from myrtlecourse.spread.lanes import Lanes
from myrtlecourse.spread.messages import Action, Beat, Counts, Entry, Event, Heard, News, Settings, Word
from myrtlecourse.spread.parent import Parent
from myrtlecourse.spread.serving import HEAD, LEAST_ROOM, Serving
from myrtlecourse.spread.table import Table
from myrtlecourse.spread.tail import Tail
from myrtlecourse.spread.tree import BEAT, CONTROL, LONGEST_NAME, REPORT, Tree, child_cost

NEAR = 256  # entries that a new child may be behind and be sent as news
WAITS = 4  # pauses for which news waits for a hole of this node's to be filled
KEEPS = 0.1  # of the budget that what is asked for has at least
NEVER = math.inf
CODEC = SpreadCodec()


class Node:
    """Any member."""

    def __init__(self, settings: Settings, now: float, seed: int) -> None:
        """Begins with nothing. Raises SpreadError when datagrams of this name can't bear every entry."""
        self.settings = settings
        self.name = settings.name
        self.now = now
        self.tree = Tree(settings)
        self.tier = self.tree.tier(self.name)
        control = self.tier == CONTROL
        bound = self.tree.children_bound(self.name)
        self.room = room(self.name)
        if bound and self.room < LEAST_ROOM:
            raise said.SpreadError(f"name: {self.name} is too long by {LEAST_ROOM - self.room} bytes")
        self.epoch = 0
        self.counts = Counts()
        self.lanes = Lanes()
        self.tail = Tail((settings.control_tail if control else settings.tail) if bound else 0)
        self.table = Table()
        self.parent = Parent(settings, self.tree.candidates(self.name), now, seed)
        self.children = Children(settings, bound)
        self.serving = Serving(bound, self.room, self.lanes, self.tail, self.table)
        self.asking = Asking(2 * settings.pause)  # for entries
        self.comparing = Asking(4 * settings.pause)  # the table
        self.allowance = Allowance(settings.control_half if control else settings.budget)
        self.is_root = False
        self.quiet_until = NEVER  # a root says nothing before: some may vouch by the root before
        self.told = 0  # by `Done`
        self.vouching = False
        self.forgotten: tuple[int, int] | None = None  # first and last, until the table is known to be whole
        self.digest_at = NEVER
        self.hole_at = -NEVER  # when the newest hole was seen
        self.report_at = now + self.parent.random.random() * settings.report
        self.news_at, self.news_sent = NEVER, -NEVER
        self.serve_at, self.served_at, self.share = NEVER, -NEVER, 0.0
        self.out: list[Action] = []

    @property
    def have(self) -> int:
        """All up to this number is applied, or its changes are known from a table."""
        return min(self.lanes.have, self.forgotten[0] - 1) if self.forgotten else self.lanes.have

    def vouches(self, now: float) -> bool:
        """Whether this member may act as if up to date at this very moment."""
        return self.is_root or now < self.parent.lease_until

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = max(now, self.now), []
        self._tell_vouches()
        match event:
            case Heard(sender, words):
                self._on_words(sender, words)
            case said.Settled(epoch, first, entries):
                self._on_settled(epoch, first, entries)
            case said.Root(epoch, holder):
                self._on_root(epoch, holder)
            case said.Woke():
                pass
        self._pace()
        self._tell_vouches()
        self.out.append(said.Wake(self._next()))
        return self.out

    def _next(self) -> float:
        answers = min((c.answer_at for c in self.children.all.values()), default=NEVER)
        ends = self.parent.lease_until if self.vouching and not self.is_root else NEVER
        times = (self.report_at, self.news_at, answers, self.serve_at, self.asking.at, self.digest_at, ends)
        return max(min(times), self.now)

    def _tell_vouches(self) -> None:
        may = self.vouches(self.now)
        if may != self.vouching:
            self.vouching = may
            self.out.append(said.Vouches(may))

    def _pace(self) -> None:
        """What is due."""
        if self.now >= self.report_at:
            self._report()
        self._ask()
        news = self.now >= self.news_at
        if news:
            self.news_sent, self.news_at = self.now, NEVER
        packed: dict[tuple[int, int], tuple[Entry, ...]] = {}
        for child in list(self.children.all.values()):
            if news or child.answer_at <= self.now:
                self._pass_on(child, packed)
        self._serve()

    def _say(self, to: str, *words: Word) -> bool:
        """Whether the budget had it."""
        size = SEAL_SIZE + FRAME + len(self.name.encode()) + CODEC.size(words)
        if not self.allowance.take(self.now, size):
            return False
        self.counts.bytes_out += size
        self.out.append(said.Say(to, words))
        return True

    # Words

    def _on_words(self, sender: str, words: tuple[Word, ...]) -> None:
        if sender in (*self.parent.reports_to(), self._asked(self.asking), self._asked(self.comparing)):
            for word in words:
                self._on_above(sender, word)
        elif self.tree.bears(self.name, sender) and (self.is_root or self.tree.tier(sender) != CONTROL):
            self._on_below(sender, words)
        else:
            self.counts.refused += len(words)

    def _on_above(self, sender: str, word: Word) -> None:
        """A parent, the one on trial, or one that was asked."""
        match word:
            case News() | Beat() if word.epoch < self.epoch:
                self.counts.stale += 1
            case News() if self.tier != CONTROL:
                self.epoch = word.epoch
                self._on_entries(word.first, word.entries)
            case Beat():
                self.epoch = word.epoch
                self._on_beat(sender, word)
            case said.Full():
                self.parent.full(self.now, sender)
            case said.Beyond(oldest) if self.asking.asked:
                self._on_beyond(oldest)
            case said.Rows() if self.forgotten:
                self._on_rows(word)
            case said.Same(upto) if self.forgotten and upto == self.forgotten[1] + 1:
                self.forgotten, self.digest_at = None, NEVER
            case _:
                self.counts.refused += 1

    def _on_below(self, sender: str, words: tuple[Word, ...]) -> None:
        """A child, or one that another does not answer. What it leaves by bears a report, or it is an old
        one."""
        reported = False
        for word in words:
            match word:
                case said.Report():
                    reported = self._on_report(sender, word)
                case said.Leave() if reported:
                    self.children.leave(sender)
                    self.serving.forget(sender)
                case said.Want() if self.serving.want(sender, word):
                    self.serve_at = min(self.serve_at, self.now)
                case said.Digest():
                    self._on_digest(sender, word)
                case _:
                    self.counts.refused += 1

    def _on_report(self, sender: str, report: said.Report) -> bool:
        if report.epoch < self.epoch:
            self.counts.stale += 1
        behind = self.lanes.top - report.have
        cursor = report.have + 1 if behind <= NEAR else self.lanes.top + 1
        child = self.children.hear(self.now, sender, report, cursor)
        if child is None:
            if sender not in self.children.all:
                self._say(sender, said.Full())
            return False
        if self.tree.tier(sender) != CONTROL and child.cursor <= self.lanes.top:
            self._news()
        if self.is_root:
            self._tell_done()
        return True

    def _on_beat(self, sender: str, beat: Beat) -> None:
        left = self.parent.beat(self.now, sender, beat, self.children.granted_until(self.now))
        if left:
            # guards `done` against waiting for a grant that is not used any more
            stamp = self.parent.next_stamp(self.now)
            self.parent.sent.clear()
            self._say(left, self._report_word(stamp), said.Leave())

    def _on_digest(self, sender: str, digest: said.Digest) -> None:
        complete = not self.forgotten and self.lanes.have >= digest.upto - 1
        same = self.serving.digest(sender, digest, complete)
        if same is not None:
            self._say(sender, same)
        elif complete:
            self.serve_at = min(self.serve_at, self.now)

    # Entries

    def _on_entries(self, first: int, entries: tuple[Entry, ...]) -> None:
        last = first + len(entries) - 1
        number = first
        while number <= last:
            new = self.lanes.room(number, last)
            if new is None:
                end = self.lanes.run(number)
                if not end:
                    self.counts.refused += 1  # before its turn; it is asked for again
                    return
                number = end + 1
                continue
            self._apply(new[0], entries[new[0] - first : new[1] - first + 1])
            number = new[1] + 1

    def _apply(self, first: int, entries: tuple[Entry, ...]) -> None:
        last = first + len(entries) - 1
        if first > self.lanes.top + 1:
            self.hole_at = self.now
        asked = self.asking.asked
        if asked and asked[0] <= first <= asked[1]:
            self.counts.repaired += len(entries)
            self.asking.came(self.now)
        self.lanes.add(first, last)
        for number, entry in enumerate(entries, first):
            if self.tail.most:
                self.tail.add(number, entry)
            if isinstance(entry, said.Change):
                self.table.put(number, entry)
        self.out.append(said.Apply(first, entries))
        while (spilt := self.lanes.spill()) is not None:
            self._forget(*spilt)
        self._news()

    def _news(self) -> None:
        if self.children.all:
            self.news_at = min(self.news_at, max(self.now, self.news_sent + self.settings.pause))

    def _forget(self, first: int, last: int) -> None:
        """What is not to be had any more; its changes are, from a table."""
        self.out.append(said.Forget(first, last))
        self.lanes.add(first, last)
        if not self.is_root:
            before = self.forgotten or (first, last)
            self.forgotten = min(first, before[0]), max(last, before[1])
            self.digest_at = self.now

    def _on_beyond(self, oldest: int) -> None:
        self.asking.came(self.now)
        known = max(self.lanes.top, self.parent.last)
        holes = self.lanes.holes()
        if self.parent.last > self.lanes.top:
            holes.append((self.lanes.top + 1, self.parent.last))
        for first, last in holes:
            if first < oldest <= known + 1:
                self._forget(first, min(last, oldest - 1))

    def _on_rows(self, rows: said.Rows) -> None:
        for number, change in rows.rows:
            if self.table.put(number, change):
                self.out.append(said.Restore(number, change))
        self.comparing.tries = 0
        self.digest_at = self.now + self.comparing.retry if rows.more else self.now

    def _on_settled(self, epoch: int, first: int, entries: tuple[Entry, ...]) -> None:
        if self.tier != CONTROL or epoch < self.epoch:
            self.counts.stale += 1
            return
        self.epoch = epoch
        if first > self.lanes.top + 1:
            self._forget(self.lanes.top + 1, first - 1)  # the log begins later
        if entries:
            self._on_entries(first, entries)

    def _on_root(self, epoch: int, holder: str) -> None:
        if self.tier != CONTROL or epoch < self.epoch:
            self.counts.stale += 1
            return
        was, self.is_root = self.is_root, holder == self.name
        if self.is_root and (not was or epoch > self.epoch):
            self.quiet_until = self.now + self.settings.lease * self.children.apart
            self.forgotten, self.digest_at = None, NEVER
            self.children.told_before = self.lanes.top
        if was != self.is_root:
            self.parent.lease_until = -NEVER
        self.epoch = epoch
        self.parent.follow(self.now, (holder,) if holder not in ("", self.name) else ())

    # What goes up

    def _report_word(self, stamp: int) -> said.Report:
        done, behind = self.children.done(self.now, self.have)
        below, away = self.children.counted(self.now)
        return said.Report(stamp, self.epoch, self.have, done, below, away, behind)

    def _report(self) -> None:
        self.report_at = self.now + self.settings.report
        self.children.tick(self.now)
        if self.is_root:
            self._tell_done()
            return
        self.parent.tick(self.now, self.have >= self.parent.last)
        self.counts.moved = self.parent.moved
        to = self.parent.reports_to()
        if to:
            word = self._report_word(self.parent.next_stamp(self.now))
            for name in to:
                self._say(name, word)

    def _tell_done(self) -> None:
        if self.now < self.quiet_until:
            return
        done, _ = self.children.done(self.now, self.have)
        if done > self.told:
            self.told = done
            self.out.append(said.Done(done, *self.children.counted(self.now)))

    def _asked(self, asking: Asking) -> str:
        return asking.whom(self.parent.at, self.parent.candidates)

    def _ask(self) -> None:
        if self.tier != CONTROL:
            want = self.asking.next(self.now, self.lanes, self.parent.last)
            if want is not None:
                self._say(self._asked(self.asking), want)
        if self.forgotten and self.now >= self.digest_at:
            upto = self.forgotten[1] + 1
            self.digest_at = self.now + self.comparing.retry
            self.comparing.vain()
            if self._asked(self.comparing):
                self._say(self._asked(self.comparing), said.Digest(upto, self.table.sums(upto)))

    # What goes down

    def _lease_left(self) -> float:
        return self.settings.lease if self.is_root else self.parent.lease_until - self.now

    def _pass_on(self, child: Child, packed: dict[tuple[int, int], tuple[Entry, ...]]) -> None:
        """News from where the child is, and the answer to its report."""
        answers = child.answer_at < NEVER
        control = self.tree.tier(child.name) == CONTROL
        while True:
            entries: tuple[Entry, ...] = ()
            if not control and child.cursor <= self.lanes.top:
                space = self.room - HEAD - BEAT * answers
                entries = self._run(child, space, packed)
            words: list[Word] = [News(self.epoch, child.cursor, entries)] if entries else []
            if answers:
                last = self.lanes.have if control else min(self.lanes.have, child.cursor + len(entries) - 1)
                good_for = self.children.grant(self.now, child, self._lease_left(), self.epoch)
                words.append(Beat(self.epoch, last, child.stamp, good_for))
            if not words:
                break
            if not self._say(child.name, *words):
                child.answer_at = self.now + self.settings.pause if answers else NEVER
                break
            child.cursor += len(entries)
            child.answer_at, answers = NEVER, False
        if not control and child.cursor <= self.lanes.top:
            self.news_at = min(self.news_at, self.now + self.settings.pause)

    def _run(
        self, child: Child, space: int, packed: dict[tuple[int, int], tuple[Entry, ...]]
    ) -> tuple[Entry, ...]:
        """The next entries for a child. A hole of this node's is waited for, as it will be filled soon."""
        end = self.lanes.run(child.cursor)
        if not end:
            if self.now < self.hole_at + WAITS * self.settings.pause:
                return ()
            child.cursor = next(first for first, _ in self.lanes.ranges if first > child.cursor)
            end = self.lanes.run(child.cursor)
        key = (child.cursor, space)
        if key not in packed:
            packed[key] = self.tail.run(child.cursor, end, space)
            if not packed[key] and self.tail.get(child.cursor) is None:
                child.cursor = min(self.tail.next(child.cursor), end + 1)  # kept no more: the child asks
        return packed[key]

    def _serve(self) -> None:
        """What others have asked for, by what the budget leaves."""
        if self.now < self.serve_at:
            return
        settings = self.settings
        self.serve_at = NEVER
        if self.now >= self.served_at + settings.pause:
            news = len(self.children.all) * child_cost(settings, LONGEST_NAME) + REPORT / settings.report
            left = max(KEEPS * self.allowance.budget, self.allowance.budget - news)
            self.served_at, self.share = self.now, min(self.share, 0.0) + left * settings.pause
        while self.share > 0:
            found = self.serving.next(self.epoch)
            if found is None:
                return
            before = self.counts.bytes_out
            if not self._say(found[0], found[1]):
                break
            self.share -= self.counts.bytes_out - before
        self.serve_at = self.served_at + settings.pause

    def status(self, now: float) -> dict[str, Any]:
        """What staff may want to know."""
        counts = asdict(self.counts)
        done, behind = self.children.reported, self.children.lowest(now, self.have)[1]
        return {
            "tier": self.tier,
            "root": self.is_root,
            "parent": self.parent.name,
            "epoch": self.epoch,
            "have": self.have,
            "last": max(self.lanes.top, self.parent.last),
            "done": done,
            "behind": behind,
            "lanes": list(self.lanes.ranges),
            "forgotten": self.forgotten,
            "children": {
                c.name: {"have": c.have, "done": c.done, "counts": c.counts_until > now}
                for c in self.children.all.values()
            },
            "away": {name: below for name, (below, _) in self.children.silent.items()},
            "vouches": self.vouches(now),
            "lease_left": max(0.0, self.parent.lease_until - now) if not self.is_root else None,
            "counts": counts,
        }
