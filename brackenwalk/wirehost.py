"""Hosts routers on the JSON wire: translates both ways and decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from brackenwalk import interface as api
from brackenwalk.policy import Router

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
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
    "unused": api.Status.MOOT,
    "empty": api.Status.MISS,
}


class WireError(ValueError):
    """A line that breaks the wire's promises."""


def number(table: dict[str, Any], field: str, default: float, where: str, least: float = 0.0) -> float:
    """Read a number of the settings, or its default when absent; name the field when it can't be used."""
    value = table.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise api.SettingsError(
            f"settings: {where}{field} must be a number of at least {least:g}, not {value!r}"
        )
    return value


def choice(table: dict[str, Any], field: str, default: str, known: dict[str, Any], where: str) -> Any:
    """Read one of a few known words."""
    value = table.get(field)
    value = default if value is None else value
    if not isinstance(value, str) or value not in known:
        raise api.SettingsError(f"settings: {where}{field} must be one of {', '.join(known)}, not {value!r}")
    return known[value]


def section(conf: dict[str, Any], field: str) -> dict[str, Any]:
    """Read a nested object, empty when absent."""
    value = conf.get(field)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"settings: {field} must be an object, not {value!r}")
    return value


def rows(conf: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Read a list of named objects, empty when absent."""
    value = conf.get(field)
    value = [] if value is None else value
    if not isinstance(value, list) or not all(isinstance(r, dict) for r in value):
        raise api.SettingsError(f"settings: {field} must be a list of objects")
    for i, row in enumerate(value):
        if not isinstance(row.get("name"), str):
            raise api.SettingsError(f"settings: {field}[{i}].name is missing")
    return value


def read_class(row: dict[str, Any]) -> api.RequestClass:
    """One class of the settings."""
    where = f"classes[{row['name']}]."
    groups = {g.value: g for g in api.Group}
    return api.RequestClass(
        name=row["name"],
        aim=number(row, "aim", number(row, "giveUp", 1.0, where), where),
        effect=choice(row, "effect", "single_shot", EFFECTS, where),
        group=choice(row, "group", "cell", groups, where),
        window=number(row, "repeatWindow", 0.0, where),
        worth=number(row, "value", 1.0, where),
    )


def read_settings(conf: Any) -> api.Settings:
    """The wire's settings as the module's; unknown keys are ignored and absent ones take defaults."""
    if not isinstance(conf, dict):
        raise api.SettingsError("settings: conf must be an object")
    classes = {row["name"]: read_class(row) for row in rows(conf, "classes")}
    if not classes:
        raise api.SettingsError("settings: classes is empty")
    limits, rules, info = section(conf, "limits"), section(conf, "rules"), section(conf, "familyInfo")
    prices = section(conf, "penalties")
    kinds = conf.get("skus") or []
    origin = int(number(info, "originKind", -1, "familyInfo.", -1))
    return api.Settings(
        classes=classes,
        tick=number(conf, "resolution", 0.005, ""),
        aside=choice(info, "mode", "through", {"aside": True, "through": False}, "familyInfo."),
        origin_kind=str(kinds[origin]) if 0 <= origin < len(kinds) else None,
        subscribe=choice(conf, "membershipMode", "automatic", {"subscribe": True, "automatic": False}, ""),
        live_weights=conf.get("weights") == "live",
        second_copies=bool(limits.get("secondCopies", False)),
        may_cancel=bool(limits.get("mayCancel", False)),
        max_attempts=max(1, int(number(limits, "mostTries", 1, "limits."))),
        siblings=max(1, int(number(conf, "siblings", 1, ""))),
        connection_idle=number(limits, "connIdle", 60.0, "limits."),
        connection_price=number(prices, "connection", 0.0, "penalties."),
        handshake_price=number(prices, "handshake", 0.0, "penalties."),
        cold_share=number(rules, "coldFrom", 0.3, "rules."),
        ramp=number(rules, "rampTime", 10.0, "rules."),
        fall_multiple=number(rules, "fallMultiple", 2.0, "rules."),
        fall_window=number(rules, "overloadFor", 1.0, "rules."),
    )


def read_entry(e: dict[str, Any]) -> api.ServerEntry:
    """One line of a list."""
    return api.ServerEntry(
        server=e["server"],
        state=STATES[e["readiness"]],
        kind=e.get("generationHw") or "",
        zone=e.get("site") or "",
        cell=e.get("stripe") or 0,
        weight=max(0.0, e.get("weight") or 0.0),
        since=e.get("since") or 0.0,
    )


def read_list(e: dict[str, Any]) -> api.Event:
    """News of the list."""
    return api.ServerList(KINDS[e["scope"]], tuple(map(read_entry, e.get("lines") or ())))


def read_request(e: dict[str, Any]) -> api.Event:
    """A client's request; a budget of nothing is kept as 0."""
    return api.Request(
        e["ticket"],
        e["priority"],
        max(0.0, float(e.get("timeBudget") or 0.0)),
        e.get("partitionKey"),
        e.get("effort"),
        bool(e.get("update")),
    )


def read_outcome(e: dict[str, Any]) -> api.Event:
    """The end of an attempt."""
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
UNUSED = {"Pong", "Heard"}  # answers to things no router here asks for


def write_send(a: api.Send) -> dict[str, Any]:
    """A new attempt."""
    if a.timeout is None:
        return {"op": "Send", "ticket": a.request, "server": a.server}
    return {"op": "Send", "ticket": a.request, "server": a.server, "timeout": a.timeout}


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: write_send,
    api.Refuse: lambda a: {"op": "Reject", "ticket": a.request},
    api.Fail: lambda a: {"op": "GiveUp", "ticket": a.request},
    api.Cancel: lambda a: {"op": "Cancel", "ticket": a.request, "sendNo": a.attempt},
    api.Close: lambda a: {"op": "LetGo", "server": a.server},
    api.SetTimer: lambda a: {"op": "Timer", "fromNow": a.delay, "ctx": a.token},
    api.Subscribe: lambda a: {"op": "Listen", "enable": True},
    api.Log: lambda a: {"op": "Record", "line": a.text},
}


class Host:
    """One router for each instance number; nothing is shared between them."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def batch(self, line: bytes) -> bytes:
        """Answer one line of the wire."""
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
        """Hand one event to its router and append the actions in wire form."""
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
            print(f"brackenwalk: {e}", file=sys.stderr)
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
    """Answer line by line until the end of input."""
    host = Host()
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(line)
        except WireError as e:
            print(f"brackenwalk: {e}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
