"""Tests of the summary of many routers' logs."""

from bench.fleet_logs import MAX_KINDS, OTHER_KINDS, count_lines


def test_lines_of_a_kind_are_counted_by_second_and_router() -> None:
    one = ["0.301 2026-12-01 18:05:38,481 WARNING discovery, after 0.027 s: answered 503", "no log line"]
    two = [
        "0.992 2026-12-01 18:05:38,999 WARNING discovery, after 1.4 s: answered 503",
        "0.993 2026-12-01 18:05:38,999 WARNING discovery, after 0.1 s: answered 503",
        "1.000 2026-12-01 18:05:39,000 WARNING discovery, after 0.1 s: answered 503",
    ]
    assert count_lines([("n1", one), ("n2", two)]) == {
        "discovery, after # s: answered #": {0: (3, 2), 1: (1, 1)}
    }


def test_a_log_of_noise_makes_no_more_kinds_than_the_bound() -> None:
    noise = [f"0.0 2026-12-01 00:00:00,0 INFO {'x' * n}{'y' * m}" for n in range(40) for m in range(1, 40)]
    counted = count_lines([("n1", noise)])
    assert len(counted) == MAX_KINDS + 1 and counted[OTHER_KINDS] == {0: (len(noise) - MAX_KINDS, 1)}
