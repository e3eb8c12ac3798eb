"""Connects one router's election for the service address to its socket, clock, votes file and link."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from myrtlecourse.address.codec import ElectionCodec
from myrtlecourse.address.handover import withdraw
from myrtlecourse.address.link import Link, LinkUpdater
from myrtlecourse.address.votes import VotesError, read_votes, write_votes
from myrtlecourse.election import messages
from myrtlecourse.election.core import Election, Role
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.peer_socket import Endpoint, PeerSocket
from myrtlecourse.peers.wire import Wire

POLL_INTERVAL = 0.1  # seconds between checks of whether this router can serve
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class AddressDriver(PeerSocket[messages.Message]):
    """Drives the election of one router."""

    def __init__(
        self,
        settings: messages.Settings,
        peers: dict[str, Endpoint],
        key: bytes,
        link: Link,
        votes_file: Path | None,
        able: Callable[[], bool],
        on_change: Callable[[bool], None],
        wait_until_drained: Callable[[], Awaitable[None]],
        further_keys: tuple[bytes, ...] = (),
    ) -> None:
        """Create the driver; `start` opens its socket.

        Raises:
            VotesError: the votes file can't be used.
            ValueError: a key is too short.

        `able` returns whether this router can serve clients. `on_change` is called with True when this router
        acquires the address, and with False when it loses it.

        When it loses the address, clients may be accepted only while `may_serve` returns True;
        `wait_until_drained` waits until no client is connected any more.
        """
        self.rng = random.SystemRandom()
        start = self.rng.getrandbits(62) + 1
        super().__init__(
            Wire(settings.name, settings.voters, key, start, ElectionCodec(), further_keys), peers
        )
        self.settings = settings
        self.votes_file = votes_file
        self.unwritten: messages.Saved | None = None  # term and vote that are not on the disk yet
        self.able = able
        self.on_change = on_change
        self.wait_until_drained = wait_until_drained
        self.withdrawal: asyncio.Task[None] | None = None
        self.link_updater = LinkUpdater(link)
        self.election = self._make_election()
        self.polling: asyncio.Task[None] | None = None
        self.following: asyncio.Task[None] | None = None  # waits for the end of the previous process
        self.polled_at = time.monotonic()
        self.moves: list[str] = []  # when this router last acquired and lost the address, for operators

    def _make_election(self) -> Election:
        """Return the election with the votes as stored; it grants nothing for a lease from now. Raises
        VotesError."""
        saved = read_votes(self.votes_file) if self.votes_file is not None else messages.Saved()
        return Election(self.settings, saved, time.monotonic(), self.rng.getrandbits(32))

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Open the socket and take part in the election.

        If another process of this router may still listen (`shared`, during an upgrade), this one takes part
        once that has closed its socket. Raises OSError.
        """
        if shared:
            self.check_address(bind)
            self.following = asyncio.create_task(self._follow(bind))
        else:
            self._take_part(await self.listen(bind))

    async def _follow(self, bind: Endpoint) -> None:
        """Take part after the previous process, with what it has voted until its end."""
        at = await self.listen_when_free(bind)
        try:
            self.election = self._make_election()
        except VotesError as e:
            log.error("service address: this router takes no part: %s", e)
            self.close_socket()
            return
        self._take_part(at)

    def _take_part(self, at: Endpoint) -> None:
        log.info("election of the service address: UDP socket on %s:%d", *at)
        self.greet_all()
        self.polled_at = time.monotonic()
        self.polling = asyncio.create_task(self._poll())

    def holds(self) -> bool:
        """Return whether this router holds the address now."""
        return self.election.holds(time.monotonic())

    def may_serve(self) -> bool:
        """Return whether this router may accept clients: it holds the address, or is handing it over."""
        return self._lease_left() > 0.0

    def _lease_left(self) -> float:
        return self.election.lease_left(time.monotonic())

    async def _poll(self) -> None:
        """Report to the election whether this router can serve; after a stall of its event loop it can't."""
        while True:
            now = time.monotonic()
            stalled = now - self.polled_at > self.settings.unwell + POLL_INTERVAL
            self.polled_at = now
            self.post(messages.AbilityReported(self.able() and not stalled))
            await asyncio.sleep(POLL_INTERVAL)

    def message_received(self, sender: str, message: messages.Message) -> None:
        self.post(messages.MessageReceived(sender, message))

    def post(self, event: messages.Event) -> None:
        """Pass an event to the election and carries out the resulting actions."""
        for action in self.election.handle(time.monotonic(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Save(saved):
                self.unwritten = saved if self.votes_file is not None else None
            case messages.Send(to, message):
                if self._write_unwritten():
                    self.send(to, self.wire.pack(to, message))
            case messages.Announce(term):
                self._log_move(f"holds the address in term {term}")
                self.on_change(True)
                self.link_updater.request(term)
            case messages.Withdraw(reason):
                self._log_move(f"no longer holds the address: {reason}")
                self.on_change(False)
                self.withdrawal = self.loop.create_task(self._withdraw())
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def _write_unwritten(self) -> bool:
        """Write the term and vote if necessary, and return whether they are on the disk.

        Until they are, no message may be sent.
        """
        if self.unwritten is not None and self.votes_file is not None:
            try:
                write_votes(self.votes_file, self.unwritten)
            except OSError as e:
                bounded.log(logging.ERROR, "the votes file can't be written, no messages are sent: %s", e)
                return False
            self.unwritten = None
        return True

    async def _withdraw(self) -> None:
        await withdraw(self.link_updater, self.wait_until_drained, self._lease_left)
        self.post(messages.Withdrawn())

    def _log_move(self, text: str) -> None:
        log.info("%s %s", self.settings.name, text)
        self.moves = [*self.moves[-19:], f"{time.strftime('%Y-%m-%d %H:%M:%S')} {text}"]

    def change(self, settings: messages.Settings, peers: dict[str, Endpoint]) -> None:
        """Apply new settings; at most one voter may have been added or removed.

        Raises:
            ElectionError: the new settings can't be applied now, or this router's name or address changed;
                nothing was changed.
        """
        if settings.name != self.settings.name or peers[settings.name] != self.peers[settings.name]:
            raise messages.ElectionError("name: a change of the name or the own address needs a restart")
        if self.transport is not None:  # otherwise this process begins with the new settings
            self.post(messages.SettingsChanged(settings))
        self.settings, self.peers = settings, peers
        self.wire.set_members(settings.voters)

    def move(self, to: str) -> str:
        """Start to hand the address over; return why that is refused, or an empty text."""
        if self.election.role is not Role.HOLDER:
            return f"{self.settings.name} does not hold the address"
        if to and to not in self.settings.voters:
            return f"{to} is not a voter"
        if to == self.settings.name:
            return f"{to} already holds the address"
        self.post(messages.Move(to))
        return ""

    def status(self) -> dict[str, Any]:
        """Return the status for operators, in a form that can be written as JSON."""
        election, now = self.election, time.monotonic()
        return {
            "name": self.settings.name,
            "role": election.role.value,
            "holds": self.holds(),
            "term": election.term,
            "lease_left_s": max(0.0, election.lease_until - now) if election.role is Role.HOLDER else 0.0,
            "word_given_to": election.promise[0] if now < election.promise_until else "",
            "able": self.able(),
            "voters": list(self.settings.voters),
            "sent": self.sent,
            "dropped": dict(self.wire.dropped),
            "link_failures": self.link_updater.failures,
            "moves": self.moves,
        }

    async def close(self) -> None:
        """Hand the address over and release the lease if this router holds it, and close the socket."""
        for task in (self.following, self.polling):
            if task is not None:
                task.cancel()
        if self.election.role is Role.HOLDER:
            self.post(messages.Move())
        if self.withdrawal is not None:
            await self.withdrawal  # withdraws the address and sends the release of the lease
            await asyncio.sleep(0)
        self.link_updater.close()
        self.close_socket()
