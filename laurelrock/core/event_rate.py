"""Estimates the rate of events that are seen one by one."""

import math

__all__ = ["EventRate", "create_event_rate"]


class EventRate:
    """Exponentially decayed rate of events.

    Attributes:
        time_constant_s: Time after which an event counts for 1/e, in seconds.
        weight: Exponentially decayed number of events.
        last_event_s: Time of the last event, in seconds.
    """

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.weight = 0.0
        self.last_event_s = -math.inf

    def record(self, now_s: float) -> None:
        """Records an event."""
        self.weight = self.weight * self._decay(now_s) + 1.0
        self.last_event_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the number of events per second."""
        return self.weight * self._decay(now_s) / self.time_constant_s

    def _decay(self, now_s: float) -> float:
        return math.exp(-(now_s - self.last_event_s) / self.time_constant_s)


def create_event_rate(time_constant_s: float) -> EventRate:
    """Returns the rate before the first event."""
    return EventRate(time_constant_s)
