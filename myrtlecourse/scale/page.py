"""Generates docs/CAPACITY.md from the results.

The same results give the same page; no figure on it is entered by hand.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import groupby

from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.scale import role_costs
from myrtlecourse.scale.calibration import is_shared
from myrtlecourse.scale.capacity_results import Measure, Results, Slope
from myrtlecourse.scale.estimates import Estimate, Estimates, format_value
from myrtlecourse.scale.fit import check
from myrtlecourse.scale.role_costs import (
    CHANGE_RATE,
    REGIONS,
    ROUTERS,
    ROUTERS_PER_SITE,
    SERVERS,
    SERVERS_PER_REGION,
    CostRow,
)

NOT_MEASURED = "not measured"
PICTURE = "capacity/slopes.png"
HOPS = (
    ("tool", "from the tool to a control machine"),
    ("region", "on to the relay in a region"),
    ("site", "on to the relay in a site"),
    ("router", "on to the last router"),
    ("whole", "from the tool to the last router"),
)
CASES = (
    ("plain", "nothing wrong"),
    ("loss", "1% of datagrams lost"),
    ("parent", "a parent dead"),
    ("restart", "a tenth restarts"),
)
INTRO = f"""# Capacity

What the fleet to come costs each role, beside what it may cost. Made by

    python -m myrtlecourse.scale.capacity_commands page

from the results in `docs/capacity/`; nothing here is typed by hand, and a test fails when page and results
differ. A figure names its slope or measure; brackets hold its 95% interval; one with a formula is arithmetic.
Processor times are of one thread, on the machine of the results. A stop of a router's loop stands beside the
{format_value(DEADLINE_MARGIN, "s")} by which routers answer before their clients' deadlines."""


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(text.replace('|', '/') for text in row)} |" for row in lines)


def estimate_cell(estimate: Estimate | None) -> str:
    """Return the text of an estimate, or of a missing one."""
    return NOT_MEASURED if estimate is None else str(estimate)


def ratio_cell(factor: float | None) -> str:
    """Return the text of the ratio of cost to budget."""
    return "" if factor is None else f"{factor:.2g}" if factor < 100 else f"{factor:,.0f}"


def budget_cell(row: CostRow) -> str:
    """Return the text of a row's budget."""
    if row.budget is None:
        return "none given"
    unit = row.estimate.unit if row.estimate else role_costs.BUDGET_UNITS[row.budget]
    return ("at least " if row.is_minimum else "") + format_value(row.budget, unit)


def source_cell(row: CostRow) -> str:
    """Return the source of a row's estimate, or the name of the missing measurement."""
    return row.estimate.annotated_source if row.estimate else f"`{row.missing}`"


def over_budget_section(rows: list[CostRow]) -> str:
    """Return the section on costs over their budget, the worst first."""
    over = [r for r in rows if (r.budget_ratio or 0.0) > 1.0]
    over.sort(key=lambda r: -(r.budget_ratio or 0.0))
    cells = [
        (
            r.role,
            r.item,
            estimate_cell(r.estimate),
            budget_cell(r),
            ratio_cell(r.budget_ratio),
            source_cell(r),
            r.state,
        )
        for r in over
    ]
    header = ("role", "what", "at the size to come", "budget", "times its budget", "from", "state")
    absent = sum(r.estimate is None for r in rows)
    unsure = sum(r.estimate is not None and not r.estimate.law_holds for r in rows)
    text = (
        f"{len(over)} of {len(rows)} rows are over their budget; {absent} are {NOT_MEASURED}, "
        f"and {unsure} not foretold, as the law does not hold."
    )
    return (
        f"## What does not fit\n\n{text}\n\n{markdown_table(header, cells)}"
        if over
        else f"## What does not fit\n\n{text}"
    )


def role_section(rows: list[CostRow]) -> str:
    """Return the section with a table for each role."""
    header = ("what", "at the size to come", "budget", "times its budget", "from", "carried by", "state")
    parts = ["## By role"]
    for role, role_rows in groupby(sorted(rows, key=lambda r: r.role), key=lambda r: r.role):
        cells = [
            (
                r.item,
                estimate_cell(r.estimate),
                budget_cell(r),
                ratio_cell(r.budget_ratio),
                source_cell(r),
                r.module,
                r.state,
            )
            for r in role_rows
        ]
        parts.append(f"### {role.capitalize()}\n\n{markdown_table(header, cells)}")
    return "\n\n".join(parts)


