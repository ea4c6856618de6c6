"""Runs the relay role, which calls searchers on behalf of entries.

A relay keeps connections to the searchers of the services that it owns and
replies to entries over the bus.
"""

import asyncio
import collections
import functools
import random

from laurelrock import calls
from laurelrock import connection_warming
from laurelrock import daemon as daemons
from laurelrock import dispatch
from laurelrock import manifest
from laurelrock import messages
from laurelrock import pools
from laurelrock import settings
from laurelrock.adapters import searcher as searchers
from laurelrock.core import hits
from laurelrock.core import upstreams
from laurelrock.saves import save_relay

__all__ = ["run"]

#: Delay, in seconds, within which finished parts share one reply.
FLUSH_DELAY_S = 0.02
#: Kinds of search calls sent to searchers.
CALL_KINDS = ("first", "retry", "hedge")


class PendingSearch:
    """A `Search` message whose parts are not all answered yet.

    Attributes:
        sender: Bus identity of the entry that sent the message.
        search: The message.
        unfinished_parts: Number of parts without an outcome.
        outcomes: Outcomes that have not been sent yet.
        hit_lists: Hits of finished parts that have not been sent yet.
        retry_after_ms: Longest retry delay among the parts that did not run.
        flush_scheduled: Whether a reply is scheduled.
        subqueries: The sub-queries of the parts.
        timer: Timer that expires the sub-queries at the deadline.
    """

    def __init__(self, sender: bytes, search: messages.Search) -> None:
        self.sender = sender
        self.search = search
        self.unfinished_parts = len(search.parts)
        self.outcomes: list[messages.ShardOutcome] = []
        self.hit_lists: list[list[messages.Hit]] = []
        self.retry_after_ms = 0.0
        self.flush_scheduled = False
        self.subqueries: list[pools.Subquery] = []
        self.timer: asyncio.TimerHandle | None = None


class Relay:
    """State of the relay role.

    Attributes:
        daemon: The process that the role runs in.
        dispatcher: Dispatches sub-queries to searchers.
        pending_searches: Unfinished searches by start id of the sending
            process and query id.
        outcomes: Number of shard outcomes by status.
        idle: Event that is set while no search is pending.
        leaving: Whether new searches are rejected.
    """

    def __init__(
        self, daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
    ) -> None:
        self.daemon = daemon
        self.dispatcher = dispatcher
        self.pending_searches: dict[tuple[str, str], PendingSearch] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.idle = asyncio.Event()
        self.leaving = False

    def on_search(self, sender: bytes, search: messages.Search) -> None:
        """Handles a search message by submitting its sub-queries."""
        key = (search.start_id, search.query_id)
        pending = PendingSearch(sender, search)
        if self.leaving:
            reject(self, pending)
            return
        self.pending_searches[key] = pending
        self.idle.clear()
        if self.daemon.manifest is not None:
            self.dispatcher.apply_manifest(self.daemon.manifest)
        left_s = max(0.0, search.time_left_ms / 1000)
        deadline_s = self.dispatcher.loop.time() + left_s
        hedge_allowance = pools.HedgeAllowance(len(search.parts))
        for part in search.parts:
            on_finished = functools.partial(
                on_part_finished, self, pending, part
            )
            subquery = pools.Subquery(
                search, part, deadline_s, hedge_allowance, on_finished
            )
            pending.subqueries.append(subquery)
        pending.timer = self.dispatcher.loop.call_later(
            left_s, self.on_deadline, pending
        )
        for subquery in pending.subqueries:
            dispatch.submit(self.dispatcher, subquery)

    def on_deadline(self, pending: PendingSearch) -> None:
        """Expires the unfinished sub-queries of a search."""
        for subquery in pending.subqueries:
            dispatch.expire(self.dispatcher, subquery)

    def on_cancel(self, sender: bytes, cancel: messages.Cancel) -> None:
        """Handles a cancellation by dropping the search's sub-queries."""
        pending = self.remove((cancel.start_id, cancel.query_id))
        if pending is not None:
            for subquery in pending.subqueries:
                dispatch.abandon(
                    self.dispatcher, subquery, notify_searcher=True
                )

    def remove(self, key: tuple[str, str]) -> PendingSearch | None:
        """Removes a pending search and returns it, or None if unknown."""
        pending = self.pending_searches.pop(key, None)
        if pending is not None and pending.timer is not None:
            pending.timer.cancel()
        if not self.pending_searches:
            self.idle.set()
        return pending

    def on_ping(self, sender: bytes, ping: messages.Ping) -> None:
        """Replies to a ping."""
        accepting = not self.leaving
        pong = messages.Pong(self.daemon.start_id, accepting)
        self.daemon.bus.reply(sender, pong)


