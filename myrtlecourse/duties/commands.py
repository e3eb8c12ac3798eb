"""`myrtlecourse duty`: shows and moves the duties of a fleet, through a router's operators' address."""

from __future__ import annotations

import json
import sys
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table

from myrtlecourse.address.commands import AT_OPTION, EXIT_REFUSED, call_router, query_each


@click.group()
def duty() -> None:
    """Shows who holds each duty and who obeys whom, and hands duties over.

    \b
    myrtlecourse duty status --at 10.0.0.4:15000 --at 10.0.0.5:15000
    myrtlecourse duty move purge router-b --at 10.0.0.4:15000

    --at is a router's operators' address (`ops`). Exit code 0, 1 if a router refuses, 2 if one does not
    answer.
    """


def table_of(at: str, router_status: dict[str, Any]) -> Table:
    """Returns a table of the duties as one router sees them."""
    able = "" if router_status["able"] else ", not able to hold"
    table = Table(
        title=f"{at}: router {router_status['name']}{able}; voters {', '.join(router_status['voters'])}"
    )
    headings = ("duty", "holder", "token", "here", "obeys", "last order", "state", "taken by", "dropped")
    for heading in headings:
        table.add_column(heading)
    for row in router_status["duties"]:
        obeys = f"{row['obeys']['token']}.{row['obeys']['number']}" if row["obeys"] else "nobody"
        age = f"{row['order_age_s']:.1f} s ago" if row["order_age_s"] is not None else ""
        here = f"{row['role']}, acts" if row["acts"] else row["role"]
        state = ", ".join(map(str, row["state"]))
        cells = (row["duty"], row["holder"], str(row["token"]), here, obeys, age, state)
        table.add_row(*cells, str(len(row["taken_by"]) or ""), str(row["dropped_orders"] or ""))
    return table


@duty.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each --at")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """Shows what each router knows of the duties."""
    statuses = query_each(places, "duties")
    if as_json:
        click.echo(json.dumps(statuses, indent=2))
        return
    for at, router_status in statuses.items():
        Console().print(table_of(at, router_status))


@duty.command()
@click.argument("name")
@click.argument("to", default="")
@click.option("--at", "at", required=True, help="host:port of the router that holds the duty")
def move(name: str, to: str, at: str) -> None:
    """Hands a duty over, to a router by name or to the next candidate that answers."""
    path = f"duties/{quote(name, safe='')}/move" + (f"/{quote(to, safe='')}" if to else "")
    code, text = call_router(at, "PUT", path)
    click.echo(text)
    sys.exit(0 if code == 200 else EXIT_REFUSED)
