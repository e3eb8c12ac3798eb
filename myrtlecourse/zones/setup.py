"""Makes a router's part in the fleet of what the operators' file and the platform say."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse import interface as api
from myrtlecourse.address.setup import read_key
from myrtlecourse.config import Config, ConfigError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.peers.speaker import Endpoint, Speaker
from myrtlecourse.zones.agent import Agent, Part
from myrtlecourse.zones.tiers import Tiers

if TYPE_CHECKING:
    from myrtlecourse.operators import Fleet


def tiers_of(regions: Mapping[str, tuple[str, ...]], own_region: float, elsewhere: float) -> Tiers:
    """The tiers of preference."""
    return Tiers({name: frozenset(zones) for name, zones in regions.items()}, own_region, elsewhere)


def part(table: Fleet, config: Config) -> tuple[Part, dict[str, Endpoint], Endpoint] | None:
    """A router's part, where each router is heard, and where it listens; None where neither the platform nor
    the file lets routers talk.

    Raises:
        ConfigError: a file that is named can't be used.
    """
    if table.peers:
        peers = {p.name: parse_address(p.at) for p in table.peers}
        name, zone = table.name or "", table.zone or ""
        bind = parse_address(table.listen) if table.listen is not None else peers[name]
    elif config.settings.peers and config.peer_listen is not None and config.peers:
        # by their numbers in the settings: the platform names them no other way
        peers = {str(i): at for i, at in enumerate(config.peers)}
        name, zone, bind = str(config.me), config.settings.zone, config.peer_listen
    else:
        return None
    taken = Part(
        name,
        tuple(peers),
        zone,
        read_key(Path(table.key_file), "fleet.key_file"),
        table.spill,
        table.leave_origin,
        table.interval,
        table.bytes_a_second,
        tuple(read_key(Path(file), "fleet.also_key_files") for file in table.also_key_files),
        tiers_of(table.regions, table.own_region, table.elsewhere),
        table.paced,
        table.origin_rate,
    )
    return taken, peers, bind


def speaker(
    table: Fleet, config: Config, clock: Callable[[], float], post: Callable[[api.Event], None]
) -> Speaker | None:
    """A router's end, or None where neither the platform nor the file lets routers talk.

    Raises:
        ConfigError: a file that is named can't be used, or what is said can't be so.
    """
    if (told := part(table, config)) is None:
        return None
    taken, peers, bind = told
    try:
        agent = Agent(taken, clock(), time.time(), random.SystemRandom().getrandbits(32))
    except ValueError as e:
        raise ConfigError(f"fleet: {e}") from e
    return Speaker(agent, bind, peers, clock, post)
