"""The faults of the stand-in fleet as seen through a router's sockets, and a whole run by command."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.scenario import Scenario
from tests.loopback import Link, command, run

KIND = {"name": "b", "boxes": 2, "cores": 1, "connections": 3, "idle": 60.0}
BASE = {
    "kinds": [KIND],
    "classes": [{"name": "read", "work": 0.0, "size": 40}, {"name": "book", "effect": "guarded"}],
}
ANSWER_TIME = 0.2  # seconds; a healthy stand-in answers much faster


class Stand:
    """A fleet, its observations, and connections to it."""

    def __init__(self, **fields: Any) -> None:
        self.told: list[seen.Observation] = []
        self.fleet = Fleet(msgspec.convert(BASE | fields, Scenario), self.told.append)

    async def __aenter__(self) -> Stand:
        await self.fleet.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.fleet.close()

    def do(self, what: str, target: str = "b-0", value: float = 0.0, lasts: float = 0.0) -> None:
        self.fleet.apply_step(Step(0.0, what, target, value, lasts))

    async def link(self, router: str = "router-0", target: str = "b-0") -> Link:
        port = self.fleet.cache_servers[target].ports[router].number
        return Link(*await asyncio.open_connection("127.0.0.1", port))

    async def refused(self, target: str = "b-0") -> bool:
        try:
            (await self.link(target=target)).close()
        except ConnectionRefusedError:
            return True
        return False

    async def document(self, query: str = "") -> dict[str, Any]:
        port = self.fleet.discovery.ports["router-0"].number
        link = Link(*await asyncio.open_connection("127.0.0.1", port))
        link.write(
            f"GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode()
        )
        text: bytes = await link.reader.read()
        link.close()
        found: dict[str, Any] = json.loads(text.partition(b"\r\n\r\n")[2])
        return found


def ask(link: Link, name: str, key: str = "k") -> None:
    link.write(command("C.GET", key, name, "c=read,t=x,d=2000"))


async def silent(link: Link) -> bool:
    """Return whether nothing arrives for a while."""
    try:
        async with asyncio.timeout(ANSWER_TIME):
            await link.resp()
    except TimeoutError:
        return True
    return False


def test_a_box_answers_in_order_what_stands_behind_one_another() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            link = await stand.link()
            for name in ("r1", "r2", "r3"):
                ask(link, name)
            for name in ("r1", "r2", "r3"):
                value, how, report = await link.resp()
                assert value.startswith(name.encode() + b" v") and len(value) == 40
                assert how == b"hit" and report is None
            link.write(command("PING") + command("INFO", "load") + command("C.GET", "k", "r4", "c=none,d=5"))
            assert await link.resp() == b"PONG"
            assert [str(await link.resp())[:6] for _ in range(2)] == ["NOPERM", "ERR un"]

    run(scenario)


def test_a_frozen_box_takes_what_comes_and_goes_on_with_it() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            link, given_up = await stand.link(), await stand.link()
            ask(link, "r0")
            await link.resp()
            stand.do("freeze")
            ask(link, "r1")
            ask(given_up, "r2")
            assert await silent(link)
            given_up.close()
            before = time.monotonic()
            stand.do("thaw")
            assert (await link.resp())[0].startswith(b"r1 ")
            # an attempt sent before its connection was closed is observed with the time at which it was sent
            late = [o for o in stand.told if isinstance(o, seen.AttemptReceived) and o.id == "r2"]
            assert len(late) == 1 and late[0].began < before - ANSWER_TIME / 2

    run(scenario)


def test_a_box_that_crashes_resets_and_comes_back_empty_and_cold_as_the_list_says_late() -> None:
    async def scenario() -> None:
        late = {"notice": 0.0, "added": 0.0}
        async with Stand(discovery=late, origin={"time": 0.001}) as stand:
            stand.fleet.cache_servers["b-0"].model.memory.put(0.0, "k", 1, 10)
            link = await stand.link()
            index = (await stand.document())["index"]
            watch = asyncio.create_task(stand.document(f"?after={index}&wait_ms=9000"))
            stand.do("crash", lasts=1.0)
            assert await link.ended() and await stand.refused()
            assert [(e["name"], e["status"]) for e in (await watch)["endpoints"]] == [("b-0", "terminated")]
            index = stand.fleet.registry.index
            watch = asyncio.create_task(stand.document(f"?after={index}&wait_ms=9000"))
            stand.do("start")
            entry = (await watch)["endpoints"][0]
            assert entry["status"] == "in_service" and abs(entry["since_ms"] / 1000 - time.time()) < 5.0
            box = stand.fleet.cache_servers["b-0"].model
            assert (
                box.memory.size == 0
                and box.core_queue.core_speed.capacity_share(box.started_at) == box.kind.cold
            )
            ask(link := await stand.link(), "r1")
            assert await link.resp() == [None, b"miss", None]
            told = [o.status for o in stand.told if isinstance(o, seen.ListEntrySent) and o.box == "b-0"]
            assert told[-2:] == ["terminated", "in_service"]

    run(scenario)


def test_a_box_that_is_cut_off_stays_silent_and_lets_no_connection_come_up() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            link = await stand.link()
            stand.do("cut")
            ask(link, "r1")
            assert await silent(link)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(ANSWER_TIME):
                    await stand.link()
            stand.do("join")
            assert (await link.resp())[0].startswith(b"r1 ")
            ask(link, "r2")
            assert (await link.resp())[0].startswith(b"r2 ")

    run(scenario)


def test_a_box_refuses_resets_and_drops_what_is_idle() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            link = await stand.link()
            stand.do("refuse")
            assert await stand.refused()
            ask(link, "r1")
            await link.resp()
            stand.do("accept")
            while await stand.refused():
                await asyncio.sleep(0.01)
            stand.do("idle_drop")
            assert await link.ended()
            ask(link := await stand.link(), "r2")
            await link.resp()
            stand.do("reset")
            with pytest.raises((AssertionError, ConnectionError)):
                await link.resp()
            crowd = [await stand.link(target="b-1") for _ in range(4)]
            assert await crowd[3].ended()

    run(scenario)


def test_spoilt_answers_are_none() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            stand.do("spoil", value=1.0)
            for i in range(8):
                link = await stand.link()
                ask(link, f"r{i}")
                text = await link.reader.read()
                assert not text.endswith(b"hit\r\n$-1\r\n") or b"$2" in text[:6]
            stand.do("heal")
            ask(link := await stand.link(), "r9")
            assert (await link.resp())[1] == b"hit"

    run(scenario)


def test_discovery_that_is_away_ends_watches_and_is_refused() -> None:
    async def scenario() -> None:
        async with Stand() as stand:
            index = (await stand.document())["index"]
            watch = asyncio.create_task(stand.document(f"?after={index}&wait_ms=9000"))
            while not stand.fleet.discovery.waiting:
                await asyncio.sleep(0.01)
            stand.do("away", "discovery")
            with pytest.raises((ConnectionError, json.JSONDecodeError)):
                await watch
            with pytest.raises(ConnectionRefusedError):
                await stand.document()
            stand.do("back", "discovery")
            while True:
                try:
                    assert (await stand.document())["snapshot"] is True
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.01)
            hows = [o.how for o in stand.told if isinstance(o, seen.DiscoveryCall)]
            assert hows == ["begun", "ended", "begun", "failed", "begun", "ended"]

    run(scenario)


def test_what_the_origin_gives_is_kept_where_it_was_missed_and_a_write_drops_it() -> None:
    async def scenario() -> None:
        async with Stand(origin={"time": 0.001}) as stand:
            box = await stand.link()
            ask(box, "r1", "a/b")
            assert (await box.resp())[1] == b"miss"
            assert stand.fleet.origin is not None
            port = stand.fleet.origin.ports["router-0"].number
            origin = Link(*await asyncio.open_connection("127.0.0.1", port))
            head = (
                "GET /a%2Fb HTTP/1.1\r\nHost: o\r\nRequest-Id: r1\r\nRequest-Info: c=read,t=x,d=900\r\n\r\n"
            )
            origin.write(head.encode())
            first, _, body = await origin.http()
            assert first == "HTTP/1.1 200 OK" and body.startswith(b"r1 v")
            ask(box, "r2", "a/b")
            assert (await box.resp())[1] == b"hit"
            head = (
                "PUT /a%2Fb HTTP/1.1\r\nHost: o\r\nRequest-Id: w1\r\nRequest-Info: c=book,t=x,d=900,k=5c\r\n"
            )
            origin.write((head + "Content-Length: 4\r\n\r\nslot").encode())
            assert (await origin.http())[2].startswith(b"w1 ")
            ask(box, "r3", "a/b")
            assert (await box.resp())[1] == b"miss"
            assert [o.id for o in stand.told if isinstance(o, seen.WriteExecuted)] == ["w1"]

    run(scenario)


def test_another_zone_is_farther_away() -> None:
    async def scenario() -> None:
        async with Stand(zones=["a", "b"], routers=2, delay=0.1) as stand:
            took = []
            for router in ("router-0", "router-1"):
                link = await stand.link(router)
                began = time.monotonic()
                ask(link, f"r-{router}")
                await link.resp()
                took.append(time.monotonic() - began)
            assert took[1] >= 0.19 > took[0]

    run(scenario)


@pytest.mark.processes
def test_the_command_runs_real_routers_under_load_and_judges_them(tmp_path: Path) -> None:
    scenario, load = tmp_path / "s.toml", tmp_path / "l.toml"
    scenario.write_text(
        'seconds = 3\nrouters = 2\nkinds = [{name = "b", boxes = 2}]\norigin = {time = 0.005}\n'
        'faults = [{what = "freeze", at = 0.5, box = "b-0", seconds = 0.5},'
        ' {what = "restart", at = 1, router = 0, kill = true}]\n'
    )
    load.write_text("pieces = [{seconds = 9, rate = 50}]\nclients = {retries = 2}")
    folder, html, figures = tmp_path / "f", tmp_path / "r.html", tmp_path / "r.json"
    options = ["--load", str(load), "--folder", str(folder), "--html", str(html), "--json", str(figures)]
    child = [sys.executable, "-m", "myrtlecourse", "fleet", str(scenario), *options]
    done = subprocess.run(child, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0, done.stderr + done.stdout
    told = json.loads(figures.read_text())
    assert told["served"] > 100 and told["verdict"]["kept"] and told["verdict"]["seen"]["router_down"] == 3
    assert "freeze b-0" in html.read_text() and "drains are kept" in html.read_text()
    judge = [sys.executable, "-m", "myrtlecourse", "audit", str(folder), "--json"]
    again = subprocess.run(judge, capture_output=True, text=True, timeout=60, check=False)
    assert again.returncode == 0 and json.loads(again.stdout)["breaches"] == told["verdict"]["breaches"]
    (folder / "x.jsonl").write_text('{"saw":"answered","at":1e9,"id":"x","how":"served","made":false}\n')
    assert subprocess.run(judge, capture_output=True, timeout=60, check=False).returncode == 1


@pytest.mark.processes
@pytest.mark.parametrize(
    ("arguments", "code", "named"),
    [
        (("fleet", "none.toml"), 2, "none.toml"),
        (("audit", "none"), 2, "no observations"),
        (("fleet", "s.toml", "--routers", "--router", "false", "--folder", "f"), 2, "router-0 did not start"),
    ],
)
def test_what_cannot_begin_says_why(
    tmp_path: Path, arguments: tuple[str, ...], code: int, named: str
) -> None:
    (tmp_path / "s.toml").write_text("seconds = 1")
    paths = [str(tmp_path / a) if a in ("none.toml", "none", "s.toml", "f") else a for a in arguments]
    child = [sys.executable, "-m", "myrtlecourse", *paths]
    done = subprocess.run(child, capture_output=True, text=True, timeout=60, check=False)
    # the console wraps a long path over lines
    assert done.returncode == code and named in done.stderr.replace("\n", ""), done.stderr
