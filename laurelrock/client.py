"""Client: the verbs of `import laurelrock`.

All but `validate` and `new_key` are coroutines: a notebook awaits them as
they stand, a script runs them with `asyncio.run`.
"""

import collections.abc
import secrets
import time
import typing
import uuid

import aiohttp
import msgspec

from laurelrock import errors
from laurelrock import manifest
from laurelrock import operators
from laurelrock.core import publish as publisher

__all__ = ["new_key", "publish", "query", "save", "status", "validate"]

#: Kept for the way to the entry and back beyond a request's deadline.
MARGIN_S = 2.0
#: Longest wait for an answer where no deadline is given, in seconds.
MAX_WAIT_S = 70.0


class Hit(typing.TypedDict):
    """One document found."""

    score: float
    id: str
    shard: str
    document: typing.Any


class Missing(typing.TypedDict):
    """A shard that is not in the answer, and why."""

    shard: str
    reason: str


class Coverage(typing.TypedDict):
    """Covered part of the snapshot's shards."""

    fraction: float
    shards: int
    missing: list[Missing]


class Answer(typing.TypedDict):
    """Answer to a query."""

    request_id: str
    snapshot: str
    generation: int
    partial: bool
    coverage: Coverage
    hits: list[Hit]


class Saved(typing.TypedDict):
    """Answer to a save; `replayed` if an earlier request ran it."""

    request_id: str
    key: str
    ran: typing.Literal["yes"]
    result: typing.Any
    replayed: bool


class Problem(typing.TypedDict, total=False):
    """RFC 9457 document of a refusal."""

    title: typing.Required[str]
    code: typing.Required[str]
    ran: typing.Required[errors.Ran]
    retry_after_ms: float


def validate(text: bytes | str) -> manifest.Manifest:
    """Checks a manifest.

    Raises:
        ManifestError: Names the path and the value that do not fit.
    """
    return manifest.decode(text)


async def publish(
    platform_url: str, text: bytes | str, **options: typing.Any
) -> publisher.Outcome:
    """Puts a manifest in force; see `operators.publish` for the options."""
    target = operators.Target(platform_url)
    return await operators.publish(target, text, **options)


async def status(platform_url: str) -> operators.Overview:
    """Returns the head and the state of every daemon.

    Raises:
        PlatformError: The platform does not answer.
    """
    return await operators.status(operators.Target(platform_url))


async def query(
    entry_url: str,
    application: str,
    text: typing.Any,
    token: str,
    **options: float,
) -> Answer:
    """Runs a query.

    Args:
        entry_url: Base URL of an entry or of the balancer.
        application: Name in the manifest.
        text: The query, any JSON value.
        token: Of the caller.
        **options: `limit`, `deadline_ms` and `min_coverage`.

    Raises:
        RefusalError: The subclass that the refusal's code names.
        EntryError: No answer came.
    """
    url = f"{entry_url.rstrip('/')}/v1/applications/{application}/search"
    raw = await _post(url, {"query": text, **options}, token, {})
    return _decode(raw, Answer)


async def save(
    entry_url: str,
    application: str,
    body: typing.Any,
    token: str,
    key: str,
    **options: float,
) -> Saved:
    """Runs a save at most once for a key.

    Args:
        entry_url: Base URL of an entry or of the balancer.
        application: Name in the manifest.
        body: What is saved, any JSON value.
        token: Of the caller.
        key: From `new_key`; another call with it never runs the save again.
        **options: `deadline_ms`.

    Raises:
        RefusalError: The subclass that the refusal's code names; `ran` says
            whether the save was run.
        EntryError: No answer came; call again with the same key.
    """
    url = f"{entry_url.rstrip('/')}/v1/applications/{application}/saves"
    headers = {"Idempotency-Key": key}
    raw = await _post(url, {"body": body, **options}, token, headers)
    return _decode(raw, Saved)


def new_key() -> str:
    """Returns a new idempotency key, a UUID of version 7."""
    time_ms = time.time_ns() // 1_000_000
    value = time_ms << 80 | 7 << 76 | secrets.randbits(12) << 64
    return str(uuid.UUID(int=value | 2 << 62 | secrets.randbits(62)))


async def _post(
    url: str,
    body: dict[str, typing.Any],
    token: str,
    headers: dict[str, str],
) -> bytes:
    """Returns the body of a 200 answer; raises what any other one says."""
    deadline_ms = body.get("deadline_ms")
    wait_s = deadline_ms / 1000 + MARGIN_S if deadline_ms else MAX_WAIT_S
    headers = headers | {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
    }
    timeout = aiohttp.ClientTimeout(total=wait_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                url, data=msgspec.json.encode(body), headers=headers
            ) as response,
        ):
            raw = await response.read()
    except aiohttp.ClientConnectorError as error:
        raise errors.EntryError(str(error), "no") from None
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise errors.EntryError(reason, "unknown") from None
    if response.status != 200:
        raise refusal_of(_decode(raw, Problem))
    return raw


def refusal_of(problem: Problem) -> errors.RefusalError:
    """Returns the exception that a problem document stands for."""
    kinds = {kind.code: kind for kind in _refusals(errors.RefusalError)}
    kind = kinds.get(problem["code"], errors.RefusalError)
    wait_ms = problem.get("retry_after_ms")
    wait_s = None if wait_ms is None else wait_ms / 1000
    return kind(problem["title"], problem["ran"], wait_s)


def _refusals(
    kind: type[errors.RefusalError],
) -> collections.abc.Iterator[type[errors.RefusalError]]:
    yield kind
    for child in kind.__subclasses__():
        yield from _refusals(child)


def _decode(raw: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.EntryError(f"bad answer: {error}", "unknown") from None
