"""Deltas between two JSON documents.

A delta is a msgpack list of edits, each at a path. Objects are compared key
by key, lists by their common head and tail. Equality is that of the encoded
JSON, so that 1, 1.0 and true differ and the result is exact.
"""

import collections.abc
import typing

import msgspec

from laurelrock import errors

__all__ = ["apply", "canonical", "diff"]

Path = list[str | int]


class Edit(typing.NamedTuple):
    """One change.

    Attributes:
        kind: "set" puts `value` at the path, "remove" deletes the path's
            key, "splice" replaces `removed` items of the list at the path,
            from `first`, by the list `value`.
        path: Keys and indices from the root.
        value: See `kind`.
        first: See `kind`.
        removed: See `kind`.
    """

    kind: typing.Literal["set", "remove", "splice"]
    path: Path
    value: typing.Any = None
    first: int = 0
    removed: int = 0


_decoder = msgspec.msgpack.Decoder(list[Edit])


def canonical(document: typing.Any) -> bytes:
    """Returns a document as JSON with sorted keys."""
    return msgspec.json.encode(document, order="sorted")


def diff(old_document: typing.Any, new_document: typing.Any) -> bytes:
    """Returns the delta that turns one document into another.

    Args:
        old_document: Decoded JSON.
        new_document: Decoded JSON.
    """
    edits = list(_edits([], old_document, new_document))
    return msgspec.msgpack.encode(edits)


def apply(old_document: typing.Any, delta: bytes) -> typing.Any:
    """Returns a new document; the old one is left as it is.

    Args:
        old_document: Decoded JSON.
        delta: From `diff`.

    Raises:
        DeltaError: The delta is malformed or does not fit the document.
    """
    try:
        root = [msgspec.json.decode(msgspec.json.encode(old_document))]
        for edit in _decoder.decode(delta):
            _apply_edit(root, edit)
    except (
        msgspec.MsgspecError,
        LookupError,
        TypeError,
        AttributeError,
    ) as error:
        raise errors.DeltaError(f"the delta does not fit: {error!r}") from None
    return root[0]


def _edits(
    path: Path, old: typing.Any, new: typing.Any
) -> collections.abc.Iterator[Edit]:
    if canonical(old) == canonical(new):
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _object_edits(path, old, new)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _list_edits(path, old, new)
    else:
        yield Edit("set", path, new)


def _object_edits(
    path: Path, old: dict[str, typing.Any], new: dict[str, typing.Any]
) -> collections.abc.Iterator[Edit]:
    for key in sorted(old.keys() - new.keys()):
        yield Edit("remove", [*path, key])
    for key in sorted(new.keys()):
        if key in old:
            yield from _edits([*path, key], old[key], new[key])
        else:
            yield Edit("set", [*path, key], new[key])


def _list_edits(
    path: Path, old: list[typing.Any], new: list[typing.Any]
) -> collections.abc.Iterator[Edit]:
    before = [canonical(item) for item in old]
    after = [canonical(item) for item in new]
    shortest = min(len(before), len(after))
    head = 0
    while head < shortest and before[head] == after[head]:
        head += 1
    tail = 0
    while tail < shortest - head and before[-1 - tail] == after[-1 - tail]:
        tail += 1
    old_end, new_end = len(old) - tail, len(new) - tail
    if old_end - head == new_end - head:
        for index in range(head, old_end):
            yield from _edits([*path, index], old[index], new[index])
        return
    yield Edit("splice", path, new[head:new_end], head, old_end - head)


def _apply_edit(root: list[typing.Any], edit: Edit) -> None:
    steps: Path = [0, *edit.path]
    parent: typing.Any = root
    for step in steps[:-1]:
        parent = parent[step]
    last = steps[-1]
    if edit.kind == "set":
        parent[last] = edit.value
    elif edit.kind == "remove":
        del parent[last]
    else:
        items = parent[last]
        if not 0 <= edit.first <= edit.first + edit.removed <= len(items):
            raise errors.DeltaError(f"no items at {edit.path}[{edit.first}]")
        items[edit.first : edit.first + edit.removed] = edit.value
