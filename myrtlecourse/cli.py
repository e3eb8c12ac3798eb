"""The command line: `myrtlecourse` alone is the router, with a command one of its tools."""

from __future__ import annotations

try:
    import click

    from myrtlecourse.address.commands import address
    from myrtlecourse.duties.commands import duty
    from myrtlecourse.expect.commands import expect
    from myrtlecourse.experiment.commands import experiment
    from myrtlecourse.fleet.commands import audit, fleet
    from myrtlecourse.load.commands import load
    from myrtlecourse.scale.commands import scale
    from myrtlecourse.sim.commands import search, sim
    from myrtlecourse.sim.duty_commands import search_duties
    from myrtlecourse.soak.commands import soak
    from myrtlecourse.spread.commands import spread
    from myrtlecourse.zones.commands import fleet_status
except ImportError as e:  # the plain router installs none of the tools' libraries
    raise SystemExit(
        f"myrtlecourse: the tools need {e.name}, which is missing: install myrtlecourse[tools]"
    ) from e


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router for a fleet of cache servers, and its tools.

    Without a command it is the router, configured by the file that RELAY_CONFIG names.
    """


main.add_command(address)
main.add_command(duty)
main.add_command(spread)
main.add_command(load)
main.add_command(fleet)
main.add_command(audit)
main.add_command(fleet_status)
main.add_command(sim)
main.add_command(search)
main.add_command(search_duties)
main.add_command(experiment)
main.add_command(expect)
main.add_command(scale)
main.add_command(soak)
