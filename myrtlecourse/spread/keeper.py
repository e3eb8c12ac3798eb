"""Keeps one process's part in the spread: its socket, its node and, at a control machine, the log."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.end import End, Endpoint
from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import head_events as of_head
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.applied import Applied
from myrtlecourse.spread.codec import SpreadCodec
from myrtlecourse.spread.head import Head
from myrtlecourse.spread.log_file import LogFile
from myrtlecourse.spread.node import Node

AGAIN = 0.2  # seconds until listening is tried again, where the process before this one still does
MOST_TICKETS = 1000  # entries that are proposed here and not answered
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)
Answered = Callable[[of_head.Acknowledge | of_head.Refuse], None]


class Keeper(End[tuple[said.Word, ...]]):
    """One process's end."""

    def __init__(
        self,
        settings: said.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        applied: Path | None = None,
        applied_bytes: int = 2**26,
        folder: Path | None = None,
    ) -> None:
        """`folder` has the log, at control machines. Raises ValueError when a key is too short."""
        self.chance = random.SystemRandom()
        start = self.chance.getrandbits(62) + 1
        members = settings.control + tuple(m for s in settings.sites for m in (*s.routers, *s.parts))
        super().__init__(Wire(settings.name, members, keys[0], start, SpreadCodec(), keys[1]), peers)
        self.settings = settings
        self.folder = folder
        self.applied_file = applied
        self.applied_bytes = applied_bytes
        self.applied: Applied | None = None
        self.log: LogFile | None = None
        self.node: Node | None = None  # from when it listens
        self.head: Head | None = None
        # the token to write the log with at this very moment, or None
        self.may: Callable[[], int | None] = lambda: None
        self.token = 0  # that the head writes under; 0: it does not
        self.holder = ""  # as is known here
        self.tickets: dict[int, Answered] = {}
        self.ticket = 0
        self.done: said.Done | None = None  # the last that was told here, as the root
        self.wakes = {"node": math.inf, "head": math.inf}
        self.due = math.inf
        self.running: list[asyncio.Task[None]] = []
        self.storing: asyncio.Task[None] | None = None
        self.failed = ""  # why this process takes no part any more

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Listen, and begin; where another process of this router may still listen (`shared`, at an upgrade)
        once that one has let go: log and applied file are its until then.

        Raises:
            OSError: the address or a file can't be had.
            LogError: what the folder holds is no log.
        """
        if shared:
            self.running.append(asyncio.create_task(self._begin_later(bind)))
        else:
            await self._begin(bind)

    async def _begin_later(self, bind: Endpoint) -> None:
        while True:
            try:
                return await self._begin(bind)
            except OSError as e:
                bounded.log(logging.INFO, "spread: not begun yet: %s", e)
                await asyncio.sleep(AGAIN)
            except of_head.LogError as e:
                return self._fail(str(e))

    async def _begin(self, bind: Endpoint) -> None:
        at = await self.listen(bind)
        try:
            if self.applied_file is not None:
                self.applied = Applied(self.applied_file, self.applied_bytes)
            if self.folder is not None:
                # beside the event loop: a long log takes longer than clients may wait
                self.log = await asyncio.to_thread(LogFile, self.folder)
        except (OSError, of_head.LogError):
            self.leave()
            raise
        now = time.monotonic()
        self.node = Node(self.settings, now, self.chance.getrandbits(32))
        if self.log is not None:
            self.head = Head(self.settings, self.log.saved, now)
            self.tell_head(said.Woke())
        self.tell_node(said.Woke())
        log.info("spread: members are heard on %s:%d", *at)
        if self.applied is not None:
            self.running.append(asyncio.create_task(self._vouch()))

    async def _vouch(self) -> None:
        """Repeat whether this member vouches for itself: who follows the file can't know that it lives."""
        while self.applied is not None and self.node is not None and not self.failed:
            self._carry_out([said.Vouches(self.node.vouches(time.monotonic()))])
            await asyncio.sleep(self.settings.lease / 4)

    # What comes, and what is answered

    def heard(self, sender: str, message: tuple[said.Word, ...]) -> None:
        of_heads = tuple(word for word in message if isinstance(word, said.OF_HEADS))
        of_nodes = tuple(word for word in message if not isinstance(word, said.OF_HEADS))
        if of_heads:
            self.tell_head(said.Heard(sender, of_heads))
        if of_nodes:
            self.tell_node(said.Heard(sender, of_nodes))

    def tell_node(self, event: said.Event) -> None:
        """Let the node hear of something, and carry out what it answers."""
        if self.node is not None and not self.failed:
            self._carry_out(self.node.handle(time.monotonic(), event), "node")

    def tell_head(self, event: of_head.HeadEvent) -> None:
        """The same of the head, where there is one."""
        if self.head is None or self.failed:
            return
        # guards the log: a process that stood still hears first that it is followed, and then what has come
        if not self._writes() and self.token:
            self.token = 0
            self._carry_out(self.head.handle(time.monotonic(), of_head.Lost()), "head")
        self._carry_out(self.head.handle(time.monotonic(), event), "head")

    def _writes(self) -> bool:
        """Whether the log is this process's to write at this very moment."""
        return bool(self.token) and self.may() == self.token

    def took(self, token: int) -> None:
        """The log is this process's to write."""
        self.token = token
        self.tell_head(of_head.Took(token))

    def lost(self) -> None:
        """It is not any more."""
        if self.token:
            self.token = 0
            self.tell_head(of_head.Lost())

    def propose(self, entry: said.Entry, answered: Answered) -> None:
        """Let an entry last; answered once, some time later. Raises SpreadError, and then it is not taken."""
        said.checked_entry(entry)
        self.tell_head(said.Woke())  # it may have been followed since
        if not self._writes():
            raise said.SpreadError(f"the log is not written here; its holder is {self.holder or 'not known'}")
        if len(self.tickets) >= MOST_TICKETS:
            raise said.SpreadError(f"{MOST_TICKETS} entries wait already")
        self.ticket += 1
        self.tickets[self.ticket] = answered
        self.tell_head(of_head.Propose(self.ticket, entry))

    def _carry_out(self, actions: list[Any], of: str = "") -> None:
        for action in actions:
            match action:
                case said.Say(to, words):
                    self._write_applied()  # before anybody hears of it
                    self.send(to, self.wire.pack(to, words))
                case said.Apply() | said.Forget() | said.Restore() | said.Vouches() | said.Done():
                    self._told(action)
                case said.Settled() | said.Root():
                    self.holder = action.holder if isinstance(action, said.Root) else self.holder
                    self.tell_node(action)
                case of_head.Store():
                    self.storing = asyncio.create_task(self._store(action))
                case of_head.Acknowledge(ticket) | of_head.Refuse(ticket):
                    self.tickets.pop(ticket)(action)
                case said.Wake(at):
                    self.wakes[of] = at
            if self.failed:
                return
        self._write_applied()
        self._wake_at(min(self.wakes.values()))

    def _told(self, action: said.Action) -> None:
        if isinstance(action, said.Done):
            self.done = action
        if isinstance(action, said.Vouches) and self.applied is None:
            log.info("spread: vouches for itself: %s", "yes" if action.may else "no")
        if self.applied is not None:
            self.applied.add(action)

    def _write_applied(self) -> None:
        """Guards completion: nothing is reported that programs on this host can't see."""
        try:
            if self.applied is not None:
                self.applied.write()
        except OSError as e:
            self._fail(f"what is applied can't be written: {e}")

    async def _store(self, store: of_head.Store) -> None:
        """Write to the log beside the event loop: a disk may take longer than a lease."""
        assert self.log is not None
        why = ""
        try:
            await asyncio.to_thread(self.log.append, store.records)
        except OSError as e:
            why = str(e)
            bounded.log(logging.ERROR, "spread: the log can't be written: %s", e)
        self.tell_head(of_head.Stored(store.number, why))

    def _fail(self, why: str) -> None:
        """Fall silent: then this member's lease runs out, and others wait for it no longer than that."""
        log.error("spread: this process takes no part any more: %s", why)
        self.failed = why
        self.leave()

    # Time

    def _wake_at(self, at: float) -> None:
        if at != self.due:
            self.due = at
            self.call_at(at, self._woke)

    def _woke(self) -> None:
        self.due = math.inf
        now = time.monotonic()
        if self.wakes["head"] <= now:
            self.wakes["head"] = math.inf
            self.tell_head(said.Woke())
        if self.wakes["node"] <= now:
            self.wakes["node"] = math.inf
            self.tell_node(said.Woke())
        self._wake_at(min(self.wakes.values()))

    # For staff

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able. Times in seconds."""
        now = time.monotonic()
        return {
            "name": self.settings.name,
            "holder": self.holder,
            "writes": self._writes(),
            "vouches": self.node is not None and not self.failed and self.node.vouches(now),
            "failed": self.failed,
            "done": None if self.done is None else [self.done.number, self.done.members, self.done.away],
            "node": self.node.status(now) if self.node is not None else None,
            "head": self.head.status(now) if self.head is not None else None,
            "sent": self.sent,
            "bytes_sent": self.bytes_sent,
            "dropped": dict(self.wire.dropped),
        }

    async def close(self) -> None:
        """Say no more, and leave the address, the log and the file to the process that follows."""
        for task in self.running:
            task.cancel()
        self.lost()
        self.failed = self.failed or "it has ended"
        if self.storing is not None:
            await self.storing
        # guards the start of the process that follows: it takes the log once it has the address
        if self.log is not None:
            self.log.close()
        if self.applied is not None:
            try:
                self.applied.close()
            except OSError as e:
                log.error("spread: what is applied can't be written: %s", e)
            self.applied = None
        self.leave()
