"""Determines which relay owns the queue of a service.

The owner is chosen by rendezvous hashing over the usable relays of a region.
Every daemon computes it from its own view of the members. A disagreement
between two daemons costs extra queueing at a searcher, but never correctness.
"""

import xxhash

from laurelrock.core import members

__all__ = ["owners", "service_key"]


def service_key(application: str, service: str, region: str) -> str:
    """Returns the key that identifies a service's queue in one region."""
    return f"{application}/{service}@{region}"


def owners(key: str, relays: list[members.Member]) -> list[members.Member]:
    """Returns the relays in the order in which they may own a key.

    Args:
        key: Key of a queue, as `service_key` returns it.
        relays: Usable relays of the key's region.

    Returns:
        All relays: the owner, the stand-by, then the others by descending
        weight. The stand-by is in another failure domain than the owner, if
        there is another.
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
    """Returns a sort key that orders relays by descending weight.

    It depends only on the address, so a relay that restarts at its address
    keeps its queues.
    """
    weight = xxhash.xxh3_64_intdigest(relay.address.encode(), seed)
    return -weight, relay.address
