"""Starts calls to searchers and hedges slow ones."""

import asyncio
import collections

from laurelrock import calls
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import hedge

__all__ = ["HedgingState", "hedge_slow_calls", "start_call"]

#: Maximum number of calls in flight for one sub-query.
MAX_CALLS = 3

_log = logs.get_logger(__name__)


class HedgingState:
    """State for starting and hedging the calls of one relay.

    Attributes:
        placement: Options for placing sub-queries on searchers.
        tracker: The calls in flight.
        counts: Number of calls by kind and of unusual events.
        loop: The event loop.
    """

    def __init__(
        self, placement: pools.PlacementOptions, tracker: calls.CallTracker
    ) -> None:
        self.placement = placement
        self.tracker = tracker
        self.counts: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()


def start_call(
    state: HedgingState,
    pool: pools.Pool,
    subquery: pools.Subquery,
    channel: pools.Channel,
    kind: str,
    candidates: list[pools.Channel],
) -> None:
    """Starts one call, logs the choice and schedules a possible hedge."""
    searcher_id = channel.upstream.searcher.id
    _log.info(
        "subquery-placed",
        request_id=subquery.search.request_id,
        service=subquery.part.service,
        kind=kind,
        chosen=searcher_id,
        candidates={
            candidate.upstream.searcher.id: candidate.upstream.in_flight
            for candidate in candidates
        },
        waiting=len(pool.queue),
    )
    state.counts[kind] += 1
    subquery.tried.add(searcher_id)
    call = calls.start(state.tracker, channel, subquery)
    if state.placement.hedge_fraction and len(subquery.calls) < MAX_CALLS:
        call.timer = state.loop.call_later(
            hedge.delay_s(channel.upstream), hedge_or_wait, state, pool, call
        )


def hedge_or_wait(
    state: HedgingState, pool: pools.Pool, call: pools.Call
) -> None:
    """Marks a call as slow and hedges it, now or when a slot is free."""
    call.timer = None
    call.slow = True
    call.channel.upstream.record_slow_call()
    if not try_hedge(state, pool, call):
        pool.slow.append(call)


def hedge_slow_calls(state: HedgingState, pool: pools.Pool) -> None:
    """Hedges slow calls that found no free slot before, oldest first."""
    while pool.slow and not pool.queue:
        if not try_hedge(state, pool, pool.slow[0]):
            return
        pool.slow.popleft()


def try_hedge(state: HedgingState, pool: pools.Pool, call: pools.Call) -> bool:
    """Hedges a slow call if allowed; returns False if no slot is free."""
    subquery = call.subquery
    if subquery.finished or call.abandoned or call not in subquery.calls:
        return True
    if len(subquery.calls) >= MAX_CALLS:
        return True
    now_s = state.loop.time()
    usable = pool.usable(subquery, now_s)
    chosen = hedge.choose_target(
        [candidate.upstream for candidate in usable],
        [candidate.channel.upstream for candidate in subquery.calls],
        len(pool.queue),
        now_s,
        state.placement.choose,
    )
    if chosen is None:
        state.counts["hedge-no-slot"] += 1
        return False
    if (
        subquery.hedge_allowance.remaining < 1
        or not pool.hedge_budget.try_take()
    ):
        state.counts["hedge-no-budget"] += 1
        return True
    subquery.hedge_allowance.remaining -= 1
    channel = next(
        candidate for candidate in usable if candidate.upstream is chosen
    )
    start_call(state, pool, subquery, channel, "hedge", usable)
    return True
