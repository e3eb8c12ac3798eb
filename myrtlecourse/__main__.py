"""The program: handles signals from its first line on, and then imports and runs the rest."""

from __future__ import annotations

import sys

from myrtlecourse.early_signals import early_signals


def main() -> int:
    """Run one router and return its exit code."""
    early_signals.listen()
    from myrtlecourse import program  # noqa: PLC0415  (a signal may come while this is imported)

    return program.main()


def command() -> int:
    """Run the router or, with arguments, one of the tools."""
    if len(sys.argv) > 1:
        from myrtlecourse import cli  # noqa: PLC0415  (the tools' libraries are not installed with a router)

        cli.main(prog_name="myrtlecourse")
    return main()


if __name__ == "__main__":
    sys.exit(command())
