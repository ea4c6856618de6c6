"""Rings: which few members a daemon exchanges heartbeats with.

Members stand on several rings, each in the order of a hash of its own, so
that the edges to the next member on each ring make a random graph of bounded
degree and a diameter that grows with the logarithm of the fleet. Two rings
hold the members of one failure domain, two hold all members.
"""

import bisect

import xxhash

__all__ = ["Rings"]

#: Seeds of the rings within a failure domain.
DOMAIN_RINGS = (1, 2)

#: Seeds of the rings over all members.
GLOBAL_RINGS = (3, 4)


class Rings:
    """The other members that are not dead.

    Attributes:
        address: Of this daemon.
        places: Position and address of the members of each ring, sorted.
        members: Whether each member is in this daemon's failure domain.
        version: Grows with each change.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.places: dict[int, list[tuple[int, str]]] = {
            ring: [] for ring in DOMAIN_RINGS + GLOBAL_RINGS
        }
        self.members: dict[str, bool] = {}
        self.version = 0

    def put(self, address: str, near: bool) -> None:
        """Adds a member, or moves it where its failure domain changed."""
        if self.members.get(address) == near:
            return
        self.drop(address)
        self.members[address] = near
        self.version += 1
        for ring in _rings_of(near):
            bisect.insort(self.places[ring], _place(address, ring))

    def drop(self, address: str) -> None:
        """Removes a member."""
        near = self.members.pop(address, None)
        if near is None:
            return
        self.version += 1
        for ring in _rings_of(near):
            places = self.places[ring]
            del places[bisect.bisect_left(places, _place(address, ring))]

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
                own = bisect.bisect_left(places, _place(self.address, ring))
                chosen[places[(own + offset) % len(places)][1]] = None
        return list(chosen)


def _rings_of(near: bool) -> tuple[int, ...]:
    return DOMAIN_RINGS + GLOBAL_RINGS if near else GLOBAL_RINGS


def _place(address: str, ring: int) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(address.encode(), ring), address
