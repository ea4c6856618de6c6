"""Decides whether a VM has lost all searchers.

Single searchers that don't respond may be down. If several stop responding at
about the same time and none responds, the VM itself is more likely to have lost
its network path to them.
"""

import enum
import typing

__all__ = ["Evidence", "QUIET_S", "Verdict", "is_overdue", "judge"]

#: Minimum number of searchers that stopped responding.
MIN_SILENT = 4
#: Time without a response from any searcher, in seconds. It is more than twice
#: as long as a searcher's pauses.
QUIET_S = 0.35
#: A call is overdue after this multiple of the latency that few calls exceed,
#: if that is longer than `QUIET_S`.
OVERDUE_FACTOR = 2.0


class Verdict(enum.Enum):
    """Whether a VM reaches its searchers.

    Attributes:
        REACHES: It does.
        UNCLEAR: Few have stopped responding; a VM that calls only these has to
            try others.
        ISOLATED: It has lost all of them.
    """

    REACHES = "reaches"
    UNCLEAR = "unclear"
    ISOLATED = "isolated"


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


def judge(evidence: Evidence) -> Verdict:
    """Decides whether a VM has lost all searchers."""
    if evidence.quiet_s <= QUIET_S or not evidence.silent:
        return Verdict.REACHES
    if evidence.silent < MIN_SILENT:
        return Verdict.UNCLEAR
    return Verdict.ISOLATED
