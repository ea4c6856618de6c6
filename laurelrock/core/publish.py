"""Publishes a new manifest.

The publisher writes the full manifest and the delta under keys of their own
and then updates `manifest/head` conditionally, which commits the generation.
If the reply to this update is lost, the publisher reads the head again to
find the outcome: the head names the publish id in force and those of the
generations before it.
"""

import collections.abc
import typing

import msgspec

from laurelrock import errors
from laurelrock import head as heads
from laurelrock import manifest
from laurelrock.core import delta
from laurelrock.ports import platform

__all__ = ["Outcome", "Request", "prune", "publish", "read_head"]

#: Number of earlier generations whose publish ids a head names.
MAX_RECENT = 32
#: Number of generations whose full manifests and deltas are kept.
KEPT_GENERATIONS = 64
#: Prefixes of the keys of full manifests and of deltas.
MANIFEST_PREFIXES = ("manifest/full/", "manifest/delta/")

#: Waits before the next attempt, or raises the error if none is left.
Retry = collections.abc.Callable[
    [errors.PlatformError], collections.abc.Awaitable[None]
]
#: An idempotent request to the platform.
Action = collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]]


class Request(typing.NamedTuple):
    """Request to publish a manifest.

    Attributes:
        raw: The manifest as canonical JSON.
        publish_id: Id of this publication; a second run with the same id
            finds the outcome of the first.
        base: Generation that must be in force for the publication to
            proceed, or None for any.
        above: Generation that the new generation must exceed.
    """

    raw: bytes
    publish_id: str
    base: int | None = None
    above: int = 0


class Outcome(typing.NamedTuple):
    """Outcome of a publication.

    Attributes:
        kind: "published", "unchanged" if the manifest was already in force,
            or "superseded" if it was published and a later generation is in
            force now.
        generation: Generation of the manifest.
        publish_id: Id of the publication that put the manifest in force.
        digest: Digest of the manifest's canonical JSON.
    """

    kind: typing.Literal["published", "unchanged", "superseded"]
    generation: int
    publish_id: str
    digest: str


class StoredHead(typing.NamedTuple):
    """The head as read from the platform.

    Attributes:
        version: Version of the object, `ABSENT` if it does not exist.
        head: The decoded head, None if the object is absent or malformed.
    """

    version: int
    head: heads.Head | None


def create_request(
    text: bytes | str, publish_id: str, base: int | None = None, above: int = 0
) -> Request:
    """Validates a manifest and returns the request to publish it.

    Raises:
        ManifestError: The manifest is invalid, or too large once every
            default is written out.
        HeadError: The publish id has characters other than letters, digits
            and "-", or is empty.
    """
    heads.full_key(1, publish_id)
    raw = manifest.encode(manifest.decode(text))
    if len(raw) > manifest.MAX_MANIFEST_BYTES:
        raise errors.ManifestError(
            f"the canonical manifest has {len(raw)} bytes, the limit is"
            f" {manifest.MAX_MANIFEST_BYTES}"
        )
    return Request(raw, publish_id, base, above)


async def publish(
    store: platform.Platform, request: Request, retry: Retry
) -> Outcome:
    """Puts a manifest in force.

    Args:
        store: The platform to write to.
        request: The request to publish a manifest.
        retry: Function to await after each failure of the platform.

    Raises:
        PublishConflictError: Another manifest was published first; nothing
            of this request is or will be in force.
        PublishUnknownError: The head may or may not have been updated.
        PublishError: The publish id was used for another manifest.
        PlatformError: The platform failed; nothing of this request is in
            force.
    """
    current = await with_retries(lambda: read_head(store), retry)
    outcome = find_outcome(current, request, None)
    if outcome is not None:
        return outcome
    check_base(current, request)
    head = await write_manifest(store, current, request, retry)
    return await commit(store, current, head, request, retry)


async def with_retries(action: Action, retry: Retry) -> typing.Any:
    """Repeats an idempotent action until the platform does not fail."""
    while True:
        try:
            return await action()
        except errors.PlatformError as error:
            await retry(error)


async def read_head(store: platform.Platform) -> StoredHead:
    """Reads the head; a malformed one is treated as absent."""
    stored = await store.get(heads.HEAD_KEY)
    if stored is None:
        return StoredHead(platform.ABSENT, None)
    try:
        return StoredHead(stored.version, heads.decode(stored.body))
    except errors.HeadError:
        return StoredHead(stored.version, None)


def find_outcome(
    current: StoredHead, request: Request, sent: heads.Head | None
) -> Outcome | None:
    """Finds the outcome of a request in a head.

    Args:
        current: The head as read from the platform.
        request: The request whose outcome is wanted.
        sent: Head that an earlier attempt tried to commit, if any.

    Returns:
        The outcome, or None if the request has not been committed.

    Raises:
        PublishConflictError: The publish id was used for another manifest.
        PublishUnknownError: The generations that the head names do not reach
            back to the earlier attempt.
    """
    head, digest = current.head, manifest.digest_of(request.raw)
    if head is None:
        return None
    if head.publish_id == request.publish_id:
        if head.digest != digest:
            raise conflict_error(
                head, "the publish id was used for another manifest"
            )
        return Outcome("published", head.generation, head.publish_id, digest)
    for entry in head.recent:
        if entry.publish_id == request.publish_id:
            return Outcome(
                "superseded", entry.generation, entry.publish_id, digest
            )
    if head.digest == digest:
        return Outcome("unchanged", head.generation, head.publish_id, digest)
    oldest = min([head.generation, *(row.generation for row in head.recent)])
    if (
        sent is not None
        and sent.generation < oldest
        and sent.replaces != head.replaces
    ):
        raise unknown_error(
            request, f"the head reaches back to generation {oldest} only"
        )
    return None


