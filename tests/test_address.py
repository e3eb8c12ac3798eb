"""The service address on loopback: sealed datagrams, votes on disk, links, and real routers."""

from __future__ import annotations

import asyncio
import os
import signal
import stat
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.address import setup
from myrtlecourse.address.codec import ElectionCodec
from myrtlecourse.address.keeper import Keeper
from myrtlecourse.address.link import CommandLink, LinkError, Words
from myrtlecourse.address.votes import VotesError, read_votes, write_votes
from myrtlecourse.config import ConfigError
from myrtlecourse.election import messages as said
from myrtlecourse.fleet.address_switch import AddressSwitch
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.operators import read_operators
from myrtlecourse.peers.seal import MAX_DATAGRAM, REPLAY_WINDOW, Dropped
from myrtlecourse.peers.wire import Control, Wire
from tests.loopback import TIMEOUT, Link, format_address, read, run
from tests.test_service import Process, Site, ask, ping, site

KEY = b"a common key of voters"
THREE = ("a", "b", "c")
MESSAGES = [
    said.Ask(3, 2**61, True),
    said.Grant(3, 7, False),
    said.Deny(2**50),
    said.Beat(1, 1),
    said.Renew(1, 1),
    said.Release(9),
    said.Take(9),
]


def end(name: str, voters: tuple[str, ...], key: bytes, start: int) -> Wire[said.Message]:
    """A voter's end."""
    return Wire(name, voters, key, start, ElectionCodec())


def pair() -> tuple[Wire[said.Message], Wire[said.Message]]:
    """Two voters' ends that have greeted each other."""
    a, b = end("a", THREE, KEY, 11), end("b", THREE, KEY, 22)
    assert b.open(a.hello("b")) == ("a", Control.GREETING)
    assert a.open(b.hello("a")) == ("b", Control.GREETING)
    return a, b


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_comes_as_it_went_and_once(message: said.Message) -> None:
    a, b = pair()
    data = a.pack("b", message)
    assert len(data) <= MAX_DATAGRAM
    assert b.open(data) == ("a", message)
    with pytest.raises(Dropped, match="replayed"):
        b.open(data)
    assert b.dropped["replayed"] == 1


def test_messages_may_pass_one_another_within_the_window() -> None:
    a, b = pair()
    sent = [a.pack("b", said.Beat(1, n)) for n in range(REPLAY_WINDOW + 1)]
    assert b.open(sent[-1])[1] == said.Beat(1, REPLAY_WINDOW)
    for data in reversed(sent[1:-1]):
        b.open(data)
    with pytest.raises(Dropped, match="replayed"):
        b.open(sent[0])  # too old to be told from a repeat


@given(st.data())
def test_what_was_changed_anywhere_is_dropped(data: st.DataObject) -> None:
    a, b = pair()
    sent = bytearray(a.pack("b", said.Beat(4, 5)))
    at = data.draw(st.integers(0, len(sent) - 1))
    sent[at] ^= data.draw(st.integers(1, 255))
    with pytest.raises(Dropped, match="forged"):
        b.open(bytes(sent))


@given(st.binary(max_size=700))
def test_noise_is_dropped(noise: bytes) -> None:
    _, b = pair()
    with pytest.raises(Dropped):
        b.open(noise)


def test_strangers_other_receivers_and_other_keys_are_dropped() -> None:
    a, b = pair()
    with pytest.raises(Dropped, match="forged"):
        end("c", THREE, KEY, 33).open(a.pack("b", said.Beat(1, 1)))  # it was for another
    with pytest.raises(Dropped, match="no member"):
        b.open(end("x", ("x", "b"), KEY, 44).pack("b", said.Beat(1, 1)))
    with pytest.raises(Dropped, match="forged"):
        b.open(end("a", THREE, b"another key of voters", 55).pack("b", said.Beat(1, 1)))
    with pytest.raises(ValueError, match="bytes"):
        end("a", THREE, b"short", 1)


def test_what_was_sealed_for_a_process_before_is_answered_with_a_greeting_and_not_taken() -> None:
    """A renewal from before a restart would bear a lease that nobody gave."""
    a, _ = pair()
    old = a.pack("b", said.Renew(1, 1))
    again = end("b", THREE, KEY, 23)
    assert again.open(old) == ("a", Control.STALE)
    assert a.open(again.hello("a")) == ("b", Control.GREETING)
    assert again.open(a.pack("b", said.Renew(1, 2))) == ("a", said.Renew(1, 2))


