"""Messages between daemons.

Each message is a NamedTuple, sent as two frames: the kind (one byte) and the
msgpack array of its fields. Times left are durations in milliseconds, since
clocks differ between VMs.
"""

import sys
import typing

import msgspec

from laurelrock import errors
from laurelrock.core import records

__all__ = ["decode", "encode"]

#: What became of one shard of a query.
ShardStatus = typing.Literal[
    "ok",
    "version-gone",
    "version-unknown",
    "shed",
    "draining",
    "deadline",
    "unreachable",
    "protocol",
    "unknown-service",
    "cancelled",
    "no-relay",
    "relay-leaving",
]


#: A duration or a score; excludes NaN and the infinities.
Finite = typing.Annotated[
    float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)
]
#: Class of a queue, 0 is the highest.
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=7)]
#: Most hits of a merged answer.
Limit = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Part(typing.NamedTuple):
    """The shards of a query that one service holds."""

    service: str
    shards: list[str]


class Search(typing.NamedTuple):
    """Asks a relay for the parts of one query; entry to relay.

    Attributes:
        query_id: Unique for the asking process.
        start_id: Random id of the asking process's start.
        request_id: Id of the caller's request, for logs.
        application: Name in the manifest.
        snapshot: Version of the index that was pinned.
        time_left_ms: Until the caller's deadline.
        priority: Class of the queue, 0 is the highest.
        limit: Most hits of the merged answer.
        query: The caller's query as JSON text.
        parts: What is asked of this relay.
    """

    query_id: str
    start_id: str
    request_id: str
    application: str
    snapshot: str
    time_left_ms: Finite
    priority: Priority
    limit: Limit
    query: bytes
    parts: list[Part]


class Hit(typing.NamedTuple):
    """One document found."""

    score: Finite
    id: str
    shard: str
    document: typing.Any = None


class ShardOutcome(typing.NamedTuple):
    """What became of one shard."""

    shard: str
    status: ShardStatus


class SearchReply(typing.NamedTuple):
    """Outcomes and merged hits of some shards; relay to entry.

    A relay may answer one `Search` with several replies; each shard stands
    in exactly one of them.

    Attributes:
        query_id: As asked.
        start_id: As asked.
        snapshot: Version that every hit comes from.
        outcomes: One for each shard covered by this reply.
        hits: Merged, best first, at most `limit`.
        retry_after_ms: When to come back, where shards were shed.
    """

    query_id: str
    start_id: str
    snapshot: str
    outcomes: list[ShardOutcome]
    hits: list[Hit]
    retry_after_ms: Finite = 0.0


class Cancel(typing.NamedTuple):
    """Ends the work for a query; entry to relay."""

    query_id: str
    start_id: str


class Save(typing.NamedTuple):
    """Asks a relay to run a save once; entry to relay.

    The claim on the key was won before this message is sent.
    """

    query_id: str
    start_id: str
    request_id: str
    application: str
    service: str
    key: str
    time_left_ms: Finite
    body: bytes


class SaveReply(typing.NamedTuple):
    """Outcome of a save; relay to entry.

    Attributes:
        query_id: As asked.
        start_id: As asked.
        ran: Whether the searcher ran it.
        result: The searcher's result as JSON text.
        retry_after_ms: When to come back, where it was not run.
        reason: Word for the logs; "unknown-service" and "relay-leaving"
            let the entry ask another relay.
    """

    query_id: str
    start_id: str
    ran: errors.Ran
    result: bytes = b""
    retry_after_ms: Finite = 0.0
    reason: str = ""


class Ping(typing.NamedTuple):
    """Asks a relay for a sign of life; entry to relay."""

    start_id: str


class Pong(typing.NamedTuple):
    """Answers a `Ping`; relay to entry.

    Attributes:
        start_id: Of the relay.
        accepting: False once the relay is shutting down.
    """

    start_id: str
    accepting: bool


class Heartbeat(typing.NamedTuple):
    """Says that a daemon is alive and what it holds.

    Attributes:
        address: Of the sender.
        start_id: Of the sender.
        table: Digest of its membership table.
        generation: Of its manifest, 0 where it has none.
        digest: Of its manifest.
    """

    address: str
    start_id: str
    table: int
    generation: int
    digest: str


class Records(typing.NamedTuple):
    """Membership records.

    Attributes:
        address: Of the sender.
        records: What changed, or what the receiver lacked.
        bulk: Whether this answers a comparison of tables.
    """

    address: str
    records: list[records.Record]
    bulk: bool = False


