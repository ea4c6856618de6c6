"""Callers: rights and requests.

Reads what a caller sends and refuses what is malformed or not allowed.
"""

import hashlib
import typing

import msgspec
from starlette import requests

from laurelrock import errors
from laurelrock import manifest

__all__ = ["SearchRequest", "authorize", "read_save", "read_search"]

#: Deadline of a save where the caller gives none.
SAVE_DEADLINE_MS = 2000.0
#: Hits of an answer where the caller gives no limit.
DEFAULT_LIMIT = 10
#: Most hits of an answer.
MAX_LIMIT = 1000


class SearchBody(typing.TypedDict, total=False):
    """Body of a search as callers send it."""

    query: typing.Required[typing.Any]
    limit: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_LIMIT)]
    deadline_ms: typing.Annotated[float, msgspec.Meta(gt=0)]
    min_coverage: manifest.Fraction


class SearchRequest(typing.NamedTuple):
    """A checked search.

    Attributes:
        request_id: Given by this process.
        caller: Name in the manifest.
        application: Name in the manifest.
        query: JSON text.
        limit: Most hits of the answer.
        deadline_ms: From the arrival of the request.
        min_coverage: Least coverage of the answer.
    """

    request_id: str
    caller: str
    application: str
    query: bytes
    limit: int
    deadline_ms: float
    min_coverage: float


def authorize(
    config: manifest.Manifest, header: str | None, application: str
) -> str:
    """Returns the name of the caller that an `Authorization` header proves.

    Raises:
        UnauthorizedError: No caller has that token.
        UnknownApplicationError: The manifest has no such application.
        ForbiddenError: The caller may not ask the application.
    """
    scheme, _, token = (header or "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    name = next(
        (
            name
            for name, caller in config.callers.items()
            if caller.token_sha256 == digest
        ),
        None,
    )
    if scheme.lower() != "bearer" or name is None:
        raise errors.UnauthorizedError("unknown caller")
    if application not in config.applications:
        raise errors.UnknownApplicationError(f"no application {application!r}")
    if application not in config.callers[name].applications:
        raise errors.ForbiddenError(f"{name} may not ask {application}")
    return name


def read_search(
    raw: bytes,
    policy: manifest.Policy,
    request_id: str,
    caller: str,
    application: str,
) -> SearchRequest:
    """Checks the body of a search.

    Raises:
        BadRequestError: The body is malformed or out of range.
    """
    body = decode_body(raw, SearchBody)
    deadline_ms = body.get("deadline_ms", policy.deadline_ms)
    if deadline_ms > policy.max_deadline_ms:
        raise errors.BadRequestError(
            f"deadline_ms {deadline_ms:g} exceeds {policy.max_deadline_ms:g}"
        )
    return SearchRequest(
        request_id=request_id,
        caller=caller,
        application=application,
        query=msgspec.json.encode(body["query"]),
        limit=body.get("limit", DEFAULT_LIMIT),
        deadline_ms=deadline_ms,
        min_coverage=body.get("min_coverage", policy.min_coverage),
    )


class SaveBody(typing.TypedDict, total=False):
    """Body of a save as callers send it."""

    body: typing.Required[typing.Any]
    deadline_ms: typing.Annotated[float, msgspec.Meta(gt=0)]


class SaveRequest(typing.NamedTuple):
    """A checked save.

    Attributes:
        body: JSON text.
        deadline_ms: From the arrival of the request.
        service: That takes the application's saves.
    """

    body: bytes
    deadline_ms: float
    service: str


def read_save(
    raw: bytes, config: manifest.Manifest, caller: str, name: str
) -> SaveRequest:
    """Checks the body of a save and the right to save.

    Raises:
        BadRequestError: The body is malformed or out of range, or the
            application takes no saves.
        ForbiddenError: The caller may not save.
    """
    application = config.applications[name]
    if not config.callers[caller].saves:
        raise errors.ForbiddenError(f"{caller} may not save")
    if application.save_service is None:
        raise errors.BadRequestError(f"{name} takes no saves")
    body = decode_body(raw, SaveBody)
    policy = application.policy
    default_ms = min(SAVE_DEADLINE_MS, policy.max_deadline_ms)
    deadline_ms = body.get("deadline_ms", default_ms)
    if deadline_ms > policy.max_deadline_ms:
        raise errors.BadRequestError(
            f"deadline_ms {deadline_ms:g} exceeds {policy.max_deadline_ms:g}"
        )
    return SaveRequest(
        body=msgspec.json.encode(body["body"]),
        deadline_ms=deadline_ms,
        service=application.save_service,
    )


def decode_body(raw: bytes, kind: typing.Any) -> typing.Any:
    """Decodes a JSON body; raises `BadRequestError` if it does not fit."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.BadRequestError(str(error)) from None


async def read_body(request: requests.Request, limit: int) -> bytes:
    """Reads a request's body.

    Raises:
        BodyTooLargeError: It has more than `limit` bytes.
    """
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise errors.BodyTooLargeError(f"the body exceeds {limit} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
