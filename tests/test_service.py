"""Tests of operators' calls, drains, reloads and upgrades with real router processes."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import orjson
import pytest

from myrtlecourse.config import read_config
from myrtlecourse.net.pool import parse_address
from myrtlecourse.service import Service
from tests.loopback import HIT, TIMEOUT, Link, Peer, command, format_address, http, read, run
from tests.test_main import GOOD
from tests.test_net_discovery import ENTRY
from tests.test_wirehost import CONF

pytestmark = pytest.mark.processes
RULES = {**CONF["rules"], "coldFrom": 0.9, "rampTime": 0.5}


class NeverAnswered(dict[str, asyncio.Event]):
    """Stands in for `Site.slow` and contains every request, so that none is answered."""

    def __contains__(self, request: object) -> bool:
        return True

    def __missing__(self, request: str) -> asyncio.Event:
        return asyncio.Event()


class Process:
    """A process of a router, and its log."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self.line_added = asyncio.Event()
        self.reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.lines.append(line.decode())
            self.line_added.set()

    async def logged(self, pattern: str) -> re.Match[str]:
        """Waits until the log has a match of the pattern, and returns the first one."""
        while True:
            self.line_added.clear()
            if (match := re.search(pattern, "".join(self.lines))) is not None:
                return match
            await self.line_added.wait()

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """Makes an operators' call and returns the status code and text of the response."""
        ops = parse_address((await self.logged(r"operators call (\S+)\n"))[1])
        link = Link(*await asyncio.open_connection(*ops))
        link.write(f"{method} /control/{path} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        answer = (await link.reader.read()).decode()
        link.close()
        return int(answer.split(" ")[1]), answer.partition("\r\n\r\n")[2].strip()


class Site:
    """Two cache servers, discovery, and the processes of one router, on an inherited socket if `inherit`."""

    def __init__(self, folder: Path, inherit: bool) -> None:
        self.folder = folder
        self.path = folder / "config.json"
        self.inherit = inherit
        self.socket = socket.socket()
        self.caches = {"a": Peer(), "b": Peer()}
        self.discovery = Peer()
        self.seen: list[tuple[str, str]] = []  # cache and name of each request, in order
        self.slow: dict[str, asyncio.Event] = {}  # requests that are answered once the event is set
        self.tasks: list[asyncio.Task[None]] = []
        self.processes: list[Process] = []

    def config(self, **settings: Any) -> dict[str, Any]:
        lines = [
            {**ENTRY, "name": n, "address": p.address, "type": "std", "since_ms": 0}
            for n, p in self.caches.items()
        ]
        self.list = {"index": 1, "snapshot": True, "endpoints": lines}
        return {
            **GOOD,
            "listen": format_address(self.socket.getsockname()) if self.inherit else "127.0.0.1:0",
            "ops": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "settings": {**CONF, "rules": RULES, "membershipMode": "automatic", **settings},
            "known": self.list,
        }

    async def start(self, descriptors: int = 1024, **more: str) -> Process:
        """Starts a process with `more` in its environment, and waits until it accepts operators' calls."""
        defaults = {"RELAY_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
        environment = {**os.environ, **defaults, **more}
        passed_descriptors: tuple[int, ...] = ()
        if self.inherit:
            passed_descriptors = (self.socket.fileno(),)
            environment["RELAY_LISTEN_FD"] = str(passed_descriptors[0])
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "myrtlecourse",
            env=environment,
            pass_fds=passed_descriptors,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )
        started = Process(process)
        self.processes.append(started)
        await started.logged(r"operators call (\S+)\n")
        return started

    async def _serve_cache(self, name: str, peer: Peer) -> None:
        async def serve(link: Link) -> None:
            with suppress(AssertionError, ConnectionError):
                while True:
                    request = (await link.resp())[2].decode()
                    self.seen.append((name, request))
                    if request in self.slow:
                        await self.slow[request].wait()
                    link.write(HIT)

        while True:
            self.tasks.append(asyncio.create_task(serve(await peer.link())))

    async def _serve_discovery(self) -> None:
        async def serve(link: Link) -> None:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                first = (await link.http())[0]
                if "after=" in first:
                    await asyncio.sleep(60.0)
                link.write(http("200 OK", orjson.dumps(self.list)))

        while True:
            self.tasks.append(asyncio.create_task(serve(await self.discovery.link())))

    async def client(self, process: Process | None = None) -> Link:
        if self.inherit:
            return Link(*await asyncio.open_connection(*self.socket.getsockname()))
        process = process or self.processes[0]
        address = parse_address((await process.logged(r"listening on (\S+)\n"))[1])
        return Link(*await asyncio.open_connection(*address))


@asynccontextmanager
async def site(folder: Path, inherit: bool = False) -> AsyncIterator[Site]:
    cluster = Site(folder, inherit)
    with cluster.socket:
        cluster.socket.bind(("127.0.0.1", 0))
        cluster.socket.listen(128)
        async with cluster.caches["a"], cluster.caches["b"], cluster.discovery:
            cluster.path.write_bytes(orjson.dumps(cluster.config()))
            work = [cluster._serve_cache(n, p) for n, p in cluster.caches.items()]
            cluster.tasks = [asyncio.create_task(w) for w in (*work, cluster._serve_discovery())]
            try:
                yield cluster
            finally:
                for process in cluster.processes:
                    if process.process.returncode is None:
                        process.process.kill()
                    await process.process.wait()
                    process.reader.cancel()
                for task in cluster.tasks:
                    task.cancel()


async def ask(client: Link, name: str, key: str, info: str = "c=read,t=x,d=2000") -> Any:
    client.write(read(name, key, info))
    return await client.resp()


async def ping(client: Link) -> bool:
    client.write(command("PING"))
    return bool(await client.resp() == b"PONG")


def test_nothing_goes_to_a_cache_server_that_operators_took_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            assert await router.call("GET", "ready") == (200, "ready")
            client = await cluster.client()
            for _ in range(2):  # the call may be repeated
                assert (await router.call("PUT", "cache-servers/a/offline"))[0] == 200
            assert (await router.call("PUT", "cache-servers/z/offline"))[0] == 404
            assert (await router.call("GET", "cache-servers/a/offline"))[0] == 405
            assert (await router.call("GET", "elsewhere"))[0] == 404
            for n in range(40):
                assert await ask(client, f"r{n}", f"k{n}") == b"value"
            assert {name for name, _ in cluster.seen} == {"b"}
            cluster.seen.clear()
            assert (await router.call("PUT", "cache-servers/a/online"))[0] == 200  # one call ends the ban
            for n in range(40, 120):
                assert await ask(client, f"r{n}", f"k{n}") == b"value"
            assert {name for name, _ in cluster.seen} == {"a", "b"}

    run(scenario)


def test_callers_that_hold_connections_keep_no_operator_waiting(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            ops = parse_address((await router.logged(r"operators call (\S+)\n"))[1])
            held = [Link(*await asyncio.open_connection(*ops)) for _ in range(40)]
            for link in held:
                link.write(b"GET /control/ready HT")
            async with asyncio.timeout(1.0):
                assert await router.call("GET", "ready") == (200, "ready")
            assert await held[0].ended()

    run(scenario)


def test_a_router_out_of_service_empties_itself_and_comes_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            idle, busy, eager = [await cluster.client() for _ in range(3)]
            assert await ping(idle) and await ask(eager, "e", "k") == b"value"
            cluster.slow["long"] = asyncio.Event()
            busy.write(read("long"))
            while not any(name == "long" for _, name in cluster.seen):
                await asyncio.sleep(0.001)
            for _ in range(2):
                assert (await router.call("PUT", "out-of-service"))[0] == 200
            assert await router.call("GET", "ready") == (503, "out of service")
            assert not await ping(await cluster.client())
            assert await ask(eager, "e1", "k") == b"value"  # clients on open connections are still served
            assert await idle.ended() and await eager.ended()
            cluster.slow["long"].set()
            assert await busy.resp() == b"value" and await busy.ended()
            # the router still accepts connections, and reports that it is not ready
            assert not await ping(await cluster.client())
            assert (await router.call("PUT", "in-service"))[0] == 200
            back = await cluster.client()
            assert await ping(back) and await ask(back, "b", "k") == b"value"

    run(scenario)


def test_in_service_ends_a_drain_in_the_middle_and_sigterm_wins_over_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            client = await cluster.client()
            assert await ping(client)
            assert (await router.call("PUT", "out-of-service"))[0] == 200
            assert not await ping(client)
            assert (await router.call("PUT", "in-service"))[0] == 200
            assert await ping(client) and await ask(client, "r", "k") == b"value"
            assert (await router.call("PUT", "out-of-service"))[0] == 200
            router.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                assert await router.process.wait() == 0
            assert await client.ended()

    run(scenario)


def test_a_client_that_goes_on_asking_is_refused_in_the_end_and_loses_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            client = await cluster.client()
            client.write(b"".join(read(f"p{n}", "k") for n in range(3)))
            assert (await router.call("PUT", "out-of-service"))[0] == 200
            answers: list[Any] = [await client.resp() for _ in range(3)]
            sent = 3
            with suppress(AssertionError, ConnectionError):
                while True:  # one request is always in flight, so that the connection never becomes idle
                    client.write(read(f"q{sent}", "k") + read(f"q{sent + 1}", "k"))
                    answers.append(await client.resp())
                    answers.append(await client.resp())
                    sent += 2
            assert len(answers) >= sent - 1
            assert all(a == b"value" or str(a).startswith("BUSY") for a in answers)

    run(scenario)


def test_settings_change_whole_or_not_at_all_and_open_requests_keep_theirs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            client, other = await cluster.client(), await cluster.client()
            cluster.slow["open"] = asyncio.Event()
            client.write(read("open"))
            while not cluster.seen:
                await asyncio.sleep(0.001)
            good = cluster.config()
            for broken in (b"", orjson.dumps(good)[:-9], orjson.dumps({**good, "settings": {}})):
                before = "".join(router.lines).count("not taken")
                cluster.path.write_bytes(broken)
                router.process.send_signal(signal.SIGHUP)
                while "".join(router.lines).count("not taken") == before:
                    await asyncio.sleep(0.001)
                assert await ask(other, f"after{before}", "k") == b"value"
            kinds = CONF["classes"]
            new = {**kinds[0], "name": "new"}
            cluster.path.write_bytes(orjson.dumps(cluster.config(classes=[new, kinds[1]])))
            router.process.send_signal(signal.SIGHUP)
            await router.logged(r"classes added \['new'\], dropped \['read'\]")
            assert await ask(other, "n", "k", "c=new,t=x,d=2000") == b"value"
            # as if the command had been on its way during the reload
            assert await ask(other, "late", "k") == b"value"
            cluster.slow["open"].set()
            assert await client.resp() == b"value"
            async with asyncio.timeout(TIMEOUT):
                while str(await ask(other, f"gone{os.urandom(4).hex()}", "k")) != "ERR class is unknown":
                    await asyncio.sleep(0.05)
            assert await ask(other, "still", "k", "c=new,t=x,d=2000") == b"value"

    run(scenario)


def test_two_reloads_in_quick_succession_end_in_the_second(tmp_path: Path) -> None:
    """A class removed by the first reload was accepted forever if the second changed no settings."""

    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            client = await cluster.client()
            kinds = CONF["classes"]
            new = {**kinds[0], "name": "new"}
            config = cluster.config(classes=[new, kinds[1]])
            cluster.path.write_bytes(orjson.dumps(config))
            router.process.send_signal(signal.SIGHUP)
            await router.logged(r"dropped \['read'\]")
            async with Peer() as other:
                cluster.path.write_bytes(orjson.dumps({**config, "discovery": other.address}))
                router.process.send_signal(signal.SIGHUP)
                await router.logged("discovery is now")
                assert await ask(client, "under-way", "k") == b"value"
                while str(await ask(client, f"r{os.urandom(4).hex()}", "k")) != "ERR class is unknown":
                    await asyncio.sleep(0.05)
                assert await ask(client, "n", "k", "c=new,t=x,d=2000") == b"value"

    run(scenario)


class Load:
    """Clients that send one request after the other, each on a connection until that is closed."""

    def __init__(self, cluster: Site) -> None:
        self.cluster = cluster
        self.answers: list[Any] = []
        self.lost: list[str] = []
        self.asked = 0
        self.running = True

    async def run_client(self, number: int) -> None:
        client, new_connection = await self.cluster.client(), True
        while self.running:
            self.asked += 1
            name = f"c{number}-{self.asked}"
            try:
                self.answers.append(await ask(client, name, f"k{self.asked % 50}"))
                new_connection = False
            except (AssertionError, ConnectionError):
                # the router closed the idle connection as the request was sent; it must not have forwarded it
                if new_connection or any(request == name for _, request in self.cluster.seen):
                    self.lost.append(name)
                client, new_connection = await self.cluster.client(), True
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("how", ["asked to end", "killed"])
def test_an_upgrade_under_load_loses_no_request_and_keeps_what_operators_ordered(
    how: str, tmp_path: Path
) -> None:
    """The second process failed because the address was in use, and bans were lost with the first process."""

    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            old = await cluster.start()
            assert (await old.call("PUT", "cache-servers/a/offline"))[0] == 200
            load = Load(cluster)
            # as many clients as the initial limit of one server
            clients = [asyncio.create_task(load.run_client(n)) for n in range(3)]
            while load.asked < 100:
                await asyncio.sleep(0.01)
            new = await cluster.start()
            assert await new.call("GET", "ready") == (200, "ready")
            assert (await old.call("PUT", "cache-servers/a/online"))[0] == 200  # applies to both processes
            await asyncio.sleep(0.3)  # three polls of the other process's orders
            assert (await new.call("PUT", "cache-servers/b/offline"))[0] == 200
            await asyncio.sleep(0.3)
            cluster.seen.clear()
            if how == "killed":
                for client in clients:  # clients may retry, so requests of a killed process are not lost
                    client.cancel()
                old.process.kill()
                clients = [asyncio.create_task(load.run_client(n)) for n in range(8, 11)]
            else:
                old.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                code = await old.process.wait()
            assert code == (0 if how == "asked to end" else -signal.SIGKILL)
            asked = load.asked
            while load.asked < asked + 100:
                await asyncio.sleep(0.01)
            load.running = False
            await asyncio.gather(*clients, return_exceptions=True)
            assert not load.lost
            assert {str(a) for a in load.answers} == {"b'value'"}
            assert {name for name, _ in cluster.seen} == {"a"}

    run(scenario)


# guards against a 404 for a server that only the process before an upgrade had seen on a list
def test_a_server_that_left_the_list_may_be_taken_out_after_an_upgrade_too(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            old = await cluster.start()
            while not list(tmp_path.glob("*-listed.json")):
                await asyncio.sleep(0.01)
            del cluster.caches["b"]
            cluster.path.write_bytes(orjson.dumps(cluster.config()))
            new = await cluster.start()
            old.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                await old.process.wait()
            answers = [await new.call("PUT", f"cache-servers/{name}/offline") for name in ("a", "b", "x")]
            assert [status for status, _ in answers] == [200, 200, 404]

    run(scenario)


def test_upgrade_upon_upgrade_while_out_of_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            first = await cluster.start()
            assert (await first.call("PUT", "out-of-service"))[0] == 200
            second = await cluster.start()
            assert (await second.call("GET", "ready"))[0] == 503
            third = await cluster.start()
            for ended in (first, second):
                ended.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(TIMEOUT):
                    assert await ended.process.wait() == 0
            assert not await ping(await cluster.client())
            assert (await third.call("PUT", "in-service"))[0] == 200
            assert await ping(await cluster.client())
            assert [p.name for p in tmp_path.glob("*.alive")] == [
                p.name for p in tmp_path.glob(f"*-{third.process.pid}.alive")
            ]

    run(scenario)


def test_a_new_process_that_can_t_start_leaves_the_old_one_serving(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, inherit=True) as cluster:
            old = await cluster.start()
            cluster.path.write_bytes(b"{")
            second = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "myrtlecourse",
                env={**os.environ, "RELAY_CONFIG": str(cluster.path), "TMPDIR": str(tmp_path)},
                stderr=asyncio.subprocess.DEVNULL,
            )
            assert await second.wait() == 2
            client = await cluster.client()
            assert await ping(client) and await ask(client, "r", "k") == b"value"
            assert (await old.call("GET", "ready"))[0] == 200

    run(scenario)


def test_discovery_is_reached_again_though_idle_clients_hold_all_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            cluster.path.write_bytes(orjson.dumps({**cluster.config(), "limits": {"sockets": 64}}))
            away = cluster.discovery
            port = parse_address(away.address)
            away.server.close()
            router = await cluster.start(descriptors=64)
            await router.logged("list unavailable, 2 consecutive failures")
            crowd = [await cluster.client() for _ in range(100)]
            for client in crowd[::2]:
                client.write(command("PING"))
            await router.logged("list unavailable, 4 consecutive failures")
            held = len(os.listdir(f"/proc/{router.process.pid}/fd"))
            assert held <= 64
            back = Peer()
            back.server = await asyncio.start_server(back._accept, *port)
            async with asyncio.timeout(6.0):  # after this time the router must know of the drain
                link = await back.links.get()
                await link.http()
            (line, _) = cluster.config()["known"]["endpoints"]
            draining = {**line, "status": "terminating"}
            link.write(http("200 OK", orjson.dumps({"index": 2, "snapshot": False, "endpoints": [draining]})))
            await back.links.get()  # the next request of the watch shows that the change was applied
            client = await cluster.client()
            assert await ask(client, "r", "k") == b"value" and cluster.seen[-1][0] == "b"
            assert "Too many open files" not in "".join(router.lines)
            back.server.close()

    run(scenario)


def test_a_restarted_router_is_ready_by_the_list_it_had_while_discovery_is_away(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            cluster.discovery.server.close()
            router = await cluster.start()
            assert await router.call("GET", "ready") == (200, "ready")
            client = await cluster.client()
            assert await ping(client) and await ask(client, "r", "k") == b"value"

    run(scenario)


def test_a_router_that_ends_is_done_before_it_may_be_killed_and_loses_nothing(tmp_path: Path) -> None:
    """With short deadlines and clients that kept sending, the router was killed with accepted requests."""

    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            kinds = [{**kind, "giveUp": 1.0, "aim": 0.8} for kind in CONF["classes"]]
            cluster.path.write_bytes(orjson.dumps(cluster.config(classes=kinds)))
            router = await cluster.start()
            cluster.slow = NeverAnswered()
            client = await cluster.client()
            answers: list[Any] = []

            async def send_requests() -> None:
                """Sends requests so often that one is always open, and the connection never becomes idle."""
                for n in range(100):
                    client.write(read(f"r{n}", f"k{n}", "c=read,t=x,d=900"))
                    await asyncio.sleep(0.2)

            async def read_answers() -> None:
                with suppress(AssertionError, ConnectionError):
                    while True:
                        answers.append(await client.resp())

            tasks = [asyncio.create_task(send_requests()), asyncio.create_task(read_answers())]
            while len(cluster.seen) < 2:
                await asyncio.sleep(0.001)
            router.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(1.0 + 0.7):  # after that the platform may send SIGKILL
                assert await router.process.wait() == 0
            await tasks[1]
            tasks[0].cancel()
            accepted = len({request for _, request in cluster.seen})
            # all accepted requests were answered, and the last ones were refused
            assert len(answers) >= accepted and str(answers[-1]) == "BUSY"

    run(scenario)


def test_a_duty_that_is_slow_to_be_left_keeps_no_router_beyond_its_end(tmp_path: Path) -> None:
    """The time limit of the shutdown began only after the end of the duty; requests accepted meanwhile were
    lost to SIGKILL."""

    async def scenario() -> None:
        leaving = tmp_path / "leaving"
        command = tmp_path / "announce"
        command.write_text(
            f'#!/bin/sh\n[ "$1" = leave ] && echo $$ > {leaving} && exec sleep 60 2>/dev/null\nexit 0\n'
        )
        command.chmod(0o700)
        (tmp_path / "key").write_bytes(b"of tests, sixteen bytes and more")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            at = format_address(probe.getsockname())
        file = tmp_path / "operators.toml"
        file.write_text(
            f'[duties]\nname = "a"\npeers = [{{name = "a", at = "{at}"}}]\nvoters = ["a"]\n'
            f'key_file = "{tmp_path / "key"}"\nheartbeat = 0.1\nlease = 0.5\nsettle = 0.1\n'
            f'[[duties.duty]]\nname = "announce"\ncommand = ["{command}"]\ntimeout = 60.0\n'
        )
        async with site(tmp_path) as cluster:
            router = await cluster.start(MYRTLECOURSE_FILE=str(file))
            await router.logged(r"duty announce: held here under token (\d+)")
            client = await cluster.client()
            assert await ask(client, "r", "k") == b"value"
            router.process.send_signal(signal.SIGTERM)
            await router.logged("ended; ")
            pid = int(leaving.read_text())
            os.kill(pid, 0)  # the command that leaves the duty still runs
            os.kill(pid, signal.SIGKILL)

    run(scenario, timeout=3 * TIMEOUT)


def test_a_reload_that_is_at_fault_leaves_the_router_open_to_the_next(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = Service(read_config(orjson.dumps(GOOD)), str(tmp_path / "config.json"), None, None)
        tried = asyncio.Queue[int]()

        async def reload() -> None:
            tried.put_nowait(1)
            raise RuntimeError("at fault")

        service._reload = reload  # type: ignore[method-assign]
        task = asyncio.create_task(service._reload_on_request())
        for _ in range(2):
            service.reload()
            assert await tried.get() == 1
        task.cancel()

    run(scenario)
