"""The commands `myrtlecourse expect check`, `explain` and `diff`."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
import orjson
from rich.console import Console
from rich.table import Table

from myrtlecourse import interface as api
from myrtlecourse.expect.checker import check_all, explain, moved_keys
from myrtlecourse.expect.spec import (
    Expectations,
    ExpectError,
    Given,
    NamedFleet,
    contradictions,
    read_expectations,
)
from myrtlecourse.settings import read_settings

EXIT_FAILED = 1  # exit code if an expectation fails or contradicts another
EXIT_UNUSABLE = 2


def read_files(settings_file: Path, file: Path) -> tuple[api.Settings, Expectations]:
    """Read both files. Exits with code 2 if one of them can't be used."""
    try:
        table = orjson.loads(settings_file.read_bytes())
        if not isinstance(table, dict):
            raise ExpectError(f"{settings_file}: not an object")
        # either the whole configuration of a router or its settings alone
        return read_settings(table.get("settings", table)), read_expectations(file)
    except (OSError, orjson.JSONDecodeError, api.SettingsError, ExpectError) as e:
        text = str(e) if isinstance(e, ExpectError) else f"{settings_file}: {e}"
        click.echo(f"myrtlecourse expect: {text}", err=True)
        sys.exit(EXIT_UNUSABLE)


def find_fleet(expectations: Expectations, name: str) -> NamedFleet:
    """Return a fleet by name. Exits with code 2 if there is none."""
    fleet = expectations.fleets_by_name().get(name)
    if fleet is None:
        click.echo(f"myrtlecourse expect: no fleet is named {name}", err=True)
        sys.exit(EXIT_UNUSABLE)
    return fleet


@click.group()
def expect() -> None:
    """Check to which servers requests go, with the decision module itself and without traffic.

    \b
    myrtlecourse expect check demo/expect.toml --settings demo/settings.json
    myrtlecourse expect explain demo/expect.toml pupil-7 --fleet today --settings demo/settings.json
    myrtlecourse expect diff demo/expect.toml today tomorrow --keys 'pupil-{0..99999}' --settings ...

    --settings takes a router's configuration (RELAY_CONFIG) or its settings alone. Exit code 0, 1 if an
    expectation fails or contradicts another, 2 if a file can't be used.
    """


SETTINGS = click.option("--settings", "settings_file", type=click.Path(path_type=Path), required=True)
FILE = click.argument("file", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="print JSON")


@expect.command()
@FILE
@SETTINGS
@JSON
def check(file: Path, settings_file: Path, as_json: bool) -> None:
    """Check every expectation of a file, unless some contradict each other."""
    settings, expectations = read_files(settings_file, file)
    found = contradictions(expectations, settings)
    verdicts = [] if found else check_all(expectations, settings)
    failed = [v for v in verdicts if not v.holds]
    if as_json:
        click.echo(msgspec.json.encode({"contradictions": found, "expectations": verdicts}))
    else:
        console = Console(highlight=False)
        for contradiction in found:
            names = (
                contradiction.first
                if contradiction.first == contradiction.second
                else f"{contradiction.first} and {contradiction.second}"
            )
            console.print(f"contradiction: {names}: {contradiction.why}", markup=False)
        for verdict in verdicts:
            console.print(f"{'holds ' if verdict.holds else 'FAILS '} {verdict.name}", markup=False)
            for why in verdict.why if not verdict.holds else ():
                console.print(f"        {why}", markup=False)
        console.print(
            f"{len(verdicts) - len(failed)} of {len(expectations.expect)} hold, "
            f"over {expectations.seeds} seeds"
        )
    sys.exit(EXIT_FAILED if found or failed else 0)


@expect.command(name="explain")
@FILE
@click.argument("key")
@click.option("--fleet", "name", required=True)
@click.option("--class", "request_class", help="request class (default: the first one in the settings)")
@click.option("--draining", multiple=True)
@click.option("--gone", multiple=True)
@click.option("--offline", multiple=True)
@SETTINGS
@JSON
def explain_key(
    file: Path,
    key: str,
    name: str,
    request_class: str | None,
    settings_file: Path,
    as_json: bool,
    draining: tuple[str, ...],
    gone: tuple[str, ...],
    offline: tuple[str, ...],
) -> None:
    """Show the server of a key, and those to which it would go if that server were not available."""
    settings, expectations = read_files(settings_file, file)
    fleet = find_fleet(expectations, name)
    class_name = request_class or next(iter(settings.classes))
    given = Given(class_name, gone=gone, draining=draining, offline=offline)
    steps = explain(settings, fleet, given, key)
    if as_json:
        click.echo(msgspec.json.encode(steps))
        return
    table = Table(title=f"{key} in {name}")
    for heading in ("", "server", "skipped as"):
        table.add_column(heading)
    for position, step in enumerate(steps, 1):
        table.add_row("" if step.why else str(position), step.server, step.why)
    Console().print(table)


@expect.command()
@FILE
@click.argument("old")
@click.argument("new")
@click.option("--keys", required=True, help="a key, or a pattern with a range: pupil-{0..99999}")
@SETTINGS
@JSON
def diff(file: Path, old: str, new: str, keys: str, settings_file: Path, as_json: bool) -> None:
    """Show the share of keys that move to other servers with another fleet, and from where to where."""
    settings, expectations = read_files(settings_file, file)
    given = Given(next(iter(settings.classes)), (keys,))
    count, moves = moved_keys(settings, find_fleet(expectations, old), find_fleet(expectations, new), given)
    if as_json:
        rows = [
            {"from": old_server, "to": new_server, "keys": number}
            for (old_server, new_server), number in moves.most_common()
        ]
        click.echo(orjson.dumps({"keys": count, "moved": moves.total(), "ways": rows}))
        return
    table = Table(title=f"{moves.total():,} of {count:,} keys move ({moves.total() / count:.1%})")
    for heading in ("from", "to", "keys"):
        table.add_column(heading, justify="right" if heading == "keys" else "left")
    for (old_server, new_server), number in moves.most_common():
        table.add_row(old_server, new_server, f"{number:,}")
    Console().print(table)
