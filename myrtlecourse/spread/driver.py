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

from myrtlecourse.net.logs import BoundedLog
from myrtlecourse.peers.end import End, Endpoint
from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.applied_file import AppliedFile
from myrtlecourse.spread.codec import SpreadCodec
from myrtlecourse.spread.log_file import LogFile
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.replica import Replica

LISTEN_RETRY = 0.2  # seconds until listening is tried again, where the process before this one still does
MAX_PROPOSALS = 1000  # entries that are proposed here and not answered
log = logging.getLogger(__name__)
bounded = BoundedLog(log)
ProposalCallback = Callable[[events.Acknowledge | events.Refuse], None]


class Driver(End[tuple[msg.Message, ...]]):
    """One process's end."""

    def __init__(
        self,
        settings: msg.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        applied: Path | None = None,
        applied_bytes: int = 2**26,
        folder: Path | None = None,
    ) -> None:
        """`folder` has the log, at control machines. Raises ValueError when a key is too short."""
        self.random = random.SystemRandom()
        start = self.random.getrandbits(62) + 1
        members = settings.control + tuple(m for s in settings.sites for m in (*s.routers, *s.parts))
        super().__init__(Wire(settings.name, members, keys[0], start, SpreadCodec(), keys[1]), peers)
        self.settings = settings
        self.folder = folder
        self.applied_path = applied
        self.applied_bytes = applied_bytes
        self.applied_log: AppliedFile | None = None
        self.log_file: LogFile | None = None
        self.node: Node | None = None  # from when it listens
        self.replica: Replica | None = None
        # the token to write the log with at this very moment, or None
        self.held_token: Callable[[], int | None] = lambda: None
        self.leader_token = 0  # that the head writes under; 0: it does not
        self.leader_name = ""  # as is known here
        self.callbacks: dict[int, ProposalCallback] = {}
        self.last_proposal = 0
        self.watermark: msg.Watermark | None = None  # the last that was told here, as the root
        self.timers = {"node": math.inf, "head": math.inf}
        self.timer_due = math.inf
        self.tasks: list[asyncio.Task[None]] = []
        self.store_task: asyncio.Task[None] | None = None
        self.failure = ""  # why this process takes no part any more

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Listen, and begin; where another process of this router may still listen (`shared`, at an upgrade)
        once that one has let go: log and applied file are its until then.

        Raises:
            OSError: the address or a file can't be had.
            LogError: what the folder holds is no log.
        """
        if shared:
            self.tasks.append(asyncio.create_task(self._open_when_free(bind)))
        else:
            await self._open(bind)

    async def _open_when_free(self, bind: Endpoint) -> None:
        while True:
            try:
                return await self._open(bind)
            except OSError as e:
                bounded.log(logging.INFO, "spread: not begun yet: %s", e)
                await asyncio.sleep(LISTEN_RETRY)
            except events.LogError as e:
                return self._stop_participating(str(e))

    async def _open(self, bind: Endpoint) -> None:
        at = await self.listen(bind)
        try:
            if self.applied_path is not None:
                self.applied_log = AppliedFile(self.applied_path, self.applied_bytes)
            if self.folder is not None:
                # beside the event loop: a long log takes longer than clients may wait
                self.log_file = await asyncio.to_thread(LogFile, self.folder)
        except (OSError, events.LogError):
            self.leave()
            raise
        now = time.monotonic()
        self.node = Node(self.settings, now, self.random.getrandbits(32))
        if self.log_file is not None:
            self.replica = Replica(self.settings, self.log_file.state, now)
            self.post_to_replica(msg.TimerFired())
        self.post_to_node(msg.TimerFired())
        log.info("spread: members are heard on %s:%d", *at)
        if self.applied_log is not None:
            self.tasks.append(asyncio.create_task(self._repeat_lease()))

    async def _repeat_lease(self) -> None:
        """Repeat whether this member vouches for itself: who follows the file can't know that it lives."""
        while self.applied_log is not None and self.node is not None and not self.failure:
            self._carry_out([msg.LeaseChanged(self.node.has_lease(time.monotonic()))])
            await asyncio.sleep(self.settings.lease / 4)

    # What comes, and what is answered

    def heard(self, sender: str, message: tuple[msg.Message, ...]) -> None:
        of_heads = tuple(word for word in message if isinstance(word, msg.LOG_MESSAGES))
        of_nodes = tuple(word for word in message if not isinstance(word, msg.LOG_MESSAGES))
        if of_heads:
            self.post_to_replica(msg.Received(sender, of_heads))
        if of_nodes:
            self.post_to_node(msg.Received(sender, of_nodes))

    def post_to_node(self, event: msg.Event) -> None:
        """Let the node hear of something, and carry out what it answers."""
        if self.node is not None and not self.failure:
            self._carry_out(self.node.handle(time.monotonic(), event), "node")

    def post_to_replica(self, event: events.ReplicaEvent) -> None:
        """The same of the head, where there is one."""
        if self.replica is None or self.failure:
            return
        # guards the log: a process that stood still hears first that it is followed, and then what has come
        if not self._is_leader() and self.leader_token:
            self.leader_token = 0
            self._carry_out(self.replica.handle(time.monotonic(), events.LeadershipLost()), "head")
        self._carry_out(self.replica.handle(time.monotonic(), event), "head")

    def _is_leader(self) -> bool:
        """Whether the log is this process's to write at this very moment."""
        return bool(self.leader_token) and self.held_token() == self.leader_token

    def gain_leadership(self, token: int) -> None:
        """The log is this process's to write."""
        self.leader_token = token
        self.post_to_replica(events.LeadershipGained(token))

    def lose_leadership(self) -> None:
        """It is not any more."""
        if self.leader_token:
            self.leader_token = 0
            self.post_to_replica(events.LeadershipLost())

    def propose(self, entry: msg.Entry, answered: ProposalCallback) -> None:
        """Let an entry last; answered once, some time later. Raises SpreadError, and then it is not taken."""
        msg.checked_entry(entry)
        self.post_to_replica(msg.TimerFired())  # it may have been followed since
        if not self._is_leader():
            raise msg.SpreadError(
                f"the log is not written here; its holder is {self.leader_name or 'not known'}"
            )
        if len(self.callbacks) >= MAX_PROPOSALS:
            raise msg.SpreadError(f"{MAX_PROPOSALS} entries wait already")
        self.last_proposal += 1
        self.callbacks[self.last_proposal] = answered
        self.post_to_replica(events.Propose(self.last_proposal, entry))

    def _carry_out(self, actions: list[Any], of: str = "") -> None:
        for action in actions:
            match action:
                case msg.Send(to, words):
                    self._flush_applied()  # before anybody hears of it
                    self.send(to, self.wire.pack(to, words))
                case msg.Apply() | msg.AssumePurged() | msg.Restore() | msg.LeaseChanged() | msg.Watermark():
                    self._record(action)
                case msg.Committed() | msg.Leadership():
                    self.leader_name = (
                        action.leader if isinstance(action, msg.Leadership) else self.leader_name
                    )
                    self.post_to_node(action)
                case events.Store():
                    self.store_task = asyncio.create_task(self._store(action))
                case events.Acknowledge(ticket) | events.Refuse(ticket):
                    self.callbacks.pop(ticket)(action)
                case msg.SetTimer(at):
                    self.timers[of] = at
            if self.failure:
                return
        self._flush_applied()
        self._set_timer(min(self.timers.values()))

    def _record(self, action: msg.Action) -> None:
        if isinstance(action, msg.Watermark):
            self.watermark = action
        if isinstance(action, msg.LeaseChanged) and self.applied_log is None:
            log.info("spread: vouches for itself: %s", "yes" if action.valid else "no")
        if self.applied_log is not None:
            self.applied_log.add(action)

    def _flush_applied(self) -> None:
        """Guards completion: nothing is reported that programs on this host can't see."""
        try:
            if self.applied_log is not None:
                self.applied_log.flush()
        except OSError as e:
            self._stop_participating(f"what is applied can't be written: {e}")

    async def _store(self, store: events.Store) -> None:
        """Write to the log beside the event loop: a disk may take longer than a lease."""
        assert self.log_file is not None
        why = ""
        try:
            await asyncio.to_thread(self.log_file.append, store.records)
        except OSError as e:
            why = str(e)
            bounded.log(logging.ERROR, "spread: the log can't be written: %s", e)
        self.post_to_replica(events.Stored(store.number, why))

    def _stop_participating(self, why: str) -> None:
        """Fall silent: then this member's lease runs out, and others wait for it no longer than that."""
        log.error("spread: this process takes no part any more: %s", why)
        self.failure = why
        self.leave()

    # Time

    def _set_timer(self, at: float) -> None:
        if at != self.timer_due:
            self.timer_due = at
            self.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self.timer_due = math.inf
        now = time.monotonic()
        if self.timers["head"] <= now:
            self.timers["head"] = math.inf
            self.post_to_replica(msg.TimerFired())
        if self.timers["node"] <= now:
            self.timers["node"] = math.inf
            self.post_to_node(msg.TimerFired())
        self._set_timer(min(self.timers.values()))

    # For staff

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able. Times in seconds."""
        now = time.monotonic()
        return {
            "name": self.settings.name,
            "holder": self.leader_name,
            "writes": self._is_leader(),
            "vouches": self.node is not None and not self.failure and self.node.has_lease(now),
            "failed": self.failure,
            "done": None
            if self.watermark is None
            else [self.watermark.number, self.watermark.members, self.watermark.away],
            "node": self.node.status(now) if self.node is not None else None,
            "head": self.replica.status(now) if self.replica is not None else None,
            "sent": self.sent,
            "bytes_sent": self.bytes_sent,
            "dropped": dict(self.wire.dropped),
        }

    async def close(self) -> None:
        """Say no more, and leave the address, the log and the file to the process that follows."""
        for task in self.tasks:
            task.cancel()
        self.lose_leadership()
        self.failure = self.failure or "it has ended"
        if self.store_task is not None:
            await self.store_task
        # guards the start of the process that follows: it takes the log once it has the address
        if self.log_file is not None:
            self.log_file.close()
        if self.applied_log is not None:
            try:
                self.applied_log.close()
            except OSError as e:
                log.error("spread: what is applied can't be written: %s", e)
            self.applied_log = None
        self.leave()