def test_a_sender_that_has_restarted_is_not_followed_back() -> None:
    a, b = pair()
    old = a.pack("b", said.Beat(1, 1))
    new = end("a", THREE, KEY, 12)
    new.open(b.hello("a"))
    assert b.open(new.pack("b", said.Beat(2, 1))) == ("a", said.Beat(2, 1))
    with pytest.raises(Dropped, match="over"):
        b.open(old)


def test_votes_last(tmp_path: Path) -> None:
    path = tmp_path / "votes"
    assert read_votes(path) == said.Saved()
    write_votes(path, said.Saved(7, "b"))
    write_votes(path, said.Saved(8, ""))
    assert read_votes(path) == said.Saved(8, "")


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_torn_or_changed_file_of_votes_is_refused(at: int, flip: int) -> None:
    import tempfile  # noqa: PLC0415  (a folder for each example)

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "votes"
        write_votes(path, said.Saved(7, "b"))
        text = bytearray(path.read_bytes())
        at %= len(text)
        path.write_bytes(text[:at])
        with pytest.raises(VotesError):
            read_votes(path)
        text[at] ^= flip
        path.write_bytes(text)
        with suppress(VotesError):
            assert read_votes(path) == said.Saved(7, "b")  # what was changed said nothing


def script(folder: Path, text: str) -> str:
    path = folder / "link.sh"
    path.write_text("#!/bin/sh\n" + text)
    path.chmod(path.stat().st_mode | stat.S_IXUSR)
    return str(path)


@pytest.mark.processes
def test_a_command_announces_and_withdraws(tmp_path: Path) -> None:
    async def scenario() -> None:
        link = CommandLink((script(tmp_path, f'echo "$@" >> {tmp_path}/said'),), 5.0)
        await link.announce(4)
        await link.withdraw()
        assert (tmp_path / "said").read_text() == "announce 4\nwithdraw\n"

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize(("text", "why"), [("exit 3", "exit code 3"), ("exec sleep 60", "not done in")])
def test_a_command_that_fails_or_hangs_is_told(text: str, why: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        with pytest.raises(LinkError, match=why):
            await CommandLink((script(tmp_path, text),), 0.3).announce(1)
        with pytest.raises(LinkError):
            await CommandLink((str(tmp_path / "none"),), 0.3).withdraw()

    run(scenario)


def test_a_word_that_was_not_heard_is_said_again_and_one_overtaken_is_not() -> None:
    class Flaky:
        def __init__(self) -> None:
            self.heard: list[int | None] = []
            self.fails = 2
            self.told = asyncio.Event()

        async def announce(self, term: int) -> None:
            if self.fails:
                self.fails -= 1
                raise LinkError("away")
            self.heard.append(term)
            self.told.set()

        async def withdraw(self) -> None:
            self.heard.append(None)
            self.told.set()

    async def scenario() -> None:
        link = Flaky()
        words = Words(link)
        words.say(1)
        words.say(2)
        await link.told.wait()
        assert link.heard == [2]
        link.told.clear()
        words.say(None)
        await link.told.wait()
        assert link.heard == [2, None]
        words.close()

    run(scenario)


GOOD = """
[address]
name = "a"
peers = [{name = "a", at = "127.0.0.1:7001"}, {name = "b", at = "127.0.0.1:7002"},
    {name = "c", at = "127.0.0.1:7003"}]
key_file = "key"
switch = "127.0.0.1:7000"
"""


@pytest.mark.parametrize(
    ("old", "new", "said_"),
    [
        ('name = "a"\npeers', 'name = "x"\npeers', "x is not among them"),
        ("switch =", "swich =", "swich"),
        ("switch =", 'command = ["x"]\nswitch =', "one of them"),
        ('switch = "127.0.0.1:7000"', "", "one of them"),
        (',\n    {name = "c", at = "127.0.0.1:7003"}', "", "even_voters"),
        ("127.0.0.1:7003", "127.0.0.1:7002", "share an address"),
        ("127.0.0.1:7003", "127.0.0.1:70030", "port"),
        ("127.0.0.1:7003", "here", "peers"),
        ("switch =", "lease = 1.0\nswitch =", "three heartbeats"),
        ("switch =", "heartbeat = -1\nswitch =", "heartbeat"),
        ("switch =", 'drift = "x"\nswitch =', "drift"),
        ("[address]", "[address", "Invalid|Expected|Unclosed|invalid"),
        ("[address]", "[adress]", "adress"),
    ],
)
def test_a_file_that_can_t_hold_is_named_with_its_place(
    old: str, new: str, said_: str, tmp_path: Path
) -> None:
    path = tmp_path / "router.toml"
    path.write_text(GOOD)
    table = read_operators(path).address
    assert table is not None and table.election().majority == 2
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ConfigError, match=said_) as told:
        read_operators(path)
    assert "router.toml" in str(told.value)


