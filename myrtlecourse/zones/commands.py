"""`myrtlecourse fleet-status`: members and zones as routers see them."""

from __future__ import annotations

import json
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from myrtlecourse.address.commands import query_each


def zones_table(at: str, told: dict[str, Any]) -> Table:
    """A router's view of the zones."""
    title = f"{at}: router {told['name']} in {told['zone'] or 'no zone'}"
    table = Table(title=title if told["believes"] else f"{title}, hears nobody")
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
    for zone in told["zones"]:
        since = f"{zone['since_s']:.0f} s" if zone["since_s"] is not None else ""
        ends = f"{zone['left_s']:.0f} s" if zone["left_s"] is not None else ""
        looks = "out of reach from here alone" if zone["alone"] else zone["looks"]
        figures = [str(zone[name]) for name in ("heard", "refused", "silent")]
        left = "yes" if zone["left"] else ""
        if zone["share"] is not None:
            left = f"coming back, {zone['share']:.0%}"
        told_of = zone["order"], since, zone["by"], ends, zone["waits"]
        table.add_row(zone["zone"], looks, *figures, left, *told_of)
    return table


def members_table(told: dict[str, Any]) -> Table:
    """Who is there."""
    table = Table()
    for heading in ("router", "state", "zone", "last word", "processes heard"):
        table.add_column(heading)
    for member in told["members"]:
        age = f"{member['age_s']:.1f} s ago" if member["age_s"] is not None else "never"
        table.add_row(member["name"], member["state"], member["zone"], age, str(member["starts_heard"]))
    return table


@click.command("fleet-status")
@click.argument("places", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each address")
@click.option("--members", is_flag=True, help="the routers as well")
def fleet_status(places: tuple[str, ...], as_json: bool, members: bool) -> None:
    """Which zones the routers have left, and why, as those at HOST:PORT see them.

    HOST:PORT is a router's operators' address (`ops`). Exit code 0, 1 when a router says no, 2 when one does
    not answer.
    """
    found = query_each(places, "fleet")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    console = Console()
    for at, told in found.items():
        console.print(zones_table(at, told))
        if members:
            console.print(members_table(told))
