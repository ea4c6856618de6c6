"""Messages: the wire format between daemons.

Each message is a NamedTuple and is sent as two frames: its kind (one byte)
and the msgpack array of its fields. Deadlines are sent as remaining time in
milliseconds, since clocks differ between VMs.
"""

import sys
import typing

import msgspec

from laurelrock import errors
from laurelrock.core import records

__all__ = ["decode", "encode"]

#: Outcome of a query on one shard.
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
#: Priority class in the queue; 0 is the highest.
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=7)]
#: Maximum number of hits in a merged result.
Limit = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class ServiceShards(typing.NamedTuple):
    """Shards of a query that one service stores."""

    service: str
    shards: list[str]


class Search(typing.NamedTuple):
    """Request to search some shards of a query; entry to relay.

    Attributes:
        query_id: Id of the query, unique within the sending process.
        start_id: Random id of the sending process's run.
        request_id: Id of the caller's request, for the logs.
        application: Name of the application in the manifest.
        snapshot: Version of the index that the query is pinned to.
        time_left_ms: Time until the caller's deadline, in milliseconds.
        priority: Priority class in the queue; 0 is the highest.
        limit: Maximum number of hits in the merged result.
        query: The caller's query as JSON text.
        parts: Shards that this relay has to search, grouped by service.
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
    parts: list[ServiceShards]


class Hit(typing.NamedTuple):
    """One document that matches a query."""

    score: Finite
    id: str
    shard: str
    document: typing.Any = None


class ShardOutcome(typing.NamedTuple):
    """Outcome of a query on one shard."""

    shard: str
    status: ShardStatus


class SearchReply(typing.NamedTuple):
    """Outcomes and merged hits of some shards; relay to entry.

    A relay may send several replies to one `Search`; each shard occurs in
    exactly one of them.

    Attributes:
        query_id: Query id of the request.
        start_id: Start id of the request.
        snapshot: Version of the index that every hit comes from.
        outcomes: Outcome of each shard that this reply covers.
        hits: Merged hits, best first, at most as many as the request's limit.
        retry_after_ms: Delay before a retry may succeed, in milliseconds, if
            shards were refused.
    """

    query_id: str
    start_id: str
    snapshot: str
    outcomes: list[ShardOutcome]
    hits: list[Hit]
    retry_after_ms: Finite = 0.0


class Cancel(typing.NamedTuple):
    """Request to stop the work on a query; entry to relay."""

    query_id: str
    start_id: str


class Save(typing.NamedTuple):
    """Request to execute a save once; entry to relay.

    The entry sends it only after its claim on the idempotency key succeeded.
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
        query_id: Query id of the request.
        start_id: Start id of the request.
        ran: Whether the searcher executed the save.
        result: The searcher's result as JSON text.
        retry_after_ms: Delay before a retry may succeed, in milliseconds, if
            the save was not executed.
        reason: Reason code for the logs; on "unknown-service" and
            "relay-leaving" the entry may try another relay.
    """

    query_id: str
    start_id: str
    ran: errors.Ran
    result: bytes = b""
    retry_after_ms: Finite = 0.0
    reason: str = ""


class Ping(typing.NamedTuple):
    """Request for a liveness response; entry to relay."""

    start_id: str


class Pong(typing.NamedTuple):
    """Response to a `Ping`; relay to entry.

    Attributes:
        start_id: Start id of the relay.
        accepting: Whether the relay accepts new work; False once it is
            shutting down.
    """

    start_id: str
    accepting: bool


class Heartbeat(typing.NamedTuple):
    """Periodic liveness message with the sender's versions of shared state.

    Attributes:
        address: Bus address of the sender.
        start_id: Start id of the sender.
        table_digest: Digest of the sender's membership table.
        generation: Generation of the sender's manifest, 0 if it has none.
        digest: Digest of the sender's manifest.
    """

    address: str
    start_id: str
    table_digest: int
    generation: int
    digest: str


class MembershipRecords(typing.NamedTuple):
    """Membership records.

    Attributes:
        address: Bus address of the sender.
        records: Records that changed or that the receiver lacked.
        from_comparison: Whether the message results from a comparison of
            tables.
    """

    address: str
    records: list[records.Record]
    from_comparison: bool = False


class TableDigests(typing.NamedTuple):
    """Request for the records of the table buckets that differ.

    Attributes:
        address: Bus address of the sender.
        digests: Digest of each bucket of the sender's membership table.
    """

    address: str
    digests: list[int]


class BucketRecords(typing.NamedTuple):
    """All records of the buckets that differ; response to `TableDigests`."""

    address: str
    buckets: list[int]
    records: list[records.Record]


class Probe(typing.NamedTuple):
    """Liveness check of a daemon, sent directly or through another daemon.

    Attributes:
        requester: Bus address of the daemon that started the probe, which
            finally receives the reply.
        target: Bus address of the daemon that is probed.
        forwarder: Bus address of the daemon that forwards the reply, or empty
            for a direct probe.
    """

    requester: str
    target: str
    forwarder: str = ""


class ProbeReply(typing.NamedTuple):
    """Response to a `Probe`: the probed daemon's record of itself."""

    requester: str
    record: records.Record