@pytest.mark.parametrize("broken", ["no key", "short key", "torn votes"])
def test_files_that_can_t_be_used_end_the_start(broken: str, tmp_path: Path) -> None:
    path, key, votes = tmp_path / "router.toml", tmp_path / "key", tmp_path / "votes"
    path.write_text(GOOD.replace('"key"', f'"{key}"\nvotes_file = "{votes}"'))
    if broken != "no key":
        key.write_bytes(b"short" if broken == "short key" else KEY)
    if broken == "torn votes":
        votes.write_bytes(b"{")
    table = read_operators(path).address
    assert table is not None

    async def emptied() -> None:
        return

    with pytest.raises(ConfigError, match=r"address\.(key|votes)_file"):
        setup.keeper(table, lambda: True, lambda here: None, emptied)


def test_not_a_word_goes_out_before_the_vote_is_on_the_disk(tmp_path: Path) -> None:
    """Said again to a candidate that asks again, it would be forgotten by a restart and given twice."""

    async def scenario() -> None:
        async def emptied() -> None:
            return

        class Silent:
            async def announce(self, term: int) -> None:
                return

            async def withdraw(self) -> None:
                return

        folder = tmp_path / "votes"
        settings = said.Settings("a", THREE)
        peers = dict.fromkeys(THREE, ("127.0.0.1", 1))
        keeper = Keeper(
            settings,
            peers,
            KEY,
            Silent(),
            folder / "file",
            said.Saved(),
            lambda: True,
            lambda _: None,
            emptied,
        )
        keeper.election.startup_wait_until = 0.0
        keeper.loop = asyncio.get_running_loop()
        out: list[tuple[str, bytes]] = []
        keeper.send = lambda to, data: out.append((to, data))  # type: ignore[method-assign]
        for number in (1, 2):  # there is no such folder
            keeper.post(said.MessageReceived("b", said.Ask(1, number, False)))
            assert not out
        folder.mkdir()
        keeper.post(said.MessageReceived("b", said.Ask(1, 3, False)))
        assert [to for to, _ in out] == ["b"] and read_votes(folder / "file") == said.Saved(1, "b")
        await keeper.close()

    run(scenario)


class Places:
    """Three real routers behind a switch, each before the caches of one site."""

    def __init__(self, folder: Path, here: Site, switch: AddressSwitch, duty: bool) -> None:
        self.duty = duty  # the address is one of the duties
        self.folder = folder
        self.here = here
        self.switch = switch
        self.routers: dict[str, Process] = {}
        (folder / "key").write_bytes(KEY)

    def write(
        self, name: str, voters: tuple[str, ...] = THREE, more: str = "", key: str = "key", told_at: str = ""
    ) -> Path:
        """A router's operators' file."""
        peers = [
            {
                "name": n,
                "at": format_address(
                    self.switch.relays.send_addresses.get((name, n), self.switch.voter_addresses[n])
                ),
            }
            for n in voters
        ]
        lines = ", ".join(f'{{name = "{p["name"]}", at = "{p["at"]}"}}' for p in peers)
        file = self.folder / f"{name}.toml"
        if self.duty:
            file.write_text(
                f'[address]\nswitch = "{format_address(self.switch.control_address)}"\n'
                f'[duties]\nname = "{name}"\n'
                f"peers = [{lines}]\nvoters = {orjson.dumps(voters).decode()}\nunheard = 1.5\n"
                f'key_file = "{self.folder / key}"\nmemory_file = "{self.folder / name}.memory"\n'
                f"heartbeat = 0.1\nlease = 0.5\nsettle = 0.2\nunwell = 0.3\n{more}"
            )
            return file
        file.write_text(
            f'[address]\nname = "{name}"\npeers = [{lines}]\nkey_file = "{self.folder / key}"\n'
            f'votes_file = "{self.folder / name}.votes"\n'
            f'switch = "{told_at or format_address(self.switch.control_address)}"\n'
            f"heartbeat = 0.1\nlease = 0.5\nsettle = 0.2\nunwell = 0.3\n{more}"
        )
        return file

    async def start(self, name: str) -> Process:
        """Start one, or start it again."""
        file = self.write(name)
        config = self.folder / f"{name}.json"
        config.write_bytes(
            orjson.dumps({**self.here.config(), "listen": format_address(self.switch.routers[name])})
        )
        self.routers[name] = await self.here.start(RELAY_CONFIG=str(config), MYRTLECOURSE_FILE=str(file))
        return self.routers[name]

    async def holder(self, other_than: str = "") -> str:
        """Whoever has the address, once somebody has."""
        while (name := self.switch.holder) in ("", other_than):
            await asyncio.sleep(0.01)
        return name

    async def settled(self, holder: str) -> None:
        """Wait until all others have given their word to the holder: then each of them may hold, too.

        A router gives none before a lease has passed since its start, and settles sooner than that.
        """
        for name in THREE:
            while name != holder and (await status(self.routers[name]))["word_given_to"] != holder:
                await asyncio.sleep(0.01)

    async def client(self) -> Link:
        return Link(*await asyncio.open_connection(*self.switch.address))


