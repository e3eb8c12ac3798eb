"""What one router's attempts say of each zone, as sums over the latest seconds; no I/O, no clock.

Counts go by periods of the router's own clock and are sums that are dropped whole, so that nothing is counted
twice. They are told as small numbers in the router's record: the latest one replaces the one before.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields, replace

from myrtlecourse.interface import Reachability

PERIOD = 0.25  # seconds
SHORT = 2  # periods: enough where a fleet sends much
LONG = 8  # periods: where it sends little
MOST = 127  # of each count told: one byte
UNKNOWN = -1  # run, of a record that is no news any more
RUN = 4.0  # seconds after the last attempt that did not come through, in which a run of them says something
MOST_ZONES = 16  # told in a record


@dataclass(slots=True, frozen=True)
class Tally:
    """How attempts at one zone ended, of one router: lately, and over a longer time."""

    heard: int = 0
    refused: int = 0
    silent: int = 0
    heard_long: int = 0
    refused_long: int = 0
    silent_long: int = 0
    run: int = 0  # that did not come through since the last one that did
    pressed: int = 0  # lately, of those that did: turned away as crowded, or slower than wanted
    missed: int = 0  # and answered that the key is not there
    pressed_long: int = 0
    missed_long: int = 0

    @property
    def bad(self) -> int:
        return self.refused + self.silent

    @property
    def bad_long(self) -> int:
        return self.refused_long + self.silent_long

    def longer(self) -> Tally:
        """Without what it says of the latest time, which is over."""
        return replace(self, heard=0, refused=0, silent=0, run=UNKNOWN, pressed=0, missed=0)

    def numbers(self) -> tuple[int, ...]:
        """As they are told."""
        return tuple(min(MOST, n) for n in astuple(self))


COUNTS = 1 + len(fields(Tally))  # numbers of a tally that is told: its zone's, and its own
TOLD = 2 + COUNTS  # bytes that they take


class Counts:
    """A router's own."""

    def __init__(self, now: float) -> None:
        self.period = int(now / PERIOD)
        # by zone: LONG periods of heard, refused, silent, pressed, missed
        self.zones: dict[int, list[list[int]]] = {}
        self.runs: dict[int, tuple[int, float]] = {}  # by zone: how long, and when the last one was

    def _advance(self, now: float) -> None:
        """Begin a new period for each that is over."""
        passed = min(LONG, max(0, int(now / PERIOD) - self.period))
        self.period += max(0, int(now / PERIOD) - self.period)
        if passed:
            for zone, periods in list(self.zones.items()):
                periods[:] = [[0] * 5 for _ in range(passed)] + periods[: LONG - passed]
                if not any(any(p) for p in periods):
                    del self.zones[zone]

    def add(
        self, now: float, zone: int, reach: Reachability, pressed: bool = False, missed: bool = False
    ) -> None:
        """An attempt at a zone has ended, or is taken for lost."""
        self._advance(now)
        periods = self.zones.setdefault(zone, [[0] * 5 for _ in range(LONG)])
        periods[0][(Reachability.ANSWERED, Reachability.REFUSED, Reachability.SILENT).index(reach)] += 1
        periods[0][3] += pressed
        periods[0][4] += missed
        if reach is Reachability.ANSWERED:
            self.runs.pop(zone, None)
        else:
            # guards against what each router does by itself: it leaves servers out before it has tried enough
            self.runs[zone] = self.runs.get(zone, (0, now))[0] + 1, now

    def tallies(self, now: float) -> dict[int, Tally]:
        """The sums of each zone of which anything is known."""
        self._advance(now)
        found = {}
        self.runs = {zone: run for zone, run in self.runs.items() if now - run[1] <= RUN}
        for zone in self.zones.keys() | self.runs.keys():
            periods = self.zones.get(zone, [])
            short = [sum(p[i] for p in periods[:SHORT]) for i in range(5)]
            long = [sum(p[i] for p in periods) for i in range(5)]
            run = self.runs.get(zone, (0, now))[0]
            answered = short[0], short[1], short[2], long[0], long[1], long[2]
            found[zone] = Tally(*answered, run, short[3], short[4], long[3], long[4])
        return found

    def clear(self) -> None:
        """What was counted is not to be believed."""
        self.zones.clear()
        self.runs.clear()


def told(tallies: dict[int, Tally], room: int) -> tuple[int, ...]:
    """Tallies as the numbers of a record: how many zones, then each with its sums.

    The worst come first, as many as fit into so many bytes.
    """
    most = min(MOST_ZONES, max(0, room - 1) // TOLD)
    worst = sorted(tallies.items(), key=lambda item: (-item[1].bad_long, item[0]))[:most]
    return (len(worst), *(n for zone, tally in worst for n in (zone, *tally.numbers())))


def heard(numbers: tuple[int, ...]) -> tuple[dict[int, Tally], tuple[int, ...]]:
    """The tallies of a record, and the numbers after them; none of one that can't be read."""
    end = 1 + COUNTS * numbers[0] if numbers else 0
    if not numbers or numbers[0] > MOST_ZONES or len(numbers) < end:
        return {}, ()
    rows = [numbers[i : i + COUNTS] for i in range(1, end, COUNTS)]
    return {row[0]: Tally(*(min(MOST, n) for n in row[1:])) for row in rows}, numbers[end:]
