"""Tells refused callers when to return, one after another.

If callers are refused because searchers take only so many requests per second,
all would return as soon as the next request is taken, and all but one would be
refused again. Instead each is told the time at which its turn comes, in the
order of the refusals.
"""

import math

__all__ = ["ReturnTimes", "create_return_times"]

#: Longest time in seconds that a caller is told for the sake of its turn. Those
#: behind it would wait longer than callers do.
MAX_TURN_S = 5.0


class ReturnTimes:
    """The next turn of each kind of request.

    Attributes:
        next_s: Time of the next turn, in seconds, by kind.
    """

    def __init__(self) -> None:
        self.next_s: dict[str, float] = {}

    def reserve(
        self, kind: str, wait_s: float, per_s: float, now_s: float
    ) -> float:
        """Returns the time until a refused caller may return, in seconds.

        Args:
            kind: Kind of the request.
            wait_s: Time until the next request is taken, in seconds.
            per_s: Requests per second that are taken; infinite if unlimited.
            now_s: Current time, in seconds.
        """
        if math.isinf(per_s) or not per_s:
            return wait_s
        turn_s = max(self.next_s.get(kind, 0.0), now_s + wait_s)
        turn_s = min(turn_s, now_s + max(wait_s, MAX_TURN_S))
        self.next_s[kind] = turn_s + 1.0 / per_s
        return turn_s - now_s

    def drop_past(self, now_s: float) -> None:
        """Drops the turns that have passed."""
        for kind in [row for row, at in self.next_s.items() if at < now_s]:
            del self.next_s[kind]


def create_return_times() -> ReturnTimes:
    """Returns the state before any refusal."""
    return ReturnTimes()
