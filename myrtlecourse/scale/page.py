"""docs/CAPACITY.md from the results: the same results give the same page, and no figure of it is typed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import groupby

from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.scale import role_costs
from myrtlecourse.scale.calibration import shared
from myrtlecourse.scale.capacity_results import Measure, Results, Slope
from myrtlecourse.scale.estimates import Book, Figure, spelled
from myrtlecourse.scale.fit import check
from myrtlecourse.scale.role_costs import CHANGES, REGIONS, ROUTERS, SERVERS, SITE, VIEW, Row

NONE = "not measured"
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
{spelled(DEADLINE_MARGIN, "s")} by which routers answer before their clients' deadlines."""


def table(head: Sequence[str], body: Iterable[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [head, ["---"] * len(head), *body]
    return "\n".join(f"| {' | '.join(cell.replace('|', '/') for cell in line)} |" for line in lines)


def cell(figure: Figure | None) -> str:
    """A figure, or that there is none."""
    return NONE if figure is None else str(figure)


def times(factor: float | None) -> str:
    """How many times the budget."""
    return "" if factor is None else f"{factor:.2g}" if factor < 100 else f"{factor:,.0f}"


def budget(row: Row) -> str:
    """What a row may cost, or has to reach."""
    if row.budget is None:
        return "none given"
    unit = row.figure.unit if row.figure else role_costs.UNITS[row.budget]
    return ("at least " if row.least else "") + spelled(row.budget, unit)


def source(row: Row) -> str:
    """Where a row's figure is from, or the name under which it is missed."""
    return row.figure.origin if row.figure else f"`{row.named}`"


def misfits(rows: list[Row]) -> str:
    """What is over its budget, the worst first."""
    over = [r for r in rows if (r.factor or 0.0) > 1.0]
    over.sort(key=lambda r: -(r.factor or 0.0))
    body = [(r.role, r.what, cell(r.figure), budget(r), times(r.factor), source(r), r.state) for r in over]
    head = ("role", "what", "at the size to come", "budget", "times its budget", "from", "state")
    absent = sum(r.figure is None for r in rows)
    unsure = sum(r.figure is not None and not r.figure.holds for r in rows)
    text = (
        f"{len(over)} of {len(rows)} rows are over their budget; {absent} are {NONE}, "
        f"and {unsure} not foretold, as the law does not hold."
    )
    return (
        f"## What does not fit\n\n{text}\n\n{table(head, body)}"
        if over
        else f"## What does not fit\n\n{text}"
    )


def by_role(rows: list[Row]) -> str:
    """A table for each role."""
    head = ("what", "at the size to come", "budget", "times its budget", "from", "carried by", "state")
    parts = ["## By role"]
    for role, mine in groupby(sorted(rows, key=lambda r: r.role), key=lambda r: r.role):
        body = [
            (r.what, cell(r.figure), budget(r), times(r.factor), source(r), r.carrier, r.state) for r in mine
        ]
        parts.append(f"### {role.capitalize()}\n\n{table(head, body)}")
    return "\n\n".join(parts)


def clock(book: Book, kind: str, limit: float) -> str:
    """A change or a purge, hop by hop, by the clock."""
    body = [[what, *(cell(book.of(f"{kind}.{hop}.{case}")) for case, _ in CASES)] for hop, what in HOPS]
    head = ("hop", *(what for _, what in CASES))
    hops, cases = ("`, `".join(name for name, _ in part) for part in (HOPS, CASES))
    missed = f"Measures named `{kind}.HOP.CASE` (`{hops}`; `{cases}`)."
    force = ""
    if kind == "change":
        turns = [f"{cell(book.at('list.change', n))} with {n:,} servers listed" for n in (SERVERS, VIEW)]
        least = "(`list.change`, processor time: the least that the clock shows)"
        force = f" Taken at a router: {', '.join(turns)} {least}."
    return f"### A {kind}, everywhere within {limit:g} s\n\n{table(head, body)}\n\n{missed}{force}"


def events(book: Book) -> str:
    """The ordinary year: what each event sets off, and what it costs the others."""
    change, stop, octets = (book.at(f"list.{w}", SERVERS) for w in ("change", "stop", "bytes"))
    after = spelled(role_costs.forgotten_after(SITE), "s")

    def cost(figure: Figure | None, factor: float, formula: str, unit: str | None = None) -> str:
        found = role_costs.per(figure, factor, formula, unit)
        return f"{found} ({found.origin})" if found else NONE

    def days(share: int, of: int = 1) -> str:
        return f"{of * share / role_costs.MACHINES:,.0f} a day ({of:,} x {share:,} / {role_costs.MACHINES:,})"

    place, zone = role_costs.MACHINES / role_costs.SITES, SERVERS / role_costs.ZONES
    apart = CHANGES * 3600
    told = book.of("change.whole.plain")
    # no reader may take the spread's time for that of lists, which discovery brings
    heard = f"{cell(told)} (`change.whole.plain`, were it carried by `spread/`, which it is not)"
    each = "one change of the list at every router"
    body = [
        (
            "a cache server fails",
            days(SERVERS, role_costs.FAILED),
            each,
            heard,
            cost(change, ROUTERS, f"{ROUTERS:,} x {{}}") + " of the fleet's processors",
        ),
        (
            "a router fails",
            days(ROUTERS, role_costs.FAILED),
            "its site's roster forgets it",
            f"{after} (`Gossip.state` with {SITE} members, arithmetic)",
            "nothing: no list names routers",
        ),
        (
            "a cache server restarts",
            days(SERVERS, role_costs.RESTARTED),
            "two changes of the list at every router",
            heard,
            cost(change, 2, "2 x {}") + " of each router's loop",
        ),
        (
            "a router restarts",
            days(ROUTERS, role_costs.RESTARTED),
            "it asks for the whole list",
            cost(stop, 1, "{}") + " of its own processor",
            cost(
                octets,
                role_costs.RESTARTED * ROUTERS / role_costs.MACHINES,
                f"{role_costs.RESTARTED:,} x {ROUTERS:,} / {role_costs.MACHINES:,} x {{}}",
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
    return f"## The ordinary year\n\n{table(head, body)}"


def views(book: Book) -> str:
    """What grows with the whole fleet at each router, beside a region's view."""
    slopes = [s for s in book.slopes.values() if s.by == "servers in the list"]
    body = [
        (s.what, cell(book.at(s.name, SERVERS)), cell(book.at(s.name, VIEW)), f"`{s.name}`") for s in slopes
    ]
    rosters = (
        f"gossip and verdicts for a second: a roster of {ROUTERS:,} and all zones, of {SITE} and a region's",
        cell(book.at("agent.second", ROUTERS)),
        cell(book.at("agent.region", SITE)),
        "`agent.second`, `agent.region`",
    )
    lead = f"""These grow with the whole fleet at each router. A region's view holds {VIEW} cache servers
({SERVERS:,} / {REGIONS}) and the {SITE} routers of the own site. Routing takes such a list as it
stands; what is missing is who gives each region its part."""
    head = ("what", f"whole fleet: {SERVERS:,}", f"region's view: {VIEW}", "from")
    return f"## What grows with the whole fleet\n\n{lead}\n\n{table(head, [*body, rosters])}"


def slope_line(slope: Slope) -> tuple[str, ...]:
    """A slope, its law, and how that stood its check."""
    law, tried = check(slope.repeats)
    foretold, last = tried.foretold, max(slope.points, key=lambda p: p.size)
    unit = slope.unit
    said = (
        f"{spelled(foretold.value, unit)} ({spelled(foretold.low, unit)} to {spelled(foretold.high, unit)})"
    )
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
        spelled(tried.measured, unit),
        "counts" if tried.counts else "**does not hold**",
        ratio,
        "**shared**" if shared(slope.others) else "alone",
        f"`{slope.command}`",
    )


def measure_line(found: Measure) -> tuple[str, ...]:
    """A measure."""
    values = [spelled(v, found.unit) for v in (found.value, found.low, found.high)]
    return (
        f"`{found.name}`",
        found.what,
        f"{values[0]} ({values[1]} to {values[2]})",
        str(found.repeats),
        found.form,
        "**shared**" if shared(found.others) else "alone",
        f"`{found.command}`",
    )


def measured(results: Results) -> str:
    """All slopes and measures."""
    slopes = table(
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
        map(slope_line, results.slopes),
    )
    measures = table(
        ("measure", "what", "value", "repeats", "form", "machine", "command"),
        map(measure_line, results.measures),
    )
    paces = [p.calibration for slope in results.slopes for p in slope.points] or [0.0]
    pace = f"{spelled(min(paces), 's')} to {spelled(max(paces), 's')}"
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


def page(results: Results) -> str:
    """The page's text."""
    book = Book(results)
    rows = role_costs.rows(book)
    times_part = [clock(book, "change", role_costs.CHANGE_TIME), clock(book, "purge", role_costs.PURGE_TIME)]
    parts = [
        INTRO,
        misfits(rows),
        by_role(rows),
        "## By the clock",
        *times_part,
        events(book),
        views(book),
        measured(results),
    ]
    return "\n\n".join(parts) + "\n"
