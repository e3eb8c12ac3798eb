"""Plugin for `make test-compiled`, which plays the tests against the compiled package.

It plays all tests without child processes, and those with child processes of the files named here. A test
that replaces a method or a constant of a compiled module has the mark `needs_sources`.
"""

from __future__ import annotations

import pytest

from myrtlecourse import policy

# Files whose tests with child processes are played, so that routers run compiled in them. Those of the other
# files take minutes together, and play routers from their sources.
PROCESS_TESTS = {
    "test_address.py",
    "test_address_handover.py",
    "test_executed_ids.py",
    "test_server_list_file.py",
    "test_service.py",
    "test_shutdown_deadlines.py",
}


def is_compiled() -> bool:
    """Return whether the package that the tests import is the compiled one."""
    return not str(policy.__file__).endswith(".py")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the tests with child processes that are not played against the compiled package."""
    if not is_compiled():
        return
    left_out = [
        item
        for item in items
        if item.get_closest_marker("processes") is not None and item.path.name not in PROCESS_TESTS
    ]
    config.hook.pytest_deselected(items=left_out)
    items[:] = [item for item in items if item not in left_out]
