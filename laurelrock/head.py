"""Head: the small platform object that names the manifest in force.

A publisher first writes the manifest's full copy and its delta from the
generation before, each under a key of its own, and then moves the head by a
conditional update; only that update commits the generation.
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

#: Key of the head.
HEAD_KEY = "manifest/head"


class Commit(typing.NamedTuple):
    """One committed generation and the publish id that made it."""

    generation: int
    publish_id: str


class Head(typing.NamedTuple):
    """The committed generation.

    Attributes:
        generation: Starts at 1 and grows by one.
        digest: `manifest.digest_of` the canonical JSON.
        publish_id: Random id of the publishing run.
        full: Key of the canonical JSON.
        delta: Key of the delta from the generation before, or empty.
        recent: Generations before this one, newest first.
        replaces: Version of the head's object that the commit replaced; no
            two commits replace the same one.
    """

    generation: int
    digest: str
    publish_id: str
    full: str
    delta: str = ""
    recent: list[Commit] = []
    replaces: int = 0


class HeadDocument(typing.TypedDict):
    """A head as JSON."""

    generation: typing.Annotated[int, msgspec.Meta(ge=1)]
    digest: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
    publish_id: typing.Annotated[str, msgspec.Meta(min_length=1)]
    full: typing.Annotated[str, msgspec.Meta(pattern="^manifest/full/")]
    delta: typing.NotRequired[str]
    recent: typing.NotRequired[list[Commit]]
    replaces: typing.NotRequired[int]


def full_key(generation: int, publish_id: str) -> str:
    """Returns the key of a full copy."""
    return f"manifest/full/{generation}-{_checked(publish_id)}"


def delta_key(generation: int, publish_id: str) -> str:
    """Returns the key of the delta from the generation before."""
    return f"manifest/delta/{generation}-{_checked(publish_id)}"


def encode(head: Head) -> bytes:
    """Returns the head as JSON."""
    return msgspec.json.encode(head._asdict())


def decode(raw: bytes) -> Head:
    """Reads a head.

    Raises:
        HeadError: The object is malformed.
    """
    try:
        return Head(**msgspec.json.decode(raw, type=HeadDocument))
    except msgspec.MsgspecError as error:
        raise errors.HeadError(f"the head is malformed: {error}") from None


def _checked(publish_id: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9-]+", publish_id):
        raise errors.HeadError(f"bad publish id {publish_id!r}")
    return publish_id
