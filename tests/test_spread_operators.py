"""The operators' view of the spread: the table, calls, commands, and the file of applied entries."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import blake2b
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import msgspec
import orjson
import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.cli import main
from myrtlecourse.config import ConfigError
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.operators import read_operators
from myrtlecourse.ops.calls import KEY_DIGITS, MAX_VALUE_DIGITS, Call, Exchange, Kind, Response, parse_call
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.applied_file import ROTATED_SUFFIX, AppliedFile
from myrtlecourse.spread.driver import Driver
from myrtlecourse.spread.log_duty import OutcomeUnknown, commit
from myrtlecourse.spread.messages import SpreadError
from tests.loopback import run, until
from tests.test_service import site

CONTROL = ("c1", "c2", "c3")


def peer(name: str, port: int) -> dict[str, str]:
    return {"name": name, "at": f"127.0.0.1:{port}"}


def table(**changes: Any) -> dict[str, Any]:
    """Return a valid table of a router."""
    site = {"name": "s", "region": "r", "routers": [peer("a", 11), peer("b", 12)], "parts": [peer("p", 13)]}
    control = [peer(name, number) for number, name in enumerate(CONTROL, 1)]
    fields = {"name": "a", "key_file": "key", "control": control, "site": [site]} | changes
    return {name: value for name, value in fields.items() if value is not None}


def duties(**changes: Any) -> dict[str, Any]:
    peers = [peer(name, number) for number, name in enumerate((*CONTROL, "other"), 21)]
    return {"name": "c1", "key_file": "key", "peers": peers, "voters": list(CONTROL)} | changes


WRITER = {"name": "c1", "duty": "log", "folder": "log"}
SITE = {"name": "s", "region": "r", "routers": [peer("a", 11)]}


def write(folder: Path, **tables: Any) -> Path:
    """Write TOML by hand, as msgspec needs another library to write it."""

    def spell(value: Any) -> str:
        if isinstance(value, dict):
            return "{" + ", ".join(f"{k} = {spell(v)}" for k, v in value.items()) + "}"
        if isinstance(value, list):
            return "[" + ", ".join(map(spell, value)) + "]"
        return msgspec.json.encode(value).decode()

    file = folder / "operators.toml"
    file.write_text("".join(f"{name} = {spell(value)}\n" for name, value in tables.items()))
    return file


def test_a_router_s_table_is_read_and_what_it_leaves_out_is_as_the_settings_have_it(tmp_path: Path) -> None:
    spread_table = read_operators(write(tmp_path, spread=table(rate=50.0, tail=1000))).spread
    assert spread_table is not None
    settings = spread_table.settings()
    assert (settings.name, settings.control, settings.rate, settings.tail) == ("a", CONTROL, 50.0, 1000)
    assert settings.sites == (msg.Site("s", "r", ("a", "b"), ("p",)),)
    assert settings == msg.Settings("a", CONTROL, settings.sites, rate=50.0, tail=1000)
    assert {p.name: p.at for p in spread_table.members()}["p"] == "127.0.0.1:13"


def test_a_control_machine_s_duty_comes_after_the_address_and_has_no_orders(tmp_path: Path) -> None:
    address = {"switch": "127.0.0.1:1"}
    file = read_operators(write(tmp_path, address=address, spread=table(**WRITER), duties=duties()))
    assert [(d.name, d.preferred, d.orders) for d in file.duty_settings().duties] == [
        ("address", (), False),
        ("log", CONTROL, False),
    ]


@pytest.mark.parametrize(
    ("why", "spread", "of_duties"),
    [
        ("unknown field `colour`", table(colour=1), None),
        ("missing required field `key_file`", table(key_file=None), None),
        ("duty: required at a control node", table(name="c1", folder="log"), duties()),
        ("folder: required at a control node", table(name="c1", duty="log"), duties()),
        ("duty: only for a control node", table(duty="log"), None),
        ("folder: only for a control node", table(folder="log"), None),
        ("name: d is neither a control machine nor", table(name="d"), None),
        ("two members share an address", table(listen="127.0.0.1:1", control=[peer("c1", 11)]), None),
        ("a port must be between 1 and 65535", table(control=[peer("c1", 0)]), None),
        ("sites: each member once", table(control=[peer("a", 1)], duty="log", folder="log"), duties()),
        ("sites: each under a name of its own", table(site=[SITE, SITE | {"routers": [peer("z", 9)]}]), None),
        ("routers", table(site=[SITE | {"routers": []}]), None),
        ("lease: at least four times", table(report=1.0), None),
        ("rate: from 0.1", table(rate=0.0), None),
        ("applied_bytes", table(applied_bytes=1), None),
        ("spread.duty: needs the table `duties`", table(**WRITER), None),
        ("spread.duty: address is the name of another", table(**WRITER | {"duty": "address"}), duties()),
        (
            "spread.duty: log is the name of another duty",
            table(**WRITER),
            duties(duty=[{"name": "log", "command": ["/bin/true"]}]),
        ),
        ("spread.name: c2 in `[duties]`, c1 in `[spread]`", table(**WRITER), duties(name="c2")),
        ("not all are in `duties.peers`", table(**WRITER), duties(peers=[peer("c1", 21)], voters=["c1"])),
        ("not all of `duties.voters`", table(**WRITER), duties(voters=["c1", "c2", "other"])),
    ],
)
def test_a_contradiction_is_one_line_with_file_and_field(
    why: str, spread: dict[str, Any], of_duties: dict[str, Any] | None, tmp_path: Path
) -> None:
    tables = {"spread": spread} | ({"duties": of_duties} if of_duties is not None else {})
    file = write(tmp_path, **tables)
    with pytest.raises(ConfigError) as caught:
        read_operators(file)
    assert str(caught.value).startswith(f"{file}: ") and "\n" not in str(caught.value)
    assert why in str(caught.value)


# Calls


def sent(method: str, path: str) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: r\r\n\r\n".encode()


def test_calls_for_entries_are_known() -> None:
    key = "00112233aabbCCDD"
    assert Exchange().receive(sent("GET", "/control/spread")) == Call(Kind.SPREAD)
    call = Exchange().receive(sent("PUT", f"/control/spread/purge/{key}"))
    assert call == Call(Kind.SPREAD_PURGE, key=bytes.fromhex(key))
    call = Exchange().receive(sent("PUT", f"/control/spread/send/{key}/6f6b"))
    assert call == Call(Kind.SPREAD_SEND, key=bytes.fromhex(key), value=b"ok")
    longest = Exchange().receive(sent("PUT", f"/control/spread/send/{key}/{'ff' * msg.MAX_VALUE_BYTES}"))
    assert isinstance(longest, Call) and len(longest.value) == msg.MAX_VALUE_BYTES


def test_calls_bear_what_the_log_takes() -> None:
    assert KEY_DIGITS == 2 * msg.KEY_BYTES and MAX_VALUE_DIGITS == 2 * msg.MAX_VALUE_BYTES


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("PUT", "", 405),
        ("GET", f"/purge/{'0' * 16}", 405),
        ("PUT", "/purge", 400),
        ("PUT", f"/purge/{'0' * 15}", 400),
        ("PUT", f"/purge/{'0' * 17}", 400),
        ("PUT", f"/purge/{'0' * 15}g", 400),
        ("PUT", f"/purge/{'0' * 16}/00", 404),
        ("PUT", f"/purge/{'0' * 16}/", 404),
        ("PUT", f"/send/{'0' * 16}/0", 400),
        ("PUT", f"/send/{'0' * 16}/{'0' * (MAX_VALUE_DIGITS + 2)}", 400),
        ("PUT", f"/send/{'0' * 16}/zz", 400),
        ("PUT", f"/forget/{'0' * 16}", 404),
    ],
)
def test_calls_for_no_entry_are_refused(method: str, path: str, status: int) -> None:
    answer = parse_call(method.encode(), f"/control/spread{path}".encode())
    assert isinstance(answer, Response) and answer.status == HTTPStatus(status)


@given(st.binary(max_size=80))
def test_no_path_breaks_the_reading_of_an_entry(rest: bytes) -> None:
    told = parse_call(b"PUT", b"/control/spread/" + rest)
    assert isinstance(told, Call | Response)
    if isinstance(told, Call):
        assert len(told.key) == msg.KEY_BYTES and len(told.value) <= msg.MAX_VALUE_BYTES


# The file of applied entries

PURGE, CHANGE = msg.Purge(b"12345678"), msg.Change(b"abcdefgh", b"\x00v")


def lines(path: Path) -> list[str]:
    """Return the file's lines without their times."""
    return [line.partition(" ")[2] for line in path.read_text().splitlines()]


