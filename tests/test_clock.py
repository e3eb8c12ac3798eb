"""The wall clock is stepped: spans go on evenly, and no server is taken for warmer than it is."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.clock import MAX_OFFSETS, MIN_STEP, Clock


class Machine:
    """A machine's two clocks."""

    def __init__(self) -> None:
        self.steady = 50.0
        self.offset = 1_790_000_000.0

    def wall(self) -> float:
        return self.offset + self.steady

    def clock(self) -> Clock:
        return Clock(self.wall, lambda: self.steady)


steps = st.lists(
    st.tuples(st.floats(0.1, 20.0), st.sampled_from([-3600.0, -5.0, 0.0, 2.0, 3600.0])),
    max_size=MAX_OFFSETS // 2,
)


@given(steps, st.floats(0.0, 100.0))
def test_the_clock_goes_on_evenly_and_starts_are_never_earlier_than_they_were(
    changes: list[tuple[float, float]], before: float
) -> None:
    machine = Machine()
    clock = machine.clock()
    began = clock.now()
    starts = [(clock.now() - before, machine.wall() - before)]  # on the clock, and as its machine tells it
    passed = 0.0
    for seconds, step in changes:
        machine.steady += seconds
        passed += seconds
        starts.append((clock.now(), machine.wall()))
        machine.offset += step
        assert abs(clock.detect_step() - step) < MIN_STEP
        starts.append((clock.now(), machine.wall()))
    assert abs(clock.now() - began - passed) < 1e-5
    for started, since in starts:
        assert started - 1e-3 <= clock.start_on_this_clock(since) <= clock.now() + 1e-6


def test_without_a_step_a_start_is_what_is_told() -> None:
    machine = Machine()
    clock = machine.clock()
    machine.steady += 30.0
    assert clock.detect_step() == 0.0 and not clock.stepped
    assert abs(clock.start_on_this_clock(machine.wall() - 7.0) - (clock.now() - 7.0)) < 1e-6
    assert clock.start_on_this_clock(0.0) == 0.0
    assert clock.start_on_this_clock(machine.wall() + 9.0) == clock.now()
