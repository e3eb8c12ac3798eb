"""The commands `myrtlecourse sim` and `myrtlecourse search`: their options and their output."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.progress import Progress

from myrtlecourse.fleet.commands import EXIT_RULE_BROKEN, show_verdict, step_marks
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
@click.option("--seed", type=click.IntRange(0), help="seed in place of those of both files")
@click.option(
    "--set", "changes", multiple=True, metavar="PATH=VALUE", help="change one value; may be repeated"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures to this file")
@click.option(
    "--html", "html_file", type=click.Path(path_type=Path), help="write a page with charts to this file"
)
@click.option("--quiet", is_flag=True, help="show no progress")
def sim(
    scenario: Path,
    profile: Path | None,
    seed: int | None,
    changes: tuple[str, ...],
    json_file: Path | None,
    html_file: Path | None,
    quiet: bool,
) -> None:
    """Run a scenario in virtual time: the real decision module with models of the fleet.

    \b
    myrtlecourse sim demo/rough.toml --profile demo/load.toml --seed 7
    myrtlecourse sim demo/calm.toml --profile demo/load.toml --set routers=20 --set kinds.0.boxes=200
    myrtlecourse sim demo/calm.toml --profile demo/load.toml --set profile.pieces.0.rate=800
    myrtlecourse sim find.json                     # a counterexample of `myrtlecourse search`

    The scenario is that of `myrtlecourse fleet`, which runs it on sockets. The same seed gives the same
    figures, to the byte. Exit code 0, 1 if a rule was broken, 2 if the files can't be used.
    """
    console = Console(stderr=True)
    started_at = time.perf_counter()
    try:
        simulation = FleetSimulation(*_read(scenario, profile, list(changes)), seed)
    except (ScenarioError, ProfileError, ScenarioMismatch) as e:
        console.print(f"myrtlecourse sim: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    with Progress(console=console, disable=quiet or not console.is_terminal, transient=True) as progress:
        task = progress.add_task("simulated seconds", total=simulation.scenario.seconds + SETTLE_TIME)
        result = simulation.run(lambda at: progress.update(task, completed=at))
    elapsed = time.perf_counter() - started_at
    figures = result.figures()
    report.show(figures, Console())
    show_result(result, Console())
    show_verdict(result.verdict, Console())
    requests = result.record.all.counts["scheduled"]
    console.print(
        f"{requests:,} requests in {elapsed:.1f} s: {requests / elapsed:,.0f} per second", highlight=False
    )
    if json_file is not None:
        write_json(json_file, figures)
    if html_file is not None:
        from myrtlecourse.load.page import page  # noqa: PLC0415  (plots take a second to import)

        html_file.write_text(
            page(figures, f"{scenario.stem}, simulated", step_marks(result.steps), result.verdict)
        )
    sys.exit(0 if result.verdict["kept"] else EXIT_RULE_BROKEN)


def _read(scenario: Path, profile: Path | None, changes: list[str]) -> tuple[Scenario, Profile]:
    """Read both files, or a counterexample, which holds both."""
    if scenario.suffix == ".json" and profile is None:
        if changes:
            raise click.UsageError(
                "a counterexample is replayed unchanged: --set needs a scenario and a profile"
            )
        counterexample = read_counterexample(scenario)
        return counterexample.scenario, counterexample.profile
    if profile is None:
        raise click.UsageError("give a --profile, or the .json file of a counterexample")
    return read_scenario_and_profile(scenario, profile, changes)


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--profile", type=click.Path(path_type=Path), required=True, help="the load (docs/load.md)")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="seed of the search")
@click.option(
    "--seconds",
    type=click.FloatRange(0, min_open=True),
    default=60.0,
    show_default=True,
    help="duration of the search",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default="find.json",
    show_default=True,
    help="file for a counterexample",
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the result to this file")
def search(
    scenario: Path, profile: Path, seed: int, seconds: float, out: Path, json_file: Path | None
) -> None:
    """Search for a schedule of faults that breaks one of the four rules.

    \b
    myrtlecourse search demo/calm.toml --profile demo/load.toml --seconds 600
    myrtlecourse sim find.json

    The scenario's fleet, routers and load are kept; its faults are drawn at random, and schedules that come
    closest to a limit are varied further. A counterexample is reduced as far as possible and written to a
    file. Exit code 0 if nothing was found, 1 with a counterexample, 2 if the files can't be used.
    """
    console = Console(stderr=True)
    try:
        base, load = read_scenario_and_profile(scenario, profile, [])
        run = Search(base, load, seed)
        trials = run.trials()
        until, found = time.monotonic() + seconds, None
        with console.status("searching") as status:
            while found is None and time.monotonic() < until:
                trial = next(trials)
                closest = run.pool[0].margins
                closest_text = ", ".join(f"{kind} {share:.2f}" for kind, share in sorted(closest.items()))
                status.update(f"{run.trial_count:,} schedules; closest: {closest_text}")
                found = trial if trial.breaches else None
            if found is not None:
                status.update("reducing the counterexample")
                counterexample = shrink(found, run.router_class)
    except (ScenarioError, ProfileError, ScenarioMismatch) as e:
        console.print(f"myrtlecourse search: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    margins = {k: max(t.margins.get(k, 0.0) for t in run.pool) for t in run.pool for k in t.margins}
    if json_file is not None:
        write_json(
            json_file, {"tried": run.trial_count, "margins": margins, "found": found and found.breaches}
        )
    if found is None:
        closest_text = ", ".join(f"{kind} {share:.2f}" for kind, share in sorted(margins.items()))
        click.echo(f"{run.trial_count:,} schedules, no rule broken; closest to a limit (1): {closest_text}")
        sys.exit(0)
    write_counterexample(out, counterexample)
    broken = ", ".join(f"{kind} {count}" for kind, count in counterexample.breaches.items())
    click.echo(
        f"{run.trial_count:,} schedules; found: {broken}; "
        f"{len(counterexample.scenario.faults)} faults, in {out}"
    )
    sys.exit(EXIT_RULE_BROKEN)


def show_result(result: Result, console: Console) -> None:
    """Print the figures that only a simulator knows."""
    requests = max(1, result.record.all.counts["scheduled"])
    loads = sorted(result.useful_work.values())
    console.print(
        f"{result.attempts / requests:.2f} attempts and {result.fetches / requests:.3f} fetches per request; "
        f"servers spent {loads[0]:.2f} to {loads[-1]:.2f} of their capacity on answers (median "
        f"{loads[len(loads) // 2]:.2f})",
        highlight=False,
    )
