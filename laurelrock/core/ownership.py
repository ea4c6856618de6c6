"""Ownership: which relay holds the queue of a service.

Rendezvous hashing over the live relays of a region. The first is the owner;
the second is the stand-by, in another failure domain where there is one.
"""

import xxhash

from laurelrock.core import members

__all__ = ["owners"]


def owners(
    service_key: str, relays: list[members.Member]
) -> list[members.Member]:
    """Returns the relays in the order in which they own a service."""

    def weight(relay: members.Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{service_key}|{relay.vm}".encode())

    ranked = sorted(relays, key=weight, reverse=True)
    for index, relay in enumerate(ranked[1:], start=1):
        if relay.failure_domain != ranked[0].failure_domain:
            ranked.insert(1, ranked.pop(index))
            break
    return ranked
