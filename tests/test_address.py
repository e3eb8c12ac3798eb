"""Tests of the service address: sealed datagrams, stored votes, links, and real routers on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
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
from myrtlecourse.address.driver import AddressDriver
from myrtlecourse.address.link import CommandLink, LinkError, LinkUpdater
from myrtlecourse.address.votes import VotesError, read_votes, write_votes
from myrtlecourse.config import ConfigError
from myrtlecourse.election import messages
from myrtlecourse.fleet.address_switch import AddressSwitch
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.operators import read_operators
from myrtlecourse.peers.seal import MAX_DATAGRAM, REPLAY_WINDOW, Dropped
from myrtlecourse.peers.wire import Control, Wire
from tests.loopback import TIMEOUT, Link, format_address, read, run
from tests.test_service import Process, Site, ask, ping, site

KEY = b"a common key of voters"
THREE = ("a", "b", "c")
EXAMPLES = [
    messages.Ask(3, 2**61, True),
    messages.Grant(3, 7, False),
    messages.Deny(2**50),
    messages.Beat(1, 1),
    messages.Renew(1, 1),
    messages.Release(9),
    messages.Take(9),
]


def end(name: str, voters: tuple[str, ...], key: bytes, start: int) -> Wire[messages.Message]:
    """Returns the end of a voter."""
    return Wire(name, voters, key, start, ElectionCodec())


def pair() -> tuple[Wire[messages.Message], Wire[messages.Message]]:
    """Returns the ends of two voters that have greeted each other."""
    a, b = end("a", THREE, KEY, 11), end("b", THREE, KEY, 22)
    assert b.open(a.hello("b")) == ("a", Control.GREETING)
    assert a.open(b.hello("a")) == ("b", Control.GREETING)
    return a, b


@pytest.mark.parametrize("message", EXAMPLES)
def test_a_message_comes_as_it_went_and_once(message: messages.Message) -> None:
    a, b = pair()
    data = a.pack("b", message)
    assert len(data) <= MAX_DATAGRAM
    assert b.open(data) == ("a", message)
    with pytest.raises(Dropped, match="replayed"):
        b.open(data)
    assert b.dropped["replayed"] == 1


# Guards against a codec that changes what goes over the wire: processes of two versions elect together.
def test_the_wire_form_of_messages_is_as_it_was() -> None:
    codec = ElectionCodec()
    forms: list[tuple[messages.Message, list[Any]]] = [
        (messages.Ask(3, 7, True), ["ask", 3, 7, True]),
        (messages.Grant(3, 7, False), ["grant", 3, 7, False]),
        (messages.Deny(4), ["deny", 4]),
        (messages.Beat(3, 8), ["beat", 3, 8]),
        (messages.Renew(3, 8), ["renew", 3, 8]),
        (messages.Release(3), ["release", 3]),
        (messages.Take(3, True), ["take", 3, True]),
        (messages.Invite(3), ["invite", 3]),
    ]
    for message, parts in forms:
        assert codec.parts(message) == parts and codec.read(parts) == message
        for wrong in (parts[:-1], [*parts, 1], [*parts[:-1], "3"], [*parts[:-1], 0.5], ["none", *parts[1:]]):
            with pytest.raises(Dropped, match="malformed"):
                codec.read(wrong)


def test_messages_may_pass_one_another_within_the_window() -> None:
    a, b = pair()
    sent = [a.pack("b", messages.Beat(1, n)) for n in range(REPLAY_WINDOW + 1)]
    assert b.open(sent[-1])[1] == messages.Beat(1, REPLAY_WINDOW)
    for data in reversed(sent[1:-1]):
        b.open(data)
    with pytest.raises(Dropped, match="replayed"):
        b.open(sent[0])  # too old to be distinguished from a replay


@given(st.data())
def test_what_was_changed_anywhere_is_dropped(data: st.DataObject) -> None:
    a, b = pair()
    sent = bytearray(a.pack("b", messages.Beat(4, 5)))
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
        end("c", THREE, KEY, 33).open(a.pack("b", messages.Beat(1, 1)))  # sealed for another receiver
    with pytest.raises(Dropped, match="no member"):
        b.open(end("x", ("x", "b"), KEY, 44).pack("b", messages.Beat(1, 1)))
    with pytest.raises(Dropped, match="forged"):
        b.open(end("a", THREE, b"another key of voters", 55).pack("b", messages.Beat(1, 1)))
    with pytest.raises(ValueError, match="bytes"):
        end("a", THREE, b"short", 1)


def test_what_was_sealed_for_a_process_before_is_answered_with_a_greeting_and_not_taken() -> None:
    """A renewal sealed for a process before its restart would count for a lease that nobody granted."""
    a, _ = pair()
    old = a.pack("b", messages.Renew(1, 1))
    restarted = end("b", THREE, KEY, 23)
    assert restarted.open(old) == ("a", Control.STALE)
    assert a.open(restarted.hello("a")) == ("b", Control.GREETING)
    assert restarted.open(a.pack("b", messages.Renew(1, 2))) == ("a", messages.Renew(1, 2))


def test_a_sender_that_has_restarted_is_not_followed_back() -> None:
    a, b = pair()
    old = a.pack("b", messages.Beat(1, 1))
    new = end("a", THREE, KEY, 12)
    new.open(b.hello("a"))
    assert b.open(new.pack("b", messages.Beat(2, 1))) == ("a", messages.Beat(2, 1))
    with pytest.raises(Dropped, match="over"):
        b.open(old)


def test_votes_last(tmp_path: Path) -> None:
    path = tmp_path / "votes"
    assert read_votes(path) == messages.Saved()
    write_votes(path, messages.Saved(7, "b"))
    write_votes(path, messages.Saved(8, ""))
    assert read_votes(path) == messages.Saved(8, "")


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_torn_or_changed_file_of_votes_is_refused(at: int, flip: int) -> None:
    import tempfile  # noqa: PLC0415  (a folder per example)

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "votes"
        write_votes(path, messages.Saved(7, "b"))
        text = bytearray(path.read_bytes())
        at %= len(text)
        path.write_bytes(text[:at])
        with pytest.raises(VotesError):
            read_votes(path)
        text[at] ^= flip
        path.write_bytes(text)
        with suppress(VotesError):
            assert read_votes(path) == messages.Saved(7, "b")  # the changed byte had no meaning


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
            self.states: list[int | None] = []
            self.fails = 2
            self.changed = asyncio.Event()

        async def announce(self, term: int) -> None:
            if self.fails:
                self.fails -= 1
                raise LinkError("away")
            self.states.append(term)
            self.changed.set()

        async def withdraw(self) -> None:
            self.states.append(None)
            self.changed.set()

    async def scenario() -> None:
        link = Flaky()
        updater = LinkUpdater(link)
        updater.request(1)
        updater.request(2)
        await link.changed.wait()
        assert link.states == [2]
        link.changed.clear()
        updater.request(None)
        await link.changed.wait()
        assert link.states == [2, None]
        updater.close()

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
    ("old", "new", "message"),
    [
        ('name = "a"\npeers', 'name = "x"\npeers', "x is not among them"),
        ("switch =", "swich =", "swich"),
        ("switch =", 'command = ["x"]\nswitch =', "needs either"),
        ('switch = "127.0.0.1:7000"', "", "needs either"),
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
    old: str, new: str, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "router.toml"
    path.write_text(GOOD)
    table = read_operators(path).address
    assert table is not None and table.election_settings().majority == 2
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ConfigError, match=message) as caught:
        read_operators(path)
    assert "router.toml" in str(caught.value)


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
        setup.make_driver(table, lambda: True, lambda here: None, emptied)


def test_not_a_word_goes_out_before_the_vote_is_on_the_disk(tmp_path: Path) -> None:
    """A vote sent before it is stored would be lost at a restart, and could be granted twice in a term."""

    async def scenario() -> None:
        async def emptied() -> None:
            return

        class Silent:
            async def announce(self, term: int) -> None:
                return

            async def withdraw(self) -> None:
                return

        folder = tmp_path / "votes"
        settings = messages.Settings("a", THREE)
        peers = dict.fromkeys(THREE, ("127.0.0.1", 1))
        driver = AddressDriver(
            settings, peers, KEY, Silent(), folder / "file", lambda: True, lambda _: None, emptied
        )
        driver.election.startup_wait_until = 0.0
        driver.loop = asyncio.get_running_loop()
        sent: list[tuple[str, bytes]] = []
        driver.send = lambda to, data: sent.append((to, data))  # type: ignore[method-assign]
        for number in (1, 2):  # the folder does not exist yet
            driver.post(messages.MessageReceived("b", messages.Ask(1, number, False)))
            assert not sent
        folder.mkdir()
        driver.post(messages.MessageReceived("b", messages.Ask(1, 3, False)))
        assert [to for to, _ in sent] == ["b"] and read_votes(folder / "file") == messages.Saved(1, "b")
        await driver.close()

    run(scenario)


class AddressFleet:
    """Three real routers behind a switch, all with the cache servers of one site."""

    def __init__(self, folder: Path, cluster: Site, switch: AddressSwitch, duty: bool) -> None:
        self.duty = duty  # whether the address is one of the duties
        self.folder = folder
        self.cluster = cluster
        self.switch = switch
        self.routers: dict[str, Process] = {}
        self.sockets: dict[str, socket.socket] = {}  # that routers inherit
        (folder / "key").write_bytes(KEY)

    def write(
        self, name: str, voters: tuple[str, ...] = THREE, more: str = "", key: str = "key", told_at: str = ""
    ) -> Path:
        """Writes the operators' file of a router and returns its path."""
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
        """Starts or restarts a router, or a second process of one whose socket is inherited."""
        file = self.write(name)
        if name in self.sockets:
            self.cluster.inherit, self.cluster.socket = True, self.sockets[name]
        config = self.folder / f"{name}.json"
        config.write_bytes(
            orjson.dumps({**self.cluster.config(), "listen": format_address(self.switch.routers[name])})
        )
        shared = self.folder / f"{name}.shared"
        shared.mkdir(exist_ok=True)
        self.routers[name] = await self.cluster.start(
            RELAY_CONFIG=str(config), MYRTLECOURSE_FILE=str(file), TMPDIR=str(shared)
        )
        return self.routers[name]

    async def holder(self, other_than: str = "") -> str:
        """Waits until a router other than `other_than` has the address, and returns its name."""
        while (name := self.switch.holder) in ("", other_than):
            await asyncio.sleep(0.01)
        return name

    async def wait_for_promises(self, holder: str) -> None:
        """Waits until all others have promised the holder its lease: from then on each of them may vote.

        A router promises nothing before a lease's time has passed since its start, but is able to campaign
        sooner.
        """
        for name in THREE:
            while name != holder and (await status(self.routers[name]))["word_given_to"] != holder:
                await asyncio.sleep(0.01)

    async def client(self) -> Link:
        return Link(*await asyncio.open_connection(*self.switch.address))