def check_base(current: StoredHead, request: Request) -> None:
    """Raises `PublishConflictError` if the base is not in force."""
    if request.base is None:
        return
    if current.head is None:
        if request.base != 0:
            raise errors.PublishConflictError("no manifest is in force", 0)
    elif current.head.generation != request.base:
        raise conflict_error(
            current.head, f"the requested base is generation {request.base}"
        )


async def write_manifest(
    store: platform.Platform,
    current: StoredHead,
    request: Request,
    retry: Retry,
) -> heads.Head:
    """Writes the full manifest and the delta; returns the head to commit."""
    previous = current.head
    if previous is not None:
        last = previous.generation
        recent = [heads.Commit(last, previous.publish_id), *previous.recent]
    else:
        last = await with_retries(lambda: newest_generation(store), retry)
        recent = []
    generation = max(last, request.above) + 1
    full = heads.full_key(generation, request.publish_id)
    await with_retries(lambda: put_once(store, full, request.raw), retry)
    change = b""
    if previous is not None and generation == previous.generation + 1:
        change = await with_retries(
            lambda: delta_from(store, previous, request.raw), retry
        )
    delta_key = ""
    if change:
        delta_key = heads.delta_key(generation, request.publish_id)
        await with_retries(lambda: put_once(store, delta_key, change), retry)
    return heads.Head(
        generation=generation,
        digest=manifest.digest_of(request.raw),
        publish_id=request.publish_id,
        full=full,
        delta=delta_key,
        recent=recent[:MAX_RECENT],
        replaces=current.version,
    )


async def newest_generation(store: platform.Platform) -> int:
    """Returns the highest generation of all full manifests, 0 if none."""
    keys = await store.list_versions(MANIFEST_PREFIXES[0])
    return max((generation_of(key) for key in keys), default=0)


async def put_once(store: platform.Platform, key: str, body: bytes) -> None:
    """Creates an object, unless one with the same body exists.

    Raises:
        PublishError: The publish id was used for another manifest.
    """
    try:
        await store.put(key, body, platform.ABSENT)
    except errors.VersionConflictError:
        existing = await store.get(key)
        if existing is None or existing.body != body:
            raise errors.PublishError(
                f"{key} was written for another manifest"
            ) from None


async def delta_from(
    store: platform.Platform, previous: heads.Head, raw: bytes
) -> bytes:
    """Returns the delta from the manifest in force.

    It is empty if the full manifest in force is lost or if the delta would
    not be smaller than the new manifest.
    """
    stored = await store.get(previous.full)
    if stored is None or manifest.digest_of(stored.body) != previous.digest:
        return b""
    old, new = msgspec.json.decode(stored.body), msgspec.json.decode(raw)
    change = delta.diff(old, new)
    return change if len(change) < len(raw) else b""


async def commit(
    store: platform.Platform,
    expected: StoredHead,
    head: heads.Head,
    request: Request,
    retry: Retry,
) -> Outcome:
    """Updates the head; reads it again if the outcome of an update is unknown.

    The outcome is unknown after a version conflict, too: an HTTP client may
    have repeated a write that took effect.
    """

    async def retry_or_unknown(error: errors.PlatformError) -> None:
        try:
            await retry(error)
        except errors.PlatformError as last:
            raise unknown_error(request, last.message) from None

    while True:
        try:
            await store.put(
                heads.HEAD_KEY, heads.encode(head), expected.version
            )
            return Outcome(
                "published", head.generation, head.publish_id, head.digest
            )
        except errors.VersionConflictError as error:
            failure = errors.PlatformError(error.message)
        except errors.PlatformError as error:
            failure = error
        current = await with_retries(lambda: read_head(store), retry_or_unknown)
        outcome = find_outcome(current, request, head)
        if outcome is not None:
            return outcome
        if current.version == expected.version:
            await retry_or_unknown(failure)
        elif current.head is None:
            raise unknown_error(request, "the head was overwritten")
        else:
            raise conflict_error(
                current.head, "another manifest was published first"
            )


def conflict_error(
    head: heads.Head, reason: str
) -> errors.PublishConflictError:
    """Returns the error that names the manifest in force."""
    return errors.PublishConflictError(
        f"generation {head.generation} is in force, published by"
        f" {head.publish_id} with digest {head.digest}: {reason}",
        head.generation,
        head.publish_id,
        head.digest,
    )


def unknown_error(request: Request, reason: str) -> errors.PublishUnknownError:
    """Returns the error that names the publish id to repeat."""
    return errors.PublishUnknownError(
        f"publish {request.publish_id} may or may not be in force: {reason}",
        request.publish_id,
    )


def generation_of(key: str) -> int:
    """Returns the generation in a manifest's or delta's key, otherwise 0."""
    number = key.rpartition("/")[2].partition("-")[0]
    return int(number) if number.isdecimal() else 0


def expired_keys(keys: collections.abc.Iterable[str]) -> list[str]:
    """Returns the keys whose generation is no longer kept."""
    manifest_keys = sorted(keys, key=generation_of)
    generations = sorted({generation_of(key) for key in manifest_keys})
    kept = set(generations[-KEPT_GENERATIONS:])
    return [key for key in manifest_keys if generation_of(key) not in kept]


async def prune(store: platform.Platform) -> int:
    """Deletes old full manifests and deltas; returns how many.

    Raises:
        PlatformError: The platform failed; the next run deletes the rest.
    """
    deleted = 0
    for prefix in MANIFEST_PREFIXES:
        versions = await store.list_versions(prefix)
        for key in expired_keys(versions):
            try:
                await store.delete(key, versions[key])
                deleted += 1
            except errors.VersionConflictError:
                pass
    return deleted
