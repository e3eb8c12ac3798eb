"""`myrtlecourse spread`: the operators' commands for changes and purges, over the routers' operators'
addresses."""

from __future__ import annotations

import hashlib
import json
import sys
import time
from http import HTTPStatus
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from myrtlecourse.address.commands import AT_OPTION, EXIT_REFUSED, call_router, query_each
from myrtlecourse.spread.messages import KEY_BYTES, MAX_VALUE_BYTES

POLL_INTERVAL = 0.1  # seconds between queries whether an entry is applied everywhere
WAIT = click.option(
    "--wait", type=click.FloatRange(0.0, 3600.0), default=0.0, help="seconds to wait until done everywhere"
)


def key_hash(name: str) -> bytes:
    """Return the log key of a purge's name or a change's subject."""
    return hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()


@click.group()
def spread() -> None:
    """Send changes and purges to every member of a fleet, and show how far they are.

    \b
    myrtlecourse spread status --at 10.0.0.4:15000 --at 10.0.0.5:15000
    myrtlecourse spread purge /news/today /news/index --at 10.0.0.4:15000 --at 10.0.0.5:15000 --wait 10
    myrtlecourse spread send limits/news rate=200 --at 10.0.0.4:15000

    --at is a router's operators' address (`ops`); to send, name the control machines: the one that writes
    the log accepts the entry. Exit code 0, 1 when the answer is no or not known, 2 when nobody answers.
    """


def format_value(value: Any) -> str:
    """Return a field's value as text, with a line for each element of a list."""
    if isinstance(value, dict):
        return ", ".join(f"{k}: {v}" for k, v in value.items())
    if isinstance(value, list):
        return "\n".join(map(format_value, value))
    return str(value)


def node_table(at: str, state: dict[str, Any]) -> Table:
    """Return a member's state as a table."""
    vouches = "vouches for itself" if state["vouches"] else "vouches for nothing"
    title = f"{at}: {state['name']}, {vouches}, log written by {state['holder'] or 'nobody known'}"
    table = Table(title=f"{title}, {state['failed']}" if state["failed"] else title, show_header=False)
    if state["done"] is not None:
        number, members, away = state["done"]
        table.add_row("done everywhere", f"{number}, by {members:,} members; {away:,} away")
    for part in ("node", "head"):
        for name, value in (state[part] or {}).items():
            table.add_row(f"{part}: {name}", format_value(value))
    dropped = ", ".join(f"{count} {why}" for why, count in state["dropped"].items())
    table.add_row("dropped datagrams", dropped or "none")
    return table


@spread.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print JSON, an object for each --at")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """Show what each member knows: the log's leader, its progress, and which member holds completion back."""
    found = query_each(places, "spread")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for at, state in found.items():
        Console().print(node_table(at, state))


def put_entry(places: tuple[str, ...], path: str) -> tuple[str, int]:
    """Commit an entry. Return the address of the node that accepted it, and its log number. Exits with code 1
    when no node accepts it."""
    text = ""
    for at in places:
        try:
            code, text = call_router(at, "PUT", f"spread/{path}")
        except SystemExit:
            if at == places[-1]:
                raise
            continue  # `call_router` has reported it as unreachable; another node may lead by now
        if code == HTTPStatus.OK:
            return at, int(text)
        if code != HTTPStatus.SERVICE_UNAVAILABLE:
            break  # it may have been accepted, and another node would accept it a second time
    click.echo(f"myrtlecourse: {text}", err=True)
    sys.exit(EXIT_REFUSED)


def wait_until_done(at: str, number: int, seconds: float) -> None:
    """Wait until an entry is applied everywhere. Exits with code 1 when it is not in time."""
    deadline = time.monotonic() + seconds
    while True:
        done = query_each((at,), "spread")[at]["done"]
        if done is not None and done[0] >= number:
            click.echo(f"done everywhere up to {done[0]}: {done[1]} members, {done[2]} away")
            return
        if time.monotonic() > deadline:
            reached = f"up to {done[0]}" if done is not None else "for none that is known here"
            click.echo(f"myrtlecourse: done everywhere {reached} after {seconds:g} s", err=True)
            sys.exit(EXIT_REFUSED)
        time.sleep(POLL_INTERVAL)


@spread.command()
@click.argument("names", nargs=-1, required=True, metavar="KEY...")
@AT_OPTION
@WAIT
def purge(names: tuple[str, ...], places: tuple[str, ...], wait: float) -> None:
    """Make all members discard what they cache under these keys; prints the log number of each."""
    at, number = places[0], 0
    for name in names:
        at, number = put_entry(places, f"purge/{key_hash(name).hex()}")
        click.echo(f"{number} {name}")
        places = (at, *(p for p in places if p != at))
    if wait:
        wait_until_done(at, number, wait)


@spread.command()
@click.argument("subject")
@click.argument("value")
@AT_OPTION
@WAIT
def send(subject: str, value: str, places: tuple[str, ...], wait: float) -> None:
    """Set a subject's value for all members; prints the change's log number."""
    if len(value.encode()) > MAX_VALUE_BYTES:
        raise click.BadParameter(f"{MAX_VALUE_BYTES} bytes at most", param_hint="VALUE")
    at, number = put_entry(places, f"send/{key_hash(subject).hex()}/{value.encode().hex()}")
    click.echo(f"{number} {subject}")
    if wait:
        wait_until_done(at, number, wait)