@asynccontextmanager
async def places(folder: Path, duty: bool = False, inherit: bool = False) -> AsyncIterator[AddressFleet]:
    async with site(folder) as cluster:
        switch = AddressSwitch({name: free_address() for name in THREE})
        await switch.start()
        await switch.relays.open({name: free_address() for name in THREE})
        fleet = AddressFleet(folder, cluster, switch, duty)
        if inherit:
            fleet.sockets = {name: socket.create_server(at) for name, at in switch.routers.items()}
        try:
            await asyncio.gather(*(fleet.start(name) for name in THREE))
            yield fleet
        finally:
            switch.close()
            for each in fleet.sockets.values():
                each.close()


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
        async with places(tmp_path, duty) as fleet:
            first = await fleet.holder()
            client = await fleet.client()
            assert await ping(client) and await ask(client, "r1", "k") == b"value"
            old = fleet.routers[first]
            os.kill(old.process.pid, signal.SIGKILL if how == "killed" else signal.SIGSTOP)
            second = await fleet.holder(first)
            assert await client.ended()
            client = await fleet.client()
            assert await ping(client) and await ask(client, "r2", "k") == b"value"
            if how == "killed":
                await old.process.wait()
                old = await fleet.start(first)
            else:
                late = Link(*await asyncio.open_connection(*fleet.switch.routers[first]))
                late.write(read("late"))  # waits in the backlog of the stopped router
                os.kill(old.process.pid, signal.SIGCONT)
                assert await late.ended()
                assert not any(request == "late" for _, request in fleet.cluster.seen)
            while (await status(old))["word_given_to"] != second:
                await asyncio.sleep(0.01)
            assert fleet.switch.holder == second
            assert not (await status(old))["holds"] and (await status(fleet.routers[second]))["holds"]
            assert (await old.call("GET", "ready")) == (503, "the service address is elsewhere")

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
def test_a_move_and_a_drain_hand_the_address_over(duty: bool, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty) as fleet:
            first = await fleet.holder()
            to = next(n for n in THREE if n != first)
            await fleet.wait_for_promises(first)
            busy = await fleet.client()
            fleet.cluster.slow["long"] = asyncio.Event()
            busy.write(read("long"))
            while not any(request == "long" for _, request in fleet.cluster.seen):
                await asyncio.sleep(0.001)
            # it does not hold the address
            assert (await fleet.routers[to].call("PUT", "address/move"))[0] == 409
            assert (await fleet.routers[first].call("PUT", "address/move/x"))[0] == 409
            assert (await fleet.routers[first].call("PUT", f"address/move/{to}"))[0] == 200
            await asyncio.sleep(0.05)
            fleet.cluster.slow["long"].set()
            assert await busy.resp() == b"value"  # accepted requests end before the address is withdrawn
            assert await fleet.holder(first) == to
            await fleet.wait_for_promises(to)
            assert (await fleet.routers[to].call("PUT", "out-of-service"))[0] == 200
            third = await fleet.holder(to)
            client = await fleet.client()
            assert await ping(client) and await ask(client, "r", "k") == b"value"
            fleet.routers[third].process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT):
                assert await fleet.routers[third].process.wait() == 0
                await fleet.holder(third)

    run(scenario)


