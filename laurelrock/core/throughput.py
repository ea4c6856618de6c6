"""Estimates whether a query can still be answered in time.

If queries arrive faster than the searchers can work, all of them wait and soon
none is answered in time. The number of calls ahead of a new one, divided by the
rate at which calls complete, estimates how long the new call takes. This needs
no knowledge of the searchers' speed, their slots, or the load from other VMs.
"""

import collections.abc
import math
import typing

from laurelrock.core import event_rate

__all__ = [
    "Backlog",
    "create_completion_rate",
    "expected_s",
    "is_in_time",
]

#: Time constant of the completion rate, in seconds: several times as long as a
#: searcher's pause, and short compared to a burst.
TIME_CONSTANT_S = 0.5
#: Minimum number of calls ahead at a shard for an estimate; with fewer, a
#: backlog cannot be told from one slow searcher.
MIN_AHEAD = 3
#: Maximum expected duration of the slowest required call, as a fraction of the
#: objective. The expected duration is a mean, and the response must still be
#: sent.
MAX_CALL_FRACTION = 0.7


class Backlog(typing.NamedTuple):
    """Calls ahead of a new one at a shard, and calls completed per second."""

    ahead: int
    completed_per_s: float


def expected_s(rows: collections.abc.Iterable[Backlog], needed: int) -> float:
    """Returns the expected time until enough shards respond, in seconds.

    The estimate is 0 if too few calls are ahead.

    Args:
        rows: Backlog of each shard.
        needed: Number of shards that the query needs; the others may be slow or
            unreachable.
    """
    waits = sorted(_wait_s(row) for row in rows)
    return waits[needed - 1] if 0 < needed <= len(waits) else 0.0


def _wait_s(row: Backlog) -> float:
    if row.ahead < MIN_AHEAD:
        return 0.0
    return row.ahead / row.completed_per_s if row.completed_per_s else math.inf


def is_in_time(wait_s: float, objective_s: float) -> bool:
    """Tells whether a query with this expected wait should be started."""
    return wait_s <= objective_s * MAX_CALL_FRACTION


def create_completion_rate() -> event_rate.EventRate:
    """Returns the rate of a service without completed calls."""
    return event_rate.create_event_rate(TIME_CONSTANT_S)
