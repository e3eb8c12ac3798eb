"""Requests per second of one router on one core, for reads that all hit, compared with a bare relay.

All requests are due at once and wait for a few connections, each of which sends the next one as soon as it
has its answer. The relay, on the same core, is asyncio's event loop with two protocols that forward bytes:
the cost of any program of this kind before it decides anything. Relay and router take turns for several
rounds, so that the ratio holds if the machine's speed drifts. Needs six cores: one that is measured, one for
the stand-in fleet, four for the load generator.
"""

from __future__ import annotations

import argparse
import json
import os
import shlex
import statistics
import sys
from pathlib import Path
from typing import Any

from bench import rig
from myrtlecourse.load.profile import Clients, Keys, Piece, Profile, RequestClass
from myrtlecourse.load.run import Job, run

MEASURED_CORES, FLEET_CORES, GENERATOR_CORES = {0}, {1}, ({2}, {3}, {4}, {5})
RELAY = "bare relay"
TRIAL_REQUESTS = 4000  # requests in the trial that estimates the rate
MIN_SERVED_SHARE = 0.99  # share of the requests that must be served
DUE_WITHIN = 0.01  # seconds within which all requests fall due
CLIENT_TIMEOUT = 120.0  # seconds until a client gives up; longer than any measurement


def burst_profile(count: int, connections: int, workers: int) -> Profile:
    """Return a load of reads that are all due at once, sent over a few connections one after the other."""
    return Profile(
        (Piece(DUE_WITHIN, count / DUE_WITHIN),),
        arrivals="even",
        classes=(RequestClass("read", deadline=CLIENT_TIMEOUT),),
        keys=Keys(count=997, zipf=0.0),
        clients=Clients(connections=connections // workers),
    )


def measure_count(port: int, count: int, connections: int, workers: int) -> tuple[float, int]:
    """Return the answers per second while some requests are sent, and the number served.

    The first and last tenths of the time are not counted, as clients start and stop then.
    """
    profile = burst_profile(count, connections, workers)
    _, record = run(Job(profile, (("127.0.0.1", port),), workers), lambda *_: None)
    served = record.all.counts["served"]
    first, last = (record.all.values.get_value_at_percentile(p) / 1e6 for p in (10.0, 90.0))
    return 0.8 * served / max(1e-6, last - first), served


def measure_rate(port: int, connections: int, seconds: float, child: int) -> tuple[float, float]:
    """Return the answers per second of the process at a port, and its core seconds per request."""
    before = os.sched_getaffinity(0)
    # the generator's processes inherit the cores of their parent
    rig.bind_cores(0, set.union(*GENERATOR_CORES))
    try:
        # The trial also warms up the router, which sends little to its servers just after its start.
        trial_rate, _ = measure_count(port, TRIAL_REQUESTS, connections, len(GENERATOR_CORES))
        count, cpu_before = max(TRIAL_REQUESTS, round(trial_rate * seconds)), cpu_seconds(child)
        rate, served = measure_count(port, count, connections, len(GENERATOR_CORES))
    finally:
        rig.bind_cores(0, before)
    if served < MIN_SERVED_SHARE * count:
        raise SystemExit(f"only {served:,} of {count:,} requests were served; no rate can be compared")
    return rate, (cpu_seconds(child) - cpu_before) / count


def cpu_seconds(process: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=3.0, help="duration of each measurement (default 3)")
    parser.add_argument(
        "--rounds", type=int, default=3, help="rounds of relay and router in turn (default 3)"
    )
    parser.add_argument("--connections", type=int, default=64, help="connections of the clients (default 64)")
    parser.add_argument(
        "--router",
        action="append",
        metavar="COMMAND",
        help="command of a router to measure; may be repeated "
        "(default: this checkout's, plain and as deployed)",
    )
    parser.add_argument(
        "--value",
        action="append",
        type=int,
        metavar="BYTES",
        help="size of a value; may be repeated (default 64)",
    )
    parser.add_argument("--json", metavar="FILE", help="file for the results, as JSON")
    options = parser.parse_args()
    python = shlex.quote(sys.executable)
    commands = options.router or [f"{python} -B -m myrtlecourse", f"{python} -B deploy/start.py"]
    print(
        f"{'value':>8} {'requests/s':>11} {'MB/s':>8} {'of the relay':>13} "
        f"{'core used':>10} {'core us each':>13}  what"
    )
    figures: dict[str, Any] = {}
    for size in options.value or [rig.VALUE_BYTES]:
        figures[str(size)] = compare(size, commands, options)
    if options.json:
        Path(options.json).write_text(json.dumps(figures, indent=1) + "\n")


def compare(size: int, commands: list[str], options: argparse.Namespace) -> dict[str, Any]:
    """Measure the relay and each router in turn with values of some size, and print a line for each."""
    rates: dict[str, list[float]] = {c: [] for c in (RELAY, *commands)}
    core_seconds: dict[str, list[float]] = {c: [] for c in rates}

    def count(name: str, port: int, child: int) -> None:
        rate, used = measure_rate(port, options.connections, options.seconds, child)
        rates[name].append(rate)
        core_seconds[name].append(used)

    with rig.run_fleet(rig.server_scenario(size), FLEET_CORES) as fleet:
        for _ in range(options.rounds):
            with rig.run_relay(fleet.server_port(), MEASURED_CORES) as (port, child):
                count(RELAY, port, child.pid)
            for command in commands:
                with rig.run_router(shlex.split(command), fleet.configuration, MEASURED_CORES) as (
                    port,
                    child,
                ):
                    count(command, port, child.pid)
    relay = statistics.median(rates[RELAY])
    for name, values in rates.items():
        median, used = statistics.median(values), statistics.median(core_seconds[name])
        print(
            f"{size:8} {median:11.0f} {median * size / 1e6:8.1f} {median / relay:13.2f} "
            f"{used * median:10.2f} {used * 1e6:13.1f}  {name}",
            flush=True,
        )
    return {"rates": rates, "core_seconds_each": core_seconds}


if __name__ == "__main__":
    main()
