"""The gossip socket: the clock by which it judges how late datagrams are."""

from __future__ import annotations

import time
from typing import Any, cast

import pytest

from myrtlecourse.peers.gossip_socket import GossipSocket
from myrtlecourse.zones.agent import Agent


class Listener:
    """An agent that notes the wall-clock time passed with each datagram."""

    def __init__(self) -> None:
        self.times: list[float] = []

    def receive(self, data: bytes, now: float, wall: float) -> None:
        self.times.append(wall)


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_step_of_the_wall_clock_makes_no_datagram_late(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a step, datagrams from peers were dropped as too late, or this router's were at its peers."""
    listener = Listener()
    speaker = GossipSocket(cast(Agent, listener), ("127.0.0.1", 0), {}, time.monotonic, lambda _: None)
    before, wall = time.time(), time.time
    monkeypatch.setattr(time, "time", lambda: wall() + step)
    address: Any = ("127.0.0.1", 9)
    speaker.datagram_received(b"", address)
    assert listener.times == [pytest.approx(before, abs=60.0)]
