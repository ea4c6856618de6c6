"""Search: runs one query over the relays.

Pins a snapshot, sends each part to the owner of its service, falls back to
the stand-by of a silent relay, and restarts once on another snapshot.
"""

import asyncio
import itertools
import typing

from laurelrock import callers
from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.core import members
from laurelrock.core import ownership
from laurelrock.core import query as queries

__all__ = ["Answer", "Searches", "create_searches", "run"]

#: Kept of the deadline for the answer's way back.
ANSWER_MARGIN_MS = 5.0
#: Least time left for a restart on another snapshot.
MIN_RESTART_MS = 20.0
#: Caller's wait where the relays gave none.
DEFAULT_RETRY_S = 1.0
#: Outcomes that prove that a shard was not run.
NOT_RUN = frozenset(
    [
        "shed",
        "draining",
        "version-gone",
        "version-unknown",
        "unknown-service",
        "no-relay",
        "relay-leaving",
    ]
)
#: Outcomes after which the next owner of the service is asked.
OTHER_RELAY = frozenset(["unknown-service", "relay-leaving"])

_log = logs.get_logger(__name__)


class Answer(typing.NamedTuple):
    """A query's result.

    Attributes:
        query: Its last attempt.
        generation: Of the manifest that the query began with.
    """

    query: queries.Query
    generation: int


class Attempt:
    """One attempt at a query and where its parts were sent.

    Attributes:
        request: What was asked.
        query: What is known.
        policy: Of the application.
        deadline: Loop time.
        done: Resolved once every shard has an outcome.
        sent: Services asked of each relay, by the relay's address.
        sent_at: Loop time of the last send to each relay.
        refused: Services that each relay did not take, by its address.
    """

    def __init__(
        self,
        request: callers.SearchRequest,
        query: queries.Query,
        policy: manifest.Policy,
        deadline: float,
        done: asyncio.Future[None],
    ) -> None:
        self.request = request
        self.query = query
        self.policy = policy
        self.deadline = deadline
        self.done = done
        self.refused: dict[str, set[str]] = {}
        self.sent: dict[str, set[str]] = {}
        self.sent_at: dict[str, float] = {}


class Searches:
    """Queries in flight of one entry.

    Attributes:
        daemon: Process that they run in.
        attempts: Waiting for replies, by query id.
        ids: Source of query ids.
        heard_at: Loop time of the last message of each relay.
        suspects: Addresses of relays that are silent.
        dropped: Replies that matched no waiting query.
        restarts: Queries that moved to another snapshot.
        fallbacks: Parts sent to a stand-by.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.daemon = daemon
        self.attempts: dict[str, Attempt] = {}
        self.ids = itertools.count(1)
        self.heard_at: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.dropped = 0
        self.restarts = 0
        self.fallbacks = 0

    def on_reply(self, sender: bytes, reply: messages.SearchReply) -> None:
        """Merges a relay's reply; one that matches no query is dropped."""
        self.heard(sender)
        attempt = self.attempts.get(reply.query_id)
        if attempt is None or reply.start_id != self.daemon.start_id:
            self.dropped += 1
            return
        queries.accept(attempt.query, reply)
        if any(outcome.status in OTHER_RELAY for outcome in reply.outcomes):
            send_elsewhere(self, attempt, sender[1:].decode(), reply)
        if attempt.query.done and not attempt.done.done():
            attempt.done.set_result(None)

    def on_pong(self, sender: bytes, pong: messages.Pong) -> None:
        self.heard(sender)

    def heard(self, sender: bytes) -> None:
        """Notes a sign of life of a relay that was asked."""
        if not sender.startswith(bus.ADDRESS_MARK):
            return
        address = sender[1:].decode()
        self.heard_at[address] = self.daemon.bus.loop.time()
        if address in self.suspects:
            self.suspects.discard(address)
            _log.info("relay-returned", relay=address)


def create_searches(daemon: daemons.Daemon) -> Searches:
    """Returns the searches of an entry, connected to its bus."""
    searches = Searches(daemon)
    daemon.bus.on(messages.SearchReply, searches.on_reply)
    daemon.bus.on(messages.Pong, searches.on_pong)
    daemon.spawn(probe_suspects(searches))
    return searches


async def probe_suspects(searches: Searches) -> None:
    """Pings silent relays on new connections until they answer."""
    daemon = searches.daemon
    while True:
        await asyncio.sleep(daemon.settings.entry.silence_ms / 1000)
        relays = daemon.relays(daemon.settings.vm.region)
        searches.suspects &= {relay.address for relay in relays}
        for address in list(searches.suspects):
            daemon.bus.forget(address)
            daemon.bus.send(address, messages.Ping(daemon.start_id))


