"""Relay: the role that calls searchers.

Holds the connections to the searchers of the services it owns and answers
entries over the bus.
"""

import asyncio
import collections

import msgspec

from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock import saverelay
from laurelrock import settings
from laurelrock.adapters import logs
from laurelrock.adapters import searcher as searchers
from laurelrock.core import hits

__all__ = ["run"]

#: Results that are ready within this time travel in one reply.
FLUSH_S = 0.002
#: Part of a searcher's connections that one relay may open.
CONNECTION_SHARE = 0.4

_log = logs.get_logger(__name__)


class Upstream:
    """One searcher as this relay sees it.

    Attributes:
        client: Calls it.
        slots: Limits the calls in flight.
        in_flight: Calls in flight or waiting.
    """

    def __init__(self, client: searchers.HttpSearcher) -> None:
        self.client = client
        self.slots = asyncio.Semaphore(client.searcher.slots)
        self.in_flight = 0


class Gathering:
    """Outcomes of one `Search` that wait to be sent.

    Attributes:
        sender: Who asked.
        search: What was asked.
        left: Parts without an outcome.
        outcomes: Not yet sent.
        lists: Hits not yet sent.
        flushing: Whether a reply is scheduled.
        tasks: Work for the parts.
    """

    def __init__(self, sender: bytes, search: messages.Search) -> None:
        self.sender = sender
        self.search = search
        self.left = len(search.parts)
        self.outcomes: list[messages.ShardOutcome] = []
        self.lists: list[list[messages.Hit]] = []
        self.retry_after_ms = 0.0
        self.flushing = False
        self.tasks: list[asyncio.Task[None]] = []


