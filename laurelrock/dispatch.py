"""Dispatches sub-queries to searchers.

Applies the scheduling decisions of `core`, which does no I/O, to asyncio:
queues sub-queries, calls searchers, hedges slow calls, retries failed calls
and drops late replies.
"""

import asyncio

from laurelrock import attempts
from laurelrock import call_feedback
from laurelrock import calls
from laurelrock import manifest
from laurelrock import messages
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import groups
from laurelrock.core import queue
from laurelrock.core import upstreams

__all__ = ["Dispatcher", "create_dispatcher"]

#: Maximum number of sub-queries skipped in one pass because their searchers
#: are busy.
MAX_SKIPPED = 16
#: Minimum time until the deadline for starting a call, as a fraction of the
#: mean latency of the fastest searcher.
MIN_CALL_TIME_FACTOR = 0.5

_log = logs.get_logger(__name__)


class Dispatcher:
    """Queues sub-queries and calls searchers for them.

    Attributes:
        placement: Options for placing sub-queries on searchers.
        open_searcher: Function that opens a client of a searcher.
        spawn: Function that runs a coroutine in the background.
        tracker: The calls in flight.
        attempts: State for starting and hedging calls.
        loop: The event loop.
        pools: Searcher pools by service.
        channels: Searcher channels by searcher id and address.
        counts: Number of calls by kind and of unusual events.
        config: The manifest that the pools were created from.
    """

    def __init__(
        self,
        start_id: str,
        placement: pools.PlacementOptions,
        open_searcher: pools.OpenSearcher,
        spawn: calls.Spawn,
    ) -> None:
        self.placement = placement
        self.open_searcher = open_searcher
        self.spawn = spawn
        self.tracker = calls.CallTracker(
            start_id, spawn, lambda *args: handle_result(self, *args)
        )
        self.attempts = attempts.HedgingState(placement, self.tracker)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[groups.ServiceKey, pools.Pool] = {}
        self.channels: dict[tuple[str, str], pools.Channel] = {}
        self.counts = self.attempts.counts
        self.config: manifest.Manifest | None = None

    def apply_manifest(self, config: manifest.Manifest) -> None:
        """Applies a new manifest; calls in flight continue."""
        if config is self.config:
            return
        self.config = config
        present: set[tuple[str, str]] = set()

        def channel_of(searcher: manifest.Searcher) -> pools.Channel:
            key = (searcher.id, searcher.address)
            present.add(key)
            return self.channel(searcher)

        old_pools = {id(pool): pool for pool in self.pools.values()}.values()
        self.pools = pools.create_pools(
            config, self.placement, channel_of, self.pools
        )
        for key in self.channels.keys() - present:
            self.spawn(close_when_idle(self.channels.pop(key)))
        for pool in old_pools:
            for class_queue in pool.queue.classes.values():
                for entry in class_queue.entries:
                    enqueue(self, entry.item)

    def channel(self, searcher: manifest.Searcher) -> pools.Channel:
        """Returns the channel of a searcher, opening it on first use."""
        key = (searcher.id, searcher.address)
        if key not in self.channels:
            limit = upstreams.connection_limit(searcher)
            client = self.open_searcher(searcher, limit)
            upstream = upstreams.Upstream(searcher, self.loop.time())
            self.channels[key] = pools.Channel(upstream, client)
        channel = self.channels[key]
        channel.upstream.searcher = searcher
        return channel

    async def close(self) -> None:
        """Closes the clients of all searchers."""
        for channel in self.channels.values():
            await channel.client.close()


def create_dispatcher(
    start_id: str,
    placement: pools.PlacementOptions,
    open_searcher: pools.OpenSearcher,
    spawn: calls.Spawn,
) -> Dispatcher:
    """Returns a dispatcher; must be called in a running event loop."""
    return Dispatcher(start_id, placement, open_searcher, spawn)