@pytest.mark.processes
def test_in_a_split_the_minority_lets_go_before_the_majority_elects(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as fleet:
            first = await fleet.holder()
            fleet.switch.ignored_routers.add(first)  # the withdrawal is lost, too
            fleet.switch.split({first})
            second = await fleet.holder(first)
            assert not (await status(fleet.routers[first]))["holds"]
            direct = Link(*await asyncio.open_connection(*fleet.switch.routers[first]))
            direct.write(read("split"))
            assert await direct.ended()
            assert not any(request == "split" for _, request in fleet.cluster.seen)
            fleet.switch.split(set())
            fleet.switch.ignored_routers.clear()
            while (await status(fleet.routers[first]))["word_given_to"] != second:
                await asyncio.sleep(0.01)
            assert fleet.switch.holder == second

    run(scenario)


@pytest.mark.processes
def test_without_the_table_no_call_of_the_address_is_known(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            router = await cluster.start()
            assert (await router.call("GET", "address"))[0] == 404
            assert (await router.call("PUT", "address/move"))[0] == 404

    run(scenario)


@pytest.mark.processes
def test_staff_ask_and_move_by_the_command_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as fleet:
            first = await fleet.holder()
            ops = {n: (await p.logged(r"operators call (\S+)\n"))[1] for n, p in fleet.routers.items()}
            at = [f"--at={place}" for place in ops.values()]

            async def command(*words: str) -> tuple[int, bytes]:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "myrtlecourse", "address", *words, stdout=asyncio.subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, out

            code, out = await command("status", "--json", *at)
            statuses = orjson.loads(out)
            assert code == 0 and [s["name"] for s in statuses.values() if s["holds"]] == [first]
            to = next(n for n in THREE if n != first)
            assert (await command("move", to, f"--at={ops[to]}"))[0] == 1  # it does not hold the address
            assert (await command("move", to, f"--at={ops[first]}"))[0] == 0
            assert await fleet.holder(first) == to
            assert (await command("status", "--at=127.0.0.1:1"))[0] == 2

    run(scenario)


@pytest.mark.processes
def test_voters_go_by_a_reload_one_at_a_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as fleet:
            first = await fleet.holder()
            # otherwise the lease may depend on the promise of the removed voter
            await fleet.wait_for_promises(first)
            others = tuple(n for n in THREE if n != first)
            fleet.write(first, (first,))
            fleet.routers[first].process.send_signal(signal.SIGHUP)
            await fleet.routers[first].logged("add or remove one at a time")
            two = (first, others[0])
            for name in two:
                fleet.write(name, two, "even_voters = true\n")
                fleet.routers[name].process.send_signal(signal.SIGHUP)
                await fleet.routers[name].logged("voters for the service address")
            os.kill(fleet.routers[others[1]].process.pid, signal.SIGKILL)
            await asyncio.sleep(1.0)  # two leases
            holder = await status(fleet.routers[first])
            assert holder["holds"] and holder["voters"] == list(two)
            for text in ("", "[address]", "[other]"):
                file = tmp_path / f"{first}.toml"
                file.write_text(text)
                before = "".join(fleet.routers[first].lines).count("file not taken")
                fleet.routers[first].process.send_signal(signal.SIGHUP)
                while "".join(fleet.routers[first].lines).count("file not taken") == before:
                    await asyncio.sleep(0.001)
            assert (await status(fleet.routers[first]))["holds"]

    run(scenario)


@pytest.mark.processes
def test_a_new_key_and_another_switch_go_by_a_reload(tmp_path: Path) -> None:
    """No router loses the address during the reloads, and the next holder announces it to the new switch."""

    async def scenario() -> None:
        async with places(tmp_path) as fleet:
            first = await fleet.holder()
            (tmp_path / "new").write_bytes(b"another common key of voters")
            other = AddressSwitch(fleet.switch.routers)
            await other.start()
            at = format_address(other.control_address)
            also = 'also_key_files = ["{}"]\n'
            for number, (key, further_key) in enumerate((("key", "new"), ("new", "key"), ("new", ""))):
                for name in THREE:
                    more = also.format(tmp_path / further_key) if further_key else ""
                    fleet.write(name, THREE, more, key, at)
                    fleet.routers[name].process.send_signal(signal.SIGHUP)
                    router = fleet.routers[name]
                    while "".join(router.lines).count("service address: keys and link reloaded") <= number:
                        await asyncio.sleep(0.001)
                await asyncio.sleep(0.3)
                assert (await status(fleet.routers[first]))["holds"]
            code, _ = await fleet.routers[first].call("PUT", "address/move")
            assert code == 200
            while other.holder in ("", first):
                await asyncio.sleep(0.01)
            assert sum([(await status(r))["holds"] for r in fleet.routers.values()]) == 1
            other.close()

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("line", ['heartbeat = "x"', "least_share = 2.0", "list_age = 0", "surprise = 1"])
def test_a_start_with_a_file_that_can_t_hold_ends_with_its_name(line: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path) as cluster:
            (tmp_path / "router.toml").write_text(GOOD + line + "\n")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "myrtlecourse",
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(cluster.path),
                    "MYRTLECOURSE_FILE": str(tmp_path / "router.toml"),
                },
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert b"router.toml" in errors and line.split(" ", maxsplit=1)[0].encode() in errors

    run(scenario)
