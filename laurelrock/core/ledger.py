"""Records claims on idempotency keys, so that each save runs at most once.

A ledger is one object on the platform. It holds the claims on the keys that
hash to it and a floor, the highest key that may have been pruned. A key at or
below the floor is refused. Pruning raises the floor in the same update, so
that a pruned key cannot be claimed again, whatever any clock says.

Keys are UUIDs of version 7, which contain a timestamp. The ledgers form a
ring over this time: each slot of the ring takes the keys of one interval of
`SLOT_MS`. `SLOT_COUNT` intervals later the slot is used again, and the keys
of that round raise the floor above the keys of the round before.
"""

import collections.abc
import hashlib
import typing
import uuid

import msgspec
import xxhash

from laurelrock import errors

__all__ = ["Change", "Ledger", "Outcome", "apply", "index_of", "parse_key"]

#: Interval of key time that one slot of the ring covers, in milliseconds.
SLOT_MS = 60_000
#: Number of slots in the ring.
SLOT_COUNT = 120
#: Number of ledgers over which the keys of one slot are hashed.
LEDGERS_PER_SLOT = 16
#: Number of ledger objects on the platform.
LEDGER_COUNT = SLOT_COUNT * LEDGERS_PER_SLOT
#: Size in bytes above which a ledger is pruned; the platform limits an object
#: to 1 MB.
MAX_LEDGER_BYTES = 900_000
#: Size in bytes to which a ledger is pruned.
PRUNE_TARGET_BYTES = 675_000
#: Size in bytes of the largest result that is kept for replay.
MAX_RESULT_BYTES = 1024
#: Upper bound of the size in bytes of an encoded claim without its result.
MAX_CLAIM_BYTES = 80
#: How far the time in a key may be ahead of the daemon's wall clock, in
#: milliseconds.
MAX_KEY_AHEAD_MS = 300_000

#: Digest of a claim that was released before it was written; it matches every
#: request.
ANY_DIGEST = b""

#: UUID version of a key.
KEY_VERSION = 7
#: Number of bits of a key below its timestamp.
KEY_RANDOM_BITS = 80
#: Size of a key in bytes.
KEY_BYTES = 16
LOWEST_KEY = bytes(KEY_BYTES)

#: State of a claim. claimed: its attempt may run the save; done: the save ran;
#: not-run: the save certainly did not run and may be claimed again; unknown:
#: the attempt could not tell whether the save ran.
State = typing.Literal["claimed", "done", "not-run", "unknown"]


class Claim(typing.NamedTuple):
    """The claim of one attempt on one key.

    Attributes:
        attempt: Random id of the attempt that may run the save.
        digest: Digest of the request's application, caller and body.
        state: State of the claim.
        result: Result that the searcher returned, or None if it is unknown
            or too large to keep.
    """

    attempt: bytes
    digest: bytes
    state: State = "claimed"
    result: bytes | None = None


class Ledger(typing.NamedTuple):
    """One ledger; instances are never modified in place.

    Attributes:
        floor: Highest key that may have been pruned; keys up to and including
            it cannot be claimed.
        claims: The claims by key.
    """

    floor: bytes = LOWEST_KEY
    claims: dict[bytes, Claim] = {}


class Reserve(typing.NamedTuple):
    """Claims a key for an attempt.

    Attributes:
        key: The idempotency key to claim.
        attempt: Random id of the attempt.
        digest: Digest of the request's application, caller and body.
    """

    key: bytes
    attempt: bytes
    digest: bytes


class Settle(typing.NamedTuple):
    """Records the outcome of an attempt; changes only the attempt's own claim.

    If the key has no claim, "not-run" is stored nevertheless, so that a
    `Reserve` of the attempt that arrives later finds its claim released.

    Attributes:
        key: The idempotency key that the attempt claimed.
        attempt: Random id of the attempt.
        state: New state of the claim.
        result: Result that the searcher returned, if it is known.
    """

    key: bytes
    attempt: bytes
    state: State
    result: bytes | None = None


Change = Reserve | Settle

