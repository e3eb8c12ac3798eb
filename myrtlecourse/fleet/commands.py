"""The commands `myrtlecourse fleet` and `myrtlecourse audit`: their options and output."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table
from uvloop import new_event_loop

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.audit.observations import ObservationError
from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.routers import COMMAND, RouterError
from myrtlecourse.fleet.scenario import ScenarioError, read_scenario
from myrtlecourse.fleet.session import Outcome, RunningFleet, SessionError, run_with_load, run_without_load
from myrtlecourse.fleet.session import audit as judge
from myrtlecourse.load import report
from myrtlecourse.load.commands import EXIT_UNUSABLE, Progress, write_json
from myrtlecourse.load.profile import ProfileError, read_profile
from myrtlecourse.load.run import RunError

EXIT_RULE_BROKEN = 1  # exit code when a rule was broken or a router exited unexpectedly
MAX_BREACHES_SHOWN = 20


def show_verdict(verdict: dict[str, Any], console: Console) -> None:
    """Print the auditor's verdict."""
    table = Table(title="The four rules")
    table.add_column("rule")
    table.add_column("breaches", justify="right")
    for rule, count in verdict["rules"].items():
        table.add_row(rule, f"{count:,}" if count else "none")
    console.print(table)
    for b in verdict["named"][:MAX_BREACHES_SHOWN]:
        fields = (f"{b['at']:9.3f} s", b["what"], b["router"], b["request"], b["box"], b["detail"])
        console.print("  ".join(f for f in fields if f), markup=False, highlight=False)
    more = sum(verdict["breaches"].values()) - MAX_BREACHES_SHOWN
    if more > 0:
        console.print(f"and {more:,} more breaches")


def show_service(service: dict[str, Any], console: Console) -> None:
    """Print the operators' measurements."""
    latency, ready_delays = service["answer_ms"], service["yes_s"]
    console.print(
        f"operators: {service['calls']:,} answers, p50 {latency['p50']:.1f} ms, p99 {latency['p99']:.1f} ms, "
        f"max {latency['max']:.1f} ms, {service['unanswered']} not within {service['owed_ms']:g} ms; "
        f"{service['upgrades']} upgrades"
        + (f", ready after {ready_delays[0]:.2f} to {ready_delays[-1]:.2f} s" if ready_delays else "")
        + f"; at most {service['memory_mb']:.0f} MB and {service['descriptors']} descriptors for one router",
        highlight=False,
    )


def step_marks(steps: list[Step]) -> list[tuple[float, str]]:
    """Return the times and labels of steps for charts."""
    return [(s.at, f"{s.action.replace('_', ' ')} {s.target}") for s in steps]


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--load", "profile", type=click.Path(path_type=Path), help="send this profile's load to real routers"
)
@click.option("--routers", is_flag=True, help="start real routers (always with --load)")
@click.option(
    "--router", "command", default=COMMAND, help="command that starts a router; it gets RELAY_CONFIG"
)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=1, show_default=True, help="processes that send"
)
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="for observations, configurations and logs; by default a temporary one, printed at the start",
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page with charts there")
@click.option("--quiet", is_flag=True, help="no progress")
def fleet(
    scenario: Path,
    profile: Path | None,
    routers: bool,
    command: str,
    workers: int,
    folder: Path | None,
    json_file: Path | None,
    html_file: Path | None,
    quiet: bool,
) -> None:
    """Run a stand-in fleet on loopback: cache servers, origin and discovery, with the scenario's faults.

    \b
    myrtlecourse fleet demo/rough.toml --load demo/load.toml --html report.html
    myrtlecourse fleet demo/calm.toml --routers
    myrtlecourse fleet demo/calm.toml --folder seen

    With --load: real routers, load, and the auditor's verdict on the four rules. With --routers: the routers
    run until the scenario is over, and load is sent by hand. With neither, the folder holds configurations to
    start routers with (RELAY_CONFIG).

    Exit code 0, 1 when a rule was broken or a router exited unexpectedly, 2 when it could not begin.
    """
    console = Console(stderr=True)
    folder = folder or Path(tempfile.mkdtemp(prefix="myrtlecourse-"))
    try:
        spec = read_scenario(scenario)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.jsonl"):  # files of an earlier run would be audited with this one
            old.unlink()
        if profile is None:
            with asyncio.Runner(loop_factory=new_event_loop) as runner:
                faults = runner.run(
                    run_without_load(
                        spec,
                        folder,
                        command if routers else None,
                        lambda s: _print_addresses(s, folder, console),
                    )
                )
            verdict: dict[str, Any] = judge(folder, spec.rules)
            figures: dict[str, Any] = {}
        else:
            with Progress(console, quiet) as progress:
                outcome = run_with_load(spec, read_profile(profile), folder, command, workers, progress)
            faults, verdict = outcome.faults, outcome.verdict
            figures = outcome.record.figures(outcome.seconds)
            report.show(figures, Console())
            if outcome.service is not None:
                show_service(outcome.service, Console())
                figures |= {"service": outcome.service}
            if html_file is not None:
                _write_page(html_file, figures, scenario, outcome)
    except (ScenarioError, ProfileError, RunError, SessionError, RouterError, ObservationError, OSError) as e:
        console.print(f"myrtlecourse fleet: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    show_verdict(verdict, Console())
    for fault in faults:
        console.print(fault, markup=False, highlight=False)
    if json_file is not None:
        write_json(json_file, figures | {"verdict": verdict, "router_faults": faults})
    if html_file is not None and profile is not None:
        console.print(f"The page is {html_file}", markup=False, highlight=False)
    sys.exit(0 if verdict["kept"] and not faults else EXIT_RULE_BROKEN)


def _print_addresses(running: RunningFleet, folder: Path, console: Console) -> None:
    """Print the addresses of the routers, or the commands to start them with."""
    for router in running.routers.members if running.routers else ():
        console.print(f"{router.name} listens on {router.address[0]}:{router.address[1]}", highlight=False)
    for name in () if running.routers else running.fleet.routers:
        console.print(
            f"RELAY_CONFIG={folder / name}.json python -m myrtlecourse", markup=False, highlight=False
        )
    console.print(f"observations go to {folder}; end with Ctrl-C", markup=False, highlight=False)


def _write_page(file: Path, figures: dict[str, Any], scenario: Path, outcome: Outcome) -> None:
    from myrtlecourse.load.page import page  # noqa: PLC0415  (importing the plot library takes a second)

    file.write_text(page(figures, f"{scenario.stem}: a run", step_marks(outcome.steps), outcome.verdict))


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.option("--scenario", type=click.Path(path_type=Path), help="scenario whose limits for the rules apply")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def audit(folder: Path, scenario: Path | None, as_json: bool) -> None:
    """Audit the four rules from the observations in a folder (*.jsonl), of a fleet and of clients.

    Exit code 0, 1 when a rule was broken, 2 when the folder can't be read.
    """
    try:
        verdict = judge(folder, read_scenario(scenario).rules if scenario else Rules())
    except (ObservationError, ScenarioError) as e:
        click.echo(f"myrtlecourse audit: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        click.echo(msgspec.json.encode(verdict))
    else:
        show_verdict(verdict, Console())
    sys.exit(0 if verdict["kept"] else EXIT_RULE_BROKEN)
