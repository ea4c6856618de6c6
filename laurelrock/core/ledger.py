"""Ledgers: claims on idempotency keys.

A ledger is one object on the platform. It holds the claims of the keys that
hash to it and a floor, the highest key that may have been pruned. A key at or
below the floor is refused; pruning raises the floor in the same update, so
that a pruned key cannot be claimed again whatever any clock says.

Keys are UUIDs of version 7. The ledgers form a ring over the time in the key:
each slot of the ring takes the keys of one `SLOT_MS`, and the keys of the
next round, `SLOT_COUNT` slots later, raise the floor above the old ones.
"""

import collections.abc
import hashlib
import typing
import uuid

import msgspec
import xxhash

from laurelrock import errors

__all__ = ["Change", "Ledger", "Verdict", "apply", "index_of", "parse_key"]

#: Time in the key that one slot of the ring takes.
SLOT_MS = 60_000
#: Slots of the ring.
SLOT_COUNT = 120
#: Ledgers that the keys of one slot are hashed to.
LEDGERS_PER_SLOT = 16
#: Number of ledger objects on the platform.
LEDGER_COUNT = SLOT_COUNT * LEDGERS_PER_SLOT
#: Size above which a ledger is pruned; the platform holds 1 MB.
MAX_LEDGER_BYTES = 900_000
#: Size that pruning leaves.
PRUNED_LEDGER_BYTES = 675_000
#: Largest result that is kept for replay.
MAX_RESULT_BYTES = 1024
#: Upper bound of an encoded claim without its result.
CLAIM_BYTES = 80
#: How far the time in a key may lie ahead of the daemon's wall clock.
MAX_AHEAD_MS = 300_000

#: Digest of an attempt that was given up before its claim was seen.
ANY_DIGEST = b""

KEY_VERSION = 7
#: Bits of a key below its time.
KEY_RANDOM_BITS = 80
KEY_BYTES = 16
LOWEST_KEY = bytes(KEY_BYTES)

#: claimed: its attempt may run it; done: it ran; not-run: it certainly did
#: not run and may be claimed again; unknown: its attempt could not tell.
State = typing.Literal["claimed", "done", "not-run", "unknown"]


class Claim(typing.NamedTuple):
    """What a ledger holds of one key.

    Attributes:
        attempt: Random id of the attempt that may run the save.
        digest: Of the application, the caller and the body.
        state: How far the attempt has come.
        result: The searcher's result, None where it is not known or kept.
    """

    attempt: bytes
    digest: bytes
    state: State = "claimed"
    result: bytes | None = None


class Ledger(typing.NamedTuple):
    """One ledger; never changed in place."""

    floor: bytes = LOWEST_KEY
    claims: dict[bytes, Claim] = {}


class Reserve(typing.NamedTuple):
    """Claims a key for an attempt."""

    key: bytes
    attempt: bytes
    digest: bytes


class Settle(typing.NamedTuple):
    """Records what became of an attempt; only its own claim is changed.

    Where the key has no claim, "not-run" is kept all the same, so that a
    claim of the attempt that is still on its way finds itself given up.
    """

    key: bytes
    attempt: bytes
    state: State
    result: bytes | None = None


Change = Reserve | Settle

#: Answer to a change. Of a `Reserve`: held (this attempt has the claim),
#: released (this attempt gave it up), pending (another attempt has it),
#: unknown, done, conflict (another digest), expired (below the floor). Of a
#: `Settle`: settled, gone (the attempt holds no claim).
Kind = typing.Literal[
    "held",
    "released",
    "pending",
    "unknown",
    "done",
    "conflict",
    "expired",
    "settled",
    "gone",
]


class Verdict(typing.NamedTuple):
    """Answer to a change, with the claim that decided it."""

    kind: Kind
    claim: Claim | None = None


_decoder = msgspec.msgpack.Decoder(Ledger)
_encoder = msgspec.msgpack.Encoder()


def parse_key(text: str) -> bytes:
    """Returns the 16 bytes of an idempotency key.

    Raises:
        BadRequestError: It is no UUID of version 7.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        raise errors.BadRequestError("Idempotency-Key is no UUID") from None
    if key.version != KEY_VERSION:
        raise errors.BadRequestError("Idempotency-Key is no UUID of version 7")
    return key.bytes


def check_ahead(key: bytes, now_ms: float) -> None:
    """Refuses a key whose time lies far ahead of the wall clock.

    Such a key would raise a floor above keys that are still in use. No
    promise rests on this check.

    Raises:
        BadRequestError: The key lies ahead.
    """
    if key_time_ms(key) > now_ms + MAX_AHEAD_MS:
        raise errors.BadRequestError("the time in Idempotency-Key lies ahead")


def key_time_ms(key: bytes) -> int:
    """Returns the time in a key, in milliseconds since 1970."""
    return int.from_bytes(key, "big") >> KEY_RANDOM_BITS


def index_of(key: bytes) -> int:
    """Returns the number of the ledger that a key belongs to."""
    slot = key_time_ms(key) // SLOT_MS % SLOT_COUNT
    part = xxhash.xxh3_64_intdigest(key) % LEDGERS_PER_SLOT
    return slot * LEDGERS_PER_SLOT + part


def object_key(index: int) -> str:
    """Returns the platform's key of a ledger."""
    return f"saves/ledger/{index}"


