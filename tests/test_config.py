"""Tests of configurations at a reload, which are applied completely or not at all."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import config as config_module
from myrtlecourse.config import Config, ConfigError, read_config
from tests.test_main import GOOD

TEXT = orjson.dumps(GOOD)


def read_reload(text: bytes, before: Config) -> Config:
    return asyncio.run(config_module.read_reload(text, before))


def running() -> Config:
    return read_config(TEXT)


def changed(path: list[Any], value: Any) -> bytes:
    """Returns the configuration with one value replaced, or removed if `value` is `...`."""
    table = copy.deepcopy(GOOD)
    at: Any = table
    for step in path[:-1]:
        at = at[step]
    if value is ...:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return orjson.dumps(table)


def test_classes_come_and_go_and_attempts_get_fewer() -> None:
    table = copy.deepcopy(GOOD)
    first = table["settings"]["classes"][0]
    table["settings"]["classes"] = [first, {**first, "name": "new", "effect": "single_shot"}]
    table["settings"]["limits"]["mostTries"] = 1
    config = read_reload(orjson.dumps(table), running())
    assert set(config.settings.classes) == {first["name"], "new"}
    assert config.settings.max_attempts == 1


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (b"", "not JSON"),
        (TEXT[:-1], "not JSON"),
        (TEXT[: len(TEXT) // 2], "not JSON"),
        (changed(["settings"], ...), "settings"),
        (changed(["settings", "limits", "mostTries"], ...), "settings.limits.mostTries"),
        (changed(["settings", "limits", "mostTries"], 0), "mostTries"),
        (changed(["settings", "limits", "mostTries"], -1), "mostTries"),
        (changed(["settings", "limits", "mostTries"], "3"), "mostTries"),
        (changed(["settings", "classes"], []), "classes"),
        (changed(["settings", "classes", 0, "giveUp"], 0), "giveUp"),
        (changed(["settings", "classes", 0, "giveUp"], -0.1), "giveUp"),
        (changed(["settings", "classes", 0, "giveUp"], ...), "giveUp"),
        (changed(["settings", "classes", 0, "effect"], ...), "effect"),
        (changed(["settings", "classes", 0, "effect"], "other"), "effect"),
        (changed(["settings", "rules"], {}), "settings.rules"),
        (changed(["settings", "rules"], []), "rules"),
        (changed(["limits"], None), "limits"),
        (changed(["discovery"], ...), "discovery"),
    ],
)
def test_a_broken_file_is_refused_with_the_field_named(text: bytes, field: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_reload(text, running())
    assert field in str(caught.value)


@given(st.integers(0, len(TEXT) - 1))
def test_a_file_cut_off_anywhere_is_refused(cut: int) -> None:
    with pytest.raises(ConfigError):
        read_reload(TEXT[:cut], running())


def leaves(table: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all keys."""
    paths = []
    items = table.items() if isinstance(table, dict) else enumerate(table) if isinstance(table, list) else ()
    for name, value in items:
        if isinstance(table, dict):
            paths.append((*path, name))
        paths += leaves(value, (*path, name))
    return paths


# keys outside rows, as a row may lack keys that not all rows of its list have
KEYS = [p for p in leaves(GOOD) if "endpoints" not in p and not any(isinstance(step, int) for step in p)]


@pytest.mark.parametrize("path", KEYS, ids=lambda p: ".".join(map(str, p)))
def test_a_key_that_the_start_had_may_not_go(path: tuple[Any, ...]) -> None:
    at: Any = GOOD
    for step in path:
        at = at[step]
    if at is None:
        pytest.skip("the key is null")
    with pytest.raises(ConfigError):
        read_reload(changed(list(path), ...), running())