@asynccontextmanager
async def places(folder: Path, duty: bool = False) -> AsyncIterator[Places]:
    async with site(folder) as here:
        switch = AddressSwitch({name: free_address() for name in THREE})
        await switch.start()
        await switch.relays.open({name: free_address() for name in THREE})
        made = Places(folder, here, switch, duty)
        try:
            await asyncio.gather(*(made.start(name) for name in THREE))
            yield made
        finally:
            switch.close()


async def status(process: Process) -> dict[str, Any]:
    code, text = await process.call("GET", "address")
    assert code == 200
    table: dict[str, Any] = orjson.loads(text)
    return table


@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
@pytest.mark.parametrize("how", ["killed", "stopped"])
def test_the_address_moves_when_its_holder_dies_and_is_not_snatched_back(
    how: str, duty: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty) as there:
            first = await there.holder()
            client = await there.client()
            assert await ping(client) and await ask(client, "r1", "k") == b"value"
            old = there.routers[first]
            os.kill(old.process.pid, signal.SIGKILL if how == "killed" else signal.SIGSTOP)
            second = await there.holder(first)
            assert await client.ended()
            client = await there.client()
            assert await ping(client) and await ask(client, "r2", "k") == b"value"
            if how == "killed":
                await old.process.wait()
                old = await there.start(first)
            else:
                late = Link(*await asyncio.open_connection(*there.switch.routers[first]))
                late.write(read("late"))  # it waits in the backlog of one that stands still
                os.kill(old.process.pid, signal.SIGCONT)
                assert await late.ended()
                assert not any(request == "late" for _, request in there.here.seen)
            while (await status(old))["word_given_to"] != second:
                await asyncio.sleep(0.01)
            assert there.switch.holder == second
            assert not (await status(old))["holds"] and (await status(there.routers[second]))["holds"]
            assert (await old.call("GET", "ready")) == (503, "the service address is elsewhere")

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
def test_a_move_and_a_drain_hand_the_address_over(duty: bool, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty) as there:
            first = await there.holder()
            to = next(n for n in THREE if n != first)
            await there.settled(first)
            busy = await there.client()
            there.here.slow["long"] = asyncio.Event()
            busy.write(read("long"))
            while not any(request == "long" for _, request in there.here.seen):
                await asyncio.sleep(0.001)
            assert (await there.routers[to].call("PUT", "address/move"))[0] == 409  # it has none
            assert (await there.routers[first].call("PUT", "address/move/x"))[0] == 409
            assert (await there.routers[first].call("PUT", f"address/move/{to}"))[0] == 200
            await asyncio.sleep(0.05)
            there.here.slow["long"].set()
            assert await busy.resp() == b"value"  # what was taken ends before the address goes
            assert await there.holder(first) == to
            await there.settled(to)
            assert (await there.routers[to].call("PUT", "out-of-service"))[0] == 200
            third = await there.holder(to)
            client = await there.client()
            assert await ping(client) and await ask(client, "r", "k") == b"value"
            there.routers[third].process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                assert await there.routers[third].process.wait() == 0
                await there.holder(third)

    run(scenario)


