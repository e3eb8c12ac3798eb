"""Reads settings from JSON, as the simulator and the configuration of a deployment have them."""

from __future__ import annotations

from typing import Any

from myrtlecourse import interface as api

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}


def number(table: dict[str, Any], field: str, default: float, where: str, least: float = 0.0) -> float:
    """Return a number of at least `least`, or the default if the field is absent. Raises SettingsError."""
    value = table.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise api.SettingsError(
            f"settings: {where}{field} must be a number of at least {least:g}, not {value!r}"
        )
    return value


def choice(table: dict[str, Any], field: str, default: str, known: dict[str, Any], where: str) -> Any:
    """Return the value that `known` has for the field's word. Raises SettingsError for unknown words."""
    value = table.get(field)
    value = default if value is None else value
    if not isinstance(value, str) or value not in known:
        raise api.SettingsError(f"settings: {where}{field} must be one of {', '.join(known)}, not {value!r}")
    return known[value]


def section(conf: dict[str, Any], field: str) -> dict[str, Any]:
    """Return a nested object, empty if absent. Raises SettingsError."""
    value = conf.get(field)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"settings: {field} must be an object, not {value!r}")
    return value


def rows(conf: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of objects that have names, empty if absent. Raises SettingsError."""
    value = conf.get(field)
    value = [] if value is None else value
    if not isinstance(value, list) or not all(isinstance(r, dict) for r in value):
        raise api.SettingsError(f"settings: {field} must be a list of objects")
    for i, row in enumerate(value):
        if not isinstance(row.get("name"), str):
            raise api.SettingsError(f"settings: {field}[{i}].name is missing")
    return value


def read_class(row: dict[str, Any]) -> api.RequestClass:
    """Return a request class from its settings. Raises SettingsError."""
    where = f"classes[{row['name']}]."
    groups = {g.value: g for g in api.DedupGroup}
    return api.RequestClass(
        name=row["name"],
        aim=number(row, "aim", number(row, "giveUp", 1.0, where), where),
        effect=choice(row, "effect", "single_shot", EFFECTS, where),
        group=choice(row, "group", "cell", groups, where),
        repeat_window=number(row, "repeatWindow", 0.0, where),
        value=number(row, "value", 1.0, where),
    )


def read_settings(conf: Any) -> api.Settings:
    """Return the settings of a router. Unknown keys are ignored. Raises SettingsError."""
    if not isinstance(conf, dict):
        raise api.SettingsError("settings: conf must be an object")
    classes = {row["name"]: read_class(row) for row in rows(conf, "classes")}
    if not classes:
        raise api.SettingsError("settings: classes is empty")
    limits, rules, info = section(conf, "limits"), section(conf, "rules"), section(conf, "familyInfo")
    costs = section(conf, "penalties")
    kinds = conf.get("skus") or []
    origin = int(number(info, "originKind", -1, "familyInfo.", -1))
    return api.Settings(
        classes=classes,
        tick=number(conf, "resolution", 0.005, ""),
        cache_aside=choice(info, "mode", "through", {"aside": True, "through": False}, "familyInfo."),
        origin_kind=str(kinds[origin]) if 0 <= origin < len(kinds) else None,
        subscribe=choice(conf, "membershipMode", "automatic", {"subscribe": True, "automatic": False}, ""),
        live_weights=conf.get("weights") == "live",
        hedging=bool(limits.get("secondCopies", False)),
        may_cancel=bool(limits.get("mayCancel", False)),
        max_attempts=max(1, int(number(limits, "mostTries", 1, "limits."))),
        zone=conf["zone"] if isinstance(conf.get("zone"), str) else "",
        peers=bool(limits.get("peers", False)),
        router_count=max(1, int(number(conf, "siblings", 1, ""))),
        connection_idle=number(limits, "connIdle", 60.0, "limits."),
        dial_timeout=number(limits, "dialTimeout", 0.25, "limits."),
        max_retry_after=number(limits, "maxRetryAfter", 0.0, "limits."),
        connection_cost=number(costs, "connection", 0.0, "penalties."),
        handshake_cost=number(costs, "handshake", 0.0, "penalties."),
        longest_deadline=max(number(row, "giveUp", 1.0, "classes.") for row in rows(conf, "classes")),
        drain_grace=number(rules, "stopSendingWithin", 2.0, "rules."),
        cold_share=number(rules, "coldFrom", 0.3, "rules."),
        ramp_time=number(rules, "rampTime", 10.0, "rules."),
        fall_multiple=number(rules, "fallMultiple", 2.0, "rules."),
        fall_window=number(rules, "overloadFor", 1.0, "rules."),
    )
