"""The numbers (ids) of requests to voters, shared by all elections of one process; no I/O."""

from __future__ import annotations

import math
import random


class RequestIds:
    """Numbers the requests of this process: for votes, for pre-votes, and for renewed promises.

    Requests sent at the same moment share a number, so that one answer can serve several duties. Numbering
    starts at a random value, so that an answer to a request from before a restart is not accepted.
    """

    def __init__(self, rng: random.Random) -> None:
        self.last_id = rng.getrandbits(48)
        self.last_time = -math.inf

    def id_at(self, now: float) -> int:
        """Return the number of the requests that are sent at this time."""
        if now != self.last_time:
            self.last_id, self.last_time = self.last_id + 1, now
        return self.last_id
