"""Tests the capacity page, which must match the results, and the errors for unusable result files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.scale import capacity_results, role_costs
from myrtlecourse.scale.capacity_commands import main
from myrtlecourse.scale.capacity_results import Measure, Point, Results, ResultsError, Slope
from myrtlecourse.scale.estimates import Estimate, Estimates, calculated, format_value
from myrtlecourse.scale.page import NOT_MEASURED, over_budget_section, render_page
from myrtlecourse.scale.slopes import SPECS

DOCS = Path(__file__).parent.parent / "docs"


def make_slope(name: str, cost: float = 1e-5, others: float = 0.0, last: float = 1.0) -> Slope:
    """Return a slope that grows linearly over the real sizes; the last cost is multiplied by `last`."""
    spec = SPECS[name]
    points = []
    for size in spec.sizes:
        at = cost * size * (last if size == max(spec.sizes) else 1.0)
        points.append(Point(size, (at * 0.99, at, at * 1.01), 0.002, others))
    return Slope(name, spec.what, spec.by, spec.unit, "compiled", "command", tuple(points))


def make_measure(name: str, value: float, unit: str = "s") -> Measure:
    return Measure(name, "what", unit, "compiled", "command", value, value * 0.9, value * 1.1, 3)


EMPTY = Results(1, 8)


def test_the_page_is_what_the_results_say() -> None:
    assert (DOCS / "CAPACITY.md").read_text() == render_page(capacity_results.read_folder(DOCS / "capacity"))
    assert (DOCS / "capacity/slopes.png").read_bytes().startswith(b"\x89PNG")


def test_the_command_writes_page_and_picture(tmp_path: Path) -> None:
    (tmp_path / "capacity").mkdir()
    results = Results(1, 8, (make_slope("list.stop"),), (make_measure("change.whole.plain", 1.25),))
    capacity_results.write_file(tmp_path / "capacity/a.json", results)
    done = CliRunner().invoke(main, ["page", "--docs", str(tmp_path)])
    assert done.exit_code == 0, done.output
    text = (tmp_path / "CAPACITY.md").read_text()
    assert text == render_page(results) and "1.25 s (1.12 s to 1.38 s)" in text
    assert (tmp_path / "capacity/slopes.png").read_bytes().startswith(b"\x89PNG")


def test_without_results_every_measured_row_says_so() -> None:
    for row in role_costs.all_rows(Estimates(EMPTY)):
        assert row.estimate is not None or row.missing
    text = render_page(EMPTY)
    assert text.count(f"| {NOT_MEASURED} |") > 40 and "nan" not in text


@pytest.mark.parametrize("name", SPECS)
def test_every_slope_stands_on_the_page_with_its_verdict(name: str) -> None:
    lines = render_page(Results(1, 8, (make_slope(name),))).splitlines()
    assert any(line.startswith(f"| `{name}` |") and "| counts |" in line for line in lines)


def test_what_does_not_fit_comes_first_and_the_worst_before_the_others() -> None:
    results = Results(
        1, 8, (make_slope("list.stop", 1e-4), make_slope("list.change", 1e-5), make_slope("list.memory", 1.0))
    )
    text = render_page(results)
    first = text.index("## What does not fit")
    assert first < text.index("## By role")
    part = text[first : text.index("## By role")]
    factors = [float(line.split("|")[5].replace(",", "")) for line in part.splitlines() if "| router" in line]
    assert factors == sorted(factors, reverse=True) and min(factors) >= 1.0
    # 670 ms and 67 ms exceed 20 ms; 6.7 KB do not exceed 64 MB
    assert "a first whole list, the whole fleet's | 670 ms" in part and "| 34 |" in part
    assert "one change of the list, the whole fleet's | 67 ms" in part and "| 3.4 |" in part
    assert "memory for the list" not in part


def test_a_rate_that_is_needed_does_not_fit_when_it_is_missed() -> None:
    few = Results(1, 8, (), (make_measure("router.router_requests", 500.0, "1/s"),))
    many = Results(1, 8, (), (make_measure("router.router_requests", 2000.0, "1/s"),))
    rows = {
        n: [r for r in role_costs.all_rows(Estimates(t)) if r.is_minimum]
        for n, t in (("few", few), ("many", many))
    }
    assert rows["few"][0].budget_ratio == pytest.approx(2.0) and rows["many"][
        0
    ].budget_ratio == pytest.approx(0.5)
    assert "requests a second of one core" in over_budget_section(rows["few"])
    assert "requests a second of one core" not in over_budget_section(rows["many"])


def test_what_the_tree_was_measured_to_cost_stands_beside_the_budget() -> None:
    names = ("processor", "memory", "bytes_in", "bytes_out")
    values = (
        make_measure(f"spread.router.{n}", v, u)
        for n, v, u in zip(names, (0.01, 9e7, 2e4, 1e4), ("core", "B", "B/s", "B/s"), strict=True)
    )
    rows = {
        r.item: r
        for r in role_costs.spread_rows(Estimates(Results(1, 8, (), tuple(values))))
        if r.role == role_costs.ROUTER_ROLE
    }
    assert rows["processor, measured"].budget_ratio == pytest.approx(0.01 / 0.046)
    assert rows["memory, measured"].budget_ratio == pytest.approx(90 / 64)
    assert rows["bytes in and out, measured"].budget_ratio == pytest.approx(30 / 27)
    assert (
        rows["messages in, measured"].estimate is None
        and rows["messages in, measured"].state == role_costs.DISABLED
    )
    assert {r.state for r in role_costs.spread_rows(Estimates(EMPTY))} == {
        role_costs.DISABLED
    }  # it is built, whatever was measured


def test_a_sum_with_a_part_that_was_not_measured_is_not_measured() -> None:
    estimates = Estimates(Results(1, 8, (make_slope("seal.open"),)))
    costs = [r.estimate for r in role_costs.relay_rows(estimates) if r.item == "opening and sealing them"]
    assert costs[0] is not None and costs[1:] == [None] * 4
    assert costs[0].value == pytest.approx(1e-5 * (100 + 62_000 / 86_400))
    one = (make_measure("spread.router.bytes_in", 1.0, "B/s"),)
    rows = list(role_costs.spread_rows(Estimates(Results(1, 8, (), one))))
    assert all(r.estimate is None for r in rows if r.item == "bytes in and out, measured")


def test_a_law_that_does_not_hold_and_a_shared_machine_are_marked() -> None:
    assert "**does not hold**" not in render_page(Results(1, 8, (make_slope("agent.second"),)))
    assert "not foretold |" not in render_page(Results(1, 8, (make_slope("agent.second"),)))
    bent = render_page(Results(1, 8, (make_slope("agent.second", last=3.0),)))
    assert "**the law does not hold**" in bent and "| **does not hold** |" in bent
    rows = [
        r
        for r in role_costs.roster_rows(Estimates(Results(1, 8, (make_slope("agent.second", last=3.0),))))
        if r.estimate
    ]
    foretold = [r for r in rows if r.estimate and "foretold" in r.estimate.source]
    assert [(str(r.estimate), r.budget_ratio) for r in foretold] == [("not foretold", None)]
    # a value measured at its size counts, whether the law holds or not
    assert [r.budget_ratio for r in rows if "1,000" in r.item and "gossip" in r.item] == [
        pytest.approx(0.03 / 0.046)
    ]
    assert "**shared**" in render_page(Results(1, 8, (make_slope("list.stop", others=0.2),)))
    assert "**shared machine**" in render_page(Results(1, 8, (make_slope("list.stop", others=0.2),)))


def test_a_figure_is_as_measured_where_it_was_and_foretold_elsewhere() -> None:
    estimates = Estimates(Results(1, 8, (make_slope("list.stop", last=2.0),)))
    measured, predicted = estimates.at_size("list.stop", 6700), estimates.at_size("list.stop", 20_000)
    assert measured is not None and predicted is not None
    assert measured.value == pytest.approx(0.134) and measured.law_holds and "foretold" not in measured.source
    assert not predicted.law_holds and "foretold" in predicted.source
    assert estimates.at_size("list.take", 6700) is None and estimates.measure("none") is None


def test_a_figure_is_marked_by_the_run_at_its_own_size() -> None:
    even = make_slope("list.stop")
    points = tuple(msgspec.structs.replace(p, others=0.3 if p.size == 156 else 0.0) for p in even.points)
    estimates = Estimates(Results(1, 8, (msgspec.structs.replace(even, points=points),)))
    marks = {n: f.exclusive for n in (156, 6700, 20_000) if (f := estimates.at_size("list.stop", n))}
    assert marks == {156: False, 6700: True, 20_000: False}


finite = st.floats(1e-6, 1e9)


@given(finite, st.floats(0.5, 1.0), st.floats(1.0, 2.0), st.floats(1e-3, 1e3))
def test_arithmetic_keeps_a_value_in_its_interval(
    value: float, low: float, high: float, factor: float
) -> None:
    one = Estimate(value, value * low, value * high, "s", "a")
    for estimate in (
        one.multiplied(factor, "2 x {}"),
        one.added(one),
        one.inverted("1 / {}", "1/s", lambda v: 1 / v),
    ):
        assert estimate.low <= estimate.value <= estimate.high and "a" in estimate.source
    assert one.multiplied(factor, "{}").value == pytest.approx(value * factor)
    assert one.added(one).value == pytest.approx(2 * value)


def test_a_doubt_stays_through_arithmetic() -> None:
    sure, doubtful = (
        calculated(1.0, "s", "a"),
        Estimate(1.0, 1.0, 1.0, "s", "b", law_holds=False, exclusive=False),
    )
    for estimate in (sure.added(doubtful), doubtful.added(sure), doubtful.multiplied(2.0, "2 x {}")):
        assert "does not hold" in estimate.annotated_source and "shared machine" in estimate.annotated_source
    assert sure.annotated_source == "a"


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (0.7284, "s", "728 ms"), (1.5, "s", "1.5 s"), (2.1e-5, "s", "21 us"), (2e-8, "s", "0.02 us"),
        (1.51e8, "B", "151 MB"), (27e3, "B/s", "27 KB/s"), (0.046, "core", "4.6% of a core"),
        (2.5, "core", "2.5 cores"), (16000, "", "16,000"), (0.0, "1/s", "0/s"),
        (2388.06, "1/s", "2,388/s"),
    ],
)  # fmt: skip
def test_a_value_is_told_in_a_unit_of_its_size(value: float, unit: str, text: str) -> None:
    assert format_value(value, unit) == text


def test_a_table_keeps_its_columns_whatever_a_file_says() -> None:
    odd = msgspec.structs.replace(make_slope("list.stop"), what="a | b")
    lines = [
        line for line in render_page(Results(1, 8, (odd,))).splitlines() if line.startswith("| `list.stop` |")
    ]
    assert len(lines) == 1 and lines[0].count("|") == 14 and "a / b" in lines[0]


def test_the_time_until_a_router_is_forgotten_is_that_of_its_roster() -> None:
    assert role_costs.time_until_forgotten(25) == pytest.approx(4 * 25 / 8 * 4)
    assert role_costs.time_until_forgotten(2) == pytest.approx(16.0)


# Result files


GOOD: dict[str, Any] = msgspec.to_builtins(
    Results(1, 8, (make_slope("list.stop"),), (make_measure("a.b", 1.0),))
)


def with_field(path: str, value: Any) -> dict[str, Any]:
    """Return the valid file with one field changed; `path` leads to the field."""
    changed = msgspec.json.decode(msgspec.json.encode(GOOD))
    container, *steps = changed, *path.split(".")
    for step in steps[:-1]:
        container = container[int(step)] if step.isdigit() else container[step]
    last = steps[-1]
    container[int(last) if last.isdigit() else last] = value
    return dict(changed)


BAD = [
    ("schema", 2, "$.schema"),
    ("cores", 0, "$.cores"),
    ("more", 1, "more"),
    ("slopes.0.name", "No Name", "$.slopes[0].name"),
    ("slopes.0.form", "fast", "$.slopes[0].form"),
    ("slopes.0.points", [], "$.slopes[0].points"),
    ("slopes.0.points.0.size", 0, "points[0].size"),
    ("slopes.0.points.0.values", [1.0, 2.0], "points[0].values"),
    ("slopes.0.points.0.values", [1.0, 2.0, -1.0], "points[0].values[2]"),
    ("slopes.0.points.0.values", [1.0, 2.0, 0.0], "points[0].values[2]"),
    ("slopes.0.points.0.others", 1.5, "points[0].others"),
    ("slopes.0.points.6.size", 5, "points: at least 5 sizes up to a quarter of the largest"),
    ("slopes.0.points.0.size", 6700, "each size may occur only once"),
    ("measures.0.value", 5.0, "must lie between low and high"),
    ("measures.0.low", -1.0, "$.measures[0].low"),
    ("measures.0.repeats", 0, "$.measures[0].repeats"),
    ("measures.0.name", "list.stop", "each name may occur only once"),
    ("measures.0.unit", "", "$.measures[0].unit"),
]


def refusal(file: Path, *arguments: str) -> str:
    """Return the one line of error, with exit code 2, of a command that can't use a results file."""
    done = CliRunner().invoke(main, list(arguments))
    assert done.exit_code == 2, done.output
    lines = done.output.strip().splitlines()
    assert len(lines) == 1 and str(file) in lines[0]
    return lines[0]


