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


def read_entry(entry: dict[str, Any]) -> api.ServerEntry:
    """Return the entry of a server from a line of a server list."""
    return api.ServerEntry(
        server=entry["server"],
        state=STATES[entry["readiness"]],
        kind=entry.get("generationHw") or "",
        zone=entry.get("site") or "",
        cell=entry.get("stripe") or 0,
        weight=max(0.0, entry.get("weight") or 0.0),
        listed_start=entry.get("since") or 0.0,
    )


def read_list(event: dict[str, Any]) -> api.Event:
    """Return the event of a server list, or of changes to it."""
    return api.ServerList(KINDS[event["scope"]], tuple(map(read_entry, event.get("lines") or ())))


def read_request(event: dict[str, Any]) -> api.Event:
    """Return a request event; a missing or negative time budget becomes 0."""
    return api.Request(
        event["ticket"],
        event["priority"],
        max(0.0, float(event.get("timeBudget") or 0.0)),
        event.get("partitionKey"),
        event.get("effort"),
        bool(event.get("update")),
    )


def read_outcome(event: dict[str, Any]) -> api.Event:
    """Return the event of an attempt's end."""
    return api.Outcome(
        event["ticket"],
        event["sendNo"],
        STATUSES[event["outcome"]],
        bool(event.get("final")),
        event.get("lag") or 0.0,
    )


READERS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "Membership": read_list,
    "Request": read_request,
    "Begun": lambda event: api.Streaming(event["ticket"], event["sendNo"]),
    "Done": read_outcome,
    "Aborted": lambda event: api.ClientGone(event["ticket"]),
    "Wake": lambda event: api.TimerFired(event["ctx"]),
}
UNUSED = {"Pong", "Heard"}  # events that answer commands which these routers never send


def write_send(action: api.Send) -> dict[str, Any]:
    """Return the command that starts an attempt."""
    if action.timeout is None:
        return {"op": "Send", "ticket": action.request, "server": action.server}
    return {"op": "Send", "ticket": action.request, "server": action.server, "timeout": action.timeout}


def write_refuse(action: api.Refuse) -> dict[str, Any]:
    """Return the command that refuses a request, with a retry delay if there is one."""
    advice = {"coolDown": action.retry_after} if action.retry_after else {}
    return {"op": "Reject", "ticket": action.request, **advice}


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: write_send,
    api.Refuse: write_refuse,
    api.Fail: lambda action: {"op": "GiveUp", "ticket": action.request},
    api.Cancel: lambda action: {"op": "Cancel", "ticket": action.request, "sendNo": action.attempt},
    api.CloseIdle: lambda action: {"op": "LetGo", "server": action.server},
    api.SetTimer: lambda action: {"op": "Timer", "fromNow": action.delay, "ctx": action.timer},
    api.Subscribe: lambda action: {"op": "Listen", "enable": True},
    api.Log: lambda action: {"op": "Record", "line": action.text},
}


class Host:
    """Runs one router for each `routerId`; routers share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def batch(self, line: bytes) -> bytes:
        """Return the line that answers a line of input. Raises WireError."""
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
            op, router_id = event["op"], event["routerId"]
            if op == "Born":
                self.routers[router_id] = Router(read_settings(event["conf"]), event["initSeed"], now)
                return
            if op == "Kill":
                self.routers.pop(router_id, None)
                return
            if op in UNUSED:
                return
            read = READERS[op](event)
            router = self.routers.get(router_id)
        except api.SettingsError as e:
            print(f"myrtlecourse: {e}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": router_id, "line": str(e)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise WireError(f"malformed event: {e!r} in {str(event)[:200]}") from e
        if router is None:
            return
        for action in router.handle(now, read):
            command = WRITERS[type(action)](action)
            command["routerId"] = router_id
            commands.append(command)


def main() -> int:
    """Answer each line of standard input until its end, and return the exit code."""
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
