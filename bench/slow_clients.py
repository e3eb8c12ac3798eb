"""What clients get that read long values slowly, and the memory and descriptors that a router needs for them.

It starts one real router in front of a stand-in fleet and has many clients ask for one value each, which each
reads at an even rate with a small receive buffer. Some of them may read nothing at all. With `--drain` the
router gets SIGTERM once all values have begun. Printed are how many clients got their value whole, and the
most memory and descriptors that the router had, beside the limits that it was given.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shlex
import signal
import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from uvloop import new_event_loop

from bench import rig
from myrtlecourse.net.resp import encode_command

DEADLINE_MS = 900  # milliseconds that a client waits for the beginning of its value
SAMPLE_INTERVAL = 0.1  # seconds between looks at the router's memory and descriptors
READS_PER_SECOND = 10
MAX_ATTEMPTS = 100
RETRY_PAUSE = 0.1  # seconds
MAX_ERROR = 4096  # bytes of an error
TRAILER = len(b"\r\n")


@dataclass
class Usage:
    """The most that a process had at one time."""

    memory_mb: float = 0.0
    descriptors: int = 0

    def observe(self, process: int) -> None:
        """Take the present memory and descriptors of a process, if it still runs."""
        try:
            resident_pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{process}/fd"))
        except (FileNotFoundError, ProcessLookupError, IndexError):
            return
        self.memory_mb = max(self.memory_mb, resident_pages * os.sysconf("SC_PAGE_SIZE") / 1e6)
        self.descriptors = max(self.descriptors, descriptors)


async def watch(process: int, usage: Usage) -> None:
    while True:
        usage.observe(process)
        await asyncio.sleep(SAMPLE_INTERVAL)


class SlowClient:
    """A client that asks for one value and reads it at an even rate."""

    def __init__(self, number: int, options: argparse.Namespace) -> None:
        self.number = number
        self.rate = options.rate
        self.size = options.value
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.receive_buffer)
        self.socket.setblocking(False)
        self.received = 0
        self.whole = False

    async def ask(self, port: int) -> None:
        """Ask until a value begins: a router that has just started refuses some requests."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, ("127.0.0.1", port))
        info = b"c=read,t=slow,d=%d" % DEADLINE_MS
        for attempt in range(MAX_ATTEMPTS):
            request_id = b"slow-%d-%d" % (self.number, attempt)
            command = encode_command([b"C.GET", b"key-%d" % self.number, request_id, info])
            await loop.sock_sendall(self.socket, command)
            first = await loop.sock_recv(self.socket, 1)
            if first == b"$":
                self.received = len(first)
                return
            while not first.endswith(b"\n"):
                first = await loop.sock_recv(self.socket, MAX_ERROR)
            await asyncio.sleep(RETRY_PAUSE)
        raise SystemExit(f"no value began in {MAX_ATTEMPTS} attempts")

    async def read(self) -> None:
        """Read up to the end of the value or of the connection."""
        loop, wanted = asyncio.get_running_loop(), len(b"$%d\r\n" % self.size) + self.size + TRAILER
        due = time.monotonic()
        try:
            while self.received < wanted:
                data = await loop.sock_recv(self.socket, max(1, self.rate // READS_PER_SECOND))
                if not data:
                    return
                self.received += len(data)
                due += len(data) / self.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        except ConnectionResetError:
            return
        self.whole = True

    async def read_nothing(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.socket.close()


async def play(port: int, router: int, options: argparse.Namespace) -> None:
    """Play the clients against a router and print what they got."""
    usage = Usage()
    watching = asyncio.create_task(watch(router, usage))
    readers = [SlowClient(number, options) for number in range(options.clients)]
    idlers = [SlowClient(options.clients + number, options) for number in range(options.idle)]
    await asyncio.gather(*(client.ask(port) for client in (*readers, *idlers)))
    seconds = options.value / options.rate
    tasks = [asyncio.create_task(c.read()) for c in readers]
    tasks += [asyncio.create_task(c.read_nothing(seconds)) for c in idlers]
    if options.drain:
        os.kill(router, signal.SIGTERM)
    await asyncio.gather(*tasks)
    watching.cancel()
    shares = sorted(c.received / options.value for c in readers if not c.whole)
    print(f"{sum(c.whole for c in readers)} of {len(readers)} values whole")
    if shares:
        print(f"the others to {shares[0]:.2f} to {shares[-1]:.2f} of their length")
    print(f"{usage.memory_mb:.1f} of {options.memory} MB")
    print(f"{usage.descriptors} of {options.sockets} descriptors")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=200, help="clients that read (default 200)")
    parser.add_argument("--idle", type=int, default=0, help="clients that read nothing (default 0)")
    parser.add_argument("--rate", type=int, default=65_536, help="bytes read per second (default 65536)")
    parser.add_argument("--receive-buffer", type=int, default=16_384, help="bytes (default 16384)")
    parser.add_argument("--value", type=int, default=4_194_304, help="bytes of a value (default 4194304)")
    parser.add_argument("--sockets", type=int, default=512, help="limits.sockets of the router (default 512)")
    parser.add_argument(
        "--memory", type=int, default=512, help="limits.memory_mb of the router (default 512)"
    )
    parser.add_argument("--drain", action="store_true", help="end the router once all values have begun")
    parser.add_argument(
        "--router", metavar="COMMAND", help="command of the router (default: this checkout's)"
    )
    options = parser.parse_args()
    python = shlex.quote(sys.executable)
    command = shlex.split(options.router or f"{python} -B deploy/start.py")
    scenario = rig.server_scenario(size=options.value, count=4)
    with rig.run_fleet(scenario, {1, 2}) as fleet:
        fleet.begin()
        limits = {"sockets": options.sockets, "cores": 1.0, "memory_mb": options.memory}
        with (
            rig.run_router(command, fleet.configuration, {0}, limits=limits) as (port, router),
            asyncio.Runner(loop_factory=new_event_loop) as runner,
        ):
            runner.run(play(port, router.pid, options))


if __name__ == "__main__":
    main()
