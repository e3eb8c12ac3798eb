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
from myrtlecourse.peers.gossip import PACE, Gossip, State
from myrtlecourse.scale import calibration
from myrtlecourse.scale.capacity_results import Form, Measure, Point, Slope, round_significant
from myrtlecourse.scale.fit import median_interval
from myrtlecourse.scale.slopes import GOSSIP_KEY, SPECS, WALL_CLOCK, roster_names

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = "python -m myrtlecourse.scale.capacity_commands slopes"
CORES = os.cpu_count() or 1
CHILD_TIMEOUT = 80.0  # seconds that one size may take
ROUTER_TIMEOUT = 44.0  # for values of one size
ROUTER_ROUNDS, ROUTER_SECONDS = 3, 1.5  # of each count of the real router
# by what is measured: bytes of a value, connections, unit; all of a router's large values must fit its window
ROUTER_MEASURES = {"router_requests": (64, 64, "1/s"), "router_bytes": (1 << 18, 16, "B/s")}
ROSTER_START_SECONDS = 20.0  # seconds after a start of all members at once
ROSTER_SIZES = (25, 50, 100, 250, 500, 1000)  # members
SEEDS = 3
CHILD_CODE = """
import sys
root, compiled, *rest = sys.argv[1:]
sys.path[:0] = [compiled, root] if compiled else [root]
import myrtlecourse
myrtlecourse.__path__.append(root + "/myrtlecourse")
from myrtlecourse.scale.measuring import measure_in_child
measure_in_child(*rest)
"""


ROUTER_CODE = """
import sys
sys.path.insert(0, sys.argv.pop(1))
from myrtlecourse.__main__ import main
sys.exit(main())
"""


class MeasureError(RuntimeError):
    """A run that gave no figure; the message is one line that says which and why."""


class ChildReport(msgspec.Struct, frozen=True):
    """What a child says on standard output."""

    form: Form
    calibration_s: float
    values: tuple[float, ...]


def measure_in_child(name: str, size: str) -> None:
    """Measure one size of a slope, and tell it."""
    spec = SPECS[name]
    before = calibration.calibrate()
    form: Form = "sources" if str(policy.__file__).endswith(".py") else "compiled"
    values = tuple(map(round_significant, spec.run(int(size), spec.repeats)))
    pace = (before + calibration.calibrate()) / 2
    sys.stdout.buffer.write(msgspec.json.encode(ChildReport(form, round_significant(pace), values)))


def run_command(command: list[str], what: str, seconds: float) -> bytes:
    """The standard output of a process that ends well within so many seconds. Raises MeasureError."""
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=seconds, check=False)
    except subprocess.TimeoutExpired:
        raise MeasureError(f"{what}: not over after {seconds:g} s") from None
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise MeasureError(f"{what}: ended with {done.returncode}: {last[:200]}")
    return done.stdout


def measure_point(name: str, size: int, compiled: str) -> tuple[Form, Point]:
    """One size, in a process of its own. Raises MeasureError."""
    before = calibration.cpu_usage()
    command = [sys.executable, "-P", "-c", CHILD_CODE, str(ROOT), compiled, name, str(size)]
    out = run_command(command, f"{name} at {size}", CHILD_TIMEOUT)
    used = calibration.others_share(before, calibration.cpu_usage(), CORES)
    try:
        told = msgspec.json.decode(out, type=ChildReport)
    except msgspec.DecodeError as e:
        raise MeasureError(f"{name} at {size}: {e}") from e
    return told.form, Point(size, told.values, told.calibration_s, round(used, 3))


def measure_slope(name: str, compiled: str, progress: Callable[[str], None]) -> Slope:
    """All sizes of a slope. Raises MeasureError."""
    spec, points, forms = SPECS[name], [], set()
    for size in spec.sizes:
        progress(f"{name} at {size:,}")
        form, found = measure_point(name, size, compiled)
        points.append(found)
        forms.add(form)
    if len(forms) > 1:
        raise MeasureError(f"{name}: some sizes ran compiled and some from the sources")
    return Slope(name, spec.what, spec.by, spec.unit, forms.pop(), f"{COMMAND} {name}", tuple(points))