async def run(searches: Searches, request: callers.SearchRequest) -> Answer:
    """Runs a query until it is whole, partial as allowed, or too late.

    Raises:
        RefusalError: The coverage reached does not suffice.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + (request.deadline_ms - ANSWER_MARGIN_MS) / 1000
    config, generation = current_manifest(searches.daemon)
    application = config.applications[request.application]
    snapshot: manifest.Snapshot | None = application.snapshots[0]
    tried: set[str] = set()
    asked: list[queries.Query] = []
    while snapshot is not None:
        tried.add(snapshot.version)
        query = await attempt_once(
            searches, request, snapshot, application.policy, deadline
        )
        asked.append(query)
        snapshot = None
        if deadline - loop.time() > MIN_RESTART_MS / 1000:
            newest = current_manifest(searches.daemon)[0]
            latest = newest.applications.get(request.application, application)
            if len(tried) == 1:
                snapshot = queries.next_snapshot(query, latest.snapshots, tried)
        if snapshot is not None:
            searches.restarts += 1
            _log.info(
                "restart",
                request_id=request.request_id,
                pinned=query.snapshot.version,
                chosen=snapshot.version,
            )
    best = max(asked, key=lambda query: query.fraction)
    check_coverage(best, request, any(may_have_run(query) for query in asked))
    return Answer(best, generation)


def current_manifest(
    daemon: daemons.Daemon,
) -> tuple[manifest.Manifest, int]:
    """Returns the manifest in force and its generation."""
    if daemon.manifest is None:
        raise errors.NotReadyError("no manifest yet", retry_after_s=1)
    return daemon.manifest, daemon.generation


async def attempt_once(
    searches: Searches,
    request: callers.SearchRequest,
    snapshot: manifest.Snapshot,
    policy: manifest.Policy,
    deadline: float,
) -> queries.Query:
    """Asks every shard of one snapshot; returns what came in time."""
    loop = asyncio.get_running_loop()
    query_id = str(next(searches.ids))
    query = queries.create_query(query_id, snapshot, request.limit)
    attempt = Attempt(request, query, policy, deadline, loop.create_future())
    searches.attempts[query_id] = attempt
    began = loop.time()
    silence_s = searches.daemon.settings.entry.silence_ms / 1000
    try:
        send_parts(searches, attempt, set(query.pending))
        while not query.done and loop.time() < deadline:
            step = min(deadline - loop.time(), silence_s / 2)
            if policy.partial == "early":
                early = began + policy.early_ms / 1000
                if loop.time() >= early and query.fraction >= max(
                    request.min_coverage, policy.min_coverage
                ):
                    break
                if early > loop.time():
                    step = min(step, early - loop.time())
            await asyncio.wait([attempt.done], timeout=max(step, 0.001))
            if not query.done:
                fall_back(searches, attempt, silence_s)
    finally:
        del searches.attempts[query_id]
        if not query.done:
            cancel(searches, attempt)
    return query


def send_parts(
    searches: Searches,
    attempt: Attempt,
    wanted: set[str],
) -> None:
    """Sends the parts of the wanted shards to the relays that own them.

    Shards that no relay was ever asked for and none can be asked for now get
    the outcome "no-relay".
    """
    daemon = searches.daemon
    now = daemon.bus.loop.time()
    time_left_ms = (attempt.deadline - now) * 1000
    if time_left_ms <= 0:
        return
    relays = daemon.relays(daemon.settings.vm.region)
    chosen: dict[str, list[messages.Part]] = {}
    for part in queries.parts_of(attempt.query.snapshot, wanted):
        address = choose_relay(searches, attempt, part.service, relays)
        if address is not None:
            chosen.setdefault(address, []).append(part)
        elif not attempt.sent:
            queries.fail(attempt.query, part.shards, "no-relay")
    for address, parts in chosen.items():
        attempt.sent.setdefault(address, set()).update(
            part.service for part in parts
        )
        attempt.sent_at[address] = now
        daemon.bus.send(
            address,
            messages.Search(
                query_id=attempt.query.query_id,
                start_id=daemon.start_id,
                request_id=attempt.request.request_id,
                application=attempt.request.application,
                snapshot=attempt.query.snapshot.version,
                time_left_ms=time_left_ms,
                priority=attempt.policy.priority,
                limit=attempt.request.limit,
                query=attempt.request.query,
                parts=parts,
            ),
        )
    _log.info(
        "route",
        request_id=attempt.request.request_id,
        snapshot=attempt.query.snapshot.version,
        time_left_ms=round(time_left_ms, 1),
        chosen={
            address: [part.service for part in parts]
            for address, parts in chosen.items()
        },
        suspects=sorted(searches.suspects),
    )


def choose_relay(
    searches: Searches,
    attempt: Attempt,
    service: str,
    relays: list[members.Member],
) -> str | None:
    """Returns the first owner that is not silent and was not asked yet."""
    region = searches.daemon.settings.vm.region
    key = ownership.service_key(attempt.request.application, service, region)
    for relay in ownership.owners(key, relays):
        if relay.address in searches.suspects:
            continue
        if service in attempt.sent.get(relay.address, ()):
            continue
        if service not in attempt.refused.get(relay.address, ()):
            return relay.address
    return None


def fall_back(
    searches: Searches,
    attempt: Attempt,
    silence_s: float,
) -> None:
    """Finds relays that are silent and sends their parts to others."""
    daemon = searches.daemon
    now = daemon.bus.loop.time()
    pending = queries.parts_of(attempt.query.snapshot, attempt.query.pending)
    waiting = {part.service: part.shards for part in pending}
    for address, services in list(attempt.sent.items()):
        if not services & waiting.keys():
            continue
        last = max(
            attempt.sent_at[address], searches.heard_at.get(address, 0.0)
        )
        if address not in searches.suspects:
            if now - last < silence_s / 2:
                continue
            if now - last < silence_s:
                daemon.bus.send(address, messages.Ping(daemon.start_id))
                continue
            searches.suspects.add(address)
            _log.warning("relay-silent", relay=address)
        lost = services & waiting.keys()
        attempt.sent[address] -= lost
        wanted = {shard for name in lost for shard in waiting[name]}
        attempt.query.doubtful |= wanted
        searches.fallbacks += len(lost)
        send_parts(searches, attempt, wanted)


def send_elsewhere(
    searches: Searches,
    attempt: Attempt,
    address: str,
    reply: messages.SearchReply,
) -> None:
    """Sends shards that a relay did not take to the next owner."""
    shards = {
        outcome.shard
        for outcome in reply.outcomes
        if outcome.status in OTHER_RELAY
    } - attempt.query.covered
    parts = queries.parts_of(attempt.query.snapshot, shards)
    refused = attempt.refused.setdefault(address, set())
    fresh = [part for part in parts if part.service not in refused]
    refused.update(part.service for part in fresh)
    for part in fresh:
        relays = searches.daemon.relays(searches.daemon.settings.vm.region)
        if choose_relay(searches, attempt, part.service, relays) is None:
            continue
        searches.fallbacks += 1
        queries.reopen(attempt.query, part.shards)
        send_parts(searches, attempt, set(part.shards))


def cancel(searches: Searches, attempt: Attempt) -> None:
    """Tells the relays that still work on an attempt to stop."""
    daemon = searches.daemon
    message = messages.Cancel(attempt.query.query_id, daemon.start_id)
    for address in attempt.sent:
        if address not in searches.suspects:
            daemon.bus.send(address, message)


def may_have_run(query: queries.Query) -> bool:
    """Whether a searcher may have run any shard of an attempt."""
    statuses = {outcome.status for outcome in query.missing()}
    return bool(query.covered or query.doubtful or statuses - NOT_RUN)


def check_coverage(
    query: queries.Query, request: callers.SearchRequest, ran: bool
) -> None:
    """Raises the refusal that fits, if the coverage does not suffice.

    Args:
        query: Attempt with the highest coverage.
        request: What was asked.
        ran: Whether any attempt may have run.
    """
    if query.covered and query.fraction >= request.min_coverage:
        return
    if not query.snapshot.shards:
        return
    reasons = {outcome.status for outcome in query.missing()}
    if not ran:
        wait = query.retry_after_ms / 1000 or DEFAULT_RETRY_S
        raise errors.OverloadedError(
            f"no shard could be asked: {', '.join(sorted(reasons))}",
            "no",
            wait,
        )
    raise errors.CoverageError(
        f"coverage {query.fraction:.3f} is below {request.min_coverage:g}"
        f" ({', '.join(sorted(reasons))})",
        "yes" if query.covered else "unknown",
        query.retry_after_ms / 1000 or DEFAULT_RETRY_S,
    )
