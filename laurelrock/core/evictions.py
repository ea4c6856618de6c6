"""Chooses the callers' connections to close when there are too many."""

import collections.abc
import typing

__all__ = ["Connection", "ConnectionState", "choose", "eviction_rank"]

#: Fraction of the connections that are closed at a time to make room.
EVICTED_FRACTION = 1 / 16


class ConnectionState(typing.NamedTuple):
    """State of a caller's connection.

    Attributes:
        handling: Whether a request is being handled.
        ended: Whether no further requests are read from it.
        unsent: Whether the caller hasn't read its last response.
        used: Whether a complete request was received on it.
        new: Whether its first request may still be on its way.
    """

    handling: bool
    ended: bool
    unsent: bool
    used: bool
    new: bool


class Connection(typing.Protocol):
    """A connection that may be closed.

    Attributes:
        phase_start_s: Loop time at which its request began to arrive or, on an
            idle connection, its last response was written.
    """

    phase_start_s: float

    def eviction_state(self, now_s: float) -> ConnectionState:
        """Returns what decides whether the connection is closed."""


AnyConnection = typing.TypeVar("AnyConnection", bound=Connection)


def choose(
    connections: collections.abc.Iterable[AnyConnection],
    now_s: float,
    max_connections: int,
) -> list[AnyConnection]:
    """Returns the connections to close, some at a time.

    Args:
        connections: The open connections.
        now_s: Loop time.
        max_connections: Maximum number of open connections.
    """
    ranked = []
    for connection in connections:
        rank = eviction_rank(connection.eviction_state(now_s))
        if rank is not None:
            ranked.append((rank, connection.phase_start_s, connection))
    ranked.sort(key=lambda row: row[:2])
    count = max(1, int(max_connections * EVICTED_FRACTION))
    return [row[2] for row in ranked[:count]]


def eviction_rank(state: ConnectionState) -> int | None:
    """Returns how well a connection can be spared, 0 for best.

    None means that it must stay. A new connection goes last, since the request
    of an ordinary caller follows at once.
    """
    if state.handling:
        return None
    if state.ended:
        return 0
    if not state.used:
        return 4 if state.new else 1
    return 2 if state.unsent else 3
