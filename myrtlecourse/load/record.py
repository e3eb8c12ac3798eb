"""What became of the requests: counts and histograms that merge, and the report's figures; no I/O.

Latencies are kept in HDR histograms (Gil Tene's; three significant digits) in microseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3  # microseconds
OUTCOMES = ("served", "refused", "failed", "left")
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "max": 100.0}
LATE_START = 0.002  # seconds behind its time at which a start counts as late
MAX_LATE_SHARE = 0.05  # of starts that are late: the generator was the limit


def new_histogram() -> HdrHistogram:
    """An empty one."""
    return HdrHistogram(MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS)


class OutcomeStats:
    """The counts of one class, tenant or second, and how long what is counted took."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.values = new_histogram()
        self.sum = 0  # of all values, microseconds: the histogram would walk all its buckets for a mean

    def __getstate__(self) -> tuple[dict[str, int], int, bytes]:
        """From one process to another in HDR's own form: the histogram's memory can't be pickled."""
        return dict(self.counts), self.sum, self.values.encode()

    def __setstate__(self, state: tuple[dict[str, int], int, bytes]) -> None:
        self.counts = Counter(state[0])
        self.sum = state[1]
        self.values = HdrHistogram.decode(state[2])

    def merge(self, other: OutcomeStats) -> None:
        self.counts.update(other.counts)
        self.sum += other.sum
        self.values.add(other.values)

    def add(self, microseconds: int) -> None:
        """Count a value."""
        self.sum += microseconds
        self.values.record_value(microseconds)

    def quantiles(self) -> dict[str, float]:
        """The mean and the quantiles by name, in milliseconds; all 0 while nothing is counted."""
        count = self.values.get_total_count()
        if not count:
            return dict.fromkeys(("mean", *QUANTILES), 0.0)
        found = self.values.get_percentile_to_value_dict(list(QUANTILES.values()))
        return {"mean": self.sum / count / 1000} | {n: found[q] / 1000 for n, q in QUANTILES.items()}

    def figures(self) -> dict[str, Any]:
        told = {name: self.counts[name] for name in ("scheduled", *OUTCOMES, "in_time")}
        return told | {"latency_ms": self.quantiles()}


class Record:
    """The record of one worker, or of several merged."""

    def __init__(self) -> None:
        self.all = OutcomeStats()
        self.classes: defaultdict[str, OutcomeStats] = defaultdict(OutcomeStats)
        self.tenants: defaultdict[str, OutcomeStats] = defaultdict(OutcomeStats)
        self.seconds: defaultdict[int, OutcomeStats] = defaultdict(OutcomeStats)
        self.starts = OutcomeStats()  # and how late they were
        self.exhausted = False  # a worker ran out of descriptors: requests waited for connections

    def count_start(self, late: float) -> None:
        """A request's first try was sent so many seconds after its time."""
        self.starts.counts["sent"] += 1
        self.starts.counts["late"] += late > LATE_START
        self.starts.add(min(MAX_VALUE, max(MIN_VALUE, round(late * 1e6))))

    def count_end(
        self, at: float, request_class: str, tenant: str, outcome: str, latency: float, aim: float
    ) -> None:
        """The end of a request that should have been sent at `at`, `latency` seconds after that time."""
        parts = (self.all, self.classes[request_class], self.tenants[tenant], self.seconds[int(at)])
        value = min(MAX_VALUE, max(MIN_VALUE, round(latency * 1e6)))
        for part in parts:
            part.counts["scheduled"] += 1
            part.counts[outcome] += 1
            if outcome == "served":
                part.counts["in_time"] += latency <= aim
                part.add(value)

    def merge(self, other: Record) -> None:
        """Take in what another worker saw."""
        self.all.merge(other.all)
        for mine, theirs in ((self.classes, other.classes), (self.tenants, other.tenants)):
            for name, part in theirs.items():
                mine[name].merge(part)
        for second, part in other.seconds.items():
            self.seconds[second].merge(part)
        self.starts.merge(other.starts)
        self.exhausted |= other.exhausted

    def generator_limited(self) -> bool:
        """Whether the generator, and not its target, was the limit."""
        return self.exhausted or self.starts.counts["late"] > MAX_LATE_SHARE * self.starts.counts["sent"]

    def figures(self, seconds: float) -> dict[str, Any]:
        """What `--json` holds; `seconds` is how long it ran."""
        return self.all.figures() | {
            "sent": self.starts.counts["sent"],
            "seconds": seconds,
            "goodput": self.all.counts["in_time"] / seconds if seconds else 0.0,
            "start_lateness_ms": self.starts.quantiles(),
            "generator_was_the_limit": self.generator_limited(),
            "descriptors_exhausted": self.exhausted,
            "classes": {name: part.figures() for name, part in sorted(self.classes.items())},
            "tenants": {name: part.figures() for name, part in sorted(self.tenants.items())},
            "by_second": {str(s): part.figures() for s, part in sorted(self.seconds.items())},
        }
