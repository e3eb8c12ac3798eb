"""Carries slopes out, each size in a process of its own, and measures one real router and a roster's start.

A child imports the compiled form of the router where it is told one, and this package's tools beside it.
"""

from __future__ import annotations

import os
import random
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from myrtlecourse import policy
from myrtlecourse.peers.gossip import TICK_INTERVAL, Gossip, State
from myrtlecourse.scale import calibration
from myrtlecourse.scale.fit import middle
from myrtlecourse.scale.results import Form, Measure, Point, Slope, significant
from myrtlecourse.scale.slopes import KEY, SPECS, WALL, names

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = "python -m myrtlecourse.scale.capacity_commands slopes"
CORES = os.cpu_count() or 1
CHILD_TIME = 80.0  # seconds that one size may take
ROUTER_TIME = 44.0  # for values of one size
ROUNDS, SECONDS = 3, 1.5  # of each count of the real router
# by what is measured: bytes of a value, connections, unit; all of a router's large values must fit its window
ROUTER = {"router_requests": (64, 64, "1/s"), "router_bytes": (1 << 18, 16, "B/s")}
KNOWN_AFTER = 20.0  # seconds after a start of all members at once
KNOWN = (25, 50, 100, 250, 500, 1000)  # members
SEEDS = 3
BOOT = """
import sys
root, compiled, *rest = sys.argv[1:]
sys.path[:0] = [compiled, root] if compiled else [root]
import myrtlecourse
myrtlecourse.__path__.append(root + "/myrtlecourse")
from myrtlecourse.scale.measuring import child
child(*rest)
"""


START = """
import sys
sys.path.insert(0, sys.argv.pop(1))
from myrtlecourse.__main__ import main
sys.exit(main())
"""


class MeasureError(RuntimeError):
    """A run that gave no figure; the message is one line that says which and why."""


class Told(msgspec.Struct, frozen=True):
    """What a child says on standard output."""

    form: Form
    calibration: float
    values: tuple[float, ...]


def child(name: str, size: str) -> None:
    """Measure one size of a slope, and tell it."""
    spec = SPECS[name]
    before = calibration.calibrate()
    form: Form = "sources" if str(policy.__file__).endswith(".py") else "compiled"
    values = tuple(map(significant, spec.run(int(size), spec.repeats)))
    pace = (before + calibration.calibrate()) / 2
    sys.stdout.buffer.write(msgspec.json.encode(Told(form, significant(pace), values)))


def carried_out(command: list[str], what: str, seconds: float) -> bytes:
    """The standard output of a process that ends well within so many seconds. Raises MeasureError."""
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=seconds, check=False)
    except subprocess.TimeoutExpired:
        raise MeasureError(f"{what}: not over after {seconds:g} s") from None
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise MeasureError(f"{what}: ended with {done.returncode}: {last[:200]}")
    return done.stdout


def point(name: str, size: int, compiled: str) -> tuple[Form, Point]:
    """One size, in a process of its own. Raises MeasureError."""
    before = calibration.now()
    command = [sys.executable, "-P", "-c", BOOT, str(ROOT), compiled, name, str(size)]
    out = carried_out(command, f"{name} at {size}", CHILD_TIME)
    used = calibration.others(before, calibration.now(), CORES)
    try:
        told = msgspec.json.decode(out, type=Told)
    except msgspec.DecodeError as e:
        raise MeasureError(f"{name} at {size}: {e}") from e
    return told.form, Point(size, told.values, told.calibration, round(used, 3))


def slope(name: str, compiled: str, progress: Callable[[str], None]) -> Slope:
    """All sizes of a slope. Raises MeasureError."""
    spec, points, forms = SPECS[name], [], set()
    for size in spec.sizes:
        progress(f"{name} at {size:,}")
        form, found = point(name, size, compiled)
        points.append(found)
        forms.add(form)
    if len(forms) > 1:
        raise MeasureError(f"{name}: some sizes ran compiled and some from the sources")
    return Slope(name, spec.what, spec.by, spec.unit, forms.pop(), f"{COMMAND} {name}", tuple(points))


