"""The command `myrtlecourse fleet-status`: shows members and zones as routers see them."""

from __future__ import annotations

import json
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from myrtlecourse.address.commands import query_each


def zones_table(at: str, status: dict[str, Any]) -> Table:
    """Return a table of the zones as one router sees them."""
    title = f"{at}: router {status['name']} in {status['zone'] or 'no zone'}"
    table = Table(title=title if status["believes"] else f"{title}, hears no other router")
    for heading in (
        "zone",
        "looks",
        "heard",
        "refused",
        "silent",
        "left",
        "order",
        "since",
        "by",
        "ends in",
        "waits",
    ):
        table.add_column(heading)
    for zone in status["zones"]:
        since = f"{zone['since_s']:.0f} s" if zone["since_s"] is not None else ""
        ends = f"{zone['left_s']:.0f} s" if zone["left_s"] is not None else ""
        looks = "unreachable from here alone" if zone["alone"] else zone["looks"]
        figures = [str(zone[name]) for name in ("heard", "refused", "silent")]
        left = "yes" if zone["left"] else ""
        if zone["share"] is not None:
            left = f"coming back, {zone['share']:.0%}"
        last_columns = zone["order"], since, zone["by"], ends, zone["waits"]
        table.add_row(zone["zone"], looks, *figures, left, *last_columns)
    return table


def members_table(status: dict[str, Any]) -> Table:
    """Return a table of the members as one router sees them."""
    table = Table()
    for heading in ("router", "state", "zone", "last record", "processes seen"):
        table.add_column(heading)
    for member in status["members"]:
        age = f"{member['age_s']:.1f} s ago" if member["age_s"] is not None else "never"
        table.add_row(member["name"], member["state"], member["zone"], age, str(member["starts_heard"]))
    return table


@click.command("fleet-status")
@click.argument("places", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each address")
@click.option("--members", is_flag=True, help="show the routers as well")
def fleet_status(places: tuple[str, ...], as_json: bool, members: bool) -> None:
    """Show which zones the routers have left, and why, as the routers at HOST:PORT see them.

    HOST:PORT is a router's operators' address (`ops`). The exit code is 0, or 1 when a router refuses, or 2
    when one does not answer.
    """
    found = query_each(places, "fleet")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    console = Console()
    for at, status in found.items():
        console.print(zones_table(at, status))
        if members:
            console.print(members_table(status))
