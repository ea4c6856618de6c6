"""Computes and applies deltas between two JSON documents.

A delta is a msgpack list of edits, each with a path. Objects are compared key
by key. In lists the common prefix and suffix are left out, and the items
between them are compared. Two values are equal if their encoded JSON is
equal, so 1, 1.0 and true differ, and applying a delta is exact.
"""

import collections.abc
import typing

import msgspec

from laurelrock import errors

__all__ = ["apply", "canonical", "diff"]

Path = list[str | int]


class Edit(typing.NamedTuple):
    """One change to a document.

    Attributes:
        kind: "set" stores `value` at `path`, "remove" deletes the key at
            `path`, and "splice" replaces items of the list at `path`.
        path: Keys and indices from the root to the changed value.
        value: New value of a "set", or the list of items that a "splice"
            inserts.
        first: Index of the first item that a "splice" replaces.
        removed: Number of items that a "splice" removes.
    """

    kind: typing.Literal["set", "remove", "splice"]
    path: Path
    value: typing.Any = None
    first: int = 0
    removed: int = 0


_decoder = msgspec.msgpack.Decoder(list[Edit])


def canonical(document: typing.Any) -> bytes:
    """Returns a document as compact JSON with sorted keys."""
    return msgspec.json.encode(document, order="sorted")


def diff(old_document: typing.Any, new_document: typing.Any) -> bytes:
    """Returns the delta that turns one document into another.

    Args:
        old_document: The decoded JSON to start from.
        new_document: The decoded JSON that the delta leads to.
    """
    edits = list(_edits([], old_document, new_document))
    return msgspec.msgpack.encode(edits)


def apply(old_document: typing.Any, delta: bytes) -> typing.Any:
    """Returns the result of a delta; the old document is not modified.

    Args:
        old_document: The decoded JSON that the delta was computed from.
        delta: A delta that `diff` returned.

    Raises:
        DeltaError: The delta is malformed or refers to a path that the
            document does not have.
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
        raise errors.DeltaError(
            f"the delta cannot be applied: {error!r}"
        ) from None
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
            raise errors.DeltaError(
                f"no items to splice at {edit.path}[{edit.first}]"
            )
        items[edit.first : edit.first + edit.removed] = edit.value
