"""Seven real routers and two duties, with faults between them: who is obeyed, what is done, and how soon."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
import shlex
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.routers import COMMAND, Router
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import Outcome, RunningFleet, run_with_load, start_fleet
from myrtlecourse.load.profile import Profile

pytestmark = pytest.mark.processes
ROUTERS = 7
VOTERS = (0, 1, 2)
FAULT_AT = 4.0
SECONDS = 11.0
NETWORK = {"copies": 0.2, "spread": 0.02}  # one in five datagrams is duplicated, and they arrive out of order
LOSSY = NETWORK | {"loss": 0.3}
# `purge` is held by a router without a vote, `tidy` by a voter
PREFERRED = [3, 4, 0]
DUTIES = [{"name": "purge", "preferred": PREFERRED}, {"name": "tidy", "preferred": [0, 1, 5]}]
# computed from the settings: the lease, ten heartbeats, an order's validity; plus time for a busy machine
MAX_GAP = 0.5 + 1.2 + 0.6 + 2.5
ROOT = Path(__file__).parent.parent


def scenario(faults: list[dict[str, Any]], gap: float = MAX_GAP, **changes: Any) -> Scenario:
    plain = {
        "seconds": SECONDS,
        "routers": ROUTERS,
        "kinds": [{"name": "std", "boxes": 4, "cores": 4}],
        "classes": [{"name": "read", "work": 0.002, "aim": 0.5, "deadline": 1.5}],
        "peers": NETWORK,
        "duties": {"voters": list(VOTERS), "each": DUTIES},
        "rules": {"duty_gap": gap},
        "faults": faults,
    }
    return msgspec.convert(plain | changes, Scenario)


PROFILE = {
    "pieces": [{"seconds": SECONDS - 0.5, "rate": 70.0}],
    "classes": [{"name": "read", "aim": 0.5, "deadline": 1.5}],
    "keys": {"count": 100},
}


class Played:
    """The outcome of a run."""

    def __init__(self, folder: Path, plan: Scenario, variant: str = "") -> None:
        command = f"{shlex.quote(sys.executable)} -m tests.wrong_duties {variant}" if variant else COMMAND
        profile = msgspec.convert(PROFILE, Profile)
        self.outcome: Outcome = run_with_load(plan, profile, folder, command, 1, lambda at, counts: None)
        self.verdict = self.outcome.verdict
        observations = list(seen.merge_logs(sorted(folder.glob("*.jsonl"))))
        self.began = next(o.at for o in observations if isinstance(o, seen.RequestSent))
        self.took = [o for o in observations if isinstance(o, seen.HoldsDuty) and o.token]
        self.did = [o for o in observations if isinstance(o, seen.StepDone)]
        self.logs = {log.stem: log.read_text() for log in sorted(folder.glob("router-*.log"))}

    def kept(self) -> None:
        """Checks that all rules were kept and that no process crashed."""
        assert self.verdict["kept"], self.verdict["named"]
        assert not self.outcome.faults

    def holders(self, duty: str, after: float) -> list[str]:
        """Returns the routers that acquired a duty from `after` seconds after the start of the load on, in
        order."""
        return [o.router for o in self.took if o.duty == duty and o.at - self.began >= after]

    def steps(self, duty: str, after: float) -> int:
        """Returns the number of steps done from `after` seconds on."""
        return sum(o.duty == duty and o.at - self.began >= after for o in self.did)


def stall(duty: str, seconds: float) -> dict[str, Any]:
    return {"what": "stall", "at": FAULT_AT, "holder": duty, "seconds": seconds}


def split(routers: list[int], seconds: float = 4.0, **more: Any) -> dict[str, Any]:
    return {"what": "split", "at": FAULT_AT, "routers": routers, "seconds": seconds, **more}


@pytest.mark.parametrize("duty", ["purge", "tidy"])
def test_a_holder_that_is_stopped_is_followed_and_does_nothing_when_it_wakes(
    duty: str, tmp_path: Path
) -> None:
    played = Played(tmp_path, scenario([stall(duty, 4.0)]))
    played.kept()
    assert played.holders(duty, FAULT_AT)[0] != played.holders(duty, -FAULT_AT)[0], played.took
    assert played.steps(duty, FAULT_AT + 5.0) >= 2


def test_holders_that_are_killed_are_followed_and_what_they_did_is_not_done_again(tmp_path: Path) -> None:
    faults = [{"what": "restart", "at": FAULT_AT, "holder": duty, "kill": True} for duty in ("purge", "tidy")]
    # if three in ten messages are lost each way, a lease of five heartbeats expires by itself every few
    # seconds
    duties = {"voters": list(VOTERS), "each": DUTIES, "lease": 1.0}
    played = Played(tmp_path, scenario(faults, peers=LOSSY, gap=2 * MAX_GAP, duties=duties))
    played.kept()
    for duty in ("purge", "tidy"):
        assert played.holders(duty, FAULT_AT) and played.steps(duty, FAULT_AT + 5.0) >= 2
        steps = sorted(o.step for o in played.did if o.duty == duty)
        # only a step that was claimed as its holder died may be left out
        assert steps[-1] - len(steps) <= 1, steps


def test_a_holder_with_most_members_and_without_the_voters_is_followed_on_their_side(tmp_path: Path) -> None:
    """No majority of the members is on the voters' side, so that nobody acts until the split ends."""
    played = Played(tmp_path, scenario([split([3, 4, 5, 6])], gap=0.0))
    played.kept()
    during = [o for o in played.did if FAULT_AT + 1.5 <= o.at - played.began < FAULT_AT + 4.0]
    assert not during
    assert played.steps("purge", FAULT_AT + 5.0) >= 3 and played.steps("tidy", FAULT_AT + 5.0) >= 3