@pytest.mark.processes
def test_in_a_split_the_minority_lets_go_before_the_majority_elects(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as there:
            first = await there.holder()
            there.switch.ignored_routers.add(first)  # its withdrawal is lost as well
            there.switch.split({first})
            second = await there.holder(first)
            assert not (await status(there.routers[first]))["holds"]
            direct = Link(*await asyncio.open_connection(*there.switch.routers[first]))
            direct.write(read("split"))
            assert await direct.ended()
            assert not any(request == "split" for _, request in there.here.seen)
            there.switch.split(set())
            there.switch.ignored_routers.clear()
            while (await status(there.routers[first]))["word_given_to"] != second:
                await asyncio.sleep(0.01)
            assert there.switch.holder == second

    run(scenario)


@pytest.mark.processes
def test_without_the_table_no_call_of_the_address_is_known(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as here:
            router = await here.start()
            assert (await router.call("GET", "address"))[0] == 404
            assert (await router.call("PUT", "address/move"))[0] == 404

    run(scenario)


@pytest.mark.processes
def test_staff_ask_and_move_by_the_command_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as there:
            first = await there.holder()
            ops = {n: (await p.logged(r"operators call (\S+)\n"))[1] for n, p in there.routers.items()}
            at = [f"--at={place}" for place in ops.values()]

            async def command(*words: str) -> tuple[int, bytes]:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "myrtlecourse", "address", *words, stdout=asyncio.subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, out

            code, out = await command("status", "--json", *at)
            told = orjson.loads(out)
            assert code == 0 and [t["name"] for t in told.values() if t["holds"]] == [first]
            to = next(n for n in THREE if n != first)
            assert (await command("move", to, f"--at={ops[to]}"))[0] == 1  # it does not hold it
            assert (await command("move", to, f"--at={ops[first]}"))[0] == 0
            assert await there.holder(first) == to
            assert (await command("status", "--at=127.0.0.1:1"))[0] == 2

    run(scenario)


@pytest.mark.processes
def test_voters_go_by_a_reload_one_at_a_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as there:
            first = await there.holder()
            await there.settled(first)  # else the lease may rest on the word of the one that goes
            others = tuple(n for n in THREE if n != first)
            there.write(first, (first,))
            there.routers[first].process.send_signal(signal.SIGHUP)
            await there.routers[first].logged("add or remove one at a time")
            two = (first, others[0])
            for name in two:
                there.write(name, two, "even_voters = true\n")
                there.routers[name].process.send_signal(signal.SIGHUP)
                await there.routers[name].logged("voters for the service address")
            os.kill(there.routers[others[1]].process.pid, signal.SIGKILL)
            await asyncio.sleep(1.0)  # two leases
            told = await status(there.routers[first])
            assert told["holds"] and told["voters"] == list(two)
            for text in ("", "[address]", "[other]"):
                file = tmp_path / f"{first}.toml"
                file.write_text(text)
                before = "".join(there.routers[first].lines).count("file not taken")
                there.routers[first].process.send_signal(signal.SIGHUP)
                while "".join(there.routers[first].lines).count("file not taken") == before:
                    await asyncio.sleep(0.001)
            assert (await status(there.routers[first]))["holds"]

    run(scenario)


@pytest.mark.processes
def test_a_new_key_and_another_switch_go_by_a_reload(tmp_path: Path) -> None:
    """Nobody loses the address on the way; whoever takes it next tells the switch that is named now."""

    async def scenario() -> None:
        async with places(tmp_path) as there:
            first = await there.holder()
            (tmp_path / "new").write_bytes(b"another common key of voters")
            other = AddressSwitch(there.switch.routers)
            await other.start()
            at = format_address(other.control_address)
            also = 'also_key_files = ["{}"]\n'
            for number, (key, taken) in enumerate((("key", "new"), ("new", "key"), ("new", ""))):
                for name in THREE:
                    more = also.format(tmp_path / taken) if taken else ""
                    there.write(name, THREE, more, key, at)
                    there.routers[name].process.send_signal(signal.SIGHUP)
                    told = there.routers[name]
                    while "".join(told.lines).count("the address's keys and link") <= number:
                        await asyncio.sleep(0.001)
                await asyncio.sleep(0.3)
                assert (await status(there.routers[first]))["holds"]
            code, _ = await there.routers[first].call("PUT", "address/move")
            assert code == 200
            while other.holder in ("", first):
                await asyncio.sleep(0.01)
            assert sum([(await status(r))["holds"] for r in there.routers.values()]) == 1
            other.close()

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("line", ['heartbeat = "x"', "least_share = 2.0", "list_age = 0", "surprise = 1"])
def test_a_start_with_a_file_that_can_t_hold_ends_with_its_name(line: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as here:
            (tmp_path / "router.toml").write_text(GOOD + line + "\n")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "myrtlecourse",
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(here.path),
                    "MYRTLECOURSE_FILE": str(tmp_path / "router.toml"),
                },
                stderr=asyncio.subprocess.PIPE,
            )
            _, said_ = await process.communicate()
            assert process.returncode == 2
            assert b"router.toml" in said_ and line.split(" ", maxsplit=1)[0].encode() in said_

    run(scenario)
