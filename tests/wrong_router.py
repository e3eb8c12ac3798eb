"""A router on sockets that deliberately breaks one rule; the auditor must detect it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from contextlib import suppress
from itertools import cycle
from typing import cast

from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, encode_command

Parts = list[bytes]


class WrongRouter:
    """Passes each command to a cache server and its value back, except for the fault that `way` names."""

    def __init__(self, fleet: Fleet, way: str) -> None:
        self.fleet = fleet
        self.name = fleet.routers[0]
        self.way = getattr(self, way)
        self.boxes: Iterator[str] = cycle(fleet.cache_servers)
        self.serving: set[asyncio.Task[None]] = set()
        self.later: set[asyncio.Task[None]] = set()

    async def listen(self) -> tuple[str, int]:
        """Serve clients and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    async def close(self) -> None:
        self.server.close()
        for each in self.serving | self.later:
            await each

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.serving.add(cast("asyncio.Task[None]", asyncio.current_task()))
        commands = Reader(16, 65536, 70000)
        with suppress(ConnectionError):  # clients may disconnect at any time
            while data := await reader.read(65536):
                commands.feed(data)
                while (message := commands.next_message()) is not INCOMPLETE:
                    assert isinstance(message, list)
                    await self.way([p for p in message if isinstance(p, bytes)], writer)
        writer.close()

    async def attempt(self, box: str, parts: Parts) -> Message:
        """Send a command on a new connection and return the answer."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.fleet.cache_servers[box].ports[self.name].number
        )
        try:
            writer.write(encode_command(parts))
            answers = Reader(16, 1 << 20, 1 << 21)
            while (message := answers.next_message()) is INCOMPLETE:
                data = await reader.read(65536)
                if not data:
                    raise ConnectionError("the cache server closed the connection")
                answers.feed(data)
            return message
        finally:
            writer.close()

    async def ask_list(self) -> list[dict[str, str]]:
        """Return discovery's whole list."""
        port = self.fleet.discovery.ports[self.name].number
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
        body = (await reader.read()).partition(b"\r\n\r\n")[2]
        writer.close()
        entries: list[dict[str, str]] = json.loads(body)["endpoints"]
        return entries

    def say(self, writer: asyncio.StreamWriter, answer: Message) -> None:
        value = answer[0] if isinstance(answer, list) else None
        writer.write(
            b"-ERR failed\r\n" if not isinstance(value, bytes) else b"$%d\r\n%b\r\n" % (len(value), value)
        )

    async def honest(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        self.say(writer, await self.attempt(next(self.boxes), parts))

    async def loses(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        await self.attempt(next(self.boxes), parts)
        writer.close()

    async def answers_nothing(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        await self.attempt(next(self.boxes), parts)

    async def answers_late(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        answer = await self.attempt(next(self.boxes), parts)
        left = int(parts[3].partition(b"d=")[2].split(b",")[0]) / 1000
        await asyncio.sleep(left + 0.3)
        self.say(writer, answer)

    async def answers_twice(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        answer = await self.attempt(next(self.boxes), parts)
        self.say(writer, answer)
        self.say(writer, answer)

    async def makes_values(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        self.say(writer, [b"not a value of a cache server", None, None])

    async def sends_after_end(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        writer.write(b"-BUSY\r\n")

        async def send() -> None:
            await asyncio.sleep(0.3)
            await self.attempt(next(self.boxes), parts)

        self.later.add(asyncio.create_task(send()))

    async def sends_twice(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        await self.attempt(next(self.boxes), parts)
        self.say(writer, await self.attempt(next(self.boxes), parts))

    async def sends_again_too_late(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        await self.attempt(next(self.boxes), parts)
        await asyncio.sleep(0.5)
        self.say(writer, await self.attempt(next(self.boxes), parts))

    async def refuses_what_ran(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        await self.attempt(next(self.boxes), parts)
        writer.write(b"-BUSY\r\n")

    async def ignores_drains(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        entries = await self.ask_list()
        drained = [e["name"] for e in entries if e["status"] == "terminating"]
        self.say(writer, await self.attempt(drained[0] if drained else next(self.boxes), parts))

    async def pushes_cold_boxes(self, parts: Parts, writer: asyncio.StreamWriter) -> None:
        for entry in await self.ask_list():
            box = self.fleet.cache_servers[entry["name"]].model
            if entry["since_ms"] and box.overload_by_router is None:
                more = [[parts[0], b"k%d" % i, b"%b-%d" % (parts[2], i), *parts[3:]] for i in range(40)]
                flood = (self.attempt(entry["name"], each) for each in more)
                await asyncio.gather(*flood, return_exceptions=True)
        self.say(writer, [None, None, None])
