"""Drives one process's part in the spread: its socket, its tree node and, on a control node, the log
replica."""

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
from myrtlecourse.peers.peer_socket import Endpoint, PeerSocket
from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.applied_file import AppliedFile
from myrtlecourse.spread.codec import SpreadCodec
from myrtlecourse.spread.log_file import LogFile
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.replica import Replica

LISTEN_RETRY = 0.2  # seconds between attempts to listen while the predecessor of this process still does
MAX_PROPOSALS = 1000  # entries proposed here that are not answered yet
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)
ProposalCallback = Callable[[events.Acknowledge | events.Refuse], None]


class Driver(PeerSocket[tuple[msg.Message, ...]]):
    """The I/O around one process's node and replica."""

    def __init__(
        self,
        settings: msg.Settings,
        peers: dict[str, Endpoint],
        keys: tuple[bytes, tuple[bytes, ...]],
        applied: Path | None = None,
        applied_bytes: int = 2**26,
        folder: Path | None = None,
    ) -> None:
        """`folder` holds the log on a control node. Raises ValueError when a key is too short."""
        self.random = random.SystemRandom()
        incarnation = self.random.getrandbits(62) + 1
        members = settings.control + tuple(m for s in settings.sites for m in (*s.routers, *s.parts))
        super().__init__(Wire(settings.name, members, keys[0], incarnation, SpreadCodec(), keys[1]), peers)
        self.settings = settings
        self.folder = folder
        self.applied_path = applied
        self.applied_bytes = applied_bytes
        self.applied_log: AppliedFile | None = None
        self.log_file: LogFile | None = None
        self.node: Node | None = None  # set once the socket is open
        self.replica: Replica | None = None
        # Returns the fencing token with which this process may write the log at this moment, or None.
        self.held_token: Callable[[], int | None] = lambda: None
        self.leader_token = 0  # the epoch in which this process leads; 0: it does not
        self.leader_name = ""  # the known leader, or empty
        self.callbacks: dict[int, ProposalCallback] = {}
        self.last_proposal = 0
        self.watermark: msg.Watermark | None = None  # the last one that was reported here, as the root
        self.timers = {"node": math.inf, "replica": math.inf}
        self.timer_due = math.inf
        self.tasks: list[asyncio.Task[None]] = []
        self.store_task: asyncio.Task[None] | None = None
        self.failure = ""  # why this process no longer participates

    async def start(self, bind: Endpoint, shared: bool) -> None:
        """Open the socket and start. With `shared`, during an upgrade, another process of this router may
        still listen; then start once it has closed its socket, as the log and the applied file belong to it
        until then.

        Raises:
            OSError: the address or a file is not available.
            LogError: the folder does not hold a valid log.
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
                bounded.log(logging.INFO, "spread: not listening yet: %s", e)
                await asyncio.sleep(LISTEN_RETRY)
            except events.LogError as e:
                return self._stop_participating(str(e))

    async def _open(self, bind: Endpoint) -> None:
        address = await self.listen(bind)
        try:
            if self.applied_path is not None:
                self.applied_log = AppliedFile(self.applied_path, self.applied_bytes)
            if self.folder is not None:
                # In a thread, because reading a long log would block clients for too long.
                self.log_file = await asyncio.to_thread(LogFile, self.folder)
        except (OSError, events.LogError):
            self.close_socket()
            raise
        now = time.monotonic()
        self.node = Node(self.settings, now, self.random.getrandbits(32))
        if self.log_file is not None:
            self.replica = Replica(self.settings, self.log_file.state, now)
            self.post_to_replica(msg.TimerFired())
        self.post_to_node(msg.TimerFired())
        log.info("spread: receiving from members on %s:%d", *address)
        if self.applied_log is not None:
            self.tasks.append(asyncio.create_task(self._repeat_lease()))

    async def _repeat_lease(self) -> None:
        """Repeat periodically whether this member holds a lease, as followers of the file can't know whether
        the process is alive."""
        while self.applied_log is not None and self.node is not None and not self.failure:
            self._carry_out([msg.LeaseChanged(self.node.has_lease(time.monotonic()))])
            await asyncio.sleep(self.settings.lease / 4)

    # Events and actions

    def message_received(self, sender: str, message: tuple[msg.Message, ...]) -> None:
        for_replica = tuple(each for each in message if isinstance(each, msg.LOG_MESSAGES))
        for_node = tuple(each for each in message if not isinstance(each, msg.LOG_MESSAGES))
        if for_replica:
            self.post_to_replica(msg.Received(sender, for_replica))
        if for_node:
            self.post_to_node(msg.Received(sender, for_node))

    def post_to_node(self, event: msg.Event) -> None:
        """Pass an event to the tree node and carry out its actions."""
        if self.node is not None and not self.failure:
            self._carry_out(self.node.handle(time.monotonic(), event), "node")

    def post_to_replica(self, event: events.ReplicaEvent) -> None:
        """Pass an event to the replica, if there is one, and carry out its actions."""
        if self.replica is None or self.failure:
            return
        # A process that was suspended must learn that it has lost the leadership before it handles what has
        # arrived meanwhile.
        if not self._is_leader() and self.leader_token:
            self.leader_token = 0
            self._carry_out(self.replica.handle(time.monotonic(), events.LeadershipLost()), "replica")
        self._carry_out(self.replica.handle(time.monotonic(), event), "replica")

    def _is_leader(self) -> bool:
        """Return whether this process may write the log at this moment."""
        return bool(self.leader_token) and self.held_token() == self.leader_token

    def gain_leadership(self, token: int) -> None:
        """This process now holds the duty, with this fencing token."""
        self.leader_token = token
        self.post_to_replica(events.LeadershipGained(token))

    def lose_leadership(self) -> None:
        """This process no longer holds the duty."""
        if self.leader_token:
            self.leader_token = 0
            self.post_to_replica(events.LeadershipLost())

    def propose(self, entry: msg.Entry, callback: ProposalCallback) -> None:
        """Propose an entry; the callback is called once, with the outcome. Raises SpreadError when it is
        rejected at once."""
        msg.checked_entry(entry)
        self.post_to_replica(msg.TimerFired())  # notices if the leadership was lost meanwhile
        if not self._is_leader():
            raise msg.SpreadError(
                f"the log is not written here; its holder is {self.leader_name or 'not known'}"
            )
        if len(self.callbacks) >= MAX_PROPOSALS:
            raise msg.SpreadError(f"{MAX_PROPOSALS} entries are pending already")
        self.last_proposal += 1
        self.callbacks[self.last_proposal] = callback
        self.post_to_replica(events.Propose(self.last_proposal, entry))

    def _carry_out(self, actions: list[Any], owner: str = "") -> None:
        for action in actions:
            match action:
                case msg.Send(to, messages):
                    self._flush_applied()  # written before others learn of it
                    self.send(to, self.wire.pack(to, messages))
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
                    self.timers[owner] = at
            if self.failure:
                return
        self._flush_applied()
        self._set_timer(min(self.timers.values()))

    def _record(self, action: msg.Action) -> None:
        if isinstance(action, msg.Watermark):
            self.watermark = action
        if isinstance(action, msg.LeaseChanged) and self.applied_log is None:
            log.info("spread: lease valid: %s", "yes" if action.valid else "no")
        if self.applied_log is not None:
            self.applied_log.add(action)

    def _flush_applied(self) -> None:
        """Write what was applied, before it is acknowledged to others: programs on this host must be able to
        see it."""
        try:
            if self.applied_log is not None:
                self.applied_log.flush()
        except OSError as e:
            self._stop_participating(f"the file of applied entries can't be written: {e}")

    async def _store(self, store: events.Store) -> None:
        """Write records in a thread, because a disk can take longer than a lease."""
        assert self.log_file is not None
        error = ""
        try:
            await asyncio.to_thread(self.log_file.append, store.records)
        except OSError as e:
            error = str(e)
            bounded.log(logging.ERROR, "spread: the log can't be written: %s", e)
        self.post_to_replica(events.Stored(store.number, error))

    def _stop_participating(self, reason: str) -> None:
        """Stop sending, so that this member's lease expires and others wait for it no longer than that."""
        log.error("spread: this process has stopped participating: %s", reason)
        self.failure = reason
        self.close_socket()

    # Timers

    def _set_timer(self, at: float) -> None:
        if at != self.timer_due:
            self.timer_due = at
            self.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self.timer_due = math.inf
        now = time.monotonic()
        if self.timers["replica"] <= now:
            self.timers["replica"] = math.inf
            self.post_to_replica(msg.TimerFired())
        if self.timers["node"] <= now:
            self.timers["node"] = math.inf
            self.post_to_node(msg.TimerFired())
        self._set_timer(min(self.timers.values()))

    # For operators

    def status(self) -> dict[str, Any]:
        """Return the state for operators; JSON-serialisable. Times are in seconds."""
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
        """Stop, and leave the address, the log and the applied file to the succeeding process."""
        for task in self.tasks:
            task.cancel()
        self.lose_leadership()
        self.failure = self.failure or "the process has stopped"
        if self.store_task is not None:
            await self.store_task
        # The files are closed before the socket, because the succeeding process opens the log once it has the
        # address.
        if self.log_file is not None:
            self.log_file.close()
        if self.applied_log is not None:
            try:
                self.applied_log.close()
            except OSError as e:
                log.error("spread: the file of applied entries can't be written: %s", e)
            self.applied_log = None
        self.close_socket()
