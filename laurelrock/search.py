"""Coordinates search queries of an entry across relays.

A query is pinned to one snapshot. Each of its parts goes to the relay that
owns the part's service. If that relay does not respond, the part is sent to
the next owner. A query restarts at most once on another snapshot.
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

__all__ = ["Answer", "SearchCoordinator", "create_coordinator", "run"]

#: Time reserved before the deadline for sending the answer to the caller.
RESPONSE_MARGIN_MS = 5.0
#: Minimum remaining time for a restart on another snapshot.
MIN_RESTART_MS = 20.0
#: Retry delay reported to a caller if no relay reported one.
DEFAULT_RETRY_AFTER_S = 1.0
#: Outcomes that prove that the query did not run on a shard.
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
#: Outcomes after which the part is sent to the next owner of its service.
NEXT_RELAY_STATUSES = frozenset(["unknown-service", "relay-leaving"])

_log = logs.get_logger(__name__)


class Answer(typing.NamedTuple):
    """The result of a query.

    Attributes:
        query: The attempt with the highest coverage.
        generation: Generation of the manifest that was in force when the
            query started.
    """

    query: queries.Query
    generation: int


class Attempt:
    """One attempt at a query and the relays that its parts were sent to.

    Attributes:
        request: The caller's search request.
        query: Outcomes and hits received so far.
        policy: Policy of the application.
        deadline: Event loop time of the deadline, in seconds.
        done: Future that is resolved once every shard has an outcome.
        sent: Services requested from each relay, by relay address.
        sent_at: Event loop time of the last send to each relay, by address.
        refused: Services that each relay rejected, by relay address.
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


class SearchCoordinator:
    """Runs the queries of one entry and tracks which relays respond.

    Attributes:
        daemon: The process that the queries run in.
        attempts: Attempts that wait for replies, by query id.
        query_ids: Counter that generates query ids.
        last_contact_at: Event loop time of the last message from each relay, by
            address.
        suspects: Addresses of relays that are suspected to be down.
        dropped: Number of replies that matched no waiting query.
        restarts: Number of queries restarted on another snapshot.
        fallbacks: Number of parts that were sent again to another relay.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.daemon = daemon
        self.attempts: dict[str, Attempt] = {}
        self.query_ids = itertools.count(1)
        self.last_contact_at: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.dropped = 0
        self.restarts = 0
        self.fallbacks = 0

    def on_reply(self, sender: bytes, reply: messages.SearchReply) -> None:
        """Merges a relay's reply, or drops it if no query waits for it."""
        self.record_contact(sender)
        attempt = self.attempts.get(reply.query_id)
        if attempt is None or reply.start_id != self.daemon.start_id:
            self.dropped += 1
            return
        queries.merge_reply(attempt.query, reply)
        if any(
            outcome.status in NEXT_RELAY_STATUSES for outcome in reply.outcomes
        ):
            resend_to_next_owner(self, attempt, sender[1:].decode(), reply)
        if attempt.query.done and not attempt.done.done():
            attempt.done.set_result(None)

    def on_pong(self, sender: bytes, pong: messages.Pong) -> None:
        """Handles a relay's reply to a ping."""
        self.record_contact(sender)

    def record_contact(self, sender: bytes) -> None:
        """Records the time of a message from a relay."""
        if not sender.startswith(bus.ADDRESS_PREFIX):
            return
        address = sender[1:].decode()
        self.last_contact_at[address] = self.daemon.bus.loop.time()
        if address in self.suspects:
            self.suspects.discard(address)
            _log.info("relay-recovered", relay=address)


def create_coordinator(daemon: daemons.Daemon) -> SearchCoordinator:
    """Returns a coordinator that receives replies from the daemon's bus."""
    coordinator = SearchCoordinator(daemon)
    daemon.bus.on(messages.SearchReply, coordinator.on_reply)
    daemon.bus.on(messages.Pong, coordinator.on_pong)
    daemon.spawn(probe_suspects(coordinator))
    return coordinator


