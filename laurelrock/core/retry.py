"""Retry: pauses that grow, with jitter."""

__all__ = ["pause_s"]

#: Pause before the second attempt, in seconds.
FIRST_PAUSE_S = 0.1
#: Longest pause, in seconds.
MAX_PAUSE_S = 2.0


def pause_s(
    attempt: int, jitter: float, longest_s: float = MAX_PAUSE_S
) -> float:
    """Returns the pause after an attempt that failed, in seconds.

    Args:
        attempt: Counts from 0.
        jitter: Random number in 0..1.
        longest_s: Longest pause.
    """
    longest = min(longest_s, FIRST_PAUSE_S * 2 ** min(attempt, 16))
    return longest * (0.5 + jitter / 2)
