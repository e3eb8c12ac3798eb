"""What each role bears in the fleet to come, beside its budget: by the book, and by arithmetic."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.peers.gossip import GONE_FACTOR, MAX_MEMBERS, RECORDS_PER_DATAGRAM, SUSPECT_INTERVALS
from myrtlecourse.peers.seal import MAX_DATAGRAM
from myrtlecourse.scale.book import Book, Figure, plain

# What the fleet is to be in two years.
ROUTERS, SITES, REGIONS, ZONES, SERVERS, CONTROL = 16_000, 650, 43, 138, 6_700, 20
REQUESTS, BITS = 16e6, 120e12  # a second at the peak
PURGES, CHANGES = 100.0, 62_000 / 86_400  # a second
FAILED, RESTARTED = 34, 4_200  # machines on an ordinary day
PURGE_TIME, CHANGE_TIME = 1.7, 4.0  # seconds until one is in force everywhere
CORE, MEMORY, OCTETS = 0.046, 64e6, 27e3  # for control at a router: of a core, bytes, bytes a second
# What follows.
MACHINES = ROUTERS + SERVERS
VIEW = round(SERVERS / REGIONS)  # cache servers that a region's routers need to know
SITE = round(ROUTERS / SITES)  # routers of a site
CHILDREN = SITES / REGIONS  # sites that a region's relay tells
FLOW = BITS / 8 / ROUTERS  # bytes a second through a router
LISTED = 2 * (FAILED + RESTARTED) * SERVERS / MACHINES / 86_400  # list changes a second that restarts make
RUNS, OFF, MISSING = "runs", "built, off", "missing"
DATAGRAMS = 16_000  # at which seals are measured
ROUTER = "router at a site"
# of budgets, where no figure has it
UNITS = {
    CORE: "core",
    MEMORY: "B",
    OCTETS: "B/s",
    FLOW: "B/s",
    DEADLINE_MARGIN: "s",
    CHANGE_TIME: "s",
    REQUESTS / ROUTERS: "1/s",
}
RELAYS = {
    "router": ROUTER,
    "site_relay": "relay in a site",
    "region_relay": "relay in a region",
    "control": "control machine",
}
SPREAD = "`spread/`"


@dataclass(frozen=True, slots=True)
class Row:
    """One thing that a role bears."""

    role: str
    what: str
    figure: Figure | None
    named: str  # what to measure, where the figure is absent
    budget: float | None = None
    least: bool = False  # the budget is the least that is needed, not the most allowed
    carrier: str = ""
    state: str = RUNS

    @property
    def factor(self) -> float | None:
        """How many times its budget it takes, or its need exceeds it; over 1 does not fit. None: unknown."""
        if self.figure is None or not self.figure.holds or self.budget is None:
            return None
        return self.budget / self.figure.value if self.least else self.figure.value / self.budget


def per(figure: Figure | None, factor: float, formula: str, unit: str | None = None) -> Figure | None:
    """A multiple of a figure that may be absent."""
    return figure.times(factor, formula, unit) if figure is not None else None


def list_rows(book: Book, servers: int, whose: str) -> Iterator[Row]:
    """What a list of so many servers costs a router."""
    role, module = ROUTER, "`net/discovery.py`, `policy/`"

    def row(
        what: str,
        slope: str,
        budget: float | None,
        factor: float = 1.0,
        formula: str = "{}",
        unit: str | None = None,
    ) -> Row:
        figure = per(book.at(slope, servers), factor, formula, unit)
        return Row(role, f"{what}, {whose}", figure, f"{slope} at {servers:,}", budget, carrier=module)

    yield row("memory for the list", "list.memory", MEMORY)
    yield row("longest stop of the loop: a first whole list", "list.stop", DEADLINE_MARGIN)
    yield row("longest stop of the loop: one change of the list", "list.change", DEADLINE_MARGIN)
    yield row(
        "list changes, if each change of configuration is one",
        *("list.change", CORE, CHANGES, f"{CHANGES:.3g}/s x {{}}", "core"),
    )
    restarts = f"2 x ({FAILED} + {RESTARTED:,}) x {SERVERS:,} / {MACHINES:,} / 86,400 s x {{}}"
    yield row("list changes by machines that fail or restart", "list.change", CORE, LISTED, restarts, "core")
    yield row("bytes of a whole list, at each start", "list.bytes", None)
    whole = f"{{}} / {OCTETS:,.0f} B/s"
    yield row(
        "time to bring a whole list within the bytes for control",
        "list.bytes",
        CHANGE_TIME,
        1 / OCTETS,
        whole,
        "s",
    )
    each = REQUESTS / ROUTERS
    yield row("deciding the peak's requests", "decision", None, each, f"{each:,.0f}/s x {{}}", "core")


def request_rows(book: Book) -> Iterator[Row]:
    """The way of requests and answers through one real router, on one core."""
    role, carrier, each = ROUTER, "`net/`", REQUESTS / ROUTERS
    asked = book.of("router.router_requests")
    yield Row(
        role,
        "requests a second of one core, two servers listed",
        asked,
        "router.router_requests",
        each,
        True,
        carrier,
    )
    small, large = book.at("decision", 105), book.at("decision", SERVERS)
    slowed = None
    if asked and small and large:
        more = large.value - small.value  # seconds of each request
        slowed = Figure(
            1 / (1 / asked.value + more),
            1 / (1 / asked.low + large.high - small.low),
            1 / (1 / asked.high + large.low - small.high),
            asked.unit,
            f"1 / (1 / {asked.source} + {large.source} - {small.source})",
            alone=asked.alone and large.alone and small.alone,
        )
    yield Row(
        role,
        f"the same, {SERVERS:,} servers listed",
        slowed,
        "router.router_requests, decision",
        each,
        True,
        carrier,
    )
    flow = book.of("router.router_bytes")
    yield Row(
        role, "bytes passed on in a second of one core", flow, "router.router_bytes", FLOW, True, carrier
    )
    cores = flow.under(f"{FLOW:,.0f} B/s / {{}}", "core", lambda v: FLOW / v) if flow else None
    yield Row(role, "cores for the peak's bytes", cores, "router.router_bytes", None, False, carrier)


def roster_rows(book: Book) -> Iterator[Row]:
    """What other routers cost one."""
    role, carrier = ROUTER, "`peers/gossip.py`"
    members = plain(ROUTERS, "", "routers of the fleet")
    yield Row(role, "members of one roster, the whole fleet in it", members, "", MAX_MEMBERS, carrier=carrier)
    for count, slope, whose in (
        (SITE, "agent.region", "its site's, a region's zones"),
        (SITE, "agent.second", "its site's, all zones"),
        (MAX_MEMBERS, "agent.second", "the most it takes, all zones"),
        (ROUTERS, "agent.second", "the whole fleet's, all zones"),
    ):
        cost = per(book.at(slope, count), 1.0, "{}", "core")
        state = RUNS if count <= MAX_MEMBERS else MISSING
        what = f"gossip and verdicts, a roster of {count:,} ({whose})"
        yield Row(role, what, cost, f"{slope} at {count:,}", CORE, False, carrier, state)
    for count in (SITE, MAX_MEMBERS):
        for kind, what, most in (
            ("share", "share known 20 s after all started at once", None),
            ("bytes", "gossip's bytes out in those 20 s", OCTETS),
            ("datagrams", "gossip's datagrams out in those 20 s", None),
        ):
            name = f"known.{kind}_{count}"
            yield Row(ROUTER, f"{what}, a roster of {count:,}", book.of(name), name, most, carrier=carrier)


def relay_rows(book: Book) -> Iterator[Row]:
    """What purges and changes cost who passes them on, each as one sealed datagram of the longest."""
    opens, packs = (
        per(book.at(f"seal.{what}", DATAGRAMS), 1 / DATAGRAMS, f"{{}} / {DATAGRAMS:,}")
        for what in ("open", "pack")
    )
    rate, said, state = PURGES + CHANGES, f"({PURGES:g}/s + {CHANGES:.3g}/s)", OFF
    for role, out, told in (
        (ROUTER, 0.0, "0"),
        ("relay in a site", SITE - 1.0, f"({SITE} - 1)"),
        ("relay in a region", CHILDREN, f"{SITES} / {REGIONS}"),
        ("control machine", REGIONS / CONTROL, f"{REGIONS} / {CONTROL}"),
        ("control machine, without relays", ROUTERS / CONTROL, f"{ROUTERS:,} / {CONTROL}"),
    ):
        limited = not role.startswith("control")
        came, sent = plain(rate, "1/s", said), plain(rate * out, "1/s", f"{said} x {told}")
        yield Row(role, "messages in", came, "", None, False, SPREAD, state)
        yield Row(role, "messages out", sent, "", None, False, SPREAD, state)
        octets = plain(rate * MAX_DATAGRAM * (1 + out), "B/s", f"{said} x {MAX_DATAGRAM} B x (1 + {told})")
        yield Row(role, "bytes in and out", octets, "", OCTETS if limited else None, False, SPREAD, state)
        cost = per(opens, rate, f"{said} x {{}}", "core")
        if out:
            sealed = per(packs, rate * out, f"{said} x {told} x {{}}", "core")
            cost = cost.plus(sealed) if cost and sealed else None
        most = CORE if limited else None
        yield Row(role, "opening and sealing them", cost, "seal.open, seal.pack", most, False, SPREAD, state)


def spread_rows(book: Book) -> Iterator[Row]:
    """What carrying changes and purges was measured to cost, where it was."""
    state = OFF
    for name, role in RELAYS.items():
        most = {"processor": CORE, "memory": MEMORY} if name != "control" else {}
        for what in ("messages_in", "messages_out", "processor", "memory"):
            full = f"spread.{name}.{what}"
            told = f"{what.replace('_', ' ')}, measured"
            yield Row(role, told, book.of(full), full, most.get(what), False, SPREAD, state)
        ways = [f"spread.{name}.bytes_{way}" for way in ("in", "out")]
        into, out = map(book.of, ways)
        both = into.plus(out) if into and out else None
        budget = OCTETS if name != "control" else None
        yield Row(role, "bytes in and out, measured", both, ", ".join(ways), budget, False, SPREAD, state)


def other_rows() -> Iterator[Row]:
    """The parts of cache servers and of the operator's tool."""
    server, tool = "cache server's part", "operator's tool"
    each = plain(REQUESTS / SERVERS, "1/s", f"{REQUESTS:,.0f}/s / {SERVERS:,}")
    yield Row(server, "requests in, if all hit", each, "", None, False, "`net/servers.py`", RUNS)
    kept = plain(ROUTERS, "", f"one from each of {ROUTERS:,} routers")
    yield Row(
        server, "connections kept, the whole fleet's routers", kept, "", None, False, "`net/pool.py`", RUNS
    )
    view = plain(ROUTERS / REGIONS, "", f"{ROUTERS:,} / {REGIONS}")
    yield Row(
        server, "connections kept, a region's routers", view, "", None, False, "a region's view", MISSING
    )
    purged = plain(PURGES, "1/s", "each purge is done at each server")
    yield Row(server, "purges in", purged, "", None, False, "purges at cache servers", MISSING)
    changed = plain(CHANGES, "1/s", "62,000 / 86,400 s")
    yield Row(tool, "changes out", changed, "", None, False, "the tool that sends them", MISSING)
    answers = plain(
        CHANGES * ROUTERS, "1/s", f"{CHANGES:.3g}/s x {ROUTERS:,}, if each router answers for itself"
    )
    yield Row(
        tool,
        "answers in that a change is in force",
        answers,
        "",
        None,
        False,
        "adding up on the way",
        MISSING,
    )
    asked = plain(ROUTERS, "", "one call to each router")
    yield Row(
        tool,
        "calls for a look at the whole fleet",
        asked,
        "",
        None,
        False,
        "`myrtlecourse fleet-status`",
        RUNS,
    )


def rows(book: Book) -> list[Row]:
    """All of them."""
    return [
        *list_rows(book, SERVERS, "the whole fleet's"),
        *list_rows(book, VIEW, "a region's"),
        *request_rows(book),
        *roster_rows(book),
        *relay_rows(book),
        *spread_rows(book),
        *other_rows(),
    ]


def forgotten_after(members: int) -> float:
    """Seconds of calm gossip until a member of which nothing comes is gone (`Gossip.state`, interval 1 s)."""
    turns = max(1.0, math.log2(members) / 2, members / RECORDS_PER_DATAGRAM)
    return SUSPECT_INTERVALS * turns * (1 + GONE_FACTOR)
