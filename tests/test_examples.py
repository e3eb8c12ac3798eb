"""Tests that a property test gets the same examples alone, with its file and in the whole suite."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st


def examples() -> list[str]:
    """Returns the examples that a property test gets."""
    drawn_examples: list[str] = []

    @settings(max_examples=200)
    @given(st.tuples(st.integers(), st.floats(), st.text(), st.binary()))
    def collect(drawn: object) -> None:
        drawn_examples.append(repr(drawn))

    collect()
    return drawn_examples


def test_no_module_that_others_load_changes_examples(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Hypothesis draws constants of loaded modules, so that results depended on the tests run before."""
    before = examples()
    source = tmp_path / "loaded_by_another.py"
    source.write_text("".join(f"A{n} = {n + 1000}, {n}.5, 'text {n}', b'bytes {n}'\n" for n in range(60)))
    spec = importlib.util.spec_from_file_location(source.stem, source)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    monkeypatch.setitem(sys.modules, source.stem, module)
    spec.loader.exec_module(module)
    assert len(before) == 200 and examples() == before
