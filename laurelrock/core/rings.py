"""Chooses the members that a daemon exchanges heartbeats with.

Members are placed on several rings, each ordered by a different hash. The
edges from each member to its successor on each ring form a random graph of
bounded degree, whose diameter grows with the logarithm of the fleet's size.
Two rings hold the members of one failure domain, two hold all members.
"""

import bisect

import xxhash

__all__ = ["Rings"]

#: Hash seeds of the rings within this daemon's failure domain.
DOMAIN_RINGS = (1, 2)

#: Hash seeds of the rings over all members.
GLOBAL_RINGS = (3, 4)


class Rings:
    """The rings of the other members that are not dead.

    Attributes:
        address: Address of this daemon.
        places: Sorted pairs of hash and address of the members of each ring,
            by seed of the ring.
        members: Whether a member is in this daemon's failure domain, by
            address of the member.
        version: Number that grows with each change.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.places: dict[int, list[tuple[int, str]]] = {
            ring: [] for ring in DOMAIN_RINGS + GLOBAL_RINGS
        }
        self.members: dict[str, bool] = {}
        self.version = 0

    def put(self, address: str, same_domain: bool) -> None:
        """Adds a member, or moves it if its failure domain changed."""
        if self.members.get(address) == same_domain:
            return
        self.drop(address)
        self.members[address] = same_domain
        self.version += 1
        for ring in _rings_of(same_domain):
            bisect.insort(self.places[ring], _position(address, ring))

    def drop(self, address: str) -> None:
        """Removes a member."""
        same_domain = self.members.pop(address, None)
        if same_domain is None:
            return
        self.version += 1
        for ring in _rings_of(same_domain):
            places = self.places[ring]
            del places[bisect.bisect_left(places, _position(address, ring))]

    def successors(self) -> list[str]:
        """Returns the members that receive this daemon's heartbeats."""
        return self._adjacent(0)

    def predecessors(self) -> list[str]:
        """Returns the members whose heartbeats this daemon expects."""
        return self._adjacent(-1)

    def _adjacent(self, offset: int) -> list[str]:
        chosen: dict[str, None] = {}
        for ring, places in self.places.items():
            if places:
                own = bisect.bisect_left(places, _position(self.address, ring))
                chosen[places[(own + offset) % len(places)][1]] = None
        return list(chosen)


def _rings_of(same_domain: bool) -> tuple[int, ...]:
    return DOMAIN_RINGS + GLOBAL_RINGS if same_domain else GLOBAL_RINGS


def _position(address: str, ring: int) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(address.encode(), ring), address
