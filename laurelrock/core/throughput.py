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
    "MAX_RETRY_AFTER_S",
    "Backlog",
    "accepts_group",
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
#: Longest time in seconds after which a caller refused for overload may retry;
#: the present calls have ended or failed by then.
MAX_RETRY_AFTER_S = 1.0


class Backlog(typing.NamedTuple):
    """Work at a shard.

    Attributes:
        ahead: Calls ahead of a new one.
        completed_per_s: Calls completed per second.
        best_wait_s: Time until the searcher with the shortest queue has run
            the calls ahead at it, at the present latency; infinite if unknown.
    """

    ahead: int
    completed_per_s: float
    best_wait_s: float = math.inf


def expected_s(
    rows: collections.abc.Iterable[Backlog],
    needed: int,
    min_ahead: int = MIN_AHEAD,
) -> float:
    """Returns the expected time until enough shards respond, in seconds.

    The estimate is 0 if too few calls are ahead.

    Args:
        rows: Backlog of each shard.
        needed: Number of shards that the query needs; the others may be slow or
            unreachable.
        min_ahead: Minimum number of calls ahead for an estimate.
    """
    waits = sorted(_wait_s(row, min_ahead) for row in rows)
    return waits[needed - 1] if 0 < needed <= len(waits) else 0.0


def _wait_s(row: Backlog, min_ahead: int) -> float:
    if row.ahead < min_ahead:
        return 0.0
    # A VM with few requests completes few calls, however fast the searchers,
    # and calls at a slow searcher don't delay those at another one.
    wait_s = math.inf
    if row.completed_per_s:
        wait_s = row.ahead / row.completed_per_s
    return min(wait_s, row.best_wait_s)


def is_in_time(wait_s: float, objective_s: float) -> bool:
    """Tells whether a query with this expected wait should be started."""
    return wait_s <= objective_s * MAX_CALL_FRACTION


def accepts_group(
    wait_s: float,
    due_in_s: float,
    remaining_s: float,
    mean_s: float,
    shortest_due_s: float,
    factor: float = 1.0,
) -> bool:
    """Tells whether an owner should accept a group of shards.

    Answers the load of a burst at searchers that owners call: if all groups are
    accepted, all queries wait and soon none is in time.

    Args:
        wait_s: Expected time until enough shards respond, in seconds.
        due_in_s: Time until the result is due, in seconds.
        remaining_s: Time until the caller gives up, in seconds.
        mean_s: Mean latency of a call, in seconds. A result that is due sooner
            is late without any load, so that only the deadline counts.
        shortest_due_s: Shortest time in which groups of the same shards are
            due, in seconds. It is the limit of all kinds: if groups with more
            time could wait for longer, all others would be late, and if those
            with less had a lower limit, only they would be declined.
        factor: Factor of the accepted wait; see `fair_queue.limit_factor`.
    """
    if due_in_s <= mean_s:
        return is_in_time(wait_s, remaining_s * factor)
    return is_in_time(wait_s, shortest_due_s * factor)


def create_completion_rate() -> event_rate.EventRate:
    """Returns the rate of a service without completed calls."""
    return event_rate.create_event_rate(TIME_CONSTANT_S)
