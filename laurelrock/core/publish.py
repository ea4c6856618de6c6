"""Publisher: puts a new manifest in force.

Writes the full copy and the delta under keys of their own, then moves
`manifest/head` by a conditional update, which commits the generation. A lost
reply is settled by reading the head again: it names the publish id in force
and those of the generations before it.
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

#: Committed generations whose publish ids a head names.
MAX_RECENT = 32
#: Generations whose full copies and deltas are kept.
KEPT_GENERATIONS = 64
#: Prefixes of the keys that hold full copies and deltas.
PREFIXES = ("manifest/full/", "manifest/delta/")

#: Waits before another attempt, or raises the error when there is none left.
Retry = collections.abc.Callable[
    [errors.PlatformError], collections.abc.Awaitable[None]
]
Action = collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]]


class Request(typing.NamedTuple):
    """What to publish.

    Attributes:
        raw: Canonical JSON of the manifest.
        publish_id: Names this run; a second run with the same id finds the
            first one's outcome.
        base: Generation that must be in force now, if given.
        above: The new generation exceeds this one.
    """

    raw: bytes
    publish_id: str
    base: int | None = None
    above: int = 0


class Outcome(typing.NamedTuple):
    """What a publisher did.

    Attributes:
        kind: "published", "unchanged" where the manifest was in force
            already, or "superseded" where it was published and another
            generation has followed since.
        generation: Of the manifest.
        publish_id: Of the run that put it in force.
        digest: Of the canonical JSON.
    """

    kind: typing.Literal["published", "unchanged", "superseded"]
    generation: int
    publish_id: str
    digest: str


class Present(typing.NamedTuple):
    """The head as it was read.

    Attributes:
        version: Of the object, `ABSENT` if there is none.
        head: None where the object is absent or malformed.
    """

    version: int
    head: heads.Head | None


def create_request(
    text: bytes | str, publish_id: str, base: int | None = None, above: int = 0
) -> Request:
    """Checks a manifest and returns the request to publish it.

    Raises:
        ManifestError: The manifest is bad, or too large once every default
            is written out.
        HeadError: The publish id is not made of letters, digits and "-".
    """
    heads.full_key(1, publish_id)
    raw = manifest.encode(manifest.decode(text))
    if len(raw) > manifest.MAX_MANIFEST_BYTES:
        raise errors.ManifestError(
            f"the canonical manifest has {len(raw)} bytes, over"
            f" {manifest.MAX_MANIFEST_BYTES}"
        )
    return Request(raw, publish_id, base, above)


async def publish(
    store: platform.Platform, request: Request, retry: Retry
) -> Outcome:
    """Puts a manifest in force.

    Args:
        store: The platform.
        request: What to publish.
        retry: Called after each failure of the platform.

    Raises:
        PublishConflictError: Another manifest was published first; nothing
            of this request is or will be in force.
        PublishUnknownError: The head may or may not have been moved.
        PublishError: The publish id was used for another manifest.
        PlatformError: The platform failed; nothing of this request is in
            force.
    """
    present = await insist(lambda: read_head(store), retry)
    settled = settle(present, request, None)
    if settled is not None:
        return settled
    check_base(present, request)
    head = await write_copies(store, present, request, retry)
    return await commit(store, present, head, request, retry)


async def insist(action: Action, retry: Retry) -> typing.Any:
    """Repeats an idempotent action while the platform fails."""
    while True:
        try:
            return await action()
        except errors.PlatformError as error:
            await retry(error)


async def read_head(store: platform.Platform) -> Present:
    """Reads the head; one that is malformed counts as none."""
    stored = await store.get(heads.HEAD_KEY)
    if stored is None:
        return Present(platform.ABSENT, None)
    try:
        return Present(stored.version, heads.decode(stored.body))
    except errors.HeadError:
        return Present(stored.version, None)


def settle(
    present: Present, request: Request, sent: heads.Head | None
) -> Outcome | None:
    """Finds the outcome of a request in a head.

    Args:
        present: The head as read.
        request: What is published.
        sent: Head that was to be committed before, if any.

    Returns:
        The outcome, or None where the request is not in force.

    Raises:
        PublishConflictError: The publish id stands for another manifest.
        PublishUnknownError: The head does not reach back to the attempt.
    """
    head, digest = present.head, manifest.digest_of(request.raw)
    if head is None:
        return None
    if head.publish_id == request.publish_id:
        if head.digest != digest:
            raise conflict(head, "the publish id stands for another manifest")
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
        raise unknown(request, f"the head reaches back to {oldest} only")
    return None


def check_base(present: Present, request: Request) -> None:
    """Raises `PublishConflictError` unless the base is in force."""
    if request.base is None:
        return
    if present.head is None:
        if request.base != 0:
            raise errors.PublishConflictError("no manifest is in force", 0)
    elif present.head.generation != request.base:
        raise conflict(present.head, f"the base was generation {request.base}")


async def write_copies(
    store: platform.Platform, present: Present, request: Request, retry: Retry
) -> heads.Head:
    """Writes the full copy and the delta; returns the head to commit."""
    previous = present.head
    if previous is not None:
        last = previous.generation
        recent = [heads.Commit(last, previous.publish_id), *previous.recent]
    else:
        last = await insist(lambda: newest_copy(store), retry)
        recent = []
    generation = max(last, request.above) + 1
    full = heads.full_key(generation, request.publish_id)
    await insist(lambda: put_copy(store, full, request.raw), retry)
    change = b""
    if previous is not None and generation == previous.generation + 1:
        change = await insist(
            lambda: delta_from(store, previous, request.raw), retry
        )
    delta_key = ""
    if change:
        delta_key = heads.delta_key(generation, request.publish_id)
        await insist(lambda: put_copy(store, delta_key, change), retry)
    return heads.Head(
        generation=generation,
        digest=manifest.digest_of(request.raw),
        publish_id=request.publish_id,
        full=full,
        delta=delta_key,
        recent=recent[:MAX_RECENT],
        replaces=present.version,
    )


async def newest_copy(store: platform.Platform) -> int:
    """Returns the highest generation of all full copies."""
    keys = await store.list_versions(PREFIXES[0])
    return max((generation_of(key) for key in keys), default=0)


async def put_copy(store: platform.Platform, key: str, body: bytes) -> None:
    """Creates an object; one with the same body may be there already.

    Raises:
        PublishError: The publish id was used for another manifest.
    """
    try:
        await store.put(key, body, platform.ABSENT)
    except errors.VersionConflictError:
        held = await store.get(key)
        if held is None or held.body != body:
            raise errors.PublishError(
                f"{key} was written for another manifest"
            ) from None


async def delta_from(
    store: platform.Platform, previous: heads.Head, raw: bytes
) -> bytes:
    """Returns the delta from the manifest in force.

    It is empty where the full copy in force is lost or the delta would be
    the larger one.
    """
    held = await store.get(previous.full)
    if held is None or manifest.digest_of(held.body) != previous.digest:
        return b""
    old, new = msgspec.json.decode(held.body), msgspec.json.decode(raw)
    change = delta.diff(old, new)
    return change if len(change) < len(raw) else b""


async def commit(
    store: platform.Platform,
    present: Present,
    head: heads.Head,
    request: Request,
    retry: Retry,
) -> Outcome:
    """Moves the head; settles lost replies by reading it again.

    A conflict proves nothing either: an HTTP client may have repeated a
    write that took effect.
    """

    async def persist(error: errors.PlatformError) -> None:
        try:
            await retry(error)
        except errors.PlatformError as last:
            raise unknown(request, last.message) from None

    while True:
        try:
            await store.put(heads.HEAD_KEY, heads.encode(head), present.version)
            return Outcome(
                "published", head.generation, head.publish_id, head.digest
            )
        except errors.VersionConflictError as error:
            failure = errors.PlatformError(error.message)
        except errors.PlatformError as error:
            failure = error
        now = await insist(lambda: read_head(store), persist)
        settled = settle(now, request, head)
        if settled is not None:
            return settled
        if now.version == present.version:
            await persist(failure)
        elif now.head is None:
            raise unknown(request, "the head was overwritten")
        else:
            raise conflict(now.head, "it was published first")


def conflict(head: heads.Head, reason: str) -> errors.PublishConflictError:
    """Returns the error that names the manifest in force."""
    return errors.PublishConflictError(
        f"generation {head.generation} is in force, published by"
        f" {head.publish_id} with digest {head.digest}: {reason}",
        head.generation,
        head.publish_id,
        head.digest,
    )


def unknown(request: Request, reason: str) -> errors.PublishUnknownError:
    """Returns the error that names the publish id to repeat."""
    return errors.PublishUnknownError(
        f"publish {request.publish_id} may or may not be in force: {reason}",
        request.publish_id,
    )


def generation_of(key: str) -> int:
    """Returns the generation in the key of a copy, 0 for any other key."""
    number = key.rpartition("/")[2].partition("-")[0]
    return int(number) if number.isdecimal() else 0


def expired_copies(keys: collections.abc.Iterable[str]) -> list[str]:
    """Returns the keys of copies that are old enough to delete."""
    copies = sorted(keys, key=generation_of)
    generations = sorted({generation_of(key) for key in copies})
    kept = set(generations[-KEPT_GENERATIONS:])
    return [key for key in copies if generation_of(key) not in kept]


async def prune(store: platform.Platform) -> int:
    """Deletes old copies; returns how many.

    Raises:
        PlatformError: The platform failed; the next run does the rest.
    """
    deleted = 0
    for prefix in PREFIXES:
        versions = await store.list_versions(prefix)
        for key in expired_copies(versions):
            try:
                await store.delete(key, versions[key])
                deleted += 1
            except errors.VersionConflictError:
                pass
    return deleted
