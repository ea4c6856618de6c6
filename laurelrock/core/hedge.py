"""Limits hedged calls and retries, and chooses the searcher of a hedge.

Budgets are fractions of the calls that the load itself requires, so hedges and
retries cannot add much load to a service that is failing.
"""

import math

from laurelrock.core import upstreams

__all__ = ["TokenBucket", "delay_s", "max_hedges_per_query"]

#: Maximum number of tokens in a budget.
MAX_TOKENS = 10.0
#: Retries allowed, as a fraction of the calls.
RETRY_FRACTION = 0.1
#: Hedges allowed to one query, as a fraction of its parts at this relay.
QUERY_HEDGE_FRACTION = 0.25
#: Minimum delay before a call is hedged, in seconds.
MIN_DELAY_S = 0.002


class TokenBucket:
    """Token bucket that is refilled by the calls that the load requires.

    Attributes:
        fraction: Number of tokens added for each such call.
        tokens: Number of tokens left.
    """

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction
        self.tokens = MAX_TOKENS if fraction else 0.0

    def add_call(self) -> None:
        """Adds the tokens for one call that the load requires."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.fraction)

    def try_take(self) -> bool:
        """Takes a token; returns False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def delay_s(upstream: upstreams.Upstream) -> float:
    """Returns the age at which a call to a searcher is hedged, in seconds."""
    return max(MIN_DELAY_S, upstream.slow_after_s)


def max_hedges_per_query(parts: int) -> int:
    """Returns the maximum number of hedges of one query at a relay."""
    return max(1, math.ceil(parts * QUERY_HEDGE_FRACTION))


def choose_target(
    candidates: list[upstreams.Upstream],
    tried: list[upstreams.Upstream],
    queued: int,
    now_s: float,
    choose: upstreams.Chooser,
) -> upstreams.Upstream | None:
    """Chooses the searcher that receives a hedge.

    A hedge uses only a free slot, and none is sent while sub-queries are
    queued, so that hedging stops under overload.

    Args:
        candidates: Searchers that accept the sub-query.
        tried: Searchers that already have a call for the sub-query.
        queued: Number of sub-queries queued for the same searchers.
        now_s: Current time, in seconds.
        choose: Function that picks one of several searchers.

    Returns:
        A searcher that was not tried; if there is none, a tried one, which is
        called on another connection; None if no hedge can be sent.
    """
    if queued:
        return None
    others = [row for row in candidates if row not in tried]
    free = [row for row in others or candidates if row.has_slot(now_s)]
    return choose(free) if free else None
