"""Decides whether a VM should check that it still reaches any searcher.

Searchers that don't respond may be down. If none responds to any call, the VM
itself may have lost its network path to them.
"""

import typing

__all__ = ["Evidence", "QUIET_S", "is_doubtful", "is_overdue"]

#: Time without a response from any searcher, in seconds. It is more than twice
#: as long as a searcher's pauses.
QUIET_S = 0.35
#: A call is overdue after this multiple of the latency that few calls exceed,
#: if that is longer than `QUIET_S`.
OVERDUE_FACTOR = 2.0


class Evidence(typing.NamedTuple):
    """What a VM sees of its searchers.

    Attributes:
        quiet_s: Time in seconds for which calls were made and no searcher
            responded.
        silent: Number of searchers that stopped responding in that time.
    """

    quiet_s: float
    silent: int


def is_overdue(age_s: float, late_after_s: float) -> bool:
    """Tells whether a call should have been answered long ago.

    Args:
        age_s: Age of the call, in seconds.
        late_after_s: Latency that few calls of its kind exceed, in seconds.
    """
    return age_s > max(QUIET_S, OVERDUE_FACTOR * late_after_s)


def is_doubtful(evidence: Evidence) -> bool:
    """Tells whether a VM may have lost all searchers."""
    return evidence.quiet_s > QUIET_S and evidence.silent > 0