def measure(
    name: str, what: str, unit: str, form: Form, asked: str, values: list[float], others: float = 0.0
) -> Measure:
    """A figure as the median of its repeats; `asked` is what the command was asked for."""
    found, command = middle(values), f"{COMMAND} {asked}"
    low, value, high = map(significant, (found.low, found.value, found.high))
    return Measure(name, what, unit, form, command, value, low, high, len(values), round(others, 3))


def core_seconds(start: str, size: int, connections: int) -> dict[str, list[float]]:
    """Processor seconds of one read, by rounds, of the bare relay and of the router that a command starts.

    Raises MeasureError.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "rates.json")
        told = ["--rounds", str(ROUNDS), "--seconds", str(SECONDS), "--router", start, "--json", str(file)]
        asked = ["--value", str(size), "--connections", str(connections)]
        carried_out([sys.executable, "-m", "bench.router_rate", *told, *asked], "router", ROUTER_TIME)
        found = msgspec.json.decode(file.read_bytes(), type=dict[str, dict[str, dict[str, list[float]]]])
    return found[str(size)]["core_seconds_each"]


def router(name: str, compiled: str) -> Iterator[Measure]:
    """What one real router passes on in a second of its core, by `bench.router_rate`; `name` is of ROUTER.

    Raises MeasureError.
    """
    form: Form = "compiled" if compiled else "sources"
    start = shlex.join([sys.executable, "-P", "-c", START, compiled or str(ROOT)])
    size, connections, unit = ROUTER[name]
    before = calibration.now()
    each = core_seconds(start, size, connections)
    used = calibration.others(before, calibration.now(), CORES)
    amount, kind = 1 if unit == "1/s" else size, name.rpartition("_")[2]
    for who, which in (("router", start), ("relay", "bare relay")):
        what = f"{kind.capitalize()} a second of one core, by a {who}: reads of {size:,} B that hit"
        values = [amount / seconds for seconds in each[which]]
        yield measure(f"router.{who}_{kind}", what, unit, form, name, values, used)


def together(count: int, seed: int) -> tuple[float, float, float]:
    """A roster whose members all start at once, in virtual time and without loss.

    Answers with the share of the others that a member knows as alive after KNOWN_AFTER seconds, and with the
    datagrams and bytes that one has sent a second.
    """
    chance, now, roster = random.Random(seed), 1000.0, names(count)
    each = {
        name: Gossip(name, roster, f"zone-{i % 138:03d}", KEY, now, WALL, chance.getrandbits(32))
        for i, name in enumerate(roster)
    }
    waiting: list[tuple[str, bytes]] = []
    for _ in range(round(KNOWN_AFTER / TICK_INTERVAL)):
        now += TICK_INTERVAL
        come, waiting = waiting, []
        for to, data in come:
            each[to].receive(data, now, WALL + now)
        for gossip in each.values():
            waiting += [(d.to, d.data) for d in gossip.tick(now, WALL + now, lambda: ())]
    alive = sum(g.state(m, now) is State.ALIVE for g in each.values() for m in g.peers)
    sent, octets = sum(g.sent for g in each.values()), sum(g.bytes_sent for g in each.values())
    return alive / (count * (count - 1)), sent / count / KNOWN_AFTER, octets / count / KNOWN_AFTER


def known(counts: Iterable[int]) -> Iterator[Measure]:
    """How much of a roster is known soon after a start, for rosters of so many members."""
    after = f"in the {KNOWN_AFTER:g} s after all members started at once, in virtual time"
    for count in counts:
        shares, sent, octets = zip(*(together(count, seed) for seed in range(SEEDS)), strict=True)
        members = f"of {count:,} members"
        yield measure(
            f"known.share_{count}",
            f"Share {members} known as alive {after}",
            "1",
            "sources",
            "known",
            list(shares),
        )
        yield measure(
            f"known.datagrams_{count}",
            f"Datagrams out a second, {members}, {after}",
            "1/s",
            "sources",
            "known",
            list(sent),
        )
        yield measure(
            f"known.bytes_{count}",
            f"Bytes out a second, {members}, {after}",
            "B/s",
            "sources",
            "known",
            list(octets),
        )
