"""When the wall clock is stepped, durations stay right, and no server is taken for warmer than it is."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.clock import MAX_OFFSETS, MIN_STEP, Clock


class Machine:
    """A machine's two clocks."""

    def __init__(self) -> None:
        self.monotonic = 50.0
        self.offset = 1_790_000_000.0

    def wall_time(self) -> float:
        return self.offset + self.monotonic

    def clock(self) -> Clock:
        return Clock(self.wall_time, lambda: self.monotonic)


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
    start = clock.now()
    starts = [
        (clock.now() - before, machine.wall_time() - before)
    ]  # on the clock, and as its machine reports it
    passed = 0.0
    for seconds, step in changes:
        machine.monotonic += seconds
        passed += seconds
        starts.append((clock.now(), machine.wall_time()))
        machine.offset += step
        assert abs(clock.detect_step() - step) < MIN_STEP
        starts.append((clock.now(), machine.wall_time()))
    assert abs(clock.now() - start - passed) < 1e-5
    for started, since in starts:
        assert started - 1e-3 <= clock.start_on_this_clock(since) <= clock.now() + 1e-6


def test_without_a_step_a_start_is_what_is_told() -> None:
    machine = Machine()
    clock = machine.clock()
    machine.monotonic += 30.0
    assert clock.detect_step() == 0.0 and not clock.stepped
    assert abs(clock.start_on_this_clock(machine.wall_time() - 7.0) - (clock.now() - 7.0)) < 1e-6
    assert clock.start_on_this_clock(0.0) == 0.0
    assert clock.start_on_this_clock(machine.wall_time() + 9.0) == clock.now()
