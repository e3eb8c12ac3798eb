"""`myrtlecourse address`: what staff ask of a router whose address moves, over its operators' address."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table

EXIT_UNREACHABLE = 2  # exit code when there was no answer
EXIT_REFUSED = 1  # when the answer was no
TIMEOUT = 2.0  # seconds
MAX_RESPONSE = 1024 * 1024  # bytes; a thousand routers are told in less


def call_router(at: str, method: str, path: str) -> tuple[int, str]:
    """One operators' call. Ends with exit code 2 when nobody answers."""
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{at} is not host:port", param_hint="--at")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT)
    try:
        connection.request(method, f"/control/{path}")
        response = connection.getresponse()
        return response.status, response.read(MAX_RESPONSE).decode(errors="replace").strip()
    except (OSError, http.client.HTTPException) as e:
        click.echo(f"myrtlecourse: {at}: {e}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    finally:
        connection.close()


def query_each(places: tuple[str, ...], what: str) -> dict[str, Any]:
    """What each router tells of something. Ends with exit code 1 when one says no, 2 when one is silent."""
    found: dict[str, Any] = {}
    for at in places:
        code, text = call_router(at, "GET", what)
        if code != 200:
            click.echo(f"myrtlecourse: {at}: {text}", err=True)
            sys.exit(EXIT_REFUSED)
        found[at] = json.loads(text)
    return found


@click.group()
def address() -> None:
    """Who holds the service address, and handing it over.

    \b
    myrtlecourse address status --at 10.0.0.4:15000 --at 10.0.0.5:15000 --at 10.0.0.6:15000
    myrtlecourse address move router-b --at 10.0.0.4:15000

    --at is a router's operators' address (`ops`). Exit code 0, 1 when a router says no, 2 when one does not
    answer.
    """


AT_OPTION = click.option("--at", "places", multiple=True, required=True, help="host:port, also several times")


@address.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each --at")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """What each router knows of the address."""
    found = query_each(places, "address")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    table = Table(title="The service address")
    for heading in (
        "at",
        "name",
        "role",
        "term",
        "lease left",
        "word given to",
        "able",
        "dropped",
        "last move",
    ):
        table.add_column(heading)
    for at, told in found.items():
        dropped = ", ".join(f"{count} {why}" for why, count in told["dropped"].items())
        lease = f"{told['lease_left_s']:.2f} s" if told["holds"] else ""
        last = told["moves"][-1] if told["moves"] else ""
        able = "yes" if told["able"] else "no"
        row = (at, told["name"], told["role"], str(told["term"]), lease, told["word_given_to"], able)
        table.add_row(*row, dropped, last)
    Console().print(table)


@address.command()
@click.argument("to", default="")
@click.option("--at", "at", required=True, help="host:port of the router that holds the address")
def move(to: str, at: str) -> None:
    """Hand the address over, to a router by name or to whoever stands first."""
    code, text = call_router(at, "PUT", "address/move" + (f"/{quote(to, safe='')}" if to else ""))
    click.echo(text)
    sys.exit(0 if code == 200 else EXIT_REFUSED)
