"""Head: the small platform object that names the manifest in force.

A publisher first writes the full manifest and its delta from the previous
generation, each under a separate key, and then replaces the head with a
conditional update. Only that update commits the generation.
"""

import re
import typing

import msgspec

from laurelrock import errors

__all__ = [
    "HEAD_KEY",
    "Commit",
    "Head",
    "decode",
    "delta_key",
    "encode",
    "full_key",
]

#: Platform key of the head.
HEAD_KEY = "manifest/head"


class Commit(typing.NamedTuple):
    """A committed generation and the publish id of the run that made it."""

    generation: int
    publish_id: str


class Head(typing.NamedTuple):
    """Describes the committed generation.

    Attributes:
        generation: Number of the generation; starts at 1 and grows by one with
            each commit, or further if the publisher asks for it.
        digest: Digest of the canonical JSON; see `manifest.digest_of`.
        publish_id: Random id of the run that published the generation.
        full: Key of the full manifest, which is canonical JSON.
        delta: Key of the delta from the previous generation, or empty.
        recent: Commits of previous generations, newest first.
        replaces: Version of the head object that this commit replaced; no two
            commits replace the same version.
    """

    generation: int
    digest: str
    publish_id: str
    full: str
    delta: str = ""
    recent: list[Commit] = []
    replaces: int = 0


class HeadDocument(typing.TypedDict):
    """JSON schema of a head."""

    generation: typing.Annotated[int, msgspec.Meta(ge=1)]
    digest: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
    publish_id: typing.Annotated[str, msgspec.Meta(min_length=1)]
    full: typing.Annotated[str, msgspec.Meta(pattern="^manifest/full/")]
    delta: typing.NotRequired[str]
    recent: typing.NotRequired[list[Commit]]
    replaces: typing.NotRequired[int]


def full_key(generation: int, publish_id: str) -> str:
    """Returns the key of a full manifest."""
    return f"manifest/full/{generation}-{_validate_publish_id(publish_id)}"


def delta_key(generation: int, publish_id: str) -> str:
    """Returns the key of the delta from the previous generation."""
    return f"manifest/delta/{generation}-{_validate_publish_id(publish_id)}"


def encode(head: Head) -> bytes:
    """Encodes a head as JSON."""
    return msgspec.json.encode(head._asdict())


def decode(raw: bytes) -> Head:
    """Decodes and validates a head.

    Raises:
        HeadError: The head is malformed.
    """
    try:
        return Head(**msgspec.json.decode(raw, type=HeadDocument))
    except msgspec.MsgspecError as error:
        raise errors.HeadError(f"the head is malformed: {error}") from None


def _validate_publish_id(publish_id: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9-]+", publish_id):
        raise errors.HeadError(f"invalid publish id {publish_id!r}")
    return publish_id
