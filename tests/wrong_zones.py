"""A real router with one deliberate fault in leaving zones: `python -m tests.wrong_zones FAULT`."""

from __future__ import annotations

import math
import os
import sys
from pathlib import Path

from myrtlecourse import __main__
from myrtlecourse.peers import gossip
from myrtlecourse.policy.zone_exit import ZoneExitControl
from myrtlecourse.zones import exit_rule, pace
from myrtlecourse.zones.exit_rule import FULL_SHARE, Evidence
from myrtlecourse.zones.tallies import Tally


def counts_twice() -> None:
    """Counts failures again with each record that repeats them, as if more routers had seen them."""
    plain_sum = exit_rule.sum_tallies

    def sum_with_repeats(tallies: object) -> Evidence:
        each: list[Tally] = list(tallies)  # type: ignore[call-overload]
        return plain_sum([*each, *(t for t in each if t.failed_long and not t.answered for _ in range(49))])

    exit_rule.sum_tallies = sum_with_repeats


def believes_one() -> None:
    """Leaves a zone on the evidence of one router, whatever the others reach."""
    exit_rule.is_unreachable = lambda evidence, members, min_attempts=1: (
        evidence.silent + evidence.refused >= exit_rule.MIN_ATTEMPTS
    )
    exit_rule.CONTRADICTING_SHARE, exit_rule.MIN_ATTEMPTS = math.inf, 1


def has_no_hysteresis() -> None:
    """Returns with the first answer, and leaves after few failures."""
    exit_rule.MIN_OUT, exit_rule.UNREACHABLE_SHARE, exit_rule.MIN_ATTEMPTS = 0.0, 0.3, 2
    exit_rule.is_back = lambda tallies: any(t.answered_long for t in tallies)


def moves_all() -> None:
    """Moves all requests that lost their server to the survivors."""
    ZoneExitControl.allow_move = lambda self, value, highest_value: True  # type: ignore[method-assign]


def returns_at_once() -> None:
    """Returns to all of a zone after the first answered trials."""
    pace.FIRST_SHARE = FULL_SHARE
    pace.next_share = lambda share, age, view, origin_rate: FULL_SHARE


def needs_no_proof() -> None:
    """Takes the next step of a return after a fixed time, however overloaded the zone is."""
    usual = pace.next_share
    pace.next_share = lambda share, age, view, origin_rate: usual(
        share, age, pace.ReturnView(20, routers_share=1.0), 0.0
    )


def one_of_another_version() -> None:
    """Gives one router of the fleet another protocol version, as an older or newer release has."""
    if Path(os.environ["RELAY_CONFIG"]).stem == "router-1":
        gossip.VERSION += 1


EACH = (
    *(counts_twice, believes_one, has_no_hysteresis, moves_all),
    *(returns_at_once, needs_no_proof, one_of_another_version),
)
WAYS = {f.__name__: f for f in EACH}

if __name__ == "__main__":
    WAYS[sys.argv.pop()]()
    sys.exit(__main__.main())