class Relay:
    """State of the role.

    Attributes:
        daemon: Process that it runs in.
        upstreams: By searcher id and address.
        gatherings: By the asking process and query.
        outcomes: Count of shard outcomes by status.
        calls: Calls made to searchers.
        idle: Set while nothing is gathered.
        leaving: Whether new work is refused.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.daemon = daemon
        self.upstreams: dict[tuple[str, str], Upstream] = {}
        self.gatherings: dict[tuple[str, str], Gathering] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.calls = 0
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
        for part in search.parts:
            task = self.daemon.spawn(run_part(self, gathering, part))
            gathering.tasks.append(task)

    def on_cancel(self, sender: bytes, cancel: messages.Cancel) -> None:
        gathering = self.remove((cancel.start_id, cancel.query_id))
        if gathering is not None:
            for task in gathering.tasks:
                task.cancel()

    def remove(self, key: tuple[str, str]) -> Gathering | None:
        """Forgets a gathering; returns it if it was known."""
        gathering = self.gatherings.pop(key, None)
        if not self.gatherings:
            self.idle.set()
        return gathering

    def on_ping(self, sender: bytes, ping: messages.Ping) -> None:
        accepting = not self.leaving
        pong = messages.Pong(self.daemon.start_id, accepting)
        self.daemon.bus.reply(sender, pong)

    def upstream(self, searcher: manifest.Searcher) -> Upstream:
        """Returns the state of a searcher, opening it on first use."""
        key = (searcher.id, searcher.address)
        if key not in self.upstreams:
            limit = max(
                searcher.slots, int(searcher.connections * CONNECTION_SHARE)
            )
            client = searchers.open_searcher(
                searcher, limit, self.daemon.settings.vm.address
            )
            self.upstreams[key] = Upstream(client)
        return self.upstreams[key]


async def run(options: settings.Settings) -> None:
    """Runs a relay until SIGTERM, then drains it."""
    daemon = await daemons.open_daemon(options, "relay")
    relay = Relay(daemon)
    daemon.bus.on(messages.Search, relay.on_search)
    daemon.bus.on(messages.Cancel, relay.on_cancel)
    daemon.bus.on(messages.Ping, relay.on_ping)
    saves = saverelay.create_save_relay(daemon)
    _register_metrics(relay)
    admin = daemons.create_admin(daemon)
    serving = daemon.spawn(daemons.serve(admin, "admin"))
    stopping = daemon.spawn(daemon.stopping.wait())
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
        for upstream in relay.upstreams.values():
            await upstream.client.close()
        await daemons.close_daemon(daemon)


async def run_part(
    relay: Relay, gathering: Gathering, part: messages.Part
) -> None:
    """Asks the searchers of one service until one answers."""
    loop = asyncio.get_running_loop()
    search = gathering.search
    deadline = loop.time() + search.time_left_ms / 1000
    status: messages.ShardStatus = "unknown-service"
    found: list[messages.Hit] = []
    tried: set[str] = set()
    for _ in range(2):
        upstream = choose_upstream(relay, search, part, tried)
        if upstream is None:
            break
        tried.add(upstream.client.searcher.id)
        status, found = await call(relay, upstream, search, part, deadline)
        if status == "ok":
            break
    gathering.outcomes += [
        messages.ShardOutcome(shard, status) for shard in part.shards
    ]
    gathering.lists.append(found)
    gathering.left -= 1
    relay.outcomes[status] += len(part.shards)
    if gathering.left == 0:
        relay.remove((search.start_id, search.query_id))
        flush(relay, gathering)
    elif not gathering.flushing:
        gathering.flushing = True
        loop.call_later(FLUSH_S, flush, relay, gathering)


def refuse(relay: Relay, gathering: Gathering) -> None:
    """Answers a search that came after this relay left."""
    gathering.outcomes = [
        messages.ShardOutcome(shard, "relay-leaving")
        for part in gathering.search.parts
        for shard in part.shards
    ]
    flush(relay, gathering)


def choose_upstream(
    relay: Relay,
    search: messages.Search,
    part: messages.Part,
    tried: set[str],
) -> Upstream | None:
    """Returns the least loaded searcher that takes new work."""
    config = relay.daemon.manifest
    if config is None or search.application not in config.applications:
        return None
    services = config.applications[search.application].services
    candidates = [
        relay.upstream(searcher)
        for searcher in services.get(part.service, [])
        if searcher.state == "live" and searcher.id not in tried
    ]
    if not candidates:
        return None
    chosen = min(
        candidates,
        key=lambda upstream: (
            upstream.in_flight / upstream.client.searcher.slots
        ),
    )
    _log.info(
        "place",
        request_id=search.request_id,
        service=part.service,
        chosen=chosen.client.searcher.id,
        candidates={
            upstream.client.searcher.id: upstream.in_flight
            for upstream in candidates
        },
    )
    return chosen


async def call(
    relay: Relay,
    upstream: Upstream,
    search: messages.Search,
    part: messages.Part,
    deadline: float,
) -> tuple[messages.ShardStatus, list[messages.Hit]]:
    """Makes one call to a searcher."""
    loop = asyncio.get_running_loop()
    upstream.in_flight += 1
    try:
        async with upstream.slots:
            left_s = deadline - loop.time()
            if left_s <= 0:
                return "deadline", []
            item: searchers.Item = {
                "request_id": search.request_id,
                "start_id": search.start_id,
                "snapshot": search.snapshot,
                "time_left_ms": left_s * 1000,
                "limit": search.limit,
                "service": part.service,
                "shards": part.shards,
                "query": msgspec.Raw(search.query),
            }
            relay.calls += 1
            [result] = await upstream.client.search([item], left_s)
    except errors.SearcherError as error:
        _log.warning("call-failed", code=error.code, reason=error.message)
        if isinstance(error, errors.SearcherProtocolError):
            return "protocol", []
        return "unreachable", []
    finally:
        upstream.in_flight -= 1
    if result["status"] == "ok" and result.get("snapshot") != search.snapshot:
        return "protocol", []
    return result["status"], [
        messages.Hit(**row)
        for row in result.get("hits", [])
        if row["shard"] in part.shards
    ]


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
        lambda: relay.calls,
        "Calls made to searchers",
    )
