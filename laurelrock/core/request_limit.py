"""Limits the requests that reach a searcher to what it says that it takes.

A searcher in need names the requests per second that it takes from all VMs
together. VMs don't see each other's calls, so each has a share of the limit,
which a token bucket enforces. The shares of all VMs add up to the whole: equal
ones to begin with, which a keeper redistributes by demand among the VMs that
report to it. VMs that disagree about the keeper still stay within the limit,
since a keeper redistributes nothing but the equal shares of those VMs.
"""

import collections.abc
import math
import typing

__all__ = [
    "NamedLimit",
    "RequestLimit",
    "Share",
    "create_request_limit",
    "divide",
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
#: Fraction of an equal share that a VM keeps whatever its demand, so that it
#: can serve its first callers before the keeper knows of them.
KEPT_FRACTION = 0.25
#: Demand in requests per second of a VM without any; it divides a limit that
#: nobody uses.
MIN_DEMAND_PER_S = 0.1
#: Callers of a searcher for each request per second, and in addition. Each
#: caller may have saved up one request.
CALLERS_PER_REQUEST, SPARE_CALLERS = 1.5, 3


class Share(typing.NamedTuple):
    """A VM's share of a limit.

    Attributes:
        fraction: Fraction of the requests that the VM may send.
        turn: Position among the VMs without a share, from 1; 0 with a share.
    """

    fraction: float
    turn: int = 0


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


class RequestLimit:
    """The limit that a searcher named, and this VM's requests within it.

    Attributes:
        named_per_s: Requests per second that the searcher says that it takes.
        share: This VM's share of them.
        named_s: Time at which an answer last named the limit, in seconds.
        tokens: Requests that this VM may send at `updated_s`.
        updated_s: Time at which `tokens` was computed, in seconds.
    """

    def __init__(
        self, per_s: float, share: Share, named_s: float, now_s: float
    ) -> None:
        self.named_per_s = per_s
        self.share = share
        self.named_s = named_s
        self.tokens = 0.0
        self.updated_s = now_s

    @property
    def own_per_s(self) -> float:
        """Requests per second that this VM may send."""
        return max(self.named_per_s, MIN_PER_S) * self.share.fraction

    @property
    def burst(self) -> float:
        """Maximum number of requests that are saved up."""
        return max(1.0, self.own_per_s * BURST_S)

    def change(self, per_s: float, share: Share, now_s: float) -> None:
        """Sets the searcher's limit and this VM's share of it."""
        self._refill(now_s)
        self.named_per_s = per_s
        self.share = share
        self.tokens = min(self.tokens, self.burst)

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent, in seconds.

        It is 0 if one may be sent now, and infinite without a share.
        """
        self._refill(now_s)
        if self.tokens >= 1.0:
            return 0.0
        if not self.own_per_s:
            return math.inf
        return (1.0 - self.tokens) / self.own_per_s

    def is_plentiful(self, now_s: float) -> bool:
        """Tells whether a call that isn't needed may be made."""
        self._refill(now_s)
        return self.tokens >= 1.0 + self.burst / 2

    def take(self, now_s: float) -> None:
        """Counts a request."""
        self._refill(now_s)
        self.tokens -= 1.0

    def give_back(self) -> None:
        """Returns a request that was not sent."""
        self.tokens = min(self.burst, self.tokens + 1.0)

    def has_lapsed(self, now_s: float) -> bool:
        """Tells whether no answer has named the limit for a long time."""
        lapse_s = LAPSE_S + (
            LAPSE_REQUESTS_PER_CALLER
            * max_callers(self.named_per_s)
            / max(self.named_per_s, MIN_PER_S)
        )
        return now_s - self.named_s > lapse_s + LAPSE_TURN_S * self.share.turn

    def _refill(self, now_s: float) -> None:
        # Rounding up keeps a caller that returns after `wait_s` from being a
        # fraction of a token short.
        gained = (now_s - self.updated_s) * self.own_per_s
        self.tokens = min(self.burst, self.tokens + gained + 1e-9)
        self.updated_s = now_s


def max_callers(per_s: float) -> int:
    """Returns how many VMs may call a searcher with a limit."""
    return int(per_s * CALLERS_PER_REQUEST) + SPARE_CALLERS


def divide(
    demands: collections.abc.Mapping[str, float], callers: int
) -> dict[str, float]:
    """Divides the limits of a service's searchers by demand.

    Args:
        demands: Requests per second that callers want of the service, by the
            name of the VM that reported them.
        callers: Number of VMs that may call the searchers; those that didn't
            report keep their equal shares.

    Returns:
        The share of each VM that reported.
    """
    equal = 1.0 / max(1, callers, len(demands))
    bounded = {
        vm: max(per_s, MIN_DEMAND_PER_S) for vm, per_s in demands.items()
    }
    total = sum(bounded.values())
    pool = equal * len(demands) * (1.0 - KEPT_FRACTION)
    return {
        vm: equal * KEPT_FRACTION + pool * per_s / total
        for vm, per_s in bounded.items()
    }


def create_request_limit(
    per_s: float, share: Share, named_s: float, now_s: float
) -> RequestLimit:
    """Returns the limit of a searcher, with no requests saved up.

    Args:
        per_s: Requests per second that the searcher takes from all VMs.
        share: This VM's share of them.
        named_s: Time at which an answer named the limit, in seconds.
        now_s: Current time, in seconds.
    """
    return RequestLimit(per_s, share, named_s, now_s)
