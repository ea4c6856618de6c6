"""Exponential backoff with jitter."""

__all__ = ["backoff_s"]

#: Longest backoff before the second attempt, in seconds.
INITIAL_BACKOFF_S = 0.1
#: Longest backoff before any attempt, in seconds.
MAX_BACKOFF_S = 2.0


def backoff_s(
    attempt: int, jitter: float, max_s: float = MAX_BACKOFF_S
) -> float:
    """Returns the backoff after a failed attempt, in seconds.

    Args:
        attempt: Number of the failed attempt, starting at 0.
        jitter: Random number between 0 and 1.
        max_s: Longest backoff, in seconds.
    """
    longest = min(max_s, INITIAL_BACKOFF_S * 2 ** min(attempt, 16))
    return longest * (0.5 + jitter / 2)
