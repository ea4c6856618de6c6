"""Ownership: which relay holds the queue of a service.

Rendezvous hashing over the live relays of a region. Every daemon computes it
alone from its own roster; two daemons that disagree cost extra queueing at a
searcher, never correctness.
"""

import xxhash

from laurelrock.core import members

__all__ = ["owners", "service_key"]


def service_key(application: str, service: str, region: str) -> str:
    """Returns the key of a service's queue in one region."""
    return f"{application}/{service}@{region}"


def owners(key: str, relays: list[members.Member]) -> list[members.Member]:
    """Orders relays by their claim on a key.

    Args:
        key: See `service_key`.
        relays: Usable relays of the key's region.

    Returns:
        All relays: the owner, the stand-by, then the others by falling
        weight. The stand-by is in another failure domain than the owner
        where there is one.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    ranked = sorted(relays, key=lambda relay: _weight(seed, relay))
    if len(ranked) < 3:
        return ranked
    domain = ranked[0].failure_domain
    for index, relay in enumerate(ranked):
        if relay.failure_domain != domain:
            ranked.insert(1, ranked.pop(index))
            break
    return ranked


def _weight(seed: int, relay: members.Member) -> tuple[int, str]:
    """Returns a sort key; a process restarted at its address keeps it."""
    weight = xxhash.xxh3_64_intdigest(relay.address.encode(), seed)
    return -weight, relay.address