async def probe_suspects(coordinator: SearchCoordinator) -> None:
    """Pings suspected relays on new connections until they respond."""
    daemon = coordinator.daemon
    while True:
        await asyncio.sleep(daemon.settings.entry.silence_ms / 1000)
        relays = daemon.relays(daemon.settings.vm.region)
        coordinator.suspects &= {relay.address for relay in relays}
        for address in list(coordinator.suspects):
            daemon.bus.forget(address)
            daemon.bus.send(address, messages.Ping(daemon.start_id))


async def run(
    coordinator: SearchCoordinator, request: callers.SearchRequest
) -> Answer:
    """Runs a query until it is complete or partial enough, or times out.

    Raises:
        RefusalError: The coverage reached is too low.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + (request.deadline_ms - RESPONSE_MARGIN_MS) / 1000
    config, generation = current_manifest(coordinator.daemon)
    application = config.applications[request.application]
    snapshot: manifest.Snapshot | None = application.snapshots[0]
    tried: set[str] = set()
    attempted: list[queries.Query] = []
    while snapshot is not None:
        tried.add(snapshot.version)
        query = await run_attempt(
            coordinator, request, snapshot, application.policy, deadline
        )
        attempted.append(query)
        snapshot = None
        if deadline - loop.time() > MIN_RESTART_MS / 1000:
            newest = current_manifest(coordinator.daemon)[0]
            latest = newest.applications.get(request.application, application)
            if len(tried) == 1:
                snapshot = queries.choose_restart_snapshot(
                    query, latest.snapshots, tried
                )
        if snapshot is not None:
            coordinator.restarts += 1
            _log.info(
                "query-restarted",
                request_id=request.request_id,
                pinned=query.snapshot.version,
                chosen=snapshot.version,
            )
    best = max(attempted, key=lambda query: query.fraction)
    check_coverage(
        best, request, any(may_have_run(query) for query in attempted)
    )
    return Answer(best, generation)


def current_manifest(
    daemon: daemons.Daemon,
) -> tuple[manifest.Manifest, int]:
    """Returns the manifest in force and its generation.

    Raises:
        NotReadyError: No manifest was received yet.
    """
    if daemon.manifest is None:
        raise errors.NotReadyError("no manifest yet", retry_after_s=1)
    return daemon.manifest, daemon.generation


async def run_attempt(
    coordinator: SearchCoordinator,
    request: callers.SearchRequest,
    snapshot: manifest.Snapshot,
    policy: manifest.Policy,
    deadline: float,
) -> queries.Query:
    """Queries all shards of a snapshot; returns what arrived in time."""
    loop = asyncio.get_running_loop()
    query_id = str(next(coordinator.query_ids))
    query = queries.create_query(query_id, snapshot, request.limit)
    attempt = Attempt(request, query, policy, deadline, loop.create_future())
    coordinator.attempts[query_id] = attempt
    began = loop.time()
    silence_s = coordinator.daemon.settings.entry.silence_ms / 1000
    try:
        send_parts(coordinator, attempt, set(query.pending))
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
                resend_from_unresponsive_relays(coordinator, attempt, silence_s)
    finally:
        del coordinator.attempts[query_id]
        if not query.done:
            cancel(coordinator, attempt)
    return query


def send_parts(
    coordinator: SearchCoordinator,
    attempt: Attempt,
    wanted: set[str],
) -> None:
    """Sends the parts of the wanted shards to the relays that own them.

    If no relay is available and nothing was sent before in this attempt, the
    shards get the outcome "no-relay".
    """
    daemon = coordinator.daemon
    now = daemon.bus.loop.time()
    time_left_ms = (attempt.deadline - now) * 1000
    if time_left_ms <= 0:
        return
    relays = daemon.relays(daemon.settings.vm.region)
    chosen: dict[str, list[messages.ServiceShards]] = {}
    for part in queries.group_by_service(attempt.query.snapshot, wanted):
        address = choose_relay(coordinator, attempt, part.service, relays)
        if address is not None:
            chosen.setdefault(address, []).append(part)
        elif not attempt.sent:
            queries.mark_failed(attempt.query, part.shards, "no-relay")
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
        "query-routed",
        request_id=attempt.request.request_id,
        snapshot=attempt.query.snapshot.version,
        time_left_ms=round(time_left_ms, 1),
        chosen={
            address: [part.service for part in parts]
            for address, parts in chosen.items()
        },
        suspects=sorted(coordinator.suspects),
    )


def choose_relay(
    coordinator: SearchCoordinator,
    attempt: Attempt,
    service: str,
    relays: list[members.Member],
) -> str | None:
    """Returns the first owner that is not suspected and not tried yet."""
    region = coordinator.daemon.settings.vm.region
    key = ownership.service_key(attempt.request.application, service, region)
    for relay in ownership.owners(key, relays):
        if relay.address in coordinator.suspects:
            continue
        if service in attempt.sent.get(relay.address, ()):
            continue
        if service not in attempt.refused.get(relay.address, ()):
            return relay.address
    return None


def resend_from_unresponsive_relays(
    coordinator: SearchCoordinator,
    attempt: Attempt,
    silence_s: float,
) -> None:
    """Detects unresponsive relays and resends their parts to others."""
    daemon = coordinator.daemon
    now = daemon.bus.loop.time()
    pending = queries.group_by_service(
        attempt.query.snapshot, attempt.query.pending
    )
    waiting = {part.service: part.shards for part in pending}
    for address, services in list(attempt.sent.items()):
        if not services & waiting.keys():
            continue
        last = max(
            attempt.sent_at[address],
            coordinator.last_contact_at.get(address, 0.0),
        )
        if address not in coordinator.suspects:
            if now - last < silence_s / 2:
                continue
            if now - last < silence_s:
                daemon.bus.send(address, messages.Ping(daemon.start_id))
                continue
            coordinator.suspects.add(address)
            _log.warning("relay-silent", relay=address)
        resent = services & waiting.keys()
        attempt.sent[address] -= resent
        wanted = {shard for name in resent for shard in waiting[name]}
        attempt.query.possibly_run |= wanted
        coordinator.fallbacks += len(resent)
        send_parts(coordinator, attempt, wanted)


def resend_to_next_owner(
    coordinator: SearchCoordinator,
    attempt: Attempt,
    address: str,
    reply: messages.SearchReply,
) -> None:
    """Sends shards that a relay rejected to the next owner."""
    shards = {
        outcome.shard
        for outcome in reply.outcomes
        if outcome.status in NEXT_RELAY_STATUSES
    } - attempt.query.covered
    parts = queries.group_by_service(attempt.query.snapshot, shards)
    refused = attempt.refused.setdefault(address, set())
    fresh = [part for part in parts if part.service not in refused]
    refused.update(part.service for part in fresh)
    for part in fresh:
        relays = coordinator.daemon.relays(
            coordinator.daemon.settings.vm.region
        )
        if choose_relay(coordinator, attempt, part.service, relays) is None:
            continue
        coordinator.fallbacks += 1
        queries.mark_pending(attempt.query, part.shards)
        send_parts(coordinator, attempt, set(part.shards))


def cancel(coordinator: SearchCoordinator, attempt: Attempt) -> None:
    """Sends a cancellation to the responsive relays of an attempt."""
    daemon = coordinator.daemon
    message = messages.Cancel(attempt.query.query_id, daemon.start_id)
    for address in attempt.sent:
        if address not in coordinator.suspects:
            daemon.bus.send(address, message)


def may_have_run(query: queries.Query) -> bool:
    """Returns whether any shard of an attempt may have run the query."""
    statuses = {outcome.status for outcome in query.missing()}
    return bool(query.covered or query.possibly_run or statuses - NOT_RUN)


def check_coverage(
    query: queries.Query, request: callers.SearchRequest, ran: bool
) -> None:
    """Raises the matching refusal if the coverage is too low.

    Args:
        query: The attempt with the highest coverage.
        request: The caller's search request.
        ran: Whether any attempt may have run on a searcher.
    """
    if query.covered and query.fraction >= request.min_coverage:
        return
    if not query.snapshot.shards:
        return
    reasons = {outcome.status for outcome in query.missing()}
    if not ran:
        wait = query.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S
        raise errors.OverloadedError(
            f"no shard could be asked: {', '.join(sorted(reasons))}",
            "no",
            wait,
        )
    raise errors.CoverageError(
        f"coverage {query.fraction:.3f} is below {request.min_coverage:g}"
        f" ({', '.join(sorted(reasons))})",
        "yes" if query.covered else "unknown",
        query.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S,
    )