def test_what_is_applied_is_a_line_each_with_its_time(tmp_path: Path) -> None:
    path, before = tmp_path / "applied", time.monotonic()
    file = AppliedFile(path, 10_000)
    for action in (
        *(msg.LeaseChanged(True), msg.Apply(7, (PURGE, CHANGE)), msg.AssumePurged(1, 6)),
        *(msg.Restore(3, CHANGE), msg.Watermark(7, 2, 1)),
    ):
        file.add(action)
    assert lines(path) == ["start", "vouches no"]  # nothing else until `flush`
    file.flush()
    file.close()
    assert lines(path) == [
        "start",
        "vouches no",
        "vouches yes",
        "7 purge 3132333435363738",
        "8 change 6162636465666768 0076",
        "forget 1 6",
        "3 change 6162636465666768 0076",
        "done 7 2 1",
        "vouches no",
    ]
    times = [float(line.split()[0]) for line in path.read_text().splitlines()]
    assert times == sorted(times) and before - 1e-6 <= times[0] <= times[-1] <= time.monotonic() + 1e-6


def test_the_file_is_gone_on_with_and_begun_anew_at_its_bound(tmp_path: Path) -> None:
    path = tmp_path / "applied"
    for number in range(2):
        file = AppliedFile(path, 4096)
        file.add(msg.Apply(number, (PURGE,)))
        file.close()
    assert [line for line in lines(path) if "purge" in line] == [
        f"{n} purge {PURGE.key.hex()}" for n in (0, 1)
    ]
    file, longest = AppliedFile(path, 4096), 0
    file.add(msg.LeaseChanged(True))
    for number in range(2, 1002):
        file.add(msg.Apply(number, (PURGE,)))
        file.flush()
        longest = max(longest, path.stat().st_size)
    assert 4096 <= longest < 4096 + 100
    # A follower that reads the previous file to its end has all recent entries and the state of the lease.
    assert lines(path)[0] == "vouches yes"
    both = lines(path.with_name(path.name + ROTATED_SUFFIX)) + lines(path)
    numbers = [int(line.split()[0]) for line in both if "purge" in line]
    assert numbers == list(range(numbers[0], 1002))


