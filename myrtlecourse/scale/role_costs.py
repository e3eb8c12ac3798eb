"""The costs of each role in the planned fleet and their budgets: measured, predicted or computed."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.peers.gossip import GONE_FACTOR, MAX_MEMBERS, RECORDS_PER_DATAGRAM, SUSPECT_INTERVALS
from myrtlecourse.peers.seal import MAX_DATAGRAM
from myrtlecourse.scale.estimates import Estimate, Estimates, calculated

# The fleet that is planned for in two years.
ROUTERS, SITES, REGIONS, ZONES, SERVERS, CONTROL_NODES = 16_000, 650, 43, 138, 6_700, 20
PEAK_REQUESTS, PEAK_BITS = 16e6, 120e12  # per second at the peak
PURGE_RATE, CHANGE_RATE = 100.0, 62_000 / 86_400  # per second
FAILURES_PER_DAY, RESTARTS_PER_DAY = 34, 4_200  # machines on an ordinary day
MAX_PURGE_TIME, MAX_CHANGE_TIME = 1.7, 4.0  # seconds until a purge or change must be in force everywhere
# budgets for control at a router: share of a core, bytes, bytes per second
CPU_BUDGET, MEMORY_BUDGET, BANDWIDTH_BUDGET = 0.046, 64e6, 27e3
# Derived from the constants above.
MACHINES = ROUTERS + SERVERS
SERVERS_PER_REGION = round(SERVERS / REGIONS)  # cache servers that the routers of a region need to know
ROUTERS_PER_SITE = round(ROUTERS / SITES)  # routers of a site
SITES_PER_REGION = SITES / REGIONS  # sites to which a region's relay sends
ROUTER_BYTES_PER_S = PEAK_BITS / 8 / ROUTERS  # bytes per second through a router
# list changes per second caused by failures and restarts
RESTART_CHANGES = 2 * (FAILURES_PER_DAY + RESTARTS_PER_DAY) * SERVERS / MACHINES / 86_400
IN_USE, DISABLED, MISSING = "runs", "built, off", "missing"
SEALED_DATAGRAMS = 16_000  # the size at which the sealing costs are measured
ROUTER_ROLE = "router at a site"
# the unit of each budget, for rows without an estimate
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
    """One cost of a role."""

    role: str
    item: str
    estimate: Estimate | None
    missing: str  # what has to be measured if the estimate is missing
    budget: float | None = None
    is_minimum: bool = False  # the budget is a required minimum instead of an allowed maximum
    module: str = ""
    state: str = IN_USE

    @property
    def budget_ratio(self) -> float | None:
        """The ratio of cost to budget, or of required to available rate; over 1 does not fit. None:
        unknown."""
        if self.estimate is None or not self.estimate.law_holds or self.budget is None:
            return None
        return self.budget / self.estimate.value if self.is_minimum else self.estimate.value / self.budget


def scaled(
    estimate: Estimate | None, factor: float, formula: str, unit: str | None = None
) -> Estimate | None:
    """Return a multiple of an estimate, or None if there is no estimate."""
    return estimate.multiplied(factor, formula, unit) if estimate is not None else None


def list_rows(estimates: Estimates, servers: int, scope: str) -> Iterator[CostRow]:
    """Yield the costs of a server list of some length at a router."""
    role, module = ROUTER_ROLE, "`net/discovery.py`, `policy/`"

    def row(
        item: str,
        slope: str,
        budget: float | None,
        factor: float = 1.0,
        formula: str = "{}",
        unit: str | None = None,
    ) -> CostRow:
        estimate = scaled(estimates.at_size(slope, servers), factor, formula, unit)
        return CostRow(role, f"{item}, {scope}", estimate, f"{slope} at {servers:,}", budget, module=module)

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
    formula_text = f"{{}} / {BANDWIDTH_BUDGET:,.0f} B/s"
    yield row(
        "time to bring a whole list within the bytes for control",
        "list.bytes",
        MAX_CHANGE_TIME,
        1 / BANDWIDTH_BUDGET,
        formula_text,
        "s",
    )
    rate = PEAK_REQUESTS / ROUTERS
    yield row("deciding the peak's requests", "decision", None, rate, f"{rate:,.0f}/s x {{}}", "core")


def request_rows(estimates: Estimates) -> Iterator[CostRow]:
    """Yield the costs of requests and answers in one real router on one core."""
    role, module, rate = ROUTER_ROLE, "`net/`", PEAK_REQUESTS / ROUTERS
    requests = estimates.measure("router.router_requests")
    yield CostRow(
        role,
        "requests a second of one core, two servers listed",
        requests,
        "router.router_requests",
        rate,
        True,
        module,
    )
    small, large = estimates.at_size("decision", 105), estimates.at_size("decision", SERVERS)
    with_long_list = None
    if requests and small and large:
        extra = large.value - small.value  # seconds that a longer list adds to each request
        with_long_list = Estimate(
            1 / (1 / requests.value + extra),
            1 / (1 / requests.low + large.high - small.low),
            1 / (1 / requests.high + large.low - small.high),
            requests.unit,
            f"1 / (1 / {requests.source} + {large.source} - {small.source})",
            exclusive=requests.exclusive and large.exclusive and small.exclusive,
        )
    yield CostRow(
        role,
        f"the same, {SERVERS:,} servers listed",
        with_long_list,
        "router.router_requests, decision",
        rate,
        True,
        module,
    )
    throughput = estimates.measure("router.router_bytes")
    yield CostRow(
        role,
        "bytes passed on in a second of one core",
        throughput,
        "router.router_bytes",
        ROUTER_BYTES_PER_S,
        True,
        module,
    )
    cores = (
        throughput.inverted(f"{ROUTER_BYTES_PER_S:,.0f} B/s / {{}}", "core", lambda v: ROUTER_BYTES_PER_S / v)
        if throughput
        else None
    )
    yield CostRow(role, "cores for the peak's bytes", cores, "router.router_bytes", None, False, module)


def roster_rows(estimates: Estimates) -> Iterator[CostRow]:
    """Yield what other routers cost a router."""
    role, module = ROUTER_ROLE, "`peers/gossip.py`"
    members = calculated(ROUTERS, "", "routers of the fleet")
    yield CostRow(
        role, "members of one roster, the whole fleet in it", members, "", MAX_MEMBERS, module=module
    )
    for count, slope, scope in (
        (ROUTERS_PER_SITE, "agent.region", "its site's, a region's zones"),
        (ROUTERS_PER_SITE, "agent.second", "its site's, all zones"),
        (MAX_MEMBERS, "agent.second", "the most it takes, all zones"),
        (ROUTERS, "agent.second", "the whole fleet's, all zones"),
    ):
        cost = scaled(estimates.at_size(slope, count), 1.0, "{}", "core")
        state = IN_USE if count <= MAX_MEMBERS else MISSING
        what = f"gossip and verdicts, a roster of {count:,} ({scope})"
        yield CostRow(role, what, cost, f"{slope} at {count:,}", CPU_BUDGET, False, module, state)
    for count in (ROUTERS_PER_SITE, MAX_MEMBERS):
        for kind, what, budget in (
            ("share", "share known 20 s after all started at once", None),
            ("bytes", "gossip's bytes out in those 20 s", BANDWIDTH_BUDGET),
            ("datagrams", "gossip's datagrams out in those 20 s", None),
        ):
            name = f"known.{kind}_{count}"
            yield CostRow(
                ROUTER_ROLE,
                f"{what}, a roster of {count:,}",
                estimates.measure(name),
                name,
                budget,
                module=module,
            )


def relay_rows(estimates: Estimates) -> Iterator[CostRow]:
    """Yield the costs of forwarding purges and changes, each as one sealed datagram of maximum length."""
    open_cost, pack_cost = (
        scaled(
            estimates.at_size(f"seal.{what}", SEALED_DATAGRAMS),
            1 / SEALED_DATAGRAMS,
            f"{{}} / {SEALED_DATAGRAMS:,}",
        )
        for what in ("open", "pack")
    )
    rate, rate_text, state = PURGE_RATE + CHANGE_RATE, f"({PURGE_RATE:g}/s + {CHANGE_RATE:.3g}/s)", DISABLED
    for role, fan_out, fan_out_text in (
        (ROUTER_ROLE, 0.0, "0"),
        ("relay in a site", ROUTERS_PER_SITE - 1.0, f"({ROUTERS_PER_SITE} - 1)"),
        ("relay in a region", SITES_PER_REGION, f"{SITES} / {REGIONS}"),
        ("control machine", REGIONS / CONTROL_NODES, f"{REGIONS} / {CONTROL_NODES}"),
        ("control machine, without relays", ROUTERS / CONTROL_NODES, f"{ROUTERS:,} / {CONTROL_NODES}"),
    ):
        limited = not role.startswith("control")
        received, sent = (
            calculated(rate, "1/s", rate_text),
            calculated(rate * fan_out, "1/s", f"{rate_text} x {fan_out_text}"),
        )
        yield CostRow(role, "messages in", received, "", None, False, SPREAD_MODULE, state)
        yield CostRow(role, "messages out", sent, "", None, False, SPREAD_MODULE, state)
        bandwidth = calculated(
            rate * MAX_DATAGRAM * (1 + fan_out),
            "B/s",
            f"{rate_text} x {MAX_DATAGRAM} B x (1 + {fan_out_text})",
        )
        yield CostRow(
            role,
            "bytes in and out",
            bandwidth,
            "",
            BANDWIDTH_BUDGET if limited else None,
            False,
            SPREAD_MODULE,
            state,
        )
        cost = scaled(open_cost, rate, f"{rate_text} x {{}}", "core")
        if fan_out:
            sealed = scaled(pack_cost, rate * fan_out, f"{rate_text} x {fan_out_text} x {{}}", "core")
            cost = cost.added(sealed) if cost and sealed else None
        budget = CPU_BUDGET if limited else None
        yield CostRow(
            role,
            "opening and sealing them",
            cost,
            "seal.open, seal.pack",
            budget,
            False,
            SPREAD_MODULE,
            state,
        )


def spread_rows(estimates: Estimates) -> Iterator[CostRow]:
    """Yield the measured costs of distributing changes and purges, as far as there are any."""
    state = DISABLED
    for name, role in SPREAD_ROLES.items():
        budgets = {"processor": CPU_BUDGET, "memory": MEMORY_BUDGET} if name != "control" else {}
        for kind in ("messages_in", "messages_out", "processor", "memory"):
            measure_name = f"spread.{name}.{kind}"
            item = f"{kind.replace('_', ' ')}, measured"
            yield CostRow(
                role,
                item,
                estimates.measure(measure_name),
                measure_name,
                budgets.get(kind),
                False,
                SPREAD_MODULE,
                state,
            )
        names = [f"spread.{name}.bytes_{direction}" for direction in ("in", "out")]
        received, sent = map(estimates.measure, names)
        total = received.added(sent) if received and sent else None
        budget = BANDWIDTH_BUDGET if name != "control" else None
        yield CostRow(
            role, "bytes in and out, measured", total, ", ".join(names), budget, False, SPREAD_MODULE, state
        )


def other_rows() -> Iterator[CostRow]:
    """Yield the costs of cache servers' parts and of the operator's tool."""
    server, tool = "cache server's part", "operator's tool"
    requests = calculated(PEAK_REQUESTS / SERVERS, "1/s", f"{PEAK_REQUESTS:,.0f}/s / {SERVERS:,}")
    yield CostRow(server, "requests in, if all hit", requests, "", None, False, "`net/servers.py`", IN_USE)
    connections = calculated(ROUTERS, "", f"one from each of {ROUTERS:,} routers")
    yield CostRow(
        server,
        "connections kept, the whole fleet's routers",
        connections,
        "",
        None,
        False,
        "`net/pool.py`",
        IN_USE,
    )
    region_connections = calculated(ROUTERS / REGIONS, "", f"{ROUTERS:,} / {REGIONS}")
    yield CostRow(
        server,
        "connections kept, a region's routers",
        region_connections,
        "",
        None,
        False,
        "a region's view",
        MISSING,
    )
    purges = calculated(PURGE_RATE, "1/s", "each purge is done at each server")
    yield CostRow(server, "purges in", purges, "", None, False, "purges at cache servers", MISSING)
    changes = calculated(CHANGE_RATE, "1/s", "62,000 / 86,400 s")
    yield CostRow(tool, "changes out", changes, "", None, False, "the tool that sends them", MISSING)
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
    calls = calculated(ROUTERS, "", "one call to each router")
    yield CostRow(
        tool,
        "calls for a look at the whole fleet",
        calls,
        "",
        None,
        False,
        "`myrtlecourse fleet-status`",
        IN_USE,
    )


def all_rows(estimates: Estimates) -> list[CostRow]:
    """Return the costs of all roles."""
    return [
        *list_rows(estimates, SERVERS, "the whole fleet's"),
        *list_rows(estimates, SERVERS_PER_REGION, "a region's"),
        *request_rows(estimates),
        *roster_rows(estimates),
        *relay_rows(estimates),
        *spread_rows(estimates),
        *other_rows(),
    ]


def time_until_forgotten(members: int) -> float:
    """Return the seconds until a member that sends nothing is removed.

    Repeats the arithmetic of `Gossip.state`, for calm gossip at an interval of 1 s.
    """
    cycles = max(1.0, math.log2(members) / 2, members / RECORDS_PER_DATAGRAM)
    return SUSPECT_INTERVALS * cycles * (1 + GONE_FACTOR)
