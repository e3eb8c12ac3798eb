"""`myrtlecourse duty`: what staff ask of the duties of a fleet, over a router's operators' address."""

from __future__ import annotations

import json
import sys
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table

from myrtlecourse.address.commands import AT, NO, ask_each, call


@click.group()
def duty() -> None:
    """Who holds each duty, who obeys whom, and handing one over.

    \b
    myrtlecourse duty status --at 10.0.0.4:15000 --at 10.0.0.5:15000
    myrtlecourse duty move purge router-b --at 10.0.0.4:15000

    --at is a router's operators' address (`ops`). Exit code 0, 1 when a router says no, 2 when one does not
    answer.
    """


def table_of(at: str, status: dict[str, Any]) -> Table:
    """A router's view of the duties."""
    able = "" if status["able"] else ", not able to hold"
    table = Table(title=f"{at}: router {status['name']}{able}; voters {', '.join(status['voters'])}")
    headings = ("duty", "holder", "token", "here", "obeys", "last order", "state", "taken by", "dropped")
    for heading in headings:
        table.add_column(heading)
    for each in status["duties"]:
        obeys = f"{each['obeys']['token']}.{each['obeys']['number']}" if each["obeys"] else "nobody"
        age = f"{each['order_age_s']:.1f} s ago" if each["order_age_s"] is not None else ""
        here = f"{each['role']}, acts" if each["acts"] else each["role"]
        state = ", ".join(map(str, each["state"]))
        row = (each["duty"], each["holder"], str(each["token"]), here, obeys, age, state)
        table.add_row(*row, str(len(each["taken_by"]) or ""), str(each["dropped_orders"] or ""))
    return table


@duty.command()
@AT
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each --at")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """What each router knows of the duties."""
    statuses = ask_each(places, "duties")
    if as_json:
        click.echo(json.dumps(statuses, indent=2))
        return
    for at, status in statuses.items():
        Console().print(table_of(at, status))


@duty.command()
@click.argument("name")
@click.argument("to", default="")
@click.option("--at", "at", required=True, help="host:port of the router that holds the duty")
def move(name: str, to: str, at: str) -> None:
    """Hand a duty over, to a router by name or to the next that answers."""
    path = f"duties/{quote(name, safe='')}/move" + (f"/{quote(to, safe='')}" if to else "")
    code, text = call(at, "PUT", path)
    click.echo(text)
    sys.exit(0 if code == 200 else NO)
