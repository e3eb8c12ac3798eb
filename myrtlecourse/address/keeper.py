"""Keeps one instance's part of the service address: its election, its peers, its votes and its link."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from myrtlecourse.address.codec import ElectionCodec
from myrtlecourse.address.link import Link, Words
from myrtlecourse.address.votes import write_votes
from myrtlecourse.election import messages as said
from myrtlecourse.election.core import Election, Role
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.peer_socket import Endpoint, PeerSocket
from myrtlecourse.peers.wire import Wire

EMPTY_TIME = 1.0  # seconds for what was taken to end, of the lease that still stands
LOOK = 0.1  # seconds between looks at whether this instance can serve
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class Keeper(PeerSocket[said.Message]):
    """One instance."""

    def __init__(
        self,
        settings: said.Settings,
        peers: dict[str, Endpoint],
        key: bytes,
        link: Link,
        votes: Path | None,
        saved: said.Saved,
        able: Callable[[], bool],
        held: Callable[[bool], None],
        emptied: Callable[[], Awaitable[None]],
        also: tuple[bytes, ...] = (),
    ) -> None:
        """`able` says whether clients could be served here; `held` hears when the address comes and goes.

        When it goes, nothing may be accepted any more once `held` has returned; `emptied` waits until what
        was taken has ended.
        """
        chance = random.SystemRandom()
        start = chance.getrandbits(62) + 1
        super().__init__(Wire(settings.name, settings.voters, key, start, ElectionCodec(), also), peers)
        self.settings = settings
        self.votes = votes
        self.unwritten: said.Saved | None = None  # of what must last
        self.able = able
        self.held = held
        self.emptied = emptied
        self.leaving: asyncio.Task[None] | None = None
        self.words = Words(link)
        self.election = Election(settings, saved, time.monotonic(), chance.getrandbits(32))
        self.looking: asyncio.Task[None] | None = None
        self.looked_at = time.monotonic()
        self.moves: list[str] = []  # the last few, for staff

    async def start(self, bind: Endpoint) -> Endpoint:
        """Listen for the others. Raises OSError."""
        at = await self.listen(bind)
        self.looked_at = time.monotonic()
        self.looking = asyncio.create_task(self._look())
        return at

    def holds(self) -> bool:
        """Whether the address is here at this very moment."""
        return self.election.holds(time.monotonic())

    async def _look(self) -> None:
        """Tell the election whether this instance can serve; a loop that stood still can't."""
        while True:
            now = time.monotonic()
            stood = now - self.looked_at > self.settings.unwell + LOOK
            self.looked_at = now
            self.post(said.AbilityReported(self.able() and not stood))
            await asyncio.sleep(LOOK)

    def message_received(self, sender: str, message: said.Message) -> None:
        self.post(said.MessageReceived(sender, message))

    def post(self, event: said.Event) -> None:
        """Let the election hear of something, and carry out what it answers."""
        for action in self.election.handle(time.monotonic(), event):
            self._carry_out(action)

    def _carry_out(self, action: said.Action) -> None:
        match action:
            case said.Save(saved):
                self.unwritten = saved if self.votes is not None else None
            case said.Send(to, message):
                if self._written():
                    self.send(to, self.wire.pack(to, message))
            case said.Announce(term):
                self._note(f"holds the address in term {term}")
                self.held(True)
                self.words.say(term)
            case said.Withdraw(why):
                self._note(f"holds the address no more: {why}")
                self.held(False)
                self.leaving = self.loop.create_task(self._leave())
            case said.SetTimer(at):
                self.call_at(at, lambda: self.post(said.TimerFired()))

    def _written(self) -> bool:
        """Whether all that must last is on the disk; until it is, not a word may go out."""
        if self.unwritten is not None and self.votes is not None:
            try:
                write_votes(self.votes, self.unwritten)
            except OSError as e:
                bounded.log(logging.ERROR, "votes can't be written, nothing is said to the others: %s", e)
                return False
            self.unwritten = None
        return True

    async def _leave(self) -> None:
        """Let what was taken end while its clients can still be reached, and then let go.

        The link moves open connections with the address: they would be cut by whoever announces it next.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(EMPTY_TIME):
                await self.emptied()
        self.words.say(None)
        self.post(said.Withdrawn())

    def _note(self, text: str) -> None:
        log.info("%s %s", self.settings.name, text)
        self.moves = [*self.moves[-19:], f"{time.strftime('%Y-%m-%d %H:%M:%S')} {text}"]

    def change(self, settings: said.Settings, peers: dict[str, Endpoint]) -> None:
        """Take new settings; one voter may have come or gone.

        Raises:
            ElectionError: more than one has, or this instance is another; nothing is taken.
        """
        if settings.name != self.settings.name or peers[settings.name] != self.peers[settings.name]:
            raise said.ElectionError("name: it can't be another while it runs, nor be heard elsewhere")
        self.post(said.SettingsChanged(settings))
        self.settings, self.peers = settings, peers
        self.wire.set_members(settings.voters)

    def move(self, to: str) -> str:
        """Hand the address over; answers with why not, or nothing."""
        if self.election.role is not Role.HOLDER:
            return f"{self.settings.name} does not hold the address"
        if to and to not in self.settings.voters:
            return f"{to} is no voter"
        if to == self.settings.name:
            return f"{to} holds it already"
        self.post(said.Move(to))
        return ""

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
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
            "link_failures": self.words.failures,
            "moves": self.moves,
        }

    async def close(self) -> None:
        """Give the address up in order, if it is here, and say so to the others."""
        if self.looking is not None:
            self.looking.cancel()
        if self.election.role is Role.HOLDER:
            self.post(said.Move())
        if self.leaving is not None:
            await self.leaving  # the release goes out, and the address is withdrawn
            await asyncio.sleep(0)
        self.words.close()
        self.close_socket()