@pytest.mark.parametrize(("path", "value", "named"), BAD)
def test_a_field_out_of_its_bounds_is_named(tmp_path: Path, path: str, value: Any, named: str) -> None:
    (tmp_path / "capacity").mkdir()
    file = tmp_path / "capacity/x.json"
    file.write_bytes(msgspec.json.encode(with_field(path, value)))
    assert named in refusal(file, "page", "--docs", str(tmp_path))
    assert named in refusal(file, "slopes", "list.bytes", "--out", str(file))
    assert not (tmp_path / "CAPACITY.md").exists()


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b"\xff\xfe", b'{"schema": 1}', b"1e999"])
def test_what_is_no_results_file_is_refused(tmp_path: Path, text: bytes) -> None:
    (tmp_path / "capacity").mkdir()
    file = tmp_path / "capacity/x.json"
    file.write_bytes(text)
    refusal(file, "page", "--docs", str(tmp_path))


def test_a_file_that_is_too_large_is_not_read(tmp_path: Path) -> None:
    file = tmp_path / "x.json"
    file.write_bytes(b" " * (capacity_results.MAX_FILE_BYTES + 1))
    with pytest.raises(ResultsError, match="larger than 2,000,000 bytes"):
        capacity_results.read_file(file)


def test_no_folder_no_writing_and_a_name_in_two_files_are_refused(tmp_path: Path) -> None:
    refusal(tmp_path / "capacity", "page", "--docs", str(tmp_path))
    refusal(tmp_path / "none/x.json", "slopes", "list.bytes", "--out", str(tmp_path / "none/x.json"))
    (tmp_path / "capacity").mkdir()
    for name in ("a.json", "b.json"):
        capacity_results.write_file(
            tmp_path / "capacity" / name, Results(1, 8, (), (make_measure("a.b", 1.0),))
        )
    assert "already used in a.json" in refusal(tmp_path / "capacity/b.json", "page", "--docs", str(tmp_path))
    (tmp_path / "capacity/b.json").unlink()
    (tmp_path / "CAPACITY.md").mkdir()
    refusal(tmp_path / "CAPACITY.md", "page", "--docs", str(tmp_path))


