"""`myrtlecourse sim`: its options, and what it prints."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.progress import Progress

from myrtlecourse.fleet.commands import BROKEN, marks, show_verdict
from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load import report
from myrtlecourse.load.commands import EXIT_UNUSABLE, write_json
from myrtlecourse.load.profile import Profile, ProfileError
from myrtlecourse.sim.counterexamples import read_counterexample, write_counterexample
from myrtlecourse.sim.fleet_simulation import SETTLE_TIME, FleetSimulation, Result, ScenarioMismatch
from myrtlecourse.sim.overrides import read_scenario_and_profile
from myrtlecourse.sim.search import Search, shrink


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--profile", type=click.Path(path_type=Path), help="the load (docs/load.md)")
@click.option("--seed", type=click.IntRange(0), help="in place of both files' own")
@click.option(
    "--set", "changes", multiple=True, metavar="PATH=VALUE", help="change one value; again for more"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page with pictures there")
@click.option("--quiet", is_flag=True, help="no progress")
def sim(
    scenario: Path,
    profile: Path | None,
    seed: int | None,
    changes: tuple[str, ...],
    json_file: Path | None,
    html_file: Path | None,
    quiet: bool,
) -> None:
    """Play a scenario in virtual time: the real decision module before models of the fleet.

    \b
    myrtlecourse sim demo/rough.toml --profile demo/load.toml --seed 7
    myrtlecourse sim demo/calm.toml --profile demo/load.toml --set routers=20 --set kinds.0.boxes=200
    myrtlecourse sim demo/calm.toml --profile demo/load.toml --set profile.pieces.0.rate=800
    myrtlecourse sim find.json                     # what `myrtlecourse search` has found

    The scenario is the one that `myrtlecourse fleet` plays on sockets. The same seed gives the same figures,
    to the byte. Exit code 0, 1 when a rule was broken, 2 when it could not begin.
    """
    console = Console(stderr=True)
    began = time.perf_counter()
    try:
        world = FleetSimulation(*_read(scenario, profile, list(changes)), seed)
    except (ScenarioError, ProfileError, ScenarioMismatch) as e:
        console.print(f"myrtlecourse sim: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    with Progress(console=console, disable=quiet or not console.is_terminal, transient=True) as progress:
        task = progress.add_task("simulated seconds", total=world.scenario.seconds + SETTLE_TIME)
        result = world.run(lambda at: progress.update(task, completed=at))
    took = time.perf_counter() - began
    figures = result.figures()
    report.show(figures, Console())
    show_result(result, Console())
    show_verdict(result.verdict, Console())
    asked = result.record.all.counts["scheduled"]
    console.print(f"{asked:,} requests in {took:.1f} s: {asked / took:,.0f} a second", highlight=False)
    if json_file is not None:
        write_json(json_file, figures)
    if html_file is not None:
        from myrtlecourse.load.page import page  # noqa: PLC0415  (plots take a second to import)

        html_file.write_text(
            page(figures, f"{scenario.stem}, simulated", marks(result.steps), result.verdict)
        )
    sys.exit(0 if result.verdict["kept"] else BROKEN)


def _read(scenario: Path, profile: Path | None, changes: list[str]) -> tuple[Scenario, Profile]:
    """Both files, or a find, which holds both."""
    if scenario.suffix == ".json" and profile is None:
        if changes:
            raise click.UsageError("a find is replayed as it is: --set belongs to a scenario and a profile")
        find = read_counterexample(scenario)
        return find.scenario, find.profile
    if profile is None:
        raise click.UsageError("give a --profile, or the .json file of a find")
    return read_scenario_and_profile(scenario, profile, changes)


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--profile", type=click.Path(path_type=Path), required=True, help="the load (docs/load.md)")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="of the search")
@click.option(
    "--seconds",
    type=click.FloatRange(0, min_open=True),
    default=60.0,
    show_default=True,
    help="to search for",
)
@click.option(
    "--out", type=click.Path(path_type=Path), default="find.json", show_default=True, help="of a find"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write what was tried there")
def search(
    scenario: Path, profile: Path, seed: int, seconds: float, out: Path, json_file: Path | None
) -> None:
    """Look for a schedule of faults that breaks one of the four rules.

    \b
    myrtlecourse search demo/calm.toml --profile demo/load.toml --seconds 600
    myrtlecourse sim find.json

    The scenario's fleet, routers and load stay; its faults are drawn anew, and those that came closest to a
    limit are varied further. A find is made as small as it gets and written to a file. Exit code 0 when
    nothing was found, 1 with a find, 2 when it could not begin.
    """
    console = Console(stderr=True)
    try:
        base, load = read_scenario_and_profile(scenario, profile, [])
        hunt = Search(base, load, seed)
        trials = hunt.trials()
        until, found = time.monotonic() + seconds, None
        with console.status("searching") as status:
            while found is None and time.monotonic() < until:
                trial = next(trials)
                closest = hunt.pool[0].margins
                told = ", ".join(f"{kind} {share:.2f}" for kind, share in sorted(closest.items()))
                status.update(f"{hunt.trial_count:,} schedules; closest: {told}")
                found = trial if trial.breaches else None
            if found is not None:
                status.update("making it smaller")
                find = shrink(found, hunt.router_class)
    except (ScenarioError, ProfileError, ScenarioMismatch) as e:
        console.print(f"myrtlecourse search: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    margins = {k: max(t.margins.get(k, 0.0) for t in hunt.pool) for t in hunt.pool for k in t.margins}
    if json_file is not None:
        write_json(
            json_file, {"tried": hunt.trial_count, "margins": margins, "found": found and found.breaches}
        )
    if found is None:
        told = ", ".join(f"{kind} {share:.2f}" for kind, share in sorted(margins.items()))
        click.echo(f"{hunt.trial_count:,} schedules, no rule broken; closest to a limit (1): {told}")
        sys.exit(0)
    write_counterexample(out, find)
    broken = ", ".join(f"{kind} {count}" for kind, count in find.breaches.items())
    click.echo(
        f"{hunt.trial_count:,} schedules; found: {broken}; {len(find.scenario.faults)} faults, in {out}"
    )
    sys.exit(BROKEN)


def show_result(result: Result, console: Console) -> None:
    """Print what only a simulator knows."""
    asked = max(1, result.record.all.counts["scheduled"])
    loads = sorted(result.useful_work.values())
    console.print(
        f"{result.attempts / asked:.2f} attempts and {result.fetches / asked:.3f} fetches for each request; "
        f"boxes worked for answers {loads[0]:.2f} to {loads[-1]:.2f} of what they can (median "
        f"{loads[len(loads) // 2]:.2f})",
        highlight=False,
    )
