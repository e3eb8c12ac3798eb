"""What one router's attempts say of each zone, as sums over the latest seconds; no I/O, no clock.

Counts go by periods of the router's own clock and are sums that are dropped whole, so that nothing is counted
twice. They are told as small numbers in the router's record: the latest one replaces the one before.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields, replace

from myrtlecourse.interface import Reach

PERIOD = 0.25  # seconds
SHORT_PERIODS = 2  # periods: enough where a fleet sends much
LONG_PERIODS = 8  # periods: where it sends little
MAX_COUNT = 127  # of each count told: one byte
RUN_UNKNOWN = -1  # run, of a record that is no news any more
RUN_TTL = (
    4.0  # seconds after the last attempt that did not come through, in which a run of them says something
)
MAX_ZONES = 16  # told in a record


@dataclass(slots=True, frozen=True)
class Tally:
    """How attempts at one zone ended, of one router: lately, and over a longer time."""

    answered: int = 0
    refused: int = 0
    silent: int = 0
    answered_long: int = 0
    refused_long: int = 0
    silent_long: int = 0
    failures_in_row: int = 0  # that did not come through since the last one that did
    overloaded: int = 0  # lately, of those that did: turned away as crowded, or slower than wanted
    misses: int = 0  # and answered that the key is not there
    overloaded_long: int = 0
    misses_long: int = 0

    @property
    def failed(self) -> int:
        return self.refused + self.silent

    @property
    def failed_long(self) -> int:
        return self.refused_long + self.silent_long

    def long_only(self) -> Tally:
        """Without what it says of the latest time, which is over."""
        return replace(
            self, answered=0, refused=0, silent=0, failures_in_row=RUN_UNKNOWN, overloaded=0, misses=0
        )

    def encode(self) -> tuple[int, ...]:
        """As they are told."""
        return tuple(min(MAX_COUNT, n) for n in astuple(self))


NUMBERS_PER_TALLY = 1 + len(fields(Tally))  # numbers of a tally that is told: its zone's, and its own
BYTES_PER_TALLY = 2 + NUMBERS_PER_TALLY  # bytes that they take


class AttemptCounts:
    """A router's own."""

    def __init__(self, now: float) -> None:
        self.current_period = int(now / PERIOD)
        # by zone: LONG periods of heard, refused, silent, pressed, missed
        self.periods_by_zone: dict[int, list[list[int]]] = {}
        self.runs: dict[int, tuple[int, float]] = {}  # by zone: how long, and when the last one was

    def _advance(self, now: float) -> None:
        """Begin a new period for each that is over."""
        passed = min(LONG_PERIODS, max(0, int(now / PERIOD) - self.current_period))
        self.current_period += max(0, int(now / PERIOD) - self.current_period)
        if passed:
            for zone, periods in list(self.periods_by_zone.items()):
                periods[:] = [[0] * 5 for _ in range(passed)] + periods[: LONG_PERIODS - passed]
                if not any(any(p) for p in periods):
                    del self.periods_by_zone[zone]

    def add(self, now: float, zone: int, reach: Reach, pressed: bool = False, missed: bool = False) -> None:
        """An attempt at a zone has ended, or is taken for lost."""
        self._advance(now)
        periods = self.periods_by_zone.setdefault(zone, [[0] * 5 for _ in range(LONG_PERIODS)])
        periods[0][(Reach.HEARD, Reach.REFUSED, Reach.SILENT).index(reach)] += 1
        periods[0][3] += pressed
        periods[0][4] += missed
        if reach is Reach.HEARD:
            self.runs.pop(zone, None)
        else:
            # guards against what each router does by itself: it leaves servers out before it has tried enough
            self.runs[zone] = self.runs.get(zone, (0, now))[0] + 1, now

    def tallies(self, now: float) -> dict[int, Tally]:
        """The sums of each zone of which anything is known."""
        self._advance(now)
        found = {}
        self.runs = {zone: run for zone, run in self.runs.items() if now - run[1] <= RUN_TTL}
        for zone in self.periods_by_zone.keys() | self.runs.keys():
            periods = self.periods_by_zone.get(zone, [])
            short = [sum(p[i] for p in periods[:SHORT_PERIODS]) for i in range(5)]
            long = [sum(p[i] for p in periods) for i in range(5)]
            run = self.runs.get(zone, (0, now))[0]
            answered = short[0], short[1], short[2], long[0], long[1], long[2]
            found[zone] = Tally(*answered, run, short[3], short[4], long[3], long[4])
        return found

    def clear(self) -> None:
        """What was counted is not to be believed."""
        self.periods_by_zone.clear()
        self.runs.clear()


def encode_tallies(tallies: dict[int, Tally], room: int) -> tuple[int, ...]:
    """Tallies as the numbers of a record: how many zones, then each with its sums.

    The worst come first, as many as fit into so many bytes.
    """
    most = min(MAX_ZONES, max(0, room - 1) // BYTES_PER_TALLY)
    worst = sorted(tallies.items(), key=lambda item: (-item[1].failed_long, item[0]))[:most]
    return (len(worst), *(n for zone, tally in worst for n in (zone, *tally.encode())))


def decode_tallies(numbers: tuple[int, ...]) -> tuple[dict[int, Tally], tuple[int, ...]]:
    """The tallies of a record, and the numbers after them; none of one that can't be read."""
    end = 1 + NUMBERS_PER_TALLY * numbers[0] if numbers else 0
    if not numbers or numbers[0] > MAX_ZONES or len(numbers) < end:
        return {}, ()
    rows = [numbers[i : i + NUMBERS_PER_TALLY] for i in range(1, end, NUMBERS_PER_TALLY)]
    return {row[0]: Tally(*(min(MAX_COUNT, n) for n in row[1:])) for row in rows}, numbers[end:]
