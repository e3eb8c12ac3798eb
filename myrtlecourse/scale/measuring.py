"""Measures slopes, the throughput of a real router, and the start of a roster.

Each size of a slope is measured in a process of its own. If a folder with the compiled form is given, that
process imports the router from there, and this package from the sources.
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
from myrtlecourse.scale.capacity_results import Form, Measure, Point, Slope, round_significant
from myrtlecourse.scale.fit import median_interval
from myrtlecourse.scale.slopes import GOSSIP_KEY, SPECS, WALL_CLOCK, roster_names

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = "python -m myrtlecourse.scale.capacity_commands slopes"
CORES = os.cpu_count() or 1
CHILD_TIMEOUT = 80.0  # seconds that the measurement of one size may take
ROUTER_TIMEOUT = 44.0  # seconds that all rounds of one value size may take
ROUTER_ROUNDS, ROUTER_SECONDS = 3, 1.5  # rounds and seconds per measurement of the real router
# By measure: value size in bytes, connections, unit. The large values of one router must fit its window.
ROUTER_MEASURES = {"router_requests": (64, 64, "1/s"), "router_bytes": (1 << 18, 16, "B/s")}
ROSTER_START_SECONDS = 20.0  # seconds after the simultaneous start of all members
ROSTER_SIZES = (25, 50, 100, 250, 500, 1000)  # numbers of members
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
    """Raised when a measurement gives no result; the message is one line that names it and the cause."""


class ChildReport(msgspec.Struct, frozen=True):
    """What a child process writes to standard output."""

    form: Form
    calibration: float
    values: tuple[float, ...]


def measure_in_child(name: str, size: str) -> None:
    """Measure one size of a slope in this process, and write a ChildReport to standard output."""
    spec = SPECS[name]
    before = calibration.calibrate()
    form: Form = "sources" if str(policy.__file__).endswith(".py") else "compiled"
    values = tuple(map(round_significant, spec.run(int(size), spec.repeats)))
    calibration_s = (before + calibration.calibrate()) / 2
    sys.stdout.buffer.write(msgspec.json.encode(ChildReport(form, round_significant(calibration_s), values)))


def run_command(command: list[str], name: str, seconds: float) -> bytes:
    """Run a command and return its standard output. Raises MeasureError on a failure or timeout."""
    try:
        result = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=seconds, check=False)
    except subprocess.TimeoutExpired:
        raise MeasureError(f"{name}: timed out after {seconds:g} s") from None
    if result.returncode:
        last_line = result.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise MeasureError(f"{name}: exited with {result.returncode}: {last_line[:200]}")
    return result.stdout


def measure_point(name: str, size: int, compiled: str) -> tuple[Form, Point]:
    """Measure one size in a process of its own. Raises MeasureError."""
    before = calibration.cpu_usage()
    command = [sys.executable, "-P", "-c", CHILD_CODE, str(ROOT), compiled, name, str(size)]
    output = run_command(command, f"{name} at {size}", CHILD_TIMEOUT)
    others = calibration.others_share(before, calibration.cpu_usage(), CORES)
    try:
        report = msgspec.json.decode(output, type=ChildReport)
    except msgspec.DecodeError as e:
        raise MeasureError(f"{name} at {size}: {e}") from e
    return report.form, Point(size, report.values, report.calibration, round(others, 3))


def measure_slope(name: str, compiled: str, progress: Callable[[str], None]) -> Slope:
    """Measure all sizes of a slope. Raises MeasureError."""
    spec, points, forms = SPECS[name], [], set()
    for size in spec.sizes:
        progress(f"{name} at {size:,}")
        form, measured = measure_point(name, size, compiled)
        points.append(measured)
        forms.add(form)
    if len(forms) > 1:
        raise MeasureError(f"{name}: some sizes ran compiled and some from the sources")
    return Slope(name, spec.what, spec.by, spec.unit, forms.pop(), f"{COMMAND} {name}", tuple(points))


def make_measure(
    name: str, what: str, unit: str, form: Form, asked: str, values: list[float], others: float = 0.0
) -> Measure:
    """Return a measure with the median of its repeats; `asked` are the arguments of the `slopes` command."""
    interval, command = median_interval(values), f"{COMMAND} {asked}"
    low, value, high = map(round_significant, (interval.low, interval.value, interval.high))
    return Measure(name, what, unit, form, command, value, low, high, len(values), round(others, 3))


def core_seconds(start: str, size: int, connections: int) -> dict[str, list[float]]:
    """Return the processor seconds per read, by round, of the bare relay and of the router that `start` runs.

    Raises MeasureError.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "rates.json")
        options = [
            "--rounds",
            str(ROUTER_ROUNDS),
            "--seconds",
            str(ROUTER_SECONDS),
            "--router",
            start,
            "--json",
            str(file),
        ]
        sizes = ["--value", str(size), "--connections", str(connections)]
        run_command([sys.executable, "-m", "bench.router_rate", *options, *sizes], "router", ROUTER_TIMEOUT)
        results = msgspec.json.decode(file.read_bytes(), type=dict[str, dict[str, dict[str, list[float]]]])
    return results[str(size)]["core_seconds_each"]