async def close_when_idle(channel: pools.Channel) -> None:
    """Closes the client of a removed searcher after its last reply."""
    while channel.upstream.in_flight:  # noqa: ASYNC110
        await asyncio.sleep(calls.REPLY_GRACE_S)
    await channel.client.close()


def pool_of(
    dispatcher: Dispatcher, subquery: pools.Subquery
) -> pools.Pool | None:
    """Returns the pool of a sub-query's service, or None if there is none."""
    service = groups.ServiceKey(
        subquery.search.application, subquery.part.service
    )
    return dispatcher.pools.get(service)


def submit(dispatcher: Dispatcher, subquery: pools.Subquery) -> None:
    """Accepts a sub-query; its `on_finished` callback reports the result."""
    pool = pool_of(dispatcher, subquery)
    if pool is not None:
        pool.hedge_budget.add_call()
        pool.retry_budget.add_call()
    enqueue(dispatcher, subquery)


def enqueue(dispatcher: Dispatcher, subquery: pools.Subquery) -> None:
    """Queues a sub-query, or finishes it at once if it cannot be queued."""
    pool = pool_of(dispatcher, subquery)
    if pool is None:
        finish(dispatcher, subquery, "unknown-service")
        return
    now_s = dispatcher.loop.time()
    candidates = [
        candidate.upstream for candidate in pool.usable(subquery, now_s)
    ]
    if not candidates:
        finish(dispatcher, subquery, "unreachable")
        return
    refusal = pool.queue.offer(
        subquery,
        subquery.search.priority,
        pool.shares.get(subquery.search.application, 0.0),
        subquery.deadline_s,
        now_s,
        queue.CapacityEstimate(
            rate_per_s=upstreams.service_rate_per_s(candidates),
            call_time_s=min(candidate.mean_s for candidate in candidates),
            has_free_slot=any(
                candidate.has_slot(now_s) for candidate in candidates
            ),
        ),
    )
    if refusal is None:
        start_queued(dispatcher, pool)
        return
    dispatcher.counts["shed"] += 1
    subquery.retry_after_ms = max(
        subquery.retry_after_ms, refusal.retry_after_ms
    )
    _log.info(
        "shed",
        request_id=subquery.search.request_id,
        service=subquery.part.service,
        waiting=len(pool.queue),
        wait_ms=round(refusal.wait_ms, 1),
        retry_after_ms=round(refusal.retry_after_ms, 1),
    )
    finish(dispatcher, subquery, "shed")


def start_queued(dispatcher: Dispatcher, pool: pools.Pool) -> None:
    """Starts queued sub-queries while searchers have free slots."""
    skipped: list[queue.Entry[pools.Subquery]] = []
    now_s = dispatcher.loop.time()
    while len(skipped) < MAX_SKIPPED and pool.queue:
        candidates = pool.upstreams()
        if not any(candidate.has_slot(now_s) for candidate in candidates):
            break
        min_call_time_s = MIN_CALL_TIME_FACTOR * min(
            candidate.mean_s for candidate in candidates
        )
        entry, dropped = pool.queue.pop(now_s, min_call_time_s)
        for expired in dropped:
            dispatcher.counts["dropped"] += 1
            finish(dispatcher, expired.item, "deadline")
        if entry is None:
            break
        if not start_call(dispatcher, pool, entry.item, now_s):
            skipped.append(entry)
    for entry in skipped:
        pool.queue.requeue(entry.item.search.priority, entry)


def start_call(
    dispatcher: Dispatcher,
    pool: pools.Pool,
    subquery: pools.Subquery,
    now_s: float,
) -> bool:
    """Calls a searcher; returns False if all searchers are busy."""
    usable = pool.usable(subquery, now_s)
    fresh = [
        candidate
        for candidate in usable
        if candidate.upstream.searcher.id not in subquery.tried
    ]
    candidates = [
        candidate
        for candidate in fresh or usable
        if candidate.upstream.has_slot(now_s)
    ]
    if not candidates:
        return False
    chosen = dispatcher.placement.choose(
        [candidate.upstream for candidate in candidates]
    )
    channel = next(
        candidate for candidate in candidates if candidate.upstream is chosen
    )
    kind = "retry" if subquery.retried else "first"
    attempts.start_call(
        dispatcher.attempts, pool, subquery, channel, kind, usable
    )
    return True


