"""Client: the functions that `import laurelrock` provides.

All of them except `validate` and `new_key` are coroutines: a notebook awaits
them directly, a script runs them with `asyncio.run`.
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
from laurelrock.adapters import limited_body
from laurelrock.core import publish as publisher

__all__ = ["new_key", "publish", "query", "save", "status", "validate"]

#: Time that the client waits beyond a request's deadline, in seconds; covers
#: the network round trip to the entry.
RESPONSE_MARGIN_S = 2.0
#: Total timeout of a request that has no deadline, in seconds.
DEFAULT_TIMEOUT_S = 70.0


class Hit(typing.TypedDict):
    """One document that matches a query."""

    score: float
    id: str
    shard: str
    document: typing.Any


class MissingShard(typing.TypedDict):
    """A shard whose results the response lacks, and the reason."""

    shard: str
    reason: str


class Coverage(typing.TypedDict):
    """Share of the snapshot's shards that a response covers."""

    fraction: float
    shards: int
    missing: list[MissingShard]


class QueryResponse(typing.TypedDict):
    """Response to a query."""

    request_id: str
    snapshot: str
    generation: int
    partial: bool
    coverage: Coverage
    hits: list[Hit]


class SaveResponse(typing.TypedDict):
    """Response to a save; `replayed` if an earlier request executed it."""

    request_id: str
    key: str
    ran: typing.Literal["yes"]
    result: typing.Any
    replayed: bool


class Problem(typing.TypedDict, total=False):
    """RFC 9457 problem document that describes why a request was refused."""

    title: typing.Required[str]
    code: typing.Required[str]
    ran: typing.Required[errors.Ran]
    retry_after_ms: float


def validate(text: bytes | str) -> manifest.Manifest:
    """Decodes and validates a manifest.

    Raises:
        ManifestError: The manifest is invalid; the message names the path and
            the value.
    """
    return manifest.decode(text)


async def publish(
    platform_url: str, text: bytes | str, **options: typing.Any
) -> publisher.Outcome:
    """Publishes a manifest; see `operators.publish` for the options."""
    target = operators.Target(platform_url)
    return await operators.publish(target, text, **options)


async def status(platform_url: str) -> operators.Overview:
    """Returns the manifest head and the status of every daemon.

    Raises:
        PlatformError: The platform did not respond.
    """
    return await operators.status(operators.Target(platform_url))


async def query(
    entry_url: str,
    application: str,
    text: typing.Any,
    token: str,
    **options: float,
) -> QueryResponse:
    """Runs a query.

    Args:
        entry_url: Base URL of an entry daemon or of the load balancer.
        application: Name of the application in the manifest.
        text: Query, which may be any JSON value.
        token: Bearer token of the caller.
        **options: Optional `limit`, `deadline_ms` and `min_coverage`.

    Raises:
        RefusalError: The entry refused the request; the subclass matches the
            code in the problem document.
        EntryError: No valid response arrived.
    """
    url = f"{entry_url.rstrip('/')}/v1/applications/{application}/search"
    raw = await _post(url, {"query": text, **options}, token, {})
    return _decode(raw, QueryResponse)


async def save(
    entry_url: str,
    application: str,
    body: typing.Any,
    token: str,
    key: str,
    **options: float,
) -> SaveResponse:
    """Executes a save at most once per idempotency key.

    Args:
        entry_url: Base URL of an entry daemon or of the load balancer.
        application: Name of the application in the manifest.
        body: Data to save, which may be any JSON value.
        token: Bearer token of the caller.
        key: Idempotency key from `new_key`; a repeated call with the same key
            never executes the save again.
        **options: Optional `deadline_ms`.

    Raises:
        RefusalError: The entry refused the request; the subclass matches the
            code in the problem document, and `ran` says whether the save was
            executed.
        EntryError: No valid response arrived; retry with the same key.
    """
    url = f"{entry_url.rstrip('/')}/v1/applications/{application}/saves"
    headers = {"Idempotency-Key": key}
    raw = await _post(url, {"body": body, **options}, token, headers)
    return _decode(raw, SaveResponse)


def new_key() -> str:
    """Returns a new idempotency key: a version 7 UUID, ordered by time."""
    time_ms = time.time_ns() // 1_000_000
    value = time_ms << 80 | 7 << 76 | secrets.randbits(12) << 64
    return str(uuid.UUID(int=value | 2 << 62 | secrets.randbits(62)))


async def _post(
    url: str,
    body: dict[str, typing.Any],
    token: str,
    headers: dict[str, str],
) -> bytes:
    """Sends a POST request and returns the body of a 200 response.

    Raises:
        RefusalError: The response has another status.
        EntryError: No valid response arrived.
    """
    deadline_ms = body.get("deadline_ms")
    wait_s = (
        deadline_ms / 1000 + RESPONSE_MARGIN_S
        if deadline_ms
        else DEFAULT_TIMEOUT_S
    )
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
            raw = await limited_body.read(response)
    except aiohttp.ClientConnectorError as error:
        raise errors.EntryError(str(error), "no") from None
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        errors.ReplyTooLongError,
    ) as error:
        reason = str(error) or type(error).__name__
        raise errors.EntryError(reason, "unknown") from None
    if response.status != 200:
        raise to_exception(_decode(raw, Problem))
    return raw


def to_exception(problem: Problem) -> errors.RefusalError:
    """Converts a problem document into the exception with the same code."""
    classes_by_code = {
        kind.code: kind for kind in _subclasses(errors.RefusalError)
    }
    kind = classes_by_code.get(problem["code"], errors.RefusalError)
    wait_ms = problem.get("retry_after_ms")
    wait_s = None if wait_ms is None else wait_ms / 1000
    return kind(problem["title"], problem["ran"], wait_s)


def _subclasses(
    kind: type[errors.RefusalError],
) -> collections.abc.Iterator[type[errors.RefusalError]]:
    yield kind
    for child in kind.__subclasses__():
        yield from _subclasses(child)


def _decode(raw: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.EntryError(
            f"invalid response: {error}", "unknown"
        ) from None
