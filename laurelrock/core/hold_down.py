"""Delays the reuse of members that returned after a failure or restart.

A relay that returns owns no queues until its hold-down has passed. The
hold-down doubles with each return, so that a flapping VM moves ownership less
and less often. A relay that was never seen before has no hold-down.
"""

__all__ = ["HoldDown"]

#: Hold-down after the first return, in seconds.
INITIAL_HOLD_S = 5.0

#: Upper bound of a hold-down, in seconds.
MAX_HOLD_S = 160.0

#: Age from which a return no longer counts, in seconds.
RETURN_WINDOW_S = 600.0


class HoldDown:
    """Recent returns and current hold-downs of the members.

    All times are in seconds on this process's monotonic clock.

    Attributes:
        return_times_s: Times of the returns within `RETURN_WINDOW_S`, in
            ascending order, by address.
        hold_until_s: End of the last hold-down, by address.
    """

    def __init__(self) -> None:
        self.return_times_s: dict[str, list[float]] = {}
        self.hold_until_s: dict[str, float] = {}

    def record_return(self, address: str, now_s: float) -> float:
        """Starts a hold-down and returns its length in seconds."""
        recent = [
            at_s
            for at_s in self.return_times_s.get(address, [])
            if now_s - at_s < RETURN_WINDOW_S
        ]
        recent.append(now_s)
        self.return_times_s[address] = recent
        hold_s = min(INITIAL_HOLD_S * 2 ** (len(recent) - 1), MAX_HOLD_S)
        self.hold_until_s[address] = now_s + hold_s
        return hold_s

    def held_down(self, now_s: float) -> frozenset[str]:
        """Returns the addresses of the members that are held down."""
        waiting = [a for a, end_s in self.hold_until_s.items() if end_s > now_s]
        return frozenset(waiting)

    def drop_expired(self, now_s: float) -> None:
        """Drops the members that have no recent return."""
        for address, times_s in list(self.return_times_s.items()):
            if now_s - times_s[-1] > RETURN_WINDOW_S:
                del self.return_times_s[address]
                del self.hold_until_s[address]
