"""Relay: the role that calls searchers.

Holds the connections to the searchers of the services it owns and answers
entries over the bus.
"""

import asyncio
import collections
import functools
import random

from laurelrock import calls
from laurelrock import daemon as daemons
from laurelrock import dispatch
from laurelrock import manifest
from laurelrock import messages
from laurelrock import pools
from laurelrock import saverelay
from laurelrock import settings
from laurelrock import warm
from laurelrock.adapters import searcher as searchers
from laurelrock.core import hits
from laurelrock.core import upstreams

__all__ = ["run"]

#: Results that are ready within this time travel in one reply.
FLUSH_S = 0.02
#: Kinds of calls that a searcher may run.
CALL_KINDS = ("first", "retry", "hedge")


class Gathering:
    """Outcomes of one `Search` that wait to be sent.

    Attributes:
        sender: Who asked.
        search: What was asked.
        left: Parts without an outcome.
        outcomes: Not yet sent.
        lists: Hits not yet sent.
        flushing: Whether a reply is scheduled.
        works: For the parts.
        timer: Ends the works at the deadline.
    """

    def __init__(self, sender: bytes, search: messages.Search) -> None:
        self.sender = sender
        self.search = search
        self.left = len(search.parts)
        self.outcomes: list[messages.ShardOutcome] = []
        self.lists: list[list[messages.Hit]] = []
        self.retry_after_ms = 0.0
        self.flushing = False
        self.works: list[pools.Work] = []
        self.timer: asyncio.TimerHandle | None = None


class Relay:
    """State of the role.

    Attributes:
        daemon: Process that it runs in.
        dispatcher: Places the work.
        gatherings: By the asking process and query.
        outcomes: Count of shard outcomes by status.
        idle: Set while nothing is gathered.
        leaving: Whether new work is refused.
    """

    def __init__(
        self, daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
    ) -> None:
        self.daemon = daemon
        self.dispatcher = dispatcher
        self.gatherings: dict[tuple[str, str], Gathering] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.idle = asyncio.Event()
        self.leaving = False

    def on_search(self, sender: bytes, search: messages.Search) -> None:
        key = (search.start_id, search.query_id)
        gathering = Gathering(sender, search)
        if self.leaving:
            refuse(self, gathering)
            return
        self.gatherings[key] = gathering
        self.idle.clear()
        if self.daemon.manifest is not None:
            self.dispatcher.adopt(self.daemon.manifest)
        left_s = max(0.0, search.time_left_ms / 1000)
        deadline_s = self.dispatcher.loop.time() + left_s
        hedges = pools.Hedges(len(search.parts))
        for part in search.parts:
            done = functools.partial(on_done, self, gathering, part)
            work = pools.Work(search, part, deadline_s, hedges, done)
            gathering.works.append(work)
        gathering.timer = self.dispatcher.loop.call_later(
            left_s, self.on_deadline, gathering
        )
        for work in gathering.works:
            dispatch.submit(self.dispatcher, work)

    def on_deadline(self, gathering: Gathering) -> None:
        for work in gathering.works:
            dispatch.expire(self.dispatcher, work)

    def on_cancel(self, sender: bytes, cancel: messages.Cancel) -> None:
        gathering = self.remove((cancel.start_id, cancel.query_id))
        if gathering is not None:
            for work in gathering.works:
                dispatch.abandon(self.dispatcher, work, tell=True)

    def remove(self, key: tuple[str, str]) -> Gathering | None:
        """Forgets a gathering; returns it if it was known."""
        gathering = self.gatherings.pop(key, None)
        if gathering is not None and gathering.timer is not None:
            gathering.timer.cancel()
        if not self.gatherings:
            self.idle.set()
        return gathering

    def on_ping(self, sender: bytes, ping: messages.Ping) -> None:
        accepting = not self.leaving
        pong = messages.Pong(self.daemon.start_id, accepting)
        self.daemon.bus.reply(sender, pong)


def create_relay(daemon: daemons.Daemon) -> Relay:
    """Returns a relay that places work as the settings say."""
    options = daemon.settings
    policy = options.policy
    choose: upstreams.Chooser = upstreams.choose_least_loaded
    if policy.choice == "random":
        choose = upstreams.choose_random(random.random)
    choices = pools.Choices(
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
            daemon.start_id, choices, open_searcher, daemon.spawn
        ),
    )


async def run(options: settings.Settings) -> None:
    """Runs a relay until SIGTERM, then drains it."""
    daemon = await daemons.open_daemon(options, "relay")
    relay = create_relay(daemon)
    daemon.bus.on(messages.Search, relay.on_search)
    daemon.bus.on(messages.Cancel, relay.on_cancel)
    daemon.bus.on(messages.Ping, relay.on_ping)
    saves = saverelay.create_save_relay(daemon)
    _register_metrics(relay)
    admin = daemons.create_admin(daemon)
    serving = daemon.spawn(daemons.serve(admin, "admin"))
    stopping = daemon.spawn(daemon.stopping.wait())
    daemon.spawn(warm.keep_warm(daemon, relay.dispatcher))
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
            if relay.gatherings:
                await relay.idle.wait()
            await saves.close()
        admin.should_exit = True
        await serving
    finally:
        await relay.dispatcher.close()
        await daemons.close_daemon(daemon)


def on_done(
    relay: Relay,
    gathering: Gathering,
    part: messages.Part,
    status: messages.ShardStatus,
    found: list[messages.Hit],
    retry_after_ms: float,
) -> None:
    """Takes the end of one part and schedules the reply."""
    search = gathering.search
    gathering.outcomes += [
        messages.ShardOutcome(shard, status) for shard in part.shards
    ]
    gathering.lists.append(found)
    gathering.left -= 1
    if status in calls.NOT_RUN:
        gathering.retry_after_ms = max(gathering.retry_after_ms, retry_after_ms)
    relay.outcomes[status] += len(part.shards)
    if gathering.left == 0:
        relay.remove((search.start_id, search.query_id))
        flush(relay, gathering)
    elif not gathering.flushing:
        gathering.flushing = True
        relay.dispatcher.loop.call_later(FLUSH_S, flush, relay, gathering)


def refuse(relay: Relay, gathering: Gathering) -> None:
    """Answers a search that came after this relay left."""
    gathering.outcomes = [
        messages.ShardOutcome(shard, "relay-leaving")
        for part in gathering.search.parts
        for shard in part.shards
    ]
    flush(relay, gathering)


def flush(relay: Relay, gathering: Gathering) -> None:
    """Sends the outcomes that are ready in one reply."""
    gathering.flushing = False
    if not gathering.outcomes:
        return
    search = gathering.search
    reply = messages.SearchReply(
        query_id=search.query_id,
        start_id=search.start_id,
        snapshot=search.snapshot,
        outcomes=gathering.outcomes,
        hits=hits.merge(gathering.lists, search.limit),
        retry_after_ms=gathering.retry_after_ms,
    )
    gathering.outcomes = []
    gathering.lists = []
    relay.daemon.bus.reply(gathering.sender, reply)


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
        lambda: {**relay.dispatcher.counts, **relay.dispatcher.caller.counts},
        "Calls by kind and unusual events",
    )
    meters.gauge(
        "laurelrock_queue",
        lambda: dispatch.waiting(relay.dispatcher),
        "Sub-queries that wait for a slot",
    )
