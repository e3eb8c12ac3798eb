"""`myrtlecourse address`: shows and moves the service address, through a router's operators' address."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table

EXIT_UNREACHABLE = 2  # exit code if a router does not answer
EXIT_REFUSED = 1  # exit code if a router refuses the call
TIMEOUT = 2.0  # seconds
MAX_RESPONSE = 1024 * 1024  # bytes; more than the status of a thousand routers


def call_router(at: str, method: str, path: str) -> tuple[int, str]:
    """Make an operators' call and return status code and text; exit with code 2 if there is no answer."""
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


def query_each(addresses: tuple[str, ...], path: str) -> dict[str, Any]:
    """Return the status of each router by its address.

    Exit with code 1 if a router refuses, and with 2 if one does not answer.
    """
    statuses: dict[str, Any] = {}
    for at in addresses:
        code, text = call_router(at, "GET", path)
        if code != 200:
            click.echo(f"myrtlecourse: {at}: {text}", err=True)
            sys.exit(EXIT_REFUSED)
        statuses[at] = json.loads(text)
    return statuses


@click.group()
def address() -> None:
    """Shows which router holds the service address, and hands it over.

    \b
    myrtlecourse address status --at 10.0.0.4:15000 --at 10.0.0.5:15000 --at 10.0.0.6:15000
    myrtlecourse address move router-b --at 10.0.0.4:15000

    --at is a router's operators' address (`ops`). Exit code 0, 1 if a router refuses, 2 if one does not
    answer.
    """


AT_OPTION = click.option("--at", "places", multiple=True, required=True, help="host:port, also several times")


@address.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each --at")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """Shows what each router knows of the address."""
    statuses = query_each(places, "address")
    if as_json:
        click.echo(json.dumps(statuses, indent=2))
        return
    table = Table(title="The service address")
    for heading in (
        "at",
        "name",
        "role",
        "term",
        "lease left",
        "lease granted to",
        "able",
        "dropped",
        "last move",
    ):
        table.add_column(heading)
    for at, router_status in statuses.items():
        dropped = ", ".join(f"{count} {reason}" for reason, count in router_status["dropped"].items())
        lease = f"{router_status['lease_left_s']:.2f} s" if router_status["holds"] else ""
        last = router_status["moves"][-1] if router_status["moves"] else ""
        able = "yes" if router_status["able"] else "no"
        cells = (
            at,
            router_status["name"],
            router_status["role"],
            str(router_status["term"]),
            lease,
            router_status["word_given_to"],
            able,
        )
        table.add_row(*cells, dropped, last)
    Console().print(table)


@address.command()
@click.argument("to", default="")
@click.option("--at", "at", required=True, help="host:port of the router that holds the address")
def move(to: str, at: str) -> None:
    """Hands the address over to a router, or to the first candidate if none is named."""
    code, text = call_router(at, "PUT", "address/move" + (f"/{quote(to, safe='')}" if to else ""))
    click.echo(text)
    sys.exit(0 if code == 200 else EXIT_REFUSED)