#: Outcome of a change. For a `Reserve`: held (this attempt has the claim),
#: released (this attempt released the claim), pending (another attempt has the
#: claim), unknown and done (state of the existing claim), conflict (the
#: existing claim has a different digest), expired (the key is not above the
#: floor). For a `Settle`: settled, or gone (the attempt has no claim).
OutcomeKind = typing.Literal[
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


class Outcome(typing.NamedTuple):
    """Outcome of a change.

    Attributes:
        kind: Kind of the outcome.
        claim: The claim that decided the outcome, if there is one.
    """

    kind: OutcomeKind
    claim: Claim | None = None


_decoder = msgspec.msgpack.Decoder(Ledger)
_encoder = msgspec.msgpack.Encoder()


def parse_key(text: str) -> bytes:
    """Returns the 16 bytes of an idempotency key.

    Raises:
        BadRequestError: The text is not a UUID of version 7.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        raise errors.BadRequestError("Idempotency-Key is not a UUID") from None
    if key.version != KEY_VERSION:
        raise errors.BadRequestError(
            "Idempotency-Key is not a UUID of version 7"
        )
    return key.bytes


def check_key_time(key: bytes, now_ms: float) -> None:
    """Refuses a key whose time is far ahead of the wall clock.

    Such a key would raise a floor above keys that are still in use. The
    at-most-once guarantee does not depend on this check.

    Args:
        key: The idempotency key.
        now_ms: Current wall-clock time in milliseconds since 1970.

    Raises:
        BadRequestError: The time in the key is too far ahead.
    """
    if key_time_ms(key) > now_ms + MAX_KEY_AHEAD_MS:
        raise errors.BadRequestError(
            "the time in Idempotency-Key is too far ahead"
        )


def key_time_ms(key: bytes) -> int:
    """Returns the time in a key, in milliseconds since 1970."""
    return int.from_bytes(key, "big") >> KEY_RANDOM_BITS


def index_of(key: bytes) -> int:
    """Returns the index of the ledger that a key belongs to."""
    slot = key_time_ms(key) // SLOT_MS % SLOT_COUNT
    part = xxhash.xxh3_64_intdigest(key) % LEDGERS_PER_SLOT
    return slot * LEDGERS_PER_SLOT + part


def object_key(index: int) -> str:
    """Returns the platform's object key of a ledger."""
    return f"saves/ledger/{index}"


def round_start(key: bytes) -> bytes:
    """Returns the lowest possible key of the same slot and round."""
    start_ms = key_time_ms(key) // SLOT_MS * SLOT_MS
    return (start_ms << KEY_RANDOM_BITS).to_bytes(KEY_BYTES, "big")


def digest_of(application: str, caller: str, body: bytes) -> bytes:
    """Returns a digest that distinguishes requests with the same key.

    Each part is preceded by its length, so that no two requests yield the same
    input to the hash.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (application.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def encode(ledger: Ledger) -> bytes:
    """Returns the body of a ledger's object."""
    return _encoder.encode(ledger)


def decode(body: bytes) -> Ledger:
    """Returns the ledger that the body of an object encodes.

    Raises:
        LedgerError: The body is not a valid ledger.
    """
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.LedgerError(f"invalid ledger: {error}") from None


def apply(
    ledger: Ledger,
    changes: collections.abc.Sequence[Change],
    max_bytes: int = MAX_LEDGER_BYTES,
) -> tuple[Ledger, list[Outcome]]:
    """Applies a group of changes.

    Args:
        ledger: The ledger to change; it is not modified.
        changes: The changes in the order in which to apply them.
        max_bytes: Size in bytes above which the new ledger is pruned.

    Returns:
        The new ledger, or the given one if nothing changes, and the outcome
        of each change.
    """
    draft = ledger
    outcomes = []
    for change in changes:
        if isinstance(change, Reserve):
            draft, outcome = _reserve(ledger, draft, change)
        else:
            draft, outcome = _settle(ledger, draft, change)
        outcomes.append(outcome)
    if draft is ledger:
        return ledger, outcomes
    draft = prune(draft, max_bytes)
    pairs = zip(changes, outcomes, strict=True)
    return draft, [_outcome_after_pruning(draft, *pair) for pair in pairs]


def raise_floor(ledger: Ledger, floor: bytes) -> Ledger:
    """Returns the ledger with a higher floor, without the claims up to it."""
    if floor <= ledger.floor:
        return ledger
    kept = {key: claim for key, claim in ledger.claims.items() if key > floor}
    return Ledger(floor, kept)


def prune(ledger: Ledger, max_bytes: int) -> Ledger:
    """Removes the oldest claims of a ledger that is too large.

    Open claims are pruned like settled ones: without a clock, an abandoned
    claim cannot be distinguished from one in use, and it would keep the floor
    from ever rising.

    Args:
        ledger: The ledger to prune.
        max_bytes: Size in bytes above which the ledger is pruned.
    """
    size = sum(_size(claim) for claim in ledger.claims.values())
    if size <= max_bytes:
        return ledger
    target = max_bytes * PRUNE_TARGET_BYTES // MAX_LEDGER_BYTES
    floor = ledger.floor
    for key in sorted(ledger.claims):
        if size <= target:
            break
        size -= _size(ledger.claims[key])
        floor = key
    return raise_floor(ledger, floor)


def _size(claim: Claim) -> int:
    return MAX_CLAIM_BYTES + len(claim.result or b"")


def _with_claim(
    base: Ledger, draft: Ledger, key: bytes, claim: Claim
) -> Ledger:
    """Sets a claim; copies the claims only once in a group of changes."""
    claims = draft.claims
    if claims is base.claims:
        claims = dict(claims)
    claims[key] = claim
    return Ledger(draft.floor, claims)


def _reserve(
    base: Ledger, draft: Ledger, change: Reserve
) -> tuple[Ledger, Outcome]:
    existing = draft.claims.get(change.key)
    if existing is not None:
        outcome = _outcome_for_existing(existing, change)
        if outcome is not None:
            return draft, outcome
    elif change.key <= draft.floor:
        return draft, Outcome("expired")
    claim = Claim(change.attempt, change.digest)
    draft = raise_floor(draft, round_start(change.key))
    draft = _with_claim(base, draft, change.key, claim)
    return draft, Outcome("held", claim)


def _outcome_for_existing(existing: Claim, change: Reserve) -> Outcome | None:
    """Returns the outcome for a claimed key, or None if it may be reclaimed."""
    if existing.digest not in (ANY_DIGEST, change.digest):
        return Outcome("conflict", existing)
    if existing.state == "done":
        return Outcome("done", existing)
    same_attempt = existing.attempt == change.attempt
    if existing.state == "not-run":
        return Outcome("released", existing) if same_attempt else None
    if same_attempt:
        return Outcome("held", existing)
    return Outcome(
        "unknown" if existing.state == "unknown" else "pending", existing
    )


def _settle(
    base: Ledger, draft: Ledger, change: Settle
) -> tuple[Ledger, Outcome]:
    existing = draft.claims.get(change.key)
    if (
        existing is None
        and change.state == "not-run"
        and change.key > draft.floor
    ):
        claim = Claim(change.attempt, ANY_DIGEST, "not-run")
        draft = _with_claim(base, draft, change.key, claim)
        return draft, Outcome("settled", claim)
    if existing is None or existing.attempt != change.attempt:
        return draft, Outcome("gone", existing)
    if existing.state not in ("claimed", "unknown"):
        return draft, Outcome("settled", existing)
    result = change.result
    if result is not None and len(result) > MAX_RESULT_BYTES:
        result = None
    claim = Claim(existing.attempt, existing.digest, change.state, result)
    if claim == existing:
        return draft, Outcome("settled", existing)
    draft = _with_claim(base, draft, change.key, claim)
    return draft, Outcome("settled", claim)


def _outcome_after_pruning(
    ledger: Ledger, change: Change, outcome: Outcome
) -> Outcome:
    """Returns "expired" for a new claim that its own group has pruned."""
    if outcome.kind == "held" and change.key not in ledger.claims:
        return Outcome("expired")
    return outcome
