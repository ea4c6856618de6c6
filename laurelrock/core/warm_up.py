"""Limits on the requests to searchers that are warming up.

A cold searcher accepts few requests from all VMs together and crashes well
above them. Each VM has a share of them (`core.shared_rate`). The rate is
redistributed by demand; the requests that a VM may save up are a fixed share,
so the VMs' saved-up requests never exceed what may arrive in a second in
addition to the rate.
"""

import enum
import math
import typing

from laurelrock.core import shared_rate

__all__ = [
    "ColdLimit",
    "Evidence",
    "WarmUpPolicy",
    "create_cold_limit",
    "total_burst",
]

#: Fraction of the requests beyond the rate that is used. The rest covers
#: requests that arrive closer together than they were sent, and VMs that join
#: while others don't know of them.
BURST_FRACTION = 0.8


class WarmUpPolicy(typing.NamedTuple):
    """How far the requests to a cold searcher may exceed what it takes.

    Attributes:
        overage: Factor on the requests per second that the searcher takes.
        slack: Number of requests that may reach it in a second in addition.
    """

    overage: float = 1.5
    slack: float = 5.0


class Evidence(enum.IntEnum):
    """What shows that a searcher is cold, the weakest first.

    Attributes:
        PRESUMED: It started again, or its failure domain was evacuated.
        ENTRY: Its entry.
        RESPONSE: Its response to this VM or to another one.
    """

    PRESUMED = 0
    ENTRY = 1
    RESPONSE = 2


class ColdLimit(shared_rate.TokenBucket):
    """This VM's requests to a cold searcher.

    Attributes:
        per_s: Requests per second that the searcher takes from all VMs.
        policy: How far they may be exceeded.
        until_s: Time at which the searcher is warm, in seconds.
        waiting: Counted requests that wait for a connection. They may be sent
            at any moment, so they take up room like saved-up requests.
    """

    def __init__(
        self,
        per_s: float,
        policy: WarmUpPolicy,
        share: shared_rate.Share,
        now_s: float,
    ) -> None:
        super().__init__(share, now_s)
        self.per_s = per_s
        self.policy = policy
        self.until_s = math.inf
        self.waiting = 0

    @property
    def total_per_s(self) -> float:
        """Requests per second that all VMs together may send."""
        return self.per_s * min(1.0, self.policy.overage)

    @property
    def burst(self) -> float:
        """Maximum number of requests that are saved up."""
        return total_burst(self.per_s, self.policy) * self.share.equal

    @property
    def room(self) -> float:
        """Maximum number of requests that may be saved up at present."""
        return self.burst - self.waiting

    @property
    def max_callers(self) -> int:
        """How many VMs may call the searcher: each saves up a whole request."""
        return int(total_burst(self.per_s, self.policy))

    def is_spare(self, now_s: float) -> bool:
        """Tells whether requests of high value leave capacity for others."""
        self._refill(now_s)
        return self.tokens >= min(self.burst, 1.0 + self.burst / 2)


def total_burst(per_s: float, policy: WarmUpPolicy) -> float:
    """Returns the requests that all VMs together may save up."""
    beyond = (policy.overage - 1.0) * per_s + policy.slack
    return max(0.0, beyond * BURST_FRACTION)


def create_cold_limit(
    per_s: float,
    policy: WarmUpPolicy,
    share: shared_rate.Share,
    now_s: float,
) -> ColdLimit:
    """Returns the limit of a cold searcher, with no requests saved up."""
    return ColdLimit(per_s, policy, share, now_s)
