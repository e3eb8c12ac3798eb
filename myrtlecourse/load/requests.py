"""Draws the class, tenant and key of each request from the profile's mix; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from myrtlecourse.load.arrivals import arrival_times
from myrtlecourse.load.profile import Clients, Profile, RequestClass


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """A request; `at` is when it is due, in seconds from the start of the run."""

    at: float
    request_class: RequestClass
    tenant: str
    key: str
    client_leaves: bool  # whether its client leaves after half of the deadline


def repeatable(request_class: RequestClass) -> bool:
    """Return whether a client may repeat a request that may have been executed.

    A keyed write may be repeated only if all servers share one group, as a server of another group would
    execute it a second time.
    """
    return not request_class.write or request_class.keyed and request_class.group == "all"


def retry_delay(
    clients: Clients,
    request_class: RequestClass,
    tries: int,
    how: str,
    retry_after: float | None,
    rng: random.Random,
) -> float | None:
    """Return the seconds after which a client retries a request, or None if it does not.

    Args:
        clients: how the clients behave.
        request_class: the class of the request.
        tries: how often the request was tried.
        how: how the last try ended: `refused`, `unreachable` (nothing was sent) or `failed`, after which only
            repeatable requests are retried.
        retry_after: seconds that a refusal asked the client to wait, if any.
        rng: the source of random numbers.
    """
    if how == "failed" and not repeatable(request_class):
        return None
    if tries > clients.retries:
        return None
    if retry_after and rng.random() < clients.honour:
        return retry_after
    return float(clients.backoff * 2 ** (tries - 1) * rng.uniform(0.5, 1.5))


def plan_requests(profile: Profile, worker: int = 0, workers: int = 1) -> Iterator[PlannedRequest]:
    """Yield the requests of one of several workers in order; the same profile gives the same requests."""
    time_rng, mix_rng = (
        np.random.Generator(np.random.PCG64(np.random.SeedSequence([profile.seed, worker, stream])))
        for stream in (0, 1)
    )
    class_shares = np.array([c.share for c in profile.classes])
    tenant_shares = np.array([t.share for t in profile.tenants])
    keys = profile.keys
    popularity = np.cumsum(np.arange(1, keys.count + 1, dtype=np.float64) ** -keys.zipf)
    popularity /= popularity[-1]
    for chunk in arrival_times(profile, time_rng, 1 / workers):
        count = len(chunk)
        classes = mix_rng.choice(len(class_shares), count, p=class_shares / class_shares.sum())
        tenants = mix_rng.choice(len(tenant_shares), count, p=tenant_shares / tenant_shares.sum())
        ranks = np.searchsorted(popularity, mix_rng.random(count), side="right")
        numbers = ranks + (chunk * keys.drift).astype(np.int64)  # the popularity shifts to new keys
        leaving = mix_rng.random(count) < profile.clients.leave
        names = [f"key-{number}" for number in numbers]
        for period, hot_keys in enumerate(profile.hot):
            selected, drawn_keys = (
                mix_rng.random(count) < hot_keys.share,
                mix_rng.integers(hot_keys.keys, size=count),
            )
            for i in np.flatnonzero(
                selected & (chunk >= hot_keys.at) & (chunk < hot_keys.at + hot_keys.seconds)
            ).tolist():
                if not profile.classes[classes[i]].write:
                    names[i] = f"hot-{period}-{drawn_keys[i]}"
        for i in range(count):
            yield PlannedRequest(
                float(chunk[i]),
                profile.classes[classes[i]],
                profile.tenants[tenants[i]].name,
                names[i],
                bool(leaving[i]),
            )
