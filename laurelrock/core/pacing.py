"""Schedules the reads of the platform, with random jitter and backoff.

Every delay is drawn at random around its mean, so that daemons that start or
fail at the same time do not keep reading at the same time.
"""

import random as randomness

__all__ = ["Pacer"]

#: Mean delay after the first failed read, in seconds.
INITIAL_BACKOFF_S = 2.0

#: Upper bound of the mean delay after failed reads, in seconds.
MAX_BACKOFF_S = 15.0


class Pacer:
    """Schedule of the reads of one object.

    Attributes:
        random: Source of random delays.
        next_s: Earliest time of the next read, in seconds on a monotonic
            clock.
        backoff_s: Mean delay after the next failed read, in seconds.
    """

    def __init__(self, random: randomness.Random, now_s: float) -> None:
        self.random = random
        self.next_s = now_s
        self.backoff_s = INITIAL_BACKOFF_S

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next read may start."""
        return now_s >= self.next_s

    def schedule_within(self, longest_s: float, now_s: float) -> None:
        """Schedules the next read at random within `longest_s` from now."""
        self.next_s = now_s + self.random.uniform(0, longest_s)

    def succeeded(self, mean_s: float, now_s: float) -> None:
        """Schedules the next read after a success, on average in `mean_s`."""
        self.backoff_s = INITIAL_BACKOFF_S
        self.next_s = now_s + self.jittered(mean_s)

    def failed(self, now_s: float) -> None:
        """Schedules the next read after a failure, with exponential backoff."""
        self.next_s = now_s + self.jittered(self.backoff_s)
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def jittered(self, mean_s: float) -> float:
        """Returns a random duration between 0.5 and 1.5 times the mean."""
        return mean_s * self.random.uniform(0.5, 1.5)
