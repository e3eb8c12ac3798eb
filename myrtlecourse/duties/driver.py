"""The driver of one router's part in duties: it connects the core, which does no I/O, to the socket, the
clock, the memory file, and the work of a duty's holder."""

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
from myrtlecourse.duties.memory import MemoryFileError, read_memories, write_memories
from myrtlecourse.duties.message_log import MessageLog
from myrtlecourse.election import messages as election
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.peer_socket import Endpoint, PeerSocket
from myrtlecourse.peers.records import start_number
from myrtlecourse.peers.wire import Wire

# seconds between checks whether this process can hold a duty, and calls of its holders' work
POLL_INTERVAL = 0.1
MAX_WAITING = 1000  # actions that may wait for the disk
RETRY_PAUSE = 0.2  # seconds until another attempt to write the memory file
LAST_WRITE_TIMEOUT = 1.0  # seconds for which an ending process waits for a write of the memory file
# Messages that rely on stored votes or accepted orders, and are sent once these are on disk. Renewed promises
# are not stored; instead, a process grants nothing for the time of a lease after its start.
PROMISES = (election.Ask, election.Grant, messages.Known, messages.Taken)
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class Work(Protocol):
    """The work that the holder of a duty does."""

    def on_acquired(self, token: int, value: messages.Value) -> None:
        """Start the work, as this process has acquired the duty.

        The work must check `DutyDriver.acting_token` before each effect.
        """

    def on_lost(self) -> None:
        """Start nothing new, as this process has lost the duty."""

    def on_committed(self, token: int, number: int) -> None:
        """Handle that a majority of the members has accepted an order of this holder."""

    def poll(self) -> None:
        """Do timed work; called every POLL_INTERVAL seconds."""

    async def close(self) -> None:
        """End the work in progress."""