class TableDigest(typing.NamedTuple):
    """Asks for the records of the buckets that differ.

    Attributes:
        address: Of the sender.
        digests: One for each bucket of its table.
    """

    address: str
    digests: list[int]


class BucketRecords(typing.NamedTuple):
    """All records of the buckets that differ; answers `TableDigest`."""

    address: str
    buckets: list[int]
    records: list[records.Record]


class Probe(typing.NamedTuple):
    """Asks whether a daemon is alive.

    Attributes:
        asker: Address that the answer goes to in the end.
        target: Address of the daemon in question.
        helper: Address that passes the answer on, or empty.
    """

    asker: str
    target: str
    helper: str = ""


class ProbeReply(typing.NamedTuple):
    """Record of the daemon that was probed, as it holds it itself."""

    asker: str
    record: records.Record


class VmLeaving(typing.NamedTuple):
    """Tells a daemon that the platform lists its VM as leaving."""

    vm: str


class ManifestWanted(typing.NamedTuple):
    """Asks a peer for what follows a generation."""

    address: str
    generation: int


class ManifestStep(typing.NamedTuple):
    """One generation as a delta from the one before.

    Attributes:
        generation: That it leads to.
        digest: Of the manifest that it leads to.
        delta: See `laurelrock.core.delta`.
    """

    generation: int
    digest: str
    delta: bytes


class ManifestSteps(typing.NamedTuple):
    """Consecutive generations; answers `ManifestWanted`."""

    address: str
    steps: list[ManifestStep]


class ManifestCopy(typing.NamedTuple):
    """A whole manifest; answers `ManifestWanted`."""

    address: str
    generation: int
    digest: str
    raw: bytes


class Claim(typing.NamedTuple):
    """Asks an entry to claim a save's key for an attempt; entry to entry.

    Attributes:
        query_id: Unique for the asking process.
        start_id: Random id of the asking process's start.
        time_left_ms: After which the answer is of no use.
        key: Idempotency key.
        attempt: Id of the attempt.
        digest: Of the request.
    """

    query_id: str
    start_id: str
    time_left_ms: float
    key: bytes
    attempt: bytes
    digest: bytes


class ClaimOutcome(typing.NamedTuple):
    """Asks an entry to record an attempt's outcome; see `Claim`."""

    query_id: str
    start_id: str
    time_left_ms: float
    key: bytes
    attempt: bytes
    state: str
    result: bytes | None


class ClaimReply(typing.NamedTuple):
    """Answers `Claim` and `ClaimOutcome`.

    Attributes:
        query_id: As asked.
        start_id: As asked.
        kind: Of the ledger's verdict; "failed" where nothing was written,
            "unsettled" where that is not known.
        attempt: Of the claim that decided, empty if there is none.
        digest: Of that claim.
        state: Of that claim.
        result: Of that claim.
    """

    query_id: str
    start_id: str
    kind: str
    attempt: bytes = b""
    digest: bytes = b""
    state: str = ""
    result: bytes | None = None


Message = typing.Any

#: Kind byte of each message type.
KINDS: dict[bytes, type] = {
    b"q": Search,
    b"r": SearchReply,
    b"c": Cancel,
    b"s": Save,
    b"t": SaveReply,
    b"p": Ping,
    b"o": Pong,
    b"A": Heartbeat,
    b"B": Records,
    b"C": TableDigest,
    b"D": BucketRecords,
    b"E": Probe,
    b"F": ProbeReply,
    b"G": ManifestWanted,
    b"H": ManifestSteps,
    b"I": ManifestCopy,
    b"J": VmLeaving,
    b"K": Claim,
    b"L": ClaimOutcome,
    b"M": ClaimReply,
}

_kind_of = {kind: byte for byte, kind in KINDS.items()}
_decoders: dict[bytes, msgspec.msgpack.Decoder[Message]] = {
    byte: msgspec.msgpack.Decoder(kind) for byte, kind in KINDS.items()
}
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> list[bytes]:
    """Returns the frames of a message."""
    return [_kind_of[type(message)], _encoder.encode(message)]


def decode(frames: list[bytes]) -> Message:
    """Reads a message from its frames.

    Raises:
        FrameError: The frames are not a known message.
    """
    if len(frames) != 2 or frames[0] not in _decoders:
        raise errors.FrameError(f"unknown kind in {len(frames)} frames")
    try:
        message = _decoders[frames[0]].decode(frames[1])
        if isinstance(message, Search):
            msgspec.json.decode(message.query)
        elif isinstance(message, Save):
            msgspec.json.decode(message.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.FrameError(f"kind {frames[0]!r}: {error}") from None
    return message
