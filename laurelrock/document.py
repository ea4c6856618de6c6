"""Documents: conversion between JSON objects and NamedTuples.

`structure` validates a decoded JSON value against a NamedTuple type and
reports the path and the value of the first mismatch. `unstructure` is its
inverse.
"""

import functools
import types
import typing

import msgspec

__all__ = ["DocumentError", "structure", "unstructure"]

#: Maximum length of an invalid value that an error message quotes, in
#: characters.
MAX_EXCERPT = 60


class DocumentError(Exception):
    """A value does not match its type.

    Attributes:
        path: Path of the value, such as `$.applications.a.policy.share`.
        reason: Description of the mismatch.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


def excerpt(value: typing.Any) -> str:
    """Returns the value as JSON, truncated to `MAX_EXCERPT` characters."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_EXCERPT else text[:MAX_EXCERPT] + "..."


def is_record(kind: typing.Any) -> bool:
    """Tells whether a type is a NamedTuple."""
    return isinstance(kind, type) and hasattr(kind, "_fields")


def structure(
    kind: typing.Any, value: typing.Any, path: str = "$"
) -> typing.Any:
    """Converts decoded JSON to a type.

    Args:
        kind: A NamedTuple type, a list or dict of NamedTuples, or any leaf
            type that msgspec converts.
        value: Decoded JSON value.
        path: Path of the value in its document, used in error messages.

    Returns:
        The value with NamedTuples in place of JSON objects.

    Raises:
        DocumentError: The value does not match the type.
    """
    unannotated = kind
    if typing.get_origin(kind) is typing.Annotated:
        unannotated = typing.get_args(kind)[0]
    if is_record(unannotated):
        return _structure_record(unannotated, value, path)
    origin, args = typing.get_origin(unannotated), typing.get_args(unannotated)
    if origin in (typing.Union, types.UnionType) and type(None) in args:
        if value is None:
            return None
        non_null = [arg for arg in args if arg is not type(None)]
        if len(non_null) == 1:
            return structure(non_null[0], value, path)
    if origin is list:
        _convert(kind, value, path, list)
        return [
            structure(args[0], item, f"{path}[{index}]")
            for index, item in enumerate(value)
        ]
    if origin is dict:
        _convert(kind, value, path, dict)
        return {
            _convert(args[0], key, f"{path}.{key}"): structure(
                args[1], item, f"{path}.{key}"
            )
            for key, item in value.items()
        }
    return _convert(kind, value, path)


def _convert(
    kind: typing.Any,
    value: typing.Any,
    path: str,
    container: type | None = None,
) -> typing.Any:
    """Validates a leaf, or the type and size of a container, with msgspec."""
    if container is not None:
        metas = [
            item
            for item in getattr(kind, "__metadata__", ())
            if isinstance(item, msgspec.Meta)
        ]
        kind = container
        for meta in metas:
            kind = typing.Annotated[kind, meta]
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise DocumentError(path, f"{error}, not {excerpt(value)}") from None


@functools.cache
def _flat_type_of(kind: typing.Any) -> typing.Any:
    """Returns a TypedDict equivalent to a NamedTuple type.

    Returns None if a field contains a NamedTuple, which msgspec can't convert
    from a JSON object.
    """
    hints = _hints_of(kind)
    if any(_holds_record(hint) for hint in hints.values()):
        return None
    fields = {
        name: typing.NotRequired[hint] if name in kind._field_defaults else hint
        for name, hint in hints.items()
    }
    make: typing.Any = typing.TypedDict
    return make(kind.__name__, fields)


def _holds_record(kind: typing.Any) -> bool:
    return is_record(kind) or any(map(_holds_record, typing.get_args(kind)))


@functools.cache
def _hints_of(kind: typing.Any) -> dict[str, typing.Any]:
    return typing.get_type_hints(kind, include_extras=True)


def _structure_record(
    kind: typing.Any, value: typing.Any, path: str
) -> typing.Any:
    if not isinstance(value, dict):
        raise DocumentError(path, f"Expected `object`, not {excerpt(value)}")
    hints = _hints_of(kind)
    for key in value:
        if key not in hints:
            known = ", ".join(kind._fields)
            raise DocumentError(f"{path}.{key}", f"unknown key; known: {known}")
    flat_type = _flat_type_of(kind)
    if flat_type is not None:
        try:
            return kind(**msgspec.convert(value, flat_type))
        except msgspec.ValidationError:
            pass  # The loop below finds the invalid field and its path.
    fields = {}
    for name in kind._fields:
        if name in value:
            fields[name] = structure(hints[name], value[name], f"{path}.{name}")
        elif name not in kind._field_defaults:
            raise DocumentError(f"{path}.{name}", "required key is missing")
    return kind(**fields)


def unstructure(value: typing.Any) -> typing.Any:
    """Returns the value with dicts in place of NamedTuples."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {k: unstructure(v) for k, v in value._asdict().items()}
    if isinstance(value, dict):
        return {k: unstructure(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [unstructure(item) for item in value]
    return value