def test_a_holder_with_the_voters_and_without_most_members_gives_up_and_another_tries(tmp_path: Path) -> None:
    """Router 0 reaches only 1 and 2; once members can be reached again, some router is obeyed."""
    faults = [split([0, 1, 2])]
    # its holder is one of these three, whichever was ready first
    duties = {"voters": list(VOTERS), "each": [DUTIES[0], DUTIES[1] | {"preferred": [0, 1, 2]}]}
    played = Played(tmp_path, scenario(faults, gap=0.0, duties=duties))
    played.kept()
    assert "not heard by enough" in "".join(played.logs.values())
    assert played.steps("tidy", FAULT_AT + 6.0) >= 1


def test_a_holder_that_is_not_heard_gives_up_though_it_hears(tmp_path: Path) -> None:
    played = Played(tmp_path, scenario([split([], holder="purge", one_way=True)]))
    played.kept()
    assert played.holders("purge", FAULT_AT)[0] != played.holders("purge", -FAULT_AT)[0]
    assert played.steps("purge", FAULT_AT + 5.0) >= 2


@pytest.mark.parametrize("memory", [True, False], ids=["with disks", "without"])
def test_all_restarted_at_once_go_on(memory: bool, tmp_path: Path) -> None:
    faults = [{"what": "restart", "at": FAULT_AT, "router": n, "kill": True} for n in range(ROUTERS)]
    duties = {"voters": list(VOTERS), "each": DUTIES, "memory": memory}
    played = Played(tmp_path, scenario(faults, gap=0.0, duties=duties))
    if memory:
        played.kept()
    else:
        # nothing is remembered: steps start from the first, and the log says so unless all members are new
        breaches = played.verdict["breaches"]
        assert not breaches["two_obeyed"] and not breaches["stale_obeyed"]
    tokens = [o.token for o in played.took if o.duty == "purge"]
    assert tokens == sorted(set(tokens)) and played.steps("purge", FAULT_AT + 4.0) >= 3


def test_an_upgrade_of_a_holder_hands_over_and_the_new_process_takes_part(tmp_path: Path) -> None:
    played = Played(tmp_path, scenario([{"what": "upgrade", "at": FAULT_AT, "router": 3}]))
    played.kept()
    assert played.steps("purge", FAULT_AT + 5.0) >= 2


def test_a_voter_of_another_version_is_not_heard_and_the_others_go_on(tmp_path: Path) -> None:
    played = Played(tmp_path, scenario([]), variant="one_of_another_version")
    played.kept()
    assert "of another version" in played.logs["router-1"]
    assert played.steps("purge", FAULT_AT) >= 5 and played.steps("tidy", FAULT_AT) >= 5


# the holder sends nothing any more, and a member that obeys it receives nothing from the others
HOLDER_STOPPED_AND_MEMBER_CUT = [stall("purge", 4.0), split([6])]


@pytest.mark.parametrize(
    ("variant", "faults", "rule"),
    [
        ("order_without_an_end", HOLDER_STOPPED_AND_MEMBER_CUT, "two_obeyed"),
        ("acts_at_once", HOLDER_STOPPED_AND_MEMBER_CUT, "two_obeyed"),
        ("settles_with_one", [split([6], holder="purge")], "done_twice"),
    ],
    ids=["order without an end", "acts at once", "settles with one"],
)
def test_wrong_duties_are_caught(
    variant: str, faults: list[dict[str, Any]], rule: str, tmp_path: Path
) -> None:
    """Orders are valid for longer than a lease."""
    duties = {"voters": list(VOTERS), "each": [DUTIES[0] | {"good_for": 1.5, "every": 0.1}]}
    plan = scenario(faults, gap=0.0, peers={}, duties=duties)
    played = Played(tmp_path, plan, variant=variant)
    assert played.verdict["breaches"][rule] > 0, Counter(played.verdict["breaches"])


