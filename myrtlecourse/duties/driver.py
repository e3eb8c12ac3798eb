"""Keeps one router's part in the duties of its fleet: the socket, the memory on disk, and what is done."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from myrtlecourse.duties import messages
from myrtlecourse.duties.codec import DutyCodec, split
from myrtlecourse.duties.core import Duties
from myrtlecourse.duties.memory import write_memories
from myrtlecourse.duties.message_log import MessageLog
from myrtlecourse.election import messages as election
from myrtlecourse.net.logs import BoundedLog
from myrtlecourse.peers.end import End, Endpoint
from myrtlecourse.peers.records import started
from myrtlecourse.peers.wire import Wire

POLL_INTERVAL = (
    0.1  # seconds between looks at whether this process can hold a duty, and at what holders have to do
)
MAX_WAITING = 1000  # words that wait for the disk
RETRY_PAUSE = 0.2  # seconds until listening is tried again, where the process before this one still does
# what rests on votes and orders that were taken; a lease rests on the wait after a start
PROMISES = (election.Ask, election.Grant, messages.Known, messages.Taken)
log = logging.getLogger(__name__)
bounded = BoundedLog(log)


class Work(Protocol):
    """What a duty's holder does."""

    def on_acquired(self, token: int, value: messages.Value) -> None:
        """It is this process's, until `lost`; to be asked of the keeper again before each effect."""

    def on_lost(self) -> None:
        """It is not any more: begin nothing."""

    def on_committed(self, token: int, number: int) -> None:
        """An order of this holder will last."""

    def poll(self) -> None:
        """Called every LOOK seconds."""

    async def close(self) -> None:
        """End what is under way."""


