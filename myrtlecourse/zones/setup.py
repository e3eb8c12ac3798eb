"""Builds a router's agent and its socket from the operators' file and the platform's configuration."""

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
from myrtlecourse.peers.gossip_socket import Endpoint, GossipSocket
from myrtlecourse.zones.agent import Agent, AgentSettings
from myrtlecourse.zones.tiers import Tiers

if TYPE_CHECKING:
    from myrtlecourse.operators import Fleet


def make_tiers(regions: Mapping[str, tuple[str, ...]], own_region: float, elsewhere: float) -> Tiers:
    """Return the tiers of preference."""
    return Tiers({name: frozenset(zones) for name, zones in regions.items()}, own_region, elsewhere)


def agent_settings(
    table: Fleet, config: Config
) -> tuple[AgentSettings, dict[str, Endpoint], Endpoint] | None:
    """Return a router's settings, the address of each router, and the address to listen on.

    Returns None where neither the platform nor the file enables gossip.

    Raises:
        ConfigError: a file that is named can't be used.
    """
    if table.peers:
        peers = {p.name: parse_address(p.at) for p in table.peers}
        name, zone = table.name or "", table.zone or ""
        bind = parse_address(table.listen) if table.listen is not None else peers[name]
    elif config.settings.peers and config.peer_listen is not None and config.peers:
        # The platform identifies routers only by their numbers in the settings.
        peers = {str(i): at for i, at in enumerate(config.peers)}
        name, zone, bind = str(config.router_number), config.settings.zone, config.peer_listen
    else:
        return None
    settings = AgentSettings(
        name,
        tuple(peers),
        zone,
        read_key(Path(table.key_file), "fleet.key_file"),
        table.spill,
        table.leave_origin,
        table.interval,
        table.bytes_a_second,
        tuple(read_key(Path(file), "fleet.also_key_files") for file in table.also_key_files),
        make_tiers(table.regions, table.own_region, table.elsewhere),
        table.paced,
        table.origin_rate,
    )
    return settings, peers, bind


def make_gossip_socket(
    table: Fleet, config: Config, clock: Callable[[], float], post: Callable[[api.Event], None]
) -> GossipSocket | None:
    """Return a router's gossip socket, or None where neither the platform nor the file enables gossip.

    Raises:
        ConfigError: a file that is named can't be used, or the settings are not valid.
    """
    if (configured := agent_settings(table, config)) is None:
        return None
    settings, peers, bind = configured
    try:
        agent = Agent(settings, clock(), time.time(), random.SystemRandom().getrandbits(32))
    except ValueError as e:
        raise ConfigError(f"fleet: {e}") from e
    return GossipSocket(agent, bind, peers, clock, post)