def create_relay(daemon: daemons.Daemon) -> Relay:
    """Returns a relay configured by the daemon's settings."""
    options = daemon.settings
    policy = options.policy
    choose: upstreams.Chooser = upstreams.choose_least_loaded
    if policy.choice == "random":
        choose = upstreams.choose_random(random.random)
    placement = pools.PlacementOptions(
        choose=choose,
        order=policy.order,
        hedge_fraction=policy.hedge_percent / 100,
    )

    def open_searcher(
        searcher: manifest.Searcher, connections: int
    ) -> searchers.HttpSearcher:
        return searchers.open_searcher(
            searcher, connections, options.vm.address
        )

    return Relay(
        daemon,
        dispatch.create_dispatcher(
            daemon.start_id, placement, open_searcher, daemon.spawn
        ),
    )


async def run(options: settings.Settings) -> None:
    """Runs a relay until SIGTERM, then shuts it down gracefully."""
    daemon = await daemons.open_daemon(options, "relay")
    relay = create_relay(daemon)
    daemon.bus.on(messages.Search, relay.on_search)
    daemon.bus.on(messages.Cancel, relay.on_cancel)
    daemon.bus.on(messages.Ping, relay.on_ping)
    saves = save_relay.create_save_relay(daemon)
    _register_metrics(relay)
    admin = daemons.create_admin_server(daemon)
    serving = daemon.spawn(admin.serve())
    stopping = daemon.spawn(daemon.stopping.wait())
    daemon.spawn(connection_warming.keep_warm(daemon, relay.dispatcher))
    daemon.ready = True
    try:
        await asyncio.wait(
            [serving, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        daemon.ready = False
        if daemon.stopping.is_set():
            daemon.members.leave()
            await asyncio.sleep(options.relay.shutdown_notice_ms / 1000)
            relay.leaving = True
            if relay.pending_searches:
                await relay.idle.wait()
            await saves.close()
        admin.should_exit = True
        await serving
    finally:
        await relay.dispatcher.close()
        await daemons.close_daemon(daemon)


def on_part_finished(
    relay: Relay,
    pending: PendingSearch,
    part: messages.ServiceShards,
    status: messages.ShardStatus,
    part_hits: list[messages.Hit],
    retry_after_ms: float,
) -> None:
    """Collects the outcome of a part and sends or schedules the reply."""
    search = pending.search
    pending.outcomes += [
        messages.ShardOutcome(shard, status) for shard in part.shards
    ]
    pending.hit_lists.append(part_hits)
    pending.unfinished_parts -= 1
    if status in calls.NOT_RUN:
        pending.retry_after_ms = max(pending.retry_after_ms, retry_after_ms)
    relay.outcomes[status] += len(part.shards)
    if pending.unfinished_parts == 0:
        relay.remove((search.start_id, search.query_id))
        flush(relay, pending)
    elif not pending.flush_scheduled:
        pending.flush_scheduled = True
        relay.dispatcher.loop.call_later(FLUSH_DELAY_S, flush, relay, pending)


def reject(relay: Relay, pending: PendingSearch) -> None:
    """Rejects a search received after this relay started to leave."""
    pending.outcomes = [
        messages.ShardOutcome(shard, "relay-leaving")
        for part in pending.search.parts
        for shard in part.shards
    ]
    flush(relay, pending)


def flush(relay: Relay, pending: PendingSearch) -> None:
    """Sends all collected outcomes and hits in one reply."""
    pending.flush_scheduled = False
    if not pending.outcomes:
        return
    search = pending.search
    reply = messages.SearchReply(
        query_id=search.query_id,
        start_id=search.start_id,
        snapshot=search.snapshot,
        outcomes=pending.outcomes,
        hits=hits.merge(pending.hit_lists, search.limit),
        retry_after_ms=pending.retry_after_ms,
    )
    pending.outcomes = []
    pending.hit_lists = []
    relay.daemon.bus.reply(pending.sender, reply)


def _register_metrics(relay: Relay) -> None:
    meters = relay.daemon.metrics
    meters.counters(
        "laurelrock_shard_outcomes",
        lambda: dict(relay.outcomes),
        "Shards by outcome",
    )
    meters.counter(
        "laurelrock_searcher_calls",
        lambda: sum(relay.dispatcher.counts[kind] for kind in CALL_KINDS),
        "Calls made to searchers",
    )
    meters.counters(
        "laurelrock_dispatch",
        lambda: {**relay.dispatcher.counts, **relay.dispatcher.tracker.counts},
        "Calls by kind and unusual events",
    )
    meters.gauge(
        "laurelrock_queue",
        lambda: dispatch.queued_count(relay.dispatcher),
        "Sub-queries that wait for a slot",
    )
