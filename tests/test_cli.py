"""Tests of the command line, which imports each tool only when it is run."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner

from myrtlecourse.cli import MISSING_LIBRARY, MODULES, main

# prints the exit code of a query to a router, and the modules that were imported for it
CODE = "import sys; sys.argv[1:] = ['address', 'status', '--at=127.0.0.1:1']; "
CODE += "from myrtlecourse.__main__ import command\ntry: command()\nexcept SystemExit as e: code = e.code\n"
CODE += "print(code, *sorted(sys.modules))"


@pytest.mark.parametrize("name", sorted(MODULES))
def test_each_tool_is_found_by_its_name(name: str) -> None:
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0 and f"{name} [OPTIONS]" in result.output


def test_help_names_all_tools_and_an_unknown_one_is_refused() -> None:
    output = CliRunner().invoke(main, ["--help"]).output
    assert all(f"  {name} " in output for name in MODULES)
    assert CliRunner().invoke(main, ["adress"]).exit_code == 2


@pytest.mark.processes
def test_staff_who_ask_a_router_wait_for_no_other_tool() -> None:
    """With all tools imported, five queries on a busy machine took longer than a test of 10 s."""
    done = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True, timeout=60, check=True
    )
    code, *modules = done.stdout.split()
    assert code == "2"  # no router listens there
    assert not {"numpy", "myrtlecourse.sim", "myrtlecourse.scale", "myrtlecourse.experiment"} & set(modules)


def test_a_tool_whose_library_is_missing_says_which(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, "rich.console", None)
    monkeypatch.delitem(sys.modules, "myrtlecourse.address.commands", raising=False)
    result = CliRunner().invoke(main, ["address", "--help"])
    assert isinstance(result.exception, SystemExit)
    assert result.exception.code == MISSING_LIBRARY.format("rich.console")
