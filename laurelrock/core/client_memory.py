"""Memory that clients make a process hold, and which of them has to give way.

Clients that stop in the middle of a request, that send requests ahead or that
don't read their answers make a process keep bytes for them. The bytes of all
connections together are limited.
"""

import typing

__all__ = ["ClientMemory", "Holder", "create_client_memory"]

#: Memory in bytes for all clients if the settings give none.
DEFAULT_BYTES = 67_108_864
#: Fraction of the limit to which the bytes are reduced once they exceed it.
TARGET_FRACTION = 0.875
#: Fraction of the largest client's bytes from which a client may be shed.
LARGE_FRACTION = 0.5


class Holder(typing.Protocol):
    """A connection for which memory is held.

    Attributes:
        progress_s: Loop time at which the client last sent or read something.
    """

    progress_s: float

    @property
    def handling(self) -> bool:
        """Whether a request of the client is being handled."""

    def shed(self) -> None:
        """Ends the connection and frees its memory."""


class ClientMemory:
    """The memory that is held for all clients.

    Attributes:
        max_bytes: Maximum number of bytes for all clients together.
        held: Number of bytes for each client for which any are held.
        held_bytes: Sum of `held`.
        shed: Number of clients that were shed for the sum's sake.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held: dict[Holder, int] = {}
        self.held_bytes = 0
        self.shed = 0

    def set(self, holder: Holder, count: int) -> None:
        """Sets a client's number of bytes; sheds clients if it is too much."""
        self.held_bytes += count - self.held.get(holder, 0)
        if count:
            self.held[holder] = count
        else:
            self.held.pop(holder, None)
        if self.held_bytes > self.max_bytes:
            self.shed_clients()

    def release(self, holder: Holder) -> None:
        """Releases the bytes of a client that left."""
        self.held_bytes -= self.held.pop(holder, 0)

    def shed_clients(self) -> None:
        """Sheds clients until the memory suffices again."""
        target = self.max_bytes * TARGET_FRACTION
        while self.held_bytes > target and self.held:
            for holder in self.find_candidates(self.held_bytes - target):
                self.release(holder)
                self.shed += 1
                holder.shed()
                if self.held_bytes <= target:
                    return

    def find_candidates(self, excess: float) -> list[Holder]:
        """Returns the clients with the most bytes, those to shed first first.

        A request that is being handled stays if the clients without one hold
        the excess. A client that has stalled goes before one that still sends
        or reads.

        Args:
            excess: Number of bytes to release.
        """
        pool = {
            row: count for row, count in self.held.items() if not row.handling
        }
        if sum(pool.values()) < excess:
            pool = self.held
        least = max(pool.values()) * LARGE_FRACTION
        large = [row for row, count in pool.items() if count >= least]
        return sorted(large, key=lambda row: row.progress_s)


def create_client_memory(max_bytes: int = DEFAULT_BYTES) -> ClientMemory:
    """Returns a budget of which nothing is used."""
    return ClientMemory(max_bytes)