def make_measure(
    name: str, what: str, unit: str, form: Form, asked: str, values: list[float], others: float = 0.0
) -> Measure:
    """A figure as the median of its repeats; `asked` is what the command was asked for."""
    found, command = median_interval(values), f"{COMMAND} {asked}"
    low, value, high = map(round_significant, (found.low, found.value, found.high))
    return Measure(name, what, unit, form, command, value, low, high, len(values), round(others, 3))


def core_seconds(start: str, size: int, connections: int) -> dict[str, list[float]]:
    """Processor seconds of one read, by rounds, of the bare relay and of the router that a command starts.

    Raises MeasureError.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "rates.json")
        told = [
            "--rounds",
            str(ROUTER_ROUNDS),
            "--seconds",
            str(ROUTER_SECONDS),
            "--router",
            start,
            "--json",
            str(file),
        ]
        asked = ["--value", str(size), "--connections", str(connections)]
        run_command([sys.executable, "-m", "bench.router_rate", *told, *asked], "router", ROUTER_TIMEOUT)
        found = msgspec.json.decode(file.read_bytes(), type=dict[str, dict[str, dict[str, list[float]]]])
    return found[str(size)]["core_seconds_each"]


def measure_router(name: str, compiled: str) -> Iterator[Measure]:
    """What one real router passes on in a second of its core, by `bench.router_rate`; `name` is of ROUTER.

    Raises MeasureError.
    """
    form: Form = "compiled" if compiled else "sources"
    start = shlex.join([sys.executable, "-P", "-c", ROUTER_CODE, compiled or str(ROOT)])
    size, connections, unit = ROUTER_MEASURES[name]
    before = calibration.cpu_usage()
    each = core_seconds(start, size, connections)
    used = calibration.others_share(before, calibration.cpu_usage(), CORES)
    amount, kind = 1 if unit == "1/s" else size, name.rpartition("_")[2]
    for who, which in (("router", start), ("relay", "bare relay")):
        what = f"{kind.capitalize()} a second of one core, by a {who}: reads of {size:,} B that hit"
        values = [amount / seconds for seconds in each[which]]
        yield make_measure(f"router.{who}_{kind}", what, unit, form, name, values, used)


def simulate_roster_start(count: int, seed: int) -> tuple[float, float, float]:
    """A roster whose members all start at once, in virtual time and without loss.

    Answers with the share of the others that a member knows as alive after KNOWN_AFTER seconds, and with the
    datagrams and bytes that one has sent a second.
    """
    chance, now, roster = random.Random(seed), 1000.0, roster_names(count)
    each = {
        name: Gossip(name, roster, f"zone-{i % 138:03d}", GOSSIP_KEY, now, WALL_CLOCK, chance.getrandbits(32))
        for i, name in enumerate(roster)
    }
    waiting: list[tuple[str, bytes]] = []
    for _ in range(round(ROSTER_START_SECONDS / PACE)):
        now += PACE
        come, waiting = waiting, []
        for to, data in come:
            each[to].receive(data, now, WALL_CLOCK + now)
        for gossip in each.values():
            waiting += [(d.to, d.data) for d in gossip.tick(now, WALL_CLOCK + now, lambda: ())]
    alive = sum(g.state(m, now) is State.ALIVE for g in each.values() for m in g.heard_by)
    sent, octets = sum(g.sent for g in each.values()), sum(g.bytes_sent for g in each.values())
    return (
        alive / (count * (count - 1)),
        sent / count / ROSTER_START_SECONDS,
        octets / count / ROSTER_START_SECONDS,
    )


def measure_roster_starts(counts: Iterable[int]) -> Iterator[Measure]:
    """How much of a roster is known soon after a start, for rosters of so many members."""
    after = f"in the {ROSTER_START_SECONDS:g} s after all members started at once, in virtual time"
    for count in counts:
        shares, sent, octets = zip(
            *(simulate_roster_start(count, seed) for seed in range(SEEDS)), strict=True
        )
        members = f"of {count:,} members"
        yield make_measure(
            f"known.share_{count}",
            f"Share {members} known as alive {after}",
            "1",
            "sources",
            "known",
            list(shares),
        )
        yield make_measure(
            f"known.datagrams_{count}",
            f"Datagrams out a second, {members}, {after}",
            "1/s",
            "sources",
            "known",
            list(sent),
        )
        yield make_measure(
            f"known.bytes_{count}",
            f"Bytes out a second, {members}, {after}",
            "B/s",
            "sources",
            "known",
            list(octets),
        )
