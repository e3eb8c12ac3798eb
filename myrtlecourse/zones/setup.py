"""Makes a router's part in the fleet of what the operators' file and the platform say."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse import interface as api
from myrtlecourse.address.setup import read_key
from myrtlecourse.config import Config, ConfigError
from myrtlecourse.net.pool import address_of
from myrtlecourse.peers.speaker import Speaker
from myrtlecourse.zones.agent import Agent, Part

if TYPE_CHECKING:
    from myrtlecourse.operators import Fleet


def speaker(
    table: Fleet, config: Config, clock: Callable[[], float], post: Callable[[api.Event], None]
) -> Speaker | None:
    """A router's end, or None where neither the platform nor the file lets routers talk.

    Raises:
        ConfigError: a file that is named can't be used, or what is said can't be so.
    """
    if table.peers:
        peers = {p.name: address_of(p.at) for p in table.peers}
        name, zone = table.name or "", table.zone or ""
        bind = address_of(table.listen) if table.listen is not None else peers[name]
    elif config.settings.peers and config.peer_listen is not None and config.peers:
        # by their numbers in the settings: the platform names them no other way
        peers = {str(i): at for i, at in enumerate(config.peers)}
        name, zone, bind = str(config.me), config.settings.zone, config.peer_listen
    else:
        return None
    try:
        key = read_key(Path(table.key_file), "fleet.key_file")
        part = Part(
            name,
            tuple(peers),
            zone,
            key,
            table.spill,
            table.leave_origin,
            table.interval,
            table.bytes_a_second,
        )
        agent = Agent(part, clock(), time.time(), random.SystemRandom().getrandbits(32))
    except ValueError as e:
        raise ConfigError(str(e) if isinstance(e, ConfigError) else f"fleet: {e}") from e
    return Speaker(agent, bind, peers, clock, post)
