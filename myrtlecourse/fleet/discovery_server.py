"""Discovery on sockets: serves the list of `registry.py` over HTTP/1.1 to single calls and watches."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.origin_server import HttpConnection
from myrtlecourse.fleet.ports import Port
from myrtlecourse.fleet.registry import Entry, Registry, entry_to_json

PATH = "/registry/instances"
MAX_WAIT = 60.0  # seconds that a watch waits for a change
IDLE_TIMEOUT = 30.0  # seconds after which an idle connection is closed


class DiscoveryConnection(HttpConnection):
    """A router's connection for single calls and watches."""

    def __init__(self, port: Port, server: DiscoveryServer) -> None:
        super().__init__(port)
        self.server = server
        self.index: int | None = None
        self.call_open = False  # whether a call waits for its answer
        self.wait_timer: asyncio.TimerHandle | None = None

    def on_request(self, head: h11.Request, body: bytes) -> None:
        url = urlsplit(head.target.decode("latin-1"))
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        after, wait = query.get("after"), query.get("wait_ms", "0")
        if head.method != b"GET" or url.path != PATH:
            self.reply(404)
            return
        if not wait.isdigit() or after is not None and not after.isdigit():
            self.reply(400, b"after and wait_ms must be whole numbers")
            return
        self.index = None if after is None else int(after)
        self._observe_call("begun")
        self.server.call(self, min(MAX_WAIT, int(wait) / 1000))

    def _observe_call(self, how: str) -> None:
        if self.call_open is (how == "begun"):
            return
        self.call_open = how == "begun"
        self.server.observe(seen.DiscoveryCall(time.monotonic(), self.port.router, how))

    def answer(self, status: int, body: bytes) -> None:
        """Answer the call."""
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None
        self.server.waiting.discard(self)
        self._observe_call("ended" if status == 200 else "failed")
        self.reply(status, body)

    def on_closed(self) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        self.server.waiting.discard(self)
        self._observe_call("failed")


class DiscoveryServer:
    """The only discovery service: serves all routers' calls in order, at a limited rate of list entries."""

    def __init__(
        self, registry: Registry, lines_a_second: float, observe: Callable[[seen.Observation], None]
    ) -> None:
        self.registry = registry
        self.lines_a_second = lines_a_second
        self.observe = observe
        self.ports: dict[str, Port] = {}
        self.addresses: dict[tuple[str, str], str] = {}  # by router and server
        self.waiting: set[DiscoveryConnection] = set()
        self.removed_entries: dict[str, Entry] = {}  # entries that are no longer in the list
        self.busy_until = 0.0  # time at which all queued calls will have been served
        self.timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.epoch = time.time() - time.monotonic()
        for entry in registry.listed.values():
            self._observe_change(entry)

    async def listen(self, routers: list[str]) -> None:
        """Listen for each router."""
        for router in routers:
            self.ports[router] = Port(router, 0.0, 100, lambda port: DiscoveryConnection(port, self))
            await self.ports[router].listen()

    def schedule(self, at: float, entry: Entry) -> None:
        """Schedule a change of the list at the given time."""
        self.registry.schedule(at, entry)
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.registry.next_change()) < math.inf:
            self.timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._advance)

    def _observe_change(self, entry: Entry) -> None:
        self.observe(seen.ListChanged(time.monotonic(), entry.name, entry.status, max(0.0, entry.since)))

    def _advance(self) -> None:
        self.timer = None
        for entry in self.registry.advance(time.monotonic()):
            self._observe_change(entry)
            if entry.status == "terminated":
                self.removed_entries[entry.name] = entry
            else:
                self.removed_entries.pop(entry.name, None)
        for connection in list(self.waiting):
            self._answer_if_new(connection)
        self._schedule()

    def call(self, connection: DiscoveryConnection, wait: float) -> None:
        """Queue a router's call; a watch is answered once the list is newer than the index it names."""
        self.waiting.add(connection)
        if not self._answer_if_new(connection):
            connection.wait_timer = self.loop.call_later(wait, self._answer, connection)

    def _answer_if_new(self, connection: DiscoveryConnection) -> bool:
        index = connection.index
        if (
            index is not None
            and 0 < index <= self.registry.index
            and not self.registry.entries_after(index)[1]
        ):
            return False
        self._answer(connection)
        return True

    def _answer(self, connection: DiscoveryConnection) -> None:
        """Queue the answer to a call; it holds the list as it is when the answer is written."""
        if connection not in self.waiting:
            return
        self.waiting.discard(connection)
        now = time.monotonic()
        lines = 1 + len(self.registry.entries_after(connection.index)[1])
        self.busy_until = max(now, self.busy_until) + lines / self.lines_a_second
        self.loop.call_later(self.busy_until - now, self._write, connection)

    def document(self, router: str, index: int | None) -> tuple[bytes, list[Entry]]:
        """Return the whole list or the changes after an index, as a router's JSON document and as entries."""
        full, entries = self.registry.entries_after(index)
        endpoints = [entry_to_json(e, self.addresses[router, e.name], self.epoch) for e in entries]
        payload = {"index": self.registry.index, "snapshot": full, "endpoints": endpoints}
        if full:
            # A whole list reports removed servers by their absence, so their entries are only observed.
            entries = entries + list(self.removed_entries.values())
        return msgspec.json.encode(payload), entries

    def _write(self, connection: DiscoveryConnection) -> None:
        if not connection.open or not connection.call_open:
            return
        router = connection.port.router
        body, entries = self.document(router, connection.index)
        now = time.monotonic()
        for entry in entries:
            self.observe(seen.ListEntrySent(now, router, entry.name, entry.status, max(0.0, entry.since)))
        connection.answer(200, body)

    def stop_serving(self) -> None:
        """End all watches and refuse calls."""
        for port in self.ports.values():
            port.stop()

    async def resume(self) -> None:
        """Accept calls again."""
        for port in self.ports.values():
            await port.listen()

    def drop_idle(self) -> None:
        """Close idle connections."""
        for port in self.ports.values():
            port.drop_idle(time.monotonic() - IDLE_TIMEOUT)

    def close(self) -> None:
        """Stop serving and release the ports."""
        if self.timer is not None:
            self.timer.cancel()
        for port in self.ports.values():
            port.close()
