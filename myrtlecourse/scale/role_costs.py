"""What each role bears in the fleet to come, beside its budget: by the book, and by arithmetic."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.peers.gossip import CARRIED, GONE, MOST_MEMBERS, SUSPECT
from myrtlecourse.peers.seal import LONGEST
from myrtlecourse.scale.estimates import Estimate, Estimates, calculated

# What the fleet is to be in two years.
ROUTERS, SITES, REGIONS, ZONES, SERVERS, CONTROL_NODES = 16_000, 650, 43, 138, 6_700, 20
PEAK_REQUESTS, PEAK_BITS = 16e6, 120e12  # a second at the peak
PURGE_RATE, CHANGE_RATE = 100.0, 62_000 / 86_400  # a second
FAILURES_PER_DAY, RESTARTS_PER_DAY = 34, 4_200  # machines on an ordinary day
MAX_PURGE_TIME, MAX_CHANGE_TIME = 1.7, 4.0  # seconds until one is in force everywhere
CPU_BUDGET, MEMORY_BUDGET, BANDWIDTH_BUDGET = (
    0.046,
    64e6,
    27e3,
)  # for control at a router: of a core, bytes, bytes a second
# What follows.
MACHINES = ROUTERS + SERVERS
SERVERS_PER_REGION = round(SERVERS / REGIONS)  # cache servers that a region's routers need to know
ROUTERS_PER_SITE = round(ROUTERS / SITES)  # routers of a site
SITES_PER_REGION = SITES / REGIONS  # sites that a region's relay tells
ROUTER_BYTES_PER_S = PEAK_BITS / 8 / ROUTERS  # bytes a second through a router
RESTART_CHANGES = (
    2 * (FAILURES_PER_DAY + RESTARTS_PER_DAY) * SERVERS / MACHINES / 86_400
)  # list changes a second that restarts make
IN_USE, DISABLED, MISSING = "runs", "built, off", "missing"
SEALED_DATAGRAMS = 16_000  # at which seals are measured
ROUTER_ROLE = "router at a site"
# of budgets, where no figure has it
BUDGET_UNITS = {
    CPU_BUDGET: "core",
    MEMORY_BUDGET: "B",
    BANDWIDTH_BUDGET: "B/s",
    ROUTER_BYTES_PER_S: "B/s",
    DEADLINE_MARGIN: "s",
    MAX_CHANGE_TIME: "s",
    PEAK_REQUESTS / ROUTERS: "1/s",
}
SPREAD_ROLES = {
    "router": ROUTER_ROLE,
    "site_relay": "relay in a site",
    "region_relay": "relay in a region",
    "control": "control machine",
}
SPREAD_MODULE = "`spread/`"


@dataclass(frozen=True, slots=True)
class CostRow:
    """One thing that a role bears."""

    role: str
    item: str
    estimate: Estimate | None
    missing: str  # what to measure, where the figure is absent
    budget: float | None = None
    is_minimum: bool = False  # the budget is the least that is needed, not the most allowed
    module: str = ""
    state: str = IN_USE

    @property
    def budget_ratio(self) -> float | None:
        """How many times its budget it takes, or its need exceeds it; over 1 does not fit. None: unknown."""
        if self.estimate is None or not self.estimate.law_holds or self.budget is None:
            return None
        return self.budget / self.estimate.value if self.is_minimum else self.estimate.value / self.budget


def scaled(figure: Estimate | None, factor: float, formula: str, unit: str | None = None) -> Estimate | None:
    """A multiple of a figure that may be absent."""
    return figure.multiplied(factor, formula, unit) if figure is not None else None


def list_rows(book: Estimates, servers: int, whose: str) -> Iterator[CostRow]:
    """What a list of so many servers costs a router."""
    role, module = ROUTER_ROLE, "`net/discovery.py`, `policy/`"

    def row(
        what: str,
        slope: str,
        budget: float | None,
        factor: float = 1.0,
        formula: str = "{}",
        unit: str | None = None,
    ) -> CostRow:
        figure = scaled(book.at_size(slope, servers), factor, formula, unit)
        return CostRow(role, f"{what}, {whose}", figure, f"{slope} at {servers:,}", budget, module=module)

    yield row("memory for the list", "list.memory", MEMORY_BUDGET)
    yield row("longest stop of the loop: a first whole list", "list.stop", DEADLINE_MARGIN)
    yield row("longest stop of the loop: one change of the list", "list.change", DEADLINE_MARGIN)
    yield row(
        "list changes, if each change of configuration is one",
        *("list.change", CPU_BUDGET, CHANGE_RATE, f"{CHANGE_RATE:.3g}/s x {{}}", "core"),
    )
    restarts = (
        f"2 x ({FAILURES_PER_DAY} + {RESTARTS_PER_DAY:,}) x {SERVERS:,} / {MACHINES:,} / 86,400 s x {{}}"
    )
    yield row(
        "list changes by machines that fail or restart",
        "list.change",
        CPU_BUDGET,
        RESTART_CHANGES,
        restarts,
        "core",
    )
    yield row("bytes of a whole list, at each start", "list.bytes", None)
    whole = f"{{}} / {BANDWIDTH_BUDGET:,.0f} B/s"
    yield row(
        "time to bring a whole list within the bytes for control",
        "list.bytes",
        MAX_CHANGE_TIME,
        1 / BANDWIDTH_BUDGET,
        whole,
        "s",
    )
    each = PEAK_REQUESTS / ROUTERS
    yield row("deciding the peak's requests", "decision", None, each, f"{each:,.0f}/s x {{}}", "core")


def request_rows(book: Estimates) -> Iterator[CostRow]:
    """The way of requests and answers through one real router, on one core."""
    role, carrier, each = ROUTER_ROLE, "`net/`", PEAK_REQUESTS / ROUTERS
    asked = book.measure("router.router_requests")
    yield CostRow(
        role,
        "requests a second of one core, two servers listed",
        asked,
        "router.router_requests",
        each,
        True,
        carrier,
    )
    small, large = book.at_size("decision", 105), book.at_size("decision", SERVERS)
    slowed = None
    if asked and small and large:
        more = large.value - small.value  # seconds of each request
        slowed = Estimate(
            1 / (1 / asked.value + more),
            1 / (1 / asked.low + large.high - small.low),
            1 / (1 / asked.high + large.low - small.high),
            asked.unit,
            f"1 / (1 / {asked.source} + {large.source} - {small.source})",
            exclusive=asked.exclusive and large.exclusive and small.exclusive,
        )
    yield CostRow(
        role,
        f"the same, {SERVERS:,} servers listed",
        slowed,
        "router.router_requests, decision",
        each,
        True,
        carrier,
    )
    flow = book.measure("router.router_bytes")
    yield CostRow(
        role,
        "bytes passed on in a second of one core",
        flow,
        "router.router_bytes",
        ROUTER_BYTES_PER_S,
        True,
        carrier,
    )
    cores = (
        flow.inverted(f"{ROUTER_BYTES_PER_S:,.0f} B/s / {{}}", "core", lambda v: ROUTER_BYTES_PER_S / v)
        if flow
        else None
    )
    yield CostRow(role, "cores for the peak's bytes", cores, "router.router_bytes", None, False, carrier)


def roster_rows(book: Estimates) -> Iterator[CostRow]:
    """What other routers cost one."""
    role, carrier = ROUTER_ROLE, "`peers/gossip.py`"
    members = calculated(ROUTERS, "", "routers of the fleet")
    yield CostRow(
        role, "members of one roster, the whole fleet in it", members, "", MOST_MEMBERS, module=carrier
    )
    for count, slope, whose in (
        (ROUTERS_PER_SITE, "agent.region", "its site's, a region's zones"),
        (ROUTERS_PER_SITE, "agent.second", "its site's, all zones"),
        (MOST_MEMBERS, "agent.second", "the most it takes, all zones"),
        (ROUTERS, "agent.second", "the whole fleet's, all zones"),
    ):
        cost = scaled(book.at_size(slope, count), 1.0, "{}", "core")
        state = IN_USE if count <= MOST_MEMBERS else MISSING
        what = f"gossip and verdicts, a roster of {count:,} ({whose})"
        yield CostRow(role, what, cost, f"{slope} at {count:,}", CPU_BUDGET, False, carrier, state)
    for count in (ROUTERS_PER_SITE, MOST_MEMBERS):
        for kind, what, most in (
            ("share", "share known 20 s after all started at once", None),
            ("bytes", "gossip's bytes out in those 20 s", BANDWIDTH_BUDGET),
            ("datagrams", "gossip's datagrams out in those 20 s", None),
        ):
            name = f"known.{kind}_{count}"
            yield CostRow(
                ROUTER_ROLE, f"{what}, a roster of {count:,}", book.measure(name), name, most, module=carrier
            )


def relay_rows(book: Estimates) -> Iterator[CostRow]:
    """What purges and changes cost who passes them on, each as one sealed datagram of the longest."""
    opens, packs = (
        scaled(
            book.at_size(f"seal.{what}", SEALED_DATAGRAMS),
            1 / SEALED_DATAGRAMS,
            f"{{}} / {SEALED_DATAGRAMS:,}",
        )
        for what in ("open", "pack")
    )
    rate, said, state = PURGE_RATE + CHANGE_RATE, f"({PURGE_RATE:g}/s + {CHANGE_RATE:.3g}/s)", DISABLED
    for role, out, told in (
        (ROUTER_ROLE, 0.0, "0"),
        ("relay in a site", ROUTERS_PER_SITE - 1.0, f"({ROUTERS_PER_SITE} - 1)"),
        ("relay in a region", SITES_PER_REGION, f"{SITES} / {REGIONS}"),
        ("control machine", REGIONS / CONTROL_NODES, f"{REGIONS} / {CONTROL_NODES}"),
        ("control machine, without relays", ROUTERS / CONTROL_NODES, f"{ROUTERS:,} / {CONTROL_NODES}"),
    ):
        limited = not role.startswith("control")
        came, sent = calculated(rate, "1/s", said), calculated(rate * out, "1/s", f"{said} x {told}")
        yield CostRow(role, "messages in", came, "", None, False, SPREAD_MODULE, state)
        yield CostRow(role, "messages out", sent, "", None, False, SPREAD_MODULE, state)
        octets = calculated(rate * LONGEST * (1 + out), "B/s", f"{said} x {LONGEST} B x (1 + {told})")
        yield CostRow(
            role,
            "bytes in and out",
            octets,
            "",
            BANDWIDTH_BUDGET if limited else None,
            False,
            SPREAD_MODULE,
            state,
        )
        cost = scaled(opens, rate, f"{said} x {{}}", "core")
        if out:
            sealed = scaled(packs, rate * out, f"{said} x {told} x {{}}", "core")
            cost = cost.added(sealed) if cost and sealed else None
        most = CPU_BUDGET if limited else None
        yield CostRow(
            role, "opening and sealing them", cost, "seal.open, seal.pack", most, False, SPREAD_MODULE, state
        )


def spread_rows(book: Estimates) -> Iterator[CostRow]:
    """What carrying changes and purges was measured to cost, where it was."""
    state = DISABLED
    for name, role in SPREAD_ROLES.items():
        most = {"processor": CPU_BUDGET, "memory": MEMORY_BUDGET} if name != "control" else {}
        for what in ("messages_in", "messages_out", "processor", "memory"):
            full = f"spread.{name}.{what}"
            told = f"{what.replace('_', ' ')}, measured"
            yield CostRow(role, told, book.measure(full), full, most.get(what), False, SPREAD_MODULE, state)
        ways = [f"spread.{name}.bytes_{way}" for way in ("in", "out")]
        into, out = map(book.measure, ways)
        both = into.added(out) if into and out else None
        budget = BANDWIDTH_BUDGET if name != "control" else None
        yield CostRow(
            role, "bytes in and out, measured", both, ", ".join(ways), budget, False, SPREAD_MODULE, state
        )


def other_rows() -> Iterator[CostRow]:
    """The parts of cache servers and of the operator's tool."""
    server, tool = "cache server's part", "operator's tool"
    each = calculated(PEAK_REQUESTS / SERVERS, "1/s", f"{PEAK_REQUESTS:,.0f}/s / {SERVERS:,}")
    yield CostRow(server, "requests in, if all hit", each, "", None, False, "`net/servers.py`", IN_USE)
    kept = calculated(ROUTERS, "", f"one from each of {ROUTERS:,} routers")
    yield CostRow(
        server, "connections kept, the whole fleet's routers", kept, "", None, False, "`net/pool.py`", IN_USE
    )
    view = calculated(ROUTERS / REGIONS, "", f"{ROUTERS:,} / {REGIONS}")
    yield CostRow(
        server, "connections kept, a region's routers", view, "", None, False, "a region's view", MISSING
    )
    purged = calculated(PURGE_RATE, "1/s", "each purge is done at each server")
    yield CostRow(server, "purges in", purged, "", None, False, "purges at cache servers", MISSING)
    changed = calculated(CHANGE_RATE, "1/s", "62,000 / 86,400 s")
    yield CostRow(tool, "changes out", changed, "", None, False, "the tool that sends them", MISSING)
    answers = calculated(
        CHANGE_RATE * ROUTERS, "1/s", f"{CHANGE_RATE:.3g}/s x {ROUTERS:,}, if each router answers for itself"
    )
    yield CostRow(
        tool,
        "answers in that a change is in force",
        answers,
        "",
        None,
        False,
        "adding up on the way",
        MISSING,
    )
    asked = calculated(ROUTERS, "", "one call to each router")
    yield CostRow(
        tool,
        "calls for a look at the whole fleet",
        asked,
        "",
        None,
        False,
        "`myrtlecourse fleet-status`",
        IN_USE,
    )


def all_rows(book: Estimates) -> list[CostRow]:
    """All of them."""
    return [
        *list_rows(book, SERVERS, "the whole fleet's"),
        *list_rows(book, SERVERS_PER_REGION, "a region's"),
        *request_rows(book),
        *roster_rows(book),
        *relay_rows(book),
        *spread_rows(book),
        *other_rows(),
    ]


def time_until_forgotten(members: int) -> float:
    """Seconds of calm gossip until a member of which nothing comes is gone (`Gossip.state`, interval 1 s)."""
    turns = max(1.0, math.log2(members) / 2, members / CARRIED)
    return SUSPECT * turns * (1 + GONE)