class DutyDriver(PeerSocket[tuple[messages.Item, ...]]):
    """Connects the duties of one router to its socket, clock and disk."""

    def __init__(
        self,
        settings: messages.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        memory: Path | None,
        able: Callable[[], bool],
    ) -> None:
        """Create the driver, which takes no part yet; `start` does.

        `able` returns whether this router can hold duties now; `memory` is the memory file.

        Raises:
            MemoryFileError: the memory file can't be used.
            ValueError: a key is too short.
        """
        rng = random.SystemRandom()
        start = rng.getrandbits(62) + 1
        super().__init__(Wire(settings.name, settings.members, keys[0], start, DutyCodec(), keys[1]), peers)
        self.settings = settings
        self.memory = memory
        self.unwritten: dict[str, messages.Memory] | None = None  # memories that are not on the disk yet
        # member -> when a stamp was last sent to it ahead of the answer, which waits for the disk
        self.stamp_sent_at: dict[str, float] = {}
        self.writing: asyncio.Task[None] | None = None
        # actions that must wait for the write to end
        self.waiting_for_disk: list[messages.Send | messages.Committed] = []
        self.able = able
        self.rng = rng
        self.duties = self._make_duties()
        self.works: dict[str, Work] = {}
        # duty -> whether this router meets the duty's own conditions
        self.abilities: dict[str, Callable[[], bool]] = {}
        self.running: list[asyncio.Task[None]] = []  # background tasks
        self.polled_at = time.monotonic()
        self.moves: list[str] = []  # the last changes, for operators
        self.obeyed_holders: dict[str, str] = {}  # duty -> the holder that was obeyed last, with its token
        self.closing = False
        self.message_log = MessageLog()

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Start to listen and takes part.

        If another process of this router may still listen (`shared`, during an upgrade), this one takes part
        once that has closed its socket. Raises OSError.
        """
        if shared:
            self.check_address(bind)
            self.running.append(asyncio.create_task(self._follow(bind)))
        else:
            self._take_part(await self.listen(bind))

    async def _follow(self, bind: Endpoint) -> None:
        """Take part after the previous process, with what it has promised and accepted until its end."""
        at = await self.listen_when_free(bind)
        try:
            self.duties = self._make_duties()
        except MemoryFileError as e:
            log.error("duties: this router takes no part: %s", e)
            self.close_socket()
            return
        self._take_part(at)

    def _make_duties(self) -> Duties:
        """Return the duties as stored; their elections grant nothing for a lease from now. Raises
        MemoryFileError."""
        saved = read_memories(self.memory) if self.memory is not None else None
        term_floor = start_number(time.time())
        return Duties(self.settings, saved, time.monotonic(), self.rng.getrandbits(32), term_floor)

    def _take_part(self, at: Endpoint) -> None:
        log.info("duties: listening for other routers on %s:%d", *at)
        self.greet_all()
        self.polled_at = time.monotonic()
        self.running.append(asyncio.create_task(self._poll()))

    async def _poll(self) -> None:
        """Report regularly whether this process can hold duties; it can't after a stall of its event loop."""
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
        """Return the token under which this process may act for a duty now, or None."""
        return self.duties.acting_token(time.monotonic(), duty)

    def message_received(self, sender: str, message: tuple[messages.Item, ...]) -> None:
        """Pass a datagram of another member on to the duties."""
        self.message_log.received(sender, message)
        self.post(messages.MessagesReceived(sender, message))

    def post(self, event: messages.Event) -> None:
        """Pass an event to the duties and carry out their actions. Raises DutiesError."""
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
                    self._do_once_written(messages.Send(to, promises))
            case messages.Committed():
                self._do_once_written(action)
            case messages.Acquired() | messages.Lost():
                self._notify_work(action)
            case messages.Obeys():
                self._log_holder(action)
            case messages.ObeysNobody(duty, since):
                self.obeyed_holders.pop(duty, None)
                log.info("duty %s: obeys nobody since %.6f", duty, since)
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def _notify_work(self, action: messages.Acquired | messages.Lost | messages.Committed) -> None:
        """Tell a duty's work that the duty was acquired or lost, or that an order is committed."""
        work = self.works.get(action.duty)
        match action:
            case messages.Acquired(duty, token, value):
                self._record_change(duty, f"held here under token {token}, from state {list(value)}")
                if (holding := self.duties.holdings.get(duty)) is not None and holding.state_uncertain:
                    log.warning(
                        "duty %s: too few members remember the last orders; the state may be lost", duty
                    )
                if work is not None:
                    work.on_acquired(token, value)
            case messages.Lost(duty, reason):
                self._record_change(duty, f"held here no more: {reason}")
                if work is not None:
                    work.on_lost()
            case messages.Committed(_, token, number) if work is not None:
                work.on_committed(token, number)

    def _log_holder(self, order: messages.Obeys) -> None:
        holder = f"{order.holder} under token {order.token}"
        if self.obeyed_holders.get(order.duty) != holder:
            self.obeyed_holders[order.duty] = holder
            log.info("duty %s: obeys %s from %.6f", order.duty, holder, time.monotonic())

    def _do_once_written(self, action: messages.Send | messages.Committed) -> None:
        """Delay an action until the memory is on disk, so that no promise is sent before it is stored."""
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
        """Drop the waiting messages, so that a disk that hangs does not exhaust the memory.

        Late messages are of no use, and others will request them again; commits have to be reported all the
        same.
        """
        self.waiting_for_disk = [
            action for action in self.waiting_for_disk if isinstance(action, messages.Committed)
        ]

    def _send_stamps(self, outgoing: messages.Send) -> None:
        """Send the stamps of answers that wait for the disk.

        Orders repeat these stamps; without them, orders would expire while a slow disk writes.
        """
        now = time.monotonic()
        answers = tuple((duty, m) for duty, m in outgoing.items if isinstance(m, messages.Taken))
        if not answers or now - self.stamp_sent_at.get(outgoing.to, 0.0) < self.settings.heartbeat / 2:
            return
        self.stamp_sent_at[outgoing.to] = now
        self._send_items(
            outgoing.to, tuple((d, messages.Taken(m.token, m.number, False, m.stamp)) for d, m in answers)
        )

    async def _write(self, path: Path) -> None:
        """Write the memory file in a thread, as a disk may block for longer than a lease; then carry out the
        actions that waited for it."""
        while self.unwritten is not None or self.waiting_for_disk:
            memories, waiting_for_disk = self.unwritten, self.waiting_for_disk
            self.unwritten, self.waiting_for_disk = None, []
            try:
                if memories is not None:
                    await asyncio.to_thread(write_memories, path, memories)
            except OSError as e:
                bounded.log(
                    logging.ERROR, "duties: can't write the memory file, so no promise is sent: %s", e
                )
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
        for part in split(items, self.wire.max_message_size):
            self.send(to, self.wire.pack(to, part))

    def _record_change(self, duty: str, text: str) -> None:
        log.info("duty %s: %s at %.6f", duty, text, time.monotonic())
        self.moves = [*self.moves[-19:], f"{time.strftime('%Y-%m-%d %H:%M:%S')} {duty}: {text}"]

    def change(
        self, settings: messages.Settings, peers: dict[str, Endpoint], keys: tuple[bytes, tuple[bytes, ...]]
    ) -> None:
        """Apply new settings and keys; at most one member and one voter may have been added or removed.

        Raises:
            ValueError: more than that has changed; nothing is applied.
        """
        if peers[settings.name] != self.peers[settings.name]:
            raise messages.DutiesError("name: its address can't change while it runs")
        if settings != self.settings:
            if self.transport is not None:  # otherwise this process begins with the new settings
                self.post(messages.SettingsChanged(settings))
            self.settings = settings
            self.wire.set_members(settings.members)
        self.wire.seal.set_keys(*keys)
        self.peers = peers

    def move(self, duty: str, to: str) -> str:
        """Hand a duty over; return the reason if this is refused, else an empty string."""
        try:
            self.post(messages.Move(duty, to))
        except messages.DutiesError as e:
            return str(e)
        return ""

    def status(self) -> dict[str, Any]:
        """Return the state of all duties for operators, ready for JSON."""
        duties_status = self.duties.status(time.monotonic())
        return duties_status | {
            "able": self.able(),
            "sent": self.sent,
            "bytes_sent": self.bytes_sent,
            "dropped": dict(self.wire.dropped),
            "moves": self.moves,
        }

    async def close(self) -> None:
        """Hand over the duties that this process holds, wait until they are released, and close."""
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
            # the next process reads the file once it has the socket's address: nothing is written after that
            await asyncio.wait([self.writing], timeout=LAST_WRITE_TIMEOUT)
            if self.writing is not None:
                self.writing.cancel()
                return  # the socket is closed as the process ends, which waits for the write
        self.close_socket()
