"""How a router that gives up the service address stops to serve it, before it releases its lease."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from myrtlecourse.address.link import LinkUpdater

DRAIN_TIMEOUT = 1.0  # seconds for the accepted requests to end
WITHDRAWAL_TIMEOUT = 1.0  # seconds for the network to direct no new clients to this router
log = logging.getLogger(__name__)


async def withdraw(
    link_updater: LinkUpdater,
    wait_until_drained: Callable[[], Awaitable[None]],
    lease_left: Callable[[], float],
) -> None:
    """Let requests end while their clients can be reached, and withdraw the address.

    The network directs new clients to this router until the address is withdrawn, so this router serves them
    while its lease is in force. It also directs the packets of open connections to the router that announces
    the address, so the next holder's announcement would cut them: the caller releases the lease only after
    this function has returned.

    Args:
        link_updater: the link that announces the address.
        wait_until_drained: returns once no client is connected any more.
        lease_left: returns the seconds for which the lease is still in force; 0 after it has ended.
    """
    if lease_left() <= 0.0:
        # another router may announce the address at any moment; no new clients are served
        await _wait_at_most(DRAIN_TIMEOUT, wait_until_drained())
        link_updater.request(None)
        return
    began = time.monotonic()
    # half of the time is left for the clients that come until the address is withdrawn
    await _wait_at_most(min(DRAIN_TIMEOUT, lease_left() / 2), wait_until_drained())
    link_updater.request(None)
    await _wait_at_most(min(WITHDRAWAL_TIMEOUT, lease_left()), link_updater.up_to_date.wait())
    log.info(
        "the service address is %s after %.3f s, with %.3f s left of the lease",
        "withdrawn" if link_updater.up_to_date.is_set() else "not withdrawn yet",
        time.monotonic() - began,
        lease_left(),
    )
    await _wait_at_most(min(DRAIN_TIMEOUT, lease_left()), wait_until_drained())
    log.info("the lease of the service address is released after %.3f s", time.monotonic() - began)


async def _wait_at_most(seconds: float, condition: Awaitable[object]) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await condition
