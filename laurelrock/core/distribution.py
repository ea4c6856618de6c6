"""Distributes new generations of the manifest to the daemons.

The protocol is a state machine without I/O. A few daemons of each failure
domain watch the head on the platform; the others poll it rarely and learn of
a new generation from their peers' heartbeats. Peers send deltas, and a full
manifest only if no sequence of deltas is available. Every read of the
platform has a random delay, so that the daemons of a fleet that starts or
loses the platform at one time do not all read at the same time. All times are
in seconds on this process's monotonic clock.
"""

import random as randomness
import typing

import xxhash

from laurelrock import errors
from laurelrock import head as heads
from laurelrock import messages
from laurelrock.core import catalog as catalogs
from laurelrock.core import pacing
from laurelrock.core import records

__all__ = ["DistributionState", "Fetch", "is_watcher", "next_fetch"]

#: Number of daemons in each failure domain that watch the head.
WATCHERS_PER_DOMAIN = 3

#: Maximum duration of one watch request, in seconds.
WATCH_TIMEOUT_S = 25.0

#: Mean time between two watch requests, in seconds.
WATCH_PAUSE_S = 0.1

#: Mean time between two reads by a watcher while no head exists, in seconds.
ABSENT_POLL_INTERVAL_S = 1.0

#: Mean time between two polls of the head by other daemons, in seconds.
POLL_INTERVAL_S = 30.0

#: Total rate of first reads in a fleet that starts at one time, in reads per
#: second.
STARTUP_READS_PER_S = 200.0

#: Time that a peer has to reply before another peer is asked, in seconds.
PEER_TIMEOUT_S = 0.3

#: Mean time that peers have to send a new generation before it is read from the
#: platform, in seconds.
PEER_GRACE_S = 1.0

#: Full manifests that a daemon may send to its peers, per second; also the
#: largest burst.
MAX_FULL_MANIFESTS_PER_S = 2.0


class Fetch(typing.NamedTuple):
    """A read of the platform.

    Attributes:
        kind: "head" reads the head at once, "watch" waits until the version
            of the head exceeds `after`, "delta" and "copy" read the delta or
            the full manifest that `head` names.
        after: Version of the head that a "watch" waits to be exceeded.
        head: Head that names the object of a "delta" or "copy".
    """

    kind: typing.Literal["head", "watch", "delta", "copy"]
    after: int = 0
    head: heads.Head | None = None


class DistributionState:
    """State of the manifest's distribution at one daemon.

    Attributes:
        address: Address of this daemon.
        catalog: The manifest in force and the recent deltas.
        head: The newest head read from the platform.
        head_version: Version of the head object, 0 if none was read.
        needs_full: Whether deltas failed, so that a full manifest is needed.
        pace: Schedule of the reads of the platform.
        request_sent_s: Time at which a peer was sent a request that it has
            not answered yet.
        deferred_heartbeat: Newest heartbeat that arrived while a peer's reply
            was outstanding, if any.
        full_tokens: Number of full manifests that may be sent now, as in a
            token bucket.
        tokens_updated_s: Time at which `full_tokens` was last updated.
        rejections: Manifests, deltas and heads rejected since the last log.
    """

    def __init__(
        self, address: str, random: randomness.Random, now_s: float
    ) -> None:
        self.address = address
        self.catalog = catalogs.Catalog()
        self.head: heads.Head | None = None
        self.head_version = 0
        self.needs_full = False
        self.pace = pacing.Pacer(random, now_s)
        self.request_sent_s = now_s - PEER_TIMEOUT_S
        self.deferred_heartbeat: messages.Heartbeat | None = None
        self.full_tokens = MAX_FULL_MANIFESTS_PER_S
        self.tokens_updated_s = now_s
        self.rejections: list[errors.LaurelrockError] = []


def is_watcher(me: records.Record, others: list[records.Record]) -> bool:
    """Returns whether a daemon watches the head for its failure domain."""
    peers = [
        record.address
        for record in others
        if record.failure_domain == me.failure_domain
        and record.address != me.address
    ]
    own = _weight(me.address)
    return (
        sum(_weight(address) > own for address in peers) < WATCHERS_PER_DOMAIN
    )


def start(state: DistributionState, fleet: int | None, now_s: float) -> None:
    """Schedules the first read, with a delay that grows with the fleet's size.

    The delay is random, so that the fleet makes `STARTUP_READS_PER_S` on
    average.

    Args:
        state: State of the distribution.
        fleet: Number of VMs in the platform's list, or None if the list could
            not be read; the first read is then delayed as after a failure.
        now_s: Current time.
    """
    if fleet is None:
        state.pace.failed(now_s)
    else:
        state.pace.schedule_within(fleet / STARTUP_READS_PER_S, now_s)


def next_fetch(
    state: DistributionState, watcher: bool, now_s: float
) -> Fetch | None:
    """Returns the read that is due, if any; call it while none is running."""
    if not state.pace.is_due(now_s):
        return None
    head = state.head
    if head is not None and _is_behind(state, head):
        follows = head.generation == state.catalog.generation + 1
        use_delta = follows and head.delta and not state.needs_full
        return Fetch("delta" if use_delta else "copy", head=head)
    if watcher and state.head_version:
        return Fetch("watch", after=state.head_version)
    return Fetch("head")


