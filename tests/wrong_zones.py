"""A real router that leaves zones wrongly in one way, on purpose: `python -m tests.wrong_zones WAY`."""

from __future__ import annotations

import math
import os
import sys
from pathlib import Path

from myrtlecourse import __main__
from myrtlecourse.peers import gossip
from myrtlecourse.policy.leaving import Leaving
from myrtlecourse.zones import exit_rule, pace
from myrtlecourse.zones.exit_rule import FULL_SHARE, Evidence
from myrtlecourse.zones.tallies import Tally


def counts_twice() -> None:
    """What does not come through counts again with each record that repeats it, as if others had seen it."""
    added = exit_rule.sum_tallies

    def again(tallies: object) -> Evidence:
        each: list[Tally] = list(tallies)  # type: ignore[call-overload]
        return added([*each, *(t for t in each if t.failed_long and not t.answered for _ in range(49))])

    exit_rule.sum_tallies = again


def believes_one() -> None:
    """One router's word is enough, whatever the others reach."""
    exit_rule.is_unreachable = lambda evidence, members, min_attempts=1: (
        evidence.silent + evidence.refused >= exit_rule.MIN_ATTEMPTS
    )
    exit_rule.CONTRADICTING_SHARE, exit_rule.MIN_ATTEMPTS = math.inf, 1


def has_no_hysteresis() -> None:
    """Comes back with the first answer, and leaves at the first doubt."""
    exit_rule.MIN_OUT, exit_rule.UNREACHABLE_SHARE, exit_rule.MIN_ATTEMPTS = 0.0, 0.3, 2
    exit_rule.is_back = lambda tallies: any(t.answered_long for t in tallies)


def moves_all() -> None:
    """Sends survivors whatever has lost its server."""
    Leaving.moves = lambda self, worth, most: True  # type: ignore[method-assign]


def returns_at_once() -> None:
    """Returns to all of a zone with the first trials that come through."""
    pace.FIRST_SHARE = FULL_SHARE
    pace.next_share = lambda share, age, view, origin_rate: FULL_SHARE


def needs_no_proof() -> None:
    """Goes on by the clock, whatever the zone that comes back bears."""
    usual = pace.next_share
    pace.next_share = lambda share, age, view, origin_rate: usual(
        share, age, pace.ReturnView(20, routers_share=1.0), 0.0
    )


def one_of_another_version() -> None:
    """One router of the fleet, by its configuration's name: not wrong, but older or newer than the others."""
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