def test_a_disk_that_takes_no_more_is_an_error(tmp_path: Path) -> None:
    full = Path("/dev/full")
    if not full.exists():
        pytest.skip("this machine has no device that is full")
    with pytest.raises(OSError, match="No space left"):
        AppliedFile(full, 4096)


@pytest.mark.processes
def test_a_router_whose_table_cannot_be_ends_with_a_line_and_code_2(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "key").write_bytes(b"k" * 16)
        gone = tmp_path / "gone"
        spread = table(name="c1", duty="log", folder=str(gone), key_file=str(tmp_path / "key"))
        file = write(tmp_path, spread=spread, duties=duties(key_file=str(tmp_path / "key")))
        async with site(tmp_path) as here:
            here.path.write_bytes(orjson.dumps(here.config()))
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "myrtlecourse"),
                env=os.environ | {"RELAY_CONFIG": str(here.path), "MYRTLECOURSE_FILE": str(file)},
                stderr=asyncio.subprocess.PIPE,
            )
            _, said_last = await process.communicate()
        assert process.returncode == 2
        assert f"spread.folder: {gone} is no folder" in said_last.decode().splitlines()[-1]
        assert b"listening" not in said_last

    run(scenario)


# Commands


class PreparedAnswers(BaseHTTPRequestHandler):
    """A member's operators' address with prepared answers."""

    def _answer(self) -> None:
        server: Any = self.server
        server.asked.append((self.command, self.path))
        code, text = server.answers.pop(0) if len(server.answers) > 1 else server.answers[0]
        self.send_response(code)
        self.end_headers()
        self.wfile.write(text.encode())

    do_GET = do_PUT = _answer

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the message."""


@contextmanager
def answering(*answers: tuple[int, str]) -> Iterator[Any]:
    """Run a server that gives these answers in sequence and repeats the last one."""
    server: Any = ThreadingHTTPServer(("127.0.0.1", 0), PreparedAnswers)
    server.answers, server.asked = list(answers), []
    server.at = f"127.0.0.1:{server.server_address[1]}"
    thread = Thread(target=server.serve_forever)
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def status_json(done: list[int] | None) -> str:
    status = {"name": "c1", "holder": "c1", "writes": True, "vouches": True, "failed": "", "done": done}
    node = {"tier": 0, "children": [{"name": "a", "have": 3}], "counts": {"stale": 0}}
    return json.dumps(status | {"node": node, "head": None, "sent": 1, "dropped": {"replayed": 2}})


def spread(*words: str) -> Result:
    return CliRunner().invoke(main, ["spread", *words])


def test_a_purge_goes_to_whoever_writes_the_log_and_is_waited_for() -> None:
    refusal = (503, "the log is not written here; its holder is c1")
    with (
        answering(refusal) as other,
        answering((200, "7"), (200, "8"), (200, status_json([8, 40, 2]))) as holder,
    ):
        done = spread("purge", "x", "y", "--at", other.at, "--at", holder.at, "--wait", "9")
    assert (done.exit_code, done.output) == (0, "7 x\n8 y\ndone everywhere up to 8: 40 members, 2 away\n")
    hashed = [blake2b(name, digest_size=8).hexdigest() for name in (b"x", b"y")]
    paths = [f"/control/spread/purge/{key}" for key in hashed]
    assert other.asked == [("PUT", paths[0])]  # further calls go to the node that accepted the first
    assert holder.asked == [("PUT", paths[0]), ("PUT", paths[1]), ("GET", "/control/spread")]


def test_a_change_s_subject_is_hashed_and_its_value_goes_as_it_is() -> None:
    with answering((200, "9")) as holder:
        done = spread("send", "limits", "rate=2", "--at", holder.at)
    subject = blake2b(b"limits", digest_size=8).hexdigest()
    assert (done.exit_code, done.output) == (0, "9 limits\n")
    assert holder.asked == [("PUT", f"/control/spread/send/{subject}/{b'rate=2'.hex()}")]
    assert spread("send", "limits", "é" * 61, "--at", holder.at).exit_code == 2


def test_an_answer_that_may_have_been_yes_is_not_asked_for_elsewhere() -> None:
    with answering((504, "not known")) as first, answering((200, "9")) as second:
        done = spread("purge", "x", "--at", first.at, "--at", second.at)
    assert done.exit_code == 1 and "not known" in done.stderr and not second.asked


def test_one_that_is_down_is_passed_by_and_all_that_are_down_are_an_error() -> None:
    with answering((200, "9")) as up:
        pass
    with answering((200, "9")) as holder:
        assert spread("purge", "x", "--at", up.at, "--at", holder.at).exit_code == 0
        assert spread("purge", "x", "--at", up.at).exit_code == 2


def test_waiting_has_an_end() -> None:
    with answering((200, "9"), (200, status_json([8, 40, 2]))) as holder:
        done = spread("purge", "x", "--at", holder.at, "--wait", "0.01")
    assert done.exit_code == 1 and "done everywhere up to 8 after 0.01 s" in done.stderr


def test_status_is_a_table_or_json() -> None:
    with answering((200, status_json([8, 40, 2]))) as at:
        plain, as_json = spread("status", "--at", at.at), spread("status", "--at", at.at, "--json")
    assert "8, by 40 members; 2 away" in plain.output and "2 replayed" in plain.output
    assert json.loads(as_json.output)[at.at]["done"] == [8, 40, 2]


# Drivers on loopback

FIGURES: dict[str, Any] = {"lease": 1.0, "report": 0.05, "pause": 0.02}


class Drivers:
    """All members of a small fleet in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.peers = {n: free_address() for n in (*CONTROL, "a", "b", "p")}
        self.by_name: dict[str, Driver] = {}

    def make(self, name: str) -> Driver:
        sites = (msg.Site("s", "r", ("a", "b"), ("p",)),)
        log = self.folder / f"{name}.log"
        if name in CONTROL:
            log.mkdir(exist_ok=True)
        settings = msg.Settings(name, CONTROL, sites, **FIGURES)
        applied = self.folder / f"{name}.applied"
        driver = Driver(
            settings, self.peers, (b"k" * 16, ()), applied, 2**20, log if name in CONTROL else None
        )
        self.by_name[name] = driver
        return driver

    async def start(self, shared: bool = False) -> Driver:
        """Start all members and return the leader's driver."""
        for name in self.peers:
            await self.make(name).start(self.peers[name], shared)
        writer = self.by_name["c1"]
        writer.held_token = lambda: 1
        writer.gain_leadership(1)
        return writer

    def has_applied(self, name: str, entry: msg.Entry) -> bool:
        return any(entry_line(entry) in line for line in lines(self.folder / f"{name}.applied"))

    async def close(self) -> None:
        for driver in self.by_name.values():
            await driver.close()