def round_start(key: bytes) -> bytes:
    """Returns the lowest value of the keys in the same slot and round."""
    start_ms = key_time_ms(key) // SLOT_MS * SLOT_MS
    return (start_ms << KEY_RANDOM_BITS).to_bytes(KEY_BYTES, "big")


def digest_of(application: str, caller: str, body: bytes) -> bytes:
    """Returns the digest that tells two requests of one key apart."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (application.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def encode(ledger: Ledger) -> bytes:
    """Returns the object's body."""
    return _encoder.encode(ledger)


def decode(body: bytes) -> Ledger:
    """Reads an object's body.

    Raises:
        LedgerError: The body is no ledger.
    """
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.LedgerError(f"bad ledger: {error}") from None


def apply(
    ledger: Ledger,
    changes: collections.abc.Sequence[Change],
    max_bytes: int = MAX_LEDGER_BYTES,
) -> tuple[Ledger, list[Verdict]]:
    """Applies a group of changes.

    Returns:
        The new ledger, which is the given one where nothing changes, and a
        verdict for each change.
    """
    draft = ledger
    verdicts = []
    for change in changes:
        if isinstance(change, Reserve):
            draft, verdict = _reserve(ledger, draft, change)
        else:
            draft, verdict = _settle(ledger, draft, change)
        verdicts.append(verdict)
    if draft is ledger:
        return ledger, verdicts
    draft = prune(draft, max_bytes)
    pairs = zip(changes, verdicts, strict=True)
    return draft, [_after_pruning(draft, *pair) for pair in pairs]


def raise_floor(ledger: Ledger, floor: bytes) -> Ledger:
    """Returns the ledger without the claims at or below a higher floor."""
    if floor <= ledger.floor:
        return ledger
    kept = {key: claim for key, claim in ledger.claims.items() if key > floor}
    return Ledger(floor, kept)


def prune(ledger: Ledger, max_bytes: int) -> Ledger:
    """Raises the floor over the oldest claims of a ledger that is too large.

    Open claims are pruned like settled ones: an abandoned claim cannot be
    told from a live one without a clock, and would block the floor for good.
    """
    size = sum(_size(claim) for claim in ledger.claims.values())
    if size <= max_bytes:
        return ledger
    target = max_bytes * PRUNED_LEDGER_BYTES // MAX_LEDGER_BYTES
    floor = ledger.floor
    for key in sorted(ledger.claims):
        if size <= target:
            break
        size -= _size(ledger.claims[key])
        floor = key
    return raise_floor(ledger, floor)


def _size(claim: Claim) -> int:
    return CLAIM_BYTES + len(claim.result or b"")


def _with_claim(
    base: Ledger, draft: Ledger, key: bytes, claim: Claim
) -> Ledger:
    """Sets a claim, copying the claims once in a group of changes."""
    claims = draft.claims
    if claims is base.claims:
        claims = dict(claims)
    claims[key] = claim
    return Ledger(draft.floor, claims)


def _reserve(
    base: Ledger, draft: Ledger, change: Reserve
) -> tuple[Ledger, Verdict]:
    held = draft.claims.get(change.key)
    if held is not None:
        verdict = _judge(held, change)
        if verdict is not None:
            return draft, verdict
    elif change.key <= draft.floor:
        return draft, Verdict("expired")
    claim = Claim(change.attempt, change.digest)
    draft = raise_floor(draft, round_start(change.key))
    draft = _with_claim(base, draft, change.key, claim)
    return draft, Verdict("held", claim)


def _judge(held: Claim, change: Reserve) -> Verdict | None:
    """Answers for a key that has a claim; None if it may be claimed again."""
    if held.digest not in (ANY_DIGEST, change.digest):
        return Verdict("conflict", held)
    if held.state == "done":
        return Verdict("done", held)
    own = held.attempt == change.attempt
    if held.state == "not-run":
        return Verdict("released", held) if own else None
    if own:
        return Verdict("held", held)
    return Verdict("unknown" if held.state == "unknown" else "pending", held)


def _settle(
    base: Ledger, draft: Ledger, change: Settle
) -> tuple[Ledger, Verdict]:
    held = draft.claims.get(change.key)
    if held is None and change.state == "not-run" and change.key > draft.floor:
        claim = Claim(change.attempt, ANY_DIGEST, "not-run")
        draft = _with_claim(base, draft, change.key, claim)
        return draft, Verdict("settled", claim)
    if held is None or held.attempt != change.attempt:
        return draft, Verdict("gone", held)
    if held.state not in ("claimed", "unknown"):
        return draft, Verdict("settled", held)
    result = change.result
    if result is not None and len(result) > MAX_RESULT_BYTES:
        result = None
    claim = Claim(held.attempt, held.digest, change.state, result)
    if claim == held:
        return draft, Verdict("settled", held)
    draft = _with_claim(base, draft, change.key, claim)
    return draft, Verdict("settled", claim)


def _after_pruning(ledger: Ledger, change: Change, verdict: Verdict) -> Verdict:
    """Takes back a claim that pruned itself with its group."""
    if verdict.kind == "held" and change.key not in ledger.claims:
        return Verdict("expired")
    return verdict
