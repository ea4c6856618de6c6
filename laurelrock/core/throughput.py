"""Throughput: whether a query can still be answered in time.

When more queries come than the searchers can work on, all of them wait, and
soon none is in time. Calls ahead of a new one over the calls that end in a
second tell how long it will take, without knowing the searchers' speed, their
slots or what other VMs send them.
"""

import collections.abc
import math
import typing

__all__ = [
    "Backlog",
    "Throughput",
    "create_throughput",
    "expected_s",
    "in_time",
]

#: Time constant of the rate at which calls end, in seconds: several of a
#: searcher's pauses long, and short against a burst.
WINDOW_S = 0.5
#: Calls ahead at one shard below which nothing is concluded; a few calls and
#: one slow searcher look alike.
LEAST_AHEAD = 3
#: Part of the objective that the slowest call needed may be expected to take.
#: The expectation is a mean, and an answer has a way to go.
CALL_FRACTION = 0.7


class Throughput:
    """Rate at which calls of one service end.

    Attributes:
        weight: Ends of the past, the older ones counting less.
        noted_s: When the last one was noted.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.noted_s = -math.inf

    def note(self, now_s: float) -> None:
        """Notes the end of a call."""
        self.weight = self.weight * self._fading(now_s) + 1.0
        self.noted_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the calls that end in a second."""
        return self.weight * self._fading(now_s) / WINDOW_S

    def _fading(self, now_s: float) -> float:
        return math.exp(-(now_s - self.noted_s) / WINDOW_S)


class Backlog(typing.NamedTuple):
    """Calls ahead of a new one at a shard, and those that end in a second."""

    ahead: int
    per_s: float


def expected_s(rows: collections.abc.Iterable[Backlog], needed: int) -> float:
    """Returns the time until enough shards have answered a new query.

    Args:
        rows: One for each shard.
        needed: Shards that the query needs; the others may be slow or dark.

    Returns:
        Seconds; 0 where too few calls are ahead.
    """
    waits = sorted(_wait_s(row) for row in rows)
    return waits[needed - 1] if 0 < needed <= len(waits) else 0.0


def _wait_s(row: Backlog) -> float:
    if row.ahead < LEAST_AHEAD:
        return 0.0
    return row.ahead / row.per_s if row.per_s else math.inf


def in_time(wait_s: float, objective_s: float) -> bool:
    """Tells whether a query is begun, by the time that its calls take."""
    return wait_s <= objective_s * CALL_FRACTION


def create_throughput() -> Throughput:
    """Returns the rate of a service that no call ended of."""
    return Throughput()