def test_results_come_back_as_they_were_written(tmp_path: Path) -> None:
    results = Results(1, 8, (make_slope("list.stop"),), (make_measure("a.b", 1.0),))
    capacity_results.write_file(tmp_path / "x.json", results)
    assert capacity_results.read_file(tmp_path / "x.json") == results


def test_new_results_replace_those_of_their_name_alone() -> None:
    old = Results(1, 4, (make_slope("list.stop"), make_slope("list.take")), (make_measure("a.b", 1.0),))
    new = Results(1, 8, (make_slope("list.take", 2.0),), (make_measure("c", 3.0),))
    merged = capacity_results.merge_results(old, new)
    assert merged.slopes == (old.slopes[0], new.slopes[0]) and merged.cores == 8
    assert [m.name for m in merged.measures] == ["a.b", "c"] and capacity_results.merge_results(
        None, new
    ) == new


@given(st.floats(1e-12, 1e12))
def test_what_files_keep_differs_by_no_more_than_their_last_digit(value: float) -> None:
    assert capacity_results.round_significant(value) == pytest.approx(value, rel=1e-4)
    assert capacity_results.round_significant(0.0) == 0.0


def test_commands_go_into_any_group() -> None:
    from myrtlecourse.scale.capacity_commands import register  # noqa: PLC0415

    group = click.Group("scale")
    register(group)
    assert set(group.commands) == {"slopes", "page"}