def entry_line(entry: msg.Entry) -> str:
    return f"purge {entry.key.hex()}" if isinstance(entry, msg.Purge) else f"change {entry.subject.hex()}"


async def commit_when_ready(writer: Driver, entry: msg.Entry) -> int:
    """Propose until the entry is accepted: a new leader first completes its takeover."""
    while True:
        try:
            return await commit(writer, entry)
        except SpreadError:
            await asyncio.sleep(0.01)


def test_an_entry_that_lasts_is_written_by_all_members_and_done_everywhere(tmp_path: Path) -> None:
    async def scenario() -> None:
        drivers = Drivers(tmp_path)
        writer = await drivers.start()
        number = await commit_when_ready(writer, PURGE)
        await until(lambda: all(drivers.has_applied(name, PURGE) for name in drivers.peers))
        await until(lambda: writer.watermark is not None and writer.watermark.number >= number)
        status = writer.status()
        assert status["writes"] and status["holder"] == "c1" and not status["failed"]
        json.dumps(status), json.dumps(drivers.by_name["p"].status())
        await until(lambda: all(k.status()["vouches"] for k in drivers.by_name.values()))
        with pytest.raises(SpreadError, match="its holder is c1"):
            drivers.by_name["c2"].propose(PURGE, lambda _: None)
        # The duty has ended, but the driver has not been notified yet.
        writer.held_token = lambda: None
        with pytest.raises(SpreadError, match="its holder is not known"):
            writer.propose(PURGE, lambda _: None)
        assert not writer.status()["writes"]
        await drivers.close()

    run(scenario)