def finish(
    dispatcher: Dispatcher,
    subquery: pools.Subquery,
    status: messages.ShardStatus,
    hits: list[messages.Hit] | None = None,
) -> None:
    """Finishes a sub-query and abandons its calls in flight.

    If an earlier call may have run, its status replaces a status that says
    that nothing ran.
    """
    if subquery.finished:
        return
    subquery.finished = True
    if status in calls.NOT_RUN and subquery.uncertain_status is not None:
        status = subquery.uncertain_status
    for call in subquery.calls:
        calls.abandon_call(dispatcher.tracker, call, status != "deadline")
    subquery.calls.clear()
    subquery.on_finished(status, hits or [], subquery.retry_after_ms)


def abandon(
    dispatcher: Dispatcher, subquery: pools.Subquery, notify_searcher: bool
) -> None:
    """Drops a sub-query whose query was cancelled."""
    if subquery.finished:
        return
    subquery.finished = True
    pool = pool_of(dispatcher, subquery)
    if pool is not None and not subquery.calls:
        pool.queue.remove(subquery)
    for call in subquery.calls:
        calls.abandon_call(dispatcher.tracker, call, notify_searcher)
    subquery.calls.clear()


def expire(dispatcher: Dispatcher, subquery: pools.Subquery) -> None:
    """Finishes a sub-query whose deadline has passed."""
    pool = pool_of(dispatcher, subquery)
    if not subquery.finished and pool is not None and not subquery.calls:
        pool.queue.remove(subquery)
    finish(dispatcher, subquery, "deadline")


def handle_result(
    dispatcher: Dispatcher, call: pools.Call, call_result: calls.CallResult
) -> None:
    """Handles the end of a call: finishes or retries, or waits for others."""
    subquery = call.subquery
    pool = pool_of(dispatcher, subquery)
    call_feedback.record_result(
        pool, call, call_result, dispatcher.loop.time(), dispatcher.counts
    )
    if subquery.finished or call.abandoned:
        dispatcher.counts["late"] += 1
    else:
        subquery.calls.remove(call)
        subquery.retry_after_ms = max(
            subquery.retry_after_ms, call_result.retry_after_ms
        )
        if call_result.status == "ok":
            finish(dispatcher, subquery, "ok", call_result.hits)
        elif call_result.status not in calls.NOT_RUN:
            subquery.uncertain_status = call_result.status
        if not subquery.finished and not subquery.calls:
            retry_or_finish(dispatcher, pool, subquery, call_result.status)
    if pool is not None:
        start_queued(dispatcher, pool)
        attempts.hedge_slow_calls(dispatcher.attempts, pool)


def retry_or_finish(
    dispatcher: Dispatcher,
    pool: pools.Pool | None,
    subquery: pools.Subquery,
    status: messages.ShardStatus,
) -> None:
    """Retries a failed sub-query once on another searcher, or finishes it."""
    now_s = dispatcher.loop.time()
    if pool is None or subquery.retried or status == "deadline":
        finish(dispatcher, subquery, status)
        return
    others = [
        candidate
        for candidate in pool.usable(subquery, now_s)
        if candidate.upstream.searcher.id not in subquery.tried
    ]
    if not others or not pool.retry_budget.try_take():
        dispatcher.counts["retry-withheld"] += 1
        finish(dispatcher, subquery, status)
        return
    subquery.retried = True
    enqueue(dispatcher, subquery)


def queued_count(dispatcher: Dispatcher) -> int:
    """Returns the number of sub-queries that wait for a slot."""
    distinct = {id(pool): pool for pool in dispatcher.pools.values()}
    return sum(len(pool.queue) for pool in distinct.values())