def measure_router(name: str, compiled: str) -> Iterator[Measure]:
    """Measure what one real router forwards per second of its core, with `bench.router_rate`.

    `name` is a key of ROUTER_MEASURES. Raises MeasureError.
    """
    form: Form = "compiled" if compiled else "sources"
    start = shlex.join([sys.executable, "-P", "-c", ROUTER_CODE, compiled or str(ROOT)])
    size, connections, unit = ROUTER_MEASURES[name]
    before = calibration.cpu_usage()
    seconds_by_command = core_seconds(start, size, connections)
    others = calibration.others_share(before, calibration.cpu_usage(), CORES)
    amount, quantity = 1 if unit == "1/s" else size, name.rpartition("_")[2]
    for subject, command in (("router", start), ("relay", "bare relay")):
        what = f"{quantity.capitalize()} a second of one core, by a {subject}: reads of {size:,} B that hit"
        values = [amount / seconds for seconds in seconds_by_command[command]]
        yield make_measure(f"router.{subject}_{quantity}", what, unit, form, name, values, others)


def simulate_roster_start(count: int, seed: int) -> tuple[float, float, float]:
    """Simulate a roster whose members all start at once, in virtual time and without loss.

    Return the share of the other members that a member considers alive after ROSTER_START_SECONDS, and the
    datagrams and bytes that a member sends per second.
    """
    rng, now, roster = random.Random(seed), 1000.0, roster_names(count)
    members = {
        name: Gossip(name, roster, f"zone-{i % 138:03d}", GOSSIP_KEY, now, WALL_CLOCK, rng.getrandbits(32))
        for i, name in enumerate(roster)
    }
    waiting: list[tuple[str, bytes]] = []
    for _ in range(round(ROSTER_START_SECONDS / TICK_INTERVAL)):
        now += TICK_INTERVAL
        arrived, waiting = waiting, []
        for to, data in arrived:
            members[to].receive(data, now, WALL_CLOCK + now)
        for gossip in members.values():
            waiting += [(d.to, d.data) for d in gossip.tick(now, WALL_CLOCK + now, lambda: ())]
    alive = sum(g.state(m, now) is State.ALIVE for g in members.values() for m in g.peers)
    sent, bytes_sent = (
        sum(g.datagrams_sent for g in members.values()),
        sum(g.bytes_sent for g in members.values()),
    )
    return (
        alive / (count * (count - 1)),
        sent / count / ROSTER_START_SECONDS,
        bytes_sent / count / ROSTER_START_SECONDS,
    )


def measure_roster_starts(counts: Iterable[int]) -> Iterator[Measure]:
    """Measure how much of a roster is known soon after all members start, by the number of members."""
    when = f"in the {ROSTER_START_SECONDS:g} s after all members started at once, in virtual time"
    for count in counts:
        shares, sent, bytes_sent = zip(
            *(simulate_roster_start(count, seed) for seed in range(SEEDS)), strict=True
        )
        members = f"of {count:,} members"
        yield make_measure(
            f"known.share_{count}",
            f"Share {members} known as alive {when}",
            "1",
            "sources",
            "known",
            list(shares),
        )
        yield make_measure(
            f"known.datagrams_{count}",
            f"Datagrams out a second, {members}, {when}",
            "1/s",
            "sources",
            "known",
            list(sent),
        )
        yield make_measure(
            f"known.bytes_{count}",
            f"Bytes out a second, {members}, {when}",
            "B/s",
            "sources",
            "known",
            list(bytes_sent),
        )
