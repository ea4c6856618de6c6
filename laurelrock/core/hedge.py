"""Hedge: second calls for slow ones, and retries, within budgets.

Budgets are fractions of the calls that the load itself needs, so neither
hedges nor retries can add much to a service that collapses.
"""

import math

from laurelrock.core import upstreams

__all__ = ["Budget", "delay_s", "query_limit"]

#: Tokens that a budget holds at most.
BUDGET_BURST = 10.0
#: Retries as a fraction of the calls.
RETRY_FRACTION = 0.1
#: Hedges of one query as a fraction of its parts at this relay.
QUERY_FRACTION = 0.25
#: Least delay of a hedge, in seconds.
MIN_DELAY_S = 0.002


class Budget:
    """Token bucket that the load itself fills.

    Attributes:
        fraction: Tokens for each call that the load needs.
        tokens: Left.
    """

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction
        self.tokens = BUDGET_BURST if fraction else 0.0

    def earn(self) -> None:
        """Notes a call that the load needs."""
        self.tokens = min(BUDGET_BURST, self.tokens + self.fraction)

    def take(self) -> bool:
        """Takes a token; False where none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def delay_s(upstream: upstreams.Upstream) -> float:
    """Returns how long a call to a searcher may take before its hedge."""
    return max(MIN_DELAY_S, upstream.slow_s)


def query_limit(parts: int) -> int:
    """Returns the hedges that one query may have at a relay."""
    return max(1, math.ceil(parts * QUERY_FRACTION))


def target(
    candidates: list[upstreams.Upstream],
    tried: list[upstreams.Upstream],
    queued: int,
    now_s: float,
    choose: upstreams.Chooser,
) -> upstreams.Upstream | None:
    """Chooses the searcher of a hedge.

    Only a slot that is free takes a hedge, and none does while sub-queries
    wait, so that hedging stops under overload.

    Args:
        candidates: Searchers that take the work.
        tried: Searchers that have the call already.
        queued: Sub-queries that wait for the same searchers.
        now_s: Present time.
        choose: Chooses between several.

    Returns:
        Another searcher; one that was tried, on another connection, where
        there is no other; or None.
    """
    if queued:
        return None
    others = [row for row in candidates if row not in tried]
    free = [row for row in others or candidates if row.has_slot(now_s)]
    return choose(free) if free else None
