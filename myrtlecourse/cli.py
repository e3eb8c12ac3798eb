"""The command line: `myrtlecourse` alone is the router, with a command one of its tools.

A tool's module is imported when it is asked for. All together take most of a second of a core, which staff
would wait for who ask a router something on a busy machine.
"""

from __future__ import annotations

from importlib import import_module

MISSING = "myrtlecourse: the tools need {}, which is missing: install myrtlecourse[tools]"

try:
    import click
except ImportError as e:  # the plain router installs none of the tools' libraries
    raise SystemExit(MISSING.format(e.name)) from e

MODULES = {  # of each command, whose function has its name
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
    """The tools, each imported when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all."""
        return sorted(MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """One tool, or None. Raises SystemExit if it needs a library that isn't installed."""
        if cmd_name not in MODULES:
            return None
        try:
            module = import_module(MODULES[cmd_name])
        except ImportError as e:
            raise SystemExit(MISSING.format(e.name)) from e
        command = getattr(module, cmd_name.replace("-", "_"))
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Tools, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router for a fleet of cache servers, and its tools.

    Without a command it is the router, configured by the file that RELAY_CONFIG names.
    """