def propagation_section(estimates: Estimates, kind: str, limit: float) -> str:
    """Return the section on the time that a change or a purge takes, hop by hop."""
    cells = [
        [what, *(estimate_cell(estimates.measure(f"{kind}.{hop}.{case}")) for case, _ in CASES)]
        for hop, what in HOPS
    ]
    header = ("hop", *(what for _, what in CASES))
    hops, cases = ("`, `".join(name for name, _ in part) for part in (HOPS, CASES))
    names_note = f"Measures named `{kind}.HOP.CASE` (`{hops}`; `{cases}`)."
    note = ""
    if kind == "change":
        changes = [
            f"{estimate_cell(estimates.at_size('list.change', n))} with {n:,} servers listed"
            for n in (SERVERS, SERVERS_PER_REGION)
        ]
        remark = "(`list.change`, processor time: the least that the clock shows)"
        note = f" Taken at a router: {', '.join(changes)} {remark}."
    return (
        f"### A {kind}, everywhere within {limit:g} s\n\n"
        f"{markdown_table(header, cells)}\n\n{names_note}{note}"
    )


def event_section(estimates: Estimates) -> str:
    """Return the section on the events of an ordinary year, and what they cost the other machines."""
    change, stop, list_bytes = (
        estimates.at_size(f"list.{name}", SERVERS) for name in ("change", "stop", "bytes")
    )
    after = format_value(role_costs.time_until_forgotten(ROUTERS_PER_SITE), "s")

    def cost(estimate: Estimate | None, factor: float, formula: str, unit: str | None = None) -> str:
        multiple = role_costs.scaled(estimate, factor, formula, unit)
        return f"{multiple} ({multiple.annotated_source})" if multiple else NOT_MEASURED

    def days(machines: int, events: int = 1) -> str:
        return (
            f"{events * machines / role_costs.MACHINES:,.0f} a day "
            f"({events:,} x {machines:,} / {role_costs.MACHINES:,})"
        )

    machines_per_site, servers_per_zone = role_costs.MACHINES / role_costs.SITES, SERVERS / role_costs.ZONES
    hourly_changes = CHANGE_RATE * 3600
    spread_time = estimates.measure("change.whole.plain")
    # Routers get their lists from discovery, not from `spread/`: the text must not suggest otherwise.
    delay_text = (
        f"{estimate_cell(spread_time)} (`change.whole.plain`, were it carried by `spread/`, which it is not)"
    )
    effect = "one change of the list at every router"
    cells = [
        (
            "a cache server fails",
            days(SERVERS, role_costs.FAILURES_PER_DAY),
            effect,
            delay_text,
            cost(change, ROUTERS, f"{ROUTERS:,} x {{}}") + " of the fleet's processors",
        ),
        (
            "a router fails",
            days(ROUTERS, role_costs.FAILURES_PER_DAY),
            "its site's roster forgets it",
            f"{after} (`Gossip.state` with {ROUTERS_PER_SITE} members, arithmetic)",
            "nothing: no list names routers",
        ),
        (
            "a cache server restarts",
            days(SERVERS, role_costs.RESTARTS_PER_DAY),
            "two changes of the list at every router",
            delay_text,
            cost(change, 2, "2 x {}") + " of each router's loop",
        ),
        (
            "a router restarts",
            days(ROUTERS, role_costs.RESTARTS_PER_DAY),
            "it asks for the whole list",
            cost(stop, 1, "{}") + " of its own processor",
            cost(
                list_bytes,
                role_costs.RESTARTS_PER_DAY * ROUTERS / role_costs.MACHINES,
                f"{role_costs.RESTARTS_PER_DAY:,} x {ROUTERS:,} / {role_costs.MACHINES:,} x {{}}",
            )
            + " a day from discovery",
        ),
        (
            "a rack or switch goes",
            "once a week",
            f"at most a site: {machines_per_site:.3g} machines "
            f"({role_costs.MACHINES:,} / {role_costs.SITES})",
            delay_text,
            cost(change, machines_per_site, f"at most {machines_per_site:.3g} x {{}}")
            + " of each router's loop, told one by one",
        ),
        (
            "a zone goes",
            "once or twice a year",
            f"{servers_per_zone:.3g} cache servers at once ({SERVERS:,} / {role_costs.ZONES})",
            delay_text,
            cost(change, servers_per_zone, f"{servers_per_zone:.3g} x {{}}")
            + " of each router's loop, told one by one",
        ),
        (
            "regions lose each other for an hour",
            "now and then",
            f"{hourly_changes:,.0f} changes pile up (62,000 / 24)",
            cost(change, hourly_changes, f"{hourly_changes:,.0f} x {{}}")
            + " one by one; "
            + cost(stop, 1, "{}")
            + " as a whole list",
            cost(list_bytes, ROUTERS / REGIONS, f"{ROUTERS:,} / {REGIONS} x {{}}")
            + " for the whole lists of one region's routers",
        ),
    ]
    header = ("event", "how often", "sets off", "until all is well", "costs the others")
    return f"## The ordinary year\n\n{markdown_table(header, cells)}"


