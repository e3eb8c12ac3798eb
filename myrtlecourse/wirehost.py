"""Runs routers behind a protocol of JSON lines on standard input and output; only converts messages."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from myrtlecourse import interface as api
from myrtlecourse.policy import Router
from myrtlecourse.settings import read_settings

STATES = {"active": api.State.READY, "leaving": api.State.DRAINING, "left": api.State.GONE}
KINDS = {
    "INCREMENTAL": api.ListKind.DELTA,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
STATUSES = {
    "delivered": api.Status.OK,
    "app_error": api.Status.ERROR,
    "shed": api.Status.FULL,
    "expired": api.Status.TIMEOUT,
    "dial_failed": api.Status.CONNECT_FAILED,
    "dropped": api.Status.RESET,
    "revoked": api.Status.CANCELLED,
    "unused": api.Status.NOT_SENT,
    "empty": api.Status.MISS,
}


class WireError(ValueError):
    """Raised for a line that violates the protocol."""


def read_entry(e: dict[str, Any]) -> api.ServerEntry:
    """Return the entry of a server from a line of the list."""
    return api.ServerEntry(
        server=e["server"],
        state=STATES[e["readiness"]],
        kind=e.get("generationHw") or "",
        zone=e.get("site") or "",
        cell=e.get("stripe") or 0,
        weight=max(0.0, e.get("weight") or 0.0),
        listed_start=e.get("since") or 0.0,
    )


def read_list(e: dict[str, Any]) -> api.Event:
    """Return the event of a list or its changes."""
    return api.ServerList(KINDS[e["scope"]], tuple(map(read_entry, e.get("lines") or ())))


def read_request(e: dict[str, Any]) -> api.Event:
    """Return a request event; a missing or negative time budget becomes 0."""
    return api.Request(
        e["ticket"],
        e["priority"],
        max(0.0, float(e.get("timeBudget") or 0.0)),
        e.get("partitionKey"),
        e.get("effort"),
        bool(e.get("update")),
    )


def read_outcome(e: dict[str, Any]) -> api.Event:
    """Return the event of an attempt's end."""
    return api.Outcome(
        e["ticket"], e["sendNo"], STATUSES[e["outcome"]], bool(e.get("final")), e.get("lag") or 0.0
    )


READERS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "Membership": read_list,
    "Request": read_request,
    "Begun": lambda e: api.Streaming(e["ticket"], e["sendNo"]),
    "Done": read_outcome,
    "Aborted": lambda e: api.ClientGone(e["ticket"]),
    "Wake": lambda e: api.TimerFired(e["ctx"]),
}
UNUSED = {"Pong", "Heard"}  # answers to commands that these routers never send


def write_send(a: api.Send) -> dict[str, Any]:
    """Return the command that starts an attempt."""
    if a.timeout is None:
        return {"op": "Send", "ticket": a.request, "server": a.server}
    return {"op": "Send", "ticket": a.request, "server": a.server, "timeout": a.timeout}


def write_refuse(a: api.Refuse) -> dict[str, Any]:
    """Return the command that refuses a request, with a retry delay if there is one."""
    advice = {"coolDown": a.retry_after} if a.retry_after else {}
    return {"op": "Reject", "ticket": a.request, **advice}


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: write_send,
    api.Refuse: write_refuse,
    api.Fail: lambda a: {"op": "GiveUp", "ticket": a.request},
    api.Cancel: lambda a: {"op": "Cancel", "ticket": a.request, "sendNo": a.attempt},
    api.CloseIdle: lambda a: {"op": "LetGo", "server": a.server},
    api.SetTimer: lambda a: {"op": "Timer", "fromNow": a.delay, "ctx": a.timer},
    api.Subscribe: lambda a: {"op": "Listen", "enable": True},
    api.Log: lambda a: {"op": "Record", "line": a.text},
}


class Host:
    """Keeps a router for each instance number; routers share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def batch(self, line: bytes) -> bytes:
        """Return the answer to a line of input. Raises WireError."""
        try:
            message = orjson.loads(line)
            now, news = float(message["t"]), message["news"]
            if not isinstance(news, list):
                raise TypeError("news is not a list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            raise WireError(f"not a batch: {e!r}") from e
        commands: list[dict[str, Any]] = []
        for event in news:
            self.event(now, event, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def event(self, now: float, event: Any, commands: list[dict[str, Any]]) -> None:
        """Pass an event to its router and append the resulting commands. Raises WireError."""
        try:
            op, number_ = event["op"], event["routerId"]
            if op == "Born":
                self.routers[number_] = Router(read_settings(event["conf"]), event["initSeed"], now)
                return
            if op == "Kill":
                self.routers.pop(number_, None)
                return
            if op in UNUSED:
                return
            read = READERS[op](event)
            router = self.routers.get(number_)
        except api.SettingsError as e:
            print(f"myrtlecourse: {e}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": number_, "line": str(e)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise WireError(f"malformed event: {e!r} in {str(event)[:200]}") from e
        if router is None:
            return
        for action in router.handle(now, read):
            command = WRITERS[type(action)](action)
            command["routerId"] = number_
            commands.append(command)


def main() -> int:
    """Answer each line of standard input until its end. Return the exit status."""
    host = Host()
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(line)
        except WireError as e:
            print(f"myrtlecourse: {e}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
