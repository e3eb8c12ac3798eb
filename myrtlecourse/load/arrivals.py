"""Draws the times at which requests are due, independently of how earlier requests end; no clock and no I/O.

Arrivals at a changing rate are a Poisson process in rescaled time (Lewis and Shedler, "Simulation of
nonhomogeneous Poisson processes by thinning", 1979, give the theory): the rate is integrated on a fine grid,
and arrivals of rate 1 are mapped back through the inverse of the integral.
"""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
from numpy.typing import NDArray

from myrtlecourse.load.profile import Piece, Profile

GRID_STEP = 0.001  # seconds between the points at which a rate is evaluated
CHUNK = 1.0  # seconds drawn at once, so that memory does not grow with the length of a run

Times = NDArray[np.float64]


def _expected_arrivals(piece: Piece, begin: float, end: float) -> tuple[Times, Times]:
    """Return offsets within a piece, and the number of arrivals expected between `begin` and each of them."""
    points = max(2, round((end - begin) / GRID_STEP) + 1)
    offsets = np.linspace(begin, end, points)
    middles = (offsets[1:] + offsets[:-1]) / 2
    rates = np.fromiter((piece.at(m) for m in middles), np.float64, points - 1)
    return offsets, np.concatenate(([0.0], np.cumsum(rates * np.diff(offsets))))


def arrival_times(profile: Profile, rng: np.random.Generator, share: float = 1.0) -> Iterator[Times]:
    """Yield the sorted times of a `share` of a profile's requests, in chunks, in seconds from the start."""
    poisson = profile.arrivals == "poisson"
    # distance in rescaled time from the end of the last chunk to the next arrival
    next_arrival = float(rng.exponential()) if poisson else 0.5
    piece_start = 0.0
    for piece in profile.pieces:
        begin = 0.0
        while begin < piece.seconds:
            end = min(piece.seconds, begin + CHUNK)
            offsets, expected = _expected_arrivals(piece, begin, end)
            expected *= share
            total = float(expected[-1])
            drawn: list[Times] = []
            while next_arrival < total:
                count = int((total - next_arrival) * 1.1) + 16
                gaps = rng.exponential(size=count) if poisson else np.ones(count)
                steps = next_arrival + np.concatenate(([0.0], np.cumsum(gaps)))
                drawn.append(steps[:-1][steps[:-1] < total])
                next_arrival = float(steps[len(drawn[-1])])
            next_arrival -= total
            if drawn:
                yield piece_start + np.interp(np.concatenate(drawn), expected, offsets)
            begin = end
        piece_start += piece.seconds