async def reloaded(each: list[Router]) -> None:
    """Checks that changed times are applied at SIGHUP, and that a changed set of duties is refused."""
    for old, new, answer in (
        ("brake = 2.0", "brake = 3.0", "duties: 7 routers"),
        ('name = "tidy"', 'name = "untidy"', "file not taken"),
    ):
        for router in each:
            assert router.operators_file is not None and router.process is not None
            text = router.operators_file.read_text()
            assert old in text
            router.operators_file.write_text(text.replace(old, new))
            router.process.send_signal(signal.SIGHUP)
        while not all(answer in router.log.read_text() for router in each):
            await asyncio.sleep(0.05)


TAKEN = re.compile(r"duty purge: held here under token .* at ([0-9.]+)$", re.MULTILINE)
HANDED_OVER = re.compile(r"duty purge: held here no more: handed over at ([0-9.]+)$", re.MULTILINE)


def next_holder(each: list[Router]) -> str:
    """Returns the router that was the first to acquire a duty after it was handed over, by the routers'
    logs."""
    logs = {router.name: router.log.read_text() for router in each}
    (handed_over,) = [float(at) for log in logs.values() for at in HANDED_OVER.findall(log)]
    taken = sorted((float(at), name) for name, log in logs.items() for at in TAKEN.findall(log))
    return next(name for at, name in taken if at > handed_over)


def test_staff_see_the_duties_and_move_one(tmp_path: Path) -> None:
    upgrade = [{"what": "upgrade", "at": 80_000.0, "router": 0}]  # gives the routers an operators' address

    async def looked_at(standing: RunningFleet) -> None:
        assert standing.routers is not None
        each = standing.routers.members
        until = time.monotonic() + 60.0  # each look starts a process

        async def ask(*words: str, at: int = 3) -> tuple[int, str]:
            place = "{}:{}".format(*each[at].ops)  # type: ignore[misc]
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "myrtlecourse", "duty", *words, "--at", place),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            out, _ = await child.communicate()
            assert child.returncode is not None
            return child.returncode, out.decode()

        async def holder(at: int) -> dict[str, Any]:
            _, out = await ask("status", "--json", at=at)
            (told,) = json.loads(out).values()
            found: dict[str, Any] = next(d for d in told["duties"] if d["duty"] == "purge")
            return found

        async def shows(at: int, holds: Callable[[dict[str, Any]], bool]) -> bool:
            """Returns whether any look at a router shows this before the time is over."""
            while not (told := holds(await holder(at))) and time.monotonic() < until:
                await asyncio.sleep(0.1)
            return told

        async def acting() -> int:
            """Returns the holder that router 6 knows too; the third candidate may be it, if it was ready
            first."""
            for number in itertools.cycle(PREFERRED):
                if (await holder(number))["acts"] and (await holder(6))["holder"] == f"router-{number}":
                    return number
                assert time.monotonic() < until, "nobody acts of whom router 6 knows"
            raise AssertionError

        accepted = False
        while not accepted and time.monotonic() < until:
            first = await acting()
            other = next(n for n in PREFERRED if n != first)
            assert (await ask("move", "purge", "router-6", at=first))[0] == 1  # it is not a candidate
            # router 5 does not hold it
            assert (await ask("move", "purge", f"router-{other}", at=5))[0] == 1
            # refused if the holder has lost the lease in the meantime, on a busy machine
            accepted = (await ask("move", "purge", f"router-{other}", at=first))[0] == 0
        assert accepted
        assert await shows(6, lambda duty: duty["holder"] == f"router-{other}")
        assert await shows(other, lambda duty: duty["acts"])
        assert next_holder(each) == f"router-{other}"
        code, table = await ask("status", at=4)
        assert code == 0 and "purge" in table
        await reloaded(each)
        assert await each[0].call("PUT", "duties/nothing/move") == 409
        assert await each[0].call("GET", "duties/purge/move") == 405
        assert await each[0].call("PUT", "duties/purge/fly") == 404

    async def fleet() -> None:
        standing = await start_fleet(scenario(upgrade), tmp_path, COMMAND)
        try:
            await looked_at(standing)
        finally:
            # ends all routers even after a failure, so that none disturbs other tests
            faults = await standing.close()
        assert not faults

    asyncio.run(fleet())
