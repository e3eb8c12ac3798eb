"""The command line: `myrtlecourse` without a command runs the router, with one it runs a tool.

A tool's module is imported only when the tool is run. To import all of them takes most of a second of a core,
for which an operator who queries a router on a busy machine would have to wait.
"""

from __future__ import annotations

from importlib import import_module

MISSING_LIBRARY = "myrtlecourse: the tools need {}, which is missing: install myrtlecourse[tools]"

try:
    import click
except ImportError as e:  # the tools' libraries are not installed with a router
    raise SystemExit(MISSING_LIBRARY.format(e.name)) from e

# the module of each command; its function is named like the command
MODULES = {
    "address": "myrtlecourse.address.commands",
    "audit": "myrtlecourse.fleet.commands",
    "duty": "myrtlecourse.duties.commands",
    "expect": "myrtlecourse.expect.commands",
    "experiment": "myrtlecourse.experiment.commands",
    "fleet": "myrtlecourse.fleet.commands",
    "fleet-status": "myrtlecourse.zones.commands",
    "load": "myrtlecourse.load.commands",
    "scale": "myrtlecourse.scale.commands",
    "search": "myrtlecourse.sim.commands",
    "search-duties": "myrtlecourse.sim.duty_commands",
    "sim": "myrtlecourse.sim.commands",
    "soak": "myrtlecourse.soak.commands",
    "spread": "myrtlecourse.spread.commands",
}


class Tools(click.Group):
    """The group of all tools, each imported when it is run."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all tools."""
        return sorted(MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a tool, or None if it is unknown. Raises SystemExit if a library is missing."""
        if cmd_name not in MODULES:
            return None
        try:
            module = import_module(MODULES[cmd_name])
        except ImportError as e:
            raise SystemExit(MISSING_LIBRARY.format(e.name)) from e
        command = getattr(module, cmd_name.replace("-", "_"))
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Tools, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router for a fleet of cache servers, and its tools.

    Without a command it runs the router, configured by the file that RELAY_CONFIG names.
    """