def region_section(estimates: Estimates) -> str:
    """Return the section that compares the costs of the whole fleet with those of one region."""
    slopes = [s for s in estimates.slopes.values() if s.by == "servers in the list"]
    cells = [
        (
            s.what,
            estimate_cell(estimates.at_size(s.name, SERVERS)),
            estimate_cell(estimates.at_size(s.name, SERVERS_PER_REGION)),
            f"`{s.name}`",
        )
        for s in slopes
    ]
    rosters = (
        f"gossip and verdicts for a second: a roster of {ROUTERS:,} and all zones, "
        f"of {ROUTERS_PER_SITE} and a region's",
        estimate_cell(estimates.at_size("agent.second", ROUTERS)),
        estimate_cell(estimates.at_size("agent.region", ROUTERS_PER_SITE)),
        "`agent.second`, `agent.region`",
    )
    introduction = f"""\
These grow with the whole fleet at each router. A region's view holds {SERVERS_PER_REGION} cache servers
({SERVERS:,} / {REGIONS}) and the {ROUTERS_PER_SITE} routers of the own site. Routing takes such a list as it
stands; what is missing is who gives each region its part."""
    header = ("what", f"whole fleet: {SERVERS:,}", f"region's view: {SERVERS_PER_REGION}", "from")
    return (
        f"## What grows with the whole fleet\n\n{introduction}\n\n{markdown_table(header, [*cells, rosters])}"
    )


def slope_row(slope: Slope) -> tuple[str, ...]:
    """Return the table row of a slope: its law, and the check of the law."""
    fitted, validation = check(slope.repeats)
    predicted, last = validation.predicted, max(slope.points, key=lambda p: p.size)
    unit = slope.unit
    predicted_text = (
        f"{format_value(predicted.value, unit)} "
        f"({format_value(predicted.low, unit)} to {format_value(predicted.high, unit)})"
    )
    ratio = f"{validation.measured / last.calibration:.3g}" if unit == "s" else ""
    return (
        f"`{slope.name}`",
        slope.what,
        slope.by,
        slope.form,
        fitted.law.name,
        f"{fitted.held_out:.1%}",
        f"{validation.size:,}",
        predicted_text,
        format_value(validation.measured, unit),
        "counts" if validation.holds else "**does not hold**",
        ratio,
        "**shared**" if is_shared(slope.others) else "alone",
        f"`{slope.command}`",
    )


def measure_row(measure: Measure) -> tuple[str, ...]:
    """Return the table row of a measure."""
    values = [format_value(v, measure.unit) for v in (measure.value, measure.low, measure.high)]
    return (
        f"`{measure.name}`",
        measure.what,
        f"{values[0]} ({values[1]} to {values[2]})",
        str(measure.repeats),
        measure.form,
        "**shared**" if is_shared(measure.others) else "alone",
        f"`{measure.command}`",
    )


def measurement_section(results: Results) -> str:
    """Return the section with all slopes and measures."""
    slopes = markdown_table(
        (
            "slope",
            "what",
            "by",
            "form",
            "law",
            "held out",
            "checked at",
            "foretold",
            "measured",
            "so it",
            "calibration loops",
            "machine",
            "command",
        ),
        map(slope_row, results.slopes),
    )
    measures = markdown_table(
        ("measure", "what", "value", "repeats", "form", "machine", "command"),
        map(measure_row, results.measures),
    )
    calibrations = [p.calibration for slope in results.slopes for p in slope.points] or [0.0]
    calibration_range = f"{format_value(min(calibrations), 's')} to {format_value(max(calibrations), 's')}"
    return f"""## What was measured

Each slope is fitted up to a quarter of its largest size and foretells that. It counts if what was
measured there lies in the interval, and that is no wider than what is foretold. Fits go by the least of the
repeats, as disturbances only add; figures at a size above are medians. The calibration loop beside each
size took {calibration_range} of processor time; "calibration loops" is the cost measured at the largest size
in such loops. A run is "shared" if others used over a tenth of the machine meanwhile. The machine had
{results.cores} cores. The command wants `--out FILE` too, and `--compiled FOLDER` for the compiled form.

![Slopes, their laws and the sizes foretold]({PICTURE})

{slopes}

{measures}"""


def render_page(results: Results) -> str:
    """Return the text of the page."""
    estimates = Estimates(results)
    rows = role_costs.all_rows(estimates)
    propagation = [
        propagation_section(estimates, "change", role_costs.MAX_CHANGE_TIME),
        propagation_section(estimates, "purge", role_costs.MAX_PURGE_TIME),
    ]
    parts = [
        INTRO,
        over_budget_section(rows),
        role_section(rows),
        "## By the clock",
        *propagation,
        event_section(estimates),
        region_section(estimates),
        measurement_section(results),
    ]
    return "\n\n".join(parts) + "\n"
