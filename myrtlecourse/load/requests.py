"""Which request each arrival is: class, tenant, key and size, drawn from the profile's mix; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from myrtlecourse.load.arrivals import arrivals
from myrtlecourse.load.profile import Clients, Profile, RequestClass


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """A request and the offset (seconds from the start of the run) at which it should be sent."""

    at: float
    request_class: RequestClass
    tenant: str
    key: str
    client_leaves: bool  # its client goes away half way through its time


def repeatable(kind: RequestClass) -> bool:
    """Whether a client may ask again for what may have run: a server of another group would run it twice."""
    return not kind.write or kind.keyed and kind.group == "all"


def retry_delay(
    clients: Clients, kind: RequestClass, tries: int, how: str, pause: float | None, chance: random.Random
) -> float | None:
    """Seconds after which a client asks again, None when it does not.

    `how` the last of its `tries` ended: `refused` with `pause` if it was told one, `unreachable` (nothing was
    sent) or `failed`, after which only what any server may repeat is asked for again.
    """
    if how == "failed" and not repeatable(kind):
        return None
    if tries > clients.retries:
        return None
    if pause and chance.random() < clients.honour:
        return pause
    return float(clients.backoff * 2 ** (tries - 1) * chance.uniform(0.5, 1.5))


def plan_requests(profile: Profile, worker: int = 0, workers: int = 1) -> Iterator[PlannedRequest]:
    """The requests of one of several workers, in order. The same profile gives the same ones."""
    times, mix = (
        np.random.Generator(np.random.PCG64(np.random.SeedSequence([profile.seed, worker, stream])))
        for stream in (0, 1)
    )
    class_shares = np.array([c.share for c in profile.classes])
    tenant_shares = np.array([t.share for t in profile.tenants])
    keys = profile.keys
    popularity = np.cumsum(np.arange(1, keys.count + 1, dtype=np.float64) ** -keys.zipf)
    popularity /= popularity[-1]
    for chunk in arrivals(profile, times, 1 / workers):
        count = len(chunk)
        classes = mix.choice(len(class_shares), count, p=class_shares / class_shares.sum())
        tenants = mix.choice(len(tenant_shares), count, p=tenant_shares / tenant_shares.sum())
        ranks = np.searchsorted(popularity, mix.random(count), side="right")
        numbers = ranks + (chunk * keys.drift).astype(np.int64)  # the most popular moves on to new keys
        leaving = mix.random(count) < profile.clients.leave
        names = [f"key-{number}" for number in numbers]
        for place, hot in enumerate(profile.hot):
            drawn, which = mix.random(count) < hot.share, mix.integers(hot.keys, size=count)
            for i in np.flatnonzero(drawn & (chunk >= hot.at) & (chunk < hot.at + hot.seconds)).tolist():
                if not profile.classes[classes[i]].write:
                    names[i] = f"hot-{place}-{which[i]}"
        for i in range(count):
            yield PlannedRequest(
                float(chunk[i]),
                profile.classes[classes[i]],
                profile.tenants[tenants[i]].name,
                names[i],
                bool(leaving[i]),
            )
