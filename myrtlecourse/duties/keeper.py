"""Keeps one router's part in the duties of its fleet: the socket, the memory on disk, and what is done."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.codec import DutyCodec, split
from myrtlecourse.duties.core import Duties
from myrtlecourse.duties.memory import write_memories
from myrtlecourse.duties.message_log import MessageLog
from myrtlecourse.election import messages as election
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.end import End, Endpoint
from myrtlecourse.peers.records import started
from myrtlecourse.peers.wire import Wire

LOOK = 0.1  # seconds between looks at whether this process can hold a duty, and at what holders have to do
MOST_AFTER = 1000  # words that wait for the disk
AGAIN = 0.2  # seconds until listening is tried again, where the process before this one still does
# what rests on votes and orders that were taken; a lease rests on the wait after a start
PROMISES = (election.Ask, election.Grant, said.Known, said.Taken)
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class Work(Protocol):
    """What a duty's holder does."""

    def took(self, token: int, value: said.Value) -> None:
        """It is this process's, until `lost`; to be asked of the keeper again before each effect."""

    def lost(self) -> None:
        """It is not any more: begin nothing."""

    def settled(self, token: int, number: int) -> None:
        """An order of this holder will last."""

    def look(self) -> None:
        """Called every LOOK seconds."""

    async def close(self) -> None:
        """End what is under way."""