class VmLeaving(typing.NamedTuple):
    """Notification to a daemon that the platform lists its VM as leaving."""

    vm: str


class ManifestRequest(typing.NamedTuple):
    """Request to a peer for the manifests newer than a generation."""

    address: str
    generation: int


class ManifestDelta(typing.NamedTuple):
    """One manifest generation as a delta from the previous one.

    Attributes:
        generation: Generation that the delta produces.
        digest: Digest of the manifest that the delta produces.
        delta: Encoded delta; see `laurelrock.core.delta`.
    """

    generation: int
    digest: str
    delta: bytes


class ManifestDeltas(typing.NamedTuple):
    """Deltas of consecutive generations; response to `ManifestRequest`."""

    address: str
    deltas: list[ManifestDelta]


class FullManifest(typing.NamedTuple):
    """A full manifest; response to `ManifestRequest`."""

    address: str
    generation: int
    digest: str
    raw: bytes


class Claim(typing.NamedTuple):
    """Request to claim a save's key for an attempt; entry to entry.

    Attributes:
        query_id: Id of the request, unique within the sending process.
        start_id: Random id of the sending process's run.
        time_left_ms: Time until the sender discards the reply, in
            milliseconds.
        key: Idempotency key of the save.
        attempt: Id of the attempt that claims the key.
        digest: Digest of the caller's request.
    """

    query_id: str
    start_id: str
    time_left_ms: float
    key: bytes
    attempt: bytes
    digest: bytes


class ClaimOutcome(typing.NamedTuple):
    """Request to record an attempt's outcome; entry to entry; see `Claim`."""

    query_id: str
    start_id: str
    time_left_ms: float
    key: bytes
    attempt: bytes
    state: str
    result: bytes | None


class ClaimReply(typing.NamedTuple):
    """Response to `Claim` and `ClaimOutcome`.

    Attributes:
        query_id: Query id of the request.
        start_id: Start id of the request.
        kind: Kind of the ledger's outcome, "failed" if nothing was written,
            or "unsettled" if it is unknown whether anything was written.
        attempt: Attempt id of the decisive claim, empty if there is none.
        digest: Request digest of the decisive claim.
        state: State of the decisive claim.
        result: Result that the decisive claim stores, if any.
    """

    query_id: str
    start_id: str
    kind: str
    attempt: bytes = b""
    digest: bytes = b""
    state: str = ""
    result: bytes | None = None


#: Any of the message types in `KINDS`.
Message = typing.Any

#: Message types by kind byte.
KINDS: dict[bytes, type] = {
    b"q": Search,
    b"r": SearchReply,
    b"c": Cancel,
    b"s": Save,
    b"t": SaveReply,
    b"p": Ping,
    b"o": Pong,
    b"A": Heartbeat,
    b"B": MembershipRecords,
    b"C": TableDigests,
    b"D": BucketRecords,
    b"E": Probe,
    b"F": ProbeReply,
    b"G": ManifestRequest,
    b"H": ManifestDeltas,
    b"I": FullManifest,
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
    """Encodes a message as frames."""
    return [_kind_of[type(message)], _encoder.encode(message)]


def decode(frames: list[bytes]) -> Message:
    """Decodes a message from its frames.

    Raises:
        FrameError: The frames don't form a valid message.
    """
    if len(frames) != 2 or frames[0] not in _decoders:
        raise errors.FrameError(f"unknown message kind in {len(frames)} frames")
    try:
        message = _decoders[frames[0]].decode(frames[1])
        if isinstance(message, Search):
            msgspec.json.decode(message.query)
        elif isinstance(message, Save):
            msgspec.json.decode(message.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.FrameError(
            f"message kind {frames[0]!r}: {error}"
        ) from None
    return message