class DutyDriver(End[tuple[messages.Item, ...]]):
    """One router's end."""

    def __init__(
        self,
        settings: messages.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        memory: Path | None,
        saved: dict[str, messages.Memory] | None,
        able: Callable[[], bool],
    ) -> None:
        """`able` says whether this router can hold duties now; `saved` is what was read from `memory`."""
        rng = random.SystemRandom()
        start = rng.getrandbits(62) + 1
        super().__init__(Wire(settings.name, settings.members, keys[0], start, DutyCodec(), keys[1]), peers)
        self.settings = settings
        self.memory = memory
        self.unwritten: dict[str, messages.Memory] | None = None  # what must last
        self.stamp_sent_at: dict[str, float] = {}  # when a stamp last went out alone
        self.writing: asyncio.Task[None] | None = None
        self.waiting_for_disk: list[
            messages.Send | messages.Committed
        ] = []  # what must not be done before it does
        self.able = able
        now, floor = time.monotonic(), started(time.time())
        self.duties = Duties(settings, saved, now, rng.getrandbits(32), floor)
        self.works: dict[str, Work] = {}
        self.abilities: dict[str, Callable[[], bool]] = {}  # of duties that ask for more
        self.running: list[asyncio.Task[None]] = []
        self.polled_at = now
        self.moves: list[str] = []  # the last few, for staff
        self.obeyed_holders: dict[
            str, str
        ] = {}  # by duty: whose order was obeyed last, and under which token
        self.closing = False
        self.message_log = MessageLog()

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Listen, and begin; where another process of this router may still listen (`shared`, at an upgrade)
        once that one has let go. Raises OSError."""
        if shared:
            self.running.append(asyncio.create_task(self._listen_when_free(bind)))
        else:
            await self._listen(bind)

    async def _listen(self, bind: Endpoint) -> None:
        log.info("duties: other routers are heard on %s:%d", *await self.listen(bind))
        for name in self.settings.members:
            if name != self.settings.name:
                self.send(name, self.wire.hello(name))
        self.polled_at = time.monotonic()
        self.running.append(asyncio.create_task(self._poll()))

    async def _listen_when_free(self, bind: Endpoint) -> None:
        while self.transport is None:
            try:
                await self._listen(bind)
            except OSError:
                await asyncio.sleep(RETRY_PAUSE)

    async def _poll(self) -> None:
        """Tell whether this process can hold a duty; a loop that stood still can't."""
        while True:
            now = time.monotonic()
            stalled = now - self.polled_at > self.settings.unwell + POLL_INTERVAL
            self.polled_at = now
            self.post(messages.AbilityReported(self.able() and not stalled and not self.closing))
            for duty, able in self.abilities.items():
                self.post(messages.AbilityReported(able(), duty))
            for work in self.works.values():
                work.poll()
            await asyncio.sleep(POLL_INTERVAL)

    def acting_token(self, duty: str) -> int | None:
        """The token to act for a duty with at this very moment, or None."""
        return self.duties.acting_token(time.monotonic(), duty)

    def accepted(self, sender: str, message: tuple[messages.Item, ...]) -> None:
        self.message_log.received(sender, message)
        self.post(messages.MessagesReceived(sender, message))

    def post(self, event: messages.Event) -> None:
        """Let the duties hear of something, and carry out what they answer. Raises DutiesError."""
        for action in self.duties.handle(time.monotonic(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Save(memories) if self.memory is not None:
                self.unwritten = memories
                if self.writing is None:
                    self.writing = asyncio.create_task(self._write(self.memory))
            case messages.Send(to, items):
                self.message_log.sent(to, items)
                self._send_items(to, tuple(i for i in items if not isinstance(i[1], PROMISES)))
                if promises := tuple(i for i in items if isinstance(i[1], PROMISES)):
                    self._send_once_written(messages.Send(to, promises))
            case messages.Committed():
                self._send_once_written(action)
            case messages.Acquired() | messages.Lost():
                self._notify_work(action)
            case messages.Obeys():
                self._log_obeyed(action)
            case messages.ObeysNobody(duty, since):
                self.obeyed_holders.pop(duty, None)
                log.info("duty %s: obeys nobody since %.6f", duty, since)
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def _notify_work(self, action: messages.Acquired | messages.Lost | messages.Committed) -> None:
        """Let what is done for a duty begin, end or go on."""
        work = self.works.get(action.duty)
        match action:
            case messages.Acquired(duty, token, value):
                self._record_change(duty, f"held here under token {token}, from state {list(value)}")
                if (holding := self.duties.holdings.get(duty)) is not None and holding.state_uncertain:
                    log.warning("duty %s: too few remember what was ordered: it may be forgotten", duty)
                if work is not None:
                    work.on_acquired(token, value)
            case messages.Lost(duty, reason):
                self._record_change(duty, f"held here no more: {reason}")
                if work is not None:
                    work.on_lost()
            case messages.Committed(_, token, number) if work is not None:
                work.on_committed(token, number)

    def _log_obeyed(self, order: messages.Obeys) -> None:
        holder = f"{order.holder} under token {order.token}"
        if self.obeyed_holders.get(order.duty) != holder:
            self.obeyed_holders[order.duty] = holder
            log.info("duty %s: obeys %s from %.6f", order.duty, holder, time.monotonic())

    def _send_once_written(self, action: messages.Send | messages.Committed) -> None:
        """Guards promises: not one goes out before it is on the disk."""
        if self.writing is not None:
            if len(self.waiting_for_disk) >= MAX_WAITING:
                self._drop_waiting_messages()
            self.waiting_for_disk.append(action)
            if isinstance(action, messages.Send):
                self._send_stamps(action)
        elif isinstance(action, messages.Send):
            self._send_items(action.to, action.items)
        else:
            self._notify_work(action)

    def _drop_waiting_messages(self) -> None:
        """Guards memory against a disk that hangs: a word that is late is of no use, and will be asked for
        again. What has settled has to be told all the same."""
        self.waiting_for_disk = [
            action for action in self.waiting_for_disk if isinstance(action, messages.Committed)
        ]

    def _send_stamps(self, outgoing: messages.Send) -> None:
        """Guards orders against a slow disk: until an answer may go, its stamp does, else they run out."""
        now = time.monotonic()
        accepted = tuple((duty, m) for duty, m in outgoing.items if isinstance(m, messages.Taken))
        if not accepted or now - self.stamp_sent_at.get(outgoing.to, 0.0) < self.settings.heartbeat / 2:
            return
        self.stamp_sent_at[outgoing.to] = now
        self._send_items(
            outgoing.to, tuple((d, messages.Taken(m.token, m.number, False, m.stamp)) for d, m in accepted)
        )

    async def _write(self, path: Path) -> None:
        """Write down what must last, beside the event loop: a disk may take longer than a lease."""
        while self.unwritten is not None or self.waiting_for_disk:
            memories, waiting_for_disk = self.unwritten, self.waiting_for_disk
            self.unwritten, self.waiting_for_disk = None, []
            try:
                if memories is not None:
                    await asyncio.to_thread(write_memories, path, memories)
            except OSError as e:
                bounded.log(logging.ERROR, "the memory can't be written, no promise is given: %s", e)
                self.unwritten, self.waiting_for_disk = (
                    self.unwritten or memories,
                    waiting_for_disk + self.waiting_for_disk,
                )
                self._drop_waiting_messages()
                await asyncio.sleep(RETRY_PAUSE)
                continue
            for action in waiting_for_disk:
                if isinstance(action, messages.Send):
                    self._send_items(action.to, action.items)
                else:
                    self._notify_work(action)
        self.writing = None

    def _send_items(self, to: str, items: tuple[messages.Item, ...]) -> None:
        for part in split(items, self.wire.room):
            self.send(to, self.wire.pack(to, part))

    def _record_change(self, duty: str, text: str) -> None:
        log.info("duty %s: %s at %.6f", duty, text, time.monotonic())
        self.moves = [*self.moves[-19:], f"{time.strftime('%Y-%m-%d %H:%M:%S')} {duty}: {text}"]

    def change(
        self, settings: messages.Settings, peers: dict[str, Endpoint], keys: tuple[bytes, tuple[bytes, ...]]
    ) -> None:
        """Take new settings and keys; one member, or one voter, may have come or gone.

        Raises:
            ValueError: more has changed than may; nothing is taken.
        """
        if peers[settings.name] != self.peers[settings.name]:
            raise messages.DutiesError("name: it can't be heard elsewhere while it runs")
        if settings != self.settings:
            self.post(messages.SettingsChanged(settings))
            self.settings = settings
            self.wire.members(settings.members)
        self.wire.seal.change(*keys)
        self.peers = peers

    def move(self, duty: str, to: str) -> str:
        """Hand a duty over; answers with why not, or nothing."""
        try:
            self.post(messages.Move(duty, to))
        except messages.DutiesError as e:
            return str(e)
        return ""

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
        status = self.duties.status(time.monotonic())
        return status | {
            "able": self.able(),
            "sent": self.sent,
            "bytes_sent": self.bytes_sent,
            "dropped": dict(self.wire.dropped),
            "moves": self.moves,
        }

    async def close(self) -> None:
        """Give up what is held in order, and say so to the others."""
        self.closing = True
        held = [name for name in self.duties.duties if self.acting_token(name) is not None]
        for name in held:
            self.move(name, "")
        for work in self.works.values():
            await work.close()
        until = time.monotonic() + 2 * self.settings.heartbeat
        while time.monotonic() < until and any(name in self.duties.holdings for name in held):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        for task in self.running:
            task.cancel()
        if self.writing is not None:
            self.writing.cancel()
        self.leave()