class Keeper(End[tuple[said.Item, ...]]):
    """One router's end."""

    def __init__(
        self,
        settings: said.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        memory: Path | None,
        saved: dict[str, said.Memory] | None,
        able: Callable[[], bool],
    ) -> None:
        """`able` says whether this router can hold duties now; `saved` is what was read from `memory`."""
        chance = random.SystemRandom()
        start = chance.getrandbits(62) + 1
        super().__init__(Wire(settings.name, settings.members, keys[0], start, DutyCodec(), keys[1]), peers)
        self.settings = settings
        self.memory = memory
        self.unwritten: dict[str, said.Memory] | None = None  # what must last
        self.stamped: dict[str, float] = {}  # when a stamp last went out alone
        self.writing: asyncio.Task[None] | None = None
        self.after: list[said.Say | said.Settled] = []  # what must not be done before it does
        self.able = able
        now, floor = time.monotonic(), started(time.time())
        self.duties = Duties(settings, saved, now, chance.getrandbits(32), floor)
        self.works: dict[str, Work] = {}
        self.abilities: dict[str, Callable[[], bool]] = {}  # of duties that ask for more
        self.running: list[asyncio.Task[None]] = []
        self.looked_at = now
        self.moves: list[str] = []  # the last few, for staff
        self.followed: dict[str, str] = {}  # by duty: whose order was obeyed last, and under which token
        self.closing = False
        self.message_log = MessageLog()

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Listen, and begin; where another process of this router may still listen (`shared`, at an upgrade)
        once that one has let go. Raises OSError."""
        if shared:
            self.running.append(asyncio.create_task(self._listen_later(bind)))
        else:
            await self._listen(bind)

    async def _listen(self, bind: Endpoint) -> None:
        log.info("duties: other routers are heard on %s:%d", *await self.listen(bind))
        for name in self.settings.members:
            if name != self.settings.name:
                self.send(name, self.wire.hello(name))
        self.looked_at = time.monotonic()
        self.running.append(asyncio.create_task(self._look()))

    async def _listen_later(self, bind: Endpoint) -> None:
        while self.transport is None:
            try:
                await self._listen(bind)
            except OSError:
                await asyncio.sleep(AGAIN)

    async def _look(self) -> None:
        """Tell whether this process can hold a duty; a loop that stood still can't."""
        while True:
            now = time.monotonic()
            stood = now - self.looked_at > self.settings.unwell + LOOK
            self.looked_at = now
            self.post(said.Able(self.able() and not stood and not self.closing))
            for duty, able in self.abilities.items():
                self.post(said.Able(able(), duty))
            for work in self.works.values():
                work.look()
            await asyncio.sleep(LOOK)

    def may(self, duty: str) -> int | None:
        """The token to act for a duty with at this very moment, or None."""
        return self.duties.may(time.monotonic(), duty)

    def heard(self, sender: str, message: tuple[said.Item, ...]) -> None:
        self.message_log.received(sender, message)
        self.post(said.Heard(sender, message))

    def post(self, event: said.Event) -> None:
        """Let the duties hear of something, and carry out what they answer. Raises DutiesError."""
        for action in self.duties.handle(time.monotonic(), event):
            self._carry_out(action)

    def _carry_out(self, action: said.Action) -> None:
        match action:
            case said.Save(memories) if self.memory is not None:
                self.unwritten = memories
                if self.writing is None:
                    self.writing = asyncio.create_task(self._write(self.memory))
            case said.Say(to, items):
                self.message_log.sent(to, items)
                self._say(to, tuple(i for i in items if not isinstance(i[1], PROMISES)))
                if promises := tuple(i for i in items if isinstance(i[1], PROMISES)):
                    self._once_written(said.Say(to, promises))
            case said.Settled():
                self._once_written(action)
            case said.Took() | said.Lost():
                self._tell_work(action)
            case said.Obeys():
                self._obeyed(action)
            case said.Rests(duty, since):
                self.followed.pop(duty, None)
                log.info("duty %s: obeys nobody since %.6f", duty, since)
            case said.Wake(at):
                self.call_at(at, lambda: self.post(said.Woke()))

    def _tell_work(self, action: said.Took | said.Lost | said.Settled) -> None:
        """Let what is done for a duty begin, end or go on."""
        work = self.works.get(action.duty)
        match action:
            case said.Took(duty, token, value):
                self._note(duty, f"held here under token {token}, from state {list(value)}")
                if (lead := self.duties.leads.get(duty)) is not None and lead.guessed:
                    log.warning("duty %s: too few remember what was ordered: it may be forgotten", duty)
                if work is not None:
                    work.took(token, value)
            case said.Lost(duty, why):
                self._note(duty, f"held here no more: {why}")
                if work is not None:
                    work.lost()
            case said.Settled(_, token, number) if work is not None:
                work.settled(token, number)

    def _obeyed(self, order: said.Obeys) -> None:
        whom = f"{order.holder} under token {order.token}"
        if self.followed.get(order.duty) != whom:
            self.followed[order.duty] = whom
            log.info("duty %s: obeys %s from %.6f", order.duty, whom, time.monotonic())

    def _once_written(self, action: said.Say | said.Settled) -> None:
        """Guards promises: not one goes out before it is on the disk."""
        if self.writing is not None:
            if len(self.after) >= MOST_AFTER:
                self._drop_words()
            self.after.append(action)
            if isinstance(action, said.Say):
                self._give_stamps(action)
        elif isinstance(action, said.Say):
            self._say(action.to, action.items)
        else:
            self._tell_work(action)

    def _drop_words(self) -> None:
        """Guards memory against a disk that hangs: a word that is late is of no use, and will be asked for
        again. What has settled has to be told all the same."""
        self.after = [action for action in self.after if isinstance(action, said.Settled)]

    def _give_stamps(self, say: said.Say) -> None:
        """Guards orders against a slow disk: until an answer may go, its stamp does, else they run out."""
        now = time.monotonic()
        heard = tuple((duty, m) for duty, m in say.items if isinstance(m, said.Taken))
        if not heard or now - self.stamped.get(say.to, 0.0) < self.settings.heartbeat / 2:
            return
        self.stamped[say.to] = now
        self._say(say.to, tuple((d, said.Taken(m.token, m.number, False, m.stamp)) for d, m in heard))

    async def _write(self, path: Path) -> None:
        """Write down what must last, beside the event loop: a disk may take longer than a lease."""
        while self.unwritten is not None or self.after:
            memories, after = self.unwritten, self.after
            self.unwritten, self.after = None, []
            try:
                if memories is not None:
                    await asyncio.to_thread(write_memories, path, memories)
            except OSError as e:
                bounded.log(logging.ERROR, "the memory can't be written, no promise is given: %s", e)
                self.unwritten, self.after = self.unwritten or memories, after + self.after
                self._drop_words()
                await asyncio.sleep(AGAIN)
                continue
            for action in after:
                if isinstance(action, said.Say):
                    self._say(action.to, action.items)
                else:
                    self._tell_work(action)
        self.writing = None

    def _say(self, to: str, items: tuple[said.Item, ...]) -> None:
        for part in split(items, self.wire.room):
            self.send(to, self.wire.pack(to, part))

    def _note(self, duty: str, text: str) -> None:
        log.info("duty %s: %s at %.6f", duty, text, time.monotonic())
        self.moves = [*self.moves[-19:], f"{time.strftime('%Y-%m-%d %H:%M:%S')} {duty}: {text}"]

    def change(
        self, settings: said.Settings, peers: dict[str, Endpoint], keys: tuple[bytes, tuple[bytes, ...]]
    ) -> None:
        """Take new settings and keys; one member, or one voter, may have come or gone.

        Raises:
            ValueError: more has changed than may; nothing is taken.
        """
        if peers[settings.name] != self.peers[settings.name]:
            raise said.DutiesError("name: it can't be heard elsewhere while it runs")
        if settings != self.settings:
            self.post(said.Changed(settings))
            self.settings = settings
            self.wire.members(settings.members)
        self.wire.seal.change(*keys)
        self.peers = peers

    def move(self, duty: str, to: str) -> str:
        """Hand a duty over; answers with why not, or nothing."""
        try:
            self.post(said.Move(duty, to))
        except said.DutiesError as e:
            return str(e)
        return ""

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
        told = self.duties.status(time.monotonic())
        return told | {
            "able": self.able(),
            "sent": self.sent,
            "bytes_sent": self.bytes_sent,
            "dropped": dict(self.wire.dropped),
            "moves": self.moves,
        }

    async def close(self) -> None:
        """Give up what is held in order, and say so to the others."""
        self.closing = True
        held = [name for name in self.duties.duties if self.may(name) is not None]
        for name in held:
            self.move(name, "")
        for work in self.works.values():
            await work.close()
        until = time.monotonic() + 2 * self.settings.heartbeat
        while time.monotonic() < until and any(name in self.duties.leads for name in held):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        for task in self.running:
            task.cancel()
        if self.writing is not None:
            self.writing.cancel()
        self.leave()