def on_head(
    state: DistributionState,
    version: int,
    raw: bytes | None,
    watcher: bool,
    now_s: float,
) -> None:
    """Processes a read of the head.

    Args:
        state: State of the distribution.
        version: Version of the head object.
        raw: The encoded head, or None if it did not change or does not exist.
        watcher: Whether this daemon watches the head.
        now_s: Current time.
    """
    pause_s = POLL_INTERVAL_S
    if watcher:
        pause_s = (
            WATCH_PAUSE_S
            if state.head_version or raw
            else ABSENT_POLL_INTERVAL_S
        )
    state.pace.succeeded(pause_s, now_s)
    if raw is None:
        return
    state.head_version = version
    try:
        head = heads.decode(raw)
        ahead = catalogs.is_ahead(state.catalog, head.generation, head.digest)
    except errors.LaurelrockError as error:
        state.rejections.append(error)
        return
    state.head = head
    if ahead:
        at_once = watcher or not state.catalog.generation
        state.pace.succeeded(0 if at_once else PEER_GRACE_S, now_s)


def on_body(
    state: DistributionState,
    fetch: Fetch,
    raw: bytes | None,
    watcher: bool,
    now_s: float,
) -> bool:
    """Processes a delta or full manifest that was read from the platform.

    Args:
        state: State of the distribution.
        fetch: The read that returned the body.
        raw: The delta or the manifest, or None if the object does not exist.
        watcher: Whether this daemon watches the head.
        now_s: Current time.

    Returns:
        Whether a newer generation was put in force.
    """
    head = fetch.head
    assert head is not None
    advanced = False
    if raw is None:
        message = (
            f"the {fetch.kind} of generation {head.generation} does not exist"
        )
        state.rejections.append(errors.DigestError(message))
        state.needs_full = True
    elif fetch.kind == "delta":
        delta = messages.ManifestDelta(head.generation, head.digest, raw)
        advanced = _apply_deltas(state, [delta])
    else:
        advanced = _apply_full(state, head.generation, head.digest, raw)
    if _is_behind(state, head):
        state.head, state.head_version = None, 0
        state.pace.failed(now_s)
    else:
        pause_s = WATCH_PAUSE_S if watcher else POLL_INTERVAL_S
        state.pace.succeeded(pause_s, now_s)
    return advanced


def on_failure(state: DistributionState, now_s: float) -> None:
    """Schedules the next read after a failure, with backoff."""
    state.pace.failed(now_s)


def on_heartbeat(
    state: DistributionState, beat: messages.Heartbeat, now_s: float
) -> messages.ManifestRequest | None:
    """Returns a request to the sender if it has a newer generation."""
    if not beat.generation:
        return None
    try:
        ahead = catalogs.is_ahead(state.catalog, beat.generation, beat.digest)
    except errors.GenerationConflictError as error:
        state.rejections.append(error)
        return None
    if not ahead:
        return None
    if now_s - state.request_sent_s < PEER_TIMEOUT_S:
        if (
            state.deferred_heartbeat is None
            or beat.generation > state.deferred_heartbeat.generation
        ):
            state.deferred_heartbeat = beat
        return None
    state.request_sent_s = now_s
    held_generation = 0 if state.needs_full else state.catalog.generation
    return messages.ManifestRequest(state.address, held_generation)


def on_peer_reply(
    state: DistributionState, now_s: float
) -> messages.Heartbeat | None:
    """Ends the wait for a peer's reply; returns a deferred heartbeat, if any.

    The caller processes this heartbeat again. Otherwise a generation that is
    announced between a request and its reply would be requested only at the
    next heartbeat, a second later.
    """
    state.request_sent_s = now_s - PEER_TIMEOUT_S
    deferred, state.deferred_heartbeat = state.deferred_heartbeat, None
    return deferred


def on_manifest_request(
    state: DistributionState, message: messages.ManifestRequest, now_s: float
) -> messages.ManifestDeltas | messages.FullManifest | None:
    """Returns the deltas or the manifest that a peer lacks.

    Returns:
        The message to send to the peer, or None if this daemon has nothing
        newer or has sent too many full manifests; the peer must then ask
        another daemon.
    """
    catalog = state.catalog
    if message.generation >= catalog.generation:
        return None
    deltas = catalogs.deltas_after(catalog, message.generation)
    if deltas is not None and message.generation:
        return messages.ManifestDeltas(state.address, deltas)
    gained = (now_s - state.tokens_updated_s) * MAX_FULL_MANIFESTS_PER_S
    state.full_tokens = min(
        MAX_FULL_MANIFESTS_PER_S, state.full_tokens + gained
    )
    state.tokens_updated_s = now_s
    if state.full_tokens < 1:
        return None
    state.full_tokens -= 1
    return messages.FullManifest(
        state.address, catalog.generation, catalog.digest, catalog.raw
    )


def on_manifest_deltas(
    state: DistributionState, message: messages.ManifestDeltas
) -> bool:
    """Applies a peer's deltas; returns whether the generation rose."""
    return _apply_deltas(state, message.deltas)


def on_full_manifest(
    state: DistributionState, message: messages.FullManifest
) -> bool:
    """Applies a peer's full manifest; returns whether it is now in force."""
    return _apply_full(state, message.generation, message.digest, message.raw)


def _apply_deltas(
    state: DistributionState, deltas: list[messages.ManifestDelta]
) -> bool:
    try:
        advanced = catalogs.apply_deltas(state.catalog, deltas)
    except errors.LaurelrockError as error:
        state.rejections.append(error)
        advanced = False
    newest = max((delta.generation for delta in deltas), default=0)
    state.needs_full = newest > state.catalog.generation
    return advanced


def _apply_full(
    state: DistributionState, generation: int, digest: str, raw: bytes
) -> bool:
    try:
        advanced = catalogs.apply_full(state.catalog, generation, digest, raw)
    except errors.LaurelrockError as error:
        state.rejections.append(error)
        return False
    state.needs_full = state.needs_full and not advanced
    return advanced


def _is_behind(state: DistributionState, head: heads.Head) -> bool:
    ahead = head.generation > state.catalog.generation
    return ahead and head.digest not in state.catalog.invalid_digests


def _weight(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())
