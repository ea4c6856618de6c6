"""Dispatch: places work on searchers.

Runs the pure decisions of `core` over asyncio: queues work, calls searchers,
hedges slow calls, retries failed ones and drops late replies.
"""

import asyncio

from laurelrock import attempts
from laurelrock import calls
from laurelrock import manifest
from laurelrock import messages
from laurelrock import observe
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import groups
from laurelrock.core import queue
from laurelrock.core import upstreams

__all__ = ["Dispatcher", "create_dispatcher"]

#: Works passed over in one turn because their searchers are busy.
MAX_PASSED = 16
#: Part of the usual latency below which a call is not begun.
MIN_SERVICE_FACTOR = 0.5
_log = logs.get_logger(__name__)


class Dispatcher:
    """State of the placement of work.

    Attributes:
        choices: How work is placed.
        caller: Calls in flight.
        attempts: Begins and hedges them.
        pools: By service.
        channels: By id and address of the searcher.
        counts: Calls by kind and unusual events.
        config: Manifest that the pools were made from.
    """

    def __init__(
        self,
        start_id: str,
        choices: pools.Choices,
        open_searcher: pools.Open,
        spawn: calls.Spawn,
    ) -> None:
        self.choices = choices
        self.open_searcher = open_searcher
        self.spawn = spawn
        self.caller = calls.Caller(
            start_id, spawn, lambda *args: settle(self, *args)
        )
        self.attempts = attempts.Attempts(choices, self.caller)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[groups.Service, pools.Pool] = {}
        self.channels: dict[tuple[str, str], pools.Channel] = {}
        self.counts = self.attempts.counts
        self.config: manifest.Manifest | None = None

    def adopt(self, config: manifest.Manifest) -> None:
        """Puts a manifest in force; calls in flight go on."""
        if config is self.config:
            return
        self.config = config
        present: set[tuple[str, str]] = set()

        def channel_of(searcher: manifest.Searcher) -> pools.Channel:
            key = (searcher.id, searcher.address)
            present.add(key)
            return self.channel(searcher)

        before = {id(pool): pool for pool in self.pools.values()}.values()
        self.pools = pools.create_pools(
            config, self.choices, channel_of, self.pools
        )
        for key in self.channels.keys() - present:
            self.spawn(close_when_idle(self.channels.pop(key)))
        for pool in before:
            for lane in pool.queue.lanes.values():
                for entry in lane.entries:
                    place(self, entry.item)

    def channel(self, searcher: manifest.Searcher) -> pools.Channel:
        """Returns the channel of a searcher, opened on first use."""
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
        """Closes every searcher."""
        for channel in self.channels.values():
            await channel.client.close()


def create_dispatcher(
    start_id: str,
    choices: pools.Choices,
    open_searcher: pools.Open,
    spawn: calls.Spawn,
) -> Dispatcher:
    """Returns a dispatcher without work; call it in a running loop."""
    return Dispatcher(start_id, choices, open_searcher, spawn)


async def close_when_idle(channel: pools.Channel) -> None:
    """Closes a searcher that left the manifest, after its last reply."""
    while channel.upstream.in_flight:  # noqa: ASYNC110
        await asyncio.sleep(calls.REPLY_GRACE_S)
    await channel.client.close()


def pool_of(dispatcher: Dispatcher, work: pools.Work) -> pools.Pool | None:
    """Returns the pool of a work's service, if the manifest has it."""
    service = groups.Service(work.search.application, work.part.service)
    return dispatcher.pools.get(service)


def submit(dispatcher: Dispatcher, work: pools.Work) -> None:
    """Takes a work; it ends by a call of its `done`."""
    pool = pool_of(dispatcher, work)
    if pool is not None:
        pool.hedges.earn()
        pool.retries.earn()
    place(dispatcher, work)


def place(dispatcher: Dispatcher, work: pools.Work) -> None:
    """Queues a work, or refuses it at once."""
    pool = pool_of(dispatcher, work)
    if pool is None:
        end(dispatcher, work, "unknown-service")
        return
    now_s = dispatcher.loop.time()
    rows = [row.upstream for row in pool.usable(work, now_s)]
    if not rows:
        end(dispatcher, work, "unreachable")
        return
    refusal = pool.queue.offer(
        work,
        work.search.priority,
        pool.shares.get(work.search.application, 0.0),
        work.deadline_s,
        now_s,
        queue.Forecast(
            rate_per_s=upstreams.drain_rate(rows),
            service_s=min(row.mean_s for row in rows),
            idle=any(row.has_slot(now_s) for row in rows),
        ),
    )
    if refusal is None:
        pump(dispatcher, pool)
        return
    dispatcher.counts["shed"] += 1
    work.retry_after_ms = max(work.retry_after_ms, refusal.retry_after_ms)
    _log.info(
        "shed",
        request_id=work.search.request_id,
        service=work.part.service,
        waiting=len(pool.queue),
        wait_ms=round(refusal.wait_ms, 1),
        retry_after_ms=round(refusal.retry_after_ms, 1),
    )
    end(dispatcher, work, "shed")


