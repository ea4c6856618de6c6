"""Attempts: calls that are begun and, where they are slow, hedged."""

import asyncio
import collections

from laurelrock import calls
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import hedge

__all__ = ["Attempts", "begin", "hedge_waiting"]

#: Calls that one work may have at the same time.
MAX_CALLS = 3

_log = logs.get_logger(__name__)


class Attempts:
    """State of the calls of one relay.

    Attributes:
        choices: How work is placed.
        caller: Calls in flight.
        counts: Calls by kind and unusual events.
        loop: Event loop.
    """

    def __init__(self, choices: pools.Choices, caller: calls.Caller) -> None:
        self.choices = choices
        self.caller = caller
        self.counts: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()


def begin(
    state: Attempts,
    pool: pools.Pool,
    work: pools.Work,
    channel: pools.Channel,
    kind: str,
    candidates: list[pools.Channel],
) -> None:
    """Begins one call and logs the decision."""
    searcher_id = channel.upstream.searcher.id
    _log.info(
        "place",
        request_id=work.search.request_id,
        service=work.part.service,
        kind=kind,
        chosen=searcher_id,
        candidates={
            row.upstream.searcher.id: row.upstream.in_flight
            for row in candidates
        },
        waiting=len(pool.queue),
    )
    state.counts[kind] += 1
    work.tried.add(searcher_id)
    attempt = calls.start(state.caller, channel, work)
    if state.choices.hedge_fraction and len(work.calls) < MAX_CALLS:
        attempt.timer = state.loop.call_later(
            hedge.delay_s(channel.upstream), on_slow, state, pool, attempt
        )


def on_slow(state: Attempts, pool: pools.Pool, attempt: pools.Call) -> None:
    """Notes that a call takes longer than usual and hedges it."""
    attempt.timer = None
    attempt.slow = True
    attempt.channel.upstream.note_slow()
    if not try_hedge(state, pool, attempt):
        pool.slow.append(attempt)


def hedge_waiting(state: Attempts, pool: pools.Pool) -> None:
    """Hedges the slow calls that found no free slot, oldest first."""
    while pool.slow and not pool.queue:
        if not try_hedge(state, pool, pool.slow[0]):
            return
        pool.slow.popleft()


def try_hedge(state: Attempts, pool: pools.Pool, attempt: pools.Call) -> bool:
    """Hedges a slow call; False where a free slot is lacking."""
    work = attempt.work
    if work.ended or attempt.lost or attempt not in work.calls:
        return True
    if len(work.calls) >= MAX_CALLS:
        return True
    now_s = state.loop.time()
    usable = pool.usable(work, now_s)
    chosen = hedge.target(
        [row.upstream for row in usable],
        [row.channel.upstream for row in work.calls],
        len(pool.queue),
        now_s,
        state.choices.choose,
    )
    if chosen is None:
        state.counts["hedge-no-slot"] += 1
        return False
    if work.hedges.left < 1 or not pool.hedges.take():
        state.counts["hedge-no-budget"] += 1
        return True
    work.hedges.left -= 1
    channel = next(row for row in usable if row.upstream is chosen)
    begin(state, pool, work, channel, "hedge", usable)
    return True
