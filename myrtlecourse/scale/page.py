"""docs/CAPACITY.md from the results: the same results give the same page, and no figure of it is typed."""

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


def markdown_table(head: Sequence[str], body: Iterable[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [head, ["---"] * len(head), *body]
    return "\n".join(
        f"| {' | '.join(estimate_cell.replace('|', '/') for estimate_cell in line)} |" for line in lines
    )


def estimate_cell(figure: Estimate | None) -> str:
    """A figure, or that there is none."""
    return NOT_MEASURED if figure is None else str(figure)


def ratio_cell(factor: float | None) -> str:
    """How many times the budget."""
    return "" if factor is None else f"{factor:.2g}" if factor < 100 else f"{factor:,.0f}"


def budget_cell(row: CostRow) -> str:
    """What a row may cost, or has to reach."""
    if row.budget is None:
        return "none given"
    unit = row.estimate.unit if row.estimate else role_costs.BUDGET_UNITS[row.budget]
    return ("at least " if row.is_minimum else "") + format_value(row.budget, unit)


def source_cell(row: CostRow) -> str:
    """Where a row's figure is from, or the name under which it is missed."""
    return row.estimate.annotated_source if row.estimate else f"`{row.missing}`"


def over_budget_section(rows: list[CostRow]) -> str:
    """What is over its budget, the worst first."""
    over = [r for r in rows if (r.budget_ratio or 0.0) > 1.0]
    over.sort(key=lambda r: -(r.budget_ratio or 0.0))
    body = [
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
    head = ("role", "what", "at the size to come", "budget", "times its budget", "from", "state")
    absent = sum(r.estimate is None for r in rows)
    unsure = sum(r.estimate is not None and not r.estimate.law_holds for r in rows)
    text = (
        f"{len(over)} of {len(rows)} rows are over their budget; {absent} are {NOT_MEASURED}, "
        f"and {unsure} not foretold, as the law does not hold."
    )
    return (
        f"## What does not fit\n\n{text}\n\n{markdown_table(head, body)}"
        if over
        else f"## What does not fit\n\n{text}"
    )


def role_section(rows: list[CostRow]) -> str:
    """A table for each role."""
    head = ("what", "at the size to come", "budget", "times its budget", "from", "carried by", "state")
    parts = ["## By role"]
    for role, mine in groupby(sorted(rows, key=lambda r: r.role), key=lambda r: r.role):
        body = [
            (
                r.item,
                estimate_cell(r.estimate),
                budget_cell(r),
                ratio_cell(r.budget_ratio),
                source_cell(r),
                r.module,
                r.state,
            )
            for r in mine
        ]
        parts.append(f"### {role.capitalize()}\n\n{markdown_table(head, body)}")
    return "\n\n".join(parts)


def propagation_section(book: Estimates, kind: str, limit: float) -> str:
    """A change or a purge, hop by hop, by the clock."""
    body = [
        [what, *(estimate_cell(book.measure(f"{kind}.{hop}.{case}")) for case, _ in CASES)]
        for hop, what in HOPS
    ]
    head = ("hop", *(what for _, what in CASES))
    hops, cases = ("`, `".join(name for name, _ in part) for part in (HOPS, CASES))
    missed = f"Measures named `{kind}.HOP.CASE` (`{hops}`; `{cases}`)."
    force = ""
    if kind == "change":
        turns = [
            f"{estimate_cell(book.at_size('list.change', n))} with {n:,} servers listed"
            for n in (SERVERS, SERVERS_PER_REGION)
        ]
        least = "(`list.change`, processor time: the least that the clock shows)"
        force = f" Taken at a router: {', '.join(turns)} {least}."
    return f"### A {kind}, everywhere within {limit:g} s\n\n{markdown_table(head, body)}\n\n{missed}{force}"


def event_section(book: Estimates) -> str:
    """The ordinary year: what each event sets off, and what it costs the others."""
    change, stop, octets = (book.at_size(f"list.{w}", SERVERS) for w in ("change", "stop", "bytes"))
    after = format_value(role_costs.time_until_forgotten(ROUTERS_PER_SITE), "s")

    def cost(figure: Estimate | None, factor: float, formula: str, unit: str | None = None) -> str:
        found = role_costs.scaled(figure, factor, formula, unit)
        return f"{found} ({found.annotated_source})" if found else NOT_MEASURED

    def days(share: int, of: int = 1) -> str:
        return f"{of * share / role_costs.MACHINES:,.0f} a day ({of:,} x {share:,} / {role_costs.MACHINES:,})"

    place, zone = role_costs.MACHINES / role_costs.SITES, SERVERS / role_costs.ZONES
    apart = CHANGE_RATE * 3600
    told = book.measure("change.whole.plain")
    # no reader may take the spread's time for that of lists, which discovery brings
    heard = f"{estimate_cell(told)} (`change.whole.plain`, were it carried by `spread/`, which it is not)"
    each = "one change of the list at every router"
    body = [
        (
            "a cache server fails",
            days(SERVERS, role_costs.FAILURES_PER_DAY),
            each,
            heard,
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
            heard,
            cost(change, 2, "2 x {}") + " of each router's loop",
        ),
        (
            "a router restarts",
            days(ROUTERS, role_costs.RESTARTS_PER_DAY),
            "it asks for the whole list",
            cost(stop, 1, "{}") + " of its own processor",
            cost(
                octets,
                role_costs.RESTARTS_PER_DAY * ROUTERS / role_costs.MACHINES,
                f"{role_costs.RESTARTS_PER_DAY:,} x {ROUTERS:,} / {role_costs.MACHINES:,} x {{}}",
            )
            + " a day from discovery",
        ),
        (
            "a rack or switch goes",
            "once a week",
            f"at most a site: {place:.3g} machines ({role_costs.MACHINES:,} / {role_costs.SITES})",
            heard,
            cost(change, place, f"at most {place:.3g} x {{}}") + " of each router's loop, told one by one",
        ),
        (
            "a zone goes",
            "once or twice a year",
            f"{zone:.3g} cache servers at once ({SERVERS:,} / {role_costs.ZONES})",
            heard,
            cost(change, zone, f"{zone:.3g} x {{}}") + " of each router's loop, told one by one",
        ),
        (
            "regions lose each other for an hour",
            "now and then",
            f"{apart:,.0f} changes pile up (62,000 / 24)",
            cost(change, apart, f"{apart:,.0f} x {{}}")
            + " one by one; "
            + cost(stop, 1, "{}")
            + " as a whole list",
            cost(octets, ROUTERS / REGIONS, f"{ROUTERS:,} / {REGIONS} x {{}}")
            + " for the whole lists of one region's routers",
        ),
    ]
    head = ("event", "how often", "sets off", "until all is well", "costs the others")
    return f"## The ordinary year\n\n{markdown_table(head, body)}"


def region_section(book: Estimates) -> str:
    """What grows with the whole fleet at each router, beside a region's view."""
    slopes = [s for s in book.slopes.values() if s.by == "servers in the list"]
    body = [
        (
            s.what,
            estimate_cell(book.at_size(s.name, SERVERS)),
            estimate_cell(book.at_size(s.name, SERVERS_PER_REGION)),
            f"`{s.name}`",
        )
        for s in slopes
    ]
    rosters = (
        f"gossip and verdicts for a second: a roster of {ROUTERS:,} and all zones, of {ROUTERS_PER_SITE} and a region's",
        estimate_cell(book.at_size("agent.second", ROUTERS)),
        estimate_cell(book.at_size("agent.region", ROUTERS_PER_SITE)),
        "`agent.second`, `agent.region`",
    )
    lead = f"""These grow with the whole fleet at each router. A region's view holds {SERVERS_PER_REGION} cache servers
({SERVERS:,} / {REGIONS}) and the {ROUTERS_PER_SITE} routers of the own site. Routing takes such a list as it
stands; what is missing is who gives each region its part."""
    head = ("what", f"whole fleet: {SERVERS:,}", f"region's view: {SERVERS_PER_REGION}", "from")
    return f"## What grows with the whole fleet\n\n{lead}\n\n{markdown_table(head, [*body, rosters])}"


def slope_row(slope: Slope) -> tuple[str, ...]:
    """A slope, its law, and how that stood its check."""
    law, tried = check(slope.repeats)
    foretold, last = tried.predicted, max(slope.points, key=lambda p: p.size)
    unit = slope.unit
    said = f"{format_value(foretold.value, unit)} ({format_value(foretold.low, unit)} to {format_value(foretold.high, unit)})"
    ratio = f"{tried.measured / last.calibration:.3g}" if unit == "s" else ""
    return (
        f"`{slope.name}`",
        slope.what,
        slope.by,
        slope.form,
        law.law.name,
        f"{law.held_out:.1%}",
        f"{tried.size:,}",
        said,
        format_value(tried.measured, unit),
        "counts" if tried.holds else "**does not hold**",
        ratio,
        "**shared**" if is_shared(slope.others) else "alone",
        f"`{slope.command}`",
    )


def measure_row(found: Measure) -> tuple[str, ...]:
    """A measure."""
    values = [format_value(v, found.unit) for v in (found.value, found.low, found.high)]
    return (
        f"`{found.name}`",
        found.what,
        f"{values[0]} ({values[1]} to {values[2]})",
        str(found.repeats),
        found.form,
        "**shared**" if is_shared(found.others) else "alone",
        f"`{found.command}`",
    )


def measurement_section(results: Results) -> str:
    """All slopes and measures."""
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
    paces = [p.calibration for slope in results.slopes for p in slope.points] or [0.0]
    pace = f"{format_value(min(paces), 's')} to {format_value(max(paces), 's')}"
    return f"""## What was measured

Each slope is fitted up to a quarter of its largest size and foretells that. It counts if what was
measured there lies in the interval, and that is no wider than what is foretold. Fits go by the least of the
repeats, as disturbances only add; figures at a size above are medians. The calibration loop beside each
size took {pace} of processor time; "calibration loops" is the cost measured at the largest size
in such loops. A run is "shared" if others used over a tenth of the machine meanwhile. The machine had
{results.cores} cores. The command wants `--out FILE` too, and `--compiled FOLDER` for the compiled form.

![Slopes, their laws and the sizes foretold]({PICTURE})

{slopes}

{measures}"""


def render_page(results: Results) -> str:
    """The page's text."""
    book = Estimates(results)
    rows = role_costs.all_rows(book)
    times_part = [
        propagation_section(book, "change", role_costs.MAX_CHANGE_TIME),
        propagation_section(book, "purge", role_costs.MAX_PURGE_TIME),
    ]
    parts = [
        INTRO,
        over_budget_section(rows),
        role_section(rows),
        "## By the clock",
        *times_part,
        event_section(book),
        region_section(book),
        measurement_section(results),
    ]
    return "\n\n".join(parts) + "\n"
