"""A control machine's part in the log of changes and purges; events in, actions out, no I/O and no clock.

What is promised or written goes out only once it is on the disk, in whose order all of it stands: what is
here in memory of the log is what the disk holds. The holder's part is `head_lead.py`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread import head_events as at
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.head_events import HeadAction, HeadEvent, Record, Saved, Stored, fitting
from myrtlecourse.spread.head_lead import MOST_FLIGHT, Budget, Lead, Made, Phase, table_from
from myrtlecourse.spread.messages import Change, Entry, Settings, Word

WRITTEN = 52  # bytes at most of a `Written` without its entries
MOST_BURST = 32  # datagrams of the table that are sent for one question
MOST_TOLD = 10_000  # entries that the node is told of at once
PATIENCE = 4  # pauses for which one that sends its table may be silent before another's is taken
KEEPS_MORE = 1.25  # times the tail, before what is older becomes a table
RECORDS = (at.Promise, at.Write, at.Cut, at.Lasts, at.Snapshot)


class Gather:
    """The table that comes from another machine, row by row."""

    def __init__(self, sender: str, upto: int) -> None:
        self.sender = sender
        self.upto = upto
        self.after = b""
        self.rows: list[tuple[int, Change]] = []
        self.whole = False
        self.came = 0  # datagrams since it was last asked for
        self.at = -math.inf  # when rows last came
        self.ask_at = -math.inf


class Head:
    """One control machine's part."""

    def __init__(self, settings: Settings, saved: Saved, now: float) -> None:
        """`saved` is what the disk holds; it is the head's from now on."""
        self.settings = settings
        self.saved = saved
        self.now = now
        names = [*settings.control, *(m for s in settings.sites for m in (*s.routers, *s.parts))]
        # what is written has to reach members with longer names, too
        self.room = MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - max(len(name.encode()) for name in names)
        self.promised = saved.promised  # ahead of the disk, for a moment
        self.agreed = saved.agreed(saved.promised)  # all up to here is as who writes under that epoch has it
        self.taken = self.agreed  # the same, with what is still to be written down
        self.known = saved.settled  # how far the log lasts, as was heard
        self.told = 0  # entries that the node knows of
        self.lasting = saved.settled  # what the disk knows of that
        self.lead: Lead | None = None
        self.budget = Budget(settings.control_half, settings.control_half * settings.pause, now)
        self.records: list[Record] = []  # that wait for the disk
        self.storing: tuple[Record, ...] = ()
        self.store = 0
        self.retry_at = now
        self.asked: tuple[str, said.Survey] | None = None
        self.owes = ""  # to whom it is to be said how far all is written
        self.gather: Gather | None = None
        self.root = said.Root(0, "")
        self.counts = said.Counts()
        self.why = ""  # what the disk said last
        self.out: list[HeadAction] = []

    def handle(self, now: float, event: HeadEvent) -> list[HeadAction]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = max(now, self.now), []
        self.budget.fill(self.now)
        match event:
            case said.Heard(sender, words) if sender in self.settings.control:
                for word in words:
                    self._hear(sender, word)
            case at.Took(token):
                self._took(token)
            case at.Lost() if self.lead is not None:
                self._lost()
            case at.Propose(ticket, entry):
                if self.lead is None:
                    self.out.append(at.Refuse(ticket, "not the holder"))
                else:
                    self._take(self.lead.propose(ticket, entry))
            case Stored():
                self._stored(event)
        self._serve()
        return self.out

    def _take(self, made: Iterable[Made]) -> None:
        for each in made:
            if isinstance(each, RECORDS):
                self.records.append(each)
            else:
                self.out.append(each)

    def _say(self, to: str, *words: Word) -> None:
        self.out.append(said.Say(to, words))

    # Who writes

    def _took(self, token: int) -> None:
        """Guards epochs: one that was promised before is another's, or of the process before this one."""
        if token > self.promised:
            # not the root yet: before the takeover it may lack what the root before said to be done
            self._promise(token, "")
            self.lead = Lead(self.settings, token, self.saved, self.budget, self.room, self.now)

    def _lost(self) -> None:
        if self.lead is not None:
            self._take(self.lead.lost())
            self.lead = None
            self._root("")

    def _promise(self, epoch: int, holder: str) -> None:
        self._lost()
        self.promised = epoch
        self.agreed = self.taken = self.saved.settled
        self.asked, self.owes, self.gather = None, "", None
        self._root(holder)

    def _root(self, holder: str) -> None:
        root = said.Root(self.promised, holder)
        if root != self.root:
            self.root = root
            self.out.append(root)

    def _follows(self, sender: str, epoch: int) -> bool:
        """Whether a holder's word counts; from now on none of a lower epoch does."""
        if epoch < self.promised:
            self.counts.stale += 1
            self._say(sender, said.Outdated(self.promised))
            return False
        if epoch > self.promised:
            self._promise(epoch, sender)
        elif self.lead is not None:
            self.counts.refused += 1
            return False
        self._root(sender)
        return True

    # Words

    def _hear(self, sender: str, word: Word) -> None:
        match word:
            case said.Survey(epoch):
                if self._follows(sender, epoch):
                    self.asked = sender, word
            case said.Keep(epoch):
                if self._follows(sender, epoch):
                    self._keep(sender, word)
            case said.Written() if self.lead is not None:
                self.lead.written(sender, word)
            case said.Kept() if self.lead is not None:
                self._take(self.lead.kept(self.now, sender, word))
            case said.Outdated(epoch) if self.lead is not None and epoch > self.lead.epoch:
                self._promise(epoch, "")
            case said.Fetch():
                self._rows(sender, word)
            case said.Table():
                self._table(sender, word)
            case _:
                self.counts.stale += 1

    def _keep(self, sender: str, word: said.Keep) -> None:
        """Write down what follows; a hole is told by how far all is written."""
        if not word.entries:
            # all that was taken over lasts, by a majority: what else is here was never acknowledged
            last = max(self.taken, word.first - 1)
            waiting = [r.first + len(r.entries) - 1 for r in self._pending() if isinstance(r, at.Write)]
            if max([self.saved.last, *waiting]) > last and at.Cut(last) not in self.records:
                self.records.append(at.Cut(last))
        skip = self.taken + 1 - word.first
        fresh = word.entries[skip:] if skip >= 0 else ()
        if fresh and self.taken - self.agreed < MOST_FLIGHT:
            self.records.append(at.Write(self.taken + 1, word.epoch, fresh))
            self.taken += len(fresh)
        self.known = max(self.known, word.settled)
        if self.taken == self.agreed:
            self.owes = sender  # else it is answered for what is being written

    def _written(self, sender: str, survey: said.Survey) -> None:
        """Answer a survey, as far as the budget goes; it is asked again for the rest."""
        saved, after = self.saved, survey.after
        if after < saved.base:
            self._say(sender, table_from(self.promised, saved, b"", self.room))
            return
        while True:
            entries: tuple[Entry, ...] = ()
            under = 0
            if after < saved.last:
                here = after - saved.base
                count = max(1, fitting(saved.entries, here, self.room - WRITTEN))
                under = saved.unders[here]
                same = next((i for i in range(count) if saved.unders[here + i] != under), count)
                entries = saved.part(after + 1, same)
            self.budget.spend()
            word = said.Written(survey.epoch, after + 1, under, entries, saved.last, saved.settled)
            self._say(sender, word)
            after += len(entries)
            if after >= saved.last or self.budget.left <= 0:
                return

    # A log that begins behind where this one ends

    def _rows(self, sender: str, word: said.Fetch) -> None:
        after = word.after
        for _ in range(MOST_BURST):
            if self.budget.left <= 0:
                return
            self.budget.spend()
            table = table_from(word.epoch, self.saved, after, self.room)
            self._say(sender, table)
            if not table.more:
                return
            after = table.rows[-1][1].subject

    def _table(self, sender: str, word: said.Table) -> None:
        """Take rows in order; guards what lasts: nothing that is known here is replaced by older."""
        if self.lead is not None:
            if word.epoch != self.lead.epoch or self.lead.phase is not Phase.SURVEY:
                return
        elif not self._follows(sender, word.epoch):
            return
        if word.upto <= self.saved.settled:
            return
        gather = self.gather
        if gather is None or (gather.sender, gather.upto) != (sender, word.upto):
            lately = gather is not None and self.now - gather.at < PATIENCE * self.settings.pause
            if word.after or (gather is not None and (gather.whole or (lately and gather.sender != sender))):
                return
            gather = self.gather = Gather(sender, word.upto)
        if gather.whole or word.after != gather.after:
            return
        gather.rows += word.rows
        gather.came, gather.at = gather.came + 1, self.now
        gather.whole = not word.more
        if gather.whole:
            self.records.append(at.Snapshot(word.upto, tuple(gather.rows)))
        elif word.rows:
            gather.after = word.rows[-1][1].subject

    def _fetch(self) -> None:
        gather = self.gather
        if gather is None or gather.whole:
            return
        if self.now >= gather.ask_at or gather.came >= MOST_BURST:
            gather.came, gather.ask_at = 0, self.now + self.settings.pause
            self._say(gather.sender, said.Fetch(self.promised, gather.after))

    # The disk

    def _stored(self, event: Stored) -> None:
        if not self.storing or event.number != self.store:
            return
        records, self.storing = self.storing, ()
        self.why = event.why
        if event.why:
            # guards the log: what was to follow on what failed follows on nothing
            self.records = []
            self.taken = self.agreed
            self.retry_at = self.now + self.settings.pause
            self.gather = None
            if self.lead is not None:
                self._take(self.lead.failed(event.why))
            return
        for record in records:
            self.saved.take(record)
            match record:
                case at.Lasts(number):
                    self.lasting = number
                case at.Write(first, under, entries) if under == self.promised:
                    self.agreed = max(self.agreed, first + len(entries) - 1)
                    self.owes = self.root.holder
                case at.Snapshot(upto):
                    self.agreed, self.taken = max(upto, self.agreed), max(upto, self.taken)
                    if self.gather is not None and self.gather.upto <= upto:
                        self.gather, self.owes = None, self.root.holder
        if self.lead is not None:
            self.owes = ""
            self._take(self.lead.stored(self.now))

    def _serve(self) -> None:
        """Do what is due."""
        if self.lead is not None:
            self._take(self.lead.tick(self.now))
        self._learn()
        if self.lead is not None and self.lead.open:
            self._root(self.settings.name)
        self._fetch()
        on_disk = self.saved.promised >= self.promised
        if self.asked is not None and on_disk:
            self._written(*self.asked)
            self.asked = None
        if self.owes and on_disk:
            self._say(self.owes, said.Kept(self.promised, self.agreed))
            self.owes = ""
        self._write_down()
        self.out.append(said.Wake(self._next()))

    def _learn(self) -> None:
        """Tell the node what lasts: in order, each entry once in a process."""
        saved = self.saved
        if self.lead is not None and self.lead.phase is Phase.WRITE:
            self.known = max(self.known, self.lead.settled)
        saved.settled = max(saved.settled, min(self.known, self.agreed))
        if self.told < saved.base:
            self.out.append(said.Forget(self.told + 1, saved.base))
            rows = (saved.table[subject] for subject in saved.subjects)
            self.out += [said.Restore(number, change) for number, change in rows if number > self.told]
            self.told = saved.base
        while self.told < saved.settled:
            entries = saved.part(self.told + 1, min(MOST_TOLD, saved.settled - self.told))
            self.out.append(said.Settled(self.promised, self.told + 1, entries))
            self.told += len(entries)

    def _pending(self) -> tuple[Record, ...]:
        return (*self.storing, *self.records)

    def _write_down(self) -> None:
        """One store at a time: what comes meanwhile shares the next sync."""
        saved, pending = self.saved, self._pending()
        if saved.promised < self.promised and at.Promise(self.promised) not in pending:
            self.records.append(at.Promise(self.promised))
        upto = min(saved.last - self.settings.control_tail, saved.settled)
        full = len(saved.entries) > KEEPS_MORE * self.settings.control_tail
        if full and upto > saved.base and not any(isinstance(r, at.Snapshot) for r in pending):
            self.records.append(saved.fold(upto))
        if not self.records or self.storing or self.now < self.retry_at:
            return
        if saved.settled > self.lasting:
            self.records.append(at.Lasts(saved.settled))
        self.store += 1
        self.storing, self.records = tuple(self.records), []
        self.out.append(at.Store(self.store, self.storing))

    def _next(self) -> float:
        times = [math.inf]
        if self.lead is not None:
            times.append(self.lead.next(self.now))
        if self.gather is not None and not self.gather.whole:
            times.append(self.gather.ask_at)
        if self.records and not self.storing:
            times.append(self.retry_at)
        return min(times)

    def status(self, now: float) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
        return {
            "epoch": self.promised,
            "holder": self.root.holder,
            "first": self.saved.base + 1,
            "last": self.saved.last,
            "settled": self.saved.settled,
            "subjects": len(self.saved.table),
            "gathers_from": self.gather.sender if self.gather is not None else "",
            "disk": self.why,
            "dropped": {"stale": self.counts.stale, "refused": self.counts.refused},
            "lead": self.lead.status() if self.lead is not None else None,
        }
