"""Counts of how one router's attempts at each zone ended, as sums over the last seconds; no I/O and no clock.

Attempts are counted in periods of the router's own clock, and whole periods are dropped as they age. The sums
travel as small numbers in the router's record, of which a later one replaces an earlier one, so that no
attempt is counted twice.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields, replace

from myrtlecourse.interface import Reachability

PERIOD = 0.25  # seconds
SHORT_PERIODS = 2  # periods in the short window, which suffices in a fleet with much traffic
LONG_PERIODS = 8  # periods in the long window, for little traffic
MAX_COUNT = 127  # largest count in a record: it takes one byte
RUN_UNKNOWN = -1  # value of failures_in_row where the record is out of date
RUN_TTL = 4.0  # seconds after its last failure for which a run of failures is remembered
MAX_ZONES = 16  # in one record


@dataclass(slots=True, frozen=True)
class Tally:
    """How one router's attempts at one zone ended, in the short and in the long window."""

    answered: int = 0
    refused: int = 0
    silent: int = 0
    answered_long: int = 0
    refused_long: int = 0
    silent_long: int = 0
    failures_in_row: int = 0  # since the last answer
    overloaded: int = 0  # answers that were a refusal for overload, or slower than the router wants
    misses: int = 0  # answers that the key is missing
    overloaded_long: int = 0
    misses_long: int = 0

    @property
    def failed(self) -> int:
        return self.refused + self.silent

    @property
    def failed_long(self) -> int:
        return self.refused_long + self.silent_long

    def long_only(self) -> Tally:
        """Return the tally without its short counts, which are out of date."""
        return replace(
            self, answered=0, refused=0, silent=0, failures_in_row=RUN_UNKNOWN, overloaded=0, misses=0
        )

    def encode(self) -> tuple[int, ...]:
        """Return the numbers that stand for the tally in a record."""
        return tuple(min(MAX_COUNT, n) for n in astuple(self))


NUMBERS_PER_TALLY = 1 + len(fields(Tally))  # in a record: the zone and the counts
BYTES_PER_TALLY = 2 + NUMBERS_PER_TALLY  # in a record


class AttemptCounts:
    """One router's own counts."""

    def __init__(self, now: float) -> None:
        self.current_period = int(now / PERIOD)
        # by zone: for each of LONG_PERIODS periods, the answered, refused, silent, overloaded and missed ones
        self.periods_by_zone: dict[int, list[list[int]]] = {}
        self.runs: dict[
            int, tuple[int, float]
        ] = {}  # by zone: length of the run, and time of its last failure

    def _advance(self, now: float) -> None:
        """Drop the periods that are out of the long window."""
        passed = min(LONG_PERIODS, max(0, int(now / PERIOD) - self.current_period))
        self.current_period += max(0, int(now / PERIOD) - self.current_period)
        if passed:
            for zone, periods in list(self.periods_by_zone.items()):
                periods[:] = [[0] * 5 for _ in range(passed)] + periods[: LONG_PERIODS - passed]
                if not any(any(p) for p in periods):
                    del self.periods_by_zone[zone]

    def add(
        self, now: float, zone: int, reach: Reachability, overloaded: bool = False, missed: bool = False
    ) -> None:
        """Count an attempt at a zone that has ended or is long overdue."""
        self._advance(now)
        periods = self.periods_by_zone.setdefault(zone, [[0] * 5 for _ in range(LONG_PERIODS)])
        periods[0][(Reachability.ANSWERED, Reachability.REFUSED, Reachability.SILENT).index(reach)] += 1
        periods[0][3] += overloaded
        periods[0][4] += missed
        if reach is Reachability.ANSWERED:
            self.runs.pop(zone, None)
        else:
            # Runs are kept beside the counts because each router bans failing servers by itself, before its
            # counts suffice for a decision.
            self.runs[zone] = self.runs.get(zone, (0, now))[0] + 1, now

    def tallies(self, now: float) -> dict[int, Tally]:
        """Return the sums of each zone that has any."""
        self._advance(now)
        found = {}
        self.runs = {zone: run for zone, run in self.runs.items() if now - run[1] <= RUN_TTL}
        for zone in self.periods_by_zone.keys() | self.runs.keys():
            periods = self.periods_by_zone.get(zone, [])
            short = [sum(p[i] for p in periods[:SHORT_PERIODS]) for i in range(5)]
            long = [sum(p[i] for p in periods) for i in range(5)]
            run = self.runs.get(zone, (0, now))[0]
            reached = short[0], short[1], short[2], long[0], long[1], long[2]
            found[zone] = Tally(*reached, run, short[3], short[4], long[3], long[4])
        return found

    def clear(self) -> None:
        """Forget everything, as it can't be trusted."""
        self.periods_by_zone.clear()
        self.runs.clear()


def encode_tallies(tallies: dict[int, Tally], room: int) -> tuple[int, ...]:
    """Return tallies as the numbers of a record: the number of zones, then each zone with its counts.

    The zones with most failures come first, as many as fit into `room` bytes.
    """
    most = min(MAX_ZONES, max(0, room - 1) // BYTES_PER_TALLY)
    worst = sorted(tallies.items(), key=lambda item: (-item[1].failed_long, item[0]))[:most]
    return (len(worst), *(n for zone, tally in worst for n in (zone, *tally.encode())))


def decode_tallies(numbers: tuple[int, ...]) -> tuple[dict[int, Tally], tuple[int, ...]]:
    """Return the tallies of a record and the numbers after them; both are empty for an unreadable record."""
    end = 1 + NUMBERS_PER_TALLY * numbers[0] if numbers else 0
    if not numbers or numbers[0] > MAX_ZONES or len(numbers) < end:
        return {}, ()
    rows = [numbers[i : i + NUMBERS_PER_TALLY] for i in range(1, end, NUMBERS_PER_TALLY)]
    return {row[0]: Tally(*(min(MAX_COUNT, n) for n in row[1:])) for row in rows}, numbers[end:]