def test_a_member_that_cannot_write_what_it_applies_falls_silent(tmp_path: Path) -> None:
    async def scenario() -> None:
        drivers = Drivers(tmp_path)
        writer = await drivers.start()
        part = drivers.by_name["p"]
        await until(lambda: part.status()["vouches"])
        assert part.applied_log is not None
        with open("/dev/full", "wb") as full:
            os.dup2(full.fileno(), part.applied_log.file)
        await commit_when_ready(writer, PURGE)
        await until(lambda: bool(part.failure))
        status = part.status()
        assert "can't be written" in status["failed"] and not status["vouches"]
        assert part.transport is None
        await drivers.close()

    run(scenario)


def test_a_process_beside_waits_until_the_one_before_has_let_go(tmp_path: Path) -> None:
    async def scenario() -> None:
        drivers = Drivers(tmp_path)
        await drivers.start()
        before = drivers.by_name["c2"]
        after = drivers.make("c2")
        await after.start(drivers.peers["c2"], shared=True)
        assert after.node is None and after.log_file is None and after.applied_log is None
        await before.close()
        await until(lambda: after.replica is not None)
        await drivers.close()

    run(scenario)


def test_a_disk_that_fails_keeps_nothing_and_says_so(tmp_path: Path) -> None:
    async def scenario() -> None:
        drivers = Drivers(tmp_path)
        writer = await drivers.start()
        await commit_when_ready(writer, PURGE)

        def broken(records: Any) -> None:
            raise OSError("a broken disk")

        assert writer.log_file is not None
        writer.log_file.append = broken  # type: ignore[method-assign]
        with pytest.raises((SpreadError, OutcomeUnknown), match="a broken disk"):
            await commit(writer, CHANGE)
        await drivers.close()

    run(scenario)
