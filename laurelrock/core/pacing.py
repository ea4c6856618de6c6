"""Pacing: when the platform may be read next.

Every delay is drawn at random around its mean, so that daemons that begin or
fail at one moment do not read at one moment again.
"""

import random as randomness

__all__ = ["Pace"]

#: First mean wait after a failed read, in seconds.
FIRST_BACKOFF_S = 2.0

#: Longest mean wait after failed reads, in seconds.
LONGEST_BACKOFF_S = 15.0


class Pace:
    """Time of the next read.

    Attributes:
        random: Source of the delays.
        next_s: Earliest time of the next read.
        backoff_s: Mean wait after the next failure.
    """

    def __init__(self, random: randomness.Random, now_s: float) -> None:
        self.random = random
        self.next_s = now_s
        self.backoff_s = FIRST_BACKOFF_S

    def is_due(self, now_s: float) -> bool:
        """Tells whether the next read may begin."""
        return now_s >= self.next_s

    def spread(self, longest_s: float, now_s: float) -> None:
        """Puts the next read at a random time up to `longest_s` from now."""
        self.next_s = now_s + self.random.uniform(0, longest_s)

    def succeeded(self, mean_s: float, now_s: float) -> None:
        """Waits `mean_s` on average after a read."""
        self.backoff_s = FIRST_BACKOFF_S
        self.next_s = now_s + self.jittered(mean_s)

    def failed(self, now_s: float) -> None:
        """Backs off after a read that failed."""
        self.next_s = now_s + self.jittered(self.backoff_s)
        self.backoff_s = min(2 * self.backoff_s, LONGEST_BACKOFF_S)

    def jittered(self, mean_s: float) -> float:
        """Returns a random time between half of and 1.5 times a mean."""
        return mean_s * self.random.uniform(0.5, 1.5)
