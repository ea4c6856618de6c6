"""Spreading: how the manifest's generations reach a daemon.

A state machine. A few daemons of each failure domain wait on the platform's
head; the others read it seldom and learn of a new generation from their
peers' heartbeats. Deltas come from peers, whole copies only where no delta
will do. Every read of the platform is delayed at random, so that a fleet
that starts or loses the platform at one moment does not read at one moment.
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

__all__ = ["Fetch", "Spreading", "is_watcher", "next_fetch"]

#: Daemons of a failure domain that wait on the head.
WATCHERS = 3

#: Longest wait of one watch, in seconds.
WATCH_S = 25.0

#: Mean time between two watches, in seconds.
WATCH_PAUSE_S = 0.1

#: Mean time between two reads by a watcher while there is no head, in seconds.
ABSENT_S = 1.0

#: Mean time between two reads of the head by the other daemons, in seconds.
POLL_S = 30.0

#: Reads a second by the whole fleet when it starts at one moment.
START_READS_PER_S = 200.0

#: Time that a peer has to answer before another one is asked, in seconds.
ASK_S = 0.3

#: Time that peers have before the platform is asked for a body, in seconds.
PATIENCE_S = 1.0

#: Whole copies a second that a daemon gives to its peers.
COPIES_PER_S = 2.0


class Fetch(typing.NamedTuple):
    """A read of the platform.

    Attributes:
        kind: What is read: the head at once, the head once its version
            exceeds `after`, or the bodies that lead to `head`.
        after: See `kind`.
        head: See `kind`.
    """

    kind: typing.Literal["head", "watch", "delta", "copy"]
    after: int = 0
    head: heads.Head | None = None


class Spreading:
    """What one daemon does to hold the newest manifest.

    Attributes:
        address: Of this daemon.
        catalog: The manifest in force.
        head: The newest head read from the platform.
        head_version: Version of that object.
        whole: Whether a step failed, so that only a copy will do.
        pace: When the platform may be read next.
        asked_s: When a peer was asked that has not answered yet.
        heard: Newest heartbeat that came while a peer had still to answer.
        copies: Whole copies that may be given now.
        copied_s: When `copies` was last brought up to date.
        alarms: Failures since the last log.
    """

    def __init__(
        self, address: str, random: randomness.Random, now_s: float
    ) -> None:
        self.address = address
        self.catalog = catalogs.Catalog()
        self.head: heads.Head | None = None
        self.head_version = 0
        self.whole = False
        self.pace = pacing.Pace(random, now_s)
        self.asked_s = now_s - ASK_S
        self.heard: messages.Heartbeat | None = None
        self.copies = COPIES_PER_S
        self.copied_s = now_s
        self.alarms: list[errors.LaurelrockError] = []


def is_watcher(me: records.Record, others: list[records.Record]) -> bool:
    """Tells whether a daemon waits on the head for its failure domain."""
    peers = [
        record.address
        for record in others
        if record.failure_domain == me.failure_domain
        and record.address != me.address
    ]
    own = _weight(me.address)
    return sum(_weight(address) > own for address in peers) < WATCHERS


def start(state: Spreading, fleet: int | None, now_s: float) -> None:
    """Delays the first read by the size of the fleet.

    Args:
        state: What is started.
        fleet: Number of VMs listed, or None where the platform did not say.
        now_s: Present time.
    """
    if fleet is None:
        state.pace.failed(now_s)
    else:
        state.pace.spread(fleet / START_READS_PER_S, now_s)


def next_fetch(state: Spreading, watcher: bool, now_s: float) -> Fetch | None:
    """Returns the read that is due; call it when no other is under way."""
    if not state.pace.is_due(now_s):
        return None
    head = state.head
    if head is not None and _is_behind(state, head):
        follows = head.generation == state.catalog.generation + 1
        step = follows and head.delta and not state.whole
        return Fetch("delta" if step else "copy", head=head)
    if watcher and state.head_version:
        return Fetch("watch", after=state.head_version)
    return Fetch("head")


def on_head(
    state: Spreading,
    version: int,
    raw: bytes | None,
    watcher: bool,
    now_s: float,
) -> None:
    """Takes in a head, or None where it did not change or does not exist."""
    pause_s = POLL_S
    if watcher:
        pause_s = WATCH_PAUSE_S if state.head_version or raw else ABSENT_S
    state.pace.succeeded(pause_s, now_s)
    if raw is None:
        return
    state.head_version = version
    try:
        head = heads.decode(raw)
        ahead = catalogs.is_ahead(state.catalog, head.generation, head.digest)
    except errors.LaurelrockError as error:
        state.alarms.append(error)
        return
    state.head = head
    if ahead:
        at_once = watcher or not state.catalog.generation
        state.pace.succeeded(0 if at_once else PATIENCE_S, now_s)


def on_body(
    state: Spreading,
    fetch: Fetch,
    raw: bytes | None,
    watcher: bool,
    now_s: float,
) -> bool:
    """Takes in a body; tells whether the generation rose."""
    head = fetch.head
    assert head is not None
    rose = False
    if raw is None:
        message = f"no {fetch.kind} of generation {head.generation}"
        state.alarms.append(errors.DigestError(message))
        state.whole = True
    elif fetch.kind == "delta":
        step = messages.ManifestStep(head.generation, head.digest, raw)
        rose = _take_steps(state, [step])
    else:
        rose = _take_copy(state, head.generation, head.digest, raw)
    if _is_behind(state, head):
        state.head, state.head_version = None, 0
        state.pace.failed(now_s)
    else:
        pause_s = WATCH_PAUSE_S if watcher else POLL_S
        state.pace.succeeded(pause_s, now_s)
    return rose


def on_failure(state: Spreading, now_s: float) -> None:
    """Backs off after a read that failed."""
    state.pace.failed(now_s)


def on_heartbeat(
    state: Spreading, beat: messages.Heartbeat, now_s: float
) -> messages.ManifestWanted | None:
    """Returns the question to a peer that holds a newer generation."""
    if not beat.generation:
        return None
    try:
        ahead = catalogs.is_ahead(state.catalog, beat.generation, beat.digest)
    except errors.GenerationConflictError as error:
        state.alarms.append(error)
        return None
    if not ahead:
        return None
    if now_s - state.asked_s < ASK_S:
        if state.heard is None or beat.generation > state.heard.generation:
            state.heard = beat
        return None
    state.asked_s = now_s
    held = 0 if state.whole else state.catalog.generation
    return messages.ManifestWanted(state.address, held)


def on_answered(state: Spreading, now_s: float) -> messages.Heartbeat | None:
    """Ends the wait for a peer; returns a heartbeat to take in again.

    A generation that is announced between a question and its answer would
    otherwise be asked for at the next heartbeat only, a second later.
    """
    state.asked_s = now_s - ASK_S
    heard, state.heard = state.heard, None
    return heard


def on_wanted(
    state: Spreading, message: messages.ManifestWanted, now_s: float
) -> messages.ManifestSteps | messages.ManifestCopy | None:
    """Returns what a peer lacks, or None where it must ask another."""
    catalog = state.catalog
    if message.generation >= catalog.generation:
        return None
    steps = catalogs.steps_after(catalog, message.generation)
    if steps is not None and message.generation:
        return messages.ManifestSteps(state.address, steps)
    gained = (now_s - state.copied_s) * COPIES_PER_S
    state.copies = min(COPIES_PER_S, state.copies + gained)
    state.copied_s = now_s
    if state.copies < 1:
        return None
    state.copies -= 1
    return messages.ManifestCopy(
        state.address, catalog.generation, catalog.digest, catalog.raw
    )


def on_steps(state: Spreading, message: messages.ManifestSteps) -> bool:
    """Takes in a peer's steps; tells whether the generation rose."""
    return _take_steps(state, message.steps)


def on_copy(state: Spreading, message: messages.ManifestCopy) -> bool:
    """Takes in a peer's copy; tells whether the generation rose."""
    return _take_copy(state, message.generation, message.digest, message.raw)


def _take_steps(state: Spreading, steps: list[messages.ManifestStep]) -> bool:
    try:
        rose = catalogs.offer_steps(state.catalog, steps)
    except errors.LaurelrockError as error:
        state.alarms.append(error)
        rose = False
    newest = max((step.generation for step in steps), default=0)
    state.whole = newest > state.catalog.generation
    return rose


def _take_copy(
    state: Spreading, generation: int, digest: str, raw: bytes
) -> bool:
    try:
        rose = catalogs.offer_copy(state.catalog, generation, digest, raw)
    except errors.LaurelrockError as error:
        state.alarms.append(error)
        return False
    state.whole = state.whole and not rose
    return rose


def _is_behind(state: Spreading, head: heads.Head) -> bool:
    ahead = head.generation > state.catalog.generation
    return ahead and head.digest not in state.catalog.refused


def _weight(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())