def pump(dispatcher: Dispatcher, pool: pools.Pool) -> None:
    """Gives free slots to the works that wait."""
    passed: list[queue.Entry[pools.Work]] = []
    now_s = dispatcher.loop.time()
    while len(passed) < MAX_PASSED and pool.queue:
        rows = pool.upstreams()
        if not any(row.has_slot(now_s) for row in rows):
            break
        least_s = MIN_SERVICE_FACTOR * min(row.mean_s for row in rows)
        entry, dropped = pool.queue.pop(now_s, least_s)
        for late in dropped:
            dispatcher.counts["dropped"] += 1
            end(dispatcher, late.item, "deadline")
        if entry is None:
            break
        if not begin(dispatcher, pool, entry.item, now_s):
            passed.append(entry)
    for entry in passed:
        pool.queue.put_back(entry.item.search.priority, entry)


def begin(
    dispatcher: Dispatcher, pool: pools.Pool, work: pools.Work, now_s: float
) -> bool:
    """Calls a searcher for a work; False where all of them are busy."""
    usable = pool.usable(work, now_s)
    fresh = [
        row for row in usable if row.upstream.searcher.id not in work.tried
    ]
    rows = [row for row in fresh or usable if row.upstream.has_slot(now_s)]
    if not rows:
        return False
    chosen = dispatcher.choices.choose([row.upstream for row in rows])
    channel = next(row for row in rows if row.upstream is chosen)
    kind = "retry" if work.retried else "first"
    attempts.begin(dispatcher.attempts, pool, work, channel, kind, usable)
    return True


def end(
    dispatcher: Dispatcher,
    work: pools.Work,
    status: messages.ShardStatus,
    found: list[messages.Hit] | None = None,
) -> None:
    """Ends a work and gives up the calls that it still has.

    A status that says that nothing ran gives way to that of an earlier call
    that may have run.
    """
    if work.ended:
        return
    work.ended = True
    if status in calls.NOT_RUN and work.doubt is not None:
        status = work.doubt
    for attempt in work.calls:
        calls.lose(dispatcher.caller, attempt, status != "deadline")
    work.calls.clear()
    work.done(status, found or [], work.retry_after_ms)


def abandon(dispatcher: Dispatcher, work: pools.Work, tell: bool) -> None:
    """Drops a work that nobody waits for."""
    if work.ended:
        return
    work.ended = True
    pool = pool_of(dispatcher, work)
    if pool is not None and not work.calls:
        pool.queue.remove(work)
    for attempt in work.calls:
        calls.lose(dispatcher.caller, attempt, tell)
    work.calls.clear()


def expire(dispatcher: Dispatcher, work: pools.Work) -> None:
    """Ends a work whose deadline passed."""
    pool = pool_of(dispatcher, work)
    if not work.ended and pool is not None and not work.calls:
        pool.queue.remove(work)
    end(dispatcher, work, "deadline")


def settle(
    dispatcher: Dispatcher, attempt: pools.Call, reply: calls.Reply
) -> None:
    """Takes the end of a call: ends its work, tries again, or waits."""
    work = attempt.work
    pool = pool_of(dispatcher, work)
    observe.note(
        pool, attempt, reply, dispatcher.loop.time(), dispatcher.counts
    )
    if work.ended or attempt.lost:
        dispatcher.counts["late"] += 1
    else:
        work.calls.remove(attempt)
        work.retry_after_ms = max(work.retry_after_ms, reply.retry_after_ms)
        if reply.status == "ok":
            end(dispatcher, work, "ok", reply.hits)
        elif reply.status not in calls.NOT_RUN:
            work.doubt = reply.status
        if not work.ended and not work.calls:
            try_again(dispatcher, pool, work, reply.status)
    if pool is not None:
        pump(dispatcher, pool)
        attempts.hedge_waiting(dispatcher.attempts, pool)


def try_again(
    dispatcher: Dispatcher,
    pool: pools.Pool | None,
    work: pools.Work,
    status: messages.ShardStatus,
) -> None:
    """Gives a failed work to another searcher once, or ends it."""
    now_s = dispatcher.loop.time()
    if pool is None or work.retried or status == "deadline":
        end(dispatcher, work, status)
        return
    others = [
        row
        for row in pool.usable(work, now_s)
        if row.upstream.searcher.id not in work.tried
    ]
    if not others or not pool.retries.take():
        dispatcher.counts["retry-withheld"] += 1
        end(dispatcher, work, status)
        return
    work.retried = True
    place(dispatcher, work)


def waiting(dispatcher: Dispatcher) -> int:
    """Returns the works that wait for a slot."""
    distinct = {id(pool): pool for pool in dispatcher.pools.values()}
    return sum(len(pool.queue) for pool in distinct.values())
