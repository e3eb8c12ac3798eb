"""Counts of outcomes and histograms of latency, which can be merged, and the figures of the report; no I/O.

Latencies are kept in microseconds in Gil Tene's HDR histograms, with three significant digits.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3  # microseconds
OUTCOMES = ("served", "refused", "failed", "left")
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "max": 100.0}
LATE_START = 0.002  # seconds after a request was due from which its start counts as late
MAX_LATE_SHARE = 0.05  # share of late starts above which the generator counts as the limit


def new_histogram() -> HdrHistogram:
    """Return an empty histogram."""
    return HdrHistogram(MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS)


class OutcomeStats:
    """The outcomes of one class, tenant or second, and the latencies of its served requests."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.values = new_histogram()
        self.sum = 0  # microseconds; the histogram itself would walk all its buckets to compute a mean

    def __getstate__(self) -> tuple[dict[str, int], int, bytes]:
        """Pickle the histogram in HDR's own encoding, as its memory can't be pickled."""
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
        """Add a value to the histogram."""
        self.sum += microseconds
        self.values.record_value(microseconds)

    def quantiles(self) -> dict[str, float]:
        """Return the mean and the quantiles by name, in milliseconds; all are 0 without values."""
        count = self.values.get_total_count()
        if not count:
            return dict.fromkeys(("mean", *QUANTILES), 0.0)
        percentiles = self.values.get_percentile_to_value_dict(list(QUANTILES.values()))
        return {"mean": self.sum / count / 1000} | {n: percentiles[q] / 1000 for n, q in QUANTILES.items()}

    def figures(self) -> dict[str, Any]:
        result = {name: self.counts[name] for name in ("scheduled", *OUTCOMES, "in_time")}
        return result | {"latency_ms": self.quantiles()}


class Record:
    """The outcomes of one worker's requests, or of several workers' merged."""

    def __init__(self) -> None:
        self.all = OutcomeStats()
        self.classes: defaultdict[str, OutcomeStats] = defaultdict(OutcomeStats)
        self.tenants: defaultdict[str, OutcomeStats] = defaultdict(OutcomeStats)
        self.seconds: defaultdict[int, OutcomeStats] = defaultdict(OutcomeStats)
        self.starts = OutcomeStats()  # counts of starts, and how late they were
        # whether a worker ran out of file descriptors, so that requests waited for connections
        self.exhausted = False

    def count_start(self, late: float) -> None:
        """Count a request whose first try was sent `late` seconds after it was due."""
        self.starts.counts["sent"] += 1
        self.starts.counts["late"] += late > LATE_START
        self.starts.add(min(MAX_VALUE, max(MIN_VALUE, round(late * 1e6))))

    def count_end(
        self, at: float, request_class: str, tenant: str, outcome: str, latency: float, aim: float
    ) -> None:
        """Count a request that was due at `at` and ended `latency` seconds later."""
        all_stats = (self.all, self.classes[request_class], self.tenants[tenant], self.seconds[int(at)])
        value = min(MAX_VALUE, max(MIN_VALUE, round(latency * 1e6)))
        for stats in all_stats:
            stats.counts["scheduled"] += 1
            stats.counts[outcome] += 1
            if outcome == "served":
                stats.counts["in_time"] += latency <= aim
                stats.add(value)

    def merge(self, other: Record) -> None:
        """Add the record of another worker."""
        self.all.merge(other.all)
        for own_stats, other_stats in ((self.classes, other.classes), (self.tenants, other.tenants)):
            for name, stats in other_stats.items():
                own_stats[name].merge(stats)
        for second, stats in other.seconds.items():
            self.seconds[second].merge(stats)
        self.starts.merge(other.starts)
        self.exhausted |= other.exhausted

    def generator_limited(self) -> bool:
        """Return whether the generator, and not its target, was the limit."""
        return self.exhausted or self.starts.counts["late"] > MAX_LATE_SHARE * self.starts.counts["sent"]

    def figures(self, seconds: float) -> dict[str, Any]:
        """Return the figures that `--json` writes; `seconds` is how long the run took."""
        return self.all.figures() | {
            "sent": self.starts.counts["sent"],
            "seconds": seconds,
            "goodput": self.all.counts["in_time"] / seconds if seconds else 0.0,
            "start_lateness_ms": self.starts.quantiles(),
            "generator_was_the_limit": self.generator_limited(),
            "descriptors_exhausted": self.exhausted,
            "classes": {name: stats.figures() for name, stats in sorted(self.classes.items())},
            "tenants": {name: stats.figures() for name, stats in sorted(self.tenants.items())},
            "by_second": {str(s): stats.figures() for s, stats in sorted(self.seconds.items())},
        }
