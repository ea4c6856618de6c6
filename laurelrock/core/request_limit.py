"""Limits the requests that reach a searcher to what it says that it takes.

A searcher in need names the requests per second that it takes from all VMs
together. VMs don't see each other's calls, so each has a share of the limit,
which a token bucket enforces (`core.shared_rate`).
"""

import typing

from laurelrock.core import shared_rate

__all__ = [
    "NamedLimit",
    "RequestLimit",
    "create_request_limit",
    "max_callers",
]

#: Time for which unused requests are saved up, in seconds; callers come at
#: random, and few of them at a VM.
BURST_S = 0.75
#: Lowest limit that is applied, in requests per second. It lets a searcher that
#: takes nothing say that this has ended.
MIN_PER_S = 0.25
#: Time in seconds after which a limit that no answer has named again ends. It
#: grows with the time that the callers need to hear from the searcher.
LAPSE_S = 10.0
LAPSE_REQUESTS_PER_CALLER = 2
#: Time in seconds by which VMs without a share let a limit lapse after each
#: other, so that one of them hears from the searcher before the next.
LAPSE_TURN_S = 2.0
#: Callers of a searcher for each request per second, and in addition. Each
#: caller may have saved up one request.
CALLERS_PER_REQUEST, SPARE_CALLERS = 1.5, 3


class NamedLimit(typing.NamedTuple):
    """A limit as one VM tells it to another.

    Attributes:
        service: Service of the searcher.
        searcher: Id of the searcher.
        started_ms: Start of the searcher, in milliseconds since 1970.
        per_s: Requests per second that it takes from all VMs together.
        age_s: Time since an answer named the limit, in seconds.
    """

    service: str
    searcher: str
    started_ms: int
    per_s: float
    age_s: float


class RequestLimit(shared_rate.TokenBucket):
    """The limit that a searcher named, and this VM's requests within it.

    Attributes:
        named_per_s: Requests per second that the searcher says that it takes.
        named_s: Time at which an answer last named the limit, in seconds.
    """

    def __init__(
        self,
        per_s: float,
        share: shared_rate.Share,
        named_s: float,
        now_s: float,
    ) -> None:
        super().__init__(share, now_s)
        self.named_per_s = per_s
        self.named_s = named_s

    @property
    def total_per_s(self) -> float:
        """Requests per second that all VMs together may send."""
        return max(self.named_per_s, MIN_PER_S)

    @property
    def burst(self) -> float:
        """Maximum number of requests that are saved up."""
        return max(1.0, self.own_per_s * BURST_S)

    def change(
        self, per_s: float, share: shared_rate.Share, now_s: float
    ) -> None:
        """Sets the searcher's limit and this VM's share of it."""
        self._refill(now_s)
        self.named_per_s = per_s
        self.set_share(share, now_s)

    def has_lapsed(self, now_s: float) -> bool:
        """Tells whether no answer has named the limit for a long time."""
        lapse_s = LAPSE_S + (
            LAPSE_REQUESTS_PER_CALLER
            * max_callers(self.named_per_s)
            / max(self.named_per_s, MIN_PER_S)
        )
        return now_s - self.named_s > lapse_s + LAPSE_TURN_S * self.share.turn


def max_callers(per_s: float) -> int:
    """Returns how many VMs may call a searcher with a limit."""
    return int(per_s * CALLERS_PER_REQUEST) + SPARE_CALLERS


def create_request_limit(
    per_s: float, share: shared_rate.Share, named_s: float, now_s: float
) -> RequestLimit:
    """Returns the limit of a searcher, with no requests saved up.

    Args:
        per_s: Requests per second that the searcher takes from all VMs.
        share: This VM's share of them.
        named_s: Time at which an answer named the limit, in seconds.
        now_s: Current time, in seconds.
    """
    return RequestLimit(per_s, share, named_s, now_s)
