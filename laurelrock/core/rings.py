"""Rings: which few members a daemon exchanges heartbeats with.

Members stand on several rings, each in the order of a hash of its own, so
that the edges to the next member on each ring make a random graph of bounded
degree and a diameter that grows with the logarithm of the fleet. Two rings
hold the members of one failure domain, two hold all members.
"""

import collections.abc
import functools

import xxhash

from laurelrock.core import records

__all__ = ["predecessors", "successors"]

#: Seeds of the rings within a failure domain.
DOMAIN_RINGS = (1, 2)

#: Seeds of the rings over all members.
GLOBAL_RINGS = (3, 4)

#: Positions on a ring.
RING_SIZE = 2**64


@functools.lru_cache(maxsize=16_384)
def _position(address: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(address.encode(), ring)


def successors(me: records.Record, others: list[records.Record]) -> list[str]:
    """Returns the members that receive this daemon's heartbeats."""
    return _adjacent(me, others, 1)


def predecessors(me: records.Record, others: list[records.Record]) -> list[str]:
    """Returns the members whose heartbeats this daemon expects."""
    return _adjacent(me, others, -1)


def _adjacent(
    me: records.Record, others: list[records.Record], direction: int
) -> list[str]:
    near = [
        record.address
        for record in others
        if record.failure_domain == me.failure_domain
    ]
    everyone = [record.address for record in others]
    chosen: dict[str, None] = {}
    for rings, addresses in ((DOMAIN_RINGS, near), (GLOBAL_RINGS, everyone)):
        for ring in rings:
            distance = _distance(me.address, ring, direction)
            if addresses:
                chosen[min(addresses, key=distance)] = None
    return list(chosen)


def _distance(
    address: str, ring: int, direction: int
) -> collections.abc.Callable[[str], int]:
    origin = _position(address, ring)

    def distance(other: str) -> int:
        return direction * (_position(other, ring) - origin) % RING_SIZE

    return distance
