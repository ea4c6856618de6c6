"""Authorizes callers and validates their requests."""

import hashlib
import typing

import msgspec
from starlette import requests

from laurelrock import errors
from laurelrock import manifest

__all__ = ["SearchRequest", "authorize", "read_save", "read_search"]

#: Default deadline of a save.
SAVE_DEADLINE_MS = 2000.0
#: Default maximum number of hits in an answer.
DEFAULT_LIMIT = 10
#: Largest limit on hits that a caller may request.
MAX_LIMIT = 1000


class SearchBody(typing.TypedDict, total=False):
    """Request body of a search."""

    query: typing.Required[typing.Any]
    limit: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_LIMIT)]
    deadline_ms: typing.Annotated[float, msgspec.Meta(gt=0)]
    min_coverage: manifest.Fraction


class SearchRequest(typing.NamedTuple):
    """A validated search request.

    Attributes:
        request_id: Request id assigned by this process.
        caller: Name of the caller in the manifest.
        application: Name of the application in the manifest.
        query: The query as JSON text.
        limit: Maximum number of hits in the answer.
        deadline_ms: Deadline in milliseconds after the request arrived.
        min_coverage: Minimum coverage of the answer, as a fraction.
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
    """Returns the name of the caller that a bearer token belongs to.

    Raises:
        UnauthorizedError: The header is not a valid bearer token.
        UnknownApplicationError: The application is not in the manifest.
        ForbiddenError: The caller may not use the application.
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
    """Validates the body of a search request.

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
    """Request body of a save."""

    body: typing.Required[typing.Any]
    deadline_ms: typing.Annotated[float, msgspec.Meta(gt=0)]


class SaveRequest(typing.NamedTuple):
    """A validated save request.

    Attributes:
        body: Body of the save as JSON text.
        deadline_ms: Deadline in milliseconds after the request arrived.
        service: Name of the service that runs the application's saves.
    """

    body: bytes
    deadline_ms: float
    service: str


def read_save(
    raw: bytes, config: manifest.Manifest, caller: str, name: str
) -> SaveRequest:
    """Validates the body of a save request and the right to save.

    Raises:
        BadRequestError: The body is malformed or out of range, or the
            application does not accept saves.
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
    """Decodes a JSON body; raises `BadRequestError` if it is invalid."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.BadRequestError(str(error)) from None


async def read_body(request: requests.Request, limit: int) -> bytes:
    """Reads the body of a request.

    Raises:
        BodyTooLargeError: The body has more than `limit` bytes.
    """
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise errors.BodyTooLargeError(f"the body exceeds {limit} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
