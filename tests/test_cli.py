"""The command line's tools, each imported when it is asked for."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner

from myrtlecourse.cli import MISSING_LIBRARY, MODULES, main

# what staff ask of a router, and what tools import that need a second of a core
ASK = "import sys; sys.argv[1:] = ['address', 'status', '--at=127.0.0.1:1']; "
ASK += "from myrtlecourse.__main__ import command\ntry: command()\nexcept SystemExit as e: code = e.code\n"
ASK += "print(code, *sorted(sys.modules))"


@pytest.mark.parametrize("name", sorted(MODULES))
def test_each_tool_is_found_by_its_name(name: str) -> None:
    told = CliRunner().invoke(main, [name, "--help"])
    assert told.exit_code == 0 and f"{name} [OPTIONS]" in told.output


def test_help_names_all_tools_and_an_unknown_one_is_refused() -> None:
    told = CliRunner().invoke(main, ["--help"]).output
    assert all(f"  {name} " in told for name in MODULES)
    assert CliRunner().invoke(main, ["adress"]).exit_code == 2


@pytest.mark.processes
def test_staff_who_ask_a_router_wait_for_no_other_tool() -> None:
    """All tools were imported: on a crowded machine five questions took longer than a test of 10 s."""
    done = subprocess.run([sys.executable, "-c", ASK], capture_output=True, text=True, timeout=60, check=True)
    code, *modules = done.stdout.split()
    assert code == "2"  # nobody answers there
    assert not {"numpy", "myrtlecourse.sim", "myrtlecourse.scale", "myrtlecourse.experiment"} & set(modules)


def test_a_tool_whose_library_is_missing_says_which(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, "rich.console", None)
    monkeypatch.delitem(sys.modules, "myrtlecourse.address.commands", raising=False)
    told = CliRunner().invoke(main, ["address", "--help"])
    assert isinstance(told.exception, SystemExit)
    assert told.exception.code == MISSING_LIBRARY.format("rich.console")
